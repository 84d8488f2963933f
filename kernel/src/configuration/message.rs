//! Messages about configuration between nodes.

use serde::{Deserialize, Serialize};

use crate::configuration::rollout::CountId;
use crate::ids::NodeId;
use crate::record::{CheckpointRecord, LogRecord};

/// Configuration records passed between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationMessage {
    /// "I have everything before this offset."
    Have {
        /// The offset.
        next: u64,
        /// Whether the sender takes calls with it.
        ready: bool,
    },
    /// The same, and the receiver is to answer with its own.
    Ask {
        /// The offset.
        next: u64,
        /// Whether the sender takes calls with it.
        ready: bool,
    },
    /// "Send me the records from this offset on."
    Want {
        /// The offset.
        from: u64,
    },
    /// Records that the receiver does not have yet.
    Records(Vec<LogRecord>),
    /// A part of a checkpoint, when records that the receiver lacks are kept no longer.
    Checkpoint {
        /// The newest checkpoint on the log holds every record before this offset.
        covered: u64,
        /// The part.
        part: Box<CheckpointRecord>,
    },
    /// "Count the nodes at or past this version: yourself and these."
    Count {
        /// The count.
        id: CountId,
        /// The version.
        version: u64,
        /// The other nodes.
        nodes: Vec<NodeId>,
    },
    /// The count so far.
    Counted {
        /// The count.
        id: CountId,
        /// Nodes at or past the version.
        nodes: u32,
    },
}
