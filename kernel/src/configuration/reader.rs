//! Reads the log: one read at a time, with backoff and jitter after failures.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Delay after the first failed read; doubles with each further failure.
const INITIAL_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay after failed reads.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Delay after an empty read that the log answered at once instead of waiting for new records.
const EMPTY_DELAY: Duration = Duration::from_millis(200);

/// Minimum duration of a long poll; a shorter empty read was answered at once.
const MIN_LONG_POLL: Duration = Duration::from_millis(100);

/// Duration after which an unanswered first read counts as an outage.
pub const SLOW_READ: Duration = Duration::from_secs(1);

/// Delay after the given number of consecutive failures: exponential, with jitter between half the
/// delay and the whole.
pub fn backoff(failures: u32, random: &mut Pcg64Mcg) -> Duration {
    let delay = INITIAL_DELAY * 2_u32.pow(failures.saturating_sub(1).min(8));
    delay.min(MAX_DELAY).mul_f64(random.random_range(0.5..1.0))
}

/// Schedules the reads of the log, one at a time.
#[derive(Clone, Debug, Default)]
pub struct LogReader {
    pending_since: Option<Duration>,
    not_before: Duration,
    failures: u32,
    answered: bool,
}

impl LogReader {
    /// Whether to start a read now. If so, the read counts as pending.
    pub fn poll(&mut self, now: Duration) -> bool {
        if self.pending_since.is_some() || now < self.not_before {
            return false;
        }
        self.pending_since = Some(now);
        true
    }

    /// Records that the pending read was answered.
    pub fn succeeded(&mut self, now: Duration, empty: bool) {
        let elapsed = self
            .pending_since
            .take()
            .map_or(Duration::ZERO, |since| now.saturating_sub(since));
        self.failures = 0;
        self.answered = true;
        let pause = empty && elapsed < MIN_LONG_POLL;
        self.not_before = now + if pause { EMPTY_DELAY } else { Duration::ZERO };
    }

    /// Records that the pending read failed.
    pub fn failed(&mut self, now: Duration, random: &mut Pcg64Mcg) {
        self.pending_since = None;
        self.failures += 1;
        self.not_before = now + backoff(self.failures, random);
    }

    /// Whether the last read failed, or the first one is unanswered for longer than [`SLOW_READ`].
    pub fn is_unavailable(&self, now: Duration) -> bool {
        let slow = self
            .pending_since
            .is_some_and(|since| now.saturating_sub(since) > SLOW_READ);
        self.failures > 0 || (slow && !self.answered)
    }
}
