//! Selects the nodes that keep the starts of streams for others.
//!
//! Callers return to nodes of the availability zone whose nodes they were directed to, so most keepers
//! are in the zone of the node that begins a stream. Those in other zones are hubs, which all nodes
//! know.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::fleet::FleetView;
use crate::gateway::heartbeat::NodeCard;
use crate::gateway::starts::StreamKey;

/// Number of keepers of a stream in the zone of the node that begins it.
const NEAR_KEEPERS: usize = 2;
/// Number of keepers of a stream: it is lost only if they and the node that began it fail together.
const KEEPERS: usize = 3;
/// Number of nodes of its own zone that a node asks: one more, as their view of the zone may differ.
const NEAR_SOURCES: usize = NEAR_KEEPERS + 1;
/// Number of hubs that a node asks, of all zones: enough that some are of other zones than the node
/// that began the stream, whichever that was.
const HUB_SOURCES: usize = 8;

/// Keepers of a stream for the node that begins it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StartKeepers {
    /// Those that have to be told.
    pub required: Vec<SocketAddr>,
    /// A further one in another zone, if there are two in this zone.
    pub further: Option<SocketAddr>,
}

impl FleetView {
    /// Keepers of a stream that this node begins.
    pub fn start_keepers(&self, stream: StreamKey, now: Duration) -> StartKeepers {
        let near = self.near_keepers(stream, NEAR_KEEPERS, now);
        let is_far = |card: &&NodeCard| card.zone != self.own.zone;
        let far = in_order(self.other_hubs(now).filter(is_far), stream);
        let mut far = far.into_iter().map(|card| card.peers);
        if near.len() == NEAR_KEEPERS {
            return StartKeepers {
                required: near,
                further: far.next(),
            };
        }
        let missing = KEEPERS - near.len();
        StartKeepers {
            required: near.into_iter().chain(far.take(missing)).collect(),
            further: None,
        }
    }

    /// Nodes that are likely to keep a stream that this node does not know.
    pub fn start_sources(&self, stream: StreamKey, now: Duration) -> BTreeSet<SocketAddr> {
        let hubs = in_order(self.other_hubs(now), stream);
        let hubs = hubs.into_iter().take(HUB_SOURCES).map(|card| card.peers);
        let near = self.near_keepers(stream, NEAR_SOURCES, now);
        near.into_iter().chain(hubs).collect()
    }

    fn near_keepers(&self, stream: StreamKey, count: usize, now: Duration) -> Vec<SocketAddr> {
        let others = self.ranked(&self.own.zone, now);
        let others = others.filter(|card| card.name != self.own.name);
        let keepers = in_order(others, stream);
        let keepers = keepers.into_iter().take(count);
        keepers.map(|card| card.peers).collect()
    }

    fn other_hubs(&self, now: Duration) -> impl Iterator<Item = &NodeCard> {
        let hubs = self.zones().flat_map(move |zone| self.hubs(zone, now));
        hubs.filter(|card| card.name != self.own.name)
    }
}

/// Orders nodes by rendezvous hashing.
fn in_order<'a>(cards: impl Iterator<Item = &'a NodeCard>, stream: StreamKey) -> Vec<&'a NodeCard> {
    let mut cards: Vec<&NodeCard> = cards.collect();
    let draw = |card: &&NodeCard| xxh3_64_with_seed(card.name.as_bytes(), stream.number());
    cards.sort_by_cached_key(|card| Reverse(draw(card)));
    cards
}
