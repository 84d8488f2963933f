//! Tracks how long a node lacks a version that others have, and when it reads it from the store.

use std::time::Duration;

/// Time in which a node may fetch a new version from others before it reads the store: two tries. A
/// version has to be in force within 2 s on small sites.
pub const LAG_TIME: Duration = Duration::from_millis(700);
/// Time after which it reads the store even while a fetch makes progress: 2 MB over a link of 10
/// Mbit/s. On a path where large transfers break repeatedly, a fetch would otherwise never
/// complete.
pub const MAX_LAG: Duration = Duration::from_secs(2);

/// Configuration version that other nodes advertised, and the progress of fetching it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionLag {
    newest: u64,
    advertised_at: Duration,
    progressed_at: Duration,
}

impl VersionLag {
    /// Records that another node has a version in force.
    pub fn advertised(&mut self, version: u64, now: Duration) {
        if version > self.newest {
            self.newest = version;
            self.advertised_at = now;
        }
    }

    /// Records that part of a transfer from another node arrived.
    pub fn fetch_progressed(&mut self, now: Duration) {
        self.progressed_at = now;
    }

    /// Time since `version` or a newer one was first advertised; `None` if none was.
    pub fn since(&self, version: u64, now: Duration) -> Option<Duration> {
        (self.newest >= version).then(|| now.saturating_sub(self.advertised_at))
    }

    /// Whether a node with `version` in force has to read the store. Such a read does not start
    /// beside a fetch that makes progress, as it would take half the bandwidth of a slow link.
    pub fn is_behind(&self, version: u64, now: Duration) -> bool {
        let stalled_at = self.advertised_at.max(self.progressed_at) + LAG_TIME;
        let last = stalled_at.min(self.advertised_at + MAX_LAG);
        self.newest > version && now > last
    }
}
