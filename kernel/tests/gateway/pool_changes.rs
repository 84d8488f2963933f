//! Tests of what is remembered of rules that have changed their pools.

use std::time::Duration;

use monsoonbank_kernel::gateway::pool_changes::PoolChanges;
use monsoonbank_kernel::gateway::rules::{CallRule, PoolShare};

use crate::rules::{rule, table};

const TIME: Duration = Duration::from_secs(15);
const CHANGED_AT: Duration = Duration::from_secs(100);

fn split(prefix: &str, shares: &[(&str, u32)]) -> CallRule {
    let share = |(pool, weight): &(&str, u32)| PoolShare {
        pool: (*pool).into(),
        weight: *weight,
    };
    CallRule {
        pools: shares.iter().map(share).collect(),
        ..rule(prefix, prefix, 0, None)
    }
}

/// Whether calls to `/a/b/c` count as unchanged this long after the change.
fn unchanged(old: Vec<CallRule>, new: Vec<CallRule>, later: Duration) -> bool {
    let mut changes = PoolChanges::default();
    changes.record(&table(old), &table(new), CHANGED_AT);
    changes.unchanged_for("calls.example", "/a/b/c", TIME, CHANGED_AT + later)
}

/// Each case gives the rules before and after, the time since, and whether they count as unchanged.
macro_rules! changes {
    ($($name:ident: $old:expr, $new:expr, $later:expr => $unchanged:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(unchanged($old.into(), $new.into(), $later), $unchanged);
        }
    )*};
}

const SOON: Duration = Duration::from_secs(14);
const LATER: Duration = Duration::from_secs(16);

// Guards against a stream of another pool that is taken for one of the pool in force now.
changes! {
    a_rule_that_moved: [split("/a/", &[("m", 1)])], [split("/a/", &[("n", 1)])], SOON => false;
    a_rule_that_moved_long_ago: [split("/a/", &[("m", 1)])], [split("/a/", &[("n", 1)])], LATER => true;
    a_pool_that_lost_its_weight:
        [split("/a/", &[("m", 1), ("n", 1)])], [split("/a/", &[("m", 1), ("n", 0)])], SOON => false;
    other_weights_and_order:
        [split("/a/", &[("m", 1), ("n", 9)])], [split("/a/", &[("n", 1), ("m", 9)])], SOON => true;
    a_longer_rule_that_came:
        [split("/a/", &[("m", 1)])], [split("/a/", &[("m", 1)]), split("/a/b/", &[("n", 1)])], SOON => false;
    a_longer_rule_that_went:
        [split("/a/", &[("m", 1)]), split("/a/b/", &[("n", 1)])], [split("/a/", &[("m", 1)])], SOON => false;
    a_rule_of_other_paths_that_moved:
        [split("/a/", &[("m", 1)]), split("/c/", &[("m", 1)])],
        [split("/a/", &[("m", 1)]), split("/c/", &[("n", 1)])], SOON => true;
}

#[test]
fn a_time_beyond_the_memory_is_not_vouched_for() {
    let changes = PoolChanges::default();
    let long = Duration::from_hours(1);
    assert!(!changes.unchanged_for("calls.example", "/a/", long, CHANGED_AT));
}

/// Each case gives the weights of two pools and those that calls may be given to.
macro_rules! allowed {
    ($($name:ident: $weights:expr => $pools:expr;)*) => {$(
        #[test]
        fn $name() {
            let [one, other] = $weights;
            let rule = split("/a/", &[("m", one), ("n", other)]);
            let pools: Vec<&str> = rule.allowed_pools().collect();
            let expected: &[&str] = &$pools;
            assert_eq!(pools, expected);
        }
    )*};
}

allowed! {
    pools_with_weights_are_allowed: [1, 99] => ["m", "n"];
    a_pool_without_weight_is_not_allowed: [0, 1] => ["n"];
    the_first_pool_is_allowed_if_none_has_a_weight: [0, 0] => ["m"];
}
