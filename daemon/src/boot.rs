//! A clock that goes on while the host is suspended, as others' clocks do.

use std::time::Duration;

use monsoonbank_kernel::clock::Clock;
use nix::time::{ClockId, clock_gettime};

/// The time since the host's boot, with the time that it was suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Duration {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => Duration::from(time),
            Err(error) => {
                // Every Linux has it; without it no lease holds, as time stands still at zero.
                log::error!("no clock that goes on while suspended: {error}");
                Duration::ZERO
            }
        }
    }
}
