//! Timeouts for response bodies, based on the transfer rate instead of the total time.
//!
//! With a total timeout every attempt fails once a response is larger than the link can carry in
//! that time, and each failed attempt takes bandwidth from the next one.

use std::time::Duration;

/// Minimum mean transfer rate of a response, in bytes per second: a tenth of a 10 Mbit/s link, the
/// slowest of any host, so that ten transfers can share it.
pub const MIN_TRANSFER_RATE: f64 = 125_000.0;

/// Time that `bytes` take at the minimum transfer rate.
pub fn max_transfer_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_TRANSFER_RATE)
}

/// Timeout state of a response body that is being received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferMonitor {
    idle_timeout: Duration,
    started_at: Duration,
    received: usize,
}

impl TransferMonitor {
    /// Starts at `now`; `silence` is the longest pause between two chunks.
    pub fn new(idle_timeout: Duration, now: Duration) -> Self {
        Self {
            idle_timeout,
            started_at: now,
            received: 0,
        }
    }

    /// Records a received chunk of this many bytes.
    pub fn record_chunk(&mut self, bytes: usize) {
        self.received += bytes;
    }

    /// Total number of bytes received.
    pub fn received(&self) -> usize {
        self.received
    }

    /// Time until the next chunk is due: at most one idle timeout, and less if the transfer would
    /// otherwise fall below the minimum rate, counted from one idle timeout after its start.
    pub fn time_left(&self, now: Duration) -> Duration {
        let deadline = self.started_at + self.idle_timeout + max_transfer_time(self.received);
        deadline.saturating_sub(now).min(self.idle_timeout)
    }
}
