//! Destination of an answer's chunks: a caller's task, or the node that relayed the call.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use monsoonbank_kernel::call::CallOutcome;
use monsoonbank_kernel::ids::{CallId, NodeId};
use tokio::sync::mpsc;

use crate::frame::{Chunk, Frame};

/// Event sent to a caller's task.
#[derive(Clone, Debug)]
pub enum CallerEvent {
    /// The next chunk of the answer.
    Chunk(Chunk),
    /// The call has ended; no event follows.
    Finished(CallOutcome),
}

/// Receiving end of an open call's answer.
#[derive(Debug)]
pub struct CallReceiver {
    events: mpsc::UnboundedReceiver<CallerEvent>,
    waiting: Arc<AtomicUsize>,
}

impl CallReceiver {
    /// Waits for the next chunk or the end. `None` if the call was dropped without an outcome.
    pub async fn next(&mut self) -> Option<CallerEvent> {
        let event = self.events.recv().await?;
        if let CallerEvent::Chunk(chunk) = &event {
            self.waiting.fetch_sub(chunk.bytes(), Ordering::Relaxed);
        }
        Some(event)
    }
}

/// Result of passing a chunk to a sink.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutResult {
    /// The chunk was queued or sent.
    Accepted,
    /// The chunk was queued, but the caller's unread bytes exceed the limit.
    OverLimit,
    /// The caller has disconnected; the chunk was discarded.
    Disconnected,
}

/// Sending end of an open call's answer.
#[derive(Debug)]
pub struct CallerSink {
    sender: mpsc::UnboundedSender<CallerEvent>,
    waiting: Arc<AtomicUsize>,
    limit: usize,
}

/// Destination of an answer's chunks.
#[derive(Debug)]
pub enum CallSink {
    /// A caller's task on this node.
    Caller(CallerSink),
    /// The node that relayed the call.
    Peer(NodeId),
}

impl CallSink {
    /// Creates a sink for a caller whose unread bytes may not exceed `limit`.
    pub fn caller(limit: usize) -> (Self, CallReceiver) {
        let (sender, events) = mpsc::unbounded_channel();
        let waiting = Arc::<AtomicUsize>::default();
        let sink = CallerSink {
            sender,
            waiting: Arc::clone(&waiting),
            limit,
        };
        (Self::Caller(sink), CallReceiver { events, waiting })
    }

    /// Passes a chunk to the destination; `send` is used for a peer.
    pub fn put(
        &mut self,
        call: CallId,
        index: u32,
        chunk: Chunk,
        send: &mut dyn FnMut(NodeId, Frame),
    ) -> PutResult {
        match self {
            Self::Caller(sink) => sink.put(chunk),
            Self::Peer(node) => {
                send(*node, Frame::Relayed(call, index, chunk));
                PutResult::Accepted
            }
        }
    }

    /// Ends the answer for a caller. For a peer the kernel sends the outcome in a message.
    pub fn finish(&mut self, outcome: CallOutcome) {
        if let Self::Caller(sink) = self {
            // Sending fails only if the caller has disconnected; it needs no outcome then.
            let _ = sink.sender.send(CallerEvent::Finished(outcome));
        }
    }
}

impl CallerSink {
    fn put(&self, chunk: Chunk) -> PutResult {
        let bytes = chunk.bytes();
        let waiting = self.waiting.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if self.sender.send(CallerEvent::Chunk(chunk)).is_err() {
            return PutResult::Disconnected;
        }
        if waiting > self.limit {
            PutResult::OverLimit
        } else {
            PutResult::Accepted
        }
    }
}
