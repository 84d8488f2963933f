//! Tests of the quarantine of content, from the reports of several nodes.

use std::time::Duration;

use monsoonbank_kernel::gateway::content::ContentDigest;
use monsoonbank_kernel::gateway::crashes::{ContentDecision, CrashChange, CrashLedger};

const S: Duration = Duration::from_secs(1);

fn content(number: u64) -> ContentDigest {
    ContentDigest::from(number)
}

fn quarantined() -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for run in 1..=3 {
        ledger.record_crash(content(1), run, S);
    }
    ledger
}

fn may_be_sent(ledger: &CrashLedger, number: u64, now: Duration) -> bool {
    ledger.decide(content(number), || false, now) == ContentDecision::Admitted
}

#[test]
fn the_third_crashed_run_quarantines_content() {
    let mut ledger = CrashLedger::default();
    assert_eq!(ledger.record_crash(content(1), 1, S), CrashChange::Updated);
    assert_eq!(ledger.record_crash(content(1), 2, S), CrashChange::Updated);
    assert!(may_be_sent(&ledger, 1, S));
    assert_eq!(
        ledger.record_crash(content(1), 3, S),
        CrashChange::Quarantined
    );
    assert!(!may_be_sent(&ledger, 1, S));
    assert!(may_be_sent(&ledger, 2, S));
}

// Guards against counting one crash several times when several nodes report it repeatedly.
#[test]
fn a_run_counts_once_however_often_it_is_reported() {
    let mut sender = CrashLedger::default();
    sender.record_crash(content(1), 7, S);
    sender.record_crash(content(1), 8, S);
    let mut ledger = CrashLedger::default();
    for _ in 0..5 {
        for report in sender.recent_reports(S) {
            ledger.receive(&report, S);
        }
        ledger.record_crash(content(1), 7, S);
    }
    assert_eq!(ledger.crashes(content(1)), 2);
    assert!(may_be_sent(&ledger, 1, S));
}

// Guards against nodes that each know of one crash and continue to send the call.
#[test]
fn crashes_observed_by_several_nodes_add_up_in_any_order() {
    let mut nodes: Vec<CrashLedger> = (1..=3)
        .map(|run| {
            let mut ledger = CrashLedger::default();
            ledger.record_crash(content(1), run, S);
            ledger
        })
        .collect();
    for (sender, receiver) in [(0, 1), (2, 1), (1, 0), (1, 2)] {
        for report in nodes[sender].recent_reports(S) {
            nodes[receiver].receive(&report, S);
        }
    }
    for ledger in &mut nodes {
        assert!(!may_be_sent(ledger, 1, S));
    }
    assert!(
        nodes
            .iter()
            .all(|ledger| ledger.digest() == nodes[0].digest())
    );
}

#[test]
fn a_node_that_lacks_a_quarantine_has_another_digest_and_receives_the_whole_record() {
    let known = quarantined();
    let mut ledger = CrashLedger::default();
    assert_ne!(ledger.digest(), known.digest());
    for report in known.decided_reports(S * 2) {
        assert_eq!(ledger.receive(&report, S * 2), CrashChange::Quarantined);
    }
    assert_eq!(ledger.digest(), known.digest());
    assert!(!may_be_sent(&ledger, 1, S * 2));
}

// Guards against a quarantine of harmless content whose calls were in flight during several
// crashes.
#[test]
fn an_answer_between_crashes_clears_content() {
    let mut ledger = CrashLedger::default();
    for run in 0..10 {
        ledger.record_crash(content(1), run, S);
        ledger.record_answer(content(1), S);
    }
    assert!(may_be_sent(&ledger, 1, S));
}

#[test]
fn one_node_tries_a_few_times_and_an_answer_ends_the_quarantine_everywhere() {
    let mut ledger = quarantined();
    let mut other = quarantined();
    let wait = ContentDecision::Quarantined { pause: S * 29 };
    assert_eq!(ledger.decide(content(1), || true, S * 2), wait);
    let trial = ledger.decide(content(1), || true, S * 31);
    assert_eq!(trial, ContentDecision::Trial);
    ledger.begin_trial(content(1), S * 31);
    assert!(!may_be_sent(&ledger, 1, S * 31));
    assert!(ledger.record_answer(content(1), S * 32));
    for report in ledger.recent_reports(S * 32) {
        assert_eq!(other.receive(&report, S * 32), CrashChange::Cleared);
    }
    assert!(may_be_sent(&other, 1, S * 32));
    assert_eq!(ledger.digest(), other.digest());
}

#[test]
fn trials_end_if_they_crash_upstreams_too() {
    let mut ledger = quarantined();
    let mut trials = 0;
    for second in 2..3600 {
        let now = S * second;
        if ledger.decide(content(1), || true, now) == ContentDecision::Trial {
            ledger.begin_trial(content(1), now);
            trials += 1;
            ledger.record_crash(content(1), 10 + trials, now);
        }
    }
    assert_eq!(trials, 2);
}

// Guards against a trial whose retries crash one more upstream each.
#[test]
fn a_trial_is_one_attempt() {
    let mut ledger = quarantined();
    ledger.begin_trial(content(1), S * 31);
    let again = ledger.decide(content(1), || true, S * 31);
    assert!(matches!(again, ContentDecision::Quarantined { .. }));
}

#[test]
fn a_late_report_of_a_crash_does_not_undo_a_clearing() {
    let mut ledger = quarantined();
    let late = ledger.recent_reports(S);
    ledger.record_answer(content(1), S * 2);
    for report in &late {
        assert_eq!(ledger.receive(report, S * 2), CrashChange::Unchanged);
    }
    assert!(may_be_sent(&ledger, 1, S * 2));
}

#[test]
fn a_quarantine_ends_an_hour_after_the_last_crash() {
    let mut ledger = quarantined();
    assert!(!may_be_sent(&ledger, 1, S * 3600));
    assert!(may_be_sent(&ledger, 1, S * 3602));
    ledger.expire(S * 3602);
    assert_eq!((ledger.quarantined(), ledger.digest()), (0, 0));
}

// Guards against a crash during many calls that delays the reports of the content that causes
// repeated crashes.
#[test]
fn content_with_more_crashes_is_reported_first_and_the_rest_in_turn() {
    let mut ledger = CrashLedger::default();
    for number in 0..40 {
        ledger.record_crash(content(number), 1, S);
    }
    ledger.record_crash(content(33), 2, S);
    let mut reported = std::collections::BTreeSet::new();
    for _ in 0..20 {
        let reports = ledger.recent_reports(S);
        assert!(reports.iter().any(|report| report.content == content(33)));
        reported.extend(reports.into_iter().map(|report| report.content));
    }
    assert_eq!(reported.len(), 40);
    assert!(ledger.recent_reports(S * 3).is_empty());
}

#[test]
fn memory_is_bounded_and_quarantines_stay() {
    let mut ledger = quarantined();
    for number in 2..10_000 {
        ledger.record_crash(content(number), 1, S * 2);
    }
    assert!(!may_be_sent(&ledger, 1, S * 2));
    assert_eq!(ledger.crashes(content(2)), 0);
    assert_eq!(ledger.crashes(content(9999)), 1);
}
