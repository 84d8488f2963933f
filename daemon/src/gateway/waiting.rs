//! Lets a call wait for room at an upstream, and gives up when that takes too long.

use std::rc::Rc;
use std::time::Duration;

use monsoonbank_kernel::gateway::choice::UpstreamChoice;
use monsoonbank_kernel::gateway::eligibility;
use monsoonbank_kernel::gateway::rules::AnswerForm;
use monsoonbank_kernel::gateway::waiting::WaitRank;

use crate::gateway::Gateway;
use crate::gateway::admission::Call;
use crate::gateway::decisions::{Decision, millis};
use crate::gateway::relay::{self, CallProgress};

/// Part of a call's time for which it waits. What is left lets its caller come back once, which
/// may wait up to a third of it.
const PATIENCE_PART: f64 = 0.33;
/// Time after which a waiting call looks again even if nothing was told: work of other nodes ends
/// unseen until their next heartbeat.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Part of a call's target that its way through an upstream takes when it is busy: a call that has
/// waited for the rest of it is late whatever is done.
const SERVING_PART: f64 = 0.5;

/// A place in the list of waiting calls, given up when this is dropped.
struct WaitPlace<'a> {
    gateway: &'a Gateway,
    pool: &'a str,
    rank: WaitRank,
}

impl Drop for WaitPlace<'_> {
    fn drop(&mut self) {
        self.gateway
            .waiting
            .borrow_mut()
            .leave(self.pool, self.rank);
        self.gateway.capacity_notify.notify_waiters();
    }
}

/// Until when a call is likely to be in time if it is sent. What its caller has spent on it before
/// shows in the time that is left of the longest that it may take.
fn send_by(call: &Call) -> Duration {
    let timeout = call.class.timeout;
    let spent = timeout.saturating_sub(call.head.time_left.unwrap_or(timeout));
    let target = call.class.target.mul_f64(1.0 - SERVING_PART);
    (call.started + target).saturating_sub(spent)
}

/// Why a call gets no upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum WaitError {
    /// There is no upstream at all, or none with room in time.
    #[display("no upstream has room")]
    NoRoom,
    /// All upstreams want a pause that is longer than it may wait.
    #[display("all upstreams asked for a pause")]
    Paused,
    /// Its stream would not end in the time that is left.
    #[display("its stream would not end in time")]
    TooLate,
}

/// Whether a call is late already and cannot be expected to end in its time either. Such a call
/// would take an engine's time from others and be cut. One that was sent before goes on.
fn is_in_vain(gateway: &Gateway, call: &Call, progress: &CallProgress, send_by: Duration) -> bool {
    let now = gateway.now();
    if send_by > now || progress.history.sends > 0 {
        return false;
    }
    let (Some(engine), AnswerForm::Events { .. }) = (call.engine, call.class.form) else {
        return false;
    };
    let events = call.head.prompt.expected_events(engine.event_tokens);
    let left = call.deadline.saturating_sub(now);
    let pace = gateway.pace(call);
    if pace.can_finish(events, left) {
        return false;
    }
    gateway.decisions.record(&Decision::TooLate {
        call: &call.head.id,
        expected_events: events as u64,
        needs_ms: millis(pace.expected_duration(events)),
        left_ms: millis(left),
    });
    true
}

/// Whether no upstream wants calls, nor will before the call has waited long enough.
fn pauses_beyond(gateway: &Gateway, call: &Call, progress: &CallProgress, until: Duration) -> bool {
    let now = gateway.now();
    let eligible_in =
        eligibility::eligible_in(&gateway.registry.borrow(), &call.pool, &progress.tried, now);
    let Some(eligible_in) =
        eligible_in.filter(|eligible_in| now.saturating_add(*eligible_in) >= until)
    else {
        return false;
    };
    gateway.decisions.record(&Decision::PoolPaused {
        call: &call.head.id,
        pool: &call.pool,
        opens_ms: (eligible_in < Duration::MAX).then(|| millis(eligible_in)),
    });
    true
}

/// How long a call that comes to wait now may do so: for its part of the time that is left, and no
/// longer than its caller waits for an event that is then sent.
fn waits_until(gateway: &Gateway, call: &Call) -> Duration {
    let now = gateway.now();
    let part = call.deadline.saturating_sub(now).mul_f64(PATIENCE_PART);
    let patience = call.class.event_timeout.unwrap_or(part);
    let first = gateway.pace(call).expected_first_event();
    now + part.min(patience.saturating_sub(first))
}

/// The upstream for a call, once one has room and it is the call's turn.
///
/// # Errors
///
/// If there is none, or the call is not worth sending any more.
pub async fn wait_for_capacity(
    gateway: &Rc<Gateway>,
    call: &Call,
    progress: &CallProgress,
) -> Result<UpstreamChoice, WaitError> {
    let send_by = send_by(call);
    if is_in_vain(gateway, call, progress, send_by) {
        return Err(WaitError::TooLate);
    }
    let blocked = |rank: Option<WaitRank>| {
        let first = gateway.waiting.borrow().first(&call.pool, gateway.now());
        first.is_some_and(|first| match rank {
            Some(rank) => first != rank,
            None => first.tier <= call.tier,
        })
    };
    let until = waits_until(gateway, call);
    if pauses_beyond(gateway, call, progress, until) {
        return Err(WaitError::Paused);
    }
    if !blocked(None)
        && let Some(choice) = relay::choose(gateway, call, progress)
    {
        return Ok(choice);
    }
    let since = gateway.now();
    let rank = gateway
        .waiting
        .borrow_mut()
        .join(&call.pool, call.tier, send_by, call.deadline);
    let place = WaitPlace {
        gateway,
        pool: &call.pool,
        rank,
    };
    let mut found = Err(WaitError::NoRoom);
    while found.is_err() && gateway.now() < until {
        if is_in_vain(gateway, call, progress, send_by) {
            found = Err(WaitError::TooLate);
            break;
        }
        if pauses_beyond(gateway, call, progress, until) {
            found = Err(WaitError::Paused);
            break;
        }
        let notice = gateway.capacity_notify.notified();
        let _ = tokio::time::timeout(LOOK_PAUSE, notice).await;
        if !blocked(Some(rank)) {
            found = relay::choose(gateway, call, progress).ok_or(WaitError::NoRoom);
        }
    }
    drop(place);
    gateway.decisions.record(&Decision::Waited {
        call: &call.head.id,
        waited_ms: millis(gateway.now().saturating_sub(since)),
        found: found.is_ok(),
    });
    found
}
