//! The upstreams that calls go to first, which are all that a node with few calls has to know.
//!
//! In a fleet of thousands of upstreams most nodes get hardly any calls. They know the first
//! upstreams of each pool and availability zone, in the order on which all nodes agree, and learn
//! their changes from nodes that know all.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::gateway::registry::digest::{BucketDigests, DIGEST_BUCKETS};
use crate::gateway::registry::order::UpstreamOrder;
use crate::gateway::registry::{Upstream, UpstreamEntry, UpstreamKey};

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
