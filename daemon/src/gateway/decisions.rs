//! Structured lines on standard output: one for each decision and each change in the view of other
//! nodes, upstreams and the store.
//!
//! Lines are JSON. They are buffered up to a bound and written by a separate thread, so that a
//! stalled reader never blocks a call; lines that exceed the bound are counted and dropped.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use monsoonbank_kernel::clock::{Clock, MonotonicClock};
use serde::Serialize;

/// Event of a line, with its fields.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Decision<'a> {
    /// The process started.
    Started {
        /// Availability zone of the node.
        zone: &'a str,
    },
    /// The settings file was validated again.
    Reloaded {
        /// Error in the file; `None` if it is valid.
        error: Option<&'a str>,
    },
    /// The node began to shut down.
    Leaving {
        /// Number of calls that have not ended.
        open_calls: usize,
    },
    /// The process exits.
    Left {
        /// Number of calls that are cut off.
        open_calls: usize,
    },
    /// A configuration was applied.
    ConfigurationApplied {
        /// Version of the configuration.
        version: u64,
        /// Number of rules.
        rules: usize,
        /// `store`, or the name of the node that it was fetched from.
        source: &'a str,
        /// Size of the text, in bytes.
        bytes: usize,
        /// Time for decoding the text, in us. No call progresses meanwhile.
        decode_us: u64,
        /// Time since a node first advertised this or a newer version, in ms; `None` if none did.
        lag_ms: Option<u64>,
    },
    /// All upstreams of the registry were loaded, or the preferred ones, or all others forgotten.
    RegistryLoaded {
        /// `whole` or `preferred`.
        scope: &'a str,
        /// Number of known upstreams that accept new calls.
        upstreams: usize,
    },
    /// A configuration was rejected; the previous one stays in force.
    ConfigurationRejected {
        /// `store`, or the name of the node that it was fetched from.
        source: &'a str,
        /// Error in the text.
        reason: &'a str,
    },
    /// The state of an upstream changed.
    UpstreamChanged {
        /// Id of the upstream.
        upstream: &'a str,
        /// Pool of the upstream.
        pool: &'a str,
        /// Reason why it accepts no new calls; `None` if it accepts them.
        left: Option<&'a str>,
        /// Whether its entry disappeared while the store was unreachable.
        lapsed: bool,
    },
    /// An engine that ran before this node started was queried for the prompt parts that it caches.
    CacheListed {
        /// Id of the engine.
        upstream: &'a str,
        /// Number of cached parts.
        parts: usize,
        /// Reason why the query failed; `None` if it succeeded.
        reason: Option<&'a str>,
    },
    /// An upstream is backed off after failures.
    UpstreamRests {
        /// Id of the upstream.
        upstream: &'a str,
        /// Moving average of the share of failed calls, from 0 to 1.
        failures: f64,
        /// Whether heartbeats report the upstream as failing.
        told: bool,
        /// Duration of the backoff, in ms.
        rest_ms: u64,
    },
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
    /// The first heartbeat of a node, or of its new process, was received.
    PeerHeard {
        /// Name of the node.
        peer: &'a str,
        /// Availability zone of the node.
        zone: &'a str,
    },
    /// A fetch from another node failed.
    FetchFailed {
        /// Name of the node.
        peer: &'a str,
        /// Part of the state: `configuration`, `registry` or `crashes`.
        part: &'a str,
        /// Bytes that were received.
        received: usize,
        /// Duration of the fetch, in ms.
        took_ms: u64,
        /// Error of the fetch.
        reason: &'a str,
    },
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
        /// Name of the first matching rule.
        rule: &'a str,
        /// Pool that the rule selected for the call.
        pool: &'a str,
        /// Tier of the call; 0 is the most urgent.
        tier: u8,
        /// Time left until the call's deadline, in ms.
        left_ms: u64,
        /// Version of the configuration that was applied to the call.
        version: u64,
    },
    /// A call waited for capacity.
    Waited {
        /// Id of the call.
        call: &'a str,
        /// Duration of the wait, in ms.
        waited_ms: u64,
        /// Whether an upstream with capacity was found.
        found: bool,
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
    /// A call is sent to an upstream.
    Sent {
        /// Id of the call.
        call: &'a str,
        /// Id of the upstream.
        upstream: &'a str,
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
    /// The rate limit that an upstream announces changed.
    LimitChanged {
        /// Id of the upstream.
        upstream: &'a str,
        /// Requests per second from all nodes together; `None` if the limit has ended.
        per_second: Option<f64>,
        /// `own`, or the name of the node that reported it.
        source: &'a str,
    },
    /// An upstream that refused a call asked this node to pause.
    PauseAsked {
        /// Id of the upstream.
        upstream: &'a str,
        /// Duration of the pause, in ms.
        pause_ms: u64,
    },
    /// The connection to an upstream broke during a call, which is recorded as a crash.
    UpstreamBroke {
        /// Id of the call.
        call: &'a str,
        /// Digest of the call's content.
        content: &'a str,
        /// Id of the upstream.
        upstream: &'a str,
        /// Number of upstream runs that have crashed under this content, as far as this node knows.
        crashes: usize,
    },
    /// The quarantine of a content began or ended.
    QuarantineChanged {
        /// Digest of the content.
        content: &'a str,
        /// Whether the content is quarantined now.
        quarantined: bool,
        /// Number of upstream runs that have crashed under this content.
        crashes: usize,
        /// `own`, `store`, or the name of the node that reported it.
        source: &'a str,
    },
    /// A call was not sent because its content is quarantined.
    CallQuarantined {
        /// Id of the call.
        call: &'a str,
        /// Digest of the call's content.
        content: &'a str,
        /// Number of upstream runs that have crashed under this content.
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
    },
}

#[derive(Serialize)]
struct LineText<'a> {
    ms: u64,
    node: &'a str,
    #[serde(flatten)]
    decision: &'a Decision<'a>,
}

/// Bytes that are buffered before lines are dropped.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Number of chunks that wait for the writing thread.
const MAX_CHUNKS: usize = 8;
/// Interval between writes. It bounds the delay of a line, at the cost of one wake-up each.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Buffers lines and passes them to a writing thread.
#[derive(Debug)]
pub struct DecisionLog {
    clock: MonotonicClock,
    node: Box<str>,
    buffer: RefCell<Vec<u8>>,
    dropped: Cell<u64>,
    chunks: SyncSender<Vec<u8>>,
    flush_due: Cell<Option<Duration>>,
}

impl DecisionLog {
    /// Starts the writing thread.
    pub fn start(clock: MonotonicClock, node: Box<str>) -> Self {
        let (chunks, waiting) = sync_channel::<Vec<u8>>(MAX_CHUNKS);
        std::thread::spawn(move || {
            while let Ok(chunk) = waiting.recv() {
                let mut output = std::io::stdout().lock();
                // Without a reader of standard output, further lines would be lost.
                if output
                    .write_all(&chunk)
                    .and_then(|()| output.flush())
                    .is_err()
                {
                    return;
                }
            }
        });
        Self {
            clock,
            node,
            buffer: RefCell::default(),
            dropped: Cell::new(0),
            chunks,
            flush_due: Cell::new(None),
        }
    }

    /// Appends a line to the buffer, or counts it as dropped if the buffer is full.
    pub fn record(&self, decision: &Decision) {
        let now = self.clock.now();
        let mut buffer = self.buffer.borrow_mut();
        if buffer.len() > MAX_BUFFERED_BYTES {
            self.dropped.set(self.dropped.get() + 1);
        } else {
            let text = LineText {
                ms: millis(now),
                node: &self.node,
                decision,
            };
            if serde_json::to_writer(&mut *buffer, &text).is_ok() {
                buffer.push(b'\n');
            }
        }
        drop(buffer);
        let due = self.flush_due.get().unwrap_or(now + WRITE_INTERVAL);
        self.flush_due.set(Some(due));
        if now >= due {
            self.flush();
        }
    }

    /// Passes the buffered lines to the writing thread.
    pub fn flush(&self) {
        self.flush_due.set(None);
        let mut buffer = self.buffer.borrow_mut();
        if buffer.is_empty() {
            return;
        }
        let dropped = self.dropped.get();
        if dropped > 0 {
            let node = &self.node;
            let text = format!(
                "{{\"event\":\"lines_dropped\",\"node\":\"{node}\",\"lines\":{dropped}}}\n"
            );
            buffer.extend_from_slice(text.as_bytes());
        }
        match self.chunks.try_send(std::mem::take(&mut *buffer)) {
            Err(TrySendError::Full(chunk)) => *buffer = chunk,
            // If the writing thread has ended, the lines are discarded.
            Ok(()) | Err(TrySendError::Disconnected(_)) => self.dropped.set(0),
        }
    }

    /// Flushes the buffer at the end of the process, and waits a short time for the writing thread.
    pub fn finish(&self) {
        self.flush();
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Converts a duration to whole milliseconds.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
