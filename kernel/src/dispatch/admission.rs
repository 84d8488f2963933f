//! Admission control: rejects early the work that cannot meet its deadline, lowest tier first.

use std::ops::Bound;
use std::time::Duration;

use crate::call::{RefusalReason, Tier};
use crate::dispatch::engine::EngineState;
use crate::dispatch::pool::{Decision, PoolState, Refusal};
use crate::dispatch::work::{WorkArena, WorkItem, WorkKey};

/// Slack above which work is queued without estimating its start time.
const LONG_SLACK: Duration = Duration::from_secs(30);

/// Factor by which the estimated wait must exceed the slack before work is rejected on arrival. The
/// estimate is rough, and work admitted in error is still rejected after its latest start.
const WAIT_FACTOR: f64 = 1.5;

/// Completed runs required before wait estimates are used.
const MIN_SAMPLES: u32 = 20;

/// Most calls queued in one tier of one pool.
pub const MAX_QUEUED: usize = 131_072;

/// Shortest and longest `retry_after` given to a rejected caller.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(250), Duration::from_mins(5));

impl PoolState {
    /// Queues offered work, or rejects either it or other work in its place.
    pub fn offer(
        &mut self,
        now: Duration,
        key: WorkKey,
        arena: &WorkArena,
        out: &mut Vec<Decision>,
    ) {
        let item = &arena[key];
        if let Some(refusal) = self.refusal_on_arrival(now, item) {
            out.push(Decision::Refuse(key, refusal));
            return;
        }
        self.enqueue(now, key, item);
        self.enforce_bound(now, item.work.spec.tier, arena, out);
    }

    fn refusal_on_arrival(&self, now: Duration, item: &WorkItem) -> Option<Refusal> {
        let tier = item.work.spec.tier;
        if item.may_have_run() {
            return None;
        }
        let slack = item.latest_start.checked_sub(now);
        let late = match slack {
            None if self.waiting_up_to(tier) < self.free_slots() => return None,
            None => return self.late_refusal(now, tier),
            Some(slack) if slack > LONG_SLACK || !self.settings.early_refusal => return None,
            Some(_) if self.lower_can_yield(tier) => return None,
            Some(slack) => self.estimated_wait(item)? > slack.mul_f64(WAIT_FACTOR),
        };
        late.then(|| self.refusal(now, RefusalReason::Overloaded, tier))
    }

    /// The refusal of work that is past its latest start, or `None` if a lower tier uses slots
    /// above its floor: the lower tier then yields first and the work starts late.
    fn late_refusal(&self, now: Duration, tier: Tier) -> Option<Refusal> {
        let refusable = self.slots() == 0 || !self.lower_can_yield(tier);
        refusable.then(|| self.refusal(now, RefusalReason::Deadline, tier))
    }

    /// Whether a lower tier uses slots above its floor.
    fn lower_can_yield(&self, tier: Tier) -> bool {
        let slots = self.slots();
        let mut lower = self.tiers.range((Bound::Excluded(tier), Bound::Unbounded));
        lower.any(|(_, state)| state.above_floor(slots) > 0)
    }

    fn refusal(&self, now: Duration, reason: RefusalReason, tier: Tier) -> Refusal {
        let backlog: u64 = self.tiers.range(..=tier).map(|(_, t)| t.queue.cost()).sum();
        let wait = self.time_for(tier, backlog).unwrap_or(RETRY_AFTER.0);
        let closed = self.next_probe_at().unwrap_or(now).saturating_sub(now);
        Refusal {
            reason,
            retry_after: wait.max(closed).clamp(RETRY_AFTER.0, RETRY_AFTER.1),
        }
    }

    /// Estimated wait until the work starts, or `None` while there are too few samples.
    fn estimated_wait(&self, item: &WorkItem) -> Option<Duration> {
        let spec = &item.work.spec;
        let above: u64 = self
            .tiers
            .range(..spec.tier)
            .map(|(_, state)| state.queue.cost())
            .sum();
        let ahead = self.tiers.get(&spec.tier).map_or(0, |state| {
            let weight = self.weight(spec.workspace);
            let fair = state.queue.fair_cost_before(spec.workspace, weight);
            fair.min(state.queue.cost_before(item.deadline))
        });
        self.time_for(spec.tier, above + ahead)
    }

    /// Time in which the tier completes work of this cost, or `None` with too few samples.
    fn time_for(&self, tier: Tier, cost: u64) -> Option<Duration> {
        if self.timing.slot_rate.samples() < MIN_SAMPLES {
            return None;
        }
        let rate = self.timing.slot_rate.get()? * self.open_slots(tier);
        let seconds = cost as f64 / rate.max(f64::MIN_POSITIVE);
        Some(Duration::from_secs_f64(seconds.min(1e6)))
    }

    /// Slots that a tier can count on: all slots, less those used by higher tiers and those used by
    /// other lower tiers within their floors.
    fn open_slots(&self, tier: Tier) -> f64 {
        let slots = self.slots();
        let taken: f64 = self
            .tiers
            .iter()
            .filter(|(other, _)| **other != tier)
            .map(|(other, state)| {
                if *other < tier {
                    f64::from(state.running)
                } else {
                    f64::from(state.running).min(state.floor.slots(slots))
                }
            })
            .sum();
        let floor = self
            .tiers
            .get(&tier)
            .map_or(0.0, |state| state.floor.slots(slots));
        (f64::from(slots) - taken).max(floor).max(0.01)
    }

    /// Calls queued in this tier and all higher tiers.
    fn waiting_up_to(&self, tier: Tier) -> usize {
        let tiers = self.tiers.range(..=tier);
        tiers.map(|(_, state)| state.queue.len()).sum()
    }

    fn free_slots(&self) -> usize {
        let free = self.engines.values().map(EngineState::free);
        free.sum::<u32>() as usize
    }

    /// Rejects queued work whose latest start has passed, lowest tier first. Work that fits into
    /// the free slots is kept: it starts late, but ahead of lower tiers.
    pub(super) fn expire(&mut self, now: Duration, arena: &WorkArena, out: &mut Vec<Decision>) {
        let horizon = self
            .next_probe_at()
            .map_or(now, |next_probe_at| next_probe_at.max(now));
        let mut next = self.tiers.keys().next_back().copied();
        while let Some(tier) = next {
            while let Some(key) = self.first_expired(horizon, tier) {
                if self.waiting_up_to(tier) <= self.free_slots() {
                    break;
                }
                let Some(refusal) = self.late_refusal(now, tier) else {
                    break;
                };
                self.dequeue(key, &arena[key]);
                out.push(Decision::Refuse(key, refusal));
            }
            next = self.tiers.range(..tier).next_back().map(|(tier, _)| *tier);
        }
    }

    /// Time at which the first ejected upstream is probed; `None` unless every upstream that could
    /// be assigned work is ejected.
    fn next_probe_at(&self) -> Option<Duration> {
        let engines = self.engines.values();
        let mut engines = engines.filter(|engine| engine.owned && !engine.leaving);
        let first = engines.next()?.health.probe_due()?;
        engines.try_fold(first, |next_probe_at, engine| {
            Some(next_probe_at.min(engine.health.probe_due()?))
        })
    }

    fn first_expired(&self, now: Duration, tier: Tier) -> Option<WorkKey> {
        let (latest, key) = self.tiers.get(&tier)?.expiry.first()?;
        (*latest < now).then_some(*key)
    }

    /// Keeps a tier's queue within [`MAX_QUEUED`] by rejecting the last call of the workspace
    /// that has been served most.
    fn enforce_bound(
        &mut self,
        now: Duration,
        tier: Tier,
        arena: &WorkArena,
        out: &mut Vec<Decision>,
    ) {
        let Some(state) = self.tiers.get(&tier) else {
            return;
        };
        if state.queue.len() <= MAX_QUEUED {
            return;
        }
        let Some(key) = state
            .queue
            .eviction_candidate()
            .filter(|key| !arena[*key].may_have_run())
        else {
            return;
        };
        let refusal = self.refusal(now, RefusalReason::Overloaded, tier);
        self.dequeue(key, &arena[key]);
        out.push(Decision::Refuse(key, refusal));
    }
}
