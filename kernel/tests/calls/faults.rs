//! Single faults, and the outcome that the caller must receive.

use std::time::Duration;

use monsoonbank_kernel::call::{AttemptEnd, CallOutcome, LoadSummary, RefusalReason};
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::wire::{Message, WorkMessage};

use crate::fleet::{Fleet, TOKENS, node_id};

fn whole(outcome: CallOutcome) -> bool {
    outcome == CallOutcome::Whole { tokens: TOKENS }
}

fn unknown(outcome: CallOutcome) -> bool {
    outcome == CallOutcome::Unknown
}

fn not_run(outcome: CallOutcome) -> bool {
    matches!(outcome, CallOutcome::NotRun { .. })
}

/// The owner that received the call's first offer, if it is not the entry node.
fn offered(fleet: &Fleet) -> usize {
    fleet.wire[0].to
}

/// Fills every slot of the entry node, so that the next call is offered to another owner.
fn busy(fleet: &mut Fleet) {
    while fleet.wire.is_empty() {
        fleet.arrive(0, true, None);
    }
    fleet.wire.clear();
}

/// Defines each case: the kind of call that arrives at node 0 with its offer in flight, the fault,
/// the outcome for the caller, and how often the call runs.
macro_rules! cases {
    ($($name:ident: $repeatable:ident, $fault:expr => $outcome:path, $runs:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut fleet = Fleet::new(3, 1);
                busy(&mut fleet);
                let call = fleet.arrive(0, stringify!($repeatable) == "repeatable", None);
                let fault: fn(&mut Fleet) = $fault;
                fault(&mut fleet);
                fleet.settle();
                fleet.assert_no_open_state();
                let outcomes = &fleet.outcomes[&call];
                assert_eq!(outcomes.len(), 1, "{outcomes:?}");
                assert!($outcome(outcomes[0]), "{outcomes:?}");
                assert_eq!(fleet.ran.get(&call).copied().unwrap_or_default(), $runs);
                if whole(outcomes[0]) {
                    assert_eq!(fleet.received[&call], (0..TOKENS).collect::<Vec<_>>());
                }
            }
        )*
    };
}

/// Delivers the offer; the call's attempt is the last one at the engines.
fn queued(fleet: &mut Fleet) -> usize {
    fleet.deliver_all();
    fleet.runs.len() - 1
}

fn streaming(fleet: &mut Fleet) -> usize {
    let run = queued(fleet);
    fleet.start(run);
    fleet.token(run);
    fleet.deliver_all();
    run
}

fn kill_owner(fleet: &mut Fleet) {
    let owner = fleet.runs[fleet.runs.len() - 1].owner;
    fleet.kill(owner);
    fleet.mark_dead();
}

fn cut_owner(fleet: &mut Fleet) {
    let owner = fleet.runs[fleet.runs.len() - 1].owner;
    fleet.cut(0, owner);
}

cases! {
    no_fault: repeatable, |_| {} => whole, 1;
    stream_breaks_and_resumes: repeatable, |fleet| {
        let run = streaming(fleet);
        fleet.break_off(run);
    } => whole, 2;
    unrepeatable_call_breaks: unrepeatable, |fleet| {
        let run = streaming(fleet);
        fleet.break_off(run);
    } => unknown, 1;
    upstream_refuses_unrepeatable_call: unrepeatable, |fleet| {
        let run = queued(fleet);
        fleet.end(run, AttemptEnd::Refused);
    } => whole, 1;
    nothing_left_the_socket: unrepeatable, |fleet| {
        let run = queued(fleet);
        fleet.end(run, AttemptEnd::Unsent);
    } => whole, 1;
    owner_dies_before_start: repeatable, |fleet| {
        queued(fleet);
        kill_owner(fleet);
    } => whole, 1;
    owner_dies_with_queued_unrepeatable_call: unrepeatable, |fleet| {
        queued(fleet);
        kill_owner(fleet);
    } => unknown, 0;
    owner_dies_while_streaming: repeatable, |fleet| {
        streaming(fleet);
        kill_owner(fleet);
    } => whole, 2;
    link_breaks_while_streaming: repeatable, |fleet| {
        streaming(fleet);
        cut_owner(fleet);
    } => whole, 2;
    started_message_lost_with_link: unrepeatable, |fleet| {
        let run = queued(fleet);
        fleet.start(run);
        fleet.wire.clear();
        cut_owner(fleet);
    } => unknown, 1;
    offer_lost: repeatable, |fleet| fleet.wire.clear() => whole, 1;
    unrepeatable_offer_lost: unrepeatable, |fleet| fleet.wire.clear() => unknown, 0;
    answer_lost: repeatable, |fleet| {
        let run = queued(fleet);
        fleet.complete(run);
        fleet.wire.clear();
    } => whole, 2;
    unrepeatable_answer_lost: unrepeatable, |fleet| {
        let run = queued(fleet);
        fleet.complete(run);
        fleet.wire.clear();
    } => unknown, 1;
    offer_duplicated: unrepeatable, |fleet| {
        let again = fleet.wire[0].clone();
        fleet.wire.push(again);
    } => whole, 1;
    answer_duplicated: repeatable, |fleet| {
        let run = queued(fleet);
        fleet.complete(run);
        fleet.wire.extend(fleet.wire.clone());
    } => whole, 1;
    answer_overtakes_start: unrepeatable, |fleet| {
        let run = queued(fleet);
        fleet.complete(run);
        fleet.wire.reverse();
    } => whole, 1;
    owner_paused: repeatable, |fleet| {
        let owner = offered(fleet);
        let late = std::mem::take(&mut fleet.wire);
        for _ in 0..20 {
            fleet.pass(Duration::from_secs(1));
            fleet.wire.retain(|frame| frame.to != owner);
            fleet.deliver_all();
        }
        fleet.wire = late;
    } => whole, 2;
    caller_leaves_stream: unrepeatable, |fleet| {
        let run = streaming(fleet);
        let call = fleet.runs[run].work.attempt.call;
        fleet.handle(0, Event::CallCancelled(call));
    } => unknown, 1;
    caller_leaves_before_sending: unrepeatable, |fleet| {
        let run = queued(fleet);
        let call = fleet.runs[run].work.attempt.call;
        fleet.handle(0, Event::CallCancelled(call));
    } => not_run, 0;
}

/// An offer to a node whose link cannot be established was not sent, so another node gets it.
#[test]
fn link_cannot_be_made() {
    let mut fleet = Fleet::new(3, 1);
    fleet.cut(0, 1);
    fleet.cut(0, 2);
    busy_alone(&mut fleet);
    let call = fleet.arrive(0, false, None);
    fleet.settle();
    assert_eq!(fleet.outcomes[&call].len(), 1);
    assert!(whole(fleet.outcomes[&call][0]));
    assert_eq!(fleet.ran[&call], 1);
}

fn busy_alone(fleet: &mut Fleet) {
    for _ in 0..2 {
        fleet.arrive(0, true, None);
    }
}

/// An owner that loses its upstreams returns its queue, and the calls move to the new owner.
#[test]
fn owner_changes_while_queued() {
    let mut fleet = Fleet::new(2, 1);
    let calls: Vec<_> = (0..8).map(|_| fleet.arrive(0, false, None)).collect();
    fleet.deliver_all();
    fleet.kill(1);
    fleet.mark_dead();
    fleet.restart(1);
    fleet.settle();
    for call in calls {
        let outcomes = &fleet.outcomes[&call];
        assert_eq!(outcomes.len(), 1);
        let runs = fleet.ran.get(&call).copied().unwrap_or_default();
        assert!(runs <= 1);
        assert!(!not_run(outcomes[0]) || runs == 0);
    }
}

/// Without any owner a call waits for a short time, then ends as not run.
#[test]
fn no_owner() {
    let mut fleet = Fleet::new(1, 1);
    fleet.handle(0, Event::OwnersChanged(std::sync::Arc::default()));
    let call = fleet.arrive(0, false, None);
    assert!(!fleet.outcomes.contains_key(&call));
    fleet.settle();
    let CallOutcome::NotRun {
        reason,
        retry_after,
    } = fleet.outcomes[&call][0]
    else {
        panic!("{:?}", fleet.outcomes[&call]);
    };
    assert!(matches!(
        reason,
        RefusalReason::Deadline | RefusalReason::NoUpstream
    ));
    assert!(retry_after.is_some());
}

/// A caller leaves while its call is queued at the owner, which confirms that it did not run.
#[test]
fn caller_leaves_queue() {
    let mut fleet = Fleet::new(1, 1);
    let calls: Vec<_> = (0..3).map(|_| fleet.arrive(0, false, None)).collect();
    fleet.handle(0, Event::CallCancelled(calls[2]));
    let outcome = CallOutcome::NotRun {
        reason: RefusalReason::Cancelled,
        retry_after: None,
    };
    assert_eq!(fleet.outcomes[&calls[2]], [outcome]);
    fleet.settle();
    assert!(!fleet.ran.contains_key(&calls[2]));
}

/// The calls of a dead node are given up once it is known to be dead, though its link stays open.
#[test]
fn owner_host_loses_power() {
    for repeatable in [true, false] {
        let mut fleet = Fleet::new(2, 1);
        busy(&mut fleet);
        let call = fleet.arrive(0, repeatable, None);
        streaming(&mut fleet);
        fleet.power_off(1);
        fleet.mark_dead();
        assert_eq!(fleet.outcomes.contains_key(&call), !repeatable);
        fleet.settle();
        fleet.assert_no_open_state();
        assert!(!repeatable || whole(fleet.outcomes[&call][0]));
        assert!(repeatable || unknown(fleet.outcomes[&call][0]));
    }
}

/// An urgent call that this node withdraws from its own queue moves to another owner; its caller
/// does not receive a cancellation.
#[test]
fn waiting_call_moves() {
    let mut fleet = Fleet::new(2, 1);
    let calls: Vec<_> = (0..8).map(|_| fleet.arrive(0, true, None)).collect();
    fleet.deliver_all();
    while let Some(run) = fleet.runs.iter().position(|run| run.owner == 1) {
        fleet.complete(run);
        fleet.deliver_all();
    }
    fleet.pass(Duration::from_millis(1_500));
    fleet.deliver_all();
    assert!(
        fleet
            .runs
            .iter()
            .any(|run| run.owner == 1 && run.work.attempt.number == 2)
    );
    fleet.settle();
    for call in calls {
        assert_eq!(
            fleet.outcomes[&call],
            [CallOutcome::Whole { tokens: TOKENS }]
        );
        assert_eq!(fleet.ran[&call], 1);
    }
}

/// A late reply to an earlier attempt is ignored.
#[test]
fn older_attempt_answers_late() {
    let mut fleet = Fleet::new(3, 1);
    busy(&mut fleet);
    let call = fleet.arrive(0, true, None);
    let owner = offered(&fleet);
    let run = streaming(&mut fleet);
    let attempt = fleet.runs[run].work.attempt;
    fleet.cut(0, owner);
    fleet.heal();
    for end in [AttemptEnd::Complete { tokens: 9 }, AttemptEnd::Refused] {
        let load = LoadSummary::default();
        let message = Message::Work(WorkMessage::Ended { attempt, end, load });
        let from = node_id(owner);
        fleet.handle(0, Event::PeerMessage { from, message });
    }
    assert!(!fleet.outcomes.contains_key(&call));
    fleet.settle();
    assert!(whole(fleet.outcomes[&call][0]));
    assert_eq!(fleet.received[&call], (0..TOKENS).collect::<Vec<_>>());
}
