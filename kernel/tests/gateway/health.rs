//! Tests of the health of an upstream.

use std::time::Duration;

use monsoonbank_kernel::gateway::health::UpstreamHealth;

const MS: Duration = Duration::from_millis(1);

#[test]
fn back_off_grows_with_each_missing_answer_and_ends_with_an_answer() {
    let mut health = UpstreamHealth::default();
    health.unanswered(Duration::ZERO);
    assert!(health.is_backed_off(MS * 499) && !health.is_backed_off(MS * 500));
    health.unanswered(MS * 500);
    assert!(health.is_backed_off(MS * 1499) && !health.is_backed_off(MS * 1500));
    for round in 2..10 {
        health.unanswered(Duration::from_secs(10 * round));
    }
    assert!(
        !health.is_backed_off(Duration::from_secs(94)),
        "never for more than four seconds"
    );
    health.succeeded(Duration::from_secs(99));
    health.unanswered(Duration::from_secs(100));
    assert!(!health.is_backed_off(Duration::from_millis(100_500)));
}

#[test]
fn one_that_fails_most_calls_is_backed_off_however_fast_it_answers() {
    let mut health = UpstreamHealth::default();
    let failures = (0..100).take_while(|_| {
        health.failed(Duration::ZERO);
        !health.is_backed_off(MS)
    });
    assert!(failures.count() < 3);
}

#[test]
fn one_that_fails_some_calls_is_not_backed_off() {
    let mut health = UpstreamHealth::default();
    for call in 0..1000 {
        if call % 7 == 0 {
            health.failed(MS * call);
        } else {
            health.succeeded(MS * call);
        }
        assert!(!health.is_backed_off(MS * call));
    }
    assert!(health.failure_share() < 0.3);
}

#[test]
fn many_failures_at_once_cause_one_back_off() {
    let mut health = UpstreamHealth::default();
    for _ in 0..50 {
        health.unanswered(Duration::ZERO);
    }
    assert!(!health.is_backed_off(MS * 500));
}

#[test]
fn after_a_back_off_one_trial_call_at_a_time_is_sent_until_one_is_answered() {
    let mut health = UpstreamHealth::default();
    health.unanswered(Duration::ZERO);
    assert!(!health.is_backed_off(MS * 500) && health.unproven());
    health.attempt_started(MS * 500);
    assert!(health.is_backed_off(MS * 501), "another call is the trial");
    health.answered(MS * 520);
    assert!(!health.is_backed_off(MS * 521) && !health.unproven());
}

#[test]
fn a_trial_that_never_ends_is_followed_by_another() {
    let mut health = UpstreamHealth::default();
    health.unanswered(Duration::ZERO);
    health.attempt_started(MS * 500);
    assert!(!health.is_backed_off(MS * 4500));
}

#[test]
fn one_that_others_report_failing_is_backed_off_while_they_report_it() {
    let mut health = UpstreamHealth::default();
    health.reported_failing(Duration::ZERO);
    assert!(health.is_backed_off(MS * 300) && health.unproven());
    health.reported_failing(MS * 400);
    assert!(health.is_backed_off(MS * 900));
    assert!(!health.is_backed_off(MS * 1500));
    assert!(
        !health.reports_failing(MS * 900),
        "reports of other nodes are not forwarded"
    );
}

#[test]
fn a_failure_report_is_ignored_after_a_recent_answer() {
    let mut health = UpstreamHealth::default();
    health.succeeded(MS * 900);
    health.reported_failing(MS * 1000);
    assert!(!health.is_backed_off(MS * 1000));
    health.failed(MS * 1001);
    health.reported_failing(MS * 1002);
    assert!(
        health.is_backed_off(MS * 1003),
        "but a failure since then does"
    );
}

#[test]
fn own_failures_are_reported_during_the_back_off() {
    let mut health = UpstreamHealth::default();
    health.unanswered(Duration::ZERO);
    assert!(
        !health.reports_failing(MS),
        "the cause may be this node's own link"
    );
    let mut health = UpstreamHealth::default();
    health.unreachable(Duration::ZERO);
    assert!(health.reports_failing(MS * 499) && !health.reports_failing(MS * 500));
    health.attempt_started(MS * 500);
    health.answered(MS * 501);
    assert!(!health.reports_failing(MS * 502));
}
