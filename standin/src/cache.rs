//! Prompt-prefix cache: stores blocks of prompts and evicts the least recently used ones.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::answer::{BLOCK_BYTES, TOKEN_BYTES};

/// Maximum number of events that are kept for readers.
const MAX_EVENTS: usize = 10_000;

/// Insertion or eviction of a block.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEvent {
    /// Hash of the block and all blocks before it, in hexadecimal.
    prefix: String,
    /// Whether the block is in the cache after the event.
    held: bool,
}

/// Page of events from an offset.
#[derive(Debug, Serialize)]
pub(crate) struct CacheEventPage {
    /// Offset of the next page.
    next: u64,
    /// Events, some of which are missing if the cache is set up so.
    events: Vec<CacheEvent>,
}

struct TimedEvent {
    sequence: u64,
    visible_at: Instant,
    event: CacheEvent,
}

/// Blocks of prompts for which the engine needs no prefill.
pub(crate) struct PrefixCache {
    limit: usize,
    event_delay: Duration,
    event_gap: u64,
    clock: u64,
    last_used: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    sequence: u64,
    events: VecDeque<TimedEvent>,
}

impl PrefixCache {
    /// Creates a cache of `limit` blocks. Events become visible after `event_delay`; each `event_gap`th
    /// event is omitted (0 omits none).
    pub(crate) fn new(limit: usize, event_delay: Duration, event_gap: u64) -> Self {
        Self {
            limit,
            event_delay,
            event_gap,
            clock: 0,
            last_used: BTreeMap::new(),
            by_use: BTreeMap::new(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Removes all blocks without emitting events, as a restart does.
    pub(crate) fn clear(&mut self) {
        self.last_used.clear();
        self.by_use.clear();
    }

    /// Inserts a prompt and returns the number of its leading tokens that were already cached.
    pub(crate) fn insert(&mut self, prompt: &str, now: Instant) -> u32 {
        let mut hit_bytes = 0;
        let mut unbroken = true;
        let mut parent = 0;
        for block in prompt.as_bytes().chunks(BLOCK_BYTES) {
            parent = xxh3_64_with_seed(block, parent);
            let held = self.touch(parent);
            unbroken &= held;
            if unbroken {
                hit_bytes += block.len();
            }
            if !held {
                self.record(parent, true, now);
            }
        }
        self.evict(now);
        u32::try_from(hit_bytes / TOKEN_BYTES).unwrap_or(u32::MAX)
    }

    /// Marks a block as used now and returns whether it was cached.
    fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let before = self.last_used.insert(block, self.clock);
        if let Some(before) = before {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.clock, block);
        before.is_some()
    }

    fn evict(&mut self, now: Instant) {
        while self.last_used.len() > self.limit {
            let Some((_, block)) = self.by_use.pop_first() else {
                return;
            };
            self.last_used.remove(&block);
            self.record(block, false, now);
        }
    }

    fn record(&mut self, block: u64, held: bool, now: Instant) {
        let sequence = self.sequence;
        self.sequence += 1;
        if self.event_gap > 0 && sequence % self.event_gap == self.event_gap - 1 {
            return;
        }
        self.events.push_back(TimedEvent {
            sequence,
            visible_at: now + self.event_delay,
            event: CacheEvent {
                prefix: format!("{block:016x}"),
                held,
            },
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events from offset `from` that are visible at `now`.
    pub(crate) fn events(&self, from: u64, now: Instant) -> CacheEventPage {
        let visible: Vec<&TimedEvent> = self
            .events
            .iter()
            .filter(|timed| timed.sequence >= from && timed.visible_at <= now)
            .collect();
        CacheEventPage {
            next: visible.last().map_or(from, |timed| timed.sequence + 1),
            events: visible.iter().map(|timed| timed.event.clone()).collect(),
        }
    }
}
