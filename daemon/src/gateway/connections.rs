//! Connections to upstreams and other nodes. Each carries one call at a time and is reused only if its last answer
//! was read to the end.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use monsoonbank_kernel::gateway::registry::UpstreamKey;
use monsoonbank_kernel::gateway::rules::CallSafety;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::body::SentBody;
use crate::gateway::allowance::{BoundedStream, ReadAllowance};

/// Time to establish a connection. Availability zones are 1 ms apart and an engine takes 1 ms to
/// accept, so a host that has not answered by then is down or cut off from the network.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which sent bytes may stay unacknowledged before the connection counts as broken. A sound
/// upstream may be silent for a second or so. It also bounds keepalive probes: an idle connection
/// breaks at the first probe that is due after this time.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Idle time after which the operating system sends a keepalive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest idle time of a connection for a call that must not be repeated, if the upstream
/// announces no idle timeout. One that the upstream closes at the moment of sending loses the call.
const IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(1500);
/// Longest idle time of a connection for a repeatable call, if the upstream announces no timeout.
const IDLE_IDEMPOTENT: Duration = Duration::from_secs(4);
/// Largest head of an answer, in bytes; also the most that is read ahead of a body.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Fraction of an announced idle timeout that is used.
const ANNOUNCED_FRACTION: f64 = 0.5;

/// Reason why a connection could not be established.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The upstream's host did not answer within the time limit.
    #[error("no connection in time")]
    TimedOut,
    /// The connection was refused, or its socket could not be set up.
    #[error("{0}")]
    Refused(#[from] std::io::Error),
    /// The HTTP handshake failed.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

/// A connection in use by one call. Dropping it closes the connection, which makes the other end
/// abandon the call.
#[derive(Debug)]
pub struct ClientConnection<K> {
    /// Sends requests on the connection.
    pub sender: SendRequest<SentBody>,
    /// Bytes that it may receive before the next part of an answer.
    pub allowance: ReadAllowance,
    task: AbortHandle,
    key: K,
}

/// Connection to an upstream.
pub type UpstreamConnection = ClientConnection<UpstreamKey>;

impl<K> Drop for ClientConnection<K> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConnection<K> {
    connection: ClientConnection<K>,
    since: Duration,
    announced: Option<Duration>,
}

impl<K> IdleConnection<K> {
    fn is_usable(&self, safety: CallSafety, now: Duration) -> bool {
        let most = match safety {
            CallSafety::AtMostOnce => IDLE_AT_MOST_ONCE,
            CallSafety::Idempotent => IDLE_IDEMPOTENT,
        };
        let most = self.announced.map_or(most, |announced| {
            most.min(announced.mul_f64(ANNOUNCED_FRACTION))
        });
        now.saturating_sub(self.since) < most && self.connection.sender.is_ready()
    }
}

/// Idle connections, by the key of their other end.
#[derive(Debug)]
pub struct ConnectionPool<K> {
    idle: RefCell<BTreeMap<K, Vec<IdleConnection<K>>>>,
}

impl<K> Default for ConnectionPool<K> {
    fn default() -> Self {
        Self {
            idle: RefCell::default(),
        }
    }
}

impl<K: Copy + Ord> ConnectionPool<K> {
    /// Removes and returns the most recently used idle connection that is safe for a call of this
    /// kind; `None` if there is none.
    pub fn acquire(
        &self,
        key: K,
        safety: CallSafety,
        now: Duration,
    ) -> Option<ClientConnection<K>> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        connections.retain(|idle| idle.is_usable(CallSafety::Idempotent, now));
        let position = connections
            .iter()
            .rposition(|idle| idle.is_usable(safety, now))?;
        Some(connections.remove(position).connection)
    }

    /// Returns a connection whose answer was read to the end to the pool. `announced` is the idle
    /// timeout that the upstream announced, if any.
    pub fn release(
        &self,
        connection: ClientConnection<K>,
        announced: Option<Duration>,
        now: Duration,
    ) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.key).or_default();
        connections.push(IdleConnection {
            connection,
            since: now,
            announced,
        });
    }

    /// Closes all idle connections to this end.
    pub fn close(&self, key: K) {
        self.idle.borrow_mut().remove(&key);
    }
}

/// Opens a connection to an address.
pub async fn open<K>(key: K, address: SocketAddr) -> Result<ClientConnection<K>, ConnectionError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| ConnectionError::TimedOut)??;
    set_options(&stream)?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let allowance = ReadAllowance::default();
    let stream = BoundedStream::new(stream, allowance.clone());
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
    let task = tokio::task::spawn_local(async move {
        // The error that ends a connection is returned to the call that waits on it.
        let _ = connection.await;
    });
    Ok(ClientConnection {
        sender,
        allowance,
        task: task.abort_handle(),
        key,
    })
}

/// Disables Nagle's algorithm, and limits the time for which the peer may be unresponsive.
pub fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(2))
}
