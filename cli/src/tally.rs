//! Counters and latency histograms over the calls of a class.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::time::Instant;

use crate::caller::{CallOutcome, CallResult};

/// Longest time that a histogram records, in microseconds; longer times are clamped.
const MAX_MICROSECONDS: u64 = 3_600_000_000;

/// Significant decimal digits of a histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latency targets of a class.
#[derive(Clone, Copy, Debug)]
pub struct ClassTarget {
    /// Time to the first token, or to the whole answer of a plain service.
    pub first: Duration,
    /// Mean time between two successive tokens of a stream; `None` means no such target.
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

/// Counters and latency histograms of a class.
#[derive(Clone, Debug)]
pub struct ClassTally {
    target: Option<ClassTarget>,
    /// Calls by outcome.
    pub counts: CallCounts,
    on_target: u64,
    on_target_units: u64,
    delivered: u64,
    /// Tokens or runs that upstreams produced for the class, by their own counters; 0 if these were
    /// not read.
    pub produced: u64,
    refusals: BTreeMap<Box<str>, u64>,
    first: Histogram<u64>,
    gap: Histogram<u64>,
}

/// Number of calls by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Calls made.
    pub sent: u64,
    /// Complete, expected answers.
    pub whole: u64,
    /// Calls refused without being run, by the answer that their callers received.
    pub refused: u64,
    /// Calls that may have run.
    pub unknown: u64,
    /// Calls in flight at a killed node, whose outcome is unknown to their callers.
    pub cut: u64,
    /// Calls without a final answer, or with tokens missing from it.
    pub lost: u64,
    /// Answers with content of another call.
    pub crossed: u64,
    /// Answers that contain a token twice.
    pub doubled: u64,
    /// Calls that are not repeatable and ran more than once.
    pub ran_twice: u64,
    /// Calls that were refused but ran.
    pub refused_but_ran: u64,
}

impl CallCounts {
    /// Whether any call violated a guarantee: lost, crossed, doubled, run twice or refused
    /// but run.
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

/// Report row of a class or of a way that requests take.
#[derive(Clone, Debug, Serialize)]
pub struct ClassRow {
    /// Name of the class, or of the way.
    pub name: Box<str>,
    /// Calls by outcome.
    #[serde(flatten)]
    pub counts: CallCounts,
    /// Number of refused calls by error code.
    pub refusals: BTreeMap<Box<str>, u64>,
    /// Share of all calls that met the class's target; `None` without a target.
    pub attainment: Option<f64>,
    /// Tokens (or runs of a plain service) per second of calls that met the target; without a
    /// target, of all complete answers.
    pub goodput: f64,
    /// Share of the upstreams' tokens (or runs) that were not delivered in a complete answer;
    /// `None` if the upstreams' counters were not read or are all zero.
    pub wasted: Option<f64>,
    /// Time to the first token or the whole answer, in milliseconds.
    pub first_token_ms: LatencyRow,
    /// Longest time between two tokens of a stream, in milliseconds; `None` without streams.
    pub longest_gap_ms: Option<LatencyRow>,
}

/// Quantiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LatencyRow {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl ClassTally {
    /// Empty counters; without a target the report has no attainment.
    pub fn new(target: Option<ClassTarget>) -> Self {
        let times = Histogram::new_with_bounds(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS);
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

    /// Records a call that was due at `since` and requested `units` tokens or runs.
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

    /// The report row for a run of this length.
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
    times.saturating_record(u64::try_from(time.as_micros()).unwrap_or(MAX_MICROSECONDS));
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
