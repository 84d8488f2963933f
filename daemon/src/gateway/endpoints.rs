//! Serves readiness checks, lookups, operators, metrics and other nodes over HTTP.

use std::convert::Infallible;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{Either, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use monsoonbank_kernel::gateway::registry::{EntryReport, Upstream};
use monsoonbank_kernel::gateway::transfers::TransferKey;
use monsoonbank_platform::{lookup, names};
use serde::Serialize;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::decisions::millis;
use crate::gateway::reply::{self, Reply};
use crate::gateway::{Gateway, frame, indirect, listener, peers};

/// Time for which callers may cache the answer to a lookup.
pub const LOOKUP_TTL: Duration = Duration::from_secs(2);
/// Time limit for the head of a request, and for the idle time of its connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Limit of a request's head without a caller's headers, in bytes.
const MAX_HEAD_BYTES: usize = 8192;
/// Path of the text of the configuration in force, for operators.
const CONFIGURATION_PATH: &str = "/configuration";
/// Path of a patch from another node's configuration text to the one in force.
const PATCH_PATH: &str = "/configuration/patch";
/// Query parameter of the patch path: digest of the text that the other node has.
const BASE_NAME: &str = "base=";
/// Path of registry entries, for other nodes.
const REGISTRY_PATH: &str = "/registry";
/// Query parameter of the registry path: digests of the other node's entries, as hexadecimal
/// numbers without separators.
const KNOWN_NAME: &str = "known=";
/// Hexadecimal digits of each digest.
const KNOWN_DIGITS: usize = 8;
/// Path of the preferred upstreams, for other nodes that know no others.
const PREFERRED_PATH: &str = "/registry/preferred";
/// Path of the reports of crashes and quarantined contents, for other nodes.
pub const CRASH_PATH: &str = "/crashes";
/// Number of entries above which an answer counts as large. It is checked before encoding, which
/// costs processor time.
const MANY_ENTRIES: usize = 512;
/// Largest answer that is sent in one piece, and the size of the pieces of a larger one, in bytes.
const PIECE_BYTES: usize = 16 << 10;
/// Reason in the answer while no configuration is in force.
const NO_CONFIGURATION: &str = "no configuration yet";

/// Accepts connections and answers their requests, without end.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                std::future::ready(Ok::<_, Infallible>(answer(&gateway, &request)))
            });
            let connection =
                builder(MAX_HEAD_BYTES).serve_connection(TokioIo::new(stream), service);
            log_end(connection.await);
        });
    }
}

/// Accepts connections of other nodes and answers their requests, without end. These are also calls
/// that they send here for their callers.
pub async fn serve_nodes(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("cannot disable Nagle's algorithm on a node's connection: {error}");
        }
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            let head_bytes = listener::head_bytes(&gateway) + MAX_HEAD_BYTES;
            let service = service_fn(async |request| {
                let served = indirect::serve(&gateway, request).await;
                let reply = served.unwrap_or_else(|request| answer(&gateway, &request));
                Ok::<_, Infallible>(reply)
            });
            let connection = builder(head_bytes).serve_connection(TokioIo::new(stream), service);
            log_end(connection.await);
        });
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

fn builder(head_bytes: usize) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_TIMEOUT)
        .max_buf_size(head_bytes);
    builder
}

fn log_end(ended: hyper::Result<()>) {
    if let Err(error) = ended {
        log::debug!("a connection broke: {error}");
    }
}

fn answer(gateway: &Rc<Gateway>, request: &Request<Incoming>) -> Reply {
    let query = request.uri().query().unwrap_or_default();
    match request.uri().path() {
        names::READY_PATH if gateway.is_ready() => reply::whole(StatusCode::OK, ""),
        names::READY_PATH => reply::failure(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        names::LOOKUP_PATH => addresses(gateway, lookup::caller_zone(query)),
        CONFIGURATION_PATH => configuration(gateway),
        PATCH_PATH => patch(gateway, query),
        REGISTRY_PATH => registry(gateway, query),
        PREFERRED_PATH => preferred(gateway, query),
        CRASH_PATH => cbor_reply(
            gateway,
            &gateway.crashes.borrow().quarantine_reports(gateway.now()),
        ),
        "/metrics" => metrics(gateway),
        "/state" => state(gateway),
        _ => reply::failure(StatusCode::NOT_FOUND, "no such question"),
    }
}

fn metrics(gateway: &Gateway) -> Reply {
    let held = gateway.bodies.usage().held;
    let held = i64::try_from(held).unwrap_or(i64::MAX);
    gateway.metrics.body_bytes.set(held);
    reply::whole(StatusCode::OK, gateway.metrics.text())
}

fn json_reply(body: Vec<u8>) -> Reply {
    let mut reply = reply::whole(StatusCode::OK, body);
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}

/// Answers with the addresses of nodes that accept calls: those of the caller's availability zone,
/// or of all zones if it names none or no node of its zone accepts calls.
fn addresses(gateway: &Gateway, zone: Option<&str>) -> Reply {
    let own = peers::own_heartbeat(gateway);
    let fleet = gateway.fleet.borrow();
    let zone = zone.unwrap_or_default();
    let mut addresses: Vec<SocketAddr> = fleet.entry_addresses(&own, zone, gateway.now());
    if addresses.is_empty() {
        return reply::failure(StatusCode::SERVICE_UNAVAILABLE, "no node takes calls");
    }
    addresses.truncate(lookup::MOST_ADDRESSES);
    json_reply(lookup::encode(&addresses, LOOKUP_TTL))
}

fn configuration(gateway: &Gateway) -> Reply {
    match gateway.texts.borrow().newest() {
        Some(text) => reply::whole(StatusCode::OK, text.clone()),
        None => reply::failure(StatusCode::NOT_FOUND, NO_CONFIGURATION),
    }
}

/// Returns the path and query that request a patch for the text with this digest; `None` requests
/// the complete text.
pub fn patch_target(base: Option<u64>) -> String {
    let base = base.map_or(String::new(), |digest| format!("?{BASE_NAME}{digest:x}"));
    format!("{PATCH_PATH}{base}")
}

fn patch(gateway: &Rc<Gateway>, query: &str) -> Reply {
    let base = query
        .strip_prefix(BASE_NAME)
        .and_then(|digest| u64::from_str_radix(digest, 16).ok());
    let mut texts = gateway.texts.borrow_mut();
    match texts.patch_from(base) {
        Ok(Some(patch)) => cbor_reply(gateway, patch),
        Ok(None) => reply::failure(StatusCode::NOT_FOUND, NO_CONFIGURATION),
        Err(error) => {
            log::warn!("cannot make a configuration patch: {error}");
            reply::failure(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string())
        }
    }
}

/// Builds a compressed CBOR answer to another node. A large answer is refused while many are being
/// sent: each of them would arrive too slowly, and a node that already has it can pass it on.
fn cbor_reply(gateway: &Rc<Gateway>, value: &impl Serialize) -> Reply {
    match encode(value) {
        Ok(framed) => framed_reply(gateway, framed),
        Err(error) => encoding_failure(&error),
    }
}

fn encode(value: &impl Serialize) -> io::Result<Bytes> {
    let mut body = Vec::new();
    ciborium::into_writer(value, &mut body).map_err(io::Error::other)?;
    frame::compress(&body).map(Bytes::from)
}

fn encoding_failure(error: &io::Error) -> Reply {
    log::warn!("cannot encode an answer to another node: {error}");
    reply::failure(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string())
}

/// Answers with a value that other nodes are likely to ask for again. `state` is another number
/// whenever the state that the value depends on is.
fn shared_reply<T: Serialize>(
    gateway: &Rc<Gateway>,
    question: &str,
    state: u64,
    value: impl FnOnce() -> T,
) -> Reply {
    let digest = xxh3_64_with_seed(question.as_bytes(), state);
    let known = gateway.answers.borrow().get(digest);
    if let Some(framed) = known {
        return framed_reply(gateway, framed);
    }
    match encode(&value()) {
        Ok(framed) => {
            let mut answers = gateway.answers.borrow_mut();
            answers.put(digest, framed.clone());
            framed_reply(gateway, framed)
        }
        Err(error) => encoding_failure(&error),
    }
}

fn framed_reply(gateway: &Rc<Gateway>, framed: Bytes) -> Reply {
    if framed.len() <= PIECE_BYTES {
        return reply::whole(StatusCode::OK, framed);
    }
    match TransferPermit::take(gateway) {
        Some(permit) => in_pieces(framed, permit),
        None => busy(),
    }
}

fn busy() -> Reply {
    reply::failure(
        StatusCode::SERVICE_UNAVAILABLE,
        "many answers are being sent",
    )
}

/// Permission to send a large answer, released when dropped.
struct TransferPermit {
    gateway: Rc<Gateway>,
    key: TransferKey,
}

impl TransferPermit {
    fn take(gateway: &Rc<Gateway>) -> Option<Self> {
        let key = gateway.transfers.borrow_mut().begin(gateway.now())?;
        let gateway = gateway.clone();
        Some(Self { gateway, key })
    }
}

impl Drop for TransferPermit {
    fn drop(&mut self) {
        self.gateway.transfers.borrow_mut().end(self.key);
    }
}

/// Builds an answer that is streamed as the connection accepts it; the permit lasts until its end.
fn in_pieces(bytes: Bytes, permit: TransferPermit) -> Reply {
    let pieces = futures_util::stream::unfold((bytes, permit), |(mut rest, permit)| async move {
        if rest.is_empty() {
            return None;
        }
        let piece = rest.split_to(rest.len().min(PIECE_BYTES));
        Some((Ok(Frame::data(piece)), (rest, permit)))
    });
    Response::new(Either::Right(StreamBody::new(pieces.boxed_local())))
}

/// Returns the path and query that request the entries that differ from those with these digests.
pub fn registry_target(known: &[u32]) -> String {
    known_target(REGISTRY_PATH, known)
}

/// Returns the path and query that request the preferred upstreams that differ from those with
/// these digests.
pub fn preferred_target(known: &[u32]) -> String {
    known_target(PREFERRED_PATH, known)
}

fn known_target(path: &str, known: &[u32]) -> String {
    let mut target = format!("{path}?{KNOWN_NAME}");
    for digest in known {
        // Writing to a string cannot fail.
        let _ = write!(target, "{digest:0KNOWN_DIGITS$x}");
    }
    target
}

/// Decodes the digests in such a query; empty if there are none or if they are malformed.
fn known_digests(query: &str) -> Vec<u32> {
    let text = query.strip_prefix(KNOWN_NAME).unwrap_or_default();
    let numbers = text.as_bytes().chunks(KNOWN_DIGITS).map(|digits| {
        let digits = std::str::from_utf8(digits).ok()?;
        u32::from_str_radix(digits, 16).ok()
    });
    numbers.collect::<Option<_>>().unwrap_or_default()
}

fn registry(gateway: &Rc<Gateway>, query: &str) -> Reply {
    let registry = gateway.registry.borrow();
    let known = known_digests(query);
    let is_large = registry.differing(&known).nth(MANY_ENTRIES).is_some();
    if is_large && gateway.transfers.borrow().is_full(gateway.now()) {
        return busy();
    }
    shared_reply(gateway, query, registry.revision(), || {
        let differing = registry.differing(&known);
        differing
            .map(Upstream::report)
            .collect::<Vec<EntryReport>>()
    })
}

fn preferred(gateway: &Rc<Gateway>, query: &str) -> Reply {
    if !gateway.knows_all_upstreams() {
        return reply::failure(StatusCode::NOT_FOUND, "not all upstreams are known");
    }
    let registry = gateway.registry.borrow();
    let question = format!("{PREFERRED_PATH}{query}");
    shared_reply(gateway, &question, registry.revision(), || {
        registry.preferred_part(&known_digests(query))
    })
}

/// Dumps the node's view of upstreams and nodes as JSON, for operators.
fn state(gateway: &Gateway) -> Reply {
    let now = gateway.now();
    let upstreams: Vec<serde_json::Value> = gateway
        .registry
        .borrow()
        .iter()
        .map(|(_, upstream)| {
            let total = upstream.load.total(now);
            json!({
                "id": upstream.entry.id,
                "pool": upstream.entry.pool,
                "software": upstream.entry.version,
                "address": upstream.entry.address,
                "zone": upstream.entry.zone,
                "left": upstream.left.map(|cause| cause.to_string()),
                "own_calls": upstream.load.own().calls,
                "calls": total.calls,
                "prompt_tokens": total.prompt_tokens,
                "held_tokens": total.held_tokens,
                "resting": upstream.health.is_backed_off(now),
                "failures": upstream.health.failure_share(),
                "limit_per_s": upstream.throttle.limit(),
                "pause_ms": upstream.pause.left(now).map(millis),
            })
        })
        .collect();
    let fleet = gateway.fleet.borrow();
    let peers: Vec<serde_json::Value> = fleet
        .iter()
        .map(|peer| {
            let card = &peer.heartbeat.card;
            let age = peer.last_heartbeat_at.map(|at| now.saturating_sub(at));
            json!({
                "name": card.name,
                "zone": card.zone,
                "ready": card.is_ready(),
                "version": peer.heartbeat.version,
                "age_ms": age.map(millis),
            })
        })
        .collect();
    let reports = gateway.crashes.borrow().quarantine_reports(now);
    let quarantined: Vec<serde_json::Value> = reports
        .iter()
        .filter(|report| report.quarantined)
        .map(|report| {
            json!({
                "cause": report.cause.to_string(),
                "crashes": report.crashes,
                "trials": report.trials,
                "age_ms": report.age_ms,
            })
        })
        .collect();
    let usage = gateway.bodies.usage();
    let body = json!({
        "name": gateway.settings.name,
        "ready": gateway.is_ready(),
        "version": gateway.rules().map(|rules| rules.version),
        "reader": gateway.is_reader(),
        "hub": gateway.is_hub(),
        "fleet_size": gateway.node_count(),
        "open_calls": gateway.open_calls.get(),
        "bodies": {
            "count": usage.bodies,
            "held_bytes": usage.held,
            "limit_bytes": usage.limit,
        },
        "stream_starts": gateway.starts.borrow().stream_count(),
        "quarantined": quarantined,
        "upstreams": upstreams,
        "peers": peers,
    });
    json_reply(body.to_string().into_bytes())
}
