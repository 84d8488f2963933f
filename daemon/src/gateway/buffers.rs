//! Bounds the bytes of upstreams' answers that are held while they are read. An upstream in trouble may
//! send bytes without end, to many calls at a time.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

use crate::gateway::allowance::ReadAllowance;

/// Largest answer that is read whole, in bytes. Plain services answer with a few kB.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Bytes that all answers may hold together: a fifth of the memory of a small host.
const MAX_HELD_BYTES: usize = 32 << 20;
/// Bytes that each answer may hold, however much the others do.
const FREE_BYTES: usize = 64 << 10;

/// Reason why an answer is not read any further.
#[derive(Debug, Error)]
pub enum BufferError {
    /// The answer itself is too large.
    #[error("the answer is too large")]
    TooLarge,
    /// The answers that are being read hold too many bytes, and this one more than its free part.
    #[error("the answers that are being read are too large")]
    Full,
    /// The connection failed or the answer is malformed.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

/// Bytes that all answers hold.
#[derive(Debug, Default)]
pub struct AnswerBuffers {
    held: Cell<usize>,
}

/// Bytes that one answer holds, released when this is dropped.
#[derive(Debug)]
pub struct BufferHold {
    buffers: Rc<AnswerBuffers>,
    bytes: usize,
}

impl BufferHold {
    /// Creates the hold of an answer of which nothing was read yet.
    pub fn new(buffers: &Rc<AnswerBuffers>) -> Self {
        Self {
            buffers: buffers.clone(),
            bytes: 0,
        }
    }

    /// Sets the bytes that the answer holds.
    ///
    /// # Errors
    ///
    /// If the answer, or all answers together, would hold too many.
    pub fn set(&mut self, bytes: usize) -> Result<(), BufferError> {
        let held = self.buffers.held.get() - self.bytes + bytes;
        if bytes > MAX_ANSWER_BYTES {
            return Err(BufferError::TooLarge);
        }
        if bytes > FREE_BYTES.max(self.bytes) && held > MAX_HELD_BYTES {
            return Err(BufferError::Full);
        }
        self.buffers.held.set(held);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for BufferHold {
    fn drop(&mut self) {
        self.buffers.held.set(self.buffers.held.get() - self.bytes);
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// If the body ends early, or holds more bytes than answers may.
pub async fn read_whole(
    buffers: &Rc<AnswerBuffers>,
    allowance: &ReadAllowance,
    mut body: Incoming,
) -> Result<Bytes, BufferError> {
    let mut hold = BufferHold::new(buffers);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        allowance.renew();
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        hold.set(bytes.len() + data.len())?;
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}
