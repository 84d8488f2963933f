//! How long an answer may take while it arrives.

use std::time::Duration;

use monsoonbank_kernel::transfer::TransferMonitor;

const SILENCE: Duration = Duration::from_millis(500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Whether an answer of these pieces, each with its time in ms and its bytes, is read to its end. It
/// began at 1 s.
fn arrives(pieces: &[(u64, usize)]) -> bool {
    let began = ms(1000);
    let mut pace = TransferMonitor::new(SILENCE, began);
    let mut now = began;
    pieces.iter().all(|(at, bytes)| {
        let at = began + ms(*at);
        let in_time = at <= now + pace.time_left(now);
        pace.record_chunk(*bytes);
        now = at;
        in_time
    })
}

/// Pieces of 8 kB at a pace, for as long as it takes.
fn steady(bytes_per_second: u64, bytes: u64) -> Vec<(u64, usize)> {
    let count = bytes / 8192;
    let piece = |index: u64| (index * 8192 * 1000 / bytes_per_second, 8192);
    (1..=count).map(piece).collect()
}

macro_rules! transfers {
    ($($name:ident: $pieces:expr => $whole:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(arrives(&$pieces), $whole);
        }
    )*};
}

transfers! {
    a_small_answer_arrives: [(3, 400)] => true;
    a_large_one_on_a_thin_link_arrives: steady(1_250_000, 16 << 20) => true;
    ten_that_share_a_thin_link_arrive: steady(130_000, 2 << 20) => true;
    nothing_at_all_does_not: [(501, 400)] => false;
    a_pause_of_half_a_second_is_borne: [(100, 100_000), (600, 100_000)] => true;
    a_longer_one_is_not: [(100, 1_000_000), (601, 1_000_000)] => false;
    a_trickle_is_given_up: steady(20_000, 1 << 20) => false;
}
