//! Traffic per node for the exchange of configuration, and the time until a change is in force on
//! every node, in virtual time, by number of nodes.
//!
//! Run with `cargo bench -p monsoonbank-kernel --bench traffic`. Messages are counted as CBOR with
//! the headers of WebSocket (6 B), TCP (32 B) and IP (20 B), and an acknowledgement (52 B); reads
//! of the log are counted as JSON with [`HTTP_BYTES`] for the request, the headers and the
//! segments. A message takes one step of 20 ms.

use std::sync::Arc;
use std::time::Duration;

use monsoonbank_kernel::config::{Document, WorkspaceSpec};
use monsoonbank_kernel::event::{Action, Event};
use monsoonbank_kernel::ids::{Incarnation, NodeId, ZoneId};
use monsoonbank_kernel::kernel::Kernel;
use monsoonbank_kernel::membership::{Member, MemberView, NodeState};
use monsoonbank_kernel::plugin::NodeProfile;
use monsoonbank_kernel::record::{ChangeRecord, DocumentChange, LogRecord, Record};
use monsoonbank_kernel::wire::Message;

const STEP: Duration = Duration::from_millis(20);
const FRAME_BYTES: usize = 6 + 32 + 20 + 52;
const HTTP_BYTES: usize = 600;
const LONG_POLL: Duration = Duration::from_secs(5);
const ZONES: usize = 23;
/// Interval at a rate of 14,000 changes per day.
const CHANGE_EVERY: Duration = Duration::from_millis(86_400_000 / 14_000);
const CHANGES: u32 = 10;

struct SimNode {
    kernel: Kernel,
    read: Option<(u64, Duration)>,
    version: u64,
}

#[derive(Default)]
struct Sim {
    now: Duration,
    nodes: Vec<SimNode>,
    ids: Vec<NodeId>,
    log: Vec<Record>,
    log_down_for: Option<usize>,
    in_flight: Vec<(NodeId, NodeId, Message)>,
    peer_bytes: usize,
    peer_messages: usize,
    log_bytes: usize,
}

fn profile(index: usize) -> NodeProfile {
    let zone = format!("zone-{}", index % ZONES);
    NodeProfile {
        node: NodeId::named(&format!("node-{index}")),
        name: format!("node-{index}").into(),
        zone: ZoneId::named(&zone),
        zone_name: zone.into(),
        incarnation: Incarnation(1),
        seed: index as u64,
        secret: [0; 32],
    }
}

impl Sim {
    fn new(count: usize) -> Self {
        let mut sim = Self::default();
        for index in 0..count {
            let profile = profile(index);
            sim.ids.push(profile.node);
            sim.nodes.push(SimNode {
                kernel: Kernel::with_plugins(profile, |name| name == "configuration"),
                read: None,
                version: 0,
            });
        }
        let members = sim.nodes.iter().map(|node| {
            let profile = node.kernel.profile();
            let member = Member {
                name: profile.name.clone(),
                zone: profile.zone,
                zone_name: profile.zone_name.clone(),
                incarnation: profile.incarnation,
                state: NodeState::Live,
                peer_address: "".into(),
                caller_address: "".into(),
            };
            (profile.node, member)
        });
        let members = members.collect();
        let view = Arc::new(MemberView { members });
        for index in 0..count {
            sim.handle(index, Event::MembersChanged(Arc::clone(&view)));
        }
        sim
    }

    fn handle(&mut self, index: usize, event: Event) {
        let mut actions = Vec::new();
        let node = &mut self.nodes[index];
        node.kernel.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let mut bytes = Vec::new();
                    ciborium::into_writer(&message, &mut bytes).expect("a message is written");
                    self.peer_bytes += bytes.len() + FRAME_BYTES;
                    self.peer_messages += 1;
                    self.in_flight
                        .push((node.kernel.profile().node, to, message));
                }
                Action::ReadLog { from } => node.read = Some((from, self.now)),
                Action::UseConfig(config) => node.version = config.version,
                _ => {}
            }
        }
    }

    fn serve_log(&mut self, index: usize) {
        let Some((from, since)) = self.nodes[index].read else {
            return;
        };
        if self.log_down_for.is_some_and(|only| only != index) {
            self.nodes[index].read = None;
            return self.handle(index, Event::LogUnavailable);
        }
        let end = self.log.len() as u64;
        if from >= end && self.now.saturating_sub(since) < LONG_POLL {
            return;
        }
        let records: Vec<LogRecord> = (from..end)
            .map(|offset| LogRecord {
                offset,
                record: Some(self.log[offset as usize].clone()),
            })
            .collect();
        let body = serde_json::to_vec(&records).expect("records are written");
        self.log_bytes += body.len() + HTTP_BYTES;
        self.nodes[index].read = None;
        self.handle(index, Event::LogRead { records, end });
    }

    fn step(&mut self) {
        self.now += STEP;
        for (from, to, message) in std::mem::take(&mut self.in_flight) {
            let index = self.ids.iter().position(|id| *id == to).expect("a node");
            self.handle(index, Event::PeerMessage { from, message });
        }
        for index in 0..self.nodes.len() {
            self.handle(index, Event::Tick);
            self.serve_log(index);
        }
    }

    fn change(&mut self, number: u32) {
        let workspace = WorkspaceSpec {
            name: format!("workspace-{number}").into(),
            token_sha256: format!("{number:064x}").into(),
            weight: 1,
            calls_per_second: Some(100.0),
            concurrent_calls: None,
        };
        self.log.push(Record::Change(ChangeRecord {
            id: format!("{number:032x}").into(),
            changes: vec![DocumentChange::set(Document::Workspace(workspace), 0)],
        }));
    }

    /// Runs until the newest record of the log is in force on every node; returns the time taken.
    fn until_in_force(&mut self) -> Duration {
        let start = self.now;
        while self
            .nodes
            .iter()
            .any(|node| node.version < self.log.len() as u64)
        {
            self.step();
        }
        self.now.saturating_sub(start)
    }
}

/// Simulates a period with changes at the daily rate. Returns the bytes per second and node (sent
/// and received) between nodes and to the log, the messages sent per second and node, and the
/// longest time until a change is in force.
fn measure(count: usize, changes: u32) -> (f64, f64, f64, Duration) {
    let mut sim = Sim::new(count);
    sim.change(0);
    sim.until_in_force();
    (sim.peer_bytes, sim.peer_messages, sim.log_bytes) = (0, 0, 0);
    let start = sim.now;
    let mut longest = Duration::ZERO;
    for number in 1..=CHANGES {
        let next = sim.now + CHANGE_EVERY;
        if number <= changes {
            sim.change(number);
            longest = longest.max(sim.until_in_force());
        }
        while sim.now < next {
            sim.step();
        }
    }
    let share = sim.now.saturating_sub(start).as_secs_f64() * count as f64;
    let peers = 2.0 * sim.peer_bytes as f64 / share;
    (
        peers,
        sim.log_bytes as f64 / share,
        sim.peer_messages as f64 / share,
        longest,
    )
}

/// Time until one more change is in force while only one node can read the log.
fn outage(count: usize) -> Duration {
    let mut sim = Sim::new(count);
    sim.change(0);
    sim.until_in_force();
    sim.log_down_for = Some(0);
    for _ in 0..100 {
        sim.step();
    }
    sim.change(1);
    sim.until_in_force()
}

fn main() {
    println!("nodes  changes/day  peer B/s  log B/s  messages/s  in force  in force, log down");
    for count in [9, 20, 40, 80, 160, 320, 980] {
        for changes in [0, CHANGES] {
            let (peers, log, messages, longest) = measure(count, changes);
            let rate = if changes == 0 { 0 } else { 14_000 };
            let down = if changes == 0 {
                Duration::ZERO
            } else {
                outage(count)
            };
            println!(
                "{count:5}  {rate:11}  {peers:8.0}  {log:7.0}  {messages:10.2}  {longest:8.2?}  \
                 {down:8.2?}"
            );
        }
    }
}
