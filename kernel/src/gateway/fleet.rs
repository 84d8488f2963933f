//! Nodes of the fleet, as learned from their own heartbeats and from those of others.
//!
//! In each availability zone the few nodes with the largest capacity are its *hubs*: every node of
//! the zone sends its heartbeats to them, they send theirs to all nodes of the zone, and hubs of
//! different zones exchange them.

mod callers;
mod hubs;
mod keepers;
mod queues;
mod reach;
mod shares;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::crashes::news::CrashNews;
pub use crate::gateway::fleet::keepers::StartKeepers;
pub use crate::gateway::fleet::shares::SharedLimit;
use crate::gateway::heartbeat::{NodeCard, NodeHeartbeat, NodeState, node_hash};

/// Time without a heartbeat after which a node is no longer listed for callers: one heartbeat of a
/// node without calls may be lost.
pub const SILENT_AFTER: Duration = Duration::from_secs(2);
/// The same for hubs of other zones, which send to each other in turn if there are many. A node
/// counts as part of the fleet for as long.
pub const FAR_SILENT_AFTER: Duration = Duration::from_secs(15);
/// Time after which a node that no heartbeat mentions is removed. Hubs advertise all nodes of their
/// zone to each other node twice in it.
pub const EXPIRED_AFTER: Duration = Duration::from_mins(1);
/// Delay between the claims of two consecutive hubs for the duties.
const RANK_STEP: Duration = Duration::from_millis(600);
/// Time for which only hubs claim the duties.
const HUBS_PERIOD: Duration = Duration::from_secs(8);
/// Mean delay between the claims of two other nodes, which may be cut off from all hubs or find the
/// hubs cut off from the store.
const MEMBER_STEP: Duration = Duration::from_millis(250);
/// Time for which a node is assumed to send calls after its heartbeats stopped.
pub const SENDER_AGE: Duration = Duration::from_secs(30);

/// Another node, as its own heartbeats and those of others report it.
#[derive(Clone, Debug)]
pub struct FleetPeer {
    /// Its newest heartbeat; contains only its card if none was received yet.
    pub heartbeat: NodeHeartbeat,
    /// Time at which its newest heartbeat was received; `None` if none was.
    pub last_heartbeat_at: Option<Duration>,
    /// Time at which the backlog in `heartbeat` was received; `None` if none was.
    backlog_at: Option<Duration>,
    /// Time at which a heartbeat, its own or another node's, last contained its card.
    mentioned_at: Duration,
    /// Time since when this node has sent it heartbeats and expects some in return.
    expected_since: Option<Duration>,
}

impl FleetPeer {
    fn received_within(&self, age: Duration, now: Duration) -> bool {
        self.last_heartbeat_at.is_some_and(|at| at + age > now)
    }

    /// Whether heartbeats were expected from it and did not arrive for `age`.
    fn is_silent(&self, age: Duration, now: Duration) -> bool {
        let last = self.expected_since.max(self.last_heartbeat_at);
        self.expected_since.is_some() && last.is_some_and(|last| last + age <= now)
    }

    /// Whether a card is from an earlier run and outdated. If the later run is silent it is not:
    /// then the host's wall clock was set back.
    fn outlasts(&self, card: &NodeCard, now: Duration) -> bool {
        self.heartbeat.card.incarnation > card.incarnation
            && self.received_within(SILENT_AFTER, now)
    }

    fn sends_calls(&self) -> bool {
        self.heartbeat.sends_calls()
    }
}

/// Change of a node's state by a heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerChange {
    /// The node is new or restarted.
    pub fresh: bool,
    /// The node began to leave.
    pub left: bool,
}

/// This node and all others that it knows.
#[derive(Clone, Debug)]
pub struct FleetView {
    own: NodeCard,
    started_at: Duration,
    peers: BTreeMap<Box<str>, FleetPeer>,
    /// Names of all nodes, this one included, by zone, the largest capacity first.
    zones: BTreeMap<Box<str>, BTreeSet<ZoneRank>>,
    /// Addresses of other nodes that a starting node asks first and has not heard from.
    unheard_seeds: BTreeSet<SocketAddr>,
    store_answered_at: Option<Duration>,
}

/// Sort key of the order in which nodes claim the duties.
fn claim_order(card: &NodeCard) -> (Reverse<u32>, &str) {
    (Reverse(card.capacity), &card.name)
}

/// Sort key of a node among those of its zone.
type ZoneRank = (Reverse<u32>, Box<str>);

fn zone_rank(card: &NodeCard) -> ZoneRank {
    (Reverse(card.capacity), card.name.clone())
}

impl FleetView {
    /// Creates the view of a node that starts at `now` and knows no other.
    pub fn new(own: NodeCard, now: Duration) -> Self {
        let mut zones: BTreeMap<Box<str>, BTreeSet<ZoneRank>> = BTreeMap::new();
        zones
            .entry(own.zone.clone())
            .or_default()
            .insert(zone_rank(&own));
        Self {
            own,
            started_at: now,
            peers: BTreeMap::new(),
            zones,
            unheard_seeds: BTreeSet::new(),
            store_answered_at: None,
        }
    }

    /// Sets the addresses of the seeds, which a starting node asks first.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = SocketAddr>) {
        self.unheard_seeds = seeds.into_iter().collect();
        self.unheard_seeds.remove(&self.own.peers);
    }

    /// Addresses of the seeds that this node has not heard from since its start.
    pub fn unheard_seeds(&self) -> &BTreeSet<SocketAddr> {
        &self.unheard_seeds
    }

    /// Time since the start of this node.
    pub fn uptime(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at)
    }

    /// Card of this node, as its heartbeats contain it.
    pub fn own(&self) -> &NodeCard {
        &self.own
    }

    /// Sets the state of this node's process.
    pub fn set_state(&mut self, state: NodeState) {
        self.own.state = state;
    }

    /// Records that the store answered this node.
    pub fn store_answered(&mut self, now: Duration) {
        self.store_answered_at = self.store_answered_at.max(Some(now));
    }

    /// Time at which the store last answered any node, as far as this one knows; `None` if it knows
    /// of no answer.
    pub fn store_answered_at(&self) -> Option<Duration> {
        self.store_answered_at
    }

    /// Processes a received heartbeat, including the cards of other nodes in it.
    pub fn receive_heartbeat(&mut self, mut heartbeat: NodeHeartbeat, now: Duration) -> PeerChange {
        if heartbeat.card.name == self.own.name {
            return PeerChange::default();
        }
        for card in std::mem::take(&mut heartbeat.cards) {
            self.receive_card(card, now);
        }
        self.unheard_seeds.remove(&heartbeat.card.peers);
        heartbeat.parts = Vec::new();
        heartbeat.usage = Vec::new();
        heartbeat.speeds = Vec::new();
        heartbeat.crashes = CrashNews::default();
        heartbeat.limits = Vec::new();
        heartbeat.refusals = Vec::new();
        if let Some(age) = heartbeat.store_age() {
            let answered_at = now.saturating_sub(age);
            self.store_answered_at = self.store_answered_at.max(Some(answered_at));
        }
        let known = self.peers.get(&heartbeat.card.name);
        let incarnation = known.map(|peer| peer.heartbeat.card.incarnation);
        if known.is_some_and(|peer| peer.outlasts(&heartbeat.card, now)) {
            return PeerChange::default();
        }
        let same_run = known.filter(|_| incarnation == Some(heartbeat.card.incarnation));
        let state = same_run.map_or(NodeState::Starting, |peer| peer.heartbeat.card.state);
        heartbeat.card.state = heartbeat.card.state.max(state);
        let change = PeerChange {
            fresh: same_run.is_none_or(|peer| peer.last_heartbeat_at.is_none()),
            left: heartbeat.card.state == NodeState::Leaving && state != NodeState::Leaving,
        };
        let mut backlog_at = Some(now);
        if heartbeat.work.is_none() {
            heartbeat.work = same_run.and_then(|peer| peer.heartbeat.work.clone());
            heartbeat.backlog = same_run.map_or(Vec::new(), |peer| peer.heartbeat.backlog.clone());
            backlog_at = same_run.and_then(|peer| peer.backlog_at);
        }
        let expected_since = known.and_then(|peer| peer.expected_since);
        let peer = FleetPeer {
            last_heartbeat_at: Some(now),
            backlog_at,
            mentioned_at: now,
            expected_since,
            heartbeat,
        };
        self.insert(peer);
        change
    }

    fn insert(&mut self, peer: FleetPeer) {
        let card = &peer.heartbeat.card;
        let rank = zone_rank(card);
        let zone = card.zone.clone();
        let older = self.peers.insert(card.name.clone(), peer);
        if let Some(older) = older {
            let card = &older.heartbeat.card;
            if (&card.zone, zone_rank(card)) == (&zone, rank.clone()) {
                return;
            }
            self.remove_rank(card);
        }
        self.zones.entry(zone).or_default().insert(rank);
    }

    fn remove_rank(&mut self, card: &NodeCard) {
        let Some(zone) = self.zones.get_mut(&card.zone) else {
            return;
        };
        zone.remove(&zone_rank(card));
        if zone.is_empty() {
            self.zones.remove(&card.zone);
        }
    }

    /// Processes the card of a node in another node's heartbeat.
    fn receive_card(&mut self, card: NodeCard, now: Duration) {
        if card.name == self.own.name {
            return;
        }
        match self.peers.get_mut(&card.name) {
            Some(peer) if peer.outlasts(&card, now) => {}
            Some(peer) if peer.heartbeat.card.incarnation == card.incarnation => {
                peer.mentioned_at = now;
                let state = &mut peer.heartbeat.card.state;
                *state = card.state.max(*state);
            }
            _ => {
                let peer = FleetPeer {
                    last_heartbeat_at: None,
                    backlog_at: None,
                    mentioned_at: now,
                    expected_since: None,
                    heartbeat: NodeHeartbeat::new(card),
                };
                self.insert(peer);
            }
        }
    }

    /// Records that heartbeats were sent to these addresses and are expected in return.
    pub fn expect_heartbeats(&mut self, recipients: &[SocketAddr], now: Duration) {
        let recipients: BTreeSet<&SocketAddr> = recipients.iter().collect();
        for peer in self.peers.values_mut() {
            if recipients.contains(&peer.heartbeat.card.peers) {
                peer.expected_since.get_or_insert(now);
            }
        }
    }

    /// Removes nodes that no heartbeat has mentioned for a minute, and the work of nodes whose own
    /// heartbeats stopped half a minute ago.
    pub fn expire(&mut self, now: Duration) {
        let is_expired = |peer: &FleetPeer| peer.mentioned_at + EXPIRED_AFTER <= now;
        let expired = self.peers.extract_if(.., |_, peer| is_expired(peer));
        let expired: Vec<FleetPeer> = expired.map(|(_, peer)| peer).collect();
        for peer in expired {
            self.remove_rank(&peer.heartbeat.card);
        }
        for peer in self.peers.values_mut() {
            if !peer.received_within(SENDER_AGE, now) {
                peer.heartbeat.work = None;
            }
        }
    }

    /// Nodes whose newest heartbeat was received within `SILENT_AFTER`.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &FleetPeer> {
        let peers = self.peers.values();
        peers.filter(move |peer| peer.received_within(SILENT_AFTER, now))
    }

    /// All other nodes of this node's zone.
    pub fn zone_peers(&self) -> impl Iterator<Item = &FleetPeer> {
        let peers = self.peers.values();
        peers.filter(|peer| peer.heartbeat.card.zone == self.own.zone)
    }

    /// Cards that this node may send to others: those of nodes that it received heartbeats from
    /// itself, so that the card of a stopped node does not circulate for ever.
    pub fn advertisable(&self, now: Duration) -> Vec<&NodeCard> {
        let is_live = |peer: &&FleetPeer| {
            let is_own_zone = peer.heartbeat.card.zone == self.own.zone;
            let age = if is_own_zone {
                SILENT_AFTER
            } else {
                FAR_SILENT_AFTER
            };
            peer.received_within(age, now) && peer.heartbeat.card.state != NodeState::Leaving
        };
        let peers = self.peers.values().filter(is_live);
        peers.map(|peer| &peer.heartbeat.card).collect()
    }

    /// Number of nodes of this node's zone whose heartbeats arrive, including itself.
    pub fn zone_size(&self, now: Duration) -> u32 {
        let live = self.zone_peers();
        let live = live.filter(|peer| peer.received_within(FAR_SILENT_AFTER, now));
        1 + live.count() as u32
    }

    /// Number of nodes of the fleet as counted by the hubs, but at least that of nodes known here.
    pub fn size(&self, now: Duration) -> u32 {
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        let mut reported = 0;
        let is_live = |peer: &&FleetPeer| peer.received_within(FAR_SILENT_AFTER, now);
        for peer in self.peers.values().filter(is_live) {
            let heartbeat = &peer.heartbeat;
            let zone = zones.entry(&heartbeat.card.zone).or_default();
            *zone = heartbeat.zone_size.max(*zone);
            if heartbeat.card.zone == self.own.zone {
                reported = heartbeat.fleet_size.max(reported);
            }
        }
        let own_zone = zones.entry(&self.own.zone).or_default();
        *own_zone = self.zone_size(now).max(*own_zone);
        let counted: u32 = zones.values().sum();
        let known = 1 + self.peers.len() as u32;
        if self.is_hub(now) {
            counted.max(known)
        } else {
            reported.max(known)
        }
    }

    /// Hashes of the other nodes that send calls. A node whose heartbeats stopped is included for a
    /// while: it may be cut off from this one and still send calls.
    pub fn sender_hashes(&self) -> Vec<u64> {
        let peers = self.peers.values().filter(|peer| peer.sends_calls());
        peers
            .map(|peer| node_hash(&peer.heartbeat.card.name))
            .collect()
    }

    /// Nodes that send calls and whose heartbeats stopped.
    pub fn silent_senders(&self, now: Duration) -> impl Iterator<Item = &FleetPeer> {
        let peers = self.peers.values().filter(|peer| peer.sends_calls());
        peers.filter(move |peer| !peer.received_within(SILENT_AFTER, now))
    }

    /// Unix time at which this node's monotonic clock was zero: the median of the values from live
    /// nodes and `own`, that of this node, so that a step of some hosts' wall clocks has no effect.
    pub fn unix_start(&self, own: Duration, now: Duration) -> Duration {
        let reported = self.live(now).filter_map(|peer| {
            let unix = Duration::from_millis(peer.heartbeat.unix_ms);
            unix.checked_sub(peer.last_heartbeat_at?)
        });
        let reported = reported.filter(|start| !start.is_zero());
        let mut starts: Vec<Duration> = reported.chain(std::iter::once(own)).collect();
        starts.sort_unstable();
        starts[starts.len() / 2]
    }

    /// Time without a notice from a holder after which this node claims the duties, at least
    /// `silence`: hubs in order of capacity, then the other nodes spread over a time that increases
    /// with the size of the fleet, so that an outage of the store causes few requests to it.
    pub fn claim_delay(&self, silence: Duration, now: Duration) -> Duration {
        let own = claim_order(&self.own);
        let claimants = self.claimants(now);
        let rank = claimants.filter(|card| claim_order(card) < own).count();
        if self.is_hub(now) {
            return silence + RANK_STEP * u32::try_from(rank).unwrap_or(u32::MAX);
        }
        let draw = node_hash(&self.own.name) as f64 / u64::MAX as f64;
        silence + HUBS_PERIOD + MEMBER_STEP.mul_f64(draw * f64::from(self.size(now)))
    }

    /// Address of the other node that is first to claim the duties when this one stops; `None` if
    /// there is none.
    pub fn duty_successor(&self, now: Duration) -> Option<SocketAddr> {
        let first = self.claimants(now).min_by_key(|card| claim_order(card))?;
        Some(first.peers)
    }

    fn claimants(&self, now: Duration) -> impl Iterator<Item = &NodeCard> {
        let live = self.live(now).map(|peer| &peer.heartbeat.card);
        live.filter(|card| card.state != NodeState::Leaving)
    }

    /// Every other known node, live or not.
    pub fn iter(&self) -> impl Iterator<Item = &FleetPeer> {
        self.peers.values()
    }
}
