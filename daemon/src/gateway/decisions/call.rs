//! Lines about calls, from the matching rule to the outcome.

use derive_more::{Display, From};
use monsoonbank_kernel::gateway::choice::RoomReport;
use monsoonbank_kernel::gateway::prompt::PromptPart;
use serde::{Serialize, Serializer};

/// Maximum number of parts in a line.
const MAX_PARTS: usize = 8;

/// Identifier of a prompt part, written in hexadecimal as callers do.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq)]
#[display("{_0:x}")]
pub struct PartName(u64);

impl Serialize for PartName {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// Names the first of these parts.
pub fn part_names(parts: &[PromptPart]) -> Vec<PartName> {
    let first = parts.iter().take(MAX_PARTS);
    first.map(|part| PartName(part.id)).collect()
}

/// Event of a line, with its fields.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum CallDecision<'a> {
    /// A call was rejected before an upstream was chosen.
    Refused {
        /// Id of the call.
        call: &'a str,
        /// Status of the answer.
        status: u16,
        /// Reason for the rejection, as sent to the caller.
        reason: &'a str,
        /// Version of the configuration in force; 0 if there is none.
        version: u64,
    },
    /// A call was matched to a rule.
    Matched {
        /// Id of the call.
        call: &'a str,
        /// Digest of the call's content, the same for each attempt at the same call.
        content: &'a str,
        /// First of the prompt parts that other calls may share.
        #[serde(skip_serializing_if = "<[_]>::is_empty")]
        parts: &'a [PartName],
        /// Name of the first matching rule.
        rule: &'a str,
        /// Pool that the rule selected for the call.
        pool: &'a str,
        /// Tier of the call; 0 is the most urgent.
        tier: u8,
        /// Workspace of the caller; `None` if its key names none.
        workspace: Option<&'a str>,
        /// Latency target of the rule's class, in ms.
        target_ms: u64,
        /// Time left until the call's deadline, in ms.
        left_ms: u64,
        /// Time since the caller's first attempt began, as far as it is known, in ms.
        since_first_ms: u64,
        /// Version of the configuration that was applied to the call.
        version: u64,
        /// Id of the attempt whose stream the caller resumes; `None` if it names none.
        #[serde(skip_serializing_if = "Option::is_none")]
        resumes: Option<&'a str>,
        /// Id of the last event that the caller has received; `None` if it names none.
        #[serde(skip_serializing_if = "Option::is_none")]
        after: Option<u64>,
    },
    /// The software version that began the stream which a call resumes was looked up.
    StartLookedUp {
        /// Id of the call.
        call: &'a str,
        /// Whether it is known.
        known: bool,
        /// Reason why it is not.
        #[serde(skip_serializing_if = "Option::is_none")]
        reason: Option<&'a str>,
        /// Time that it took, in ms.
        took_ms: u64,
    },
    /// A call that resumes a stream goes to the pool that began it.
    PoolKept {
        /// Id of the call.
        call: &'a str,
        /// Name of that pool.
        pool: &'a str,
        /// Name of the pool that the weights in force select for it.
        drawn: &'a str,
    },
    /// No upstream that a call was not sent to is left of the software version that began its stream.
    VersionGone {
        /// Id of the call.
        call: &'a str,
        /// Name of the pool.
        pool: &'a str,
    },
    /// A call waited for capacity.
    Waited {
        /// Id of the call.
        call: &'a str,
        /// Duration of the wait, in ms.
        waited_ms: u64,
        /// Whether an upstream with capacity was found.
        found: bool,
        /// Time since it first left a free place to a call at another node, in ms; `None` if it
        /// left none.
        #[serde(skip_serializing_if = "Option::is_none")]
        yielded_ms: Option<u64>,
    },
    /// A call waited in vain: how its pool's upstreams look to it at this node.
    NoRoom {
        /// Id of the call.
        call: &'a str,
        /// Name of the pool.
        pool: &'a str,
        /// Whether it can no longer meet its target.
        late: bool,
        /// Time for which other calls that wait here went first, in ms.
        blocked_ms: u64,
        /// Number of other nodes that are assumed to send calls.
        senders: usize,
        /// Number of nodes whose heartbeats stopped and that are assumed to have as many calls as
        /// this one.
        silent: usize,
        /// Names of the first of them.
        #[serde(skip_serializing_if = "<[_]>::is_empty")]
        silent_nodes: &'a [&'a str],
        /// Upstreams by what keeps them from accepting the call, and the calls counted there.
        #[serde(flatten)]
        room: &'a RoomReport,
    },
    /// A call that has not run is given up, as there is no memory for its body.
    NoMemory {
        /// Id of the call.
        call: &'a str,
        /// What it was doing: `reading` its body, or `waiting` for an upstream.
        phase: &'a str,
        /// Number of bodies that this node holds.
        bodies: usize,
        /// Bytes that they take.
        held_bytes: usize,
        /// Bytes that they may take.
        limit_bytes: usize,
        /// Time after which its caller is told to return, in ms.
        pause_ms: u64,
    },
    /// All upstreams of a pool that a call could be sent to pause for longer than it may wait, so
    /// it is rejected.
    PoolPaused {
        /// Id of the call.
        call: &'a str,
        /// Name of the pool.
        pool: &'a str,
        /// Time until the first pause ends of an upstream that the call has not been sent to, in
        /// ms; `None` if it was sent to all.
        opens_ms: Option<u64>,
    },
    /// A late call is not sent, since its stream is not expected to end before the deadline.
    TooLate {
        /// Id of the call.
        call: &'a str,
        /// Expected number of events in the call's stream.
        expected_events: u64,
        /// Time for these events at the current pace of streams, in ms.
        needs_ms: u64,
        /// Time left until the call's deadline, in ms.
        left_ms: u64,
    },
    /// A call is not sent, since this node is expected to exit before it would end.
    ExitsBefore {
        /// Id of the call.
        call: &'a str,
        /// Time that it is expected to need, with a margin, in ms.
        needs_ms: u64,
        /// Time left until calls are given up here, in ms.
        left_ms: u64,
    },
    /// A call is sent to an upstream.
    Sent {
        /// Id of the call.
        call: &'a str,
        /// Id of the upstream.
        upstream: &'a str,
        /// Version of the upstream's software.
        software: &'a str,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Cost of the upstream, in thousandths of the call's latency target.
        cost: i64,
        /// Prompt tokens that the upstream has to process.
        unread: u32,
        /// Tokens of the prompt's shared parts.
        shared: u32,
        /// Tokens of the shared parts that any upstream caches, as far as this node knows.
        known: u32,
        /// Tokens of the shared parts that the chosen upstream caches.
        kept: u32,
        /// Whether the upstream fetches cached parts from another one.
        fetches: bool,
        /// Time left until the call's deadline, in ms.
        left_ms: u64,
    },
    /// An attempt ended without an answer that can be forwarded.
    AttemptEnded {
        /// Id of the call.
        call: &'a str,
        /// Id of the upstream.
        upstream: &'a str,
        /// Kind of the failure.
        end: &'a str,
        /// Next step for the call.
        next: &'a str,
        /// Details of the failure.
        reason: &'a str,
    },
    /// A call was sent to another node, since this one reaches no upstream.
    Forwarded {
        /// Id of the call.
        call: &'a str,
        /// Name of the other node.
        peer: &'a str,
    },
    /// Another node gave no answer to a call.
    ForwardFailed {
        /// Id of the call.
        call: &'a str,
        /// Name of the other node.
        peer: &'a str,
        /// Kind of the failure.
        end: &'a str,
        /// Details of the failure.
        reason: &'a str,
    },
    /// A call was not sent because it is quarantined.
    CallQuarantined {
        /// Id of the call.
        call: &'a str,
        /// Digest of the call's content.
        content: &'a str,
        /// What it has in common with calls that crash upstreams, such as `part:1f3a`.
        cause: &'a str,
        /// Number of upstream runs that have crashed under such calls.
        crashes: usize,
        /// `Retry-After` for the caller, in ms.
        pause_ms: u64,
    },
    /// A stream was resumed at another upstream.
    Resumed {
        /// Id of the call.
        call: &'a str,
        /// Id of the upstream.
        upstream: &'a str,
        /// Version of the upstream's software.
        software: &'a str,
        /// Id of the last event that the caller has received; 0 if none.
        after: u64,
    },
    /// A call ended.
    Ended {
        /// Id of the call.
        call: &'a str,
        /// Outcome of the call.
        outcome: &'a str,
        /// Status of the answer; 0 if the caller left before it.
        status: u16,
        /// Time since the call's head was read, in ms.
        took_ms: u64,
        /// Time to the first part of the answer, in ms; `None` if there was none.
        first_ms: Option<u64>,
        /// Number of events that were forwarded.
        events: u64,
        /// How the upstream framed the body; `None` if no answer was forwarded.
        framing: Option<&'a str>,
        /// Bytes that followed the last event of a stream.
        rest_bytes: usize,
    },
}
