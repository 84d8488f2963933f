//! Measured speed of each engine, for pools whose engines are not equally fast: a long answer on a
//! slow engine holds a slot for longer than several short ones.
//!
//! Each node measures the streams that it forwards and receives other nodes' measurements with
//! their heartbeats. A measurement has two parts: the lasting speed over some seconds, and that of an
//! engine that is slowed at the moment, which counts for half a second. Selection uses neither in absolute
//! terms but relative to the median of the pool, so equally fast engines are selected as if nothing
//! was measured, and a new run starts at the median.

mod measure;
mod ratio;

use std::time::Duration;

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::gateway::registry::{Upstream, UpstreamKey, UpstreamRegistry};
use crate::gateway::speed::measure::SpeedMeasure;
pub use crate::gateway::speed::ratio::{SpeedChange, SpeedRatio, update_ratios};

/// Maximum number of measurements in one heartbeat, at most 22 bytes each: a node that sends calls
/// reports some sixty engines within half a second.
const MAX_REPORTS: usize = 8;
/// Fewest prompt tokens from which on the time to the first event tells the time of their prefill:
/// one prefill step. With fewer, the network takes a large part of it.
const MIN_PREFILL_TOKENS: u32 = 2048;

/// A node's measurement of an engine's speed, for its heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct SpeedReport {
    /// Hash of the engine's run.
    pub run: u64,
    /// Lasting time for one token of an answer, in us.
    pub token_us: u32,
    /// Time for one token while the engine is slowed, in us; 0 if it is not.
    pub slowed_us: u32,
    /// Time for prefilling a thousand prompt tokens, in us; 0 if not measured.
    pub prefill_us: u32,
    /// Time since the newest measurement, in ms.
    pub age_ms: u32,
}

/// What is known of the speed of one run of an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineSpeed {
    own: Option<SpeedMeasure>,
    heard: Option<SpeedMeasure>,
    ratio: SpeedRatio,
}

impl EngineSpeed {
    /// Records that an event with this number of tokens arrived `gap` after the event before it.
    pub fn record_event(&mut self, gap: Duration, tokens: u32, now: Duration) {
        SpeedMeasure::record_gap(&mut self.own, gap, tokens, now);
    }

    /// Records that the first event arrived `took` after its call was sent to the engine, which had
    /// no other prompt to prefill. The event holds `event_tokens` tokens. Without a measurement of
    /// their pace, or with a short prompt, the time of the prefill cannot be separated.
    pub fn record_first_event(&mut self, took: Duration, prompt_tokens: u32, event_tokens: u32) {
        let Some(own) = &mut self.own else {
            return;
        };
        if prompt_tokens >= MIN_PREFILL_TOKENS {
            own.record_prefill(took, prompt_tokens, event_tokens);
        }
    }

    /// Records another node's report.
    pub fn receive_report(&mut self, report: &SpeedReport, now: Duration) {
        let at = now.saturating_sub(Duration::from_millis(report.age_ms.into()));
        if report.token_us > 0 {
            SpeedMeasure::record_report(&mut self.heard, report, at);
        }
    }

    /// Time for one token of an answer, in us; `None` if it was not measured recently.
    pub fn token_us(&self, now: Duration) -> Option<f64> {
        let newest = self.measures().max_by_key(SpeedMeasure::at);
        let slowed = newest.and_then(|newest| newest.slowed_us(now));
        slowed.or_else(|| mean(self.measures().filter_map(|own| own.lasting_us(now))))
    }

    /// Time for prefilling a thousand prompt tokens, in us; `None` if it was not measured recently.
    pub fn prefill_us(&self, now: Duration) -> Option<f64> {
        mean(self.measures().filter_map(|own| own.prefill_us(now)))
    }

    /// What this node measured, and what others did.
    fn measures(&self) -> impl Iterator<Item = SpeedMeasure> {
        self.own.into_iter().chain(self.heard)
    }

    /// Its speed relative to its pool's median.
    pub fn ratio(&self) -> SpeedRatio {
        self.ratio
    }

    /// This node's measurement; `None` if there is none of the last half second.
    fn report(&self, run: u64, now: Duration) -> Option<SpeedReport> {
        let own = self.own.filter(|own| own.is_recent(now))?;
        Some(SpeedReport {
            run,
            token_us: own.lasting_us(now)? as u32,
            slowed_us: own.slowed_us(now).unwrap_or_default() as u32,
            prefill_us: own.prefill_us(now).unwrap_or_default() as u32,
            age_ms: now.saturating_sub(own.at()).as_millis() as u32,
        })
    }
}

fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    (count > 0.0).then(|| sum / count)
}

/// Selects the measurements that a node's next heartbeats contain.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedReporter {
    last: Option<UpstreamKey>,
}

impl SpeedReporter {
    /// This node's recent measurements of engines of its zone, a few at a time and each in its
    /// turn.
    pub fn next(
        &mut self,
        registry: &UpstreamRegistry,
        zone: &str,
        now: Duration,
    ) -> Vec<SpeedReport> {
        let report = |(key, upstream): (UpstreamKey, &Upstream)| {
            let report = upstream.load.speed.report(upstream.entry.run_hash(), now)?;
            (&*upstream.entry.zone == zone).then_some((key, report))
        };
        let mut reports: Vec<_> = registry.active().filter_map(report).collect();
        let turn = reports.partition_point(|(key, _)| Some(*key) <= self.last);
        reports.rotate_left(turn);
        reports.truncate(MAX_REPORTS);
        self.last = reports.last().map(|(key, _)| *key).or(self.last);
        reports.into_iter().map(|(_, report)| report).collect()
    }
}
