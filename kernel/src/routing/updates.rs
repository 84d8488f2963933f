//! Updates about attempts, from owners and from the edge.

use crate::call::{CallOutcome, LoadSummary, RefusalReason};
use crate::event::Action;
use crate::ids::{AttemptId, CallId, NodeId};
use crate::plugin::Context;
use crate::routing::CallRouter;
use crate::routing::attempt::{AttemptStatus, AttemptUpdate, OpenAttempt};
use crate::wire::WorkMessage;

impl CallRouter {
    /// Handles a message from an owner.
    pub(super) fn work_message(
        &mut self,
        from: NodeId,
        message: &WorkMessage,
        context: &mut Context<'_>,
    ) {
        match message {
            WorkMessage::Started(attempt) => {
                self.apply_update(*attempt, AttemptUpdate::Started, context);
            }
            WorkMessage::Returned {
                attempt,
                reason,
                load,
            } => {
                self.record_load(from, attempt.call, *load, context);
                self.apply_update(*attempt, AttemptUpdate::Returned(*reason), context);
            }
            WorkMessage::Ended { attempt, end, load } => {
                self.record_load(from, attempt.call, *load, context);
                self.apply_update(*attempt, AttemptUpdate::Ended(*end), context);
            }
            WorkMessage::Load { pool, load } => self.table.update(*pool, from, *load, context.now),
            WorkMessage::Held { held, missing } => self.update_held(held, missing, context),
            WorkMessage::Offer(_) | WorkMessage::Cancel(_) | WorkMessage::Ask(_) => {}
        }
    }

    fn record_load(
        &mut self,
        from: NodeId,
        call: CallId,
        load: LoadSummary,
        context: &Context<'_>,
    ) {
        if let Some(open) = self.calls.get(&call) {
            self.table.update(open.spec.pool, from, load, context.now);
        }
    }

    /// Handles the report of the edge that it no longer forwards an attempt's tokens.
    pub(super) fn attempt_lost(
        &mut self,
        attempt: AttemptId,
        tokens: u32,
        sent: bool,
        context: &mut Context<'_>,
    ) {
        self.apply_update(attempt, AttemptUpdate::Lost { tokens, sent }, context);
    }

    fn apply_update(
        &mut self,
        attempt: AttemptId,
        update: AttemptUpdate,
        context: &mut Context<'_>,
    ) {
        let call = attempt.call;
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        let hedge = open.hedge.as_ref().map(|hedge| hedge.number);
        if hedge == Some(attempt.number) {
            self.apply_hedge_update(attempt, update, context);
            return;
        }
        let Some(found) = open.find(attempt.number) else {
            self.apply_late_update(attempt, update);
            return;
        };
        let status = found.apply(update);
        let found = *found;
        if status != AttemptStatus::Open {
            open.attempt = None;
            self.table.record_close(open.spec.pool, found.owner);
            self.handle_status(call, &found, status, context);
        } else if update == AttemptUpdate::Started {
            self.drop_hedge(call, context);
            self.schedule_check(call, context.now);
        }
    }

    /// Applies an update to an attempt that was withdrawn: only whether it ran still matters.
    fn apply_late_update(&mut self, attempt: AttemptId, update: AttemptUpdate) {
        let Some(open) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        let Some(index) = open
            .unconfirmed
            .iter()
            .position(|old| *old == attempt.number)
        else {
            return;
        };
        match update {
            AttemptUpdate::Returned(_) => {}
            AttemptUpdate::Started | AttemptUpdate::Ended(_) => open.possibly_run = true,
            AttemptUpdate::Lost { .. } => return,
        }
        open.unconfirmed.swap_remove(index);
    }

    /// Applies an update to a call's hedge. If the hedge starts first, the first attempt is
    /// withdrawn; the hedge replaces it only once the edge has reported that no token of the first
    /// was forwarded.
    fn apply_hedge_update(
        &mut self,
        attempt: AttemptId,
        update: AttemptUpdate,
        context: &mut Context<'_>,
    ) {
        let Some(open) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        let Some(mut hedge) = open.hedge else {
            return;
        };
        let status = hedge.apply(update);
        open.hedge = Some(hedge);
        if status == AttemptStatus::Open {
            if let Some(first) = open.attempt
                && update == AttemptUpdate::Started
            {
                let first = open.attempt_id(first.number);
                self.withdraw(first, context);
            }
            return;
        }
        open.hedge = None;
        open.possibly_run |= !matches!(status, AttemptStatus::NotRun(_));
        self.table.record_close(open.spec.pool, hedge.owner);
    }

    fn handle_status(
        &mut self,
        call: CallId,
        attempt: &OpenAttempt,
        status: AttemptStatus,
        context: &mut Context<'_>,
    ) {
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        match status {
            AttemptStatus::Open => {}
            AttemptStatus::Whole { tokens } => {
                let tokens = open.tokens + tokens;
                self.drop_hedge(call, context);
                self.finish(call, CallOutcome::Whole { tokens }, context);
            }
            AttemptStatus::NotRun(cause) => {
                if open.cancelled {
                    self.drop_hedge(call, context);
                    self.give_up(call, RefusalReason::Cancelled, None, context);
                } else if !self.promote_hedge(call, context) {
                    self.not_run(call, attempt.owner, cause, context);
                }
            }
            AttemptStatus::MayHaveRun { tokens } => {
                if tokens == 0 && attempt.may_be_confirmed() {
                    open.unconfirmed.push(attempt.number);
                } else {
                    open.possibly_run = true;
                }
                open.tokens += tokens;
                self.continue_or_end(call, attempt, tokens, context);
            }
        }
    }

    /// Continues or ends a call whose attempt may have run.
    fn continue_or_end(
        &mut self,
        call: CallId,
        attempt: &OpenAttempt,
        tokens: u32,
        context: &mut Context<'_>,
    ) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        if open.cancelled || !open.spec.repeatable {
            self.drop_hedge(call, context);
            self.finish(call, CallOutcome::Unknown, context);
            return;
        }
        if tokens > 0 {
            // The hedge started without these tokens, so its response does not continue from them.
            self.drop_hedge(call, context);
        }
        if !self.promote_hedge(call, context) {
            self.resume(call, attempt, context);
        }
    }

    /// Makes the hedge the call's only attempt; returns whether there was one.
    fn promote_hedge(&mut self, call: CallId, context: &mut Context<'_>) -> bool {
        let Some(open) = self.calls.get_mut(&call) else {
            return false;
        };
        let Some(hedge) = open.hedge.take() else {
            return false;
        };
        context.act(Action::AcceptAttempt {
            attempt: open.attempt_id(hedge.number),
            resume_from: open.tokens,
        });
        open.attempt = Some(hedge);
        self.schedule_check(call, context.now);
        true
    }

    /// Cancels the hedge of a call. None of its tokens were forwarded.
    fn drop_hedge(&mut self, call: CallId, context: &mut Context<'_>) {
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(hedge) = open.hedge.take() else {
            return;
        };
        open.unconfirmed.push(hedge.number);
        let cancel = WorkMessage::Cancel(open.attempt_id(hedge.number));
        self.table.record_close(open.spec.pool, hedge.owner);
        context.send(hedge.owner, cancel);
    }

    /// Withdraws an attempt: sends a cancellation to its owner and asks the edge how many tokens
    /// were forwarded.
    pub(super) fn withdraw(&mut self, attempt: AttemptId, context: &mut Context<'_>) {
        let Some(open) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        let Some(found) = open.find(attempt.number) else {
            return;
        };
        found.withdraw();
        let owner = found.owner;
        context.send(owner, WorkMessage::Cancel(attempt));
        context.act(Action::WithdrawAttempt(attempt));
        self.schedule_check(attempt.call, context.now);
    }

    /// Withdraws every attempt at a node whose run has ended.
    pub(super) fn withdraw_from_node(&mut self, node: NodeId, context: &mut Context<'_>) {
        let lost: Vec<AttemptId> = self
            .calls
            .values()
            .flat_map(|open| open.attempts().map(move |attempt| (open, attempt)))
            .filter(|(_, attempt)| attempt.owner == node)
            .map(|(open, attempt)| open.attempt_id(attempt.number))
            .collect();
        for attempt in lost {
            self.withdraw(attempt, context);
        }
        self.end_relayed_to(node, context);
    }
}
