//! Work that is at an upstream, as far as this node knows.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derive_more::{Add, AddAssign, From, Into, Mul};
use serde::{Deserialize, Serialize};

use crate::gateway::prompt::PromptShape;

/// Work of one node at one upstream. In a word it is four bare numbers: with names, those of sixty
/// upstreams fill three datagrams instead of one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Add,
    AddAssign,
    Mul,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(from = "(u32, u32, u32, u32)", into = "(u32, u32, u32, u32)")]
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

/// Time within which the other nodes of a zone that send calls hear of one: two of their words.
const UNHEARD_TIME: Duration = Duration::from_millis(100);

/// Prompt tokens that an engine reads in a ms. Only a scale: engines in use read about 50.
pub const TOKENS_PER_MS: f64 = 50.0;
/// Time from a call's way to an engine to the end of its prompt, beside what the engine reads before
/// it: its own prompt and some steps.
const FIRST_STEPS: Duration = Duration::from_millis(200);
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
    parts: BTreeMap<u64, PartUse>,
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

    /// A call with this part of a prompt was sent here: the part is read once the prompts before it
    /// are. Gives whether it was not known to be kept.
    pub fn part_used(&mut self, part: u64, now: Duration) -> bool {
        let read_at = now + self.reading_time(now);
        self.note_part(part, PartUse { at: now, read_at })
    }

    /// This part of a prompt has been read here.
    pub fn part_read(&mut self, part: u64, now: Duration) {
        self.note_part(
            part,
            PartUse {
                at: now,
                read_at: now,
            },
        );
    }

    fn note_part(&mut self, part: u64, new: PartUse) -> bool {
        let kept = self.parts.get(&part).filter(|old| old.keeps(new.at));
        let is_news = kept.is_none();
        let read_at = kept.map_or(new.read_at, |old| old.read_at.min(new.read_at));
        self.parts.insert(part, PartUse { read_at, ..new });
        if self.parts.len() > MOST_PARTS {
            self.parts.retain(|_, old| old.keeps(new.at));
        }
        is_news
    }

    fn reading_time(&self, now: Duration) -> Duration {
        let tokens = self.total(now).prompt_tokens;
        FIRST_STEPS + Duration::from_secs_f64(f64::from(tokens) / TOKENS_PER_MS / 1000.0)
    }

    /// Tokens of the prompt's shared parts that the upstream keeps or will have read before it comes
    /// to a call that is sent now: a part is kept together with all before it.
    pub fn kept_tokens(&self, prompt: &PromptShape, now: Duration) -> u32 {
        self.tokens_up_to(prompt, |part| part.keeps(now))
    }

    /// Tokens of them that are read already, so that others can fetch them.
    pub fn read_tokens(&self, prompt: &PromptShape, now: Duration) -> u32 {
        self.tokens_up_to(prompt, |part| part.keeps(now) && part.read_at <= now)
    }

    fn tokens_up_to(&self, prompt: &PromptShape, counts: impl Fn(&PartUse) -> bool) -> u32 {
        let shared = prompt.shared_parts();
        let last = shared
            .iter()
            .rposition(|part| self.parts.get(&part.id).is_some_and(&counts));
        last.map_or(0, |last| {
            shared[..=last].iter().map(|part| part.tokens).sum()
        })
    }
}

/// When a part of a prompt was used last, and from when on it is read.
#[derive(Clone, Copy, Debug)]
struct PartUse {
    at: Duration,
    read_at: Duration,
}

impl PartUse {
    fn keeps(&self, now: Duration) -> bool {
        self.at + CACHE_AGE > now
    }
}
