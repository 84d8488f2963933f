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
    pub doubt: Option<LocalDoubt>,
}

/// What a node holds against another without telling anyone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalDoubt {
    /// Its own link to the other is down.
    LinkDown,
    /// It gave the other up at a time when it heard from nobody.
    Lost,
}

impl NodeRow {
    /// A row for a host that was never heard of.
    pub fn new(host: &HostEntry) -> Self {
        Self {
            zone: ZoneId::named(&host.zone),
            host: host.clone(),
            record: NodeRecord::UNHEARD,
            listed: true,
            list_leaving: false,
            doubt: None,
        }
    }

    /// Whether nobody expects it to answer.
    pub fn is_dead(&self) -> bool {
        self.doubt == Some(LocalDoubt::Lost) || self.record.health == NodeHealth::Dead
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
        if self.doubt.is_some() || self.record.health == NodeHealth::Suspect {
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

/// All nodes, this one included.
#[derive(Debug, Default)]
pub struct NodeTable {
    rows: BTreeMap<NodeId, NodeRow>,
    digests: BTreeMap<ZoneId, u64>,
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

    /// Digest of the records of each zone.
    pub fn digests(&self) -> &BTreeMap<ZoneId, u64> {
        &self.digests
    }

    /// Digest of all records.
    pub fn digest(&self) -> u64 {
        self.digests.values().fold(0, |all, zone| all ^ zone)
    }

    /// Adds or replaces a row.
    pub fn insert(&mut self, node: NodeId, row: NodeRow) {
        self.remove(node);
        self.toggle(row.zone, row.record.digest(node));
        self.rows.insert(node, row);
    }

    /// Removes a row.
    pub fn remove(&mut self, node: NodeId) {
        if let Some(row) = self.rows.remove(&node) {
            self.toggle(row.zone, row.record.digest(node));
        }
    }

    /// Replaces a row's record.
    pub fn set_record(&mut self, node: NodeId, record: NodeRecord) {
        let Some(row) = self.rows.get_mut(&node) else {
            return;
        };
        let change = row.record.digest(node) ^ record.digest(node);
        let zone = row.zone;
        row.record = record;
        self.toggle(zone, change);
    }

    fn toggle(&mut self, zone: ZoneId, change: u64) {
        let digest = self.digests.entry(zone).or_default();
        *digest ^= change;
        if *digest == 0 {
            self.digests.remove(&zone);
        }
    }
}
