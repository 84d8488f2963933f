//! One attempt to have a call served by an upstream, how it ends, and what its end means for the
//! call and the upstream.

use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use monsoonbank_kernel::gateway::eligibility::EligibilityError;
use monsoonbank_kernel::gateway::gossip::GossipUrgency;
use monsoonbank_kernel::gateway::outcome::{self, AttemptEnd, CallHistory, NextStep};
use monsoonbank_kernel::gateway::registry::{SoftwareKey, UpstreamKey};
use monsoonbank_kernel::gateway::rules::CallSafety;
use monsoonbank_platform::answer::BodyFraming;
use thiserror::Error;

use crate::gateway::Gateway;
use crate::gateway::admission::{Call, CallOrigin};
use crate::gateway::connections::UpstreamConnection;
use crate::gateway::decisions::{CallDecision, UpstreamDecision, millis};
use crate::gateway::quarantine::{self, QuarantineError};
use crate::gateway::reply::Reply;
use crate::gateway::work::WorkGuard;

/// Number of attempts in which a call was not sent after which it is rejected. A failed connection
/// costs a few ms, or its time limit if the host is down.
const MAX_FAILED_CONNECTS: usize = 8;
/// Progress of a call over its attempts.
#[derive(Debug, Default)]
pub struct CallProgress {
    /// Upstreams that the call was sent to or could not be sent to.
    pub tried: Vec<UpstreamKey>,
    /// Software version that began the call's stream; `None` while it may begin anywhere.
    pub software: Option<SoftwareKey>,
    /// Outcomes of the attempts so far.
    pub history: CallHistory,
    /// Whether it can only be sent from this node: its stream has begun, or no other node serves it.
    pub here_only: bool,
    /// How far the answer to the last attempt has come.
    pub answer: AnswerProgress,
    /// Whether it was sent in an attempt that has not ended.
    pub in_flight: bool,
    connects: usize,
}

/// How far the answer to one attempt has come.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerProgress {
    /// Time at which the call was sent.
    pub sent_at: Duration,
    /// Time at which the head of the answer arrived; `None` if it has not.
    pub head_at: Option<Duration>,
    /// Time at which its first event arrived; `None` if there was none yet.
    pub begun_at: Option<Duration>,
    /// Time for which it is known to have been written at its last event.
    pub proven: Duration,
}

impl AnswerProgress {
    /// Returns the time since the first event arrived.
    pub fn written(&self, now: Duration) -> Duration {
        self.begun_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }
}

impl CallProgress {
    /// Creates the progress of a call that came from there.
    pub fn new(origin: CallOrigin) -> Self {
        let mut progress = Self::default();
        if let CallOrigin::Peer { sends } = origin {
            progress.history.sends = sends;
        }
        progress
    }
}

/// An attempt for which the head of an answer has arrived.
pub struct OpenAttempt {
    /// Connection that carries the answer.
    pub connection: UpstreamConnection,
    /// Accounting of the attempt's work at the upstream.
    pub work: WorkGuard,
    /// Version of the upstream's software.
    pub software: SoftwareKey,
    /// Head of the answer, with its body still to be read.
    pub response: Response<Incoming>,
}

/// Reason why a call is not sent to the upstream that was chosen for it.
#[derive(Clone, Copy, Debug, Error)]
pub enum WithheldError {
    /// The upstream does not accept calls.
    #[error("{0}")]
    Upstream(#[from] EligibilityError),
    /// The call is quarantined.
    #[error("{0}")]
    Quarantine(#[from] QuarantineError),
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

    /// Creates an attempt in which the call was not sent for this reason.
    pub fn withheld(error: WithheldError) -> Self {
        let pause = match error {
            WithheldError::Upstream(_) => None,
            WithheldError::Quarantine(quarantine) => Some(quarantine.pause),
        };
        Self {
            pause,
            ..Self::new(AttemptEnd::Withheld, &error)
        }
    }

    /// Creates an attempt whose answer ended before it was complete, although its framing allows that
    /// end.
    pub fn cut_short(framing: BodyFraming, reason: &dyn std::fmt::Display) -> Self {
        Self {
            // The upstream may have crashed, unless it ended the answer itself.
            connection_lost: framing == BodyFraming::Close,
            ..Self::new(AttemptEnd::Lost, reason)
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

/// Records a failed attempt in the upstream's health. Returns whether to retry the call.
pub fn record_failure(
    gateway: &Gateway,
    call: &Call,
    progress: &mut CallProgress,
    key: UpstreamKey,
    failed: &FailedAttempt,
) -> bool {
    let now = gateway.now();
    progress.in_flight = false;
    progress.history.may_have_run |= failed.end.may_have_run();
    // All connections of a node that is cut off break, whatever they carry.
    if failed.connection_lost && !gateway.reach.borrow().is_lost(&call.pool) {
        report_crash(gateway, call, key, &progress.answer);
    }
    let retry_allowed = may_retry(gateway, call, progress, failed.end, now)
        && !(failed.connection_lost && quarantine::is_suspected(gateway, call));
    let next = outcome::next_step(
        failed.end,
        call.class.safety,
        progress.history,
        retry_allowed,
    );
    let mut registry = gateway.registry.borrow_mut();
    if failed.end == AttemptEnd::Moved {
        registry.record_replacement(key, now);
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
        AttemptEnd::NotSent
        | AttemptEnd::Lost
        | AttemptEnd::Withheld
        | AttemptEnd::Unreached
        | AttemptEnd::Moved => false,
    };
    let end = failed.end.to_string();
    gateway
        .metrics
        .attempts
        .with_label_values(&[&*call.pool, end.as_str()])
        .inc();
    gateway.decisions.record(CallDecision::AttemptEnded {
        call: &call.head.id,
        upstream: &upstream.entry.id,
        end: &end,
        next: &next.to_string(),
        reason: &failed.reason,
    });
    if backed_off {
        gateway.propagate(GossipUrgency::Calls);
        gateway.decisions.record(UpstreamDecision::UpstreamRests {
            upstream: &upstream.entry.id,
            failures: upstream.health.failure_share(),
            told: upstream.health.reports_failing(now),
            rest_ms: millis(upstream.health.backoff_left(now)),
        });
    }
    next == NextStep::Retry
}

fn report_crash(gateway: &Gateway, call: &Call, key: UpstreamKey, answer: &AnswerProgress) {
    let entry = gateway
        .registry
        .borrow()
        .get(key)
        .map(|upstream| upstream.entry.clone());
    if let Some(entry) = entry {
        quarantine::record_crash(gateway, call, &entry, answer);
    }
}

/// Returns whether time, attempts and the budget allow one more attempt.
pub fn may_retry(
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
