//! One tier of one pool: its queue, its floor, and its runs that may be stopped.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::dispatch::fair::{FairQueue, QueueItem};
use crate::dispatch::floors::TierFloor;
use crate::dispatch::held::{HeldWork, WorkKey};

/// One tier of one pool.
#[derive(Debug, Default)]
pub struct TierState {
    /// Waiting work.
    pub queue: FairQueue,
    /// The floor.
    pub floor: TierFloor,
    /// Slots in use, those being freed included.
    pub running: u32,
    /// Runs that were asked to stop.
    pub stopping: u32,
    /// Waiting work that has not begun, by the last moment to start it.
    pub expiry: BTreeSet<(Duration, WorkKey)>,
    /// Runs that may be stopped, by what that throws away.
    pub victims: BTreeSet<(u64, WorkKey)>,
}

/// What the queue must know of held work.
pub fn queue_item(key: WorkKey, held: &HeldWork) -> QueueItem {
    QueueItem {
        key,
        workspace: held.work.spec.workspace,
        deadline: held.deadline,
        cost: held.cost,
    }
}

impl TierState {
    /// Queues work.
    pub fn enqueue(&mut self, key: WorkKey, held: &HeldWork, weight: u32) {
        self.queue.push(queue_item(key, held), weight);
        if !held.begun() {
            self.expiry.insert((held.latest_start, key));
        }
    }

    /// Takes waiting work out.
    pub fn dequeue(&mut self, key: WorkKey, held: &HeldWork) {
        self.queue.remove(queue_item(key, held));
        self.expiry.remove(&(held.latest_start, key));
    }

    /// Takes out the work that is first in the queue to start it, and charges its cost to the workspace.
    pub fn serve(&mut self, key: WorkKey, held: &HeldWork) {
        self.queue.serve(queue_item(key, held));
        self.expiry.remove(&(held.latest_start, key));
    }

    /// Notes that the run may be stopped, if it may.
    pub fn watch(&mut self, key: WorkKey, held: &HeldWork) {
        if held.can_move() {
            self.victims.insert((held.loss(), key));
        }
    }

    /// Notes that the run may no longer be stopped.
    pub fn unwatch(&mut self, key: WorkKey, held: &HeldWork) {
        self.victims.remove(&(held.loss(), key));
    }

    /// Slots that the tier holds beyond its floor, of `slots` in all.
    pub fn above_floor(&self, slots: u32) -> u32 {
        let kept = f64::from(self.running.saturating_sub(self.stopping)) - self.floor.slots(slots);
        kept.max(0.0).floor() as u32
    }
}
