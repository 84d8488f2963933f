//! Follows each call to its end, which is counted and written down.

use std::rc::Rc;
use std::time::Duration;

use crate::gateway::Gateway;
use crate::gateway::admission::Call;
use crate::gateway::decisions::{Decision, millis};

/// How a call ended, for its log line and counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum CallOutcome {
    /// The caller got the whole answer.
    #[display("answered")]
    Answered,
    /// The caller got the upstream's failure.
    #[display("failed")]
    Failed,
    /// It did not run, and the caller was told so.
    #[display("not_run")]
    NotRun,
    /// It may have run, and the caller was told that nothing is known.
    #[display("unknown")]
    Unknown,
    /// Its stream was cut off.
    #[display("cut")]
    Cut,
    /// The caller left.
    #[display("caller_left")]
    CallerLeft,
}

/// Follows one call to its end, which it writes down.
pub struct CallTracker {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    outcome: CallOutcome,
    /// Status of the answer.
    pub status: u16,
    /// When the first piece of the answer was there.
    pub first_at: Option<Duration>,
    /// Events that were passed on.
    pub events: u64,
}

impl CallTracker {
    /// The call.
    pub fn call(&self) -> &Call {
        &self.call
    }

    /// Begins to follow a call.
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
        }
    }

    /// Notes how the call ends.
    pub fn set(&mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }

    /// Notes that the first piece of the answer is there.
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
        let since = |at: Duration| millis(at.saturating_sub(self.call.started));
        gateway.decisions.record(&Decision::Ended {
            call: &self.call.head.id,
            outcome: &outcome,
            status: self.status,
            took_ms: since(gateway.now()),
            first_ms: self.first_at.map(since),
            events: self.events,
        });
    }
}
