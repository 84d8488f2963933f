//! Limits that overloaded upstreams advertise: requests per second from all nodes together.

use std::time::Duration;

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// Time by which an answer without a limit must be later than one with a limit to end that limit,
/// since answers on several connections may be reordered.
const ANSWER_SLACK: Duration = Duration::from_millis(200);
/// Time for which an advertised limit is sent to other nodes.
const REPORT_TTL: Duration = Duration::from_millis(1500);
/// Time without a confirmation of a limit after which all nodes share it, so that one of them
/// learns whether it is still in force.
const CONFIRMATION_TTL: Duration = Duration::from_secs(30);
/// Tolerance for rounding errors, in tokens.
const ROUNDING: f64 = 1e-6;

/// Latest limit that an upstream advertised.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdvertisedLimit {
    /// Requests per second; `None` if it no longer advertises a limit.
    pub per_second: Option<f64>,
    /// Time at which the upstream advertised it.
    pub at: Duration,
}

/// An advertised limit, as sent to other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct LimitReport {
    /// Hash of the upstream's run.
    pub run: u64,
    /// Requests per second; `None` if the upstream no longer advertises a limit.
    pub per_second: Option<f64>,
    /// Time since the upstream advertised it, in ms.
    pub age_ms: u64,
}

impl LimitReport {
    /// Converts the report to the clock of the node that received it.
    pub fn advertised(&self, now: Duration) -> AdvertisedLimit {
        AdvertisedLimit {
            per_second: self.per_second,
            at: now.saturating_sub(Duration::from_millis(self.age_ms)),
        }
    }
}

/// One node's share of an upstream's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitShare {
    /// Rate at which requests may be sent, per second.
    pub per_second: f64,
    /// Maximum number of requests that may be sent at once after an idle time.
    pub burst: f64,
}

/// An upstream's limit, and a token bucket for this node's share of it.
#[derive(Clone, Debug, Default)]
pub struct UpstreamThrottle {
    advertised: Option<AdvertisedLimit>,
    share: LimitShare,
    tokens: f64,
    filled_at: Duration,
}

impl UpstreamThrottle {
    /// Records a limit that the upstream advertised, unless it is outdated. Returns whether the
    /// limit in force changed.
    pub fn observe(&mut self, newest: AdvertisedLimit, now: Duration) -> bool {
        let known = self.advertised.unwrap_or(AdvertisedLimit {
            per_second: None,
            at: Duration::ZERO,
        });
        if known.per_second.is_none() && newest.per_second.is_none() {
            return false;
        }
        let ends = newest.per_second.is_none();
        let earliest = if ends {
            known.at + ANSWER_SLACK
        } else {
            known.at
        };
        if newest.at < earliest {
            return false;
        }
        self.advertised = Some(newest);
        if known.per_second.is_none() {
            self.share = LimitShare::default();
            self.tokens = 0.0;
            self.filled_at = now;
        }
        known.per_second != newest.per_second
    }

    /// Limit in force, in requests per second; `None` if there is none.
    pub fn limit(&self) -> Option<f64> {
        self.advertised?.per_second
    }

    /// Whether the upstream has advertised a limit, or the end of one.
    pub fn is_known(&self) -> bool {
        self.advertised.is_some()
    }

    /// Whether the upstream advertised the limit recently.
    pub fn is_confirmed(&self, now: Duration) -> bool {
        self.advertised
            .is_some_and(|advertised| advertised.at + CONFIRMATION_TTL > now)
    }

    /// Report of the limit to other nodes, where `run` is the hash of the upstream's run; `None` if
    /// there was none or it is too old to send.
    pub fn report(&self, run: u64, now: Duration) -> Option<LimitReport> {
        let advertised = self
            .advertised
            .filter(|advertised| advertised.at + REPORT_TTL > now)?;
        let age = now.saturating_sub(advertised.at);
        Some(LimitReport {
            run,
            per_second: advertised.per_second,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Sets this node's share of the limit from now on.
    pub fn set_share(&mut self, share: LimitShare, now: Duration) {
        self.tokens = self.filled(now).min(share.burst);
        self.filled_at = now;
        self.share = share;
    }

    /// Whether a request may be sent now.
    pub fn is_open(&self, now: Duration) -> bool {
        self.limit().is_none() || self.filled(now) + ROUNDING >= 1.0
    }

    /// Records that a request is sent.
    pub fn consume(&mut self, now: Duration) {
        self.tokens = (self.filled(now) - 1.0).max(0.0);
        self.filled_at = now;
    }

    fn filled(&self, now: Duration) -> f64 {
        let time = now.saturating_sub(self.filled_at).as_secs_f64();
        (self.tokens + self.share.per_second * time).min(self.share.burst)
    }
}
