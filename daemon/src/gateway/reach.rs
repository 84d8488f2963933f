//! Records whether connections to upstreams come about, and with that whether this node reaches the
//! pools at all.

use std::rc::Rc;
use std::time::Duration;

use monsoonbank_kernel::gateway::backlog;
use monsoonbank_kernel::gateway::gossip::GossipUrgency;
use monsoonbank_kernel::gateway::registry::UpstreamKey;

use crate::gateway::decisions::{NodeDecision, millis};
use crate::gateway::{Gateway, connections};

/// Number of pools out of reach in one heartbeat, up to nine bytes each.
const MAX_REPORTS: usize = 8;
/// Interval between probes of a pool that is out of reach.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Records that a connection to an upstream of the pool was established.
pub fn record_connected(gateway: &Gateway, pool: &str) {
    let lost_for = gateway.reach.borrow_mut().connected(pool, gateway.now());
    if let Some(lost_for) = lost_for {
        publish(gateway);
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
        close_idle(gateway, pool);
        // Calls that wait for upstreams of the pool go through other nodes.
        gateway.capacity_notify.notify_waiters();
        gateway.reach_notify.notify_one();
        publish(gateway);
        gateway
            .decisions
            .record(NodeDecision::ReachLost { pool, usable });
    }
}

/// Returns the hashes of pools that are out of reach, for the next heartbeat.
pub fn lost_hashes(gateway: &Gateway) -> Vec<u64> {
    let reach = gateway.reach.borrow();
    let hashes = reach.lost_pools().map(backlog::pool_hash);
    hashes.take(MAX_REPORTS).collect()
}

/// Starts the watch of pools that are out of reach: connections are tried until one comes about.
pub fn start(gateway: &Rc<Gateway>) {
    tokio::task::spawn_local(watch(gateway.clone()));
}

async fn watch(gateway: Rc<Gateway>) {
    let mut turn = 0;
    loop {
        let lost: Vec<Box<str>> = {
            let reach = gateway.reach.borrow();
            reach.lost_pools().map(Into::into).collect()
        };
        if lost.is_empty() {
            gateway.reach_notify.notified().await;
            continue;
        }
        for pool in lost {
            probe(&gateway, &pool, turn).await;
        }
        turn += 1;
        // A pool that is lost meanwhile is probed at once.
        let _ = tokio::time::timeout(PROBE_INTERVAL, gateway.reach_notify.notified()).await;
    }
}

/// Tries a connection to one upstream of the pool, another one each turn. A pool without upstreams
/// counts as in reach.
async fn probe(gateway: &Gateway, pool: &str, turn: usize) {
    let target = {
        let registry = gateway.registry.borrow();
        let count = registry.usable_count(pool).max(1);
        let usable = registry.usable(pool).nth(turn % count);
        usable.map(|(key, upstream)| (key, upstream.entry.address))
    };
    let Some((key, address)) = target else {
        record_connected(gateway, pool);
        return;
    };
    let opened = &gateway.metrics.connections_opened;
    opened.with_label_values(&[pool]).inc();
    match connections::open(key, address).await {
        Ok(connection) => {
            record_connected(gateway, pool);
            gateway.connections.release(connection, None, gateway.now());
        }
        Err(error) => log::debug!("pool {pool} is still out of reach: {error}"),
    }
}

/// Closes idle connections, which may have been lost without a sign.
fn close_idle(gateway: &Gateway, pool: &str) {
    for (key, _) in gateway.registry.borrow().usable(pool) {
        gateway.connections.close(key);
    }
}

fn publish(gateway: &Gateway) {
    let count = gateway.reach.borrow().lost_pools().count();
    gateway.propagate(GossipUrgency::All);
    let gauge = &gateway.metrics.unreached_pools;
    gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
}
