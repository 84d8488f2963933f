//! The clock as an interface: real in a process, virtual in benchmarks and tests.

use std::time::{Duration, Instant};

/// Tells the time since a fixed start; never goes back.
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
    /// A clock that starts at zero now.
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
