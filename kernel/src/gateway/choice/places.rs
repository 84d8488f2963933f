//! Counts the places of a pool that are free for calls like one that waits, so that as many calls of
//! other nodes can go before it as there are.

use crate::gateway::capacity;
use crate::gateway::choice::{self, CandidatePlace, ChoiceInput};
use crate::gateway::partition;
use crate::gateway::registry::{CandidateWindow, UpstreamRegistry};

/// Number of calls like this one that the pool has places for: 0 if `choose` would find no healthy
/// upstream.
pub fn free_places(registry: &UpstreamRegistry, input: &ChoiceInput) -> u32 {
    let largest = registry.usable_count(input.pool);
    let whole = CandidateWindow {
        near: largest,
        far: largest,
    };
    let all = choice::candidates(registry, input, whole);
    let reserved = partition::reserved_for_tight(&all);
    let brittle = choice::is_brittle(&all, input);
    let usable = all
        .iter()
        .filter(|candidate| !candidate.backed_off && input.may_try(candidate));
    let places = usable.map(|candidate| CandidatePlace {
        candidate,
        reserved: reserved.contains(&candidate.key),
        is_home: false,
        rank: choice::own_rank(candidate.upstream, input),
        brittle,
    });
    let fits = |place: &CandidatePlace| {
        let cached = choice::cached_tokens(place.candidate, input);
        let prefill = input.prompt.prompt_tokens.saturating_sub(cached);
        capacity::has_capacity(*place, prefill, input)
    };
    let free = places.filter(fits);
    free.map(|place| capacity::free_slots(place, input)).sum()
}
