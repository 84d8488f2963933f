//! A crashing call that comes again and again to a fleet whose nodes start anew and lose heartbeats.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use monsoonbank_kernel::gateway::content::ContentDigest;
use monsoonbank_kernel::gateway::crashes::{ContentDecision, CrashLedger, CrashReport};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TICK: Duration = Duration::from_millis(50);
/// Time between a call's way to an upstream and the crash.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Time after which a node that starts anew, and a crash, count as known to all.
const CONTACT: Duration = Duration::from_secs(3);
const PLAYED: Duration = Duration::from_secs(90);
/// Repeats that may reach upstreams once the third crash is that old.
const MOST_REPEATS: usize = 3;
/// Share of heartbeats that are lost.
const LOSS: f64 = 0.2;
/// Nodes that each tells in a tick.
const TOLD: usize = 3;
/// Calls that a crash takes along.
const TAKEN_ALONG: u64 = 8;

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

    fn in_touch(&self, node: usize) -> bool {
        self.started_at[node] + CONTACT <= self.now || self.started_at[node].is_zero()
    }

    /// The crashing call comes to a node. The first node makes the trials.
    fn arrive(&mut self) {
        let node = self.any_node();
        let content = ContentDigest::from(CRASHING);
        let verdict = self.ledgers[node].decide(content, || node == 0, self.now);
        match verdict {
            ContentDecision::Admitted => {}
            ContentDecision::Trial => self.ledgers[node].begin_trial(content, self.now),
            ContentDecision::Quarantined { .. } => return,
        }
        self.running.push_back((self.now + RUN_TIME, node));
        let third = self.crashes.get(2);
        let late = third.is_some_and(|third| *third + CONTACT < self.now);
        self.repeats += usize::from(late && self.in_touch(node));
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
            for _ in 0..TAKEN_ALONG {
                let innocent = ContentDigest::from(self.random.random_range(1..5000));
                let other = self.any_node();
                self.ledgers[other].record_crash(innocent, run, self.now);
            }
        }
    }

    fn tell(&mut self) {
        for node in 0..self.ledgers.len() {
            let news = self.ledgers[node].recent_reports(self.now);
            for _ in 0..TOLD {
                let other = self.any_node();
                if self.random.random_bool(LOSS) {
                    continue;
                }
                self.hear(other, &news);
                if self.ledgers[other].digest() != self.ledgers[node].digest() {
                    let settled = self.ledgers[node].decided_reports(self.now);
                    self.hear(other, &settled);
                }
            }
        }
    }

    fn hear(&mut self, node: usize, reports: &[CrashReport]) {
        for report in reports {
            self.ledgers[node].receive(report, self.now);
        }
    }

    /// What nodes hold is written down a moment later; a node reads it when it starts.
    fn write_down(&mut self) {
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
            self.hear(node, &stored);
        }
    }

    fn play(&mut self) {
        let nodes = self.ledgers.len();
        while self.now < PLAYED {
            self.crash_due();
            self.tell();
            if self.random.random_bool(0.2) {
                self.arrive();
            }
            if self.random.random_bool(0.1) {
                self.write_down();
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

/// Names a case: nodes and seeds.
macro_rules! fleets {
    ($($name:ident: $nodes:literal, $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in $seeds {
                let mut fleet = CrashingFleet::new($nodes, seed);
                fleet.play();
                assert!(fleet.crashes.len() >= 3, "seed {seed}: nothing crashed");
                let repeats = fleet.repeats;
                assert!(repeats <= MOST_REPEATS, "seed {seed}: {repeats} repeats");
            }
        }
    )*};
}

// Guards against a crashing call that is sent on by nodes that started anew or missed heartbeats.
fleets! {
    nine_nodes_stop_sending_a_crashing_call: 9, 0..60;
    eighty_nodes_stop_sending_a_crashing_call: 80, 0..20;
    three_hundred_nodes_stop_sending_a_crashing_call: 300, 0..4;
}
