//! Estimates the speed of a pool's streams from those that this node forwarded.
//!
//! A stream on an engine that also prefills prompts waits for a chunk of prefill at each of its
//! tokens, so whether a call can finish in time depends on the load.

use std::time::Duration;

/// Weight of the newest stream in the running means: about the last twenty count, which a busy node
/// forwards in a second.
const NEWEST_WEIGHT: f64 = 0.05;

/// Share of the expected events on which the estimate is based: callers' estimates are medians.
const COUNTED_SHARE: f64 = 0.7;

/// Group of streams with similar speed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamKind {
    /// Pool of the streams.
    pub pool: Box<str>,
    /// Whether they need the shortest gaps of the pool, for which engines are reserved.
    pub tight: bool,
}

/// Running means over streams of a kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamPace {
    first: Option<f64>,
    event: Option<f64>,
}

impl StreamPace {
    /// Records a complete stream: its first event arrived `first` after it was sent, and the
    /// `events` after that took `rest`.
    pub fn record_stream(&mut self, first: Duration, rest: Duration, events: u64) {
        update_mean(&mut self.first, first.as_secs_f64());
        if events > 0 {
            update_mean(&mut self.event, rest.as_secs_f64() / events as f64);
        }
    }

    /// Whether a stream with this expected number of events that starts now is likely to finish
    /// within the time left.
    pub fn can_finish(&self, events: f64, left: Duration) -> bool {
        self.expected_duration(events * COUNTED_SHARE) <= left
    }

    /// Whether a stream is likely to finish within the time left at an engine whose times are this
    /// multiple of its pool's median.
    pub fn can_finish_at(&self, ratio: f64, events: f64, left: Duration) -> bool {
        self.expected_duration(events * COUNTED_SHARE)
            .mul_f64(ratio)
            <= left
    }

    /// Expected time between two events of a stream; zero before any was recorded.
    pub fn expected_gap(&self) -> Duration {
        Duration::from_secs_f64(self.event.unwrap_or_default())
    }

    /// Expected duration of a stream with this number of events; zero before any was recorded.
    pub fn expected_duration(&self, events: f64) -> Duration {
        let first = self.first.unwrap_or_default();
        let event = self.event.unwrap_or_default();
        Duration::from_secs_f64(first + event * (events - 1.0).max(0.0))
    }

    /// Expected time until the first event of a stream; zero before the first stream was recorded.
    pub fn expected_first_event(&self) -> Duration {
        self.expected_duration(1.0)
    }
}

/// Running mean of the expected number of events of a pool's answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerLength {
    mean: Option<f64>,
}

impl AnswerLength {
    /// Records the expected number of events of a call that is sent.
    pub fn record(&mut self, events: f64) {
        update_mean(&mut self.mean, events);
    }

    /// Mean of the last calls; `None` before the first one.
    pub fn mean(&self) -> Option<f64> {
        self.mean
    }
}

fn update_mean(mean: &mut Option<f64>, newest: f64) {
    let before = mean.unwrap_or(newest);
    *mean = Some(before + NEWEST_WEIGHT * (newest - before));
}
