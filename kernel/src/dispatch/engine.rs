//! One upstream as its owner sees it: exact work in flight, corrected by its late reports.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::call::LoadReport;
use crate::dispatch::estimate::MovingMean;
use crate::dispatch::health::{EngineHealth, HealthState};

/// Steps of in-flight history that are kept to compare a late report with.
const MAX_HISTORY: usize = 128;

/// Least time between two steps of history.
const HISTORY_STEP: Duration = Duration::from_millis(100);

/// A report that is older than this no longer counts.
const REPORT_LIFE: Duration = Duration::from_secs(30);

/// Prefixes remembered of an upstream's cache.
const MAX_PREFIXES: usize = 1_024;

/// One upstream as its owner sees it.
#[derive(Debug, Default)]
pub struct EngineState {
    /// Requests that it serves at a time, by the configuration.
    pub slots: u32,
    /// Whether this node owns it.
    pub owned: bool,
    /// Whether it gets nothing new because it is leaving.
    pub leaving: bool,
    /// Runs of this node on it.
    pub in_flight: u32,
    /// Whether it is fit for work.
    pub health: EngineHealth,
    /// Seconds for a token, or for a whole answer of a plain service.
    pub speed: MovingMean,
    /// What its cache is thought to hold.
    pub prefixes: PrefixHints,
    /// Slots that others are thought to use.
    pub foreign: u32,
    history: VecDeque<(Duration, u32)>,
    reports: [Option<(Duration, u32)>; 2],
}

impl EngineState {
    /// Counts a run that starts or ends.
    pub fn count(&mut self, now: Duration, in_flight: u32) {
        self.in_flight = in_flight;
        let recent = self
            .history
            .back()
            .is_some_and(|(at, _)| now < *at + HISTORY_STEP);
        if recent {
            if let Some((_, count)) = self.history.back_mut() {
                *count = in_flight;
            }
            return;
        }
        self.history.push_back((now, in_flight));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    /// Takes in a report: what it shows beyond this node's own work at the time it speaks of is the
    /// work of others, such as a former owner.
    pub fn report(&mut self, now: Duration, report: &LoadReport) {
        let at = now.saturating_sub(report.age);
        let own = self
            .history
            .iter()
            .rev()
            .find(|(time, _)| *time <= at)
            .map_or(0, |(_, count)| *count);
        let others = (report.running + report.waiting).saturating_sub(own);
        self.reports = [Some((now, others)), self.reports[0]];
        self.leaving |= report.leaving;
        self.weigh_reports(now);
    }

    /// Others use the least that the last two reports show, since one alone may be off by what
    /// started or ended while it was on its way.
    pub fn weigh_reports(&mut self, now: Duration) {
        self.foreign = self
            .reports
            .iter()
            .flatten()
            .filter(|(at, _)| now < *at + REPORT_LIFE)
            .map(|(_, others)| *others)
            .min()
            .unwrap_or(0);
    }

    /// Slots that this node may use now.
    pub fn capacity(&self) -> u32 {
        if !self.owned || self.leaving {
            return 0;
        }
        let slots = self.slots.saturating_sub(self.foreign);
        match self.health.state {
            HealthState::Unproven { .. } => slots.div_ceil(4),
            HealthState::Healthy => slots,
            HealthState::Ejected { .. } | HealthState::Probing { .. } => 0,
        }
    }

    /// Slots that are free for this node now.
    pub fn free(&self) -> u32 {
        self.capacity().saturating_sub(self.in_flight)
    }

    /// Whether it waits for one run that shows whether it is fit again.
    pub fn wants_probe(&self) -> bool {
        self.owned
            && !self.leaving
            && self.in_flight + self.foreign < self.slots
            && self.health.state == HealthState::Probing { running: false }
    }
}

/// Prefixes that an upstream's cache is thought to hold: a hint, since its events come late and
/// with gaps.
#[derive(Debug, Default)]
pub struct PrefixHints {
    seen: BTreeMap<u64, u64>,
    order: BTreeSet<(u64, u64)>,
    clock: u64,
}

impl PrefixHints {
    /// Notes that the prefix is held, or was just used.
    pub fn add(&mut self, prefix: u64) {
        if prefix == 0 {
            return;
        }
        self.clock += 1;
        if let Some(before) = self.seen.insert(prefix, self.clock) {
            self.order.remove(&(before, prefix));
        }
        self.order.insert((self.clock, prefix));
        if self.seen.len() <= MAX_PREFIXES {
            return;
        }
        if let Some((_, oldest)) = self.order.pop_first() {
            self.seen.remove(&oldest);
        }
    }

    /// Notes that the prefix is held no longer.
    pub fn remove(&mut self, prefix: u64) {
        if let Some(clock) = self.seen.remove(&prefix) {
            self.order.remove(&(clock, prefix));
        }
    }

    /// Whether the prefix is thought to be held.
    pub fn holds(&self, prefix: u64) -> bool {
        self.seen.contains_key(&prefix)
    }
}
