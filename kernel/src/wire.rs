//! Messages between nodes. The edge encodes them as CBOR (RFC 8949) in WebSocket frames.

use derive_more::From;
use serde::{Deserialize, Serialize};

use crate::call::{AttemptEnd, CallOutcome, CallSpec, LoadSummary, ReturnReason, WorkSpec};
use crate::configuration::ConfigurationMessage;
use crate::ids::{AttemptId, CallId, PoolId};
use crate::keys::RequestKey;
use crate::leases::OrderMessage;
use crate::limits::LimitMessage;
use crate::membership::MembershipMessage;

/// A message from the kernel of one node to that of another.
#[derive(Clone, Debug, PartialEq, From, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Work exchanged between an entry node and an owner.
    Work(WorkMessage),
    /// Failure detection and membership.
    #[serde(rename = "m")]
    Membership(MembershipMessage),
    /// Replication of configuration records.
    Configuration(ConfigurationMessage),
    /// Distribution of shares of the fleet-wide limits.
    Limit(LimitMessage),
    /// Calls with an idempotency key, relayed to the node that issued the key.
    Relay(RelayMessage),
    /// Orders to upstreams, forwarded to the node that executes them.
    Order(OrderMessage),
}

/// Work exchanged between an entry node and an owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkMessage {
    /// Entry to owner: requests that the attempt be queued. The edge adds the request body.
    Offer(WorkSpec),
    /// Entry to owner: cancels the attempt.
    Cancel(AttemptId),
    /// Owner to entry: the attempt was sent to an upstream. From here on it may have run.
    Started(AttemptId),
    /// Owner to entry: the attempt was not started and will not be.
    Returned {
        /// The returned attempt.
        attempt: AttemptId,
        /// Reason why the owner did not start it.
        reason: ReturnReason,
        /// Current summary of the owner's queue.
        load: LoadSummary,
    },
    /// Owner to entry: the attempt ended. All chunks precede this message on the same link.
    Ended {
        /// The attempt that ended.
        attempt: AttemptId,
        /// End of the attempt, including the tokens of its earlier runs.
        end: AttemptEnd,
        /// Current summary of the owner's queue.
        load: LoadSummary,
    },
    /// Owner to entry: the owner's queue changed considerably while no response was due that would
    /// carry the summary.
    Load {
        /// Pool that the queue belongs to.
        pool: PoolId,
        /// Current summary of the queue.
        load: LoadSummary,
    },
    /// Entry to owner: asks which of these attempts the owner still has. Sent after a long time
    /// without a message about them.
    Ask(Vec<AttemptId>),
    /// Owner to entry: the answer to [`WorkMessage::Ask`].
    Held {
        /// Attempts that are queued or running.
        held: Vec<AttemptId>,
        /// Attempts that never arrived or have ended.
        missing: Vec<AttemptId>,
    },
}

/// Messages about a call with an idempotency key that reached another node than the key's issuer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayMessage {
    /// Requests that the call be run once, or answered with the retained answer. The edge adds the
    /// request body.
    Call {
        /// The call; its identifier is that of the relaying node.
        spec: CallSpec,
        /// The idempotency key.
        key: RequestKey,
    },
    /// The caller closed its connection.
    Cancel(CallId),
    /// The call ended. All chunks precede this message on the same link.
    Finished {
        /// Identifier of the call at the relaying node.
        call: CallId,
        /// Outcome of the call at the node that ran it.
        outcome: CallOutcome,
    },
    /// Asks whether this call is still open. Sent after a long time without a message about it.
    Ask(CallId),
    /// The call is still open.
    Held(CallId),
}
