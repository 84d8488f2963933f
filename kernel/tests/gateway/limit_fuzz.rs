//! An upstream that advertises a limit, under load from all nodes of a fleet that restart and lose
//! heartbeats.

use std::collections::VecDeque;
use std::time::Duration;

use monsoonbank_kernel::gateway::fleet::{FleetView, SharedLimit};
use monsoonbank_kernel::gateway::heartbeat::{NodeCard, NodeHeartbeat, NodeState};
use monsoonbank_kernel::gateway::throttle::{AdvertisedLimit, LimitReport, UpstreamThrottle};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TICK: Duration = Duration::from_millis(50);
/// Interval between heartbeats of a node.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which calls arrive, and for which none arrive after that.
const PHASE: Duration = Duration::from_secs(12);
const DURATION: Duration = Duration::from_secs(48);
/// Time at which the upstream begins to advertise its limit.
const ADVERTISED_AT: Duration = Duration::from_secs(5);
/// Window in which the upstream counts requests.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after an answer with the limit from which on a node's requests count.
const REPORTED_AFTER: Duration = Duration::from_millis(500);
/// Time after a node's restart for which its requests do not count.
const CONTACT: Duration = Duration::from_secs(3);
/// Time from a request to its answer.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Share of lost heartbeats.
const LOSS: f64 = 0.1;
/// Hash of the upstream's run.
const RUN: u64 = 77;

struct LimitedNode {
    view: FleetView,
    throttle: UpstreamThrottle,
    started_at: Duration,
    limited_at: Option<Duration>,
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
            limited_at: None,
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

    fn receive(&mut self, index: usize, limit: AdvertisedLimit) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        node.throttle.observe(limit, now);
        share_out(node, now);
    }

    fn send_heartbeats(&mut self) {
        let count = self.nodes.len();
        for sender in 0..count {
            let node = &self.nodes[sender];
            let report: Option<LimitReport> = node.throttle.report(RUN, self.now);
            let heartbeat = NodeHeartbeat {
                fleet_size: count as u32,
                zone_size: node.zone_size,
                ..NodeHeartbeat::new(node.view.own().clone())
            };
            for receiver in 0..count {
                if receiver == sender || self.random.random_bool(LOSS) {
                    continue;
                }
                self.nodes[receiver]
                    .view
                    .receive_heartbeat(heartbeat.clone(), self.now);
                if let Some(report) = report {
                    self.receive(receiver, report.advertised(self.now));
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
            let is_limited = node
                .limited_at
                .is_some_and(|at| at + REPORTED_AFTER <= self.now);
            let is_up_to_date = node.started_at.is_zero() || node.started_at + CONTACT <= self.now;
            if is_limited && is_up_to_date {
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
            if self.now < ADVERTISED_AT {
                continue;
            }
            self.nodes[index].limited_at.get_or_insert(self.now);
            let limit = AdvertisedLimit {
                per_second: Some(self.limit),
                at: self.now,
            };
            self.receive(index, limit);
        }
    }

    fn restart(&mut self) {
        let index = self.random.random_range(0..self.nodes.len());
        let node = &mut self.nodes[index];
        node.view = FleetView::new(card(index, self.zones, self.now), self.now);
        node.throttle = UpstreamThrottle::default();
        node.started_at = self.now;
        node.limited_at = None;
        self.answers.retain(|(_, other)| *other != index);
    }

    fn run(&mut self) {
        while self.now < DURATION {
            self.answer();
            if self
                .now
                .as_millis()
                .is_multiple_of(HEARTBEAT_INTERVAL.as_millis())
            {
                self.send_heartbeats();
            }
            if self.now.as_secs() / PHASE.as_secs() % 2 == 1 {
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

/// Each case gives the number of nodes and of availability zones, the limit, and seeds. The
/// upstream receives at most one and a half times its limit and five more requests, and at least a
/// good part of its limit.
macro_rules! fleets {
    ($($name:ident: $nodes:literal, $zones:literal, $limit:literal, $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            let limit: f64 = $limit;
            let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
            for seed in $seeds {
                let mut fleet = LimitedFleet::new($nodes, $zones, limit, seed);
                fleet.run();
                let most = fleet.most;
                assert!(most as f64 <= allowed, "seed {seed}: {most} requests");
                let rate = fleet.sent as f64 / fleet.loaded.as_secs_f64();
                assert!(rate >= 0.3 * limit, "seed {seed}: {rate} a second");
            }
        }
    )*};
}

// Guards against nodes that restart, or disagree on the shares of a limit, and exceed it together.
fleets! {
    six_nodes_keep_a_limit_of_half_a_request: 6, 3, 0.5, 0..20;
    nine_nodes_keep_a_limit_of_one: 9, 4, 1.0, 0..20;
    nine_nodes_keep_a_limit_of_two: 9, 4, 2.0, 0..20;
    nine_nodes_keep_a_limit_of_twenty: 9, 4, 20.0, 0..20;
    eighty_nodes_keep_a_limit_of_one: 80, 5, 1.0, 0..1;
    eighty_nodes_keep_a_limit_of_ten: 80, 5, 10.0, 0..1;
}
