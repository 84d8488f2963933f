//! A call, its tries, and the ways in which each can end.

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

/// What the kernel knows of a call. The body stays with the process's edge.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallSpec {
    /// The call's identifier.
    pub call: CallId,
    /// Who pays for it.
    pub workspace: WorkspaceId,
    /// The class that the rules gave it.
    pub class: ClassId,
    /// The tier of the class.
    pub tier: Tier,
    /// The pool that the rules sent it to.
    pub pool: PoolId,
    /// Time left until the class's target for the first token (or the whole answer of a plain
    /// service) is missed, counted from the moment the message that carries it is handled.
    pub time_left: Duration,
    /// Whether running the call twice does no harm.
    pub repeatable: bool,
    /// Size of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Most tokens that the caller will take; 0 when the caller named none.
    pub max_tokens: u32,
    /// Hash of the beginning of the prompt, for cache affinity; 0 when there is none.
    pub prefix: u64,
}

/// A call on its way to, or held by, the owner of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkSpec {
    /// The try that this is.
    pub attempt: AttemptId,
    /// The call.
    pub spec: CallSpec,
    /// Tokens that the caller has already; the engine continues behind them.
    pub resume_from: u32,
}

/// Why a call was refused without having run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The tiers above and its own fill the fleet.
    #[display("overloaded")]
    Overloaded,
    /// It cannot start in time for its target.
    #[display("deadline")]
    Deadline,
    /// The workspace is above its rate or concurrency limit.
    #[display("limit")]
    Limit,
    /// No upstream of its pool can be reached.
    #[display("no_upstream")]
    NoUpstream,
    /// The upstream itself refused it before running it.
    #[display("upstream_refused")]
    UpstreamRefused,
    /// The node is leaving.
    #[display("leaving")]
    Leaving,
    /// The idempotency key was not minted here, is expired, or is of another workspace.
    #[display("key")]
    Key,
    /// No configuration is in force yet.
    #[display("no_configuration")]
    NoConfiguration,
    /// The caller went away before it started.
    #[display("cancelled")]
    Cancelled,
}

/// How a call ended; exactly one for every call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum CallOutcome {
    /// The caller has the whole answer.
    Whole {
        /// Tokens (or body chunks of a plain service) in the answer.
        tokens: u32,
    },
    /// It truly did not run and may be sent again.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// When a retry makes sense, if known.
        retry_after: Option<Duration>,
    },
    /// It may have run; the router does not run it again.
    Unknown,
}

/// How one try ended, as seen by the owner of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum AttemptEnd {
    /// The upstream gave its whole answer.
    Complete {
        /// Tokens sent in this try.
        tokens: u32,
    },
    /// The upstream said that it did not run the call.
    Refused,
    /// Nothing of the call left the socket.
    Unsent,
    /// The connection broke after the call had been sent.
    Broken {
        /// Tokens passed on before the break.
        tokens: u32,
    },
    /// The router cancelled it (the caller left, or it was preempted).
    Cancelled {
        /// Tokens passed on before.
        tokens: u32,
    },
}

/// Why an owner gave work back without having started it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ReturnReason {
    /// Refused for good, with the honest reason.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When a retry makes sense, if known.
        retry_after: Option<Duration>,
    },
    /// The node does not own an upstream of the pool (any more).
    NotOwner,
    /// The node is leaving; choose another.
    Leaving,
}

/// What an upstream said of its own load, some time ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being served.
    pub running: u32,
    /// Requests waiting inside the upstream.
    pub waiting: u32,
    /// Age of the report when it arrived.
    pub age: Duration,
    /// Whether the upstream says that it is leaving.
    pub leaving: bool,
}

/// A node's queue for one pool, told to the nodes that send it work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Slots of the healthy upstreams that the node owns in the pool.
    pub slots: u32,
    /// Slots in use.
    pub running: u32,
    /// Work waiting at tiers 0, 1 and from 2 on.
    pub waiting: [u32; 3],
}

/// An attempt to start, as the kernel orders it from the edge.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptStart {
    /// The work.
    pub work: WorkSpec,
    /// The upstream to send it to.
    pub upstream: UpstreamId,
}
