//! Cost of full-digest gossip, for comparison: only its first message is counted, a digest of every
//! node (Apache Cassandra's `GossipDigestSyn`), sent once a second to one other node.

use monsoonbank_kernel::ids::NodeId;
use monsoonbank_kernel::membership::message::{ACK_BYTES, HEADER_BYTES, encoded_bytes};
use serde::{Deserialize, Serialize};

/// The fields of a Cassandra digest: endpoint, generation and highest version.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct GossipDigest(NodeId, u32, u32);

/// The cost at one fleet size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DigestSample {
    /// Number of nodes.
    pub nodes: usize,
    /// Bytes per second that a node sends and receives: one such message each way per second, with
    /// headers, without replies.
    pub bytes_per_second: f64,
}

/// Computes the cost for a fleet of `nodes` nodes.
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
