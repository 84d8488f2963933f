//! How fast a pool's streams go, from those that this node passed on.
//!
//! A stream beside prompts that are read waits for a chunk of a prompt at each of its tokens, so whether a
//! call can still end in its time depends on the load.

use std::time::Duration;

/// Weight of the newest stream in the running means: about the last twenty count, which a busy node
/// passes on in a second.
const NEWEST_WEIGHT: f64 = 0.05;

/// Part of the expected events that is counted on: callers' estimates are medians.
const SURE_PART: f64 = 0.7;

/// Streams that go alike.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamKind {
    /// Their pool.
    pub pool: Box<str>,
    /// Whether their pauses have to be the shortest of the pool: they have engines kept for them.
    pub tight: bool,
}

/// Running means over streams of a kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamPace {
    first: Option<f64>,
    event: Option<f64>,
}

impl StreamPace {
    /// A stream ended whole: its first event came `first` after it was sent, the `events` after that
    /// took `rest`.
    pub fn record_stream(&mut self, first: Duration, rest: Duration, events: u64) {
        take_in(&mut self.first, first.as_secs_f64());
        if events > 0 {
            take_in(&mut self.event, rest.as_secs_f64() / events as f64);
        }
    }

    /// Whether a stream that is thought to have so many events, and begins now, may well end in the
    /// time that is left.
    pub fn can_finish(&self, events: f64, left: Duration) -> bool {
        self.expected_duration(events * SURE_PART) <= left
    }

    /// How long a stream of so many events takes; nothing before one was seen.
    pub fn expected_duration(&self, events: f64) -> Duration {
        let first = self.first.unwrap_or_default();
        let event = self.event.unwrap_or_default();
        Duration::from_secs_f64(first + event * (events - 1.0).max(0.0))
    }

    /// How long the first event of a stream takes.
    pub fn expected_first_event(&self) -> Duration {
        self.expected_duration(1.0)
    }
}

fn take_in(mean: &mut Option<f64>, newest: f64) {
    let before = mean.unwrap_or(newest);
    *mean = Some(before + NEWEST_WEIGHT * (newest - before));
}
