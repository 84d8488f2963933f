//! Determines the nodes that callers are directed to, as hubs advertise them, and the nodes that
//! receive reports of each other's work.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::entries;
use crate::gateway::fleet::{FleetPeer, FleetView, SILENT_AFTER};
use crate::gateway::heartbeat::{NodeCard, NodeHeartbeat, NodeState, short_hash};

impl FleetView {
    /// Addresses of the nodes that receive this node's work: of its zone if `near`, else of all
    /// others, those that have many calls or are listed for callers, and the hubs.
    pub fn work_recipients(&self, near: bool, entries: &[u64], now: Duration) -> Vec<SocketAddr> {
        let in_reach = |zone: &str| (zone == &*self.own.zone) == near;
        let zones = self.zones().filter(|zone| in_reach(zone));
        let mut recipients: BTreeSet<SocketAddr> = zones
            .flat_map(|zone| self.hubs(zone, now))
            .map(|card| card.peers)
            .collect();
        let mut entries: BTreeSet<u64> = entries.iter().copied().filter(|_| near).collect();
        for peer in self.live(now) {
            if in_reach(&peer.heartbeat.card.zone) {
                entries.extend(&peer.heartbeat.entries);
            }
        }
        let calls = |peer: &&FleetPeer| {
            let card = &peer.heartbeat.card;
            let busy = peer.heartbeat.sends_many() && peer.received_within(SILENT_AFTER, now);
            busy || entries.contains(&short_hash(&card.name))
        };
        let peers = self.peers.values().filter(calls);
        let cards = peers.map(|peer| &peer.heartbeat.card);
        recipients.extend(
            cards
                .filter(|card| in_reach(&card.zone))
                .map(|card| card.peers),
        );
        recipients.remove(&self.own.peers);
        recipients.into_iter().collect()
    }

    /// Short hashes of the nodes that callers of this zone are directed to. Empty unless this node
    /// is a hub, which receives the heartbeats of all of them.
    pub fn entry_hashes(&self, own: &NodeHeartbeat, now: Duration) -> Vec<u64> {
        if !self.is_hub(now) {
            return Vec::new();
        }
        let entries = self.known_entries(own, &self.own.zone, now);
        let names = entries.iter().map(|entry| &entry.card.name);
        names.map(|name| short_hash(name)).collect()
    }

    /// Whether callers of this node's zone are directed to it, as a hub advertises.
    pub fn is_entry(&self, now: Duration) -> bool {
        let own = short_hash(&self.own.name);
        let near = self.live(now).map(|peer| &peer.heartbeat);
        let mut near = near.filter(|heartbeat| heartbeat.card.zone == self.own.zone);
        near.any(|heartbeat| heartbeat.entries.contains(&own))
    }

    fn known_entries<'a>(
        &'a self,
        own: &'a NodeHeartbeat,
        zone: &str,
        now: Duration,
    ) -> Vec<&'a NodeHeartbeat> {
        let live = self.live(now).map(|peer| &peer.heartbeat);
        entries::entries(live.chain(std::iter::once(own)), zone)
    }

    /// Addresses of the nodes that callers of a zone are directed to: as advertised by the zone's
    /// first hub, or as this node determines them if it is a hub itself or receives no hub's list.
    /// If there are none, all nodes that accept calls.
    pub fn entry_addresses(
        &self,
        own: &NodeHeartbeat,
        zone: &str,
        now: Duration,
    ) -> Vec<SocketAddr> {
        let is_own_hub = zone == &*self.own.zone && self.is_hub(now);
        let advertised = (!is_own_hub).then(|| self.advertised_entries(zone, now));
        let mut cards = advertised.unwrap_or_default();
        if cards.is_empty() {
            let known = self.known_entries(own, zone, now);
            cards = known.iter().map(|entry| &entry.card).collect();
        }
        if cards.is_empty() {
            let live = self.live(now).map(|peer| &peer.heartbeat.card);
            cards = live
                .chain(std::iter::once(&self.own))
                .filter(|card| card.is_ready())
                .collect();
        }
        cards.iter().map(|card| card.callers).collect()
    }

    fn advertised_entries(&self, zone: &str, now: Duration) -> Vec<&NodeCard> {
        let hubs = self.hubs(zone, now);
        let mut lists = hubs
            .iter()
            .filter_map(|card| self.peers.get(&card.name))
            .filter(|peer| peer.received_within(SILENT_AFTER, now))
            .map(|peer| &peer.heartbeat.entries);
        let Some(entries) = lists.find(|entries| !entries.is_empty()) else {
            return Vec::new();
        };
        let peers = self.peers.values().map(|peer| &peer.heartbeat.card);
        peers
            .chain(std::iter::once(&self.own))
            .filter(|card| card.state != NodeState::Leaving)
            .filter(|card| entries.contains(&short_hash(&card.name)))
            .collect()
    }
}
