//! The entry node's state for a call that has not ended.

use std::time::Duration;

use crate::call::{CallSpec, RefusalReason};
use crate::ids::{AttemptId, NodeId};
use crate::keys::outcomes::CallOrigin;
use crate::routing::attempt::OpenAttempt;

/// A call that this node is responsible for.
#[derive(Debug)]
pub struct OpenCall {
    /// The call as it was admitted.
    pub spec: CallSpec,
    /// Origin of the call, to which its outcome is sent.
    pub origin: CallOrigin,
    /// Sequence number of its idempotency key; `None` without a key.
    pub key: Option<u64>,
    /// Time at which its latency target is missed.
    pub deadline: Duration,
    /// Number of the newest attempt; 0 before the first.
    pub number: u32,
    /// The open attempt; `None` between two attempts.
    pub attempt: Option<OpenAttempt>,
    /// The second attempt of a hedged call, open beside the first; `None` without one.
    pub hedge: Option<OpenAttempt>,
    /// Tokens that the caller has from ended attempts.
    pub tokens: u32,
    /// Whether an ended attempt may have run.
    pub possibly_run: bool,
    /// Numbers of the attempts that were withdrawn before they were known to have started, and
    /// whose owners have not yet confirmed that they did not run.
    pub unconfirmed: Vec<u32>,
    /// Owners that returned or failed it, or at which it waited long; cleared if no other is left.
    pub tried: Vec<NodeId>,
    /// Reason why the newest attempt did not run, which is sent if the call is given up.
    pub refusal: RefusalReason,
    /// Number of retries so far, which determines the next backoff.
    pub retries: u32,
    /// Time since when there has been no reachable owner; `None` while there is one.
    pub searching: Option<Duration>,
    /// Whether it was cancelled because its caller left; it is not offered again then.
    pub cancelled: bool,
    /// Time at which the call is next checked.
    pub next_check: Duration,
}

impl OpenCall {
    /// A call that was just admitted.
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

    /// Whether any part of the call may have run, apart from its open attempts.
    pub fn may_have_run(&self) -> bool {
        self.possibly_run || !self.unconfirmed.is_empty()
    }

    /// The open attempt with this number, or `None` if it has ended.
    pub fn find(&mut self, number: u32) -> Option<&mut OpenAttempt> {
        self.attempt
            .iter_mut()
            .chain(&mut self.hedge)
            .find(|attempt| attempt.number == number)
    }

    /// The open attempts: at most one and its hedge.
    pub fn attempts(&self) -> impl Iterator<Item = &OpenAttempt> {
        self.attempt.iter().chain(&self.hedge)
    }

    /// The call as it would be offered now. A call that has run in part is past its own target; it
    /// gets half of the original target again, so that it is neither rejected nor queued last.
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

    /// The identifier of one of the call's attempts.
    pub fn attempt_id(&self, number: u32) -> AttemptId {
        AttemptId {
            call: self.spec.call,
            number,
        }
    }
}

/// A call that another node, the minter of its key, is responsible for.
#[derive(Debug)]
pub struct RelayedCall {
    /// The node that minted the key.
    pub minter: NodeId,
    /// Queries to the minter since its last message.
    pub unanswered: u32,
    /// Time until the next query to the minter.
    pub query_interval: Duration,
    /// Time at which the call is next checked.
    pub next_check: Duration,
}
