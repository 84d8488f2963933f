//! Which parts of prompts an engine keeps in its KV cache, as far as this node knows.
//!
//! Engines drop what was used least lately once they need the room, so a part stays until as many
//! tokens as the cache has room for were taken in after its last use: seconds under load, minutes
//! without.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::prompt::PromptShape;

/// Time after which a part is no longer counted on, whatever else the engine took in: its use by
/// nodes whose heartbeats were lost is not known.
const LONGEST_KEPT: Duration = Duration::from_mins(1);
/// Part of the room in the cache that is counted on. What calls generate and what lost heartbeats told
/// of takes room too.
const COUNTED_PART: f64 = 0.9;
/// Parts that are remembered before old ones are dropped: bounds memory to some 100 kB an engine.
const MOST_PARTS: usize = 4096;

/// An engine's cache at a moment.
#[derive(Clone, Copy, Debug)]
pub struct CacheMoment {
    /// Now.
    pub now: Duration,
    /// Tokens that running calls may come to hold.
    pub held_tokens: u32,
}

/// What an engine keeps of prompts.
#[derive(Clone, Debug, Default)]
pub struct PromptCache {
    parts: BTreeMap<u64, PartUse>,
    /// Tokens that the cache holds; none until a call tells.
    size: Option<u64>,
    /// Tokens that calls of this node made it take in.
    own_taken: u64,
    /// Tokens that calls of all nodes made it take in.
    taken: u64,
    others_taken: BTreeMap<Box<str>, u64>,
}

impl PromptCache {
    /// A call of this node makes an engine, whose cache holds `size` tokens, take `tokens` in.
    pub fn take(&mut self, tokens: u32, size: u64) {
        self.size = Some(size);
        self.own_taken += u64::from(tokens);
        self.taken += u64::from(tokens);
    }

    /// Tokens that calls of this node made it take in so far.
    pub fn own_taken(&self) -> u64 {
        self.own_taken
    }

    /// Tokens that calls of all nodes made it take in, since this node first heard of each.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Another node's report of how much its calls made it take in so far. What came before its first
    /// report is no news; after a new start of the node it counts from nothing.
    pub fn heard(&mut self, node: &str, taken: u64) {
        let before = self.others_taken.insert(node.into(), taken);
        let before = before.unwrap_or(taken);
        self.taken += taken.checked_sub(before).unwrap_or(taken);
    }

    /// A part was used by a call now; the engine has read it at `read_at` unless it kept it before.
    /// Gives whether it was not known to be kept.
    pub fn note(&mut self, part: u64, read_at: Duration, moment: CacheMoment) -> bool {
        let kept = self.parts.get(&part).copied();
        let kept = kept.filter(|old| self.keeps(old, moment));
        let new = PartUse {
            at: moment.now,
            read_at: kept.map_or(read_at, |old| old.read_at.min(read_at)),
            taken: self.taken,
        };
        self.parts.insert(part, new);
        if self.parts.len() > MOST_PARTS {
            let oldest = moment.now.saturating_sub(LONGEST_KEPT);
            let least = self.taken.saturating_sub(self.room(moment));
            self.parts
                .retain(|_, old| old.at > oldest && old.taken >= least);
        }
        kept.is_none()
    }

    /// Tokens of the prompt's shared parts that the engine keeps or will have read before it comes
    /// to a call that is sent now: a part is kept together with all before it.
    pub fn kept_tokens(&self, prompt: &PromptShape, moment: CacheMoment) -> u32 {
        self.tokens_up_to(prompt, |part| self.keeps(part, moment))
    }

    /// Tokens of them that are read already, so that others can fetch them.
    pub fn read_tokens(&self, prompt: &PromptShape, moment: CacheMoment) -> u32 {
        self.tokens_up_to(prompt, |part| {
            part.read_at <= moment.now && self.keeps(part, moment)
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

    fn keeps(&self, part: &PartUse, moment: CacheMoment) -> bool {
        let after = self.taken.saturating_sub(part.taken);
        part.at + LONGEST_KEPT > moment.now && after <= self.room(moment)
    }

    /// Tokens that the cache keeps beside what running calls hold.
    fn room(&self, moment: CacheMoment) -> u64 {
        let size = self.size.unwrap_or(u64::MAX);
        let room = size.saturating_sub(u64::from(moment.held_tokens));
        (room as f64 * COUNTED_PART) as u64
    }
}

/// When a part of a prompt was used last, from when on it is read, and what the engine had taken in
/// by that use.
#[derive(Clone, Copy, Debug)]
struct PartUse {
    at: Duration,
    read_at: Duration,
    taken: u64,
}
