//! Offers of a call to an owner, first or repeated, and the end of a call that no owner accepts.

use std::time::Duration;

use crate::call::{CallOutcome, CallSpec, RefusalReason, ReturnReason, WorkSpec};
use crate::event::Action;
use crate::ids::{CallId, NodeId};
use crate::keys::RequestKey;
use crate::keys::outcomes::CallOrigin;
use crate::plugin::Context;
use crate::routing::CallRouter;
use crate::routing::attempt::{AttemptPhase, NotRunCause, OpenAttempt};
use crate::routing::open::OpenCall;
use crate::routing::retry::backoff;
use crate::wire::WorkMessage;

/// Attempts of one call before it is given up.
const MAX_ATTEMPTS: u32 = 10;
/// Time for which a call waits until its pool has a reachable owner.
const SEARCH_TIME: Duration = Duration::from_secs(5);
/// `retry_after` of a call that did not run, unless a better value is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Shortest and longest time without a message before an owner is first queried about an attempt.
const QUERY_INTERVALS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(30)];

/// Kind of a retry: its delay, and whether the retry budget pays for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryKind {
    /// The owner was the wrong one and did no work: free, and without delay the first time.
    Reroute,
    /// The caller has part of the response, which a retry of its own would lose: free, and without
    /// delay the first time.
    Resume,
    /// Any other retry: paid from the budget and delayed.
    Paid,
}

impl CallRouter {
    /// Admits a call that is within its workspace's limits.
    pub(super) fn admit(
        &mut self,
        spec: CallSpec,
        key: Option<&RequestKey>,
        context: &mut Context<'_>,
    ) {
        if self.calls.contains_key(&spec.call) || self.relayed.contains_key(&spec.call) {
            return;
        }
        if let Some(key) = key
            && !spec.repeatable
        {
            self.admit_keyed(spec, key, CallOrigin::Caller, context);
        } else if self.leaving {
            let outcome = not_run(RefusalReason::Leaving, Some(Duration::ZERO));
            self.send_outcome(spec.call, CallOrigin::Caller, outcome, context);
        } else {
            self.open(spec, CallOrigin::Caller, None, context);
        }
    }

    /// Registers a call and offers it to an owner.
    pub(super) fn open(
        &mut self,
        spec: CallSpec,
        origin: CallOrigin,
        key: Option<u64>,
        context: &mut Context<'_>,
    ) {
        self.budget.earn(spec.workspace, spec.class);
        let open = OpenCall::new(spec, origin, key, context.now);
        self.calls.insert(spec.call, open);
        self.offer(spec.call, context);
    }

    /// Offers a call without an open attempt to the best owner.
    pub(super) fn offer(&mut self, call: CallId, context: &mut Context<'_>) {
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        if open.number >= MAX_ATTEMPTS {
            let reason = open.refusal;
            self.give_up(call, reason, None, context);
            return;
        }
        let offered = open.offer_spec(context.now);
        let mut owner = self
            .table
            .choose(&offered, &open.tried, context.now, context.random);
        if owner.is_none() && !open.tried.is_empty() {
            open.tried.clear();
            owner = self
                .table
                .choose(&offered, &[], context.now, context.random);
        }
        let Some(owner) = owner else {
            self.search(call, context);
            return;
        };
        open.searching = None;
        let attempt = send_offer(open, owner, context);
        open.attempt = Some(attempt);
        self.table.record_offer(offered.pool, owner);
        self.schedule_check(call, context.now);
    }

    /// Delays a call while no owner can be reached, and gives it up after [`SEARCH_TIME`].
    fn search(&mut self, call: CallId, context: &mut Context<'_>) {
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        let since = *open.searching.get_or_insert(context.now);
        let hopeless = !self.table.has_pool(open.spec.pool);
        if hopeless || context.now.saturating_sub(since) >= SEARCH_TIME {
            let reason = if self.config.version == 0 {
                RefusalReason::NoConfiguration
            } else {
                RefusalReason::NoUpstream
            };
            self.give_up(call, reason, None, context);
            return;
        }
        let delay = backoff(4, context.random);
        self.wait(call, delay, context);
    }

    /// Schedules the call after `delay`, or gives it up if it can no longer start in time.
    fn wait(&mut self, call: CallId, delay: Duration, context: &mut Context<'_>) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let due = context.now + delay;
        if due >= open.deadline && !open.may_have_run() {
            self.give_up(call, RefusalReason::Deadline, None, context);
        } else {
            self.check_at(call, due);
        }
    }

    /// Retries or gives up a call whose attempt did not run at all.
    pub(super) fn not_run(
        &mut self,
        call: CallId,
        owner: NodeId,
        cause: NotRunCause,
        context: &mut Context<'_>,
    ) {
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        open.tried.push(owner);
        let (kind, reason, retry_after) = match cause {
            NotRunCause::Returned(ReturnReason::NotOwner) => {
                (RetryKind::Reroute, RefusalReason::NoUpstream, None)
            }
            NotRunCause::Returned(ReturnReason::Leaving) => {
                (RetryKind::Reroute, RefusalReason::Leaving, None)
            }
            // The caller has not left: this node withdrew the call from the owner.
            NotRunCause::Returned(ReturnReason::Refused {
                reason: RefusalReason::Cancelled,
                ..
            }) => (RetryKind::Reroute, RefusalReason::Overloaded, None),
            NotRunCause::Returned(ReturnReason::Refused {
                reason,
                retry_after,
            }) => (RetryKind::Paid, reason, retry_after),
            NotRunCause::UpstreamRefused => (RetryKind::Paid, RefusalReason::UpstreamRefused, None),
            NotRunCause::Unsent => (RetryKind::Paid, RefusalReason::NoUpstream, None),
        };
        open.refusal = reason;
        let refused = matches!(cause, NotRunCause::Returned(ReturnReason::Refused { .. }));
        if refused && kind == RetryKind::Paid && !self.is_worth_retrying(call, reason, context) {
            self.give_up(call, reason, retry_after, context);
        } else {
            self.retry(call, kind, context);
        }
    }

    /// Whether another owner may accept a call that one has rejected.
    fn is_worth_retrying(
        &mut self,
        call: CallId,
        reason: RefusalReason,
        context: &mut Context<'_>,
    ) -> bool {
        let Some(open) = self.calls.get(&call) else {
            return false;
        };
        match reason {
            RefusalReason::Leaving => true,
            RefusalReason::Overloaded
            | RefusalReason::Deadline
            | RefusalReason::NoUpstream
            | RefusalReason::UpstreamRefused => {
                open.possibly_run
                    || self
                        .table
                        .has_capacity(&open.spec, &open.tried, context.now, context.random)
            }
            RefusalReason::Limit
            | RefusalReason::Key
            | RefusalReason::NoConfiguration
            | RefusalReason::Cancelled => false,
        }
    }

    /// Continues a repeatable call at another owner.
    pub(super) fn resume(
        &mut self,
        call: CallId,
        attempt: &OpenAttempt,
        context: &mut Context<'_>,
    ) {
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        open.tried.push(attempt.owner);
        let kind = if open.tokens > 0 {
            RetryKind::Resume
        } else if attempt.may_be_confirmed() {
            RetryKind::Reroute
        } else {
            RetryKind::Paid
        };
        self.retry(call, kind, context);
    }

    fn retry(&mut self, call: CallId, kind: RetryKind, context: &mut Context<'_>) {
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        let (workspace, class) = (open.spec.workspace, open.spec.class);
        if kind == RetryKind::Paid && !self.budget.spend(workspace, class) {
            let reason = open.refusal;
            self.give_up(call, reason, None, context);
            return;
        }
        let retries = open.retries;
        open.retries += 1;
        self.totals.retries += 1;
        if retries == 0 && kind != RetryKind::Paid {
            self.offer(call, context);
            return;
        }
        let delay = backoff(retries, context.random);
        self.wait(call, delay, context);
    }

    /// Ends a call without a response: as `unknown` if it may have run, as `not_run` otherwise.
    pub(super) fn give_up(
        &mut self,
        call: CallId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        context: &mut Context<'_>,
    ) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let outcome = if open.may_have_run() {
            CallOutcome::Unknown
        } else {
            not_run(reason, retry_after)
        };
        self.finish(call, outcome, context);
    }

    /// Cancels a call whose caller left. A call with an idempotency key continues, since its caller
    /// may fetch the response later.
    pub(super) fn cancel(&mut self, call: CallId, context: &mut Context<'_>) {
        self.cancel_relayed(call, context);
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        if open.key.is_some() || open.cancelled {
            return;
        }
        open.cancelled = true;
        for attempt in open.attempts() {
            let cancel = WorkMessage::Cancel(open.attempt_id(attempt.number));
            context.send(attempt.owner, cancel);
        }
        if open.attempts().next().is_none() {
            self.give_up(call, RefusalReason::Cancelled, None, context);
        } else {
            self.schedule_check(call, context.now);
        }
    }
}

/// Sends a call to an owner as its next attempt.
pub(super) fn send_offer(
    open: &mut OpenCall,
    owner: NodeId,
    context: &mut Context<'_>,
) -> OpenAttempt {
    let spec = open.offer_spec(context.now);
    open.number += 1;
    let attempt = open.attempt_id(open.number);
    let resume_from = open.tokens;
    if open.attempt.is_none() {
        context.act(Action::AcceptAttempt {
            attempt,
            resume_from,
        });
    }
    let work = WorkSpec {
        attempt,
        spec,
        resume_from,
    };
    context.send(owner, WorkMessage::Offer(work));
    let [least, most] = QUERY_INTERVALS;
    OpenAttempt {
        number: open.number,
        owner,
        phase: AttemptPhase::Offered,
        offered: context.now,
        unanswered: 0,
        query_interval: spec.time_left.clamp(least, most),
    }
}

/// The outcome of a call that did not run.
pub(super) fn not_run(reason: RefusalReason, retry_after: Option<Duration>) -> CallOutcome {
    let retry_after = match reason {
        RefusalReason::Key | RefusalReason::Cancelled => retry_after,
        _ => retry_after.or(Some(RETRY_AFTER)),
    };
    CallOutcome::NotRun {
        reason,
        retry_after,
    }
}
