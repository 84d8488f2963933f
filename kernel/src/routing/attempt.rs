//! One attempt of a call as its entry node tracks it, and what its end means for the call.
//!
//! The criterion is what has left the socket. An attempt that the owner returned before sending any
//! byte of it to an upstream did not run. An attempt that the owner was about to send, or that the
//! entry node can no longer track, may have run: the message that reports it may have been lost
//! with the link.

use std::time::Duration;

use crate::call::{AttemptEnd, ReturnReason};
use crate::ids::NodeId;

/// Progress of an attempt, as far as the entry node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptPhase {
    /// Offered to the owner; may be queued there.
    Offered,
    /// The owner has sent it to an upstream, or is about to.
    Started,
    /// Withdrawn by the entry node; the edge is asked how many tokens were forwarded to the caller.
    Withdrawn {
        /// Whether it is known to have started.
        started: bool,
    },
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub struct OpenAttempt {
    /// Number within the call, counted from 1.
    pub number: u32,
    /// The node that it was offered to.
    pub owner: NodeId,
    /// Newest phase that was reported.
    pub phase: AttemptPhase,
    /// Time at which it was offered.
    pub offered: Duration,
    /// Queries to the owner since its last message.
    pub unanswered: u32,
    /// Time until the next query to the owner.
    pub query_interval: Duration,
}

/// An update about an attempt, as the entry node receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptUpdate {
    /// The owner is about to send it to an upstream.
    Started,
    /// The owner returned it without starting it.
    Returned(ReturnReason),
    /// The owner reported how it ended.
    Ended(AttemptEnd),
    /// The edge forwards no more of its tokens: the link broke or the attempt was withdrawn.
    Lost {
        /// Tokens of this attempt that were forwarded to the caller.
        tokens: u32,
        /// Whether any byte of the offer was sent to the owner.
        sent: bool,
    },
}

/// Consequence of an update for the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The attempt continues.
    Open,
    /// The caller has the whole response.
    Whole {
        /// Tokens that came from this attempt.
        tokens: u32,
    },
    /// No part of the attempt ran.
    NotRun(NotRunCause),
    /// The attempt may have run.
    MayHaveRun {
        /// Tokens of this attempt that were forwarded to the caller.
        tokens: u32,
    },
}

/// Reason why no part of an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunCause {
    /// The owner returned it.
    Returned(ReturnReason),
    /// The upstream reported that it did not run it.
    UpstreamRefused,
    /// No byte of it left a socket.
    Unsent,
}

impl OpenAttempt {
    /// Marks the attempt as withdrawn.
    pub fn withdraw(&mut self) {
        let started = match self.phase {
            AttemptPhase::Offered => false,
            AttemptPhase::Started => true,
            AttemptPhase::Withdrawn { started } => started,
        };
        self.phase = AttemptPhase::Withdrawn { started };
    }

    /// Whether it was withdrawn before it was known to have started. Its owner may still confirm
    /// that it did not run.
    pub fn may_be_confirmed(&self) -> bool {
        self.phase == AttemptPhase::Withdrawn { started: false }
    }

    /// Applies an update and returns what it means for the call.
    pub fn apply(&mut self, update: AttemptUpdate) -> AttemptStatus {
        self.unanswered = 0;
        match (self.phase, update) {
            (AttemptPhase::Offered, AttemptUpdate::Started) => {
                self.phase = AttemptPhase::Started;
                AttemptStatus::Open
            }
            // The edge no longer forwards its tokens, so only the edge's token count can end it.
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
