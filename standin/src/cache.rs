//! A prompt-prefix cache: blocks of a prompt, least recently used first out.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::answer::{BLOCK_BYTES, TOKEN_BYTES};

/// Events kept for readers.
const KEPT_EVENTS: usize = 10_000;

/// A change of what the cache holds.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CacheEvent {
    /// Hash of the block and everything before it, in hexadecimal.
    prefix: String,
    /// Whether it is held now.
    held: bool,
}

/// Events from one offset on.
#[derive(Debug, Serialize)]
pub(crate) struct CacheEventPage {
    /// Where to read on.
    next: u64,
    /// The events; some are missing.
    events: Vec<CacheEvent>,
}

struct TimedEvent {
    sequence: u64,
    shown_at: Instant,
    event: CacheEvent,
}

/// Blocks of prompts that the engine need not work through again.
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
    /// A cache of `limit` blocks. Events show after `event_delay`; each `event_gap`th is left out
    /// (0 leaves out none).
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

    /// Forgets everything, as a restart does; no events tell of it.
    pub(crate) fn clear(&mut self) {
        self.last_used.clear();
        self.by_use.clear();
    }

    /// Takes a prompt in and gives the number of its tokens that were already held.
    pub(crate) fn enter(&mut self, prompt: &str, now: Instant) -> u32 {
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

    /// Marks a block as used now; tells whether it was held.
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
            shown_at: now + self.event_delay,
            event: CacheEvent {
                prefix: format!("{block:016x}"),
                held,
            },
        });
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// The events from `from` on that show by now.
    pub(crate) fn events(&self, from: u64, now: Instant) -> CacheEventPage {
        let shown: Vec<&TimedEvent> = self
            .events
            .iter()
            .filter(|timed| timed.sequence >= from && timed.shown_at <= now)
            .collect();
        CacheEventPage {
            next: shown.last().map_or(from, |timed| timed.sequence + 1),
            events: shown.iter().map(|timed| timed.event.clone()).collect(),
        }
    }
}
