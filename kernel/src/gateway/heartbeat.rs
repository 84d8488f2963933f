//! What nodes tell each other several times a second. Each heartbeat replaces the one before, so a lost
//! one costs a fraction of a second.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{From, Into};
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::crashes::CrashReport;
use crate::gateway::load::WorkCount;
use crate::gateway::throttle::LimitReport;
use crate::gateway::usage::WindowUsage;

/// Open calls of a node that nodes of other zones are told of. Nodes that callers are not sent to get a
/// call now and then; if all told all, those that share the load would hear each other seldom.
const MANY_CALLS: u32 = 8;

/// Tells a node from others in what is drawn by hashing.
pub fn node_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Stands for a node in a list: 32 bits, five bytes on the wire.
pub fn short_hash(name: &str) -> u64 {
    node_hash(name) >> 32
}

/// How far a node's process is. Each run goes through these in order and never back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum NodeState {
    /// It lacks a configuration or the registry.
    Starting,
    /// It takes new calls.
    Ready,
    /// It was told to stop.
    Leaving,
}

/// Who a node is. Written as a bare list: with names of fields it would be twice as long.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct NodeCard {
    /// Its name.
    pub name: Box<str>,
    /// Grows with each start of the node's process.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other nodes reach it.
    pub peers: SocketAddr,
    /// Open calls that its host can carry.
    pub capacity: u32,
    /// How far its process is.
    pub state: NodeState,
}

impl NodeCard {
    /// Whether it takes new calls.
    pub fn is_ready(&self) -> bool {
        self.state == NodeState::Ready
    }
}

/// What a node says of its work at an upstream. Three bare values, as names would double a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, From, Into, Serialize, Deserialize)]
#[serde(from = "(u64, WorkCount, u64)", into = "(u64, WorkCount, u64)")]
pub struct WorkReport {
    /// Hash of the upstream's run.
    pub run: u64,
    /// Calls that are there.
    pub count: WorkCount,
    /// Prompt tokens that its calls made the upstream's cache take in since the node started.
    pub taken_tokens: u64,
}

/// Who holds the duties, as the holder says or others pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct HolderNotice {
    /// The holder's fencing token; grows from holder to holder.
    pub token: u64,
    /// Where the holder hears other nodes.
    pub peers: SocketAddr,
    /// Where the node hears that is likely to follow: it is told what the holder is told.
    pub deputy: Option<SocketAddr>,
    /// Time since the holder said so, in ms.
    pub age_ms: u64,
    /// The newest record of its lease, as a position in the log.
    pub renewal: u64,
    /// The newest window whose usage is written down.
    pub written: u64,
}

/// What a node says of itself and of others.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct NodeHeartbeat {
    /// Who it is.
    pub card: NodeCard,
    /// Version of the configuration that it has in force; 0 is none.
    pub version: u64,
    /// Whether the store answers it, as far as it knows.
    pub store_well: bool,
    /// Time since the store answered any node that it knows of, in ms; none if it knows of no answer.
    pub store_age_ms: Option<u64>,
    /// Digest of the upstreams that it knows and of those that left.
    pub registry_digest: u64,
    /// Whether it has heard no other node and asks for some.
    pub seeking: bool,
    /// Whether it answers one, and is not to be answered.
    pub answers: bool,
    /// Nodes of the fleet that it counts.
    pub fleet_size: u32,
    /// Nodes of its availability zone that it counts, if it is a hub; else 0.
    pub zone_size: u32,
    /// Short hashes of the nodes that callers of its zone are sent to, if it is a hub.
    pub entries: Vec<u64>,
    /// Other nodes that it has heard itself.
    pub cards: Vec<NodeCard>,
    /// Its work at upstreams; none if this heartbeat does not tell it.
    pub work: Option<Vec<WorkReport>>,
    /// Hashes of the runs of upstreams that it found failing or unreachable and passes over.
    pub failing: Vec<u64>,
    /// Hashes of the runs of upstreams that began to leave a moment ago.
    pub departures: Vec<u64>,
    /// Changes of what it knows of content that upstreams crashed under.
    pub crashes: Vec<CrashReport>,
    /// Digest of the contents that are quarantined or were; 0 if there are none.
    pub crash_digest: u64,
    /// Limits that upstreams named a moment ago.
    pub limits: Vec<LimitReport>,
    /// Parts of prompts that it sent lately, with the hash of the upstream's run.
    pub parts: Vec<(u64, u64)>,
    /// Its time of day, in Unix ms; 0 where no duty needs it.
    pub unix_ms: u64,
    /// Who holds the duties, as far as it knows.
    pub holder: Option<HolderNotice>,
    /// Calls by workspace, if it is sent to the holder.
    pub usage: Vec<WindowUsage>,
}

impl NodeHeartbeat {
    /// A heartbeat that says nothing but who the node is.
    pub fn new(card: NodeCard) -> Self {
        Self {
            card,
            version: 0,
            store_well: false,
            store_age_ms: None,
            registry_digest: 0,
            seeking: false,
            answers: false,
            fleet_size: 0,
            zone_size: 0,
            entries: Vec::new(),
            cards: Vec::new(),
            work: None,
            failing: Vec::new(),
            departures: Vec::new(),
            crashes: Vec::new(),
            crash_digest: 0,
            limits: Vec::new(),
            parts: Vec::new(),
            unix_ms: 0,
            holder: None,
            usage: Vec::new(),
        }
    }

    /// Calls that it has at upstreams.
    pub fn open_calls(&self) -> u32 {
        let work = self.work.iter().flatten();
        work.map(|work| work.count.calls).sum()
    }

    /// Whether it has so many calls that others choose worse if they do not hear of them.
    pub fn sends_many(&self) -> bool {
        self.open_calls() >= MANY_CALLS
    }

    /// Whether it has calls at upstreams, as far as it told.
    pub fn sends_calls(&self) -> bool {
        self.work.as_ref().is_some_and(|work| !work.is_empty())
    }

    /// Time since the store answered any node that it knows of.
    pub fn store_age(&self) -> Option<Duration> {
        self.store_age_ms.map(Duration::from_millis)
    }
}
