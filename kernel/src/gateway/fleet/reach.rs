//! Selects the node that serves a call for one that reaches no upstream.

use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::fleet::{FleetPeer, FleetView};
use crate::gateway::heartbeat::NodeCard;

impl FleetView {
    /// A ready node that reports no loss of the pool with this hash and is not among `tried`, chosen by
    /// `turn` in proportion to the nodes' capacity; `None` if there is none.
    ///
    /// Nodes of this zone come first while there are as many of them as have lost the pool here, so
    /// that a zone that is mostly cut off does not fill its last nodes.
    pub fn peer_reaching(
        &self,
        pool: u64,
        tried: &[SocketAddr],
        turn: u64,
        now: Duration,
    ) -> Option<&NodeCard> {
        let is_near = |peer: &FleetPeer| peer.heartbeat.card.zone == self.own.zone;
        let (lost, reaching): (Vec<_>, Vec<_>) = self
            .live(now)
            .filter(|peer| peer.heartbeat.card.is_ready())
            .partition(|peer| peer.heartbeat.unreached.contains(&pool));
        let lost_near = 1 + lost.iter().filter(|peer| is_near(peer)).count();
        let reaching_near = reaching.iter().filter(|peer| is_near(peer)).count();
        let near_only = reaching_near >= lost_near;
        let cards = reaching
            .into_iter()
            .filter(|peer| !near_only || is_near(peer))
            .map(|peer| &peer.heartbeat.card)
            .filter(|card| !tried.contains(&card.peers));
        let cards: Vec<&NodeCard> = cards.collect();
        let weight = |card: &NodeCard| u64::from(card.capacity.max(1));
        let total: u64 = cards.iter().map(|card| weight(card)).sum();
        let mut left = turn.checked_rem(total)?;
        cards.into_iter().find(|card| {
            let is_chosen = left < weight(card);
            left = left.saturating_sub(weight(card));
            is_chosen
        })
    }
}
