//! Single faults that an owner must handle.

use std::time::Duration;

use monsoonbank_kernel::call::{AttemptEnd, ReturnReason};
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::NodeId;
use monsoonbank_kernel::wire::WorkMessage;

use crate::world::{CallParams, ENTRY, World, ms, params, upstream_id};

macro_rules! case {
    ($name:ident, $world:ident = ($upstreams:expr, $slots:expr), $body:block) => {
        #[test]
        fn $name() {
            let mut $world = World::new($upstreams, $slots, &[0.0, 0.1, 0.1]);
            $body
        }
    };
}

case!(a_duplicated_offer_runs_once, world = (1, 1), {
    let work = world.work(params(1));
    world.offer_work(work);
    world.offer_work(work);
    assert_eq!(world.held(), (0, 1));
    world.complete(work.attempt, 4);
    world.offer_work(work);
    assert_eq!(world.held(), (0, 0));
});

case!(
    a_cancellation_before_its_offer_prevents_the_run,
    world = (1, 1),
    {
        let work = world.work(params(1));
        world.cancel(work.attempt);
        world.offer_work(work);
        assert_eq!(world.held(), (0, 0));
        world.pass(Duration::from_mins(2));
        let dump = world.kernel.dump(None);
        assert_eq!(dump["dispatch"]["attempts_remembered"], 0);
    }
);

case!(a_returned_offer_does_not_run_later, world = (1, 1), {
    let work = world.work(CallParams {
        repeatable: false,
        ..params(1)
    });
    world.own(false);
    world.offer_work(work);
    assert_eq!(world.returned(work.attempt), Some(ReturnReason::NotOwner));
    world.own(true);
    world.offer_work(work);
    assert!(world.runs.is_empty());
});

case!(
    a_pool_that_is_no_longer_owned_returns_queued_work,
    world = (1, 1),
    {
        let running = world.offer(params(1));
        let waiting = world.offer(params(1));
        world.own(false);
        assert_eq!(world.returned(waiting), Some(ReturnReason::NotOwner));
        world.complete(running, 9);
        assert_eq!(
            world.ended(running),
            Some(AttemptEnd::Complete { tokens: 9 })
        );
        assert_eq!(world.held(), (0, 0));
    }
);

case!(a_leaving_node_returns_queued_work, world = (1, 1), {
    let running = world.offer(params(1));
    let waiting = world.offer(params(1));
    world.handle(Event::NodeLeaving);
    assert_eq!(world.returned(waiting), Some(ReturnReason::Leaving));
    let new = world.offer(params(0));
    assert_eq!(world.returned(new), Some(ReturnReason::Leaving));
    world.complete(running, 9);
    assert_eq!(
        world.ended(running),
        Some(AttemptEnd::Complete { tokens: 9 })
    );
});

case!(
    preempted_work_of_a_leaving_node_keeps_its_tokens,
    world = (1, 2),
    {
        let low = [world.offer(params(2)), world.offer(params(2))];
        for attempt in low {
            world.handle(Event::AttemptSent(attempt));
        }
        world.offer(CallParams {
            left: ms(10),
            ..params(0)
        });
        let stopped = world.stops[0];
        world.end(stopped, AttemptEnd::Cancelled { tokens: 5 });
        world.handle(Event::NodeLeaving);
        assert_eq!(
            world.ended(stopped),
            Some(AttemptEnd::Cancelled { tokens: 5 })
        );
    }
);

case!(a_leaving_upstream_gets_no_new_work, world = (2, 2), {
    world.handle(Event::UpstreamLeaving(upstream_id(1)));
    for _ in 0..5 {
        world.offer(params(1));
    }
    let leaving = world
        .runs
        .values()
        .filter(|run| run.upstream == upstream_id(1));
    assert_eq!(leaving.count(), 0);
    world.own(false);
    world.own(true);
    world.pass(ms(2_000));
    world.offer(params(1));
    let leaving = world
        .runs
        .values()
        .filter(|run| run.upstream == upstream_id(1));
    assert_eq!(leaving.count(), 0);
});

case!(
    a_lost_entry_node_cancels_its_repeatable_work,
    world = (1, 2),
    {
        let once = world.offer(CallParams {
            repeatable: false,
            ..params(1)
        });
        let again = world.offer(params(1));
        world.offer(params(1));
        world.offer(CallParams {
            repeatable: false,
            ..params(1)
        });
        world.handle(Event::LinkDown(NodeId::named(ENTRY)));
        assert_eq!(world.stops, [again]);
        world.stop_all(3);
        world.complete(once, 2);
        assert_eq!(world.held(), (0, 0));
    }
);

case!(a_cancelled_run_frees_its_slot_once, world = (1, 1), {
    let attempt = world.offer(params(1));
    world.cancel(attempt);
    world.cancel(attempt);
    assert_eq!(world.stops, [attempt]);
    world.stop_all(0);
    assert_eq!(world.held(), (0, 0));
    world.offer(params(1));
    assert_eq!(world.runs.len(), 1);
});

case!(a_crashed_upstream_is_ejected_and_probed, world = (2, 4), {
    let runs: Vec<_> = (0..8).map(|_| world.offer(params(1))).collect();
    for attempt in runs {
        if world.runs[&attempt].upstream == upstream_id(1) {
            world.handle(Event::AttemptSent(attempt));
            world.end(attempt, AttemptEnd::Broken { tokens: 0 });
        }
    }
    world.offer(params(1));
    let there = world
        .runs
        .values()
        .filter(|run| run.upstream == upstream_id(1));
    assert_eq!(there.count(), 0);
    assert_eq!(world.held(), (1, 4));
    world.pass(ms(700));
    let there = world
        .runs
        .values()
        .filter(|run| run.upstream == upstream_id(1));
    assert_eq!(there.count(), 1, "one probe");
});

case!(a_straggler_gets_no_new_work, world = (3, 8), {
    let runs: Vec<_> = (0..12).map(|_| world.offer(params(1))).collect();
    for attempt in &runs {
        world.handle(Event::AttemptSent(*attempt));
    }
    for step in 1..=200 {
        world.now += ms(10);
        for attempt in &runs {
            let slow = world.runs[attempt].upstream == upstream_id(2);
            let tokens = if slow { step / 10 } else { step };
            if tokens > 0 && (!slow || step % 10 == 0) {
                world.handle(Event::AttemptProgress {
                    attempt: *attempt,
                    tokens,
                });
            }
        }
    }
    let before = on(&world, 2);
    for _ in 0..6 {
        world.offer(params(1));
    }
    assert_eq!(on(&world, 2), before);
});

fn on(world: &World, upstream: u32) -> usize {
    let there = world
        .runs
        .values()
        .filter(|run| run.upstream == upstream_id(upstream));
    there.count()
}

case!(
    a_new_owner_counts_what_the_upstream_reports,
    world = (1, 8),
    {
        world.own(false);
        world.own(true);
        world.report(1, 6);
        for _ in 0..8 {
            world.offer(params(1));
        }
        assert_eq!(world.held(), (6, 2));
    }
);

case!(an_unsent_run_is_requeued_without_a_reply, world = (2, 1), {
    let attempt = world.offer(CallParams {
        repeatable: false,
        ..params(1)
    });
    let first = world.runs[&attempt].upstream;
    world.end(attempt, AttemptEnd::Unsent);
    assert_eq!(world.ended(attempt), None);
    world.end(attempt, AttemptEnd::Unsent);
    world.complete(attempt, 3);
    assert_eq!(
        world.ended(attempt),
        Some(AttemptEnd::Complete { tokens: 3 })
    );
    let _ = first;
});

case!(load_updates_are_rare, world = (1, 1), {
    world.offer(params(2));
    for _ in 0..20 {
        world.offer(params(2));
    }
    world.pass(ms(5_000));
    let updates = world.messages.iter();
    let updates = updates.filter(|(_, message)| matches!(message, WorkMessage::Load { .. }));
    assert_eq!(updates.count(), 1);
});

case!(a_cancelled_preempted_call_may_have_run, world = (1, 2), {
    for _ in 0..2 {
        let attempt = world.offer(params(2));
        world.handle(Event::AttemptSent(attempt));
    }
    world.offer(CallParams {
        left: ms(10),
        ..params(0)
    });
    let stopped = world.stops[0];
    world.end(stopped, AttemptEnd::Cancelled { tokens: 0 });
    world.cancel(stopped);
    assert_eq!(world.returned(stopped), None);
    assert_eq!(
        world.ended(stopped),
        Some(AttemptEnd::Cancelled { tokens: 0 })
    );
});

// Guards against assigning calls to a paused upstream while another one is available.
case!(
    a_paused_upstream_gets_no_work_until_the_pause_ends,
    world = (2, 2),
    {
        let upstream = upstream_id(1);
        let pause = Duration::from_secs(10);
        world.handle(Event::UpstreamPaused { upstream, pause });
        for _ in 0..5 {
            world.offer(params(1));
        }
        assert!(world.runs.values().all(|run| run.upstream != upstream));
        world.pass(pause + ms(1_000));
        assert!(world.runs.values().any(|run| run.upstream == upstream));
    }
);

// Guards against queueing calls while their whole pool is paused for longer than they may wait.
case!(
    a_paused_pool_rejects_calls_that_cannot_wait,
    world = (1, 1),
    {
        let pause = Duration::from_mins(1);
        world.handle(Event::UpstreamPaused {
            upstream: upstream_id(1),
            pause,
        });
        let attempt = world.offer(CallParams {
            left: ms(500),
            ..params(1)
        });
        let Some(ReturnReason::Refused { retry_after, .. }) = world.returned(attempt) else {
            panic!("{:?}", world.returned(attempt));
        };
        assert!(
            retry_after >= Some(Duration::from_secs(59)),
            "{retry_after:?}"
        );
    }
);
