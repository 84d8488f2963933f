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
/// Failures without an answer between them after which an upstream rests. A sound one that fails a
/// seventh of its calls does so once in 340.
const FAILED_IN_A_ROW: u32 = 3;
/// Time for which a trial keeps other calls away unless it ends before: some answers take long.
const TRIAL_TIME: Duration = Duration::from_secs(1);
/// Time for which another node's warning holds: three of its longest pauses between two heartbeats.
const WARNING_TIME: Duration = Duration::from_millis(700);
/// Age up to which an answer shows that a resting upstream still answers some calls: one that went dark
/// has stopped by then.
const SOME_ANSWERS_AGE: Duration = Duration::from_secs(2);
/// Age up to which an own answer counts for more than another node's warning.
const ANSWER_AGE: Duration = Duration::from_secs(1);

/// Evidence from real calls, this node's own and that of others.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    rests: u32,
    rest_until: Option<Duration>,
    trial_until: Option<Duration>,
    warns_until: Option<Duration>,
    answered_at: Option<Duration>,
    failures: f64,
    failed_in_a_row: u32,
}

impl UpstreamHealth {
    /// The first piece of a good answer came: it takes calls again.
    pub fn answered(&mut self, now: Duration) {
        self.rests = 0;
        self.rest_until = None;
        self.trial_until = None;
        self.warns_until = None;
        self.answered_at = Some(now);
        self.failed_in_a_row = 0;
    }

    /// A good answer came whole.
    pub fn succeeded(&mut self, now: Duration) {
        self.answered(now);
        self.failures -= NEWEST_WEIGHT * self.failures;
    }

    /// The upstream failed a call or refused it. One that fails most calls fails them fast, looks
    /// idle for it and would draw ever more: it rests. Gives whether a rest begins.
    pub fn failed(&mut self, now: Duration) -> bool {
        self.count_failure();
        let failing = self.failures > FAILING_SHARE || self.failed_in_a_row >= FAILED_IN_A_ROW;
        (failing || self.unproven()) && self.rest(now, true)
    }

    /// Its host refused the connection: nothing listens there. Gives whether a rest begins.
    pub fn unreachable(&mut self, now: Duration) -> bool {
        self.count_failure();
        self.rest(now, true)
    }

    /// No answer came: the connection broke or stayed silent. Gives whether a rest begins.
    pub fn silent(&mut self, now: Duration) -> bool {
        self.count_failure();
        self.rest(now, false)
    }

    /// Another node found it failing or unreachable.
    pub fn warned(&mut self, now: Duration) {
        let fresh_answer = self.answered_at.is_some_and(|at| at + ANSWER_AGE > now);
        if fresh_answer && self.failed_in_a_row == 0 {
            return;
        }
        self.rests = self.rests.max(1);
        self.rest_until = self.rest_until.max(Some(now + WARNING_TIME));
    }

    /// A call is sent to it. While it is unproven that call is a trial, and others keep away.
    pub fn tried(&mut self, now: Duration) {
        if self.unproven() && !self.resting(now) {
            self.trial_until = Some(now + TRIAL_TIME);
        }
    }

    /// Whether other nodes should hear that it fails: only what was seen here, and not silence,
    /// which may be this node's own link.
    pub fn warns(&self, now: Duration) -> bool {
        self.warns_until.is_some_and(|until| now < until)
    }

    /// Whether it is passed over.
    pub fn resting(&self, now: Duration) -> bool {
        !self.rest_left(now).is_zero()
    }

    /// How long it is still passed over.
    pub fn rest_left(&self, now: Duration) -> Duration {
        let until = self.rest_until.max(self.trial_until).unwrap_or(now);
        until.saturating_sub(now)
    }

    /// Whether it has rested and not answered since.
    pub fn unproven(&self) -> bool {
        self.rests > 0
    }

    /// Whether it answered a call a moment ago.
    pub fn answers_some(&self, now: Duration) -> bool {
        self.answered_at
            .is_some_and(|at| at + SOME_ANSWERS_AGE > now)
    }

    /// Running share of calls that failed, from 0 to 1.
    pub fn failures(&self) -> f64 {
        self.failures
    }

    fn count_failure(&mut self) {
        self.failures += NEWEST_WEIGHT * (1.0 - self.failures);
        self.failed_in_a_row = self.failed_in_a_row.saturating_add(1);
    }

    fn rest(&mut self, now: Duration, warns: bool) -> bool {
        if self.rest_until.is_some_and(|until| now < until) {
            return false;
        }
        self.trial_until = None;
        let rest = FIRST_REST * 2_u32.saturating_pow(self.rests.min(8));
        self.rests = self.rests.saturating_add(1);
        let until = now + rest.min(LONGEST_REST);
        self.rest_until = Some(until);
        if warns {
            self.warns_until = Some(until);
        }
        true
    }
}
