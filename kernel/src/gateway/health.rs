//! What an upstream's answers say of its health.

use std::time::Duration;

/// Shortest time for which an upstream is passed over after it failed to answer.
const FIRST_REST: Duration = Duration::from_millis(500);
/// Longest such time; an upstream that is back waits no longer than this.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// Weight of the newest answer in the running share of failures: about the last ten count.
const NEWEST_WEIGHT: f64 = 0.1;

/// Evidence from real calls.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    rests: u32,
    rest_until: Option<Duration>,
    failures: f64,
}

impl UpstreamHealth {
    /// An answer came, good or bad: the upstream is there.
    pub fn answered(&mut self, good: bool) {
        self.rests = 0;
        self.rest_until = None;
        let sample = if good { 0.0 } else { 1.0 };
        self.failures += NEWEST_WEIGHT * (sample - self.failures);
    }

    /// No answer came: the connection failed, broke or stayed silent.
    pub fn silent(&mut self, now: Duration) {
        self.failures += NEWEST_WEIGHT * (1.0 - self.failures);
        let rest = FIRST_REST * 2_u32.saturating_pow(self.rests.min(8));
        self.rests = self.rests.saturating_add(1);
        self.rest_until = Some(now + rest.min(LONGEST_REST));
    }

    /// Whether it is passed over.
    pub fn resting(&self, now: Duration) -> bool {
        self.rest_until.is_some_and(|until| now < until)
    }

    /// Running share of calls that failed, from 0 to 1.
    pub fn failures(&self) -> f64 {
        self.failures
    }
}
