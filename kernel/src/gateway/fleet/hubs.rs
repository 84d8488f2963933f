//! The hubs of each availability zone, and who reads the store.
//!
//! Hubs are not elected: each node ranks the nodes that it knows, and passes over those that it
//! expects to hear and does not. Nodes that disagree for a while tell a few nodes too many.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::fleet::{FAR_SILENT_AFTER, FleetView};
use crate::gateway::heartbeat::{NodeCard, NodeState};

/// Hubs of an availability zone: the loss of two at once leaves one.
const HUBS: usize = 3;
/// Time after which a silent hub is passed over by those who tell it: two of its heartbeats may be lost.
const HUB_SILENT_AFTER: Duration = Duration::from_millis(2500);
/// Time after which a silent hub no longer reads the store for others: one heartbeat may be lost.
const READER_SILENT_AFTER: Duration = Duration::from_millis(1800);
/// Time without an answer of the store to any node after which the first node that is no hub tries.
/// Readers ask every 0.7 s, and their news takes a second to reach all.
const STORE_PATIENCE: Duration = Duration::from_secs(3);
/// Time after which one more does: enough that a whole outage costs few calls, and a store that turns
/// all hubs away is read again within seconds.
const STORE_STEP: Duration = Duration::from_millis(500);

impl FleetView {
    /// The hubs of an availability zone: the strongest of its nodes that are not known to be leaving or
    /// silent.
    pub fn hubs(&self, zone: &str, now: Duration) -> Vec<&NodeCard> {
        let mut ranked = self.ranked(zone, now);
        ranked.truncate(HUBS);
        ranked
    }

    /// Whether this node is a hub of its zone.
    pub fn is_hub(&self, now: Duration) -> bool {
        self.rank(now).is_some_and(|rank| rank < HUBS)
    }

    /// Whether a number draws this node out of the hubs of all zones.
    pub fn is_drawn(&self, number: u64, now: Duration) -> bool {
        let hubs = self
            .zones()
            .into_iter()
            .flat_map(|zone| self.hubs(zone, now));
        let drawn = hubs.max_by_key(|hub| xxh3_64_with_seed(hub.name.as_bytes(), number));
        drawn.is_some_and(|hub| hub.name == self.own.name)
    }

    /// The nodes of a zone that are not known to be leaving or silent, the strongest first.
    pub(super) fn ranked(&self, zone: &str, now: Duration) -> Vec<&NodeCard> {
        let is_own = zone == &*self.own.zone;
        let age = if is_own {
            HUB_SILENT_AFTER
        } else {
            FAR_SILENT_AFTER
        };
        let peers = self.peers.values();
        let peers = peers
            .filter(|peer| !peer.is_silent(age, now))
            .map(|peer| &peer.heartbeat.card);
        let own = is_own.then_some(&self.own);
        let mut nodes: Vec<&NodeCard> = peers
            .chain(own)
            .filter(|card| &*card.zone == zone && card.state != NodeState::Leaving)
            .collect();
        nodes.sort_by(|one, other| (other.capacity, &one.name).cmp(&(one.capacity, &other.name)));
        nodes
    }

    /// This node's place among those of its zone; none if it leaves.
    fn rank(&self, now: Duration) -> Option<usize> {
        let ranked = self.ranked(&self.own.zone, now);
        ranked.iter().position(|card| card.name == self.own.name)
    }

    /// Whether this node reads the store: the first hub of each zone that the store answers does so for
    /// all. If the store seems to answer no node at all, hubs try, and then one node more after the
    /// other, since the store may turn just the hubs away.
    pub fn reads_store(&self, now: Duration) -> bool {
        let ranked = self.ranked(&self.own.zone, now);
        let rank = ranked.iter().position(|card| card.name == self.own.name);
        let rank = rank.unwrap_or(ranked.len());
        if rank < HUBS {
            let reads = |card: &&NodeCard| {
                let peer = self.peers.get(&card.name);
                peer.is_some_and(|peer| {
                    peer.heartbeat.store_well && peer.heard_within(READER_SILENT_AFTER, now)
                })
            };
            return !ranked[..rank].iter().any(reads);
        }
        let quiet_since = self.store_answered_at.unwrap_or(self.started_at);
        let steps = u32::try_from(rank - HUBS).unwrap_or(u32::MAX);
        now > quiet_since + STORE_PATIENCE + STORE_STEP.saturating_mul(steps)
    }
}
