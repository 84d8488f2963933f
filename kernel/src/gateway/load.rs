//! Work at an upstream, as far as this node knows.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derive_more::{Add, AddAssign, From, Into, Mul};
use serde::{Deserialize, Serialize};

use crate::gateway::cache::{CacheMoment, PromptCache};
use crate::gateway::speed::EngineSpeed;

/// Work of one node at one upstream. A heartbeat contains it as four bare numbers: with field
/// names, the work at sixty upstreams would fill three datagrams instead of one.
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
    /// Streams among them that need the shortest gaps between events in their pool.
    pub tight_streams: u32,
    /// Prompt tokens of calls whose first token has not arrived.
    pub prompt_tokens: u32,
    /// Maximum number of tokens that all calls in flight may occupy in the KV cache.
    pub held_tokens: u32,
}

/// One call's part of an upstream's work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkItem {
    /// Prompt tokens that the upstream has to prefill.
    pub prefill_tokens: u32,
    /// Maximum number of tokens that the call may occupy in the KV cache.
    pub held_tokens: u32,
    /// Whether its stream needs the shortest gaps between events in its pool.
    pub tight: bool,
}

/// Time after which another node's report expires: three of the longest intervals between
/// heartbeats.
const REPORT_TTL: Duration = Duration::from_millis(1500);

/// Time within which the other sending nodes of a zone learn of a call: two heartbeat intervals.
const UNREPORTED_TIME: Duration = Duration::from_millis(100);

/// Prompt tokens that an engine of its pool's median speed prefills per ms, as a scale: engines in
/// use prefill about 50.
pub const TOKENS_PER_MS: f64 = 50.0;
/// Time from sending a call to the end of its prefill, in addition to the prefill of prompts queued
/// before it: its own prompt and some steps.
const FIRST_STEPS: Duration = Duration::from_millis(200);
/// All work at an upstream, by this node and by others.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLoad {
    own: WorkCount,
    others: BTreeMap<Box<str>, (Duration, WorkCount)>,
    sent_at: VecDeque<Duration>,
    /// Parts of prompts that it has cached.
    pub cache: PromptCache,
    /// Its measured speed.
    pub speed: EngineSpeed,
}

impl UpstreamLoad {
    /// Adds a call to this node's work.
    pub fn begin(&mut self, item: WorkItem) {
        self.own += WorkCount {
            calls: 1,
            tight_streams: u32::from(item.tight),
            prompt_tokens: item.prefill_tokens,
            held_tokens: item.held_tokens,
        };
    }

    /// Records the time at which a call was sent.
    pub fn sent(&mut self, now: Duration) {
        while self
            .sent_at
            .front()
            .is_some_and(|at| *at + UNREPORTED_TIME <= now)
        {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }

    /// Number of calls that this node sent and that other nodes may not have learned of yet.
    pub fn unreported_calls(&self, now: Duration) -> usize {
        let fresh = |at: &&Duration| **at + UNREPORTED_TIME > now;
        self.sent_at.iter().rev().take_while(fresh).count()
    }

    /// Records that a call's prompt of this many tokens was prefilled, as the first part of
    /// its answer arrived.
    pub fn record_prefill(&mut self, tokens: u32) {
        self.own.prompt_tokens = self.own.prompt_tokens.saturating_sub(tokens);
    }

    /// Removes a call from this node's work, after its prompt was removed with `record_prefill`.
    pub fn end(&mut self, item: WorkItem) {
        self.own.calls = self.own.calls.saturating_sub(1);
        self.own.held_tokens = self.own.held_tokens.saturating_sub(item.held_tokens);
        let tight = u32::from(item.tight);
        self.own.tight_streams = self.own.tight_streams.saturating_sub(tight);
    }

    /// Records another node's report of its own work at this upstream.
    pub fn receive_report(&mut self, node: &str, count: WorkCount, now: Duration) {
        self.others.insert(node.into(), (now, count));
    }

    /// Work of this node's own calls.
    pub fn own(&self) -> WorkCount {
        self.own
    }

    /// Work of all nodes whose report has not expired.
    pub fn total(&self, now: Duration) -> WorkCount {
        let fresh = self
            .others
            .values()
            .filter(|(at, _)| *at + REPORT_TTL > now);
        fresh.fold(self.own, |sum, (_, count)| sum + *count)
    }

    /// Whether a node has calls there, or may find parts of prompts cached there.
    pub fn is_used(&self, now: Duration) -> bool {
        let others = self.others.values();
        self.own.calls > 0
            || self.cache.is_used(now)
            || others
                .filter(|(at, _)| *at + REPORT_TTL > now)
                .any(|(_, count)| count.calls > 0)
    }

    /// Records that a call with this prompt part was sent: the part is cached once the prompts
    /// queued before it are prefilled. Returns whether it was not known to be cached.
    pub fn record_part_sent(&mut self, part: u64, now: Duration) -> bool {
        let total = self.total(now);
        let prefilled_at = now + FIRST_STEPS + self.prefill_time(total);
        self.cache
            .record_use(part, prefilled_at, moment(total, now))
    }

    /// Time that the upstream needs to prefill the pending prompts of this work.
    pub fn prefill_time(&self, total: WorkCount) -> Duration {
        let tokens = f64::from(total.prompt_tokens);
        let time = tokens / TOKENS_PER_MS / 1000.0 * self.speed.ratio().prefill;
        Duration::from_secs_f64(time)
    }

    /// Records that this prompt part has been prefilled here.
    pub fn record_part_prefilled(&mut self, part: u64, now: Duration) {
        let moment = moment(self.total(now), now);
        self.cache.record_use(part, now, moment);
    }
}

fn moment(total: WorkCount, now: Duration) -> CacheMoment {
    CacheMoment {
        now,
        held_tokens: total.held_tokens,
    }
}
