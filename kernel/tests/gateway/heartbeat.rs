//! Tests of the size of heartbeats.

use std::time::Duration;

use monsoonbank_kernel::gateway::brittle::RefusalReport;
use monsoonbank_kernel::gateway::content::ContentDigest;
use monsoonbank_kernel::gateway::crashes::CrashLedger;
use monsoonbank_kernel::gateway::crashes::evidence::{CrashReport, SuspectCall};
use monsoonbank_kernel::gateway::crashes::news::CrashNews;
use monsoonbank_kernel::gateway::crashes::suspect::SuspectKey;
use monsoonbank_kernel::gateway::heartbeat::{NodeCard, NodeHeartbeat, NodeState};
use monsoonbank_kernel::gateway::message::NodeMessage;
use monsoonbank_kernel::gateway::registry::{
    EntryRecord, EntryReport, RunClaim, RunNews, UpstreamEntry,
};

/// Most pools out of reach in one heartbeat.
const MOST_UNREACHED: usize = 8;
/// Most refusals in one heartbeat.
const MOST_REFUSALS: usize = 16;
/// Largest datagram less what a heartbeat with work at many upstreams takes, in bytes.
const MOST_NEWS: usize = 1000;

fn size(value: &impl serde::Serialize) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("written");
    bytes.len()
}

fn card() -> NodeCard {
    NodeCard {
        name: "node".into(),
        incarnation: 1,
        zone: "zone".into(),
        callers: ([10, 0, 0, 1], 1).into(),
        peers: ([10, 0, 0, 1], 2).into(),
        capacity: 1,
        state: NodeState::Ready,
    }
}

#[test]
fn lost_pools_and_refusals_add_few_bytes() {
    let empty = NodeHeartbeat::new(card());
    let refusal = RefusalReport {
        run: u64::MAX,
        refusals: 1000,
        age_ms: 999,
    };
    let lost = NodeHeartbeat {
        unreached: vec![u64::from(u32::MAX); MOST_UNREACHED],
        ..empty.clone()
    };
    let refused = NodeHeartbeat {
        refusals: vec![refusal; MOST_REFUSALS],
        ..empty.clone()
    };
    let of_lost = size(&lost) - size(&empty);
    let of_refused = size(&refused) - size(&empty);
    println!("{of_lost} B for {MOST_UNREACHED} pools, {of_refused} B for {MOST_REFUSALS} refusals");
    assert!(of_lost <= 40 && of_refused <= 260);
}

/// A ledger of many crashes at once, of calls with this number of shared parts each, half of which were
/// answered before.
fn busy_ledger(parts: u64) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for crash in 0..200_u64 {
        let now = Duration::from_millis(crash * 100);
        let suspects = |call: u64| {
            let shared =
                (0..parts).map(move |part| SuspectKey::Part(u64::MAX - part * 7 - call % 5));
            let content = ContentDigest::from(u64::MAX - crash * 100 - call);
            [SuspectKey::Content(content)].into_iter().chain(shared)
        };
        let call = |call: u64| SuspectCall {
            sent_ms: 400,
            suspects: suspects(call).collect(),
        };
        let report = CrashReport {
            run: u64::MAX - crash,
            age_ms: 0,
            calls: (0..6).map(call).collect(),
        };
        ledger.record_crash(&report, now);
        let answered: Vec<SuspectKey> = suspects(0).collect();
        ledger.record_answer(&answered, now, now);
    }
    ledger
}

// Guards against crashes of many upstreams that make heartbeats too large for a datagram.
#[test]
fn news_of_crashes_fits_into_a_datagram() {
    let empty = size(&CrashNews::default());
    for parts in [0, 3, 32] {
        let mut ledger = busy_ledger(parts);
        let mut most = 0;
        for round in 0..40 {
            let now = Duration::from_millis(19_900 + round * 10);
            most = most.max(size(&ledger.recent_news(now)));
        }
        println!("{most} B of news at most with {parts} shared parts, {empty} B without crashes");
        assert!(most <= MOST_NEWS, "{most} B with {parts} shared parts");
        assert!(most > empty);
    }
}

/// Number of upstreams in the news of one heartbeat.
const MOST_RUNS: usize = 24;

fn heartbeat_with_news() -> NodeHeartbeat {
    let record = EntryRecord {
        era: 3,
        offset: 70_000,
        is_current: true,
    };
    let news = RunNews {
        run: u64::from(u32::MAX),
        claim: RunClaim::Written(record),
    };
    NodeHeartbeat {
        news: Some(vec![news; MOST_RUNS]),
        ..NodeHeartbeat::new(card())
    }
}

#[test]
fn news_of_upstreams_adds_few_bytes() {
    let heartbeat = heartbeat_with_news();
    let without = NodeHeartbeat {
        news: Some(Vec::new()),
        ..heartbeat.clone()
    };
    let bytes = size(&heartbeat) - size(&without);
    println!("{bytes} B for {MOST_RUNS} upstreams");
    assert!(bytes <= 25 * MOST_RUNS);
}

// Guards against nodes of two releases that do not hear each other.
#[test]
fn nodes_of_an_earlier_release_send_and_read_heartbeats_without_news() {
    let heartbeat = heartbeat_with_news();
    let mut bytes = Vec::new();
    ciborium::into_writer(&heartbeat, &mut bytes).expect("written");
    let value: ciborium::Value = ciborium::from_reader(&bytes[..]).expect("a value");
    let ciborium::Value::Array(mut fields) = value else {
        panic!("a heartbeat is a list");
    };
    // A field that this release does not know.
    fields.push(1.into());
    let message = |fields: Vec<ciborium::Value>| {
        let tagged = ciborium::Value::Map(vec![("h".into(), ciborium::Value::Array(fields))]);
        let mut bytes = Vec::new();
        ciborium::into_writer(&tagged, &mut bytes).expect("written");
        let message: NodeMessage = ciborium::from_reader(&bytes[..]).expect("a heartbeat");
        match message {
            NodeMessage::Heartbeat(heartbeat) => heartbeat.into_owned(),
            NodeMessage::Start(_) => panic!("a heartbeat"),
        }
    };
    assert_eq!(message(fields.clone()), heartbeat);
    fields.truncate(fields.len() - 2);
    let earlier = message(fields);
    assert_eq!(earlier.news, None);
    assert_eq!(earlier.card, heartbeat.card);
}

// Guards against registries that nodes of two releases cannot read from each other.
#[test]
fn nodes_of_an_earlier_release_send_and_read_entries_without_records() {
    let entry = UpstreamEntry {
        written: Some(EntryRecord::default()),
        ..crate::registry::entry("a", 1, false)
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&EntryReport { entry, left: true }, &mut bytes).expect("written");
    let mut value: ciborium::Value = ciborium::from_reader(&bytes[..]).expect("a value");
    let pair = value.as_array_mut().expect("a pair");
    assert_eq!(pair[1], ciborium::Value::Bool(true));
    let fields = pair[0].as_map_mut().expect("fields by name");
    fields.retain(|(name, _)| name.as_text() != Some("written"));
    let report: EntryReport = value.deserialized().expect("a report");
    assert_eq!(report.entry, crate::registry::entry("a", 1, false));
}
