//! Attempts that are over, remembered for a while: a message that comes twice or too late must not
//! start them again.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::ids::AttemptId;

/// How long an attempt is remembered.
const REMEMBERED: Duration = Duration::from_mins(1);

/// Most attempts that are remembered.
const MOST_REMEMBERED: usize = 131_072;

/// Attempts that are over, or were cancelled before they were offered.
#[derive(Debug, Default)]
pub struct PastAttempts {
    known: BTreeSet<AttemptId>,
    order: VecDeque<(Duration, AttemptId)>,
}

impl PastAttempts {
    /// Remembers an attempt.
    pub fn add(&mut self, now: Duration, attempt: AttemptId) {
        self.forget(now);
        if self.known.insert(attempt) {
            self.order.push_back((now, attempt));
        }
    }

    /// Whether the attempt is over.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.known.contains(&attempt)
    }

    /// Drops what need not be remembered any longer.
    pub fn forget(&mut self, now: Duration) {
        while let Some((at, attempt)) = self.order.front().copied() {
            if now < at + REMEMBERED && self.order.len() < MOST_REMEMBERED {
                return;
            }
            self.known.remove(&attempt);
            self.order.pop_front();
        }
    }

    /// Attempts remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
