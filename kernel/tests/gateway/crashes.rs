//! Tests of the quarantine of content, from the reports of several nodes.

use std::collections::BTreeSet;
use std::time::Duration;

use monsoonbank_kernel::gateway::content::ContentDigest;
use monsoonbank_kernel::gateway::crashes::evidence::{CrashReport, SuspectCall};
use monsoonbank_kernel::gateway::crashes::quarantine::QuarantineChange;
use monsoonbank_kernel::gateway::crashes::suspect::{CrashCause, SuspectKey};
use monsoonbank_kernel::gateway::crashes::{CrashDecision, CrashLedger};

const S: Duration = Duration::from_secs(1);
/// Time for which a call is at an upstream before that crashes.
const RUN_TIME: Duration = Duration::from_millis(100);

fn content(number: u64) -> SuspectKey {
    SuspectKey::Content(ContentDigest::from(number))
}

/// A crash of a run under a call with these properties.
fn crash_report(run: u64, suspects: &[SuspectKey]) -> CrashReport {
    CrashReport {
        run,
        age_ms: 0,
        calls: vec![SuspectCall {
            sent_ms: RUN_TIME.as_millis() as u64,
            suspects: suspects.to_vec(),
        }],
    }
}

fn crash(ledger: &mut CrashLedger, number: u64, run: u64, at: Duration) -> Vec<QuarantineChange> {
    let report = crash_report(run, &[content(number)]);
    ledger.record_crash(&report, at).unwrap_or_default()
}

/// Records an answer that begins and ends at this time. Returns whether that ends a quarantine.
fn answer(ledger: &mut CrashLedger, number: u64, at: Duration) -> bool {
    let changes = ledger.record_answer(&[content(number)], at, at);
    changes.iter().any(|change| !change.quarantined)
}

/// A ledger that quarantines content 1 since second 1.
fn quarantined() -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for run in 1..=3_u32 {
        crash(&mut ledger, 1, u64::from(run), S / 4 * (run + 1));
    }
    ledger
}

fn decide(ledger: &CrashLedger, number: u64, may_try: bool, now: Duration) -> CrashDecision {
    ledger.decide(&[content(number)], |_| may_try, now)
}

fn may_be_sent(ledger: &CrashLedger, number: u64, now: Duration) -> bool {
    decide(ledger, number, false, now) == CrashDecision::Admitted
}

fn refused(pause: Duration) -> CrashDecision {
    CrashDecision::Quarantined {
        cause: CrashCause::new(content(1), []),
        pause,
    }
}

/// The change that content 1 is quarantined, or is not any more.
fn change(quarantined: bool) -> Vec<QuarantineChange> {
    vec![QuarantineChange {
        cause: CrashCause::new(content(1), []),
        quarantined,
        crashes: 3,
    }]
}

#[test]
fn the_third_crashed_run_quarantines_content() {
    let mut ledger = CrashLedger::default();
    assert!(crash(&mut ledger, 1, 1, S).is_empty());
    assert!(crash(&mut ledger, 1, 2, S * 2).is_empty());
    assert!(may_be_sent(&ledger, 1, S * 2));
    assert_eq!(crash(&mut ledger, 1, 3, S * 3), change(true));
    assert!(!may_be_sent(&ledger, 1, S * 3));
    assert!(may_be_sent(&ledger, 2, S * 3));
}

// Guards against counting one crash several times when several nodes report it repeatedly.
#[test]
fn a_run_counts_once_however_often_it_is_reported() {
    let mut sender = CrashLedger::default();
    crash(&mut sender, 1, 7, S);
    crash(&mut sender, 1, 8, S);
    let mut ledger = CrashLedger::default();
    for _ in 0..5 {
        ledger.receive(&sender.recent_news(S), S);
        crash(&mut ledger, 1, 7, S);
    }
    assert_eq!(ledger.crashes(content(1)), 2);
    assert!(may_be_sent(&ledger, 1, S));
}

// Guards against nodes that each know of one crash and continue to send the call.
#[test]
fn crashes_observed_by_several_nodes_add_up_in_any_order() {
    let mut nodes: Vec<CrashLedger> = (1..=3_u32)
        .map(|run| {
            let mut ledger = CrashLedger::default();
            crash(&mut ledger, 1, u64::from(run), S / 4 * run);
            ledger
        })
        .collect();
    for (sender, receiver) in [(0, 1), (2, 1), (1, 0), (1, 2)] {
        let news = nodes[sender].recent_news(S);
        nodes[receiver].receive(&news, S);
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
    let reports = known.quarantine_reports(S * 2);
    assert_eq!(ledger.receive_quarantines(&reports, S * 2), change(true));
    assert_eq!(ledger.digest(), known.digest());
    assert!(!may_be_sent(&ledger, 1, S * 2));
}

// Guards against a quarantine of harmless content whose calls were in flight during several
// crashes.
#[test]
fn an_answer_between_crashes_clears_content() {
    let mut ledger = CrashLedger::default();
    for run in 0..10_u32 {
        crash(&mut ledger, 1, u64::from(run), S * run);
        answer(&mut ledger, 1, S * run + S / 2);
    }
    assert!(may_be_sent(&ledger, 1, S * 10));
}

#[test]
fn one_node_tries_a_few_times_and_an_answer_ends_the_quarantine_everywhere() {
    let mut ledger = quarantined();
    let mut other = quarantined();
    assert_eq!(decide(&ledger, 1, true, S * 2), refused(S * 29));
    assert_eq!(decide(&ledger, 1, true, S * 31), CrashDecision::Trial);
    ledger.begin_trial(&[content(1)], S * 31);
    assert!(!may_be_sent(&ledger, 1, S * 31));
    assert!(answer(&mut ledger, 1, S * 32));
    let news = ledger.recent_news(S * 32);
    let cleared = other.receive(&news, S * 32);
    assert_eq!(cleared.len(), 1);
    assert!(!cleared[0].quarantined);
    assert!(may_be_sent(&other, 1, S * 32));
    assert_eq!(ledger.digest(), other.digest());
}

#[test]
fn trials_end_if_they_crash_upstreams_too() {
    let mut ledger = quarantined();
    let mut trials = 0;
    for second in 2..3600 {
        let now = S * second;
        if decide(&ledger, 1, true, now) == CrashDecision::Trial {
            ledger.begin_trial(&[content(1)], now);
            trials += 1;
            crash(&mut ledger, 1, 10 + trials, now);
        }
    }
    assert_eq!(trials, 2);
}

// Guards against a trial whose retries crash one more upstream each.
#[test]
fn a_trial_is_one_attempt() {
    let mut ledger = quarantined();
    ledger.begin_trial(&[content(1)], S * 31);
    let again = decide(&ledger, 1, true, S * 31);
    assert!(matches!(again, CrashDecision::Quarantined { .. }));
}

#[test]
fn a_late_report_of_a_crash_does_not_undo_a_clearing() {
    let mut ledger = quarantined();
    let late = ledger.recent_news(S);
    answer(&mut ledger, 1, S * 2);
    assert!(ledger.receive(&late, S * 2).is_empty());
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
    for number in 0..200 {
        crash(&mut ledger, number, number, S);
    }
    crash(&mut ledger, 33, 1000, S);
    let mut reported = BTreeSet::new();
    for _ in 0..40 {
        let news = ledger.recent_news(S);
        let calls = news.crashes.iter().flat_map(|report| &report.calls);
        let contents: Vec<SuspectKey> = calls.flat_map(|call| call.suspects.clone()).collect();
        assert!(contents.contains(&content(33)));
        reported.extend(contents);
    }
    assert_eq!(reported.len(), 200);
    assert!(ledger.recent_news(S * 17).crashes.is_empty());
}

// Guards against crashes that only a node knows of which was cut off when they happened.
#[test]
fn a_node_repeats_the_crashes_that_it_noticed_for_a_while() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, 1, 1, S);
    let mut other = CrashLedger::default();
    other.receive(&ledger.recent_news(S), S);
    assert!(!ledger.recent_news(S * 10).crashes.is_empty());
    assert!(other.recent_news(S * 10).crashes.is_empty());
}

#[test]
fn memory_is_bounded_and_quarantines_stay() {
    let mut ledger = quarantined();
    for number in 2..10_000 {
        crash(&mut ledger, number, number, S * 2);
    }
    assert!(!may_be_sent(&ledger, 1, S * 2));
    assert_eq!(ledger.crashes(content(2)), 0);
    assert_eq!(ledger.crashes(content(9999)), 1);
}
