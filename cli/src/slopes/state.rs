//! Memory and time that one node's kernel needs per engine, workspace, rule, queued call,
//! configuration record and other kinds of state.

use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use monsoonbank_kernel::call::{CallSpec, LoadReport, Tier, WorkSpec};
use monsoonbank_kernel::config::document::Document;
use monsoonbank_kernel::config::{
    ClassSpec, Config, ConfigFile, RequestFacts, RuleMatch, RuleSpec, RuleTarget, TierSpec,
    WorkspaceSpec,
};
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::{
    AttemptId, CallId, ClassId, Incarnation, NodeId, PoolId, UpstreamId, WorkspaceId, ZoneId,
};
use monsoonbank_kernel::kernel::Kernel;
use monsoonbank_kernel::membership::{HostEntry, HostRole};
use monsoonbank_kernel::plugin::NodeProfile;
use monsoonbank_kernel::record::{ChangeRecord, DocumentChange, LogRecord, Record};
use monsoonbank_kernel::wire::{Message, WorkMessage};
use serde::{Deserialize, Serialize};

use crate::slopes::{meter, owners};

/// Cost of one kind of state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StateSample {
    /// Description of the kind of state.
    pub item: Box<str>,
    /// Number of items actually held or processed.
    pub count: usize,
    /// Size per item, in bytes: resident memory, or the encoded size for items on the wire. 0 where
    /// it is not measured.
    pub bytes_each: f64,
    /// Time to process one item, in microseconds.
    pub microseconds_each: f64,
}

/// Number of workspaces in the reference fleet of the capacity page.
const WORKSPACES: usize = 5_400;
const NOW: Duration = Duration::from_secs(1);

/// Creates the kernel of a node with this name in `zone-0`.
pub fn kernel(name: &str) -> Kernel {
    Kernel::new(NodeProfile {
        node: NodeId::named(name),
        name: name.into(),
        zone: ZoneId::named("zone-0"),
        zone_name: "zone-0".into(),
        incarnation: Incarnation(1),
        seed: 1,
        secret: [0; 32],
    })
}

/// Runs `work`, which creates `count` items, on a new thread that is parked until the process ends,
/// so that the items are never freed. The allocator then requests new memory for every sample, and
/// memory freed by an earlier one does not hide what this one uses.
fn sample<T: Send + 'static>(
    item: &str,
    count: usize,
    work: impl FnOnce() -> T + Send + 'static,
) -> StateSample {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let before = meter::resident_bytes();
        let started = Instant::now();
        let items = work();
        let spent = started.elapsed();
        let bytes = meter::resident_bytes().saturating_sub(before);
        let delivered = sender.send((bytes, spent));
        while delivered.is_ok() {
            std::thread::park();
        }
        drop(items);
    });
    let (bytes, spent) = receiver.recv().unwrap_or_default();
    StateSample {
        item: item.into(),
        count,
        bytes_each: bytes as f64 / count as f64,
        microseconds_each: spent.as_secs_f64() * 1e6 / count as f64,
    }
}

/// Measures every kind of state; `scale` is in percent of the reference fleet.
pub fn measure(scale: usize) -> Vec<StateSample> {
    vec![
        engines(10_000 * scale / 100),
        workspaces(5_400 * scale / 100),
        rules(5_400 * scale / 100),
        classifications(5_400 * scale / 100),
        queued_calls(10_000 * scale / 100),
        records(14_000 * scale / 100),
        reports(10_000 * scale / 100),
        host_rows(10_980 * scale / 100),
        host_list_text(10_980 * scale / 100),
    ]
}

/// Applies a configuration of `count` engines with owners among 980 nodes.
fn engines(count: usize) -> StateSample {
    let file = owners::file(count, 23);
    let members = Event::MembersChanged(Arc::new(owners::view(980, 23)));
    sample("engine", count, move || {
        let mut kernel = kernel_with(&file);
        kernel.handle(NOW, members, &mut Vec::new());
        kernel
    })
}

fn workspace(index: usize) -> WorkspaceSpec {
    WorkspaceSpec {
        name: format!("workspace-{index}").into(),
        token_sha256: format!("{index:064x}").into(),
        weight: 1,
        calls_per_second: Some(100.0),
        concurrent_calls: Some(100),
    }
}

fn workspaces(count: usize) -> StateSample {
    let file = ConfigFile {
        workspaces: (0..count).map(workspace).collect(),
        ..ConfigFile::default()
    };
    sample("workspace", count, move || kernel_with(&file))
}

fn kernel_with(file: &ConfigFile) -> Kernel {
    let mut kernel = kernel("node-0");
    let config = Event::ConfigApplied(Arc::new(Config::from_file(1, file)));
    kernel.handle(NOW, config, &mut Vec::new());
    kernel
}

fn rule(index: usize) -> RuleSpec {
    RuleSpec {
        name: format!("rule-{index}").into(),
        when: RuleMatch {
            workspaces: vec![format!("workspace-{index}").into()],
            ..RuleMatch::default()
        },
        then: RuleTarget {
            class: "urgent".into(),
            tier: None,
            pool: Some("model".into()),
        },
    }
}

/// Builds a configuration with `count` rules.
fn rules(count: usize) -> StateSample {
    let file = rule_file(count);
    sample("rule", count, move || Config::from_file(1, &file))
}

fn rule_file(count: usize) -> ConfigFile {
    let mut file = base_file();
    file.rules = (0..count).map(rule).collect();
    file
}

/// Classifies requests with `rules` rules of which only the last matches.
fn classifications(rules: usize) -> StateSample {
    let config = Config::from_file(1, &rule_file(rules));
    let name = format!("workspace-{}", rules - 1);
    let facts = RequestFacts {
        workspace: &name,
        model: "model",
        ..RequestFacts::default()
    };
    let requests = 0..1_000;
    let started = Instant::now();
    let found = requests.filter(|_| config.classify(&facts).is_some());
    let count = found.count();
    let spent = started.elapsed().as_secs_f64() * 1e6;
    StateSample {
        item: format!("request classified by {rules} rules").into(),
        count,
        bytes_each: 0.0,
        microseconds_each: spent / count.max(1) as f64,
    }
}

fn base_file() -> ConfigFile {
    ConfigFile {
        tiers: vec![TierSpec {
            tier: Tier(0),
            floor: 0.1,
        }],
        classes: vec![ClassSpec {
            name: "urgent".into(),
            tier: Tier(0),
            target: Duration::from_millis(650),
            token_target: None,
            repeatable: true,
        }],
        pools: vec![monsoonbank_kernel::config::PoolSpec {
            name: "model".into(),
            kind: monsoonbank_kernel::config::PoolKind::Model,
        }],
        ..ConfigFile::default()
    }
}

fn work(index: usize) -> WorkSpec {
    let call = CallId {
        node: NodeId::named("entry"),
        incarnation: Incarnation(1),
        sequence: index as u64,
    };
    WorkSpec {
        attempt: AttemptId { call, number: 1 },
        spec: CallSpec {
            call,
            workspace: WorkspaceId::named(&format!("workspace-{}", index % 100)),
            class: ClassId::named("urgent"),
            tier: Tier(0),
            pool: PoolId::named("model"),
            time_left: Duration::from_hours(1),
            repeatable: true,
            prompt_tokens: 100,
            max_tokens: 100,
            prefix: 0,
        },
        resume_from: 0,
    }
}

/// Queues `count` calls at an owner whose one engine has no free slot.
fn queued_calls(count: usize) -> StateSample {
    let mut file = base_file();
    file.workspaces = (0..100).map(workspace).collect();
    let mut kernel = kernel_with(&file);
    let mut config = owners::config(1, 1);
    config.classes = Config::from_file(1, &file).classes;
    config.tiers = Config::from_file(1, &file).tiers;
    config.workspaces = Config::from_file(1, &file).workspaces;
    let mut actions = Vec::new();
    kernel.handle(NOW, Event::ConfigApplied(Arc::new(config)), &mut actions);
    let members = Event::MembersChanged(Arc::new(owners::view(1, 1)));
    kernel.handle(NOW, members, &mut actions);
    sample("queued call", count, move || {
        for index in 0..count {
            let message = Message::Work(WorkMessage::Offer(work(index)));
            let from = NodeId::named("entry");
            kernel.handle(NOW, Event::PeerMessage { from, message }, &mut actions);
            actions.clear();
        }
        kernel
    })
}

/// Applies `count` records of small changes, read from the log in batches.
fn records(count: usize) -> StateSample {
    let records: Vec<LogRecord> = (0..count).map(record).collect();
    sample("configuration record", count, move || {
        let mut kernel = kernel("node-0");
        let mut actions = Vec::new();
        for batch in records.chunks(100) {
            let end = count as u64;
            let records = batch.to_vec();
            kernel.handle(NOW, Event::LogRead { records, end }, &mut actions);
            actions.clear();
        }
        let dump = kernel.dump(Some("configuration"))["configuration"].take();
        let refused = dump["refused"].as_array().map(Vec::len);
        assert_eq!((&dump["next_offset"], refused), (&count.into(), Some(0)));
        (kernel, records)
    })
}

/// Creates a record that sets one of 5,400 workspaces. The first record of a workspace replaces no
/// earlier version.
fn record(index: usize) -> LogRecord {
    let content = Document::Workspace(workspace(index % WORKSPACES));
    let replaces = (index + 1).saturating_sub(WORKSPACES) as u64;
    LogRecord {
        offset: index as u64,
        record: Some(Record::Change(ChangeRecord {
            id: format!("change-{index}").into(),
            changes: vec![DocumentChange::set(content, replaces)],
        })),
    }
}

/// Processes one load report of each of `count` engines at one node.
fn reports(count: usize) -> StateSample {
    let mut kernel = kernel("node-0");
    let config = Event::ConfigApplied(Arc::new(owners::config(count, 23)));
    kernel.handle(NOW, config, &mut Vec::new());
    sample("engine report", count, move || {
        let mut actions = Vec::new();
        for index in 0..count {
            let upstream = UpstreamId::named(&format!("engine-{index}"));
            let report = LoadReport::default();
            kernel.handle(
                NOW,
                Event::UpstreamReported { upstream, report },
                &mut actions,
            );
            actions.clear();
        }
        kernel
    })
}

/// Applies a host list of `count` rows: 980 nodes, the rest upstreams.
fn host_rows(count: usize) -> StateSample {
    let hosts: Vec<HostEntry> = (0..count).map(host_row).collect();
    sample("host list row", count, move || {
        let mut kernel = kernel("node-0");
        kernel.handle(NOW, Event::HostList(hosts), &mut Vec::new());
        kernel
    })
}

/// Parses the JSON of a host list: bytes per row on the wire, and time to parse one.
fn host_list_text(count: usize) -> StateSample {
    let hosts: Vec<HostEntry> = (0..count).map(host_row).collect();
    let text = serde_json::to_vec(&hosts).unwrap_or_default();
    let started = Instant::now();
    let read: Vec<HostEntry> = serde_json::from_slice(&text).unwrap_or_default();
    let spent = started.elapsed().as_secs_f64() * 1e6;
    StateSample {
        item: "host list row on the wire".into(),
        count: read.len(),
        bytes_each: text.len() as f64 / count as f64,
        microseconds_each: spent / count as f64,
    }
}

fn host_row(index: usize) -> HostEntry {
    let node = index < 980;
    HostEntry {
        name: format!("{}-{index}", if node { "node" } else { "engine" }).into(),
        zone: format!("zone-{}", index % 23).into(),
        role: if node {
            HostRole::Node
        } else {
            HostRole::Upstream
        },
        peer_address: "10.100.100.100:7100".into(),
        caller_address: "10.100.100.100:8080".into(),
        leaving: false,
    }
}
