//! Determines the hubs of each availability zone and the nodes that read the store.
//!
//! Hubs are not elected: each node ranks the nodes that it knows, and skips those whose expected
//! heartbeats do not arrive. While nodes disagree, some heartbeats are sent in excess.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::fleet::{FAR_SILENT_AFTER, FleetView};
use crate::gateway::heartbeat::{NodeCard, NodeState};

/// Number of hubs of an availability zone: after the loss of two at once, one remains.
const HUBS: usize = 3;
/// Time without a heartbeat after which nodes that send to a hub skip it: two may be lost.
const HUB_SILENT_AFTER: Duration = Duration::from_millis(2500);
/// Time without a heartbeat after which a hub no longer counts as a reader of the store: one
/// heartbeat may be lost.
const READER_SILENT_AFTER: Duration = Duration::from_millis(1800);
/// Time without an answer of the store to any node after which the first node that is no hub tries.
/// Readers ask every 0.7 s, and it takes a second until all nodes learn of the answer.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay between the tries of two such nodes: long enough that a whole outage causes few requests,
/// and short enough that a store that rejects all hubs is read again within seconds.
const STORE_STEP: Duration = Duration::from_millis(500);

impl FleetView {
    /// Hubs of an availability zone: those with the largest capacity of its nodes that are not
    /// known to be leaving or silent.
    pub fn hubs(&self, zone: &str, now: Duration) -> Vec<&NodeCard> {
        self.ranked(zone, now).take(HUBS).collect()
    }

    /// Whether this node is a hub of its zone.
    pub fn is_hub(&self, now: Duration) -> bool {
        self.hub_rank(now).is_some()
    }

    /// Rank of this node among the hubs of its zone; `None` if it is no hub.
    pub fn hub_rank(&self, now: Duration) -> Option<usize> {
        let hubs = self.hubs(&self.own.zone, now);
        hubs.iter().position(|card| card.name == self.own.name)
    }

    /// Whether rendezvous hashing of a number selects this node among the hubs of all zones.
    pub fn is_selected_hub(&self, number: u64, now: Duration) -> bool {
        let hubs = self.zones().flat_map(|zone| self.hubs(zone, now));
        let drawn = hubs.max_by_key(|hub| xxh3_64_with_seed(hub.name.as_bytes(), number));
        drawn.is_some_and(|hub| hub.name == self.own.name)
    }

    /// Nodes of a zone that are not known to be leaving or silent, the largest capacity first.
    pub(super) fn ranked(&self, zone: &str, now: Duration) -> impl Iterator<Item = &NodeCard> {
        let age = if zone == &*self.own.zone {
            HUB_SILENT_AFTER
        } else {
            FAR_SILENT_AFTER
        };
        let names = self.zones.get(zone).into_iter().flatten();
        let cards = names.filter_map(move |(_, name)| {
            if *name == self.own.name {
                return Some(&self.own);
            }
            let peer = self.peers.get(name)?;
            (!peer.is_silent(age, now)).then_some(&peer.heartbeat.card)
        });
        cards.filter(|card| card.state != NodeState::Leaving)
    }

    /// Whether this node reads the store. The first hub of each zone that the store answers does so
    /// for all. If the store seems to answer no node at all, the hubs try, and then further nodes
    /// one after another, since the store may reject only the hubs.
    pub fn reads_store(&self, now: Duration) -> bool {
        let is_own = |card: &&NodeCard| card.name == self.own.name;
        let ahead = self.ranked(&self.own.zone, now);
        let ahead: Vec<&NodeCard> = ahead.take_while(|card| !is_own(card)).collect();
        let rank = ahead.len();
        if rank < HUBS {
            let reads = |card: &&NodeCard| {
                let peer = self.peers.get(&card.name);
                peer.is_some_and(|peer| {
                    peer.heartbeat.store_reachable && peer.received_within(READER_SILENT_AFTER, now)
                })
            };
            return !ahead.iter().any(reads);
        }
        let unanswered_since = self.store_answered_at.unwrap_or(self.started_at);
        let steps = u32::try_from(rank - HUBS).unwrap_or(u32::MAX);
        now > unanswered_since + STORE_TIMEOUT + STORE_STEP.saturating_mul(steps)
    }
}
