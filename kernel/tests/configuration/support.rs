//! A simulated fleet: nodes, a log, and messages that the tests deliver explicitly.

use std::sync::Arc;
use std::time::Duration;

use monsoonbank_kernel::config::{Config, ConfigFile, Document, DocumentList, WorkspaceSpec};
use monsoonbank_kernel::configuration::ConfigurationMessage;
use monsoonbank_kernel::configuration::publish::RequestTicket;
use monsoonbank_kernel::configuration::rollout::PublishProgress;
use monsoonbank_kernel::event::{Action, Event};
use monsoonbank_kernel::ids::{Incarnation, NodeId, ZoneId};
use monsoonbank_kernel::kernel::Kernel;
use monsoonbank_kernel::leases::OrderRequest;
use monsoonbank_kernel::membership::{Member, MemberView, NodeState};
use monsoonbank_kernel::plugin::NodeProfile;
use monsoonbank_kernel::record::{
    AppendResult, AppendTicket, ChangeRecord, DocumentChange, LogRecord, PublishResult, Record,
};
use monsoonbank_kernel::wire::Message;

/// Duration of a simulation step.
pub const STEP: Duration = Duration::from_millis(50);

/// A simulated log with offsets, retention and faults.
#[derive(Default)]
pub struct FakeLog {
    pub first: u64,
    pub records: Vec<Record>,
    pub down: bool,
    pub lose_responses: u32,
    /// Every record ever appended, for the oracle.
    pub history: Vec<Record>,
}

impl FakeLog {
    pub fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    pub fn append(&mut self, record: Record) -> u64 {
        self.history.push(record.clone());
        self.records.push(record);
        self.end() - 1
    }

    pub fn truncate(&mut self, first: u64) {
        let first = first.clamp(self.first, self.end());
        self.records.drain(..(first - self.first) as usize);
        self.first = first;
    }

    fn read(&self, from: u64) -> Event {
        if self.down {
            return Event::LogUnavailable;
        }
        if from < self.first {
            return Event::LogTruncated { first: self.first };
        }
        let records = self
            .records
            .iter()
            .zip(self.first..)
            .filter(|(_, offset)| *offset >= from)
            .map(|(record, offset)| LogRecord {
                offset,
                record: Some(record.clone()),
            });
        Event::LogRead {
            records: records.collect(),
            end: self.end(),
        }
    }
}

pub struct TestNode {
    pub id: NodeId,
    pub kernel: Kernel,
    pub alive: bool,
    pub cut_from_log: bool,
    pub paused: bool,
    read: Option<u64>,
    appends: Vec<(AppendTicket, Record)>,
    pub versions: Vec<u64>,
    pub documents: DocumentList,
    pub config: Option<Arc<Config>>,
}

/// An order that a node sent.
#[derive(Clone, Debug)]
pub struct SentOrder {
    pub node: usize,
    pub incarnation: Incarnation,
    pub request: OrderRequest,
    pub fencing: u64,
    pub at: Duration,
    pub not_after: Duration,
}

/// Nodes, the log, and undelivered messages.
pub struct Fleet {
    pub now: Duration,
    pub log: FakeLog,
    pub nodes: Vec<TestNode>,
    pub messages: Vec<(NodeId, NodeId, Message)>,
    pub answers: Vec<(u64, PublishResult)>,
    pub progress: Vec<(u64, PublishProgress)>,
    pub orders: Vec<SentOrder>,
    /// Actions of the nodes, one per line.
    pub trace: Vec<String>,
    ids: Vec<NodeId>,
    incarnation: u64,
}

impl Fleet {
    pub fn new(count: usize) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(1),
            log: FakeLog::default(),
            nodes: Vec::new(),
            messages: Vec::new(),
            answers: Vec::new(),
            progress: Vec::new(),
            orders: Vec::new(),
            trace: Vec::new(),
            ids: (0..count)
                .map(|index| NodeId::named(&format!("node-{index}")))
                .collect(),
            incarnation: 0,
        };
        for index in 0..count {
            let node = fleet.start(index);
            fleet.nodes.push(node);
        }
        fleet.publish_members();
        fleet
    }

    fn start(&mut self, index: usize) -> TestNode {
        self.incarnation += 1;
        let name = format!("node-{index}");
        let id = NodeId::named(&name);
        let profile = NodeProfile {
            node: id,
            name: name.into(),
            zone: ZoneId::named("a"),
            zone_name: "a".into(),
            incarnation: Incarnation(self.incarnation),
            seed: self.incarnation,
            secret: [0; 32],
        };
        let selected = |name: &str| matches!(name, "configuration" | "leases" | "placement");
        TestNode {
            id,
            kernel: Kernel::with_plugins(profile, selected),
            alive: true,
            cut_from_log: false,
            paused: false,
            read: None,
            appends: Vec::new(),
            versions: Vec::new(),
            documents: DocumentList::default(),
            config: None,
        }
    }

    /// Replaces a node by a new run without any state.
    pub fn replace(&mut self, index: usize) {
        let node = self.start(index);
        self.nodes[index] = node;
        self.publish_members();
    }

    /// Sends the current membership view to every node.
    pub fn publish_members(&mut self) {
        let members = self.nodes.iter().filter(|node| node.alive).map(|node| {
            let member = Member {
                name: node.kernel.profile().name.clone(),
                zone: node.kernel.profile().zone,
                zone_name: "a".into(),
                incarnation: node.kernel.profile().incarnation,
                state: NodeState::Live,
                peer_address: "".into(),
                caller_address: "".into(),
            };
            (node.id, member)
        });
        let view = Arc::new(MemberView {
            members: members.collect(),
        });
        for index in 0..self.nodes.len() {
            self.inject(index, Event::MembersChanged(Arc::clone(&view)));
        }
    }

    pub fn inject(&mut self, index: usize, event: Event) {
        let now = self.now;
        self.inject_at(index, now, event);
    }

    /// Injects an event at a time that differs from the fleet's.
    pub fn inject_at(&mut self, index: usize, now: Duration, event: Event) {
        let node = &mut self.nodes[index];
        if !node.alive || node.paused {
            return;
        }
        let mut actions = Vec::new();
        node.kernel.handle(now, event, &mut actions);
        for action in actions {
            self.trace.extend(line(index, now, &action, &self.ids));
            match action {
                Action::Send { to, message } => self.messages.push((node.id, to, message)),
                Action::ReadLog { from } => {
                    assert_eq!(node.read, None, "one read at a time");
                    node.read = Some(from);
                }
                Action::Append { ticket, record } => node.appends.push((ticket, record)),
                Action::PublishAnswered {
                    request, result, ..
                } => self.answers.push((request.0, result)),
                Action::PublishProgressed { request, progress } => {
                    self.progress.push((request.0, progress));
                }
                Action::Order {
                    request,
                    fencing,
                    not_after,
                } => self.orders.push(SentOrder {
                    node: index,
                    incarnation: node.kernel.profile().incarnation,
                    request,
                    fencing,
                    at: now,
                    not_after,
                }),
                Action::UseConfig(config) => node.config = Some(config),
                Action::DocumentsAnswered { list, .. } => node.documents = list,
                _ => {}
            }
        }
        let version = node.version();
        let last = node.versions.last().copied().unwrap_or_default();
        assert!(
            version >= last,
            "version went back from {last} to {version}"
        );
        if version > last {
            node.versions.push(version);
        }
    }

    /// Answers a node's pending read and appends.
    pub fn serve_log(&mut self, index: usize) {
        if self.nodes[index].paused {
            return;
        }
        let cut = self.nodes[index].cut_from_log || self.log.down;
        for (ticket, record) in std::mem::take(&mut self.nodes[index].appends) {
            let result = if cut {
                AppendResult::Refused
            } else if self.log.lose_responses > 0 {
                self.log.lose_responses -= 1;
                self.log.append(record);
                AppendResult::Unknown
            } else {
                let offset = self.log.append(record);
                AppendResult::Appended { offset }
            };
            self.inject(index, Event::AppendDone { ticket, result });
        }
        let Some(from) = self.nodes[index].read else {
            return;
        };
        let event = if cut {
            Event::LogUnavailable
        } else {
            self.log.read(from)
        };
        if matches!(&event, Event::LogRead { records, .. } if records.is_empty())
            && self.nodes[index].number("log_end") == self.log.end()
        {
            return;
        }
        self.nodes[index].read = None;
        self.inject(index, event);
    }

    /// Delivers the oldest undelivered message.
    pub fn deliver_next(&mut self) {
        if !self.messages.is_empty() {
            let (from, to, message) = self.messages.remove(0);
            self.deliver(from, to, message);
        }
    }

    pub fn deliver(&mut self, from: NodeId, to: NodeId, message: Message) {
        if let Some(index) = self.nodes.iter().position(|node| node.id == to) {
            self.inject(index, Event::PeerMessage { from, message });
        }
    }

    /// Advances the time by one step, in which every node ticks, the log answers and all messages
    /// arrive.
    pub fn step(&mut self) {
        self.now += STEP;
        for index in 0..self.nodes.len() {
            self.inject(index, Event::Tick);
            self.serve_log(index);
        }
        for _ in 0..self.messages.len() {
            self.deliver_next();
        }
    }

    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 20 {
            self.step();
        }
    }

    pub fn publish(&mut self, index: usize, request: u64, record: ChangeRecord) {
        let request = RequestTicket(request);
        self.inject(index, Event::PublishRequested { request, record });
    }

    pub fn answer(&self, request: u64) -> Option<&PublishResult> {
        let mut answers = self.answers.iter();
        answers
            .find(|(known, _)| *known == request)
            .map(|(_, result)| result)
    }

    /// The versions in force on the live nodes.
    pub fn in_force(&self) -> Vec<u64> {
        let live = self.nodes.iter().filter(|node| node.alive);
        live.map(TestNode::version).collect()
    }
}

/// The trace line of an action; `None` if the trace leaves it out.
fn line(index: usize, now: Duration, action: &Action, ids: &[NodeId]) -> Option<String> {
    let text = match action {
        Action::Send { to, message } => {
            let to = ids.iter().position(|id| id == to)?;
            format!("to node-{to}: {}", short(message))
        }
        Action::ReadLog { from } => format!("reads from {from}"),
        Action::Append { record, .. } => match record {
            Record::Change(change) => format!("appends change {}", change.id),
            Record::Checkpoint(part) => {
                format!("appends checkpoint {} part {}", part.through, part.part)
            }
            Record::Lease(lease) => format!("appends lease on {}", lease.follows),
        },
        Action::PublishAnswered { id, result, .. } => format!("answers {id}: {result}"),
        Action::PublishProgressed { progress, .. } => {
            format!("counts {} of {}", progress.in_force, progress.of)
        }
        Action::UseConfig(config) => format!("uses version {}", config.version),
        Action::Order {
            request, fencing, ..
        } => format!("orders {} with {fencing}", request.order),
        _ => return None,
    };
    Some(format!("{:.2} node-{index} {text}", now.as_secs_f64()))
}

fn short(message: &Message) -> String {
    let Message::Configuration(message) = message else {
        return "order".into();
    };
    match message {
        ConfigurationMessage::Have { next, ready } => format!("have {next}, ready {ready}"),
        ConfigurationMessage::Ask { next, .. } => format!("ask, have {next}"),
        ConfigurationMessage::Want { from } => format!("want from {from}"),
        ConfigurationMessage::Records(records) => format!("{} records", records.len()),
        ConfigurationMessage::Checkpoint { part, .. } => {
            format!("checkpoint {} part {}", part.through, part.part)
        }
        ConfigurationMessage::Count { version, .. } => format!("count {version}"),
        ConfigurationMessage::Counted { nodes, .. } => format!("counted {nodes}"),
    }
}

impl TestNode {
    pub fn number(&self, field: &str) -> u64 {
        self.kernel.dump(Some("configuration"))["configuration"][field]
            .as_u64()
            .unwrap_or_default()
    }

    pub fn version(&self) -> u64 {
        self.number("version")
    }

    pub fn is_ready(&self) -> bool {
        self.kernel.dump(Some("configuration"))["configuration"]["ready"] == true
    }
}

/// A small valid configuration.
pub fn base_file() -> ConfigFile {
    serde_yaml_ng::from_str(BASE).expect("the file is valid")
}

pub const BASE: &str = "
tiers:
  - { tier: 0, floor: 0.0 }
  - { tier: 1, floor: 0.1 }
classes:
  - { name: chat, tier: 0, target: 1s, repeatable: true }
  - { name: digest, tier: 1, target: 1h, repeatable: true }
pools:
  - { name: writer, kind: model }
upstreams:
  - { name: engine-1, pool: writer, zone: a, address: '127.0.0.1:7001', slots: 4 }
rules:
  - { name: all, when: { models: [writer] }, then: { class: chat } }
";

pub fn base_change() -> ChangeRecord {
    ChangeRecord::from_file("base", &base_file())
}

/// A workspace whose content differs by `weight`.
pub fn workspace(name: &str, weight: u32) -> Document {
    let token = format!("{:064x}", NodeId::named(name).0);
    Document::Workspace(WorkspaceSpec {
        name: name.into(),
        token_sha256: token.into(),
        weight,
        calls_per_second: None,
        concurrent_calls: None,
    })
}

pub fn set_workspace(id: &str, name: &str, weight: u32, replaces: u64) -> ChangeRecord {
    ChangeRecord {
        id: id.into(),
        changes: vec![DocumentChange::set(workspace(name, weight), replaces)],
    }
}
