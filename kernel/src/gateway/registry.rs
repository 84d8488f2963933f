//! Upstreams of the platform's registry, by run.

mod candidates;
mod digest;
mod entry;
mod merge;
mod news;
mod order;
mod preferred;
mod record;
mod upstream;

use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub use crate::gateway::registry::candidates::CandidateWindow;
use crate::gateway::registry::digest::{BucketDigests, DIGEST_BUCKETS};
pub use crate::gateway::registry::entry::{
    EntryReport, RegistryChange, SoftwareKey, UpstreamEntry,
};
use crate::gateway::registry::news::RecentNews;
pub use crate::gateway::registry::news::{RunClaim, RunNews};
use crate::gateway::registry::order::UpstreamOrder;
pub use crate::gateway::registry::preferred::PreferredPart;
use crate::gateway::registry::preferred::PreferredSet;
pub use crate::gateway::registry::record::{EntryRecord, LogPlace};
pub use crate::gateway::registry::upstream::{LeavingCause, Upstream};

/// Identifies one run of an upstream within this process; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamKey(u32);

/// Time after the registry's recovery within which an entry that expired during the outage may
/// return. The platform guarantees about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// What is known of the newest run of an id, compared with the run of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KnownRun {
    /// It is the same run.
    Same(UpstreamKey),
    /// It is an older run, or there is none.
    Older,
    /// It is a later run, or the entry is not its own.
    Other,
}

/// Every upstream that this process has learned of. `keys` and `hashes` map to the newest run of
/// each id, `places` to the newest run of a pool at an address; calls at an older run still end
/// there. Runs are ordered by what their entries and the store's log say, not by arrival here.
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
    news: RecentNews,
    next_key: u32,
    /// Number of changes of what is sent to other nodes.
    revision: u64,
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
            RegistryChange::Put(entry) => self.put(entry, now),
            RegistryChange::Removed { id, at } => {
                self.remove(&id, at, trusted, now).into_iter().collect()
            }
        };
        self.record_news(&changed, now);
        changed
    }

    /// Records that an upstream announced in an answer that it leaves. Returns whether that is new.
    pub fn record_announcement(&mut self, key: UpstreamKey, now: Duration) -> bool {
        let is_change = self.leave(key, LeavingCause::Announced, now);
        if is_change {
            self.record_news(&[key], now);
        }
        is_change
    }

    fn put(&mut self, entry: UpstreamEntry, now: Duration) -> Vec<UpstreamKey> {
        match self.known_run(&entry) {
            KnownRun::Other => Vec::new(),
            KnownRun::Older => self.add(Upstream::new(entry, now), now),
            KnownRun::Same(key) => self.refresh(key, entry, now),
        }
    }

    /// Compares an entry's run with the newest one that is known of its id.
    fn known_run(&self, entry: &UpstreamEntry) -> KnownRun {
        let key = self.keys.get(&entry.id).copied();
        let Some((key, upstream)) = key.and_then(|key| Some((key, self.upstreams.get(&key)?)))
        else {
            return KnownRun::Older;
        };
        let known = &upstream.entry;
        match entry.born.cmp(&known.born) {
            // A late heartbeat of an older run, or an entry of another writer.
            Ordering::Less => return KnownRun::Other,
            Ordering::Greater => return KnownRun::Older,
            Ordering::Equal => {}
        }
        // The pool and address of a run never change: an entry with others was not published by the
        // upstream itself.
        if (&entry.pool, entry.address) != (&known.pool, known.address) {
            return KnownRun::Other;
        }
        if entry.version == known.version {
            return KnownRun::Same(key);
        }
        // The version of a run never changes either, so one of them is a later run.
        match (entry.written, known.written) {
            (Some(record), Some(known)) if record.place() < known.place() => KnownRun::Other,
            _ => KnownRun::Older,
        }
    }

    /// Applies an entry of a known run. Returns the upstreams whose state changed.
    fn refresh(
        &mut self,
        key: UpstreamKey,
        entry: UpstreamEntry,
        now: Duration,
    ) -> Vec<UpstreamKey> {
        let changed = self.update(key, |upstream| upstream.receive_entry(entry, now));
        if changed != Some(true) {
            return Vec::new();
        }
        self.revision += 1;
        let mut changed = vec![key];
        changed.extend(self.settle_place(key, now));
        changed
    }

    /// Adds a run, without any load or cache of earlier ones. Returns it and the runs that it
    /// replaces: of the same id, and of the same pool at the same address. Another pool's entry for
    /// the address replaces nothing: it may be false, and an upstream rejects a call that is meant
    /// for another one.
    fn add(&mut self, upstream: Upstream, now: Duration) -> Vec<UpstreamKey> {
        let key = UpstreamKey(self.next_key);
        self.next_key += 1;
        self.revision += 1;
        let mut changed = vec![key];
        let entry = &upstream.entry;
        let older_run = self.keys.insert(entry.id.clone(), key);
        if let Some(older) = older_run.and_then(|older| self.upstreams.get(&older)) {
            self.hashes.remove(&older.entry.run_hash());
            self.digests.toggle(older.bucket(), older.state_hash());
        }
        self.hashes.insert(entry.run_hash(), key);
        self.digests
            .toggle(upstream.bucket(), upstream.state_hash());
        let is_usable = upstream.left.is_none();
        self.upstreams.insert(key, upstream);
        if let Some(older_key) = older_run
            && self.leave(older_key, LeavingCause::Replaced, now)
        {
            changed.push(older_key);
        }
        if is_usable {
            self.set_usable(key, true);
            changed.extend(self.settle_place(key, now));
        }
        changed
    }

    /// Lets a run that accepts calls be the only one of its pool at its address, or a later one that
    /// is known there. Returns the run that is replaced, if it is another one.
    fn settle_place(&mut self, key: UpstreamKey, now: Duration) -> Option<UpstreamKey> {
        let upstream = self.upstreams.get(&key)?;
        if upstream.left.is_some() {
            return None;
        }
        let place = (upstream.entry.address, upstream.entry.pool.clone());
        let holder_key = self.places.get(&place).copied().filter(|held| *held != key);
        let holder = holder_key.and_then(|held| self.upstreams.get(&held));
        let holder = holder.filter(|holder| holder.left.is_none());
        if holder.is_some_and(|holder| holder.entry.starts_after(&upstream.entry)) {
            self.replace(key, holder_key?, now);
            return None;
        }
        let is_held = holder.is_some();
        self.places.insert(place, key);
        let holder_key = holder_key.filter(|_| is_held)?;
        self.replace(holder_key, key, now);
        Some(holder_key)
    }

    /// Records that a run was replaced by a later one at its address.
    fn replace(&mut self, key: UpstreamKey, later: UpstreamKey, now: Duration) {
        let record = self
            .upstreams
            .get(&later)
            .and_then(|later| later.entry.written);
        let missing = record.map(|record| EntryRecord::at(record.place()));
        self.update(key, |upstream| {
            upstream.record_missing(missing);
            upstream.leave(LeavingCause::Replaced, now)
        });
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
    fn leave(&mut self, key: UpstreamKey, cause: LeavingCause, now: Duration) -> bool {
        let is_change = self.update(key, |upstream| upstream.leave(cause, now)) == Some(true);
        if is_change {
            self.revision += 1;
        }
        is_change
    }

    fn remove(
        &mut self,
        id: &str,
        at: Option<LogPlace>,
        trusted: bool,
        now: Duration,
    ) -> Option<UpstreamKey> {
        let key = *self.keys.get(id)?;
        let upstream = self.upstreams.get_mut(&key)?;
        let is_missing = upstream.record_missing(at.map(EntryRecord::at));
        if !is_missing || upstream.left.is_some() {
            return None;
        }
        self.revision += 1;
        if !trusted {
            upstream.lapsed_at.get_or_insert(now);
            self.lapsed.insert(key);
            return Some(key);
        }
        self.leave(key, LeavingCause::Removed, now);
        Some(key)
    }

    /// Treats every upstream whose id is not in `ids` as removed. `at` is the end of the log from
    /// which the ids were read, and `trusted` is as in `apply`. Returns the upstreams whose state
    /// changed.
    pub fn retain(
        &mut self,
        ids: &[Box<str>],
        at: Option<LogPlace>,
        trusted: bool,
        now: Duration,
    ) -> Vec<UpstreamKey> {
        let ids: BTreeSet<&str> = ids.iter().map(|id| &**id).collect();
        let missing: Vec<Box<str>> = self
            .keys
            .keys()
            .filter(|id| !ids.contains(&***id))
            .cloned()
            .collect();
        missing
            .iter()
            .filter_map(|id| self.remove(id, at, trusted, now))
            .collect()
    }

    /// Records that the store has kept the entries that were read in its era for longer than it keeps
    /// those of silent upstreams. Returns the upstreams whose state changed.
    pub fn confirm_era(&mut self, era: u64, now: Duration) -> Vec<UpstreamKey> {
        let unconfirmed: Vec<UpstreamEntry> = self
            .newest()
            .filter_map(|upstream| {
                let record = upstream.entry.written?;
                let kept = EntryRecord {
                    is_current: true,
                    ..record
                };
                let is_listed = upstream.missing.is_none_or(|missing| kept.follows(missing));
                (record.era == era && !record.is_current && is_listed).then(|| UpstreamEntry {
                    written: Some(kept),
                    ..upstream.entry.clone()
                })
            })
            .collect();
        let mut returned = Vec::new();
        for entry in unconfirmed {
            let key = self.key(&entry.id);
            let was_usable = key.is_some_and(|key| self.is_usable(key));
            let changed = self.put(entry, now);
            if !was_usable {
                self.record_news(&changed, now);
                returned.extend(changed);
            }
        }
        returned
    }

    fn is_usable(&self, key: UpstreamKey) -> bool {
        let upstream = self.upstreams.get(&key);
        upstream.is_some_and(|upstream| upstream.left.is_none())
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
            self.leave(*key, LeavingCause::Lapsed, now);
        }
        gone
    }

    /// Records that another upstream answers at this one's address.
    pub fn record_replacement(&mut self, key: UpstreamKey, now: Duration) {
        self.revision += 1;
        self.update(key, |upstream| {
            let after = |record: EntryRecord| {
                EntryRecord::at(LogPlace {
                    offset: record.offset + 1,
                    ..record.place()
                })
            };
            upstream.record_missing(upstream.entry.written.map(after));
            upstream.leave(LeavingCause::Replaced, now)
        });
    }

    /// Software version of all upstreams of a pool that accepted calls at some time since `since`, as
    /// far as they are known here; `None` if there were none or several versions.
    pub fn sole_software(&self, pool: &str, since: Duration) -> Option<SoftwareKey> {
        let accepted = |upstream: &&Upstream| {
            &*upstream.entry.pool == pool && upstream.left_at.is_none_or(|at| at >= since)
        };
        let mut upstreams = self.upstreams.values().filter(accepted);
        let software = upstreams.next()?.entry.software();
        let is_same = |upstream: &Upstream| upstream.entry.software() == software;
        upstreams.all(is_same).then_some(software)
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

    /// Number that grows with each change of what is sent to other nodes.
    pub fn revision(&self) -> u64 {
        self.revision
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
