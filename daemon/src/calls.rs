//! The entry node's open calls: their request bodies, and the way back to their callers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use monsoonbank_kernel::call::CallOutcome;
use monsoonbank_kernel::ids::{AttemptId, CallId, NodeId};
use tokio::sync::mpsc;

use crate::frame::{Chunk, RequestParts};

/// What a caller's task gets.
#[derive(Clone, Debug)]
pub enum CallerEvent {
    /// The next piece of the answer.
    Chunk(Chunk),
    /// The call is over.
    Finished(CallOutcome),
}

/// Counts the bytes of an answer that a caller has not taken yet.
#[derive(Clone, Debug, Default)]
pub struct WaitingBytes(Arc<AtomicUsize>);

impl WaitingBytes {
    /// Takes `bytes` off the count.
    pub fn taken(&self, bytes: usize) {
        self.0.fetch_sub(bytes, Ordering::Relaxed);
    }

    fn put(&self, bytes: usize) -> usize {
        self.0.fetch_add(bytes, Ordering::Relaxed) + bytes
    }
}

/// A caller's end of an open call.
#[derive(Debug)]
pub struct CallReceiver {
    /// Pieces and the end.
    pub events: mpsc::UnboundedReceiver<CallerEvent>,
    /// Bytes sent and not taken yet.
    pub waiting: WaitingBytes,
}

#[derive(Debug)]
struct OpenCall {
    parts: Arc<RequestParts>,
    sender: mpsc::UnboundedSender<CallerEvent>,
    waiting: WaitingBytes,
    attempt: u32,
    owner: Option<NodeId>,
    next_index: u32,
}

/// What became of a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Passed on.
    Passed,
    /// Of an older attempt, doubled, or of a call that is over.
    Dropped,
    /// Pieces before it are missing.
    Gap,
    /// The caller takes its answer too slowly.
    Stalled,
}

/// The entry node's open calls.
#[derive(Debug)]
pub struct CallTable {
    calls: Mutex<BTreeMap<CallId, OpenCall>>,
    waiting_limit: usize,
}

impl CallTable {
    /// An empty table; a caller may leave at most `waiting_limit` bytes untaken.
    pub fn new(waiting_limit: usize) -> Self {
        Self {
            calls: Mutex::default(),
            waiting_limit,
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<CallId, OpenCall>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls open now.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no call is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a call.
    pub fn open(&self, call: CallId, parts: RequestParts) -> CallReceiver {
        let (sender, events) = mpsc::unbounded_channel();
        let waiting = WaitingBytes::default();
        let open = OpenCall {
            parts: Arc::new(parts),
            sender,
            waiting: waiting.clone(),
            attempt: 0,
            owner: None,
            next_index: 0,
        };
        self.lock().insert(call, open);
        CallReceiver { events, waiting }
    }

    /// The request of a call.
    pub fn parts(&self, call: CallId) -> Option<Arc<RequestParts>> {
        self.lock().get(&call).map(|open| Arc::clone(&open.parts))
    }

    /// From now on only this attempt may answer.
    pub fn accept(&self, attempt: AttemptId) {
        if let Some(open) = self.lock().get_mut(&attempt.call) {
            open.attempt = attempt.number;
        }
    }

    /// Remembers which owner was offered the call last.
    pub fn offered(&self, call: CallId, owner: NodeId) {
        if let Some(open) = self.lock().get_mut(&call) {
            open.owner = Some(owner);
        }
    }

    /// Passes a piece on to the caller, if it is the next one of the accepted attempt.
    pub fn deliver(&self, attempt: AttemptId, index: u32, chunk: Chunk) -> Delivery {
        let mut calls = self.lock();
        let Some(open) = calls.get_mut(&attempt.call) else {
            return Delivery::Dropped;
        };
        if open.attempt != attempt.number || index < open.next_index {
            return Delivery::Dropped;
        }
        if index > open.next_index {
            return Delivery::Gap;
        }
        open.next_index += u32::from(chunk.counts());
        let waiting = open.waiting.put(chunk.bytes());
        if open.sender.send(CallerEvent::Chunk(chunk)).is_err() {
            return Delivery::Dropped;
        }
        if waiting > self.waiting_limit {
            Delivery::Stalled
        } else {
            Delivery::Passed
        }
    }

    /// Ends a call. An answer counts as whole only if every piece of it was passed on.
    pub fn finish(&self, call: CallId, outcome: CallOutcome) {
        let Some(open) = self.lock().remove(&call) else {
            return;
        };
        let outcome = match outcome {
            CallOutcome::Whole { tokens } if tokens != open.next_index => {
                log::error!(
                    "call={call} event=incomplete expected={tokens} passed={}",
                    open.next_index
                );
                CallOutcome::Unknown
            }
            other => other,
        };
        // A caller that is gone needs no outcome.
        let _ = open.sender.send(CallerEvent::Finished(outcome));
    }

    /// Open calls whose newest attempt lies with `owner`, and the pieces passed on of each.
    pub fn held_by(&self, owner: NodeId) -> Vec<(AttemptId, u32)> {
        self.lock()
            .iter()
            .filter(|(_, open)| open.owner == Some(owner))
            .map(|(call, open)| {
                (
                    AttemptId {
                        call: *call,
                        number: open.attempt,
                    },
                    open.next_index,
                )
            })
            .collect()
    }
}
