//! Outlier ejection: an upstream that fails, stalls or is much slower than its pool is assigned no
//! new work until a probe succeeds.

use std::time::Duration;

/// Time for which an upstream without a load report counts as unproven after a change of owner.
const UNPROVEN_TIME: Duration = Duration::from_secs(1);

/// Duration of the first ejection; each further one doubles it.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Duration that the doubling of ejections does not exceed.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Failure score at which an upstream is ejected.
const EJECTION_SCORE: u32 = 3;

/// Time in service after which earlier ejections no longer lengthen the next one.
const EJECTION_RESET: Duration = Duration::from_mins(1);

/// Whether an upstream may be assigned work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HealthState {
    /// Newly owned: it may still run a former owner's work, which its first load report will show.
    Unproven {
        /// Time at which this node became the owner.
        since: Duration,
    },
    /// Assigned work up to its slots.
    #[default]
    Healthy,
    /// Assigned no work: it failed, was too slow or requested a pause.
    Ejected {
        /// Time at which it is probed.
        until: Duration,
    },
    /// Assigned a single run to test whether it has recovered.
    Probing {
        /// Whether that run is in flight.
        running: bool,
    },
}

/// How much a failure adds to an upstream's failure score.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureSeverity {
    /// Adds 1: the upstream refused a run, or the first token is overdue.
    Minor,
    /// Adds 2: the connection failed or broke.
    Major,
}

/// An upstream's health and the failures that led to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineHealth {
    /// Whether it may be assigned work; [`HealthState::Healthy`] by default.
    pub state: HealthState,
    failure_score: u32,
    ejections: u32,
    healthy_since: Duration,
}

impl EngineHealth {
    /// Health of an upstream that this node has just come to own.
    pub fn unproven(now: Duration) -> Self {
        Self {
            state: HealthState::Unproven { since: now },
            ..Self::default()
        }
    }

    /// Whether it is assigned work other than probes.
    pub fn in_service(&self) -> bool {
        matches!(
            self.state,
            HealthState::Healthy | HealthState::Unproven { .. }
        )
    }

    /// Applies the transitions that are due by `now`.
    pub fn tick(&mut self, now: Duration) {
        match self.state {
            HealthState::Unproven { since } if now >= since + UNPROVEN_TIME => self.admit(now),
            HealthState::Ejected { until } if now >= until => {
                self.state = HealthState::Probing { running: false };
            }
            HealthState::Healthy if now >= self.healthy_since + EJECTION_RESET => {
                self.ejections = 0;
            }
            _ => {}
        }
    }

    /// Records a load report, which ends the unproven state.
    pub fn record_report(&mut self, now: Duration) {
        if let HealthState::Unproven { .. } = self.state {
            self.admit(now);
        }
    }

    /// Records that it produces tokens or responses, which resets the failure score.
    pub fn record_progress(&mut self) {
        self.failure_score = 0;
    }

    /// Records a failure; returns whether it took the upstream out of service.
    pub fn record_failure(&mut self, now: Duration, severity: FailureSeverity) -> bool {
        self.failure_score += match severity {
            FailureSeverity::Minor => 1,
            FailureSeverity::Major => 2,
        };
        if self.failure_score < EJECTION_SCORE && self.in_service() {
            return false;
        }
        self.eject(now)
    }

    /// Ejects the upstream; returns whether it was in service.
    pub fn eject(&mut self, now: Duration) -> bool {
        if let HealthState::Ejected { .. } = self.state {
            return false;
        }
        let was_in_service = self.in_service();
        let pause = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(16));
        self.ejections += 1;
        self.failure_score = 0;
        self.state = HealthState::Ejected {
            until: now + pause.min(MAX_EJECTION),
        };
        was_in_service
    }

    /// Ejects the upstream until a time that it requested.
    pub fn pause(&mut self, until: Duration) {
        let until = match self.state {
            HealthState::Ejected { until: earlier } => earlier.max(until),
            _ => until,
        };
        self.failure_score = 0;
        self.state = HealthState::Ejected { until };
    }

    /// Time at which it is due for a probe; `None` unless it is ejected.
    pub fn probe_due(&self) -> Option<Duration> {
        match self.state {
            HealthState::Ejected { until } => Some(until),
            _ => None,
        }
    }

    /// Puts it into service and resets its failure score.
    pub fn admit(&mut self, now: Duration) {
        self.state = HealthState::Healthy;
        self.failure_score = 0;
        self.healthy_since = now;
    }
}
