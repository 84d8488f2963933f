//! Records whether connections to upstreams come about, and with that whether this node reaches the
//! pools at all.

use monsoonbank_kernel::gateway::registry::UpstreamKey;

use crate::gateway::Gateway;
use crate::gateway::decisions::{NodeDecision, millis};

/// Records that a connection to an upstream of the pool was established.
pub fn record_connected(gateway: &Gateway, pool: &str) {
    let lost_for = gateway.reach.borrow_mut().connected(pool, gateway.now());
    if let Some(lost_for) = lost_for {
        show(gateway);
        gateway.decisions.record(NodeDecision::ReachRegained {
            pool,
            lost_ms: millis(lost_for),
        });
    }
}

/// Records that no connection to an upstream of the pool could be established.
pub fn record_failed(gateway: &Gateway, pool: &str, key: UpstreamKey) {
    let usable = gateway.registry.borrow().usable_count(pool);
    let mut reach = gateway.reach.borrow_mut();
    let is_lost = reach.failed(pool, key, usable, gateway.now());
    drop(reach);
    if is_lost {
        show(gateway);
        gateway
            .decisions
            .record(NodeDecision::ReachLost { pool, usable });
    }
}

fn show(gateway: &Gateway) {
    let count = gateway.reach.borrow().lost_pools().count();
    let gauge = &gateway.metrics.unreached_pools;
    gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
}
