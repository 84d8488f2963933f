//! Calls that wait for room at an upstream: the most urgent first, and among equals those that can
//! still be answered in time.
//!
//! When more calls come than fit, an order by deadline alone makes every call wait until it is late.

use std::collections::BTreeSet;
use std::time::Duration;

/// A waiting call's place: by tier, then by the end of its chance to be in time, then by deadline,
/// then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitRank {
    /// Rank among classes; 0 is the most urgent.
    pub tier: u8,
    /// Until when it is likely to be in time if it is sent.
    pub send_by: Duration,
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
    pub fn join(
        &mut self,
        pool: &str,
        tier: u8,
        send_by: Duration,
        deadline: Duration,
    ) -> WaitRank {
        let rank = WaitRank {
            tier,
            send_by,
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

    /// The call whose turn it is: of the most urgent tier that waits, the first that can still be in
    /// time, or if none can, the first of all.
    pub fn first(&self, pool: &str, now: Duration) -> Option<WaitRank> {
        let first = self.first_from(pool, 0, Duration::ZERO)?;
        if first.send_by > now {
            return Some(first);
        }
        let hopeful = self.first_from(pool, first.tier, now);
        hopeful
            .filter(|rank| rank.tier == first.tier)
            .or(Some(first))
    }

    fn first_from(&self, pool: &str, tier: u8, send_by: Duration) -> Option<WaitRank> {
        let from = WaitRank {
            tier,
            send_by,
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
