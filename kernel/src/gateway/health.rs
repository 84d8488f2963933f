//! Health of an upstream, derived from its answers.

use std::time::Duration;

/// Initial back-off after an upstream failed to answer.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum back-off: an upstream that has recovered gets calls again at the latest after this time.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Running share of failures above which an upstream is backed off. Healthy plain services fail up
/// to a seventh of their calls.
const FAILING_SHARE: f64 = 0.5;
/// Weight of the newest answer in the running share of failures: about the last ten count.
const NEWEST_WEIGHT: f64 = 0.1;
/// Consecutive failures after which an upstream is backed off. A healthy one that fails a seventh
/// of its calls has as many once in 340.
const CONSECUTIVE_FAILURES: u32 = 3;
/// Maximum time for which an upstream counts as backed off during a trial: some answers take long.
const TRIAL_TIME: Duration = Duration::from_secs(1);
/// Time for which another node's failure report is valid: three of its longest intervals between
/// heartbeats.
const REPORT_TTL: Duration = Duration::from_millis(700);
/// Age up to which an answer shows that a backed-off upstream still answers some calls: one that
/// stopped completely has not answered for longer.
const RECENT_ANSWER_AGE: Duration = Duration::from_secs(2);
/// Age up to which an answer to this node outweighs another node's failure report.
const ANSWER_AGE: Duration = Duration::from_secs(1);

/// Health of an upstream, from real calls of this node and of others.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHealth {
    backoffs: u32,
    backoff_until: Option<Duration>,
    trial_until: Option<Duration>,
    reports_until: Option<Duration>,
    answered_at: Option<Duration>,
    failure_share: f64,
    consecutive_failures: u32,
}

impl UpstreamHealth {
    /// Records that the first part of a successful answer arrived, which ends a back-off.
    pub fn answered(&mut self, now: Duration) {
        self.backoffs = 0;
        self.backoff_until = None;
        self.trial_until = None;
        self.reports_until = None;
        self.answered_at = Some(now);
        self.consecutive_failures = 0;
    }

    /// Records that a successful answer arrived whole.
    pub fn succeeded(&mut self, now: Duration) {
        self.answered(now);
        self.failure_share -= NEWEST_WEIGHT * self.failure_share;
    }

    /// Records that the upstream failed a call or rejected it. An upstream that fails most calls
    /// fails them fast, so that it looks idle and would attract ever more: it is backed off. An
    /// unproven one is backed off at any failure. Returns whether a back-off begins.
    pub fn failed(&mut self, now: Duration) -> bool {
        self.count_failure();
        let failing =
            self.failure_share > FAILING_SHARE || self.consecutive_failures >= CONSECUTIVE_FAILURES;
        (failing || self.unproven()) && self.back_off(now, true)
    }

    /// Records that its host refused the connection, since nothing listens on the port. Returns
    /// whether a back-off begins.
    pub fn unreachable(&mut self, now: Duration) -> bool {
        self.count_failure();
        self.back_off(now, true)
    }

    /// Records that no answer arrived: the connection broke or timed out. Returns whether a
    /// back-off begins.
    pub fn unanswered(&mut self, now: Duration) -> bool {
        self.count_failure();
        self.back_off(now, false)
    }

    /// Records that another node reported it failing or unreachable.
    pub fn reported_failing(&mut self, now: Duration) {
        let fresh_answer = self.answered_at.is_some_and(|at| at + ANSWER_AGE > now);
        if fresh_answer && self.consecutive_failures == 0 {
            return;
        }
        self.backoffs = self.backoffs.max(1);
        self.backoff_until = self.backoff_until.max(Some(now + REPORT_TTL));
    }

    /// Records that a call is sent to it. While it is unproven that call is a trial, during which
    /// it counts as backed off.
    pub fn attempt_started(&mut self, now: Duration) {
        if self.unproven() && !self.is_backed_off(now) {
            self.trial_until = Some(now + TRIAL_TIME);
        }
    }

    /// Whether heartbeats should report it as failing: only for failures observed by this node, and
    /// not for missing answers, which may be caused by this node's own link.
    pub fn reports_failing(&self, now: Duration) -> bool {
        self.reports_until.is_some_and(|until| now < until)
    }

    /// Whether its back-off or a trial lasts: calls go to it only if no healthy one has capacity.
    pub fn is_backed_off(&self, now: Duration) -> bool {
        !self.backoff_left(now).is_zero()
    }

    /// Time until its back-off or its trial ends; zero if it is not backed off.
    pub fn backoff_left(&self, now: Duration) -> Duration {
        let until = self.backoff_until.max(self.trial_until).unwrap_or(now);
        until.saturating_sub(now)
    }

    /// Whether it has been backed off and not answered since.
    pub fn unproven(&self) -> bool {
        self.backoffs > 0
    }

    /// Whether it answered a call recently.
    pub fn answered_recently(&self, now: Duration) -> bool {
        self.answered_at
            .is_some_and(|at| at + RECENT_ANSWER_AGE > now)
    }

    /// Running share of failed calls, from 0 to 1.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    fn count_failure(&mut self) {
        self.failure_share += NEWEST_WEIGHT * (1.0 - self.failure_share);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    fn back_off(&mut self, now: Duration, reports: bool) -> bool {
        if self.backoff_until.is_some_and(|until| now < until) {
            return false;
        }
        self.trial_until = None;
        let backoff = INITIAL_BACKOFF * 2_u32.saturating_pow(self.backoffs.min(8));
        self.backoffs = self.backoffs.saturating_add(1);
        let until = now + backoff.min(MAX_BACKOFF);
        self.backoff_until = Some(until);
        if reports {
            self.reports_until = Some(until);
        }
        true
    }
}
