//! Messages about liveness. Tuples and one-letter names keep a probe at a few tens of bytes.

use serde::{Deserialize, Serialize};

use crate::ids::{NodeId, UpstreamId, ZoneId};
use crate::membership::record::NodeNews;

/// Bytes that carry one message besides its CBOR: IPv4 (20), TCP with timestamps (32), and a
/// masked WebSocket header (6; RFC 6455).
pub const HEADER_BYTES: usize = 58;

/// Bytes of a TCP acknowledgement that no data carries (IPv4 and TCP with timestamps).
pub const ACK_BYTES: usize = 52;

/// Whether an upstream is leaving: upstream, version, flags (1 leaving, 2 told by its own report).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamNews(pub UpstreamId, pub u32, pub u8);

/// Whether the sender's zone has lost another zone: zone, version, lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneNews(pub ZoneId, pub u32, pub bool);

/// News about nodes, upstreams and zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsBatch(
    pub Vec<NodeNews>,
    #[serde(default)] pub Vec<UpstreamNews>,
    #[serde(default)] pub Vec<ZoneNews>,
);

impl NewsBatch {
    /// Whether nothing is told.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty() && self.1.is_empty() && self.2.is_empty()
    }
}

/// Messages about liveness.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Asks for an [`MembershipMessage::Ack`]: number, digest of what the sender knows, news.
    #[serde(rename = "p")]
    Ping(u32, u32, NewsBatch),
    /// Answers a ping: its number, digest of what the sender knows, news.
    #[serde(rename = "a")]
    Ack(u32, u32, NewsBatch),
    /// Asks the receiver to ping another node, and to say so if that answers: number, node.
    #[serde(rename = "i")]
    ProbeFor(u32, NodeId),
    /// Answers [`MembershipMessage::ProbeFor`]: its number.
    #[serde(rename = "r")]
    Reached(u32),
    /// News for which no ping is to be waited.
    #[serde(rename = "n")]
    News(NewsBatch),
    /// Asks for records of the zones whose digest differs: pairs of a zone's tag and its digest,
    /// one after the other.
    #[serde(rename = "z")]
    Compare(Vec<u32>),
    /// Between bridges of two zones: whether an answer is wanted, digest of what the sender knows,
    /// pairs of a zone's tag and its heartbeat, one after the other.
    #[serde(rename = "b")]
    Bridge(bool, u32, Vec<u32>),
}

/// Size of a value as CBOR, in bytes.
pub fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    let mut bytes = Vec::new();
    match ciborium::into_writer(value, &mut bytes) {
        Ok(()) => bytes.len(),
        Err(_) => 0,
    }
}
