//! Admission of one workspace's calls at one node, and the demand that the node reports.

use std::collections::VecDeque;
use std::time::Duration;

use serde_json::{Value, json};

use crate::call::CallSpec;
use crate::keys::RequestKey;
use crate::limits::LimitShare;

/// How long a call waits for the first share of its workspace.
const FIRST_WAIT: Duration = Duration::from_millis(200);

/// Shortest time between two demand messages.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_secs(1);

/// Fraction of its time left that a call above the rate may wait, and the longest such wait.
const PACE_SHARE: f64 = 0.25;
const LONGEST_PACE: Duration = Duration::from_secs(5);

/// Shortest time between two demand messages while calls wait for a larger share.
const MIN_GROWTH_INTERVAL: Duration = Duration::from_millis(100);

/// How long a call waits for a larger share: the limiter may first have to reclaim it.
const GROWTH_WAIT: Duration = Duration::from_millis(100);

/// Time after which unchanged demand is sent again.
const DEMAND_RENEWAL: Duration = Duration::from_secs(8);

/// Time without calls after which a workspace's state is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Averaging time of the arrival rate, in seconds.
const RATE_WINDOW: f64 = 2.0;

/// Factor by which the requested share exceeds the demand, so that small growth needs no message.
const HEADROOM: f64 = 1.25;

/// A call that waits for a share of its workspace's limits.
#[derive(Clone, Debug)]
pub struct WaitingCall {
    /// The call as it arrived.
    pub spec: CallSpec,
    /// Idempotency key; `None` if the caller sent none.
    pub key: Option<RequestKey>,
    /// Time at which it arrived.
    pub since: Duration,
}

/// The decision of a workspace's limits on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitDecision {
    /// The workspace has no limits.
    Unlimited,
    /// The call is within the limits and is counted as running.
    Admitted,
    /// The call waits for a share or for its turn.
    Wait,
    /// The call is above the limits.
    Limited {
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct ShareLease {
    share: LimitShare,
    until: Duration,
}

/// One node's share of a workspace's limits, and its use of it.
#[derive(Debug, Default)]
pub struct LocalAllowance {
    /// Calls that wait for a share or for their turn.
    pub waiting: VecDeque<WaitingCall>,
    lease: Option<ShareLease>,
    /// Until this time the limit is assumed to be fully used.
    saturated_until: Duration,
    running: u32,
    limited: u32,
    tokens: f64,
    refilled: Duration,
    rate: f64,
    last_arrival: Duration,
    first_demand: Option<Duration>,
    demand_sent: Duration,
    wanted: LimitShare,
}

impl LocalAllowance {
    /// Counts an arrival towards the demand.
    pub fn arrived(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_arrival).as_secs_f64();
        self.rate = self.rate * (-gap / RATE_WINDOW).exp() + 1.0 / RATE_WINDOW;
        self.last_arrival = now;
    }

    fn rate_now(&self, now: Duration) -> f64 {
        let gap = now.saturating_sub(self.last_arrival).as_secs_f64();
        self.rate * (-gap / RATE_WINDOW).exp()
    }

    fn leased_share(&self, now: Duration) -> Option<LimitShare> {
        self.lease
            .filter(|lease| now < lease.until)
            .map(|lease| lease.share)
    }

    /// The share of an unexpired lease; zero without one.
    pub fn current_share(&self, now: Duration) -> LimitShare {
        self.leased_share(now).unwrap_or_default()
    }

    /// Decides on one call. `even` is the share of a node that cannot reach the limiter, and
    /// `limits` are those of the whole fleet.
    pub fn admit(
        &mut self,
        now: Duration,
        call: &WaitingCall,
        even: LimitShare,
        limits: LimitShare,
    ) -> LimitDecision {
        let answer_due = self.first_demand.map_or(now, |sent| sent + FIRST_WAIT);
        let share = match self.leased_share(now) {
            Some(share) => share,
            None if now < answer_due => return LimitDecision::Wait,
            None => even,
        };
        self.refill(now, share.rate);
        if self.running < share.concurrent && self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.running += 1;
            return LimitDecision::Admitted;
        }
        if now < answer_due || self.may_grow(now, call.since, share, limits) {
            return LimitDecision::Wait;
        }
        if self.running < share.concurrent && self.can_pace(now, call, share.rate) {
            return LimitDecision::Wait;
        }
        self.limited += 1;
        self.saturated_until = now + MIN_DEMAND_INTERVAL;
        if self.running >= share.concurrent {
            return LimitDecision::Limited {
                retry_after: MIN_DEMAND_INTERVAL,
            };
        }
        let missing = (1.0 - self.tokens) / share.rate.max(0.001);
        let retry_after = Duration::from_secs_f64(missing.clamp(0.05, 60.0));
        LimitDecision::Limited { retry_after }
    }

    /// Whether a larger share may arrive in time for a call that is above the current one.
    fn may_grow(
        &self,
        now: Duration,
        since: Duration,
        share: LimitShare,
        limits: LimitShare,
    ) -> bool {
        let concurrency_used_up = self.running >= share.concurrent;
        let has_whole_limit = if concurrency_used_up {
            share.concurrent >= limits.concurrent
        } else {
            share.rate >= limits.rate
        };
        let reachable = self.leased_share(now).is_some();
        reachable && !has_whole_limit && now >= self.saturated_until && now < since + GROWTH_WAIT
    }

    /// Whether a call above the rate may wait for its turn without using too much of its time.
    fn can_pace(&self, now: Duration, call: &WaitingCall, rate: f64) -> bool {
        let turn = (self.waiting.len() as f64 + 1.0 - self.tokens) / rate.max(0.001);
        let longest = call.spec.time_left.mul_f64(PACE_SHARE).min(LONGEST_PACE);
        let waited = now.saturating_sub(call.since);
        waited.as_secs_f64() + turn <= longest.as_secs_f64()
    }

    /// Refills a token bucket, whose size is one second's worth of calls, and at least one call.
    fn refill(&mut self, now: Duration, rate: f64) {
        let time = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = now;
        let most = rate.max(1.0);
        self.tokens = (self.tokens + rate * time).min(most);
    }

    /// Counts the end of an admitted call.
    pub fn finished(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    fn demand(&self, now: Duration) -> LimitShare {
        let waiting = self.waiting.len() as u32;
        let refused = self.limited.min(self.running + 1);
        let concurrent = self.running + refused + waiting;
        let requested = (f64::from(concurrent) * HEADROOM).ceil() as u32;
        LimitShare {
            rate: self.rate_now(now) * HEADROOM + 1.0,
            concurrent: requested.max(1),
        }
    }

    /// Whether an arrival must send the demand at once: there is no share or recent demand.
    pub fn needs_first_share(&self, now: Duration) -> bool {
        self.leased_share(now).is_none()
            && (self.first_demand.is_none() || now >= self.demand_sent + MIN_DEMAND_INTERVAL)
    }

    /// Whether a call that starts to wait must send the demand: the current share is used up.
    pub fn needs_larger_share(&self, now: Duration) -> bool {
        self.leased_share(now).is_some() && now >= self.demand_sent + MIN_GROWTH_INTERVAL
    }

    /// Has the demand sent to the new limiter at the next opportunity.
    pub fn limiter_changed(&mut self) {
        self.demand_sent = Duration::ZERO;
        self.wanted = LimitShare::default();
    }

    /// Whether the demand is due to be sent again: it changed much, or was last sent long ago.
    pub fn should_renew(&self, now: Duration) -> bool {
        if now < self.demand_sent + MIN_DEMAND_INTERVAL || self.first_demand.is_none() {
            return false;
        }
        let demand = self.demand(now);
        let grown = demand.rate > self.wanted.rate * HEADROOM
            || demand.concurrent > self.wanted.concurrent.saturating_mul(2);
        let fallen = demand.rate * 2.0 < self.wanted.rate
            || demand.concurrent.saturating_mul(2) < self.wanted.concurrent;
        let fallen = fallen && now >= self.demand_sent + MIN_DEMAND_INTERVAL * 2;
        grown || fallen || now >= self.demand_sent + DEMAND_RENEWAL
    }

    /// Time at which the demand was last sent.
    pub fn demand_sent_at(&self) -> Duration {
        self.demand_sent
    }

    /// Records that the demand is sent now, and returns it.
    pub fn record_demand(&mut self, now: Duration) -> LimitShare {
        self.wanted = self.demand(now);
        self.limited = 0;
        self.demand_sent = now;
        self.first_demand.get_or_insert(now);
        self.wanted
    }

    /// Applies a granted share with a lease of this length.
    pub fn granted(&mut self, now: Duration, share: LimitShare, length: Duration) {
        if self.leased_share(now).is_none() {
            self.tokens = self.tokens.max(1.0);
            self.refilled = now;
        }
        self.lease = Some(ShareLease {
            share,
            until: now + length,
        });
    }

    /// Whether the state may be dropped: no calls run or wait, and none arrived recently.
    pub fn is_idle(&self, now: Duration) -> bool {
        self.running == 0 && self.waiting.is_empty() && now > self.last_arrival + IDLE_TIMEOUT
    }

    /// The workspace's entry in the state dump.
    pub fn dump(&self) -> Value {
        json!({
            "running": self.running,
            "waiting": self.waiting.len(),
            "share_rate": self.lease.map(|lease| lease.share.rate),
            "share_concurrent": self.lease.map(|lease| lease.share.concurrent),
        })
    }
}
