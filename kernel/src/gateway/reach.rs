//! Determines whether this node has lost its way to the upstreams of a pool, by how its new
//! connections to them end. One upstream that takes no connection has failed; several in a row mean
//! that the node itself is cut off from them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::gateway::registry::UpstreamKey;

/// Number of different upstreams in a row to which no connection could be established.
const MIN_FAILED_UPSTREAMS: usize = 3;

/// Connections to the upstreams of a pool since the last that was established.
#[derive(Clone, Debug, Default)]
struct PoolReach {
    failed: BTreeSet<UpstreamKey>,
    lost_at: Option<Duration>,
}

/// Reachability of each pool from this node. It holds at most three keys for each pool.
#[derive(Clone, Debug, Default)]
pub struct ReachMonitor {
    pools: BTreeMap<Box<str>, PoolReach>,
}

impl ReachMonitor {
    /// Records that a connection to an upstream of the pool was established. Returns for how long the
    /// pool was out of reach; `None` if it was in reach.
    pub fn connected(&mut self, pool: &str, now: Duration) -> Option<Duration> {
        let lost_at = self.pools.remove(pool)?.lost_at?;
        Some(now.saturating_sub(lost_at))
    }

    /// Records that no connection to this upstream of a pool with `usable` upstreams could be
    /// established. While another pool is out of reach, one failure is enough. Returns whether the
    /// pool is out of reach from now on.
    pub fn failed(&mut self, pool: &str, key: UpstreamKey, usable: usize, now: Duration) -> bool {
        let others_lost = self.lost_pools().any(|lost| lost != pool);
        let reach = self.pools.entry(pool.into()).or_default();
        if reach.lost_at.is_some() {
            return false;
        }
        reach.failed.insert(key);
        let enough = MIN_FAILED_UPSTREAMS.min(usable.max(1));
        let is_lost = others_lost || reach.failed.len() >= enough;
        reach.lost_at = is_lost.then_some(now);
        is_lost
    }

    /// Whether the pool is out of reach.
    pub fn is_lost(&self, pool: &str) -> bool {
        self.pools
            .get(pool)
            .is_some_and(|reach| reach.lost_at.is_some())
    }

    /// Pools that are out of reach.
    pub fn lost_pools(&self) -> impl Iterator<Item = &str> {
        let lost = self
            .pools
            .iter()
            .filter(|(_, reach)| reach.lost_at.is_some());
        lost.map(|(pool, _)| &**pool)
    }
}
