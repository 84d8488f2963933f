//! Heartbeats that nodes exchange several times a second. Each one replaces the one before, so a
//! lost one only delays changes by a fraction of a second.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{From, Into};
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::backlog::BacklogReport;
use crate::gateway::brittle::RefusalReport;
use crate::gateway::crashes::news::CrashNews;
use crate::gateway::fairness::WorkspaceReport;
use crate::gateway::load::WorkCount;
use crate::gateway::registry::RunNews;
use crate::gateway::speed::SpeedReport;
use crate::gateway::throttle::LimitReport;
use crate::gateway::usage::WindowUsage;

/// Number of open calls from which a node reports its work to other zones. Nodes that callers are
/// not directed to get a call now and then; if all of them reported, the nodes that share the load
/// would receive each other's reports seldom.
const MANY_CALLS: u32 = 8;

/// Hash that identifies a node where nodes are selected by hashing.
pub fn node_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Short hash that identifies a node in a list: 32 bits, five bytes on the wire.
pub fn short_hash(name: &str) -> u64 {
    node_hash(name) >> 32
}

/// State of a node's process. Each run passes through the states in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum NodeState {
    /// It has no configuration or no registry yet.
    Starting,
    /// It accepts new calls.
    Ready,
    /// It is shutting down.
    Leaving,
}

/// Identity and addresses of a node. Serialized as a bare list: field names would double its size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct NodeCard {
    /// Name of the node.
    pub name: Box<str>,
    /// Number of this run; increases with each start of the node's process.
    pub incarnation: u64,
    /// Availability zone of the node.
    pub zone: Box<str>,
    /// Address on which it accepts callers' requests.
    pub callers: SocketAddr,
    /// Address on which it receives heartbeats and serves state to other nodes.
    pub peers: SocketAddr,
    /// Maximum number of open calls that its host can handle.
    pub capacity: u32,
    /// State of its process.
    pub state: NodeState,
}

impl NodeCard {
    /// Whether it accepts new calls.
    pub fn is_ready(&self) -> bool {
        self.state == NodeState::Ready
    }
}

/// A node's report of its work at an upstream. Three bare values, as field names would double the
/// size of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, From, Into, Serialize, Deserialize)]
#[serde(from = "(u64, WorkCount, u64)", into = "(u64, WorkCount, u64)")]
pub struct WorkReport {
    /// Hash of the upstream's run.
    pub run: u64,
    /// Work of the node's calls that have not ended there.
    pub count: WorkCount,
    /// Prompt tokens that the node's calls added to the upstream's cache since the node started.
    pub taken_tokens: u64,
}

/// Notice of the holder of the duties, sent by the holder and forwarded by others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct HolderNotice {
    /// Fencing token of the holder; increases from holder to holder.
    pub token: u64,
    /// Address on which the holder receives heartbeats.
    pub peers: SocketAddr,
    /// Address of the node that is likely to be the next holder, which receives the same reports as
    /// the holder; `None` if there is none.
    pub successor: Option<SocketAddr>,
    /// Time since the holder sent the notice, in ms.
    pub age_ms: u64,
    /// Position of the lease's newest record in the log.
    pub renewal: u64,
    /// Newest window whose usage is persisted.
    pub written: u64,
}

/// A node's report on itself and others.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct NodeHeartbeat {
    /// Card of the sender.
    pub card: NodeCard,
    /// Version of the configuration that it has in force; 0 if none.
    pub version: u64,
    /// Whether the store answers it, as far as it knows.
    pub store_reachable: bool,
    /// Time since the store answered any node, as far as it knows, in ms; `None` if it never did.
    pub store_age_ms: Option<u64>,
    /// Digest of all upstreams and of those that left; 0 if it knows only the preferred ones.
    pub registry_digest: u64,
    /// Digest of the preferred upstreams; `None` if all upstreams are preferred or if it does not
    /// know all.
    pub preferred_digest: Option<u64>,
    /// Whether it starts, or knows no other live node, and asks for the cards of others.
    pub seeking: bool,
    /// Whether it is a reply, which needs no reply itself.
    pub is_reply: bool,
    /// Number of nodes in the fleet, as the sender counts them.
    pub fleet_size: u32,
    /// Number of nodes in its availability zone if it is a hub; otherwise 0.
    pub zone_size: u32,
    /// Short hashes of the nodes that callers of its zone are directed to; empty if it is no hub.
    pub entries: Vec<u64>,
    /// Cards of other nodes that it received heartbeats from itself.
    pub cards: Vec<NodeCard>,
    /// Its work at upstreams; `None` if this heartbeat does not report it.
    pub work: Option<Vec<WorkReport>>,
    /// Hashes of the runs of upstreams that it found failing or unreachable and backs off from.
    pub failing: Vec<u64>,
    /// Hashes of the runs of upstreams that recently began to leave. Nodes that send `news` say more
    /// there.
    pub departures: Vec<u64>,
    /// Recent changes of what it knows of crashes of upstreams and of what causes them.
    pub crashes: CrashNews,
    /// Digest of what is quarantined or was cleared; 0 if there is nothing.
    pub crash_digest: u64,
    /// Limits that upstreams advertised recently.
    pub limits: Vec<LimitReport>,
    /// Prompt parts in its recent calls, each with the hash of the upstream's run.
    pub parts: Vec<(u64, u64)>,
    /// Its wall-clock time, in Unix ms; 0 where no duty needs it.
    pub unix_ms: u64,
    /// Holder of the duties, as far as it knows; `None` if it knows of none.
    pub holder: Option<HolderNotice>,
    /// Calls by workspace; empty unless it is sent to the holder.
    pub usage: Vec<WindowUsage>,
    /// Its measurements of engines' speed; empty for pools of equally fast ones.
    pub speeds: Vec<SpeedReport>,
    /// What waits at it for pools whose slots run out; only in heartbeats that report its work.
    pub backlog: Vec<BacklogReport>,
    /// Recent work of workspaces at pools whose slots run out.
    pub workspaces: Vec<WorkspaceReport>,
    /// Hashes of pools to whose upstreams it has no connection.
    pub unreached: Vec<u64>,
    /// Recent refusals of its calls by brittle upstreams.
    pub refusals: Vec<RefusalReport>,
    /// Runs of upstreams that recently left or returned. Nodes of earlier releases do not send it, and
    /// ignore what comes after the fields that they know.
    #[serde(default)]
    pub news: Option<Vec<RunNews>>,
}

impl NodeHeartbeat {
    /// Creates a heartbeat that contains only the sender's card.
    pub fn new(card: NodeCard) -> Self {
        Self {
            card,
            version: 0,
            store_reachable: false,
            store_age_ms: None,
            registry_digest: 0,
            preferred_digest: None,
            seeking: false,
            is_reply: false,
            fleet_size: 0,
            zone_size: 0,
            entries: Vec::new(),
            cards: Vec::new(),
            work: None,
            failing: Vec::new(),
            departures: Vec::new(),
            crashes: CrashNews::default(),
            crash_digest: 0,
            limits: Vec::new(),
            parts: Vec::new(),
            unix_ms: 0,
            holder: None,
            usage: Vec::new(),
            speeds: Vec::new(),
            backlog: Vec::new(),
            workspaces: Vec::new(),
            unreached: Vec::new(),
            refusals: Vec::new(),
            news: None,
        }
    }

    /// Number of its calls in flight at upstreams.
    pub fn open_calls(&self) -> u32 {
        let work = self.work.iter().flatten();
        work.map(|work| work.count.calls).sum()
    }

    /// Whether it has so many calls that other nodes select upstreams badly without its reports.
    pub fn sends_many(&self) -> bool {
        self.open_calls() >= MANY_CALLS
    }

    /// Whether it reported calls at upstreams.
    pub fn sends_calls(&self) -> bool {
        self.work.as_ref().is_some_and(|work| !work.is_empty())
    }

    /// Time since the store answered any node, as far as the sender knows; `None` if it never did.
    pub fn store_age(&self) -> Option<Duration> {
        self.store_age_ms.map(Duration::from_millis)
    }
}
