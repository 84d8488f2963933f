//! Entries of the registry, as upstreams publish them.

use std::net::SocketAddr;

use derive_more::{From, Into};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gateway::registry::record::{EntryRecord, LogPlace};

/// Identifies a version of a pool's software, by a hash of both names: 32 bits, five bytes on the
/// wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareKey(u32);

/// Registry entry that an upstream publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Id of the upstream. Another run of it may have another id or the same.
    pub id: Box<str>,
    /// Start time of this run in Unix ms; `None` if the platform does not report it.
    pub born: Option<u64>,
    /// Pool that it serves.
    pub pool: Box<str>,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: Box<str>,
    /// Version of the software that it runs.
    pub version: Box<str>,
    /// Maximum number of calls that it processes at a time.
    pub slots: u32,
    /// Whether it accepts no new calls.
    pub leaving: bool,
    /// Whether the platform may reclaim it at any time.
    #[serde(default)]
    pub spot: bool,
    /// Its newest record in the store; `None` if that is not known. Nodes of earlier releases do not
    /// send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub written: Option<EntryRecord>,
}

impl UpstreamEntry {
    /// Hash that identifies this run of the upstream in heartbeats between nodes: 32 bits, five
    /// bytes on the wire. Two of 10,000 upstreams collide with a probability of one in a hundred,
    /// which only makes the selection of an upstream worse.
    pub fn run_hash(&self) -> u64 {
        let run = xxh3_64_with_seed(self.version.as_bytes(), self.born.unwrap_or(0));
        xxh3_64_with_seed(self.id.as_bytes(), run) >> 32
    }

    /// Whether this run, at the same address as another one, started after it; `false` if that is not
    /// known. A run writes nothing after the next one at its address has started.
    pub(super) fn starts_after(&self, other: &Self) -> bool {
        match (self.born, other.born) {
            (Some(born), Some(other_born)) if born != other_born => return born > other_born,
            _ => {}
        }
        match (self.written, other.written) {
            (Some(record), Some(other_record)) => record.place() > other_record.place(),
            _ => false,
        }
    }

    /// Version of the software that it runs.
    pub fn software(&self) -> SoftwareKey {
        let pool = xxh3_64(self.pool.as_bytes());
        SoftwareKey((xxh3_64_with_seed(self.version.as_bytes(), pool) >> 32) as u32)
    }
}

/// A change of the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryChange {
    /// An entry was added or updated.
    Put(UpstreamEntry),
    /// An entry is missing.
    Removed {
        /// Id of the upstream.
        id: Box<str>,
        /// Place in the log of the record that removed it; `None` if that is not known.
        at: Option<LogPlace>,
    },
}

/// State of an upstream's newest run, as nodes send it to each other: a bare pair.
#[derive(Clone, Debug, PartialEq, Eq, From, Into, Serialize, Deserialize)]
#[serde(from = "(UpstreamEntry, bool)", into = "(UpstreamEntry, bool)")]
pub struct EntryReport {
    /// Its entry. If the run left without saying so, `written` is the place at which its entry was
    /// missing.
    pub entry: UpstreamEntry,
    /// Whether it accepts no new calls.
    pub left: bool,
}
