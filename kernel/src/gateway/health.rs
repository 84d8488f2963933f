//! Health of an upstream, derived from its answers.

use std::time::Duration;

/// Initial back-off after an upstream failed to answer.
const FIRST_REST: Duration = Duration::from_millis(500);
/// Maximum back-off: an upstream that has recovered gets calls again at the latest after this time.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// Running share of failures above which an upstream is backed off. Healthy plain services fail up
/// to a seventh of their calls.
const FAILING_SHARE: f64 = 0.5;
/// Weight of the newest answer in the running share of failures: about the last ten count.
const NEWEST_WEIGHT: f64 = 0.1;
/// Consecutive failures after which an upstream is backed off. A healthy one that fails a seventh
/// of its calls has as many once in 340.
const FAILED_IN_A_ROW: u32 = 3;
/// Maximum time for which a trial call excludes other calls: some answers take long.
const TRIAL_TIME: Duration = Duration::from_secs(1);
/// Time for which another node's failure report is valid: three of its longest intervals between
/// heartbeats.
const WARNING_TIME: Duration = Duration::from_millis(700);
/// Age up to which an answer shows that a backed-off upstream still answers some calls: one that
/// stopped completely has not answered for longer.
const SOME_ANSWERS_AGE: Duration = Duration::from_secs(2);
/// Age up to which an answer to this node outweighs another node's failure report.
const ANSWER_AGE: Duration = Duration::from_secs(1);

/// Health of an upstream, from real calls of this node and of others.
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
    /// Records that the first part of a successful answer arrived: the upstream is no longer backed
    /// off.
    pub fn answered(&mut self, now: Duration) {
        self.rests = 0;
        self.rest_until = None;
        self.trial_until = None;
        self.warns_until = None;
        self.answered_at = Some(now);
        self.failed_in_a_row = 0;
    }

    /// Records that a successful answer arrived whole.
    pub fn succeeded(&mut self, now: Duration) {
        self.answered(now);
        self.failures -= NEWEST_WEIGHT * self.failures;
    }

    /// Records that the upstream failed a call or rejected it. An upstream that fails most calls
    /// fails them fast, so that it looks idle and would attract ever more: it is backed off.
    /// Returns whether a back-off begins.
    pub fn failed(&mut self, now: Duration) -> bool {
        self.count_failure();
        let failing = self.failures > FAILING_SHARE || self.failed_in_a_row >= FAILED_IN_A_ROW;
        (failing || self.unproven()) && self.rest(now, true)
    }

    /// Records that its host refused the connection, since nothing listens on the port. Returns
    /// whether a back-off begins.
    pub fn unreachable(&mut self, now: Duration) -> bool {
        self.count_failure();
        self.rest(now, true)
    }

    /// Records that no answer arrived: the connection broke or timed out. Returns whether a
    /// back-off begins.
    pub fn unanswered(&mut self, now: Duration) -> bool {
        self.count_failure();
        self.rest(now, false)
    }

    /// Records that another node reported it failing or unreachable.
    pub fn reported_failing(&mut self, now: Duration) {
        let fresh_answer = self.answered_at.is_some_and(|at| at + ANSWER_AGE > now);
        if fresh_answer && self.failed_in_a_row == 0 {
            return;
        }
        self.rests = self.rests.max(1);
        self.rest_until = self.rest_until.max(Some(now + WARNING_TIME));
    }

    /// Records that a call is sent to it. While it is unproven that call is a trial, and no others
    /// are sent.
    pub fn attempt_started(&mut self, now: Duration) {
        if self.unproven() && !self.is_backed_off(now) {
            self.trial_until = Some(now + TRIAL_TIME);
        }
    }

    /// Whether heartbeats should report it as failing: only for failures observed by this node, and
    /// not for missing answers, which may be caused by this node's own link.
    pub fn reports_failing(&self, now: Duration) -> bool {
        self.warns_until.is_some_and(|until| now < until)
    }

    /// Whether it is backed off.
    pub fn is_backed_off(&self, now: Duration) -> bool {
        !self.backoff_left(now).is_zero()
    }

    /// Time until its back-off ends; zero if it is not backed off.
    pub fn backoff_left(&self, now: Duration) -> Duration {
        let until = self.rest_until.max(self.trial_until).unwrap_or(now);
        until.saturating_sub(now)
    }

    /// Whether it has been backed off and not answered since.
    pub fn unproven(&self) -> bool {
        self.rests > 0
    }

    /// Whether it answered a call recently.
    pub fn answered_recently(&self, now: Duration) -> bool {
        self.answered_at
            .is_some_and(|at| at + SOME_ANSWERS_AGE > now)
    }

    /// Running share of failed calls, from 0 to 1.
    pub fn failure_share(&self) -> f64 {
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
