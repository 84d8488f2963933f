//! Tests of what the registry's log shows of earlier software versions.

use std::time::Duration;

use monsoonbank_kernel::gateway::history::{LogHistory, LogPart};
use monsoonbank_kernel::gateway::registry::{RegistryChange, UpstreamEntry};

const LONGEST: Duration = Duration::from_secs(15);
const READ_AT: Duration = Duration::from_secs(1);
/// Interval at which upstreams write.
const INTERVAL: Duration = Duration::from_secs(1);
const WHOLE: LogPart = LogPart::Whole;
const RETAINED: LogPart = LogPart::Retained {
    interval: Some(INTERVAL),
};
const UNTIMED: LogPart = LogPart::Retained { interval: None };

/// Records of an upstream that wrote this many times.
fn writes(id: &str, pool: &str, version: &str, count: usize) -> Vec<RegistryChange> {
    vec![RegistryChange::Put(entry(id, pool, version)); count]
}

/// Record of an upstream whose entry was removed.
fn removal(id: &str) -> Vec<RegistryChange> {
    vec![RegistryChange::Removed {
        id: id.into(),
        at: None,
    }]
}

fn entry(id: &str, pool: &str, version: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: id.into(),
        born: None,
        pool: pool.into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "east".into(),
        version: version.into(),
        slots: 8,
        leaving: false,
        spot: false,
        written: None,
    }
}

/// Whether the only version of the pool `model` is known this long after the read.
fn is_known(records: &[Vec<RegistryChange>], part: LogPart, later: Duration) -> bool {
    let history = LogHistory::new(records.concat(), part, READ_AT);
    let software = history.sole_software("model", LONGEST, READ_AT + later);
    if let Some(software) = software {
        assert_eq!(software, entry("a", "model", "v1").software());
    }
    software.is_some()
}

/// Each case gives the records of the log, the part that was read, the time since, and whether the only
/// version is known.
macro_rules! logs {
    ($($name:ident: $records:expr, $part:expr, $later:literal => $known:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(is_known(&$records, $part, Duration::from_secs($later)), $known);
        }
    )*};
}

// Guards against a stream that goes on at another version since an upstream that left is not known.
logs! {
    one_version_in_a_whole_log: [writes("a", "model", "v1", 1)], WHOLE, 0 => true;
    two_versions_in_a_whole_log:
        [writes("a", "model", "v1", 1), writes("b", "model", "v2", 1)], WHOLE, 0 => false;
    two_versions_under_one_id:
        [writes("a", "model", "v1", 1), writes("a", "model", "v2", 1)], WHOLE, 0 => false;
    another_version_of_another_pool:
        [writes("a", "model", "v1", 1), writes("b", "other", "v2", 1)], WHOLE, 0 => true;
    a_log_that_reaches_back_far_enough: [writes("a", "model", "v1", 28)], RETAINED, 0 => true;
    a_log_that_does_not: [writes("a", "model", "v1", 27)], RETAINED, 0 => false;
    a_short_log_that_was_read_long_ago: [writes("a", "model", "v1", 1)], RETAINED, 20 => true;
    a_short_log_that_was_read_lately: [writes("a", "model", "v1", 1)], RETAINED, 19 => false;
    a_log_that_lacks_what_a_removed_upstream_wrote:
        [removal("b"), writes("a", "model", "v1", 100)], RETAINED, 0 => false;
    a_log_with_what_a_removed_upstream_wrote:
        [writes("a", "model", "v1", 28), writes("b", "model", "v1", 28), removal("b")],
        RETAINED, 0 => true;
    a_whole_log_with_a_needless_removal:
        [removal("b"), writes("a", "model", "v1", 1)], WHOLE, 0 => true;
    a_log_without_a_known_interval: [writes("a", "model", "v1", 100)], UNTIMED, 0 => false;
    one_upstream_that_writes_often:
        [writes("a", "model", "v1", 5), writes("b", "model", "v1", 100), writes("c", "model", "v1", 5)],
        RETAINED, 0 => false;
}

#[test]
fn an_empty_log_shows_nothing() {
    let history = LogHistory::new([], RETAINED, READ_AT);
    assert_eq!(
        history.sole_software("model", LONGEST, READ_AT + LONGEST * 2),
        None
    );
}
