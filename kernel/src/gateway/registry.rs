//! Upstreams as the platform's registry tells them, by incarnation.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gateway::health::UpstreamHealth;
use crate::gateway::load::UpstreamLoad;

/// An upstream that this process has heard of; never used again for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamKey(u32);

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Names this run of the upstream; another run has another id.
    pub id: Box<str>,
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
    /// It said so.
    #[display("draining")]
    Draining,
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
}

/// Time that an entry, which lapsed while the registry was away, has to come back after the
/// registry's return. The platform promises about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// Time for which other nodes are told that an upstream leaves: two of the longest pauses between
/// words, so that a lost word does not matter.
const DEPARTURE_AGE: Duration = Duration::from_millis(1500);
/// Departures that are told at once, five bytes each. More are learnt with the whole registry.
const MOST_DEPARTURES: usize = 24;

/// Stands for an upstream's id in words between nodes: 32 bits, five bytes on the wire. Two of
/// 10,000 upstreams share one with a chance of one in a hundred, which costs a worse choice.
pub fn id_hash(id: &str) -> u64 {
    xxh3_64(id.as_bytes()) >> 32
}

/// Every upstream that this process has heard of.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRegistry {
    upstreams: BTreeMap<UpstreamKey, Upstream>,
    keys: BTreeMap<Box<str>, UpstreamKey>,
    hashes: BTreeMap<u64, UpstreamKey>,
    pools: BTreeMap<Box<str>, Vec<UpstreamKey>>,
    departures: VecDeque<(Duration, u64)>,
    next_key: u32,
}

impl UpstreamRegistry {
    /// Takes a change in. `trusted` says that the registry has been well for long enough that a
    /// missing entry means that its upstream leaves. Gives the upstream whose state changed.
    pub fn apply(
        &mut self,
        change: RegistryChange,
        trusted: bool,
        now: Duration,
    ) -> Option<UpstreamKey> {
        let changed = match change {
            RegistryChange::Put(entry) => self.put(entry),
            RegistryChange::Removed(id) => self.remove(&id, trusted, now),
        }?;
        self.note_departure(changed, now);
        Some(changed)
    }

    /// Takes another node's word that an upstream leaves. Gives the upstream if that is news.
    pub fn departed(&mut self, hash: u64, now: Duration) -> Option<UpstreamKey> {
        let key = self.by_hash(hash)?;
        let upstream = self.upstreams.get_mut(&key)?;
        if upstream.left.is_some() {
            return None;
        }
        upstream.left = Some(LeavingCause::Removed);
        self.note_departure(key, now);
        Some(key)
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
            Some(LeavingCause::Draining | LeavingCause::Removed)
        ) {
            self.departures
                .push_back((now, id_hash(&upstream.entry.id)));
            if self.departures.len() > MOST_DEPARTURES {
                self.departures.pop_front();
            }
        }
    }

    fn put(&mut self, entry: UpstreamEntry) -> Option<UpstreamKey> {
        let Some(key) = self.keys.get(&entry.id).copied() else {
            return Some(self.add(entry));
        };
        let upstream = self.upstreams.get_mut(&key)?;
        upstream.lapsed_at = None;
        if upstream.left == Some(LeavingCause::Lapsed) && !entry.leaving {
            upstream.left = None;
            upstream.entry = entry;
            return Some(key);
        }
        if entry.leaving && upstream.left.is_none() {
            upstream.left = Some(LeavingCause::Draining);
            upstream.entry = entry;
            return Some(key);
        }
        let changed = upstream.entry != entry;
        upstream.entry = entry;
        changed.then_some(key)
    }

    fn add(&mut self, entry: UpstreamEntry) -> UpstreamKey {
        let key = UpstreamKey(self.next_key);
        self.next_key += 1;
        for other in self.upstreams.values_mut() {
            if other.entry.address == entry.address && other.left.is_none() {
                other.left = Some(LeavingCause::Replaced);
            }
        }
        self.keys.insert(entry.id.clone(), key);
        self.hashes.insert(id_hash(&entry.id), key);
        self.pools.entry(entry.pool.clone()).or_default().push(key);
        let upstream = Upstream {
            left: entry.leaving.then_some(LeavingCause::Draining),
            entry,
            lapsed_at: None,
            load: UpstreamLoad::default(),
            health: UpstreamHealth::default(),
        };
        self.upstreams.insert(key, upstream);
        key
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
        upstream.left = Some(LeavingCause::Removed);
        Some(key)
    }

    /// Treats every upstream that is not among `ids` as removed.
    pub fn retain(&mut self, ids: &[Box<str>], trusted: bool, now: Duration) -> Vec<UpstreamKey> {
        let missing: Vec<Box<str>> = self
            .keys
            .keys()
            .filter(|id| !ids.contains(id))
            .cloned()
            .collect();
        missing
            .iter()
            .filter_map(|id| self.remove(id, trusted, now))
            .collect()
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
                upstream.lapsed_at = None;
                upstream.left = Some(LeavingCause::Lapsed);
                gone.push(*key);
            }
        }
        gone
    }

    /// Notes that another upstream answers at this one's address.
    pub fn replaced(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.left.get_or_insert(LeavingCause::Replaced);
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

    /// The upstream whose id has this hash.
    pub fn by_hash(&self, hash: u64) -> Option<UpstreamKey> {
        self.hashes.get(&hash).copied()
    }

    /// Stands for the ids of all upstreams and whether each has left; the same on nodes that know
    /// the same.
    pub fn digest(&self) -> u64 {
        let mark = |upstream: &Upstream| {
            let left = u64::from(upstream.left.is_some());
            xxh3_64_with_seed(upstream.entry.id.as_bytes(), left) >> 32
        };
        self.upstreams
            .values()
            .fold(0, |digest, upstream| digest ^ mark(upstream))
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams
            .iter()
            .map(|(key, upstream)| (*key, upstream))
    }
}
