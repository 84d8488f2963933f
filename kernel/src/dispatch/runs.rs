//! The life cycle of a run on an upstream, and its statistics: speed, health and output lengths.

use std::time::Duration;

use crate::call::{AttemptEnd, LoadReport};
use crate::dispatch::choice::median_speed;
use crate::dispatch::estimate::{MovingMean, TOKEN_COST, cost_of};
use crate::dispatch::health::{FailureSeverity, HealthState};
use crate::dispatch::pool::PoolState;
use crate::dispatch::work::{MAX_REQUEUES, StopCause, WorkArena, WorkItem, WorkKey, WorkRun};
use crate::ids::UpstreamId;

/// Multiple of the pool's median seconds per token above which a straggler is ejected.
const STRAGGLER_FACTOR: f64 = 3.0;

/// Multiple of the pool's median seconds per token up to which a straggler counts as recovered.
const RECOVERY_FACTOR: f64 = 2.0;

/// Speed samples required before an upstream can be ejected as a straggler.
const MIN_SPEED_SAMPLES: u32 = 8;

/// Speed samples that weigh most.
const SPEED_WINDOW: u32 = 24;

/// Next state of a piece of work whose run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It goes back into the queue.
    Requeued,
    /// It is finished, and the entry node is sent this end.
    Ended(AttemptEnd),
}

impl PoolState {
    /// Records that the run has produced this many tokens; returns whether the health of an
    /// upstream changed, so that [`PoolState::fill`] is needed.
    pub fn progress(
        &mut self,
        now: Duration,
        key: WorkKey,
        tokens: u32,
        arena: &mut WorkArena,
    ) -> bool {
        let item = &mut arena[key];
        let Some(run) = item.run else {
            return false;
        };
        let new_tokens = tokens.saturating_sub(run.tokens);
        if new_tokens == 0 {
            return false;
        }
        if let Some(tier) = self.tiers.get_mut(&item.work.spec.tier) {
            tier.remove_victim(key, item);
        }
        let prompt = item.work.spec.prompt_tokens + item.work.resume_from;
        if run.tokens == 0 {
            self.clear_stall_deadline(key, &run);
            self.timing
                .first_token
                .add(prompt, now.saturating_sub(run.started));
        } else {
            let time = now.saturating_sub(run.last_token).as_secs_f64();
            self.speed_sample(run.upstream, time / f64::from(new_tokens));
        }
        if let Some(engine) = self.engines.get_mut(&run.upstream) {
            engine.health.record_progress();
            if run.tokens == 0 {
                engine.prefixes.add(item.work.spec.prefix);
            }
        }
        item.run = Some(WorkRun {
            tokens,
            last_token: now,
            ..run
        });
        self.charge_excess(item, tokens);
        if run.stop.is_none()
            && let Some(tier) = self.tiers.get_mut(&item.work.spec.tier)
        {
            tier.add_victim(key, item);
        }
        self.evaluate_speed(now, run.upstream)
    }

    /// Charges the workspace for tokens beyond the estimate as they are generated.
    fn charge_excess(&mut self, item: &mut WorkItem, tokens: u32) {
        let spent = cost_of(item.work.spec.prompt_tokens, tokens);
        let Some(excess) = spent.checked_sub(item.cost).filter(|excess| *excess > 0) else {
            return;
        };
        item.cost = spent;
        if let Some(tier) = self.tiers.get_mut(&item.work.spec.tier) {
            tier.queue
                .charge(item.work.spec.workspace, excess.cast_signed());
        }
    }

    fn clear_stall_deadline(&mut self, key: WorkKey, run: &WorkRun) {
        if let Some(due) = run.stall_due {
            self.stall_deadlines.remove(&(due, key));
        }
    }

    fn speed_sample(&mut self, upstream: UpstreamId, seconds: f64) {
        let Some(engine) = self.engines.get_mut(&upstream) else {
            return;
        };
        engine.speed.add(seconds, SPEED_WINDOW);
        let samples = engine.speed.samples();
        if samples <= MIN_SPEED_SAMPLES || samples.is_multiple_of(16) {
            self.median = median_speed(&self.engines);
        }
    }

    /// Ejects an upstream that is a straggler, or puts a recovered one back into service; returns
    /// whether either happened.
    fn evaluate_speed(&mut self, now: Duration, upstream: UpstreamId) -> bool {
        let others = self.in_service_beside(upstream);
        let most_are_fit = others * 2 >= self.engines.len();
        let Some(engine) = self.engines.get_mut(&upstream) else {
            return false;
        };
        let (Some(speed), Some(median)) = (engine.speed.get(), self.median) else {
            return false;
        };
        let probing = matches!(engine.health.state, HealthState::Probing { .. });
        let least = if probing { 2 } else { MIN_SPEED_SAMPLES };
        if engine.speed.samples() < least || !self.settings.ejection {
            return false;
        }
        if speed <= median * RECOVERY_FACTOR && !engine.health.in_service() {
            engine.health.admit(now);
            return true;
        }
        if speed <= median * STRAGGLER_FACTOR || !(probing || most_are_fit) {
            return false;
        }
        let was_in_service = engine.health.eject(now);
        if was_in_service {
            self.newly_ejected.push(upstream);
        }
        was_in_service
    }

    fn in_service_beside(&self, upstream: UpstreamId) -> usize {
        self.engines
            .iter()
            .filter(|(other, engine)| **other != upstream && engine.health.in_service())
            .count()
    }

    /// Ends a run, frees its slot and decides whether its work is requeued.
    pub fn ended(
        &mut self,
        now: Duration,
        key: WorkKey,
        end: AttemptEnd,
        arena: &mut WorkArena,
    ) -> RunEnd {
        self.update_floors(now);
        let item = &mut arena[key];
        let Some(run) = item.run.take() else {
            return RunEnd::Ended(end);
        };
        self.release(now, key, item, &run);
        self.clear_stall_deadline(key, &run);
        self.record_run(now, item, &run, end);
        let ran_before = item.ran;
        item.ran |= run.sent;
        let tokens = tokens_of(end);
        if self.should_requeue(item, &run, end) {
            item.forwarded += tokens;
            item.work.resume_from += tokens;
            item.requeues += 1;
            if item.may_have_run() {
                // The caller waits for the next token, so the work is due now.
                item.deadline = now;
            }
            item.cost = self.remaining_cost(item);
            return RunEnd::Requeued;
        }
        RunEnd::Ended(total_end(item, ran_before, end))
    }

    fn release(&mut self, now: Duration, key: WorkKey, item: &WorkItem, run: &WorkRun) {
        if let Some(tier) = self.tiers.get_mut(&item.work.spec.tier) {
            tier.running -= 1;
            tier.stopping -= u32::from(run.stop.is_some());
            let with_run = WorkItem {
                run: Some(*run),
                ..*item
            };
            tier.remove_victim(key, &with_run);
        }
        if let Some(engine) = self.engines.get_mut(&run.upstream) {
            engine.set_in_flight(now, engine.in_flight.saturating_sub(1));
        }
        self.engines
            .retain(|_, engine| engine.owned || engine.in_flight > 0);
    }

    fn record_run(&mut self, now: Duration, item: &mut WorkItem, run: &WorkRun, end: AttemptEnd) {
        let spec = item.work.spec;
        let time = now.saturating_sub(run.started).as_secs_f64();
        let tokens = tokens_of(end);
        if let AttemptEnd::Complete { .. } = end {
            self.outputs.observe(&spec, item.forwarded + tokens);
            if self.plain {
                self.timing
                    .first_token
                    .add(0, now.saturating_sub(run.started));
                self.speed_sample(run.upstream, time);
                self.evaluate_speed(now, run.upstream);
            }
        }
        let spent = cost_of(spec.prompt_tokens, tokens.max(run.tokens));
        if time > 0.0 && run.sent {
            self.timing.run_time.add(time, 500);
            self.timing.slot_rate.add(spent as f64 / time, 500);
        }
        let charged = item.cost;
        item.cost = spent;
        if let Some(tier) = self.tiers.get_mut(&spec.tier) {
            let correction = spent.cast_signed() - charged.cast_signed();
            tier.queue.charge(spec.workspace, correction);
        }
        self.record_health(now, run, end);
    }

    fn record_health(&mut self, now: Duration, run: &WorkRun, end: AttemptEnd) {
        match end {
            AttemptEnd::Complete { .. } => self.record_success(now, run.upstream),
            AttemptEnd::Refused => self.record_failure(now, run.upstream, FailureSeverity::Minor),
            AttemptEnd::Unsent | AttemptEnd::Broken { .. } => {
                self.record_failure(now, run.upstream, FailureSeverity::Major);
            }
            AttemptEnd::Cancelled { .. } => {
                if let Some(engine) = self.engines.get_mut(&run.upstream)
                    && let HealthState::Probing { running } = &mut engine.health.state
                {
                    *running = false;
                }
            }
        }
    }

    fn record_success(&mut self, now: Duration, upstream: UpstreamId) {
        let Some(engine) = self.engines.get_mut(&upstream) else {
            return;
        };
        engine.health.record_progress();
        let HealthState::Probing { .. } = engine.health.state else {
            return;
        };
        let slow = match (engine.speed.get(), self.median) {
            (Some(speed), Some(median)) => speed > median * RECOVERY_FACTOR,
            _ => false,
        };
        if slow {
            engine.health.eject(now);
        } else {
            engine.health.admit(now);
        }
    }

    fn should_requeue(&self, item: &WorkItem, run: &WorkRun, end: AttemptEnd) -> bool {
        if run.stop == Some(StopCause::Cancelled) || !self.is_owned() {
            return false;
        }
        match end {
            AttemptEnd::Cancelled { .. } => run.stop.is_some() && item.can_move(),
            AttemptEnd::Unsent => !run.sent && item.requeues < MAX_REQUEUES && self.has_service(),
            _ => false,
        }
    }

    fn has_service(&self) -> bool {
        self.engines
            .values()
            .any(|engine| engine.owned && !engine.leaving && engine.health.in_service())
    }

    /// Estimated cost of the rest of a call, after part of it was forwarded.
    fn remaining_cost(&self, item: &WorkItem) -> u64 {
        let spec = &item.work.spec;
        let expected = self.outputs.tokens(spec);
        let left = expected.saturating_sub(item.work.resume_from);
        let left = left.max(expected / 4).max(1);
        cost_of(spec.prompt_tokens, left).max(TOKEN_COST)
    }

    /// Applies an upstream's load report.
    pub fn reported(&mut self, now: Duration, upstream: UpstreamId, report: &LoadReport) {
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.apply_report(now, report);
            engine.health.record_report(now);
        }
    }

    /// Applies a cache event: whether the upstream's cache now contains the prefix.
    pub fn cache_changed(&mut self, upstream: UpstreamId, prefix: u64, held: bool) {
        let Some(engine) = self.engines.get_mut(&upstream) else {
            return;
        };
        if held {
            engine.prefixes.add(prefix);
        } else {
            engine.prefixes.remove(prefix);
        }
    }

    /// Marks an upstream as leaving, so that it is assigned no new work.
    pub fn mark_leaving(&mut self, upstream: UpstreamId) {
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.leaving = true;
        }
    }

    /// Clears the leaving mark, so that the upstream may be assigned work again.
    pub fn clear_leaving(&mut self, upstream: UpstreamId) {
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.leaving = false;
        }
    }

    /// Ejects an upstream that asked for a pause of this length.
    pub fn pause(&mut self, now: Duration, upstream: UpstreamId, pause: Duration) {
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.health.pause(now.saturating_add(pause));
        }
    }

    /// Applies the health transitions that are due by `now`, and expires old load reports.
    pub fn tick(&mut self, now: Duration) {
        for engine in self.engines.values_mut() {
            let before = engine.health.state;
            engine.health.tick(now);
            engine.update_foreign(now);
            let probing = engine.health.state == HealthState::Probing { running: false };
            if probing && before != engine.health.state {
                engine.speed = MovingMean::default();
            }
        }
    }
}

fn tokens_of(end: AttemptEnd) -> u32 {
    match end {
        AttemptEnd::Complete { tokens }
        | AttemptEnd::Broken { tokens }
        | AttemptEnd::Cancelled { tokens } => tokens,
        AttemptEnd::Refused | AttemptEnd::Unsent => 0,
    }
}

/// The end that is sent to the entry node. It includes the tokens of earlier runs of the same
/// attempt, and reports it as not run only if no run of it can have reached an upstream.
fn total_end(item: &WorkItem, ran_before: bool, end: AttemptEnd) -> AttemptEnd {
    let forwarded = item.forwarded;
    match end {
        AttemptEnd::Complete { tokens } => AttemptEnd::Complete {
            tokens: forwarded + tokens,
        },
        AttemptEnd::Broken { tokens } => AttemptEnd::Broken {
            tokens: forwarded + tokens,
        },
        AttemptEnd::Cancelled { tokens } => AttemptEnd::Cancelled {
            tokens: forwarded + tokens,
        },
        AttemptEnd::Unsent if item.ran => AttemptEnd::Broken { tokens: forwarded },
        AttemptEnd::Refused if ran_before => AttemptEnd::Broken { tokens: forwarded },
        AttemptEnd::Refused | AttemptEnd::Unsent => end,
    }
}
