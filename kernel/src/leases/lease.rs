//! The state of a lease: claims chained on the log, whose offsets are the fencing tokens.
//!
//! The claimant counts a lease from before its append, and all other nodes from when they read it.
//! For the claimant it therefore never ends later than for anyone else (C. Gray and D. Cheriton,
//! "Leases", 1989).

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use crate::ids::{Incarnation, NodeId};
use crate::record::{LeaseHead, LeaseRecord};

/// Duration of the lease on sending orders.
pub const LEASE_LENGTH: Duration = Duration::from_secs(15);

/// Final part of a lease that its holder does not use, in case clocks run at different rates.
const DRIFT_MARGIN: Duration = Duration::from_secs(1);

/// Longest time for which an order may take effect after it was sent: the edge times out the
/// request after this.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a claim that was not read back is sent again.
const CLAIM_WAIT: Duration = Duration::from_secs(3);

/// Durations that the holder and all claimants of a lease must agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Duration of the lease.
    pub length: Duration,
    /// Final part that its holder does not use, in case clocks run at different rates.
    pub drift_margin: Duration,
    /// Longest time for which an order may take effect after it was sent.
    pub flight: Duration,
    /// Time after which a claim that was not read back is sent again.
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

/// A lease that belongs to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing token: the offset of the newest lease record.
    pub fencing: u64,
    /// Offset of the claim since which no other node has had the lease.
    pub claim_offset: u64,
    /// Time from which no order may be sent under it.
    pub until: Duration,
}

#[derive(Clone, Debug)]
struct PendingClaim {
    follows: u64,
    first_sent: Duration,
    resend_at: Duration,
}

fn is_of(head: &LeaseHead, node: NodeId, incarnation: Incarnation) -> bool {
    head.record.node == node && head.record.incarnation == incarnation
}

/// The lease as this node has read it from the log.
#[derive(Clone, Debug, Default)]
pub struct LeaseState {
    terms: LeaseTerms,
    head: Option<LeaseHead>,
    expires: Duration,
    quiet_until: Duration,
    held: Option<HeldLease>,
    claim_offset: u64,
    claim: Option<PendingClaim>,
    renew_at: Duration,
}

impl LeaseState {
    /// The state of a node that has not read the log yet.
    pub fn new(terms: LeaseTerms) -> Self {
        Self {
            terms,
            ..Self::default()
        }
    }

    /// The durations agreed for this lease.
    pub fn terms(&self) -> LeaseTerms {
        self.terms
    }

    /// Offset of the newest lease record that was read, or `None` before the first.
    pub fn newest_offset(&self) -> Option<u64> {
        self.head.as_ref().map(|head| head.offset)
    }

    /// Discards all records, since those that were read may no longer be in force, and waits as if
    /// another node had just renewed the lease.
    pub fn reset(&mut self, now: Duration) {
        *self = Self {
            terms: self.terms,
            expires: now + self.terms.length,
            quiet_until: now + self.terms.length + self.terms.flight,
            ..Self::default()
        };
    }

    /// Applies a valid lease record that was read at `now`.
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
            self.update_held(head, random);
        } else {
            self.held = None;
            let quiet_until = now + head.record.length + self.terms.flight;
            self.quiet_until = self.quiet_until.max(quiet_until);
        }
        self.expires = now + head.record.length;
        self.claim = None;
        self.head = Some(head.clone());
    }

    fn update_held(&mut self, head: &LeaseHead, random: &mut Pcg64Mcg) {
        // A record of this node that does not match its pending claim was sent earlier, at an
        // unknown time, so it grants nothing.
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

    /// This node's lease if it is valid at `now`.
    pub fn held(&self, now: Duration) -> Option<HeldLease> {
        self.held.filter(|held| now < held.until)
    }

    /// The node whose lease has not expired by this node's clock.
    pub fn holder(&self, now: Duration) -> Option<NodeId> {
        self.head
            .as_ref()
            .filter(|_| now < self.expires)
            .map(|head| head.record.node)
    }

    /// Whether another node, or an earlier run of this one, may have the lease.
    pub fn is_held_by_other(&self, node: NodeId, incarnation: Incarnation, now: Duration) -> bool {
        let other = |head: &LeaseHead| !is_of(head, node, incarnation);
        now < self.expires && self.head.as_ref().is_some_and(other)
    }

    /// Discards the pending claim, which is not on the log, so that the next one is new.
    pub fn claim_rejected(&mut self) {
        self.claim = None;
    }

    /// Time until which an earlier holder's orders may still take effect at an upstream that does
    /// not check fencing tokens.
    pub fn quiet_until(&self) -> Duration {
        self.quiet_until
    }

    /// Makes the lease due for renewal with the next claim.
    pub fn renew_now(&mut self, now: Duration) {
        self.renew_at = self.renew_at.min(now);
    }

    /// The lease's entry in the state dump.
    pub fn dump(&self) -> Value {
        json!({
            "holder": self.head.as_ref().map(|head| head.record.node.to_string()),
            "fencing": self.head.as_ref().map(|head| head.offset),
            "lapses": self.expires,
            "held_until": self.held.map(|held| held.until),
            "quiet_until": self.quiet_until,
        })
    }

    /// The record that claims or renews the lease, or `None` if none is due.
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
        let unknown = self.head.is_none() && now < self.expires;
        if unknown || self.is_held_by_other(node, incarnation, now) {
            return None;
        }
        let follows = self.head.as_ref().map_or(0, |head| head.offset + 1);
        let claim = self.claim.get_or_insert(PendingClaim {
            follows,
            first_sent: now,
            resend_at: now,
        });
        if now < claim.resend_at {
            return None;
        }
        claim.resend_at = now + self.terms.claim_wait;
        Some(LeaseRecord {
            node,
            incarnation,
            follows,
            length: self.terms.length,
        })
    }

    /// The record that releases the lease, or `None` if this node does not have it.
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
