//! Sends a call to upstreams until the head of an answer arrives.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use monsoonbank_kernel::gateway::choice::UpstreamChoice;
use monsoonbank_kernel::gateway::eligibility;
use monsoonbank_kernel::gateway::outcome::AttemptEnd;
use monsoonbank_kernel::gateway::registry::UpstreamKey;
use monsoonbank_platform::answer::{self, AnswerKind};
use monsoonbank_platform::head::{self, RoutingHeaders};

use crate::account::MemoryError;
use crate::body::SentBody;
use crate::gateway::Gateway;
use crate::gateway::admission::{self, Call, CallOrigin};
use crate::gateway::attempt::{
    self, AnswerProgress, CallProgress, FailedAttempt, OpenAttempt, WithheldError,
};
use crate::gateway::connections::{self, ConnectionError};
use crate::gateway::decisions::{CallDecision, millis};
use crate::gateway::waiting::WaitError;
use crate::gateway::work::WorkGuard;
use crate::gateway::{liveness, notices, quarantine, reach, waiting};

/// Phase of a call that waited for an upstream, in lines and metrics.
const NO_MEMORY_WAITING: &str = "waiting";

/// Sends the call until the head of an answer to it arrives. `after` is the id of the last event
/// that the caller has received.
pub async fn next_attempt(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    progress: &mut CallProgress,
    after: Option<u64>,
) -> Result<OpenAttempt, FailedAttempt> {
    loop {
        quarantine::check(gateway, call).map_err(|error| FailedAttempt::withheld(error.into()))?;
        let choice = tokio::select! {
            biased;
            error = call.body.hold().evicted() => return Err(no_memory(gateway, call, error)),
            found = waiting::wait_for_capacity(gateway, call, progress) => {
                found.map_err(|error| FailedAttempt::new(wait_end(error, call.origin), &error))?
            }
        };
        let pinned = call.body.hold().pin();
        pinned.map_err(|error| no_memory(gateway, call, error))?;
        progress.tried.push(choice.key);
        match send(gateway, call, progress, &choice, after).await {
            Ok(attempt) => return Ok(attempt),
            Err(failed) => {
                if !attempt::record_failure(gateway, call, progress, choice.key, &failed) {
                    return Err(failed);
                }
            }
        }
    }
}

/// Creates the failure of a call that gave way to another one while it waited. It has not run.
pub fn no_memory(gateway: &Gateway, call: &Call, error: MemoryError) -> FailedAttempt {
    admission::record_no_memory(gateway, &call.head.id, NO_MEMORY_WAITING, error);
    FailedAttempt {
        pause: Some(error.retry_after),
        ..FailedAttempt::new(AttemptEnd::NotSent, &error)
    }
}

async fn send(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    progress: &mut CallProgress,
    choice: &UpstreamChoice,
    after: Option<u64>,
) -> Result<OpenAttempt, FailedAttempt> {
    let not_sent = |reason: &dyn std::fmt::Display| FailedAttempt::new(AttemptEnd::NotSent, reason);
    let entry = {
        let registry = gateway.registry.borrow();
        let upstream = eligibility::check(&registry, choice.key, gateway.now())
            .map_err(|error| FailedAttempt::withheld(error.into()))?;
        upstream.entry.clone()
    };
    let work = WorkGuard::begin(gateway, call, choice);
    let mut connection = if let Some(connection) =
        gateway
            .connections
            .acquire(choice.key, call.class.safety, gateway.now())
    {
        connection
    } else {
        let connection = connections::open(choice.key, entry.address).await;
        gateway
            .metrics
            .connections_opened
            .with_label_values(&[&*call.pool])
            .inc();
        match connection {
            Ok(connection) => {
                reach::record_connected(gateway, &call.pool);
                connection
            }
            Err(error) => {
                reach::record_failed(gateway, &call.pool, choice.key);
                return Err(FailedAttempt::new(connect_end(&error), &error));
            }
        }
    };
    let now = gateway.now();
    if now >= call.deadline {
        return Err(not_sent(&"the deadline has passed"));
    }
    check_again(gateway, call, choice.key).map_err(FailedAttempt::withheld)?;
    let time_left = call.deadline.saturating_sub(now);
    let source = choice.fetch_from;
    let fetch_from = source.and_then(|source| address_of(gateway, source));
    let request = request(call, &entry.id, fetch_from, time_left, after);
    count_send(gateway, call, progress);
    progress.answer = AnswerProgress {
        sent_at: now,
        ..AnswerProgress::default()
    };
    gateway.decisions.record(CallDecision::Sent {
        call: &call.head.id,
        upstream: &entry.id,
        software: &entry.version,
        attempt: progress.history.sends,
        cost: choice.cost as i64,
        unread: choice.prefill_tokens,
        shared: call.head.prompt.shared_tokens(),
        known: choice.known_tokens,
        kept: choice.cached_tokens,
        fetches: choice.fetch_from.is_some(),
        left_ms: millis(time_left),
    });
    let answer = connection.sender.try_send_request(request);
    let response = match liveness::wait(gateway, call, choice.key, answer).await? {
        Err(error) if error.message().is_some() => return Err(not_sent(error.error())),
        Err(error) => return Err(FailedAttempt::broken(error.error())),
        Ok(response) => response,
    };
    connection.allowance.renew();
    progress.answer.head_at = Some(gateway.now());
    let head = answer::decode(response.status(), response.headers(), &call.head.id);
    notices::apply_head(gateway, choice.key, &head);
    match head.kind {
        AnswerKind::Success | AnswerKind::Failure => Ok(OpenAttempt {
            connection,
            work,
            software: entry.software(),
            response,
        }),
        AnswerKind::NotRun => Err(FailedAttempt::new(AttemptEnd::Refused, &response.status())),
        AnswerKind::Moved => Err(FailedAttempt::new(
            AttemptEnd::Moved,
            &"another incarnation",
        )),
        AnswerKind::Foreign => Err(FailedAttempt::new(
            AttemptEnd::Lost,
            &"not the call's answer",
        )),
    }
}

/// Last check before a call is sent, which covers what became known since its upstream was chosen.
fn check_again(gateway: &Gateway, call: &Call, key: UpstreamKey) -> Result<(), WithheldError> {
    eligibility::check(&gateway.registry.borrow(), key, gateway.now())?;
    quarantine::begin_send(gateway, call)?;
    Ok(())
}

fn wait_end(error: WaitError, origin: CallOrigin) -> AttemptEnd {
    match error {
        WaitError::Unreached => AttemptEnd::Unreached,
        // The node that sent it may ask another one.
        WaitError::Leaving if origin != CallOrigin::Caller => AttemptEnd::Unreached,
        WaitError::NoRoom
        | WaitError::Paused
        | WaitError::TooLate
        | WaitError::NoVersion
        | WaitError::Leaving => AttemptEnd::NotSent,
    }
}

fn connect_end(error: &ConnectionError) -> AttemptEnd {
    match error {
        ConnectionError::Refused(source) if source.kind() == ErrorKind::ConnectionRefused => {
            AttemptEnd::Unreachable
        }
        ConnectionError::Refused(_) | ConnectionError::TimedOut | ConnectionError::Broken(_) => {
            AttemptEnd::NotSent
        }
    }
}

/// Returns the address from which other upstreams may fetch cached prompt parts; `None` if the
/// upstream does not accept calls.
fn address_of(gateway: &Gateway, key: UpstreamKey) -> Option<SocketAddr> {
    let registry = gateway.registry.borrow();
    let upstream = eligibility::check(&registry, key, gateway.now()).ok()?;
    Some(upstream.entry.address)
}

fn count_send(gateway: &Gateway, call: &Call, progress: &mut CallProgress) {
    progress.history.sends += 1;
    progress.in_flight = true;
    if progress.history.sends == 1 {
        let mut budgets = gateway.budgets.borrow_mut();
        budgets
            .entry(call.pool.clone())
            .or_default()
            .count_call(gateway.now());
    }
}

fn request(
    call: &Call,
    upstream: &str,
    fetch_from: Option<SocketAddr>,
    time_left: Duration,
    after: Option<u64>,
) -> Request<SentBody> {
    let mut request = Request::new(SentBody::from(&call.body));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = call.headers.clone();
    let routing = RoutingHeaders {
        upstream,
        workspace: call.workspace.as_deref(),
        time_left,
        tier: call.engine.map(|_| call.tier),
        fetch_from,
        last_event: after.or(call.head.last_event),
    };
    head::encode_routing(request.headers_mut(), &routing);
    request
}
