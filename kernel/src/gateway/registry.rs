//! Upstreams of the platform's registry, by run.

use std::cell::Cell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gateway::health::UpstreamHealth;
use crate::gateway::load::UpstreamLoad;
use crate::gateway::pause::UpstreamPause;
use crate::gateway::throttle::UpstreamThrottle;

/// Identifies one run of an upstream within this process; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamKey(u32);

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
    /// Maximum number of calls that it processes at a time.
    pub slots: u32,
    /// Whether it accepts no new calls.
    pub leaving: bool,
    /// Whether the platform may reclaim it at any time.
    #[serde(default)]
    pub spot: bool,
}

impl UpstreamEntry {
    /// Hash that identifies this run of the upstream in heartbeats between nodes: 32 bits, five
    /// bytes on the wire. Two of 10,000 upstreams collide with a probability of one in a hundred,
    /// which only makes the selection of an upstream worse.
    pub fn run_hash(&self) -> u64 {
        xxh3_64_with_seed(self.id.as_bytes(), self.born.unwrap_or(0)) >> 32
    }
}

/// A change of the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryChange {
    /// An entry was added or updated.
    Put(UpstreamEntry),
    /// The entry with this id was removed.
    Removed(Box<str>),
}

/// Reason why an upstream accepts no new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum LeavingCause {
    /// Its registry entry is marked as leaving.
    #[display("draining")]
    Draining,
    /// One of its answers announced it.
    #[display("announced")]
    Announced,
    /// Its entry was removed.
    #[display("removed")]
    Removed,
    /// Its entry expired during an outage of the registry and did not return.
    #[display("lapsed")]
    Lapsed,
    /// Another upstream answers at its address.
    #[display("replaced")]
    Replaced,
}

/// An upstream and this node's state for it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its newest registry entry.
    pub entry: UpstreamEntry,
    /// Reason why it accepts no new calls; `None` if it accepts them. Never cleared for a run,
    /// except for `Lapsed`.
    pub left: Option<LeavingCause>,
    /// Time since when its entry has been missing while the registry was not trusted; `None` if it
    /// is not.
    pub lapsed_at: Option<Duration>,
    /// Work in flight at it.
    pub load: UpstreamLoad,
    /// Health, derived from its answers.
    pub health: UpstreamHealth,
    /// Request limit that it advertised.
    pub throttle: UpstreamThrottle,
    /// Pause that it requested of this node.
    pub pause: UpstreamPause,
}

/// Time after the registry's recovery within which an entry that expired during the outage may
/// return. The platform guarantees about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Time for which a departure is sent to other nodes: two of the longest intervals between
/// heartbeats, so that one heartbeat may be lost.
const DEPARTURE_TTL: Duration = Duration::from_millis(1500);
/// Maximum number of departures in one heartbeat, five bytes each. Others are learned from the
/// whole registry.
const MAX_DEPARTURES: usize = 24;

/// Number of buckets of ids that nodes compare: each contains some 80 of 10,000 upstreams, about 8
/// kB on the wire.
const DIGEST_BUCKETS: usize = 128;

/// Every upstream that this process has learned of. `keys` and `hashes` map to the newest run of
/// each id, `places` to the newest run of a pool at an address; calls at an older run still end
/// there.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRegistry {
    upstreams: BTreeMap<UpstreamKey, Upstream>,
    keys: BTreeMap<Box<str>, UpstreamKey>,
    hashes: BTreeMap<u64, UpstreamKey>,
    places: BTreeMap<(SocketAddr, Box<str>), UpstreamKey>,
    /// Cached digest; cleared whenever a run is added or leaves.
    digest: Cell<Option<u64>>,
    pools: BTreeMap<Box<str>, Vec<UpstreamKey>>,
    departures: VecDeque<(Duration, u64)>,
    next_key: u32,
}

impl Upstream {
    /// Hash of its run and of whether it left.
    fn state_hash(&self) -> u32 {
        let left = [u8::from(self.left.is_some())];
        (xxh3_64_with_seed(&left, self.entry.run_hash()) >> 32) as u32
    }

    /// Bucket of its id.
    fn bucket(&self) -> usize {
        xxh3_64(self.entry.id.as_bytes()) as usize % DIGEST_BUCKETS
    }

    /// Records that it accepts no new calls. Returns whether that is a change. A lapsed entry may
    /// return, so any other cause replaces that one.
    fn leave(&mut self, cause: LeavingCause) -> bool {
        if self.left.is_some_and(|left| left != LeavingCause::Lapsed) {
            return false;
        }
        let is_change = self.left != Some(cause);
        self.left = Some(cause);
        self.lapsed_at = None;
        is_change
    }
}

impl UpstreamRegistry {
    /// Applies a change. `trusted` means that the registry has been available for long enough that
    /// a missing entry means that its upstream left. Returns the upstreams whose state changed.
    pub fn apply(
        &mut self,
        change: RegistryChange,
        trusted: bool,
        now: Duration,
    ) -> Vec<UpstreamKey> {
        let changed = match change {
            RegistryChange::Put(entry) => self.put(entry),
            RegistryChange::Removed(id) => self.remove(&id, trusted, now).into_iter().collect(),
        };
        for key in &changed {
            self.record_departure(*key, now);
        }
        if !changed.is_empty() {
            self.digest.set(None);
        }
        changed
    }

    /// Applies another node's report that the run with this hash leaves. Returns the upstream if
    /// that is a change.
    pub fn receive_departure(&mut self, hash: u64, now: Duration) -> Option<UpstreamKey> {
        let key = self.by_hash(hash)?;
        let upstream = self.upstreams.get_mut(&key)?;
        if !upstream.leave(LeavingCause::Removed) {
            return None;
        }
        self.digest.set(None);
        self.record_departure(key, now);
        Some(key)
    }

    /// Records that an upstream announced in an answer that it leaves. Returns whether that is new.
    pub fn record_announcement(&mut self, key: UpstreamKey, now: Duration) -> bool {
        let upstream = self.upstreams.get_mut(&key);
        let is_change = upstream.is_some_and(|upstream| upstream.leave(LeavingCause::Announced));
        if is_change {
            self.digest.set(None);
            self.record_departure(key, now);
        }
        is_change
    }

    /// Hashes of runs of upstreams that recently began to leave, the newest first.
    pub fn departures(&self, now: Duration) -> Vec<u64> {
        let fresh = |(at, _): &&(Duration, u64)| *at + DEPARTURE_TTL > now;
        let newest = self.departures.iter().rev().take_while(fresh);
        newest.map(|(_, hash)| *hash).take(MAX_DEPARTURES).collect()
    }

    fn record_departure(&mut self, key: UpstreamKey, now: Duration) {
        let Some(upstream) = self.upstreams.get(&key) else {
            return;
        };
        // A lapsed entry may return.
        if matches!(
            upstream.left,
            Some(LeavingCause::Draining | LeavingCause::Announced | LeavingCause::Removed)
        ) {
            self.departures.push_back((now, upstream.entry.run_hash()));
            if self.departures.len() > MAX_DEPARTURES {
                self.departures.pop_front();
            }
        }
    }

    fn put(&mut self, entry: UpstreamEntry) -> Vec<UpstreamKey> {
        let known = self.keys.get(&entry.id).copied();
        let Some((key, upstream)) =
            known.and_then(|key| Some((key, self.upstreams.get_mut(&key)?)))
        else {
            return self.add(entry);
        };
        match entry.born.cmp(&upstream.entry.born) {
            // A late heartbeat of an older run, or an entry of another writer.
            Ordering::Less => return Vec::new(),
            Ordering::Greater => return self.add(entry),
            Ordering::Equal => {}
        }
        // The pool and address of a run never change: an entry with others was not published by the
        // upstream itself.
        if (&entry.pool, entry.address) != (&upstream.entry.pool, upstream.entry.address) {
            return Vec::new();
        }
        upstream.lapsed_at = None;
        if upstream.left == Some(LeavingCause::Lapsed) && !entry.leaving {
            upstream.left = None;
            upstream.entry = entry;
            return vec![key];
        }
        let leaves = entry.leaving && upstream.leave(LeavingCause::Draining);
        let changed = leaves || upstream.entry != entry;
        upstream.entry = entry;
        if changed { vec![key] } else { Vec::new() }
    }

    /// Adds a run, without any load or cache of earlier ones. Returns it and the runs that it
    /// replaces: of the same id, and of the same pool at the same address. Another pool's entry for
    /// the address replaces nothing: it may be false, and an upstream rejects a call that is meant
    /// for another one.
    fn add(&mut self, entry: UpstreamEntry) -> Vec<UpstreamKey> {
        let key = UpstreamKey(self.next_key);
        self.next_key += 1;
        let mut changed = vec![key];
        // Older runs of the same id or place have already left.
        let place = (entry.address, entry.pool.clone());
        let older_run = self.keys.insert(entry.id.clone(), key);
        let older_there = self.places.insert(place, key);
        for older_key in older_run.into_iter().chain(older_there) {
            let older = self.upstreams.get_mut(&older_key);
            if older.is_some_and(|older| older.leave(LeavingCause::Replaced)) {
                changed.push(older_key);
            }
        }
        if let Some(older) = older_run.and_then(|older| self.upstreams.get(&older)) {
            self.hashes.remove(&older.entry.run_hash());
        }
        self.hashes.insert(entry.run_hash(), key);
        self.pools.entry(entry.pool.clone()).or_default().push(key);
        let upstream = Upstream {
            left: entry.leaving.then_some(LeavingCause::Draining),
            entry,
            lapsed_at: None,
            load: UpstreamLoad::default(),
            health: UpstreamHealth::default(),
            throttle: UpstreamThrottle::default(),
            pause: UpstreamPause::default(),
        };
        self.upstreams.insert(key, upstream);
        changed
    }

    fn remove(&mut self, id: &str, trusted: bool, now: Duration) -> Option<UpstreamKey> {
        let key = *self.keys.get(id)?;
        let upstream = self.upstreams.get_mut(&key)?;
        if upstream.left.is_some() {
            return None;
        }
        if !trusted {
            upstream.lapsed_at.get_or_insert(now);
            return Some(key);
        }
        upstream.leave(LeavingCause::Removed);
        Some(key)
    }

    /// Treats every upstream whose id is not in `ids` as removed. `trusted` is as in `apply`.
    /// Returns the upstreams whose state changed.
    pub fn retain(&mut self, ids: &[Box<str>], trusted: bool, now: Duration) -> Vec<UpstreamKey> {
        let ids: BTreeSet<&str> = ids.iter().map(|id| &**id).collect();
        let missing: Vec<Box<str>> = self
            .keys
            .keys()
            .filter(|id| !ids.contains(&***id))
            .cloned()
            .collect();
        let changed: Vec<UpstreamKey> = missing
            .iter()
            .filter_map(|id| self.remove(id, trusted, now))
            .collect();
        if !changed.is_empty() {
            self.digest.set(None);
        }
        changed
    }

    /// Marks upstreams as left whose entries expired and did not return in time after
    /// `returned_at`, when the registry recovered. Returns them.
    pub fn expire_lapsed(&mut self, returned_at: Duration, now: Duration) -> Vec<UpstreamKey> {
        let mut lapsed = Vec::new();
        for (key, upstream) in &mut self.upstreams {
            let Some(lapsed_at) = upstream.lapsed_at else {
                continue;
            };
            if now >= returned_at.max(lapsed_at) + RETURN_GRACE {
                upstream.leave(LeavingCause::Lapsed);
                lapsed.push(*key);
            }
        }
        if !lapsed.is_empty() {
            self.digest.set(None);
        }
        lapsed
    }

    /// Records that another upstream answers at this one's address.
    pub fn record_replacement(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.leave(LeavingCause::Replaced);
            self.digest.set(None);
        }
    }

    /// Upstreams of a pool that accept new calls.
    pub fn usable(&self, pool: &str) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let keys = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .filter_map(|key| self.upstreams.get(key).map(|upstream| (*key, upstream)))
            .filter(|(_, upstream)| upstream.left.is_none())
    }

    /// State of an upstream; `None` if the key is unknown.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(&key)
    }

    /// Mutable state of an upstream; `None` if the key is unknown.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(&key)
    }

    /// Newest run of the upstream with this id; `None` if the id is unknown.
    pub fn key(&self, id: &str) -> Option<UpstreamKey> {
        self.keys.get(id).copied()
    }

    /// Upstream whose newest run has this hash; `None` if there is none.
    pub fn by_hash(&self, hash: u64) -> Option<UpstreamKey> {
        self.hashes.get(&hash).copied()
    }

    /// Digest of the newest run of each upstream and of whether it has left; equal on nodes with
    /// the same information.
    pub fn digest(&self) -> u64 {
        if let Some(digest) = self.digest.get() {
            return digest;
        }
        let digest = self.compute_digest();
        self.digest.set(Some(digest));
        digest
    }

    fn compute_digest(&self) -> u64 {
        self.newest().fold(0, |digest, upstream| {
            digest ^ u64::from(upstream.state_hash())
        })
    }

    /// Digest of each bucket of ids, so that two nodes can find the buckets in which they differ.
    pub fn bucket_digests(&self) -> Vec<u32> {
        let mut digests = vec![0; DIGEST_BUCKETS];
        for upstream in self.newest() {
            digests[upstream.bucket()] ^= upstream.state_hash();
        }
        digests
    }

    /// Newest run of each upstream in the buckets whose digests differ from those in `known`; all
    /// of them if `known` has another number of buckets.
    pub fn differing(&self, known: &[u32]) -> impl Iterator<Item = &Upstream> {
        let own = self.bucket_digests();
        let differs = |bucket: usize| known.get(bucket) != Some(&own[bucket]);
        let differs: Vec<bool> = (0..DIGEST_BUCKETS).map(differs).collect();
        let comparable = known.len() == DIGEST_BUCKETS;
        self.newest()
            .filter(move |upstream| !comparable || differs[upstream.bucket()])
    }

    /// Newest run of each upstream.
    pub fn newest(&self) -> impl Iterator<Item = &Upstream> {
        self.keys.values().filter_map(|key| self.upstreams.get(key))
    }

    /// All upstreams, including older runs.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams
            .iter()
            .map(|(key, upstream)| (*key, upstream))
    }
}
