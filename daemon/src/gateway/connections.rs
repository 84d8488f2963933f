//! Connections to upstreams: each carries one call at a time and is kept only while it is clean.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use monsoonbank_kernel::gateway::registry::UpstreamKey;
use monsoonbank_kernel::gateway::rules::CallSafety;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// Time for a connection to come about. Zones are 1 ms apart and an engine takes 1 ms for a new
/// connection, so a host that has not answered by then is dark or cut off.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which sent bytes may stay unacknowledged before the connection counts as broken.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle time after which the system asks the other end whether it is there, and between two asks.
const KEEPALIVE_PAUSE: Duration = Duration::from_secs(1);
/// Longest idle time of a connection that takes a call which may not be repeated, if the upstream
/// announces none: a connection that the upstream closes just then loses the call.
const IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(1500);
/// The same for a call that may be repeated.
const IDLE_IDEMPOTENT: Duration = Duration::from_secs(4);
/// Part of an announced idle time that is used.
const ANNOUNCED_PART: f64 = 0.5;

/// Why there is no connection.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The upstream's host does not answer.
    #[error("no connection in time")]
    TimedOut,
    /// The connection was refused or broke.
    #[error("{0}")]
    Refused(#[from] std::io::Error),
    /// The connection broke before it could be used.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

/// A connection in use. Dropped, it is closed, which makes the upstream drop its call.
#[derive(Debug)]
pub struct UpstreamConnection {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    key: UpstreamKey,
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    since: Duration,
    announced: Option<Duration>,
}

impl IdleConnection {
    fn usable(&self, safety: CallSafety, now: Duration) -> bool {
        let most = match safety {
            CallSafety::AtMostOnce => IDLE_AT_MOST_ONCE,
            CallSafety::Idempotent => IDLE_IDEMPOTENT,
        };
        let most = self.announced.map_or(most, |announced| {
            most.min(announced.mul_f64(ANNOUNCED_PART))
        });
        now.saturating_sub(self.since) < most && self.connection.sender.is_ready()
    }
}

/// Idle connections, by upstream.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<UpstreamKey, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// An idle connection, the one that was used last.
    pub fn acquire(
        &self,
        key: UpstreamKey,
        safety: CallSafety,
        now: Duration,
    ) -> Option<UpstreamConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        connections.retain(|idle| idle.usable(CallSafety::Idempotent, now));
        let position = connections
            .iter()
            .rposition(|idle| idle.usable(safety, now))?;
        Some(connections.remove(position).connection)
    }

    /// Keeps a connection whose answer was read whole.
    pub fn release(
        &self,
        connection: UpstreamConnection,
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

    /// Closes all idle connections of an upstream.
    pub fn close(&self, key: UpstreamKey) {
        self.idle.borrow_mut().remove(&key);
    }
}

/// Opens a connection.
pub async fn open(
    key: UpstreamKey,
    address: SocketAddr,
) -> Result<UpstreamConnection, ConnectionError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| ConnectionError::TimedOut)??;
    set_options(&stream)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::task::spawn_local(async move {
        // What ends a connection is told to the call that waits on it.
        let _ = connection.await;
    });
    Ok(UpstreamConnection {
        sender,
        task: task.abort_handle(),
        key,
    })
}

/// Makes silence of the other end show as an error.
pub fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PAUSE)
        .with_interval(KEEPALIVE_PAUSE);
    socket.set_tcp_keepalive(&keepalive.with_retries(2))
}
