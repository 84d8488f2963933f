//! Evidence on an upstream's health.

use std::time::Duration;

use monsoonbank_kernel::gateway::health::UpstreamHealth;

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_silent_upstream_rests_longer_each_time_and_not_at_all_after_an_answer() {
    let mut health = UpstreamHealth::default();
    health.silent(Duration::ZERO);
    assert!(health.resting(MS * 499) && !health.resting(MS * 500));
    health.silent(MS * 500);
    assert!(health.resting(MS * 1499) && !health.resting(MS * 1500));
    for round in 2..10 {
        health.silent(Duration::from_secs(10 * round));
    }
    assert!(
        !health.resting(Duration::from_secs(94)),
        "never for more than four seconds"
    );
    health.succeeded();
    health.silent(Duration::from_secs(100));
    assert!(!health.resting(Duration::from_millis(100_500)));
}

#[test]
fn one_that_fails_most_calls_rests_however_fast_it_answers() {
    let mut health = UpstreamHealth::default();
    let failures = (0..100).take_while(|_| {
        health.failed(Duration::ZERO);
        !health.resting(MS)
    });
    assert!(failures.count() < 10);
}

#[test]
fn one_that_fails_some_calls_does_not_rest() {
    let mut health = UpstreamHealth::default();
    for call in 0..1000 {
        if call % 7 == 0 {
            health.failed(MS * call);
        } else {
            health.succeeded();
        }
        assert!(!health.resting(MS * call));
    }
    assert!(health.failures() < 0.3);
}

#[test]
fn many_failures_at_once_are_one_rest() {
    let mut health = UpstreamHealth::default();
    for _ in 0..50 {
        health.silent(Duration::ZERO);
    }
    assert!(!health.resting(MS * 500));
}
