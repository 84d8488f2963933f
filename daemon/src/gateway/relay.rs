//! Sends a call to upstreams until one answers or the router gives up.

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use monsoonbank_kernel::gateway::eligibility;
use monsoonbank_kernel::gateway::outcome::AttemptEnd;
use monsoonbank_kernel::gateway::returns::RefusedAttempt;
use monsoonbank_kernel::gateway::rules::AnswerForm;
use monsoonbank_platform::answer;

use crate::gateway::Gateway;
use crate::gateway::admission::{Call, CallOrigin};
use crate::gateway::attempt::{self, AnswerProgress, CallProgress, FailedAttempt, OpenAttempt};
use crate::gateway::buffers::{self, BufferError};
use crate::gateway::indirect::PeerAnswer;
use crate::gateway::reply::{self, Reply};
use crate::gateway::stream::OpenStream;
use crate::gateway::tracker::{CallOutcome, CallTracker};
use crate::gateway::{indirect, liveness, quarantine, sending, starts, stream, usage};

/// `Retry-After` of a rejected call: about the time in which a full engine frees slots.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Longest `Retry-After`, since upstreams may be added before a long pause ends.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Added to `Retry-After` for each tier if a whole pool pauses, so that urgent callers come first.
const RANK_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Answer to a call.
enum CallAnswer {
    /// An upstream's, complete in memory.
    Whole(Reply),
    /// An upstream's stream, of which the first event has arrived.
    Stream(Box<OpenStream>),
    /// Another node's.
    Peer(PeerAnswer),
}

/// Sends a call to upstreams and returns the answer for the caller.
pub async fn forward(gateway: Rc<Gateway>, mut call: Rc<Call>) -> Reply {
    let mut tracker = CallTracker::new(&gateway, &call);
    let mut progress = CallProgress::new(call.origin);
    let answered = tokio::select! {
        biased;
        answered = find_answer(&gateway, &mut call, &mut tracker, &mut progress) => answered,
        () = gateway.answer_time_over() => Err(interrupt(&mut progress)),
    };
    match answered {
        Ok(CallAnswer::Whole(reply)) => reply,
        Ok(CallAnswer::Stream(opened)) => {
            tracker.first_piece();
            tracker.status = opened.status().as_u16();
            stream::forward(gateway, call, tracker, progress, *opened)
        }
        Ok(CallAnswer::Peer(answer)) => indirect::pass_on(gateway, tracker, &progress, answer),
        Err(failed) if is_declined(&call, &progress, &failed) => indirect::decline(tracker),
        Err(failed) => give_up(&gateway, tracker, &progress, failed),
    }
}

/// Ends a call that has no answer when the node is about to exit.
fn interrupt(progress: &mut CallProgress) -> FailedAttempt {
    progress.history.may_have_run |= progress.in_flight;
    FailedAttempt::new(AttemptEnd::Unreached, &"this node shuts down")
}

/// Returns whether a call is left to the node that sent it, which may ask another one.
fn is_declined(call: &Call, progress: &CallProgress, failed: &FailedAttempt) -> bool {
    failed.end == AttemptEnd::Unreached
        && call.origin != CallOrigin::Caller
        && !progress.history.may_have_run
}

async fn find_answer(
    gateway: &Rc<Gateway>,
    call: &mut Rc<Call>,
    tracker: &mut CallTracker,
    progress: &mut CallProgress,
) -> Result<CallAnswer, FailedAttempt> {
    let software = starts::find(gateway, call).await;
    progress.software =
        software.map_err(|error| FailedAttempt::new(AttemptEnd::NotSent, &error))?;
    if let Some(bound) = starts::at_first_pool(gateway, call, progress.software) {
        *call = Rc::new(bound);
        tracker.set_call(call);
    }
    loop {
        let attempt = match sending::next_attempt(gateway, call, progress, None).await {
            Ok(attempt) => attempt,
            Err(failed) if failed.end == AttemptEnd::Unreached => {
                match indirect::ask_others(gateway, call, progress).await {
                    Ok(answer) => return Ok(CallAnswer::Peer(answer)),
                    Err(failed) if failed.end.was_sent() || call.origin != CallOrigin::Caller => {
                        return Err(failed);
                    }
                    Err(_) => progress.here_only = true,
                }
                continue;
            }
            Err(failed) => return Err(failed),
        };
        let key = attempt.work.key;
        let answered = match call.class.form {
            AnswerForm::Whole => {
                let answer = progress.answer;
                let reply = forward_whole(gateway, call, attempt, tracker, &answer).await;
                reply.map(CallAnswer::Whole)
            }
            AnswerForm::Events { .. } => match stream::first_event(gateway, call, attempt).await {
                Ok(opened) => {
                    starts::record(gateway, call, opened.software()).await;
                    Ok(CallAnswer::Stream(Box::new(opened)))
                }
                Err(failed) => Err(failed),
            },
        };
        let failed = match answered {
            Ok(answer) => return Ok(answer),
            Err(failed) => failed,
        };
        if !attempt::record_failure(gateway, call, progress, key, &failed) {
            return Err(failed);
        }
    }
}

async fn forward_whole(
    gateway: &Rc<Gateway>,
    call: &Call,
    attempt: OpenAttempt,
    tracker: &mut CallTracker,
    answer: &AnswerProgress,
) -> Result<Reply, FailedAttempt> {
    let OpenAttempt {
        connection,
        work,
        response,
        ..
    } = attempt;
    let (parts, body) = response.into_parts();
    usage::count(gateway, call, gateway.now().saturating_sub(work.since));
    let reading = buffers::read_whole(&gateway.buffers, &connection.allowance, body);
    let body = match liveness::wait(gateway, call, work.key, reading).await? {
        Err(BufferError::Broken(error)) => return Err(FailedAttempt::broken(&error)),
        Err(error) => return Err(FailedAttempt::new(AttemptEnd::Lost, &error)),
        Ok(body) => body,
    };
    let now = gateway.now();
    gateway
        .connections
        .release(connection, answer::keep_alive(&parts.headers), now);
    let mut reply = reply::whole(parts.status, body);
    *reply.headers_mut() = answer::end_to_end_headers(&parts.headers);
    tracker.first_piece();
    tracker.framing = Some(answer::framing(&parts.headers));
    tracker.status = parts.status.as_u16();
    if !parts.status.is_success() {
        return Err(FailedAttempt::answered(parts.status, reply));
    }
    if let Some(upstream) = gateway.registry.borrow_mut().get_mut(work.key) {
        upstream.health.succeeded(now);
    }
    quarantine::record_success(gateway, call, answer);
    tracker.set(CallOutcome::Answered);
    Ok(reply)
}

/// Returns the `Retry-After` for a call that no upstream of its pool accepted.
fn pool_retry_after(gateway: &Gateway, call: &Call) -> Duration {
    let registry = gateway.registry.borrow();
    let Some(left) = eligibility::eligible_in(&registry, &call.pool, &[], gateway.now()) else {
        return BUSY_RETRY_AFTER;
    };
    left.clamp(BUSY_RETRY_AFTER, MAX_RETRY_AFTER) + RANK_RETRY_AFTER * u32::from(call.tier)
}

/// Records a refused call, whose caller may come back with the same content.
fn record_refused(gateway: &Gateway, call: &Call) {
    let attempt = RefusedAttempt {
        first: call.first_started,
        started: call.started,
        left: call.head.time_left.unwrap_or(call.class.timeout),
    };
    let mut returns = gateway.returns.borrow_mut();
    returns.record_refused(call.content, attempt);
}

/// Builds the answer for a call that has no other one.
pub fn give_up(
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
        None => {
            record_refused(gateway, tracker.call());
            let pause = failed
                .pause
                .unwrap_or_else(|| pool_retry_after(gateway, tracker.call()));
            (CallOutcome::NotRun, reply::not_run(&failed.reason, pause))
        }
    };
    tracker.status = reply.status().as_u16();
    tracker.set(outcome);
    reply
}
