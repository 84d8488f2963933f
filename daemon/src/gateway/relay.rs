//! Sends a call to upstreams until one answers or the router gives up.

use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use monsoonbank_kernel::gateway::choice::{self, ChoiceInput, UpstreamChoice};
use monsoonbank_kernel::gateway::eligibility::{self, EligibilityError};
use monsoonbank_kernel::gateway::gossip::GossipUrgency;
use monsoonbank_kernel::gateway::heartbeat;
use monsoonbank_kernel::gateway::outcome::{self, AttemptEnd, CallHistory, NextStep};
use monsoonbank_kernel::gateway::registry::UpstreamKey;
use monsoonbank_kernel::gateway::rules::{AnswerForm, CallSafety};
use monsoonbank_platform::answer::{self, AnswerKind};
use monsoonbank_platform::head::{self, RoutingHeaders};
use thiserror::Error;

use crate::gateway::Gateway;
use crate::gateway::admission::Call;
use crate::gateway::connections::{self, ConnectionError, UpstreamConnection};
use crate::gateway::decisions::{Decision, millis};
use crate::gateway::quarantine::QuarantineError;
use crate::gateway::reply::{self, Reply};
use crate::gateway::tracker::{CallOutcome, CallTracker};
use crate::gateway::work::WorkGuard;
use crate::gateway::{liveness, notices, quarantine, stream, usage, waiting};

/// Largest answer that is buffered to be forwarded, in bytes. Plain services answer with a few kB.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Number of attempts in which a call was not sent after which it is rejected. A failed connection
/// costs a few ms, or its time limit if the host is down.
const MAX_FAILED_CONNECTS: usize = 8;
/// `Retry-After` of a rejected call: about the time in which a full engine frees slots.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Longest `Retry-After`, since upstreams may be added before a long pause ends.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Added to `Retry-After` for each tier if a whole pool pauses, so that urgent callers come first.
const RANK_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Progress of a call over its attempts.
#[derive(Debug, Default)]
pub struct CallProgress {
    /// Upstreams that the call was sent to or could not be sent to.
    pub tried: Vec<UpstreamKey>,
    /// Outcomes of the attempts so far.
    pub history: CallHistory,
    connects: usize,
}

/// An attempt for which the head of an answer has arrived.
pub struct OpenAttempt {
    /// Connection that carries the answer.
    pub connection: UpstreamConnection,
    /// Accounting of the attempt's work at the upstream.
    pub work: WorkGuard,
    /// Head of the answer, with its body still to be read.
    pub response: Response<Incoming>,
}

/// Reason why a call is not sent to the upstream that was chosen for it.
#[derive(Clone, Copy, Debug, Error)]
enum WithheldError {
    /// The upstream does not accept calls.
    #[error("{0}")]
    Upstream(#[from] EligibilityError),
    /// The call's content is quarantined.
    #[error("{0}")]
    Content(#[from] QuarantineError),
}

/// An attempt that produced no answer to forward.
pub struct FailedAttempt {
    /// Kind of the failure, which decides whether the call is retried.
    pub end: AttemptEnd,
    /// Details, for the decision line and the caller.
    pub reason: Box<str>,
    /// Failure answer of the upstream itself, if it sent one.
    pub answer: Option<Reply>,
    /// Whether the connection broke during the attempt, which may be a crash of the upstream.
    pub connection_lost: bool,
    /// `Retry-After` for the caller; `None` means the time for a full or pausing pool.
    pub pause: Option<Duration>,
}

impl FailedAttempt {
    /// Creates an attempt that ended in this way.
    pub fn new(end: AttemptEnd, reason: &dyn std::fmt::Display) -> Self {
        Self {
            end,
            reason: reason.to_string().into(),
            answer: None,
            connection_lost: false,
            pause: None,
        }
    }

    /// Creates an attempt that the upstream answered with a failure of its own.
    pub fn answered(status: StatusCode, answer: Reply) -> Self {
        Self {
            answer: Some(answer),
            ..Self::new(AttemptEnd::Failed, &status)
        }
    }

    fn withheld(error: WithheldError) -> Self {
        let pause = match error {
            WithheldError::Upstream(_) => None,
            WithheldError::Content(quarantine) => Some(quarantine.pause),
        };
        Self {
            pause,
            ..Self::new(AttemptEnd::Withheld, &error)
        }
    }

    /// Creates an attempt whose connection failed with this error after the call was sent.
    pub fn broken(error: &hyper::Error) -> Self {
        Self {
            // A malformed answer shows that the upstream is still running.
            connection_lost: !error.is_parse(),
            ..Self::new(AttemptEnd::Lost, error)
        }
    }
}

/// Sends a call to upstreams and returns the answer for the caller.
pub async fn forward(gateway: Rc<Gateway>, call: Rc<Call>) -> Reply {
    let mut tracker = CallTracker::new(&gateway, &call);
    let mut progress = CallProgress::default();
    loop {
        let attempt = match next_attempt(&gateway, &call, &mut progress, None).await {
            Ok(attempt) => attempt,
            Err(failed) => return give_up(&gateway, tracker, &progress, failed),
        };
        let key = attempt.work.key;
        let answered = match call.class.form {
            AnswerForm::Whole => forward_whole(&gateway, &call, attempt, &mut tracker).await,
            AnswerForm::Events { .. } => {
                match stream::first_event(&gateway, &call, attempt).await {
                    Ok(opened) => {
                        tracker.first_piece();
                        tracker.status = opened.status().as_u16();
                        return stream::forward(gateway, call, tracker, progress, opened);
                    }
                    Err(failed) => Err(failed),
                }
            }
        };
        match answered {
            Ok(reply) => return reply,
            Err(failed) => {
                if !record_failure(&gateway, &call, &mut progress, key, &failed) {
                    return give_up(&gateway, tracker, &progress, failed);
                }
            }
        }
    }
}

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
        let choice = waiting::wait_for_capacity(gateway, call, progress)
            .await
            .map_err(|end| FailedAttempt::new(AttemptEnd::NotSent, &end))?;
        progress.tried.push(choice.key);
        match attempt(gateway, call, progress, &choice, after).await {
            Ok(attempt) => return Ok(attempt),
            Err(failed) => {
                if !record_failure(gateway, call, progress, choice.key, &failed) {
                    return Err(failed);
                }
            }
        }
    }
}

/// Returns the upstream for a call; `None` if none has capacity.
pub fn choose(gateway: &Gateway, call: &Call, progress: &CallProgress) -> Option<UpstreamChoice> {
    let senders = gateway.fleet.borrow().sender_hashes();
    let silent = gateway.fleet.borrow().silent_senders(gateway.now());
    let input = ChoiceInput {
        pool: &call.pool,
        zone: &gateway.settings.zone,
        node: heartbeat::node_hash(&gateway.settings.name),
        senders: &senders,
        silent_senders: silent,
        prompt: &call.head.prompt,
        target: call.class.target,
        tier: call.tier,
        tiers: call.tiers,
        tight: call.tight,
        repeatable: call.class.safety == CallSafety::Idempotent,
        cache_tokens: call.engine.map_or(0, |engine| engine.cache_tokens),
        tried: &progress.tried,
        now: gateway.now(),
    };
    choice::choose(&gateway.registry.borrow(), &input)
}

/// Records a failed attempt in the upstream's health. Returns whether to retry the call.
pub fn record_failure(
    gateway: &Gateway,
    call: &Call,
    progress: &mut CallProgress,
    key: UpstreamKey,
    failed: &FailedAttempt,
) -> bool {
    let now = gateway.now();
    progress.history.may_have_run |= failed.end.may_have_run();
    if failed.connection_lost {
        report_crash(gateway, call, key);
    }
    let retry_allowed = may_retry(gateway, call, progress, failed.end, now);
    let next = outcome::next_step(
        failed.end,
        call.class.safety,
        progress.history,
        retry_allowed,
    );
    let mut registry = gateway.registry.borrow_mut();
    if failed.end == AttemptEnd::Moved {
        registry.record_replacement(key);
        gateway.registry_notify.notify_waiters();
    }
    let Some(upstream) = registry.get_mut(key) else {
        return next == NextStep::Retry;
    };
    let backed_off = match failed.end {
        AttemptEnd::Unreachable => upstream.health.unreachable(now),
        AttemptEnd::NotSent | AttemptEnd::Lost if now < call.deadline => {
            upstream.health.unanswered(now)
        }
        AttemptEnd::Failed | AttemptEnd::Refused => upstream.health.failed(now),
        AttemptEnd::NotSent | AttemptEnd::Lost | AttemptEnd::Withheld | AttemptEnd::Moved => false,
    };
    let end = failed.end.to_string();
    gateway
        .metrics
        .attempts
        .with_label_values(&[&*call.pool, end.as_str()])
        .inc();
    gateway.decisions.record(&Decision::AttemptEnded {
        call: &call.head.id,
        upstream: &upstream.entry.id,
        end: &end,
        next: &next.to_string(),
        reason: &failed.reason,
    });
    if backed_off {
        gateway.propagate(GossipUrgency::Calls);
        gateway.decisions.record(&Decision::UpstreamRests {
            upstream: &upstream.entry.id,
            failures: upstream.health.failure_share(),
            told: upstream.health.reports_failing(now),
            rest_ms: millis(upstream.health.backoff_left(now)),
        });
    }
    next == NextStep::Retry
}

fn report_crash(gateway: &Gateway, call: &Call, key: UpstreamKey) {
    let entry = gateway
        .registry
        .borrow()
        .get(key)
        .map(|upstream| upstream.entry.clone());
    if let Some(entry) = entry {
        quarantine::record_crash(gateway, call, &entry.id, entry.run_hash());
    }
}

fn may_retry(
    gateway: &Gateway,
    call: &Call,
    progress: &mut CallProgress,
    end: AttemptEnd,
    now: Duration,
) -> bool {
    if now >= call.deadline {
        return false;
    }
    if !end.was_sent() {
        progress.connects += 1;
        return progress.connects < MAX_FAILED_CONNECTS;
    }
    if progress.history.sends >= call.class.max_attempts {
        return false;
    }
    if call.class.safety == CallSafety::AtMostOnce && progress.history.may_have_run {
        return false;
    }
    let nodes = gateway.node_count();
    let spec = gateway.settings.retries.spec();
    let mut budgets = gateway.budgets.borrow_mut();
    budgets
        .entry(call.pool.clone())
        .or_default()
        .try_retry(now, &spec, nodes)
}

async fn attempt(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
    progress: &mut CallProgress,
    choice: &UpstreamChoice,
    after: Option<u64>,
) -> Result<OpenAttempt, FailedAttempt> {
    let not_sent = |reason: &dyn std::fmt::Display| FailedAttempt::new(AttemptEnd::NotSent, reason);
    let (id, address) = {
        let registry = gateway.registry.borrow();
        let upstream = eligibility::check(&registry, choice.key, gateway.now())
            .map_err(|error| FailedAttempt::withheld(error.into()))?;
        (upstream.entry.id.clone(), upstream.entry.address)
    };
    let work = WorkGuard::begin(gateway, call, choice);
    let mut connection = if let Some(connection) =
        gateway
            .connections
            .acquire(choice.key, call.class.safety, gateway.now())
    {
        connection
    } else {
        let connection = connections::open(choice.key, address).await;
        gateway
            .metrics
            .connections_opened
            .with_label_values(&[&*call.pool])
            .inc();
        connection.map_err(|error| FailedAttempt::new(connect_end(&error), &error))?
    };
    let now = gateway.now();
    if now >= call.deadline {
        return Err(not_sent(&"the deadline has passed"));
    }
    check_again(gateway, call, choice.key).map_err(FailedAttempt::withheld)?;
    let time_left = call.deadline.saturating_sub(now);
    let source = choice.fetch_from;
    let fetch_from = source.and_then(|source| address_of(gateway, source));
    let request = request(call, &id, fetch_from, time_left, after);
    count_send(gateway, call, progress);
    gateway.decisions.record(&Decision::Sent {
        call: &call.head.id,
        upstream: &id,
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
    let head = answer::decode(response.status(), response.headers(), &call.head.id);
    notices::apply_head(gateway, choice.key, &head);
    match head.kind {
        AnswerKind::Success | AnswerKind::Failure => Ok(OpenAttempt {
            connection,
            work,
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
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
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

async fn forward_whole(
    gateway: &Rc<Gateway>,
    call: &Call,
    attempt: OpenAttempt,
    tracker: &mut CallTracker,
) -> Result<Reply, FailedAttempt> {
    let OpenAttempt {
        connection,
        work,
        response,
    } = attempt;
    let (parts, body) = response.into_parts();
    usage::count(gateway, call, gateway.now().saturating_sub(work.since));
    let reading = Limited::new(body, MAX_ANSWER_BYTES).collect();
    let body = match liveness::wait(gateway, call, work.key, reading).await? {
        Err(error) => return Err(body_error(&*error)),
        Ok(body) => body.to_bytes(),
    };
    let now = gateway.now();
    gateway
        .connections
        .release(connection, answer::keep_alive(&parts.headers), now);
    let mut reply = reply::whole(parts.status, body);
    *reply.headers_mut() = answer::end_to_end_headers(&parts.headers);
    tracker.first_piece();
    tracker.status = parts.status.as_u16();
    if !parts.status.is_success() {
        return Err(FailedAttempt::answered(parts.status, reply));
    }
    if let Some(upstream) = gateway.registry.borrow_mut().get_mut(work.key) {
        upstream.health.succeeded(now);
    }
    quarantine::record_success(gateway, call);
    tracker.set(CallOutcome::Answered);
    Ok(reply)
}

/// Converts the error of an answer's body that ended early or is too large.
fn body_error(error: &(dyn Error + 'static)) -> FailedAttempt {
    match error.downcast_ref::<hyper::Error>() {
        Some(error) => FailedAttempt::broken(error),
        None => FailedAttempt::new(AttemptEnd::Lost, &error),
    }
}

/// Returns the `Retry-After` for a call that no upstream of its pool accepted.
fn pool_retry_after(gateway: &Gateway, call: &Call) -> Duration {
    let registry = gateway.registry.borrow();
    let Some(left) = eligibility::eligible_in(&registry, &call.pool, &[], gateway.now()) else {
        return BUSY_RETRY_AFTER;
    };
    left.clamp(BUSY_RETRY_AFTER, MAX_RETRY_AFTER) + RANK_RETRY_AFTER * u32::from(call.tier)
}

fn give_up(
    gateway: &Gateway,
    mut tracker: CallTracker,
    progress: &CallProgress,
    failed: FailedAttempt,
) -> Reply {
    let (outcome, reply) = match failed.answer {
        Some(answer) => (CallOutcome::Failed, answer),
        None if progress.history.may_have_run => {
            let late = gateway.now() >= tracker.call().deadline;
            let status = if late {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::BAD_GATEWAY
            };
            (CallOutcome::Unknown, reply::failure(status, &failed.reason))
        }
        None => (
            CallOutcome::NotRun,
            reply::not_run(
                &failed.reason,
                failed
                    .pause
                    .unwrap_or_else(|| pool_retry_after(gateway, tracker.call())),
            ),
        ),
    };
    tracker.status = reply.status().as_u16();
    tracker.set(outcome);
    reply
}
