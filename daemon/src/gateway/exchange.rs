//! Fetches from another node what that has read of the store and this one has not.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use monsoonbank_kernel::gateway::fleet::{FleetPeer, NodeWord};
use monsoonbank_kernel::gateway::registry::{RegistryChange, UpstreamEntry};
use thiserror::Error;
use tokio::net::TcpStream;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::decisions::{Decision, millis};
use crate::gateway::{Gateway, desk, follow};

/// Time for a node to answer. Zones are a few ms apart; a configuration has some 100 kB.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Least time between two fetches: what a node that lags costs others.
const FETCH_PAUSE: Duration = Duration::from_millis(100);
/// Time over which fetches are spread that one word sets off: a node with 10 Mbit/s sends 25 kB, a
/// usual configuration, in 20 ms, and those who have it become sources.
const FETCH_SPREAD: Duration = Duration::from_millis(250);
/// Largest answer that is taken.
const MOST_BYTES: usize = 16 << 20;

/// Why nothing was fetched.
#[derive(Debug, Error)]
pub enum FetchError {
    /// No connection came about, or it broke.
    #[error("{0}")]
    Broken(#[from] std::io::Error),
    /// The answer is not HTTP, or broke off.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The answer is too large or broke off.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// No answer came in time.
    #[error("no answer in time")]
    TimedOut,
    /// The node has nothing to give.
    #[error("the node has nothing to give")]
    Nothing,
    /// The answer is not in the expected form.
    #[error("{0}")]
    Malformed(#[from] ciborium::de::Error<std::io::Error>),
}

/// Fetches what `word` shows that its node has and this one lacks. One fetch at a time: the next
/// word tells again.
pub fn catch_up(gateway: &Rc<Gateway>, word: &NodeWord) {
    let (told, _) = gateway.newest_told.get();
    if word.version > told {
        gateway.newest_told.set((word.version, gateway.now()));
    }
    if !lacks(gateway, word).any() || gateway.fetching.replace(true) {
        return;
    }
    let (gateway, word) = (gateway.clone(), word.clone());
    tokio::task::spawn_local(async move {
        let turn = xxh3_64_with_seed(gateway.settings.name.as_bytes(), millis(gateway.now()));
        tokio::time::sleep(FETCH_SPREAD.mul_f64(turn as f64 / u64::MAX as f64)).await;
        let lacking = lacks(&gateway, &word);
        if lacking.any() {
            let (peer, address) = source(&gateway, &word, turn);
            let fetched = fetch_all(&gateway, &peer, address, lacking.rules).await;
            if let Err(error) = fetched {
                let reason = error.to_string();
                gateway.decisions.line(&Decision::FetchFailed {
                    peer: &peer,
                    reason: &reason,
                });
            }
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
}

impl LackingPart {
    fn any(self) -> bool {
        self.rules || self.entries
    }
}

fn lacks(gateway: &Gateway, word: &NodeWord) -> LackingPart {
    let own_version = gateway.rules().map_or(0, |rules| rules.version);
    let reads_itself = gateway.is_reader() && !gateway.store_doubtful();
    let differs = word.registry_digest != gateway.registry.borrow().digest();
    let unknown = !gateway.store.get().registry_known && word.registry_digest != 0;
    LackingPart {
        rules: word.version > own_version,
        entries: differs && word.store_well && !reads_itself || unknown,
    }
}

/// One of the nodes that have what `word` shows: the fetches of many nodes that heard the same word
/// spread over all of them.
fn source(gateway: &Gateway, word: &NodeWord, turn: u64) -> (Box<str>, SocketAddr) {
    let fleet = gateway.fleet.borrow();
    let has_same = |peer: &&FleetPeer| {
        peer.word.version >= word.version && peer.word.registry_digest == word.registry_digest
    };
    let peers: Vec<&FleetPeer> = fleet.live(gateway.now()).filter(has_same).collect();
    let chosen = turn as usize % peers.len().max(1);
    let word = peers.get(chosen).map_or(word, |peer| &peer.word);
    (word.name.clone(), word.peers)
}

async fn fetch_all(
    gateway: &Gateway,
    peer: &str,
    address: SocketAddr,
    rules: bool,
) -> Result<(), FetchError> {
    if rules {
        let bytes = fetch(address, desk::CONFIGURATION_PATH).await?;
        follow::take_configuration(gateway, &bytes, peer);
    }
    let bytes = fetch(address, desk::REGISTRY_PATH).await?;
    let entries: Vec<(UpstreamEntry, bool)> = ciborium::from_reader(&bytes[..])?;
    take_entries(gateway, entries);
    Ok(())
}

/// Takes another node's entries in: an upstream that left there has left.
fn take_entries(gateway: &Gateway, entries: Vec<(UpstreamEntry, bool)>) {
    let mut view = gateway.store.get();
    for (entry, left) in entries {
        let id = entry.id.clone();
        let known = gateway.registry.borrow().key(&id).is_some();
        if !left {
            follow::take_change(gateway, RegistryChange::Put(entry), true);
        } else if !known {
            // It left before this node heard of it; known as left, it makes the digests agree.
            follow::take_change(
                gateway,
                RegistryChange::Put(UpstreamEntry {
                    leaving: true,
                    ..entry
                }),
                true,
            );
        } else {
            follow::take_change(gateway, RegistryChange::Removed(id), true);
        }
    }
    view.registry_known = true;
    gateway.store.set(view);
}

async fn fetch(address: SocketAddr, path: &str) -> Result<Bytes, FetchError> {
    let fetching = tokio::time::timeout(FETCH_TIMEOUT, exchange(address, path));
    fetching.await.unwrap_or(Err(FetchError::TimedOut))
}

async fn exchange(address: SocketAddr, path: &str) -> Result<Bytes, FetchError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::task::spawn_local(async move {
        // What ends the connection is told to the request.
        let _ = connection.await;
    });
    let mut request = Request::new(Empty::<Bytes>::new());
    if let Ok(target) = path.parse() {
        *request.uri_mut() = target;
    }
    let response = sender.send_request(request).await?;
    if !response.status().is_success() {
        task.abort();
        return Err(FetchError::Nothing);
    }
    let body = Limited::new(response.into_body(), MOST_BYTES)
        .collect()
        .await;
    task.abort();
    Ok(body.map_err(FetchError::Body)?.to_bytes())
}
