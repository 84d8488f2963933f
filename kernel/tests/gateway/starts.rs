//! Tests of the software versions that nodes keep of streams, in fleets of the sizes that are built for.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use monsoonbank_kernel::gateway::message::NodeMessage;
use monsoonbank_kernel::gateway::registry::SoftwareKey;
use monsoonbank_kernel::gateway::starts::{StartLedger, StartMessage, StreamKey, StreamStart};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::gossip::ModelFleet;
use crate::registry::entry;

const NOW: Duration = Duration::from_secs(100);
const SECOND: Duration = Duration::from_secs(1);

fn software(version: &str) -> SoftwareKey {
    let mut entry = entry("any", 1, false);
    entry.version = version.into();
    entry.software()
}

fn began(attempt: &str, left: Duration) -> StreamStart {
    StreamStart::new(StreamKey::new(attempt), software("v1"), left)
}

fn found(ledger: &StartLedger, attempt: &str, now: Duration) -> Option<SoftwareKey> {
    let start = ledger.start(StreamKey::new(attempt), now);
    start.map(|start| start.software)
}

#[test]
fn a_stream_is_kept_for_as_long_as_its_caller_waits() {
    let mut ledger = StartLedger::default();
    ledger.record(began("a", SECOND * 10), NOW);
    assert_eq!(found(&ledger, "a", NOW + SECOND * 10), Some(software("v1")));
    assert_eq!(found(&ledger, "a", NOW + SECOND * 20), None);
    assert_eq!(found(&ledger, "b", NOW), None);
    ledger.expire(NOW + SECOND * 20);
    assert!(ledger.is_empty());
}

// Guards against a stream that changes its version: it began once.
#[test]
fn the_first_version_of_a_stream_stays() {
    let mut ledger = StartLedger::default();
    ledger.record(began("a", SECOND), NOW);
    let other = StreamStart {
        software: software("v2"),
        ..began("a", SECOND * 20)
    };
    ledger.record(other, NOW);
    assert_eq!(found(&ledger, "a", NOW + SECOND * 20), Some(software("v1")));
    assert_eq!(ledger.len(), 1);
}

// Guards against a time that a message makes longer than any caller waits.
#[test]
fn no_stream_is_kept_for_ever() {
    let mut ledger = StartLedger::default();
    ledger.record(began("a", Duration::MAX), NOW);
    let endless = StreamStart {
        left_s: u32::MAX,
        ..began("b", SECOND)
    };
    ledger.record(endless, NOW);
    let later = NOW + SECOND * 3600;
    assert_eq!(
        (found(&ledger, "a", later), found(&ledger, "b", later)),
        (None, None)
    );
}

// Guards against state that grows with the calls of a flood.
#[test]
fn the_number_of_streams_is_bounded() {
    let mut ledger = StartLedger::default();
    for number in 0..70_000 {
        ledger.record(began(&number.to_string(), SECOND * 60), NOW);
    }
    assert_eq!(ledger.len(), 65_536);
    assert_eq!(found(&ledger, "69999", NOW), Some(software("v1")));
}

#[test]
fn few_streams_a_second_are_told_to_further_keepers() {
    let mut ledger = StartLedger::default();
    let told =
        (0..1000).filter(|step| ledger.may_tell_further(NOW + Duration::from_millis(10) * *step));
    let told = told.count();
    assert!((200..=221).contains(&told), "{told} in ten seconds");
}

/// What a ledger has to know: the version that each stream was recorded with first, and until when.
#[derive(Default)]
struct StartOracle(BTreeMap<String, (SoftwareKey, Duration)>);

impl StartOracle {
    fn record(&mut self, attempt: &str, software: SoftwareKey, until: Duration, now: Duration) {
        self.0.retain(|_, (_, until)| *until > now);
        let known = self
            .0
            .entry(attempt.to_owned())
            .or_insert((software, until));
        known.1 = known.1.max(until);
    }

    fn found(&self, attempt: &str, now: Duration) -> Option<SoftwareKey> {
        let known = self.0.get(attempt).filter(|(_, until)| *until > now);
        known.map(|(software, _)| *software)
    }
}

// Guards against a stream that is forgotten early, kept late or given another version, in any order of
// messages.
#[test]
fn a_ledger_knows_what_an_oracle_knows() {
    for seed in 0..200 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut ledger = StartLedger::default();
        let mut oracle = StartOracle::default();
        let mut now = NOW;
        for _ in 0..400 {
            now += Duration::from_millis(random.random_range(0..2000));
            let attempt = random.random_range(0..12).to_string();
            let start = StreamStart {
                software: software(["v1", "v2", "v3"][random.random_range(0..3)]),
                ..began(&attempt, SECOND * random.random_range(0..40))
            };
            if random.random_bool(0.5) {
                let until = now + SECOND * start.left_s;
                oracle.record(&attempt, start.software, until, now);
                ledger.record(start, now);
            }
            if random.random_bool(0.1) {
                ledger.expire(now);
            }
            assert_eq!(
                found(&ledger, &attempt, now),
                oracle.found(&attempt, now),
                "seed {seed}"
            );
        }
    }
}

/// How many of the streams of nodes that were lost are found by the nodes that are left.
struct KeptShare {
    /// Found by callers who return to the same zone; `None` if no node of it is left.
    near: Option<f64>,
    /// Found by callers who return to another zone.
    far: Option<f64>,
    /// Keepers that are told of a stream, without further ones.
    told: f64,
    asked: f64,
}

/// Stops a share of all nodes at once and counts the streams that are found: by callers who return to
/// the same zone, and to any other.
fn kept_share(nodes: usize, lost: f64) -> KeptShare {
    let mut fleet = ModelFleet::new(nodes, 7);
    fleet.run(SECOND * 60);
    let mut random = Pcg64Mcg::seed_from_u64(11);
    let mut order: Vec<usize> = (0..nodes).collect();
    order.shuffle(&mut random);
    let (gone, left) = order.split_at(((nodes as f64 * lost) as usize).max(1));
    let gone_at: BTreeSet<SocketAddr> = gone.iter().map(|at| fleet.nodes[*at].card.peers).collect();
    let (mut found, mut tried) = ([0_u32; 2], [0_u32; 2]);
    let (mut told, mut asked, mut streams) = (0, 0, 0);
    for number in 0..4000 {
        let stream = StreamKey::new(&number.to_string());
        let begins = &fleet.nodes[gone[random.random_range(0..gone.len())]];
        let keepers = begins.view.start_keepers(stream, fleet.now);
        told += keepers.required.len();
        streams += 1;
        let keepers: BTreeSet<SocketAddr> = keepers
            .required
            .into_iter()
            .chain(keepers.further)
            .collect();
        let returns = &fleet.nodes[left[random.random_range(0..left.len())]];
        let mut sources = returns.view.start_sources(stream, fleet.now);
        asked += sources.len();
        sources.insert(returns.card.peers);
        let is_far = usize::from(returns.card.zone != begins.card.zone);
        tried[is_far] += 1;
        let knows = |at: &SocketAddr| keepers.contains(at) && !gone_at.contains(at);
        found[is_far] += u32::from(sources.iter().any(knows));
    }
    let share = |zone: usize| {
        let [found, tried] = [found[zone], tried[zone]].map(f64::from);
        (tried > 0.0).then(|| found / tried)
    };
    KeptShare {
        near: share(0),
        far: share(1),
        told: f64::from(told as u32) / f64::from(streams),
        asked: f64::from(asked as u32) / f64::from(streams),
    }
}

/// Defines a case: number of nodes, the share that is lost at once, and the least shares of streams
/// that are found by callers who return to the same zone and to another one.
macro_rules! kept {
    ($($name:ident: $nodes:literal, $lost:literal => $near:literal, $far:literal;)*) => {$(
        #[test]
        fn $name() {
            let share = kept_share($nodes, $lost);
            println!("{}: {:?} and {:?} found, {:.2} told, {:.2} asked",
                stringify!($name), share.near, share.far, share.told, share.asked);
            let [near, far] = [share.near, share.far].map(|share| share.unwrap_or(1.0));
            assert!(near >= $near, "{near} in the same zone");
            assert!(far >= $far, "{far} in another zone");
        }
    )*};
}

// Guards against streams whose callers return in vain since no node that is left knows them: half of
// what can begin anew has to go on.
kept! {
    one_of_6_nodes: 6, 0.17 => 0.99, 0.99;
    half_of_6_nodes: 6, 0.5 => 0.5, 0.5;
    one_of_9_nodes: 9, 0.1 => 0.99, 0.99;
    three_of_9_nodes: 9, 0.34 => 0.9, 0.9;
    half_of_9_nodes: 9, 0.5 => 0.5, 0.5;
    a_tenth_of_30_nodes: 30, 0.1 => 0.9, 0.9;
    a_tenth_of_300_nodes: 300, 0.1 => 0.9, 0.9;
    half_of_300_nodes: 300, 0.5 => 0.5, 0.5;
    one_of_980_nodes: 980, 0.002 => 0.99, 0.99;
    half_of_980_nodes: 980, 0.5 => 0.5, 0.5;
}

/// Defines a case: a message about a stream, and the most bytes that it may take.
macro_rules! sizes {
    ($($name:ident: $message:expr => $most:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut bytes = Vec::new();
            ciborium::into_writer(&NodeMessage::Start($message), &mut bytes).expect("written");
            println!("{}: {} bytes", stringify!($name), bytes.len());
            assert!(bytes.len() <= $most, "{} bytes", bytes.len());
            let read: NodeMessage = ciborium::from_reader(&bytes[..]).expect("read");
            assert_eq!(read, NodeMessage::Start($message));
        }
    )*};
}

sizes! {
    the_start_of_a_stream: StartMessage::Began(began("a", SECOND * 15)) => 24;
    a_query: StartMessage::Query(StreamKey::new("a")) => 16;
    an_answer_that_knows_nothing: StartMessage::Unknown(StreamKey::new("a")) => 16;
}
