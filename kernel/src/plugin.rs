//! The interface of a plug-in, and how plug-ins register themselves.

use std::collections::VecDeque;
use std::time::Duration;

use rand_pcg::Pcg64Mcg;
use serde_json::Value;

use crate::event::{Action, Event};
use crate::ids::{Incarnation, NodeId, ZoneId};

/// Who a node is; fixed for the life of its process.
#[derive(Clone, Debug)]
pub struct NodeProfile {
    /// The node's identifier, the hash of its name.
    pub node: NodeId,
    /// The node's name.
    pub name: Box<str>,
    /// The availability zone.
    pub zone: ZoneId,
    /// The availability zone's name.
    pub zone_name: Box<str>,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Seed of the kernel's random numbers.
    pub seed: u64,
    /// Secret for idempotency keys; lives in this run's memory only.
    pub secret: [u8; 32],
}

/// What a plug-in may use while it handles an event.
pub struct Context<'a> {
    /// Kernel time.
    pub now: Duration,
    /// Who this node is.
    pub profile: &'a NodeProfile,
    /// Random numbers, the same for the same seed and events.
    pub random: &'a mut Pcg64Mcg,
    /// Calls and work that the node's plug-ins held when the event came in; counted for
    /// [`Event::Tick`] only, 0 for every other event.
    pub open_work: usize,
    pub(crate) actions: &'a mut Vec<Action>,
    pub(crate) events: &'a mut VecDeque<Event>,
}

impl Context<'_> {
    /// Asks the process for something.
    pub fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Tells every plug-in of something, after the current event.
    pub fn raise(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Sends a message; one to this node itself comes back as an event.
    pub fn send(&mut self, to: NodeId, message: impl Into<crate::wire::Message>) {
        let message = message.into();
        if to == self.profile.node {
            self.raise(Event::PeerMessage { from: to, message });
        } else {
            self.act(Action::Send { to, message });
        }
    }
}

/// One number for the metrics page.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GaugeSample {
    /// The metric's name without the program's prefix.
    pub name: &'static str,
    /// What it means, with its unit.
    pub help: &'static str,
    /// The value of the label `kind`; empty for none.
    pub kind: &'static str,
    /// The value.
    pub value: f64,
}

/// One piece of the kernel's state and the decisions on it.
pub trait Plugin: Send {
    /// Handles one event.
    fn handle(&mut self, event: &Event, context: &mut Context<'_>);

    /// The plug-in's section of the state dump; never secrets, prompts or keys.
    fn dump(&self) -> Value;

    /// Calls and work that must end before the node may exit.
    fn open_work(&self) -> usize {
        0
    }

    /// The plug-in's metrics.
    fn gauges(&self) -> Vec<GaugeSample> {
        Vec::new()
    }
}

/// A plug-in's entry in the registry.
pub struct Registration {
    /// Name of the section in the state dump.
    pub name: &'static str,
    /// Plug-ins handle an event in ascending order of this number.
    pub order: u8,
    /// Makes the plug-in for a node.
    pub build: fn(&NodeProfile) -> Box<dyn Plugin>,
}

inventory::collect!(Registration);
