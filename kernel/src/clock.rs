//! The clock interface: real time in a process, virtual time in benchmarks and tests.

use std::time::{Duration, Instant};

/// A monotonic clock that counts from a fixed start.
pub trait Clock: Send + Sync {
    /// Time since the clock's start.
    fn now(&self) -> Duration;
}

/// The operating system's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Creates a clock that starts at zero now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for MonotonicClock {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
