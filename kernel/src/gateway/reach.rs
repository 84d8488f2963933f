//! Determines whether this node has lost its way to the upstreams of a pool, by how its new
//! connections to them end. One upstream that takes no connection has failed. Several in a row may
//! have failed together, so that others are probed; if these take none either, the node itself is
//! cut off.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::gateway::registry::UpstreamKey;

/// Number of different upstreams in a row without a connection after which others are probed.
const SUSPECT_UPSTREAMS: usize = 3;
/// Number of different upstreams in a row without a connection after which a pool is out of reach.
const LOST_UPSTREAMS: usize = 5;

/// Change of a pool's reach by a failed connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// None.
    Unchanged,
    /// The pool may be out of reach: other upstreams are to be probed.
    Suspected,
    /// The pool is out of reach.
    Lost,
}

/// Connections to the upstreams of a pool since the last that was established.
#[derive(Clone, Debug, Default)]
struct PoolReach {
    failed: BTreeSet<UpstreamKey>,
    suspected: bool,
    lost_at: Option<Duration>,
}

/// Reachability of each pool from this node. It holds at most five keys for each pool.
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
    /// established. While another pool is out of reach, one failure is enough.
    pub fn failed(
        &mut self,
        pool: &str,
        key: UpstreamKey,
        usable: usize,
        now: Duration,
    ) -> ReachChange {
        let others_lost = self.lost_pools().any(|lost| lost != pool);
        let reach = self.pools.entry(pool.into()).or_default();
        if reach.lost_at.is_some() {
            return ReachChange::Unchanged;
        }
        reach.failed.insert(key);
        let usable = usable.max(1);
        if others_lost || reach.failed.len() >= LOST_UPSTREAMS.min(usable) {
            reach.lost_at = Some(now);
            return ReachChange::Lost;
        }
        let begins = !reach.suspected && reach.failed.len() >= SUSPECT_UPSTREAMS.min(usable);
        reach.suspected |= begins;
        if begins {
            ReachChange::Suspected
        } else {
            ReachChange::Unchanged
        }
    }

    /// Whether no connection to this upstream came about since the last one to its pool did.
    pub fn has_failed(&self, pool: &str, key: UpstreamKey) -> bool {
        let reach = self.pools.get(pool);
        reach.is_some_and(|reach| reach.failed.contains(&key))
    }

    /// Pools that are or may be out of reach, to be probed.
    pub fn suspected_pools(&self) -> impl Iterator<Item = &str> {
        let suspected = |reach: &PoolReach| reach.suspected || reach.lost_at.is_some();
        let pools = self.pools.iter();
        pools
            .filter(move |(_, reach)| suspected(reach))
            .map(|(pool, _)| &**pool)
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
