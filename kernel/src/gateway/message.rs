//! Datagrams between nodes.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use crate::gateway::heartbeat::NodeHeartbeat;
use crate::gateway::starts::StartMessage;

/// A datagram between nodes. Its tag is short, as there are many.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[expect(
    clippy::large_enum_variant,
    reason = "a message is decoded, used and dropped, never kept"
)]
pub enum NodeMessage<'a> {
    /// A node's report on itself and others.
    #[serde(rename = "h")]
    Heartbeat(Cow<'a, NodeHeartbeat>),
    /// About the start of a stream.
    #[serde(rename = "s")]
    Start(StartMessage),
}
