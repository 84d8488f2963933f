//! Attempts that are finished, retained for a while so that a duplicated or delayed message does
//! not start them again.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::ids::AttemptId;

/// How long a finished attempt is retained.
const RETENTION: Duration = Duration::from_mins(1);

/// Most attempts that are retained.
const MAX_RETAINED: usize = 131_072;

/// Attempts that are finished, or were cancelled before they were offered.
#[derive(Debug, Default)]
pub struct FinishedAttempts {
    attempts: BTreeSet<AttemptId>,
    order: VecDeque<(Duration, AttemptId)>,
}

impl FinishedAttempts {
    /// Records an attempt as finished.
    pub fn add(&mut self, now: Duration, attempt: AttemptId) {
        self.expire(now);
        if self.attempts.insert(attempt) {
            self.order.push_back((now, attempt));
        }
    }

    /// Whether the attempt is recorded as finished.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.attempts.contains(&attempt)
    }

    /// Drops attempts that have expired, and the oldest ones while too many are retained.
    pub fn expire(&mut self, now: Duration) {
        while let Some((at, attempt)) = self.order.front().copied() {
            if now < at + RETENTION && self.order.len() < MAX_RETAINED {
                return;
            }
            self.attempts.remove(&attempt);
            self.order.pop_front();
        }
    }

    /// Number of attempts retained.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether no attempt is retained.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }
}
