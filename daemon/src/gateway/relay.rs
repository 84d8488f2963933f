//! Sends a call to upstreams until one answers or it must be given up.

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

/// Largest answer that is held whole before it is passed on. Plain services answer a few kB.
const MOST_ANSWER_BYTES: usize = 8 << 20;
/// Hosts that may fail to accept a connection before a call is given up: each takes a few ms, or the
/// connection's time limit if it is dark.
const MOST_CONNECTS: usize = 8;
/// What a refused caller is told to wait: about the time in which a full engine frees slots.
const BUSY_PAUSE: Duration = Duration::from_millis(400);
/// Longest time that a caller is told to wait: upstreams may be added before a long pause ends.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);
/// What a caller is told to wait longer for each rank, where a whole pool pauses: the most urgent come back
/// first.
const RANK_PAUSE: Duration = Duration::from_millis(100);

/// What a call has been through.
#[derive(Debug, Default)]
pub struct CallProgress {
    /// Upstreams that it was sent to or could not be sent to.
    pub tried: Vec<UpstreamKey>,
    /// What came of that.
    pub history: CallHistory,
    connects: usize,
}

/// An attempt whose answer's head has come.
pub struct OpenAttempt {
    /// The connection.
    pub connection: UpstreamConnection,
    /// Its work.
    pub work: WorkGuard,
    /// The answer.
    pub response: Response<Incoming>,
}

/// Why a call is not sent to the upstream that was chosen for it.
#[derive(Clone, Copy, Debug, Error)]
enum WithheldError {
    /// The upstream wants no call.
    #[error("{0}")]
    Upstream(#[from] EligibilityError),
    /// The call's content is quarantined.
    #[error("{0}")]
    Content(#[from] QuarantineError),
}

/// An attempt that gave no answer to pass on.
pub struct FailedAttempt {
    /// How it ended.
    pub end: AttemptEnd,
    /// More on it.
    pub reason: Box<str>,
    /// The upstream's own failure, if it gave one.
    pub answer: Option<Reply>,
    /// Whether the upstream's connection broke under it.
    pub connection_lost: bool,
    /// What the caller is told to wait; as long as for a full or pausing pool if none.
    pub pause: Option<Duration>,
}

impl FailedAttempt {
    /// An attempt that ended in this way.
    pub fn new(end: AttemptEnd, reason: &dyn std::fmt::Display) -> Self {
        Self {
            end,
            reason: reason.to_string().into(),
            answer: None,
            connection_lost: false,
            pause: None,
        }
    }

    /// The upstream answered with a failure of its own.
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

    /// The upstream's connection ended with this error after the call was sent.
    pub fn broken(error: &hyper::Error) -> Self {
        Self {
            // An upstream that talks garbage lives.
            connection_lost: !error.is_parse(),
            ..Self::new(AttemptEnd::Lost, error)
        }
    }
}

/// Carries a call to its answer.
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
            AnswerForm::Whole => pass_whole(&gateway, &call, attempt, &mut tracker).await,
            AnswerForm::Events { .. } => {
                match stream::first_event(&gateway, &call, attempt).await {
                    Ok(begun) => {
                        tracker.first_piece();
                        tracker.status = begun.status().as_u16();
                        return stream::forward(gateway, call, tracker, progress, begun);
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

/// Sends the call until the head of an answer to it comes. `after` is the last event that the
/// caller has been given.
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

/// The upstream for a call, if one has room.
pub fn choose(gateway: &Gateway, call: &Call, progress: &CallProgress) -> Option<UpstreamChoice> {
    let rivals = gateway.fleet.borrow().sender_hashes();
    let silent = gateway.fleet.borrow().silent_senders(gateway.now());
    let input = ChoiceInput {
        pool: &call.pool,
        zone: &gateway.settings.zone,
        node: heartbeat::node_hash(&gateway.settings.name),
        senders: &rivals,
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

/// Takes the end of an attempt in. Gives whether to try again.
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
        note_crash(gateway, call, key);
    }
    let room = has_room(gateway, call, progress, failed.end, now);
    let next = outcome::next_step(failed.end, call.class.safety, progress.history, room);
    let mut registry = gateway.registry.borrow_mut();
    if failed.end == AttemptEnd::Moved {
        registry.record_replacement(key);
        gateway.registry_notify.notify_waiters();
    }
    let Some(upstream) = registry.get_mut(key) else {
        return next == NextStep::Retry;
    };
    let rests = match failed.end {
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
    if rests {
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

fn note_crash(gateway: &Gateway, call: &Call, key: UpstreamKey) {
    let entry = gateway
        .registry
        .borrow()
        .get(key)
        .map(|upstream| upstream.entry.clone());
    if let Some(entry) = entry {
        quarantine::record_crash(gateway, call, &entry.id, entry.run_hash());
    }
}

fn has_room(
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
        return progress.connects < MOST_CONNECTS;
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
    pass_gate(gateway, call, choice.key).map_err(FailedAttempt::withheld)?;
    let time_left = call.deadline.saturating_sub(now);
    let keeper = choice.fetch_from;
    let fetch_from = keeper.and_then(|keeper| address_of(gateway, keeper));
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

/// The last look before a call is sent: what became known since its upstream was chosen.
fn pass_gate(gateway: &Gateway, call: &Call, key: UpstreamKey) -> Result<(), WithheldError> {
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

/// Where other upstreams may fetch from this one.
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
    let order = RoutingHeaders {
        upstream,
        workspace: call.workspace.as_deref(),
        time_left,
        tier: call.engine.map(|_| call.tier),
        fetch_from,
        last_event: after.or(call.head.last_event),
    };
    head::encode_routing(request.headers_mut(), &order);
    request
}

async fn pass_whole(
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
    let reading = Limited::new(body, MOST_ANSWER_BYTES).collect();
    let body = match liveness::wait(gateway, call, work.key, reading).await? {
        Err(error) => return Err(unread(&*error)),
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

/// An answer's body did not come whole, or is too large.
fn unread(error: &(dyn Error + 'static)) -> FailedAttempt {
    match error.downcast_ref::<hyper::Error>() {
        Some(error) => FailedAttempt::broken(error),
        None => FailedAttempt::new(AttemptEnd::Lost, &error),
    }
}

/// What the caller of a refused call is told to wait.
fn pool_pause(gateway: &Gateway, call: &Call) -> Duration {
    let registry = gateway.registry.borrow();
    let Some(left) = eligibility::eligible_in(&registry, &call.pool, &[], gateway.now()) else {
        return BUSY_PAUSE;
    };
    left.clamp(BUSY_PAUSE, LONGEST_PAUSE) + RANK_PAUSE * u32::from(call.tier)
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
                    .unwrap_or_else(|| pool_pause(gateway, tracker.call())),
            ),
        ),
    };
    tracker.status = reply.status().as_u16();
    tracker.set(outcome);
    reply
}
