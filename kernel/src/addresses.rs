//! Selects the node addresses that a caller uses.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{NodeId, ZoneId};
use crate::membership::{MemberView, NodeState};

/// Time for which a caller may cache the answer. Once a node begins to leave, no caller uses its
/// address after this time plus about a second for the membership update to propagate.
pub const ANSWER_TTL: Duration = Duration::from_secs(3);

/// Addresses for a caller, most preferred first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressAnswer {
    /// IP addresses and ports of live nodes; empty when there is no live node.
    pub addresses: Vec<Box<str>>,
    /// Time for which the answer may be cached.
    pub ttl: Duration,
}

/// Selects up to `count` addresses for a caller in `zone`: nodes of that zone first, and no node
/// that is suspect, leaving or dead. Each seed ranks the nodes differently (rendezvous hashing), so
/// callers with different seeds spread evenly, and one caller's order changes little when nodes
/// join or leave. With `zone` absent all zones rank alike.
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
        ttl: ANSWER_TTL,
    }
}

fn rank(node: NodeId, seed: u64) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), seed)
}
