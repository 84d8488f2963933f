//! Work that is at an upstream, as far as this node knows.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derive_more::{Add, AddAssign, Mul};
use serde::{Deserialize, Serialize};

use crate::gateway::prompt::{PromptPart, PromptShape};

/// Work of one node at one upstream.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Add, AddAssign, Mul, Serialize, Deserialize,
)]
pub struct WorkCount {
    /// Calls that were sent and have not ended.
    pub calls: u32,
    /// Streams among them whose pauses have to be the shortest of their pool.
    pub tight_streams: u32,
    /// Prompt tokens of those that have shown no token yet.
    pub prompt_tokens: u32,
    /// Tokens that all of them may come to hold in the KV cache.
    pub held_tokens: u32,
}

/// One call's part of an upstream's work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkItem {
    /// Prompt tokens that the upstream has to read.
    pub unread_tokens: u32,
    /// Tokens that the call may come to hold.
    pub held_tokens: u32,
    /// Whether its pauses have to be the shortest of its pool.
    pub tight: bool,
}

/// Time after which another node's word no longer counts: three of its longest pauses.
const WORD_AGE: Duration = Duration::from_millis(1500);

/// Time within which all other nodes that send calls hear of one: the longest pause between words.
const UNHEARD_TIME: Duration = Duration::from_millis(400);

/// Time for which an upstream is taken to keep a part of a prompt after its last use. Caches hold
/// some hundred prompts and drop what was used least lately; few parts rest this long.
const CACHE_AGE: Duration = Duration::from_secs(20);

/// Parts that are remembered before old ones are dropped: bounds memory to some 100 kB an upstream.
const MOST_PARTS: usize = 4096;

/// All work at an upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLoad {
    own: WorkCount,
    others: BTreeMap<Box<str>, (Duration, WorkCount)>,
    parts: BTreeMap<u64, Duration>,
    sent_at: VecDeque<Duration>,
}

impl UpstreamLoad {
    /// A call was sent.
    pub fn begin(&mut self, item: WorkItem) {
        self.own += WorkCount {
            calls: 1,
            tight_streams: u32::from(item.tight),
            prompt_tokens: item.unread_tokens,
            held_tokens: item.held_tokens,
        };
    }

    /// Notes when a call was sent.
    pub fn sent(&mut self, now: Duration) {
        while self
            .sent_at
            .front()
            .is_some_and(|at| *at + UNHEARD_TIME <= now)
        {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }

    /// Calls that this node sent and of which others may not have heard yet.
    pub fn unheard(&self, now: Duration) -> usize {
        let fresh = |at: &&Duration| **at + UNHEARD_TIME > now;
        self.sent_at.iter().rev().take_while(fresh).count()
    }

    /// The first part of its answer came: its prompt has been read.
    pub fn prompt_read(&mut self, tokens: u32) {
        self.own.prompt_tokens = self.own.prompt_tokens.saturating_sub(tokens);
    }

    /// It ended; its prompt was told as read before.
    pub fn end(&mut self, item: WorkItem) {
        self.own.calls = self.own.calls.saturating_sub(1);
        self.own.held_tokens = self.own.held_tokens.saturating_sub(item.held_tokens);
        let tight = u32::from(item.tight);
        self.own.tight_streams = self.own.tight_streams.saturating_sub(tight);
    }

    /// Another node's word on its own work here.
    pub fn heard(&mut self, node: &str, count: WorkCount, now: Duration) {
        self.others.insert(node.into(), (now, count));
    }

    /// This node's work.
    pub fn own(&self) -> WorkCount {
        self.own
    }

    /// Work of all nodes whose word is fresh.
    pub fn total(&self, now: Duration) -> WorkCount {
        let fresh = self.others.values().filter(|(at, _)| *at + WORD_AGE > now);
        fresh.fold(self.own, |sum, (_, count)| sum + *count)
    }

    /// A call with this part of a prompt was sent here.
    pub fn part_used(&mut self, part: u64, now: Duration) {
        self.parts.insert(part, now);
        if self.parts.len() > MOST_PARTS {
            self.parts.retain(|_, at| *at + CACHE_AGE > now);
        }
    }

    fn keeps(&self, part: PromptPart, now: Duration) -> bool {
        self.parts
            .get(&part.id)
            .is_some_and(|at| *at + CACHE_AGE > now)
    }

    /// Tokens of the prompt's shared parts that the upstream is taken to keep: a part is kept
    /// together with all before it.
    pub fn kept_tokens(&self, prompt: &PromptShape, now: Duration) -> u32 {
        let shared = prompt.shared_parts();
        let last = shared.iter().rposition(|part| self.keeps(*part, now));
        last.map_or(0, |last| {
            shared[..=last].iter().map(|part| part.tokens).sum()
        })
    }
}
