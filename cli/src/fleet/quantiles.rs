//! Quantiles of measured times.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Quantiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TimeQuantiles {
    /// Number of measured times.
    pub count: usize,
    /// Median.
    pub p50: f64,
    /// 99th percentile; the longest time when there are fewer than 100.
    pub p99: f64,
    /// Longest time.
    pub max: f64,
}

impl TimeQuantiles {
    /// Computes the quantiles of these times by nearest rank; 0 without times.
    pub fn of(mut times: Vec<Duration>) -> Self {
        times.sort_unstable();
        let rank = |share: f64| {
            let rank = (times.len() as f64 * share).ceil() as usize;
            let time = times.get(rank.saturating_sub(1));
            time.map_or(0.0, |time| time.as_secs_f64() * 1000.0)
        };
        Self {
            count: times.len(),
            p50: rank(0.5),
            p99: rank(0.99),
            max: rank(1.0),
        }
    }
}

impl std::fmt::Display for TimeQuantiles {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms ({} times)",
            self.p50, self.p99, self.max, self.count
        )
    }
}
