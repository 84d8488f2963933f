//! Updates to be sent: at once to the group or to other zones, and piggybacked on probes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{NodeId, UpstreamId, ZoneId};

/// Number of probes and acknowledgements that carry each update.
const PIGGYBACK_COUNT: u8 = 4;
/// Maximum number of updates in one probe or acknowledgement.
const UPDATES_PER_PROBE: usize = 6;
/// Maximum number of updates in one separate message.
const UPDATES_PER_MESSAGE: usize = 32;
/// Capacity of the token bucket, in messages.
const BURST_MESSAGES: f64 = 128.0;
/// Refill rate of the token bucket, in messages per second.
const MESSAGES_PER_SECOND: f64 = 10.0;

/// Subject of an update. Its content is looked up when it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateKey {
    /// The record of a node.
    Node(NodeId),
    /// The mark on an upstream.
    Upstream(UpstreamId),
    /// The mark on a zone.
    Zone(ZoneId),
}

/// Receivers of an update that is sent at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateAudience {
    /// All nodes of this node's group.
    pub group: bool,
    /// One bridge of every other zone.
    pub other_zones: bool,
}

#[derive(Clone, Copy, Debug)]
struct PendingUpdate {
    piggybacks_left: u8,
    audience: UpdateAudience,
    group_after: Duration,
}

/// Queue of updates to be sent, with a rate limit on separate messages.
#[derive(Debug)]
pub struct UpdateOutbox {
    pending: BTreeMap<UpdateKey, PendingUpdate>,
    tokens: f64,
    refilled_at: Duration,
}

impl Default for UpdateOutbox {
    fn default() -> Self {
        Self {
            pending: BTreeMap::new(),
            tokens: BURST_MESSAGES,
            refilled_at: Duration::ZERO,
        }
    }
}

impl UpdateOutbox {
    /// Number of updates that are not fully sent.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether all updates are fully sent.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Queues an update; it is sent to the group at `group_after` or later.
    pub fn add(&mut self, key: UpdateKey, audience: UpdateAudience, group_after: Duration) {
        let entry = self.pending.entry(key).or_insert(PendingUpdate {
            piggybacks_left: PIGGYBACK_COUNT,
            audience,
            group_after,
        });
        entry.piggybacks_left = PIGGYBACK_COUNT;
        entry.group_after = group_after;
        entry.audience.group |= audience.group;
        entry.audience.other_zones |= audience.other_zones;
    }

    /// Records that another node sent this update to the group.
    pub fn mark_group_informed(&mut self, key: UpdateKey) {
        if let Some(update) = self.pending.get_mut(&key) {
            update.audience.group = false;
        }
    }

    /// Takes updates to piggyback on one probe or acknowledgement.
    pub fn take_piggyback(&mut self) -> Vec<UpdateKey> {
        let keys: Vec<UpdateKey> = self
            .pending
            .iter()
            .filter(|(_, update)| update.piggybacks_left > 0)
            .map(|(key, _)| *key)
            .take(UPDATES_PER_PROBE)
            .collect();
        for key in &keys {
            if let Some(update) = self.pending.get_mut(key) {
                update.piggybacks_left -= 1;
            }
        }
        self.drop_sent();
        keys
    }

    /// Takes updates for the group, if the rate limit permits `receivers` messages now.
    pub fn take_group(&mut self, receivers: usize, now: Duration) -> Vec<UpdateKey> {
        self.take(receivers, now, |update| {
            let due = now >= update.group_after;
            due.then_some(&mut update.audience.group)
        })
    }

    /// Takes updates for other zones, if the rate limit permits `receivers` messages now.
    pub fn take_other_zones(&mut self, receivers: usize, now: Duration) -> Vec<UpdateKey> {
        self.take(receivers, now, |update| {
            Some(&mut update.audience.other_zones)
        })
    }

    fn take(
        &mut self,
        receivers: usize,
        now: Duration,
        flag: impl Fn(&mut PendingUpdate) -> Option<&mut bool>,
    ) -> Vec<UpdateKey> {
        let pending = self
            .pending
            .values_mut()
            .any(|update| flag(update).is_some_and(|pending| *pending));
        if !pending || !self.take_tokens(receivers, now) {
            return Vec::new();
        }
        let mut keys = Vec::new();
        for (key, update) in &mut self.pending {
            let Some(pending) = flag(update) else {
                continue;
            };
            if *pending && keys.len() < UPDATES_PER_MESSAGE {
                *pending = false;
                keys.push(*key);
            }
        }
        self.drop_sent();
        keys
    }

    fn take_tokens(&mut self, messages: usize, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * MESSAGES_PER_SECOND).min(BURST_MESSAGES);
        if self.tokens < (messages as f64).min(BURST_MESSAGES) {
            return false;
        }
        self.tokens -= messages as f64;
        true
    }

    fn drop_sent(&mut self) {
        self.pending.retain(|_, update| {
            update.piggybacks_left > 0 || update.audience != UpdateAudience::default()
        });
    }
}
