//! Limits how many large responses a node sends to other nodes at a time.

use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of concurrent large responses: what a link of 10 Mbit/s can transfer at the
/// minimum rate that receivers wait for, and a little less.
const MAX_TRANSFERS: usize = 8;
/// Time after which a response no longer counts: its receiver has stopped reading or is frozen.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(10);

/// Identifies a response that is being sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TransferKey(u64);

/// Large responses that are being sent, by start time.
#[derive(Clone, Debug, Default)]
pub struct TransferList {
    started: BTreeMap<TransferKey, Duration>,
    next_key: u64,
}

impl TransferList {
    /// Whether no further response may start now.
    pub fn is_full(&self, now: Duration) -> bool {
        let live = |since: &&Duration| now < **since + MAX_TRANSFER_TIME;
        self.started.values().filter(live).count() >= MAX_TRANSFERS
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
