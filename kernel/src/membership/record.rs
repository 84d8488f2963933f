//! What the fleet says of one node, and the order of such news.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{Incarnation, NodeId};

/// Whether a node answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeHealth {
    /// It answers.
    Live,
    /// It did not answer a probe, and may still refute that.
    Suspect,
    /// It did not refute in time.
    Dead,
}

/// The newest news of one node.
///
/// The epoch orders a node's news. It begins with the run's incarnation, and only the node itself
/// raises it: to refute a suspicion, to say that it leaves, and to get past news of an earlier run
/// whose clock was ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeRecord {
    /// Orders the news; 0 for a node that is listed but was never heard of.
    pub epoch: u64,
    /// The run that the news is of.
    pub incarnation: Incarnation,
    /// Whether it answers.
    pub health: NodeHealth,
    /// Whether that run is leaving.
    pub leaving: bool,
}

impl NodeRecord {
    /// A node that is listed but was never heard of: taken for live until a probe fails.
    pub const UNKNOWN: Self = Self {
        epoch: 0,
        incarnation: Incarnation(0),
        health: NodeHealth::Live,
        leaving: false,
    };

    /// A node's own first record.
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

    /// Whether this is newer than `other`. A total order, so that every node ends with the same
    /// record in whatever order the news arrives.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    /// Whether other groups need this record: what is not known to be dead or leaving is taken for
    /// live, so a record that says no more than that need not leave its group.
    pub fn is_fleet_wide(&self) -> bool {
        self.health == NodeHealth::Dead || self.leaving
    }

    /// This record's part of the digest of all records; suspicions stay out of it, because they
    /// are told inside a group only.
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

/// A record on its way: node, epoch, how far the epoch is ahead of the incarnation, flags.
/// A tuple, because CBOR then carries no field names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeUpdate(pub NodeId, u64, u64, u8);

impl NodeUpdate {
    /// The news that `node` has this record.
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

    /// The record; none when its flags are of no version that is known here.
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
