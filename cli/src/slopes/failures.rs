//! Failures at the size of the letter's fleet: bytes, and time to settle.

use std::time::Duration;

use monsoonbank_kernel::membership::NodeState;
use serde::{Deserialize, Serialize};

use crate::slopes::fleet::{KernelFleet, NodeTraffic, zones_of};

const STEP: Duration = Duration::from_millis(50);
const WARM_UP: Duration = Duration::from_secs(30);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: u32 = 60;
/// Time between two checks of a fleet that has settled, in seconds.
const CHECK_SECONDS: u32 = 10;
/// Zones of one region: 23 zones in 8 regions.
const REGION: std::ops::Range<usize> = 0..3;

/// One failure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FailureSample {
    /// What happened.
    pub failure: Box<str>,
    /// Nodes of the fleet.
    pub nodes: usize,
    /// Time until every running node sees every node as it is, in seconds; none when it took more
    /// than the minute that was measured.
    pub settled_seconds: Option<f64>,
    /// Bytes a second of a node in the minute after, sent and received: mean over nodes.
    pub bytes_per_second: f64,
    /// The same of the busiest node.
    pub busiest_bytes_per_second: f64,
    /// Most bytes of any node in any one second of that minute.
    pub peak_bytes: u64,
}

fn quiet(nodes: usize) -> KernelFleet {
    let mut fleet = KernelFleet::start(nodes, zones_of(nodes), STEP);
    fleet.run(WARM_UP);
    fleet
}

fn observe(
    failure: &str,
    fleet: &mut KernelFleet,
    expected: impl Fn(&KernelFleet, usize, usize) -> NodeState,
) -> FailureSample {
    let nodes = fleet.traffic.len();
    let mut totals = vec![0_u64; nodes];
    let (mut peak, mut settled) = (0, None);
    for second in 1..=MINUTE {
        fleet.clear_traffic();
        fleet.run(SECOND);
        for (total, traffic) in totals.iter_mut().zip(&fleet.traffic) {
            let NodeTraffic { bytes, .. } = traffic;
            *total += bytes;
            peak = peak.max(*bytes);
        }
        // The check costs more than the second it is of.
        if settled.is_some() && second % CHECK_SECONDS != 0 {
            continue;
        }
        if !fleet.agrees(&expected) {
            settled = None;
        } else if settled.is_none() {
            settled = Some(f64::from(second));
        }
    }
    let minute = f64::from(MINUTE);
    let sum: u64 = totals.iter().sum();
    FailureSample {
        failure: failure.into(),
        nodes,
        settled_seconds: settled,
        bytes_per_second: sum as f64 / nodes as f64 / minute,
        busiest_bytes_per_second: totals.into_iter().max().unwrap_or(0) as f64 / minute,
        peak_bytes: peak,
    }
}

fn truth(fleet: &KernelFleet, _seer: usize, node: usize) -> NodeState {
    if fleet.runs(node) {
        NodeState::Live
    } else {
        NodeState::Dead
    }
}

/// Measures every failure.
pub fn measure(nodes: usize, cut: Duration) -> Vec<FailureSample> {
    let mut samples = vec![observe("none", &mut quiet(nodes), truth)];
    samples.extend(lose_zone(nodes));
    samples.push(restart(nodes, "43 nodes restarted at once", nodes / 43));
    samples.push(restart(nodes, "half of the nodes restarted at once", 2));
    samples.push(restart(nodes, "all nodes restarted at once", 1));
    samples.extend(cut_region(nodes, cut));
    samples
}

fn lose_zone(nodes: usize) -> Vec<FailureSample> {
    let mut fleet = quiet(nodes);
    let lost = fleet.zone(5 % zones_of(nodes));
    for node in &lost {
        fleet.kill(*node);
    }
    let gone = observe("a zone lost", &mut fleet, truth);
    for node in &lost {
        fleet.restart(*node, 2_000);
    }
    vec![
        gone,
        observe("its replacement, all at once", &mut fleet, truth),
    ]
}

fn restart(nodes: usize, failure: &str, every: usize) -> FailureSample {
    let mut fleet = quiet(nodes);
    for node in (0..nodes).step_by(every) {
        fleet.kill(node);
    }
    fleet.run(SECOND * 5);
    for node in (0..nodes).step_by(every) {
        fleet.restart(node, 2_000);
    }
    observe(failure, &mut fleet, truth)
}

fn cut_region(nodes: usize, cut: Duration) -> Vec<FailureSample> {
    let mut fleet = quiet(nodes);
    let inside: Vec<bool> = (0..nodes)
        .map(|node| REGION.contains(&(node % zones_of(nodes))))
        .collect();
    fleet.cut(REGION);
    let parted = |fleet: &KernelFleet, seer: usize, node: usize| {
        if inside[seer] == inside[node] {
            truth(fleet, seer, node)
        } else {
            NodeState::Dead
        }
    };
    let first = observe("a region of 3 zones cut off", &mut fleet, parted);
    fleet.run(cut);
    // What an ordinary hour brings meanwhile: 150 failures and 640 restarts a day.
    for node in (0..nodes).step_by(nodes / 33) {
        fleet.kill(node);
        fleet.run(SECOND * 4);
        fleet.restart(node, 3_000);
    }
    fleet.cut(0..0);
    vec![
        first,
        observe("its return after an hour", &mut fleet, truth),
    ]
}
