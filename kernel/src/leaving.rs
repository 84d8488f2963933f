//! Planned shutdown: the node accepts nothing new, finishes its open work, and exits.
//!
//! An operator's request or a signal ([`Event::DrainNode`]) starts it, or the leaving flag in the
//! platform's host list. The amount of open work is queried from the plug-ins
//! ([`Plugin::open_work`]), because a separate count here could diverge from theirs.

use std::time::Duration;

use serde_json::{Value, json};

use crate::event::{Action, Event};
use crate::membership::{HostEntry, HostRole};
use crate::plugin::{Context, NodeProfile, Plugin, Registration};

/// Minimum time between the start of leaving and the exit, so that callers with cached addresses
/// are redirected instead of finding a closed port.
pub const DRAIN_GRACE: Duration = Duration::from_secs(6);

/// Time after which a leaving flag that was already set in the first host list takes effect. Such a
/// flag may have been set for an earlier run of this node.
pub const STALE_LEAVING_TIME: Duration = Duration::from_secs(30);

/// State of this node's planned shutdown.
#[derive(Debug, Default)]
pub struct NodeDrain {
    listed_leaving: bool,
    first_list_at: Option<Duration>,
    leaving_since_first_list: bool,
    leaving_since: Option<Duration>,
    open_work: usize,
    exited: bool,
}

impl NodeDrain {
    fn begin_leaving(&mut self, context: &mut Context<'_>) {
        if self.leaving_since.is_none() {
            self.leaving_since = Some(context.now);
            context.raise(Event::NodeLeaving);
        }
    }

    fn apply_host_list(&mut self, hosts: &[HostEntry], context: &mut Context<'_>) {
        let name = &context.profile.name;
        let own = hosts
            .iter()
            .find(|host| host.role == HostRole::Node && host.name == *name);
        let leaving = own.is_some_and(|host| host.leaving);
        let first = self.first_list_at.is_none();
        self.first_list_at.get_or_insert(context.now);
        self.leaving_since_first_list = leaving && (first || self.leaving_since_first_list);
        self.listed_leaving = leaving;
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        self.open_work = context.open_work;
        let since_first_list = self
            .first_list_at
            .map_or(Duration::ZERO, |first| context.now.saturating_sub(first));
        if self.listed_leaving
            && (!self.leaving_since_first_list || since_first_list >= STALE_LEAVING_TIME)
        {
            self.begin_leaving(context);
        }
        let Some(since) = self.leaving_since else {
            return;
        };
        let grace_elapsed = context.now >= since + DRAIN_GRACE;
        if grace_elapsed && self.open_work == 0 && !self.exited {
            self.exited = true;
            context.act(Action::Exit);
        }
    }
}

impl Plugin for NodeDrain {
    fn handle(&mut self, event: &Event, context: &mut Context<'_>) {
        match event {
            Event::DrainNode => self.begin_leaving(context),
            Event::HostList(hosts) => self.apply_host_list(hosts, context),
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
