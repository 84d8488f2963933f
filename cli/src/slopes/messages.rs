//! Encoded sizes of the membership messages, without headers.

use monsoonbank_kernel::ids::{Incarnation, NodeId, UpstreamId};
use monsoonbank_kernel::membership::MembershipMessage;
use monsoonbank_kernel::membership::message::{UpdateBatch, UpstreamUpdate, encoded_bytes};
use monsoonbank_kernel::membership::record::{NodeRecord, NodeUpdate};
use monsoonbank_kernel::wire::Message;
use serde::{Deserialize, Serialize};

/// Number of zones in the reference fleet; a message can carry a tag for each.
const ZONES: u32 = 23;

/// The size of one kind of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MessageSample {
    /// Description of the message.
    pub message: Box<str>,
    /// Encoded size, in bytes.
    pub bytes: usize,
}

/// Encodes one message of each kind.
pub fn measure() -> Vec<MessageSample> {
    let node = NodeId::named("node-1");
    let record = NodeRecord::started(Incarnation(1_764_700_000_000));
    let update = NodeUpdate::new(node, &record);
    let batch = |count| UpdateBatch(vec![update; count], Vec::new(), Vec::new());
    let upstream = UpstreamUpdate(UpstreamId::named("engine-1"), 1, 1);
    let pairs: Vec<u32> = (0..ZONES)
        .flat_map(|tag| [u32::MAX - tag, 100_000])
        .collect();
    let messages = [
        (
            "ping or its answer, no news",
            MembershipMessage::Ping(100_000, u32::MAX, batch(0)),
        ),
        (
            "the same with one piece of news",
            MembershipMessage::Ping(100_000, u32::MAX, batch(1)),
        ),
        (
            "probe in another's place",
            MembershipMessage::ProbeFor(100_000, node),
        ),
        ("news of one node", MembershipMessage::Updates(batch(1))),
        ("news of 32 nodes", MembershipMessage::Updates(batch(32))),
        (
            "news of one upstream",
            MembershipMessage::Updates(UpdateBatch(Vec::new(), vec![upstream], Vec::new())),
        ),
        (
            "comparison, 23 zones differ from quiet",
            MembershipMessage::Compare(pairs.clone()),
        ),
        (
            "bridge, 23 zones",
            MembershipMessage::Bridge(true, u32::MAX, pairs),
        ),
    ];
    messages
        .into_iter()
        .map(|(name, message)| MessageSample {
            message: name.into(),
            bytes: encoded_bytes(&Message::from(message)),
        })
        .collect()
}
