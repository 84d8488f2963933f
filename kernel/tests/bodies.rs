//! The memory that request bodies take, and which calls give way.

use std::time::Duration;

use monsoonbank_kernel::bodies::{BodyEvicted, BodyGrant, BodyKey, BodyLedger};
use proptest::prelude::*;

const KIB: usize = 1 << 10;
/// Memory of the host; bodies may take a quarter.
const MEMORY: usize = 4096 * KIB;
const LIMIT: usize = MEMORY / 4;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A ledger with bodies of these sizes, in KiB, whose last bytes came at these seconds.
fn ledger(bodies: &[(usize, u64)]) -> (BodyLedger, Vec<BodyKey>) {
    let mut ledger = BodyLedger::new(MEMORY);
    let keys = bodies.iter().map(|(size, second)| {
        let key = ledger.open(at(*second));
        let granted = ledger.allocate(key, size * KIB, at(*second));
        assert_eq!(granted, BodyGrant::Granted(Vec::new()), "{size} KiB");
        key
    });
    let keys = keys.collect();
    (ledger, keys)
}

fn allocate(ledger: &mut BodyLedger, size: usize, now: Duration) -> BodyGrant {
    let key = ledger.open(now);
    ledger.allocate(key, size * KIB, now)
}

/// Closes bodies that gave way, and returns the memory that is held then.
fn evicted_are_closed(ledger: &mut BodyLedger, places: &[usize], keys: &[BodyKey]) -> usize {
    for place in places {
        ledger.close(keys[*place], at(10));
    }
    ledger.held()
}

/// Defines a case: bodies that are being read (KiB, second of the last byte), and those of them that
/// give way to a new body of a size at 10 s.
macro_rules! evicts {
    ($($name:ident: $bodies:expr, $size:expr => $evicted:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut ledger, keys) = ledger(&$bodies);
            let evicted: &[usize] = &$evicted;
            let evicted = evicted.iter().map(|place| keys[*place]).collect();
            assert_eq!(allocate(&mut ledger, $size, at(10)), BodyGrant::Granted(evicted));
            assert!(evicted_are_closed(&mut ledger, &$evicted, &keys) <= LIMIT);
            assert!(ledger.is_settled());
        }
    )*};
}

evicts! {
    none_while_there_is_room: [(300, 1), (300, 2)], 100 => [];
    the_client_that_stopped_first: [(200, 5), (300, 2), (200, 10)], 100 => [1];
    all_that_stopped_if_need_be: [(200, 5), (200, 2), (300, 10)], 400 => [1, 0];
    a_stopped_one_before_a_larger_one: [(100, 5), (600, 10)], 90 => [0];
    the_largest_if_none_stopped: [(200, 10), (300, 10), (200, 10)], 100 => [1];
    one_that_paused_briefly_counts_as_sending: [(300, 10), (400, 10)], 100 => [1];
}

#[test]
fn the_largest_body_is_granted_in_calm() {
    let mut ledger = BodyLedger::new(MEMORY);
    assert_eq!(ledger.largest(), 767 * KIB);
    assert_eq!(
        allocate(&mut ledger, 767, at(1)),
        BodyGrant::Granted(Vec::new())
    );
    let mut ledger = BodyLedger::new(MEMORY);
    let granted = allocate(&mut ledger, 768, at(1));
    assert!(matches!(granted, BodyGrant::Refused { .. }), "{granted:?}");
}

#[test]
fn a_body_is_refused_rather_than_a_smaller_one() {
    let (mut ledger, _) = ledger(&[(250, 10), (250, 10), (250, 10)]);
    let key = ledger.open(at(10));
    let granted = ledger.allocate(key, 300 * KIB, at(10));
    assert!(matches!(granted, BodyGrant::Refused { .. }), "{granted:?}");
    ledger.close(key, at(10));
    assert_eq!(ledger.len(), 3);
}

#[test]
fn none_gives_way_to_a_body_that_is_refused_all_the_same() {
    let (mut ledger, keys) = ledger(&[(250, 1), (250, 1), (250, 1)]);
    for key in &keys[1..] {
        assert_eq!(ledger.pin(*key), Ok(()));
    }
    let granted = allocate(&mut ledger, 600, at(10));
    assert!(matches!(granted, BodyGrant::Refused { .. }), "{granted:?}");
    assert_eq!(ledger.pin(keys[0]), Ok(()));
}

#[test]
fn a_small_body_finds_room_beside_large_ones_that_were_sent() {
    let (mut ledger, keys) = ledger(&[(250, 1), (250, 1), (250, 1)]);
    for key in keys {
        ledger.complete(key);
        assert_eq!(ledger.pin(key), Ok(()));
    }
    let granted = allocate(&mut ledger, 100, at(10));
    assert!(matches!(granted, BodyGrant::Refused { .. }), "{granted:?}");
    for _ in 0..50 {
        assert_eq!(
            allocate(&mut ledger, 1, at(10)),
            BodyGrant::Granted(Vec::new())
        );
    }
}

#[test]
fn a_whole_body_that_waits_gives_way_and_must_not_be_sent() {
    let (mut ledger, keys) = ledger(&[(300, 1), (400, 1)]);
    ledger.complete(keys[0]);
    ledger.complete(keys[1]);
    let granted = allocate(&mut ledger, 100, at(10));
    assert_eq!(granted, BodyGrant::Granted(vec![keys[1]]));
    assert_eq!(ledger.pin(keys[1]), Err(BodyEvicted));
    assert_eq!(ledger.pin(keys[0]), Ok(()));
}

#[test]
fn memory_that_gives_way_counts_until_it_is_released() {
    let (mut ledger, keys) = ledger(&[(600, 1), (150, 10)]);
    let granted = allocate(&mut ledger, 400, at(10));
    assert_eq!(granted, BodyGrant::Granted(vec![keys[0]]));
    assert!(!ledger.is_settled(), "{} bytes are held", ledger.held());
    ledger.close(keys[0], at(10));
    assert!(ledger.is_settled());
}

#[test]
fn a_connection_is_taken_from_the_client_that_stopped_first() {
    let (mut ledger, keys) = ledger(&[(1, 5), (1, 2), (1, 10)]);
    assert_eq!(ledger.evict_stalled(at(10)), Some(keys[1]));
    assert_eq!(ledger.evict_stalled(at(10)), Some(keys[0]));
    assert_eq!(ledger.evict_stalled(at(10)), None);
}

/// Bodies that take all room for 2 s each, one after the other; the time that a refused caller is told.
fn told_after(releases: usize) -> Duration {
    let mut ledger = BodyLedger::new(MEMORY);
    let mut now = at(2);
    for _ in 0..releases {
        let key = ledger.open(now);
        ledger.allocate(key, 700 * KIB, now);
        now += at(2);
        ledger.close(key, now);
    }
    let key = ledger.open(now);
    ledger.allocate(key, 700 * KIB, now);
    ledger.pin(key).expect("it is held");
    match allocate(&mut ledger, 700, now) {
        BodyGrant::Refused { retry_after } => retry_after,
        BodyGrant::Granted(_) => panic!("there is no room"),
    }
}

#[test]
fn a_caller_refused_beside_unsent_bodies_may_return_soon() {
    let (mut ledger, _) = ledger(&[(250, 10), (250, 10), (250, 10)]);
    let granted = allocate(&mut ledger, 300, at(10));
    assert_eq!(granted, BodyGrant::Refused { retry_after: at(1) });
}

#[test]
fn a_refused_caller_is_told_when_there_was_room_lately() {
    assert_eq!(told_after(0), at(10));
    let told = told_after(3);
    assert!((at(1)..=at(3)).contains(&told), "{told:?}");
}

/// A step of a drawn history: what happens to which of the bodies, and after how many ms.
#[derive(Clone, Copy, Debug)]
enum HistoryStep {
    Open,
    Allocate(usize, usize),
    Progress(usize),
    Complete(usize),
    Pin(usize),
    Close(usize),
    EvictStalled,
}

fn steps() -> impl Strategy<Value = Vec<(HistoryStep, u64)>> {
    let place = 0..40_usize;
    let step = prop_oneof![
        Just(HistoryStep::Open),
        Just(HistoryStep::Open),
        (place.clone(), 0..300 * KIB).prop_map(|(place, size)| HistoryStep::Allocate(place, size)),
        (place.clone(), 0..300 * KIB).prop_map(|(place, size)| HistoryStep::Allocate(place, size)),
        place.clone().prop_map(HistoryStep::Progress),
        place.clone().prop_map(HistoryStep::Complete),
        place.clone().prop_map(HistoryStep::Pin),
        place.prop_map(HistoryStep::Close),
        Just(HistoryStep::EvictStalled),
    ];
    prop::collection::vec((step, 0..800_u64), 1..200)
}

/// One body as the history knows it.
struct KnownBody {
    key: BodyKey,
    pinned: bool,
    live: bool,
}

fn end(bodies: &mut [KnownBody], key: BodyKey) {
    for body in bodies.iter_mut().filter(|body| body.key == key) {
        assert!(
            body.live && !body.pinned,
            "gave way twice, or after it was sent"
        );
        body.live = false;
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1000))]

    // Guards against memory that is never released, a limit that is exceeded, and calls that give way
    // after they were sent.
    #[test]
    fn drawn_histories_stay_within_the_limit_and_end_at_zero(steps in steps()) {
        let mut ledger = BodyLedger::new(MEMORY);
        let mut bodies: Vec<KnownBody> = Vec::new();
        let mut now = Duration::ZERO;
        for (step, pause) in steps {
            now += Duration::from_millis(pause);
            match step {
                HistoryStep::Open => {
                    let key = ledger.open(now);
                    bodies.push(KnownBody { key, pinned: false, live: true });
                }
                HistoryStep::Allocate(place, size) if place < bodies.len() => {
                    let key = bodies[place].key;
                    match ledger.allocate(key, size, now) {
                        BodyGrant::Granted(evicted) => {
                            prop_assert!(bodies[place].live);
                            for key in evicted {
                                end(&mut bodies, key);
                                prop_assert!(ledger.held() > 0);
                                ledger.close(key, now);
                            }
                            prop_assert!(ledger.is_settled());
                        }
                        BodyGrant::Refused { retry_after } => {
                            prop_assert!(retry_after >= at(1) && retry_after <= at(10));
                            bodies[place].live = false;
                            ledger.close(key, now);
                        }
                    }
                    // Only the heads of calls may exceed the limit.
                    prop_assert!(ledger.held() <= LIMIT + ledger.len() * KIB);
                }
                HistoryStep::Progress(place) if place < bodies.len() && !bodies[place].pinned => {
                    ledger.progress(bodies[place].key, now);
                }
                HistoryStep::Complete(place) if place < bodies.len() && !bodies[place].pinned => {
                    ledger.complete(bodies[place].key);
                }
                HistoryStep::Pin(place) if place < bodies.len() => {
                    let pinned = ledger.pin(bodies[place].key).is_ok();
                    prop_assert_eq!(pinned, bodies[place].live);
                    bodies[place].pinned |= pinned;
                }
                HistoryStep::Close(place) if place < bodies.len() => {
                    ledger.close(bodies[place].key, now);
                    bodies[place].live = false;
                }
                HistoryStep::EvictStalled => {
                    if let Some(key) = ledger.evict_stalled(now) {
                        end(&mut bodies, key);
                        ledger.close(key, now);
                    }
                }
                _ => {}
            }
            prop_assert_eq!(ledger.len(), bodies.iter().filter(|body| body.live).count());
        }
        for body in &bodies {
            ledger.close(body.key, now);
        }
        prop_assert_eq!((ledger.held(), ledger.len()), (0, 0));
    }
}
