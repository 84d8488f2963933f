//! Holding the lease: claims chained on the log, each with its offset as fencing number.
//!
//! The claimant counts a lease from before its append, everyone else from when they read it, so
//! the claimant's own end is never after anyone else's (C. Gray and D. Cheriton, "Leases", 1989).

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use crate::ids::{Incarnation, NodeId};
use crate::record::{LeaseHead, LeaseRecord};

/// How long a lease holds.
pub const LEASE_LENGTH: Duration = Duration::from_secs(15);

/// Part of a lease that its holder leaves unused, for clocks that run at different rates.
const DRIFT_MARGIN: Duration = Duration::from_secs(1);

/// The longest time that an order may go on taking effect after it was sent: its edge gives up the
/// request after this.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a claim may take to be read back before it is sent again.
const CLAIM_WAIT: Duration = Duration::from_secs(3);

/// Times that the holder and all claimants of a lease have to agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// How long it holds.
    pub length: Duration,
    /// Part that its holder leaves unused, for clocks that run at different rates.
    pub drift_margin: Duration,
    /// Longest time that an order may go on taking effect after it was sent.
    pub flight: Duration,
    /// How long a claim may take to be read back before it is sent again.
    pub claim_wait: Duration,
}

impl Default for LeaseTerms {
    fn default() -> Self {
        Self {
            length: LEASE_LENGTH,
            drift_margin: DRIFT_MARGIN,
            flight: ORDER_TIMEOUT,
            claim_wait: CLAIM_WAIT,
        }
    }
}

/// A lease that this node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The offset of its newest record.
    pub fencing: u64,
    /// The offset of the claim since which no other node has held it.
    pub claim_offset: u64,
    /// The time from which no order may be given under it.
    pub until: Duration,
}

#[derive(Clone, Debug)]
struct PendingClaim {
    follows: u64,
    first_sent: Duration,
    again_at: Duration,
}

fn is_of(head: &LeaseHead, node: NodeId, incarnation: Incarnation) -> bool {
    head.record.node == node && head.record.incarnation == incarnation
}

/// What this node knows of the lease.
#[derive(Clone, Debug, Default)]
pub struct LeaseState {
    terms: LeaseTerms,
    head: Option<LeaseHead>,
    lapses: Duration,
    quiet_until: Duration,
    held: Option<HeldLease>,
    claim_offset: u64,
    claim: Option<PendingClaim>,
    renew_at: Duration,
}

impl LeaseState {
    /// What a node knows that has not read the log yet.
    pub fn new(terms: LeaseTerms) -> Self {
        Self {
            terms,
            ..Self::default()
        }
    }

    /// Its times.
    pub fn terms(&self) -> LeaseTerms {
        self.terms
    }

    /// The offset of the newest record that is known.
    pub fn newest_offset(&self) -> Option<u64> {
        self.head.as_ref().map(|head| head.offset)
    }

    /// Forgets all records, as those that were read may not stand any more, and waits as if another
    /// node had just renewed the lease.
    pub fn reset(&mut self, now: Duration) {
        *self = Self {
            terms: self.terms,
            lapses: now + self.terms.length,
            quiet_until: now + self.terms.length + self.terms.flight,
            ..Self::default()
        };
    }

    /// A valid lease record was folded at `now`.
    pub fn apply(
        &mut self,
        head: &LeaseHead,
        node: NodeId,
        incarnation: Incarnation,
        now: Duration,
        random: &mut Pcg64Mcg,
    ) {
        if self
            .head
            .as_ref()
            .is_some_and(|known| head.offset <= known.offset)
        {
            return;
        }
        let own = is_of(head, node, incarnation);
        let follows_own = |known: &LeaseHead| is_of(known, node, incarnation);
        if own && !self.head.as_ref().is_some_and(follows_own) {
            self.claim_offset = head.offset;
        }
        if own {
            self.take(head, random);
        } else {
            self.held = None;
            let quiet_until = now + head.record.length + self.terms.flight;
            self.quiet_until = self.quiet_until.max(quiet_until);
        }
        self.lapses = now + head.record.length;
        self.claim = None;
        self.head = Some(head.clone());
    }

    fn take(&mut self, head: &LeaseHead, random: &mut Pcg64Mcg) {
        // A record of this node that it did not send as its pending claim was sent before: when
        // is not known any more, so nothing is held under it.
        let sent = self
            .claim
            .as_ref()
            .filter(|claim| claim.follows == head.record.follows)
            .map(|claim| claim.first_sent);
        let Some(sent) = sent.filter(|_| !head.record.length.is_zero()) else {
            self.held = None;
            return;
        };
        self.held = Some(HeldLease {
            fencing: head.offset,
            claim_offset: self.claim_offset,
            until: sent + head.record.length.saturating_sub(self.terms.drift_margin),
        });
        self.renew_at = sent + head.record.length.mul_f64(random.random_range(0.4..0.6));
    }

    /// The lease that this node holds at this moment.
    pub fn held(&self, now: Duration) -> Option<HeldLease> {
        self.held.filter(|held| now < held.until)
    }

    /// The node whose lease has not lapsed by this node's clock.
    pub fn holder(&self, now: Duration) -> Option<NodeId> {
        self.head
            .as_ref()
            .filter(|_| now < self.lapses)
            .map(|head| head.record.node)
    }

    /// Whether another node, or an earlier run of this one, may hold the lease.
    pub fn is_held_by_other(&self, node: NodeId, incarnation: Incarnation, now: Duration) -> bool {
        let other = |head: &LeaseHead| !is_of(head, node, incarnation);
        now < self.lapses && self.head.as_ref().is_some_and(other)
    }

    /// A claim stands nowhere on the log: the next one is a new one.
    pub fn claim_rejected(&mut self) {
        self.claim = None;
    }

    /// The end of what an earlier holder's orders can still do at an upstream that does not check
    /// fencing numbers.
    pub fn quiet_until(&self) -> Duration {
        self.quiet_until
    }

    /// Has the lease renewed with the next claim.
    pub fn renew_now(&mut self, now: Duration) {
        self.renew_at = self.renew_at.min(now);
    }

    /// For the state dump.
    pub fn dump(&self) -> Value {
        json!({
            "holder": self.head.as_ref().map(|head| head.record.node.to_string()),
            "fencing": self.head.as_ref().map(|head| head.offset),
            "lapses": self.lapses,
            "held_until": self.held.map(|held| held.until),
            "quiet_until": self.quiet_until,
        })
    }

    /// The record that claims or renews the lease, if it is time for one.
    pub fn claim(
        &mut self,
        node: NodeId,
        incarnation: Incarnation,
        now: Duration,
    ) -> Option<LeaseRecord> {
        let renewing = self.held(now).is_some();
        if renewing && now < self.renew_at {
            return None;
        }
        let unknown = self.head.is_none() && now < self.lapses;
        if unknown || self.is_held_by_other(node, incarnation, now) {
            return None;
        }
        let follows = self.head.as_ref().map_or(0, |head| head.offset + 1);
        let claim = self.claim.get_or_insert(PendingClaim {
            follows,
            first_sent: now,
            again_at: now,
        });
        if now < claim.again_at {
            return None;
        }
        claim.again_at = now + self.terms.claim_wait;
        Some(LeaseRecord {
            node,
            incarnation,
            follows,
            length: self.terms.length,
        })
    }

    /// The record that gives the lease up.
    pub fn release(
        &mut self,
        node: NodeId,
        incarnation: Incarnation,
        now: Duration,
    ) -> Option<LeaseRecord> {
        self.held(now)?;
        self.held = None;
        let head = self.head.as_ref()?;
        Some(LeaseRecord {
            node,
            incarnation,
            follows: head.offset + 1,
            length: Duration::ZERO,
        })
    }
}
