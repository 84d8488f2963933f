//! This node's share of a pool's budget for sending calls more than once.

use std::collections::VecDeque;
use std::time::Duration;

/// Bounds that all nodes keep together, for each pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSpec {
    /// Sends beyond the first, for each call in the window.
    pub ratio: f64,
    /// Sends beyond the first that are free in a window, for all nodes together.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Part of the allowance that is used, so that windows that are counted a little differently at the
/// upstream still fit: calls that are counted in our window may have begun before theirs.
const USED_PART: f64 = 0.8;

/// Calls and repeats of one pool in the sliding window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    calls: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

impl RetryBudget {
    /// Counts a call's first send.
    pub fn count_call(&mut self, now: Duration) {
        self.calls.push_back(now);
    }

    /// Takes leave to send once more; `nodes` share the slack.
    pub fn try_retry(&mut self, now: Duration, spec: &BudgetSpec, nodes: usize) -> bool {
        self.forget(now, spec.window);
        let share = spec.slack / nodes.max(1) as f64;
        let allowance = USED_PART * (spec.ratio * self.calls.len() as f64 + share);
        if self.repeats.len() as f64 + 1.0 > allowance {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    /// Repeats in the window that ends now.
    pub fn used(&self) -> usize {
        self.repeats.len()
    }

    fn forget(&mut self, now: Duration, window: Duration) {
        let expired = |at: &Duration| *at + window <= now;
        while self.calls.front().is_some_and(expired) {
            self.calls.pop_front();
        }
        while self.repeats.front().is_some_and(expired) {
            self.repeats.pop_front();
        }
    }
}
