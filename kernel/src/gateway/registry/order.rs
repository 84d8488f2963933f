//! Upstreams that accept new calls, by pool, in the order in which calls go to them.
//!
//! All nodes compute the same order, so calls concentrate on the first upstreams of each
//! availability zone: connections and cached prompts are reused, and the cost of a selection does
//! not grow with the pool.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::registry::{UpstreamEntry, UpstreamKey};

/// Upstreams of one pool.
#[derive(Clone, Debug, Default)]
struct PoolOrder {
    keys: BTreeSet<UpstreamKey>,
    zones: BTreeMap<Box<str>, BTreeSet<(u64, UpstreamKey)>>,
}

/// Upstreams that accept new calls, by pool.
#[derive(Clone, Debug, Default)]
pub struct UpstreamOrder {
    pools: BTreeMap<Box<str>, PoolOrder>,
}

impl UpstreamOrder {
    /// Adds an upstream that accepts new calls.
    pub fn insert(&mut self, entry: &UpstreamEntry, key: UpstreamKey) {
        let pool = self.pools.entry(entry.pool.clone()).or_default();
        pool.keys.insert(key);
        let zone = pool.zones.entry(entry.zone.clone()).or_default();
        zone.insert((order_hash(entry), key));
    }

    /// Removes an upstream that accepts no new calls.
    pub fn remove(&mut self, entry: &UpstreamEntry, key: UpstreamKey) {
        let Some(pool) = self.pools.get_mut(&entry.pool) else {
            return;
        };
        pool.keys.remove(&key);
        if let Some(zone) = pool.zones.get_mut(&entry.zone) {
            zone.remove(&(order_hash(entry), key));
            if zone.is_empty() {
                pool.zones.remove(&entry.zone);
            }
        }
    }

    /// All upstreams of a pool, in the order in which this node learned of them.
    pub fn pool(&self, pool: &str) -> impl Iterator<Item = UpstreamKey> {
        let keys = self.pools.get(pool).map(|pool| pool.keys.iter());
        keys.into_iter().flatten().copied()
    }

    /// Names of all pools.
    pub fn pools(&self) -> impl Iterator<Item = &str> {
        self.pools.keys().map(|pool| &**pool)
    }

    /// Availability zones in which a pool has upstreams.
    pub fn zones(&self, pool: &str) -> Vec<&str> {
        let zones = self.pools.get(pool).map(|pool| pool.zones.keys());
        zones.into_iter().flatten().map(|zone| &**zone).collect()
    }

    /// Number of upstreams of all pools.
    pub fn total(&self) -> usize {
        self.pools.values().map(|pool| pool.keys.len()).sum()
    }

    /// Number of upstreams of a pool.
    pub fn len(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, |pool| pool.keys.len())
    }

    /// First upstreams of a pool in an availability zone, at most `count`.
    pub fn first(&self, pool: &str, zone: &str, count: usize) -> impl Iterator<Item = UpstreamKey> {
        let zone = self.pools.get(pool).and_then(|pool| pool.zones.get(zone));
        let keys = zone.map(|zone| zone.iter().take(count));
        keys.into_iter().flatten().map(|(_, key)| *key)
    }
}

fn order_hash(entry: &UpstreamEntry) -> u64 {
    xxh3_64(entry.id.as_bytes())
}
