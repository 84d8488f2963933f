//! Records on the platform's append-only log.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::config::ConfigFile;
use crate::ids::{Incarnation, NodeId};

/// Names an append until it is answered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{_0}")]
pub struct AppendTicket(pub u64);

/// A record with its place on the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The offset.
    pub offset: u64,
    /// The record; none when its bytes are no record that this version knows.
    pub record: Option<Record>,
}

/// What an append came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// It stands at this offset.
    Appended {
        /// The offset.
        offset: u64,
    },
    /// The log refused it; it does not stand on the log.
    Refused,
    /// No answer came; it may stand on the log.
    Unknown,
}

/// What nodes and operators write on the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Record {
    /// A change of configuration.
    Change(ChangeRecord),
    /// The whole fold up to an offset, so that older records may go.
    Checkpoint(CheckpointRecord),
    /// A lease on giving orders.
    Lease(LeaseRecord),
}

/// A change of configuration: replaces whole parts, on condition of the version that it replaces.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Made by the publisher; a second record with the same identifier changes nothing.
    pub id: Box<str>,
    /// The version that the publisher had seen of what it replaces.
    pub replaces: u64,
    /// The new content.
    pub file: ConfigFile,
}

/// The fold of all records before an offset.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CheckpointRecord {
    /// Every record before this offset is in it.
    pub through: u64,
    /// Version of the configuration.
    pub version: u64,
    /// The configuration.
    pub file: ConfigFile,
}

/// A claim, renewal or release of the lease on giving orders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The claimant.
    pub node: NodeId,
    /// The claimant's run.
    pub incarnation: Incarnation,
    /// The lease that was seen last, by the offset of its record; the claim holds only if no other
    /// stands between.
    pub follows: u64,
    /// How long it holds, counted by the claimant from before the append and by everyone else from
    /// when they read it.
    pub length: Duration,
}
