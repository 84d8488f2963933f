//! The other nodes, as their own words tell them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{From, Into};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::load::WorkCount;

/// Tells a node from others in what is drawn by hashing.
pub fn node_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// What a node says of its work at an upstream. Three bare values, as names would double a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, From, Into, Serialize, Deserialize)]
#[serde(from = "(u64, WorkCount, u64)", into = "(u64, WorkCount, u64)")]
pub struct WorkWord {
    /// Hash of the upstream's run.
    pub run: u64,
    /// Calls that are there.
    pub count: WorkCount,
    /// Prompt tokens that its calls made the upstream's cache take in since the node started.
    pub taken_tokens: u64,
}

/// What a node says of itself, several times a second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeWord {
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
    /// Whether it takes new calls.
    pub ready: bool,
    /// Open calls that its host can carry.
    pub capacity: u32,
    /// Version of the configuration that it has in force; 0 is none.
    pub version: u64,
    /// Whether the store answers it.
    pub store_well: bool,
    /// Digest of the upstreams that it knows and of those that left.
    pub registry_digest: u64,
    /// Its work at upstreams.
    pub work: Vec<WorkWord>,
    /// Hashes of the runs of upstreams that it found failing or unreachable and passes over.
    pub failing: Vec<u64>,
    /// Hashes of the runs of upstreams that began to leave a moment ago.
    pub departures: Vec<u64>,
    /// Parts of prompts that it sent lately, with the hash of the upstream's run.
    pub parts: Vec<(u64, u64)>,
}

/// Time after which a silent node is no longer named to callers: four of the longest pauses
/// between two words of a node.
pub const SILENT_AFTER: Duration = Duration::from_secs(2);
/// Time after which a silent node no longer reads for others. A word comes every 0.2 to 0.8 s.
const READER_SILENT_AFTER: Duration = Duration::from_millis(1500);
/// Time after which a silent node is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);

impl NodeWord {
    /// Calls that it has at upstreams.
    pub fn open_calls(&self) -> u32 {
        self.work.iter().map(|work| work.count.calls).sum()
    }
}

/// Fewest nodes of an availability zone that are named to callers, so that the loss of one leaves
/// callers two others.
const FEWEST_ENTRIES: usize = 3;
/// Fewest if the next node is much weaker than those that are named: the loss of one leaves one.
const FEWEST_STRONG: usize = 2;
/// Capacity against the strongest node's below which a node is much weaker. Callers choose evenly, so
/// such a node is full while the others are idle.
const WEAK_PART: f64 = 0.5;
/// Part of their capacity that entries are filled to before more are named.
const ENTRY_PART: f64 = 0.8;

/// The nodes among `words` that callers of an availability zone are sent to: as few as can carry the
/// zone's calls when each gets the same share, since few entries know each other's work well; the
/// strongest first.
pub fn entries<'a>(words: impl Iterator<Item = &'a NodeWord>, zone: &str) -> Vec<&'a NodeWord> {
    let mut nodes: Vec<&NodeWord> = words
        .filter(|word| word.ready && &*word.zone == zone)
        .collect();
    nodes.sort_by(|one, other| (other.capacity, &one.name).cmp(&(one.capacity, &other.name)));
    let calls: u32 = nodes.iter().map(|word| word.open_calls()).sum();
    let room = |count: usize| {
        let weakest = nodes.get(count.wrapping_sub(1));
        weakest.map_or(0.0, |word| {
            ENTRY_PART * f64::from(word.capacity) * count as f64
        })
    };
    let fewest = fewest_entries(&nodes);
    let count = (fewest..=nodes.len())
        .find(|count| room(*count) >= f64::from(calls))
        .or_else(|| (fewest..=nodes.len()).max_by(|one, other| room(*one).total_cmp(&room(*other))))
        .unwrap_or(nodes.len());
    nodes.truncate(count);
    nodes
}

/// Fewest of `nodes`, which stand in order of their capacity, that are named.
fn fewest_entries(nodes: &[&NodeWord]) -> usize {
    let strongest = nodes.first().map_or(0, |word| word.capacity);
    let strong = |word: &&&NodeWord| f64::from(word.capacity) >= WEAK_PART * f64::from(strongest);
    let strong_count = nodes.iter().filter(strong).count();
    strong_count.clamp(FEWEST_STRONG, FEWEST_ENTRIES)
}

/// Another node.
#[derive(Clone, Debug)]
pub struct FleetPeer {
    /// Its newest word.
    pub word: NodeWord,
    /// When that came.
    pub heard_at: Duration,
}

/// All other nodes that were heard.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    peers: BTreeMap<Box<str>, FleetPeer>,
}

impl FleetView {
    /// Takes a word in. Gives whether the node is new or started again.
    pub fn heard(&mut self, word: NodeWord, now: Duration) -> bool {
        let known = self.peers.get(&word.name).map(|peer| peer.word.incarnation);
        if known.is_some_and(|incarnation| incarnation > word.incarnation) {
            return false;
        }
        let fresh = known != Some(word.incarnation);
        self.peers.insert(
            word.name.clone(),
            FleetPeer {
                word,
                heard_at: now,
            },
        );
        fresh
    }

    /// Forgets nodes that have long been silent.
    pub fn forget(&mut self, now: Duration) {
        self.peers
            .retain(|_, peer| peer.heard_at + FORGOTTEN_AFTER > now);
    }

    /// Whether this node reads the store for its availability zone: the first by name that is there
    /// and that the store answers. All others learn from it.
    pub fn is_reader(&self, name: &str, zone: &str, now: Duration) -> bool {
        let before_me = |peer: &&FleetPeer| {
            let fresh = peer.heard_at + READER_SILENT_AFTER > now;
            fresh && peer.word.store_well && &*peer.word.zone == zone && &*peer.word.name < name
        };
        !self.peers.values().any(|peer| before_me(&peer))
    }

    /// Nodes that are there.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &FleetPeer> {
        self.peers
            .values()
            .filter(move |peer| peer.heard_at + SILENT_AFTER > now)
    }

    /// The nodes that send calls, as numbers that tell them apart. One that has gone silent is among
    /// them until it is forgotten: it may be cut off from here and send all the same.
    pub fn rivals(&self) -> Vec<u64> {
        let busy = |peer: &&FleetPeer| !peer.word.work.is_empty();
        let peers = self.peers.values().filter(busy);
        peers.map(|peer| node_hash(&peer.word.name)).collect()
    }

    /// How many of them are silent.
    pub fn silent_rivals(&self, now: Duration) -> u32 {
        let silent = |peer: &&FleetPeer| peer.heard_at + SILENT_AFTER <= now;
        let busy = self
            .peers
            .values()
            .filter(|peer| !peer.word.work.is_empty());
        busy.filter(silent).count() as u32
    }

    /// Every node that is known, live or not.
    pub fn iter(&self) -> impl Iterator<Item = &FleetPeer> {
        self.peers.values()
    }
}
