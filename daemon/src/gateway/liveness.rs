//! Waits for data from an upstream and probes whether its host is still reachable.
//!
//! A host that becomes unreachable after it has acknowledged a request breaks no connection, since
//! no sent data is left unacknowledged. A new connection distinguishes an unreachable host from a
//! slow upstream, whose host still accepts.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use monsoonbank_kernel::gateway::outcome::AttemptEnd;
use monsoonbank_kernel::gateway::registry::UpstreamKey;
use monsoonbank_kernel::gateway::rules::CallSafety;

use crate::gateway::Gateway;
use crate::gateway::admission::Call;
use crate::gateway::attempt::FailedAttempt;
use crate::gateway::{connections, reach};

/// Shortest silence after which a host is probed. A healthy engine pauses for less, and each probe
/// costs one connection.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// Silence from which on failed probes count. A sound upstream may be silent for a second or so.
const SOUND_SILENCE: Duration = Duration::from_millis(1500);
/// Number of probes in a row that must fail, since a single one may be lost in the network.
const MAX_FAILED_PROBES: u32 = 2;

/// Waits until `waiting` completes or the call's deadline has passed. For a call that can continue
/// at another upstream, the wait also fails once the upstream's host no longer accepts connections.
pub async fn wait<T>(
    gateway: &Gateway,
    call: &Call,
    key: UpstreamKey,
    waiting: impl Future<Output = T>,
) -> Result<T, FailedAttempt> {
    let mut waiting = pin!(waiting);
    let silence = call.class.gap.unwrap_or(call.class.target).max(MIN_SILENCE);
    let since = gateway.now();
    let mut failed_probes = 0;
    loop {
        let left = call.deadline.saturating_sub(gateway.now());
        if let Ok(received) = tokio::time::timeout(left.min(silence), &mut waiting).await {
            return Ok(received);
        }
        if gateway.now() >= call.deadline {
            return Err(lost("the deadline has passed"));
        }
        if call.class.safety != CallSafety::Idempotent {
            continue;
        }
        tokio::select! {
            received = &mut waiting => return Ok(received),
            reachable = accepts_connection(gateway, key) => {
                failed_probes = if reachable { 0 } else { failed_probes + 1 };
            }
        }
        let is_long = gateway.now().saturating_sub(since) >= SOUND_SILENCE;
        if is_long && failed_probes >= MAX_FAILED_PROBES {
            return Err(lost("its host takes no more connections"));
        }
    }
}

fn lost(reason: &str) -> FailedAttempt {
    FailedAttempt::new(AttemptEnd::Lost, &reason)
}

async fn accepts_connection(gateway: &Gateway, key: UpstreamKey) -> bool {
    let entry = gateway
        .registry
        .borrow()
        .get(key)
        .map(|upstream| upstream.entry.clone());
    let Some(entry) = entry else {
        return false;
    };
    let opened = gateway
        .metrics
        .connections_opened
        .with_label_values(&[&*entry.pool]);
    opened.inc();
    match connections::open(key, entry.address).await {
        Ok(connection) => {
            reach::record_connected(gateway, &entry.pool);
            gateway.connections.release(connection, None, gateway.now());
            true
        }
        Err(error) => {
            reach::record_failed(gateway, &entry.pool, key);
            log::debug!("probe of the host of upstream {} failed: {error}", entry.id);
            false
        }
    }
}
