//! A fleet of kernels that exchange encoded messages within one process. Only the kernels' own
//! messages and work are counted; there is no network and no latency.

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

/// Bytes that the daemon's framing adds to a message.
const FRAME_BYTES: usize = 3;

/// Messages and bytes of one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeTraffic {
    /// Number of messages sent and received.
    pub messages: u64,
    /// Bytes sent and received; each message counts with its headers and one TCP acknowledgement.
    pub bytes: u64,
    /// The part of `bytes` that belongs to membership messages.
    pub membership_bytes: u64,
}

struct QueuedMessage {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// A node and the state of it whose first detection by each other node is recorded.
#[derive(Clone, Copy, Debug)]
pub struct StateWatch {
    /// Index of the observed node.
    pub node: usize,
    /// State to detect.
    pub state: NodeState,
}

/// A fleet of kernels on virtual time; nodes are referred to by index.
pub struct KernelFleet {
    /// Current virtual time.
    pub now: Duration,
    /// Time between two ticks.
    pub step: Duration,
    /// Traffic of each node since the last [`Self::clear_traffic`].
    pub traffic: Vec<NodeTraffic>,
    /// Time at which each node first detected the watched state; nodes that have not are absent.
    pub detections: BTreeMap<usize, Duration>,
    watch: Option<StateWatch>,
    kernels: Vec<Option<Kernel>>,
    views: Vec<Option<Arc<MemberView>>>,
    names: Vec<(Box<str>, Box<str>)>,
    index: BTreeMap<NodeId, usize>,
    hosts: Vec<HostEntry>,
    queue: VecDeque<QueuedMessage>,
    /// Zones partitioned from all zones outside this set.
    partitioned_zones: BTreeSet<Box<str>>,
}

/// Returns the number of zones for a fleet of `nodes`: three or four for a small fleet, then one
/// for every 43 nodes, as in the reference fleet of 980 nodes in 23 zones.
pub fn zones_of(nodes: usize) -> usize {
    match nodes {
        0..=9 => 3,
        10..=171 => 4,
        _ => nodes.div_ceil(43),
    }
}

impl KernelFleet {
    /// Starts `nodes` nodes, spread evenly over `zones` zones, at the same virtual time.
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
            detections: BTreeMap::new(),
            watch: None,
            kernels: (0..nodes).map(|_| None).collect(),
            views: vec![None; nodes],
            index: index
                .map(|(n, (name, _))| (NodeId::named(name), n))
                .collect(),
            names,
            hosts,
            queue: VecDeque::new(),
            partitioned_zones: BTreeSet::new(),
        };
        for node in 0..nodes {
            fleet.restart(node, 1_000);
        }
        fleet
    }

    /// Returns the other nodes in the zone of `node`.
    pub fn neighbours(&self, node: usize) -> Vec<usize> {
        let zone = &self.names[node].1;
        (0..self.names.len())
            .filter(|other| *other != node && self.names[*other].1 == *zone)
            .collect()
    }

    /// Returns the nodes of a zone.
    pub fn zone(&self, zone: usize) -> Vec<usize> {
        let name = format!("zone-{zone}");
        (0..self.names.len())
            .filter(|node| *self.names[*node].1 == *name)
            .collect()
    }

    /// Returns whether the node is running.
    pub fn is_running(&self, node: usize) -> bool {
        self.kernels[node].is_some()
    }

    /// Kills a node without a shutdown: it sends no message.
    pub fn kill(&mut self, node: usize) {
        self.kernels[node] = None;
        self.views[node] = None;
    }

    /// Starts a node with a new kernel, under this incarnation.
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
        self.deliver(node, Event::HostList(self.hosts.clone()));
    }

    /// Partitions these zones from all others; an empty list ends the partition.
    pub fn partition(&mut self, zones: impl Iterator<Item = usize>) {
        self.partitioned_zones = zones.map(|zone| format!("zone-{zone}").into()).collect();
    }

    /// Starts to record when each node detects this state of `node`.
    pub fn watch(&mut self, node: usize, state: NodeState) {
        self.watch = Some(StateWatch { node, state });
        self.detections.clear();
    }

    /// Resets the traffic counters of all nodes.
    pub fn clear_traffic(&mut self) {
        self.traffic.fill(NodeTraffic::default());
    }

    /// Returns whether the view of every running node matches `expected`, a function of the
    /// observing and the observed node.
    pub fn agrees(&self, expected: &impl Fn(&Self, usize, usize) -> NodeState) -> bool {
        let is_running = |node: &usize| self.is_running(*node);
        (0..self.kernels.len()).filter(is_running).all(|observer| {
            let Some(view) = &self.views[observer] else {
                return false;
            };
            let matches = |(id, node): (&NodeId, &usize)| {
                let state = view.members.get(id).map(|member| member.state);
                state == Some(expected(self, observer, *node))
            };
            self.index.iter().all(matches)
        })
    }

    fn record_detection(&mut self, observer: usize, view: &MemberView) {
        let Some(watch) = self.watch else {
            return;
        };
        let id = NodeId::named(&self.names[watch.node].0);
        let member = view.members.get(&id);
        if member.is_some_and(|member| member.state == watch.state) {
            self.detections.entry(observer).or_insert(self.now);
        }
    }

    /// Delivers an event to a node; a node that is not running drops it.
    pub fn deliver(&mut self, node: usize, event: Event) {
        let Some(kernel) = &mut self.kernels[node] else {
            return;
        };
        let mut actions = Vec::new();
        kernel.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(node, to, &message),
                Action::UseMembers(view) => {
                    self.record_detection(node, &view);
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
        self.count_message(from, cost, membership);
        let zones = (&self.names[from].1, &self.names[to].1);
        let partitioned =
            self.partitioned_zones.contains(zones.0) != self.partitioned_zones.contains(zones.1);
        if !partitioned && self.kernels[to].is_some() {
            self.count_message(to, cost, membership);
            self.queue.push_back(QueuedMessage { from, to, bytes });
        }
    }

    fn count_message(&mut self, node: usize, cost: u64, membership: bool) {
        let traffic = &mut self.traffic[node];
        traffic.messages += 1;
        traffic.bytes += cost;
        traffic.membership_bytes += cost * u64::from(membership);
    }

    fn deliver_messages(&mut self) {
        while let Some(QueuedMessage { from, to, bytes }) = self.queue.pop_front() {
            let Ok(message) = ciborium::from_reader(&*bytes) else {
                continue;
            };
            let from = NodeId::named(&self.names[from].0);
            self.deliver(to, Event::PeerMessage { from, message });
        }
    }

    /// Advances time by one step: ticks every node, then delivers messages until none is queued.
    pub fn tick(&mut self) {
        self.now += self.step;
        for node in 0..self.kernels.len() {
            self.deliver(node, Event::Tick);
        }
        self.deliver_messages();
    }

    /// Ticks the fleet until `time` has passed.
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
