//! Answers to calls with an idempotency key, kept for repeats of the key.

use std::collections::BTreeMap;

use monsoonbank_kernel::ids::CallId;

use crate::frame::Chunk;

/// Maximum size of a kept answer, in bytes. A repeat of a call with a larger one gets `unknown`.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Maximum total size of all kept answers, in bytes.
const MAX_KEPT_BYTES: usize = 64 << 20;

#[derive(Debug, Default)]
struct KeptAnswer {
    chunks: Vec<(u32, Chunk)>,
    bytes: usize,
    truncated: bool,
}

/// Answers kept for repeats, limited in size one by one and in total.
#[derive(Debug, Default)]
pub struct AnswerStore {
    answers: BTreeMap<CallId, KeptAnswer>,
    bytes: usize,
}

impl AnswerStore {
    /// Number of calls whose answers are kept.
    pub fn len(&self) -> usize {
        self.answers.len()
    }

    /// Whether no answer is kept.
    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// Starts keeping a call's answer. Has no effect if it is already kept.
    pub fn begin(&mut self, call: CallId) {
        self.answers.entry(call).or_default();
    }

    /// Adds a chunk if the call's answer is kept. An answer that exceeds a limit is emptied and gets
    /// no further chunks.
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
        answer.chunks.push((index, chunk.clone()));
        answer.bytes += bytes;
        self.bytes += bytes;
    }

    /// Kept chunks of a call's answer with their indices; empty if none are kept.
    pub fn chunks(&self, call: CallId) -> Vec<(u32, Chunk)> {
        let answer = self.answers.get(&call);
        answer.map_or_else(Vec::new, |answer| answer.chunks.clone())
    }

    /// Removes a call's answer.
    pub fn remove(&mut self, call: CallId) {
        if let Some(answer) = self.answers.remove(&call) {
            self.bytes -= answer.bytes;
        }
    }
}
