//! Small `Copy` identifiers, each the stable hash of a configured name.

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
            /// The identifier of the thing called `name`, the same on every node.
            pub fn named(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }
        }
    };
}

named_id!(
    /// A node of the fleet (a host that runs `monsoonbankd`).
    NodeId
);
named_id!(
    /// An availability zone.
    ZoneId
);
named_id!(
    /// An upstream: a model engine or a plain service instance.
    UpstreamId
);
named_id!(
    /// A pool of interchangeable upstreams.
    PoolId
);
named_id!(
    /// A workspace.
    WorkspaceId
);
named_id!(
    /// A request class.
    ClassId
);

/// One run of a node's process. Later runs of the same node have a greater number.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0}")]
pub struct Incarnation(pub u64);

/// A call, numbered by the node incarnation that accepted it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{node}-{incarnation}-{sequence}")]
pub struct CallId {
    /// The node that accepted the call.
    pub node: NodeId,
    /// The run of that node.
    pub incarnation: Incarnation,
    /// Counts calls within the run.
    pub sequence: u64,
}

/// One try of a call. Numbers start at 1 and grow; only the newest may answer.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{call}/{number}")]
pub struct AttemptId {
    /// The call that is tried.
    pub call: CallId,
    /// The number of the try within the call.
    pub number: u32,
}
