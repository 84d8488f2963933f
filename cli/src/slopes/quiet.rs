//! A quiet fleet of several sizes: bytes, processor time and memory of a node; and how soon a
//! killed node is noticed.

use std::time::Duration;

use monsoonbank_kernel::membership::NodeState;
use serde::{Deserialize, Serialize};

use crate::slopes::fleet::{KernelFleet, zones_of};
use crate::slopes::meter;

const WARM_UP: Duration = Duration::from_secs(30);
const STEP: Duration = Duration::from_millis(20);

/// One size of fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetSample {
    /// Nodes.
    pub nodes: usize,
    /// Availability zones.
    pub zones: usize,
    /// Bytes a second that a node sends and receives, headers included: mean over nodes.
    pub bytes_per_second: f64,
    /// The same of the busiest node.
    pub busiest_bytes_per_second: f64,
    /// Of the mean, bytes of membership.
    pub membership_bytes_per_second: f64,
    /// Messages a second that a node sends and receives: mean over nodes.
    pub messages_per_second: f64,
    /// Processor time of a node a second, in microseconds; encoding and this program's own share
    /// included, sockets not.
    pub processor_microseconds: f64,
    /// Memory of a node, in bytes.
    pub memory_bytes: f64,
    /// Killed nodes that the next figures are of.
    pub kills: usize,
    /// Time until a node of the same zone saw it dead: median, in milliseconds.
    pub zone_noticed_p50_ms: f64,
    /// The same: 99 in 100.
    pub zone_noticed_p99_ms: f64,
    /// Time until any node of the fleet saw it dead: 99 in 100, in milliseconds.
    pub fleet_noticed_p99_ms: f64,
    /// The same: the last.
    pub fleet_noticed_max_ms: f64,
    /// Pairs of a node and a killed node that it did not see dead within 8 s.
    pub unseen: usize,
}

/// Measures one size.
pub fn measure(nodes: usize, time: Duration, kills: usize) -> FleetSample {
    let before = meter::resident_bytes();
    let zones = zones_of(nodes);
    let mut fleet = KernelFleet::start(nodes, zones, STEP);
    fleet.run(WARM_UP);
    let memory = meter::resident_bytes().saturating_sub(before);
    fleet.clear_traffic();
    let started = meter::processor_time();
    fleet.run(time);
    let spent = meter::processor_time().saturating_sub(started);
    let seconds = time.as_secs_f64();
    let each = nodes as f64 * seconds;
    let total = |of: fn(&crate::slopes::fleet::NodeTraffic) -> u64| {
        fleet.traffic.iter().map(of).sum::<u64>() as f64 / each
    };
    let busiest = fleet.traffic.iter().map(|traffic| traffic.bytes).max();
    let mut sample = FleetSample {
        nodes,
        zones,
        bytes_per_second: total(|traffic| traffic.bytes),
        busiest_bytes_per_second: busiest.unwrap_or(0) as f64 / seconds,
        membership_bytes_per_second: total(|traffic| traffic.membership_bytes),
        messages_per_second: total(|traffic| traffic.messages),
        processor_microseconds: spent.as_secs_f64() * 1e6 / each,
        memory_bytes: memory as f64 / nodes as f64,
        kills,
        zone_noticed_p50_ms: 0.0,
        zone_noticed_p99_ms: 0.0,
        fleet_noticed_p99_ms: 0.0,
        fleet_noticed_max_ms: 0.0,
        unseen: 0,
    };
    notice(&mut fleet, &mut sample);
    // Kept for good: memory that this fleet gave back would hide what the next one takes.
    std::mem::forget(fleet);
    sample
}

fn notice(fleet: &mut KernelFleet, sample: &mut FleetSample) {
    let (mut zone_times, mut fleet_times) = (Vec::new(), Vec::new());
    for round in 0..sample.kills {
        let victim = (round * 7) % sample.nodes;
        let neighbours = fleet.neighbours(victim);
        fleet.watch(victim, NodeState::Dead);
        fleet.kill(victim);
        let killed = fleet.now;
        fleet.run(Duration::from_secs(8));
        for node in 0..sample.nodes {
            if !fleet.runs(node) {
                continue;
            }
            let Some(seen) = fleet.sightings.get(&node) else {
                sample.unseen += 1;
                continue;
            };
            let time = seen.saturating_sub(killed).as_secs_f64() * 1e3;
            fleet_times.push(time);
            if neighbours.contains(&node) {
                zone_times.push(time);
            }
        }
        fleet.restart(victim, 2_000 + round as u64);
        // The rounds begin at different places of the nodes' periods.
        fleet.run(Duration::from_millis(6_000 + (round as u64 * 137) % 800));
    }
    sample.zone_noticed_p50_ms = quantile(&mut zone_times, 0.5);
    sample.zone_noticed_p99_ms = quantile(&mut zone_times, 0.99);
    sample.fleet_noticed_p99_ms = quantile(&mut fleet_times, 0.99);
    sample.fleet_noticed_max_ms = quantile(&mut fleet_times, 1.0);
}

/// The value that this share of the values does not exceed.
pub fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * share).ceil() as usize;
    let last = values.len().saturating_sub(1);
    values
        .get(index.saturating_sub(1).min(last))
        .copied()
        .unwrap_or(0.0)
}
