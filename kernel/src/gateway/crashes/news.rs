//! What nodes tell each other of crashes in their heartbeats.

use std::collections::VecDeque;
use std::time::Duration;

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::gateway::crashes::evidence::{CrashKey, CrashReport};
use crate::gateway::crashes::quarantine::QuarantineReport;
use crate::gateway::crashes::suspect::{CrashCause, SuspectKey};

/// Time for which a change is sent in heartbeats: two of the longest intervals between heartbeats.
const UPDATE_TTL: Duration = Duration::from_millis(1500);
/// Time for which a node repeats the crashes that it noticed itself, for nodes that were cut off.
const OWN_TTL: Duration = Duration::from_secs(15);
/// Interval at which it repeats them once `UPDATE_TTL` has passed.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of properties in the crashes of one heartbeat, some 12 bytes each.
pub const MAX_SUSPECTS: usize = 48;
/// Maximum number of quarantines and of answers in one heartbeat, some 30 and 16 bytes each.
pub const MAX_UPDATES: usize = 8;
/// Maximum number of changes that are sent to other nodes.
const MAX_CHANGES: usize = 512;

/// Answer that shows a property to be harmless, as sent to other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct SoundReport {
    /// The property.
    pub suspect: SuspectKey,
    /// Time since the answer began, in ms.
    pub age_ms: u64,
}

/// Recent changes of one node's knowledge of crashes, as part of a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct CrashNews {
    /// Crashes.
    pub crashes: Vec<CrashReport>,
    /// Answers that show suspected properties to be harmless.
    pub sound: Vec<SoundReport>,
    /// Quarantines that began or ended.
    pub quarantines: Vec<QuarantineReport>,
}

/// A change that is sent to other nodes for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecentChange {
    /// A crash, and whether this node noticed it itself.
    Crash {
        /// The crash.
        key: CrashKey,
        /// Whether this node noticed it itself.
        is_own: bool,
    },
    /// An answer that shows a property to be harmless.
    Sound(SuspectKey),
    /// A quarantine that began or ended.
    Quarantine(CrashCause),
}

/// Changes that are sent to other nodes.
#[derive(Clone, Debug, Default)]
pub struct RecentChanges {
    changes: VecDeque<(Duration, RecentChange)>,
    repeated_at: Duration,
    turn: usize,
}

impl RecentChanges {
    /// Adds a change, or sends it anew.
    pub fn announce(&mut self, change: RecentChange, now: Duration) {
        let is_same = |known: &RecentChange| match (known, &change) {
            (RecentChange::Crash { key, .. }, RecentChange::Crash { key: other, .. }) => {
                key == other
            }
            _ => *known == change,
        };
        let known = self.changes.iter().position(|(_, known)| is_same(known));
        let known = known.and_then(|index| self.changes.remove(index));
        let was_own = matches!(known, Some((_, RecentChange::Crash { is_own: true, .. })));
        let change = match change {
            RecentChange::Crash { key, is_own } => RecentChange::Crash {
                key,
                is_own: is_own || was_own,
            },
            change => change,
        };
        self.changes.push_back((now, change));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Returns the changes for the next heartbeat, each time from another one on.
    pub fn due(&mut self, now: Duration) -> Vec<RecentChange> {
        let is_kept = |(at, change): &(Duration, RecentChange)| {
            let ttl = match change {
                RecentChange::Crash { is_own: true, .. } => OWN_TTL,
                _ => UPDATE_TTL,
            };
            *at + ttl > now
        };
        self.changes.retain(is_kept);
        let repeats = self.repeated_at + REPEAT_INTERVAL <= now;
        if repeats {
            self.repeated_at = now;
        }
        let changes = self.changes.iter();
        let due = changes.filter(|(at, _)| repeats || *at + UPDATE_TTL > now);
        let mut due: Vec<RecentChange> = due.map(|(_, change)| change.clone()).collect();
        if !due.is_empty() {
            self.turn = self.turn.wrapping_add(MAX_UPDATES / 2);
            let turn = self.turn % due.len();
            due.rotate_left(turn);
        }
        due
    }
}
