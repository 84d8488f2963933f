//! Determines how many engines of a pool each availability zone should have, and of which kind.
//!
//! *Spot* engines cost a fraction of the price, but all of a zone's may be reclaimed at once, with
//! some seconds' notice. *Firm* ones stay. Most engines are spot, spread evenly over the zones, so
//! that the other zones can absorb the loss of one.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::gateway::forecast::DemandForecast;
use crate::gateway::load::TOKENS_PER_MS;

mod ahead;
mod terms;

pub use terms::{EngineKind, EngineOrder, OrderOutcome, ScalingSpec, ZoneEngines};

/// Size of a pool above which no engines are ordered: whenever an engine is added or removed, all
/// nodes fetch the whole registry, which delays notices of departures.
const LARGEST_POOL: u32 = 1000;
/// Number of firm engines that each availability zone keeps after spot engines replaced the others.
const FIRM_BASE: u32 = 1;
/// Share of an engine's time spent on prefill at the load that the pool is sized for: above it,
/// gaps between events come near their bounds.
const PREFILL_FILL: f64 = 0.45;
/// Share of an engine's slots in use at that load.
const SLOT_FILL: f64 = 0.5;
/// Time without new engines after which the known ones are assumed to be all.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
/// Number of engines relative to the baseline when most are spot: the loss of one of three zones
/// during a surge still leaves more than the baseline. It is reduced where this many spot engines
/// would cost more than the firm ones.
const SPOT_HEADROOM: f64 = 2.0;
/// Time for which the pool stays as large as its load required: surges come in series, and a new
/// engine takes seconds to start and has an empty cache.
const PEAK_RETENTION: Duration = Duration::from_mins(1);
/// Time for which a measured load counts as current.
const RECENT: Duration = Duration::from_secs(3);
/// Number of engines, relative to the need during `PEAK_RETENTION`, below which a pool whose
/// baseline was larger does not shrink.
const SHRINK_MARGIN: f64 = 1.5;
/// Time after which a rejected order is sent again.
const REFUSED_DELAY: Duration = Duration::from_millis(2500);
/// Time after which an unanswered order is sent again.
const UNANSWERED_DELAY: Duration = Duration::from_secs(1);
/// Time after their start within which ordered engines appear in the registry.
const LATE_START: Duration = Duration::from_secs(3);
/// Time between two orders for fewer spot engines, each of which drains one and loses its cache.
const SHRINK_INTERVAL: Duration = Duration::from_secs(20);

impl PoolLoad {
    /// Number of engines that the load requires.
    fn needed(&self) -> u32 {
        self.needed_at(PREFILL_FILL, SLOT_FILL)
    }

    /// Number of engines that the load fills up to the given shares of their time and slots.
    fn needed_at(&self, prefill_fill: f64, slot_fill: f64) -> u32 {
        let prefill = self.tokens_per_s / (TOKENS_PER_MS * 1000.0 * prefill_fill);
        let calls = f64::from(self.calls) / (f64::from(self.slots.max(1)) * slot_fill);
        prefill.max(calls).ceil() as u32
    }
}

/// Current and desired size of a pool.
#[derive(Clone, Copy, Debug)]
struct PoolSize {
    /// Number of engines that each zone should have.
    share: u32,
    /// Each zone's part of the pool's baseline.
    baseline_share: u32,
    /// Number of engines that accept calls.
    present: u32,
    /// Number of engines below which firm ones are ordered if no spot ones are available: the
    /// baseline, or the need of the current load if that is larger.
    needed: u32,
}

/// Latest order of a kind of engine in a zone.
#[derive(Clone, Copy, Debug)]
struct LastOrder {
    desired: u32,
    at: Duration,
    outcome: OrderOutcome,
}

/// Load of a pool, as far as the node that orders its engines knows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Number of calls in flight at its engines.
    pub calls: u32,
    /// Number of slots of one engine.
    pub slots: u32,
    /// Prompt tokens added to the engines' caches per second.
    pub tokens_per_s: f64,
}

/// Orders for a pool's engines and the data behind them.
#[derive(Clone, Debug, Default)]
pub struct PoolScaling {
    /// Baseline: number of engines of the pool before any were replaced, in firm engines.
    baseline: u32,
    is_resumed: bool,
    first_at: Option<Duration>,
    grown_at: Option<Duration>,
    peaks: VecDeque<(Duration, u32)>,
    orders: BTreeMap<(Box<str>, EngineKind), LastOrder>,
    shrunk_at: Option<Duration>,
    /// Forecast of the need; `None` if the pool is sized by its baseline.
    forecast: Option<DemandForecast>,
    /// Spot engines of each zone when they were last looked at, if there is a forecast.
    spot_seen: BTreeMap<Box<str>, u32>,
}

/// Number of spot engines that replace one firm engine.
fn headroom(spec: &ScalingSpec) -> f64 {
    let affordable = |price: f64| SPOT_HEADROOM.min(1.0 / price.max(f64::MIN_POSITIVE));
    spec.spot_price.map_or(1.0, affordable).max(1.0)
}

impl PoolScaling {
    /// Creates the state of a holder that follows another. `total` is the number of engines that
    /// the previous holder decided on; 0 if unknown.
    pub fn resume(total: u32) -> Self {
        Self {
            baseline: total,
            is_resumed: total > 0,
            ..Self::default()
        }
    }

    /// Records the current load of the pool.
    pub fn record_load(&mut self, load: PoolLoad, now: Duration) {
        let needed = load.needed();
        if let Some(forecast) = &mut self.forecast {
            forecast.record(load.needed_after_loss(), now);
        }
        while self.peaks.back().is_some_and(|(_, peak)| *peak <= needed) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, needed));
        while self
            .peaks
            .front()
            .is_some_and(|(at, _)| *at + PEAK_RETENTION < now)
        {
            self.peaks.pop_front();
        }
    }

    /// Next order that is due; `None` if there is none, or if the pool is larger than
    /// `LARGEST_POOL`. `zones` are those in which the pool runs.
    pub fn next_order(
        &mut self,
        spec: &ScalingSpec,
        zones: &BTreeMap<Box<str>, ZoneEngines>,
        now: Duration,
    ) -> Option<EngineOrder> {
        let present: u32 = zones.values().map(|engines| engines.total()).sum();
        if present > LARGEST_POOL {
            return None;
        }
        self.update_baseline(spec, zones, now);
        self.first_at.get_or_insert(now);
        if self.forecast(spec).is_some() {
            self.notice_reclaims(zones);
        }
        if let Some(forecast) = self.forecast(spec) {
            let wanted = self.wanted_ahead(forecast, spec, zones, now);
            let mut wanted = wanted.into_iter();
            let is_due = |(order, present): &(EngineOrder, u32)| {
                zones[&order.zone].total() <= spec.most && self.is_due(order, *present, spec, now)
            };
            return wanted.find(is_due).map(|(order, _)| order);
        }
        let count = u32::try_from(zones.len()).ok()?.max(1);
        let share = self.total(spec, now).div_ceil(count);
        let size = PoolSize {
            share: share.clamp(spec.least, spec.most),
            baseline_share: self.baseline / count,
            present,
            needed: self.baseline.max(self.needed_now(now)),
        };
        // No order for zones above the maximum, as it would stop the engines beyond it.
        let allowed = zones
            .iter()
            .filter(|(_, engines)| engines.total() <= spec.most);
        let wanted = allowed.flat_map(|(zone, engines)| {
            let order = |kind, desired| EngineOrder {
                zone: zone.clone(),
                kind,
                desired,
            };
            let spot = self.spot_wanted(spec, zones, size, zone, now);
            let firm = self.firm_wanted(spec, *engines, size, zone, now);
            [
                (order(EngineKind::Spot, spot), engines.spot),
                (order(EngineKind::Firm, firm), engines.firm),
            ]
        });
        let mut wanted = wanted.filter(|(order, present)| self.is_due(order, *present, spec, now));
        wanted.next().map(|(order, _)| order)
    }

    /// Number of spot engines that a zone should have: all but its firm ones, and replacements for
    /// those that are unavailable in other zones.
    fn spot_wanted(
        &self,
        spec: &ScalingSpec,
        zones: &BTreeMap<Box<str>, ZoneEngines>,
        size: PoolSize,
        zone: &str,
        now: Duration,
    ) -> u32 {
        if spec.spot_price.is_none() {
            return 0;
        }
        let replacements = if self.is_spot_unavailable(zone, now) {
            0
        } else {
            self.spot_shortage(zones, size.share, now)
        };
        let firm = zones.get(zone).map_or(0, |engines| engines.firm);
        let wanted = size.share.saturating_sub(FIRM_BASE) + replacements;
        wanted.min(spec.most.saturating_sub(firm))
    }

    /// Number of firm engines that a zone should have: those that spot engines have not replaced
    /// yet. More are ordered only if the pool has no spot engines, or none are available while the
    /// pool is smaller than its baseline or than its load requires.
    fn firm_wanted(
        &self,
        spec: &ScalingSpec,
        engines: ZoneEngines,
        size: PoolSize,
        zone: &str,
        now: Duration,
    ) -> u32 {
        // While earlier engines are still being discovered, none is given up for those ordered.
        if self.grown_at.is_some_and(|at| now < at + SETTLE_TIME) {
            return engines.firm;
        }
        if spec.spot_price.is_none() {
            return size.share;
        }
        let last = self.orders.get(&(zone.into(), EngineKind::Firm));
        let known = last.map_or(engines.firm, |last| last.desired);
        let is_short = self.is_spot_unavailable(zone, now) && size.present < size.needed;
        let most = if is_short {
            spec.most.saturating_sub(engines.spot)
        } else {
            known
        };
        let replaced = size.share.min(size.baseline_share);
        let unreplaced = replaced.saturating_sub(engines.spot);
        unreplaced.max(FIRM_BASE).min(most)
    }

    /// Number of engines that the pool should have: by its baseline or by its recent peak load,
    /// whichever is larger. After `PEAK_RETENTION` it may fall below the baseline.
    fn total(&self, spec: &ScalingSpec, now: Duration) -> u32 {
        let first = f64::from(self.needed(now)) * headroom(spec);
        let peak = self.peaks.front().map_or(0, |(_, peak)| *peak);
        peak.max(first.ceil() as u32)
    }

    /// Updates the baseline before any engines are replaced, unless the previous holder decided on
    /// it. Existing spot engines count as fewer firm ones.
    fn update_baseline(
        &mut self,
        spec: &ScalingSpec,
        zones: &BTreeMap<Box<str>, ZoneEngines>,
        now: Duration,
    ) {
        if self.is_resumed || self.has_replaced_firm() {
            return;
        }
        let firm: u32 = zones.values().map(|engines| engines.firm).sum();
        let spot: u32 = zones.values().map(|engines| engines.spot).sum();
        let spot = if self.orders.is_empty() {
            f64::from(spot) / headroom(spec)
        } else {
            0.0
        };
        let present = firm + spot.ceil() as u32;
        if present > self.baseline {
            self.baseline = present;
            self.grown_at = Some(now);
        }
    }

    /// Number of engines that a next holder has to know: the forecast's, or that by which the pool
    /// is sized.
    pub fn decided(&self, spec: &ScalingSpec, now: Duration) -> u32 {
        let forecast = self.forecast(spec);
        forecast.map_or_else(
            || self.needed(now),
            |forecast| self.needed_ahead(forecast, spec, now),
        )
    }

    /// Number of firm engines by which the pool is sized: its baseline, or less once the load has
    /// been known for `PEAK_RETENTION` and its peak, with a margin, required less.
    pub fn needed(&self, now: Duration) -> u32 {
        let peak = self.peaks.front().map_or(0, |(_, peak)| *peak);
        let is_known = self.first_at.is_some_and(|at| now >= at + PEAK_RETENTION);
        if !is_known {
            return self.baseline;
        }
        let least = (f64::from(peak) * SHRINK_MARGIN).ceil() as u32;
        self.baseline.min(least)
    }

    /// Number of engines that the load of the last seconds required.
    fn needed_now(&self, now: Duration) -> u32 {
        let fresh = self.peaks.iter().filter(|(at, _)| *at + RECENT > now);
        fresh.map(|(_, needed)| *needed).max().unwrap_or(0)
    }

    /// Whether firm engines were given up, so that the present engines no longer show the baseline.
    fn has_replaced_firm(&self) -> bool {
        let mut kinds = self.orders.keys().map(|(_, kind)| *kind);
        self.first_at.is_some() && kinds.any(|kind| kind == EngineKind::Firm)
    }

    /// Number of spot engines that each zone has to add for zones where none are available.
    fn spot_shortage(
        &self,
        zones: &BTreeMap<Box<str>, ZoneEngines>,
        share: u32,
        now: Duration,
    ) -> u32 {
        let (unavailable, others): (Vec<_>, Vec<_>) = zones
            .iter()
            .partition(|(zone, _)| self.is_spot_unavailable(zone.as_ref(), now));
        let wanted = share.saturating_sub(FIRM_BASE);
        let short: u32 = unavailable
            .iter()
            .map(|(_, engines)| wanted.saturating_sub(engines.spot))
            .sum();
        short.div_ceil(u32::try_from(others.len()).unwrap_or(1).max(1))
    }

    /// Whether spot engines were recently unavailable in a zone.
    fn is_spot_unavailable(&self, zone: &str, now: Duration) -> bool {
        let last = self.orders.get(&(zone.into(), EngineKind::Spot));
        last.is_some_and(|last| {
            last.outcome == OrderOutcome::Unavailable && now < last.at + REFUSED_DELAY * 2
        })
    }

    fn is_due(&self, order: &EngineOrder, present: u32, spec: &ScalingSpec, now: Duration) -> bool {
        let last = self.orders.get(&(order.zone.clone(), order.kind));
        let Some(last) = last else {
            return order.desired != present;
        };
        let delay = match last.outcome {
            OrderOutcome::Accepted if last.desired != order.desired => Duration::ZERO,
            OrderOutcome::Accepted => spec.startup + LATE_START,
            OrderOutcome::Unavailable => REFUSED_DELAY,
            OrderOutcome::Unanswered => UNANSWERED_DELAY,
        };
        if now < last.at + delay {
            return false;
        }
        let known = if last.outcome == OrderOutcome::Accepted {
            last.desired
        } else {
            present
        };
        if order.desired > known {
            return true;
        }
        if order.desired < known {
            let replaced = order.kind == EngineKind::Firm;
            // A forecast paces what it gives back.
            let is_paced = self.forecast(spec).is_some();
            let may_shrink =
                is_paced || self.shrunk_at.is_none_or(|at| now >= at + SHRINK_INTERVAL);
            return replaced || may_shrink;
        }
        present < order.desired
    }

    /// Records an order and its result.
    pub fn record_order(&mut self, order: EngineOrder, outcome: OrderOutcome, now: Duration) {
        let key = (order.zone, order.kind);
        let before = self.orders.get(&key).map(|last| last.desired);
        // The first order of a new holder may be for fewer as well.
        let is_less = before.map_or(self.forecast.is_some(), |before| order.desired < before);
        if is_less && key.1 == EngineKind::Spot {
            self.shrunk_at = Some(now);
        }
        let last = LastOrder {
            desired: order.desired,
            at: now,
            outcome,
        };
        self.orders.insert(key, last);
    }
}
