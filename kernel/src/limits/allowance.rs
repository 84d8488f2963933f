//! What one node may let in of a limited workspace, and what it asks for.

use std::collections::VecDeque;
use std::time::Duration;

use serde_json::{Value, json};

use crate::call::CallSpec;
use crate::keys::RequestKey;
use crate::limits::LimitShare;

/// How long a call waits for the first share of its workspace.
const FIRST_WAIT: Duration = Duration::from_millis(200);

/// Least time between two messages about demand.
const LEAST_GAP: Duration = Duration::from_secs(1);

/// Share of its time that a call above the rate may wait for its turn, and the longest such wait.
const PACE_SHARE: f64 = 0.25;
const LONGEST_PACE: Duration = Duration::from_secs(5);

/// Least time between two messages while calls wait for a greater share.
const URGENT_GAP: Duration = Duration::from_millis(100);

/// How long a call waits for a greater share: the limiter may have to take it from another node
/// first.
const GROWTH_WAIT: Duration = Duration::from_millis(100);

/// Time after which demand that did not change is told again.
const RENEWAL: Duration = Duration::from_secs(8);

/// Time without calls after which a workspace is forgotten.
const IDLE: Duration = Duration::from_secs(30);

/// Time over which the rate of arrivals is averaged, in seconds.
const RATE_WINDOW: f64 = 2.0;

/// Asked beyond the demand seen, so that small growth needs no message.
const HEADROOM: f64 = 1.25;

/// A call that waits for the first share of its workspace.
#[derive(Clone, Debug)]
pub struct WaitingCall {
    /// The call.
    pub spec: CallSpec,
    /// Its idempotency key.
    pub key: Option<RequestKey>,
    /// When it arrived.
    pub since: Duration,
}

/// What the limits say of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitDecision {
    /// The workspace has no limits.
    Unlimited,
    /// It is within them, and counts from now on.
    Admitted,
    /// The share is being asked for.
    Wait,
    /// It is above them.
    Limited {
        /// When a retry makes sense.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug)]
struct HeldShare {
    share: LimitShare,
    until: Duration,
}

/// What one node may let in of a limited workspace.
#[derive(Debug, Default)]
pub struct LocalAllowance {
    /// Calls that wait for the first share.
    pub waiting: VecDeque<WaitingCall>,
    held: Option<HeldShare>,
    /// Until then the whole limit is thought to be in use.
    denied: Duration,
    running: u32,
    limited: u32,
    tokens: f64,
    filled: Duration,
    rate: f64,
    last_arrival: Duration,
    first_ask: Option<Duration>,
    asked: Duration,
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

    fn share(&self, now: Duration) -> Option<LimitShare> {
        self.held
            .filter(|held| now < held.until)
            .map(|held| held.share)
    }

    /// What is held by a lease that has not run out.
    pub fn held(&self, now: Duration) -> LimitShare {
        self.share(now).unwrap_or_default()
    }

    /// Decides on one call; `even` is the share of a node that cannot reach
    /// the limiter, `limits` are the whole fleet's.
    pub fn admit(
        &mut self,
        now: Duration,
        call: &WaitingCall,
        even: LimitShare,
        limits: LimitShare,
    ) -> LimitDecision {
        let answer_due = self.first_ask.map_or(now, |asked| asked + FIRST_WAIT);
        let share = match self.share(now) {
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
        self.denied = now + LEAST_GAP;
        if self.running >= share.concurrent {
            return LimitDecision::Limited {
                retry_after: LEAST_GAP,
            };
        }
        let missing = (1.0 - self.tokens) / share.rate.max(0.001);
        let retry_after = Duration::from_secs_f64(missing.clamp(0.05, 60.0));
        LimitDecision::Limited { retry_after }
    }

    /// Whether a greater share may come in time for a call that is above the one held.
    fn may_grow(
        &self,
        now: Duration,
        since: Duration,
        share: LimitShare,
        limits: LimitShare,
    ) -> bool {
        let short_of_calls = self.running >= share.concurrent;
        let whole = if short_of_calls {
            share.concurrent >= limits.concurrent
        } else {
            share.rate >= limits.rate
        };
        let reachable = self.share(now).is_some();
        reachable && !whole && now >= self.denied && now < since + GROWTH_WAIT
    }

    /// Whether a call above the rate may wait for its turn: it must not use up much of its time.
    fn can_pace(&self, now: Duration, call: &WaitingCall, rate: f64) -> bool {
        let turn = (self.waiting.len() as f64 + 1.0 - self.tokens) / rate.max(0.001);
        let longest = call.spec.time_left.mul_f64(PACE_SHARE).min(LONGEST_PACE);
        let waited = now.saturating_sub(call.since);
        waited.as_secs_f64() + turn <= longest.as_secs_f64()
    }

    /// A token bucket that holds what comes in during a second, and one call at the least.
    fn refill(&mut self, now: Duration, rate: f64) {
        let time = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = now;
        let most = rate.max(1.0);
        self.tokens = (self.tokens + rate * time).min(most);
    }

    /// A call that was let in is over.
    pub fn finished(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    fn demand(&self, now: Duration) -> LimitShare {
        let waiting = self.waiting.len() as u32;
        let refused = self.limited.min(self.running + 1);
        let concurrent = self.running + refused + waiting;
        let roomy = (f64::from(concurrent) * HEADROOM).ceil() as u32;
        LimitShare {
            rate: self.rate_now(now) * HEADROOM + 1.0,
            concurrent: roomy.max(1),
        }
    }

    /// Whether an arrival must ask at once: nothing is held and nothing was asked lately.
    pub fn should_ask_now(&self, now: Duration) -> bool {
        self.share(now).is_none() && (self.first_ask.is_none() || now >= self.asked + LEAST_GAP)
    }

    /// Whether the call that begins to wait must ask: the share held is used up.
    pub fn should_ask_for_growth(&self, now: Duration) -> bool {
        self.share(now).is_some() && now >= self.asked + URGENT_GAP
    }

    /// The limiter is another node now: tells it the demand as soon as may be.
    pub fn limiter_changed(&mut self) {
        self.asked = Duration::ZERO;
        self.wanted = LimitShare::default();
    }

    /// Whether it is time to tell the demand again.
    pub fn should_renew(&self, now: Duration) -> bool {
        if now < self.asked + LEAST_GAP || self.first_ask.is_none() {
            return false;
        }
        let demand = self.demand(now);
        let grown = demand.rate > self.wanted.rate * HEADROOM
            || demand.concurrent > self.wanted.concurrent.saturating_mul(2);
        let fallen = demand.rate * 2.0 < self.wanted.rate
            || demand.concurrent.saturating_mul(2) < self.wanted.concurrent;
        let fallen = fallen && now >= self.asked + LEAST_GAP * 2;
        grown || fallen || now >= self.asked + RENEWAL
    }

    /// When the demand was told last.
    pub fn asked_at(&self) -> Duration {
        self.asked
    }

    /// Notes that the demand is told now, and says what it is.
    pub fn ask(&mut self, now: Duration) -> LimitShare {
        self.wanted = self.demand(now);
        self.limited = 0;
        self.asked = now;
        self.first_ask.get_or_insert(now);
        self.wanted
    }

    /// Takes in a share.
    pub fn granted(&mut self, now: Duration, share: LimitShare, length: Duration) {
        if self.share(now).is_none() {
            self.tokens = self.tokens.max(1.0);
            self.filled = now;
        }
        self.held = Some(HeldShare {
            share,
            until: now + length,
        });
    }

    /// Whether nothing is left to remember.
    pub fn is_idle(&self, now: Duration) -> bool {
        self.running == 0 && self.waiting.is_empty() && now > self.last_arrival + IDLE
    }

    /// The state dump.
    pub fn dump(&self) -> Value {
        json!({
            "running": self.running,
            "waiting": self.waiting.len(),
            "share_rate": self.held.map(|held| held.share.rate),
            "share_concurrent": self.held.map(|held| held.share.concurrent),
        })
    }
}
