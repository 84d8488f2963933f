//! Load updates to entry nodes that have lately received no reply with the current load.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::call::LoadSummary;
use crate::ids::{NodeId, PoolId};

/// Shortest time between two updates to one node about one pool.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Time after its last offer for which an entry node receives updates.
const OFFER_TIMEOUT: Duration = Duration::from_secs(10);

/// Most updates sent at one tick, to stay within the budget of control traffic.
const MAX_PER_TICK: usize = 8;

#[derive(Debug)]
struct SentLoad {
    load: LoadSummary,
    sent_at: Duration,
    offered_at: Duration,
}

/// The load last sent to each entry node, by pool.
#[derive(Debug, Default)]
pub struct LoadNotifier {
    sent: BTreeMap<(PoolId, NodeId), SentLoad>,
    next: Option<(PoolId, NodeId)>,
}

impl LoadNotifier {
    /// Records that a node offered work.
    pub fn record_offer(&mut self, now: Duration, pool: PoolId, node: NodeId) {
        self.sent
            .entry((pool, node))
            .or_insert_with(|| SentLoad {
                load: LoadSummary::default(),
                sent_at: now,
                offered_at: now,
            })
            .offered_at = now;
    }

    /// Records that a reply carried the load to a node.
    pub fn record_sent(&mut self, now: Duration, pool: PoolId, node: NodeId, load: LoadSummary) {
        if let Some(sent) = self.sent.get_mut(&(pool, node)) {
            sent.load = load;
            sent.sent_at = now;
        }
    }

    /// Drops all state for a node.
    pub fn remove_node(&mut self, node: NodeId) {
        self.sent.retain(|(_, other), _| *other != node);
    }

    /// The updates that are due, up to the bound for one tick; the next call goes on from there.
    pub fn due(
        &mut self,
        now: Duration,
        loads: &BTreeMap<PoolId, LoadSummary>,
    ) -> Vec<(PoolId, NodeId, LoadSummary)> {
        self.sent
            .retain(|_, sent| now < sent.offered_at + OFFER_TIMEOUT);
        let start = self.next.take();
        let mut due = Vec::new();
        let (before, after): (Vec<_>, Vec<_>) = self
            .sent
            .iter_mut()
            .partition(|(key, _)| start.is_some_and(|start| **key < start));
        for ((pool, node), sent) in after.into_iter().chain(before) {
            let Some(load) = loads.get(pool) else {
                continue;
            };
            if now < sent.sent_at + MIN_INTERVAL || !differs_much(&sent.load, load) {
                continue;
            }
            if due.len() == MAX_PER_TICK {
                self.next = Some((*pool, *node));
                break;
            }
            sent.load = *load;
            sent.sent_at = now;
            due.push((*pool, *node, *load));
        }
        due
    }
}

/// Whether a node that routes by the old load would route badly under the new one.
fn differs_much(old: &LoadSummary, new: &LoadSummary) -> bool {
    let pressure = |load: &LoadSummary| {
        let waiting: u32 = load.waiting.iter().sum();
        f64::from(load.running + waiting) / f64::from(load.slots.max(1))
    };
    let urgent = |load: &LoadSummary| f64::from(load.waiting[0]) / f64::from(load.slots.max(1));
    let differs = |old: f64, new: f64| (old - new).abs() > 0.25 + 0.25 * old.min(new);
    old.slots != new.slots
        || differs(pressure(old), pressure(new))
        || differs(urgent(old), urgent(new))
}
