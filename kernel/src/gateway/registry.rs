//! Upstreams as the platform's registry tells them, by incarnation.

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

/// An upstream that this process has heard of; never used again for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamKey(u32);

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Names the upstream. Another run of it may have another id or the same.
    pub id: Box<str>,
    /// When this run began, in Unix ms; none if the platform does not tell.
    pub born: Option<u64>,
    /// The pool it serves.
    pub pool: Box<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The availability zone that it stands in.
    pub zone: Box<str>,
    /// Calls that it works on at a time.
    pub slots: u32,
    /// Whether it takes nothing new.
    pub leaving: bool,
    /// Whether the platform may reclaim it at any time.
    #[serde(default)]
    pub spot: bool,
}

impl UpstreamEntry {
    /// Stands for this run of the upstream in heartbeats between nodes: 32 bits, five bytes on the wire.
    /// Two of 10,000 upstreams share one with a chance of one in a hundred, which costs a worse
    /// choice.
    pub fn run_hash(&self) -> u64 {
        xxh3_64_with_seed(self.id.as_bytes(), self.born.unwrap_or(0)) >> 32
    }
}

/// A change of the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryChange {
    /// The upstream's newest entry.
    Put(UpstreamEntry),
    /// The entry of this id is gone.
    Removed(Box<str>),
}

/// Why an upstream takes nothing new.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum LeavingCause {
    /// Its entry says so.
    #[display("draining")]
    Draining,
    /// An answer of it says so.
    #[display("announced")]
    Announced,
    /// Its entry is gone.
    #[display("removed")]
    Removed,
    /// Its entry lapsed while the registry was away and did not come back.
    #[display("lapsed")]
    Lapsed,
    /// Another upstream answers at its address.
    #[display("replaced")]
    Replaced,
}

/// An upstream and all that this node believes of it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What it said last.
    pub entry: UpstreamEntry,
    /// Why it takes nothing new, if so; sticks for its id.
    pub left: Option<LeavingCause>,
    /// Since when its entry has been missing without trust in that.
    pub lapsed_at: Option<Duration>,
    /// Work that is at it.
    pub load: UpstreamLoad,
    /// What its answers say of its health.
    pub health: UpstreamHealth,
    /// The limit that it named.
    pub throttle: UpstreamThrottle,
    /// The pause that it asked this node for.
    pub pause: UpstreamPause,
}

/// Time that an entry, which lapsed while the registry was away, has to come back after the
/// registry's return. The platform promises about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Time for which other nodes are told that an upstream leaves: two of the longest pauses between
/// heartbeats, so that a lost heartbeat does not matter.
const DEPARTURE_AGE: Duration = Duration::from_millis(1500);
/// Departures that are told at once, five bytes each. More are learnt with the whole registry.
const MOST_DEPARTURES: usize = 24;

/// Buckets of ids that nodes compare: of 10,000 upstreams some 80 are in each, about 8 kB on the wire.
const DIGEST_BUCKETS: usize = 128;

/// Every upstream that this process has heard of. `keys` and `hashes` lead to the newest run of each
/// id, `places` to the newest of a pool at an address; calls at an older one still end there.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRegistry {
    upstreams: BTreeMap<UpstreamKey, Upstream>,
    keys: BTreeMap<Box<str>, UpstreamKey>,
    hashes: BTreeMap<u64, UpstreamKey>,
    places: BTreeMap<(SocketAddr, Box<str>), UpstreamKey>,
    /// The digest, until a run comes or leaves.
    digest: Cell<Option<u64>>,
    pools: BTreeMap<Box<str>, Vec<UpstreamKey>>,
    departures: VecDeque<(Duration, u64)>,
    next_key: u32,
}

impl Upstream {
    /// Stands for its run and whether that has left.
    fn mark(&self) -> u32 {
        let left = [u8::from(self.left.is_some())];
        (xxh3_64_with_seed(&left, self.entry.run_hash()) >> 32) as u32
    }

    /// The bucket that its id falls in.
    fn bucket(&self) -> usize {
        xxh3_64(self.entry.id.as_bytes()) as usize % DIGEST_BUCKETS
    }

    /// Notes that it takes nothing new. Gives whether that is news: a lapsed entry may come back, so any
    /// other cause takes the place of that one.
    fn leave(&mut self, cause: LeavingCause) -> bool {
        if self.left.is_some_and(|left| left != LeavingCause::Lapsed) {
            return false;
        }
        let is_news = self.left != Some(cause);
        self.left = Some(cause);
        self.lapsed_at = None;
        is_news
    }
}

impl UpstreamRegistry {
    /// Takes a change in. `trusted` says that the registry has been well for long enough that a
    /// missing entry means that its upstream leaves. Gives the upstreams whose state changed.
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
            self.note_departure(*key, now);
        }
        if !changed.is_empty() {
            self.digest.set(None);
        }
        changed
    }

    /// Takes in another node's report that an upstream leaves. Gives the upstream if that is news.
    pub fn departed(&mut self, hash: u64, now: Duration) -> Option<UpstreamKey> {
        let key = self.by_hash(hash)?;
        let upstream = self.upstreams.get_mut(&key)?;
        if !upstream.leave(LeavingCause::Removed) {
            return None;
        }
        self.digest.set(None);
        self.note_departure(key, now);
        Some(key)
    }

    /// Takes in that an answer of an upstream says that it leaves. Gives whether that is news.
    pub fn announced(&mut self, key: UpstreamKey, now: Duration) -> bool {
        let upstream = self.upstreams.get_mut(&key);
        let is_news = upstream.is_some_and(|upstream| upstream.leave(LeavingCause::Announced));
        if is_news {
            self.digest.set(None);
            self.note_departure(key, now);
        }
        is_news
    }

    /// Hashes of the ids of upstreams that began to leave a moment ago, the newest first.
    pub fn departures(&self, now: Duration) -> Vec<u64> {
        let fresh = |(at, _): &&(Duration, u64)| *at + DEPARTURE_AGE > now;
        let newest = self.departures.iter().rev().take_while(fresh);
        newest
            .map(|(_, hash)| *hash)
            .take(MOST_DEPARTURES)
            .collect()
    }

    fn note_departure(&mut self, key: UpstreamKey, now: Duration) {
        let Some(upstream) = self.upstreams.get(&key) else {
            return;
        };
        // An entry that only lapsed may come back.
        if matches!(
            upstream.left,
            Some(LeavingCause::Draining | LeavingCause::Announced | LeavingCause::Removed)
        ) {
            self.departures.push_back((now, upstream.entry.run_hash()));
            if self.departures.len() > MOST_DEPARTURES {
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
            // A late heartbeat of an older run, or another writer's.
            Ordering::Less => return Vec::new(),
            Ordering::Greater => return self.add(entry),
            Ordering::Equal => {}
        }
        // A run stays where it began: what says otherwise is not the upstream's own entry.
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

    /// Adds a run, which knows nothing of calls or prompts before it. Gives it and the runs that it
    /// takes the place of: of its own id, and of its pool at its address. What another pool says of
    /// the address proves nothing: an entry may be false, and a call for another upstream than the
    /// one that has the address is refused there.
    fn add(&mut self, entry: UpstreamEntry) -> Vec<UpstreamKey> {
        let key = UpstreamKey(self.next_key);
        self.next_key += 1;
        let mut changed = vec![key];
        // Those before the newest of the same id or place have left already.
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

    /// Treats every upstream that is not among `ids` as removed.
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

    /// Gives up upstreams that lapsed and did not come back in time after `returned_at`, when the
    /// registry was back.
    pub fn settle(&mut self, returned_at: Duration, now: Duration) -> Vec<UpstreamKey> {
        let mut gone = Vec::new();
        for (key, upstream) in &mut self.upstreams {
            let Some(lapsed_at) = upstream.lapsed_at else {
                continue;
            };
            if now >= returned_at.max(lapsed_at) + RETURN_GRACE {
                upstream.leave(LeavingCause::Lapsed);
                gone.push(*key);
            }
        }
        if !gone.is_empty() {
            self.digest.set(None);
        }
        gone
    }

    /// Notes that another upstream answers at this one's address.
    pub fn replaced(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.leave(LeavingCause::Replaced);
            self.digest.set(None);
        }
    }

    /// Upstreams of a pool that take new work.
    pub fn usable(&self, pool: &str) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let keys = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .filter_map(|key| self.upstreams.get(key).map(|upstream| (*key, upstream)))
            .filter(|(_, upstream)| upstream.left.is_none())
    }

    /// An upstream.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(&key)
    }

    /// An upstream, to be changed.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        self.upstreams.get_mut(&key)
    }

    /// The upstream of this id.
    pub fn key(&self, id: &str) -> Option<UpstreamKey> {
        self.keys.get(id).copied()
    }

    /// The upstream whose newest run has this hash.
    pub fn by_hash(&self, hash: u64) -> Option<UpstreamKey> {
        self.hashes.get(&hash).copied()
    }

    /// Stands for the newest run of each upstream and whether it has left; the same on nodes that
    /// know the same.
    pub fn digest(&self) -> u64 {
        if let Some(digest) = self.digest.get() {
            return digest;
        }
        let digest = self.count_digest();
        self.digest.set(Some(digest));
        digest
    }

    fn count_digest(&self) -> u64 {
        self.newest()
            .fold(0, |digest, upstream| digest ^ u64::from(upstream.mark()))
    }

    /// The same for each bucket of ids, so that two nodes find out what they know differently.
    pub fn bucket_digests(&self) -> Vec<u32> {
        let mut digests = vec![0; DIGEST_BUCKETS];
        for upstream in self.newest() {
            digests[upstream.bucket()] ^= upstream.mark();
        }
        digests
    }

    /// The newest run of each upstream in the buckets that a node with these digests knows differently; of
    /// all if they are not as many as this one's.
    pub fn differing(&self, known: &[u32]) -> impl Iterator<Item = &Upstream> {
        let own = self.bucket_digests();
        let differs = |bucket: usize| known.get(bucket) != Some(&own[bucket]);
        let differs: Vec<bool> = (0..DIGEST_BUCKETS).map(differs).collect();
        let comparable = known.len() == DIGEST_BUCKETS;
        self.newest()
            .filter(move |upstream| !comparable || differs[upstream.bucket()])
    }

    /// The newest run of each upstream.
    pub fn newest(&self) -> impl Iterator<Item = &Upstream> {
        self.keys.values().filter_map(|key| self.upstreams.get(key))
    }

    /// All upstreams, with older runs.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams
            .iter()
            .map(|(key, upstream)| (*key, upstream))
    }
}
