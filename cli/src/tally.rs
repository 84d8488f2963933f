//! Sums over the calls of a class.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::time::Instant;

use crate::caller::{CallOutcome, CallResult};

/// Longest time that a histogram holds, in microseconds.
const LONGEST: u64 = 3_600_000_000;

/// Significant digits of a histogram.
const DIGITS: u8 = 3;

/// What a class aims at.
#[derive(Clone, Copy, Debug)]
pub struct ClassTarget {
    /// First token, or whole answer of a plain service.
    pub first: Duration,
    /// Mean time between two tokens of a stream.
    pub token_gap: Option<Duration>,
}

impl ClassTarget {
    fn is_met(&self, since: Instant, result: &CallResult) -> bool {
        result.times.is_some_and(|times| {
            times.first.saturating_duration_since(since) <= self.first
                && self.token_gap.is_none_or(|gap| times.token_gap() <= gap)
        })
    }
}

/// Sums over the calls of a class.
#[derive(Clone, Debug)]
pub struct ClassTally {
    target: Option<ClassTarget>,
    /// The sums.
    pub counts: CallCounts,
    on_target: u64,
    on_target_units: u64,
    delivered: u64,
    /// Tokens or runs that upstreams did for the class, by their own counters.
    pub produced: u64,
    refusals: BTreeMap<Box<str>, u64>,
    first: Histogram<u64>,
    gap: Histogram<u64>,
}

/// How many calls ended in which way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Calls made.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refused: did not run.
    pub refused: u64,
    /// May have run.
    pub unknown: u64,
    /// In flight at a killed node; `unknown` to their callers.
    pub cut: u64,
    /// No final answer, or tokens missing.
    pub lost: u64,
    /// Somebody else's answer.
    pub crossed: u64,
    /// A token twice.
    pub doubled: u64,
    /// May not be repeated, and ran twice.
    pub ran_twice: u64,
    /// Refused, and ran after all.
    pub refused_but_ran: u64,
}

impl CallCounts {
    /// Whether a promise was broken.
    pub fn has_violations(&self) -> bool {
        self.lost + self.crossed + self.doubled + self.ran_twice + self.refused_but_ran > 0
    }

    fn record(&mut self, outcome: CallOutcome) {
        let count = match outcome {
            CallOutcome::Whole => &mut self.whole,
            CallOutcome::Refused => &mut self.refused,
            CallOutcome::Unknown => &mut self.unknown,
            CallOutcome::Cut => &mut self.cut,
            CallOutcome::Lost => &mut self.lost,
            CallOutcome::Crossed => &mut self.crossed,
            CallOutcome::Doubled => &mut self.doubled,
        };
        *count += 1;
    }
}

/// A row of the report.
#[derive(Clone, Debug, Serialize)]
pub struct ClassRow {
    /// The class, or the way that the calls went.
    pub name: Box<str>,
    /// How the calls ended.
    #[serde(flatten)]
    pub counts: CallCounts,
    /// Refused calls by reason.
    pub refusals: BTreeMap<Box<str>, u64>,
    /// Share of calls that met the class's target.
    pub attainment: Option<f64>,
    /// Tokens (or runs of a plain service) a second, of calls that met the target.
    pub goodput: f64,
    /// Share of the upstreams' tokens (or runs) that reached no caller in a whole answer.
    pub wasted: Option<f64>,
    /// Time to the first token or the whole answer, in milliseconds.
    pub first_token_ms: LatencyRow,
    /// Longest time between two tokens of a stream, in milliseconds; none without streams.
    pub longest_gap_ms: Option<LatencyRow>,
}

/// Quantiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LatencyRow {
    /// Half are below.
    pub p50: f64,
    /// 95 in 100 are below.
    pub p95: f64,
    /// 99 in 100 are below.
    pub p99: f64,
}

impl ClassTally {
    /// Empty sums; without a target there is no attainment.
    pub fn new(target: Option<ClassTarget>) -> Self {
        let times = Histogram::new_with_bounds(1, LONGEST, DIGITS);
        let times = times.expect("the bounds are constants");
        Self {
            target,
            counts: CallCounts::default(),
            on_target: 0,
            on_target_units: 0,
            delivered: 0,
            produced: 0,
            refusals: BTreeMap::new(),
            first: times.clone(),
            gap: times,
        }
    }

    /// Takes a call in that was due at `since` and wanted so many units.
    pub fn record(&mut self, since: Instant, units: u64, result: &CallResult) {
        self.counts.sent += 1;
        self.counts.record(result.outcome);
        if let Some(reason) = &result.reason {
            *self.refusals.entry(reason.clone()).or_default() += 1;
        }
        if result.outcome != CallOutcome::Whole {
            return;
        }
        self.delivered += units;
        if self
            .target
            .is_none_or(|target| target.is_met(since, result))
        {
            self.on_target += 1;
            self.on_target_units += units;
        }
        let Some(times) = result.times else {
            return;
        };
        record_latency(
            &mut self.first,
            times.first.saturating_duration_since(since),
        );
        if times.tokens > 1 {
            record_latency(&mut self.gap, times.longest_gap);
        }
    }

    /// The row of the report, for a run of this length.
    pub fn row(&self, name: &str, length: Duration) -> ClassRow {
        let sent = self.counts.sent.max(1) as f64;
        let wasted = self.produced.saturating_sub(self.delivered);
        ClassRow {
            name: name.into(),
            counts: self.counts,
            refusals: self.refusals.clone(),
            attainment: self.target.map(|_| self.on_target as f64 / sent),
            goodput: self.on_target_units as f64 / length.as_secs_f64(),
            wasted: (self.produced > 0).then(|| wasted as f64 / self.produced as f64),
            first_token_ms: LatencyRow::of(&self.first),
            longest_gap_ms: (!self.gap.is_empty()).then(|| LatencyRow::of(&self.gap)),
        }
    }
}

fn record_latency(times: &mut Histogram<u64>, time: Duration) {
    times.saturating_record(u64::try_from(time.as_micros()).unwrap_or(LONGEST));
}

impl LatencyRow {
    fn of(times: &Histogram<u64>) -> Self {
        let quantile = |share| times.value_at_quantile(share) as f64 / 1000.0;
        Self {
            p50: quantile(0.50),
            p95: quantile(0.95),
            p99: quantile(0.99),
        }
    }
}
