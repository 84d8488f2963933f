//! Work that is at an upstream, as far as this node knows.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derive_more::{Add, AddAssign, From, Into, Mul};
use serde::{Deserialize, Serialize};

use crate::gateway::cache::{CacheMoment, PromptCache};

/// Work of one node at one upstream. In a heartbeat it is four bare numbers: with names, those of sixty
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

/// Time after which another node's heartbeat no longer counts: three of its longest pauses.
const REPORT_AGE: Duration = Duration::from_millis(1500);

/// Time within which the other nodes of a zone that send calls hear of one: two of their heartbeats.
const UNHEARD_TIME: Duration = Duration::from_millis(100);

/// Prompt tokens that an engine reads in a ms. Only a scale: engines in use read about 50.
pub const TOKENS_PER_MS: f64 = 50.0;
/// Time from a call's way to an engine to the end of its prompt, beside what the engine reads before
/// it: its own prompt and some steps.
const FIRST_STEPS: Duration = Duration::from_millis(200);
/// All work at an upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLoad {
    own: WorkCount,
    others: BTreeMap<Box<str>, (Duration, WorkCount)>,
    sent_at: VecDeque<Duration>,
    /// What it keeps of prompts.
    pub cache: PromptCache,
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

    /// Another node's report of its own work here.
    pub fn heard(&mut self, node: &str, count: WorkCount, now: Duration) {
        self.others.insert(node.into(), (now, count));
    }

    /// This node's work.
    pub fn own(&self) -> WorkCount {
        self.own
    }

    /// Work of all nodes whose heartbeat is fresh.
    pub fn total(&self, now: Duration) -> WorkCount {
        let fresh = self
            .others
            .values()
            .filter(|(at, _)| *at + REPORT_AGE > now);
        fresh.fold(self.own, |sum, (_, count)| sum + *count)
    }

    /// A call with this part of a prompt was sent here: the part is read once the prompts before it
    /// are. Gives whether it was not known to be kept.
    pub fn part_used(&mut self, part: u64, now: Duration) -> bool {
        let total = self.total(now);
        let read_at = now + reading_time(total);
        self.cache.note(part, read_at, moment(total, now))
    }

    /// This part of a prompt has been read here.
    pub fn part_read(&mut self, part: u64, now: Duration) {
        let moment = moment(self.total(now), now);
        self.cache.note(part, now, moment);
    }
}

fn moment(total: WorkCount, now: Duration) -> CacheMoment {
    CacheMoment {
        now,
        held_tokens: total.held_tokens,
    }
}

fn reading_time(total: WorkCount) -> Duration {
    let tokens = f64::from(total.prompt_tokens);
    FIRST_STEPS + Duration::from_secs_f64(tokens / TOKENS_PER_MS / 1000.0)
}
