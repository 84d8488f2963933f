//! Lines about the store and the duties that one node at a time has.

use serde::Serialize;

/// Event of a line, with its fields.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StoreDecision<'a> {
    /// Calls to the store fail.
    StoreLost {
        /// Reader whose calls are affected, such as `configuration` or `registry`.
        reader: &'a str,
        /// Error of the failed call.
        reason: &'a str,
    },
    /// The store answers again.
    StoreBack {
        /// Reader whose calls are affected, such as `configuration` or `registry`.
        reader: &'a str,
        /// Time since the first failure, in ms.
        lost_ms: u64,
    },
    /// The store resumed from an older copy.
    StoreEraBegan {
        /// New era of the store, which grows each time.
        era: u64,
    },
    /// The registry's log was read for the software versions of the time before this node started.
    HistoryRead {
        /// Time that it covers, in ms; `None` if it covers all, or could not be read.
        covered_ms: Option<u64>,
        /// Reason why it shows nothing; `None` if it does.
        error: Option<&'a str>,
    },
    /// This node acquired the lease on the platform's duties.
    DutiesHeld {
        /// Fencing token of the lease.
        token: u64,
    },
    /// This node lost the lease on the duties.
    DutiesLost,
    /// The usage of a window was stored in the log; its counts are final.
    UsageWritten {
        /// Number of the window.
        window: u64,
        /// Number of workspaces with calls.
        workspaces: usize,
        /// Number of calls of these workspaces.
        calls: u64,
        /// Age of the oldest input, the last counts of the node that is silent longest, in ms.
        oldest_input_ms: u64,
    },
    /// The usage of a window was sent to the platform.
    UsageReported {
        /// Number of the window.
        window: u64,
        /// Number of workspaces with calls.
        workspaces: usize,
        /// Number of calls of these workspaces.
        calls: u64,
        /// Fencing token of the call.
        token: u64,
        /// Error of the call, after which the report may not have been accepted; `None` if it was.
        error: Option<&'a str>,
    },
    /// The report of a window was not accepted in time.
    UsageMissed {
        /// Number of the window.
        window: u64,
    },
    /// Load of a pool whose engines this node orders.
    PoolBusy {
        /// Name of the pool.
        pool: &'a str,
        /// Number of engines that accept calls.
        engines: u32,
        /// Number of calls in progress at these engines.
        calls: u32,
        /// Prompt tokens sent to these engines per second.
        tokens_per_s: u64,
        /// Number of engines that the pool is sized for, before any in reserve.
        needed: u32,
    },
    /// Engines were ordered from the platform.
    EnginesOrdered {
        /// Name of the pool.
        pool: &'a str,
        /// Availability zone of the engines.
        zone: &'a str,
        /// Kind of the engines: `firm` or `spot`.
        kind: &'a str,
        /// Number of engines of this kind that the zone should have.
        desired: u32,
        /// Number of engines of both kinds that accept calls in the zone.
        present: u32,
        /// Fencing token of the call.
        token: u64,
        /// Outcome of the order: `accepted` or `failed`.
        outcome: &'a str,
        /// Error of the order; `None` if it was accepted.
        reason: Option<&'a str>,
    },
}
