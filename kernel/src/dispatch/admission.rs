//! Admission: says early what cannot be met, the lowest tier first.

use std::ops::Bound;
use std::time::Duration;

use crate::call::{RefusalReason, Tier};
use crate::dispatch::engine::EngineState;
use crate::dispatch::held::{HeldWork, WorkArena, WorkKey};
use crate::dispatch::pool::{Decision, PoolState, Refusal};

/// Slack beyond which work waits without an estimate of its start.
const LONG_SLACK: Duration = Duration::from_secs(30);

/// How much later than the deadline the estimated start must be for a refusal at the door: the
/// estimate is rough, and what is let in wrongly is still refused when its time has come.
const DOUBT: f64 = 1.5;

/// Runs that must have ended before estimates count.
const LEAST_SAMPLES: u32 = 20;

/// Most calls that wait in one tier of one pool.
pub const MOST_WAITING: usize = 131_072;

/// Bounds of the time after which a refused caller should come back.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(250), Duration::from_mins(5));

impl PoolState {
    /// Queues work that was offered, or refuses it, or other work in its place.
    pub fn offer(
        &mut self,
        now: Duration,
        key: WorkKey,
        arena: &WorkArena,
        out: &mut Vec<Decision>,
    ) {
        let held = &arena[key];
        if let Some(refusal) = self.objection(now, held) {
            out.push(Decision::Refuse(key, refusal));
            return;
        }
        self.enqueue(now, key, held);
        self.bound(now, held.work.spec.tier, arena, out);
    }

    fn objection(&self, now: Duration, held: &HeldWork) -> Option<Refusal> {
        let tier = held.work.spec.tier;
        if held.begun() {
            return None;
        }
        let slack = held.latest_start.checked_sub(now);
        let late = match slack {
            None if self.waiting_to(tier) < self.free_slots() => return None,
            None => return self.late(now, tier),
            Some(slack) if slack > LONG_SLACK || !self.settings.early_refusal => return None,
            Some(_) if self.lower_can_give(tier) => return None,
            Some(slack) => self.wait(held)? > slack.mul_f64(DOUBT),
        };
        late.then(|| self.refusal(now, RefusalReason::Overloaded, tier))
    }

    /// The refusal of work that is late, unless a lower tier holds slots beyond its floor: then the
    /// lower tier gives way first, and the work runs late.
    fn late(&self, now: Duration, tier: Tier) -> Option<Refusal> {
        let refusable = self.slots() == 0 || !self.lower_can_give(tier);
        refusable.then(|| self.refusal(now, RefusalReason::Deadline, tier))
    }

    /// Whether a lower tier holds slots beyond its floor.
    fn lower_can_give(&self, tier: Tier) -> bool {
        let slots = self.slots();
        let mut lower = self.tiers.range((Bound::Excluded(tier), Bound::Unbounded));
        lower.any(|(_, state)| state.above_floor(slots) > 0)
    }

    fn refusal(&self, now: Duration, reason: RefusalReason, tier: Tier) -> Refusal {
        let backlog: u64 = self.tiers.range(..=tier).map(|(_, t)| t.queue.cost()).sum();
        let wait = self.time_for(tier, backlog).unwrap_or(RETRY_AFTER.0);
        let closed = self.opens_at().unwrap_or(now).saturating_sub(now);
        Refusal {
            reason,
            retry_after: wait.max(closed).clamp(RETRY_AFTER.0, RETRY_AFTER.1),
        }
    }

    /// Estimated wait until a start; none while too little is known.
    fn wait(&self, held: &HeldWork) -> Option<Duration> {
        let spec = &held.work.spec;
        let above: u64 = self
            .tiers
            .range(..spec.tier)
            .map(|(_, state)| state.queue.cost())
            .sum();
        let ahead = self.tiers.get(&spec.tier).map_or(0, |state| {
            let weight = self.weight(spec.workspace);
            let fair = state.queue.fair_cost_before(spec.workspace, weight);
            fair.min(state.queue.cost_before(held.deadline))
        });
        self.time_for(spec.tier, above + ahead)
    }

    /// Time in which the tier works off a cost; none while too little is known.
    fn time_for(&self, tier: Tier, cost: u64) -> Option<Duration> {
        if self.pace.slot_rate.samples() < LEAST_SAMPLES {
            return None;
        }
        let rate = self.pace.slot_rate.get()? * self.open_slots(tier);
        let seconds = cost as f64 / rate.max(f64::MIN_POSITIVE);
        Some(Duration::from_secs_f64(seconds.min(1e6)))
    }

    /// Slots that a tier can count on: all, less what runs above it and the floors of those below.
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

    /// Calls that wait in the tier and those above it.
    fn waiting_to(&self, tier: Tier) -> usize {
        let tiers = self.tiers.range(..=tier);
        tiers.map(|(_, state)| state.queue.len()).sum()
    }

    fn free_slots(&self) -> usize {
        let free = self.engines.values().map(EngineState::free);
        free.sum::<u32>() as usize
    }

    /// Refuses waiting work whose last moment to start has passed, unless it is all that could use
    /// a free slot: then it runs late, before work of lower tiers.
    pub(super) fn expire(&mut self, now: Duration, arena: &WorkArena, out: &mut Vec<Decision>) {
        let horizon = self.opens_at().map_or(now, |opens_at| opens_at.max(now));
        let mut next = self.tiers.keys().next_back().copied();
        while let Some(tier) = next {
            while let Some(key) = self.first_late(horizon, tier) {
                if self.waiting_to(tier) <= self.free_slots() {
                    break;
                }
                let Some(refusal) = self.late(now, tier) else {
                    break;
                };
                self.dequeue(key, &arena[key]);
                out.push(Decision::Refuse(key, refusal));
            }
            next = self.tiers.range(..tier).next_back().map(|(tier, _)| *tier);
        }
    }

    /// When the first upstream is probed, if all that may get work are out of service.
    fn opens_at(&self) -> Option<Duration> {
        let engines = self.engines.values();
        let mut engines = engines.filter(|engine| engine.owned && !engine.leaving);
        let first = engines.next()?.health.probed_at()?;
        engines.try_fold(first, |opens_at, engine| {
            Some(opens_at.min(engine.health.probed_at()?))
        })
    }

    fn first_late(&self, now: Duration, tier: Tier) -> Option<WorkKey> {
        let (latest, key) = self.tiers.get(&tier)?.expiry.first()?;
        (*latest < now).then_some(*key)
    }

    /// Keeps a tier's queue within its bound: the workspace that was served most gives up its last
    /// call.
    fn bound(&mut self, now: Duration, tier: Tier, arena: &WorkArena, out: &mut Vec<Decision>) {
        let Some(state) = self.tiers.get(&tier) else {
            return;
        };
        if state.queue.len() <= MOST_WAITING {
            return;
        }
        let Some(key) = state.queue.last().filter(|key| !arena[*key].begun()) else {
            return;
        };
        let refusal = self.refusal(now, RefusalReason::Overloaded, tier);
        self.dequeue(key, &arena[key]);
        out.push(Decision::Refuse(key, refusal));
    }
}
