//! Which nodes of an availability zone callers are sent to.

use crate::gateway::heartbeat::NodeHeartbeat;

/// Fewest nodes of an availability zone that are named to callers, so that the loss of one leaves
/// callers two others.
const FEWEST_ENTRIES: usize = 3;
/// Fewest if the next node is much weaker than those that are named: the loss of one leaves one.
const FEWEST_STRONG: usize = 2;
/// Capacity against the strongest node's below which a node is much weaker. Callers choose evenly, so
/// such a node is full while the others are idle.
const WEAK_PART: f64 = 0.5;
/// Part of their capacity that entries are filled to before more are named.
const ENTRY_PART: f64 = 0.8;

/// The ready nodes among `heartbeats` that callers of an availability zone are sent to: as few as can
/// carry the zone's calls when each gets the same share, since few entries know each other's work
/// well; the strongest first.
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
    let room = |count: usize| {
        let weakest = nodes.get(count.wrapping_sub(1));
        weakest.map_or(0.0, |node| {
            ENTRY_PART * f64::from(node.card.capacity) * count as f64
        })
    };
    let fewest = fewest_entries(&nodes);
    let count = (fewest..=nodes.len())
        .find(|count| room(*count) >= f64::from(calls))
        .or_else(|| (fewest..=nodes.len()).max_by(|one, other| room(*one).total_cmp(&room(*other))))
        .unwrap_or(nodes.len());
    nodes.truncate(count);
    nodes
}

/// Fewest of `nodes`, which stand in order of their capacity, that are named.
fn fewest_entries(nodes: &[&NodeHeartbeat]) -> usize {
    let strongest = nodes.first().map_or(0, |node| node.card.capacity);
    let is_strong =
        |node: &&&NodeHeartbeat| f64::from(node.card.capacity) >= WEAK_PART * f64::from(strongest);
    let strong_count = nodes.iter().filter(is_strong).count();
    strong_count.clamp(FEWEST_STRONG, FEWEST_ENTRIES)
}
