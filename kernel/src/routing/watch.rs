//! Looking at open calls again when their time has come.

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

/// Time between two questions when the first found no answer.
const ASK_AGAIN: Duration = Duration::from_secs(2);
/// Questions without an answer after which an owner is given up.
pub(super) const MAX_UNANSWERED: u32 = 3;
/// Longest time between two questions.
const MAX_PATIENCE: Duration = Duration::from_mins(5);
/// Time that an owner has to confirm that it dropped a cancelled call.
const CANCEL_TIME: Duration = Duration::from_secs(5);
/// The most urgent tier, whose calls are moved when they wait long at an owner.
const MOVED_TIER: Tier = Tier(0);
/// Share of the time left at the offer after which such a call is moved.
const MOVE_SHARE: f64 = 0.5;

type Questions = BTreeMap<NodeId, Vec<AttemptId>>;

impl CallRouter {
    /// Looks at each call whose time has come.
    pub(super) fn tick(&mut self, context: &mut Context<'_>) {
        let mut questions = Questions::new();
        while let Some(&(due, call)) = self.wakes.first() {
            if due > context.now {
                break;
            }
            self.wakes.pop_first();
            if self.calls.contains_key(&call) {
                self.look_at(call, &mut questions, context);
            } else {
                self.look_at_relayed(call, context);
            }
        }
        for (owner, attempts) in questions {
            context.send(owner, WorkMessage::Ask(attempts));
        }
        for call in self.memory.forget(context.now) {
            context.act(Action::DiscardAnswer(call));
        }
    }

    /// Sets the next time at which a call without an open try is looked at.
    pub(super) fn wake_at(&mut self, call: CallId, due: Duration) {
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        self.wakes.remove(&(open.wake, call));
        open.wake = due;
        self.wakes.insert((due, call));
    }

    /// Sets the next time at which a call with an open try is looked at.
    pub(super) fn watch(&mut self, call: CallId, now: Duration) {
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
        // Never within the same tick, which would look at it for ever.
        self.wake_at(call, due.max(now + Duration::from_millis(1)));
    }

    fn look_at(&mut self, call: CallId, questions: &mut Questions, context: &mut Context<'_>) {
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
            self.watch(call, context.now);
        } else if self.may_move(open, &attempt, context.now) {
            self.move_on(call, attempt, context);
        } else {
            self.ask(call, questions, context);
        }
    }

    /// Notes a question to the owner of each open try, or gives up one that answers none.
    fn ask(&mut self, call: CallId, questions: &mut Questions, context: &mut Context<'_>) {
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
            questions.entry(attempt.owner).or_default().push(id);
        }
        for attempt in silent {
            self.withdraw(attempt, context);
        }
        self.watch(call, context.now);
    }

    /// Takes in which tries an owner holds.
    pub(super) fn told_held(
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
                found.patience = (found.patience * 2).min(MAX_PATIENCE);
                self.watch(attempt.call, context.now);
            }
        }
        for attempt in missing {
            self.withdraw(*attempt, context);
        }
    }

    /// An urgent call waits long at its owner: tries another that seems to have room.
    fn move_on(&mut self, call: CallId, attempt: OpenAttempt, context: &mut Context<'_>) {
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        // One move a call: from here on it is watched like any other.
        open.tried.push(attempt.owner);
        let (spec, tried) = (open.spec, open.tried.clone());
        let room = self
            .board
            .has_room(&spec, &tried, context.now, context.random);
        if !room || !self.budget.spend(spec.workspace, spec.class) {
            self.watch(call, context.now);
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
            .board
            .choose(&spec, &open.tried, context.now, context.random);
        if let Some(owner) = owner {
            let attempt = send_offer(open, owner, context);
            open.hedge = Some(attempt);
            self.board.offered(spec.pool, owner);
            self.totals.hedges += 1;
        }
        self.watch(call, context.now);
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
        let question = if attempt.unanswered > 0 || withdrawn {
            ASK_AGAIN
        } else {
            attempt.patience
        };
        if !self.movable(open, attempt) {
            return question;
        }
        let moved = (attempt.offered + move_time(open)).saturating_sub(now);
        question.min(moved)
    }
}

fn move_time(open: &OpenCall) -> Duration {
    open.spec.time_left.mul_f64(MOVE_SHARE)
}
