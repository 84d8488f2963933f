//! Decides how a call continues after an attempt.

use crate::gateway::rules::CallSafety;

/// Result of an attempt without a complete answer. Part of a stream may have been forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum AttemptEnd {
    /// Nothing was sent: no connection was established, or there was no capacity or no time left.
    #[display("not_sent")]
    NotSent,
    /// Nothing was sent: the upstream accepts no calls any more or requested a pause, or the call's
    /// content is quarantined.
    #[display("withheld")]
    Withheld,
    /// Nothing was sent: nothing listens at the upstream's address.
    #[display("unreachable")]
    Unreachable,
    /// Nothing was sent: this node reaches no upstream of the pool.
    #[display("unreached")]
    Unreached,
    /// The upstream reported that it did not run the call.
    #[display("refused")]
    Refused,
    /// Another upstream now has this address; it did not run the call.
    #[display("moved")]
    Moved,
    /// The upstream answered with an error of its own.
    #[display("failed")]
    Failed,
    /// The call was sent, and its answer was lost, truncated or invalid.
    #[display("lost")]
    Lost,
}

/// Next step for the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum NextStep {
    /// Retry at another upstream.
    #[display("retry")]
    Retry,
    /// Report to the caller that the call has not run and when to retry.
    #[display("not_run")]
    NotRun,
    /// Forward the upstream's error.
    #[display("pass_on")]
    PassOn,
    /// Report to the caller that it is unknown whether the call ran.
    #[display("unknown")]
    Unknown,
}

/// Attempts of a call so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallHistory {
    /// Number of attempts in which the call was sent to an upstream.
    pub sends: u32,
    /// Whether the call may have run in any of them.
    pub may_have_run: bool,
}

impl AttemptEnd {
    /// Whether the call may have run in this attempt.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Failed | Self::Lost)
    }

    /// Whether the call was sent to the upstream in this attempt.
    pub fn was_sent(self) -> bool {
        !matches!(
            self,
            Self::NotSent | Self::Withheld | Self::Unreachable | Self::Unreached
        )
    }
}

/// Decides the next step after an attempt. `may_retry`: time, attempts and budget allow one more.
pub fn next_step(
    end: AttemptEnd,
    safety: CallSafety,
    history: CallHistory,
    may_retry: bool,
) -> NextStep {
    let repeatable = safety == CallSafety::Idempotent || !history.may_have_run;
    if may_retry && repeatable {
        return NextStep::Retry;
    }
    if end == AttemptEnd::Failed {
        return NextStep::PassOn;
    }
    if history.may_have_run {
        NextStep::Unknown
    } else {
        NextStep::NotRun
    }
}
