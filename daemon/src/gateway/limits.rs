//! Rate limits that overloaded upstreams announce in their answers: shared among nodes, and
//! propagated to them.

use std::cmp::Reverse;
use std::time::Duration;

use monsoonbank_kernel::gateway::fleet::SharedLimit;
use monsoonbank_kernel::gateway::gossip::GossipUrgency;
use monsoonbank_kernel::gateway::registry::{Upstream, UpstreamKey, UpstreamRegistry};
use monsoonbank_kernel::gateway::throttle::{AdvertisedLimit, LimitReport};

use crate::gateway::Gateway;
use crate::gateway::decisions::UpstreamDecision;

/// Number of limits in one heartbeat, some 17 bytes each.
const MAX_REPORTS: usize = 16;
/// Source in decision lines of limits that this node received from the upstream itself.
const OWN_SOURCE: &str = "own";

/// Records the limit in an upstream's answer, in requests per second; `None` means that the
/// upstream announces no limit.
pub fn record_limit(gateway: &Gateway, key: UpstreamKey, per_second: Option<f64>) {
    let named = AdvertisedLimit {
        per_second,
        at: gateway.now(),
    };
    observe(gateway, key, named, OWN_SOURCE);
}

/// Merges the limits that another node reports.
pub fn merge_reports(gateway: &Gateway, reports: &[LimitReport], source: &str) {
    for report in reports {
        let key = gateway.registry.borrow().by_hash(report.run);
        if let Some(key) = key {
            observe(gateway, key, report.advertised(gateway.now()), source);
        }
    }
}

/// Returns the most recent reports, for the next heartbeat.
pub fn recent_reports(registry: &UpstreamRegistry, now: Duration) -> Vec<LimitReport> {
    let report = |upstream: &Upstream| upstream.throttle.report(upstream.entry.run_hash(), now);
    let active = registry.active().map(|(_, upstream)| upstream);
    let mut reports: Vec<LimitReport> = active.filter_map(report).collect();
    reports.sort_by_key(|report| Reverse(report.age_ms));
    reports.split_off(reports.len().saturating_sub(MAX_REPORTS))
}

/// Recomputes this node's share of each limit from the nodes that it knows.
pub fn update_shares(gateway: &Gateway) {
    let now = gateway.now();
    let limited: Vec<UpstreamKey> = gateway
        .registry
        .borrow()
        .active()
        .filter(|(_, upstream)| upstream.throttle.limit().is_some())
        .map(|(key, _)| key)
        .collect();
    for key in limited {
        set_share(gateway, key, now);
    }
}

fn set_share(gateway: &Gateway, key: UpstreamKey, now: Duration) {
    let mut registry = gateway.registry.borrow_mut();
    let Some(upstream) = registry.get_mut(key) else {
        return;
    };
    let Some(per_second) = upstream.throttle.limit() else {
        return;
    };
    let limit = SharedLimit {
        run: upstream.entry.run_hash(),
        zone: &upstream.entry.zone,
        per_second,
        confirmed: upstream.throttle.is_confirmed(now),
    };
    let share = gateway.fleet.borrow().limit_share(limit, now);
    upstream.throttle.set_share(share, now);
}

fn observe(gateway: &Gateway, key: UpstreamKey, named: AdvertisedLimit, source: &str) {
    let now = gateway.now();
    let mut registry = gateway.registry.borrow_mut();
    let Some(upstream) = registry.get_mut(key) else {
        return;
    };
    if !upstream.throttle.observe(named, now) {
        return;
    }
    gateway.decisions.record(UpstreamDecision::LimitChanged {
        upstream: &upstream.entry.id,
        per_second: named.per_second,
        source,
    });
    drop(registry);
    gateway.propagate(GossipUrgency::All);
    set_share(gateway, key, now);
}
