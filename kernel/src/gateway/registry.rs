//! Upstreams of the platform's registry, by run.

mod digest;
mod order;
mod preferred;

use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gateway::health::UpstreamHealth;
use crate::gateway::load::UpstreamLoad;
use crate::gateway::pause::UpstreamPause;
use crate::gateway::registry::digest::{BucketDigests, DIGEST_BUCKETS};
use crate::gateway::registry::order::UpstreamOrder;
pub use crate::gateway::registry::preferred::PreferredPart;
use crate::gateway::registry::preferred::PreferredSet;
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

/// Number of upstreams of a pool that are considered for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CandidateWindow {
    /// Number of upstreams of the node's own availability zone.
    pub near: usize,
    /// Number of upstreams of each other zone.
    pub far: usize,
}

/// Every upstream that this process has learned of. `keys` and `hashes` map to the newest run of
/// each id, `places` to the newest run of a pool at an address; calls at an older run still end
/// there.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRegistry {
    upstreams: BTreeMap<UpstreamKey, Upstream>,
    keys: BTreeMap<Box<str>, UpstreamKey>,
    hashes: BTreeMap<u64, UpstreamKey>,
    places: BTreeMap<(SocketAddr, Box<str>), UpstreamKey>,
    /// Digests of the newest run of each id and of whether it left.
    digests: BucketDigests,
    order: UpstreamOrder,
    /// Digests of the upstreams that accept new calls.
    usable_digests: BucketDigests,
    /// Preferred upstreams; `None` after a change until they are asked for.
    preferred: RefCell<Option<Rc<PreferredSet>>>,
    /// Upstreams that were used recently, or that another node reported on: all others have no
    /// state beside their entry.
    active: BTreeSet<UpstreamKey>,
    /// Upstreams whose entries expired during an outage of the registry, or did so earlier.
    lapsed: BTreeSet<UpstreamKey>,
    departures: VecDeque<(Duration, u64)>,
    next_key: u32,
}

impl Upstream {
    /// Hash of its run and of whether it left.
    fn state_hash(&self) -> u32 {
        let left = [u8::from(self.left.is_some())];
        (xxh3_64_with_seed(&left, self.entry.run_hash()) >> 32) as u32
    }

    /// Hash of its run, for digests of upstreams that accept new calls.
    fn usable_hash(&self) -> u32 {
        self.entry.run_hash() as u32
    }

    /// Bucket of its id.
    fn bucket(&self) -> usize {
        xxh3_64(self.entry.id.as_bytes()) as usize % DIGEST_BUCKETS
    }

    /// Whether this node or others use it, or know more of it than its entry.
    fn is_active(&self, now: Duration) -> bool {
        self.load.is_used(now)
            || self.health.reports_failing(now)
            || self.throttle.is_known()
            || self.pause.left(now).is_some()
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
        changed
    }

    /// Applies another node's report that the run with this hash leaves. Returns the upstream if
    /// that is a change.
    pub fn receive_departure(&mut self, hash: u64, now: Duration) -> Option<UpstreamKey> {
        let key = self.by_hash(hash)?;
        if !self.leave(key, LeavingCause::Removed) {
            return None;
        }
        self.record_departure(key, now);
        Some(key)
    }

    /// Records that an upstream announced in an answer that it leaves. Returns whether that is new.
    pub fn record_announcement(&mut self, key: UpstreamKey, now: Duration) -> bool {
        let is_change = self.leave(key, LeavingCause::Announced);
        if is_change {
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
        let changed = self.update(key, |upstream| {
            upstream.lapsed_at = None;
            let returns = upstream.left == Some(LeavingCause::Lapsed) && !entry.leaving;
            if returns {
                upstream.left = None;
            }
            let leaves = entry.leaving && upstream.leave(LeavingCause::Draining);
            let differs = upstream.entry != entry;
            upstream.entry = entry;
            returns || leaves || differs
        });
        if changed == Some(true) {
            vec![key]
        } else {
            Vec::new()
        }
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
        let older_run = self.keys.get(&entry.id).copied();
        if let Some(older) = older_run.and_then(|older| self.upstreams.get(&older)) {
            self.hashes.remove(&older.entry.run_hash());
            self.digests.toggle(older.bucket(), older.state_hash());
        }
        self.keys.insert(entry.id.clone(), key);
        let older_there = self.places.insert(place, key);
        for older_key in older_run.into_iter().chain(older_there) {
            if self.leave(older_key, LeavingCause::Replaced) {
                changed.push(older_key);
            }
        }
        self.hashes.insert(entry.run_hash(), key);
        let upstream = Upstream {
            left: entry.leaving.then_some(LeavingCause::Draining),
            entry,
            lapsed_at: None,
            load: UpstreamLoad::default(),
            health: UpstreamHealth::default(),
            throttle: UpstreamThrottle::default(),
            pause: UpstreamPause::default(),
        };
        self.digests
            .toggle(upstream.bucket(), upstream.state_hash());
        let is_usable = upstream.left.is_none();
        self.upstreams.insert(key, upstream);
        if is_usable {
            self.set_usable(key, true);
        }
        changed
    }

    /// Adds an upstream to those that accept new calls, or removes it from them.
    fn set_usable(&mut self, key: UpstreamKey, usable: bool) {
        let Some(upstream) = self.upstreams.get(&key) else {
            return;
        };
        if usable {
            self.order.insert(&upstream.entry, key);
        } else {
            self.order.remove(&upstream.entry, key);
        }
        self.usable_digests
            .toggle(upstream.bucket(), upstream.usable_hash());
        self.preferred.replace(None);
    }

    /// Removes an upstream and all that is known of it.
    fn forget(&mut self, key: UpstreamKey) {
        let upstream = self.upstreams.get(&key);
        if upstream.is_some_and(|upstream| upstream.left.is_none()) {
            self.set_usable(key, false);
        }
        let Some(upstream) = self.upstreams.remove(&key) else {
            return;
        };
        let entry = &upstream.entry;
        if self.keys.get(&entry.id) == Some(&key) {
            self.keys.remove(&entry.id);
            self.hashes.remove(&entry.run_hash());
            self.digests
                .toggle(upstream.bucket(), upstream.state_hash());
        }
        let place = (entry.address, entry.pool.clone());
        if self.places.get(&place) == Some(&key) {
            self.places.remove(&place);
        }
        self.active.remove(&key);
        self.lapsed.remove(&key);
    }

    /// Replaces the upstreams of some buckets by those that a node which knows all of them prefers.
    /// Returns the upstreams whose state changed.
    pub fn replace_preferred(&mut self, part: PreferredPart, now: Duration) -> Vec<UpstreamKey> {
        let listed: BTreeSet<&str> = part.entries.iter().map(|entry| &*entry.id).collect();
        let is_other = |upstream: &Upstream| {
            let is_listed = listed.contains(&*upstream.entry.id);
            upstream.left.is_none() && !is_listed && part.buckets.contains(&upstream.bucket())
        };
        let others = self.upstreams.iter();
        let others = others.filter(|(_, upstream)| is_other(upstream));
        let others: Vec<UpstreamKey> = others.map(|(key, _)| *key).collect();
        for key in others {
            self.forget(key);
        }
        let entries = part.entries.into_iter();
        entries
            .flat_map(|entry| self.apply(RegistryChange::Put(entry), true, now))
            .collect()
    }

    /// Removes all upstreams but the preferred ones.
    pub fn forget_others(&mut self) {
        let preferred = self.preferred().keys.clone();
        let keys: Vec<UpstreamKey> = self.upstreams.keys().copied().collect();
        for key in keys.into_iter().filter(|key| !preferred.contains(key)) {
            self.forget(key);
        }
    }

    fn preferred(&self) -> Rc<PreferredSet> {
        let mut cached = self.preferred.borrow_mut();
        let select = || PreferredSet::select(&self.order, |key| self.upstreams.get(&key));
        cached.get_or_insert_with(|| Rc::new(select())).clone()
    }

    /// Digest of the preferred upstreams; `None` if all upstreams are preferred.
    pub fn preferred_digest(&self) -> Option<u64> {
        let preferred = self.preferred();
        (preferred.keys.len() < self.order.total()).then(|| preferred.digests.total())
    }

    /// Preferred upstreams in the buckets whose digests differ from those in `known`.
    pub fn preferred_part(&self, known: &[u32]) -> PreferredPart {
        let preferred = self.preferred();
        let buckets = preferred.differing_buckets(known);
        let upstreams = preferred.keys.iter();
        let upstreams = upstreams.filter_map(|key| self.upstreams.get(key));
        let entries = upstreams.filter(|upstream| buckets.contains(&upstream.bucket()));
        PreferredPart {
            entries: entries.map(|upstream| upstream.entry.clone()).collect(),
            buckets,
        }
    }

    /// Digests of the upstreams that accept new calls, by bucket of ids.
    pub fn usable_digests(&self) -> &[u32] {
        self.usable_digests.buckets()
    }

    /// Digest of the upstreams that accept new calls.
    pub fn usable_digest(&self) -> u64 {
        self.usable_digests.total()
    }

    /// Changes an upstream's state, and the digests and the order with it. Returns the result of
    /// `change`; `None` if the key is unknown.
    fn update<T>(
        &mut self,
        key: UpstreamKey,
        change: impl FnOnce(&mut Upstream) -> T,
    ) -> Option<T> {
        let upstream = self.upstreams.get_mut(&key)?;
        let old_hash = upstream.state_hash();
        let was_usable = upstream.left.is_none();
        let changed = change(upstream);
        let is_usable = upstream.left.is_none();
        if was_usable == is_usable {
            return Some(changed);
        }
        if self.keys.get(&upstream.entry.id) == Some(&key) {
            self.digests.toggle(upstream.bucket(), old_hash);
            self.digests
                .toggle(upstream.bucket(), upstream.state_hash());
        }
        self.set_usable(key, is_usable);
        Some(changed)
    }

    /// Records that an upstream accepts no new calls. Returns whether that is a change.
    fn leave(&mut self, key: UpstreamKey, cause: LeavingCause) -> bool {
        self.update(key, |upstream| upstream.leave(cause)) == Some(true)
    }

    fn remove(&mut self, id: &str, trusted: bool, now: Duration) -> Option<UpstreamKey> {
        let key = *self.keys.get(id)?;
        let upstream = self.upstreams.get_mut(&key)?;
        if upstream.left.is_some() {
            return None;
        }
        if !trusted {
            upstream.lapsed_at.get_or_insert(now);
            self.lapsed.insert(key);
            return Some(key);
        }
        self.leave(key, LeavingCause::Removed);
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
        missing
            .iter()
            .filter_map(|id| self.remove(id, trusted, now))
            .collect()
    }

    /// Marks upstreams as left whose entries expired and did not return in time after
    /// `returned_at`, when the registry recovered. Returns them.
    pub fn expire_lapsed(&mut self, returned_at: Duration, now: Duration) -> Vec<UpstreamKey> {
        let due = |upstream: &Upstream| {
            let lapsed_at = upstream.lapsed_at;
            lapsed_at.is_some_and(|at| now >= returned_at.max(at) + RETURN_GRACE)
        };
        let upstreams = &self.upstreams;
        self.lapsed.retain(|key| {
            let upstream = upstreams.get(key);
            upstream.is_some_and(|upstream| upstream.lapsed_at.is_some())
        });
        let mut gone: Vec<UpstreamKey> = self.lapsed.iter().copied().collect();
        gone.retain(|key| upstreams.get(key).is_some_and(due));
        for key in &gone {
            self.leave(*key, LeavingCause::Lapsed);
        }
        gone
    }

    /// Records that another upstream answers at this one's address.
    pub fn record_replacement(&mut self, key: UpstreamKey) {
        self.leave(key, LeavingCause::Replaced);
    }

    /// Upstreams of a pool that accept new calls.
    pub fn usable(&self, pool: &str) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let keys = self.order.pool(pool);
        keys.filter_map(|key| self.upstreams.get(&key).map(|upstream| (key, upstream)))
    }

    /// Upstreams of a pool that a call is likely to go to: the first of each availability zone in
    /// the order on which all nodes agree, as many as the window has of `zone` and of each other
    /// one, and those that were used recently.
    pub fn candidates(
        &self,
        pool: &str,
        zone: &str,
        window: CandidateWindow,
    ) -> BTreeMap<UpstreamKey, &Upstream> {
        let first = self.order.zones(pool).into_iter().flat_map(|other| {
            let count = if other == zone {
                window.near
            } else {
                window.far
            };
            self.order.first(pool, other, count)
        });
        let active = self.active.iter().copied();
        let candidates = first.chain(active).filter_map(|key| {
            let upstream = self.upstreams.get(&key)?;
            Some((key, upstream))
        });
        candidates
            .filter(|(_, upstream)| upstream.left.is_none() && &*upstream.entry.pool == pool)
            .collect()
    }

    /// First upstreams of a pool in an availability zone, in the order on which all nodes agree.
    pub fn first(
        &self,
        pool: &str,
        zone: &str,
        count: usize,
    ) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let keys = self.order.first(pool, zone, count);
        keys.filter_map(|key| self.upstreams.get(&key).map(|upstream| (key, upstream)))
    }

    /// Number of upstreams that accept new calls.
    pub fn usable_total(&self) -> usize {
        self.order.total()
    }

    /// Number of upstreams of a pool that accept new calls.
    pub fn usable_count(&self, pool: &str) -> usize {
        self.order.len(pool)
    }

    /// Number of availability zones in which a pool has upstreams that accept new calls.
    pub fn zone_count(&self, pool: &str) -> usize {
        self.order.zones(pool).len()
    }

    /// Upstreams that were used recently, or that another node reported on.
    pub fn active(&self) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        let active = self.active.iter();
        active.filter_map(|key| self.upstreams.get(key).map(|upstream| (*key, upstream)))
    }

    /// Ends the list of active upstreams for those that are no longer used.
    pub fn expire_active(&mut self, now: Duration) {
        let upstreams = &self.upstreams;
        self.active.retain(|key| {
            let upstream = upstreams.get(key);
            upstream.is_some_and(|upstream| upstream.is_active(now))
        });
    }

    /// State of an upstream; `None` if the key is unknown.
    pub fn get(&self, key: UpstreamKey) -> Option<&Upstream> {
        self.upstreams.get(&key)
    }

    /// Mutable state of an upstream, which counts as active from now on; `None` if the key is
    /// unknown.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Upstream> {
        let upstream = self.upstreams.get_mut(&key)?;
        self.active.insert(key);
        Some(upstream)
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
        self.digests.total()
    }

    /// Digest of each bucket of ids, so that two nodes can find the buckets in which they differ.
    pub fn bucket_digests(&self) -> &[u32] {
        self.digests.buckets()
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
