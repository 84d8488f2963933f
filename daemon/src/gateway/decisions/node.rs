//! Lines about the node itself, its configuration and the other nodes.

use serde::Serialize;

/// Event of a line, with its fields.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum NodeDecision<'a> {
    /// The process started.
    Started {
        /// Availability zone of the node.
        zone: &'a str,
    },
    /// The settings file was validated again.
    Reloaded {
        /// Error in the file; `None` if it is valid.
        error: Option<&'a str>,
    },
    /// The node began to shut down.
    Leaving {
        /// Number of calls that have not ended.
        open_calls: usize,
    },
    /// The process exits.
    Left {
        /// Number of calls that are cut off.
        open_calls: usize,
    },
    /// A configuration was applied.
    ConfigurationApplied {
        /// Version of the configuration.
        version: u64,
        /// Number of rules.
        rules: usize,
        /// `store`, or the name of the node that it was fetched from.
        source: &'a str,
        /// Size of the text, in bytes.
        bytes: usize,
        /// Time for decoding the text, in us. No call progresses meanwhile.
        decode_us: u64,
        /// Time since a node first advertised this or a newer version, in ms; `None` if none did.
        lag_ms: Option<u64>,
    },
    /// A configuration was rejected; the previous one stays in force.
    ConfigurationRejected {
        /// `store`, or the name of the node that it was fetched from.
        source: &'a str,
        /// Error in the text.
        reason: &'a str,
    },
    /// The first heartbeat of a node, or of its new process, was received.
    PeerHeard {
        /// Name of the node.
        peer: &'a str,
        /// Availability zone of the node.
        zone: &'a str,
    },
    /// No connection to the upstreams of a pool comes about any more.
    ReachLost {
        /// Name of the pool.
        pool: &'a str,
        /// Number of its upstreams that accept calls, as far as the node knows.
        usable: usize,
    },
    /// A connection to an upstream of such a pool was established again.
    ReachRegained {
        /// Name of the pool.
        pool: &'a str,
        /// Time for which it was out of reach, in ms.
        lost_ms: u64,
    },
    /// A fetch from another node failed.
    FetchFailed {
        /// Name of the node.
        peer: &'a str,
        /// Part of the state: `configuration`, `registry` or `crashes`.
        part: &'a str,
        /// Bytes that were received.
        received: usize,
        /// Duration of the fetch, in ms.
        took_ms: u64,
        /// Error of the fetch.
        reason: &'a str,
    },
}
