//! Waits for what an upstream says, and finds out whether its host is still there.
//!
//! A host that goes dark after it has acknowledged a request breaks no connection: nothing of ours is
//! unacknowledged. A new connection tells a dark host from a slow upstream, which accepts.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use monsoonbank_kernel::gateway::outcome::AttemptEnd;
use monsoonbank_kernel::gateway::registry::UpstreamKey;
use monsoonbank_kernel::gateway::rules::CallSafety;

use crate::gateway::Gateway;
use crate::gateway::admission::Call;
use crate::gateway::connections;
use crate::gateway::relay::FailedAttempt;

/// Least silence after which a host is asked: a sound engine's pauses are below this, and each
/// question is one connection.
const LEAST_SILENCE: Duration = Duration::from_millis(500);
/// Questions in a row that must fail: one may be lost on its way.
const FAILED_QUESTIONS: u32 = 2;

/// Waits until `waiting` is done or the call's deadline has passed. For a call that can go on at
/// another upstream, the wait also ends when the upstream's host takes no more connections.
pub async fn wait<T>(
    gateway: &Gateway,
    call: &Call,
    key: UpstreamKey,
    waiting: impl Future<Output = T>,
) -> Result<T, FailedAttempt> {
    let mut waiting = pin!(waiting);
    let silence = call
        .class
        .gap
        .unwrap_or(call.class.target)
        .max(LEAST_SILENCE);
    let mut failed_questions = 0;
    loop {
        let left = call.deadline.saturating_sub(gateway.now());
        if let Ok(heard) = tokio::time::timeout(left.min(silence), &mut waiting).await {
            return Ok(heard);
        }
        if gateway.now() >= call.deadline {
            return Err(lost("the deadline has passed"));
        }
        if call.class.safety != CallSafety::Idempotent {
            continue;
        }
        tokio::select! {
            heard = &mut waiting => return Ok(heard),
            there = is_there(gateway, key) => {
                failed_questions = if there { 0 } else { failed_questions + 1 };
            }
        }
        if failed_questions >= FAILED_QUESTIONS {
            return Err(lost("its host takes no more connections"));
        }
    }
}

fn lost(reason: &str) -> FailedAttempt {
    FailedAttempt::new(AttemptEnd::Lost, &reason)
}

async fn is_there(gateway: &Gateway, key: UpstreamKey) -> bool {
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
            gateway.connections.release(connection, None, gateway.now());
            true
        }
        Err(error) => {
            log::debug!("the host of {} was asked: {error}", entry.id);
            false
        }
    }
}
