//! Work that is at an upstream, as far as this node knows.

use std::collections::BTreeMap;
use std::time::Duration;

/// Work of one node at one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCount {
    /// Calls that were sent and have not ended.
    pub calls: u32,
    /// Prompt tokens of those that have shown no token yet.
    pub prompt_tokens: u32,
}

/// Time after which another node's word no longer counts: five of its usual rounds.
const WORD_AGE: Duration = Duration::from_secs(1);

/// Time for which an upstream is taken to keep a part of a prompt after its last use.
const CACHE_AGE: Duration = Duration::from_secs(20);

/// All work at an upstream.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLoad {
    own: WorkCount,
    others: BTreeMap<Box<str>, (Duration, WorkCount)>,
    parts: BTreeMap<u64, Duration>,
}

impl UpstreamLoad {
    /// A call was sent.
    pub fn begin(&mut self, prompt_tokens: u32) {
        self.own.calls += 1;
        self.own.prompt_tokens = self.own.prompt_tokens.saturating_add(prompt_tokens);
    }

    /// The first part of its answer came: its prompt has been read.
    pub fn prompt_read(&mut self, prompt_tokens: u32) {
        self.own.prompt_tokens = self.own.prompt_tokens.saturating_sub(prompt_tokens);
    }

    /// It ended.
    pub fn end(&mut self) {
        self.own.calls = self.own.calls.saturating_sub(1);
    }

    /// Another node's word on its own work here.
    pub fn heard(&mut self, node: &str, count: WorkCount, now: Duration) {
        self.others.insert(node.into(), (now, count));
    }

    /// This node's calls.
    pub fn own_calls(&self) -> u32 {
        self.own.calls
    }

    /// This node's work.
    pub fn own(&self) -> WorkCount {
        self.own
    }

    /// Work of all nodes whose word is fresh.
    pub fn total(&self, now: Duration) -> WorkCount {
        let fresh = self.others.values().filter(|(at, _)| *at + WORD_AGE > now);
        fresh.fold(self.own, |sum, (_, count)| WorkCount {
            calls: sum.calls + count.calls,
            prompt_tokens: sum.prompt_tokens.saturating_add(count.prompt_tokens),
        })
    }

    /// A call with this part of a prompt was sent here.
    pub fn part_used(&mut self, part: u64, now: Duration) {
        self.parts.insert(part, now);
        if self.parts.len() > 4096 {
            self.parts.retain(|_, at| *at + CACHE_AGE > now);
        }
    }

    /// Whether the upstream is taken to keep this part.
    pub fn keeps(&self, part: u64, now: Duration) -> bool {
        self.parts
            .get(&part)
            .is_some_and(|at| *at + CACHE_AGE > now)
    }
}
