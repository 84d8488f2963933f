//! Periodic checks of open calls: queries to owners, moving and hedging of waiting calls.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::call::{CallOutcome, Tier};
use crate::event::Action;
use crate::ids::{AttemptId, CallId, NodeId};
use crate::plugin::Context;
use crate::routing::attempt::{AttemptPhase, OpenAttempt};
use crate::routing::offers::send_offer;
use crate::routing::open::OpenCall;
use crate::routing::{CallRouter, WaitPolicy};
use crate::wire::WorkMessage;

/// Time between queries while the owner does not reply.
const QUERY_RETRY: Duration = Duration::from_secs(2);
/// Unanswered queries after which an attempt is withdrawn or a relayed call is given up.
pub(super) const MAX_UNANSWERED: u32 = 3;
/// Longest time between two queries.
const MAX_QUERY_INTERVAL: Duration = Duration::from_mins(5);
/// Time for an owner to confirm that it dropped a cancelled call.
const CANCEL_TIME: Duration = Duration::from_secs(5);
/// The most urgent tier, whose calls are moved when they wait long at an owner.
const MOVED_TIER: Tier = Tier(0);
/// Fraction of the time that such a call had left when it was admitted after which it is moved,
/// counted from the offer.
const MOVE_SHARE: f64 = 0.5;

type QueryBatch = BTreeMap<NodeId, Vec<AttemptId>>;

impl CallRouter {
    /// Checks each call that is due.
    pub(super) fn tick(&mut self, context: &mut Context<'_>) {
        let mut queries = QueryBatch::new();
        while let Some(&(due, call)) = self.checks.first() {
            if due > context.now {
                break;
            }
            self.checks.pop_first();
            if self.calls.contains_key(&call) {
                self.check_call(call, &mut queries, context);
            } else {
                self.check_relayed(call, context);
            }
        }
        for (owner, attempts) in queries {
            context.send(owner, WorkMessage::Ask(attempts));
        }
        for call in self.outcomes.expire(context.now) {
            context.act(Action::DiscardAnswer(call));
        }
    }

    /// Schedules the next check of a call without an open attempt.
    pub(super) fn check_at(&mut self, call: CallId, due: Duration) {
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        self.checks.remove(&(open.next_check, call));
        open.next_check = due;
        self.checks.insert((due, call));
    }

    /// Schedules the next check of a call with an open attempt.
    pub(super) fn schedule_check(&mut self, call: CallId, now: Duration) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let due = if open.cancelled {
            now + CANCEL_TIME
        } else {
            open.attempts()
                .map(|attempt| now + self.wait_time(open, attempt, now))
                .min()
                .unwrap_or(now)
        };
        // A check within the same tick would repeat without end.
        self.check_at(call, due.max(now + Duration::from_millis(1)));
    }

    fn check_call(&mut self, call: CallId, queries: &mut QueryBatch, context: &mut Context<'_>) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let Some(attempt) = open.attempt else {
            self.offer(call, context);
            return;
        };
        if open.cancelled {
            self.finish(call, CallOutcome::Unknown, context);
            return;
        }
        let attempt_id = open.attempt_id(attempt.number);
        if matches!(attempt.phase, AttemptPhase::Withdrawn { .. }) {
            context.act(Action::WithdrawAttempt(attempt_id));
            self.schedule_check(call, context.now);
        } else if self.may_move(open, &attempt, context.now) {
            self.move_or_hedge(call, attempt, context);
        } else {
            self.query_owners(call, queries, context);
        }
    }

    /// Adds a query to the owner of each open attempt, or withdraws one whose owner does not reply.
    fn query_owners(&mut self, call: CallId, queries: &mut QueryBatch, context: &mut Context<'_>) {
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        let mut silent = Vec::new();
        for attempt in open.attempt.iter_mut().chain(&mut open.hedge) {
            let id = AttemptId {
                call,
                number: attempt.number,
            };
            if attempt.unanswered >= MAX_UNANSWERED {
                silent.push(id);
                continue;
            }
            attempt.unanswered += 1;
            queries.entry(attempt.owner).or_default().push(id);
        }
        for attempt in silent {
            self.withdraw(attempt, context);
        }
        self.schedule_check(call, context.now);
    }

    /// Applies an owner's reply to a query. Attempts that the owner does not have are withdrawn.
    pub(super) fn update_held(
        &mut self,
        held: &[AttemptId],
        missing: &[AttemptId],
        context: &mut Context<'_>,
    ) {
        for attempt in held {
            let Some(open) = self.calls.get_mut(&attempt.call) else {
                continue;
            };
            if let Some(found) = open.find(attempt.number) {
                found.unanswered = 0;
                found.query_interval = (found.query_interval * 2).min(MAX_QUERY_INTERVAL);
                self.schedule_check(attempt.call, context.now);
            }
        }
        for attempt in missing {
            self.withdraw(*attempt, context);
        }
    }

    /// Moves or hedges an urgent call that waits long at its owner, if another owner has capacity.
    fn move_or_hedge(&mut self, call: CallId, attempt: OpenAttempt, context: &mut Context<'_>) {
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        // A call is moved once; after that it is checked like any other.
        open.tried.push(attempt.owner);
        let (spec, tried) = (open.spec, open.tried.clone());
        let room = self
            .table
            .has_capacity(&spec, &tried, context.now, context.random);
        if !room || !self.budget.spend(spec.workspace, spec.class) {
            self.schedule_check(call, context.now);
        } else if self.waiting == WaitPolicy::Hedge {
            self.hedge(call, context);
        } else {
            let attempt = AttemptId {
                call,
                number: attempt.number,
            };
            self.withdraw(attempt, context);
        }
    }

    fn hedge(&mut self, call: CallId, context: &mut Context<'_>) {
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        let spec = open.offer_spec(context.now);
        let owner = self
            .table
            .choose(&spec, &open.tried, context.now, context.random);
        if let Some(owner) = owner {
            let attempt = send_offer(open, owner, context);
            open.hedge = Some(attempt);
            self.table.record_offer(spec.pool, owner);
            self.totals.hedges += 1;
        }
        self.schedule_check(call, context.now);
    }

    fn may_move(&self, open: &OpenCall, attempt: &OpenAttempt, now: Duration) -> bool {
        self.movable(open, attempt) && now >= attempt.offered + move_time(open)
    }

    fn movable(&self, open: &OpenCall, attempt: &OpenAttempt) -> bool {
        self.waiting != WaitPolicy::Stay
            && attempt.phase == AttemptPhase::Offered
            && open.spec.tier == MOVED_TIER
            && open.spec.repeatable
            && open.hedge.is_none()
            && !open.tried.contains(&attempt.owner)
    }

    fn wait_time(&self, open: &OpenCall, attempt: &OpenAttempt, now: Duration) -> Duration {
        let withdrawn = matches!(attempt.phase, AttemptPhase::Withdrawn { .. });
        let query = if attempt.unanswered > 0 || withdrawn {
            QUERY_RETRY
        } else {
            attempt.query_interval
        };
        if !self.movable(open, attempt) {
            return query;
        }
        let moved = (attempt.offered + move_time(open)).saturating_sub(now);
        query.min(moved)
    }
}

fn move_time(open: &OpenCall) -> Duration {
    open.spec.time_left.mul_f64(MOVE_SHARE)
}
