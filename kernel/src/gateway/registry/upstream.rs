//! One run of an upstream, and what this node knows of it.

use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gateway::brittle::BrittleState;
use crate::gateway::health::UpstreamHealth;
use crate::gateway::load::UpstreamLoad;
use crate::gateway::pause::UpstreamPause;
use crate::gateway::registry::digest::DIGEST_BUCKETS;
use crate::gateway::registry::news::RunClaim;
use crate::gateway::registry::record::EntryRecord;
use crate::gateway::registry::{EntryReport, UpstreamEntry};
use crate::gateway::throttle::UpstreamThrottle;

/// Reason why an upstream accepts no new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum LeavingCause {
    /// Its registry entry is marked as leaving.
    #[display("draining")]
    Draining,
    /// One of its answers announced it.
    #[display("announced")]
    Announced,
    /// Its entry was removed.
    #[display("removed")]
    Removed,
    /// Its entry expired during an outage of the registry and did not return.
    #[display("lapsed")]
    Lapsed,
    /// Another upstream answers at its address.
    #[display("replaced")]
    Replaced,
}

impl LeavingCause {
    /// Whether the upstream itself said that it leaves, which is final for a run. Any other cause is an
    /// inference, which ends once its entry is written again.
    pub fn is_stated(self) -> bool {
        match self {
            Self::Draining | Self::Announced => true,
            Self::Removed | Self::Lapsed | Self::Replaced => false,
        }
    }
}

/// An upstream and this node's state for it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its newest registry entry.
    pub entry: UpstreamEntry,
    /// Reason why it accepts no new calls; `None` if it accepts them.
    pub left: Option<LeavingCause>,
    /// Time at which this node learned that it accepts no new calls.
    pub left_at: Option<Duration>,
    /// Time since when its entry has been missing while the registry was not trusted; `None` if it
    /// is not.
    pub lapsed_at: Option<Duration>,
    /// Newest evidence that its entry is missing: a record in the log that follows it shows that the
    /// upstream lives. `None` if there is none.
    pub missing: Option<EntryRecord>,
    /// Work in flight at it.
    pub load: UpstreamLoad,
    /// Health, derived from its answers.
    pub health: UpstreamHealth,
    /// Request limit that it advertised.
    pub throttle: UpstreamThrottle,
    /// Time for which it gets no requests: a pause that it requested of this node, or a rest after a
    /// refusal while it is brittle.
    pub pause: UpstreamPause,
    /// What it says of how many refusals it bears.
    pub brittle: BrittleState,
}

impl Upstream {
    /// Creates the state of a run of which only its entry is known.
    pub(super) fn new(entry: UpstreamEntry, now: Duration) -> Self {
        Self {
            left: entry.leaving.then_some(LeavingCause::Draining),
            left_at: entry.leaving.then_some(now),
            entry,
            lapsed_at: None,
            missing: None,
            load: UpstreamLoad::default(),
            health: UpstreamHealth::default(),
            throttle: UpstreamThrottle::default(),
            pause: UpstreamPause::default(),
            brittle: BrittleState::default(),
        }
    }

    /// Hash of its run and of whether it left.
    pub(super) fn state_hash(&self) -> u32 {
        let left = [u8::from(self.left.is_some())];
        (xxh3_64_with_seed(&left, self.entry.run_hash()) >> 32) as u32
    }

    /// Hash of its run, for digests of upstreams that accept new calls.
    pub(super) fn usable_hash(&self) -> u32 {
        self.entry.run_hash() as u32
    }

    /// Bucket of its id.
    pub(super) fn bucket(&self) -> usize {
        xxh3_64(self.entry.id.as_bytes()) as usize % DIGEST_BUCKETS
    }

    /// Whether this node or others use it, or know more of it than its entry.
    pub(super) fn is_active(&self, now: Duration) -> bool {
        self.load.is_used(now)
            || self.health.reports_failing(now)
            || self.throttle.is_known()
            || self.pause.left(now).is_some()
    }

    /// Records that it accepts no new calls. Returns whether that is a change. What the upstream
    /// states replaces what was inferred, and a lapsed entry may be found to have left for good.
    pub(super) fn leave(&mut self, cause: LeavingCause, now: Duration) -> bool {
        let replaceable = self.left.is_none_or(|left| {
            left == LeavingCause::Lapsed || cause.is_stated() && !left.is_stated()
        });
        if !replaceable {
            return false;
        }
        let is_change = self.left != Some(cause);
        self.left = Some(cause);
        self.left_at.get_or_insert(now);
        self.lapsed_at = None;
        is_change
    }

    /// Records that its entry was missing. Returns whether that is still so as far as is known: not if
    /// a later record of it is.
    pub(super) fn record_missing(&mut self, missing: Option<EntryRecord>) -> bool {
        let Some(missing) = missing else {
            return true;
        };
        if self
            .entry
            .written
            .is_some_and(|record| record.follows(missing))
        {
            return false;
        }
        self.missing = self.missing.max(Some(missing));
        true
    }

    /// Applies an entry of this run. Returns whether that is a change.
    pub(super) fn receive_entry(&mut self, entry: UpstreamEntry, now: Duration) -> bool {
        let leaves = entry.leaving && self.leave(LeavingCause::Draining, now);
        if entry.written < self.entry.written {
            return leaves;
        }
        let shows_life = self.missing.is_none_or(|missing| {
            let record = entry.written;
            record.is_some_and(|record| record.follows(missing))
        });
        if shows_life {
            self.lapsed_at = None;
        }
        let returns = shows_life
            && match self.left {
                Some(LeavingCause::Lapsed) => true,
                // What has no record in the store is another node's word, which may be old.
                Some(LeavingCause::Removed | LeavingCause::Replaced) => entry.written.is_some(),
                Some(LeavingCause::Draining | LeavingCause::Announced) | None => false,
            };
        if returns {
            self.left = None;
            self.left_at = None;
        }
        let differs = self.entry != entry;
        self.entry = entry;
        returns || leaves || differs
    }

    /// What other nodes have to know of its state at once; `None` if they infer it themselves.
    pub(super) fn claim(&self) -> Option<RunClaim> {
        match self.left {
            Some(LeavingCause::Draining | LeavingCause::Announced) => Some(RunClaim::Stated),
            Some(LeavingCause::Removed) => self.missing.map(RunClaim::Missing),
            // A lapsed entry may return, and all nodes see which run is the last at an address.
            Some(LeavingCause::Lapsed | LeavingCause::Replaced) => None,
            None => {
                let returned = self.missing.and(self.entry.written);
                returned.map(RunClaim::Written)
            }
        }
    }

    /// Its state as sent to other nodes.
    pub fn report(&self) -> EntryReport {
        let mut entry = self.entry.clone();
        if let Some(cause) = self.left {
            entry.leaving = cause.is_stated();
            if !cause.is_stated() {
                entry.written = self.missing;
            }
        }
        EntryReport {
            entry,
            left: self.left.is_some(),
        }
    }
}
