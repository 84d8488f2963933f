//! Replies to entry nodes about their work: returned, ended, or still queued or running here.

use crate::call::{AttemptEnd, LoadSummary, ReturnReason, WorkSpec};
use crate::dispatch::WorkDispatcher;
use crate::dispatch::pool::PoolState;
use crate::dispatch::work::{WorkItem, WorkKey};
use crate::ids::{AttemptId, NodeId, PoolId};
use crate::plugin::Context;
use crate::wire::WorkMessage;

impl WorkDispatcher {
    pub(super) fn load(&self, pool: PoolId) -> LoadSummary {
        self.pools
            .get(&pool)
            .map(PoolState::summary)
            .unwrap_or_default()
    }

    pub(super) fn answer_returned(
        &mut self,
        entry: NodeId,
        work: &WorkSpec,
        reason: ReturnReason,
        context: &mut Context<'_>,
    ) {
        let pool = work.spec.pool;
        let load = self.load(pool);
        self.notifier.record_sent(context.now, pool, entry, load);
        let attempt = work.attempt;
        context.send(
            entry,
            WorkMessage::Returned {
                attempt,
                reason,
                load,
            },
        );
    }

    /// Returns an offer that was not accepted.
    pub(super) fn give_back(
        &mut self,
        entry: NodeId,
        work: WorkSpec,
        reason: ReturnReason,
        context: &mut Context<'_>,
    ) {
        self.finished.add(context.now, work.attempt);
        self.answer_returned(entry, &work, reason, context);
    }

    pub(super) fn answer_ended(
        &mut self,
        held: &WorkItem,
        end: AttemptEnd,
        context: &mut Context<'_>,
    ) {
        let pool = held.work.spec.pool;
        let load = self.load(pool);
        self.notifier
            .record_sent(context.now, pool, held.entry, load);
        let attempt = held.work.attempt;
        context.send(held.entry, WorkMessage::Ended { attempt, end, load });
    }

    /// Returns all queued work of a pool to its entry nodes.
    pub(super) fn hand_back(
        &mut self,
        pool: PoolId,
        reason: ReturnReason,
        context: &mut Context<'_>,
    ) {
        let waiting: Vec<WorkKey> = self
            .arena
            .iter()
            .filter(|(_, held)| held.work.spec.pool == pool && held.run.is_none())
            .map(|(key, _)| key)
            .collect();
        for key in waiting {
            self.withdraw(key);
            let Some(held) = self.drop_work(key, context.now) else {
                continue;
            };
            self.answer_waiting(&held, reason, context);
        }
    }

    /// Replies for work that left the queue. It is reported as not run only if no earlier run of it
    /// can have reached an upstream.
    pub(super) fn answer_waiting(
        &mut self,
        held: &WorkItem,
        reason: ReturnReason,
        context: &mut Context<'_>,
    ) {
        if held.ran || held.forwarded > 0 {
            let tokens = held.forwarded;
            self.answer_ended(held, AttemptEnd::Cancelled { tokens }, context);
        } else {
            self.answer_returned(held.entry, &held.work, reason, context);
        }
    }

    /// Answers an entry node's query which of its attempts are still queued or running here.
    pub(super) fn asked(&self, from: NodeId, attempts: &[AttemptId], context: &mut Context<'_>) {
        let holds = |attempt: &AttemptId| self.attempts.contains_key(attempt);
        let (held, missing) = attempts.iter().copied().partition(holds);
        context.send(from, WorkMessage::Held { held, missing });
    }
}
