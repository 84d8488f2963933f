//! Stopping runs: lower tiers make room for urgent work, and work leaves stalled upstreams.

use std::time::Duration;

use crate::call::Tier;
use crate::dispatch::health::HealthSign;
use crate::dispatch::held::{StopCause, WorkArena, WorkKey};
use crate::dispatch::pool::{Decision, PoolState};
use crate::ids::UpstreamId;

/// Waiting calls of a tier that are looked at for the danger of being late.
const MOST_AT_RISK: usize = 16;

/// Margin on the expected time until a slot is free.
const MARGIN: f64 = 1.5;

/// Time from asking a run to stop until its slot is free, while none was seen.
const STOP_GUESS: f64 = 0.02;

/// Times the expected time to the first token after which a run counts as stalled.
const STALL_FACTOR: u32 = 4;

/// Least time without a token after which a run counts as stalled.
const STALL_LEAST: Duration = Duration::from_millis(200);

impl PoolState {
    /// Stops runs of lower tiers, never below their floors and the cheapest loss first, for waiting
    /// work that would be late if it waited for slots to become free by themselves.
    pub(super) fn preempt(
        &mut self,
        now: Duration,
        arena: &mut WorkArena,
        out: &mut Vec<Decision>,
    ) {
        let mut coming: u32 = self.tiers.values().map(|tier| tier.stopping).sum();
        let mut next = self.tier_after(None);
        while let Some(tier) = next {
            let needed = self.at_risk(now, tier);
            while coming < needed {
                let Some(victim) = self.victim_below(tier) else {
                    return;
                };
                self.stop(victim, StopCause::Preempted, arena);
                out.push(Decision::Stop(victim));
                coming += 1;
            }
            coming = coming.saturating_sub(needed);
            next = self.tier_after(Some(tier));
        }
    }

    /// Waiting calls of the tier that are late unless a slot is made free for them.
    fn at_risk(&self, now: Duration, tier: Tier) -> u32 {
        let Some(state) = self
            .tiers
            .get(&tier)
            .filter(|state| !state.expiry.is_empty())
        else {
            return 0;
        };
        let hold = self.pace.hold.get().unwrap_or(1.0);
        let gap = hold / f64::from(self.running().max(1));
        let stop = self.pace.stop.get().unwrap_or(STOP_GUESS);
        let wait = |rank: usize| {
            let seconds = rank as f64 * gap * MARGIN + stop;
            now + Duration::from_secs_f64(seconds.min(3_600.0))
        };
        let longest = wait(MOST_AT_RISK);
        let mut needed = 0;
        for (index, (latest, _)) in state.expiry.iter().take(MOST_AT_RISK).enumerate() {
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

    /// How long a run may go without its first token before it counts as stalled; none while the
    /// usual time is not known.
    pub(super) fn patience(&self, prompt: u32) -> Option<Duration> {
        let expected = self.pace.first_token.expect(prompt);
        (expected > Duration::ZERO && !self.plain)
            .then(|| (expected * STALL_FACTOR).max(STALL_LEAST))
    }

    /// Strikes upstreams that let first tokens wait, and moves the runs that wait on them.
    pub(super) fn check_stalls(
        &mut self,
        now: Duration,
        arena: &mut WorkArena,
        out: &mut Vec<Decision>,
    ) {
        while let Some((due, key)) = self.quiet.first().copied() {
            if due > now {
                break;
            }
            self.quiet.pop_first();
            let Some(run) = arena.get(key).and_then(|held| held.run) else {
                continue;
            };
            self.strike(now, run.upstream, HealthSign::Slight);
            self.move_run(key, arena, out);
        }
        while let Some(upstream) = self.ejected.pop() {
            self.evacuate(upstream, arena, out);
        }
    }

    /// Something went wrong on an upstream.
    pub(super) fn strike(&mut self, now: Duration, upstream: UpstreamId, sign: HealthSign) {
        let Some(engine) = self.engines.get_mut(&upstream) else {
            return;
        };
        if !self.settings.ejection {
            return;
        }
        if engine.health.strike(now, sign) {
            self.ejected.push(upstream);
        }
    }

    /// Moves runs that have no token yet away from an upstream that was taken out of service.
    fn evacuate(&mut self, upstream: UpstreamId, arena: &mut WorkArena, out: &mut Vec<Decision>) {
        let waiting: Vec<WorkKey> = self
            .quiet
            .iter()
            .map(|(_, key)| *key)
            .filter(|key| {
                let run = arena.get(*key).and_then(|held| held.run);
                run.is_some_and(|run| run.upstream == upstream)
            })
            .collect();
        for key in waiting {
            self.move_run(key, arena, out);
        }
    }

    fn move_run(&mut self, key: WorkKey, arena: &mut WorkArena, out: &mut Vec<Decision>) {
        let held = &arena[key];
        let Some(run) = held.run else {
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
            && held.can_move()
            && self.stop(key, StopCause::Moved, arena)
        {
            out.push(Decision::Stop(key));
        }
    }
}
