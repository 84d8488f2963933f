//! Tests of the counts of calls by workspace: reports of nodes, the time at which a window is
//! final, and reports to the platform.

use std::time::Duration;

use monsoonbank_kernel::gateway::reports::{FinalWindow, ReportMoment, UsageReports};
use monsoonbank_kernel::gateway::usage::{UsageLedger, WindowUsage, WorkspaceCounts};

const LENGTH: Duration = Duration::from_secs(5);
const LATE: Duration = Duration::from_secs(10);
/// The window from 500 s to 505 s.
const WINDOW: u64 = 100;

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn report(window: u64, count: u64) -> Vec<WindowUsage> {
    vec![WindowUsage {
        window,
        counts: vec![("fern".into(), count)],
    }]
}

fn counts(count: u64) -> WorkspaceCounts {
    WorkspaceCounts::from([("fern".into(), count)])
}

/// A ledger with two own calls in the window.
fn ledger() -> UsageLedger {
    let mut ledger = UsageLedger::new(LENGTH);
    ledger.count("fern", at(500.0));
    ledger.count("fern", at(504.9));
    ledger
}

fn moment(now: f64) -> ReportMoment {
    ReportMoment {
        now: at(now),
        held_since: at(490.0),
        first_window: 0,
    }
}

fn reports() -> UsageReports {
    UsageReports::new(LATE)
}

#[test]
fn a_call_counts_in_the_window_in_which_it_began() {
    let mut ledger = ledger();
    ledger.count("fern", at(505.0));
    assert_eq!(ledger.total(WINDOW), counts(2));
    assert_eq!(ledger.total(WINDOW + 1), counts(1));
}

#[test]
fn duplicate_and_reordered_reports_change_nothing() {
    let mut ledger = ledger();
    ledger.merge(7, report(WINDOW, 5), at(504.0));
    ledger.merge(7, report(WINDOW, 3), at(504.1));
    ledger.merge(7, report(WINDOW, 5), at(504.2));
    ledger.merge(8, report(WINDOW, 1), at(504.3));
    assert_eq!(ledger.total(WINDOW), counts(8));
}

macro_rules! settled {
    ($($name:ident: $reports:expr, $now:expr => $settled:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut ledger = ledger();
            for (source, time) in $reports {
                ledger.merge(source, report(WINDOW, 1), at(time));
            }
            assert_eq!(ledger.is_settled(WINDOW, at($now)), $settled);
        }
    )*};
}

settled! {
    a_window_that_goes_on_is_not_final: [(1, 504.0)], 504.5 => false;
    nodes_have_time_to_report_after_its_end: [(1, 505.2)], 505.9 => false;
    it_is_final_once_all_have_reported: [(1, 505.2), (2, 505.4)], 506.0 => true;
    a_node_that_has_not_reported_since_is_waited_for: [(1, 505.2), (2, 504.0)], 506.5 => false;
    but_not_for_long: [(1, 505.2), (2, 504.0)], 509.0 => true;
    a_node_that_was_silent_before_it_is_not_waited_for: [(1, 505.2), (2, 499.0)], 506.5 => true;
}

#[test]
fn a_window_is_written_before_it_is_sent() {
    let (ledger, mut reports) = (ledger(), reports());
    assert_eq!(reports.to_send(at(507.0)), None);
    let last = reports.to_write(&ledger, moment(507.0));
    let expected = FinalWindow {
        window: WINDOW,
        counts: counts(2),
    };
    assert_eq!(last, std::slice::from_ref(&expected));
    assert_eq!(reports.to_send(at(507.0)), None);
    reports.written(expected.clone());
    assert_eq!(reports.to_send(at(507.0)), Some(expected));
}

#[test]
fn a_written_window_is_never_counted_again() {
    let (mut ledger, mut reports) = (ledger(), reports());
    let read = FinalWindow {
        window: WINDOW,
        counts: counts(40),
    };
    reports.written(read.clone());
    ledger.count("fern", at(504.0));
    assert!(reports.to_write(&ledger, moment(507.0)).is_empty());
    reports.written(FinalWindow {
        window: WINDOW,
        counts: counts(3),
    });
    assert_eq!(reports.to_send(at(507.0)), Some(read));
}

#[test]
fn a_window_that_an_earlier_era_may_have_reported_is_left_out() {
    let (ledger, reports) = (ledger(), reports());
    let later = ReportMoment {
        first_window: WINDOW + 1,
        ..moment(507.0)
    };
    assert!(reports.to_write(&ledger, later).is_empty());
}

#[test]
fn a_new_holder_collects_reports_before_it_writes() {
    let (ledger, reports) = (ledger(), reports());
    let new = ReportMoment {
        held_since: at(506.0),
        ..moment(507.9)
    };
    assert!(reports.to_write(&ledger, new).is_empty());
    let later = ReportMoment {
        now: at(508.0),
        ..new
    };
    assert_eq!(reports.to_write(&ledger, later).len(), 1);
}

#[test]
fn a_report_is_tried_until_it_is_accepted_and_the_oldest_first() {
    let mut reports = reports();
    for window in [WINDOW + 1, WINDOW] {
        reports.written(FinalWindow {
            window,
            counts: counts(window),
        });
    }
    let due = |reports: &UsageReports, now| reports.to_send(at(now)).map(|last| last.window);
    assert_eq!(due(&reports, 512.0), Some(WINDOW));
    reports.unanswered(WINDOW, at(512.0));
    assert_eq!(due(&reports, 512.1), Some(WINDOW + 1));
    assert_eq!(due(&reports, 512.5), Some(WINDOW));
    reports.accepted(WINDOW);
    reports.accepted(WINDOW + 1);
    assert_eq!(due(&reports, 513.0), None);
}

#[test]
fn a_report_that_was_never_accepted_is_counted_as_missed() {
    let (ledger, mut reports) = (ledger(), reports());
    reports.written(FinalWindow {
        window: WINDOW,
        counts: counts(2),
    });
    assert!(reports.expire(&ledger, at(520.0)).is_empty());
    assert_eq!(reports.expire(&ledger, at(526.0)), [WINDOW]);
    assert_eq!(reports.missed(), 1);
}

#[test]
fn windows_far_from_now_are_not_retained() {
    let mut ledger = UsageLedger::new(LENGTH);
    ledger.merge(7, report(WINDOW + 2, 5), at(504.0));
    ledger.merge(7, report(WINDOW - 7, 5), at(504.0));
    ledger.merge(7, report(WINDOW + 1, 5), at(504.0));
    assert!(ledger.total(WINDOW + 2).is_empty());
    assert!(ledger.total(WINDOW - 7).is_empty());
    assert_eq!(ledger.total(WINDOW + 1), counts(5));
}
