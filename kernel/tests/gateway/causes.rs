//! Tests of what crashes have in common: prompt parts that cause them, and sound ones beside them.

use std::time::Duration;

use monsoonbank_kernel::gateway::content::ContentDigest;
use monsoonbank_kernel::gateway::crashes::evidence::{CrashReport, SuspectCall};
use monsoonbank_kernel::gateway::crashes::suspect::{self, CrashCause, SuspectKey};
use monsoonbank_kernel::gateway::crashes::{CrashDecision, CrashLedger};
use monsoonbank_kernel::gateway::prompt::{PromptPart, PromptShape};

const S: Duration = Duration::from_secs(1);
/// Time for which calls are at an upstream before that crashes.
const SENT: Duration = Duration::from_millis(200);
/// A part that crashes upstreams.
const BAD: u64 = 0xbad;
/// Crashes after which a part has to be quarantined.
const CRASHES: u32 = 5;

fn part(id: u64) -> SuspectKey {
    SuspectKey::Part(id)
}

/// Properties of a call with its own content and these parts.
fn call(content: u64, parts: &[u64]) -> Vec<SuspectKey> {
    let content = SuspectKey::Content(ContentDigest::from(content));
    let parts = parts.iter().map(|id| part(*id));
    [content].into_iter().chain(parts).collect()
}

fn report(run: u64, calls: &[Vec<SuspectKey>]) -> CrashReport {
    let call = |suspects: &Vec<SuspectKey>| SuspectCall {
        sent_ms: SENT.as_millis() as u64,
        suspects: suspects.clone(),
    };
    CrashReport {
        run,
        age_ms: 0,
        calls: calls.iter().map(call).collect(),
    }
}

fn crash(ledger: &mut CrashLedger, run: u64, calls: &[Vec<SuspectKey>], at: Duration) {
    ledger.record_crash(&report(run, calls), at);
    ledger.settle(at + S);
}

fn is_refused(ledger: &CrashLedger, parts: &[u64], now: Duration) -> bool {
    let decision = ledger.decide(&call(999, parts), |_| false, now);
    decision != CrashDecision::Admitted
}

/// Defines a case: parts of the calls that crash upstreams in turn, parts of sound calls that are answered
/// between the crashes, calls that are refused then, and calls that are not.
macro_rules! causes {
    ($($name:ident: $crashing:expr, $sound:expr, $refused:expr, $admitted:expr;)*) => {$(
        #[test]
        fn $name() {
            let crashing: &[&[u64]] = &$crashing;
            let sound: &[&[u64]] = &$sound;
            let mut ledger = CrashLedger::default();
            for number in 1..=CRASHES * crashing.len() as u32 {
                let parts = crashing[number as usize % crashing.len()];
                let run = u64::from(number);
                let beside = sound.iter().map(|parts| call(500 + run, parts));
                let calls: Vec<_> = beside.chain([call(run, parts)]).collect();
                crash(&mut ledger, run, &calls, S * 2 * number);
                for parts in sound {
                    let began_at = S * 2 * number + S / 2;
                    ledger.record_answer(&call(700 + run, parts), began_at, began_at + S);
                }
            }
            let now = S * 100;
            let refused: &[&[u64]] = &$refused;
            for parts in refused {
                assert!(is_refused(&ledger, parts, now), "{parts:x?} is admitted");
            }
            let admitted: &[&[u64]] = &$admitted;
            for parts in admitted {
                assert!(!is_refused(&ledger, parts, now), "{parts:x?} is refused");
            }
        }
    )*};
}

// Guards against crashes that go on since a part is not blamed, and against sound calls that are refused
// with it.
causes! {
    a_part_in_the_middle: [&[1, BAD]], [&[1]], [&[1, BAD], &[2, BAD], &[BAD]], [&[1], &[2], &[]];
    a_part_that_comes_first: [&[BAD, 1]], [&[1]], [&[BAD, 1], &[BAD]], [&[1], &[2], &[]];
    a_part_beside_many_others: [&[1, 2, BAD, 3]], [&[1, 2], &[3]], [&[BAD]], [&[1], &[2], &[3]];
    a_part_in_calls_of_several_callers: [&[1, BAD], &[2, BAD]], [&[1], &[2]], [&[BAD]], [&[1], &[2]];
    parts_that_always_come_together: [&[1, BAD]], [], [&[1, BAD]], [&[1], &[BAD]];
    two_parts_at_once: [&[1, BAD], &[1, 7]], [&[1]], [&[BAD], &[7]], [&[1]];
    sound_parts_at_each_crash: [&[BAD]], [&[1], &[2], &[3]], [&[BAD]], [&[1], &[2], &[3]];
}

// Guards against a part that crashes upstreams for the first time after many answers.
#[test]
fn a_part_that_was_answered_until_now() {
    let mut ledger = CrashLedger::default();
    for second in 1..10 {
        ledger.record_answer(
            &call(second, &[1, BAD]),
            S * second as u32,
            S * second as u32,
        );
    }
    for number in 1..=CRASHES {
        let run = u64::from(number);
        crash(
            &mut ledger,
            run,
            &[call(run, &[1, BAD])],
            S * (10 + 2 * number),
        );
        let began_at = S * (11 + 2 * number);
        ledger.record_answer(&call(run, &[1]), began_at, began_at);
    }
    assert!(is_refused(&ledger, &[1, BAD], S * 30));
    assert!(!is_refused(&ledger, &[1], S * 30));
}

// Guards against taking a wave of crashes for crashes under one part.
#[test]
fn a_wave_that_takes_all_upstreams_counts_once() {
    let mut ledger = CrashLedger::default();
    for wave in 1..=3_u32 {
        for run in 0..18 {
            let calls = [call(run, &[1, 2]), call(100 + run, &[1])];
            let at = S * 4 * wave + Duration::from_millis(run);
            ledger.record_crash(&report(run + 100 * u64::from(wave), &calls), at);
        }
    }
    ledger.settle(S * 14);
    assert!(!is_refused(&ledger, &[1, 2], S * 14));
}

// Guards against counting a retry that breaks off in the same wave as its first attempt as two crashes.
#[test]
fn a_retry_within_a_wave_is_little_evidence() {
    let mut ledger = CrashLedger::default();
    for wave in 1..=4_u32 {
        let at = S * 4 * wave;
        for run in 0..6 {
            let run = run + 100 * u64::from(wave);
            ledger.record_crash(&report(run, &[call(run, &[1])]), at);
        }
        let retry = CrashReport {
            calls: vec![SuspectCall {
                sent_ms: 3,
                suspects: call(1, &[5]),
            }],
            ..report(100 * u64::from(wave) + 5, &[])
        };
        ledger.record_crash(&report(100 * u64::from(wave), &[call(1, &[5])]), at);
        ledger.record_crash(&retry, at + Duration::from_millis(4));
    }
    let decision = ledger.decide(&call(1, &[5]), |_| false, S * 17);
    assert_eq!(decision, CrashDecision::Admitted);
}

// Guards against an upstream that is back under its identifier and crashes again: the same run twice.
#[test]
fn a_run_that_is_back_crashes_anew() {
    let mut ledger = CrashLedger::default();
    for number in 1..=CRASHES {
        let run = u64::from(number);
        crash(&mut ledger, 7, &[call(run, &[BAD])], S * 3 * number);
    }
    assert_eq!(ledger.crashes(part(BAD)), CRASHES as usize);
    assert!(is_refused(&ledger, &[BAD], S * 20));
}

// Guards against a node that was frozen and notices a crash late, which counts as one more.
#[test]
fn a_crash_that_is_noticed_late_counts_once() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, 7, &[call(1, &[BAD])], S * 3);
    let late = CrashReport {
        calls: vec![SuspectCall {
            sent_ms: 5200,
            suspects: call(2, &[BAD]),
        }],
        ..report(7, &[])
    };
    ledger.record_crash(&late, S * 8);
    assert_eq!(ledger.crashes(part(BAD)), 1);
}

// Guards against a quarantine of a sound part that lasts although calls that were on their way are answered.
#[test]
fn an_answer_that_began_between_the_crashes_ends_a_wrong_quarantine() {
    let mut ledger = CrashLedger::default();
    for number in 1..=CRASHES {
        let run = u64::from(number);
        crash(&mut ledger, run, &[call(run, &[1])], S * 2 * number);
    }
    assert!(is_refused(&ledger, &[1], S * 12));
    let changes = ledger.record_answer(&call(50, &[1]), S * 9, S * 13);
    assert!(changes.iter().any(|change| !change.quarantined));
    assert!(!is_refused(&ledger, &[1], S * 13));
}

// Guards against one node that refuses a sound part since it knows crashes and no answers.
#[test]
fn nodes_tell_each_other_of_answers_to_suspected_parts() {
    let mut serving = CrashLedger::default();
    let mut other = CrashLedger::default();
    for number in 1..=CRASHES {
        let run = u64::from(number);
        let at = S * 2 * number;
        serving.record_crash(&report(run, &[call(run, &[1, BAD])]), at);
        serving.record_answer(&call(40 + run, &[1]), at + S / 2, at + S);
        let news = serving.recent_news(at + S);
        other.receive(&news, at + S);
        other.settle(at + S * 2);
    }
    for ledger in [&serving, &other] {
        assert!(is_refused(ledger, &[2, BAD], S * 12));
        assert!(!is_refused(ledger, &[1], S * 12));
    }
}

// Guards against retries that crash one upstream more each, and against sound calls that are not retried.
#[test]
fn a_part_is_suspected_after_two_crashes_unless_it_was_ever_answered() {
    let mut ledger = CrashLedger::default();
    ledger.record_answer(&call(1, &[1]), S, S);
    crash(&mut ledger, 1, &[call(1, &[1, BAD])], S * 2);
    assert!(!ledger.is_suspected(&call(2, &[1, BAD])));
    crash(&mut ledger, 2, &[call(2, &[1, BAD])], S * 4);
    assert!(ledger.is_suspected(&call(3, &[1, BAD])));
    assert!(!ledger.is_suspected(&call(3, &[1])));
}

#[test]
fn an_answered_trial_ends_the_quarantine_of_a_part_everywhere() {
    let mut ledger = CrashLedger::default();
    for number in 1..=CRASHES {
        let run = u64::from(number);
        crash(&mut ledger, run, &[call(run, &[BAD])], S * 2 * number);
    }
    let mut other = CrashLedger::default();
    other.receive_quarantines(&ledger.quarantine_reports(S * 11), S * 11);
    let trial = call(90, &[BAD]);
    assert_eq!(
        ledger.decide(&trial, |_| true, S * 60),
        CrashDecision::Trial
    );
    ledger.begin_trial(&trial, S * 60);
    assert!(is_refused(&ledger, &[BAD], S * 60));
    ledger.record_answer(&trial, S * 61, S * 62);
    let news = ledger.recent_news(S * 62);
    other.receive(&news, S * 62);
    for ledger in [&ledger, &other] {
        assert!(!is_refused(ledger, &[BAD], S * 62));
    }
}

// Guards against trials that spend more upstreams than a part may crash after its fifth.
#[test]
fn two_trials_of_a_part_are_made() {
    let mut ledger = CrashLedger::default();
    for number in 1..=CRASHES {
        let run = u64::from(number);
        crash(&mut ledger, run, &[call(run, &[BAD])], S * 2 * number);
    }
    let mut trials = 0;
    for second in 12..3600_u32 {
        let trial = call(1000 + u64::from(second), &[BAD]);
        if ledger.decide(&trial, |_| true, S * second) == CrashDecision::Trial {
            ledger.begin_trial(&trial, S * second);
            trials += 1;
            ledger.record_crash(&report(100 + trials, &[trial]), S * second);
        }
    }
    assert_eq!(trials, 2);
}

fn shape(ids: &[u64]) -> PromptShape {
    let parts = ids.iter().map(|id| PromptPart {
        id: *id,
        tokens: 10,
    });
    PromptShape {
        parts: parts.collect(),
        ..PromptShape::default()
    }
}

#[test]
fn the_last_part_is_never_suspected() {
    let content = ContentDigest::from(1);
    let suspects = |ids: &[u64]| suspect::suspects_of(content, &shape(ids)).to_vec();
    assert_eq!(suspects(&[1, 2, 3]), call(1, &[1, 2]));
    assert_eq!(suspects(&[3]), call(1, &[]));
    assert_eq!(suspects(&[]), call(1, &[]));
    assert_eq!(suspects(&[3, 1, 1, 3]), call(1, &[1]));
}

#[test]
fn a_huge_prompt_has_a_bounded_number_of_suspects() {
    let ids: Vec<u64> = (0..5000).collect();
    let suspects = suspect::suspects_of(ContentDigest::from(1), &shape(&ids));
    assert_eq!(suspects.len(), 1 + suspect::MAX_PARTS);
}

#[test]
fn a_cause_of_several_parts_applies_to_calls_with_all() {
    let cause = CrashCause::new(part(2), [part(1)]);
    assert_eq!(cause.to_string(), "part:1+part:2");
    assert!(cause.applies_to(&call(9, &[1, 5, 2])));
    assert!(!cause.applies_to(&call(9, &[1])));
}
