//! Which upstream takes a call, and from which other one it fetches what that keeps of the prompt.
//!
//! Costs are in thousandths of the call's own target: a cost of 1,000 is a wait as long as the
//! target.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::load::WorkCount;
use crate::gateway::prompt::PromptShape;
use crate::gateway::registry::{Upstream, UpstreamKey, UpstreamRegistry};

/// Prompt tokens that an engine reads in a ms. Only a scale: engines in use read about 50.
const TOKENS_PER_MS: f64 = 50.0;
/// What one more call in a batch costs each other, in ms: it lengthens each of some hundred steps
/// by a few hundredths of a ms.
const CALL_MS: f64 = 4.0;
/// Prompt tokens in a row that stretch a tight stream's pause to its bound: a piece is a handful of
/// tokens, and each waits for a chunk of 2,048 tokens or so.
const STALL_TOKENS: f64 = 12_000.0;
/// What a tight stream loses by such a pause.
const STALL_COST: f64 = 100.0;
/// What bytes between availability zones cost, against the worth of an answer in time.
const ZONE_COST: f64 = 150.0;
/// What a call that is sent in vain costs.
const FAILURE_COST: f64 = 1500.0;
/// Part of the cache that calls may hold. The rest is for what is cached between calls.
const CACHE_PART: f64 = 0.85;
/// Part of an engine's slots that are given out. The rest is for what other nodes have sent and not
/// told yet.
const SLOT_PART: f64 = 0.82;
/// Part of slots and cache that the least urgent calls leave to others.
const RESERVED_PART: f64 = 0.2;
/// Calls for each slot of a plain service, which queues a few and ends each in some ms.
const PLAIN_QUEUE: f64 = 3.0;
/// What a token that is fetched costs, against one that is read.
const FETCH_PART: f64 = 0.07;
/// What speaks for the upstream on which all nodes agree when none is known to keep the prompt.
const HOME_COST: f64 = 40.0;

/// Where a call comes from and what it needs.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceInput<'a> {
    /// The pool.
    pub pool: &'a str,
    /// This node's availability zone.
    pub zone: &'a str,
    /// The call's prompt.
    pub prompt: &'a PromptShape,
    /// Time within which the first piece of its answer is wanted.
    pub target: Duration,
    /// Its rank; 0 is the most urgent.
    pub tier: u8,
    /// Number of ranks.
    pub tiers: u8,
    /// Whether its pauses have to be the shortest of its pool.
    pub tight: bool,
    /// Whether it may be sent again if its answer is lost.
    pub repeatable: bool,
    /// Tokens that an engine of the pool keeps; 0 if the pool runs no engines.
    pub cache_tokens: u64,
    /// Upstreams that it was sent to already.
    pub tried: &'a [UpstreamKey],
    /// Now.
    pub now: Duration,
}

/// An upstream and what spoke for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamChoice {
    /// The upstream.
    pub key: UpstreamKey,
    /// Its cost.
    pub cost: f64,
    /// Prompt tokens that it has to read.
    pub unread_tokens: u32,
    /// The upstream that keeps more of the prompt.
    pub fetch_from: Option<UpstreamKey>,
}

/// The upstream that keeps most of a call's prompt.
#[derive(Clone, Copy, Debug)]
struct PromptKeeper {
    key: UpstreamKey,
    tokens: u32,
}

/// The cheapest upstream that takes new work, if there is any.
pub fn choose(registry: &UpstreamRegistry, input: &ChoiceInput) -> Option<UpstreamChoice> {
    let all: Vec<(UpstreamKey, &Upstream)> = registry.usable(input.pool).collect();
    let keeper = prompt_keeper(&all, input);
    let home = if keeper.is_none() {
        anchor_home(&all, input)
    } else {
        None
    };
    let fresh = |key: &UpstreamKey| !input.tried.contains(key);
    let rested = |upstream: &Upstream| !upstream.health.resting(input.now);
    let any_rested = all
        .iter()
        .any(|(key, upstream)| fresh(key) && rested(upstream));
    all.iter()
        .filter(|(key, upstream)| fresh(key) && (!any_rested || rested(upstream)))
        .filter(|(_, upstream)| has_room(upstream, input))
        .map(|(key, upstream)| weigh(*key, upstream, input, keeper, home))
        .min_by(|one, other| one.cost.total_cmp(&other.cost))
}

/// Whether an upstream can take the call without making others wait or be preempted. The less
/// urgent a call is, the more room it leaves for others.
fn has_room(upstream: &Upstream, input: &ChoiceInput) -> bool {
    let total = upstream.load.total(input.now);
    let slots = f64::from(upstream.entry.slots);
    if input.cache_tokens == 0 {
        return f64::from(total.calls) < slots * PLAIN_QUEUE;
    }
    let reserved = RESERVED_PART * f64::from(input.tier) / f64::from(input.tiers.max(1));
    let most_held = (CACHE_PART - reserved) * input.cache_tokens as f64;
    let held = f64::from(total.held_tokens) + f64::from(input.prompt.prompt_tokens);
    let alone = total.calls == 0;
    f64::from(total.calls) < slots * (SLOT_PART - reserved) && (alone || held < most_held)
}

fn prompt_keeper(all: &[(UpstreamKey, &Upstream)], input: &ChoiceInput) -> Option<PromptKeeper> {
    let near = |upstream: &Upstream| &*upstream.entry.zone == input.zone;
    let (key, _, tokens) = all
        .iter()
        .filter(|(_, upstream)| !upstream.health.resting(input.now))
        .map(|(key, upstream)| {
            (
                *key,
                *upstream,
                upstream.load.kept_tokens(input.prompt, input.now),
            )
        })
        .max_by_key(|(_, upstream, tokens)| (*tokens, near(upstream)))?;
    (tokens > 0).then_some(PromptKeeper { key, tokens })
}

/// The upstream that all nodes of a zone agree on for the call's last shared part: the highest
/// hash wins.
fn anchor_home(all: &[(UpstreamKey, &Upstream)], input: &ChoiceInput) -> Option<UpstreamKey> {
    let anchor = input.prompt.shared_parts().last()?;
    let near = |upstream: &Upstream| &*upstream.entry.zone == input.zone;
    let any_near = all.iter().any(|(_, upstream)| near(upstream));
    all.iter()
        .filter(|(_, upstream)| !any_near || near(upstream))
        .max_by_key(|(_, upstream)| xxh3_64_with_seed(upstream.entry.id.as_bytes(), anchor.id))
        .map(|(key, _)| *key)
}

fn weigh(
    key: UpstreamKey,
    upstream: &Upstream,
    input: &ChoiceInput,
    keeper: Option<PromptKeeper>,
    home: Option<UpstreamKey>,
) -> UpstreamChoice {
    let total = upstream.load.total(input.now);
    let kept = upstream.load.kept_tokens(input.prompt, input.now);
    let keeper = keeper.filter(|keeper| keeper.key != key && keeper.tokens > kept);
    let fetched = keeper.map_or(0, |keeper| keeper.tokens - kept);
    let unread = input.prompt.prompt_tokens.saturating_sub(kept + fetched);
    let mut cost = wait_cost(
        input,
        total,
        f64::from(unread) + FETCH_PART * f64::from(fetched),
    );
    cost += stall_cost(input, total, f64::from(unread));
    cost += FAILURE_COST * upstream.health.failures();
    if upstream.health.unproven() && !input.repeatable {
        cost += FAILURE_COST;
    }
    if &*upstream.entry.zone != input.zone {
        cost += ZONE_COST;
    }
    if home == Some(key) {
        cost -= HOME_COST;
    }
    UpstreamChoice {
        key,
        cost,
        unread_tokens: unread,
        fetch_from: keeper.map(|keeper| keeper.key),
    }
}

/// What the call itself waits.
fn wait_cost(input: &ChoiceInput, total: WorkCount, unread: f64) -> f64 {
    let wait_ms = (f64::from(total.prompt_tokens) + unread) / TOKENS_PER_MS
        + CALL_MS * f64::from(total.calls);
    wait_ms / input.target.as_secs_f64().max(0.001)
}

/// What tight streams lose by prompts that are read beside them.
fn stall_cost(input: &ChoiceInput, total: WorkCount, unread: f64) -> f64 {
    let pending = (f64::from(total.prompt_tokens) + unread) / STALL_TOKENS;
    let streams = if input.tight {
        3.0
    } else {
        f64::from(total.tight_streams)
    };
    streams * STALL_COST * pending * pending
}
