//! Open calls at their entry node: request bodies, attempts, and forwarding of answers to callers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use monsoonbank_kernel::call::CallOutcome;
use monsoonbank_kernel::ids::{AttemptId, CallId, NodeId};

use crate::answers::AnswerStore;
use crate::frame::{Chunk, Frame, RequestParts};
use crate::sink::{CallReceiver, CallSink, PutResult};

/// Maximum number of chunks per call that are buffered for attempts not accepted yet.
const MAX_EARLY_CHUNKS: usize = 64;

/// An attempt that was offered to the owner of an upstream.
#[derive(Clone, Copy, Debug)]
struct OpenOffer {
    number: u32,
    owner: NodeId,
    sent: bool,
}

#[derive(Debug)]
struct EarlyChunk {
    number: u32,
    index: u32,
    chunk: Chunk,
}

#[derive(Debug)]
struct OpenCall {
    parts: Arc<RequestParts>,
    sink: CallSink,
    offers: Vec<OpenOffer>,
    /// Number of the attempt whose chunks are forwarded; 0 for none.
    accepted: u32,
    /// Index of the accepted attempt's first chunk.
    base_index: u32,
    next_index: u32,
    early: Vec<EarlyChunk>,
    /// Repeats of this call, under the same idempotency key, that get the same answer.
    followers: Vec<CallId>,
}

/// Result of the delivery of a chunk of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Forwarded to the caller, or discarded because the caller has disconnected.
    Forwarded,
    /// Buffered until its attempt is accepted.
    Buffered,
    /// Dropped: it belongs to an attempt that is no longer accepted or to a call that has ended, or
    /// is a duplicate.
    Dropped,
    /// Dropped: chunks before it are missing.
    Gap,
    /// Forwarded, but the caller reads its answer too slowly: more than the limit is unread.
    Stalled,
}

/// An attempt whose further chunks are not forwarded to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostAttempt {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Number of its chunks that were forwarded.
    pub tokens: u32,
    /// Whether the offer may have reached the owner, because it was written to the socket or the
    /// owner is this node.
    pub sent: bool,
}

#[derive(Debug, Default)]
struct TableState {
    calls: BTreeMap<CallId, OpenCall>,
    answers: AnswerStore,
}

/// Open calls at their entry node, and the answers kept for repeats.
#[derive(Debug)]
pub struct CallTable {
    state: Mutex<TableState>,
    waiting_limit: usize,
}

impl CallTable {
    /// Creates an empty table. An answer with more than `waiting_limit` unread bytes is stalled.
    pub fn new(waiting_limit: usize) -> Self {
        Self {
            state: Mutex::default(),
            waiting_limit,
        }
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of open calls.
    pub fn len(&self) -> usize {
        self.lock().calls.len()
    }

    /// Whether no call is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of answers kept for repeats.
    pub fn answers_kept(&self) -> usize {
        self.lock().answers.len()
    }

    /// Adds a call from a caller and returns the receiving end of its answer.
    pub fn open(&self, call: CallId, parts: RequestParts) -> CallReceiver {
        let (sink, receiver) = CallSink::caller(self.waiting_limit);
        self.insert(call, parts, sink);
        receiver
    }

    /// Adds a call that another node relayed to this one. Has no effect if the call is already open.
    pub fn open_relayed(&self, call: CallId, parts: RequestParts, from: NodeId) {
        if !self.lock().calls.contains_key(&call) {
            self.insert(call, parts, CallSink::Peer(from));
        }
    }

    fn insert(&self, call: CallId, parts: RequestParts, sink: CallSink) {
        let mut state = self.lock();
        if parts.key.is_some() {
            state.answers.begin(call);
        }
        let open = OpenCall {
            parts: Arc::new(parts),
            sink,
            offers: Vec::new(),
            accepted: 0,
            base_index: 0,
            next_index: 0,
            early: Vec::new(),
            followers: Vec::new(),
        };
        state.calls.insert(call, open);
    }

    /// The request of a call; `None` if the call is not open.
    pub fn parts(&self, call: CallId) -> Option<Arc<RequestParts>> {
        self.lock()
            .calls
            .get(&call)
            .map(|open| Arc::clone(&open.parts))
    }

    /// Records that an attempt is being offered to an owner. Replaces an earlier offer of it.
    pub fn record_offer(&self, attempt: AttemptId, owner: NodeId) {
        if let Some(open) = self.lock().calls.get_mut(&attempt.call) {
            let number = attempt.number;
            open.offers.retain(|offer| offer.number != number);
            let sent = false;
            open.offers.push(OpenOffer {
                number,
                owner,
                sent,
            });
        }
    }

    /// Records that an attempt's offer is being written to the socket.
    pub fn mark_sent(&self, attempt: AttemptId) {
        let mut state = self.lock();
        let Some(open) = state.calls.get_mut(&attempt.call) else {
            return;
        };
        let offers = open.offers.iter_mut();
        for offer in offers.filter(|offer| offer.number == attempt.number) {
            offer.sent = true;
        }
    }

    /// Accepts an attempt: forwards its buffered chunks and drops those of all others. Its first chunk
    /// has the index `resume_from`.
    pub fn accept(
        &self,
        attempt: AttemptId,
        resume_from: u32,
        send: &mut dyn FnMut(NodeId, Frame),
    ) {
        let mut state = self.lock();
        let Some(open) = state.calls.get_mut(&attempt.call) else {
            return;
        };
        open.accepted = attempt.number;
        open.base_index = resume_from;
        let early = std::mem::take(&mut open.early);
        for buffered in early {
            if buffered.number == attempt.number {
                forward(&mut state, attempt, buffered.index, buffered.chunk, send);
            }
        }
    }

    /// Forwards a chunk to the caller if it is the next one of the accepted attempt.
    pub fn deliver(
        &self,
        attempt: AttemptId,
        index: u32,
        chunk: Chunk,
        send: &mut dyn FnMut(NodeId, Frame),
    ) -> Delivery {
        forward(&mut self.lock(), attempt, index, chunk, send)
    }

    /// Forwards a chunk of a call that this node relayed to another node.
    pub fn deliver_relayed(&self, call: CallId, index: u32, chunk: Chunk) -> Delivery {
        let mut state = self.lock();
        let Some(open) = state.calls.get_mut(&call) else {
            return Delivery::Dropped;
        };
        if index != open.next_index {
            return out_of_order(index, open.next_index);
        }
        open.next_index += u32::from(chunk.advances_index());
        delivery_of(open.sink.put(call, index, chunk, &mut |_, _| {}))
    }

    /// Stops forwarding an attempt. `None` if its call is not open.
    pub fn withdraw(&self, attempt: AttemptId, own: NodeId) -> Option<LostAttempt> {
        let mut state = self.lock();
        let open = state.calls.get_mut(&attempt.call)?;
        let offer = open
            .offers
            .iter()
            .position(|offer| offer.number == attempt.number)
            .map(|place| open.offers.remove(place));
        Some(open.withdraw(attempt, offer, own))
    }

    /// Stops forwarding every attempt that was offered to `owner`.
    pub fn withdraw_owner(&self, owner: NodeId) -> Vec<LostAttempt> {
        let mut lost = Vec::new();
        for (call, open) in &mut self.lock().calls {
            while let Some(place) = open.offers.iter().position(|offer| offer.owner == owner) {
                let offer = open.offers.remove(place);
                let attempt = AttemptId {
                    call: *call,
                    number: offer.number,
                };
                lost.push(open.withdraw(attempt, Some(offer), owner));
            }
        }
        lost
    }

    /// Forwards the answer of `original` to its repeat `call`: first the kept chunks, then the new
    /// ones as they arrive.
    pub fn attach(&self, call: CallId, original: CallId, send: &mut dyn FnMut(NodeId, Frame)) {
        let mut state = self.lock();
        let chunks = state.answers.chunks(original);
        if let Some(open) = state.calls.get_mut(&original) {
            open.followers.push(call);
        }
        state.answers.remove(call);
        let Some(open) = state.calls.get_mut(&call) else {
            return;
        };
        for (index, chunk) in chunks {
            open.next_index += u32::from(chunk.advances_index());
            open.sink.put(call, index, chunk, send);
        }
    }

    /// Removes the kept answer of a call.
    pub fn remove_answer(&self, call: CallId) {
        self.lock().answers.remove(call);
    }

    /// Ends a call. A whole answer of which some chunks were not forwarded is reported as unknown.
    pub fn finish(&self, call: CallId, outcome: CallOutcome) {
        let Some(mut open) = self.lock().calls.remove(&call) else {
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
        open.sink.finish(outcome);
    }
}

impl OpenCall {
    fn withdraw(
        &mut self,
        attempt: AttemptId,
        offer: Option<OpenOffer>,
        own: NodeId,
    ) -> LostAttempt {
        let accepted = self.accepted == attempt.number;
        let tokens = if accepted {
            self.next_index - self.base_index
        } else {
            0
        };
        if accepted {
            self.accepted = 0;
        }
        self.early.retain(|early| early.number != attempt.number);
        let sent = offer.is_none_or(|offer| offer.sent || offer.owner == own);
        LostAttempt {
            attempt,
            tokens,
            sent,
        }
    }
}

fn forward(
    state: &mut TableState,
    attempt: AttemptId,
    index: u32,
    chunk: Chunk,
    send: &mut dyn FnMut(NodeId, Frame),
) -> Delivery {
    let call = attempt.call;
    let Some(open) = state.calls.get_mut(&call) else {
        return Delivery::Dropped;
    };
    if attempt.number > open.accepted && open.early.len() < MAX_EARLY_CHUNKS {
        let number = attempt.number;
        open.early.push(EarlyChunk {
            number,
            index,
            chunk,
        });
        return Delivery::Buffered;
    }
    if attempt.number != open.accepted {
        return Delivery::Dropped;
    }
    if index != open.next_index {
        return out_of_order(index, open.next_index);
    }
    open.next_index += u32::from(chunk.advances_index());
    let followers = open.followers.clone();
    state.answers.add(call, index, &chunk);
    let delivery = delivery_of(open.sink.put(call, index, chunk.clone(), send));
    for follower in followers {
        if let Some(open) = state.calls.get_mut(&follower) {
            open.next_index += u32::from(chunk.advances_index());
            open.sink.put(follower, index, chunk.clone(), send);
        }
    }
    delivery
}

fn out_of_order(index: u32, next: u32) -> Delivery {
    if index < next {
        Delivery::Dropped
    } else {
        Delivery::Gap
    }
}

fn delivery_of(result: PutResult) -> Delivery {
    match result {
        PutResult::Accepted | PutResult::Disconnected => Delivery::Forwarded,
        PutResult::OverLimit => Delivery::Stalled,
    }
}
