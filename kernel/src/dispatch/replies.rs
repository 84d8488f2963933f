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

    pub(super) fn send_returned(
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
    pub(super) fn return_offer(
        &mut self,
        entry: NodeId,
        work: WorkSpec,
        reason: ReturnReason,
        context: &mut Context<'_>,
    ) {
        self.finished.add(context.now, work.attempt);
        self.send_returned(entry, &work, reason, context);
    }

    pub(super) fn send_ended(
        &mut self,
        item: &WorkItem,
        end: AttemptEnd,
        context: &mut Context<'_>,
    ) {
        let pool = item.work.spec.pool;
        let load = self.load(pool);
        self.notifier
            .record_sent(context.now, pool, item.entry, load);
        let attempt = item.work.attempt;
        context.send(item.entry, WorkMessage::Ended { attempt, end, load });
    }

    /// Returns all queued work of a pool to its entry nodes.
    pub(super) fn return_queued(
        &mut self,
        pool: PoolId,
        reason: ReturnReason,
        context: &mut Context<'_>,
    ) {
        let waiting: Vec<WorkKey> = self
            .arena
            .iter()
            .filter(|(_, item)| item.work.spec.pool == pool && item.run.is_none())
            .map(|(key, _)| key)
            .collect();
        for key in waiting {
            self.dequeue(key);
            let Some(item) = self.drop_work(key, context.now) else {
                continue;
            };
            self.send_dequeued(&item, reason, context);
        }
    }

    /// Replies for work that left the queue. It is reported as not run only if no earlier run of it
    /// can have reached an upstream.
    pub(super) fn send_dequeued(
        &mut self,
        item: &WorkItem,
        reason: ReturnReason,
        context: &mut Context<'_>,
    ) {
        if item.ran || item.forwarded > 0 {
            let tokens = item.forwarded;
            self.send_ended(item, AttemptEnd::Cancelled { tokens }, context);
        } else {
            self.send_returned(item.entry, &item.work, reason, context);
        }
    }

    /// Answers an entry node's query which of its attempts are still queued or running here.
    pub(super) fn answer_query(
        &self,
        from: NodeId,
        attempts: &[AttemptId],
        context: &mut Context<'_>,
    ) {
        let holds = |attempt: &AttemptId| self.attempts.contains_key(attempt);
        let (held, missing) = attempts.iter().copied().partition(holds);
        context.send(from, WorkMessage::Held { held, missing });
    }
}
