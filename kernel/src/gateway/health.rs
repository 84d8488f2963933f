//! What an upstream's answers say of its health.

use std::time::Duration;

/// Shortest time for which an upstream is passed over after it failed to answer.
const FIRST_REST: Duration = Duration::from_millis(500);
/// Longest such time; an upstream that is back waits no longer than this.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// Running share of failures above which an upstream rests. Sound plain services fail up to a
/// seventh of their calls.
const FAILING_SHARE: f64 = 0.5;
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
    /// A good answer came.
    pub fn succeeded(&mut self) {
        self.rests = 0;
        self.rest_until = None;
        self.failures -= NEWEST_WEIGHT * self.failures;
    }

    /// The upstream failed a call or refused it. One that fails most calls fails them fast, looks
    /// idle for it and would draw ever more: it rests.
    pub fn failed(&mut self, now: Duration) {
        self.failures += NEWEST_WEIGHT * (1.0 - self.failures);
        if self.failures > FAILING_SHARE {
            self.rest(now);
        }
    }

    /// No answer came: the connection failed, broke or stayed silent.
    pub fn silent(&mut self, now: Duration) {
        self.failures += NEWEST_WEIGHT * (1.0 - self.failures);
        self.rest(now);
    }

    fn rest(&mut self, now: Duration) {
        if self.resting(now) {
            return;
        }
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
