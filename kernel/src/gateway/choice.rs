//! Selects the upstream that gets a call, and the one from which it fetches cached prompt parts.
//!
//! Costs are in thousandths of the call's latency target: 1,000 is a wait as long as the target.

mod holding;
mod places;

use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::cache::CacheMoment;
use crate::gateway::capacity;
pub use crate::gateway::choice::holding::ExpectedAnswer;
use crate::gateway::choice::holding::{crowding, holding_cost};
pub use crate::gateway::choice::places::{RoomReport, free_places, room_report};
use crate::gateway::eligibility;
use crate::gateway::load::TOKENS_PER_MS;
use crate::gateway::partition::{self, UpstreamCandidate};
use crate::gateway::prompt::PromptShape;
use crate::gateway::registry::{
    CandidateWindow, SoftwareKey, Upstream, UpstreamKey, UpstreamRegistry,
};

/// Delay in ms that each call in a batch adds to the others at an engine of its pool's median speed:
/// it lengthens each of some hundred steps by a few hundredths of a ms.
const CALL_DELAY_MS: f64 = 4.0;
/// Consecutive prompt tokens that stretch a tight stream's gap to its bound: an event is a handful
/// of tokens, and each token waits for a prefill chunk of about 2,048 tokens.
const STALL_TOKENS: f64 = 12_000.0;
/// Cost to a tight stream of such a gap.
const STALL_COST: f64 = 100.0;
/// Cost to a tight stream on an engine that is not reserved for tight streams: prompts that arrive
/// later delay it.
const ARRIVING_PROMPTS_COST: f64 = 400.0;
/// Minimum number of tight streams that a reserved engine is assumed to have, to account for those
/// still to arrive.
const MIN_RESERVED_STREAMS: f64 = 8.0;
/// Cost of traffic between availability zones, relative to the value of an answer in time.
const CROSS_ZONE_COST: f64 = 150.0;
/// Cost of a failed attempt.
const FAILURE_COST: f64 = 1500.0;
/// Running share of failures above which a call is more likely to fail than to succeed.
const LIKELY_FAILURE: f64 = 0.5;
/// Cost of fetching a cached token, relative to prefilling it.
const FETCH_RATIO: f64 = 0.07;
/// Cost of prefilling a thousand tokens that some engine has cached already. A prompt's shared part
/// of 4,900 tokens is worth as much as the call; being late by one target costs half of that.
const REPEATED_PREFILL_COST: f64 = 250.0;
/// Cost of fetching a thousand cached tokens: a tenth of `REPEATED_PREFILL_COST`.
const FETCH_COST: f64 = 25.0;
/// Bonus, for each thousand shared tokens, of the upstream on which all nodes agree when none is
/// known to have the prompt cached. Without it, nodes that receive calls at the same time would
/// have the prompt prefilled several times.
const HOME_BONUS: f64 = 50.0;
/// Cost of the upstream that this node ranks last. Nodes rank upstreams differently, so that they
/// do not all select the same cheapest one between two heartbeats.
const RANK_COST: f64 = 100.0;
/// Number of upstreams of the node's own availability zone that are considered first.
const NEAR_CANDIDATES: usize = 64;
/// Number of upstreams of all other zones together that are considered first.
const FAR_CANDIDATES: usize = 128;
/// Minimum number of upstreams of each other zone that are considered.
const MIN_FAR_CANDIDATES: usize = 8;
/// Factor by which more upstreams are considered while the selected one is busy.
const WINDOW_GROWTH: usize = 4;
/// Wait for other calls' work from which on an upstream counts as busy: a quarter of the target.
const BUSY_COST: f64 = 250.0;

/// Origin and requirements of a call, as input to the selection of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceInput<'a> {
    /// Name of the pool whose upstreams are considered.
    pub pool: &'a str,
    /// Availability zone of this node.
    pub zone: &'a str,
    /// Hash that identifies this node.
    pub node: u64,
    /// Hashes of the other nodes that send calls.
    pub senders: &'a [u64],
    /// Number of those nodes whose heartbeats stopped: each is assumed to have as much work at
    /// every upstream as this node.
    pub silent_senders: u32,
    /// Sizes of the call's prompt, and the parts that it shares with other calls.
    pub prompt: &'a PromptShape,
    /// Target latency of the first event of the answer.
    pub target: Duration,
    /// Shortest target among the pool's classes that are at least as urgent; `None` if none of them
    /// has a shorter one.
    pub shortest_target: Option<Duration>,
    /// Whether the call can no longer meet its target.
    pub late: bool,
    /// Longest target of the pool's less urgent classes; zero if there are none.
    pub yielding_target: Duration,
    /// Tier of the call; 0 is the most urgent.
    pub tier: u8,
    /// Number of effective tiers.
    pub tiers: u8,
    /// Whether the call's stream needs the shortest gaps between events in its pool.
    pub tight: bool,
    /// Whether the call may be sent again if its answer is lost.
    pub repeatable: bool,
    /// Size of an engine's KV cache in tokens; 0 if the pool runs no engines.
    pub cache_tokens: u64,
    /// Its expected answer; `None` unless the slots of the pool's engines run out.
    pub answer: Option<ExpectedAnswer>,
    /// Software version that began its stream; `None` if the stream may begin anywhere.
    pub software: Option<SoftwareKey>,
    /// Upstreams that the call was already sent to.
    pub tried: &'a [UpstreamKey],
    /// Time of the selection, on the monotonic clock.
    pub now: Duration,
}

impl ChoiceInput<'_> {
    /// Whether the call may be sent to an upstream or fetch from it.
    fn admits(&self, candidate: &UpstreamCandidate) -> bool {
        let entry = &candidate.upstream.entry;
        let is_same = |software| entry.software() == software;
        self.software.is_none_or(is_same)
    }

    /// Whether the call was not sent to an upstream yet and may be.
    fn may_try(&self, candidate: &UpstreamCandidate) -> bool {
        !self.tried.contains(&candidate.key) && self.admits(candidate)
    }
}

/// A selected upstream and the figures behind the selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamChoice {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// Cost of the call there, in thousandths of its latency target.
    pub cost: f64,
    /// Prompt tokens that the upstream has to prefill.
    pub prefill_tokens: u32,
    /// Tokens of the prompt's shared parts that the upstream has cached or is about to prefill.
    pub cached_tokens: u32,
    /// Largest number of such tokens at any upstream of the pool.
    pub known_tokens: u32,
    /// Prompt tokens that are added to the upstream's cache: prefilled and fetched ones.
    pub taken_tokens: u32,
    /// Upstream to fetch cached tokens from; `None` if no other one has more of the prompt cached.
    pub fetch_from: Option<UpstreamKey>,
}

/// Upstream that has prefilled the most of a call's prompt and is not backed off.
#[derive(Clone, Copy, Debug)]
struct FetchSource {
    key: UpstreamKey,
    tokens: u32,
}

/// Selects the cheapest upstream that accepts new calls and has capacity for this one; `None` if
/// there is none. Upstreams that are backed off are used only if no healthy one has capacity.
///
/// In a large pool the first upstreams of each availability zone are considered, and further ones
/// while these are busy.
pub fn choose(registry: &UpstreamRegistry, input: &ChoiceInput) -> Option<UpstreamChoice> {
    let mut window = first_window(registry.zone_count(input.pool));
    let largest = registry.usable_count(input.pool);
    while window.near < largest {
        let candidates = candidates(registry, input, window);
        let is_whole = candidates.len() >= largest;
        let found = choose_among(&candidates, input, is_whole);
        let is_busy = |choice: &UpstreamChoice| {
            let chosen = candidates.iter().find(|one| one.key == choice.key);
            chosen.is_none_or(|chosen| wait_cost(input, chosen, 0.0) > BUSY_COST)
        };
        if is_whole || found.is_some_and(|choice| !is_busy(&choice)) {
            return found;
        }
        window.near *= WINDOW_GROWTH;
        window.far *= WINDOW_GROWTH;
    }
    let whole = CandidateWindow {
        near: largest,
        far: largest,
    };
    choose_among(&candidates(registry, input, whole), input, true)
}

/// Upstreams of a pool in an availability zone that calls of the zone's nodes go to first.
pub fn preferred<'a>(
    registry: &'a UpstreamRegistry,
    pool: &str,
    zone: &str,
) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> {
    registry.first(pool, zone, NEAR_CANDIDATES)
}

/// Upstreams that are considered first if a pool has upstreams in this many availability zones.
pub(crate) fn first_window(zones: usize) -> CandidateWindow {
    let others = zones.saturating_sub(1).max(1);
    CandidateWindow {
        near: NEAR_CANDIDATES,
        far: (FAR_CANDIDATES / others).max(MIN_FAR_CANDIDATES),
    }
}

fn candidates<'a>(
    registry: &'a UpstreamRegistry,
    input: &ChoiceInput,
    window: CandidateWindow,
) -> Vec<UpstreamCandidate<'a>> {
    let eligible =
        eligibility::eligible_candidates(registry, input.pool, input.zone, window, input.now);
    let candidates = eligible
        .into_iter()
        .map(|(key, upstream)| UpstreamCandidate {
            key,
            upstream,
            total: upstream.load.total(input.now) + upstream.load.own() * input.silent_senders,
            backed_off: upstream.health.is_backed_off(input.now),
        });
    candidates.collect()
}

/// Selects the cheapest of some upstreams. Those that are backed off are used only if these are all
/// upstreams of the pool.
fn choose_among(
    all: &[UpstreamCandidate],
    input: &ChoiceInput,
    is_whole: bool,
) -> Option<UpstreamChoice> {
    let reserved = if input.cache_tokens > 0 {
        partition::reserved_for_tight(all)
    } else {
        BTreeSet::new()
    };
    let brittle = is_brittle(all, input);
    let source = fetch_source(all, input);
    let known_tokens = known_tokens(all, input);
    let crowding = crowding(all, input);
    let home = if known_tokens == 0 {
        home_upstream(all, &reserved, input)
    } else {
        None
    };
    let untried = all.iter().filter(|candidate| input.may_try(candidate));
    let (backed_off, healthy): (Vec<_>, Vec<_>) =
        untried.partition(|candidate| candidate.backed_off);
    let cheapest = |candidates: &[&UpstreamCandidate]| {
        candidates
            .iter()
            .map(|candidate| {
                let place = CandidatePlace {
                    candidate,
                    reserved: reserved.contains(&candidate.key),
                    is_home: home == Some(candidate.key),
                    rank: own_rank(candidate.upstream, input),
                    brittle,
                };
                let mut choice = evaluate(place, input, source, known_tokens);
                choice.cost += holding_cost(candidate, input, crowding);
                (place, choice)
            })
            .filter(|(place, choice)| capacity::has_capacity(*place, choice.prefill_tokens, input))
            .map(|(_, choice)| choice)
            .min_by(|one, other| one.cost.total_cmp(&other.cost))
    };
    if !is_whole {
        return cheapest(&healthy);
    }
    if healthy.is_empty() {
        return cheapest(&backed_off);
    }
    cheapest(&healthy).or_else(|| cheapest(&overflow(&backed_off, input)))
}

/// Backed-off upstreams that get the calls for which healthy ones have no capacity: they still
/// answer some calls, and with most of a pool backed off, the few others cannot serve its load. A
/// call that may run only once goes there if it is more likely to succeed than to fail.
fn overflow<'a>(
    backed_off: &[&'a UpstreamCandidate<'a>],
    input: &ChoiceInput,
) -> Vec<&'a UpstreamCandidate<'a>> {
    let fits = |candidate: &&&UpstreamCandidate| {
        let health = &candidate.upstream.health;
        health.answered_recently(input.now)
            && (input.repeatable || health.failure_share() < LIKELY_FAILURE)
    };
    backed_off.iter().filter(fits).copied().collect()
}

/// An upstream and its role in its pool for one call.
#[derive(Clone, Copy, Debug)]
pub struct CandidatePlace<'a> {
    /// Upstream and its total work.
    pub candidate: &'a UpstreamCandidate<'a>,
    /// Whether it is reserved for tight streams.
    pub reserved: bool,
    /// Whether all nodes agree on it for the call's prompt while none is known to have it cached.
    pub is_home: bool,
    /// Number of sending nodes that rank before this one at this upstream.
    pub rank: usize,
    /// Whether upstreams of the pool say that they bear few refusals.
    pub brittle: bool,
}

/// Whether an upstream of the pool bears few refusals: then all of them may.
fn is_brittle(all: &[UpstreamCandidate], input: &ChoiceInput) -> bool {
    let mut states = all.iter().map(|candidate| &candidate.upstream.brittle);
    states.any(|state| state.refusals(input.now).is_some())
}

/// Largest number of tokens of shared parts that any upstream has cached or is about to prefill.
fn known_tokens(all: &[UpstreamCandidate], input: &ChoiceInput) -> u32 {
    let tokens = all.iter().map(|candidate| cached_tokens(candidate, input));
    tokens.max().unwrap_or(0)
}

fn cached_tokens(candidate: &UpstreamCandidate, input: &ChoiceInput) -> u32 {
    let moment = cache_moment(candidate, input);
    candidate
        .upstream
        .load
        .cache
        .cached_tokens(input.prompt, moment)
}

fn cache_moment(candidate: &UpstreamCandidate, input: &ChoiceInput) -> CacheMoment {
    CacheMoment {
        now: input.now,
        held_tokens: candidate.total.held_tokens,
    }
}

fn fetch_source(all: &[UpstreamCandidate], input: &ChoiceInput) -> Option<FetchSource> {
    let (candidate, tokens) = all
        .iter()
        .filter(|candidate| !candidate.backed_off && input.admits(candidate))
        .map(|candidate| {
            let cache = &candidate.upstream.load.cache;
            let moment = cache_moment(candidate, input);
            (candidate, cache.prefilled_tokens(input.prompt, moment))
        })
        .max_by_key(|(candidate, tokens)| (*tokens, is_own_zone(candidate, input)))?;
    let key = candidate.key;
    (tokens > 0).then_some(FetchSource { key, tokens })
}

fn is_own_zone(candidate: &UpstreamCandidate, input: &ChoiceInput) -> bool {
    &*candidate.upstream.entry.zone == input.zone
}

/// Upstream on which all nodes of a zone agree for the call's last shared part, among those for
/// calls of its kind: the one with the highest hash.
fn home_upstream(
    all: &[UpstreamCandidate],
    reserved: &BTreeSet<UpstreamKey>,
    input: &ChoiceInput,
) -> Option<UpstreamKey> {
    let anchor = input.prompt.shared_parts().last()?;
    let fits = |candidate: &&UpstreamCandidate| {
        reserved.contains(&candidate.key) == input.tight && input.admits(candidate)
    };
    let any_in_zone = all
        .iter()
        .filter(fits)
        .any(|candidate| is_own_zone(candidate, input));
    all.iter()
        .filter(fits)
        .filter(|candidate| !any_in_zone || is_own_zone(candidate, input))
        .max_by_key(|candidate| {
            let id = candidate.upstream.entry.id.as_bytes();
            xxh3_64_with_seed(id, anchor.id)
        })
        .map(|candidate| candidate.key)
}

fn evaluate(
    place: CandidatePlace,
    input: &ChoiceInput,
    source: Option<FetchSource>,
    known_tokens: u32,
) -> UpstreamChoice {
    let UpstreamCandidate { key, upstream, .. } = *place.candidate;
    let cached = cached_tokens(place.candidate, input);
    let source = source.filter(|source| source.key != key && source.tokens > cached);
    let fetched = source.map_or(0, |source| source.tokens - cached);
    let prefill = input.prompt.prompt_tokens.saturating_sub(cached + fetched);
    let mut cost = wait_cost(
        input,
        place.candidate,
        f64::from(prefill) + FETCH_RATIO * f64::from(fetched),
    );
    let prefilled_again = known_tokens.saturating_sub(cached + fetched);
    cost += (REPEATED_PREFILL_COST * f64::from(prefilled_again) + FETCH_COST * f64::from(fetched))
        / 1000.0;
    cost += stall_cost(place, input, f64::from(prefill));
    cost += FAILURE_COST * upstream.health.failure_share();
    if upstream.health.unproven() && !input.repeatable {
        cost += FAILURE_COST;
    }
    if !is_own_zone(place.candidate, input) {
        cost += CROSS_ZONE_COST;
    }
    if place.is_home {
        let shared = input.prompt.shared_tokens();
        cost -= HOME_BONUS * f64::from(shared) / 1000.0;
    }
    cost += RANK_COST * place.rank as f64 / (input.senders.len() + 1) as f64;
    UpstreamChoice {
        key,
        cost,
        prefill_tokens: prefill,
        cached_tokens: cached,
        known_tokens,
        taken_tokens: prefill + fetched,
        fetch_from: source.map(|source| source.key),
    }
}

/// Number of sending nodes that rank before this one at an upstream. All nodes compute the same
/// order, and it differs from upstream to upstream.
fn own_rank(upstream: &Upstream, input: &ChoiceInput) -> usize {
    let id = upstream.entry.id.as_bytes();
    let own = xxh3_64_with_seed(id, input.node);
    let before = |sender: &&u64| xxh3_64_with_seed(id, **sender) < own;
    input.senders.iter().filter(before).count()
}

/// Cost of the call's own wait.
fn wait_cost(input: &ChoiceInput, candidate: &UpstreamCandidate, prefill: f64) -> f64 {
    let total = candidate.total;
    let ratio = candidate.upstream.load.speed.ratio();
    let wait_ms = (f64::from(total.prompt_tokens) + prefill) / TOKENS_PER_MS * ratio.prefill
        + CALL_DELAY_MS * f64::from(total.calls) * ratio.token;
    wait_ms / input.target.as_secs_f64().max(0.001)
}

/// Cost to tight streams of prompts that are prefilled beside them, now and later.
fn stall_cost(place: CandidatePlace, input: &ChoiceInput, prefill: f64) -> f64 {
    let total = place.candidate.total;
    let ratio = place.candidate.upstream.load.speed.ratio();
    let pending = (f64::from(total.prompt_tokens) + prefill) / STALL_TOKENS * ratio.prefill;
    let arriving = if input.tight && !place.reserved {
        ARRIVING_PROMPTS_COST
    } else {
        0.0
    };
    let streams = if input.tight {
        3.0
    } else if place.reserved {
        f64::from(total.tight_streams).max(MIN_RESERVED_STREAMS)
    } else {
        f64::from(total.tight_streams)
    };
    streams * STALL_COST * pending * pending + arriving
}
