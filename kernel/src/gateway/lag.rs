//! How long a node has lacked a version that others have, and when it turns to the store for it.

use std::time::Duration;

/// Time that a node has to get a new version from others before it reads the store: two tries. A
/// version has to be in force within 2 s on small sites.
pub const LAG_TIME: Duration = Duration::from_millis(700);
/// Time after which it reads the store all the same, although a fetch goes on: 2 MB over a link of
/// 10 Mbit/s. A path on which large answers break off again and again never gets further.
pub const LONGEST_LAG: Duration = Duration::from_secs(2);

/// What other nodes told of the configuration's version, and how fetching it goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionLag {
    told: u64,
    told_at: Duration,
    piece_at: Duration,
}

impl VersionLag {
    /// Takes in that another node has a version in force.
    pub fn told(&mut self, version: u64, now: Duration) {
        if version > self.told {
            self.told = version;
            self.told_at = now;
        }
    }

    /// Takes in that a piece of something fetched from another node came.
    pub fn piece_came(&mut self, now: Duration) {
        self.piece_at = now;
    }

    /// How long ago `version` or a newer one was told first; none if none was.
    pub fn since(&self, version: u64, now: Duration) -> Option<Duration> {
        (self.told >= version).then(|| now.saturating_sub(self.told_at))
    }

    /// Whether a node that has `version` in force has to read the store. A fetch that goes on is not
    /// joined by such a read, which would take half of a thin link from it.
    pub fn is_behind(&self, version: u64, now: Duration) -> bool {
        let quiet_at = self.told_at.max(self.piece_at) + LAG_TIME;
        let last = quiet_at.min(self.told_at + LONGEST_LAG);
        self.told > version && now > last
    }
}
