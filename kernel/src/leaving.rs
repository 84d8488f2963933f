//! Planned stops: a node takes nothing new, finishes what it has, and exits.
//!
//! A stop begins with an operator's word or a signal ([`Event::DrainNode`]), or with the platform's
//! host list. What is open is asked of the plug-ins themselves ([`Plugin::open_work`]); a count
//! kept here could drift from theirs.

use std::time::Duration;

use serde_json::{Value, json};

use crate::event::{Action, Event};
use crate::membership::{HostEntry, HostRole};
use crate::plugin::{Context, NodeProfile, Plugin, Registration};

/// How long a leaving node stays after its last work, so that callers with an old answer about
/// addresses are told where to go in place of meeting a closed port.
pub const LINGER: Duration = Duration::from_secs(6);

/// A "leaving" that the host list showed when this run began may be meant for an earlier run; it
/// is believed when it still stands after this time.
pub const STALE_LIST_TIME: Duration = Duration::from_secs(30);

/// Whether this node is leaving, and how far it is.
#[derive(Debug, Default)]
pub struct NodeDrain {
    listed: bool,
    first_list: Option<Duration>,
    flag_since_start: bool,
    leaving_since: Option<Duration>,
    open_work: usize,
    exited: bool,
}

impl NodeDrain {
    fn begin(&mut self, context: &mut Context<'_>) {
        if self.leaving_since.is_none() {
            self.leaving_since = Some(context.now);
            context.raise(Event::NodeLeaving);
        }
    }

    fn list(&mut self, hosts: &[HostEntry], context: &mut Context<'_>) {
        let name = &context.profile.name;
        let own = hosts
            .iter()
            .find(|host| host.role == HostRole::Node && host.name == *name);
        let leaving = own.is_some_and(|host| host.leaving);
        let first = self.first_list.is_none();
        self.first_list.get_or_insert(context.now);
        self.flag_since_start = leaving && (first || self.flag_since_start);
        self.listed = leaving;
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        self.open_work = context.open_work;
        let listed_for = self
            .first_list
            .map_or(Duration::ZERO, |first| context.now.saturating_sub(first));
        if self.listed && (!self.flag_since_start || listed_for >= STALE_LIST_TIME) {
            self.begin(context);
        }
        let Some(since) = self.leaving_since else {
            return;
        };
        let lingered = context.now >= since + LINGER;
        if lingered && self.open_work == 0 && !self.exited {
            self.exited = true;
            context.act(Action::Exit);
        }
    }
}

impl Plugin for NodeDrain {
    fn handle(&mut self, event: &Event, context: &mut Context<'_>) {
        match event {
            Event::DrainNode => self.begin(context),
            Event::HostList(hosts) => self.list(hosts, context),
            Event::Tick => self.tick(context),
            _ => {}
        }
    }

    fn dump(&self) -> Value {
        json!({ "leaving": self.leaving_since.is_some(), "open_work": self.open_work })
    }
}

fn build(_profile: &NodeProfile) -> Box<dyn Plugin> {
    Box::<NodeDrain>::default()
}

inventory::submit! {
    Registration { name: "leaving", order: 90, build }
}
