//! One run of an upstream, and what this node knows of it.

use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gateway::brittle::BrittleState;
use crate::gateway::health::UpstreamHealth;
use crate::gateway::load::UpstreamLoad;
use crate::gateway::pause::UpstreamPause;
use crate::gateway::registry::UpstreamEntry;
use crate::gateway::registry::digest::DIGEST_BUCKETS;
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

/// An upstream and this node's state for it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its newest registry entry.
    pub entry: UpstreamEntry,
    /// Reason why it accepts no new calls; `None` if it accepts them. Never cleared for a run,
    /// except for `Lapsed`.
    pub left: Option<LeavingCause>,
    /// Time at which this node learned that it accepts no new calls.
    pub left_at: Option<Duration>,
    /// Time since when its entry has been missing while the registry was not trusted; `None` if it
    /// is not.
    pub lapsed_at: Option<Duration>,
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

    /// Records that it accepts no new calls. Returns whether that is a change. A lapsed entry may
    /// return, so any other cause replaces that one.
    pub(super) fn leave(&mut self, cause: LeavingCause, now: Duration) -> bool {
        if self.left.is_some_and(|left| left != LeavingCause::Lapsed) {
            return false;
        }
        let is_change = self.left != Some(cause);
        self.left = Some(cause);
        self.left_at.get_or_insert(now);
        self.lapsed_at = None;
        is_change
    }
}
