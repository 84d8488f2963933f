//! Ownership: how evenly upstreams spread, how many move when a node goes, and what that costs.

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

/// How one bound does at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BalanceSample {
    /// Nodes in the zone.
    pub nodes: usize,
    /// Upstreams in the zone.
    pub upstreams: usize,
    /// The bound, as a multiple of the mean load; none for plain rendezvous hashing.
    pub bound: Option<f64>,
    /// Load of the busiest node over the mean: mean of the trials.
    pub busiest_over_mean: f64,
    /// The same of the worst trial.
    pub worst_over_mean: f64,
    /// Upstreams that change owner when a node goes, over those that it owned.
    pub moved_over_least: f64,
}

/// What a change of membership costs one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeSample {
    /// Nodes.
    pub nodes: usize,
    /// Upstreams.
    pub upstreams: usize,
    /// Processor time of all plug-ins for one node that goes or comes, in microseconds.
    pub microseconds: f64,
    /// Upstreams that changed owner, mean.
    pub moved: f64,
}

fn upstream(trial: usize, index: usize) -> UpstreamLoad {
    (UpstreamId::named(&format!("engine-{trial}-{index}")), SLOTS)
}

/// Measures how bounds do in zones of several sizes.
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

/// A configuration of engines spread over zones.
pub fn config(upstreams: usize, zones: usize) -> Config {
    Config::from_file(1, &file(upstreams, zones))
}

/// The same as operators write it.
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

/// A view of nodes spread over zones.
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

/// Measures what one node pays for each change of membership.
pub fn change(nodes: usize, zones: usize, upstreams: usize) -> ChangeSample {
    let mut kernel = kernel("node-0");
    let mut actions = Vec::new();
    let now = std::time::Duration::from_secs(1);
    let whole = view(nodes, zones);
    kernel.handle(
        now,
        Event::ConfigApplied(Arc::new(config(upstreams, zones))),
        &mut actions,
    );
    kernel.handle(
        now,
        Event::MembersChanged(Arc::new(whole.clone())),
        &mut actions,
    );
    let rounds = nodes.min(100);
    let mut views = Vec::new();
    for index in 0..rounds {
        let mut less = whole.clone();
        if let Some(member) = less
            .members
            .get_mut(&NodeId::named(&format!("node-{index}")))
        {
            member.state = NodeState::Dead;
        }
        views.extend([Arc::new(less), Arc::new(whole.clone())]);
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
    let whole = view(nodes, zones);
    let before = monsoonbank_kernel::ownership::assign(&config, &whole);
    let mut moved = 0;
    for index in 0..rounds {
        let mut less = whole.clone();
        less.members
            .remove(&NodeId::named(&format!("node-{index}")));
        let after = monsoonbank_kernel::ownership::assign(&config, &less);
        let changed = |(id, owner): &(&UpstreamId, &NodeId)| before.owners.get(id) != Some(owner);
        moved += after.owners.iter().filter(changed).count();
    }
    moved as f64 / rounds as f64
}
