//! Estimate of the prompt parts that an engine has in its KV cache, as far as this node knows.
//!
//! Engines evict the least recently used tokens when they need space, so a part stays cached until
//! as many tokens as the cache holds were added after its last use: seconds under load, minutes
//! without.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::prompt::PromptShape;

/// Time after its last use after which a part is no longer assumed to be cached, whatever the
/// engine added since: uses by nodes whose heartbeats were lost are unknown.
const MAX_AGE: Duration = Duration::from_mins(1);
/// Share of the cache that is assumed to be available for parts. Generated tokens, and prompts in
/// lost heartbeats, occupy space too.
const USABLE_SHARE: f64 = 0.9;
/// Number of parts above which old ones are removed: limits memory to some 100 kB per engine.
const MAX_PARTS: usize = 4096;

/// Time and occupancy at which a cache is examined.
#[derive(Clone, Copy, Debug)]
pub struct CacheMoment {
    /// Time of the examination, on the monotonic clock.
    pub now: Duration,
    /// Maximum number of tokens that running calls may occupy.
    pub held_tokens: u32,
}

/// Estimate of the prompt parts that an engine has cached.
#[derive(Clone, Debug, Default)]
pub struct PromptCache {
    parts: BTreeMap<u64, PartUse>,
    /// Size of the cache in tokens; `None` until a call gives it.
    size: Option<u64>,
    /// Tokens that calls of this node added to the cache.
    own_tokens: u64,
    /// Tokens that calls of all nodes added to the cache.
    total_tokens: u64,
    others_tokens: BTreeMap<Box<str>, u64>,
    /// Time of the last use of any part.
    used_at: Option<Duration>,
}

impl PromptCache {
    /// Records that a call of this node adds `tokens` to an engine's cache of `size` tokens.
    pub fn record_tokens(&mut self, tokens: u32, size: u64) {
        self.size = Some(size);
        self.own_tokens += u64::from(tokens);
        self.total_tokens += u64::from(tokens);
    }

    /// Number of tokens that calls of this node have added to the cache.
    pub fn own_tokens(&self) -> u64 {
        self.own_tokens
    }

    /// Number of tokens that calls of all nodes have added to the cache, since this node's first
    /// report from each.
    pub fn total_tokens(&self) -> u64 {
        self.total_tokens
    }

    /// Records another node's report of the number of tokens that its calls have added. The count
    /// in its first report is not added here; after a restart the node counts from zero.
    pub fn receive_total(&mut self, node: &str, total: u64) {
        let before = self.others_tokens.insert(node.into(), total);
        let before = before.unwrap_or(total);
        self.total_tokens += total.checked_sub(before).unwrap_or(total);
    }

    /// Records that a call uses a part now; the engine has prefilled it at `prefilled_at` unless it was
    /// cached before. Returns whether it was not known to be cached.
    pub fn record_use(&mut self, part: u64, prefilled_at: Duration, moment: CacheMoment) -> bool {
        let cached = self.parts.get(&part).copied();
        let cached = cached.filter(|old| self.is_cached(old, moment));
        let new = PartUse {
            at: moment.now,
            prefilled_at: cached.map_or(prefilled_at, |old| old.prefilled_at.min(prefilled_at)),
            total_at_use: self.total_tokens,
        };
        self.used_at = self.used_at.max(Some(moment.now));
        self.parts.insert(part, new);
        if self.parts.len() > MAX_PARTS {
            let oldest = moment.now.saturating_sub(MAX_AGE);
            let least = self.total_tokens.saturating_sub(self.capacity(moment));
            self.parts
                .retain(|_, old| old.at > oldest && old.total_at_use >= least);
        }
        cached.is_none()
    }

    /// Whether any part may still be cached.
    pub fn is_used(&self, now: Duration) -> bool {
        self.used_at.is_some_and(|at| at + MAX_AGE > now)
    }

    /// Number of tokens of the prompt's shared parts that the engine has cached or will have
    /// prefilled before a call that is sent now: a part is cached together with all before it.
    pub fn cached_tokens(&self, prompt: &PromptShape, moment: CacheMoment) -> u32 {
        self.tokens_up_to(prompt, |part| self.is_cached(part, moment))
    }

    /// Number of such tokens that are prefilled already, so that other engines can fetch them.
    pub fn prefilled_tokens(&self, prompt: &PromptShape, moment: CacheMoment) -> u32 {
        self.tokens_up_to(prompt, |part| {
            part.prefilled_at <= moment.now && self.is_cached(part, moment)
        })
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

    fn is_cached(&self, part: &PartUse, moment: CacheMoment) -> bool {
        let after = self.total_tokens.saturating_sub(part.total_at_use);
        part.at + MAX_AGE > moment.now && after <= self.capacity(moment)
    }

    /// Number of tokens that the cache can keep beside those of running calls.
    fn capacity(&self, moment: CacheMoment) -> u64 {
        let size = self.size.unwrap_or(u64::MAX);
        let capacity = size.saturating_sub(u64::from(moment.held_tokens));
        (capacity as f64 * USABLE_SHARE) as u64
    }
}

/// Last use of a prompt part, the time from which on it is prefilled, and the number of tokens that
/// had been added to the cache by that use.
#[derive(Clone, Copy, Debug)]
struct PartUse {
    at: Duration,
    prefilled_at: Duration,
    total_at_use: u64,
}
