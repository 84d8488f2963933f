//! The plug-in that assigns each upstream to one owner, by rendezvous hashing with bounded loads.
//!
//! Rendezvous hashing after Thaler and Ravishankar ("Using name-based mappings to increase hit
//! rates", 1998); the bound after Mirrokni, Thorup and Zadimoghaddam ("Consistent hashing with
//! bounded loads", 2016).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::config::Config;
use crate::event::Event;
use crate::ids::{NodeId, UpstreamId, ZoneId};
use crate::membership::{MemberView, NodeState};
use crate::plugin::{Context, NodeProfile, Plugin, Registration};

/// Load bound of a node, as a multiple of the mean number of slots per node in its zone. A node
/// below the bound may exceed it by one upstream. The figures behind it are in
/// `docs/decisions/ownership.md`.
pub const LOAD_BOUND: f64 = 1.25;

/// The assignment of upstreams to owner nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerMap {
    /// Owner of each upstream. An upstream is absent while there is no node to own it.
    pub owners: BTreeMap<UpstreamId, NodeId>,
}

/// An upstream and its number of slots, which is its weight in the load bound.
pub type UpstreamLoad = (UpstreamId, u32);

type UpstreamsByZone = BTreeMap<ZoneId, Vec<UpstreamLoad>>;
type NodesByZone = BTreeMap<ZoneId, Vec<NodeId>>;

/// Computes the owners and recomputes them when the configuration or the membership changes.
#[derive(Debug, Default)]
pub struct OwnershipTable {
    config: Arc<Config>,
    view: Arc<MemberView>,
    upstreams: UpstreamsByZone,
    nodes: NodesByZone,
    owners: Arc<OwnerMap>,
}

fn weight(node: NodeId, upstream: UpstreamId) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), upstream.0)
}

fn upstreams_by_zone(config: &Config) -> UpstreamsByZone {
    let mut zones = UpstreamsByZone::new();
    for (id, upstream) in config.upstreams.iter() {
        let loads = zones.entry(upstream.zone).or_default();
        loads.push((*id, upstream.spec.slots.max(1)));
    }
    zones
}

/// Nodes that may own upstreams. A suspect node keeps its own, so that a short pause moves none.
fn nodes_by_zone(view: &MemberView) -> NodesByZone {
    let mut zones = NodesByZone::new();
    for (node, member) in &view.members {
        if matches!(member.state, NodeState::Live | NodeState::Suspect) {
            zones.entry(member.zone).or_default().push(*node);
        }
    }
    zones
}

/// Assigns each upstream to the node with the highest hash whose load is still below the bound
/// (`bound` times the mean load). Without a bound the node with the highest hash owns it.
pub fn assign_among(
    upstreams: &[UpstreamLoad],
    nodes: &[NodeId],
    bound: Option<f64>,
) -> Vec<(UpstreamId, NodeId)> {
    let total: u32 = upstreams.iter().map(|(_, slots)| slots).sum();
    let mean = f64::from(total) / nodes.len().max(1) as f64;
    let limit = bound.map_or(f64::INFINITY, |bound| bound * mean);
    let mut loads = vec![0_u32; nodes.len()];
    let mut owners = Vec::with_capacity(upstreams.len());
    for (upstream, slots) in upstreams {
        let best = (0..nodes.len())
            .filter(|index| f64::from(loads[*index]) < limit)
            .max_by_key(|index| weight(nodes[*index], *upstream));
        if let Some(index) = best {
            loads[index] += slots;
            owners.push((*upstream, nodes[index]));
        }
    }
    owners
}

fn assign_zone(
    zone: ZoneId,
    upstreams: &[UpstreamLoad],
    nodes: &NodesByZone,
) -> Vec<(UpstreamId, NodeId)> {
    if let Some(zone_nodes) = nodes.get(&zone) {
        return assign_among(upstreams, zone_nodes, Some(LOAD_BOUND));
    }
    let all: Vec<NodeId> = nodes.values().flatten().copied().collect();
    assign_among(upstreams, &all, Some(LOAD_BOUND))
}

/// Computes the owner of each upstream from scratch: a node of the upstream's own availability
/// zone, or of any zone if its own has none.
pub fn assign(config: &Config, view: &MemberView) -> OwnerMap {
    let nodes = nodes_by_zone(view);
    let owners = upstreams_by_zone(config)
        .iter()
        .flat_map(|(zone, upstreams)| assign_zone(*zone, upstreams, &nodes))
        .collect();
    OwnerMap { owners }
}

impl OwnershipTable {
    fn set_config(&mut self, config: &Arc<Config>) -> BTreeSet<ZoneId> {
        self.config = Arc::clone(config);
        let upstreams = upstreams_by_zone(config);
        let changed = changed_zones(&self.upstreams, &upstreams);
        self.upstreams = upstreams;
        changed
    }

    fn set_view(&mut self, view: &Arc<MemberView>) -> BTreeSet<ZoneId> {
        self.view = Arc::clone(view);
        let nodes = nodes_by_zone(view);
        let mut changed = changed_zones(&self.nodes, &nodes);
        if !changed.is_empty() {
            let unowned_zones = self
                .upstreams
                .keys()
                .filter(|zone| !nodes.contains_key(zone));
            changed.extend(unowned_zones.copied());
        }
        self.nodes = nodes;
        changed
    }

    /// Recomputes the owners in these zones; returns whether any changed. Owners become stale only
    /// by a change of configuration or when no node is left, so the search for stale ones is
    /// limited to these cases.
    fn recompute(&mut self, zones: &BTreeSet<ZoneId>, configured: bool) -> bool {
        let mut changes = Vec::new();
        for zone in zones {
            let Some(upstreams) = self.upstreams.get(zone) else {
                continue;
            };
            let owners = assign_zone(*zone, upstreams, &self.nodes);
            let moved = owners
                .into_iter()
                .filter(|(upstream, node)| self.owners.owners.get(upstream) != Some(node));
            changes.extend(moved);
        }
        let stale = if configured || self.nodes.is_empty() {
            self.stale()
        } else {
            Vec::new()
        };
        if changes.is_empty() && stale.is_empty() {
            return false;
        }
        let owners = &mut Arc::make_mut(&mut self.owners).owners;
        owners.extend(changes);
        for upstream in stale {
            owners.remove(&upstream);
        }
        true
    }

    /// Upstreams with an owner that are no longer configured, or all if no node is left.
    fn stale(&self) -> Vec<UpstreamId> {
        let no_nodes = self.nodes.is_empty();
        self.owners
            .owners
            .keys()
            .filter(|upstream| no_nodes || !self.config.upstreams.contains_key(upstream))
            .copied()
            .collect()
    }

    fn name_of(&self, node: NodeId) -> String {
        let member = self.view.members.get(&node);
        member.map_or_else(|| node.to_string(), |found| found.name.to_string())
    }
}

fn changed_zones<T: PartialEq>(
    before: &BTreeMap<ZoneId, T>,
    after: &BTreeMap<ZoneId, T>,
) -> BTreeSet<ZoneId> {
    before
        .keys()
        .chain(after.keys())
        .filter(|zone| before.get(zone) != after.get(zone))
        .copied()
        .collect()
}

impl Plugin for OwnershipTable {
    fn handle(&mut self, event: &Event, context: &mut Context<'_>) {
        let (zones, configured) = match event {
            Event::ConfigApplied(config) => (self.set_config(config), true),
            Event::MembersChanged(view) => (self.set_view(view), false),
            _ => return,
        };
        if !zones.is_empty() && self.recompute(&zones, configured) {
            context.raise(Event::OwnersChanged(Arc::clone(&self.owners)));
        }
    }

    fn dump(&self) -> Value {
        let owners: BTreeMap<String, String> = self
            .owners
            .owners
            .iter()
            .map(|(upstream, node)| {
                let known = self.config.upstreams.get(upstream);
                let name =
                    known.map_or_else(|| upstream.to_string(), |found| found.spec.name.to_string());
                (name, self.name_of(*node))
            })
            .collect();
        json!({ "owners": owners })
    }
}

fn build(_profile: &NodeProfile) -> Box<dyn Plugin> {
    Box::<OwnershipTable>::default()
}

inventory::submit! {
    Registration { name: "ownership", order: 30, build }
}
