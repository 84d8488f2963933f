//! A fleet of kernels in one process, whose messages and time are controlled by the test.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use monsoonbank_kernel::event::{Action, Event};
use monsoonbank_kernel::ids::{Incarnation, NodeId, ZoneId};
use monsoonbank_kernel::kernel::Kernel;
use monsoonbank_kernel::membership::{HostEntry, HostRole};
use monsoonbank_kernel::plugin::NodeProfile;
use monsoonbank_kernel::wire::Message;
use serde_json::Value;

/// Time between two ticks.
pub const STEP: Duration = Duration::from_millis(50);

/// A message in flight.
#[derive(Clone, Debug)]
pub struct Envelope {
    pub from: NodeId,
    pub to: NodeId,
    pub message: Message,
}

/// Several kernels, the messages in flight between them, and the platform's host list.
pub struct Fleet {
    pub now: Duration,
    pub kernels: BTreeMap<NodeId, Kernel>,
    pub hosts: Vec<HostEntry>,
    pub queue: VecDeque<Envelope>,
    /// Directed links that drop every message.
    pub cut: BTreeSet<(NodeId, NodeId)>,
    /// Actions of the kernels other than sending messages.
    pub actions: Vec<(NodeId, Action)>,
    /// Number of messages delivered so far.
    pub delivered: usize,
}

pub fn id(name: &str) -> NodeId {
    NodeId::named(name)
}

pub fn profile(name: &str, zone: &str, incarnation: u64) -> NodeProfile {
    NodeProfile {
        node: id(name),
        name: name.into(),
        zone: ZoneId::named(zone),
        zone_name: zone.into(),
        incarnation: Incarnation(incarnation),
        seed: id(name).0 ^ incarnation,
        secret: [7; 32],
    }
}

pub fn host(name: &str, zone: &str, role: HostRole) -> HostEntry {
    HostEntry {
        name: name.into(),
        zone: zone.into(),
        role,
        peer_address: format!("peer-{name}").into(),
        caller_address: format!("call-{name}").into(),
        leaving: false,
    }
}

impl Fleet {
    /// A fleet of nodes given as name and zone, all started and on the host list.
    pub fn new<N: AsRef<str>>(nodes: &[(N, N)]) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(1),
            kernels: BTreeMap::new(),
            hosts: Vec::new(),
            queue: VecDeque::new(),
            cut: BTreeSet::new(),
            actions: Vec::new(),
            delivered: 0,
        };
        for (name, zone) in nodes {
            let entry = host(name.as_ref(), zone.as_ref(), HostRole::Node);
            fleet.hosts.push(entry);
        }
        for (name, zone) in nodes {
            fleet.start(name.as_ref(), zone.as_ref(), 100);
        }
        fleet
    }

    /// Starts a run of a node, which receives the host list.
    pub fn start(&mut self, name: &str, zone: &str, incarnation: u64) {
        let kernel = Kernel::new(profile(name, zone, incarnation));
        self.kernels.insert(id(name), kernel);
        self.give(id(name), Event::HostList(self.hosts.clone()));
    }

    /// Ends a run abruptly; its peers see their links break if `seen`.
    pub fn kill(&mut self, name: &str, seen: bool) {
        self.kernels.remove(&id(name));
        if seen {
            for node in self.kernels.keys().copied().collect::<Vec<_>>() {
                self.give(node, Event::LinkDown(id(name)));
            }
        }
    }

    /// Sends every node the current host list.
    pub fn list(&mut self) {
        for node in self.kernels.keys().copied().collect::<Vec<_>>() {
            self.give(node, Event::HostList(self.hosts.clone()));
        }
    }

    /// Handles an event in one kernel and collects its actions.
    pub fn give(&mut self, node: NodeId, event: Event) {
        let Some(kernel) = self.kernels.get_mut(&node) else {
            return;
        };
        let mut actions = Vec::new();
        kernel.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, message } => self.queue.push_back(Envelope {
                    from: node,
                    to,
                    message,
                }),
                Action::UseConfig(_) | Action::UseMembers(_) | Action::UseOwners(_) => {}
                other => self.actions.push((node, other)),
            }
        }
    }

    /// Delivers a message, unless its link is cut.
    pub fn deliver(&mut self, envelope: Envelope) {
        let Envelope { from, to, message } = envelope;
        if !self.cut.contains(&(from, to)) {
            self.delivered += 1;
            self.give(to, Event::PeerMessage { from, message });
        }
    }

    /// Delivers all messages, including those sent in response.
    pub fn settle(&mut self) {
        while let Some(envelope) = self.queue.pop_front() {
            self.deliver(envelope);
        }
    }

    /// Advances the clock in steps, with ticks and messages.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for node in self.kernels.keys().copied().collect::<Vec<_>>() {
                self.give(node, Event::Tick);
            }
            self.settle();
        }
    }

    /// Cuts all links between the two sides, in both directions.
    pub fn part<N: AsRef<str>>(&mut self, one: &[N], other: &[N]) {
        for a in one {
            for b in other {
                let (a, b) = (id(a.as_ref()), id(b.as_ref()));
                self.cut.insert((a, b));
                self.cut.insert((b, a));
            }
        }
    }

    /// One section of a node's state dump.
    pub fn dump(&self, node: &str, section: &str) -> Value {
        self.kernels[&id(node)].dump(Some(section))[section].clone()
    }

    /// The state of `other` in the view of `node`, or "" if it is not in that view.
    pub fn sees(&self, node: &str, other: &str) -> String {
        let dump = self.dump(node, "membership");
        let members = dump["members"].as_array().cloned().unwrap_or_default();
        let found = members.iter().find(|member| member["name"] == other);
        let state = found.and_then(|member| member["state"].as_str());
        state.unwrap_or_default().to_owned()
    }
}
