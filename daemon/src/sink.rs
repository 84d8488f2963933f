//! Where the pieces of an answer go: a caller's task, or the node that relayed the call.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use monsoonbank_kernel::call::CallOutcome;
use monsoonbank_kernel::ids::{CallId, NodeId};
use tokio::sync::mpsc;

use crate::frame::{Chunk, Frame};

/// What a caller's task gets.
#[derive(Clone, Debug)]
pub enum CallerEvent {
    /// The next piece of the answer.
    Chunk(Chunk),
    /// The call is over.
    Finished(CallOutcome),
}

/// A caller's end of an open call.
#[derive(Debug)]
pub struct CallReceiver {
    events: mpsc::UnboundedReceiver<CallerEvent>,
    waiting: Arc<AtomicUsize>,
}

impl CallReceiver {
    /// The next piece or the end.
    pub async fn next(&mut self) -> Option<CallerEvent> {
        let event = self.events.recv().await?;
        if let CallerEvent::Chunk(chunk) = &event {
            self.waiting.fetch_sub(chunk.bytes(), Ordering::Relaxed);
        }
        Some(event)
    }
}

/// What became of a piece at its sink.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// Taken.
    Taken,
    /// Taken, but too much waits for the caller by now.
    Full,
    /// The caller is gone.
    Gone,
}

/// The sending end for a caller's task.
#[derive(Debug)]
pub struct CallerSink {
    sender: mpsc::UnboundedSender<CallerEvent>,
    waiting: Arc<AtomicUsize>,
    limit: usize,
}

/// Where the pieces of an answer go.
#[derive(Debug)]
pub enum CallSink {
    /// To a caller's task.
    Caller(CallerSink),
    /// To the node that relayed the call.
    Peer(NodeId),
}

impl CallSink {
    /// A sink for a caller that may leave at most `limit` bytes untaken.
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

    /// Passes a piece on.
    pub fn put(
        &mut self,
        call: CallId,
        index: u32,
        chunk: Chunk,
        send: &mut dyn FnMut(NodeId, Frame),
    ) -> Intake {
        match self {
            Self::Caller(sink) => sink.put(chunk),
            Self::Peer(node) => {
                send(*node, Frame::Relayed(call, index, chunk));
                Intake::Taken
            }
        }
    }

    /// Ends the answer. A node that relayed the call is told by the kernel.
    pub fn finish(&mut self, outcome: CallOutcome) {
        if let Self::Caller(sink) = self {
            // A caller that is gone needs no outcome.
            let _ = sink.sender.send(CallerEvent::Finished(outcome));
        }
    }
}

impl CallerSink {
    fn put(&self, chunk: Chunk) -> Intake {
        let bytes = chunk.bytes();
        let waiting = self.waiting.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if self.sender.send(CallerEvent::Chunk(chunk)).is_err() {
            return Intake::Gone;
        }
        if waiting > self.limit {
            Intake::Full
        } else {
            Intake::Taken
        }
    }
}
