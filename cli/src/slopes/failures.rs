//! Traffic and convergence time of a fleet after failures, restarts and a network partition.

use std::time::Duration;

use monsoonbank_kernel::membership::NodeState;
use serde::{Deserialize, Serialize};

use crate::slopes::fleet::{KernelFleet, NodeTraffic, zones_of};

const STEP: Duration = Duration::from_millis(50);
const WARM_UP: Duration = Duration::from_secs(30);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: u32 = 60;
/// Seconds between two checks of a fleet that has converged.
const CHECK_SECONDS: u32 = 10;
/// Zones of one region; the reference fleet has 23 zones in 8 regions.
const REGION: std::ops::Range<usize> = 0..3;

/// The effect of one failure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FailureSample {
    /// Description of the failure.
    pub failure: Box<str>,
    /// Number of nodes in the fleet.
    pub nodes: usize,
    /// Time until the view of every running node is correct for every node, in seconds; `None` if
    /// the fleet did not converge within the measured minute.
    pub settled_seconds: Option<f64>,
    /// Bytes per second that a node sent and received in the minute after the failure: mean over
    /// nodes.
    pub bytes_per_second: f64,
    /// Bytes per second of the node with the most traffic.
    pub busiest_bytes_per_second: f64,
    /// Largest number of bytes of any node in any one second of that minute.
    pub peak_bytes: u64,
}

fn idle_fleet(nodes: usize) -> KernelFleet {
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
    let (mut peak, mut converged) = (0, None);
    for second in 1..=MINUTE {
        fleet.clear_traffic();
        fleet.run(SECOND);
        for (total, traffic) in totals.iter_mut().zip(&fleet.traffic) {
            let NodeTraffic { bytes, .. } = traffic;
            *total += bytes;
            peak = peak.max(*bytes);
        }
        // The check takes longer to run than the simulated second.
        if converged.is_some() && second % CHECK_SECONDS != 0 {
            continue;
        }
        if !fleet.agrees(&expected) {
            converged = None;
        } else if converged.is_none() {
            converged = Some(f64::from(second));
        }
    }
    let minute = f64::from(MINUTE);
    let sum: u64 = totals.iter().sum();
    FailureSample {
        failure: failure.into(),
        nodes,
        settled_seconds: converged,
        bytes_per_second: sum as f64 / nodes as f64 / minute,
        busiest_bytes_per_second: totals.into_iter().max().unwrap_or(0) as f64 / minute,
        peak_bytes: peak,
    }
}

fn actual_state(fleet: &KernelFleet, _observer: usize, node: usize) -> NodeState {
    if fleet.is_running(node) {
        NodeState::Live
    } else {
        NodeState::Dead
    }
}

/// Simulates every failure on fleets of `nodes` nodes; the partition lasts for `cut`.
pub fn measure(nodes: usize, cut: Duration) -> Vec<FailureSample> {
    let mut samples = vec![observe("none", &mut idle_fleet(nodes), actual_state)];
    samples.extend(fail_zone(nodes));
    samples.push(restart(nodes, "43 nodes restarted at once", nodes / 43));
    samples.push(restart(nodes, "half of the nodes restarted at once", 2));
    samples.push(restart(nodes, "all nodes restarted at once", 1));
    samples.extend(partition_region(nodes, cut));
    samples
}

fn fail_zone(nodes: usize) -> Vec<FailureSample> {
    let mut fleet = idle_fleet(nodes);
    let killed = fleet.zone(5 % zones_of(nodes));
    for node in &killed {
        fleet.kill(*node);
    }
    let failure = observe("a zone lost", &mut fleet, actual_state);
    for node in &killed {
        fleet.restart(*node, 2_000);
    }
    vec![
        failure,
        observe("its replacement, all at once", &mut fleet, actual_state),
    ]
}

fn restart(nodes: usize, failure: &str, every: usize) -> FailureSample {
    let mut fleet = idle_fleet(nodes);
    for node in (0..nodes).step_by(every) {
        fleet.kill(node);
    }
    fleet.run(SECOND * 5);
    for node in (0..nodes).step_by(every) {
        fleet.restart(node, 2_000);
    }
    observe(failure, &mut fleet, actual_state)
}

fn partition_region(nodes: usize, cut: Duration) -> Vec<FailureSample> {
    let mut fleet = idle_fleet(nodes);
    let inside: Vec<bool> = (0..nodes)
        .map(|node| REGION.contains(&(node % zones_of(nodes))))
        .collect();
    fleet.partition(REGION);
    let partitioned = |fleet: &KernelFleet, observer: usize, node: usize| {
        if inside[observer] == inside[node] {
            actual_state(fleet, observer, node)
        } else {
            NodeState::Dead
        }
    };
    let first = observe("a region of 3 zones cut off", &mut fleet, partitioned);
    fleet.run(cut);
    // The failures and restarts of a usual hour, at 150 failures and 640 restarts a day.
    for node in (0..nodes).step_by(nodes / 33) {
        fleet.kill(node);
        fleet.run(SECOND * 4);
        fleet.restart(node, 3_000);
    }
    fleet.partition(0..0);
    vec![
        first,
        observe("its return after an hour", &mut fleet, actual_state),
    ]
}
