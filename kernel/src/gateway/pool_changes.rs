//! Remembers which rules have changed their pools, for streams that began under an earlier
//! configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::gateway::rules::{CallRule, RuleTable};

/// Time for which a change is remembered.
const KEPT_TIME: Duration = Duration::from_mins(10);

/// Host and path prefix of a rule.
type RulePlace = (Box<str>, Box<str>);

/// Times at which rules were added, removed or given other pools.
#[derive(Clone, Debug, Default)]
pub struct PoolChanges {
    changes: BTreeMap<RulePlace, Duration>,
}

impl PoolChanges {
    /// Records what a new configuration changes, and forgets what is too long ago.
    pub fn record(&mut self, old: &RuleTable, new: &RuleTable, now: Duration) {
        self.changes.retain(|_, at| *at + KEPT_TIME > now);
        for rule in new.rules() {
            if old.rule_at(rule).map(pools) != Some(pools(rule)) {
                self.insert(rule, now);
            }
        }
        for rule in old.rules() {
            if new.rule_at(rule).is_none() {
                self.insert(rule, now);
            }
        }
    }

    fn insert(&mut self, rule: &CallRule, now: Duration) {
        let place = (rule.host.clone(), rule.path_prefix.clone());
        self.changes.insert(place, now);
    }

    /// Whether calls to this path have had the same pools for this time, as far as this process knows.
    pub fn unchanged_for(&self, host: &str, path: &str, time: Duration, now: Duration) -> bool {
        let since = now.saturating_sub(time);
        let changed = |((at_host, prefix), at): (&RulePlace, &Duration)| {
            *at > since && **at_host == *host && path.starts_with(&**prefix)
        };
        time <= KEPT_TIME && !self.changes.iter().any(changed)
    }
}

fn pools(rule: &CallRule) -> BTreeSet<&str> {
    rule.allowed_pools().collect()
}
