//! Tests of the upstreams that requests may be sent to: none that left or that requested a pause.

use std::time::Duration;

use monsoonbank_kernel::gateway::eligibility::{self, EligibilityError};
use monsoonbank_kernel::gateway::registry::{
    LeavingCause, RegistryChange, UpstreamEntry, UpstreamKey, UpstreamRegistry,
};

use crate::registry::entry;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
const DAY: Duration = Duration::from_hours(24);

fn pool(count: u16) -> (UpstreamRegistry, Vec<UpstreamKey>) {
    let mut registry = UpstreamRegistry::default();
    let keys = (1..=count).map(|port| {
        let id = format!("u{port}");
        let change = RegistryChange::Put(entry(&id, port, false));
        registry.apply(change, true, Duration::ZERO);
        registry.key(&id).expect("known")
    });
    let keys = keys.collect();
    (registry, keys)
}

fn request_pause(
    registry: &mut UpstreamRegistry,
    key: UpstreamKey,
    pause: Duration,
    now: Duration,
) {
    let upstream = registry.get_mut(key).expect("known");
    upstream.pause.extend(pause, now);
}

// Guards against a call whose upstream leaves after it was selected and before the call is sent.
#[test]
fn a_call_selected_before_its_upstream_left_is_not_sent() {
    let (mut registry, keys) = pool(1);
    assert!(eligibility::check(&registry, keys[0], S).is_ok());
    registry.record_announcement(keys[0], S);
    let refused = eligibility::check(&registry, keys[0], S).err();
    assert_eq!(
        refused,
        Some(EligibilityError::Left(LeavingCause::Announced))
    );
}

// Guards against a call whose upstream requests a pause after it was selected and before the call
// is sent.
#[test]
fn a_call_selected_before_a_pause_is_not_sent() {
    let (mut registry, keys) = pool(1);
    request_pause(&mut registry, keys[0], S * 3, S);
    let refused = eligibility::check(&registry, keys[0], S * 2).err();
    assert_eq!(refused, Some(EligibilityError::Paused(S * 2)));
}

/// Each case gives the times and lengths of the pauses that an upstream requests, and when the last
/// one ends.
macro_rules! pauses {
    ($($name:ident: $pauses:expr => $end:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut registry, keys) = pool(1);
            for (at, pause) in $pauses {
                request_pause(&mut registry, keys[0], pause, at);
            }
            let end: Duration = $end;
            assert!(eligibility::check(&registry, keys[0], end - MS).is_err());
            assert!(eligibility::check(&registry, keys[0], end).is_ok());
        }
    )*};
}

pauses! {
    a_pause_ends: [(S, S * 3)] => S * 4;
    a_longer_pause_replaces_a_shorter_one: [(S, S * 3), (S * 2, S * 4)] => S * 6;
    a_shorter_pause_ends_no_longer_one: [(S, S * 3), (S * 2, S)] => S * 4;
    a_pause_of_a_day: [(S, DAY)] => S + DAY;
}

#[test]
fn a_pause_without_end_does_not_overflow() {
    let (mut registry, keys) = pool(1);
    request_pause(&mut registry, keys[0], Duration::MAX, S);
    assert!(eligibility::check(&registry, keys[0], DAY * 10_000).is_err());
}

// Guards against a new run that gets no calls because the previous run requested a pause.
#[test]
fn a_new_run_has_requested_no_pause() {
    let (mut registry, keys) = pool(1);
    request_pause(&mut registry, keys[0], DAY, S);
    let run = UpstreamEntry {
        born: Some(7),
        ..entry("u1", 1, false)
    };
    registry.apply(RegistryChange::Put(run), true, S);
    assert_eq!(
        eligibility::eligible_upstreams(&registry, "model", S).count(),
        1
    );
}

// Guards against a run whose entry is written with another address and thereby loses its pause.
#[test]
fn another_address_of_the_same_run_ends_no_pause() {
    let (mut registry, keys) = pool(1);
    request_pause(&mut registry, keys[0], DAY, S);
    registry.apply(RegistryChange::Put(entry("u1", 2, false)), true, S);
    assert_eq!(
        eligibility::eligible_upstreams(&registry, "model", S).count(),
        0
    );
}

/// Each case gives the pauses in seconds of a pool's upstreams, the upstreams that were tried, and
/// the time until one is eligible.
macro_rules! pools {
    ($($name:ident: $pauses:expr, $tried:expr => $opens:expr;)*) => {$(
        #[test]
        fn $name() {
            let pauses: &[u32] = &$pauses;
            let (mut registry, keys) = pool(pauses.len() as u16);
            for (key, pause) in keys.iter().zip(pauses).filter(|(_, pause)| **pause > 0) {
                request_pause(&mut registry, *key, S * *pause, S);
            }
            let tried: &[usize] = &$tried;
            let tried: Vec<UpstreamKey> = tried.iter().map(|index| keys[*index]).collect();
            let opens: Option<Duration> = $opens;
            assert_eq!(eligibility::eligible_in(&registry, "model", &tried, S), opens);
        }
    )*};
}

pools! {
    a_pool_without_upstreams_does_not_pause: [], [] => None;
    an_open_pool_does_not_pause: [0, 3], [] => None;
    a_pausing_pool_opens_with_its_first_upstream: [3, 2], [] => Some(S * 2);
    an_upstream_that_was_tried_opens_nothing_for_the_call: [3, 2], [1] => Some(S * 3);
    an_open_upstream_that_was_tried_opens_nothing_either: [0, 3], [0] => Some(S * 3);
    a_call_that_tried_all_waits_for_none: [3, 2], [0, 1] => Some(Duration::MAX);
    a_pool_that_refuses_without_pauses_does_not_pause: [0, 0], [0, 1] => None;
}
