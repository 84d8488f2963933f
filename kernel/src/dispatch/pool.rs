//! One pool at its owner: which waiting work starts next, and on which upstream.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use crate::call::{LoadSummary, RefusalReason, Tier};
use crate::config::Config;
use crate::dispatch::choice;
use crate::dispatch::engine::EngineState;
use crate::dispatch::estimate::{OutputEstimate, PoolPace};
use crate::dispatch::fair::{DEFAULT_LEAD, FairQueue};
use crate::dispatch::floors::floor_share;
use crate::dispatch::health::{EngineHealth, HealthState};
use crate::dispatch::held::{HeldWork, StopCause, WorkArena, WorkKey, WorkRun};
use crate::dispatch::tier::TierState;
use crate::ids::{UpstreamId, WorkspaceId};

/// The choices that were weighed by measurement; the defaults are what ships.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchSettings {
    /// Cost by which a workspace may be ahead of its fair share before deadlines stop counting for
    /// it.
    pub lead: u64,
    /// Whether runs of lower tiers are stopped for urgent work.
    pub preemption: bool,
    /// Whether upstreams that are slow or fail are taken out of service.
    pub ejection: bool,
    /// Whether calls that cannot start in time are refused before their time has passed.
    pub early_refusal: bool,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            lead: DEFAULT_LEAD,
            preemption: true,
            ejection: true,
            early_refusal: true,
        }
    }
}

/// What a pool decided about a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start it on the upstream that its run names.
    Start(WorkKey),
    /// Stop its run.
    Stop(WorkKey),
    /// It left the queue for good without having run.
    Refuse(WorkKey, Refusal),
}

/// An honest refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When a retry makes sense.
    pub retry_after: Duration,
}

/// One pool at its owner.
#[derive(Debug, Default)]
pub struct PoolState {
    /// Tiers that have, or had, work.
    pub tiers: BTreeMap<Tier, TierState>,
    /// Upstreams that this node owns, and former ones that still run its work.
    pub engines: BTreeMap<UpstreamId, EngineState>,
    /// Expected output lengths.
    pub outputs: OutputEstimate,
    /// How fast the queue is worked off.
    pub pace: PoolPace,
    /// Whether an answer has no tokens: a plain service's.
    pub plain: bool,
    /// Choices that were weighed by measurement.
    pub settings: DispatchSettings,
    pub(super) config: Arc<Config>,
    pub(super) median: Option<f64>,
    pub(super) quiet: BTreeSet<(Duration, WorkKey)>,
    pub(super) ejected: Vec<UpstreamId>,
}

impl PoolState {
    /// Takes in the configuration and the upstreams that this node owns now.
    pub fn configure(
        &mut self,
        now: Duration,
        config: &Arc<Config>,
        plain: bool,
        owned: &BTreeMap<UpstreamId, u32>,
    ) {
        self.settle(now);
        self.config = Arc::clone(config);
        self.plain = plain;
        for (tier, state) in &mut self.tiers {
            state.floor.share = floor_share(config, *tier);
        }
        for (upstream, engine) in &mut self.engines {
            engine.owned &= owned.contains_key(upstream);
        }
        for (upstream, slots) in owned {
            let engine = self.engines.entry(*upstream).or_default();
            if !engine.owned {
                engine.health = EngineHealth::unproven(now);
                engine.owned = true;
            }
            engine.slots = *slots;
        }
        self.engines
            .retain(|_, engine| engine.owned || engine.in_flight > 0);
    }

    /// Whether this node owns an upstream of the pool.
    pub fn is_owned(&self) -> bool {
        self.engines.values().any(|engine| engine.owned)
    }

    /// Whether nothing waits, runs or is owned.
    pub fn is_idle(&self) -> bool {
        self.engines.is_empty()
            && self
                .tiers
                .values()
                .all(|tier| tier.running == 0 && tier.queue.is_empty())
    }

    /// Slots of the upstreams that are fit for work.
    pub fn slots(&self) -> u32 {
        self.engines.values().map(EngineState::capacity).sum()
    }

    /// Work in service.
    pub fn running(&self) -> u32 {
        self.tiers.values().map(|tier| tier.running).sum()
    }

    /// The state that entry nodes are told.
    pub fn summary(&self) -> LoadSummary {
        let mut load = LoadSummary {
            slots: self.slots(),
            running: self.running(),
            waiting: [0; 3],
        };
        for (tier, state) in &self.tiers {
            load.waiting[usize::from(tier.0.min(2))] += state.queue.len() as u32;
        }
        load
    }

    /// The weight of a workspace.
    pub fn weight(&self, workspace: WorkspaceId) -> u32 {
        let spec = self.config.workspaces.get(&workspace);
        spec.map_or(1, |spec| spec.weight.max(1))
    }

    /// A tier's state, made when it is first needed.
    pub fn tier(&mut self, now: Duration, tier: Tier) -> &mut TierState {
        let config = &self.config;
        let lead = self.settings.lead;
        self.tiers.entry(tier).or_insert_with(|| {
            let mut state = TierState {
                queue: FairQueue::with_lead(lead),
                ..TierState::default()
            };
            state.floor.share = floor_share(config, tier);
            state.floor.settle(now, 0, 0, false);
            state
        })
    }

    /// Puts work in its queue.
    pub fn enqueue(&mut self, now: Duration, key: WorkKey, held: &HeldWork) {
        let weight = self.weight(held.work.spec.workspace);
        self.tier(now, held.work.spec.tier)
            .enqueue(key, held, weight);
    }

    /// Takes waiting work out of its queue.
    pub fn dequeue(&mut self, key: WorkKey, held: &HeldWork) {
        if let Some(tier) = self.tiers.get_mut(&held.work.spec.tier) {
            tier.dequeue(key, held);
        }
    }

    /// Counts the time that passed towards the floors. Comes before every change of what runs.
    pub fn settle(&mut self, now: Duration) {
        let slots = self.slots();
        for tier in self.tiers.values_mut() {
            let waiting = !tier.queue.is_empty();
            tier.floor.settle(now, slots, tier.running, waiting);
        }
    }

    /// Refuses what can no longer be met, starts what can start, and makes room for urgent work.
    pub fn fill(&mut self, now: Duration, arena: &mut WorkArena, out: &mut Vec<Decision>) {
        self.settle(now);
        self.check_stalls(now, arena, out);
        self.expire(now, arena, out);
        let slots = self.slots();
        while let Some((key, upstream)) = self.next(slots, arena) {
            self.start(now, key, upstream, arena);
            out.push(Decision::Start(key));
        }
        if self.settings.preemption {
            self.preempt(now, arena, out);
        }
    }

    /// The next lower tier that has, or had, work; the highest one after none.
    pub(super) fn tier_after(&self, tier: Option<Tier>) -> Option<Tier> {
        let after = tier.map_or(Bound::Unbounded, Bound::Excluded);
        let mut tiers = self.tiers.range((after, Bound::Unbounded));
        tiers.next().map(|(tier, _)| *tier)
    }

    /// The tier that the next free slot belongs to: one below its floor, else the highest.
    fn next_tier(&self, slots: u32) -> Option<Tier> {
        let mut waiting = self
            .tiers
            .iter()
            .filter(|(_, state)| !state.queue.is_empty());
        let (highest, _) = waiting.next()?;
        let owed = waiting
            .filter(|(_, state)| state.floor.is_owed(slots, state.running))
            .max_by(|(_, a), (_, b)| {
                let a = a.floor.shortfall(slots, a.running);
                let b = b.floor.shortfall(slots, b.running);
                a.total_cmp(&b)
            });
        Some(owed.map_or(*highest, |(tier, _)| *tier))
    }

    fn next(&self, slots: u32, arena: &WorkArena) -> Option<(WorkKey, UpstreamId)> {
        let tier = self.next_tier(slots)?;
        let key = self.tiers[&tier].queue.first()?;
        let spec = &arena[key].work.spec;
        if let Some(upstream) = choice::choose(&self.engines, self.median, spec) {
            return Some((key, upstream));
        }
        self.next_probe(arena)
    }

    /// A probe takes the least urgent work that may be repeated; urgent work only when no upstream
    /// is in service.
    fn next_probe(&self, arena: &WorkArena) -> Option<(WorkKey, UpstreamId)> {
        let (upstream, _) = self.engines.iter().find(|(_, e)| e.wants_probe())?;
        let in_service = self
            .engines
            .values()
            .any(|engine| engine.owned && !engine.leaving && engine.health.in_service());
        let fits = |tier: &Tier, key: WorkKey| {
            !in_service || (tier.0 > 0 && arena[key].work.spec.repeatable)
        };
        self.tiers.iter().rev().find_map(|(tier, state)| {
            let key = state.queue.first()?;
            fits(tier, key).then_some((key, *upstream))
        })
    }

    fn start(&mut self, now: Duration, key: WorkKey, upstream: UpstreamId, arena: &mut WorkArena) {
        let held = &mut arena[key];
        let prompt = held.work.spec.prompt_tokens + held.work.resume_from;
        let due = self.patience(prompt).map(|patience| now + patience);
        held.run = Some(WorkRun {
            upstream,
            started: now,
            sent: false,
            tokens: 0,
            heard: now,
            due,
            stop: None,
        });
        let spec = held.work.spec;
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.count(now, engine.in_flight + 1);
            if let HealthState::Probing { running } = &mut engine.health.state {
                *running = true;
            }
        }
        if let Some(due) = due {
            self.quiet.insert((due, key));
        }
        let tier = self.tier(now, spec.tier);
        tier.running += 1;
        tier.serve(key, held);
        tier.watch(key, held);
    }

    /// Asks a run to stop; it goes back to the queue once its slot is free, unless unwanted.
    pub fn stop(&mut self, key: WorkKey, cause: StopCause, arena: &mut WorkArena) -> bool {
        let held = &mut arena[key];
        let Some(tier) = self.tiers.get_mut(&held.work.spec.tier) else {
            return false;
        };
        tier.unwatch(key, held);
        let Some(run) = &mut held.run else {
            return false;
        };
        let before = run.stop;
        if before != Some(StopCause::Unwanted) {
            run.stop = Some(cause);
        }
        if before.is_none() {
            tier.stopping += 1;
        }
        before.is_none()
    }
}
