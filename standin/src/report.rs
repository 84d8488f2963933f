//! An engine's report of its own load, which is out of date by a configurable lag.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

/// Answer to `GET /load`.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct LoadPage {
    /// Number of running requests.
    pub(crate) running: usize,
    /// Number of queued requests.
    pub(crate) waiting: usize,
    /// Age of the other values, in milliseconds.
    pub(crate) age_ms: u64,
    /// Whether the engine is leaving.
    pub(crate) leaving: bool,
}

#[derive(Clone, Copy)]
struct LoadSample {
    at: Instant,
    running: usize,
    waiting: usize,
}

/// Maximum lag of the report; older samples are removed.
const LONGEST_LAG: Duration = Duration::from_mins(1);

/// Load of an engine over time.
#[derive(Default)]
pub(crate) struct LoadHistory {
    samples: VecDeque<LoadSample>,
    frozen_at: Option<Instant>,
}

impl LoadHistory {
    /// Records the current load.
    pub(crate) fn record(&mut self, running: usize, waiting: usize, now: Instant) {
        if self
            .samples
            .back()
            .is_some_and(|last| last.running == running && last.waiting == waiting)
        {
            return;
        }
        self.samples.push_back(LoadSample {
            at: now,
            running,
            waiting,
        });
        while self
            .samples
            .get(1)
            .is_some_and(|second| second.at + LONGEST_LAG < now)
        {
            self.samples.pop_front();
        }
    }

    /// Freezes or unfreezes the report.
    pub(crate) fn freeze(&mut self, frozen: bool, now: Instant) {
        self.frozen_at = frozen.then(|| self.frozen_at.unwrap_or(now));
    }

    /// The load `lag` before `now`, or before the report was frozen.
    pub(crate) fn page(&self, lag: Duration, leaving: bool, now: Instant) -> LoadPage {
        let reported_at = self
            .frozen_at
            .unwrap_or(now)
            .checked_sub(lag)
            .unwrap_or(now);
        let sample = self
            .samples
            .iter()
            .rev()
            .find(|sample| sample.at <= reported_at);
        LoadPage {
            running: sample.map_or(0, |sample| sample.running),
            waiting: sample.map_or(0, |sample| sample.waiting),
            age_ms: u64::try_from((now - reported_at).as_millis()).unwrap_or(u64::MAX),
            leaving,
        }
    }
}
