//! Order of dispatch: tiers, floors, deadlines, fair shares, preemption and refusals.

use std::time::Duration;

use monsoonbank_kernel::call::{AttemptEnd, RefusalReason, ReturnReason};
use monsoonbank_kernel::event::Event;

use crate::world::{CallParams, World, ms, params};

macro_rules! case {
    ($name:ident, $world:ident = ($upstreams:expr, $slots:expr, $floors:expr), $body:block) => {
        #[test]
        fn $name() {
            let mut $world = World::new($upstreams, $slots, $floors);
            $body
        }
    };
}

case!(
    the_higher_tier_starts_first,
    world = (1, 1, &[0.0, 0.05, 0.05]),
    {
        let first = world.offer(params(0));
        let low = world.offer(params(2));
        let high = world.offer(params(0));
        world.complete(first, 1);
        assert!(world.runs.contains_key(&high));
        world.complete(high, 1);
        assert!(world.runs.contains_key(&low));
    }
);

case!(
    the_earlier_deadline_starts_first,
    world = (1, 1, &[0.0, 0.05]),
    {
        let first = world.offer(params(1));
        let late = world.offer(CallParams {
            left: ms(9_000),
            ..params(1)
        });
        let soon = world.offer(CallParams {
            left: ms(4_000),
            ..params(1)
        });
        world.complete(first, 1);
        assert!(world.runs.contains_key(&soon));
        world.complete(soon, 1);
        assert!(world.runs.contains_key(&late));
    }
);

case!(
    a_busy_workspace_leaves_others_their_share,
    world = (1, 4, &[0.0, 0.05]),
    {
        for _ in 0..400 {
            world.offer(params(1));
        }
        for _ in 0..20 {
            world.offer(CallParams {
                workspace: "w2",
                ..params(1)
            });
        }
        let mut other = 0;
        for _ in 0..40 {
            let attempt = *world.runs.keys().next().expect("slots are full");
            other += usize::from(world.runs[&attempt].work.spec.workspace.0 == w2());
            world.complete(attempt, 128);
        }
        assert!(other >= 14, "only {other} of 40");
    }
);

fn w2() -> u64 {
    monsoonbank_kernel::ids::WorkspaceId::named("w2").0
}

case!(
    a_floor_holds_against_urgent_work,
    world = (1, 10, &[0.0, 0.2, 0.1]),
    {
        for _ in 0..200 {
            world.offer(CallParams {
                left: ms(60_000),
                ..params(0)
            });
        }
        for _ in 0..20 {
            world.offer(CallParams {
                left: ms(600_000),
                ..params(1)
            });
            world.offer(params(2));
        }
        for _ in 0..40 {
            world.pass(ms(50));
            let urgent = world.runs.iter().find(|(_, run)| run.work.spec.tier.0 == 0);
            let attempt = *urgent.expect("most slots are urgent").0;
            world.complete(attempt, 10);
        }
        assert!((2..=3).contains(&world.running_in(1)));
        assert!((1..=2).contains(&world.running_in(2)));
    }
);

case!(
    a_floor_below_one_slot_holds_over_time,
    world = (1, 2, &[0.0, 0.1]),
    {
        for _ in 0..100 {
            world.offer(CallParams {
                left: ms(600_000),
                ..params(1)
            });
        }
        let (mut low, mut all) = (0, 0);
        for _ in 0..400 {
            for _ in 0..2 {
                world.offer(CallParams {
                    left: ms(60_000),
                    ..params(0)
                });
            }
            world.pass(ms(100));
            low += world.running_in(1);
            all += world.runs.len();
            for attempt in world.runs.keys().copied().collect::<Vec<_>>() {
                world.complete(attempt, 10);
            }
        }
        let share = low as f64 / all as f64;
        assert!((0.095..0.13).contains(&share), "share {share}");
    }
);

case!(
    urgent_work_preempts_the_lowest_tier,
    world = (1, 4, &[0.0, 0.25, 0.25]),
    {
        let one = [world.offer(params(1)), world.offer(params(1))];
        let two = [
            world.offer(CallParams {
                prompt: 900,
                ..params(2)
            }),
            world.offer(CallParams {
                prompt: 30,
                ..params(2)
            }),
        ];
        world.pass(ms(200));
        for attempt in one.iter().chain(&two) {
            world.handle(Event::AttemptSent(*attempt));
        }
        let urgent = world.offer(CallParams {
            left: ms(20),
            ..params(0)
        });
        assert_eq!(world.stops, [two[1]], "the cheapest of the lowest tier");
        world.end(two[1], AttemptEnd::Cancelled { tokens: 7 });
        assert!(world.runs.contains_key(&urgent));
        world.complete(urgent, 3);
        assert_eq!(world.runs[&two[1]].work.resume_from, 7);
        world.complete(two[1], 5);
        assert_eq!(
            world.ended(two[1]),
            Some(AttemptEnd::Complete { tokens: 12 })
        );
    }
);

case!(
    preemption_spares_floors_and_unrepeatable_work,
    world = (1, 3, &[0.0, 0.33, 0.33]),
    {
        world.offer(params(1));
        world.offer(CallParams {
            repeatable: false,
            ..params(1)
        });
        world.offer(params(2));
        world.offer(CallParams {
            left: ms(20),
            ..params(0)
        });
        assert_eq!(world.stops.len(), 1);
        assert!(world.runs[&world.stops[0]].work.spec.repeatable);
        world.offer(CallParams {
            left: ms(20),
            ..params(0)
        });
        assert_eq!(world.stops.len(), 1);
    }
);

case!(urgent_work_is_not_preempted, world = (1, 2, &[0.0, 0.4]), {
    let urgent = [world.offer(params(0)), world.offer(params(0))];
    world.offer(CallParams {
        left: ms(10),
        ..params(1)
    });
    world.offer(CallParams {
        left: ms(10),
        ..params(0)
    });
    world.pass(ms(5_000));
    assert!(world.stops.is_empty());
    assert!(
        urgent
            .iter()
            .all(|attempt| world.runs.contains_key(attempt))
    );
});

case!(
    work_that_is_late_is_refused_at_once,
    world = (1, 1, &[0.0]),
    {
        world.offer(params(0));
        let late = world.offer(params(0));
        world.pass(ms(550));
        let Some(ReturnReason::Refused {
            reason,
            retry_after,
        }) = world.returned(late)
        else {
            panic!("not returned");
        };
        assert_eq!(reason, RefusalReason::Deadline);
        assert!(retry_after.is_some_and(|after| after > Duration::ZERO));
        assert_eq!(world.held(), (0, 1));
    }
);

case!(
    a_long_queue_rejects_calls_on_arrival,
    world = (1, 2, &[0.0, 0.05]),
    {
        for _ in 0..30 {
            let attempt = world.offer(CallParams {
                left: ms(60_000),
                ..params(1)
            });
            world.pass(ms(1_000));
            world.complete(attempt, 100);
        }
        for _ in 0..100 {
            world.offer(params(1));
        }
        let refused = world.messages.iter().rev().take(20);
        let refused = refused.filter(|(_, message)| format!("{message:?}").contains("Overloaded"));
        assert_eq!(refused.count(), 20);
        assert!(world.held().0 >= 20, "{:?}", world.held());
    }
);

case!(
    low_tier_work_with_a_late_deadline_waits,
    world = (1, 1, &[0.0, 0.05, 0.05]),
    {
        for _ in 0..50 {
            world.offer(params(2));
        }
        world.pass(Duration::from_mins(5));
        assert_eq!(world.held(), (49, 1));
    }
);

case!(
    work_that_may_have_run_is_not_rejected,
    world = (1, 1, &[0.0, 0.05]),
    {
        world.offer(params(0));
        let mut work = world.work(CallParams {
            left: ms(0),
            ..params(0)
        });
        work.resume_from = 12;
        world.offer_work(work);
        world.pass(ms(1_000));
        assert_eq!(world.returned(work.attempt), None);
        assert_eq!(world.held(), (1, 1));
    }
);
