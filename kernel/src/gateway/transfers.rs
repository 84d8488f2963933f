//! How many large answers a node sends to others at a time.

use std::collections::BTreeMap;
use std::time::Duration;

/// Large answers that are sent at a time: what a link of 10 Mbit/s carries at the least pace at which an
/// answer is waited for, and a little less.
const MOST_TRANSFERS: usize = 8;
/// Time after which an answer no longer counts: whoever still takes it has stopped to read, or is frozen.
const LONGEST_TRANSFER: Duration = Duration::from_secs(10);

/// An answer that is being sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TransferKey(u64);

/// The large answers that are being sent, by when each began.
#[derive(Clone, Debug, Default)]
pub struct TransferList {
    begun: BTreeMap<TransferKey, Duration>,
    next_key: u64,
}

impl TransferList {
    /// Whether no more may begin now.
    pub fn is_full(&self, now: Duration) -> bool {
        let live = |since: &&Duration| now < **since + LONGEST_TRANSFER;
        self.begun.values().filter(live).count() >= MOST_TRANSFERS
    }

    /// Begins to send an answer, unless there are as many as may be.
    pub fn begin(&mut self, now: Duration) -> Option<TransferKey> {
        if self.is_full(now) {
            return None;
        }
        let key = TransferKey(self.next_key);
        self.next_key += 1;
        self.begun.insert(key, now);
        Some(key)
    }

    /// An answer is sent, or its connection is gone.
    pub fn end(&mut self, key: TransferKey) {
        self.begun.remove(&key);
    }
}
