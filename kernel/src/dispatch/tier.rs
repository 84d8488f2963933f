//! One tier of one pool: its queue, its floor, and its runs that may be preempted.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::dispatch::fair::{FairQueue, QueueItem};
use crate::dispatch::floors::TierFloor;
use crate::dispatch::work::{WorkItem, WorkKey};

/// The state of one tier of one pool.
#[derive(Debug, Default)]
pub struct TierState {
    /// Work that waits for a slot, shared fairly among workspaces.
    pub queue: FairQueue,
    /// The tier's guaranteed fraction of slots.
    pub floor: TierFloor,
    /// Slots in use, including those of runs that were asked to stop.
    pub running: u32,
    /// Runs that were asked to stop and have not ended.
    pub stopping: u32,
    /// Queued work that may still be rejected, by its latest start.
    pub expiry: BTreeSet<(Duration, WorkKey)>,
    /// Runs that may be preempted, by the cost of restarting them.
    pub victims: BTreeSet<(u64, WorkKey)>,
}

/// The queue's entry for a piece of work.
pub fn queue_item(key: WorkKey, item: &WorkItem) -> QueueItem {
    QueueItem {
        key,
        workspace: item.work.spec.workspace,
        deadline: item.deadline,
        cost: item.cost,
    }
}

impl TierState {
    /// Queues work for a workspace with this weight.
    pub fn enqueue(&mut self, key: WorkKey, item: &WorkItem, weight: u32) {
        self.queue.push(queue_item(key, item), weight);
        if !item.may_have_run() {
            self.expiry.insert((item.latest_start, key));
        }
    }

    /// Removes queued work without charging its workspace.
    pub fn dequeue(&mut self, key: WorkKey, item: &WorkItem) {
        self.queue.remove(queue_item(key, item));
        self.expiry.remove(&(item.latest_start, key));
    }

    /// Removes the first work in the queue to start it, and charges its cost to the workspace.
    pub fn serve(&mut self, key: WorkKey, item: &WorkItem) {
        self.queue.serve(queue_item(key, item));
        self.expiry.remove(&(item.latest_start, key));
    }

    /// Adds a run to the preemption candidates, unless it may not be stopped.
    pub fn add_victim(&mut self, key: WorkKey, item: &WorkItem) {
        if item.can_move() {
            self.victims.insert((item.restart_cost(), key));
        }
    }

    /// Removes a run from the preemption candidates.
    pub fn remove_victim(&mut self, key: WorkKey, item: &WorkItem) {
        self.victims.remove(&(item.restart_cost(), key));
    }

    /// Slots that the tier uses above its floor, out of `slots` in the pool.
    pub fn above_floor(&self, slots: u32) -> u32 {
        let kept = f64::from(self.running.saturating_sub(self.stopping)) - self.floor.slots(slots);
        kept.max(0.0).floor() as u32
    }
}
