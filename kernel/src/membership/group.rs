//! Groups of nodes that probe each other, and the bridges of each zone.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{NodeId, ZoneId};
use crate::membership::table::NodeTable;
use crate::plugin::NodeProfile;

/// Largest fleet, in nodes, that forms one group; in a larger one each availability zone is one.
pub const SMALL_FLEET: usize = 40;

/// Number of nodes per zone that exchange messages with other zones.
pub const ZONE_BRIDGES: usize = 3;

/// The group of this node, recomputed from the table whenever that changes.
#[derive(Debug, Default)]
pub struct PeerGroup {
    /// Whether the fleet consists of more than one group.
    pub zoned: bool,
    /// Nodes of the group that are not dead, in order of identifier, excluding this one.
    pub ring: Vec<NodeId>,
    /// Nodes of the group that are dead but still listed; probed at a low rate.
    pub dead: Vec<NodeId>,
    /// Bridges of each zone, in order of rank. Empty if the fleet is one group.
    pub bridges: BTreeMap<ZoneId, Vec<NodeId>>,
    /// Rank of this node among the bridges of its zone; `None` if it is no bridge.
    pub rank: Option<usize>,
}

impl PeerGroup {
    /// Computes the group of the node in `profile`.
    pub fn of(table: &NodeTable, profile: &NodeProfile) -> Self {
        let zoned = table.rows().len() > SMALL_FLEET;
        let mut group = Self {
            zoned,
            ..Self::default()
        };
        for (node, row) in table.rows() {
            if *node == profile.node || (zoned && row.zone != profile.zone) {
                continue;
            }
            if !row.is_dead() {
                group.ring.push(*node);
            } else if row.listed {
                group.dead.push(*node);
            }
        }
        if zoned {
            group.bridges = bridges(table);
            group.rank = group
                .bridges
                .get(&profile.zone)
                .and_then(|bridges| bridges.iter().position(|node| *node == profile.node));
        }
        group
    }

    /// The next node on the ring, which `node` probes regularly; `None` if the ring is empty.
    pub fn successor(&self, node: NodeId) -> Option<NodeId> {
        let next = self.ring.partition_point(|other| *other < node);
        self.ring.get(next).or(self.ring.first()).copied()
    }

    /// One bridge of every other zone: the one with this node's rank, or else the last one.
    pub fn counterparts(&self, zone: ZoneId) -> Vec<NodeId> {
        let rank = self.rank.unwrap_or_default();
        self.bridges
            .iter()
            .filter(|(other, _)| **other != zone)
            .filter_map(|(_, bridges)| bridges.get(rank).or(bridges.last()))
            .copied()
            .collect()
    }
}

fn bridges(table: &NodeTable) -> BTreeMap<ZoneId, Vec<NodeId>> {
    let mut ranked: BTreeMap<ZoneId, Vec<(bool, u64, NodeId)>> = BTreeMap::new();
    for (node, row) in table.rows() {
        let rank = xxh3_64_with_seed(&node.0.to_le_bytes(), row.zone.0);
        let candidates = ranked.entry(row.zone).or_default();
        candidates.push((!row.is_serving(), rank, *node));
    }
    ranked
        .into_iter()
        .map(|(zone, mut candidates)| {
            candidates.sort_unstable();
            let nodes = candidates.into_iter().map(|(.., node)| node);
            (zone, nodes.take(ZONE_BRIDGES).collect())
        })
        .collect()
}
