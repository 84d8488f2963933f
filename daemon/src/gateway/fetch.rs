//! Fetches from another node what that has read of the store and this one has not.

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
use monsoonbank_kernel::gateway::crashes::CrashReport;
use monsoonbank_kernel::gateway::fleet::FleetPeer;
use monsoonbank_kernel::gateway::heartbeat::NodeHeartbeat;
use monsoonbank_kernel::gateway::registry::{RegistryChange, UpstreamEntry};
use monsoonbank_platform::body::{self, BodyError};
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::decisions::{Decision, millis};
use crate::gateway::patch::{self, ConfigurationPatch};
use crate::gateway::{Gateway, endpoints, frame, quarantine, sync};

/// Time in which a node has to begin its answer, and longest pause within it. A weak host that takes in
/// thousands of rules does nothing else for a third of a second.
const FETCH_SILENCE: Duration = Duration::from_millis(500);
/// Least time between two fetches: what a node that lags costs others.
const FETCH_PAUSE: Duration = Duration::from_millis(100);
/// Time over which fetches are spread that one heartbeat sets off: a node with 10 Mbit/s sends 25 kB, a
/// usual configuration, in 20 ms, and those who have it become sources.
const FETCH_SPREAD: Duration = Duration::from_millis(250);
/// The same of a node that has nothing in force: callers wait for it.
const START_SPREAD: Duration = Duration::from_millis(60);

/// Why nothing was fetched.
#[derive(Debug, Error)]
pub enum FetchError {
    /// No connection came about, or it broke.
    #[error("{0}")]
    Broken(#[from] io::Error),
    /// The answer is not HTTP, or broke off.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The answer is too large or broke off.
    #[error("{0}")]
    Body(#[from] BodyError),
    /// No answer came in time.
    #[error("no answer in time")]
    TimedOut,
    /// The node has nothing to give, or sends to many others.
    #[error("the node answered {0}")]
    Refused(StatusCode),
    /// The answer is not compressed as expected.
    #[error("{0}")]
    Frame(io::Error),
    /// The answer is not in the expected form.
    #[error("{0}")]
    Malformed(#[from] ciborium::de::Error<io::Error>),
}

/// Fetches what a heartbeat shows that its node has and this one lacks. One fetch at a time: the next
/// heartbeat tells again.
pub fn catch_up(gateway: &Rc<Gateway>, heartbeat: &NodeHeartbeat) {
    let mut lag = gateway.lag.get();
    lag.advertised(heartbeat.version, gateway.now());
    gateway.lag.set(lag);
    if !lacks(gateway, heartbeat).any() || gateway.fetching.replace(true) {
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
        let lacking = lacks(&gateway, &heartbeat);
        if lacking.any() {
            let (peer, address) = source(&gateway, &heartbeat, turn);
            fetch_all(&gateway, &peer, address, lacking).await;
            tokio::time::sleep(FETCH_PAUSE).await;
        }
        gateway.fetching.set(false);
    });
}

/// What another node has and this one lacks.
#[derive(Clone, Copy, Debug)]
struct LackingPart {
    rules: bool,
    entries: bool,
    crashes: bool,
}

impl LackingPart {
    fn any(self) -> bool {
        self.rules || self.entries || self.crashes
    }
}

fn lacks(gateway: &Gateway, heartbeat: &NodeHeartbeat) -> LackingPart {
    let reads_itself = gateway.is_reader() && !gateway.store_suspect();
    let differs = heartbeat.registry_digest != gateway.registry.borrow().digest();
    let unknown = !gateway.store_health.get().registry_loaded && heartbeat.registry_digest != 0;
    let trusted = heartbeat.store_reachable && learns_from(gateway, heartbeat);
    let crash_digest = gateway.crashes.borrow().digest();
    LackingPart {
        crashes: heartbeat.crash_digest != 0 && heartbeat.crash_digest != crash_digest,
        rules: heartbeat.version > gateway.version(),
        entries: differs && trusted && !reads_itself || unknown,
    }
}

/// Whether differences of the registry are taken from this node: from one of the same availability
/// zone if any there hears the store. Zones read the store at different moments, so between them
/// digests differ for a while at each change.
fn learns_from(gateway: &Gateway, heartbeat: &NodeHeartbeat) -> bool {
    let zone = &gateway.settings.zone;
    if heartbeat.card.zone == *zone {
        return true;
    }
    let fleet = gateway.fleet.borrow();
    let mut live = fleet.live(gateway.now()).map(|peer| &peer.heartbeat);
    !live.any(|near| near.card.zone == *zone && near.store_reachable)
}

/// One of the nodes that have what `heartbeat` shows, of this availability zone if there are any: the
/// fetches of many nodes that heard the same spread over all of them.
fn source(gateway: &Gateway, heartbeat: &NodeHeartbeat, turn: u64) -> (Box<str>, SocketAddr) {
    let fleet = gateway.fleet.borrow();
    let has_same = |peer: &&FleetPeer| {
        peer.heartbeat.version >= heartbeat.version
            && peer.heartbeat.registry_digest == heartbeat.registry_digest
            && peer.heartbeat.crash_digest == heartbeat.crash_digest
    };
    let mut peers: Vec<&FleetPeer> = fleet.live(gateway.now()).filter(has_same).collect();
    let is_near = |peer: &&FleetPeer| peer.heartbeat.card.zone == gateway.settings.zone;
    if peers.iter().any(is_near) {
        peers.retain(is_near);
    }
    let chosen = turn as usize % peers.len().max(1);
    let chosen = peers.get(chosen).map_or(heartbeat, |peer| &peer.heartbeat);
    (chosen.card.name.clone(), chosen.card.peers)
}

/// What can be fetched from a node.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum FetchPart {
    #[display("configuration")]
    Configuration,
    #[display("registry")]
    Registry,
    #[display("crashes")]
    Crashes,
}

/// Fetches what is lacking, the smallest first; what fails is written down.
async fn fetch_all(gateway: &Gateway, peer: &str, address: SocketAddr, lacking: LackingPart) {
    if lacking.crashes {
        let source = FetchSource::new(peer, address, FetchPart::Crashes);
        let Some(reports) = fetch::<Vec<CrashReport>>(gateway, source, endpoints::CRASH_PATH).await
        else {
            return;
        };
        quarantine::merge_reports(gateway, &reports, peer);
    }
    if lacking.entries {
        let source = FetchSource::new(peer, address, FetchPart::Registry);
        let target = endpoints::registry_target(&gateway.registry.borrow().bucket_digests());
        let Some(entries) = fetch(gateway, source, &target).await else {
            return;
        };
        take_entries(gateway, entries);
    }
    if lacking.rules {
        // Another may be in force by the time of the answer.
        let base = gateway.texts.borrow().newest().cloned();
        let target = endpoints::patch_target(base.as_deref().map(patch::text_digest));
        let source = FetchSource::new(peer, address, FetchPart::Configuration);
        let Some(patch) = fetch(gateway, source, &target).await else {
            return;
        };
        take_patch(gateway, peer, base.as_deref(), patch);
    }
}

/// Takes in the configuration that a patch makes of `base`, and keeps the patch for others.
fn take_patch(gateway: &Gateway, peer: &str, base: Option<&[u8]>, patch: ConfigurationPatch) {
    match patch.apply(base) {
        Ok(text) => {
            sync::apply_configuration(gateway, &text, peer);
            gateway.texts.borrow_mut().keep_patch(patch);
        }
        Err(error) => log::warn!("a patch of {peer} was not taken: {error}"),
    }
}

/// Takes another node's entries in: an upstream that left there has left.
fn take_entries(gateway: &Gateway, entries: Vec<(UpstreamEntry, bool)>) {
    let change = |(entry, left): (UpstreamEntry, bool)| {
        if !left {
            return RegistryChange::Put(entry);
        }
        if gateway.registry.borrow().key(&entry.id).is_some() {
            return RegistryChange::Removed(entry.id);
        }
        // It left before this node heard of it; known as left, it makes the digests agree.
        RegistryChange::Put(UpstreamEntry {
            leaving: true,
            ..entry
        })
    };
    sync::apply_changes(gateway, entries.into_iter().map(change), true);
    let mut view = gateway.store_health.get();
    view.registry_loaded = true;
    gateway.store_health.set(view);
}

/// Where something is fetched from.
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

/// None if it failed, which is written down.
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
            gateway.decisions.record(&Decision::FetchFailed {
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
    let beginning = tokio::time::timeout(FETCH_SILENCE, begin(address, path)).await;
    let (response, _connection) = beginning.map_err(|_| FetchError::TimedOut)??;
    if !response.status().is_success() {
        return Err(FetchError::Refused(response.status()));
    }
    Ok(body::read_to_end(response.into_body(), FETCH_SILENCE, on_piece).await?)
}

/// Sends a request on a connection of its own, which ends when what is given with the answer is
/// dropped.
async fn begin(
    address: SocketAddr,
    path: &str,
) -> Result<(Response<Incoming>, AbortOnDropHandle<()>), FetchError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::task::spawn_local(async move {
        // What ends the connection is told to the request.
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
