//! What the registry's log shows of the software versions that pools had before this process started.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::gateway::registry::{RegistryChange, SoftwareKey};

/// Time beyond the longest stream that the log has to cover: some nodes begin streams at an upstream for
/// so long after its entry is gone.
const NOTICE_TIME: Duration = Duration::from_secs(5);
/// Share of the interval between two writes of an entry that counts as covered, since upstreams also
/// write when they change.
const COUNTED_SHARE: f64 = 0.75;

/// Part of a log that was read, up to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogPart {
    /// All that was ever written.
    Whole,
    /// The records that are retained.
    Retained {
        /// Interval at which upstreams write their entries; `None` if it is not known.
        interval: Option<Duration>,
    },
}

/// Software versions of each pool in the registry's log.
#[derive(Clone, Debug)]
pub struct LogHistory {
    versions: BTreeMap<Box<str>, BTreeSet<SoftwareKey>>,
    /// Time before `read_at` that the log covers; `None` if it covers all.
    covered: Option<Duration>,
    read_at: Duration,
}

impl LogHistory {
    /// Collects the versions in the records of a log, in its order, that was read at `now`.
    pub fn new(
        records: impl IntoIterator<Item = RegistryChange>,
        part: LogPart,
        now: Duration,
    ) -> Self {
        let mut versions: BTreeMap<Box<str>, BTreeSet<SoftwareKey>> = BTreeMap::new();
        let mut writes: BTreeMap<Box<str>, u32> = BTreeMap::new();
        let mut has_gap = false;
        for record in records {
            match record {
                RegistryChange::Put(entry) => {
                    let software = entry.software();
                    versions.entry(entry.pool).or_default().insert(software);
                    *writes.entry(entry.id).or_default() += 1;
                }
                // What an upstream wrote before it was removed is gone.
                RegistryChange::Removed { id, .. } => has_gap |= !writes.contains_key(&id),
            }
        }
        let covered = match part {
            LogPart::Whole => None,
            LogPart::Retained { .. } if has_gap => Some(Duration::ZERO),
            LogPart::Retained { interval } => Some(covered_time(writes, interval)),
        };
        Self {
            versions,
            covered,
            read_at: now,
        }
    }

    /// Time before the read that the log covers; `None` if it covers all.
    pub fn covered(&self) -> Option<Duration> {
        self.covered
    }

    /// Only software version that a pool had when streams began which may last as long as `longest` and
    /// go on at `now`; `None` if there were several, or if the log does not reach back so far.
    pub fn sole_software(
        &self,
        pool: &str,
        longest: Duration,
        now: Duration,
    ) -> Option<SoftwareKey> {
        let needed = (longest + NOTICE_TIME).saturating_sub(now.saturating_sub(self.read_at));
        if self.covered.is_some_and(|covered| covered < needed) {
            return None;
        }
        let versions = self.versions.get(pool)?;
        versions.first().copied().filter(|_| versions.len() == 1)
    }
}

/// Time that the log covers, by the number of times that most upstreams wrote their entries in it.
fn covered_time(writes: BTreeMap<Box<str>, u32>, interval: Option<Duration>) -> Duration {
    let Some(interval) = interval else {
        return Duration::ZERO;
    };
    let mut counts: Vec<u32> = writes.into_values().collect();
    counts.sort_unstable();
    let usual = counts.get(counts.len() / 2).copied().unwrap_or(0);
    interval.mul_f64(COUNTED_SHARE) * usual.saturating_sub(1)
}
