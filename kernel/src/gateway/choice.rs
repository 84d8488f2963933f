//! Which upstream takes a call, and from which other one it fetches what that keeps of the prompt.
//!
//! Costs are in thousandths of the call's own target: a cost of 1,000 is a wait as long as the
//! target.

use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::cache::CacheMoment;
use crate::gateway::gate;
use crate::gateway::load::{TOKENS_PER_MS, WorkCount};
use crate::gateway::partition::{self, UpstreamOption};
use crate::gateway::prompt::PromptShape;
use crate::gateway::registry::{Upstream, UpstreamKey, UpstreamRegistry};
use crate::gateway::room;

/// What one more call in a batch costs each other, in ms: it lengthens each of some hundred steps
/// by a few hundredths of a ms.
const CALL_MS: f64 = 4.0;
/// Prompt tokens in a row that stretch a tight stream's pause to its bound: a piece is a handful of
/// tokens, and each waits for a chunk of 2,048 tokens or so.
const STALL_TOKENS: f64 = 12_000.0;
/// What a tight stream loses by such a pause.
const STALL_COST: f64 = 100.0;
/// What a tight stream loses where engines are not kept for such: prompts that come after it.
const COMING_COST: f64 = 400.0;
/// Tight streams that a kept engine is taken to have when it has fewer: those that come.
const COMING_STREAMS: f64 = 8.0;
/// What bytes between availability zones cost, against the worth of an answer in time.
const ZONE_COST: f64 = 150.0;
/// What a call that is sent in vain costs.
const FAILURE_COST: f64 = 1500.0;
/// Running share of failures above which a call is more likely lost than answered.
const LIKELY_LOST: f64 = 0.5;
/// What a token that is fetched costs, against one that is read.
const FETCH_PART: f64 = 0.07;
/// What a thousand tokens cost that some engine has read and another reads again. A prompt's shared
/// part of 4,900 is worth as much as the call; being late by one target costs half of that.
const REREAD_COST: f64 = 250.0;
/// What a thousand tokens cost that are fetched: a tenth of that.
const FETCH_COST: f64 = 25.0;
/// What speaks for the upstream on which all nodes agree when none is known to keep the prompt, for
/// each thousand shared tokens: without it nodes that get calls at once read them several times.
const HOME_COST: f64 = 50.0;
/// What speaks against the upstream to which a node leans least. Nodes lean to different ones, so
/// that they do not all find the same cheapest one between two heartbeats.
const LEAN_COST: f64 = 100.0;

/// Where a call comes from and what it needs.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceInput<'a> {
    /// The pool.
    pub pool: &'a str,
    /// This node's availability zone.
    pub zone: &'a str,
    /// Tells this node from others.
    pub node: u64,
    /// The other nodes that send calls.
    pub rivals: &'a [u64],
    /// How many of them are silent: each is taken to have as much work everywhere as this node.
    pub silent: u32,
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
    /// Tokens of the prompt's shared parts that it keeps or is about to read.
    pub kept_tokens: u32,
    /// Tokens of them that any upstream does.
    pub known_tokens: u32,
    /// Prompt tokens that its cache has to take in: what it reads and what it fetches.
    pub taken_tokens: u32,
    /// The upstream that keeps more of the prompt.
    pub fetch_from: Option<UpstreamKey>,
}

/// The upstream that has read most of a call's prompt.
#[derive(Clone, Copy, Debug)]
struct PromptKeeper {
    key: UpstreamKey,
    tokens: u32,
}

/// The cheapest upstream that takes new work, if there is any.
pub fn choose(registry: &UpstreamRegistry, input: &ChoiceInput) -> Option<UpstreamChoice> {
    let all: Vec<UpstreamOption> = gate::open_upstreams(registry, input.pool, input.now)
        .map(|(key, upstream)| UpstreamOption {
            key,
            upstream,
            total: upstream.load.total(input.now) + upstream.load.own() * input.silent,
            resting: upstream.health.resting(input.now),
        })
        .collect();
    let kept = if input.cache_tokens > 0 {
        partition::kept_for_tight(&all)
    } else {
        BTreeSet::new()
    };
    let keeper = prompt_keeper(&all, input);
    let known_tokens = known_tokens(&all, input);
    let home = if known_tokens == 0 {
        anchor_home(&all, &kept, input)
    } else {
        None
    };
    let fresh = all
        .iter()
        .filter(|option| !input.tried.contains(&option.key));
    let (resting, sound): (Vec<_>, Vec<_>) = fresh.partition(|option| option.resting);
    let cheapest = |options: &[&UpstreamOption]| {
        options
            .iter()
            .map(|option| {
                let place = UpstreamPlace {
                    option,
                    kept: kept.contains(&option.key),
                    home: home == Some(option.key),
                    rank: own_rank(option.upstream, input),
                };
                (place, weigh(place, input, keeper, known_tokens))
            })
            .filter(|(place, choice)| room::has_room(*place, choice.unread_tokens, input))
            .map(|(_, choice)| choice)
            .min_by(|one, other| one.cost.total_cmp(&other.cost))
    };
    if sound.is_empty() {
        return cheapest(&resting);
    }
    cheapest(&sound).or_else(|| cheapest(&overflow(&resting, input)))
}

/// Resting upstreams that take what finds no room at sound ones: they lose some answers and give
/// others. With most of a pool resting, the few others cannot carry its calls. A call that may run
/// only once goes there if it is more likely answered than not.
fn overflow<'a>(
    resting: &[&'a UpstreamOption<'a>],
    input: &ChoiceInput,
) -> Vec<&'a UpstreamOption<'a>> {
    let fits = |option: &&&UpstreamOption| {
        let health = &option.upstream.health;
        health.answers_some(input.now) && (input.repeatable || health.failures() < LIKELY_LOST)
    };
    resting.iter().filter(fits).copied().collect()
}

/// An upstream and what it is to its pool.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamPlace<'a> {
    /// The upstream.
    pub option: &'a UpstreamOption<'a>,
    /// Whether it is kept for tight streams.
    pub kept: bool,
    /// Whether all nodes agree on it for the call's prompt.
    pub home: bool,
    /// How many busy nodes go before this one there.
    pub rank: usize,
}

/// Tokens of the prompt's shared parts that some upstream keeps or is about to read.
fn known_tokens(all: &[UpstreamOption], input: &ChoiceInput) -> u32 {
    let tokens = all.iter().map(|option| kept_tokens(option, input));
    tokens.max().unwrap_or(0)
}

fn kept_tokens(option: &UpstreamOption, input: &ChoiceInput) -> u32 {
    let moment = cache_moment(option, input);
    option.upstream.load.cache.kept_tokens(input.prompt, moment)
}

fn cache_moment(option: &UpstreamOption, input: &ChoiceInput) -> CacheMoment {
    CacheMoment {
        now: input.now,
        held_tokens: option.total.held_tokens,
    }
}

fn prompt_keeper(all: &[UpstreamOption], input: &ChoiceInput) -> Option<PromptKeeper> {
    let (option, tokens) = all
        .iter()
        .filter(|option| !option.resting)
        .map(|option| {
            let cache = &option.upstream.load.cache;
            let moment = cache_moment(option, input);
            (option, cache.read_tokens(input.prompt, moment))
        })
        .max_by_key(|(option, tokens)| (*tokens, is_near(option, input)))?;
    let key = option.key;
    (tokens > 0).then_some(PromptKeeper { key, tokens })
}

fn is_near(option: &UpstreamOption, input: &ChoiceInput) -> bool {
    &*option.upstream.entry.zone == input.zone
}

/// The upstream that all nodes of a zone agree on for the call's last shared part, of those that are
/// for calls of its kind: the highest hash wins.
fn anchor_home(
    all: &[UpstreamOption],
    kept: &BTreeSet<UpstreamKey>,
    input: &ChoiceInput,
) -> Option<UpstreamKey> {
    let anchor = input.prompt.shared_parts().last()?;
    let fits = |option: &&UpstreamOption| kept.contains(&option.key) == input.tight;
    let any_near = all.iter().filter(fits).any(|option| is_near(option, input));
    all.iter()
        .filter(fits)
        .filter(|option| !any_near || is_near(option, input))
        .max_by_key(|option| {
            let id = option.upstream.entry.id.as_bytes();
            xxh3_64_with_seed(id, anchor.id)
        })
        .map(|option| option.key)
}

fn weigh(
    place: UpstreamPlace,
    input: &ChoiceInput,
    keeper: Option<PromptKeeper>,
    known_tokens: u32,
) -> UpstreamChoice {
    let UpstreamOption {
        key,
        upstream,
        total,
        ..
    } = *place.option;
    let kept = kept_tokens(place.option, input);
    let keeper = keeper.filter(|keeper| keeper.key != key && keeper.tokens > kept);
    let fetched = keeper.map_or(0, |keeper| keeper.tokens - kept);
    let unread = input.prompt.prompt_tokens.saturating_sub(kept + fetched);
    let mut cost = wait_cost(
        input,
        total,
        f64::from(unread) + FETCH_PART * f64::from(fetched),
    );
    let read_again = known_tokens.saturating_sub(kept + fetched);
    cost += (REREAD_COST * f64::from(read_again) + FETCH_COST * f64::from(fetched)) / 1000.0;
    cost += stall_cost(place, input, f64::from(unread));
    cost += FAILURE_COST * upstream.health.failures();
    if upstream.health.unproven() && !input.repeatable {
        cost += FAILURE_COST;
    }
    if !is_near(place.option, input) {
        cost += ZONE_COST;
    }
    if place.home {
        let shared = input.prompt.shared_tokens();
        cost -= HOME_COST * f64::from(shared) / 1000.0;
    }
    cost += LEAN_COST * place.rank as f64 / (input.rivals.len() + 1) as f64;
    UpstreamChoice {
        key,
        cost,
        unread_tokens: unread,
        kept_tokens: kept,
        known_tokens,
        taken_tokens: unread + fetched,
        fetch_from: keeper.map(|keeper| keeper.key),
    }
}

/// How many busy nodes go before this one at an upstream: in an order that all nodes find and that
/// differs from upstream to upstream.
fn own_rank(upstream: &Upstream, input: &ChoiceInput) -> usize {
    let id = upstream.entry.id.as_bytes();
    let own = xxh3_64_with_seed(id, input.node);
    let before = |rival: &&u64| xxh3_64_with_seed(id, **rival) < own;
    input.rivals.iter().filter(before).count()
}

/// What the call itself waits.
fn wait_cost(input: &ChoiceInput, total: WorkCount, unread: f64) -> f64 {
    let wait_ms = (f64::from(total.prompt_tokens) + unread) / TOKENS_PER_MS
        + CALL_MS * f64::from(total.calls);
    wait_ms / input.target.as_secs_f64().max(0.001)
}

/// What tight streams lose by prompts that are read beside them, now and in the time to come.
fn stall_cost(place: UpstreamPlace, input: &ChoiceInput, unread: f64) -> f64 {
    let total = place.option.total;
    let pending = (f64::from(total.prompt_tokens) + unread) / STALL_TOKENS;
    let to_come = if input.tight && !place.kept {
        COMING_COST
    } else {
        0.0
    };
    let streams = if input.tight {
        3.0
    } else if place.kept {
        f64::from(total.tight_streams).max(COMING_STREAMS)
    } else {
        f64::from(total.tight_streams)
    };
    streams * STALL_COST * pending * pending + to_come
}
