//! One try of a call, as its entry node knows it, and what its end means for the call.
//!
//! What has left the socket decides. A try that the owner gave back before a byte of it went to an
//! upstream did not run. One that the owner was about to send, or of which the entry node has lost
//! sight, may have run: the message that says so may have been lost with the link.

use std::time::Duration;

use crate::call::{AttemptEnd, ReturnReason};
use crate::ids::NodeId;

/// How far a try has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptPhase {
    /// Offered to the owner; may wait in its queue.
    Offered,
    /// The owner has sent it, or is about to.
    Started,
    /// Given up here; the edge is asked how many tokens went on to the caller.
    Withdrawn {
        /// Whether it is known to have started.
        started: bool,
    },
}

/// A try that is not over.
#[derive(Clone, Copy, Debug)]
pub struct OpenAttempt {
    /// The number within the call.
    pub number: u32,
    /// The node that it was offered to.
    pub owner: NodeId,
    /// How far it has got.
    pub phase: AttemptPhase,
    /// When it was offered.
    pub offered: Duration,
    /// Questions to the owner that have found no answer.
    pub unanswered: u32,
    /// Time to the next question.
    pub query_interval: Duration,
}

/// What the entry node hears of a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptUpdate {
    /// The owner is about to send it.
    Started,
    /// The owner gives it back, not started.
    Returned(ReturnReason),
    /// The owner says how it ended.
    Ended(AttemptEnd),
    /// The owner cannot be asked any more.
    Lost {
        /// Tokens of this try that went on to the caller.
        tokens: u32,
        /// Whether any byte of the offer left for the owner.
        sent: bool,
    },
}

/// What the news means for the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The try goes on.
    Open,
    /// The caller has the whole answer; this many tokens came from this try.
    Whole {
        /// Tokens.
        tokens: u32,
    },
    /// Nothing of the try ran.
    NotRun(NotRunCause),
    /// The try may have run; this many of its tokens went on to the caller.
    MayHaveRun {
        /// Tokens.
        tokens: u32,
    },
}

/// Why nothing of a try ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunCause {
    /// The owner gave it back.
    Returned(ReturnReason),
    /// The upstream said that it did not run it.
    UpstreamRefused,
    /// Nothing of it left a socket.
    Unsent,
}

impl OpenAttempt {
    /// Gives the try up.
    pub fn withdraw(&mut self) {
        let started = match self.phase {
            AttemptPhase::Offered => false,
            AttemptPhase::Started => true,
            AttemptPhase::Withdrawn { started } => started,
        };
        self.phase = AttemptPhase::Withdrawn { started };
    }

    /// Whether it was given up before it was known to have started; its owner may still confirm
    /// that it did not run.
    pub fn may_be_confirmed(&self) -> bool {
        self.phase == AttemptPhase::Withdrawn { started: false }
    }

    /// Takes in the news of this try.
    pub fn apply(&mut self, news: AttemptUpdate) -> AttemptStatus {
        self.unanswered = 0;
        match (self.phase, news) {
            (AttemptPhase::Offered, AttemptUpdate::Started) => {
                self.phase = AttemptPhase::Started;
                AttemptStatus::Open
            }
            // The edge no longer passes its tokens on, so only its count can end it.
            (AttemptPhase::Withdrawn { .. }, AttemptUpdate::Started | AttemptUpdate::Ended(_)) => {
                self.phase = AttemptPhase::Withdrawn { started: true };
                AttemptStatus::Open
            }
            (AttemptPhase::Started, AttemptUpdate::Started) => AttemptStatus::Open,
            (_, AttemptUpdate::Returned(reason)) => {
                AttemptStatus::NotRun(NotRunCause::Returned(reason))
            }
            (_, AttemptUpdate::Ended(end)) => judge_end(end),
            (_, AttemptUpdate::Lost { sent: false, .. }) => {
                AttemptStatus::NotRun(NotRunCause::Unsent)
            }
            (_, AttemptUpdate::Lost { tokens, .. }) => AttemptStatus::MayHaveRun { tokens },
        }
    }
}

fn judge_end(end: AttemptEnd) -> AttemptStatus {
    match end {
        AttemptEnd::Complete { tokens } => AttemptStatus::Whole { tokens },
        AttemptEnd::Refused => AttemptStatus::NotRun(NotRunCause::UpstreamRefused),
        AttemptEnd::Unsent => AttemptStatus::NotRun(NotRunCause::Unsent),
        AttemptEnd::Broken { tokens } | AttemptEnd::Cancelled { tokens } => {
            AttemptStatus::MayHaveRun { tokens }
        }
    }
}
