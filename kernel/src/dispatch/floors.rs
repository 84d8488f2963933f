//! The floor of a lower tier: a share of slots that it gets while it has work waiting.

use std::time::Duration;

use crate::call::Tier;
use crate::config::Config;

/// Floor of a lower tier for which the configuration names none.
const DEFAULT_FLOOR: f64 = 0.05;

/// Least floor of a lower tier, whatever the configuration says.
const LEAST_FLOOR: f64 = 0.01;

/// Most that all floors of one pool take together.
const MOST_FLOORS: f64 = 0.9;

/// Seconds of floor that a tier gets back after it was kept below.
const CATCH_UP: f64 = 1.0;

/// Slots that a tier may take to catch up, relative to its floor: runs are long, and slots taken
/// now stay taken.
const MOST_TO_CATCH_UP: f64 = 1.25;

/// Seconds of floor by which a tier may be ahead, so that a floor of half a slot holds on average.
const AHEAD: f64 = 0.3;

/// Keeps one tier's floor in one pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct TierFloor {
    /// Share of slots, from 0 to 1.
    pub share: f64,
    credit: f64,
    settled: Duration,
}

impl TierFloor {
    /// Counts the time since the last call: the floor less what was in service, in slot-seconds.
    pub fn settle(&mut self, now: Duration, slots: u32, running: u32, waiting: bool) {
        let time = now.saturating_sub(self.settled).as_secs_f64();
        self.settled = now;
        let floor = self.slots(slots);
        self.credit += (floor - f64::from(running)) * time;
        let most = if waiting { floor * CATCH_UP } else { 0.0 };
        self.credit = self.credit.clamp(-floor * AHEAD, most);
    }

    /// The floor in slots.
    pub fn slots(&self, slots: u32) -> f64 {
        self.share * f64::from(slots)
    }

    /// Whether the next free slot belongs to this tier whatever waits above it.
    pub fn is_owed(&self, slots: u32, running: u32) -> bool {
        let floor = self.slots(slots);
        let may_catch_up = f64::from(running) < (floor * MOST_TO_CATCH_UP).ceil();
        f64::from(running + 1) <= floor || (self.credit > 0.0 && may_catch_up)
    }

    /// How far below its floor the tier is, relative to the floor.
    pub fn shortfall(&self, slots: u32, running: u32) -> f64 {
        let floor = self.slots(slots);
        (floor - f64::from(running) + self.credit) / floor.max(f64::MIN_POSITIVE)
    }
}

/// The share of slots that is kept for a tier: none for the highest; never nothing for the others.
pub fn floor_share(config: &Config, tier: Tier) -> f64 {
    if tier.0 == 0 {
        return 0.0;
    }
    let clean = |share: f64| {
        if share.is_nan() {
            LEAST_FLOOR
        } else {
            share.clamp(LEAST_FLOOR, 1.0)
        }
    };
    let total: f64 = config
        .tiers
        .iter()
        .filter(|(tier, _)| tier.0 > 0)
        .map(|(_, share)| clean(*share))
        .sum();
    let share = clean(config.tiers.get(&tier).copied().unwrap_or(DEFAULT_FLOOR));
    share * (MOST_FLOORS / total.max(MOST_FLOORS))
}
