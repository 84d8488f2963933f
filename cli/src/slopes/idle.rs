//! An idle fleet of one size: traffic, processor time and memory of a node, and how fast the others
//! detect a killed node.

use std::time::Duration;

use monsoonbank_kernel::membership::NodeState;
use serde::{Deserialize, Serialize};

use crate::slopes::fleet::{KernelFleet, zones_of};
use crate::slopes::meter;

const WARM_UP: Duration = Duration::from_secs(30);
const STEP: Duration = Duration::from_millis(20);

/// The figures of one fleet size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetSample {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Bytes per second that a node sends and receives, with headers: mean over nodes.
    pub bytes_per_second: f64,
    /// Bytes per second of the node with the most traffic.
    pub busiest_bytes_per_second: f64,
    /// The part of the mean that belongs to membership messages.
    pub membership_bytes_per_second: f64,
    /// Messages per second that a node sends and receives: mean over nodes.
    pub messages_per_second: f64,
    /// Processor time of a node per second, in microseconds. Includes encoding and the simulation's
    /// own overhead, excludes sockets.
    pub processor_microseconds: f64,
    /// Memory of a node, in bytes.
    pub memory_bytes: f64,
    /// Number of nodes killed for the detection times below.
    pub kills: usize,
    /// Time from a kill until a node of the same zone marks the node dead: median over pairs of
    /// nodes, in milliseconds.
    pub zone_noticed_p50_ms: f64,
    /// 99th percentile of the detection time within the zone, in milliseconds.
    pub zone_noticed_p99_ms: f64,
    /// Time from a kill until a node of the fleet marks the node dead: 99th percentile over pairs
    /// of nodes, in milliseconds.
    pub fleet_noticed_p99_ms: f64,
    /// Longest detection time in the fleet, in milliseconds.
    pub fleet_noticed_max_ms: f64,
    /// Number of pairs of a node and a killed node that it did not mark dead within 8 s.
    pub unseen: usize,
}

/// Runs a fleet of `nodes` nodes idle for `time`, then kills `kills` nodes one after another.
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
    let node_seconds = nodes as f64 * seconds;
    let mean_rate = |counter: fn(&crate::slopes::fleet::NodeTraffic) -> u64| {
        fleet.traffic.iter().map(counter).sum::<u64>() as f64 / node_seconds
    };
    let busiest = fleet.traffic.iter().map(|traffic| traffic.bytes).max();
    let mut sample = FleetSample {
        nodes,
        zones,
        bytes_per_second: mean_rate(|traffic| traffic.bytes),
        busiest_bytes_per_second: busiest.unwrap_or(0) as f64 / seconds,
        membership_bytes_per_second: mean_rate(|traffic| traffic.membership_bytes),
        messages_per_second: mean_rate(|traffic| traffic.messages),
        processor_microseconds: spent.as_secs_f64() * 1e6 / node_seconds,
        memory_bytes: memory as f64 / nodes as f64,
        kills,
        zone_noticed_p50_ms: 0.0,
        zone_noticed_p99_ms: 0.0,
        fleet_noticed_p99_ms: 0.0,
        fleet_noticed_max_ms: 0.0,
        unseen: 0,
    };
    measure_detection(&mut fleet, &mut sample);
    // Never freed: memory that this fleet returned to the allocator would hide what the next one
    // uses.
    std::mem::forget(fleet);
    sample
}

fn measure_detection(fleet: &mut KernelFleet, sample: &mut FleetSample) {
    let (mut zone_times, mut fleet_times) = (Vec::new(), Vec::new());
    for round in 0..sample.kills {
        let victim = (round * 7) % sample.nodes;
        let neighbours = fleet.neighbours(victim);
        fleet.watch(victim, NodeState::Dead);
        fleet.kill(victim);
        let killed = fleet.now;
        fleet.run(Duration::from_secs(8));
        for node in 0..sample.nodes {
            if !fleet.is_running(node) {
                continue;
            }
            let Some(detected) = fleet.detections.get(&node) else {
                sample.unseen += 1;
                continue;
            };
            let time = detected.saturating_sub(killed).as_secs_f64() * 1e3;
            fleet_times.push(time);
            if neighbours.contains(&node) {
                zone_times.push(time);
            }
        }
        fleet.restart(victim, 2_000 + round as u64);
        // Spreads the kills over different phases of the nodes' periodic work.
        fleet.run(Duration::from_millis(6_000 + (round as u64 * 137) % 800));
    }
    sample.zone_noticed_p50_ms = quantile(&mut zone_times, 0.5);
    sample.zone_noticed_p99_ms = quantile(&mut zone_times, 0.99);
    sample.fleet_noticed_p99_ms = quantile(&mut fleet_times, 0.99);
    sample.fleet_noticed_max_ms = quantile(&mut fleet_times, 1.0);
}

/// Returns the quantile `share` of the values, by nearest rank; 0 without values.
pub fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * share).ceil() as usize;
    let last = values.len().saturating_sub(1);
    values
        .get(index.saturating_sub(1).min(last))
        .copied()
        .unwrap_or(0.0)
}
