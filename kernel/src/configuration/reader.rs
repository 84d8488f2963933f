//! Reading the log: one read at a time, with backoff and jitter when it fails.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// The first delay after a failed read; doubles with each further one.
const FIRST_DELAY: Duration = Duration::from_millis(200);

/// The longest delay after failed reads.
const LONGEST_DELAY: Duration = Duration::from_secs(5);

/// The delay after an empty read that the log answered at once instead of waiting for news.
const EMPTY_DELAY: Duration = Duration::from_millis(200);

/// An empty read that took less than this was no long poll.
const SHORT_POLL: Duration = Duration::from_millis(100);

/// A first read that takes longer than this counts as an outage.
pub const SLOW_READ: Duration = Duration::from_secs(1);

/// The delay before try number `failures`: exponential, with full jitter above one half.
pub fn backoff(failures: u32, random: &mut Pcg64Mcg) -> Duration {
    let doubled = FIRST_DELAY * 2_u32.pow(failures.saturating_sub(1).min(8));
    doubled
        .min(LONGEST_DELAY)
        .mul_f64(random.random_range(0.5..1.0))
}

/// Keeps exactly one read of the log under way.
#[derive(Clone, Debug, Default)]
pub struct LogReader {
    since: Option<Duration>,
    not_before: Duration,
    failures: u32,
    answered: bool,
}

impl LogReader {
    /// Whether to send a read now; it then counts as under way.
    pub fn poll(&mut self, now: Duration) -> bool {
        if self.since.is_some() || now < self.not_before {
            return false;
        }
        self.since = Some(now);
        true
    }

    /// The read under way was answered.
    pub fn succeeded(&mut self, now: Duration, empty: bool) {
        let took = self
            .since
            .take()
            .map_or(Duration::ZERO, |since| now.saturating_sub(since));
        self.failures = 0;
        self.answered = true;
        let pause = empty && took < SHORT_POLL;
        self.not_before = now + if pause { EMPTY_DELAY } else { Duration::ZERO };
    }

    /// The read under way failed.
    pub fn failed(&mut self, now: Duration, random: &mut Pcg64Mcg) {
        self.since = None;
        self.failures += 1;
        self.not_before = now + backoff(self.failures, random);
    }

    /// Whether the log has not shown anything lately, or has never answered in a reasonable time.
    pub fn is_unavailable(&self, now: Duration) -> bool {
        let slow = self
            .since
            .is_some_and(|since| now.saturating_sub(since) > SLOW_READ);
        self.failures > 0 || (slow && !self.answered)
    }
}
