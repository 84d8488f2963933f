//! The answer to "which of the system's addresses do I use".

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{NodeId, ZoneId};
use crate::membership::{MemberView, NodeState};

/// How long a caller keeps the answer. A node that begins to leave is in nobody's answer after
/// this time and the second or so that the news takes.
pub const ANSWER_TIME: Duration = Duration::from_secs(3);

/// Addresses for a caller, the best first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressAnswer {
    /// Addresses of nodes that live (IP number and port).
    pub addresses: Vec<Box<str>>,
    /// How long the answer may be kept.
    pub keep: Duration,
}

/// Up to `count` addresses for a caller in `zone`: nodes of that zone first, never a node that is
/// suspect, leaving or dead. Each seed has its own order, so callers with different seeds spread
/// evenly, and one caller's order changes little when nodes come or go.
pub fn caller_addresses(
    view: &MemberView,
    zone: Option<ZoneId>,
    count: usize,
    seed: u64,
) -> AddressAnswer {
    let mut ranked: Vec<(bool, u64, &str)> = view
        .members
        .iter()
        .filter(|(_, member)| member.state == NodeState::Live && !member.caller_address.is_empty())
        .map(|(node, member)| {
            let away = zone.is_some_and(|zone| zone != member.zone);
            (away, rank(*node, seed), &*member.caller_address)
        })
        .collect();
    ranked.sort_unstable();
    let addresses = ranked.into_iter().take(count).map(|row| row.2.into());
    AddressAnswer {
        addresses: addresses.collect(),
        keep: ANSWER_TIME,
    }
}

fn rank(node: NodeId, seed: u64) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), seed)
}
