//! Golden files of whole sessions, one for each guarantee of the owner.

use monsoonbank_kernel::call::AttemptEnd;
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::NodeId;

use crate::world::{CallParams, ENTRY, World, ms, params, upstream_id};

macro_rules! session {
    ($name:ident, $world:ident = ($upstreams:expr, $slots:expr, $floors:expr), $body:block) => {
        #[test]
        fn $name() {
            let mut $world = World::new($upstreams, $slots, $floors);
            $body
            insta::assert_snapshot!(stringify!($name), $world.log.join("\n"));
        }
    };
}

session!(
    urgent_work_preempts_low_tier_work_which_resumes,
    world = (1, 2, &[0.0, 0.1, 0.1]),
    {
        let batch_calls = [
            world.offer(params(2)),
            world.offer(CallParams {
                prompt: 4_000,
                ..params(2)
            }),
        ];
        for attempt in batch_calls {
            world.handle(Event::AttemptSent(attempt));
            world.handle(Event::AttemptProgress {
                attempt,
                tokens: 40,
            });
        }
        world.pass(ms(100));
        let urgent = world.offer(CallParams {
            left: ms(30),
            ..params(0)
        });
        world.end(batch_calls[0], AttemptEnd::Cancelled { tokens: 41 });
        world.complete(urgent, 12);
        world.complete(batch_calls[0], 300);
        world.complete(batch_calls[1], 500);
    }
);

session!(
    late_urgent_calls_are_rejected_and_low_tier_work_continues,
    world = (1, 4, &[0.0, 0.05, 0.25]),
    {
        for _ in 0..2 {
            world.offer(params(2));
        }
        let mut urgent_calls: Vec<_> = (0..6).map(|_| world.offer(params(0))).collect();
        world.pass(ms(600));
        urgent_calls.retain(|urgent| world.runs.contains_key(urgent));
        for urgent in urgent_calls {
            world.complete(urgent, 10);
        }
        world.pass(ms(100));
    }
);

session!(
    unrepeatable_work_is_neither_preempted_nor_rerun,
    world = (2, 1, &[0.0, 0.1, 0.1]),
    {
        let unrepeatable = world.offer(CallParams {
            repeatable: false,
            ..params(2)
        });
        let other = world.offer(CallParams {
            repeatable: false,
            ..params(2)
        });
        world.handle(Event::AttemptSent(unrepeatable));
        world.offer(CallParams {
            left: ms(10),
            ..params(0)
        });
        world.end(unrepeatable, AttemptEnd::Broken { tokens: 0 });
        world.handle(Event::LinkDown(NodeId::named(ENTRY)));
        world.complete(other, 1);
    }
);

session!(
    a_leaving_upstream_finishes_its_runs_and_gets_no_new_ones,
    world = (2, 1, &[0.0, 0.1]),
    {
        let calls = [
            world.offer(params(1)),
            world.offer(params(1)),
            world.offer(params(1)),
        ];
        world.handle(Event::UpstreamLeaving(upstream_id(1)));
        world.complete(calls[0], 20);
        world.pass(ms(2_000));
        world.complete(calls[1], 20);
        world.pass(ms(50));
    }
);

session!(
    a_leaving_node_finishes_its_runs,
    world = (1, 1, &[0.0, 0.1]),
    {
        let runs = world.offer(params(1));
        world.offer(params(1));
        world.handle(Event::NodeLeaving);
        world.offer(params(0));
        world.complete(runs, 20);
    }
);

session!(
    an_ejected_upstream_is_probed_and_readmitted,
    world = (2, 2, &[0.0, 0.1]),
    {
        let calls: Vec<_> = (0..4).map(|_| world.offer(params(1))).collect();
        for attempt in calls {
            world.handle(Event::AttemptSent(attempt));
            if world.runs[&attempt].upstream == upstream_id(1) {
                world.end(attempt, AttemptEnd::Broken { tokens: 8 });
            }
        }
        for _ in 0..3 {
            world.offer(params(1));
        }
        world.pass(ms(700));
        let probe = world
            .runs
            .iter()
            .find(|(_, run)| run.upstream == upstream_id(1));
        let probe = *probe.expect("a probe").0;
        world.complete(probe, 5);
        world.pass(ms(50));
    }
);
