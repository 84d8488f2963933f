//! Load updates to entry nodes that have lately received no reply with the current load.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::call::LoadSummary;
use crate::ids::{NodeId, PoolId};

/// Shortest time between two updates to one node about one pool.
const LEAST_GAP: Duration = Duration::from_secs(1);

/// Time after its last offer for which an entry node receives updates.
const INTEREST: Duration = Duration::from_secs(10);

/// Most updates sent at one tick, to stay within the budget of control traffic.
const MOST_AT_ONCE: usize = 8;

#[derive(Debug)]
struct ToldLoad {
    load: LoadSummary,
    told: Duration,
    heard: Duration,
}

/// The load last sent to each entry node, by pool.
#[derive(Debug, Default)]
pub struct LoadNotifier {
    told: BTreeMap<(PoolId, NodeId), ToldLoad>,
    next: Option<(PoolId, NodeId)>,
}

impl LoadNotifier {
    /// Records that a node offered work.
    pub fn record_offer(&mut self, now: Duration, pool: PoolId, node: NodeId) {
        self.told
            .entry((pool, node))
            .or_insert_with(|| ToldLoad {
                load: LoadSummary::default(),
                told: now,
                heard: now,
            })
            .heard = now;
    }

    /// Records that a reply carried the load to a node.
    pub fn record_sent(&mut self, now: Duration, pool: PoolId, node: NodeId, load: LoadSummary) {
        if let Some(told) = self.told.get_mut(&(pool, node)) {
            told.load = load;
            told.told = now;
        }
    }

    /// Drops all state for a node.
    pub fn remove_node(&mut self, node: NodeId) {
        self.told.retain(|(_, other), _| *other != node);
    }

    /// The updates that are due, up to the bound for one tick; the next call continues after the
    /// last one.
    pub fn due(
        &mut self,
        now: Duration,
        loads: &BTreeMap<PoolId, LoadSummary>,
    ) -> Vec<(PoolId, NodeId, LoadSummary)> {
        self.told.retain(|_, told| now < told.heard + INTEREST);
        let start = self.next.take();
        let mut due = Vec::new();
        let (before, after): (Vec<_>, Vec<_>) = self
            .told
            .iter_mut()
            .partition(|(key, _)| start.is_some_and(|start| **key < start));
        for ((pool, node), told) in after.into_iter().chain(before) {
            let Some(load) = loads.get(pool) else {
                continue;
            };
            if now < told.told + LEAST_GAP || !differs_much(&told.load, load) {
                continue;
            }
            if due.len() == MOST_AT_ONCE {
                self.next = Some((*pool, *node));
                break;
            }
            told.load = *load;
            told.told = now;
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
    let far = |old: f64, new: f64| (old - new).abs() > 0.25 + 0.25 * old.min(new);
    old.slots != new.slots || far(pressure(old), pressure(new)) || far(urgent(old), urgent(new))
}
