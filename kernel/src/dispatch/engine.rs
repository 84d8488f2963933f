//! One upstream from its owner's point of view: exact counts of the owner's own runs, corrected by
//! the upstream's delayed load reports.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::call::LoadReport;
use crate::dispatch::estimate::MovingMean;
use crate::dispatch::health::{EngineHealth, HealthState};

/// Entries of in-flight history kept for comparison with a delayed report.
const MAX_HISTORY: usize = 128;

/// Shortest time between two history entries.
const HISTORY_STEP: Duration = Duration::from_millis(100);

/// Age at which a load report expires.
const REPORT_LIFE: Duration = Duration::from_secs(30);

/// Most cached prefixes tracked per upstream.
const MAX_PREFIXES: usize = 1_024;

/// The owner's state for one upstream.
#[derive(Debug, Default)]
pub struct EngineState {
    /// Concurrent requests that the upstream serves, from the configuration.
    pub slots: u32,
    /// Whether this node owns it.
    pub owned: bool,
    /// Whether it is leaving and is assigned no new work.
    pub leaving: bool,
    /// This node's runs in flight on it.
    pub in_flight: u32,
    /// Health, which decides whether it is assigned work.
    pub health: EngineHealth,
    /// Mean seconds per token, or per whole response for a plain service.
    pub speed: MovingMean,
    /// Prefixes that its cache probably contains.
    pub prefixes: PrefixHints,
    /// Estimated number of slots used by other nodes.
    pub foreign: u32,
    history: VecDeque<(Duration, u32)>,
    reports: [Option<(Duration, u32)>; 2],
}

impl EngineState {
    /// Sets the number of runs in flight and records it in the history.
    pub fn set_in_flight(&mut self, now: Duration, in_flight: u32) {
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

    /// Applies a load report. Load beyond this node's own runs at the time of the report is
    /// attributed to other nodes, such as a former owner.
    pub fn apply_report(&mut self, now: Duration, report: &LoadReport) {
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
        self.update_foreign(now);
    }

    /// Updates the slots used by other nodes: the smaller value of the last two reports, since runs
    /// that started or ended while a report was in transit can distort a single one.
    pub fn update_foreign(&mut self, now: Duration) {
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

    /// Whether it is due for a probe: a single run that shows whether it has recovered.
    pub fn needs_probe(&self) -> bool {
        self.owned
            && !self.leaving
            && self.in_flight + self.foreign < self.slots
            && self.health.state == HealthState::Probing { running: false }
    }
}

/// Prefixes that an upstream's cache probably contains. This is only a hint, since cache events
/// arrive late and with gaps.
#[derive(Debug, Default)]
pub struct PrefixHints {
    seen: BTreeMap<u64, u64>,
    order: BTreeSet<(u64, u64)>,
    clock: u64,
}

impl PrefixHints {
    /// Records that the prefix is cached or was just used; evicts the least recently used if full.
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

    /// Records that the prefix is no longer cached.
    pub fn remove(&mut self, prefix: u64) {
        if let Some(clock) = self.seen.remove(&prefix) {
            self.order.remove(&(clock, prefix));
        }
    }

    /// Whether the prefix is probably cached.
    pub fn contains(&self, prefix: u64) -> bool {
        self.seen.contains_key(&prefix)
    }
}
