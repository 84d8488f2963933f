//! Limits that upstreams in need name: requests a second that they take from all nodes together.

use std::time::Duration;

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// Time by which an answer without a limit has to follow one with it to end it: answers on several
/// connections overtake each other.
const ANSWER_SLACK: Duration = Duration::from_millis(200);
/// Time for which other nodes are sent what an upstream said.
const REPORTED_FOR: Duration = Duration::from_millis(1500);
/// Time without word of a limit after which all nodes share it, so that one of them learns whether it
/// still stands.
const CONFIRMED_FOR: Duration = Duration::from_secs(30);
/// Part of a token that rounding may cost.
const ROUNDING: f64 = 1e-6;

/// What an upstream said last of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdvertisedLimit {
    /// Requests a second; none if it named no limit any more.
    pub per_second: Option<f64>,
    /// When it said so.
    pub at: Duration,
}

/// The same, as other nodes are sent it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct LimitReport {
    /// Hash of the upstream's run.
    pub run: u64,
    /// Requests a second; none if it names no limit any more.
    pub per_second: Option<f64>,
    /// Time since it said so, in ms.
    pub age_ms: u64,
}

impl LimitReport {
    /// What the upstream said, by the clock of the node that received this.
    pub fn advertised(&self, now: Duration) -> AdvertisedLimit {
        AdvertisedLimit {
            per_second: self.per_second,
            at: now.saturating_sub(Duration::from_millis(self.age_ms)),
        }
    }
}

/// What one node may send of an upstream's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitShare {
    /// Requests a second.
    pub per_second: f64,
    /// Requests at once, after a pause.
    pub burst: f64,
}

/// What a node knows of an upstream's limit, and what it has sent of its share.
#[derive(Clone, Debug, Default)]
pub struct UpstreamThrottle {
    named: Option<AdvertisedLimit>,
    share: LimitShare,
    tokens: f64,
    filled_at: Duration,
}

impl UpstreamThrottle {
    /// Takes in what the upstream said. Gives whether the limit is another one now.
    pub fn observe(&mut self, said: AdvertisedLimit, now: Duration) -> bool {
        let known = self.named.unwrap_or(AdvertisedLimit {
            per_second: None,
            at: Duration::ZERO,
        });
        if known.per_second.is_none() && said.per_second.is_none() {
            return false;
        }
        let ends = said.per_second.is_none();
        let earliest = if ends {
            known.at + ANSWER_SLACK
        } else {
            known.at
        };
        if said.at < earliest {
            return false;
        }
        self.named = Some(said);
        if known.per_second.is_none() {
            self.share = LimitShare::default();
            self.tokens = 0.0;
            self.filled_at = now;
        }
        known.per_second != said.per_second
    }

    /// The limit in force, in requests a second.
    pub fn limit(&self) -> Option<f64> {
        self.named?.per_second
    }

    /// Whether the upstream said so lately.
    pub fn is_confirmed(&self, now: Duration) -> bool {
        self.named
            .is_some_and(|named| named.at + CONFIRMED_FOR > now)
    }

    /// The report on the upstream with this run for other nodes, if it is new enough.
    pub fn report(&self, run: u64, now: Duration) -> Option<LimitReport> {
        let named = self.named.filter(|named| named.at + REPORTED_FOR > now)?;
        let age = now.saturating_sub(named.at);
        Some(LimitReport {
            run,
            per_second: named.per_second,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Sets this node's share of the limit from now on.
    pub fn set_share(&mut self, share: LimitShare, now: Duration) {
        self.tokens = self.filled(now).min(share.burst);
        self.filled_at = now;
        self.share = share;
    }

    /// Whether a request may be sent.
    pub fn is_open(&self, now: Duration) -> bool {
        self.limit().is_none() || self.filled(now) + ROUNDING >= 1.0
    }

    /// A request is sent.
    pub fn consume(&mut self, now: Duration) {
        self.tokens = (self.filled(now) - 1.0).max(0.0);
        self.filled_at = now;
    }

    fn filled(&self, now: Duration) -> f64 {
        let time = now.saturating_sub(self.filled_at).as_secs_f64();
        (self.tokens + self.share.per_second * time).min(self.share.burst)
    }
}
