//! Fetches state from other nodes that this node has not read from the store itself.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use monsoonbank_kernel::gateway::crashes::quarantine::QuarantineReport;
use monsoonbank_kernel::gateway::fleet::FleetPeer;
use monsoonbank_kernel::gateway::heartbeat::NodeHeartbeat;
use monsoonbank_kernel::gateway::registry::{EntryReport, PreferredPart};
use monsoonbank_platform::body::{self, BodyError};
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::decisions::{NodeDecision, millis};
use crate::gateway::patch::{self, ConfigurationPatch};
use crate::gateway::scope::{self, RegistryScope};
use crate::gateway::{Gateway, endpoints, frame, quarantine, sync};

/// Time within which a node has to begin its answer, and the longest pause within it. A weak host
/// that decodes thousands of rules is unresponsive for a third of a second.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest time between two fetches, which bounds the load that a lagging node puts on others.
const FETCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time over which the fetches caused by one heartbeat are spread. A node with a link of 10 Mbit/s
/// sends 25 kB, the size of a usual configuration, in 20 ms, and nodes that have it become sources.
const FETCH_SPREAD: Duration = Duration::from_millis(250);
/// Time over which the fetches of nodes without a configuration are spread; shorter, since callers
/// wait for such a node.
const START_SPREAD: Duration = Duration::from_millis(60);

/// Reason why a fetch failed.
#[derive(Debug, Error)]
pub enum FetchError {
    /// The connection could not be established, or it broke.
    #[error("{0}")]
    Broken(#[from] io::Error),
    /// The answer is not valid HTTP, or the connection broke during the exchange.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The body is too large, stalled or ended early.
    #[error("{0}")]
    Body(#[from] BodyError),
    /// The answer did not begin in time.
    #[error("no answer in time")]
    TimedOut,
    /// The node has no such data, or is sending to many others.
    #[error("the node answered {0}")]
    Refused(StatusCode),
    /// The answer is not a valid compressed frame.
    #[error("{0}")]
    Frame(io::Error),
    /// The answer is not valid CBOR of the expected type.
    #[error("{0}")]
    Malformed(#[from] ciborium::de::Error<io::Error>),
}

/// Fetches what a heartbeat's node has and this one lacks. Only one fetch runs at a time; the next
/// heartbeat triggers another.
pub fn catch_up(gateway: &Rc<Gateway>, heartbeat: &NodeHeartbeat) {
    let mut lag = gateway.lag.get();
    lag.advertised(heartbeat.version, gateway.now());
    gateway.lag.set(lag);
    if !missing_parts(gateway, heartbeat).any() || gateway.fetching.replace(true) {
        return;
    }
    let (gateway, heartbeat) = (gateway.clone(), heartbeat.clone());
    tokio::task::spawn_local(async move {
        let turn = xxh3_64_with_seed(gateway.settings.name.as_bytes(), millis(gateway.now()));
        let spread = if gateway.version() > 0 {
            FETCH_SPREAD
        } else {
            START_SPREAD
        };
        tokio::time::sleep(spread.mul_f64(turn as f64 / u64::MAX as f64)).await;
        let missing = missing_parts(&gateway, &heartbeat);
        if missing.any() {
            let (peer, address) = source(&gateway, &heartbeat, turn);
            fetch_all(&gateway, &peer, address, missing).await;
            tokio::time::sleep(FETCH_INTERVAL).await;
        }
        gateway.fetching.set(false);
    });
}

/// Parts of the state that another node has and this one lacks.
#[derive(Clone, Copy, Debug)]
struct MissingParts {
    rules: bool,
    /// Part of the registry, if any is missing.
    entries: Option<RegistryScope>,
    crashes: bool,
}

impl MissingParts {
    fn any(self) -> bool {
        self.rules || self.entries.is_some() || self.crashes
    }
}

fn missing_parts(gateway: &Gateway, heartbeat: &NodeHeartbeat) -> MissingParts {
    let crash_digest = gateway.crashes.borrow().digest();
    MissingParts {
        crashes: heartbeat.crash_digest != 0 && heartbeat.crash_digest != crash_digest,
        rules: heartbeat.version > gateway.version(),
        entries: missing_entries(gateway, heartbeat),
    }
}

/// Returns the part of the registry to fetch from a node that knows all upstreams; `None` if this
/// node has the same part.
fn missing_entries(gateway: &Gateway, heartbeat: &NodeHeartbeat) -> Option<RegistryScope> {
    if heartbeat.registry_digest == 0 {
        return None;
    }
    let wanted = match heartbeat.preferred_digest {
        Some(_) if !scope::needs_whole(gateway) => RegistryScope::Preferred,
        _ => RegistryScope::Whole,
    };
    let is_loaded = match wanted {
        RegistryScope::Whole => gateway.knows_all_upstreams(),
        RegistryScope::Preferred | RegistryScope::Nothing => gateway.knows_upstreams(),
    };
    let registry = gateway.registry.borrow();
    let differs = match (wanted, heartbeat.preferred_digest) {
        // Other upstreams are still to be forgotten.
        (RegistryScope::Preferred, _) if gateway.knows_all_upstreams() => false,
        (RegistryScope::Preferred, Some(digest)) => digest != registry.usable_digest(),
        _ => heartbeat.registry_digest != registry.digest(),
    };
    let trusted = heartbeat.store_reachable && accepts_entries_of(gateway, heartbeat);
    (!is_loaded || differs && trusted && !reads_store(gateway)).then_some(wanted)
}

/// Returns whether this node learns of upstreams from the store rather than from other nodes.
pub fn reads_store(gateway: &Gateway) -> bool {
    gateway.is_reader() && !gateway.store_suspect()
}

/// Returns whether registry entries are accepted from the sender of this heartbeat: a node of the
/// same availability zone, or of another zone if no node of this one reaches the store. Zones read
/// the store at different times, so their digests differ briefly at each change.
fn accepts_entries_of(gateway: &Gateway, heartbeat: &NodeHeartbeat) -> bool {
    let zone = &gateway.settings.zone;
    if heartbeat.card.zone == *zone {
        return true;
    }
    let fleet = gateway.fleet.borrow();
    let mut live = fleet.live(gateway.now()).map(|peer| &peer.heartbeat);
    !live.any(|near| near.card.zone == *zone && near.store_reachable)
}

/// Selects one of the nodes that have the state that `heartbeat` advertises, of this availability
/// zone if there are any. The fetches of many nodes that received the same heartbeat are so spread
/// over all sources.
fn source(gateway: &Gateway, heartbeat: &NodeHeartbeat, turn: u64) -> (Box<str>, SocketAddr) {
    let fleet = gateway.fleet.borrow();
    let has_state = |peer: &&FleetPeer| {
        peer.heartbeat.version >= heartbeat.version
            && peer.heartbeat.registry_digest == heartbeat.registry_digest
            && peer.heartbeat.crash_digest == heartbeat.crash_digest
    };
    let mut peers: Vec<&FleetPeer> = fleet.live(gateway.now()).filter(has_state).collect();
    let is_near = |peer: &&FleetPeer| peer.heartbeat.card.zone == gateway.settings.zone;
    if peers.iter().any(is_near) {
        peers.retain(is_near);
    }
    let chosen = turn as usize % peers.len().max(1);
    let chosen = peers.get(chosen).map_or(heartbeat, |peer| &peer.heartbeat);
    (chosen.card.name.clone(), chosen.card.peers)
}

/// Part of the state that can be fetched from a node.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum FetchPart {
    #[display("configuration")]
    Configuration,
    #[display("registry")]
    Registry,
    #[display("crashes")]
    Crashes,
}

/// Fetches what this node lacks, the smallest part first. A failed fetch ends it and is recorded.
async fn fetch_all(gateway: &Gateway, peer: &str, address: SocketAddr, missing: MissingParts) {
    if missing.crashes {
        let source = FetchSource::new(peer, address, FetchPart::Crashes);
        let Some(reports) =
            fetch::<Vec<QuarantineReport>>(gateway, source, endpoints::CRASH_PATH).await
        else {
            return;
        };
        quarantine::merge_reports(gateway, &reports, peer);
    }
    if let Some(scope) = missing.entries
        && !fetch_entries(gateway, peer, address, scope).await
    {
        return;
    }
    if missing.rules {
        // Another configuration may be in force when the answer arrives.
        let base = gateway.texts.borrow().newest().cloned();
        let target = endpoints::patch_target(base.as_deref().map(patch::text_digest));
        let source = FetchSource::new(peer, address, FetchPart::Configuration);
        let Some(patch) = fetch(gateway, source, &target).await else {
            return;
        };
        apply_patch(gateway, peer, base.as_deref(), patch);
    }
}

/// Fetches a part of the registry. Returns whether that succeeded.
async fn fetch_entries(
    gateway: &Gateway,
    peer: &str,
    address: SocketAddr,
    scope: RegistryScope,
) -> bool {
    let source = FetchSource::new(peer, address, FetchPart::Registry);
    if scope == RegistryScope::Preferred {
        let target = endpoints::preferred_target(gateway.registry.borrow().usable_digests());
        let part = fetch::<PreferredPart>(gateway, source, &target).await;
        return part
            .map(|part| merge_preferred(gateway, peer, part))
            .is_some();
    }
    let target = endpoints::registry_target(gateway.registry.borrow().bucket_digests());
    let entries = fetch(gateway, source, &target).await;
    entries
        .map(|entries| merge_entries(gateway, peer, entries))
        .is_some()
}

/// Replaces the upstreams that this node knows by the preferred ones of another node.
fn merge_preferred(gateway: &Gateway, peer: &str, part: PreferredPart) {
    if gateway.knows_all_upstreams() {
        return;
    }
    let now = gateway.now();
    let changed = gateway.registry.borrow_mut().replace_preferred(part, now);
    for key in changed {
        sync::upstream_changed(gateway, key, peer);
    }
    scope::set(gateway, RegistryScope::Preferred);
}

/// Applies the configuration that a patch makes of `base`, and caches the patch for other nodes.
fn apply_patch(gateway: &Gateway, peer: &str, base: Option<&[u8]>, patch: ConfigurationPatch) {
    match patch.apply(base) {
        Ok(text) => {
            sync::apply_configuration(gateway, &text, peer);
            gateway.texts.borrow_mut().keep_patch(patch);
        }
        Err(error) => log::warn!("cannot apply a configuration patch from node {peer}: {error}"),
    }
}

/// Merges the entries of another node.
fn merge_entries(gateway: &Gateway, peer: &str, reports: Vec<EntryReport>) {
    let now = gateway.now();
    let changed = gateway.registry.borrow_mut().merge(reports, now);
    sync::upstreams_changed(gateway, changed, peer);
    scope::set(gateway, RegistryScope::Whole);
}

/// Node, address and part of the state of a fetch.
#[derive(Clone, Copy, Debug)]
struct FetchSource<'a> {
    peer: &'a str,
    address: SocketAddr,
    part: FetchPart,
}

impl<'a> FetchSource<'a> {
    fn new(peer: &'a str, address: SocketAddr, part: FetchPart) -> Self {
        Self {
            peer,
            address,
            part,
        }
    }
}

/// Fetches and decodes one part of the state; `None` if that failed, which is recorded.
async fn fetch<T: DeserializeOwned>(
    gateway: &Gateway,
    source: FetchSource<'_>,
    target: &str,
) -> Option<T> {
    let started = gateway.now();
    let mut received = 0;
    let on_piece = |bytes| {
        received += bytes;
        gateway.record_fetch_progress();
    };
    let fetched = exchange(source.address, target, on_piece).await;
    let fetched = fetched.and_then(|bytes| decode(&bytes));
    let outcome = if fetched.is_ok() { "used" } else { "wasted" };
    gateway.metrics.count_received("nodes", outcome, received);
    match fetched {
        Ok(value) => Some(value),
        Err(error) => {
            gateway.decisions.record(NodeDecision::FetchFailed {
                peer: source.peer,
                part: &source.part.to_string(),
                received,
                took_ms: millis(gateway.now().saturating_sub(started)),
                reason: &error.to_string(),
            });
            None
        }
    }
}

fn decode<T: DeserializeOwned>(framed: &[u8]) -> Result<T, FetchError> {
    let bytes = frame::decompress(framed).map_err(FetchError::Frame)?;
    Ok(ciborium::from_reader(&bytes[..])?)
}

async fn exchange(
    address: SocketAddr,
    path: &str,
    on_piece: impl FnMut(usize),
) -> Result<Bytes, FetchError> {
    let beginning = tokio::time::timeout(FETCH_TIMEOUT, begin(address, path)).await;
    let (response, _connection) = beginning.map_err(|_| FetchError::TimedOut)??;
    if !response.status().is_success() {
        return Err(FetchError::Refused(response.status()));
    }
    Ok(body::read_to_end(response.into_body(), FETCH_TIMEOUT, on_piece).await?)
}

/// Sends a request on a new connection, which closes when the returned handle is dropped.
async fn begin(
    address: SocketAddr,
    path: &str,
) -> Result<(Response<Incoming>, AbortOnDropHandle<()>), FetchError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::task::spawn_local(async move {
        // The error that ends the connection is returned to the request.
        let _ = connection.await;
    });
    let connection = AbortOnDropHandle::new(task);
    let mut request = Request::new(Empty::<Bytes>::new());
    if let Ok(target) = path.parse() {
        *request.uri_mut() = target;
    }
    let response = sender.send_request(request).await?;
    Ok((response, connection))
}
