//! Small `Copy` identifiers, most of them stable hashes of configured names.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

macro_rules! named_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[display("{_0:016x}")]
        pub struct $name(pub u64);

        impl $name {
            /// The identifier for a configured name: its XXH3 hash, identical on every node.
            pub fn named(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }
        }
    };
}

named_id!(
    /// Identifier of a node of the fleet: a host that runs `monsoonbankd`.
    NodeId
);
named_id!(
    /// Identifier of an availability zone.
    ZoneId
);
named_id!(
    /// Identifier of an upstream: a model engine or an instance of a plain service.
    UpstreamId
);
named_id!(
    /// Identifier of a pool of interchangeable upstreams.
    PoolId
);
named_id!(
    /// Identifier of a workspace.
    WorkspaceId
);
named_id!(
    /// Identifier of a request class.
    ClassId
);

/// Number of one run of a node's process. Later runs of the same node have greater numbers.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0}")]
pub struct Incarnation(pub u64);

/// Identifier of a call, assigned by the node that accepted it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{node}-{incarnation}-{sequence}")]
pub struct CallId {
    /// The node that accepted the call.
    pub node: NodeId,
    /// The run of that node's process.
    pub incarnation: Incarnation,
    /// Sequence number of the call within the run.
    pub sequence: u64,
}

/// Identifier of one attempt of a call. Numbers start at 1 and increase; only the newest attempt
/// may answer the caller.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{call}/{number}")]
pub struct AttemptId {
    /// The call that the attempt belongs to.
    pub call: CallId,
    /// Number of the attempt within the call, from 1.
    pub number: u32,
}
