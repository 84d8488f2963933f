//! This node's share of a pool's budget for retries.

use std::collections::VecDeque;
use std::time::Duration;

/// Limits on retries by all nodes together, for each pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetSpec {
    /// Number of retries allowed per call in the window.
    pub ratio: f64,
    /// Number of additional retries allowed per window, for all nodes together.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Share of the allowance that is used. The rest covers differences between this node's window and
/// the upstream's, where some calls counted in this one began before the upstream's.
const USED_SHARE: f64 = 0.8;

/// Calls and retries of one pool in the sliding window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    calls: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryBudget {
    /// Counts the first attempt of a call.
    pub fn count_call(&mut self, now: Duration) {
        self.calls.push_back(now);
    }

    /// Uses a retry of the budget and returns whether one was left; `nodes` is the number of nodes
    /// that share the additional retries.
    pub fn try_retry(&mut self, now: Duration, spec: &BudgetSpec, nodes: usize) -> bool {
        self.expire(now, spec.window);
        let share = spec.slack / nodes.max(1) as f64;
        let allowance = USED_SHARE * (spec.ratio * self.calls.len() as f64 + share);
        if self.retries.len() as f64 + 1.0 > allowance {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Number of retries in the window, as of the last call of `try_retry`.
    pub fn used(&self) -> usize {
        self.retries.len()
    }

    fn expire(&mut self, now: Duration, window: Duration) {
        let expired = |at: &Duration| *at + window <= now;
        while self.calls.front().is_some_and(expired) {
            self.calls.pop_front();
        }
        while self.retries.front().is_some_and(expired) {
            self.retries.pop_front();
        }
    }
}
