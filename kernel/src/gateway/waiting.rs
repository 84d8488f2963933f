//! Calls that wait for room at an upstream, the most urgent first.

use std::collections::BTreeSet;
use std::time::Duration;

/// A waiting call's place: by tier, then by deadline, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitRank {
    /// Rank among classes; 0 is the most urgent.
    pub tier: u8,
    /// When the call must have ended.
    pub deadline: Duration,
    /// Grows with each call that waits.
    pub number: u64,
}

/// All calls that wait, by pool.
#[derive(Clone, Debug, Default)]
pub struct WaitList {
    waiting: BTreeSet<(Box<str>, WaitRank)>,
    next_number: u64,
}

impl WaitList {
    /// Adds a call.
    pub fn join(&mut self, pool: &str, tier: u8, deadline: Duration) -> WaitRank {
        let rank = WaitRank {
            tier,
            deadline,
            number: self.next_number,
        };
        self.next_number += 1;
        self.waiting.insert((pool.into(), rank));
        rank
    }

    /// Takes a call off.
    pub fn leave(&mut self, pool: &str, rank: WaitRank) {
        self.waiting.remove(&(pool.into(), rank));
    }

    /// The call whose turn it is.
    pub fn first(&self, pool: &str) -> Option<WaitRank> {
        let from = WaitRank {
            tier: 0,
            deadline: Duration::ZERO,
            number: 0,
        };
        let start: (Box<str>, WaitRank) = (pool.into(), from);
        let (found, rank) = self.waiting.range(start..).next()?;
        (&**found == pool).then_some(*rank)
    }

    /// Number of calls that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
