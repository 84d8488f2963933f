//! Processor time and memory of this process, as the operating system reports them. Linux only;
//! elsewhere the figures are 0.

use std::fs;
use std::time::Duration;

const PAGE_BYTES: u64 = 4096;

/// Returns the processor time that this thread has used.
pub fn processor_time() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text
        .split_whitespace()
        .next()
        .and_then(|word| word.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<u64> = text
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Returns the processor time that the whole process has used, at the resolution of the system's
/// clock ticks.
pub fn process_time() -> Duration {
    const TICK_MILLIS: u64 = 10;
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The process name, in parentheses, may contain spaces.
    let rest = text.rsplit(") ").next().unwrap_or_default();
    let field = |index| {
        let word = rest.split_whitespace().nth(index);
        word.and_then(|word| word.parse::<u64>().ok()).unwrap_or(0)
    };
    Duration::from_millis((field(11) + field(12)) * TICK_MILLIS)
}
