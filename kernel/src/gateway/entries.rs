//! Selects the nodes of an availability zone that callers are directed to, its *entries*.

use crate::gateway::heartbeat::NodeHeartbeat;

/// Minimum number of entries of an availability zone, so that two remain after the loss of one.
const MIN_ENTRIES: usize = 3;
/// The same minimum if the next node has much less capacity than the entries: after the loss of
/// one, one remains.
const MIN_STRONG_ENTRIES: usize = 2;
/// Share of the strongest node's capacity below which a node counts as weak. Callers distribute
/// calls evenly, so a weak node would be full while the others are idle.
const WEAK_SHARE: f64 = 0.5;
/// Share of their capacity that entries use before more are added.
const ENTRY_SHARE: f64 = 0.8;

/// Selects, among the ready nodes in `heartbeats`, those that callers of an availability zone are
/// directed to, the largest capacity first. They are as few as can handle the zone's calls with
/// equal shares, since few entries know each other's work well.
pub fn entries<'a>(
    heartbeats: impl Iterator<Item = &'a NodeHeartbeat>,
    zone: &str,
) -> Vec<&'a NodeHeartbeat> {
    let mut nodes: Vec<&NodeHeartbeat> = heartbeats
        .filter(|heartbeat| heartbeat.card.is_ready() && &*heartbeat.card.zone == zone)
        .collect();
    nodes.sort_by(|one, other| {
        let (one, other) = (&one.card, &other.card);
        (other.capacity, &one.name).cmp(&(one.capacity, &other.name))
    });
    let calls: u32 = nodes.iter().map(|node| node.open_calls()).sum();
    let load = |count: usize| {
        let weakest = nodes.get(count.wrapping_sub(1));
        weakest.map_or(0.0, |node| {
            ENTRY_SHARE * f64::from(node.card.capacity) * count as f64
        })
    };
    let least = min_entries(&nodes);
    let count = (least..=nodes.len())
        .find(|count| load(*count) >= f64::from(calls))
        .or_else(|| (least..=nodes.len()).max_by(|one, other| load(*one).total_cmp(&load(*other))))
        .unwrap_or(nodes.len());
    nodes.truncate(count);
    nodes
}

/// Minimum number of entries among `nodes`, which are in descending order of capacity.
fn min_entries(nodes: &[&NodeHeartbeat]) -> usize {
    let strongest = nodes.first().map_or(0, |node| node.card.capacity);
    let is_strong =
        |node: &&&NodeHeartbeat| f64::from(node.card.capacity) >= WEAK_SHARE * f64::from(strongest);
    let strong_count = nodes.iter().filter(is_strong).count();
    strong_count.clamp(MIN_STRONG_ENTRIES, MIN_ENTRIES)
}
