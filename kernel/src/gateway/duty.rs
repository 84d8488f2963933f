//! The lease on the platform's duties: requests to the platform that one node at a time may send.
//!
//! Its records are in a topic of the platform's log. They are appended on condition that the topic
//! ends at a given offset, so an accepted claim was made with all earlier records known. The log
//! may be restored from an older copy, which begins a new *era*: offsets are then assigned again,
//! and those of earlier eras are invalid.

use std::collections::BTreeMap;
use std::time::Duration;

use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, NodeId};
use crate::leases::lease::{HeldLease, LeaseState, LeaseTerms};
use crate::record::{LeaseHead, LeaseRecord};

/// Final part of the lease that its holder does not use, as a margin for clock drift.
const DRIFT_MARGIN: Duration = Duration::from_millis(300);
/// Maximum time that a duty's request may be in flight. Its connection is reset after that.
pub const CALL_FLIGHT: Duration = Duration::from_millis(900);
/// Time after which an unanswered claim is sent again.
const CLAIM_WAIT: Duration = Duration::from_millis(600);
/// Bits of a position that contain the offset: 4 billion records in an era, and 2 million eras in
/// the integers that JSON represents exactly.
const OFFSET_BITS: u32 = 32;

/// Placeholder for the holder of a lease whose record was received in heartbeats but not read.
const UNREAD_HOLDER: NodeId = NodeId(0);

/// A record of the lease in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    /// Claim or renewal of the lease.
    pub lease: LeaseRecord,
    /// Era in which the record was appended.
    pub era: u64,
    /// First usage window that no earlier era can have reported.
    pub first_window: u64,
    /// Number of engines that the holder decided on, by pool.
    pub engines: BTreeMap<Box<str>, u32>,
}

/// Result of reading the topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyTopic {
    /// Era of the store.
    pub era: u64,
    /// Offset at which the topic ends.
    pub end: u64,
    /// Offset and content of the lease's newest record; `None` if the topic has none.
    pub newest: Option<(u64, DutyRecord)>,
}

/// A record to append if the topic still ends at the known offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyClaim {
    /// Offset at which the topic has to end.
    pub at: u64,
    /// New record of the lease.
    pub record: DutyRecord,
}

/// Combines an era and an offset. Positions only increase, even when offsets restart in a new era.
fn position(era: u64, offset: u64) -> u64 {
    era << OFFSET_BITS | offset
}

/// Fencing token of a held lease, always above 0, which means no holder.
fn token_of(held: HeldLease) -> u64 {
    held.claim_offset + 1
}

/// This node's view of the lease on duties. All times are those of a clock that continues while the
/// host is suspended.
#[derive(Clone, Debug)]
pub struct DutyLease {
    node: NodeId,
    incarnation: Incarnation,
    state: LeaseState,
    era: Option<u64>,
    end: Option<u64>,
    first_window: u64,
    engines: BTreeMap<Box<str>, u32>,
    read_back: Option<u64>,
}

impl DutyLease {
    /// Creates the view of a node that starts. `length` is the platform's lower bound on the time
    /// between two holders.
    pub fn new(node: NodeId, incarnation: Incarnation, length: Duration) -> Self {
        let terms = LeaseTerms {
            length,
            drift_margin: DRIFT_MARGIN,
            flight: CALL_FLIGHT,
            claim_wait: CLAIM_WAIT,
        };
        Self {
            node,
            incarnation,
            state: LeaseState::new(terms),
            era: None,
            end: None,
            first_window: 0,
            engines: BTreeMap::new(),
            read_back: None,
        }
    }

    /// Records the era shown in any answer of the store and returns whether it is a new one. A new
    /// era ends a held lease, and a whole lease must pass before the next claim. `window` is the
    /// first usage window that begins after now.
    pub fn observe_era(&mut self, era: u64, window: u64, now: Duration) -> bool {
        if self.era.is_some_and(|known| known >= era) {
            return false;
        }
        self.era = Some(era);
        self.end = None;
        self.first_window = window;
        self.read_back = None;
        self.state.reset(now);
        true
    }

    /// Records a read of the topic; one of an earlier era is ignored.
    pub fn observe_topic(&mut self, topic: &DutyTopic, now: Duration, random: &mut Pcg64Mcg) {
        if self.era != Some(topic.era) {
            return;
        }
        self.end = Some(topic.end);
        let Some((offset, record)) = &topic.newest else {
            return;
        };
        if record.era == topic.era {
            self.first_window = record.first_window;
        }
        self.observe_record(*offset, record, now, random);
        if self.claimed(now).is_none() {
            self.engines = record.engines.clone();
        }
        let is_own = record.lease.node == self.node && record.lease.incarnation == self.incarnation;
        if is_own {
            self.read_back = Some(position(topic.era, *offset));
        }
    }

    fn observe_record(
        &mut self,
        offset: u64,
        record: &DutyRecord,
        now: Duration,
        random: &mut Pcg64Mcg,
    ) {
        let Some(era) = self.era else {
            return;
        };
        let head = LeaseHead {
            offset: position(era, offset),
            record: record.lease.clone(),
        };
        let (node, incarnation) = (self.node, self.incarnation);
        self.state.apply(&head, node, incarnation, now, random);
    }

    /// Whether the topic has to be read before anything can be appended or the duties be performed
    /// under a claim.
    pub fn needs_read(&self, now: Duration) -> bool {
        let unread = |held: HeldLease| self.read_back.is_none_or(|at| at < held.claim_offset);
        self.end.is_none() || self.state.held(now).is_some_and(unread)
    }

    /// Makes the next claim renew the lease at once, as there is data to persist with it.
    pub fn renew_now(&mut self, now: Duration) {
        self.state.renew_now(now);
    }

    /// Record that claims or renews the lease; `None` if none is due or the topic is unread.
    pub fn claim(&mut self, now: Duration) -> Option<DutyClaim> {
        let (era, at) = (self.era?, self.end?);
        let lease = self.state.claim(self.node, self.incarnation, now)?;
        let record = self.record(era, lease);
        Some(DutyClaim { at, record })
    }

    fn record(&self, era: u64, lease: LeaseRecord) -> DutyRecord {
        DutyRecord {
            lease,
            era,
            first_window: self.first_window,
            engines: self.engines.clone(),
        }
    }

    /// Records that the claim was appended, with further records after it, so that the topic now
    /// ends at `end`.
    pub fn appended(
        &mut self,
        claim: &DutyClaim,
        era: u64,
        end: u64,
        now: Duration,
        random: &mut Pcg64Mcg,
    ) {
        if self.era != Some(era) || claim.record.era != era {
            // The record is in another era than the claim was made for.
            self.end = None;
            return;
        }
        self.end = Some(end);
        self.observe_record(claim.at, &claim.record, now, random);
    }

    /// Records that the claim was rejected because the topic ended at another offset.
    pub fn refused(&mut self) {
        self.end = None;
        self.state.claim_rejected();
    }

    /// Requires the log to be read before anything else is done: an unanswered claim may have been
    /// appended or still be, and a rejected request may mean that another holder took over.
    pub fn require_read(&mut self) {
        self.end = None;
    }

    /// Records that the platform received a higher fencing token, which ends a held lease.
    pub fn fenced(&mut self, now: Duration) {
        self.end = None;
        self.read_back = None;
        self.state.reset(now);
    }

    /// Fencing token of this node's claim if it holds the lease. The node may not send duty
    /// requests with it yet: see `token`.
    pub fn claimed(&self, now: Duration) -> Option<u64> {
        self.state.held(now).map(token_of)
    }

    /// Fencing token for duty requests sent now. `None` unless this node holds the lease, has read
    /// the records of earlier holders, and the last request of each of them has ended.
    pub fn token(&self, now: Duration) -> Option<u64> {
        let held = self.state.held(now)?;
        let is_free = now >= self.state.quiet_until() && !self.needs_read(now);
        is_free.then_some(token_of(held))
    }

    /// Number of engines that the previous holder or this one decided on, by pool.
    pub fn engines(&self) -> &BTreeMap<Box<str>, u32> {
        &self.engines
    }

    /// Sets the number of engines decided on for a pool, which the next renewal persists.
    pub fn decide_engines(&mut self, pool: &str, total: u32) {
        self.engines.insert(pool.into(), total);
    }

    /// Position of the lease's newest record in the log; `None` if none is known.
    pub fn newest(&self) -> Option<u64> {
        self.state.newest_offset()
    }

    /// Records the lease's newest record as received in another node's heartbeat. It counts as if
    /// it were read now, so a node need not read the log to know when the lease expires.
    pub fn observe(&mut self, newest: u64, window: u64, now: Duration, random: &mut Pcg64Mcg) {
        self.observe_era(newest >> OFFSET_BITS, window, now);
        if self.era != Some(newest >> OFFSET_BITS) {
            return;
        }
        let head = LeaseHead {
            offset: newest,
            record: LeaseRecord {
                node: UNREAD_HOLDER,
                incarnation: Incarnation(0),
                follows: 0,
                length: self.state.terms().length,
            },
        };
        let (node, incarnation) = (self.node, self.incarnation);
        self.state.apply(&head, node, incarnation, now, random);
    }

    /// First usage window that no earlier era can have reported.
    pub fn first_window(&self) -> u64 {
        self.first_window
    }
}
