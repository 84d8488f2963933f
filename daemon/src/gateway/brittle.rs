//! Keeps refusals by brittle upstreams few: each one makes its upstream rest at all nodes.

use std::time::Duration;

use monsoonbank_kernel::gateway::brittle::{BrittleState, RefusalReport};
use monsoonbank_kernel::gateway::gossip::GossipUrgency;
use monsoonbank_kernel::gateway::registry::{UpstreamKey, UpstreamRegistry};

use crate::gateway::Gateway;
use crate::gateway::decisions::{UpstreamDecision, millis};

/// Number of refusals in one heartbeat, some 12 bytes each.
const MAX_REPORTS: usize = 16;
/// Source in decision lines of refusals of this node's own calls.
const OWN_SOURCE: &str = "own";

/// Records the notice in an answer: how many requests the upstream can turn away in a second.
pub fn record_notice(gateway: &Gateway, key: UpstreamKey, refusals: Option<u32>) {
    if let Some(upstream) = gateway.registry.borrow_mut().get_mut(key) {
        upstream.brittle.observe(refusals, gateway.now());
    }
}

/// Records that the upstream turned a call of this node away.
pub fn record_refusal(gateway: &Gateway, key: UpstreamKey) {
    let now = gateway.now();
    let refused = |state: &mut BrittleState| state.refused(now);
    if rest_after(gateway, key, OWN_SOURCE, refused) {
        gateway.propagate(GossipUrgency::Calls);
    }
}

/// Merges the refusals that another node reports.
pub fn merge_reports(gateway: &Gateway, reports: &[RefusalReport], source: &str) {
    let now = gateway.now();
    for report in reports {
        let Some(key) = gateway.registry.borrow().by_hash(report.run) else {
            continue;
        };
        record_notice(gateway, key, Some(report.refusals));
        let at = now.saturating_sub(Duration::from_millis(report.age_ms));
        rest_after(gateway, key, source, |state| state.reported(at, now));
    }
}

/// Returns the most recent refusals, for the next heartbeat.
pub fn recent_reports(registry: &UpstreamRegistry, now: Duration) -> Vec<RefusalReport> {
    let active = registry.active().map(|(_, upstream)| upstream);
    let mut reports: Vec<RefusalReport> = active
        .filter_map(|upstream| upstream.brittle.report(upstream.entry.run_hash(), now))
        .collect();
    reports.sort_by_key(|report| report.age_ms);
    reports.truncate(MAX_REPORTS);
    reports
}

/// Lets a brittle upstream rest after a refusal, for as long as `refused` says. Returns whether it is
/// one and the refusal is new.
fn rest_after(
    gateway: &Gateway,
    key: UpstreamKey,
    source: &str,
    refused: impl FnOnce(&mut BrittleState) -> Option<Duration>,
) -> bool {
    let now = gateway.now();
    let mut registry = gateway.registry.borrow_mut();
    let Some(upstream) = registry.get_mut(key) else {
        return false;
    };
    let Some(until) = refused(&mut upstream.brittle) else {
        return false;
    };
    let rest = until.saturating_sub(now);
    upstream.pause.extend(rest, now);
    gateway.decisions.record(UpstreamDecision::BrittleRefused {
        upstream: &upstream.entry.id,
        rest_ms: millis(rest),
        source,
    });
    true
}
