//! The paper's full-digest gossip, weighed by the size of its first message alone: a digest of
//! every node (Apache Cassandra's `GossipDigestSyn`), once a second to one other node.

use monsoonbank_kernel::ids::NodeId;
use monsoonbank_kernel::membership::message::{ACK_BYTES, HEADER_BYTES, encoded_bytes};
use serde::{Deserialize, Serialize};

/// Endpoint, generation, greatest version: what Cassandra's digest holds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct GossipDigest(NodeId, u32, u32);

/// One size of fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DigestSample {
    /// Nodes.
    pub nodes: usize,
    /// Bytes a second that a node sends and receives: one such message each way a second, headers
    /// included, answers not.
    pub bytes_per_second: f64,
}

/// Measures one size.
pub fn measure(nodes: usize) -> DigestSample {
    let digests: Vec<GossipDigest> = (0..nodes)
        .map(|n| GossipDigest(NodeId::named(&format!("node-{n}")), 1_764_700_000, 100_000))
        .collect();
    let bytes = encoded_bytes(&digests) + HEADER_BYTES + ACK_BYTES;
    DigestSample {
        nodes,
        bytes_per_second: 2.0 * bytes as f64,
    }
}
