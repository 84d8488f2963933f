//! Tests of rests after refusals by upstreams that bear few of them, at nodes of fleets of all sizes.

use std::time::Duration;

use monsoonbank_kernel::gateway::brittle::BrittleState;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);

fn brittle(refusals: u32, now: Duration) -> BrittleState {
    let mut state = BrittleState::default();
    state.observe(Some(refusals), now);
    state
}

#[test]
fn an_upstream_without_a_notice_does_not_rest() {
    let mut state = BrittleState::default();
    assert_eq!(state.refused(S), None);
    assert_eq!(state.report(1, S), None);
}

#[test]
fn a_notice_ends_with_an_answer_without_it_or_with_time() {
    let mut state = brittle(4, S);
    state.observe(None, S + 100 * MS);
    assert_eq!(state.refusals(2 * S), Some(4), "answers may be reordered");
    state.observe(None, S + 300 * MS);
    assert_eq!(state.refusals(2 * S), None);
    let state = brittle(4, S);
    assert_eq!(state.refusals(10 * S), Some(4));
    assert_eq!(state.refusals(11 * S), None);
}

/// Defines a case: refusals that the upstream bears in a second, times of its refusals in ms, and the
/// time until which it rests after the last, in ms.
macro_rules! rests {
    ($($name:ident: $borne:expr, $refused:expr => $until:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut state = brittle($borne, S);
            let mut until = None;
            for ms in $refused {
                until = state.refused(S + ms * MS);
            }
            assert_eq!(until, Some(S + $until * MS));
        }
    )*};
}

rests! {
    a_first_refusal_of_many: 8, [0] => 300;
    half_of_what_it_bears: 8, [0, 200, 400, 600] => 1000;
    half_of_an_odd_number: 3, [0, 200] => 1000;
    one_refusal_that_is_half: 2, [0] => 1000;
    an_upstream_that_bears_none: 0, [0] => 1000;
    refusals_of_another_second: 8, [0, 200, 400, 1600] => 1900;
}

// Guards against nodes that tell each other of one refusal without end.
#[test]
fn a_report_of_a_known_refusal_changes_nothing() {
    let mut state = brittle(8, S);
    assert!(state.refused(S).is_some());
    assert_eq!(state.reported(S + 10 * MS, S + 100 * MS), None);
    assert_eq!(state.reported(990 * MS, S + 100 * MS), None);
    assert!(state.reported(S + 100 * MS, S + 110 * MS).is_some());
    let report = state.report(7, S + 200 * MS).expect("a report");
    assert_eq!(
        report.age_ms, 200,
        "only the node's own refusal is reported"
    );
}

#[test]
fn a_refusal_is_reported_for_a_second() {
    let mut state = brittle(8, S);
    state.refused(S);
    let report = state.report(7, S + 400 * MS).expect("a report");
    assert_eq!((report.run, report.refusals, report.age_ms), (7, 8, 400));
    assert_eq!(state.report(7, 2 * S), None);
}

/// Most refusals in a second by an upstream that is full for ten seconds, to which the nodes together
/// send `per_second` requests as far as it does not rest. They learn of a refusal after `delay`.
fn most_refusals(nodes: usize, per_second: u64, borne: u32, delay: Duration) -> usize {
    let mut states = vec![(brittle(borne, S), Duration::ZERO); nodes];
    let mut reports: Vec<(Duration, Duration)> = Vec::new();
    let mut refused: Vec<Duration> = Vec::new();
    let mut turn = 0_usize;
    for step in 0..10 * per_second {
        let now = S + Duration::from_secs(step) / per_second as u32;
        let (arrived, waiting) = reports
            .into_iter()
            .partition(|(_, arrives)| *arrives <= now);
        reports = waiting;
        let arrived: Vec<(Duration, Duration)> = arrived;
        for (at, arrives) in arrived {
            for (state, rests_until) in &mut states {
                state.observe(Some(borne), arrives);
                let until = state.reported(at, arrives);
                *rests_until = (*rests_until).max(until.unwrap_or_default());
            }
        }
        turn = (turn + 7919) % nodes;
        let (state, rests_until) = &mut states[turn];
        if *rests_until > now {
            continue;
        }
        refused.push(now);
        *rests_until = state.refused(now).expect("it is brittle");
        reports.push((now, now + delay));
    }
    let in_second = |from: &Duration| {
        let counted = refused.iter().filter(|at| *at >= from && **at < *from + S);
        counted.count()
    };
    refused.iter().map(in_second).max().unwrap_or_default()
}

// Guards against nodes that together have an upstream turn away more than it bears. An upstream gets
// some seven requests a second at each of these sizes; here it gets three times as many.
#[test]
fn a_full_upstream_refuses_no_more_than_it_bears() {
    for (nodes, delay) in [(6, 60 * MS), (300, 150 * MS), (980, 200 * MS)] {
        for borne in [6, 12] {
            let most = most_refusals(nodes, 21, borne, delay);
            assert!(
                most <= borne as usize,
                "{nodes} nodes, {borne} borne: {most}"
            );
        }
    }
}
