//! An upstream that names a limit, under load at all nodes of a fleet that start anew and lose heartbeats.

use std::collections::VecDeque;
use std::time::Duration;

use monsoonbank_kernel::gateway::fleet::{FleetView, SharedLimit};
use monsoonbank_kernel::gateway::heartbeat::{NodeCard, NodeHeartbeat, NodeState};
use monsoonbank_kernel::gateway::throttle::{AdvertisedLimit, LimitReport, UpstreamThrottle};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TICK: Duration = Duration::from_millis(50);
/// Time between two heartbeats of a node.
const TELL_PAUSE: Duration = Duration::from_millis(200);
/// Time for which calls come, and for which none come after that.
const LULL: Duration = Duration::from_secs(12);
const PLAYED: Duration = Duration::from_secs(48);
/// When the upstream begins to name its limit.
const NAMED_AT: Duration = Duration::from_secs(5);
/// Time in which its requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after which a node that passed on an answer with the limit counts.
const TOLD_TIME: Duration = Duration::from_millis(500);
/// Time for which a node that started anew does not.
const CONTACT: Duration = Duration::from_secs(3);
/// Time from a request to its answer.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Share of heartbeats that are lost.
const LOSS: f64 = 0.1;
/// Stands for the upstream's run.
const RUN: u64 = 77;

struct LimitedNode {
    view: FleetView,
    throttle: UpstreamThrottle,
    started_at: Duration,
    told_at: Option<Duration>,
    zone_size: u32,
}

struct LimitedFleet {
    random: Pcg64Mcg,
    zones: usize,
    limit: f64,
    nodes: Vec<LimitedNode>,
    answers: VecDeque<(Duration, usize)>,
    counted: VecDeque<Duration>,
    most: usize,
    sent: usize,
    loaded: Duration,
    now: Duration,
}

fn card(index: usize, zones: usize, started_at: Duration) -> NodeCard {
    let address = format!("10.0.{}.1:7000", index + 1);
    let address = address.parse().expect("an address");
    NodeCard {
        name: format!("node-{index}").into(),
        incarnation: 1 + started_at.as_millis() as u64,
        zone: format!("zone-{}", index % zones).into(),
        callers: address,
        peers: address,
        capacity: 250,
        state: NodeState::Ready,
    }
}

impl LimitedFleet {
    fn new(count: usize, zones: usize, limit: f64, seed: u64) -> Self {
        let node = |index: usize| LimitedNode {
            view: FleetView::new(card(index, zones, Duration::ZERO), Duration::ZERO),
            throttle: UpstreamThrottle::default(),
            started_at: Duration::ZERO,
            told_at: None,
            zone_size: ((count + zones - 1 - index % zones) / zones) as u32,
        };
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            zones,
            limit,
            nodes: (0..count).map(node).collect(),
            answers: VecDeque::new(),
            counted: VecDeque::new(),
            most: 0,
            sent: 0,
            loaded: Duration::ZERO,
            now: Duration::ZERO,
        }
    }

    fn hear(&mut self, index: usize, said: AdvertisedLimit) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        node.throttle.observe(said, now);
        share_out(node, now);
    }

    fn tell(&mut self) {
        let count = self.nodes.len();
        for teller in 0..count {
            let node = &self.nodes[teller];
            let report: Option<LimitReport> = node.throttle.report(RUN, self.now);
            let heartbeat = NodeHeartbeat {
                fleet_size: count as u32,
                zone_size: node.zone_size,
                ..NodeHeartbeat::new(node.view.own().clone())
            };
            for listener in 0..count {
                if listener == teller || self.random.random_bool(LOSS) {
                    continue;
                }
                self.nodes[listener]
                    .view
                    .receive_heartbeat(heartbeat.clone(), self.now);
                if let Some(report) = report {
                    self.hear(listener, report.advertised(self.now));
                }
            }
        }
    }

    fn send(&mut self) {
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            share_out(node, self.now);
            if !node.throttle.is_open(self.now) {
                continue;
            }
            node.throttle.consume(self.now);
            self.answers.push_back((self.now + ANSWER_TIME, index));
            let is_told = node.told_at.is_some_and(|at| at + TOLD_TIME <= self.now);
            let in_touch = node.started_at.is_zero() || node.started_at + CONTACT <= self.now;
            if is_told && in_touch {
                self.counted.push_back(self.now);
                self.sent += 1;
            }
        }
        while self
            .counted
            .front()
            .is_some_and(|at| *at + WINDOW <= self.now)
        {
            self.counted.pop_front();
        }
        self.most = self.most.max(self.counted.len());
    }

    fn answer(&mut self) {
        while let Some((at, index)) = self.answers.front().copied() {
            if at > self.now {
                return;
            }
            self.answers.pop_front();
            if self.now < NAMED_AT {
                continue;
            }
            self.nodes[index].told_at.get_or_insert(self.now);
            let said = AdvertisedLimit {
                per_second: Some(self.limit),
                at: self.now,
            };
            self.hear(index, said);
        }
    }

    fn restart(&mut self) {
        let index = self.random.random_range(0..self.nodes.len());
        let node = &mut self.nodes[index];
        node.view = FleetView::new(card(index, self.zones, self.now), self.now);
        node.throttle = UpstreamThrottle::default();
        node.started_at = self.now;
        node.told_at = None;
        self.answers.retain(|(_, other)| *other != index);
    }

    fn play(&mut self) {
        while self.now < PLAYED {
            self.answer();
            if self.now.as_millis().is_multiple_of(TELL_PAUSE.as_millis()) {
                self.tell();
            }
            if self.now.as_secs() / LULL.as_secs() % 2 == 1 {
                self.loaded += TICK;
                self.send();
            }
            if self.random.random_bool(0.02) {
                self.restart();
            }
            self.now += TICK;
        }
    }
}

fn share_out(node: &mut LimitedNode, now: Duration) {
    let Some(per_second) = node.throttle.limit() else {
        return;
    };
    let limit = SharedLimit {
        run: RUN,
        zone: "zone-0",
        per_second,
        confirmed: node.throttle.is_confirmed(now),
    };
    let share = node.view.limit_share(limit, now);
    node.throttle.set_share(share, now);
}

/// Names a case: nodes, availability zones, the limit, and seeds. The upstream gets at most one and a half
/// times its limit and five requests more, and a good part of what it takes.
macro_rules! fleets {
    ($($name:ident: $nodes:literal, $zones:literal, $limit:literal, $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            let limit: f64 = $limit;
            let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
            for seed in $seeds {
                let mut fleet = LimitedFleet::new($nodes, $zones, limit, seed);
                fleet.play();
                let most = fleet.most;
                assert!(most as f64 <= allowed, "seed {seed}: {most} requests");
                let rate = fleet.sent as f64 / fleet.loaded.as_secs_f64();
                assert!(rate >= 0.3 * limit, "seed {seed}: {rate} a second");
            }
        }
    )*};
}

// Guards against nodes that start anew or disagree on who shares a limit and send more than it.
fleets! {
    six_nodes_keep_a_limit_of_half_a_request: 6, 3, 0.5, 0..20;
    nine_nodes_keep_a_limit_of_one: 9, 4, 1.0, 0..20;
    nine_nodes_keep_a_limit_of_two: 9, 4, 2.0, 0..20;
    nine_nodes_keep_a_limit_of_twenty: 9, 4, 20.0, 0..20;
    eighty_nodes_keep_a_limit_of_one: 80, 5, 1.0, 0..1;
    eighty_nodes_keep_a_limit_of_ten: 80, 5, 10.0, 0..1;
}
