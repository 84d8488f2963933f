//! Measures the time per token of an engine's streams.
//!
//! Prompts that are prefilled beside a stream stretch some of its gaps several times over, so the
//! lasting speed is a low quantile of the gaps, which the load hardly moves.

use std::time::Duration;

use crate::gateway::speed::SpeedReport;

/// Share of gaps that are shorter than the lasting speed.
const QUANTILE: f64 = 0.3;
/// Relative step of the quantile with each gap: some tens of gaps count.
const QUANTILE_STEP: f64 = 0.06;
/// Number of first gaps of which the shortest is the initial speed.
const FIRST_GAPS: u32 = 4;
/// Shortest gap that is measured: events that arrive together were delayed on the way.
const MIN_GAP: Duration = Duration::from_millis(2);
/// Factor by which each gap exceeds the lasting speed while an engine is slowed.
const SLOWED_FACTOR: f64 = 3.0;
/// Time after such a gap for which all others are as long before it counts: longer than the prefill
/// of some prompts.
const SLOWED_AFTER: Duration = Duration::from_millis(250);
/// Time after which the speed of a slowed engine becomes the lasting one.
const LASTING_AFTER: Duration = Duration::from_secs(2);
/// Time since the newest measurement after which an engine no longer counts as slowed.
const RECENT_TTL: Duration = Duration::from_millis(500);
/// Time since the newest measurement after which all of it is forgotten.
const MEASURE_TTL: Duration = Duration::from_secs(30);
/// Weight of the newest prefill, or report, in the running means.
const NEWEST_WEIGHT: f64 = 0.25;

/// Speed of an engine from one source: the node's own streams, or other nodes' reports.
#[derive(Clone, Copy, Debug)]
pub struct SpeedMeasure {
    lasting_us: f64,
    gaps: u32,
    /// End of the first of consecutive long gaps, and the shortest of them in us for a token.
    slowed: Option<(Duration, f64)>,
    prefill_us: Option<f64>,
    at: Duration,
}

impl SpeedMeasure {
    /// Records a gap with this number of tokens, unless events arrived together.
    pub fn record_gap(measure: &mut Option<Self>, gap: Duration, tokens: u32, now: Duration) {
        if gap < MIN_GAP {
            return;
        }
        let token_us = gap.as_secs_f64() * 1e6 / f64::from(tokens.max(1));
        let measure = measure.get_or_insert(Self {
            lasting_us: token_us,
            gaps: 0,
            slowed: None,
            prefill_us: None,
            at: now,
        });
        if now >= measure.at + RECENT_TTL {
            measure.slowed = None;
        }
        measure.at = now;
        measure.gaps = measure.gaps.saturating_add(1);
        if measure.gaps <= FIRST_GAPS {
            measure.lasting_us = measure.lasting_us.min(token_us);
            return;
        }
        measure.slowed = (token_us > SLOWED_FACTOR * measure.lasting_us).then(|| {
            let before = measure.slowed;
            let (since, shortest) = before.unwrap_or((now, token_us));
            (since, shortest.min(token_us))
        });
        if let Some((since, shortest)) = measure.slowed {
            if now >= since + LASTING_AFTER {
                measure.lasting_us = shortest;
                measure.slowed = None;
            }
            return;
        }
        measure.lasting_us *= if token_us > measure.lasting_us {
            1.0 + QUANTILE_STEP * QUANTILE
        } else {
            1.0 - QUANTILE_STEP * (1.0 - QUANTILE)
        };
    }

    /// Records another node's report of a measurement at this time.
    pub fn record_report(measure: &mut Option<Self>, report: &SpeedReport, at: Duration) {
        let newest = f64::from(report.token_us);
        let measure = measure.get_or_insert(Self {
            lasting_us: newest,
            gaps: FIRST_GAPS,
            slowed: None,
            prefill_us: None,
            at,
        });
        if measure.at > at {
            return;
        }
        measure.at = at;
        measure.lasting_us += NEWEST_WEIGHT * (newest - measure.lasting_us);
        let slowed = (report.slowed_us > 0).then(|| f64::from(report.slowed_us));
        measure.slowed = slowed.map(|slowed| (at.saturating_sub(SLOWED_AFTER), slowed));
        if report.prefill_us > 0 {
            measure.add_prefill(f64::from(report.prefill_us));
        }
    }

    /// Records the time until the first event of a stream whose prompt was prefilled alone.
    pub fn record_prefill(&mut self, took: Duration, prompt_tokens: u32, event_tokens: u32) {
        let event_us = self.lasting_us * f64::from(event_tokens);
        let newest = (took.as_secs_f64() * 1e6 - event_us) * 1000.0 / f64::from(prompt_tokens);
        if newest > 0.0 {
            self.add_prefill(newest);
        }
    }

    fn add_prefill(&mut self, newest: f64) {
        let before = self.prefill_us.unwrap_or(newest);
        self.prefill_us = Some(before + NEWEST_WEIGHT * (newest - before));
    }

    /// Time of the newest measurement.
    pub fn at(&self) -> Duration {
        self.at
    }

    /// Whether it is so new that being slowed counts.
    pub fn is_recent(&self, now: Duration) -> bool {
        now < self.at + RECENT_TTL
    }

    /// Lasting time per token in us; `None` if it is too old or there were too few gaps.
    pub fn lasting_us(&self, now: Duration) -> Option<f64> {
        let is_known = self.gaps >= FIRST_GAPS && now < self.at + MEASURE_TTL;
        is_known.then_some(self.lasting_us)
    }

    /// Time per token in us while the engine is slowed; `None` if it is not.
    pub fn slowed_us(&self, now: Duration) -> Option<f64> {
        let (since, slowed_us) = self.slowed?;
        let is_slowed = self.is_recent(now) && self.at >= since + SLOWED_AFTER;
        is_slowed.then_some(slowed_us)
    }

    /// Time for a thousand prompt tokens in us; `None` if it is too old or was not measured.
    pub fn prefill_us(&self, now: Duration) -> Option<f64> {
        self.prefill_us.filter(|_| now < self.at + MEASURE_TTL)
    }
}
