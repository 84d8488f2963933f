//! The lease on the platform's duties: calls that one node at a time may make.
//!
//! Its records stand in a topic of the platform's log and are appended on condition of where the topic
//! ends, so a claim that stands was made with all earlier records known. The log may come back from an
//! older copy, which begins a new *era*: its offsets are then given out again, those of the eras before
//! count for nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, NodeId};
use crate::leases::lease::{HeldLease, LeaseState, LeaseTerms};
use crate::record::{LeaseHead, LeaseRecord};

/// Part of the lease that its holder leaves unused.
const DRIFT_MARGIN: Duration = Duration::from_millis(300);
/// Longest time that a call of a duty may be under way. Its connection is reset after that.
pub const CALL_FLIGHT: Duration = Duration::from_millis(900);
/// Time after which a claim without an answer is sent again.
const CLAIM_WAIT: Duration = Duration::from_millis(600);
/// Bits of a position that are the offset: 4 billion records in an era, and 2 million eras in the
/// integers that JSON carries exactly.
const OFFSET_BITS: u32 = 32;

/// Stands for the holder of a lease whose record is known from heartbeats only.
const NOT_READ: NodeId = NodeId(0);

/// A record of the lease in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    /// Who claims or renews it.
    pub lease: LeaseRecord,
    /// The era in which it was appended.
    pub era: u64,
    /// The first window whose usage no earlier era can have reported.
    pub first_window: u64,
    /// Engines that the holder decided on, by pool.
    pub engines: BTreeMap<Box<str>, u32>,
}

/// What a read of the topic showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyTopic {
    /// The store's era.
    pub era: u64,
    /// Where the topic ends.
    pub end: u64,
    /// The lease's newest record and its offset.
    pub newest: Option<(u64, DutyRecord)>,
}

/// Records to be appended where the topic is known to end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyClaim {
    /// Where it ends.
    pub at: u64,
    /// The lease's new record.
    pub record: DutyRecord,
}

/// Stands for an offset of an era. Positions only grow, also when offsets fall back.
fn position(era: u64, offset: u64) -> u64 {
    era << OFFSET_BITS | offset
}

/// The fencing token under a lease; 0 is none's.
fn token_of(held: HeldLease) -> u64 {
    held.claim_offset + 1
}

/// What this node knows of the lease on duties. Its times are those of a clock that goes on while the
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
    /// The lease as a node knows it that starts. `length` is the platform's bound on how soon holders
    /// may take turns.
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

    /// Takes in the era that any answer of the store shows. Gives whether a new one began: then nothing
    /// is held, and a whole lease is waited out. `window` is the first that begins after now.
    pub fn see_era(&mut self, era: u64, window: u64, now: Duration) -> bool {
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

    /// Takes in a read of the topic; one of an earlier era counts for nothing.
    pub fn see_topic(&mut self, topic: &DutyTopic, now: Duration, random: &mut Pcg64Mcg) {
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
        self.see(*offset, record, now, random);
        if self.claimed(now).is_none() {
            self.engines = record.engines.clone();
        }
        let is_own = record.lease.node == self.node && record.lease.incarnation == self.incarnation;
        if is_own {
            self.read_back = Some(position(topic.era, *offset));
        }
    }

    fn see(&mut self, offset: u64, record: &DutyRecord, now: Duration, random: &mut Pcg64Mcg) {
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

    /// Whether the topic has to be read before anything can be appended, or done under a claim.
    pub fn needs_read(&self, now: Duration) -> bool {
        let unread = |held: HeldLease| self.read_back.is_none_or(|at| at < held.claim_offset);
        self.end.is_none() || self.state.held(now).is_some_and(unread)
    }

    /// Has the lease renewed with the next claim: there is something to write down with it.
    pub fn renew_now(&mut self, now: Duration) {
        self.state.renew_now(now);
    }

    /// The record that claims or renews the lease, if it is time for one.
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

    /// The claim was appended, with other records behind it, so that the topic ends at `end` now.
    pub fn appended(
        &mut self,
        claim: &DutyClaim,
        era: u64,
        end: u64,
        now: Duration,
        random: &mut Pcg64Mcg,
    ) {
        if self.era != Some(era) || claim.record.era != era {
            // It stands in an era in which it was not made.
            self.end = None;
            return;
        }
        self.end = Some(end);
        self.see(claim.at, &claim.record, now, random);
    }

    /// The topic ended elsewhere, so the claim does not stand.
    pub fn refused(&mut self) {
        self.end = None;
        self.state.claim_rejected();
    }

    /// Has the log read again before anything more is done: a claim without an answer may stand, or may
    /// stand later; a call that was turned away may have been overtaken by another holder's.
    pub fn read_again(&mut self) {
        self.end = None;
    }

    /// The platform has seen a higher fencing token: nothing is held any more.
    pub fn fenced(&mut self, now: Duration) {
        self.end = None;
        self.read_back = None;
        self.state.reset(now);
    }

    /// The fencing token of this node's claim, if it holds the lease; it may not act yet.
    pub fn claimed(&self, now: Duration) -> Option<u64> {
        self.state.held(now).map(token_of)
    }

    /// The fencing token of calls that are sent now, if this node may send any: it holds the lease, has
    /// read what the holders before it wrote, and the last call of each of them has ended.
    pub fn token(&self, now: Duration) -> Option<u64> {
        let held = self.state.held(now)?;
        let is_free = now >= self.state.quiet_until() && !self.needs_read(now);
        is_free.then_some(token_of(held))
    }

    /// Engines that the holder before this one decided on, by pool, or this one did.
    pub fn engines(&self) -> &BTreeMap<Box<str>, u32> {
        &self.engines
    }

    /// Notes how many engines this holder decides on; the next renewal writes it down.
    pub fn decide_engines(&mut self, pool: &str, total: u32) {
        self.engines.insert(pool.into(), total);
    }

    /// The lease's newest record, as a position in the log; none if none is known.
    pub fn newest(&self) -> Option<u64> {
        self.state.newest_offset()
    }

    /// Takes in the lease's newest record as another node's heartbeat names it. It counts as if it was read
    /// now, so that a node need not read the log to know how long the lease lasts.
    pub fn observe(&mut self, newest: u64, window: u64, now: Duration, random: &mut Pcg64Mcg) {
        self.see_era(newest >> OFFSET_BITS, window, now);
        if self.era != Some(newest >> OFFSET_BITS) {
            return;
        }
        let head = LeaseHead {
            offset: newest,
            record: LeaseRecord {
                node: NOT_READ,
                incarnation: Incarnation(0),
                follows: 0,
                length: self.state.terms().length,
            },
        };
        let (node, incarnation) = (self.node, self.incarnation);
        self.state.apply(&head, node, incarnation, now, random);
    }

    /// The first window whose usage no earlier era can have reported.
    pub fn first_window(&self) -> u64 {
        self.first_window
    }
}
