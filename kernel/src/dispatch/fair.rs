//! The queue of one tier: workspaces share it fairly, and each one's calls are ordered by deadline.
//!
//! Every workspace has a start tag: the cost that it has been served, divided by its weight
//! (start-time fair queueing, Goyal et al. 1996). A workspace whose tag is within `lead` of the
//! smallest one is eligible, and among eligible workspaces the earliest deadline is served first
//! (as in earliest eligible virtual deadline first, Stoica and Abdel-Wahab 1995, but with the real
//! deadline). Deadlines therefore decide among workspaces that are near their fair share, and the
//! fair share decides otherwise. Every operation takes time logarithmic in the number of workspaces
//! and queued calls.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::dispatch::arena::{Arena, ArenaKey};
use crate::dispatch::work::WorkKey;
use crate::ids::WorkspaceId;

/// Key of a workspace's share.
type ShareKey = ArenaKey<WorkspaceShare>;

/// Virtual time per unit of cost at weight 1.
const TAG_SCALE: u64 = 64;

/// Cost by which a workspace of weight 1 may be ahead of the one served least.
pub const DEFAULT_LEAD: u64 = 8_192;

/// Width, as a power of two in ms, of the deadline intervals by which queued cost is summed.
const BUCKET_BITS: u32 = 8;

#[derive(Debug)]
struct WorkspaceShare {
    weight: u64,
    start: u64,
    eligible: bool,
    cost: u64,
    queue: BTreeSet<(Duration, WorkKey)>,
}

/// A queued call, as the queue needs it.
#[derive(Clone, Copy, Debug)]
pub struct QueueItem {
    /// Key of the work.
    pub key: WorkKey,
    /// Workspace whose share it is charged to.
    pub workspace: WorkspaceId,
    /// Deadline that orders it within its workspace.
    pub deadline: Duration,
    /// Estimated cost, as returned by [`cost_of`](crate::dispatch::estimate::cost_of).
    pub cost: u64,
}

/// The fair queue of one tier.
#[derive(Debug)]
pub struct FairQueue {
    lead: u64,
    virtual_time: u64,
    max_start: u64,
    total_weight: u64,
    len: usize,
    cost: u64,
    shares: Arena<WorkspaceShare>,
    keys: BTreeMap<WorkspaceId, ShareKey>,
    starts: BTreeSet<(u64, ShareKey)>,
    eligible: BTreeSet<(Duration, ShareKey)>,
    buckets: BTreeMap<u64, u64>,
}

impl Default for FairQueue {
    fn default() -> Self {
        Self::with_lead(DEFAULT_LEAD)
    }
}

fn bucket_of(deadline: Duration) -> u64 {
    (deadline.as_millis() as u64) >> BUCKET_BITS
}

impl FairQueue {
    /// An empty queue in which a workspace may be `lead` ahead, in units of cost.
    pub fn with_lead(lead: u64) -> Self {
        Self {
            lead: lead.saturating_mul(TAG_SCALE),
            virtual_time: 0,
            max_start: 0,
            total_weight: 0,
            len: 0,
            cost: 0,
            shares: Arena::default(),
            keys: BTreeMap::new(),
            starts: BTreeSet::new(),
            eligible: BTreeSet::new(),
            buckets: BTreeMap::new(),
        }
    }

    /// Number of queued calls of all workspaces.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no call is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Estimated cost of all queued calls.
    pub fn cost(&self) -> u64 {
        self.cost
    }

    /// Number of workspaces tracked, with or without queued calls.
    pub fn shares(&self) -> usize {
        self.shares.len()
    }

    /// Queues a call for a workspace with this weight.
    pub fn push(&mut self, item: QueueItem, weight: u32) {
        let key = self.share(item.workspace);
        self.detach(key);
        let share = &mut self.shares[key];
        share.weight = u64::from(weight.max(1));
        share.queue.insert((item.deadline, item.key));
        share.cost += item.cost;
        self.len += 1;
        self.cost += item.cost;
        *self.buckets.entry(bucket_of(item.deadline)).or_default() += item.cost;
        self.attach(key);
    }

    /// Removes a call; returns whether it was queued.
    pub fn remove(&mut self, item: QueueItem) -> bool {
        let Some(key) = self.keys.get(&item.workspace).copied() else {
            return false;
        };
        self.detach(key);
        let found = self.shares[key].queue.remove(&(item.deadline, item.key));
        if found {
            self.subtract(key, item);
        }
        self.attach(key);
        self.reset_when_empty();
        found
    }

    /// Removes the call that [`Self::peek`] returns and charges its cost to its workspace.
    pub fn serve(&mut self, item: QueueItem) {
        let Some((_, key)) = self.eligible.first().copied() else {
            return;
        };
        self.detach(key);
        let share = &mut self.shares[key];
        share.queue.pop_first();
        share.start += item.cost * TAG_SCALE / share.weight;
        self.max_start = self.max_start.max(share.start);
        self.subtract(key, item);
        self.attach(key);
        self.reset_when_empty();
    }

    fn subtract(&mut self, key: ShareKey, item: QueueItem) {
        self.shares[key].cost -= item.cost;
        self.len -= 1;
        self.cost -= item.cost;
        self.subtract_from_bucket(bucket_of(item.deadline), item.cost);
    }

    /// The call to serve next, or `None` if the queue is empty.
    pub fn peek(&self) -> Option<WorkKey> {
        let (_, share) = self.eligible.first()?;
        self.shares[*share].queue.first().map(|(_, key)| *key)
    }

    /// The call to evict when the queue is full: the last one of the workspace that has been served
    /// most. `None` if the queue is empty.
    pub fn eviction_candidate(&self) -> Option<WorkKey> {
        let (_, share) = self.starts.last()?;
        self.shares[*share].queue.last().map(|(_, key)| *key)
    }

    /// Charges `cost` to the workspace; a negative value refunds an estimate that was too high.
    pub fn charge(&mut self, workspace: WorkspaceId, cost: i64) {
        let key = self.share(workspace);
        let share = &self.shares[key];
        let tags = cost.unsigned_abs() * TAG_SCALE / share.weight;
        let start = if cost < 0 {
            share.start.saturating_sub(tags)
        } else {
            share.start + tags
        };
        self.detach(key);
        self.shares[key].start = start;
        self.max_start = self.max_start.max(start);
        self.attach(key);
        self.reset_when_empty();
    }

    /// Estimated cost queued with a deadline up to this one, rounded up to the end of its interval.
    pub fn cost_before(&self, deadline: Duration) -> u64 {
        self.buckets
            .range(..=bucket_of(deadline))
            .map(|(_, cost)| cost)
            .sum()
    }

    /// Cost served, at fair shares, before a call that the workspace would queue now.
    pub fn fair_cost_before(&self, workspace: WorkspaceId, weight: u32) -> u64 {
        let share = self.keys.get(&workspace).map(|key| &self.shares[*key]);
        let own = share.map_or(0, |share| share.cost);
        let weight = u64::from(weight.max(1));
        let others = match share {
            Some(share) if !share.queue.is_empty() => self.total_weight,
            _ => self.total_weight + weight,
        };
        (own / weight).saturating_mul(others).min(self.cost)
    }

    fn share(&mut self, workspace: WorkspaceId) -> ShareKey {
        if let Some(key) = self.keys.get(&workspace) {
            return *key;
        }
        let key = self.shares.insert(WorkspaceShare {
            weight: 1,
            start: self.virtual_time,
            eligible: false,
            cost: 0,
            queue: BTreeSet::new(),
        });
        self.keys.insert(workspace, key);
        key
    }

    fn detach(&mut self, key: ShareKey) {
        let share = &mut self.shares[key];
        let Some((head, _)) = share.queue.first() else {
            return;
        };
        self.total_weight -= share.weight;
        self.starts.remove(&(share.start, key));
        if share.eligible {
            self.eligible.remove(&(*head, key));
            share.eligible = false;
        }
    }

    fn attach(&mut self, key: ShareKey) {
        let share = &mut self.shares[key];
        if let Some((head, _)) = share.queue.first() {
            share.start = share.start.max(self.virtual_time);
            self.total_weight += share.weight;
            self.starts.insert((share.start, key));
            share.eligible = share.start <= self.virtual_time + self.lead;
            if share.eligible {
                self.eligible.insert((*head, key));
            }
        }
        self.advance_virtual_time();
    }

    fn advance_virtual_time(&mut self) {
        let Some((least, _)) = self.starts.first() else {
            return;
        };
        if *least <= self.virtual_time {
            return;
        }
        let before = self.virtual_time + self.lead;
        self.virtual_time = *least;
        let after = self.virtual_time + self.lead;
        let from = (before, ArenaKey::last());
        let to = (after, ArenaKey::last());
        for (_, key) in self.starts.range(from..=to) {
            let share = &mut self.shares[*key];
            let Some((head, _)) = share.queue.first() else {
                continue;
            };
            share.eligible = true;
            self.eligible.insert((*head, *key));
        }
    }

    fn subtract_from_bucket(&mut self, bucket: u64, cost: u64) {
        let Some(queued) = self.buckets.get_mut(&bucket) else {
            return;
        };
        *queued -= cost;
        if *queued == 0 {
            self.buckets.remove(&bucket);
        }
    }

    /// Resets all shares once the queue is empty: past use counts only while calls are queued.
    fn reset_when_empty(&mut self) {
        if self.len == 0 {
            self.virtual_time = self.virtual_time.max(self.max_start);
            self.shares = Arena::default();
            self.keys.clear();
        }
    }
}
