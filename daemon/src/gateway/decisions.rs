//! Structured lines on standard output: one for each decision and each change in the view of other
//! nodes, upstreams and the store.
//!
//! Lines are JSON. They are buffered up to a bound and written by a separate thread, so that a
//! stalled reader never blocks a call; lines that exceed the bound are counted and dropped.

mod call;
mod node;
mod store;
mod upstream;

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::Duration;

use derive_more::From;
use monsoonbank_kernel::clock::{Clock, MonotonicClock};
use serde::Serialize;

pub use crate::gateway::decisions::call::{CallDecision, PartName, part_names};
pub use crate::gateway::decisions::node::NodeDecision;
pub use crate::gateway::decisions::store::StoreDecision;
pub use crate::gateway::decisions::upstream::UpstreamDecision;

/// Event of a line, with its fields.
#[derive(Debug, Serialize, From)]
#[serde(untagged)]
pub enum Decision<'a> {
    /// About the node itself.
    Node(NodeDecision<'a>),
    /// About an upstream.
    Upstream(UpstreamDecision<'a>),
    /// About the store or a duty.
    Store(StoreDecision<'a>),
    /// About a call.
    Call(CallDecision<'a>),
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
    pub fn record<'a>(&self, decision: impl Into<Decision<'a>>) {
        let now = self.clock.now();
        let mut buffer = self.buffer.borrow_mut();
        if buffer.len() > MAX_BUFFERED_BYTES {
            self.dropped.set(self.dropped.get() + 1);
        } else {
            let text = LineText {
                ms: millis(now),
                node: &self.node,
                decision: &decision.into(),
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
