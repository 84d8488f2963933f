//! Tests of the time at which a node that lacks a version reads it from the store.

use std::time::Duration;

use monsoonbank_kernel::gateway::lag::VersionLag;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A node to which version 7 was advertised at 1 s, and which received pieces of it at these times.
fn lagging(pieces: &[u64]) -> VersionLag {
    let mut lag = VersionLag::default();
    lag.advertised(7, ms(1000));
    for piece in pieces {
        lag.fetch_progressed(ms(*piece));
    }
    lag
}

macro_rules! lags {
    ($($name:ident: $pieces:expr, $version:expr, $at:expr => $behind:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(lagging($pieces).is_behind($version, ms($at)), $behind);
        }
    )*};
}

lags! {
    it_waits_for_others_first: &[], 6, 1600 => false;
    it_reads_when_none_gave_it: &[], 6, 1701 => true;
    a_fetch_that_goes_on_is_not_joined: &[1300, 1650, 2000], 6, 2500 => false;
    a_fetch_that_stalled_is: &[1300, 1650], 6, 2351 => true;
    a_fetch_that_never_ends_is: &[1300, 1900, 2500, 2990], 6, 3001 => true;
    pieces_from_before_do_not_matter: &[900], 6, 1701 => true;
    a_node_that_has_it_does_not_read: &[], 7, 9000 => false;
}

#[test]
fn an_older_version_does_not_restart_the_lag() {
    let mut lag = lagging(&[]);
    lag.advertised(7, ms(1600));
    lag.advertised(5, ms(1650));
    assert!(lag.is_behind(6, ms(1701)));
    assert_eq!(lag.since(7, ms(1500)), Some(ms(500)));
    assert_eq!(lag.since(8, ms(1500)), None);
}
