//! Sizes a pool of slot-bound engines ahead of demand.
//!
//! Answers surges that begin within one startup time, and the loss of all spot engines of a zone:
//! the others hold what the forecast needs. What stands idle is given back in small steps.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::forecast::DemandForecast;
use crate::gateway::scaling::{
    EngineKind, EngineOrder, FIRM_BASE, LATE_START, OrderOutcome, PoolLoad, PoolScaling,
    SETTLE_TIME, ScalingSpec, ZoneEngines,
};

/// Share of an engine's slots in use once a zone is lost: with a crash of a sixth of the others, a
/// tenth is still free, so that calls need not wait for one.
const SLOTS_AFTER_LOSS: f64 = 0.75;
/// Share of an engine's time spent on prefill once a zone is lost.
const PREFILL_AFTER_LOSS: f64 = 0.6;

/// Price of a spot engine, as a fraction of a firm one's, above which a zone's worth of spot engines
/// in reserve costs more than firm ones, which need none.
const DEAREST_RESERVE: f64 = 0.6;
/// Part of the pool that one order may give back, as a divisor: the others take over its calls and
/// read its prompts again.
const SHRINK_DIVISOR: u32 = 8;

/// Engines of each zone of a pool.
type PoolZones = BTreeMap<Box<str>, ZoneEngines>;

/// A wanted number of engines, and the number present.
pub(super) type WantedOrder = (EngineOrder, u32);

impl PoolLoad {
    /// Number of engines that have to remain after the loss of a zone.
    pub fn needed_after_loss(&self) -> u32 {
        self.needed_at(PREFILL_AFTER_LOSS, SLOTS_AFTER_LOSS)
    }
}

impl PoolScaling {
    /// Creates the state of a holder that orders ahead of demand, with the forecast that its node made
    /// so far. `ahead` is the number of engines that the previous holder expected to be needed; 0 if
    /// unknown.
    pub fn resume_ahead(
        ahead: u32,
        mut forecast: DemandForecast,
        spec: &ScalingSpec,
        now: Duration,
    ) -> Self {
        if !forecast.is_known(spec.startup, now) {
            forecast.inherit(ahead, now);
        }
        Self {
            forecast: Some(forecast),
            ..Self::resume(ahead)
        }
    }

    /// The forecast, if the pool is ordered by it: where spot engines are cheap enough to stand by.
    pub(super) fn forecast(&self, spec: &ScalingSpec) -> Option<&DemandForecast> {
        let is_cheap = spec
            .spot_price
            .is_some_and(|price| price <= DEAREST_RESERVE);
        self.forecast.as_ref().filter(|_| is_cheap)
    }

    /// Number of engines that the pool needs one startup time ahead. Until its load is known, that
    /// is not less than it had before.
    pub(super) fn needed_ahead(
        &self,
        forecast: &DemandForecast,
        spec: &ScalingSpec,
        now: Duration,
    ) -> u32 {
        let ahead = forecast.ahead(spec.startup, now);
        if forecast.is_known(spec.startup, now) {
            ahead
        } else {
            ahead.max(self.baseline)
        }
    }

    /// Number of engines that each zone should have, cheap zones first.
    pub(super) fn wanted_ahead(
        &self,
        forecast: &DemandForecast,
        spec: &ScalingSpec,
        zones: &PoolZones,
        now: Duration,
    ) -> Vec<WantedOrder> {
        let needed = self.needed_ahead(forecast, spec, now);
        let mut names: Vec<&str> = zones.keys().map(|zone| &**zone).collect();
        let price = |zone: &str| spec.zone_prices.get(zone).copied().unwrap_or(1.0);
        names.sort_by(|a, b| price(a).total_cmp(&price(b)));
        let open: Vec<&str> = names
            .iter()
            .copied()
            .filter(|zone| !self.is_spot_unavailable(zone, now))
            .collect();
        let usual = spot_share(spec, zones, &names, needed);
        let share = spot_share(spec, zones, &open, needed);
        let spot: Vec<WantedOrder> = names
            .iter()
            .map(|zone| {
                let engines = zones[*zone];
                // A zone without available spot engines keeps those that it has.
                let wanted = if open.contains(zone) {
                    share
                } else {
                    usual.max(engines.spot)
                };
                let wanted = wanted.min(spec.most.saturating_sub(engines.firm));
                (order(zone, EngineKind::Spot, wanted), engines.spot)
            })
            .collect();
        let firm = self.firm_ahead(forecast, spec, zones, &names, now);
        let is_growing = forecast.growth(now) > 0.0 && forecast.soon(spec.startup, now) >= needed;
        let spot = self.paced(spot, zones, spec, is_growing, now);
        spot.into_iter().chain(firm).collect()
    }

    /// Limits what is given back: nothing while the load grows beyond its peaks or before
    /// all that is wanted stands, and then one step in each startup time.
    fn paced(
        &self,
        wanted: Vec<WantedOrder>,
        zones: &PoolZones,
        spec: &ScalingSpec,
        is_growing: bool,
        now: Duration,
    ) -> Vec<WantedOrder> {
        let present: u32 = zones.values().map(|engines| engines.spot).sum();
        let total: u32 = wanted.iter().map(|(order, _)| order.desired).sum();
        let is_recent = self.shrunk_at.is_some_and(|at| now < at + spec.startup);
        let may_shrink = !is_growing && !is_recent;
        let step = if may_shrink {
            present.saturating_sub(total).min(present / SHRINK_DIVISOR)
        } else {
            0
        };
        let mut paced: Vec<WantedOrder> = wanted
            .into_iter()
            .map(|(mut order, spot)| {
                let ordered = self.ordered(&order.zone, EngineKind::Spot, spot);
                order.desired = order
                    .desired
                    .max(ordered.min(spec.most).saturating_sub(step));
                (order, spot)
            })
            .collect();
        // Large zones give back first, and of equal ones the dear one.
        let is_less = |(order, spot): &WantedOrder| {
            order.desired < self.ordered(&order.zone, EngineKind::Spot, *spot)
        };
        let mut less: Vec<WantedOrder> = paced.extract_if(.., |wanted| is_less(wanted)).collect();
        less.reverse();
        less.sort_by_key(|(order, spot)| {
            std::cmp::Reverse(self.ordered(&order.zone, EngineKind::Spot, *spot))
        });
        paced.extend(less);
        paced
    }

    /// Firm engines that each zone should have: those that the pool still needs, and more where spot
    /// engines are unavailable and the pool is too small for its current load.
    fn firm_ahead(
        &self,
        forecast: &DemandForecast,
        spec: &ScalingSpec,
        zones: &PoolZones,
        names: &[&str],
        now: Duration,
    ) -> Vec<WantedOrder> {
        let kept = |zone: &str| {
            (
                order(zone, EngineKind::Firm, zones[zone].firm),
                zones[zone].firm,
            )
        };
        // While earlier engines are still being discovered, none is given up for those ordered.
        if self.grown_at.is_some_and(|at| now < at + SETTLE_TIME) {
            return names.iter().copied().map(kept).collect();
        }
        let leaving = zones.iter().map(|(zone, engines)| {
            let ordered = self.ordered(zone, EngineKind::Firm, engines.firm);
            engines.firm.saturating_sub(ordered)
        });
        let leaving: u32 = leaving.sum();
        let present: u32 = zones.values().map(|engines| engines.total()).sum();
        let needed = if forecast.is_known(spec.startup, now) {
            forecast.soon(spec.startup, now)
        } else {
            self.needed_ahead(forecast, spec, now)
        };
        let mut surplus = present.saturating_sub(leaving + needed);
        let mut shortage = self.firm_shortage(forecast, spec, zones, now);
        // Cheap zones are filled first, and dear ones give up theirs first.
        let mut wanted: BTreeMap<&str, u32> = BTreeMap::new();
        for zone in names.iter().rev().copied() {
            let known = self.ordered(zone, EngineKind::Firm, zones[zone].firm);
            let given = surplus.min(known.saturating_sub(FIRM_BASE));
            surplus -= given;
            wanted.insert(zone, (known - given).max(FIRM_BASE));
        }
        let orders = names.iter().copied().map(|zone| {
            let engines = zones[zone];
            let spot = self.ordered(zone, EngineKind::Spot, engines.spot);
            let desired = wanted[zone];
            let room = spec.most.saturating_sub(engines.spot.max(spot) + desired);
            let added = shortage.min(room);
            shortage -= added;
            (order(zone, EngineKind::Firm, desired + added), engines.firm)
        });
        orders.collect()
    }

    /// Number of engines that the current load lacks, if spot engines are unavailable somewhere,
    /// once all that are ordered stand.
    fn firm_shortage(
        &self,
        forecast: &DemandForecast,
        spec: &ScalingSpec,
        zones: &PoolZones,
        now: Duration,
    ) -> u32 {
        let mut names = zones.keys();
        if !names.any(|zone| self.is_spot_unavailable(zone, now)) {
            return 0;
        }
        let expected = zones.iter().map(|(zone, engines)| {
            let expected = |kind, present: u32| {
                let last = self.orders.get(&(zone.clone(), kind));
                let coming = last.filter(|last| {
                    last.outcome == OrderOutcome::Accepted
                        && now < last.at + spec.startup + LATE_START
                });
                coming.map_or(present, |last| last.desired.max(present))
            };
            expected(EngineKind::Spot, engines.spot) + expected(EngineKind::Firm, engines.firm)
        });
        let expected: u32 = expected.sum();
        forecast.level(now).saturating_sub(expected)
    }

    /// Forgets the orders of zones whose spot engines were taken back since they were sent, so that
    /// these are ordered anew at once, there or elsewhere.
    pub(super) fn notice_reclaims(&mut self, zones: &PoolZones) {
        for (zone, engines) in zones {
            let before = self.spot_seen.insert(zone.clone(), engines.spot);
            let before = before.unwrap_or(0);
            let ordered = self.ordered(zone, EngineKind::Spot, before);
            if engines.spot < before / 2 && ordered >= before {
                self.orders.remove(&(zone.clone(), EngineKind::Spot));
            }
        }
    }

    /// Number of engines that a zone has been ordered to have; what is present if none were.
    fn ordered(&self, zone: &str, kind: EngineKind, present: u32) -> u32 {
        let last = self.orders.get(&(zone.into(), kind));
        let accepted = last.filter(|last| last.outcome == OrderOutcome::Accepted);
        accepted.map_or(present, |last| last.desired)
    }
}

fn order(zone: &str, kind: EngineKind, desired: u32) -> EngineOrder {
    EngineOrder {
        zone: zone.into(),
        kind,
        desired,
    }
}

/// Smallest number of spot engines in each of the `open` zones with which the pool has `needed`
/// engines after the loss of its largest zone's spot engines; the most if no number is enough.
fn spot_share(spec: &ScalingSpec, zones: &PoolZones, open: &[&str], needed: u32) -> u32 {
    let firm: u32 = zones
        .values()
        .map(|engines| engines.firm.min(FIRM_BASE))
        .sum();
    let closed = zones.iter().filter(|(zone, _)| !open.contains(&&***zone));
    let closed: Vec<u32> = closed.map(|(_, engines)| engines.spot).collect();
    let count = u32::try_from(open.len()).unwrap_or(u32::MAX);
    let total = |share: u32| firm + closed.iter().sum::<u32>() + share * count;
    let largest = |share: u32| {
        let zones = closed.iter().copied().chain(open.first().map(|_| share));
        zones.max().unwrap_or(0)
    };
    let most = spec.most.saturating_sub(FIRM_BASE);
    let least = spec.least.saturating_sub(FIRM_BASE);
    let mut shares = least..=most;
    // The only zone that has any can't bear its own loss.
    let is_alone = count + closed.iter().filter(|spot| **spot > 0).count() as u32 <= 1;
    let left = |share: u32| total(share) - if is_alone { 0 } else { largest(share) };
    shares.find(|share| left(*share) >= needed).unwrap_or(most)
}
