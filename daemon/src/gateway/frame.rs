//! Compression of answers to other nodes.

use std::collections::VecDeque;
use std::io::{self, Read};

use bytes::Bytes;

/// Fastest of zstd's standard levels.
const LEVEL: i32 = 1;
/// Largest decompressed answer, in bytes; the same bound as for any answer that is read.
const MAX_BYTES: u64 = 16 << 20;

/// Number of encoded answers that are kept.
const KEPT_ANSWERS: usize = 8;

/// Encoded answers that other nodes are likely to ask for again: nodes that start together ask the
/// same, and encoding thousands of entries for each would take longer than sending them.
#[derive(Debug, Default)]
pub struct AnswerCache {
    answers: VecDeque<(u64, Bytes)>,
}

impl AnswerCache {
    /// Returns the answer to a question, given the digest of the question and of the state that
    /// answers it; `None` if it is not kept.
    pub fn get(&self, digest: u64) -> Option<Bytes> {
        let mut answers = self.answers.iter();
        let (_, answer) = answers.find(|(known, _)| *known == digest)?;
        Some(answer.clone())
    }

    /// Keeps an answer, in place of the oldest one.
    pub fn put(&mut self, digest: u64, answer: Bytes) {
        self.answers.push_back((digest, answer));
        if self.answers.len() > KEPT_ANSWERS {
            self.answers.pop_front();
        }
    }
}

/// Compresses an answer into a zstd frame.
///
/// # Errors
///
/// If zstd cannot allocate memory.
pub fn compress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    zstd::bulk::compress(bytes, LEVEL)
}

/// Decompresses the answer in a zstd frame.
///
/// # Errors
///
/// If `frame` is not a valid zstd frame, or if its content exceeds 16 MiB.
pub fn decompress(frame: &[u8]) -> io::Result<Vec<u8>> {
    let decoder = zstd::stream::Decoder::new(frame)?;
    let mut bytes = Vec::new();
    decoder.take(MAX_BYTES + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the answer is too large",
        ));
    }
    Ok(bytes)
}
