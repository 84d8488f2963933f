//! Golden files of whole sessions, one for each guarantee of the owner.

use monsoonbank_kernel::call::AttemptEnd;
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::NodeId;

use crate::world::{Ask, ENTRY, World, ask, ms, upstream_id};

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
    an_alert_takes_a_digests_slot_and_the_digest_goes_on,
    world = (1, 2, &[0.0, 0.1, 0.1]),
    {
        let digests = [
            world.offer(ask(2)),
            world.offer(Ask {
                prompt: 4_000,
                ..ask(2)
            }),
        ];
        for attempt in digests {
            world.tell(Event::AttemptSent(attempt));
            world.tell(Event::AttemptProgress {
                attempt,
                tokens: 40,
            });
        }
        world.pass(ms(100));
        let alert = world.offer(Ask {
            left: ms(30),
            ..ask(0)
        });
        world.end(digests[0], AttemptEnd::Cancelled { tokens: 41 });
        world.complete(alert, 12);
        world.complete(digests[0], 300);
        world.complete(digests[1], 500);
    }
);

session!(
    a_burst_is_refused_when_its_time_has_passed_and_digests_go_on,
    world = (1, 4, &[0.0, 0.05, 0.25]),
    {
        for _ in 0..2 {
            world.offer(ask(2));
        }
        let mut alerts: Vec<_> = (0..6).map(|_| world.offer(ask(0))).collect();
        world.pass(ms(600));
        alerts.retain(|alert| world.runs.contains_key(alert));
        for alert in alerts {
            world.complete(alert, 10);
        }
        world.pass(ms(100));
    }
);

session!(
    a_release_that_may_not_be_repeated_is_neither_stopped_nor_run_again,
    world = (2, 1, &[0.0, 0.1, 0.1]),
    {
        let release = world.offer(Ask {
            repeatable: false,
            ..ask(2)
        });
        let other = world.offer(Ask {
            repeatable: false,
            ..ask(2)
        });
        world.tell(Event::AttemptSent(release));
        world.offer(Ask {
            left: ms(10),
            ..ask(0)
        });
        world.end(release, AttemptEnd::Broken { tokens: 0 });
        world.tell(Event::LinkDown(NodeId::named(ENTRY)));
        world.complete(other, 1);
    }
);

session!(
    a_leaving_upstream_finishes_and_gets_nothing_new,
    world = (2, 1, &[0.0, 0.1]),
    {
        let calls = [
            world.offer(ask(1)),
            world.offer(ask(1)),
            world.offer(ask(1)),
        ];
        world.tell(Event::UpstreamLeaving(upstream_id(1)));
        world.complete(calls[0], 20);
        world.pass(ms(2_000));
        world.complete(calls[1], 20);
        world.pass(ms(50));
    }
);

session!(
    a_planned_stop_finishes_what_runs,
    world = (1, 1, &[0.0, 0.1]),
    {
        let runs = world.offer(ask(1));
        world.offer(ask(1));
        world.tell(Event::NodeLeaving);
        world.offer(ask(0));
        world.complete(runs, 20);
    }
);

session!(
    a_dead_upstream_is_probed_and_taken_back,
    world = (2, 2, &[0.0, 0.1]),
    {
        let calls: Vec<_> = (0..4).map(|_| world.offer(ask(1))).collect();
        for attempt in calls {
            world.tell(Event::AttemptSent(attempt));
            if world.runs[&attempt].upstream == upstream_id(1) {
                world.end(attempt, AttemptEnd::Broken { tokens: 8 });
            }
        }
        for _ in 0..3 {
            world.offer(ask(1));
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
