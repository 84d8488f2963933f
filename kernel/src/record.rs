//! Records on the platform's append-only log.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::config::document::{self, Document, DocumentKey, VersionedDocument};
use crate::config::spec::ConfigFile;
use crate::ids::{Incarnation, NodeId};

/// Names an append until it is answered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{_0}")]
pub struct AppendTicket(pub u64);

/// Which plug-in asked for an append; each numbers its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOwner {
    /// An operator's change.
    Publish,
    /// A checkpoint.
    Checkpoint,
    /// A lease.
    Lease,
}

impl AppendTicket {
    /// The ticket of an owner's append.
    pub fn new(owner: AppendOwner, sequence: u64) -> Self {
        Self((owner as u64) << 56 | sequence & ((1 << 56) - 1))
    }

    /// Whether the ticket is of this owner.
    pub fn is_of(self, owner: AppendOwner) -> bool {
        self.0 >> 56 == owner as u64
    }
}

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
    /// One part of the fold up to an offset, so that older records may go.
    Checkpoint(CheckpointRecord),
    /// A lease on giving orders.
    Lease(LeaseRecord),
}

/// A change of configuration: sets or removes whole documents, all of them or none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Made by the publisher; a second record with the same identifier changes nothing.
    pub id: Box<str>,
    /// The documents.
    pub changes: Vec<DocumentChange>,
}

impl ChangeRecord {
    /// The first publication of a whole file: no document of it may exist yet.
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

/// A change of one document, on condition of the version that it replaces.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentChange {
    /// The document.
    pub key: DocumentKey,
    /// The version that the publisher had seen; 0 when the document was absent.
    pub replaces: u64,
    /// The new content; the document is removed when none is given.
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

/// What became of a change; the same on every node that folded its record.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum PublishResult {
    /// It is part of the configuration.
    #[display("accepted as version {version}")]
    Accepted {
        /// The version of the documents that it set.
        version: u64,
    },
    /// Another change of the same document came first.
    #[display("conflict on {key}: it replaces version {expected}, but version {found} is in force")]
    Conflict {
        /// The document.
        key: DocumentKey,
        /// The version that the change replaces.
        expected: u64,
        /// The version in force.
        found: u64,
    },
    /// It would leave the configuration invalid.
    #[display("invalid: {reason}")]
    Invalid {
        /// What is wrong and what was expected.
        reason: Box<str>,
    },
    /// It could not be told whether it stands on the log; it may be sent again with its identifier.
    #[display("unavailable: the log did not confirm the change; send it again with the same id")]
    Unavailable,
}

/// How a change that was folded ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SeenChange {
    /// The change's identifier.
    pub id: Box<str>,
    /// The offset of its first record.
    pub offset: u64,
    /// What became of it.
    pub result: PublishResult,
}

/// One part of the fold of all records before an offset.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CheckpointRecord {
    /// Every record before this offset is in it.
    pub through: u64,
    /// Hash of the whole; parts with another hash belong to another checkpoint.
    pub digest: u64,
    /// This part, from 0.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// Version of the configuration.
    pub version: u64,
    /// Documents of this part.
    pub documents: Vec<VersionedDocument>,
    /// Changes folded last, in this part.
    pub seen: Vec<SeenChange>,
    /// The newest lease.
    pub lease: Option<LeaseHead>,
}

/// A claim, renewal or release of the lease on giving orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The claimant.
    pub node: NodeId,
    /// The claimant's run.
    pub incarnation: Incarnation,
    /// The lease that was seen last, by the offset of its record plus one, 0 for none; the claim
    /// holds only if no other stands between.
    pub follows: u64,
    /// How long it holds, counted by the claimant from before the append and by everyone else from
    /// when they read it. Zero releases the lease.
    pub length: Duration,
}

/// The newest valid lease record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHead {
    /// Its offset, which is the fencing number of the orders given under it.
    pub offset: u64,
    /// The record.
    pub record: LeaseRecord,
}
