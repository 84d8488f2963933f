//! Speed of an engine relative to the median of its pool.

use std::time::Duration;

use crate::gateway::choice;
use crate::gateway::registry::{UpstreamKey, UpstreamRegistry};

/// Fewest measured engines of which a median is taken.
const MIN_MEASURED: usize = 2;
/// Factor from the median from which on an engine counts as slower or faster. Unequal load alone
/// makes equal engines differ by less.
const ENTRY_FACTOR: f64 = 1.5;
/// Factor from the median down to which it keeps counting as such.
const EXIT_FACTOR: f64 = 1.3;
/// Largest factor in either direction.
const MAX_FACTOR: f64 = 8.0;
/// Steps of a factor between two whole numbers, so that noise rarely changes it.
const FACTOR_STEPS: f64 = 8.0;

/// Times of an engine as multiples of the median of its pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedRatio {
    /// Multiple of the time for a token of an answer; exactly 1 unless it clearly differs.
    pub token: f64,
    /// Multiple of the time for prefilling a prompt token; exactly 1 unless it clearly differs.
    pub prefill: f64,
}

impl Default for SpeedRatio {
    fn default() -> Self {
        Self {
            token: 1.0,
            prefill: 1.0,
        }
    }
}

impl SpeedRatio {
    /// Whether an answer takes clearly longer than at the pool's median.
    pub fn is_slow(self) -> bool {
        self.token > 1.0
    }
}

/// An engine that became slow, or is no longer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedChange {
    /// Key of the engine.
    pub key: UpstreamKey,
    /// Its ratio from now on.
    pub ratio: SpeedRatio,
    /// Its time for a token, in us; `None` if its measurement expired.
    pub token_us: Option<f64>,
    /// Median of the pool, in us; `None` if too few engines are measured.
    pub median_us: Option<f64>,
}

/// Computes the ratios of the engines of a pool that calls of a zone's nodes may go to. Returns
/// those that became slow or are no longer.
pub fn update_ratios(
    registry: &mut UpstreamRegistry,
    pool: &str,
    zone: &str,
    now: Duration,
) -> Vec<SpeedChange> {
    let window = choice::first_window(registry.zone_count(pool));
    let candidates = registry.candidates(pool, zone, window);
    let speeds = candidates.iter().map(|(key, upstream)| {
        let speed = &upstream.load.speed;
        let times = (speed.token_us(now), speed.prefill_us(now));
        (*key, speed.ratio(), times)
    });
    let speeds: Vec<_> = speeds.collect();
    let token_median = median(speeds.iter().filter_map(|(_, _, times)| times.0));
    let prefill_median = median(speeds.iter().filter_map(|(_, _, times)| times.1));
    let mut changes = Vec::new();
    for (key, before, (token_us, prefill_us)) in speeds {
        let token = factor(token_us, token_median, before.token).unwrap_or(1.0);
        let prefill = factor(prefill_us, prefill_median, before.prefill).unwrap_or(token);
        let ratio = SpeedRatio { token, prefill };
        if ratio == before {
            continue;
        }
        if let Some(upstream) = registry.get_mut(key) {
            upstream.load.speed.ratio = ratio;
        }
        if ratio.is_slow() != before.is_slow() {
            changes.push(SpeedChange {
                key,
                ratio,
                token_us,
                median_us: token_median,
            });
        }
    }
    changes
}

/// Lower median, so that of two engines the faster one is the reference.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    if values.len() < MIN_MEASURED {
        return None;
    }
    values.sort_by(f64::total_cmp);
    Some(values[(values.len() - 1) / 2])
}

fn factor(value: Option<f64>, median: Option<f64>, before: f64) -> Option<f64> {
    let factor = (value? / median?).clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
    let differed = (before - 1.0).abs() > f64::EPSILON;
    let band = if differed { EXIT_FACTOR } else { ENTRY_FACTOR };
    if factor < band && factor * band > 1.0 {
        return Some(1.0);
    }
    Some((factor * FACTOR_STEPS).round() / FACTOR_STEPS)
}
