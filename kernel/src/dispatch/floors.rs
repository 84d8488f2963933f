//! The floor of a lower tier: a guaranteed fraction of slots while it has queued work.

use std::time::Duration;

use crate::call::Tier;
use crate::config::Config;

/// Floor of a lower tier that has none in the configuration.
const DEFAULT_FLOOR: f64 = 0.05;

/// Smallest floor of a lower tier, regardless of the configuration.
const MIN_FLOOR: f64 = 0.01;

/// Largest sum of all floors of one pool.
const MAX_TOTAL_FLOOR: f64 = 0.9;

/// Most credit that a tier accumulates while below its floor, in seconds of the floor.
const MAX_CREDIT: f64 = 1.0;

/// Slots that a tier may use to catch up, relative to its floor. Runs are long, so a slot taken now
/// stays taken.
const CATCH_UP_FACTOR: f64 = 1.25;

/// Most debt that a tier accumulates, in seconds of the floor, so that a floor of half a slot is
/// met on average.
const MAX_DEBT: f64 = 0.3;

/// Tracks whether one tier of one pool gets its floor.
#[derive(Clone, Copy, Debug, Default)]
pub struct TierFloor {
    /// Floor as a fraction of the pool's slots, from 0 to 1.
    pub share: f64,
    credit: f64,
    updated: Duration,
}

impl TierFloor {
    /// Adds the time since the last update to the credit: the floor less the slots in use, in
    /// slot-seconds. Without queued work the credit does not exceed zero.
    pub fn update_credit(&mut self, now: Duration, slots: u32, running: u32, waiting: bool) {
        let time = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        let floor = self.slots(slots);
        self.credit += (floor - f64::from(running)) * time;
        let most = if waiting { floor * MAX_CREDIT } else { 0.0 };
        self.credit = self.credit.clamp(-floor * MAX_DEBT, most);
    }

    /// The floor in a pool with this number of slots, in slots.
    pub fn slots(&self, slots: u32) -> f64 {
        self.share * f64::from(slots)
    }

    /// Whether the next free slot goes to this tier regardless of queued work in higher tiers.
    pub fn is_due(&self, slots: u32, running: u32) -> bool {
        let floor = self.slots(slots);
        let may_catch_up = f64::from(running) < (floor * CATCH_UP_FACTOR).ceil();
        f64::from(running + 1) <= floor || (self.credit > 0.0 && may_catch_up)
    }

    /// How far the tier is below its floor, including its credit, relative to the floor.
    pub fn shortfall(&self, slots: u32, running: u32) -> f64 {
        let floor = self.slots(slots);
        (floor - f64::from(running) + self.credit) / floor.max(f64::MIN_POSITIVE)
    }
}

/// The floor of a tier as a fraction of slots: 0 for the highest tier, above 0 for the others.
pub fn floor_share(config: &Config, tier: Tier) -> f64 {
    if tier.0 == 0 {
        return 0.0;
    }
    let sanitize = |share: f64| {
        if share.is_nan() {
            MIN_FLOOR
        } else {
            share.clamp(MIN_FLOOR, 1.0)
        }
    };
    let total: f64 = config
        .tiers
        .iter()
        .filter(|(tier, _)| tier.0 > 0)
        .map(|(_, share)| sanitize(*share))
        .sum();
    let share = sanitize(config.tiers.get(&tier).copied().unwrap_or(DEFAULT_FLOOR));
    share * (MAX_TOTAL_FLOOR / total.max(MAX_TOTAL_FLOOR))
}
