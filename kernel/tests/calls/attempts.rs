//! What each update means for an attempt, and when a call is retried.

use std::time::Duration;

use monsoonbank_kernel::call::{AttemptEnd, CallOutcome, LoadSummary, RefusalReason, ReturnReason};
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::{AttemptId, ClassId, WorkspaceId};
use monsoonbank_kernel::routing::attempt::{
    AttemptPhase, AttemptStatus, AttemptUpdate, NotRunCause, OpenAttempt,
};
use monsoonbank_kernel::routing::retry::{RETRY_BURST, RetryBudget, backoff};
use monsoonbank_kernel::wire::WorkMessage;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::fleet::{Fleet, node_id};

const WITHDRAWN: AttemptPhase = AttemptPhase::Withdrawn { started: false };
const NOT_OWNER: AttemptUpdate = AttemptUpdate::Returned(ReturnReason::NotOwner);
const RETURNED: AttemptStatus =
    AttemptStatus::NotRun(NotRunCause::Returned(ReturnReason::NotOwner));
const UNSENT: AttemptStatus = AttemptStatus::NotRun(NotRunCause::Unsent);
const LOST: AttemptUpdate = AttemptUpdate::Lost {
    tokens: 2,
    sent: true,
};
const MAY_HAVE_RUN: AttemptStatus = AttemptStatus::MayHaveRun { tokens: 2 };

macro_rules! statuses {
    ($($name:ident: $phase:expr, $update:expr => $status:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut attempt = OpenAttempt {
                    number: 1,
                    owner: node_id(0),
                    phase: $phase,
                    offered: Duration::ZERO,
                    unanswered: 0,
                    query_interval: Duration::ZERO,
                };
                assert_eq!(attempt.apply($update), $status);
            }
        )*
    };
}

statuses! {
    offered_starts: AttemptPhase::Offered, AttemptUpdate::Started => AttemptStatus::Open;
    offered_is_returned: AttemptPhase::Offered, NOT_OWNER => RETURNED;
    offered_is_lost: AttemptPhase::Offered, LOST => MAY_HAVE_RUN;
    offered_never_left: AttemptPhase::Offered, AttemptUpdate::Lost { tokens: 0, sent: false } => UNSENT;
    started_is_lost: AttemptPhase::Started, LOST => MAY_HAVE_RUN;
    started_completes: AttemptPhase::Started,
        AttemptUpdate::Ended(AttemptEnd::Complete { tokens: 3 }) => AttemptStatus::Whole { tokens: 3 };
    started_breaks: AttemptPhase::Started,
        AttemptUpdate::Ended(AttemptEnd::Broken { tokens: 2 }) => MAY_HAVE_RUN;
    started_is_cancelled: AttemptPhase::Started,
        AttemptUpdate::Ended(AttemptEnd::Cancelled { tokens: 2 }) => MAY_HAVE_RUN;
    upstream_refuses: AttemptPhase::Started, AttemptUpdate::Ended(AttemptEnd::Refused)
        => AttemptStatus::NotRun(NotRunCause::UpstreamRefused);
    nothing_is_sent: AttemptPhase::Offered, AttemptUpdate::Ended(AttemptEnd::Unsent) => UNSENT;
    withdrawn_completes: WITHDRAWN,
        AttemptUpdate::Ended(AttemptEnd::Complete { tokens: 3 }) => AttemptStatus::Open;
    withdrawn_is_counted: WITHDRAWN, LOST => MAY_HAVE_RUN;
    withdrawn_is_returned: WITHDRAWN, NOT_OWNER => RETURNED;
}

#[test]
fn retries_are_a_share_of_calls() {
    let (workspace, class) = (WorkspaceId(1), ClassId(1));
    let mut budget = RetryBudget::default();
    let retries = |budget: &mut RetryBudget| {
        (0..1_000)
            .filter(|_| budget.spend(workspace, class))
            .count()
    };
    assert_eq!(retries(&mut budget), RETRY_BURST as usize);
    for _ in 0..101 {
        budget.earn(workspace, class);
    }
    assert_eq!(retries(&mut budget), 10);
    assert!(budget.spend(WorkspaceId(2), class));
    for _ in 0..1_000 {
        budget.earn(workspace, class);
        budget.earn(WorkspaceId(2), class);
    }
    assert!(budget.is_empty());
}

#[test]
fn backoff_grows_to_its_bound() {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    for (retry, bound) in [(0, 20), (3, 160), (7, 2_000), (60, 2_000)] {
        let delays: Vec<_> = (0..200).map(|_| backoff(retry, &mut random)).collect();
        let longest = delays.iter().max().unwrap();
        let bound = Duration::from_millis(bound);
        assert!(*longest < bound && *longest > bound / 2);
        assert!(*delays.iter().min().unwrap() < bound / 4);
    }
}

/// A refusal by an owner: the call moves to another owner with capacity, or ends at once without
/// one.
fn refused(reason: RefusalReason, full: bool) -> (Fleet, Option<CallOutcome>) {
    let mut fleet = Fleet::new(2, 1);
    let load = LoadSummary {
        slots: 2,
        running: 2,
        waiting: [9; 3],
    };
    if full {
        fleet.arrive(0, true, None);
        fleet.arrive(0, true, None);
    }
    let call = fleet.arrive(0, false, None);
    let retry_after = Some(Duration::from_secs(3));
    let reason = ReturnReason::Refused {
        reason,
        retry_after,
    };
    let attempt = AttemptId { call, number: 1 };
    let returned = WorkMessage::Returned {
        attempt,
        reason,
        load,
    };
    let message = returned.into();
    let from = node_id(usize::from(full));
    fleet.handle(0, Event::PeerMessage { from, message });
    let outcome = fleet.outcomes.get(&call).map(|outcomes| outcomes[0]);
    (fleet, outcome)
}

#[test]
fn refused_call_moves_to_an_owner_with_capacity() {
    let (mut fleet, outcome) = refused(RefusalReason::Overloaded, false);
    assert_eq!(outcome, None);
    fleet.pass(Duration::from_millis(20));
    assert_eq!(fleet.wire[0].to, 1);
}

#[test]
fn refused_call_ends_at_once_without_capacity() {
    for reason in [RefusalReason::Overloaded, RefusalReason::Limit] {
        let (_, outcome) = refused(reason, true);
        let retry_after = Some(Duration::from_secs(3));
        let expected = CallOutcome::NotRun {
            reason,
            retry_after,
        };
        assert_eq!(outcome, Some(expected));
    }
}
