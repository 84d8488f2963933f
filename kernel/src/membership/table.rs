//! The rows of all nodes, with digests that are kept up to date as rows change.

use std::collections::BTreeMap;

use crate::ids::{NodeId, ZoneId};
use crate::membership::record::{NodeHealth, NodeRecord};
use crate::membership::{HostEntry, Member, NodeState};

/// One node.
#[derive(Clone, Debug)]
pub struct NodeRow {
    /// What the host list said last.
    pub host: HostEntry,
    /// The availability zone.
    pub zone: ZoneId,
    /// The newest news.
    pub record: NodeRecord,
    /// Whether the host list shows it now.
    pub listed: bool,
    /// Whether the host list says that the run in `record` is leaving.
    pub list_leaving: bool,
    /// What this node alone holds against it.
    pub local_suspicion: Option<LocalSuspicion>,
}

/// What a node holds against another without telling anyone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalSuspicion {
    /// Its own link to the other is down.
    LinkDown,
    /// It gave the other up at a time when it heard from nobody.
    DeadWhileIsolated,
}

impl NodeRow {
    /// A row for a host that was never heard of.
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

    /// Whether nobody expects it to answer.
    pub fn is_dead(&self) -> bool {
        self.local_suspicion == Some(LocalSuspicion::DeadWhileIsolated)
            || self.record.health == NodeHealth::Dead
    }

    /// Whether it may serve others: not dead and not leaving.
    pub fn is_serving(&self) -> bool {
        !self.is_dead() && !self.record.leaving && !self.list_leaving
    }

    /// The state that other plug-ins see; `zone_lost` when its whole zone is given up.
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

    /// The row as other plug-ins see it.
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

/// Digests of the records of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneDigest {
    /// Of all records, for nodes of the same group.
    pub full: u64,
    /// Of the records that other groups need.
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

/// All nodes, this one included.
#[derive(Debug, Default)]
pub struct NodeTable {
    rows: BTreeMap<NodeId, NodeRow>,
    digests: BTreeMap<ZoneId, ZoneDigest>,
}

impl NodeTable {
    /// The rows.
    pub fn rows(&self) -> &BTreeMap<NodeId, NodeRow> {
        &self.rows
    }

    /// A row.
    pub fn get(&self, node: NodeId) -> Option<&NodeRow> {
        self.rows.get(&node)
    }

    /// Changes anything of a row but its record and zone.
    pub fn get_mut(&mut self, node: NodeId) -> Option<&mut NodeRow> {
        self.rows.get_mut(&node)
    }

    /// Digests of the records of each zone.
    pub fn digests(&self) -> &BTreeMap<ZoneId, ZoneDigest> {
        &self.digests
    }

    /// Adds or replaces a row.
    pub fn insert(&mut self, node: NodeId, row: NodeRow) {
        self.remove(node);
        self.toggle(row.zone, node, &row.record);
        self.rows.insert(node, row);
    }

    /// Removes a row.
    pub fn remove(&mut self, node: NodeId) {
        if let Some(row) = self.rows.remove(&node) {
            self.toggle(row.zone, node, &row.record);
        }
    }

    /// Replaces a row's record.
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
