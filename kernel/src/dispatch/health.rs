//! Outlier ejection: an upstream that fails, stalls or is much slower than its pool gets nothing
//! new until one probe shows that it is fit again.

use std::time::Duration;

/// Time that an upstream without any report is thought to be still taking over from another owner.
const UNPROVEN: Duration = Duration::from_secs(1);

/// Time out of service after the first ejection; it doubles with each that follows.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest time out of service.
const LONGEST_EJECTION: Duration = Duration::from_secs(4);

/// Strikes that eject.
const STRIKES: u32 = 3;

/// Time in service after which earlier ejections no longer count.
const FORGIVEN_AFTER: Duration = Duration::from_mins(1);

/// Whether an upstream is fit for work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HealthState {
    /// Newly owned: it may still hold a former owner's work that its first report will show.
    Unproven {
        /// When it was taken over.
        since: Duration,
    },
    /// In service.
    #[default]
    Healthy,
    /// Out of service.
    Ejected {
        /// When to probe it.
        until: Duration,
    },
    /// Gets one run to show whether it is fit.
    Probing {
        /// Whether the run is under way.
        running: bool,
    },
}

/// What a run, or its lack of progress, says of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSign {
    /// It refused a run, or let a first token wait.
    Slight,
    /// The connection could not be made, or broke.
    Grave,
}

/// An upstream's health.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineHealth {
    /// The state.
    pub state: HealthState,
    strikes: u32,
    ejections: u32,
    healthy_since: Duration,
}

impl EngineHealth {
    /// Health of an upstream that this node comes to own.
    pub fn unproven(now: Duration) -> Self {
        Self {
            state: HealthState::Unproven { since: now },
            ..Self::default()
        }
    }

    /// Whether it gets work beside probes.
    pub fn in_service(&self) -> bool {
        matches!(
            self.state,
            HealthState::Healthy | HealthState::Unproven { .. }
        )
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Duration) {
        match self.state {
            HealthState::Unproven { since } if now >= since + UNPROVEN => self.admit(now),
            HealthState::Ejected { until } if now >= until => {
                self.state = HealthState::Probing { running: false };
            }
            HealthState::Healthy if now >= self.healthy_since + FORGIVEN_AFTER => {
                self.ejections = 0;
            }
            _ => {}
        }
    }

    /// It reported its load.
    pub fn reported(&mut self, now: Duration) {
        if let HealthState::Unproven { .. } = self.state {
            self.admit(now);
        }
    }

    /// It produces tokens or answers.
    pub fn progressed(&mut self) {
        self.strikes = 0;
    }

    /// Something went wrong; whether it was ejected for it.
    pub fn strike(&mut self, now: Duration, sign: HealthSign) -> bool {
        self.strikes += match sign {
            HealthSign::Slight => 1,
            HealthSign::Grave => 2,
        };
        if self.strikes < STRIKES && self.in_service() {
            return false;
        }
        self.eject(now)
    }

    /// Takes it out of service; whether it was in service.
    pub fn eject(&mut self, now: Duration) -> bool {
        if let HealthState::Ejected { .. } = self.state {
            return false;
        }
        let was_in_service = self.in_service();
        let pause = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(16));
        self.ejections += 1;
        self.strikes = 0;
        self.state = HealthState::Ejected {
            until: now + pause.min(LONGEST_EJECTION),
        };
        was_in_service
    }

    /// Takes it out of service until a time that it named.
    pub fn pause(&mut self, until: Duration) {
        let until = match self.state {
            HealthState::Ejected { until: earlier } => earlier.max(until),
            _ => until,
        };
        self.strikes = 0;
        self.state = HealthState::Ejected { until };
    }

    /// When it is probed, if it is out of service.
    pub fn probed_at(&self) -> Option<Duration> {
        match self.state {
            HealthState::Ejected { until } => Some(until),
            _ => None,
        }
    }

    /// Puts it in service.
    pub fn admit(&mut self, now: Duration) {
        self.state = HealthState::Healthy;
        self.strikes = 0;
        self.healthy_since = now;
    }
}
