//! Reads request bodies into memory that is charged to the account of the node, and sends them on.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;

use crate::account::{BodyAccount, BodyHold, MemoryError};

/// Size of the first piece of memory that a body is read into, in bytes. A prompt usually fits.
const FIRST_SEGMENT_BYTES: usize = 16 << 10;
/// Largest piece of memory that a body is read into. Pieces are never moved, so a large body needs no
/// memory for a copy while it grows.
const MAX_SEGMENT_BYTES: usize = 64 << 10;
/// Time for which the rest of a refused body is read and discarded, so that a client which reads only
/// after it has written its whole request receives the answer.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// Reason why a body was not read to its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is larger than allowed, or announced to be.
    #[error("the body is too large")]
    TooLarge,
    /// This node has no memory for it.
    #[error("{0}")]
    Memory(#[from] MemoryError),
    /// The client took too long.
    #[error("the body took too long")]
    TimedOut,
    /// The connection broke, or the framing is malformed.
    #[error("the body cannot be read: {0}")]
    Unreadable(Box<str>),
}

/// A whole body. Its memory is charged until the last clone of any of its pieces is dropped.
#[derive(Clone, Debug)]
pub struct RequestBody {
    segments: Arc<[Bytes]>,
    hold: Arc<BodyHold>,
}

impl RequestBody {
    /// Returns the pieces of the body in order.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.segments.iter().map(Bytes::len).sum()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// The body's part of the account.
    pub fn hold(&self) -> &BodyHold {
        &self.hold
    }

    /// Returns the bytes in one piece, which holds the body's part of the account until its call ends. Room
    /// for `copies` more of the same size is charged as well.
    ///
    /// # Errors
    ///
    /// If there is no room.
    pub async fn into_bytes(self, copies: usize) -> Result<Bytes, MemoryError> {
        let size = self.len();
        self.hold.allocate(size * copies.max(1) + size).await?;
        let bytes = match &*self.segments {
            [only] => only.clone(),
            segments => hold_bytes(segments.concat(), &self.hold),
        };
        let hold = Arc::clone(&self.hold);
        drop(self);
        hold.charge(size * copies + size)?;
        hold.pin()?;
        Ok(bytes)
    }
}

/// Bytes that hold a part of the account as long as they are used.
struct HeldBytes<T> {
    bytes: T,
    _hold: Arc<BodyHold>,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for HeldBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

fn hold_bytes<T>(bytes: T, hold: &Arc<BodyHold>) -> Bytes
where
    T: AsRef<[u8]> + Send + 'static,
{
    Bytes::from_owner(HeldBytes {
        bytes,
        _hold: Arc::clone(hold),
    })
}

/// Charges a whole body that another node sent, and room for `copies` more of the same size, until its
/// last use.
///
/// # Errors
///
/// If there is no room.
pub fn charge_received(
    account: &Arc<BodyAccount>,
    body: Bytes,
    copies: usize,
) -> Result<Bytes, MemoryError> {
    let hold = Arc::new(BodyHold::open(account));
    hold.charge(body.len() * copies + body.len())?;
    hold.pin()?;
    Ok(hold_bytes(body, &hold))
}

/// Memory that a body is being read into.
struct SegmentBuffer {
    hold: Arc<BodyHold>,
    full: Vec<Bytes>,
    last: Vec<u8>,
    /// Capacity of `last`, which it never exceeds.
    capacity: usize,
    allocated: usize,
    received: usize,
    announced: Option<usize>,
}

impl SegmentBuffer {
    fn new(hold: BodyHold, announced: Option<usize>) -> Self {
        Self {
            hold: Arc::new(hold),
            full: Vec::new(),
            last: Vec::new(),
            capacity: 0,
            allocated: 0,
            received: 0,
            announced,
        }
    }

    async fn extend(&mut self, mut data: &[u8]) -> Result<(), MemoryError> {
        self.hold.progress();
        while !data.is_empty() {
            if self.last.len() == self.capacity {
                self.add_segment().await?;
            }
            let (part, rest) = data.split_at(data.len().min(self.capacity - self.last.len()));
            self.last.extend_from_slice(part);
            self.received += part.len();
            data = rest;
        }
        Ok(())
    }

    async fn add_segment(&mut self) -> Result<(), MemoryError> {
        let doubled = (self.capacity * 2).clamp(FIRST_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
        let left = self.announced.map(|announced| announced - self.received);
        let size = left.map_or(doubled, |left| left.min(doubled));
        self.hold.allocate(self.allocated + size).await?;
        self.allocated += size;
        self.seal();
        self.last = Vec::with_capacity(size);
        self.capacity = size;
        Ok(())
    }

    fn seal(&mut self) {
        if !self.last.is_empty() {
            let bytes = std::mem::take(&mut self.last);
            self.full.push(hold_bytes(bytes, &self.hold));
        }
    }

    fn finish(mut self) -> Result<RequestBody, MemoryError> {
        self.last.shrink_to_fit();
        self.hold.charge(self.received)?;
        self.seal();
        self.hold.complete();
        Ok(RequestBody {
            segments: self.full.into(),
            hold: self.hold,
        })
    }
}

/// Limits on a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size, in bytes.
    pub bytes: usize,
    /// Time for the whole body.
    pub timeout: Duration,
}

/// Reads a body to its end. One that is announced to be too large is not read at all.
pub async fn read_whole<B>(
    account: &Arc<BodyAccount>,
    limits: BodyLimits,
    body: &mut B,
) -> Result<RequestBody, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let size = body.size_hint();
    if size.lower() > limits.bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let announced = size.exact().map(|bytes| bytes as usize);
    let mut buffer = SegmentBuffer::new(BodyHold::open(account), announced);
    let hold = Arc::clone(&buffer.hold);
    let reading = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| BodyError::Unreadable(error.to_string().into()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if buffer.received + data.len() > limits.bytes {
                return Err(BodyError::TooLarge);
            }
            buffer.extend(&data).await?;
        }
        Ok(buffer.finish()?)
    };
    tokio::select! {
        biased;
        error = hold.evicted() => Err(error.into()),
        read = tokio::time::timeout(limits.timeout, reading) => {
            read.unwrap_or(Err(BodyError::TimedOut))
        }
    }
}

/// Reads and discards the rest of a body, up to a number of bytes and for a short time.
pub async fn discard<B>(mut body: B, max_bytes: usize)
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut left = max_bytes;
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            let size = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(size) else {
                return;
            };
            left = rest;
        }
    };
    // The connection is closed after the time, too.
    let _ = tokio::time::timeout(DISCARD_TIME, reading).await;
}

/// Body of a request to an upstream or another node, without a copy of its bytes.
#[derive(Debug, Default)]
pub struct SentBody {
    segments: VecDeque<Bytes>,
}

impl From<&RequestBody> for SentBody {
    fn from(body: &RequestBody) -> Self {
        Self {
            segments: body.segments.iter().cloned().collect(),
        }
    }
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Poll::Ready(self.segments.pop_front().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        let left: usize = self.segments.iter().map(Buf::remaining).sum();
        SizeHint::with_exact(left as u64)
    }
}
