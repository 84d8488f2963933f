//! The owner node's plug-in: queues work and dispatches it to the upstreams that the node owns.

pub mod admission;
pub mod arena;
pub mod choice;
pub mod engine;
pub mod estimate;
pub mod fair;
pub mod finished;
pub mod floors;
pub mod health;
pub mod notifier;
pub mod pool;
pub mod preemption;
pub mod replies;
pub mod runs;
pub mod state;
pub mod tier;
pub mod work;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use crate::call::{AttemptEnd, AttemptStart, LoadSummary, RefusalReason, ReturnReason, WorkSpec};
use crate::config::{Config, PoolKind};
use crate::dispatch::estimate::cost_of;
use crate::dispatch::finished::FinishedAttempts;
use crate::dispatch::health::FailureSeverity;
use crate::dispatch::notifier::LoadNotifier;
use crate::dispatch::pool::{Decision, DispatchSettings, PoolState};
use crate::dispatch::runs::RunEnd;
use crate::dispatch::work::{StopCause, WorkArena, WorkItem, WorkKey};
use crate::event::{Action, Event};
use crate::ids::{AttemptId, NodeId, PoolId, UpstreamId};
use crate::ownership::OwnerMap;
use crate::plugin::{Context, GaugeSample, NodeProfile, Plugin, Registration};
use crate::wire::{Message, WorkMessage};

/// The owner's side of dispatch: every piece of work accepted by this node, by pool.
#[derive(Debug, Default)]
pub struct WorkDispatcher {
    config: Arc<Config>,
    owners: Arc<OwnerMap>,
    arena: WorkArena,
    attempts: BTreeMap<AttemptId, WorkKey>,
    finished: FinishedAttempts,
    pools: BTreeMap<PoolId, PoolState>,
    notifier: LoadNotifier,
    leaving: bool,
    leaving_upstreams: BTreeSet<UpstreamId>,
    decisions: Vec<Decision>,
    settings: DispatchSettings,
    counts: state::DispatchCounts,
}

impl WorkDispatcher {
    /// A dispatcher with the given settings instead of the defaults, for benchmarks and tests.
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    fn owned(&self, pool: PoolId, node: NodeId) -> BTreeMap<UpstreamId, u32> {
        self.config
            .members
            .get(&pool)
            .into_iter()
            .flatten()
            .filter(|upstream| self.owners.owners.get(upstream) == Some(&node))
            .map(|upstream| (*upstream, self.config.upstreams[upstream].spec.slots))
            .collect()
    }

    fn reconfigure(&mut self, context: &mut Context<'_>) {
        let node = context.profile.node;
        let configured = &self.config.upstreams;
        self.leaving_upstreams
            .retain(|upstream| configured.contains_key(upstream));
        for (pool, spec) in self.config.pools.iter() {
            let owned = self.owned(*pool, node);
            if owned.is_empty() && !self.pools.contains_key(pool) {
                continue;
            }
            let plain = spec.kind == PoolKind::Service;
            let state = self.pools.entry(*pool).or_default();
            state.settings = self.settings;
            state.configure(context.now, &self.config, plain, &owned);
            for upstream in self
                .leaving_upstreams
                .iter()
                .filter(|id| owned.contains_key(id))
            {
                state.mark_leaving(*upstream);
            }
        }
        let removed: Vec<PoolId> = self
            .pools
            .keys()
            .filter(|pool| !self.config.pools.contains_key(pool))
            .copied()
            .collect();
        for pool in removed {
            if let Some(state) = self.pools.get_mut(&pool) {
                state.configure(context.now, &self.config, false, &BTreeMap::new());
            }
        }
        let lost: Vec<PoolId> = self
            .pools
            .iter()
            .filter(|(_, state)| !state.is_owned())
            .map(|(pool, _)| *pool)
            .collect();
        for pool in lost {
            self.return_queued(pool, ReturnReason::NotOwner, context);
        }
        self.pools.retain(|_, state| !state.is_idle());
        self.fill_all(context);
    }

    fn offer(&mut self, entry: NodeId, work: WorkSpec, context: &mut Context<'_>) {
        let attempt = work.attempt;
        if self.attempts.contains_key(&attempt) || self.finished.contains(attempt) {
            return;
        }
        let pool = work.spec.pool;
        let Some(state) = self.pools.get_mut(&pool).filter(|state| state.is_owned()) else {
            self.return_offer(entry, work, ReturnReason::NotOwner, context);
            return;
        };
        if self.leaving {
            self.return_offer(entry, work, ReturnReason::Leaving, context);
            return;
        }
        self.notifier.record_offer(context.now, pool, entry);
        let deadline = context.now + work.spec.time_left;
        let prompt = work.spec.prompt_tokens + work.resume_from;
        let expected = state.outputs.tokens(&work.spec);
        let first_token = state.timing.first_token.estimate_high(prompt);
        let item = WorkItem {
            work,
            entry,
            deadline,
            latest_start: deadline.saturating_sub(first_token),
            cost: cost_of(work.spec.prompt_tokens, expected),
            forwarded: 0,
            requeues: 0,
            ran: false,
            run: None,
        };
        let key = self.arena.insert(item);
        self.attempts.insert(attempt, key);
        state.offer(context.now, key, &self.arena, &mut self.decisions);
        self.fill(pool, context);
    }

    fn fill(&mut self, pool: PoolId, context: &mut Context<'_>) {
        let Some(state) = self.pools.get_mut(&pool) else {
            return;
        };
        state.fill(context.now, &mut self.arena, &mut self.decisions);
        let mut decisions = std::mem::take(&mut self.decisions);
        for decision in decisions.drain(..) {
            self.execute(decision, context);
        }
        self.decisions = decisions;
    }

    fn fill_all(&mut self, context: &mut Context<'_>) {
        let pools: Vec<PoolId> = self.pools.keys().copied().collect();
        for pool in pools {
            self.fill(pool, context);
        }
    }

    fn execute(&mut self, decision: Decision, context: &mut Context<'_>) {
        match decision {
            Decision::Start(key) => {
                let item = &self.arena[key];
                let Some(run) = item.run else {
                    return;
                };
                self.counts.started += 1;
                context.act(Action::StartAttempt(AttemptStart {
                    work: item.work,
                    upstream: run.upstream,
                }));
            }
            Decision::Stop(key) => {
                let item = &self.arena[key];
                match item.run.and_then(|run| run.stop) {
                    Some(StopCause::Preempted) => self.counts.preempted += 1,
                    Some(StopCause::Moved) => self.counts.moved += 1,
                    _ => {}
                }
                context.act(Action::CancelAttempt(item.work.attempt));
            }
            Decision::Refuse(key, refusal) => {
                let Some(item) = self.drop_work(key, context.now) else {
                    return;
                };
                match refusal.reason {
                    RefusalReason::Deadline => self.counts.refused_deadline += 1,
                    _ => self.counts.refused_overloaded += 1,
                }
                let reason = ReturnReason::Refused {
                    reason: refusal.reason,
                    retry_after: Some(refusal.retry_after),
                };
                self.send_returned(item.entry, &item.work, reason, context);
            }
        }
    }

    /// Removes a piece of work and records its attempt as finished.
    fn drop_work(&mut self, key: WorkKey, now: Duration) -> Option<WorkItem> {
        let item = self.arena.remove(key)?;
        self.attempts.remove(&item.work.attempt);
        self.finished.add(now, item.work.attempt);
        Some(item)
    }

    fn dequeue(&mut self, key: WorkKey) {
        let item = &self.arena[key];
        if let Some(state) = self.pools.get_mut(&item.work.spec.pool) {
            state.dequeue(key, item);
        }
    }

    fn sent(&mut self, attempt: AttemptId, context: &mut Context<'_>) {
        let Some(key) = self.attempts.get(&attempt) else {
            return;
        };
        let item = &mut self.arena[*key];
        let Some(run) = &mut item.run else {
            return;
        };
        let first = !run.sent && !item.ran;
        run.sent = true;
        if first {
            let entry = item.entry;
            context.send(entry, WorkMessage::Started(attempt));
        }
    }

    fn progress(&mut self, attempt: AttemptId, tokens: u32, context: &mut Context<'_>) {
        let Some(key) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let pool = self.arena[key].work.spec.pool;
        let Some(state) = self.pools.get_mut(&pool) else {
            return;
        };
        if state.progress(context.now, key, tokens, &mut self.arena) {
            self.fill(pool, context);
        }
    }

    fn ended(&mut self, attempt: AttemptId, end: AttemptEnd, context: &mut Context<'_>) {
        let Some(key) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let pool = self.arena[key].work.spec.pool;
        let Some(state) = self.pools.get_mut(&pool) else {
            return;
        };
        if self.arena[key].run.is_none() {
            return;
        }
        let outcome = state.ended(context.now, key, end, &mut self.arena);
        match outcome {
            RunEnd::Requeued if !self.leaving => {
                state.enqueue(context.now, key, &self.arena[key]);
            }
            RunEnd::Requeued => {
                if let Some(item) = self.drop_work(key, context.now) {
                    let tokens = item.forwarded;
                    self.send_ended(&item, AttemptEnd::Cancelled { tokens }, context);
                }
            }
            RunEnd::Ended(end) => {
                if let Some(item) = self.drop_work(key, context.now) {
                    self.send_ended(&item, end, context);
                }
            }
        }
        self.fill(pool, context);
        self.pools.retain(|_, state| !state.is_idle());
    }

    fn cancel(&mut self, attempt: AttemptId, context: &mut Context<'_>) {
        let Some(key) = self.attempts.get(&attempt).copied() else {
            self.finished.add(context.now, attempt);
            return;
        };
        let item = self.arena[key];
        self.abandon(key, context);
        if item.run.is_none() {
            let reason = ReturnReason::Refused {
                reason: RefusalReason::Cancelled,
                retry_after: None,
            };
            self.send_dequeued(&item, reason, context);
        }
    }

    /// Removes queued work, or requests cancellation of its run.
    fn abandon(&mut self, key: WorkKey, context: &mut Context<'_>) {
        let item = &self.arena[key];
        let attempt = item.work.attempt;
        if item.run.is_none() {
            self.dequeue(key);
            self.drop_work(key, context.now);
            return;
        }
        if let Some(state) = self.pools.get_mut(&item.work.spec.pool)
            && state.stop(key, StopCause::Cancelled, &mut self.arena)
        {
            context.act(Action::CancelAttempt(attempt));
        }
    }

    fn link_down(&mut self, node: NodeId, context: &mut Context<'_>) {
        self.notifier.remove_node(node);
        let orphans: Vec<WorkKey> = self
            .arena
            .iter()
            .filter(|(_, item)| item.entry == node && node != context.profile.node)
            .filter(|(_, item)| item.run.is_none() || item.work.spec.repeatable)
            .map(|(key, _)| key)
            .collect();
        for key in orphans {
            self.abandon(key, context);
        }
    }

    fn leave(&mut self, context: &mut Context<'_>) {
        self.leaving = true;
        let pools: Vec<PoolId> = self.pools.keys().copied().collect();
        for pool in pools {
            self.return_queued(pool, ReturnReason::Leaving, context);
        }
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        self.finished.expire(context.now);
        for state in self.pools.values_mut() {
            state.tick(context.now);
        }
        self.fill_all(context);
        let loads: BTreeMap<PoolId, LoadSummary> = self
            .pools
            .iter()
            .map(|(pool, state)| (*pool, state.summary()))
            .collect();
        for (pool, node, load) in self.notifier.due(context.now, &loads) {
            context.send(node, WorkMessage::Load { pool, load });
        }
    }

    fn upstream_returned(&mut self, upstream: UpstreamId, context: &mut Context<'_>) {
        self.leaving_upstreams.remove(&upstream);
        let Some(pool) = self.pool_of(upstream) else {
            return;
        };
        if let Some(state) = self.pools.get_mut(&pool) {
            state.clear_leaving(upstream);
            self.fill(pool, context);
        }
    }

    fn pool_of(&self, upstream: UpstreamId) -> Option<PoolId> {
        self.config.upstreams.get(&upstream).map(|found| found.pool)
    }

    fn on_upstream(&mut self, event: &Event, upstream: UpstreamId, context: &mut Context<'_>) {
        if let Event::UpstreamLeaving(_) = event {
            self.leaving_upstreams.insert(upstream);
        }
        let Some(pool) = self.pool_of(upstream) else {
            return;
        };
        let Some(state) = self.pools.get_mut(&pool) else {
            return;
        };
        match event {
            Event::UpstreamReported { report, .. } => {
                state.reported(context.now, upstream, report);
            }
            Event::UpstreamUnreachable(_) => {
                state.record_failure(context.now, upstream, FailureSeverity::Major);
            }
            Event::CacheChanged { prefix, held, .. } => {
                state.cache_changed(upstream, *prefix, *held);
                return;
            }
            Event::UpstreamLeaving(_) => state.mark_leaving(upstream),
            Event::UpstreamPaused { pause, .. } => state.pause(context.now, upstream, *pause),
            _ => {}
        }
        self.fill(pool, context);
    }
}

impl Plugin for WorkDispatcher {
    fn handle(&mut self, event: &Event, context: &mut Context<'_>) {
        match event {
            Event::ConfigApplied(config) => {
                self.config = Arc::clone(config);
                self.reconfigure(context);
            }
            Event::OwnersChanged(owners) => {
                self.owners = Arc::clone(owners);
                self.reconfigure(context);
            }
            Event::PeerMessage {
                from,
                message: Message::Work(WorkMessage::Offer(work)),
            } => self.offer(*from, *work, context),
            Event::PeerMessage {
                message: Message::Work(WorkMessage::Cancel(attempt)),
                ..
            } => self.cancel(*attempt, context),
            Event::PeerMessage {
                from,
                message: Message::Work(WorkMessage::Ask(attempts)),
            } => self.answer_query(*from, attempts, context),
            Event::AttemptSent(attempt) => self.sent(*attempt, context),
            Event::AttemptProgress { attempt, tokens } => {
                self.progress(*attempt, *tokens, context);
            }
            Event::AttemptEnded { attempt, end } => self.ended(*attempt, *end, context),
            Event::UpstreamReported { upstream, .. }
            | Event::UpstreamPaused { upstream, .. }
            | Event::CacheChanged { upstream, .. }
            | Event::UpstreamUnreachable(upstream)
            | Event::UpstreamLeaving(upstream) => self.on_upstream(event, *upstream, context),
            Event::UpstreamReturned(upstream) => self.upstream_returned(*upstream, context),
            Event::LinkDown(node) => self.link_down(*node, context),
            Event::NodeLeaving => self.leave(context),
            Event::Tick => self.tick(context),
            _ => {}
        }
    }

    fn open_work(&self) -> usize {
        self.attempts.len()
    }

    fn dump(&self) -> Value {
        self.state()
    }

    fn gauges(&self) -> Vec<GaugeSample> {
        self.samples()
    }
}

fn build(_profile: &NodeProfile) -> Box<dyn Plugin> {
    Box::<WorkDispatcher>::default()
}

inventory::submit! {
    Registration { name: "dispatch", order: 70, build }
}
