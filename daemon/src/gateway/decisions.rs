//! Structured lines on standard output: one for each decision and each change of belief.
//!
//! Lines are JSON. They are put into a bounded buffer and written by a thread of their own, so that
//! a reader that stops never holds a call up; lines that find no room are counted and dropped.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use monsoonbank_kernel::clock::{Clock, MonotonicClock};
use serde::Serialize;

/// What is said in a line.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Decision<'a> {
    /// The process started.
    Started {
        /// Its availability zone.
        zone: &'a str,
    },
    /// The settings file was read again.
    Reloaded {
        /// What is wrong with it.
        error: Option<&'a str>,
    },
    /// The node stops taking new work.
    Leaving {
        /// Calls that have not ended.
        open_calls: usize,
    },
    /// The process ends.
    Left {
        /// Calls that it cuts off.
        open_calls: usize,
    },
    /// A configuration came into force.
    ConfigurationApplied {
        /// Its version.
        version: u64,
        /// Its rules.
        rules: usize,
        /// `store` or the node that it came from.
        source: &'a str,
        /// Its size, in bytes.
        bytes: usize,
        /// Time that reading its text took, in us: no call goes on meanwhile.
        decode_us: u64,
        /// Time since another node first told of it or a newer one, in ms; none if none did.
        lag_ms: Option<u64>,
    },
    /// A configuration was not taken; the older stays in force.
    ConfigurationRejected {
        /// `store` or the node that it came from.
        source: &'a str,
        /// Why.
        reason: &'a str,
    },
    /// What is believed of an upstream changed.
    UpstreamChanged {
        /// The upstream's id.
        upstream: &'a str,
        /// Its pool.
        pool: &'a str,
        /// Why it takes nothing new, if so.
        left: Option<&'a str>,
        /// Whether its entry lapsed while the registry was away.
        lapsed: bool,
    },
    /// An engine that ran before this node was asked what it keeps of prompts.
    CacheListed {
        /// The engine's id.
        upstream: &'a str,
        /// Parts that it keeps.
        parts: usize,
        /// Why it did not tell, if so.
        reason: Option<&'a str>,
    },
    /// An upstream is passed over for a while.
    UpstreamRests {
        /// The upstream's id.
        upstream: &'a str,
        /// Running share of calls that failed.
        failures: f64,
        /// Whether other nodes are told.
        told: bool,
        /// For how long, in ms.
        rest_ms: u64,
    },
    /// The store or its answers are lost.
    StoreLost {
        /// What for.
        reader: &'a str,
        /// Why.
        reason: &'a str,
    },
    /// The store answers again.
    StoreBack {
        /// What for.
        reader: &'a str,
        /// How long it was lost, in ms.
        lost_ms: u64,
    },
    /// The store came back from an older copy.
    StoreEraBegan {
        /// Its era, which grows each time.
        era: u64,
    },
    /// This node holds the platform's duties.
    DutiesHeld {
        /// Its fencing token.
        token: u64,
    },
    /// This node no longer holds them.
    DutiesLost,
    /// The usage of a window was written to the log; it is not counted anew.
    UsageWritten {
        /// The window.
        window: u64,
        /// Workspaces with calls.
        workspaces: usize,
        /// Their calls.
        calls: u64,
        /// Age of what the node that is silent longest told, in ms.
        oldest_input_ms: u64,
    },
    /// A window's usage was sent to the platform.
    UsageReported {
        /// The window.
        window: u64,
        /// Workspaces with calls.
        workspaces: usize,
        /// Their calls.
        calls: u64,
        /// The fencing token.
        token: u64,
        /// Why it is not known to be accepted, if so.
        error: Option<&'a str>,
    },
    /// A window's report was not accepted in time.
    UsageMissed {
        /// The window.
        window: u64,
    },
    /// How busy a pool is whose engines this node orders.
    PoolBusy {
        /// The pool.
        pool: &'a str,
        /// Engines that take calls.
        engines: u32,
        /// Calls that are at them.
        calls: u32,
        /// Prompt tokens that they take in each second.
        tokens_per_s: u64,
    },
    /// Engines were ordered of the platform.
    EnginesOrdered {
        /// The pool.
        pool: &'a str,
        /// The availability zone.
        zone: &'a str,
        /// Which engines: `firm` or `spot`.
        kind: &'a str,
        /// How many of them it shall have.
        desired: u32,
        /// How many of both kinds take calls there.
        present: u32,
        /// The fencing token.
        token: u64,
        /// How it ended.
        outcome: &'a str,
        /// More on it, if it was not accepted.
        reason: Option<&'a str>,
    },
    /// Another node was heard for the first time, or started again.
    PeerHeard {
        /// Its name.
        peer: &'a str,
        /// Its availability zone.
        zone: &'a str,
    },
    /// Something was not fetched from another node.
    FetchFailed {
        /// The node.
        peer: &'a str,
        /// What: `configuration` or `registry`.
        part: &'a str,
        /// Bytes of it that came.
        received: usize,
        /// How long it was tried, in ms.
        took_ms: u64,
        /// Why.
        reason: &'a str,
    },
    /// A call was refused before any upstream was chosen.
    Refused {
        /// The call.
        call: &'a str,
        /// The answer's status.
        status: u16,
        /// Why.
        reason: &'a str,
        /// Version of the configuration that decided it.
        version: u64,
    },
    /// A call was matched.
    Matched {
        /// The call.
        call: &'a str,
        /// Digest of what it asks for: the same for each attempt at the same thing.
        content: &'a str,
        /// The rule that matched first.
        rule: &'a str,
        /// Its pool.
        pool: &'a str,
        /// Its rank.
        tier: u8,
        /// Time that is left, in ms.
        left_ms: u64,
        /// Version of the configuration that decided it.
        version: u64,
    },
    /// A call waited for room.
    Waited {
        /// The call.
        call: &'a str,
        /// For how long, in ms.
        waited_ms: u64,
        /// Whether an upstream had room in the end.
        found: bool,
    },
    /// All upstreams of a pool asked for a pause, so a call to it is refused at once.
    PoolPaused {
        /// The call.
        call: &'a str,
        /// The pool.
        pool: &'a str,
        /// Time until the first that the call was not sent to wants calls again, in ms; none if it was
        /// sent to all.
        opens_ms: Option<u64>,
    },
    /// A call that is late is not sent, since its stream would not end in its time.
    TooLate {
        /// The call.
        call: &'a str,
        /// Events that its stream is expected to have.
        expected_events: u64,
        /// How long they take at the pace of streams now, in ms.
        needs_ms: u64,
        /// What is left of its time, in ms.
        left_ms: u64,
    },
    /// An attempt begins.
    Sent {
        /// The call.
        call: &'a str,
        /// Its upstream.
        upstream: &'a str,
        /// Which attempt, from 1.
        attempt: u32,
        /// The upstream's cost, in thousandths of the call's target.
        cost: i64,
        /// Prompt tokens that it has to read.
        unread: u32,
        /// Tokens of the prompt's shared parts.
        shared: u32,
        /// Tokens of them that some upstream keeps, as far as this node knows.
        known: u32,
        /// Tokens of them that this one keeps.
        kept: u32,
        /// Whether it fetches parts of the prompt from another upstream.
        fetches: bool,
        /// Time that is left, in ms.
        left_ms: u64,
    },
    /// An attempt ended without an answer that can be passed on.
    AttemptEnded {
        /// The call.
        call: &'a str,
        /// Its upstream.
        upstream: &'a str,
        /// How.
        end: &'a str,
        /// What is done next.
        next: &'a str,
        /// More on it.
        reason: &'a str,
    },
    /// The limit that an upstream names is another one.
    LimitChanged {
        /// The upstream's id.
        upstream: &'a str,
        /// Requests a second that it takes from all nodes together; none if it names no limit any more.
        per_second: Option<f64>,
        /// `own` or the node that told.
        source: &'a str,
    },
    /// An upstream that refused a call wants nothing from this node for a while.
    PauseAsked {
        /// The upstream's id.
        upstream: &'a str,
        /// For how long, in ms.
        pause_ms: u64,
    },
    /// An upstream's connection broke under a call, which it is remembered for.
    UpstreamBroke {
        /// The call.
        call: &'a str,
        /// Digest of what it asks for.
        content: &'a str,
        /// The upstream.
        upstream: &'a str,
        /// Runs of upstreams that broke off under such calls so far, as far as this node knows.
        crashes: usize,
    },
    /// Calls for something are kept from upstreams from now on, or no longer.
    QuarantineChanged {
        /// Digest of what they ask for.
        content: &'a str,
        /// Whether they are kept from them.
        quarantined: bool,
        /// Runs of upstreams that broke off under them.
        crashes: usize,
        /// `own`, `store` or the node that told.
        source: &'a str,
    },
    /// A call was not sent, as upstreams crashed under such calls.
    CallQuarantined {
        /// The call.
        call: &'a str,
        /// Digest of what it asks for.
        content: &'a str,
        /// Runs of upstreams that broke off under such calls.
        crashes: usize,
        /// What its caller is told to wait, in ms.
        pause_ms: u64,
    },
    /// A stream goes on at another upstream.
    Resumed {
        /// The call.
        call: &'a str,
        /// Its upstream.
        upstream: &'a str,
        /// The last event that the caller has.
        after: u64,
    },
    /// A call ended.
    Ended {
        /// The call.
        call: &'a str,
        /// Its outcome.
        outcome: &'a str,
        /// The answer's status; 0 if the caller left before it.
        status: u16,
        /// Time since its head was read, in ms.
        took_ms: u64,
        /// Time to the first piece of its answer, in ms.
        first_ms: Option<u64>,
        /// Events that were passed on.
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

/// Bytes that wait to be written before lines are dropped.
const MOST_BYTES: usize = 256 << 10;
/// Chunks that wait for the writing thread.
const MOST_CHUNKS: usize = 8;
/// Time between two writes: what a line waits at most, against one wake-up for each.
const WRITE_PAUSE: Duration = Duration::from_millis(200);

/// Takes lines in and has them written.
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
        let (chunks, waiting) = sync_channel::<Vec<u8>>(MOST_CHUNKS);
        std::thread::spawn(move || {
            while let Ok(chunk) = waiting.recv() {
                let mut output = std::io::stdout().lock();
                // Without a reader there is no one left to tell.
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

    /// Takes a line in.
    pub fn record(&self, decision: &Decision) {
        let now = self.clock.now();
        let mut buffer = self.buffer.borrow_mut();
        if buffer.len() > MOST_BYTES {
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
        let due = self.flush_due.get().unwrap_or(now + WRITE_PAUSE);
        self.flush_due.set(Some(due));
        if now >= due {
            self.flush();
        }
    }

    /// Hands what has gathered to the writing thread.
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
            // Without the writing thread no one reads them; nothing is kept for later.
            Ok(()) | Err(TrySendError::Disconnected(_)) => self.dropped.set(0),
        }
    }

    /// Writes what is left, at the process's end.
    pub fn finish(&self) {
        self.flush();
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Whole milliseconds.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
