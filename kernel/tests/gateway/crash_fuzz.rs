//! A crashing call that arrives repeatedly at a fleet whose nodes restart and lose heartbeats.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use monsoonbank_kernel::gateway::content::ContentDigest;
use monsoonbank_kernel::gateway::crashes::{ContentDecision, CrashLedger, CrashReport};
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

struct CrashingFleet {
    random: Pcg64Mcg,
    ledgers: Vec<CrashLedger>,
    started_at: Vec<Duration>,
    store: BTreeMap<ContentDigest, CrashReport>,
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
        let content = ContentDigest::from(CRASHING);
        let decision = self.ledgers[node].decide(content, || node == 0, self.now);
        match decision {
            ContentDecision::Admitted => {}
            ContentDecision::Trial => self.ledgers[node].begin_trial(content, self.now),
            ContentDecision::Quarantined { .. } => return,
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
            self.ledgers[node].record_crash(ContentDigest::from(CRASHING), run, self.now);
            for _ in 0..OTHER_CALLS {
                let innocent = ContentDigest::from(self.random.random_range(1..5000));
                let other = self.any_node();
                self.ledgers[other].record_crash(innocent, run, self.now);
            }
        }
    }

    fn send_heartbeats(&mut self) {
        for node in 0..self.ledgers.len() {
            let reports = self.ledgers[node].recent_reports(self.now);
            for _ in 0..FANOUT {
                let other = self.any_node();
                if self.random.random_bool(LOSS) {
                    continue;
                }
                self.receive(other, &reports);
                if self.ledgers[other].digest() != self.ledgers[node].digest() {
                    let decided = self.ledgers[node].decided_reports(self.now);
                    self.receive(other, &decided);
                }
            }
        }
    }

    fn receive(&mut self, node: usize, reports: &[CrashReport]) {
        for report in reports {
            self.ledgers[node].receive(report, self.now);
        }
    }

    /// Persists a node's decided records, which nodes read when they start.
    fn persist(&mut self) {
        let writer = self.any_node();
        for report in self.ledgers[writer].decided_reports(self.now) {
            self.store.insert(report.content, report);
        }
    }

    fn restart(&mut self, nodes: usize) {
        for _ in 0..nodes {
            let node = self.any_node();
            self.ledgers[node] = CrashLedger::default();
            self.started_at[node] = self.now;
            let stored: Vec<CrashReport> = self.store.values().cloned().collect();
            self.receive(node, &stored);
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
