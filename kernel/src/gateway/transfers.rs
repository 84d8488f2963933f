//! Limits how many large responses a node sends to other nodes at a time.

use std::collections::BTreeMap;
use std::time::Duration;

/// Number of concurrent large responses for each Mbit/s of the link: as many as it can transfer at
/// the minimum rate that receivers wait for, and a little less.
const TRANSFERS_PER_MBPS: f64 = 0.8;
/// Maximum number of concurrent large responses, each of which takes a descriptor and buffers.
const MAX_TRANSFERS: f64 = 64.0;
/// Time after which a response no longer counts: its receiver has stopped reading or is frozen.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(10);

/// Identifies a response that is being sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TransferKey(u64);

/// Large responses that are being sent, by start time.
#[derive(Clone, Debug)]
pub struct TransferList {
    limit: usize,
    started: BTreeMap<TransferKey, Duration>,
    next_key: u64,
}

impl TransferList {
    /// Creates the list of a node whose link transfers this many Mbit/s.
    pub fn new(link_mbps: f64) -> Self {
        let limit = (TRANSFERS_PER_MBPS * link_mbps).clamp(1.0, MAX_TRANSFERS);
        Self {
            limit: limit as usize,
            started: BTreeMap::new(),
            next_key: 0,
        }
    }

    /// Whether no further response may start now.
    pub fn is_full(&self, now: Duration) -> bool {
        let live = |since: &&Duration| now < **since + MAX_TRANSFER_TIME;
        self.started.values().filter(live).count() >= self.limit
    }

    /// Registers the start of a response; `None` if the maximum is reached.
    pub fn begin(&mut self, now: Duration) -> Option<TransferKey> {
        if self.is_full(now) {
            return None;
        }
        let key = TransferKey(self.next_key);
        self.next_key += 1;
        self.started.insert(key, now);
        Some(key)
    }

    /// Removes a response that was sent or whose connection was closed.
    pub fn end(&mut self, key: TransferKey) {
        self.started.remove(&key);
    }
}
