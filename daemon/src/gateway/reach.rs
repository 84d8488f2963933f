//! Records whether connections to upstreams come about, and with that whether this node reaches the
//! pools at all.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use monsoonbank_kernel::gateway::backlog;
use monsoonbank_kernel::gateway::gossip::GossipUrgency;
use monsoonbank_kernel::gateway::reach::ReachChange;
use monsoonbank_kernel::gateway::registry::UpstreamKey;

use crate::gateway::decisions::{NodeDecision, millis};
use crate::gateway::{Gateway, connections};

/// Number of pools out of reach in one heartbeat, five bytes each.
const MAX_REPORTS: usize = 8;
/// Number of upstreams of a pool that are probed at a time.
const PROBES: usize = 2;
/// Interval between probes of a pool that is or may be out of reach.
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
    let change = reach.failed(pool, key, usable, gateway.now());
    drop(reach);
    match change {
        ReachChange::Unchanged => return,
        ReachChange::Suspected => {}
        ReachChange::Lost => {
            close_idle(gateway, pool);
            // Calls that wait for upstreams of the pool go through other nodes.
            gateway.capacity_notify.notify_waiters();
            publish(gateway);
            gateway
                .decisions
                .record(NodeDecision::ReachLost { pool, usable });
        }
    }
    gateway.reach_notify.notify_one();
}

/// Returns the hashes of pools that are out of reach, for the next heartbeat.
pub fn lost_hashes(gateway: &Gateway) -> Vec<u64> {
    let reach = gateway.reach.borrow();
    let hashes = reach.lost_pools().map(backlog::pool_hash);
    hashes.take(MAX_REPORTS).collect()
}

/// Starts the watch of pools that are or may be out of reach: connections are tried until one comes
/// about.
pub fn start(gateway: &Rc<Gateway>) {
    tokio::task::spawn_local(watch(gateway.clone()));
}

async fn watch(gateway: Rc<Gateway>) {
    let mut turn = 0;
    loop {
        let suspected: Vec<Box<str>> = {
            let reach = gateway.reach.borrow();
            reach.suspected_pools().map(Into::into).collect()
        };
        if suspected.is_empty() {
            gateway.reach_notify.notified().await;
            continue;
        }
        for pool in suspected {
            let targets = probe_targets(&gateway, &pool, turn);
            if targets.is_empty() {
                // Without upstreams there is nothing to reach.
                record_connected(&gateway, &pool);
            }
            let probes = targets.into_iter();
            join_all(probes.map(|(key, address)| probe(&gateway, &pool, key, address))).await;
        }
        turn += 1;
        // A pool that is suspected meanwhile is probed at once.
        let _ = tokio::time::timeout(PROBE_INTERVAL, gateway.reach_notify.notified()).await;
    }
}

/// Returns two upstreams of the pool, others each turn, and first those that have not failed.
fn probe_targets(gateway: &Gateway, pool: &str, turn: usize) -> Vec<(UpstreamKey, SocketAddr)> {
    let registry = gateway.registry.borrow();
    let reach = gateway.reach.borrow();
    let usable = registry.usable(pool).map(|(key, _)| key);
    let (mut failed, mut targets): (Vec<_>, Vec<_>) =
        usable.partition(|key| reach.has_failed(pool, *key));
    for keys in [&mut failed, &mut targets] {
        let shift = turn * PROBES % keys.len().max(1);
        keys.rotate_left(shift);
    }
    targets.extend(failed);
    let targets = targets.into_iter().take(PROBES);
    let address = |key| Some((key, registry.get(key)?.entry.address));
    targets.filter_map(address).collect()
}

async fn probe(gateway: &Gateway, pool: &str, key: UpstreamKey, address: SocketAddr) {
    let opened = &gateway.metrics.connections_opened;
    opened.with_label_values(&[pool]).inc();
    match connections::open(key, address).await {
        Ok(connection) => {
            record_connected(gateway, pool);
            gateway.connections.release(connection, None, gateway.now());
        }
        Err(error) => {
            record_failed(gateway, pool, key);
            log::debug!("a probe of pool {pool} failed: {error}");
        }
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
