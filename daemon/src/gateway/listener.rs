//! Accepts callers' connections and reads their requests.

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
use crate::gateway::reply::{self, Reply};
use crate::gateway::{Gateway, admission, endpoints, relay};

/// Descriptors that are kept for files, upstreams, peers and the store.
const OTHER_DESCRIPTORS: usize = 1200;
/// Least head that the reader can be bound to, in bytes.
const LEAST_HEAD_BYTES: usize = 8192;
/// Longest idle time of a caller's connection before a configuration tells it.
const START_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Listens for callers, checks, lookups, operators and metrics.
pub async fn start(gateway: &Rc<Gateway>) -> Result<(), NodeError> {
    let listen = gateway.settings.listen.clone();
    let callers = bind(listen.callers, "callers").await?;
    tokio::task::spawn_local(accept_callers(gateway.clone(), callers));
    let metrics = SocketAddr::new(listen.callers.ip(), listen.metrics_port);
    let desks = [
        (listen.ready, "readiness checks"),
        (listen.lookup, "lookups"),
        (listen.operators, "operators"),
        (metrics, "metrics"),
        (gateway.settings.peer_address(), "other nodes"),
    ];
    for (address, role) in desks {
        let listener = bind(address, role).await?;
        tokio::task::spawn_local(endpoints::serve(gateway.clone(), listener));
    }
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
    let most = gateway
        .settings
        .limits
        .descriptors
        .saturating_sub(OTHER_DESCRIPTORS)
        .max(64);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("a caller's connection was not accepted: {error}");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        if !gateway.accepts_calls() {
            return;
        }
        if gateway.open_connections.get() >= most {
            continue;
        }
        tokio::task::spawn_local(serve_caller(gateway.clone(), stream));
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

async fn serve_caller(gateway: Rc<Gateway>, stream: TcpStream) {
    let _count = ConnectionCount::new(&gateway);
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a caller's connection keeps its delay: {error}");
    }
    let bounds = gateway.rules().map(|rules| rules.bounds);
    let idle = bounds.map_or(START_IDLE_TIMEOUT, |bounds| bounds.idle_timeout);
    let head = bounds.map_or(LEAST_HEAD_BYTES, |bounds| {
        bounds.head_bytes.max(LEAST_HEAD_BYTES)
    });
    let service = service_fn(|request| answer(gateway.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => return note_end(ended),
        () = gateway.shutdown_notify.notified() => {}
    }
    connection.as_mut().graceful_shutdown();
    note_end(connection.await);
}

fn note_end(ended: hyper::Result<()>) {
    if let Err(error) = ended {
        log::debug!("a caller's connection broke: {error}");
    }
}

async fn answer(gateway: Rc<Gateway>, request: Request<Incoming>) -> Result<Reply, Infallible> {
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut reply = match admission::admit(&gateway, request).await {
        Ok(call) if gateway.accepts_calls() => relay::forward(gateway.clone(), call).await,
        Ok(_) => reply::not_run("the node is leaving", Duration::ZERO),
        Err(reply) => reply,
    };
    // A second length may have been dropped before the headers were seen; what follows a body in
    // chunks is then not to be trusted as the next request.
    let unsure = chunked || reply.status() == StatusCode::BAD_REQUEST;
    if unsure || gateway.leaving_since.get().is_some() {
        reply
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(reply)
}
