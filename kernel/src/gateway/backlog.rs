//! Calls that wait for a pool at all nodes, for loads that exceed the pool while each node has a
//! queue of its own.
//!
//! Without it a node sends calls that are late while others have calls that could be in time. Nodes
//! report their queues in heartbeats, and a call leaves free places to those that go before it
//! elsewhere, for a bounded time, as a report may be outdated or its node gone.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::{Add, AddAssign};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::gateway::heartbeat::short_hash;
use crate::gateway::registry::UpstreamKey;

/// Time after which a report expires: three of the longest intervals between heartbeats of nodes
/// with calls.
pub const REPORT_TTL: Duration = Duration::from_millis(600);
/// Time for which a free place is left to calls at other nodes: the interval between heartbeats of
/// nodes in different zones, within which they learn of the place.
pub const YIELD_TIME: Duration = Duration::from_millis(200);
/// Maximum number of reports in a heartbeat, the most urgent tiers first: some 150 bytes.
pub const MAX_REPORTS: usize = 8;

/// What waits at one node for a pool, for its heartbeats: one report for each tier that waits, was
/// sent or is to return.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct BacklogReport {
    /// Short hash of the pool's name.
    pub pool: u64,
    /// Effective tier of the calls; 0 is the most urgent.
    pub tier: u8,
    /// Number of waiting calls that can still meet their target.
    pub timely: u32,
    /// Number of waiting calls that cannot.
    pub late: u32,
    /// Time until the first timely call can no longer meet its target, in ms; 0 if there is none.
    pub slack_ms: u32,
    /// Number of callers that were told to return and have not yet.
    pub returning: u32,
    /// Number of calls of the tier that were sent in the last second.
    pub sent: u32,
}

/// Short hash that identifies a pool in reports.
pub fn pool_hash(pool: &str) -> u64 {
    short_hash(pool)
}

impl BacklogReport {
    /// The report as it is likely to be after `age`: the first timely call may be late by now.
    #[must_use]
    pub fn aged(mut self, age: Duration) -> Self {
        if self.timely > 0 && Duration::from_millis(self.slack_ms.into()) <= age {
            self.timely -= 1;
            self.late += 1;
            self.slack_ms = 0;
        }
        self
    }

    /// Most urgent class that waits; `None` if no call does.
    fn first_class(&self) -> Option<WaitClass> {
        let late = self.timely == 0;
        let tier = self.tier;
        (self.timely + self.late > 0).then_some(WaitClass { tier, late })
    }
}

/// Order of waiting calls among all nodes: by tier, then those that can still meet their target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitClass {
    /// Effective tier of the calls; 0 is the most urgent.
    pub tier: u8,
    /// Whether they can no longer meet their target.
    pub late: bool,
}

/// Whether every waiting call of a node with these reports goes after calls of this class. `false`
/// if none waits there, as the next to arrive may be urgent.
pub fn yields_to(reports: &[BacklogReport], pool: u64, class: WaitClass) -> bool {
    let reports = reports.iter().filter(|report| report.pool == pool);
    let first = reports.filter_map(BacklogReport::first_class).min();
    first.is_some_and(|first| first > class)
}

/// Calls of one tier at several nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Add, AddAssign)]
pub struct TierBacklog {
    /// Number of waiting calls that can still meet their target.
    pub timely: u32,
    /// Number of waiting calls that cannot.
    pub late: u32,
    /// Number of callers that were told to return and have not yet.
    pub returning: u32,
    /// Number of calls that were sent in the last second.
    pub sent: u32,
}

/// Calls for one pool at several nodes, by tier.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetBacklog {
    tiers: BTreeMap<u8, TierBacklog>,
}

impl FromIterator<BacklogReport> for FleetBacklog {
    fn from_iter<T: IntoIterator<Item = BacklogReport>>(reports: T) -> Self {
        let mut backlog = Self::default();
        for report in reports {
            *backlog.tiers.entry(report.tier).or_default() += TierBacklog {
                timely: report.timely,
                late: report.late,
                returning: report.returning,
                sent: report.sent,
            };
        }
        backlog
    }
}

impl FleetBacklog {
    /// Number of waiting calls that go before calls of this class.
    pub fn before(&self, class: WaitClass) -> u32 {
        let own = self.tiers.get(&class.tier).filter(|_| class.late);
        let timely = own.map_or(0, |tier| tier.timely);
        let urgent = self.tiers.range(..class.tier);
        timely + urgent.map(|(_, tier)| tier.timely + tier.late).sum::<u32>()
    }

    /// Sum of the calls of this tier and of all that are more urgent: what is in front of a new call
    /// of the tier, and how fast it is sent.
    pub fn through(&self, tier: u8) -> TierBacklog {
        let tiers = self.tiers.range(..=tier);
        tiers.fold(TierBacklog::default(), |sum, (_, tier)| sum + *tier)
    }

    /// Each tier with its calls, the most urgent first.
    pub fn tiers(&self) -> impl Iterator<Item = (u8, TierBacklog)> {
        self.tiers.iter().map(|(tier, calls)| (*tier, *calls))
    }
}

/// Places in a pool that are free for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreePlaces {
    /// Upstream that the call would be sent to.
    pub upstream: UpstreamKey,
    /// Number of free places at all upstreams of the pool.
    pub count: u32,
}

/// Places that one waiting call left to calls at other nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlaceYield {
    began_at: Option<Duration>,
    place: Option<(UpstreamKey, Duration)>,
}

impl PlaceYield {
    /// Whether a call of this class may take one of the free places, with what waits at other nodes:
    /// if there are more places than the calls before it need, or if these have left the place at
    /// the same upstream free for `YIELD_TIME`.
    pub fn may_go(
        &mut self,
        class: WaitClass,
        others: &FleetBacklog,
        free: FreePlaces,
        now: Duration,
    ) -> bool {
        let before = others.before(class);
        if before == 0 || free.count > before {
            return true;
        }
        let place = self
            .place
            .filter(|(upstream, _)| *upstream == free.upstream);
        let (_, since) = *self.place.insert(place.unwrap_or((free.upstream, now)));
        self.began_at.get_or_insert(now);
        now >= since + YIELD_TIME
    }

    /// Whether it left a place for `YIELD_TIME` in vain.
    pub fn was_in_vain(&self, now: Duration) -> bool {
        self.place
            .is_some_and(|(_, since)| now >= since + YIELD_TIME)
    }

    /// Records that no place is free.
    pub fn none_free(&mut self) {
        self.place = None;
    }

    /// Time since the call first left a place to others; `None` if it left none.
    pub fn duration(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.began_at?))
    }
}
