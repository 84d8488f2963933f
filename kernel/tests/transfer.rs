//! Timeouts of a response body that is being received.

use std::time::Duration;

use monsoonbank_kernel::transfer::TransferMonitor;

const IDLE_TIMEOUT: Duration = Duration::from_millis(500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Whether a response of these chunks, each with its arrival time in ms and its size in bytes, is
/// read to its end. Times count from its start at 1 s.
fn completes(chunks: &[(u64, usize)]) -> bool {
    let started_at = ms(1000);
    let mut monitor = TransferMonitor::new(IDLE_TIMEOUT, started_at);
    let mut now = started_at;
    chunks.iter().all(|(at, bytes)| {
        let at = started_at + ms(*at);
        let in_time = at <= now + monitor.time_left(now);
        monitor.record_chunk(*bytes);
        now = at;
        in_time
    })
}

/// Chunks of 8 KiB at a constant rate, up to the given total size.
fn steady(bytes_per_second: u64, bytes: u64) -> Vec<(u64, usize)> {
    let count = bytes / 8192;
    let chunk = |index: u64| (index * 8192 * 1000 / bytes_per_second, 8192);
    (1..=count).map(chunk).collect()
}

macro_rules! transfers {
    ($($name:ident: $chunks:expr => $whole:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(completes(&$chunks), $whole);
        }
    )*};
}

transfers! {
    a_small_response_completes: [(3, 400)] => true;
    a_large_response_on_a_slow_link_completes: steady(1_250_000, 16 << 20) => true;
    ten_responses_sharing_a_slow_link_complete: steady(130_000, 2 << 20) => true;
    a_response_without_a_chunk_in_time_fails: [(501, 400)] => false;
    a_pause_of_half_a_second_is_tolerated: [(100, 100_000), (600, 100_000)] => true;
    a_longer_pause_fails: [(100, 1_000_000), (601, 1_000_000)] => false;
    a_transfer_below_the_minimum_rate_fails: steady(20_000, 1 << 20) => false;
}
