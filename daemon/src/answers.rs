//! Answers of calls with an idempotency key, kept for repeats of the key.

use std::collections::BTreeMap;

use monsoonbank_kernel::ids::CallId;

use crate::frame::Chunk;

/// Largest answer that is kept; a repeat of a larger one gets `unknown`.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Most bytes of all answers that are kept.
const MAX_KEPT_BYTES: usize = 64 << 20;

#[derive(Debug, Default)]
struct KeptAnswer {
    pieces: Vec<(u32, Chunk)>,
    bytes: usize,
    truncated: bool,
}

/// Answers kept for repeats, within bounds.
#[derive(Debug, Default)]
pub struct AnswerStore {
    answers: BTreeMap<CallId, KeptAnswer>,
    bytes: usize,
}

impl AnswerStore {
    /// Answers kept now.
    pub fn len(&self) -> usize {
        self.answers.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// Begins to keep a call's answer.
    pub fn begin(&mut self, call: CallId) {
        self.answers.entry(call).or_default();
    }

    /// Keeps a piece, if the call's answer is kept and there is room.
    pub fn add(&mut self, call: CallId, index: u32, chunk: &Chunk) {
        let Some(answer) = self.answers.get_mut(&call) else {
            return;
        };
        let bytes = chunk.bytes();
        let over = answer.bytes + bytes > MAX_ANSWER_BYTES || self.bytes + bytes > MAX_KEPT_BYTES;
        if answer.truncated || over {
            self.bytes -= answer.bytes;
            *answer = KeptAnswer {
                truncated: true,
                ..KeptAnswer::default()
            };
            return;
        }
        answer.pieces.push((index, chunk.clone()));
        answer.bytes += bytes;
        self.bytes += bytes;
    }

    /// The pieces kept of a call's answer.
    pub fn pieces(&self, call: CallId) -> Vec<(u32, Chunk)> {
        let answer = self.answers.get(&call);
        answer.map_or_else(Vec::new, |answer| answer.pieces.clone())
    }

    /// Forgets a call's answer.
    pub fn forget(&mut self, call: CallId) {
        if let Some(answer) = self.answers.remove(&call) {
            self.bytes -= answer.bytes;
        }
    }
}
