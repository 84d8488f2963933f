//! Records of quarantines, which nodes merge by their rounds.

use std::time::Duration;

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::gateway::crashes::evidence::millis;
use crate::gateway::crashes::suspect::CrashCause;

/// Times since the newest crash at which calls of a quarantined cause are sent once more: if a pool lost
/// all its upstreams at once, harmless calls are quarantined too.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(30), Duration::from_mins(5)];
/// Time since the newest crash after which a quarantine ends.
const QUARANTINE_TTL: Duration = Duration::from_hours(1);
/// Time since the newest crash up to which a quarantine is ended if it turns out to be wrong.
const REFUTAL_TIME: Duration = Duration::from_mins(1);

/// One node's record of a quarantine, as sent to other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct QuarantineReport {
    /// Properties of the calls.
    pub cause: CrashCause,
    /// Number of times that the quarantine was cleared.
    pub round: u32,
    /// Number of trials since the last clearing.
    pub trials: u8,
    /// Whether the calls are quarantined.
    pub quarantined: bool,
    /// Whether a trial was answered since the newest crash.
    pub answered: bool,
    /// Number of crashes that led to it.
    pub crashes: u32,
    /// Time since the newest crash or clearing, in ms.
    pub age_ms: u64,
}

/// A quarantine that began or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// Properties of the calls.
    pub cause: CrashCause,
    /// Whether they are quarantined now.
    pub quarantined: bool,
    /// Number of crashes that led to it.
    pub crashes: usize,
}

/// What a node knows of a quarantine.
#[derive(Clone, Debug, Default)]
pub struct QuarantineRecord {
    /// Number of times that it was cleared.
    pub round: u32,
    /// Number of trials since the last clearing.
    pub trials: u8,
    /// Whether the calls are quarantined.
    pub quarantined: bool,
    /// Whether a trial was answered since the newest crash.
    pub answered: bool,
    /// Number of crashes that led to it.
    pub crashes: u32,
    /// Time of the newest crash or clearing.
    pub changed_at: Duration,
}

impl QuarantineRecord {
    /// Time at which it ends, whatever happens.
    pub fn ends_at(&self) -> Duration {
        self.changed_at + QUARANTINE_TTL
    }

    /// Time from which on a call may be sent once more; `None` if no trial is left.
    pub fn trial_at(&self) -> Option<Duration> {
        let pause = TRIAL_DELAYS.get(usize::from(self.trials))?;
        Some(self.changed_at + *pause)
    }

    /// Whether what is known of its crashes may show that it is wrong. Later that is forgotten in part.
    pub fn is_refutable(&self, now: Duration) -> bool {
        self.quarantined && self.changed_at + REFUTAL_TIME > now
    }

    /// Merges a report and returns whether anything but the time changed.
    pub fn merge(&mut self, report: &QuarantineReport, at: Duration) -> bool {
        if report.round < self.round {
            return false;
        }
        let before = (self.round, self.trials, self.quarantined, self.crashes);
        if report.round > self.round {
            *self = Self {
                round: report.round,
                ..Self::default()
            };
        }
        self.trials = self.trials.max(report.trials);
        self.quarantined |= report.quarantined;
        self.answered |= report.answered;
        self.crashes = self.crashes.max(report.crashes);
        self.changed_at = self.changed_at.max(at);
        before != (self.round, self.trials, self.quarantined, self.crashes)
    }

    /// Builds the report for other nodes.
    pub fn report(&self, cause: &CrashCause, now: Duration) -> QuarantineReport {
        QuarantineReport {
            cause: cause.clone(),
            round: self.round,
            trials: self.trials,
            quarantined: self.quarantined,
            answered: self.answered,
            crashes: self.crashes,
            age_ms: millis(now.saturating_sub(self.changed_at)),
        }
    }
}
