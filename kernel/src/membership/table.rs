//! The table of all nodes, with digests that are updated incrementally.

use std::collections::BTreeMap;

use crate::ids::{NodeId, ZoneId};
use crate::membership::record::{NodeHealth, NodeRecord};
use crate::membership::{HostEntry, Member, NodeState};

/// State of one node, as far as this node knows it.
#[derive(Clone, Debug)]
pub struct NodeRow {
    /// The node's last entry in the host list.
    pub host: HostEntry,
    /// Identifier of the availability zone.
    pub zone: ZoneId,
    /// The newest record.
    pub record: NodeRecord,
    /// Whether the current host list contains the node.
    pub listed: bool,
    /// Whether the host list marks the run in `record` as leaving.
    pub list_leaving: bool,
    /// Suspicion of this node alone; `None` if there is none.
    pub local_suspicion: Option<LocalSuspicion>,
}

/// A node's suspicion of another one that it does not gossip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalSuspicion {
    /// The link to the node is down.
    LinkDown,
    /// The suspicion timeout of the node expired while no message of another node of the group
    /// arrived. This node may be the isolated one.
    DeadWhileIsolated,
}

impl NodeRow {
    /// A row for a newly listed host.
    pub fn new(host: &HostEntry) -> Self {
        Self {
            zone: ZoneId::named(&host.zone),
            host: host.clone(),
            record: NodeRecord::UNKNOWN,
            listed: true,
            list_leaving: false,
            local_suspicion: None,
        }
    }

    /// Whether the node counts as dead, by its record or by local suspicion.
    pub fn is_dead(&self) -> bool {
        self.local_suspicion == Some(LocalSuspicion::DeadWhileIsolated)
            || self.record.health == NodeHealth::Dead
    }

    /// Whether the node is neither dead nor leaving.
    pub fn is_serving(&self) -> bool {
        !self.is_dead() && !self.record.leaving && !self.list_leaving
    }

    /// The node's state in the membership view; `zone_lost` if its whole zone is marked as lost.
    pub fn state(&self, zone_lost: bool) -> NodeState {
        if self.is_dead() || zone_lost {
            return NodeState::Dead;
        }
        if self.record.leaving || self.list_leaving {
            return NodeState::Leaving;
        }
        if self.local_suspicion.is_some() || self.record.health == NodeHealth::Suspect {
            return NodeState::Suspect;
        }
        NodeState::Live
    }

    /// The node's entry in the membership view.
    pub fn member(&self, zone_lost: bool) -> Member {
        Member {
            name: self.host.name.clone(),
            zone: self.zone,
            zone_name: self.host.zone.clone(),
            incarnation: self.record.incarnation,
            state: self.state(zone_lost),
            peer_address: self.host.peer_address.clone(),
            caller_address: self.host.caller_address.clone(),
        }
    }
}

/// Digests of the records of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneDigest {
    /// Digest of all records, for nodes of the same group.
    pub full: u64,
    /// Digest of the records that are propagated to other groups.
    pub fleet_wide: u64,
}

impl ZoneDigest {
    fn toggle(&mut self, node: NodeId, record: &NodeRecord) {
        let digest = record.digest(node);
        self.full ^= digest;
        if record.is_fleet_wide() {
            self.fleet_wide ^= digest;
        }
    }
}

/// Rows of all nodes, including this one.
#[derive(Debug, Default)]
pub struct NodeTable {
    rows: BTreeMap<NodeId, NodeRow>,
    digests: BTreeMap<ZoneId, ZoneDigest>,
}

impl NodeTable {
    /// All rows by node.
    pub fn rows(&self) -> &BTreeMap<NodeId, NodeRow> {
        &self.rows
    }

    /// The row of a node; `None` if the node is unknown.
    pub fn get(&self, node: NodeId) -> Option<&NodeRow> {
        self.rows.get(&node)
    }

    /// Mutable access to a row. The record and the zone must not be changed this way, because the
    /// digests depend on them.
    pub fn get_mut(&mut self, node: NodeId) -> Option<&mut NodeRow> {
        self.rows.get_mut(&node)
    }

    /// Digests by zone.
    pub fn digests(&self) -> &BTreeMap<ZoneId, ZoneDigest> {
        &self.digests
    }

    /// Inserts or replaces a row.
    pub fn insert(&mut self, node: NodeId, row: NodeRow) {
        self.remove(node);
        self.toggle(row.zone, node, &row.record);
        self.rows.insert(node, row);
    }

    /// Removes the row of a node, if there is one.
    pub fn remove(&mut self, node: NodeId) {
        if let Some(row) = self.rows.remove(&node) {
            self.toggle(row.zone, node, &row.record);
        }
    }

    /// Replaces the record of a node; does nothing if the node is unknown.
    pub fn set_record(&mut self, node: NodeId, record: NodeRecord) {
        let Some(row) = self.rows.get_mut(&node) else {
            return;
        };
        let zone = row.zone;
        let before = std::mem::replace(&mut row.record, record);
        self.toggle(zone, node, &before);
        self.toggle(zone, node, &record);
    }

    fn toggle(&mut self, zone: ZoneId, node: NodeId, record: &NodeRecord) {
        self.digests.entry(zone).or_default().toggle(node, record);
    }
}
