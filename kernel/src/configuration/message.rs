//! Messages that replicate the configuration between nodes.

use serde::{Deserialize, Serialize};

use crate::configuration::rollout::CountId;
use crate::ids::NodeId;
use crate::record::{CheckpointRecord, LogRecord};

/// A message that replicates the configuration between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationMessage {
    /// Advertises that the sender has every record before an offset.
    Have {
        /// The first offset that the sender lacks.
        next: u64,
        /// Whether the sender accepts calls with this configuration.
        ready: bool,
    },
    /// Like [`ConfigurationMessage::Have`], and requests the same from the receiver.
    Ask {
        /// The first offset that the sender lacks.
        next: u64,
        /// Whether the sender accepts calls with this configuration.
        ready: bool,
    },
    /// Requests the records from an offset on.
    Want {
        /// The first offset requested.
        from: u64,
    },
    /// Records that the receiver does not have yet.
    Records(Vec<LogRecord>),
    /// A part of a checkpoint, sent if the sender no longer retains the requested records.
    Checkpoint {
        /// Offset before which the newest checkpoint on the log covers every record.
        covered: u64,
        /// The part of the sender's state.
        part: Box<CheckpointRecord>,
    },
    /// Requests a count of the nodes at or past a version, among the receiver and `nodes`.
    Count {
        /// Identifier of the count.
        id: CountId,
        /// The version to reach.
        version: u64,
        /// Nodes that the receiver counts besides itself.
        nodes: Vec<NodeId>,
    },
    /// Reports the count so far.
    Counted {
        /// Identifier of the count.
        id: CountId,
        /// Number of nodes at or past the version.
        nodes: u32,
    },
}
