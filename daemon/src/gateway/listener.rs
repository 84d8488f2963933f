//! Accepts callers' connections and serves their requests.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::error::NodeError;
use crate::gateway::admission::{self, CallOrigin};
use crate::gateway::reply::{self, Reply};
use crate::gateway::{Gateway, endpoints, relay};

/// File descriptors reserved for files, upstreams, peers and the store.
const RESERVED_DESCRIPTORS: usize = 1200;
/// Number of connections beyond the limit that may be open while those in whose place they come are
/// being closed.
const MAX_EXCESS: usize = 64;
/// Smallest limit that the HTTP parser accepts for a request head, in bytes.
const MIN_HEAD_BYTES: usize = 8192;
/// Idle timeout of a caller's connection until a configuration sets one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Binds the ports for callers, readiness checks, lookups, operators, metrics and other nodes, and
/// starts to accept connections. Fails if a port cannot be bound.
pub async fn start(gateway: &Rc<Gateway>) -> Result<(), NodeError> {
    let listen = gateway.settings.listen.clone();
    let callers = bind(listen.callers, "callers").await?;
    tokio::task::spawn_local(accept_callers(gateway.clone(), callers));
    let metrics = SocketAddr::new(listen.callers.ip(), listen.metrics_port);
    let endpoints = [
        (listen.ready, "readiness checks"),
        (listen.lookup, "lookups"),
        (listen.operators, "operators"),
        (metrics, "metrics"),
    ];
    for (address, role) in endpoints {
        let listener = bind(address, role).await?;
        tokio::task::spawn_local(endpoints::serve(gateway.clone(), listener));
    }
    let nodes = bind(gateway.settings.peer_address(), "other nodes").await?;
    tokio::task::spawn_local(endpoints::serve_nodes(gateway.clone(), nodes));
    Ok(())
}

async fn bind(address: SocketAddr, role: &'static str) -> Result<TcpListener, NodeError> {
    let listening = TcpListener::bind(address).await;
    listening.map_err(|source| NodeError::Listen {
        address,
        role,
        source,
    })
}

async fn accept_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    let max_connections = gateway
        .settings
        .limits
        .descriptors
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(64);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a caller's connection: {error}");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        if !gateway.accepts_calls() {
            return;
        }
        let excess = (gateway.open_connections.get() + 1).saturating_sub(max_connections);
        if excess > 0 && (excess > MAX_EXCESS || !gateway.bodies.evict_stalled()) {
            continue;
        }
        // Counted before the task runs, as many connections may be accepted until then.
        let count = ConnectionCount::new(&gateway);
        tokio::task::spawn_local(serve_caller(count, stream));
    }
}

struct ConnectionCount(Rc<Gateway>);

impl ConnectionCount {
    fn new(gateway: &Rc<Gateway>) -> Self {
        gateway
            .open_connections
            .set(gateway.open_connections.get() + 1);
        Self(gateway.clone())
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0
            .open_connections
            .set(self.0.open_connections.get().saturating_sub(1));
    }
}

async fn serve_caller(count: ConnectionCount, stream: TcpStream) {
    let gateway = &count.0;
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot disable Nagle's algorithm on a caller's connection: {error}");
    }
    let bounds = gateway.rules().map(|rules| rules.bounds);
    let idle = bounds.map_or(DEFAULT_IDLE_TIMEOUT, |bounds| bounds.idle_timeout);
    let head = head_bytes(gateway);
    let service = service_fn(|request| answer(gateway.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => return log_end(ended),
        () = gateway.shutdown_notify.notified() => {}
    }
    connection.as_mut().graceful_shutdown();
    log_end(connection.await);
}

/// Returns the limit of a request's head, in bytes.
pub fn head_bytes(gateway: &Gateway) -> usize {
    let stated = gateway.rules().map_or(0, |rules| rules.bounds.head_bytes);
    stated.max(MIN_HEAD_BYTES)
}

fn log_end(ended: hyper::Result<()>) {
    if let Err(error) = ended {
        log::debug!("a caller's connection broke: {error}");
    }
}

async fn answer(gateway: Rc<Gateway>, request: Request<Incoming>) -> Result<Reply, Infallible> {
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut reply = match admission::admit(&gateway, request, CallOrigin::Caller).await {
        Ok(call) if gateway.accepts_calls() => relay::forward(gateway.clone(), call).await,
        Ok(_) => reply::not_run("the node is leaving", Duration::ZERO),
        Err(reply) => reply,
    };
    // Closes the connection after a chunked body or a malformed request. The HTTP parser may have
    // dropped a second length header, so bytes behind the body may not be the next request.
    let must_close = chunked || reply.status() == StatusCode::BAD_REQUEST;
    if must_close || gateway.leaving_since.get().is_some() {
        reply
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(reply)
}
