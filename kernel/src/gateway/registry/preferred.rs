//! The upstreams that calls go to first, which are all that a node with few calls has to know.
//!
//! In a fleet of thousands of upstreams most nodes get hardly any calls. They know the first
//! upstreams of each pool and availability zone, in the order on which all nodes agree, and learn
//! their changes from nodes that know all.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::registry::digest::{BucketDigests, DIGEST_BUCKETS};
use crate::gateway::registry::order::UpstreamOrder;
use crate::gateway::registry::{
    RegistryChange, Upstream, UpstreamEntry, UpstreamKey, UpstreamRegistry,
};

/// Number of preferred upstreams of a pool, in all availability zones together.
const POOL_UPSTREAMS: usize = 320;
/// Minimum number of preferred upstreams of a pool in each zone.
const MIN_ZONE_UPSTREAMS: usize = 16;

/// Preferred upstreams of all pools.
#[derive(Clone, Debug, Default)]
pub struct PreferredSet {
    /// Keys of the upstreams.
    pub keys: BTreeSet<UpstreamKey>,
    /// Digests of the upstreams' runs.
    pub digests: BucketDigests,
}

impl PreferredSet {
    /// Selects the first upstreams of each pool and zone.
    pub fn select<'a>(
        order: &UpstreamOrder,
        upstream: impl Fn(UpstreamKey) -> Option<&'a Upstream>,
    ) -> Self {
        let mut preferred = Self::default();
        for pool in order.pools() {
            let zones = order.zones(pool);
            let count = (POOL_UPSTREAMS / zones.len().max(1)).max(MIN_ZONE_UPSTREAMS);
            let first = |zone: &&str| order.first(pool, zone, count).collect::<Vec<_>>();
            preferred.keys.extend(zones.iter().flat_map(first));
        }
        for upstream in preferred.keys.iter().filter_map(|key| upstream(*key)) {
            let hash = upstream.usable_hash();
            preferred.digests.toggle(upstream.bucket(), hash);
        }
        preferred
    }

    /// Buckets in which another node knows other preferred upstreams; all if its digests cannot be
    /// compared.
    pub fn differing_buckets(&self, known: &[u32]) -> BTreeSet<usize> {
        let own = self.digests.buckets();
        let differs = |bucket: &usize| known.len() != own.len() || known[*bucket] != own[*bucket];
        (0..DIGEST_BUCKETS).filter(differs).collect()
    }
}

/// Preferred upstreams in some buckets, as sent to a node that knows no others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreferredPart {
    /// Buckets whose preferred upstreams are all listed.
    pub buckets: BTreeSet<usize>,
    /// Entries of the upstreams in these buckets.
    pub entries: Vec<UpstreamEntry>,
}

impl UpstreamRegistry {
    /// Replaces the upstreams of some buckets by those that a node which knows all of them prefers.
    /// Returns the upstreams whose state changed.
    pub fn replace_preferred(&mut self, part: PreferredPart, now: Duration) -> Vec<UpstreamKey> {
        let listed: BTreeSet<&str> = part.entries.iter().map(|entry| &*entry.id).collect();
        let is_other = |upstream: &Upstream| {
            let is_listed = listed.contains(&*upstream.entry.id);
            !is_listed && part.buckets.contains(&upstream.bucket())
        };
        let others = self.usable_keys().into_iter();
        let others: Vec<UpstreamKey> = others
            .filter(|key| self.upstreams.get(key).is_some_and(is_other))
            .collect();
        for key in others {
            self.forget(key);
        }
        let entries = part.entries.into_iter();
        entries
            .flat_map(|entry| self.apply(RegistryChange::Put(entry), true, now))
            .collect()
    }

    /// Removes all upstreams that accept new calls but the preferred ones.
    pub fn forget_others(&mut self) {
        let preferred = self.preferred().keys.clone();
        let others = self.usable_keys().into_iter();
        for key in others.filter(|key| !preferred.contains(key)) {
            self.forget(key);
        }
    }

    fn usable_keys(&self) -> Vec<UpstreamKey> {
        let upstreams = self.upstreams.iter();
        let usable = upstreams.filter(|(_, upstream)| upstream.left.is_none());
        usable.map(|(key, _)| *key).collect()
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
}
