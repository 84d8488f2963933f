//! Tracks each call until its end, when it is counted and recorded.

use std::rc::Rc;
use std::time::Duration;

use monsoonbank_platform::answer::BodyFraming;

use crate::gateway::Gateway;
use crate::gateway::admission::Call;
use crate::gateway::decisions::{CallDecision, millis};

/// Outcome of a call, for its decision line and counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum CallOutcome {
    /// The caller received the complete answer.
    #[display("answered")]
    Answered,
    /// The caller received the upstream's failure.
    #[display("failed")]
    Failed,
    /// The call did not run, and the caller was informed of that.
    #[display("not_run")]
    NotRun,
    /// The call may have run, and the caller was informed that the result is unknown.
    #[display("unknown")]
    Unknown,
    /// The stream was cut off.
    #[display("cut")]
    Cut,
    /// The caller closed the connection before the end.
    #[display("caller_left")]
    CallerLeft,
}

/// Tracks one call and records its end when dropped.
pub struct CallTracker {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    outcome: CallOutcome,
    /// Status of the answer; 0 until there is one.
    pub status: u16,
    /// Time at which the first part of the answer was available.
    pub first_at: Option<Duration>,
    /// Number of events that were forwarded.
    pub events: u64,
    /// How the upstream framed the body of the answer that was forwarded last.
    pub framing: Option<BodyFraming>,
    /// Bytes that followed the last event of a stream.
    pub rest_bytes: usize,
}

impl CallTracker {
    /// Returns the tracked call.
    pub fn call(&self) -> &Call {
        &self.call
    }

    /// Starts to track a call, which counts as open from now on.
    pub fn new(gateway: &Rc<Gateway>, call: &Rc<Call>) -> Self {
        gateway.open_calls.set(gateway.open_calls.get() + 1);
        gateway.metrics.open_calls.inc();
        Self {
            gateway: gateway.clone(),
            call: call.clone(),
            outcome: CallOutcome::CallerLeft,
            status: 0,
            first_at: None,
            events: 0,
            framing: None,
            rest_bytes: 0,
        }
    }

    /// Tracks the call as it is served by another pool.
    pub fn set_call(&mut self, call: &Rc<Call>) {
        self.call = call.clone();
    }

    /// Sets the outcome that is recorded. Without one, the caller counts as having left.
    pub fn set(&mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }

    /// Records that the first part of the answer is available.
    pub fn first_piece(&mut self) {
        if self.first_at.is_some() {
            return;
        }
        let now = self.gateway.now();
        self.first_at = Some(now);
        self.gateway
            .metrics
            .observe_first(self.call.tier, now.saturating_sub(self.call.started));
    }
}

impl Drop for CallTracker {
    fn drop(&mut self) {
        let gateway = &self.gateway;
        gateway
            .open_calls
            .set(gateway.open_calls.get().saturating_sub(1));
        gateway.metrics.open_calls.dec();
        let outcome = self.outcome.to_string();
        let tier = self.call.tier.to_string();
        gateway
            .metrics
            .calls
            .with_label_values(&[tier.as_str(), outcome.as_str()])
            .inc();
        let framing = self.framing.map(|framing| framing.to_string());
        let since = |at: Duration| millis(at.saturating_sub(self.call.started));
        gateway.decisions.record(CallDecision::Ended {
            call: &self.call.head.id,
            outcome: &outcome,
            status: self.status,
            took_ms: since(gateway.now()),
            first_ms: self.first_at.map(since),
            events: self.events,
            framing: framing.as_deref(),
            rest_bytes: self.rest_bytes,
        });
    }
}
