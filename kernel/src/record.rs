//! Records on the platform's append-only log.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::config::document::{self, Document, DocumentKey, VersionedDocument};
use crate::config::spec::ConfigFile;
use crate::ids::{Incarnation, NodeId};

/// Identifies an append until its result arrives.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{_0}")]
pub struct AppendTicket(pub u64);

/// The component that requested an append. Each numbers its appends independently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOwner {
    /// Publication of a change.
    Publish,
    /// Writing of checkpoints.
    Checkpoint,
    /// Claims, renewals and releases of the lease.
    Lease,
}

impl AppendTicket {
    /// Combines the owner (upper 8 bits) with its sequence number (lower 56 bits).
    pub fn new(owner: AppendOwner, sequence: u64) -> Self {
        Self((owner as u64) << 56 | sequence & ((1 << 56) - 1))
    }

    /// Whether the ticket was issued for this owner.
    pub fn belongs_to(self, owner: AppendOwner) -> bool {
        self.0 >> 56 == owner as u64
    }
}

/// A record with its position on the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position on the log.
    pub offset: u64,
    /// The decoded record; `None` if this version cannot decode its bytes.
    pub record: Option<Record>,
}

/// Result of an append, as far as the log reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The log confirmed the append.
    Appended {
        /// Offset of the new record.
        offset: u64,
    },
    /// The log rejected the append; the record is not on the log.
    Refused,
    /// No response arrived; the record may be on the log.
    Unknown,
}

/// A record that nodes and operators append to the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Record {
    /// A change of configuration.
    Change(ChangeRecord),
    /// One part of the folded state up to an offset, so that the log may drop older records.
    Checkpoint(CheckpointRecord),
    /// A claim, renewal or release of the lease on sending orders.
    Lease(LeaseRecord),
}

/// A change of configuration: sets or removes whole documents atomically.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Identifier chosen by the publisher. A second record with the same identifier has no effect.
    pub id: Box<str>,
    /// Changes of single documents, applied all or none.
    pub changes: Vec<DocumentChange>,
}

impl ChangeRecord {
    /// A change that publishes a whole file for the first time: it conflicts if a document of the
    /// file exists already.
    pub fn from_file(id: &str, file: &ConfigFile) -> Self {
        let documents = document::split(file).into_iter();
        Self {
            id: id.into(),
            changes: documents
                .map(|document| DocumentChange::set(document, 0))
                .collect(),
        }
    }
}

/// A change of one document, conditional on the version that it replaces.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentChange {
    /// Key of the document.
    pub key: DocumentKey,
    /// The version that the publisher read; 0 if the document was absent.
    pub replaces: u64,
    /// The new content; `None` removes the document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<Document>,
}

impl DocumentChange {
    /// Sets a document.
    pub fn set(content: Document, replaces: u64) -> Self {
        Self {
            key: content.key(),
            replaces,
            content: Some(content),
        }
    }

    /// Removes a document.
    pub fn remove(key: DocumentKey, replaces: u64) -> Self {
        Self {
            key,
            replaces,
            content: None,
        }
    }
}

/// Result of a change; identical on every node that folded its record.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum PublishResult {
    /// The change is part of the configuration.
    #[display("accepted as version {version}")]
    Accepted {
        /// Version of the documents that the change set.
        version: u64,
    },
    /// Another change of the same document precedes this one on the log.
    #[display("conflict on {key}: it replaces version {expected}, but version {found} is in force")]
    Conflict {
        /// Key of the conflicting document.
        key: DocumentKey,
        /// Version that the change replaces.
        expected: u64,
        /// Version in force.
        found: u64,
    },
    /// The change would make the configuration invalid.
    #[display("invalid: {reason}")]
    Invalid {
        /// Description of the error and of the expected value.
        reason: Box<str>,
    },
    /// It is unknown whether the change is on the log. It is safe to send it again with the same
    /// identifier.
    #[display("unavailable: the log did not confirm the change; send it again with the same id")]
    Unavailable,
}

/// The result of a folded change, retained to answer repeats of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FoldedChange {
    /// Identifier of the change.
    pub id: Box<str>,
    /// Offset of its first record.
    pub offset: u64,
    /// Whether it was accepted, and if not, why.
    pub result: PublishResult,
}

/// One part of the folded state of all records before an offset.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CheckpointRecord {
    /// The checkpoint covers every record before this offset.
    pub through: u64,
    /// Hash of the whole checkpoint; parts with another hash belong to another checkpoint.
    pub digest: u64,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts of the checkpoint.
    pub parts: u32,
    /// Version of the configuration at that offset.
    pub version: u64,
    /// Documents in this part.
    pub documents: Vec<VersionedDocument>,
    /// Results of recently folded changes in this part.
    pub seen: Vec<FoldedChange>,
    /// The newest valid lease record; `None` if there is none.
    pub lease: Option<LeaseHead>,
}

/// A claim, renewal or release of the lease on sending orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The claiming node.
    pub node: NodeId,
    /// The run of the claiming node.
    pub incarnation: Incarnation,
    /// Offset, plus one, of the newest lease record that the claimant read; 0 for none. The record
    /// is valid only if no other valid lease record lies between.
    pub follows: u64,
    /// Duration of the lease. The claimant counts it from before the append, all other nodes from
    /// when they read the record. Zero releases the lease.
    pub length: Duration,
}

/// The newest valid lease record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHead {
    /// Offset of the record, which is the fencing token of the orders sent under the lease.
    pub offset: u64,
    /// The lease record at that offset.
    pub record: LeaseRecord,
}
