//! Tests of the budget for retries: traffic stays within it in any window of any length.

use std::time::Duration;

use monsoonbank_kernel::gateway::budget::{BudgetSpec, RetryBudget};
use proptest::prelude::*;

const SPEC: BudgetSpec = BudgetSpec {
    ratio: 0.2,
    slack: 50.0,
    window: Duration::from_secs(10),
};

#[test]
fn nodes_share_the_slack() {
    let mut budget = RetryBudget::default();
    let granted = (0..100)
        .filter(|_| budget.try_retry(Duration::ZERO, &SPEC, 5))
        .count();
    assert_eq!(granted, 8, "a fifth of 50, less the reserve");
}

#[test]
fn calls_allow_retries_and_the_window_slides() {
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.count_call(Duration::ZERO);
    }
    let granted = (0..100)
        .filter(|_| budget.try_retry(Duration::from_secs(1), &SPEC, 50))
        .count();
    assert_eq!(granted, 16);
    assert!(!budget.try_retry(Duration::from_secs(5), &SPEC, 50));
    assert!(
        !budget.try_retry(Duration::from_secs(11), &SPEC, 100),
        "calls and retries have left the window"
    );
    assert_eq!(budget.used(), 0);
}

proptest! {
    #[test]
    fn no_window_exceeds_its_share(
        events in prop::collection::vec((0_u64..400, any::<bool>()), 1..400),
        nodes in 1_usize..20,
    ) {
        let mut budget = RetryBudget::default();
        let (mut now, mut calls, mut retries) = (0, Vec::new(), Vec::new());
        for (pause, is_call) in events {
            now += pause;
            let at = Duration::from_millis(now);
            if is_call {
                budget.count_call(at);
                calls.push(now);
            } else if budget.try_retry(at, &SPEC, nodes) {
                retries.push(now);
                let recent = |list: &[u64]| list.iter().filter(|at| **at + 10_000 > now).count() as f64;
                let allowed = 0.2 * recent(&calls) + 50.0 / nodes as f64;
                prop_assert!(recent(&retries) <= allowed, "{} of {allowed}", recent(&retries));
            }
        }
    }
}
