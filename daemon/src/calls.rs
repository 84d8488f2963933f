//! The entry node's open calls: their request bodies, and the way back to their callers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use monsoonbank_kernel::call::CallOutcome;
use monsoonbank_kernel::ids::{AttemptId, CallId, NodeId};

use crate::answers::AnswerStore;
use crate::frame::{Chunk, Frame, RequestParts};
use crate::sink::{CallReceiver, CallSink, Intake};

/// Most pieces of a newer attempt that are held until it is accepted.
const MAX_EARLY_PIECES: usize = 64;

/// An offer of a call to an owner.
#[derive(Clone, Copy, Debug)]
struct OpenOffer {
    number: u32,
    owner: NodeId,
    sent: bool,
}

#[derive(Debug)]
struct EarlyPiece {
    number: u32,
    index: u32,
    chunk: Chunk,
}

#[derive(Debug)]
struct OpenCall {
    parts: Arc<RequestParts>,
    sink: CallSink,
    offers: Vec<OpenOffer>,
    /// The attempt whose pieces go on; 0 for none.
    accepted: u32,
    /// Index of the accepted attempt's first piece.
    base_index: u32,
    next_index: u32,
    early: Vec<EarlyPiece>,
    /// Repeats of this call that get the same answer.
    followers: Vec<CallId>,
}

/// What became of a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Passed on.
    Passed,
    /// Held until its attempt is accepted.
    Held,
    /// Of an older attempt, doubled, or of a call that is over.
    Dropped,
    /// Pieces before it are missing.
    Gap,
    /// The caller takes its answer too slowly.
    Stalled,
}

/// An attempt of which nothing more goes on to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Pieces of it that went on.
    pub tokens: u32,
    /// Whether any byte of the offer left the socket.
    pub sent: bool,
}

#[derive(Debug, Default)]
struct TableState {
    calls: BTreeMap<CallId, OpenCall>,
    answers: AnswerStore,
}

/// The entry node's open calls.
#[derive(Debug)]
pub struct CallTable {
    state: Mutex<TableState>,
    waiting_limit: usize,
}

impl CallTable {
    /// An empty table; a caller may leave at most `waiting_limit` bytes untaken.
    pub fn new(waiting_limit: usize) -> Self {
        Self {
            state: Mutex::default(),
            waiting_limit,
        }
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls open now.
    pub fn len(&self) -> usize {
        self.lock().calls.len()
    }

    /// Whether no call is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Answers kept for repeats now.
    pub fn answers_kept(&self) -> usize {
        self.lock().answers.len()
    }

    /// Adds a caller's call.
    pub fn open(&self, call: CallId, parts: RequestParts) -> CallReceiver {
        let (sink, receiver) = CallSink::caller(self.waiting_limit);
        self.insert(call, parts, sink);
        receiver
    }

    /// Adds a call that another node relayed here; a doubled one changes nothing.
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

    /// The request of a call.
    pub fn parts(&self, call: CallId) -> Option<Arc<RequestParts>> {
        self.lock()
            .calls
            .get(&call)
            .map(|open| Arc::clone(&open.parts))
    }

    /// Remembers an offer to another node.
    pub fn offered(&self, attempt: AttemptId, owner: NodeId) {
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

    /// The offer is about to leave the socket.
    pub fn sending(&self, attempt: AttemptId) {
        let mut state = self.lock();
        let Some(open) = state.calls.get_mut(&attempt.call) else {
            return;
        };
        let offers = open.offers.iter_mut();
        for offer in offers.filter(|offer| offer.number == attempt.number) {
            offer.sent = true;
        }
    }

    /// From now on only this attempt may answer.
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
        for piece in early {
            if piece.number == attempt.number {
                pass(&mut state, attempt, piece.index, piece.chunk, send);
            }
        }
    }

    /// Passes a piece on to the caller, if it is the next one of the accepted attempt.
    pub fn deliver(
        &self,
        attempt: AttemptId,
        index: u32,
        chunk: Chunk,
        send: &mut dyn FnMut(NodeId, Frame),
    ) -> Delivery {
        pass(&mut self.lock(), attempt, index, chunk, send)
    }

    /// Passes on a piece of a call that this node relayed to another.
    pub fn deliver_relayed(&self, call: CallId, index: u32, chunk: Chunk) -> Delivery {
        let mut state = self.lock();
        let Some(open) = state.calls.get_mut(&call) else {
            return Delivery::Dropped;
        };
        if index != open.next_index {
            return misplaced(index, open.next_index);
        }
        open.next_index += u32::from(chunk.counts());
        intake_delivery(open.sink.put(call, index, chunk, &mut |_, _| {}))
    }

    /// Nothing more of this attempt goes on.
    pub fn withdraw(&self, attempt: AttemptId, own: NodeId) -> Option<LostAttempt> {
        let mut state = self.lock();
        let open = state.calls.get_mut(&attempt.call)?;
        let offer = open
            .offers
            .iter()
            .position(|offer| offer.number == attempt.number)
            .map(|place| open.offers.remove(place));
        Some(open.lose(attempt, offer, own))
    }

    /// Nothing more goes on of any attempt that lies with `owner`.
    pub fn lose_owner(&self, owner: NodeId) -> Vec<LostAttempt> {
        let mut lost = Vec::new();
        for (call, open) in &mut self.lock().calls {
            while let Some(place) = open.offers.iter().position(|offer| offer.owner == owner) {
                let offer = open.offers.remove(place);
                let attempt = AttemptId {
                    call: *call,
                    number: offer.number,
                };
                lost.push(open.lose(attempt, Some(offer), owner));
            }
        }
        lost
    }

    /// Gives the answer of `original`, so far and from now on, to a repeat of it.
    pub fn attach(&self, call: CallId, original: CallId, send: &mut dyn FnMut(NodeId, Frame)) {
        let mut state = self.lock();
        let pieces = state.answers.pieces(original);
        if let Some(open) = state.calls.get_mut(&original) {
            open.followers.push(call);
        }
        state.answers.forget(call);
        let Some(open) = state.calls.get_mut(&call) else {
            return;
        };
        for (index, chunk) in pieces {
            open.next_index += u32::from(chunk.counts());
            open.sink.put(call, index, chunk, send);
        }
    }

    /// The answer need not be kept any longer.
    pub fn forget_answer(&self, call: CallId) {
        self.lock().answers.forget(call);
    }

    /// Ends a call. An answer counts as whole only if every piece of it was passed on.
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
    fn lose(&mut self, attempt: AttemptId, offer: Option<OpenOffer>, own: NodeId) -> LostAttempt {
        let accepted = self.accepted == attempt.number;
        let tokens = if accepted {
            self.next_index - self.base_index
        } else {
            0
        };
        if accepted {
            self.accepted = 0;
        }
        self.early.retain(|piece| piece.number != attempt.number);
        let sent = offer.is_none_or(|offer| offer.sent || offer.owner == own);
        LostAttempt {
            attempt,
            tokens,
            sent,
        }
    }
}

fn pass(
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
    if attempt.number > open.accepted && open.early.len() < MAX_EARLY_PIECES {
        let number = attempt.number;
        open.early.push(EarlyPiece {
            number,
            index,
            chunk,
        });
        return Delivery::Held;
    }
    if attempt.number != open.accepted {
        return Delivery::Dropped;
    }
    if index != open.next_index {
        return misplaced(index, open.next_index);
    }
    open.next_index += u32::from(chunk.counts());
    let followers = open.followers.clone();
    state.answers.add(call, index, &chunk);
    let delivery = intake_delivery(open.sink.put(call, index, chunk.clone(), send));
    for follower in followers {
        if let Some(open) = state.calls.get_mut(&follower) {
            open.next_index += u32::from(chunk.counts());
            open.sink.put(follower, index, chunk.clone(), send);
        }
    }
    delivery
}

fn misplaced(index: u32, next: u32) -> Delivery {
    if index < next {
        Delivery::Dropped
    } else {
        Delivery::Gap
    }
}

fn intake_delivery(intake: Intake) -> Delivery {
    match intake {
        Intake::Taken | Intake::Gone => Delivery::Passed,
        Intake::Full => Delivery::Stalled,
    }
}
