//! Calls that were refused and come back, for loads in which many callers are refused: what their
//! earlier attempts took counts against their target, and a new caller's own short limit does not.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::gateway::content::ContentDigest;

/// Fraction of a call's time for which it waits before it is refused. The rest allows its caller to
/// retry once, and the retry may wait for up to a third of it.
pub const WAIT_FRACTION: f64 = 0.33;
/// Maximum number of refused attempts that are kept: some seconds of a node's refusals in a surge.
const MAX_REFUSED: usize = 4096;
/// Share of the time since the refused attempt by which a later one's time left has to be shorter.
/// Callers do not count all of the time between two attempts.
const COUNTED_SHARE: f64 = 0.5;

/// An attempt of a caller that was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusedAttempt {
    /// Time at which the caller's first attempt began, as far as it is known.
    pub first: Duration,
    /// Time at which this attempt began.
    pub started: Duration,
    /// Time that the caller had left then.
    pub left: Duration,
}

impl RefusedAttempt {
    /// Whether an attempt at the same content that begins now, with this time left, can be the
    /// caller's next one. Callers without a body send the same content many times.
    fn precedes(&self, left: Duration, now: Duration) -> bool {
        let since = now.saturating_sub(self.started);
        since < self.left && left + since.mul_f64(COUNTED_SHARE) < self.left
    }
}

/// Refused attempts whose callers may come back, by content. The oldest are forgotten first.
#[derive(Clone, Debug, Default)]
pub struct ReturnList {
    refused: BTreeMap<(ContentDigest, u64), RefusedAttempt>,
    order: VecDeque<(ContentDigest, u64)>,
    next_number: u64,
}

impl ReturnList {
    /// Records a refused attempt.
    pub fn record_refused(&mut self, content: ContentDigest, attempt: RefusedAttempt) {
        let key = (content, self.next_number);
        self.next_number += 1;
        self.refused.insert(key, attempt);
        self.order.push_back(key);
        if self.order.len() > MAX_REFUSED
            && let Some(oldest) = self.order.pop_front()
        {
            self.refused.remove(&oldest);
        }
    }

    /// Time at which the caller's first attempt began, for an attempt that begins now; `None` if no
    /// refused attempt is known of which it can be the next. The refused attempt is forgotten.
    pub fn take_first(
        &mut self,
        content: ContentDigest,
        left: Duration,
        now: Duration,
    ) -> Option<Duration> {
        let mut known = self.refused.range((content, 0)..=(content, u64::MAX));
        let (key, attempt) = known.find(|(_, attempt)| attempt.precedes(left, now))?;
        let (key, first) = (*key, attempt.first);
        self.refused.remove(&key);
        Some(first)
    }

    /// Number of refused attempts that are kept.
    pub fn len(&self) -> usize {
        self.refused.len()
    }

    /// Whether no refused attempt is kept.
    pub fn is_empty(&self) -> bool {
        self.refused.is_empty()
    }
}

/// Time that the caller of an attempt has spent on earlier ones of which nothing is known. A call
/// is refused after it has waited for a fraction of its time, so a caller that misses less than
/// that of its class's timeout is taken for a new one with a limit of its own.
pub fn unseen_time(timeout: Duration, left: Option<Duration>) -> Duration {
    let missing = timeout.saturating_sub(left.unwrap_or(timeout));
    if missing < timeout.mul_f64(WAIT_FRACTION) {
        Duration::ZERO
    } else {
        missing
    }
}
