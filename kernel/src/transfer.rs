//! Bounds on how an answer arrives: by its pace, not by its size.
//!
//! A limit on the whole is missed by each try once an answer is larger than a link carries in that
//! time, and each try takes the link from the next.

use std::time::Duration;

/// Least mean pace of an answer, in bytes a second: a link of 10 Mbit/s, the thinnest of a host, that
/// ten transfers share.
pub const LEAST_PACE: f64 = 125_000.0;

/// Time that so many bytes take at the least pace.
pub fn longest_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / LEAST_PACE)
}

/// An answer that is arriving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferPace {
    silence: Duration,
    began: Duration,
    received: usize,
}

impl TransferPace {
    /// One that began now and may pause for `silence`.
    pub fn new(silence: Duration, now: Duration) -> Self {
        Self {
            silence,
            began: now,
            received: 0,
        }
    }

    /// Takes in that a piece came.
    pub fn piece_came(&mut self, bytes: usize) {
        self.received += bytes;
    }

    /// Bytes that came.
    pub fn received(&self) -> usize {
        self.received
    }

    /// How long the next piece may take from now: a pause, and not so long that less than the least
    /// pace came beyond a first pause.
    pub fn time_left(&self, now: Duration) -> Duration {
        let earned = self.began + self.silence + longest_time(self.received);
        earned.saturating_sub(now).min(self.silence)
    }
}
