//! Stopping runs: preemption of lower tiers for urgent work, and moving work off stalled upstreams.

use std::time::Duration;

use crate::call::Tier;
use crate::dispatch::health::FailureSeverity;
use crate::dispatch::pool::{Decision, PoolState};
use crate::dispatch::work::{StopCause, WorkArena, WorkKey};
use crate::ids::UpstreamId;

/// Most queued calls of a tier that are checked for missing their latest start.
const MAX_AT_RISK: usize = 16;

/// Safety factor on the expected time until a slot becomes free.
const SLOT_WAIT_FACTOR: f64 = 1.5;

/// Seconds from the request to stop a run until its slot is free, while there are no samples.
const DEFAULT_STOP_TIME: f64 = 0.02;

/// Multiple of the expected time to first token after which a run counts as stalled.
const STALL_FACTOR: u32 = 4;

/// Shortest time without a token after which a run counts as stalled.
const MIN_STALL_TIME: Duration = Duration::from_millis(200);

impl PoolState {
    /// Stops runs of lower tiers for queued work that would miss its latest start if it waited for
    /// slots to become free. Tiers are not stopped below their floors, and the runs that are
    /// cheapest to restart are stopped first.
    pub(super) fn preempt(
        &mut self,
        now: Duration,
        arena: &mut WorkArena,
        out: &mut Vec<Decision>,
    ) {
        let mut freeing: u32 = self.tiers.values().map(|tier| tier.stopping).sum();
        let mut next = self.tier_after(None);
        while let Some(tier) = next {
            let needed = self.at_risk(now, tier);
            while freeing < needed {
                let Some(victim) = self.victim_below(tier) else {
                    return;
                };
                self.stop(victim, StopCause::Preempted, arena);
                out.push(Decision::Stop(victim));
                freeing += 1;
            }
            freeing = freeing.saturating_sub(needed);
            next = self.tier_after(Some(tier));
        }
    }

    /// Number of queued calls of the tier that miss their latest start unless slots are freed.
    fn at_risk(&self, now: Duration, tier: Tier) -> u32 {
        let Some(state) = self
            .tiers
            .get(&tier)
            .filter(|state| !state.expiry.is_empty())
        else {
            return 0;
        };
        let hold = self.timing.run_time.get().unwrap_or(1.0);
        let gap = hold / f64::from(self.running().max(1));
        let stop = self.timing.stop_time.get().unwrap_or(DEFAULT_STOP_TIME);
        let wait = |rank: usize| {
            let seconds = rank as f64 * gap * SLOT_WAIT_FACTOR + stop;
            now + Duration::from_secs_f64(seconds.min(3_600.0))
        };
        let longest = wait(MAX_AT_RISK);
        let mut needed = 0;
        for (index, (latest, _)) in state.expiry.iter().take(MAX_AT_RISK).enumerate() {
            if *latest >= longest {
                break;
            }
            if wait(index + 1) > *latest {
                needed = index as u32 + 1;
            }
        }
        needed
    }

    fn victim_below(&self, tier: Tier) -> Option<WorkKey> {
        let slots = self.slots();
        self.tiers
            .range(tier..)
            .rev()
            .take_while(|(lower, _)| **lower > tier)
            .filter(|(_, state)| state.above_floor(slots) > 0)
            .find_map(|(_, state)| state.victims.first().map(|(_, key)| *key))
    }

    /// Time without a first token after which a run counts as stalled; `None` while the usual time
    /// is unknown, and for plain services.
    pub(super) fn stall_timeout(&self, prompt: u32) -> Option<Duration> {
        let expected = self.timing.first_token.estimate(prompt);
        (expected > Duration::ZERO && !self.plain)
            .then(|| (expected * STALL_FACTOR).max(MIN_STALL_TIME))
    }

    /// Records a failure of each upstream with an overdue first token, and moves the affected runs
    /// to other upstreams.
    pub(super) fn check_stalls(
        &mut self,
        now: Duration,
        arena: &mut WorkArena,
        out: &mut Vec<Decision>,
    ) {
        while let Some((due, key)) = self.stall_deadlines.first().copied() {
            if due > now {
                break;
            }
            self.stall_deadlines.pop_first();
            let Some(run) = arena.get(key).and_then(|item| item.run) else {
                continue;
            };
            self.record_failure(now, run.upstream, FailureSeverity::Minor);
            self.move_run(key, arena, out);
        }
        while let Some(upstream) = self.newly_ejected.pop() {
            self.move_runs_off(upstream, arena, out);
        }
    }

    /// Records a failure of an upstream, which may eject it.
    pub(super) fn record_failure(
        &mut self,
        now: Duration,
        upstream: UpstreamId,
        severity: FailureSeverity,
    ) {
        let Some(engine) = self.engines.get_mut(&upstream) else {
            return;
        };
        if !self.settings.ejection {
            return;
        }
        if engine.health.record_failure(now, severity) {
            self.newly_ejected.push(upstream);
        }
    }

    /// Moves runs without a token off an upstream that was ejected.
    fn move_runs_off(
        &mut self,
        upstream: UpstreamId,
        arena: &mut WorkArena,
        out: &mut Vec<Decision>,
    ) {
        let waiting: Vec<WorkKey> = self
            .stall_deadlines
            .iter()
            .map(|(_, key)| *key)
            .filter(|key| {
                let run = arena.get(*key).and_then(|item| item.run);
                run.is_some_and(|run| run.upstream == upstream)
            })
            .collect();
        for key in waiting {
            self.move_run(key, arena, out);
        }
    }

    fn move_run(&mut self, key: WorkKey, arena: &mut WorkArena, out: &mut Vec<Decision>) {
        let item = &arena[key];
        let Some(run) = item.run else {
            return;
        };
        let elsewhere = self.engines.iter().any(|(upstream, engine)| {
            *upstream != run.upstream
                && engine.owned
                && !engine.leaving
                && engine.health.in_service()
        });
        if run.tokens == 0
            && elsewhere
            && item.can_move()
            && self.stop(key, StopCause::Moved, arena)
        {
            out.push(Decision::Stop(key));
        }
    }
}
