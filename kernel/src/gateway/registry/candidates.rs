//! Lists the upstreams that a call may go to.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::registry::{SoftwareKey, Upstream, UpstreamKey, UpstreamRegistry};

/// Number of upstreams of a pool that are considered for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CandidateWindow {
    /// Number of upstreams of the node's own availability zone.
    pub near: usize,
    /// Number of upstreams of each other zone.
    pub far: usize,
}

impl UpstreamRegistry {
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

    /// Whether a pool has upstreams that accept new calls and run this software version.
    pub fn has_software(&self, pool: &str, software: SoftwareKey) -> bool {
        let mut upstreams = self.usable(pool);
        upstreams.any(|(_, upstream)| upstream.entry.software() == software)
    }

    /// Whether a pool has upstreams that accept new calls and run another software version.
    pub fn has_other_software(&self, pool: &str, software: SoftwareKey) -> bool {
        let mut upstreams = self.usable(pool);
        upstreams.any(|(_, upstream)| upstream.entry.software() != software)
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
}
