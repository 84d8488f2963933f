//! Looks at all upstreams of a pool for one call: how many places are free, so that as many calls of
//! other nodes can go before it, and why there is none.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::gateway::capacity::{self, RoomLimit};
use crate::gateway::choice::{self, CandidatePlace, ChoiceInput};
use crate::gateway::load::WorkCount;
use crate::gateway::partition::{self, UpstreamCandidate};
use crate::gateway::registry::{CandidateWindow, UpstreamRegistry};

/// Number of calls like this one that the pool has places for: 0 if `choose` would find no healthy
/// upstream.
pub fn free_places(registry: &UpstreamRegistry, input: &ChoiceInput) -> u32 {
    let all = whole_pool(registry, input);
    let usable = all
        .iter()
        .filter(|candidate| !candidate.backed_off && input.may_try(candidate));
    let open = places(&all, usable, input)
        .filter(|place| capacity::has_capacity(*place, prefill_tokens(place, input), input));
    open.map(|place| capacity::free_slots(place, input)).sum()
}

/// Why a call finds no place in its pool, and the work that this node counts there. Calls are added up
/// over all upstreams of the pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RoomReport {
    /// Number of upstreams that have room; 0 if a call waits.
    pub open: u32,
    /// Number of upstreams that are backed off after failures.
    pub backed_off: u32,
    /// Number of upstreams that the call was sent to, or that run another software version.
    pub excluded: u32,
    /// Number of upstreams without room, by the first limit that they are at.
    pub closed: BTreeMap<RoomLimit, u32>,
    /// Number of slots.
    pub slots: u32,
    /// Calls of this node.
    pub own_calls: u32,
    /// Calls that other nodes reported.
    pub other_calls: u32,
    /// Calls that nodes whose heartbeats stopped are assumed to have.
    pub silent_calls: u32,
    /// Calls that other nodes are assumed to have sent since their reports.
    pub unreported_calls: u32,
}

/// Reports how a pool's upstreams look to a call.
pub fn room_report(registry: &UpstreamRegistry, input: &ChoiceInput) -> RoomReport {
    let all = whole_pool(registry, input);
    let mut report = RoomReport::default();
    for place in places(&all, all.iter(), input) {
        let candidate = place.candidate;
        let load = &candidate.upstream.load;
        let known: WorkCount = load.total(input.now);
        report.slots += candidate.upstream.entry.slots;
        report.own_calls += load.own().calls;
        report.other_calls += known.calls - load.own().calls;
        report.silent_calls += candidate.total.calls - known.calls;
        report.unreported_calls += capacity::unreported_calls(place, input) as u32;
        if candidate.backed_off {
            report.backed_off += 1;
        } else if !input.may_try(candidate) {
            report.excluded += 1;
        } else if let Some(limit) =
            capacity::room_limit(place, prefill_tokens(&place, input), input)
        {
            *report.closed.entry(limit).or_default() += 1;
        } else {
            report.open += 1;
        }
    }
    report
}

fn whole_pool<'a>(
    registry: &'a UpstreamRegistry,
    input: &ChoiceInput,
) -> Vec<UpstreamCandidate<'a>> {
    let largest = registry.usable_count(input.pool);
    let whole = CandidateWindow {
        near: largest,
        far: largest,
    };
    choice::candidates(registry, input, whole)
}

fn places<'a>(
    all: &[UpstreamCandidate<'a>],
    candidates: impl Iterator<Item = &'a UpstreamCandidate<'a>>,
    input: &ChoiceInput,
) -> impl Iterator<Item = CandidatePlace<'a>> {
    let reserved = partition::reserved_for_tight(all);
    let brittle = choice::is_brittle(all, input);
    candidates.map(move |candidate| CandidatePlace {
        candidate,
        reserved: reserved.contains(&candidate.key),
        is_home: false,
        rank: choice::own_rank(candidate.upstream, input),
        brittle,
    })
}

fn prefill_tokens(place: &CandidatePlace, input: &ChoiceInput) -> u32 {
    let cached = choice::cached_tokens(place.candidate, input);
    input.prompt.prompt_tokens.saturating_sub(cached)
}
