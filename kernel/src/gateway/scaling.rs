//! How many engines of a pool each availability zone shall have, and of which kind.
//!
//! *Spot* engines cost a part of the price, but all of a zone's may be reclaimed at once, with some
//! seconds' notice. *Firm* ones stay. Most engines are spot, spread evenly, so that a zone's loss is borne
//! by the others.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derive_more::Display;

use crate::gateway::load::TOKENS_PER_MS;

/// Engines of a pool above which none are ordered: each that comes or goes has all nodes fetch the whole
/// registry, which departures have to get past.
const LARGEST_POOL: u32 = 1000;
/// Firm engines of each availability zone that stay when spot engines have taken their place.
const FIRM_BASE: u32 = 1;
/// Part of an engine's time in which it reads prompts at the load that the pool is sized for: beside more,
/// pauses between events come near their bounds.
const READING_FILL: f64 = 0.45;
/// Part of an engine's slots that are taken at that load.
const SLOT_FILL: f64 = 0.5;
/// Time without new engines after which those that are there are taken to be all.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
/// Engines, against those that were there at first, when most are spot: the loss of a zone of three in a
/// surge still leaves more than there were. Never so many that they cost more than firm ones would.
const SPOT_HEADROOM: f64 = 2.0;
/// Time for which the pool stays as large as its load needed: surges come in series, and a new engine
/// takes seconds to start and has nothing cached.
const PEAK_KEPT: Duration = Duration::from_mins(1);
/// Time for which a load counts as that of now.
const RECENT: Duration = Duration::from_secs(3);
/// Engines, against what the load of `PEAK_KEPT` needed, below which a pool that was larger at first
/// does not fall.
const SHRINK_MARGIN: f64 = 1.5;
/// Time after which an order that was refused is given again.
const REFUSED_PAUSE: Duration = Duration::from_millis(2500);
/// Time after which an order without an answer is given again.
const UNANSWERED_PAUSE: Duration = Duration::from_secs(1);
/// Time beyond their start in which ordered engines show in the registry.
const LATE_START: Duration = Duration::from_secs(3);
/// Time between two orders for fewer engines, each of which drains and takes its cache along.
const LOWER_PAUSE: Duration = Duration::from_secs(20);

/// What the platform says of ordering a pool's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingSpec {
    /// Fewest engines in an availability zone, of both kinds together.
    pub least: u32,
    /// Most.
    pub most: u32,
    /// Time that a new engine takes to start.
    pub startup: Duration,
    /// Price of a spot engine, as a part of a firm one's; none if there are none to be had.
    pub spot_price: Option<f64>,
    /// Price of an engine in each availability zone.
    pub zone_prices: BTreeMap<Box<str>, f64>,
}

/// A kind of engine.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineKind {
    /// At full price; stays.
    #[display("firm")]
    Firm,
    /// May be reclaimed.
    #[display("spot")]
    Spot,
}

/// Engines of an availability zone that take calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneEngines {
    /// At full price.
    pub firm: u32,
    /// Those that may be reclaimed.
    pub spot: u32,
}

impl PoolLoad {
    /// Engines that carry it well.
    fn needed(&self) -> u32 {
        let reading = self.tokens_per_s / (TOKENS_PER_MS * 1000.0 * READING_FILL);
        let calls = f64::from(self.calls) / (f64::from(self.slots.max(1)) * SLOT_FILL);
        reading.max(calls).ceil() as u32
    }
}

impl ZoneEngines {
    /// Engines of both kinds.
    pub fn total(self) -> u32 {
        self.firm + self.spot
    }
}

/// An order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The availability zone.
    pub zone: Box<str>,
    /// Which engines.
    pub kind: EngineKind,
    /// How many of them it shall have.
    pub desired: u32,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The platform took it.
    #[display("accepted")]
    Accepted,
    /// There are no such engines now.
    #[display("unavailable")]
    Unavailable,
    /// Nothing is known.
    #[display("unanswered")]
    Unanswered,
}

/// How large a pool is and shall be.
#[derive(Clone, Copy, Debug)]
struct PoolSize {
    /// Engines that each zone shall have.
    share: u32,
    /// Engines that each zone had at first.
    first_share: u32,
    /// Engines that take calls.
    present: u32,
    /// Engines below which the pool may not fall: those of the start, or what the load needs now.
    needed: u32,
}

/// The last order of a kind of engine in a zone.
#[derive(Clone, Copy, Debug)]
struct LastOrder {
    desired: u32,
    at: Duration,
    outcome: OrderOutcome,
}

/// Work of a pool, as the node that orders its engines knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Calls that are at its engines.
    pub calls: u32,
    /// Slots of an engine.
    pub slots: u32,
    /// Prompt tokens that they take in each second.
    pub tokens_per_s: f64,
}

/// What was ordered for a pool.
#[derive(Clone, Debug, Default)]
pub struct PoolScaling {
    /// Engines that the pool had when it was first looked at.
    first_total: u32,
    is_resumed: bool,
    first_at: Option<Duration>,
    grown_at: Option<Duration>,
    peaks: VecDeque<(Duration, u32)>,
    orders: BTreeMap<(Box<str>, EngineKind), LastOrder>,
    lowered_at: Option<Duration>,
}

/// Spot engines for each firm one that they take the place of.
fn headroom(spec: &ScalingSpec) -> f64 {
    let affordable = |price: f64| SPOT_HEADROOM.min(1.0 / price.max(f64::MIN_POSITIVE));
    spec.spot_price.map_or(1.0, affordable).max(1.0)
}

impl PoolScaling {
    /// What a holder goes on with that follows another: the engines that this one had decided on; 0 if
    /// that is not known.
    pub fn resume(total: u32) -> Self {
        Self {
            first_total: total,
            is_resumed: total > 0,
            ..Self::default()
        }
    }

    /// Takes in how busy the pool is.
    pub fn record_load(&mut self, load: PoolLoad, now: Duration) {
        let needed = load.needed();
        while self.peaks.back().is_some_and(|(_, peak)| *peak <= needed) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, needed));
        while self
            .peaks
            .front()
            .is_some_and(|(at, _)| *at + PEAK_KEPT < now)
        {
            self.peaks.pop_front();
        }
    }

    /// The next order that is due, if any. `zones` are those in which the pool runs.
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
        self.note_first(spec, zones, now);
        self.first_at.get_or_insert(now);
        let count = u32::try_from(zones.len()).ok()?.max(1);
        let share = self.total(spec, now).div_ceil(count);
        let size = PoolSize {
            share: share.clamp(spec.least, spec.most),
            first_share: self.first_total / count,
            present,
            needed: self.first_total.max(self.needed_now(now)),
        };
        // Where there are more than may be ordered, an order would end those above the bound.
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

    /// Spot engines of a zone: all but the base, and what other zones cannot have.
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
        let made_up = if self.is_dry(zone, now) {
            0
        } else {
            self.spot_shortage(zones, size.share, now)
        };
        let firm = zones.get(zone).map_or(0, |engines| engines.firm);
        let wanted = size.share.saturating_sub(FIRM_BASE) + made_up;
        wanted.min(spec.most.saturating_sub(firm))
    }

    /// Firm engines of a zone: those that no spot engine has taken the place of yet. More are ordered only
    /// where there are no spot engines, or none to be had while the pool is smaller than it was at first or
    /// than its load needs.
    fn firm_wanted(
        &self,
        spec: &ScalingSpec,
        engines: ZoneEngines,
        size: PoolSize,
        zone: &str,
        now: Duration,
    ) -> u32 {
        // While engines turn up that were there before, none is given up for those ordered.
        if self.grown_at.is_some_and(|at| now < at + SETTLE_TIME) {
            return engines.firm;
        }
        if spec.spot_price.is_none() {
            return size.share;
        }
        let last = self.orders.get(&(zone.into(), EngineKind::Firm));
        let known = last.map_or(engines.firm, |last| last.desired);
        let is_short = self.is_dry(zone, now) && size.present < size.needed;
        let most = if is_short {
            spec.most.saturating_sub(engines.spot)
        } else {
            known
        };
        let replaced = size.share.min(size.first_share);
        let unreplaced = replaced.saturating_sub(engines.spot);
        unreplaced.max(FIRM_BASE).min(most)
    }

    /// Engines that the pool shall have: as many as it had at first, or as its load needed lately. After
    /// `PEAK_KEPT` it may fall below the first.
    fn total(&self, spec: &ScalingSpec, now: Duration) -> u32 {
        let first = f64::from(self.needed(now)) * headroom(spec);
        let peak = self.peaks.front().map_or(0, |(_, peak)| *peak);
        peak.max(first.ceil() as u32)
    }

    /// Takes in how many engines there are before any are given up for others, unless the holder before
    /// this one decided on them. Spot engines that are there already stand for fewer firm ones.
    fn note_first(
        &mut self,
        spec: &ScalingSpec,
        zones: &BTreeMap<Box<str>, ZoneEngines>,
        now: Duration,
    ) {
        if self.is_resumed || self.has_lowered() {
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
        if present > self.first_total {
            self.first_total = present;
            self.grown_at = Some(now);
        }
    }

    /// Engines at full price that would carry the load.
    pub fn needed(&self, now: Duration) -> u32 {
        let peak = self.peaks.front().map_or(0, |(_, peak)| *peak);
        let is_known = self.first_at.is_some_and(|at| now >= at + PEAK_KEPT);
        if !is_known {
            return self.first_total;
        }
        let least = (f64::from(peak) * SHRINK_MARGIN).ceil() as u32;
        self.first_total.min(least)
    }

    /// Engines that the load of the last moments needs.
    fn needed_now(&self, now: Duration) -> u32 {
        let fresh = self.peaks.iter().filter(|(at, _)| *at + RECENT > now);
        fresh.map(|(_, needed)| *needed).max().unwrap_or(0)
    }

    /// Whether firm engines were given up, so that those present are no longer all that there were.
    fn has_lowered(&self) -> bool {
        let mut kinds = self.orders.keys().map(|(_, kind)| *kind);
        self.first_at.is_some() && kinds.any(|kind| kind == EngineKind::Firm)
    }

    /// Spot engines that each zone has to make up for zones where none are to be had.
    fn spot_shortage(
        &self,
        zones: &BTreeMap<Box<str>, ZoneEngines>,
        share: u32,
        now: Duration,
    ) -> u32 {
        let (dry, others): (Vec<_>, Vec<_>) = zones
            .iter()
            .partition(|(zone, _)| self.is_dry(zone.as_ref(), now));
        let wanted = share.saturating_sub(FIRM_BASE);
        let short: u32 = dry
            .iter()
            .map(|(_, engines)| wanted.saturating_sub(engines.spot))
            .sum();
        short.div_ceil(u32::try_from(others.len()).unwrap_or(1).max(1))
    }

    /// Whether spot engines were not to be had in a zone a moment ago.
    fn is_dry(&self, zone: &str, now: Duration) -> bool {
        let last = self.orders.get(&(zone.into(), EngineKind::Spot));
        last.is_some_and(|last| {
            last.outcome == OrderOutcome::Unavailable && now < last.at + REFUSED_PAUSE * 2
        })
    }

    fn is_due(&self, order: &EngineOrder, present: u32, spec: &ScalingSpec, now: Duration) -> bool {
        let last = self.orders.get(&(order.zone.clone(), order.kind));
        let Some(last) = last else {
            return order.desired != present;
        };
        let pause = match last.outcome {
            OrderOutcome::Accepted if last.desired != order.desired => Duration::ZERO,
            OrderOutcome::Accepted => spec.startup + LATE_START,
            OrderOutcome::Unavailable => REFUSED_PAUSE,
            OrderOutcome::Unanswered => UNANSWERED_PAUSE,
        };
        if now < last.at + pause {
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
            let rested = self.lowered_at.is_none_or(|at| now >= at + LOWER_PAUSE);
            return replaced || rested;
        }
        present < order.desired
    }

    /// An order was given.
    pub fn record_order(&mut self, order: EngineOrder, outcome: OrderOutcome, now: Duration) {
        let subject = (order.zone, order.kind);
        let before = self.orders.get(&subject).map(|last| last.desired);
        if before.is_some_and(|before| order.desired < before) && subject.1 == EngineKind::Spot {
            self.lowered_at = Some(now);
        }
        let last = LastOrder {
            desired: order.desired,
            at: now,
            outcome,
        };
        self.orders.insert(subject, last);
    }
}
