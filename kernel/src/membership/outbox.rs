//! Updates to be sent: at once to the group or to other zones, and piggybacked on probes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{NodeId, UpstreamId, ZoneId};

/// Number of probes and acknowledgements that carry each update.
const RIDES: u8 = 4;
/// Maximum number of updates in one probe or acknowledgement.
const RIDES_PER_PROBE: usize = 6;
/// Maximum number of updates in one separate message.
const NEWS_PER_MESSAGE: usize = 32;
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
struct PendingNews {
    rides: u8,
    audience: UpdateAudience,
    group_after: Duration,
}

/// Queue of updates to be sent, with a rate limit on separate messages.
#[derive(Debug)]
pub struct UpdateOutbox {
    pending: BTreeMap<UpdateKey, PendingNews>,
    tokens: f64,
    filled: Duration,
}

impl Default for UpdateOutbox {
    fn default() -> Self {
        Self {
            pending: BTreeMap::new(),
            tokens: BURST_MESSAGES,
            filled: Duration::ZERO,
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
        let entry = self.pending.entry(key).or_insert(PendingNews {
            rides: RIDES,
            audience,
            group_after,
        });
        entry.rides = RIDES;
        entry.group_after = group_after;
        entry.audience.group |= audience.group;
        entry.audience.other_zones |= audience.other_zones;
    }

    /// Records that another node sent this update to the group.
    pub fn mark_group_informed(&mut self, key: UpdateKey) {
        if let Some(news) = self.pending.get_mut(&key) {
            news.audience.group = false;
        }
    }

    /// Takes updates to piggyback on one probe or acknowledgement.
    pub fn take_piggyback(&mut self) -> Vec<UpdateKey> {
        let keys: Vec<UpdateKey> = self
            .pending
            .iter()
            .filter(|(_, news)| news.rides > 0)
            .map(|(key, _)| *key)
            .take(RIDES_PER_PROBE)
            .collect();
        for key in &keys {
            if let Some(news) = self.pending.get_mut(key) {
                news.rides -= 1;
            }
        }
        self.drop_told();
        keys
    }

    /// Takes updates for the group, if the rate limit permits `receivers` messages now.
    pub fn take_group(&mut self, receivers: usize, now: Duration) -> Vec<UpdateKey> {
        self.take(receivers, now, |news| {
            let due = now >= news.group_after;
            due.then_some(&mut news.audience.group)
        })
    }

    /// Takes updates for other zones, if the rate limit permits `receivers` messages now.
    pub fn take_other_zones(&mut self, receivers: usize, now: Duration) -> Vec<UpdateKey> {
        self.take(receivers, now, |news| Some(&mut news.audience.other_zones))
    }

    fn take(
        &mut self,
        receivers: usize,
        now: Duration,
        flag: impl Fn(&mut PendingNews) -> Option<&mut bool>,
    ) -> Vec<UpdateKey> {
        let wanted = self
            .pending
            .values_mut()
            .any(|news| flag(news).is_some_and(|wanted| *wanted));
        if !wanted || !self.spend(receivers, now) {
            return Vec::new();
        }
        let mut keys = Vec::new();
        for (key, news) in &mut self.pending {
            let Some(wanted) = flag(news) else {
                continue;
            };
            if *wanted && keys.len() < NEWS_PER_MESSAGE {
                *wanted = false;
                keys.push(*key);
            }
        }
        self.drop_told();
        keys
    }

    fn spend(&mut self, messages: usize, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + elapsed * MESSAGES_PER_SECOND).min(BURST_MESSAGES);
        if self.tokens < (messages as f64).min(BURST_MESSAGES) {
            return false;
        }
        self.tokens -= messages as f64;
        true
    }

    fn drop_told(&mut self) {
        self.pending
            .retain(|_, news| news.rides > 0 || news.audience != UpdateAudience::default());
    }
}
