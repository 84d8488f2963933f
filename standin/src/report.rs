//! An engine's report of its own load, which lags behind the truth.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

/// What `GET /load` shows.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct LoadPage {
    /// Requests in slots.
    pub(crate) running: usize,
    /// Requests waiting.
    pub(crate) waiting: usize,
    /// Age of these figures, in milliseconds.
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

/// Longest lag that can be shown; older samples go.
const LONGEST_LAG: Duration = Duration::from_mins(1);

/// The load over time.
#[derive(Default)]
pub(crate) struct LoadHistory {
    samples: VecDeque<LoadSample>,
    frozen_at: Option<Instant>,
}

impl LoadHistory {
    /// Notes the load now.
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

    /// Stops, or starts again, the report's progress.
    pub(crate) fn freeze(&mut self, frozen: bool, now: Instant) {
        self.frozen_at = frozen.then(|| self.frozen_at.unwrap_or(now));
    }

    /// The load as it was `lag` ago.
    pub(crate) fn page(&self, lag: Duration, leaving: bool, now: Instant) -> LoadPage {
        let shown = self
            .frozen_at
            .unwrap_or(now)
            .checked_sub(lag)
            .unwrap_or(now);
        let sample = self.samples.iter().rev().find(|sample| sample.at <= shown);
        LoadPage {
            running: sample.map_or(0, |sample| sample.running),
            waiting: sample.map_or(0, |sample| sample.waiting),
            age_ms: u64::try_from((now - shown).as_millis()).unwrap_or(u64::MAX),
            leaving,
        }
    }
}
