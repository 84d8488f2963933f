//! A monotonic clock that includes the time for which the host is suspended.

use std::time::Duration;

use monsoonbank_kernel::clock::Clock;
use nix::time::{ClockId, clock_gettime};

/// Clock of the time since the host's boot (`CLOCK_BOOTTIME`), including suspended time. While a host
/// is suspended, the clocks of other hosts keep running.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Duration {
        match clock_gettime(ClockId::CLOCK_BOOTTIME) {
            Ok(time) => Duration::from(time),
            Err(error) => {
                // Every Linux system has this clock. Without it the time is always zero, so that no
                // lease is valid.
                log::error!("cannot read CLOCK_BOOTTIME: {error}");
                Duration::ZERO
            }
        }
    }
}
