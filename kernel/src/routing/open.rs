//! What the entry node holds of a call that is not over.

use std::time::Duration;

use crate::call::{CallSpec, RefusalReason};
use crate::ids::{AttemptId, NodeId};
use crate::keys::outcomes::CallOrigin;
use crate::routing::attempt::OpenAttempt;

/// A call that this node answers for.
#[derive(Debug)]
pub struct OpenCall {
    /// The call.
    pub spec: CallSpec,
    /// Where it came from.
    pub origin: CallOrigin,
    /// The sequence number of its idempotency key, if it has one.
    pub key: Option<u64>,
    /// When its target for the first token is missed.
    pub deadline: Duration,
    /// The newest try's number; 0 before the first.
    pub number: u32,
    /// The try that is open, if any; between two tries there is none.
    pub attempt: Option<OpenAttempt>,
    /// A second try of a hedged call, open beside the first.
    pub hedge: Option<OpenAttempt>,
    /// Tokens that the caller has from tries that are over.
    pub tokens: u32,
    /// Whether a try that is over may have run.
    pub possibly_run: bool,
    /// Tries given up before they were known to have started, whose owners have not confirmed it.
    pub unconfirmed: Vec<u32>,
    /// Owners that gave it back or failed it.
    pub tried: Vec<NodeId>,
    /// Why the newest try did not run; the reason given if the call is given up.
    pub refusal: RefusalReason,
    /// Retries so far.
    pub retries: u32,
    /// When the search for an owner began, while there is none.
    pub searching: Option<Duration>,
    /// Whether the caller left.
    pub cancelled: bool,
    /// The next time at which the call is looked at.
    pub next_check: Duration,
}

impl OpenCall {
    /// A call that just came.
    pub fn new(spec: CallSpec, origin: CallOrigin, key: Option<u64>, now: Duration) -> Self {
        Self {
            spec,
            origin,
            key,
            deadline: now + spec.time_left,
            number: 0,
            attempt: None,
            hedge: None,
            tokens: 0,
            possibly_run: false,
            unconfirmed: Vec::new(),
            tried: Vec::new(),
            refusal: RefusalReason::Overloaded,
            retries: 0,
            searching: None,
            cancelled: false,
            next_check: now,
        }
    }

    /// Whether anything of the call may have run, the open tries left aside.
    pub fn may_have_run(&self) -> bool {
        self.possibly_run || !self.unconfirmed.is_empty()
    }

    /// The open try with this number.
    pub fn find(&mut self, number: u32) -> Option<&mut OpenAttempt> {
        self.attempt
            .iter_mut()
            .chain(&mut self.hedge)
            .find(|attempt| attempt.number == number)
    }

    /// The open tries.
    pub fn attempts(&self) -> impl Iterator<Item = &OpenAttempt> {
        self.attempt.iter().chain(&self.hedge)
    }

    /// The call as it is offered now. A call that has run in part is past its own target; it gets
    /// half of the target anew, so that the owner neither refuses it nor puts it last.
    pub fn offer_spec(&self, now: Duration) -> CallSpec {
        let left = self.deadline.saturating_sub(now);
        let least = if self.may_have_run() {
            self.spec.time_left / 2
        } else {
            Duration::ZERO
        };
        CallSpec {
            time_left: left.max(least),
            ..self.spec
        }
    }

    /// Names one of the call's tries.
    pub fn attempt_id(&self, number: u32) -> AttemptId {
        AttemptId {
            call: self.spec.call,
            number,
        }
    }
}

/// A call that another node, its key's minter, answers for.
#[derive(Debug)]
pub struct RelayedCall {
    /// The minter.
    pub minter: NodeId,
    /// Questions to the minter that have found no answer.
    pub unanswered: u32,
    /// Time to the next question.
    pub query_interval: Duration,
    /// The next time at which the call is looked at.
    pub next_check: Duration,
}
