//! What the end of one attempt means for its call.

use crate::gateway::rules::CallSafety;

/// How an attempt ended before any of its answer was passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum AttemptEnd {
    /// Nothing was sent: no connection came about.
    #[display("not_sent")]
    NotSent,
    /// Nothing was sent: the upstream or the call's content may get no calls any more.
    #[display("withheld")]
    Withheld,
    /// Nothing was sent: nothing listens at the upstream's address.
    #[display("unreachable")]
    Unreachable,
    /// The upstream says that it did not run the call.
    #[display("refused")]
    Refused,
    /// The upstream that was meant no longer has this address; it did not run the call.
    #[display("moved")]
    Moved,
    /// The upstream answered with a failure of its own.
    #[display("failed")]
    Failed,
    /// It was sent and the answer is lost, cut or not to be trusted.
    #[display("lost")]
    Lost,
}

/// What to do with the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum NextStep {
    /// Try another upstream.
    #[display("retry")]
    Retry,
    /// Tell the caller that it has not run and when to come back.
    #[display("not_run")]
    NotRun,
    /// Pass the upstream's failure on.
    #[display("pass_on")]
    PassOn,
    /// Tell the caller that nothing is known.
    #[display("unknown")]
    Unknown,
}

/// What a call has been through so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallHistory {
    /// Upstreams that it was sent to.
    pub sends: u32,
    /// Whether it may have run at any of them.
    pub may_have_run: bool,
}

impl AttemptEnd {
    /// Whether the call may have run in this attempt.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Failed | Self::Lost)
    }

    /// Whether anything reached the upstream.
    pub fn was_sent(self) -> bool {
        !matches!(self, Self::NotSent | Self::Withheld | Self::Unreachable)
    }
}

/// Decides after an attempt. `room` says whether time, attempts and budget allow one more.
pub fn next_step(
    end: AttemptEnd,
    safety: CallSafety,
    history: CallHistory,
    room: bool,
) -> NextStep {
    let repeatable = safety == CallSafety::Idempotent || !history.may_have_run;
    if room && repeatable {
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
