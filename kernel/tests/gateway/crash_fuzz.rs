//! A crashing call that arrives repeatedly at a fleet whose nodes restart and lose heartbeats.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use monsoonbank_kernel::gateway::content::ContentDigest;
use monsoonbank_kernel::gateway::crashes::evidence::{CrashReport, SuspectCall};
use monsoonbank_kernel::gateway::crashes::quarantine::QuarantineReport;
use monsoonbank_kernel::gateway::crashes::suspect::{CrashCause, SuspectKey};
use monsoonbank_kernel::gateway::crashes::{CrashDecision, CrashLedger};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TICK: Duration = Duration::from_millis(50);
/// Time between sending a call to an upstream and the crash.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Time after which all nodes are expected to know of a crash, and a restarted node of all crashes.
const CONTACT: Duration = Duration::from_secs(3);
const DURATION: Duration = Duration::from_secs(90);
/// Maximum number of calls that may reach upstreams later than `CONTACT` after the third crash.
const MAX_REPEATS: usize = 3;
/// Share of lost heartbeats.
const LOSS: f64 = 0.2;
/// Number of nodes to which each node sends a heartbeat in a tick.
const FANOUT: usize = 3;
/// Number of other calls in flight at an upstream that crashes.
const OTHER_CALLS: u64 = 8;

const CRASHING: u64 = 0;

fn content(number: u64) -> SuspectKey {
    SuspectKey::Content(ContentDigest::from(number))
}

struct CrashingFleet {
    random: Pcg64Mcg,
    ledgers: Vec<CrashLedger>,
    started_at: Vec<Duration>,
    store: BTreeMap<CrashCause, QuarantineReport>,
    running: VecDeque<(Duration, usize)>,
    crashes: Vec<Duration>,
    repeats: usize,
    next_run: u64,
    now: Duration,
}

impl CrashingFleet {
    fn new(nodes: usize, seed: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            ledgers: vec![CrashLedger::default(); nodes],
            started_at: vec![Duration::ZERO; nodes],
            store: BTreeMap::new(),
            running: VecDeque::new(),
            crashes: Vec::new(),
            repeats: 0,
            next_run: 1,
            now: Duration::ZERO,
        }
    }

    fn any_node(&mut self) -> usize {
        self.random.random_range(0..self.ledgers.len())
    }

    fn is_up_to_date(&self, node: usize) -> bool {
        self.started_at[node] + CONTACT <= self.now || self.started_at[node].is_zero()
    }

    /// Delivers the crashing call to a node. The first node makes the trials.
    fn arrive(&mut self) {
        let node = self.any_node();
        let suspects = [content(CRASHING)];
        let decision = self.ledgers[node].decide(&suspects, |_| node == 0, self.now);
        match decision {
            CrashDecision::Admitted => {}
            CrashDecision::Trial => self.ledgers[node].begin_trial(&suspects, self.now),
            CrashDecision::Quarantined { .. } => return,
        }
        self.running.push_back((self.now + RUN_TIME, node));
        let third = self.crashes.get(2);
        let late = third.is_some_and(|third| *third + CONTACT < self.now);
        self.repeats += usize::from(late && self.is_up_to_date(node));
    }

    fn crash_due(&mut self) {
        while let Some((at, node)) = self.running.front().copied() {
            if at > self.now {
                return;
            }
            self.running.pop_front();
            self.crashes.push(self.now);
            let run = self.next_run;
            self.next_run += 1;
            self.crash(node, CRASHING, run);
            for _ in 0..OTHER_CALLS {
                let innocent = self.random.random_range(1..5000);
                let other = self.any_node();
                self.crash(other, innocent, run);
            }
        }
    }

    fn crash(&mut self, node: usize, number: u64, run: u64) {
        let report = CrashReport {
            run,
            age_ms: 0,
            calls: vec![SuspectCall {
                sent_ms: RUN_TIME.as_millis() as u64,
                suspects: vec![content(number)],
            }],
        };
        self.ledgers[node].record_crash(&report, self.now);
    }

    fn send_heartbeats(&mut self) {
        for node in 0..self.ledgers.len() {
            let news = self.ledgers[node].recent_news(self.now);
            for _ in 0..FANOUT {
                let other = self.any_node();
                if self.random.random_bool(LOSS) {
                    continue;
                }
                self.ledgers[other].receive(&news, self.now);
                if self.ledgers[other].digest() != self.ledgers[node].digest() {
                    let reports = self.ledgers[node].quarantine_reports(self.now);
                    self.ledgers[other].receive_quarantines(&reports, self.now);
                }
            }
        }
    }

    /// Persists a node's quarantines, which nodes read when they start.
    fn persist(&mut self) {
        let writer = self.any_node();
        for report in self.ledgers[writer].quarantine_reports(self.now) {
            self.store.insert(report.cause.clone(), report);
        }
    }

    fn restart(&mut self, nodes: usize) {
        for _ in 0..nodes {
            let node = self.any_node();
            self.ledgers[node] = CrashLedger::default();
            self.started_at[node] = self.now;
            let stored: Vec<QuarantineReport> = self.store.values().cloned().collect();
            self.ledgers[node].receive_quarantines(&stored, self.now);
        }
    }

    fn run(&mut self) {
        let nodes = self.ledgers.len();
        while self.now < DURATION {
            self.crash_due();
            self.send_heartbeats();
            if self.random.random_bool(0.2) {
                self.arrive();
            }
            if self.random.random_bool(0.1) {
                self.persist();
            }
            if self.random.random_bool(0.02) {
                self.restart(1);
            }
            if self.random.random_bool(0.001) {
                self.restart(2 * nodes);
            }
            self.now += TICK;
        }
    }
}

/// Each case gives the number of nodes and the seeds.
macro_rules! fleets {
    ($($name:ident: $nodes:literal, $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in $seeds {
                let mut fleet = CrashingFleet::new($nodes, seed);
                fleet.run();
                assert!(fleet.crashes.len() >= 3, "seed {seed}: nothing crashed");
                let repeats = fleet.repeats;
                assert!(repeats <= MAX_REPEATS, "seed {seed}: {repeats} repeats");
            }
        }
    )*};
}

// Guards against a crashing call that is still sent by nodes that restarted or missed heartbeats.
fleets! {
    nine_nodes_stop_sending_a_crashing_call: 9, 0..60;
    eighty_nodes_stop_sending_a_crashing_call: 80, 0..20;
    three_hundred_nodes_stop_sending_a_crashing_call: 300, 0..4;
}
