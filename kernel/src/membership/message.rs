//! Messages of the membership protocol. Tuples and short names keep a probe at a few tens of bytes.

use serde::{Deserialize, Serialize};

use crate::ids::{NodeId, UpstreamId, ZoneId};
use crate::membership::record::NodeUpdate;

/// Overhead of one message besides its CBOR, in bytes: IPv4 (20), TCP with timestamps (32), and a
/// masked WebSocket header (6; RFC 6455).
pub const HEADER_BYTES: usize = 58;

/// Size of a TCP acknowledgement without data, in bytes (IPv4 and TCP with timestamps).
pub const ACK_BYTES: usize = 52;

/// Whether an upstream leaves: upstream, version, flags (1: leaving, 2: reported by the upstream).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamUpdate(pub UpstreamId, pub u32, pub u8);

/// Whether the sender's zone considers another zone lost: zone, version, lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneUpdate(pub ZoneId, pub u32, pub bool);

/// Membership updates about nodes, upstreams and zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateBatch(
    pub Vec<NodeUpdate>,
    #[serde(default)] pub Vec<UpstreamUpdate>,
    #[serde(default)] pub Vec<ZoneUpdate>,
);

impl UpdateBatch {
    /// Whether the batch contains no update.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty() && self.1.is_empty() && self.2.is_empty()
    }
}

/// A message of the membership protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Requests an [`MembershipMessage::Ack`]: sequence number, digest of the sender's records,
    /// updates.
    #[serde(rename = "p")]
    Ping(u32, u32, UpdateBatch),
    /// Acknowledges a ping: its sequence number, digest of the sender's records, updates.
    #[serde(rename = "a")]
    Ack(u32, u32, UpdateBatch),
    /// Requests that the receiver ping a node and report an acknowledgement: sequence number, node.
    #[serde(rename = "i")]
    ProbeFor(u32, NodeId),
    /// Reports that the node of a [`MembershipMessage::ProbeFor`] acknowledged: its sequence
    /// number.
    #[serde(rename = "r")]
    Reached(u32),
    /// Updates that are sent without waiting for the next ping.
    #[serde(rename = "n")]
    Updates(UpdateBatch),
    /// Requests the records of the zones whose digests differ: zone tags and digests, alternating.
    #[serde(rename = "z")]
    Compare(Vec<u32>),
    /// Sent between bridges of two zones: whether an answer is requested, digest of the sender's
    /// records, zone tags and heartbeat counters, alternating.
    #[serde(rename = "b")]
    Bridge(bool, u32, Vec<u32>),
}

/// Size of a value encoded as CBOR, in bytes; 0 if it cannot be encoded.
pub fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    let mut bytes = Vec::new();
    match ciborium::into_writer(value, &mut bytes) {
        Ok(()) => bytes.len(),
        Err(_) => 0,
    }
}
