//! Kernels that hand each other messages in one process. It counts the kernel's own messages and
//! work; there is no network and no latency in it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use monsoonbank_kernel::event::{Action, Event};
use monsoonbank_kernel::ids::{Incarnation, NodeId, ZoneId};
use monsoonbank_kernel::kernel::Kernel;
use monsoonbank_kernel::membership::message::{ACK_BYTES, HEADER_BYTES};
use monsoonbank_kernel::membership::{HostEntry, HostRole, MemberView, NodeState};
use monsoonbank_kernel::plugin::NodeProfile;
use monsoonbank_kernel::wire::Message;

/// Bytes that the daemon's frame adds to a message.
const FRAME_BYTES: usize = 3;

/// Messages and bytes of one node, headers included.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeTraffic {
    /// Messages sent and received.
    pub messages: u64,
    /// Bytes sent and received; each message pays its headers and a TCP acknowledgement of its own.
    pub bytes: u64,
    /// Of these, bytes of membership.
    pub membership_bytes: u64,
}

struct Envelope {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// What is watched for.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    /// The node whose state is watched.
    pub node: usize,
    /// The state.
    pub state: NodeState,
}

/// The fleet.
pub struct KernelFleet {
    /// Virtual time.
    pub now: Duration,
    /// Time between two ticks.
    pub step: Duration,
    /// What each node sent and received since it was last cleared.
    pub traffic: Vec<NodeTraffic>,
    /// First sightings of what is watched for.
    pub sightings: BTreeMap<usize, Duration>,
    watch: Option<Watch>,
    kernels: Vec<Option<Kernel>>,
    views: Vec<Option<Arc<MemberView>>>,
    names: Vec<(Box<str>, Box<str>)>,
    index: BTreeMap<NodeId, usize>,
    hosts: Vec<HostEntry>,
    queue: VecDeque<Envelope>,
    /// Zones that cannot talk to the others.
    cut: BTreeSet<Box<str>>,
}

/// Zones of a fleet of `nodes`: three or four while it is small, then 43 nodes a zone as in the
/// letter's fleet.
pub fn zones_of(nodes: usize) -> usize {
    match nodes {
        0..=9 => 3,
        10..=171 => 4,
        _ => nodes.div_ceil(43),
    }
}

impl KernelFleet {
    /// Starts `nodes` nodes in `zones` zones, one after another within a second.
    pub fn start(nodes: usize, zones: usize, step: Duration) -> Self {
        let names: Vec<(Box<str>, Box<str>)> = (0..nodes)
            .map(|n| {
                (
                    format!("node-{n}").into(),
                    format!("zone-{}", n % zones).into(),
                )
            })
            .collect();
        let hosts = names.iter().map(|(name, zone)| host(name, zone)).collect();
        let index = names.iter().enumerate();
        let mut fleet = Self {
            now: Duration::from_secs(1),
            step,
            traffic: vec![NodeTraffic::default(); nodes],
            sightings: BTreeMap::new(),
            watch: None,
            kernels: (0..nodes).map(|_| None).collect(),
            views: vec![None; nodes],
            index: index
                .map(|(n, (name, _))| (NodeId::named(name), n))
                .collect(),
            names,
            hosts,
            queue: VecDeque::new(),
            cut: BTreeSet::new(),
        };
        for node in 0..nodes {
            fleet.restart(node, 1_000);
        }
        fleet
    }

    /// Nodes of the same zone as `node`, without it.
    pub fn neighbours(&self, node: usize) -> Vec<usize> {
        let zone = &self.names[node].1;
        (0..self.names.len())
            .filter(|other| *other != node && self.names[*other].1 == *zone)
            .collect()
    }

    /// Nodes of a zone.
    pub fn zone(&self, zone: usize) -> Vec<usize> {
        let name = format!("zone-{zone}");
        (0..self.names.len())
            .filter(|node| *self.names[*node].1 == *name)
            .collect()
    }

    /// Whether the node runs.
    pub fn runs(&self, node: usize) -> bool {
        self.kernels[node].is_some()
    }

    /// Ends a node's run without a word.
    pub fn kill(&mut self, node: usize) {
        self.kernels[node] = None;
        self.views[node] = None;
    }

    /// Starts a run of a node.
    pub fn restart(&mut self, node: usize, incarnation: u64) {
        let (name, zone) = &self.names[node];
        let profile = NodeProfile {
            node: NodeId::named(name),
            name: name.clone(),
            zone: ZoneId::named(zone),
            zone_name: zone.clone(),
            incarnation: Incarnation(incarnation),
            seed: NodeId::named(name).0 ^ incarnation,
            secret: [0; 32],
        };
        self.kernels[node] = Some(Kernel::new(profile));
        self.give(node, Event::HostList(self.hosts.clone()));
    }

    /// Cuts zones off from all others.
    pub fn cut(&mut self, zones: impl Iterator<Item = usize>) {
        self.cut = zones.map(|zone| format!("zone-{zone}").into()).collect();
    }

    /// Begins to note which node sees this state.
    pub fn watch(&mut self, node: usize, state: NodeState) {
        self.watch = Some(Watch { node, state });
        self.sightings.clear();
    }

    /// Begins to count traffic anew.
    pub fn clear_traffic(&mut self) {
        self.traffic.fill(NodeTraffic::default());
    }

    /// Whether every running node sees every node in the expected state (of seer and node).
    pub fn agrees(&self, expected: &impl Fn(&Self, usize, usize) -> NodeState) -> bool {
        let runs = |node: &usize| self.runs(*node);
        (0..self.kernels.len()).filter(runs).all(|seer| {
            let Some(view) = &self.views[seer] else {
                return false;
            };
            let sees = |(id, node): (&NodeId, &usize)| {
                let state = view.members.get(id).map(|member| member.state);
                state == Some(expected(self, seer, *node))
            };
            self.index.iter().all(sees)
        })
    }

    fn sight(&mut self, seer: usize, view: &MemberView) {
        let Some(watch) = self.watch else {
            return;
        };
        let id = NodeId::named(&self.names[watch.node].0);
        let member = view.members.get(&id);
        if member.is_some_and(|member| member.state == watch.state) {
            self.sightings.entry(seer).or_insert(self.now);
        }
    }

    /// Gives a node an event.
    pub fn give(&mut self, node: usize, event: Event) {
        let Some(kernel) = &mut self.kernels[node] else {
            return;
        };
        let mut actions = Vec::new();
        kernel.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(node, to, &message),
                Action::UseMembers(view) => {
                    self.sight(node, &view);
                    self.views[node] = Some(view);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: NodeId, message: &Message) {
        let Some(to) = self.index.get(&to).copied() else {
            return;
        };
        let mut bytes = Vec::new();
        if ciborium::into_writer(message, &mut bytes).is_err() {
            return;
        }
        let cost = (bytes.len() + FRAME_BYTES + HEADER_BYTES + ACK_BYTES) as u64;
        let membership = matches!(message, Message::Membership(_));
        self.count(from, cost, membership);
        let zones = (&self.names[from].1, &self.names[to].1);
        let parted = self.cut.contains(zones.0) != self.cut.contains(zones.1);
        if !parted && self.kernels[to].is_some() {
            self.count(to, cost, membership);
            self.queue.push_back(Envelope { from, to, bytes });
        }
    }

    fn count(&mut self, node: usize, cost: u64, membership: bool) {
        let traffic = &mut self.traffic[node];
        traffic.messages += 1;
        traffic.bytes += cost;
        traffic.membership_bytes += cost * u64::from(membership);
    }

    fn settle(&mut self) {
        while let Some(Envelope { from, to, bytes }) = self.queue.pop_front() {
            let Ok(message) = ciborium::from_reader(&*bytes) else {
                continue;
            };
            let from = NodeId::named(&self.names[from].0);
            self.give(to, Event::PeerMessage { from, message });
        }
    }

    /// One tick of every node.
    pub fn tick(&mut self) {
        self.now += self.step;
        for node in 0..self.kernels.len() {
            self.give(node, Event::Tick);
        }
        self.settle();
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }
}

fn host(name: &str, zone: &str) -> HostEntry {
    HostEntry {
        name: name.into(),
        zone: zone.into(),
        role: HostRole::Node,
        peer_address: "10.100.100.100:7100".into(),
        caller_address: "10.100.100.100:8080".into(),
        leaving: false,
    }
}
