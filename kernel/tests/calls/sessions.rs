//! Golden traces of whole sessions, action by action.

use monsoonbank_kernel::call::{AttemptEnd, LoadSummary, ReturnReason};
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::AttemptId;
use monsoonbank_kernel::wire::WorkMessage;

use crate::fleet::{Fleet, node_id};

macro_rules! sessions {
    ($($name:ident: $steps:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut fleet = Fleet::new(2, 1);
                let steps: fn(&mut Fleet) = $steps;
                steps(&mut fleet);
                fleet.settle();
                insta::assert_snapshot!(stringify!($name), fleet.trace.join("\n"));
            }
        )*
    };
}

/// Offers a call of node 0 to node 1, because node 0's own upstreams are busy.
fn offer(fleet: &mut Fleet, repeatable: bool) -> AttemptId {
    while fleet.wire.is_empty() {
        fleet.arrive(0, true, None);
    }
    fleet.wire.clear();
    fleet.trace();
    let call = fleet.arrive(0, repeatable, None);
    AttemptId { call, number: 1 }
}

/// Queues a call of node 0 at node 1, which is about to start it.
fn remote(fleet: &mut Fleet, repeatable: bool) -> usize {
    offer(fleet, repeatable);
    fleet.deliver_all();
    fleet.runs.len() - 1
}

sessions! {
    stream_resumes_after_owner_dies: |fleet| {
        let run = remote(fleet, true);
        fleet.start(run);
        fleet.token(run);
        fleet.token(run);
        fleet.deliver_all();
        fleet.kill(1);
        fleet.mark_dead();
    };
    unrepeatable_call_of_lost_owner_is_unknown: |fleet| {
        let run = remote(fleet, false);
        fleet.start(run);
        fleet.kill(1);
    };
    queued_call_moves_when_its_owner_leaves: |fleet| {
        let attempt = offer(fleet, false);
        fleet.wire.clear();
        let reason = ReturnReason::Leaving;
        let load = LoadSummary::default();
        let message = WorkMessage::Returned { attempt, reason, load };
        let from = node_id(1);
        fleet.handle(0, Event::PeerMessage { from, message: message.into() });
    };
    unrepeatable_call_refused_by_upstream_runs_elsewhere: |fleet| {
        let run = remote(fleet, false);
        fleet.end(run, AttemptEnd::Refused);
    };
    key_relayed_and_repeated: |fleet| {
        let key = fleet.mint(1);
        fleet.trace();
        fleet.arrive(0, false, Some(key.clone()));
        fleet.deliver_all();
        fleet.arrive(1, false, Some(key.clone()));
        fleet.complete(0);
        fleet.deliver_all();
        fleet.arrive(0, false, Some(key));
    };
    key_of_dead_minter_is_unknown: |fleet| {
        let key = fleet.mint(1);
        fleet.trace();
        fleet.arrive(0, false, Some(key.clone()));
        fleet.kill(1);
        fleet.mark_dead();
        fleet.arrive(0, false, Some(key));
    };
    caller_leaves: |fleet| {
        let run = remote(fleet, true);
        fleet.start(run);
        let call = fleet.runs[run].work.attempt.call;
        fleet.handle(0, Event::CallCancelled(call));
    };
}
