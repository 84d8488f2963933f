//! Bounds the bytes that a connection receives without anything of an answer coming out of them, such as the
//! digits of a chunk's size. They would keep the node's only thread busy.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes between two parts of an answer.
const MAX_BYTES: usize = 1 << 20;

/// Bytes that a connection may still receive before the next part of an answer.
#[derive(Clone, Debug)]
pub struct ReadAllowance {
    left: Rc<Cell<usize>>,
}

impl Default for ReadAllowance {
    fn default() -> Self {
        Self {
            left: Rc::new(Cell::new(MAX_BYTES)),
        }
    }
}

impl ReadAllowance {
    /// Records that a part of an answer was read.
    pub fn renew(&self) {
        self.left.set(MAX_BYTES);
    }
}

/// A connection that fails once its allowance is used up.
#[derive(Debug)]
pub struct BoundedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl BoundedStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        let left = self.allowance.left.get();
        if read > left {
            let reason = "too many bytes without a part of an answer";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        self.allowance.left.set(left - read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
