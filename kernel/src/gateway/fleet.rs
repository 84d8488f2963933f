//! The nodes of the fleet, as their own heartbeats and those of others tell them.
//!
//! In each availability zone the few strongest nodes are its *hubs*: every node of the zone sends its
//! heartbeats to them, they tell all nodes of the zone, and hubs of different zones tell each other.

mod callers;
mod hubs;
mod shares;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

pub use crate::gateway::fleet::shares::SharedLimit;
use crate::gateway::heartbeat::{NodeCard, NodeHeartbeat, NodeState, node_hash};

/// Time after which a silent node is no longer named to callers: one heartbeat of a node that has no
/// calls may be lost.
pub const SILENT_AFTER: Duration = Duration::from_secs(2);
/// The same for hubs of other zones, which tell each other in turn if there are many. A node counts as
/// part of the fleet for as long.
pub const FAR_SILENT_AFTER: Duration = Duration::from_secs(15);
/// Time after which a node of which nothing is heard, also not of others, is forgotten. Hubs name all
/// nodes of a zone of some hundred to each other node in less.
const FORGOTTEN_AFTER: Duration = Duration::from_mins(1);
/// Time for which each next hub waits longer before it claims duties.
const RANK_STEP: Duration = Duration::from_millis(600);
/// Time for which hubs have the first turn.
const HUBS_TURN: Duration = Duration::from_secs(8);
/// Time between two other nodes, which may be cut off from all hubs or find these cut off from the store.
const MEMBER_STEP: Duration = Duration::from_millis(250);
/// Time for which a node that has gone silent is taken to send calls still.
const RIVAL_AGE: Duration = Duration::from_secs(30);

/// Another node.
#[derive(Clone, Debug)]
pub struct FleetPeer {
    /// Its newest heartbeat; only who it is if none came yet.
    pub heartbeat: NodeHeartbeat,
    /// When that came.
    pub heard_at: Option<Duration>,
    /// When its own or another node's heartbeat named it last.
    named_at: Duration,
    /// Since when this node has told it and expects to hear it.
    expected_since: Option<Duration>,
}

impl FleetPeer {
    fn heard_within(&self, age: Duration, now: Duration) -> bool {
        self.heard_at.is_some_and(|at| at + age > now)
    }

    /// Whether it was expected to speak and did not.
    fn is_silent(&self, age: Duration, now: Duration) -> bool {
        let last = self.expected_since.max(self.heard_at);
        self.expected_since.is_some() && last.is_some_and(|last| last + age <= now)
    }

    /// Whether a card is that of an earlier run. One that speaks while the later run is silent is not:
    /// its host's time of day was set back.
    fn outlasts(&self, card: &NodeCard, now: Duration) -> bool {
        self.heartbeat.card.incarnation > card.incarnation && self.heard_within(SILENT_AFTER, now)
    }

    fn sends_calls(&self) -> bool {
        self.heartbeat.sends_calls()
    }
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerNews {
    /// The node is new or started again.
    pub fresh: bool,
    /// It began to leave.
    pub left: bool,
}

/// This node and all others that it knows.
#[derive(Clone, Debug)]
pub struct FleetView {
    own: NodeCard,
    started_at: Duration,
    peers: BTreeMap<Box<str>, FleetPeer>,
    store_answered_at: Option<Duration>,
}

/// The order in which nodes claim duties.
fn claim_order(card: &NodeCard) -> (Reverse<u32>, &str) {
    (Reverse(card.capacity), &card.name)
}

impl FleetView {
    /// The view of a node that starts now and knows no other.
    pub fn new(own: NodeCard, now: Duration) -> Self {
        Self {
            own,
            started_at: now,
            peers: BTreeMap::new(),
            store_answered_at: None,
        }
    }

    /// Who this node is.
    pub fn own(&self) -> &NodeCard {
        &self.own
    }

    /// Notes how far this node's process is.
    pub fn set_state(&mut self, state: NodeState) {
        self.own.state = state;
    }

    /// Notes that the store answered this node.
    pub fn store_answered(&mut self, now: Duration) {
        self.store_answered_at = self.store_answered_at.max(Some(now));
    }

    /// When the store answered any node that this one heard of.
    pub fn store_answered_at(&self) -> Option<Duration> {
        self.store_answered_at
    }

    /// Takes a heartbeat in, with all that it says of other nodes.
    pub fn heard(&mut self, mut heartbeat: NodeHeartbeat, now: Duration) -> PeerNews {
        if heartbeat.card.name == self.own.name {
            return PeerNews::default();
        }
        for card in std::mem::take(&mut heartbeat.cards) {
            self.named(card, now);
        }
        heartbeat.parts = Vec::new();
        heartbeat.usage = Vec::new();
        heartbeat.crashes = Vec::new();
        heartbeat.limits = Vec::new();
        if let Some(age) = heartbeat.store_age() {
            let answered_at = now.saturating_sub(age);
            self.store_answered_at = self.store_answered_at.max(Some(answered_at));
        }
        let known = self.peers.get(&heartbeat.card.name);
        let incarnation = known.map(|peer| peer.heartbeat.card.incarnation);
        if known.is_some_and(|peer| peer.outlasts(&heartbeat.card, now)) {
            return PeerNews::default();
        }
        let same_run = known.filter(|_| incarnation == Some(heartbeat.card.incarnation));
        let state = same_run.map_or(NodeState::Starting, |peer| peer.heartbeat.card.state);
        heartbeat.card.state = heartbeat.card.state.max(state);
        let news = PeerNews {
            fresh: same_run.is_none_or(|peer| peer.heard_at.is_none()),
            left: heartbeat.card.state == NodeState::Leaving && state != NodeState::Leaving,
        };
        if heartbeat.work.is_none() {
            heartbeat.work = same_run.and_then(|peer| peer.heartbeat.work.clone());
        }
        let expected_since = known.and_then(|peer| peer.expected_since);
        let peer = FleetPeer {
            heard_at: Some(now),
            named_at: now,
            expected_since,
            heartbeat,
        };
        self.peers.insert(peer.heartbeat.card.name.clone(), peer);
        news
    }

    /// Takes in what another node says of one.
    fn named(&mut self, card: NodeCard, now: Duration) {
        if card.name == self.own.name {
            return;
        }
        match self.peers.get_mut(&card.name) {
            Some(peer) if peer.outlasts(&card, now) => {}
            Some(peer) if peer.heartbeat.card.incarnation == card.incarnation => {
                peer.named_at = now;
                let state = &mut peer.heartbeat.card.state;
                *state = card.state.max(*state);
            }
            _ => {
                let peer = FleetPeer {
                    heard_at: None,
                    named_at: now,
                    expected_since: None,
                    heartbeat: NodeHeartbeat::new(card),
                };
                self.peers.insert(peer.heartbeat.card.name.clone(), peer);
            }
        }
    }

    /// Notes that the nodes at these addresses are told and should be heard.
    pub fn expect(&mut self, told: &[SocketAddr], now: Duration) {
        let told: BTreeSet<&SocketAddr> = told.iter().collect();
        for peer in self.peers.values_mut() {
            if told.contains(&peer.heartbeat.card.peers) {
                peer.expected_since.get_or_insert(now);
            }
        }
    }

    /// Forgets nodes of which nothing was heard for long.
    pub fn forget(&mut self, now: Duration) {
        self.peers
            .retain(|_, peer| peer.named_at + FORGOTTEN_AFTER > now);
        for peer in self.peers.values_mut() {
            if !peer.heard_within(RIVAL_AGE, now) {
                peer.heartbeat.work = None;
            }
        }
    }

    /// Nodes that were heard a moment ago.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &FleetPeer> {
        let peers = self.peers.values();
        peers.filter(move |peer| peer.heard_within(SILENT_AFTER, now))
    }

    /// All other nodes of this node's zone.
    pub fn zone_peers(&self) -> impl Iterator<Item = &FleetPeer> {
        let peers = self.peers.values();
        peers.filter(|peer| peer.heartbeat.card.zone == self.own.zone)
    }

    /// Nodes that this one heard itself and may name to others: a node that is gone is not passed
    /// round for ever.
    pub fn namable(&self, now: Duration) -> Vec<&NodeCard> {
        let heard = |peer: &&FleetPeer| {
            let near = peer.heartbeat.card.zone == self.own.zone;
            let age = if near { SILENT_AFTER } else { FAR_SILENT_AFTER };
            peer.heard_within(age, now) && peer.heartbeat.card.state != NodeState::Leaving
        };
        let peers = self.peers.values().filter(heard);
        peers.map(|peer| &peer.heartbeat.card).collect()
    }

    /// Nodes of this node's zone that it hears, and itself.
    pub fn zone_size(&self, now: Duration) -> u32 {
        let live = self.zone_peers();
        let live = live.filter(|peer| peer.heard_within(FAR_SILENT_AFTER, now));
        1 + live.count() as u32
    }

    /// Nodes of the fleet, as the hubs count them; no fewer than this node knows.
    pub fn size(&self, now: Duration) -> u32 {
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        let mut told = 0;
        let heard = |peer: &&FleetPeer| peer.heard_within(FAR_SILENT_AFTER, now);
        for peer in self.peers.values().filter(heard) {
            let heartbeat = &peer.heartbeat;
            let zone = zones.entry(&heartbeat.card.zone).or_default();
            *zone = heartbeat.zone_size.max(*zone);
            if heartbeat.card.zone == self.own.zone {
                told = heartbeat.fleet_size.max(told);
            }
        }
        let own_zone = zones.entry(&self.own.zone).or_default();
        *own_zone = self.zone_size(now).max(*own_zone);
        let counted: u32 = zones.values().sum();
        let known = 1 + self.peers.len() as u32;
        if self.is_hub(now) {
            counted.max(known)
        } else {
            told.max(known)
        }
    }

    /// The nodes that send calls, as numbers that tell them apart. One that has gone silent is among
    /// them for a while: it may be cut off from here and send all the same.
    pub fn rivals(&self) -> Vec<u64> {
        let peers = self.peers.values().filter(|peer| peer.sends_calls());
        peers
            .map(|peer| node_hash(&peer.heartbeat.card.name))
            .collect()
    }

    /// How many of them are silent.
    pub fn silent_rivals(&self, now: Duration) -> u32 {
        let peers = self.peers.values().filter(|peer| peer.sends_calls());
        let silent = peers.filter(|peer| !peer.heard_within(SILENT_AFTER, now));
        silent.count() as u32
    }

    /// Time since 1970 at the start of this node's steady clock: the median of what the live nodes and
    /// this one say, so that a step of some hosts' time of day moves nothing. `own` is this node's.
    pub fn unix_start(&self, own: Duration, now: Duration) -> Duration {
        let told = self.live(now).filter_map(|peer| {
            let unix = Duration::from_millis(peer.heartbeat.unix_ms);
            unix.checked_sub(peer.heard_at?)
        });
        let told = told.filter(|start| !start.is_zero());
        let mut starts: Vec<Duration> = told.chain(std::iter::once(own)).collect();
        starts.sort_unstable();
        starts[starts.len() / 2]
    }

    /// Time without word of a holder after which this node claims duties, beyond `silence`: hubs in their
    /// order, the strongest first, then the other nodes spread over a time that grows with the fleet, so
    /// that an outage of the store costs it few calls.
    pub fn claim_patience(&self, silence: Duration, now: Duration) -> Duration {
        let own = claim_order(&self.own);
        let claimants = self.claimants(now);
        let rank = claimants.filter(|card| claim_order(card) < own).count();
        if self.is_hub(now) {
            return silence + RANK_STEP * u32::try_from(rank).unwrap_or(u32::MAX);
        }
        let draw = node_hash(&self.own.name) as f64 / u64::MAX as f64;
        silence + HUBS_TURN + MEMBER_STEP.mul_f64(draw * f64::from(self.size(now)))
    }

    /// The other node that is the first to claim duties if this one is gone.
    pub fn duty_deputy(&self, now: Duration) -> Option<SocketAddr> {
        let first = self.claimants(now).min_by_key(|card| claim_order(card))?;
        Some(first.peers)
    }

    fn claimants(&self, now: Duration) -> impl Iterator<Item = &NodeCard> {
        let live = self.live(now).map(|peer| &peer.heartbeat.card);
        live.filter(|card| card.state != NodeState::Leaving)
    }

    /// Every other node that is known, live or not.
    pub fn iter(&self) -> impl Iterator<Item = &FleetPeer> {
        self.peers.values()
    }
}
