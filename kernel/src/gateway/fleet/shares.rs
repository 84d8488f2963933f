//! Divides a limit that an upstream advertises among nodes.
//!
//! A node may always send one request at once, so a small limit is divided among few nodes. They
//! are selected by hashing, which gives the same result on all nodes.

use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::fleet::FleetView;
use crate::gateway::heartbeat::NodeCard;
use crate::gateway::throttle::LimitShare;

/// Burst of all nodes together beyond the requests of one second, so that a small limit is not used
/// by one node alone.
const EXTRA_BURST: f64 = 2.0;
/// Minimum rate, in requests per second, that is divided: with a rate of 0 the end of such a limit
/// would never be observed.
const MIN_RATE: f64 = 0.2;

/// An upstream's limit to divide among nodes.
#[derive(Clone, Copy, Debug)]
pub struct SharedLimit<'a> {
    /// Hash of the upstream's run.
    pub run: u64,
    /// Availability zone of the upstream.
    pub zone: &'a str,
    /// Requests per second by all nodes together.
    pub per_second: f64,
    /// Whether the upstream advertised it recently.
    pub confirmed: bool,
}

impl FleetView {
    /// This node's share of a limit. Each zone gets a part by its size if every zone can send one
    /// request at once; otherwise the upstream's own zone gets all of it. A limit that is not
    /// confirmed is divided evenly among all nodes.
    pub fn limit_share(&self, limit: SharedLimit, now: Duration) -> LimitShare {
        let rate = limit.per_second.max(MIN_RATE);
        let size = f64::from(self.size(now).max(1));
        if !limit.confirmed {
            return LimitShare {
                per_second: rate / size,
                burst: 1.0,
            };
        }
        let burst = (rate + EXTRA_BURST).floor();
        let zones: BTreeSet<&str> = self.zones().collect();
        let others = burst - zones.len() as f64;
        if others < 0.0 {
            if home_zone(&zones, limit) != &*self.own.zone {
                return LimitShare::default();
            }
            return self.zone_share(limit.run, rate, burst, now);
        }
        let part = f64::from(self.own_zone_size(now)) / size;
        let zone_burst = 1.0 + (others * part).floor();
        self.zone_share(limit.run, rate * part, zone_burst, now)
    }

    /// This node's share of its zone's part.
    fn zone_share(&self, run: u64, rate: f64, burst: f64, now: Duration) -> LimitShare {
        let nodes: Vec<&NodeCard> = self.ranked(&self.own.zone, now).collect();
        let hash = |name: &str| xxh3_64_with_seed(name.as_bytes(), run);
        let own = hash(&self.own.name);
        let before = nodes.iter().filter(|card| hash(&card.name) < own).count();
        let sharers = burst.min(nodes.len().max(1) as f64);
        if before as f64 >= sharers {
            return LimitShare::default();
        }
        LimitShare {
            per_second: rate / sharers,
            burst: (burst / sharers).floor(),
        }
    }

    /// Availability zones of all known nodes.
    pub(super) fn zones(&self) -> impl Iterator<Item = &str> {
        self.zones.keys().map(|zone| &**zone)
    }

    /// Number of nodes of this node's zone as counted by its hubs, but at least the number whose
    /// heartbeats arrive here.
    fn own_zone_size(&self, now: Duration) -> u32 {
        let reported = self.live(now).map(|peer| &peer.heartbeat);
        let reported = reported.filter(|heartbeat| heartbeat.card.zone == self.own.zone);
        let reported = reported.map(|heartbeat| heartbeat.zone_size).max();
        self.zone_size(now).max(reported.unwrap_or(0))
    }
}

/// Availability zone of the upstream, or the one that replaces it if it has no node.
fn home_zone<'a>(zones: &BTreeSet<&'a str>, limit: SharedLimit) -> &'a str {
    let hash = |zone: &&&str| {
        let hash = xxh3_64_with_seed(zone.as_bytes(), limit.run);
        (**zone == limit.zone, hash)
    };
    zones.iter().max_by_key(hash).copied().unwrap_or_default()
}
