//! The rule index agrees with the linear search.

use monsoonbank_kernel::config::rules::first_match;
use monsoonbank_kernel::config::{RequestFacts, RuleIndex, RuleMatch, RuleSpec, RuleTarget};
use proptest::collection::{btree_map, vec};
use proptest::option;
use proptest::prelude::*;
use proptest::sample::select;

fn name(of: &'static [&'static str]) -> impl Strategy<Value = Box<str>> {
    select(of).prop_map(Into::into)
}

const WORKSPACES: &[&str] = &["w1", "w2", "w3"];
const MODELS: &[&str] = &["m1", "m2"];
const METHODS: &[&str] = &["GET", "POST"];
const PATHS: &[&str] = &["/", "/v1", "/v1/chat", "/services"];
const HEADERS: &[&str] = &["x-a", "x-b"];
const VALUES: &[&str] = &["1", "2"];

prop_compose! {
    fn rule()(
        workspaces in vec(name(WORKSPACES), 0..3),
        models in vec(name(MODELS), 0..2),
        method in option::of(name(METHODS)),
        path_prefix in option::of(name(PATHS)),
        headers in btree_map(name(HEADERS), name(VALUES), 0..2),
        min_bytes in option::of(0_u64..3),
        max_bytes in option::of(0_u64..3),
        streamed in option::of(any::<bool>()),
    ) -> RuleSpec {
        let when = RuleMatch {
            workspaces, path_prefix, method, models, headers, min_bytes, max_bytes, streamed,
        };
        let then = RuleTarget { class: "c".into(), tier: None, pool: None };
        RuleSpec { name: "r".into(), when, then }
    }
}

proptest! {
    #[test]
    fn index_gives_the_first_match(
        rules in vec(rule(), 0..150),
        requests in vec(
            (select(WORKSPACES), select(MODELS), select(METHODS), select(PATHS),
             select(HEADERS), select(VALUES), 0_u64..4, any::<bool>()),
            1..20,
        ),
    ) {
        let index = RuleIndex::new(&rules);
        for (workspace, model, method, path, header, value, bytes, streamed) in requests {
            let headers = [(header, value)];
            let facts = RequestFacts {
                workspace, path, method, model, headers: &headers, bytes, streamed,
            };
            let found = first_match(&rules, &facts);
            prop_assert_eq!(index.first_match(&rules, &facts), found);
            for (position, rule) in rules.iter().enumerate() {
                let matches = rule.when.matches(&facts);
                prop_assert_eq!(matches, rule.when.mismatch(&facts).is_none());
                let covered = rules[..position].iter().any(|other| other.when.covers(&rule.when));
                prop_assert!(!(covered && found == Some(position)), "a covered rule was reached");
            }
        }
    }
}
