//! One pool at its owner: which queued work starts next, and on which upstream.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use crate::call::{LoadSummary, RefusalReason, Tier};
use crate::config::Config;
use crate::dispatch::choice;
use crate::dispatch::engine::EngineState;
use crate::dispatch::estimate::{OutputEstimate, PoolTiming};
use crate::dispatch::fair::{DEFAULT_LEAD, FairQueue};
use crate::dispatch::floors::floor_share;
use crate::dispatch::health::{EngineHealth, HealthState};
use crate::dispatch::tier::TierState;
use crate::dispatch::work::{StopCause, WorkArena, WorkItem, WorkKey, WorkRun};
use crate::ids::{UpstreamId, WorkspaceId};

/// Options of the dispatch algorithm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchSettings {
    /// Cost by which a workspace may be ahead of its fair share before its deadlines stop counting.
    pub lead: u64,
    /// Whether runs of lower tiers are preempted for urgent work.
    pub preemption: bool,
    /// Whether slow or failing upstreams are ejected.
    pub ejection: bool,
    /// Whether calls that cannot start in time are rejected before their latest start has passed.
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

/// A decision of a pool about a piece of work, to be carried out by the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start it on the upstream that its run specifies.
    Start(WorkKey),
    /// Cancel its run on the upstream.
    Stop(WorkKey),
    /// Reject it: it has left the queue without having run.
    Refuse(WorkKey, Refusal),
}

/// Reason for a rejection, and the time after which the caller should retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason sent to the entry node.
    pub reason: RefusalReason,
    /// Time after which a retry is likely to succeed.
    pub retry_after: Duration,
}

/// The state of one pool at its owner.
#[derive(Debug, Default)]
pub struct PoolState {
    /// Tiers that have, or had, work.
    pub tiers: BTreeMap<Tier, TierState>,
    /// Upstreams that this node owns, and former ones that still run its work.
    pub engines: BTreeMap<UpstreamId, EngineState>,
    /// Expected output lengths, by class and workspace.
    pub outputs: OutputEstimate,
    /// Throughput and latency of the pool's runs.
    pub timing: PoolTiming,
    /// Whether this is a pool of a plain service, whose responses have no tokens.
    pub plain: bool,
    /// Options of the dispatch algorithm.
    pub settings: DispatchSettings,
    pub(super) config: Arc<Config>,
    pub(super) median: Option<f64>,
    pub(super) stall_deadlines: BTreeSet<(Duration, WorkKey)>,
    pub(super) newly_ejected: Vec<UpstreamId>,
}

impl PoolState {
    /// Applies a configuration and the set of upstreams that this node owns, with their slots.
    pub fn configure(
        &mut self,
        now: Duration,
        config: &Arc<Config>,
        plain: bool,
        owned: &BTreeMap<UpstreamId, u32>,
    ) {
        self.update_floors(now);
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

    /// Whether the pool has no queued work, no runs and no upstreams.
    pub fn is_idle(&self) -> bool {
        self.engines.is_empty()
            && self
                .tiers
                .values()
                .all(|tier| tier.running == 0 && tier.queue.is_empty())
    }

    /// Slots that this node may use on all of the pool's upstreams.
    pub fn slots(&self) -> u32 {
        self.engines.values().map(EngineState::capacity).sum()
    }

    /// Slots that this node's runs use, in all tiers.
    pub fn running(&self) -> u32 {
        self.tiers.values().map(|tier| tier.running).sum()
    }

    /// The load summary that is sent to entry nodes.
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

    /// The weight of a workspace; 1 if it is not configured.
    pub fn weight(&self, workspace: WorkspaceId) -> u32 {
        let spec = self.config.workspaces.get(&workspace);
        spec.map_or(1, |spec| spec.weight.max(1))
    }

    /// The state of a tier, created on first use.
    pub fn tier(&mut self, now: Duration, tier: Tier) -> &mut TierState {
        let config = &self.config;
        let lead = self.settings.lead;
        self.tiers.entry(tier).or_insert_with(|| {
            let mut state = TierState {
                queue: FairQueue::with_lead(lead),
                ..TierState::default()
            };
            state.floor.share = floor_share(config, tier);
            state.floor.update_credit(now, 0, 0, false);
            state
        })
    }

    /// Adds work to the queue of its tier.
    pub fn enqueue(&mut self, now: Duration, key: WorkKey, item: &WorkItem) {
        let weight = self.weight(item.work.spec.workspace);
        self.tier(now, item.work.spec.tier)
            .enqueue(key, item, weight);
    }

    /// Removes queued work from the queue of its tier.
    pub fn dequeue(&mut self, key: WorkKey, item: &WorkItem) {
        if let Some(tier) = self.tiers.get_mut(&item.work.spec.tier) {
            tier.dequeue(key, item);
        }
    }

    /// Updates the floor credits for the time that passed. Must be called before any change to the
    /// slots in use.
    pub fn update_floors(&mut self, now: Duration) {
        let slots = self.slots();
        for tier in self.tiers.values_mut() {
            let waiting = !tier.queue.is_empty();
            tier.floor.update_credit(now, slots, tier.running, waiting);
        }
    }

    /// Rejects work that can no longer start in time, starts what fits into the free slots, and
    /// preempts lower tiers for urgent work.
    pub fn fill(&mut self, now: Duration, arena: &mut WorkArena, out: &mut Vec<Decision>) {
        self.update_floors(now);
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

    /// The next lower tier that has, or had, work; the highest one after `None`.
    pub(super) fn tier_after(&self, tier: Option<Tier>) -> Option<Tier> {
        let after = tier.map_or(Bound::Unbounded, Bound::Excluded);
        let mut tiers = self.tiers.range((after, Bound::Unbounded));
        tiers.next().map(|(tier, _)| *tier)
    }

    /// The tier that gets the next free slot: the lower one furthest below its floor that is due
    /// it, else the highest with queued work.
    fn next_tier(&self, slots: u32) -> Option<Tier> {
        let mut waiting = self
            .tiers
            .iter()
            .filter(|(_, state)| !state.queue.is_empty());
        let (highest, _) = waiting.next()?;
        let owed = waiting
            .filter(|(_, state)| state.floor.is_due(slots, state.running))
            .max_by(|(_, a), (_, b)| {
                let a = a.floor.shortfall(slots, a.running);
                let b = b.floor.shortfall(slots, b.running);
                a.total_cmp(&b)
            });
        Some(owed.map_or(*highest, |(tier, _)| *tier))
    }

    fn next(&self, slots: u32, arena: &WorkArena) -> Option<(WorkKey, UpstreamId)> {
        let tier = self.next_tier(slots)?;
        let key = self.tiers[&tier].queue.peek()?;
        let spec = &arena[key].work.spec;
        if let Some(upstream) = choice::choose(&self.engines, self.median, spec) {
            return Some((key, upstream));
        }
        self.next_probe(arena)
    }

    /// An upstream to probe and the work to probe it with: the least urgent that is repeatable, or
    /// any work when no upstream is in service.
    fn next_probe(&self, arena: &WorkArena) -> Option<(WorkKey, UpstreamId)> {
        let (upstream, _) = self.engines.iter().find(|(_, e)| e.needs_probe())?;
        let in_service = self
            .engines
            .values()
            .any(|engine| engine.owned && !engine.leaving && engine.health.in_service());
        let fits = |tier: &Tier, key: WorkKey| {
            !in_service || (tier.0 > 0 && arena[key].work.spec.repeatable)
        };
        self.tiers.iter().rev().find_map(|(tier, state)| {
            let key = state.queue.peek()?;
            fits(tier, key).then_some((key, *upstream))
        })
    }

    fn start(&mut self, now: Duration, key: WorkKey, upstream: UpstreamId, arena: &mut WorkArena) {
        let item = &mut arena[key];
        let prompt = item.work.spec.prompt_tokens + item.work.resume_from;
        let stall_due = self.stall_timeout(prompt).map(|patience| now + patience);
        item.run = Some(WorkRun {
            upstream,
            started: now,
            sent: false,
            tokens: 0,
            last_token: now,
            stall_due,
            stop: None,
        });
        let spec = item.work.spec;
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.set_in_flight(now, engine.in_flight + 1);
            if let HealthState::Probing { running } = &mut engine.health.state {
                *running = true;
            }
        }
        if let Some(due) = stall_due {
            self.stall_deadlines.insert((due, key));
        }
        let tier = self.tier(now, spec.tier);
        tier.running += 1;
        tier.serve(key, item);
        tier.add_victim(key, item);
    }

    /// Marks a run as stopping, so that it is requeued once its slot is free, or dropped if it was
    /// cancelled. Returns whether this is the first request to stop it.
    pub fn stop(&mut self, key: WorkKey, cause: StopCause, arena: &mut WorkArena) -> bool {
        let item = &mut arena[key];
        let Some(tier) = self.tiers.get_mut(&item.work.spec.tier) else {
            return false;
        };
        tier.remove_victim(key, item);
        let Some(run) = &mut item.run else {
            return false;
        };
        let before = run.stop;
        if before != Some(StopCause::Cancelled) {
            run.stop = Some(cause);
        }
        if before.is_none() {
            tier.stopping += 1;
        }
        before.is_none()
    }
}
