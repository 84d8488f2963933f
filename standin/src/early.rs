//! An upstream that answers each request once it has read its head, before the body.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Size of the buffer that the rest of a request is read into.
const BUFFER_BYTES: usize = 64 << 10;

/// What follows the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyEnd {
    /// The connection is reset after this time.
    Reset(Duration),
    /// The connection is closed, with the rest of the request unread.
    Close,
    /// The rest of the request is read to its end, then the next request.
    Read,
}

/// Answer to each request.
#[derive(Clone, Debug)]
pub struct EarlyAnswer {
    /// Bytes of the answer, in which `{id}` stands for the request's `X-Attempt-Id`.
    pub text: Box<str>,
    /// What follows it.
    pub end: EarlyEnd,
}

/// Handle of a running upstream. Dropping it stops the upstream.
pub struct EarlyUpstream {
    address: SocketAddr,
    _tasks: JoinSet<()>,
}

impl EarlyUpstream {
    /// Starts an upstream on an address; port 0 picks a free port.
    pub async fn start(address: &str, answer: EarlyAnswer) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut served = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                served.spawn(serve(stream, answer.clone()));
            }
        });
        Ok(Self {
            address,
            _tasks: tasks,
        })
    }

    /// Listen address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn serve(mut stream: TcpStream, answer: EarlyAnswer) {
    let mut received = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut received).await {
        let text = answer.text.replace("{id}", field(&head, "x-attempt-id"));
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        match answer.end {
            EarlyEnd::Reset(after) => {
                sleep(after).await;
                // If this fails, the connection is closed instead of reset, which does as well.
                let _ = stream.set_zero_linger();
                return;
            }
            EarlyEnd::Close => return,
            EarlyEnd::Read => {
                let length = field(&head, "content-length").parse().unwrap_or(0);
                if !skip(&mut stream, &mut received, length).await {
                    return;
                }
            }
        }
    }
}

/// Reads the head of the next request; `None` if the connection ends before it.
async fn read_head(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<String> {
    loop {
        let end = received.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end {
            let head = received.drain(..end + 4).collect();
            return String::from_utf8(head).ok();
        }
        if stream.read_buf(received).await.unwrap_or(0) == 0 {
            return None;
        }
    }
}

/// Reads a body of this length. Returns false if the connection ends before its end.
async fn skip(stream: &mut TcpStream, received: &mut Vec<u8>, length: usize) -> bool {
    let mut left = length.saturating_sub(received.len());
    received.drain(..length.min(received.len()));
    let mut buffer = vec![0; BUFFER_BYTES];
    while left > 0 {
        let size = left.min(BUFFER_BYTES);
        let read = stream.read(&mut buffer[..size]).await.unwrap_or(0);
        if read == 0 {
            return false;
        }
        left -= read;
    }
    true
}

/// Returns the value of a header field; empty if there is none.
fn field<'a>(head: &'a str, name: &str) -> &'a str {
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    let mut found = fields.filter(|(known, _)| known.eq_ignore_ascii_case(name));
    found.next().map_or("", |(_, value)| value.trim())
}
