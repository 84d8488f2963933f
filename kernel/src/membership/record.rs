//! The record of one node, and the order in which records supersede each other.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{Incarnation, NodeId};

/// Result of failure detection for a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeHealth {
    /// The node is assumed to respond.
    Live,
    /// The node failed a probe and may still refute the suspicion.
    Suspect,
    /// The node did not refute the suspicion in time.
    Dead,
}

/// The newest known state of one node.
///
/// The epoch orders the updates of a node. It starts at the incarnation of the run, and only the
/// node itself increments it: to refute a suspicion, to announce that it is leaving, and to
/// supersede updates of an earlier run whose clock was ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeRecord {
    /// Orders the updates of the node; 0 for a node that is listed but has sent no record.
    pub epoch: u64,
    /// The run that the record describes.
    pub incarnation: Incarnation,
    /// Result of failure detection.
    pub health: NodeHealth,
    /// Whether this run is leaving.
    pub leaving: bool,
}

impl NodeRecord {
    /// Record of a node that is listed but has sent no record: assumed live until a probe fails.
    pub const UNKNOWN: Self = Self {
        epoch: 0,
        incarnation: Incarnation(0),
        health: NodeHealth::Live,
        leaving: false,
    };

    /// A node's first record of itself in a new run.
    pub fn started(incarnation: Incarnation) -> Self {
        Self {
            epoch: incarnation.0.max(1),
            incarnation,
            ..Self::UNKNOWN
        }
    }

    fn rank(&self) -> (u64, NodeHealth, bool, Incarnation) {
        (self.epoch, self.health, self.leaving, self.incarnation)
    }

    /// Whether this record is newer than `other`. The order is total, so that all nodes converge to
    /// the same record whatever the order of arrival.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Whether the record must be propagated beyond its group. Other groups assume a node live
    /// unless they know it to be dead or leaving, so a record without either stays in its group.
    pub fn is_fleet_wide(&self) -> bool {
        self.health == NodeHealth::Dead || self.leaving
    }

    /// Contribution of this record to the digest of all records. Suspicions do not contribute,
    /// because they are gossiped inside a group only.
    pub fn digest(&self, node: NodeId) -> u64 {
        if self.epoch == 0 && !self.is_fleet_wide() {
            return 0;
        }
        let flags = u8::from(self.health == NodeHealth::Dead) << 1 | u8::from(self.leaving);
        let mut bytes = [0_u8; 25];
        bytes[..8].copy_from_slice(&node.0.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.epoch.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.incarnation.0.to_le_bytes());
        bytes[24] = flags;
        xxh3_64(&bytes)
    }
}

/// A record in a message: node, epoch, lead of the epoch over the incarnation, flags. A tuple,
/// because CBOR then encodes no field names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeUpdate(pub NodeId, u64, u64, u8);

impl NodeUpdate {
    /// Encodes the record of `node`.
    pub fn new(node: NodeId, record: &NodeRecord) -> Self {
        let health = match record.health {
            NodeHealth::Live => 0,
            NodeHealth::Suspect => 1,
            NodeHealth::Dead => 2,
        };
        let lead = record.epoch.wrapping_sub(record.incarnation.0);
        Self(
            node,
            record.epoch,
            lead,
            health << 1 | u8::from(record.leaving),
        )
    }

    /// Decodes the record; `None` if this version does not know its flags.
    pub fn record(&self) -> Option<NodeRecord> {
        let health = match self.3 >> 1 {
            0 => NodeHealth::Live,
            1 => NodeHealth::Suspect,
            2 => NodeHealth::Dead,
            _ => return None,
        };
        Some(NodeRecord {
            epoch: self.1,
            incarnation: Incarnation(self.1.wrapping_sub(self.2)),
            health,
            leaving: self.3 & 1 == 1,
        })
    }
}
