//! Words between nodes: who is there, what each has in force and how much work it has where.
//!
//! Words are datagrams: each replaces the one before, so a lost one costs a fraction of a second.
//! What is too large for a datagram is fetched from the node that named it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monsoonbank_kernel::gateway::fleet::{self, NodeWord, WorkWord};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::error::NodeError;
use crate::gateway::decisions::Decision;
use crate::gateway::{Gateway, exchange, follow};

/// How often a node speaks.
#[derive(Clone, Copy, Debug)]
struct WordPace {
    /// Time between two words to the entries of the same availability zone, which share its
    /// upstreams.
    near: Duration,
    /// Words to them for each round to the zone's other nodes.
    other_words: u64,
    /// Words to them for each round to nodes of other zones.
    far_words: u64,
}

/// Of a node without calls at upstreams: what it tells changes seldom.
const IDLE_PACE: WordPace = WordPace {
    near: Duration::from_millis(200),
    other_words: 1,
    far_words: 2,
};
/// Of a node with calls: an engine under load takes and ends one in some 50 ms. Against words every
/// 200 ms near and 400 ms far, 0.014 more of what loaded days owe is earned (mean of five days).
const BUSY_PACE: WordPace = WordPace {
    near: Duration::from_millis(50),
    other_words: 4,
    far_words: 4,
};
/// Words in a round to nodes that are not named to callers: enough that each of thirty is told
/// within 1.5 s.
const MOST_OTHERS: usize = 4;
/// Parts of prompts in one datagram, about 16 bytes each.
const MOST_PARTS: usize = 48;
/// Open calls that a core carries: at 25 to 60 of them a node spends 0.02 cores.
const CALLS_PER_CORE: f64 = 1000.0;
/// Largest datagram: one that networks do not split.
const MOST_BYTES: usize = 1400;
/// Addresses of nodes in one datagram, 14 bytes each.
const MOST_KNOWN: usize = 90;

/// What one node tells another.
#[derive(Debug, Serialize, Deserialize)]
enum PeerMessage {
    /// What it says of itself.
    Word(NodeWord),
    /// Nodes that it knows, for one that it had not heard.
    Known(Vec<SocketAddr>),
}

/// Starts to speak and to listen.
pub async fn start(gateway: &Rc<Gateway>) -> Result<(), NodeError> {
    let address = gateway.settings.peer_address();
    let socket = UdpSocket::bind(address).await;
    let socket = socket.map_err(|source| NodeError::Listen {
        address,
        role: "other nodes",
        source,
    })?;
    let socket = Rc::new(socket);
    let port = address.port();
    let seeds = gateway
        .settings
        .peers
        .seeds
        .iter()
        .map(|seed| SocketAddr::new(seed.ip(), port));
    let seeds: BTreeSet<SocketAddr> = seeds.filter(|seed| *seed != address).collect();
    tokio::task::spawn_local(listen(gateway.clone(), socket.clone()));
    tokio::task::spawn_local(speak(gateway.clone(), socket, seeds));
    Ok(())
}

/// What this node says of itself.
pub fn own_word(gateway: &Gateway, parts: Vec<(u64, u64)>) -> NodeWord {
    let settings = &gateway.settings;
    let registry = gateway.registry.borrow();
    let work = registry
        .iter()
        .filter(|(_, upstream)| upstream.load.own().calls > 0)
        .map(|(_, upstream)| WorkWord {
            run: upstream.entry.run_hash(),
            count: upstream.load.own(),
            taken_tokens: upstream.load.cache.own_taken(),
        })
        .collect();
    let now = gateway.now();
    let failing = registry
        .iter()
        .filter(|(_, upstream)| upstream.health.warns(now))
        .map(|(_, upstream)| upstream.entry.run_hash())
        .collect();
    NodeWord {
        name: settings.name.clone(),
        incarnation: gateway.incarnation,
        zone: settings.zone.clone(),
        callers: settings.listen.callers,
        peers: settings.peer_address(),
        ready: gateway.is_ready(),
        capacity: (settings.limits.cores * CALLS_PER_CORE) as u32,
        version: gateway.version(),
        store_well: gateway.store.get().registry_known && !gateway.store_doubtful(),
        registry_digest: registry.digest(),
        work,
        failing,
        departures: registry.departures(now),
        parts,
    }
}

async fn send(socket: &UdpSocket, to: SocketAddr, message: &PeerMessage) {
    let mut bytes = Vec::with_capacity(256);
    if let Err(error) = ciborium::into_writer(message, &mut bytes) {
        log::warn!("a word cannot be written: {error}");
        return;
    }
    if bytes.len() > MOST_BYTES {
        log::debug!("a word of {} bytes may be split on its way", bytes.len());
    }
    if let Err(error) = socket.send_to(&bytes, to).await {
        log::debug!("a word to {to} was not sent: {error}");
    }
}

fn pace(gateway: &Gateway) -> WordPace {
    if gateway.open_calls.get() > 0 {
        BUSY_PACE
    } else {
        IDLE_PACE
    }
}

async fn speak(gateway: Rc<Gateway>, socket: Rc<UdpSocket>, seeds: BTreeSet<SocketAddr>) {
    let mut round = 0;
    let mut near_turn = 0;
    let mut far_turn = 0;
    let mut far_parts = BTreeSet::new();
    loop {
        let pace = pace(&gateway);
        let announced = tokio::time::timeout(pace.near, gateway.announcement.notified())
            .await
            .is_ok();
        gateway.fleet.borrow_mut().forget(gateway.now());
        gateway.decisions.flush();
        let parts = std::mem::take(&mut *gateway.sent_parts.borrow_mut());
        far_parts.extend(parts.iter().copied());
        let word = own_word(&gateway, longest_parts(&parts));
        let near = PeerTargets::find(&gateway, &word, true);
        let far = PeerTargets::find(&gateway, &word, false);
        let word = PeerMessage::Word(word);
        round += 1;
        let is_due = |words: u64| announced || round % words == 0;
        let others = is_due(pace.other_words).then_some(&mut near_turn);
        for to in near.next(others, announced) {
            send(&socket, to, &word).await;
        }
        if !is_due(pace.far_words) {
            continue;
        }
        let word = PeerMessage::Word(own_word(&gateway, longest_parts(&far_parts)));
        far_parts.clear();
        for to in far.next(Some(&mut far_turn), announced) {
            send(&socket, to, &word).await;
        }
        for seed in seeds
            .iter()
            .filter(|seed| !near.holds(seed) && !far.holds(seed))
        {
            send(&socket, *seed, &word).await;
        }
    }
}

/// Nodes that words go to: between entries each time, else in turn.
struct PeerTargets {
    entries: Vec<SocketAddr>,
    others: Vec<SocketAddr>,
}

impl PeerTargets {
    /// Nodes of this availability zone, or of all others.
    fn find(gateway: &Gateway, own: &NodeWord, near: bool) -> Self {
        let fleet = gateway.fleet.borrow();
        let now = gateway.now();
        let words = || {
            fleet
                .live(now)
                .map(|peer| &peer.word)
                .chain(std::iter::once(own))
        };
        let zones: BTreeSet<&str> = words()
            .map(|word| &*word.zone)
            .filter(|zone| (*zone == &*own.zone) == near)
            .collect();
        let entries: BTreeSet<SocketAddr> = zones
            .iter()
            .flat_map(|zone| fleet::entries(words(), zone))
            .map(|word| word.peers)
            .filter(|peers| *peers != own.peers)
            .collect();
        let is_entry = fleet::entries(words(), &own.zone)
            .iter()
            .any(|word| word.name == own.name);
        // Callers that keep an old address go on at a node that is no entry any more.
        let tells_entries = is_entry || !own.work.is_empty();
        let entries = if tells_entries {
            entries
        } else {
            BTreeSet::new()
        };
        let others = fleet
            .iter()
            .filter(|peer| (peer.word.zone == own.zone) == near)
            .map(|peer| peer.word.peers)
            .filter(|peers| !entries.contains(peers))
            .collect();
        Self {
            entries: entries.into_iter().collect(),
            others,
        }
    }

    /// Targets of one round: the entries, and the next of the other nodes if it is their turn. What
    /// it costs does not grow with the fleet, but for announcements.
    fn next(&self, turn: Option<&mut usize>, announced: bool) -> Vec<SocketAddr> {
        let Some(turn) = turn else {
            return self.entries.clone();
        };
        let most = if announced { usize::MAX } else { MOST_OTHERS };
        let count = self.others.len().min(most);
        let from = *turn;
        *turn = turn.wrapping_add(count);
        let others =
            (0..count).map(|step| self.others[from.wrapping_add(step) % self.others.len()]);
        self.entries.iter().copied().chain(others).collect()
    }

    fn holds(&self, address: &SocketAddr) -> bool {
        self.entries.contains(address) || self.others.contains(address)
    }
}

/// As many as a datagram holds, the longest first; the rest costs a few prompts that are read twice.
fn longest_parts(parts: &BTreeSet<(u32, u64, u64)>) -> Vec<(u64, u64)> {
    let longest = parts.iter().rev().take(MOST_PARTS);
    longest.map(|(_, part, hash)| (*part, *hash)).collect()
}

async fn listen(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                log::debug!("a word was not received: {error}");
                continue;
            }
        };
        match ciborium::from_reader(&buffer[..length]) {
            Ok(PeerMessage::Word(word)) => hear(&gateway, &socket, word).await,
            Ok(PeerMessage::Known(addresses)) => {
                let own = gateway.settings.peer_address();
                let known: BTreeSet<SocketAddr> = gateway
                    .fleet
                    .borrow()
                    .iter()
                    .map(|peer| peer.word.peers)
                    .collect();
                let message = PeerMessage::Word(own_word(&gateway, Vec::new()));
                for to in addresses
                    .iter()
                    .filter(|to| **to != own && !known.contains(to))
                {
                    send(&socket, *to, &message).await;
                }
            }
            Err(error) => log::warn!("a word is malformed: {error}"),
        }
    }
}

async fn hear(gateway: &Rc<Gateway>, socket: &UdpSocket, word: NodeWord) {
    if word.name == gateway.settings.name {
        return;
    }
    let now = gateway.now();
    take_departures(gateway, &word, now);
    take_work(gateway, &word, now);
    exchange::catch_up(gateway, &word);
    gateway.room_notice.notify_waiters();
    let from = word.peers;
    let (name, zone) = (word.name.clone(), word.zone.clone());
    let fresh = gateway.fleet.borrow_mut().heard(word, now);
    if !fresh {
        return;
    }
    gateway.decisions.line(&Decision::PeerHeard {
        peer: &name,
        zone: &zone,
    });
    let known: Vec<SocketAddr> = gateway
        .fleet
        .borrow()
        .iter()
        .map(|peer| peer.word.peers)
        .collect();
    send(
        socket,
        from,
        &PeerMessage::Word(own_word(gateway, Vec::new())),
    )
    .await;
    for part in known.chunks(MOST_KNOWN) {
        send(socket, from, &PeerMessage::Known(part.to_vec())).await;
    }
}

fn take_departures(gateway: &Gateway, word: &NodeWord, now: Duration) {
    for hash in &word.departures {
        let departed = gateway.registry.borrow_mut().departed(*hash, now);
        if let Some(key) = departed {
            follow::upstream_changed(gateway, key);
        }
    }
}

fn take_work(gateway: &Gateway, word: &NodeWord, now: Duration) {
    let mut registry = gateway.registry.borrow_mut();
    for work in &word.work {
        let key = registry.by_hash(work.run);
        if let Some(upstream) = key.and_then(|key| registry.get_mut(key)) {
            upstream.load.heard(&word.name, work.count, now);
            upstream.load.cache.heard(&word.name, work.taken_tokens);
        }
    }
    for hash in &word.failing {
        let key = registry.by_hash(*hash);
        if let Some(upstream) = key.and_then(|key| registry.get_mut(key)) {
            upstream.health.warned(now);
        }
    }
    for (part, hash) in &word.parts {
        let key = registry.by_hash(*hash);
        if let Some(upstream) = key.and_then(|key| registry.get_mut(key)) {
            upstream.load.part_used(*part, now);
        }
    }
}
