//! The plug-in interface and the plug-in registry.

use std::collections::VecDeque;
use std::time::Duration;

use rand_pcg::Pcg64Mcg;
use serde_json::Value;

use crate::event::{Action, Event};
use crate::ids::{Incarnation, NodeId, ZoneId};

/// Identity of a node, fixed for the lifetime of its process.
#[derive(Clone, Debug)]
pub struct NodeProfile {
    /// Identifier of the node: the hash of its name.
    pub node: NodeId,
    /// Configured name of the node.
    pub name: Box<str>,
    /// Identifier of the node's availability zone.
    pub zone: ZoneId,
    /// Name of the node's availability zone.
    pub zone_name: Box<str>,
    /// Number of this run of the process; later runs have greater numbers.
    pub incarnation: Incarnation,
    /// Seed of the kernel's random number generator.
    pub seed: u64,
    /// Secret that signs idempotency keys; held in memory only and valid for this run.
    pub secret: [u8; 32],
}

/// Capabilities of a plug-in while it handles an event.
pub struct Context<'a> {
    /// Kernel time of the event.
    pub now: Duration,
    /// Identity of this node.
    pub profile: &'a NodeProfile,
    /// Random number generator; deterministic for the same seed and events.
    pub random: &'a mut Pcg64Mcg,
    /// Number of calls and other pieces of work open in all plug-ins when the event arrived;
    /// computed for [`Event::Tick`] only and 0 for every other event.
    pub open_work: usize,
    pub(crate) actions: &'a mut Vec<Action>,
    pub(crate) events: &'a mut VecDeque<Event>,
}

impl Context<'_> {
    /// Requests an action from the process.
    pub fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Queues an event for all plug-ins, to be handled after the current one.
    pub fn raise(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Sends a message to a node. A message to this node itself is queued as an event.
    pub fn send(&mut self, to: NodeId, message: impl Into<crate::wire::Message>) {
        let message = message.into();
        if to == self.profile.node {
            self.raise(Event::PeerMessage { from: to, message });
        } else {
            self.act(Action::Send { to, message });
        }
    }
}

/// One sample of a gauge for the metrics endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GaugeSample {
    /// Name of the metric, without the prefix of the program.
    pub name: &'static str,
    /// Help text: meaning and unit.
    pub help: &'static str,
    /// Value of the label `kind`; the label is omitted when empty.
    pub kind: &'static str,
    /// Current value, in the unit that the help text states.
    pub value: f64,
}

/// One part of the kernel's state, together with the decisions based on it.
pub trait Plugin: Send {
    /// Handles one event; actions, events and messages go out through `context`.
    fn handle(&mut self, event: &Event, context: &mut Context<'_>);

    /// The plug-in's section of the state dump. It must not contain secrets, prompts or keys.
    fn dump(&self) -> Value;

    /// Number of calls and other work in this plug-in that must end before the node may exit.
    fn open_work(&self) -> usize {
        0
    }

    /// Current samples of the plug-in's metrics; none by default.
    fn gauges(&self) -> Vec<GaugeSample> {
        Vec::new()
    }
}

/// Registry entry of a plug-in.
pub struct Registration {
    /// Name of the plug-in and of its section in the state dump.
    pub name: &'static str,
    /// Position in the handling order: each event goes to the plug-ins in ascending order.
    pub order: u8,
    /// Creates the plug-in for a node.
    pub build: fn(&NodeProfile) -> Box<dyn Plugin>,
}

inventory::collect!(Registration);
