//! Messages between nodes. The edge carries them as CBOR (RFC 8949) in WebSocket frames.

use derive_more::From;
use serde::{Deserialize, Serialize};

use crate::call::{AttemptEnd, CallOutcome, CallSpec, LoadSummary, ReturnReason, WorkSpec};
use crate::configuration::ConfigurationMessage;
use crate::ids::{AttemptId, CallId, PoolId};
use crate::keys::RequestKey;
use crate::leases::OrderMessage;
use crate::limits::LimitMessage;
use crate::membership::MembershipMessage;

/// A message from one node's kernel to another's.
#[derive(Clone, Debug, PartialEq, From, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Work between an entry node and an owner.
    Work(WorkMessage),
    /// Liveness and membership.
    #[serde(rename = "m")]
    Membership(MembershipMessage),
    /// Configuration records passed between nodes.
    Configuration(ConfigurationMessage),
    /// Shares of fleet-wide limits.
    Limit(LimitMessage),
    /// Calls with an idempotency key, on their way to the node that minted it.
    Relay(RelayMessage),
    /// Orders on their way to the node that gives them.
    Order(OrderMessage),
}

/// Work between an entry node and an owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkMessage {
    /// Entry to owner: queue this. The edge adds the body.
    Offer(WorkSpec),
    /// Entry to owner: no longer wanted.
    Cancel(AttemptId),
    /// Owner to entry: sent to an upstream; from here on it may have run.
    Started(AttemptId),
    /// Owner to entry: not started, and not going to be.
    Returned {
        /// The try.
        attempt: AttemptId,
        /// Why.
        reason: ReturnReason,
        /// The owner's queue now.
        load: LoadSummary,
    },
    /// Owner to entry: the try is over. All chunks went before it on the same link.
    Ended {
        /// The try.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
        /// The owner's queue now.
        load: LoadSummary,
    },
    /// Owner to entry: the owner's queue, when it changed much with no answer to carry it.
    Load {
        /// The pool.
        pool: PoolId,
        /// The queue now.
        load: LoadSummary,
    },
    /// Entry to owner: does the owner still hold these? Sent when nothing was heard for long.
    Ask(Vec<AttemptId>),
    /// Owner to entry: the answer.
    Held {
        /// Held, queued or running.
        held: Vec<AttemptId>,
        /// Not held: never came, or over.
        missing: Vec<AttemptId>,
    },
}

/// A call with an idempotency key that reached a node other than the key's minter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayMessage {
    /// Run this once, or answer from memory. The edge adds the body.
    Call {
        /// The call, numbered by the relaying node.
        spec: CallSpec,
        /// The key.
        key: RequestKey,
    },
    /// The caller left.
    Cancel(CallId),
    /// The outcome; all chunks went before it on the same link.
    Finished {
        /// The call, numbered by the relaying node.
        call: CallId,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// Is this call still open? Sent when nothing was heard for long.
    Ask(CallId),
    /// The call is still open.
    Held(CallId),
}
