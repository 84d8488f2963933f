//! Calls, their attempts, and the ways in which each can end.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, CallId, ClassId, PoolId, UpstreamId, WorkspaceId};

/// A service tier; 0 is the most urgent.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0}")]
#[serde(transparent)]
pub struct Tier(pub u8);

/// The kernel's description of a call. The request body stays in the edge of the process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallSpec {
    /// Identifier of the call.
    pub call: CallId,
    /// The workspace that the call counts against.
    pub workspace: WorkspaceId,
    /// Request class that the rules assigned.
    pub class: ClassId,
    /// Service tier that the rules assigned.
    pub tier: Tier,
    /// Pool that the rules assigned.
    pub pool: PoolId,
    /// Time left until the class's target for the first token (or the whole answer of a plain
    /// service) is missed, counted from the moment the message that carries it is handled.
    pub time_left: Duration,
    /// Whether the call is safe to run more than once.
    pub repeatable: bool,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The caller's limit on generated tokens; 0 when the caller set none.
    pub max_tokens: u32,
    /// Hash of the beginning of the prompt, for cache affinity; 0 when there is no prompt prefix.
    pub prefix: u64,
}

/// An attempt of a call, as sent to the owner of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkSpec {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// The call that is attempted.
    pub spec: CallSpec,
    /// Number of tokens that the caller already received; the engine continues after them.
    pub resume_from: u32,
}

/// Reason why a call was rejected without having run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// Work of its own tier and the tiers above uses all capacity.
    #[display("overloaded")]
    Overloaded,
    /// It cannot start early enough to meet its deadline.
    #[display("deadline")]
    Deadline,
    /// The workspace exceeds its rate or concurrency limit.
    #[display("limit")]
    Limit,
    /// No upstream of its pool is reachable.
    #[display("no_upstream")]
    NoUpstream,
    /// The upstream rejected it before running it.
    #[display("upstream_refused")]
    UpstreamRefused,
    /// The node is leaving.
    #[display("leaving")]
    Leaving,
    /// The idempotency key was not issued by this node, expired, or is another workspace's.
    #[display("key")]
    Key,
    /// No configuration is in force yet.
    #[display("no_configuration")]
    NoConfiguration,
    /// The caller closed its connection before the call started.
    #[display("cancelled")]
    Cancelled,
}

/// End of a call. Every call has exactly one outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum CallOutcome {
    /// The caller received the whole answer.
    Whole {
        /// Tokens (or body chunks of a plain service) in the answer.
        tokens: u32,
    },
    /// The call provably did not run and may be sent again.
    NotRun {
        /// The cause of the rejection.
        reason: RefusalReason,
        /// Delay after which a retry may succeed; `None` when unknown.
        retry_after: Option<Duration>,
    },
    /// The call may have run; the router does not run it again.
    Unknown,
}

/// End of one attempt, as observed by the owner of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum AttemptEnd {
    /// The upstream returned its whole answer.
    Complete {
        /// Tokens received in this attempt.
        tokens: u32,
    },
    /// The upstream reported that it did not run the call.
    Refused,
    /// No byte of the call was written to the socket.
    Unsent,
    /// The connection broke after the call had been sent.
    Broken {
        /// Tokens forwarded before the connection broke.
        tokens: u32,
    },
    /// The router cancelled the attempt: the caller left, or a more urgent call preempted it.
    Cancelled {
        /// Tokens forwarded before the cancellation.
        tokens: u32,
    },
}

/// Reason why an owner returned work without having started it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ReturnReason {
    /// The owner rejected the call, with the reason that a caller may be given.
    Refused {
        /// The cause of the rejection.
        reason: RefusalReason,
        /// Delay after which a retry may succeed; `None` when unknown.
        retry_after: Option<Duration>,
    },
    /// The node owns no upstream of the pool, or no longer does.
    NotOwner,
    /// The node is leaving; the entry node offers the work to another one.
    Leaving,
}

/// An upstream's report of its own load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests that the upstream is serving.
    pub running: u32,
    /// Number of requests queued inside the upstream.
    pub waiting: u32,
    /// Age of the report on arrival.
    pub age: Duration,
    /// Whether the upstream announces that it is leaving.
    pub leaving: bool,
}

/// Summary of a node's queue for one pool, sent to the nodes that offer it work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Total slots of the healthy upstreams that the node owns in the pool.
    pub slots: u32,
    /// Number of slots in use.
    pub running: u32,
    /// Number of queued calls of tier 0, of tier 1, and of all tiers from 2 on.
    pub waiting: [u32; 3],
}

/// The kernel's request to the edge to start an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptStart {
    /// The attempt to start.
    pub work: WorkSpec,
    /// The upstream to send it to.
    pub upstream: UpstreamId,
}
