//! Ownership of upstreams: how evenly nodes share them, how many change owner when a node leaves,
//! and the processor time of a change.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use monsoonbank_kernel::config::{Config, ConfigFile, PoolKind, PoolSpec, UpstreamSpec};
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::{Incarnation, NodeId, UpstreamId, ZoneId};
use monsoonbank_kernel::membership::{Member, MemberView, NodeState};
use monsoonbank_kernel::ownership::{LOAD_BOUND, UpstreamLoad, assign_among};
use serde::{Deserialize, Serialize};

use crate::slopes::state::kernel;

const TRIALS: usize = 200;
const SLOTS: u32 = 50;

/// Balance of ownership in one zone under one load bound.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BalanceSample {
    /// Number of nodes in the zone.
    pub nodes: usize,
    /// Number of upstreams in the zone.
    pub upstreams: usize,
    /// Load bound, as a multiple of the mean load; `None` for plain rendezvous hashing.
    pub bound: Option<f64>,
    /// Load of the most loaded node divided by the mean load: mean over the trials.
    pub busiest_over_mean: f64,
    /// The highest such ratio of any trial.
    pub worst_over_mean: f64,
    /// Upstreams that change owner when a node leaves, divided by those that it owned.
    pub moved_over_least: f64,
}

/// Cost of a membership change for one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeSample {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Time that all plug-ins take to process one node that leaves or joins, in microseconds.
    pub microseconds: f64,
    /// Mean number of upstreams that change owner when a node leaves.
    pub moved: f64,
}

fn upstream(trial: usize, index: usize) -> UpstreamLoad {
    (UpstreamId::named(&format!("engine-{trial}-{index}")), SLOTS)
}

/// Measures the balance for several zone sizes and load bounds.
pub fn balance() -> Vec<BalanceSample> {
    let zones = [(2, 4), (2, 5), (3, 4), (3, 6), (9, 18), (43, 435)];
    let bounds = [None, Some(1.0), Some(1.1), Some(LOAD_BOUND), Some(1.5)];
    zones
        .into_iter()
        .flat_map(|(nodes, upstreams)| bounds.map(|bound| balance_of(nodes, upstreams, bound)))
        .collect()
}

fn balance_of(nodes: usize, upstreams: usize, bound: Option<f64>) -> BalanceSample {
    let (mut sum, mut worst, mut moved, mut least) = (0.0, 0.0_f64, 0, 0);
    for trial in 0..TRIALS {
        let ids: Vec<NodeId> = (0..nodes)
            .map(|n| NodeId::named(&format!("node-{trial}-{n}")))
            .collect();
        let loads: Vec<UpstreamLoad> = (0..upstreams).map(|n| upstream(trial, n)).collect();
        let before: BTreeMap<_, _> = assign_among(&loads, &ids, bound).into_iter().collect();
        let after = assign_among(&loads, &ids[1..], bound);
        let mut counts: BTreeMap<NodeId, u32> = BTreeMap::new();
        for owner in before.values() {
            *counts.entry(*owner).or_default() += 1;
        }
        let busiest = counts.values().max().copied().unwrap_or(0);
        let ratio = f64::from(busiest) * nodes as f64 / upstreams as f64;
        sum += ratio;
        worst = worst.max(ratio);
        least += counts.get(&ids[0]).copied().unwrap_or(0);
        moved += after
            .iter()
            .filter(|(id, owner)| before.get(id) != Some(owner))
            .count();
    }
    BalanceSample {
        nodes,
        upstreams,
        bound,
        busiest_over_mean: sum / TRIALS as f64,
        worst_over_mean: worst,
        moved_over_least: moved as f64 / f64::from(least.max(1)),
    }
}

/// Builds a configuration of `upstreams` engines spread over `zones` zones.
pub fn config(upstreams: usize, zones: usize) -> Config {
    Config::from_file(1, &file(upstreams, zones))
}

/// Builds the configuration file of `upstreams` engines spread over `zones` zones.
pub fn file(upstreams: usize, zones: usize) -> ConfigFile {
    ConfigFile {
        pools: vec![PoolSpec {
            name: "model".into(),
            kind: PoolKind::Model,
        }],
        upstreams: (0..upstreams).map(|n| engine(n, zones)).collect(),
        ..ConfigFile::default()
    }
}

fn engine(index: usize, zones: usize) -> UpstreamSpec {
    UpstreamSpec {
        name: format!("engine-{index}").into(),
        pool: "model".into(),
        zone: format!("zone-{}", index % zones).into(),
        address: "10.100.100.100:9000".into(),
        slots: SLOTS,
        checks_fencing: true,
        also: Vec::new(),
    }
}

/// Builds a view in which `nodes` nodes, spread over `zones` zones, are live.
pub fn view(nodes: usize, zones: usize) -> MemberView {
    let members = (0..nodes).map(|n| {
        let (name, zone) = (format!("node-{n}"), format!("zone-{}", n % zones));
        let member = Member {
            zone: ZoneId::named(&zone),
            zone_name: zone.into(),
            incarnation: Incarnation(1),
            state: NodeState::Live,
            peer_address: "10.100.100.100:7100".into(),
            caller_address: "10.100.100.100:8080".into(),
            name: name.as_str().into(),
        };
        (NodeId::named(&name), member)
    });
    MemberView {
        members: members.collect(),
    }
}

/// Measures the cost for one node of other nodes leaving and joining.
pub fn change(nodes: usize, zones: usize, upstreams: usize) -> ChangeSample {
    let mut kernel = kernel("node-0");
    let mut actions = Vec::new();
    let now = std::time::Duration::from_secs(1);
    let full = view(nodes, zones);
    kernel.handle(
        now,
        Event::ConfigApplied(Arc::new(config(upstreams, zones))),
        &mut actions,
    );
    kernel.handle(
        now,
        Event::MembersChanged(Arc::new(full.clone())),
        &mut actions,
    );
    let rounds = nodes.min(100);
    let mut views = Vec::new();
    for index in 0..rounds {
        let mut reduced = full.clone();
        if let Some(member) = reduced
            .members
            .get_mut(&NodeId::named(&format!("node-{index}")))
        {
            member.state = NodeState::Dead;
        }
        views.extend([Arc::new(reduced), Arc::new(full.clone())]);
    }
    let started = Instant::now();
    for view in views {
        kernel.handle(now, Event::MembersChanged(view), &mut actions);
    }
    let spent = started.elapsed();
    ChangeSample {
        nodes,
        upstreams,
        microseconds: spent.as_secs_f64() * 1e6 / (2 * rounds) as f64,
        moved: moved(nodes, zones, upstreams, rounds),
    }
}

fn moved(nodes: usize, zones: usize, upstreams: usize, rounds: usize) -> f64 {
    let config = config(upstreams, zones);
    let full = view(nodes, zones);
    let before = monsoonbank_kernel::ownership::assign(&config, &full);
    let mut moved = 0;
    for index in 0..rounds {
        let mut reduced = full.clone();
        reduced
            .members
            .remove(&NodeId::named(&format!("node-{index}")));
        let after = monsoonbank_kernel::ownership::assign(&config, &reduced);
        let changed = |(id, owner): &(&UpstreamId, &NodeId)| before.owners.get(id) != Some(owner);
        moved += after.owners.iter().filter(changed).count();
    }
    moved as f64 / rounds as f64
}
