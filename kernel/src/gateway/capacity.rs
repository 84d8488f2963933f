//! Decides whether an upstream has capacity for a call.

use std::time::Duration;

use serde::Serialize;

use crate::gateway::choice::{CandidatePlace, ChoiceInput};

/// Share of an engine's slots that is used. The rest is for calls that other nodes have sent and
/// not reported yet.
const SLOT_SHARE: f64 = 0.95;
/// Share of the KV cache that calls may occupy. The rest is for tokens cached between calls.
const CACHE_SHARE: f64 = 0.85;
/// Share of slots and cache that the least urgent calls leave free. A surge fills all engines up to
/// the share of the least urgent tier, so the difference between tiers has to fit a prompt or two.
const RESERVED_SHARE: f64 = 0.3;
/// Part of its tier's reserve that a call leaves free in slots if less urgent calls use the pool.
/// With many tiers, the slots between neighbours are fewer than the calls that are not reported
/// yet; without this, the least urgent work fills engines as far as the tiers above it.
const OVERTAKING_RESERVE: f64 = 0.25;
/// Maximum share of an engine's slots that a node leaves to nodes that rank before it there.
/// Without this order all nodes would take the slot that becomes free, since all learn of it from
/// the same heartbeat.
const UNREPORTED_SHARE: f64 = 0.05;
/// Share of a call's latency target that the prefill of earlier prompts may take. With a limit on
/// slots alone, prompts queue up until every first token is late; this limit keeps engines busy and
/// their calls in time.
const PREFILL_SHARE: f64 = 0.5;
/// The same share, of the longest target among less urgent classes, for a call that has waited
/// until its own target is lost. It is above `PREFILL_SHARE` by a prompt of those classes, so that
/// none of them is sent where it is not.
const LATE_PREFILL_SHARE: f64 = 0.65;
/// Prompt tokens that an engine prefills in one step.
const CHUNK_TOKENS: u32 = 2048;
/// Share of a reserved engine's slots with tight streams from which on it accepts no prompt of more
/// than one prefill step, except for another tight stream.
const UNDISTURBED_SHARE: f64 = 0.125;
/// Calls per slot of a plain service, which queues a few and ends each within some ms.
const PLAIN_CALLS_PER_SLOT: f64 = 3.0;
/// Calls per slot of a plain service that bears few refusals and may queue none.
const BRITTLE_CALLS_PER_SLOT: f64 = 1.0;

/// Reason why an upstream cannot accept a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RoomLimit {
    /// It asked for a pause, or this node's share of its limit is used.
    Throttle,
    /// The prompt would stretch the gaps of the tight streams that it is reserved for.
    Reserve,
    /// The prompts before this one take too long to prefill.
    Prefill,
    /// Its slots are taken, or left to more urgent calls.
    Slots,
    /// Its KV cache is taken, or left to more urgent calls.
    Cache,
}

/// Whether an upstream can accept the call without delaying or preempting others.
pub fn has_capacity(place: CandidatePlace, prefill: u32, input: &ChoiceInput) -> bool {
    room_limit(place, prefill, input).is_none()
}

/// First limit that keeps an upstream from accepting the call without delaying or preempting others;
/// `None` if it has capacity. Less urgent calls leave more capacity free.
pub fn room_limit(place: CandidatePlace, prefill: u32, input: &ChoiceInput) -> Option<RoomLimit> {
    if !place.candidate.upstream.throttle.is_open(input.now) {
        return Some(RoomLimit::Throttle);
    }
    let total = place.candidate.total;
    let slots = f64::from(place.candidate.upstream.entry.slots);
    if input.cache_tokens == 0 {
        let per_slot = if place.brittle {
            BRITTLE_CALLS_PER_SLOT
        } else {
            PLAIN_CALLS_PER_SLOT
        };
        return (f64::from(total.calls) >= slots * per_slot).then_some(RoomLimit::Slots);
    }
    let disrupts =
        prefill > CHUNK_TOKENS && f64::from(total.tight_streams) >= slots * UNDISTURBED_SHARE;
    if place.reserved && !input.tight && disrupts {
        return Some(RoomLimit::Reserve);
    }
    let is_idle = total.calls == 0;
    let prefill_time = place.candidate.upstream.load.prefill_time(total);
    if !is_idle && prefill_time > prefill_limit(input) {
        return Some(RoomLimit::Prefill);
    }
    let unreported = unreported_calls(place, input);
    if f64::from(total.calls) + unreported >= slots * (SLOT_SHARE - reserved_slots(input)) {
        return Some(RoomLimit::Slots);
    }
    let reserved = reserved_share(input);
    let max_held = (CACHE_SHARE - reserved) * input.cache_tokens as f64;
    let held =
        f64::from(total.held_tokens) + (1.0 + unreported) * f64::from(input.prompt.prompt_tokens);
    (!is_idle && held >= max_held).then_some(RoomLimit::Cache)
}

/// Time that the prefill of earlier prompts may take. Prompts of a less urgent class must not wait
/// at so many engines that calls of a more urgent one find no room. A call that is late in any case
/// has as much room as the less urgent calls that would otherwise be sent instead.
fn prefill_limit(input: &ChoiceInput) -> Duration {
    let shortest = input.shortest_target.unwrap_or(input.target);
    let own = shortest.min(input.target).mul_f64(PREFILL_SHARE);
    if input.late {
        own.max(input.yielding_target.mul_f64(LATE_PREFILL_SHARE))
    } else {
        own
    }
}

/// Share of the cache that calls of this tier leave free.
fn reserved_share(input: &ChoiceInput) -> f64 {
    RESERVED_SHARE * f64::from(input.tier) / f64::from(input.tiers.max(1))
}

/// Share of the slots that calls of this tier leave free.
fn reserved_slots(input: &ChoiceInput) -> f64 {
    if input.yielding_target.is_zero() {
        reserved_share(input)
    } else {
        reserved_share(input) * OVERTAKING_RESERVE
    }
}

/// Number of calls like this one that an engine with capacity for it has slots for, at least 1.
pub fn free_slots(place: CandidatePlace, input: &ChoiceInput) -> u32 {
    let slots = f64::from(place.candidate.upstream.entry.slots);
    let used = f64::from(place.candidate.total.calls) + unreported_calls(place, input);
    let free = slots * (SLOT_SHARE - reserved_slots(input)) - used;
    free.ceil().max(1.0) as u32
}

/// Estimate of calls that other nodes sent but have not reported yet: one from each node that ranks
/// before this one, up to a share of the slots, or, if that is more, as many for each of this
/// node's own unreported calls as other nodes have for each of its reported ones, at most one by
/// each sender.
pub fn unreported_calls(place: CandidatePlace, input: &ChoiceInput) -> f64 {
    let load = &place.candidate.upstream.load;
    let slots = f64::from(place.candidate.upstream.entry.slots);
    let own_unreported = load.unreported_calls(input.now) as f64;
    let reported = (f64::from(load.own().calls) - own_unreported).max(0.0);
    let others = f64::from(place.candidate.total.calls.saturating_sub(load.own().calls));
    let senders = input.senders.len() as f64;
    let ratio = (others + senders) / (reported + 1.0);
    (place.rank as f64)
        .min(slots * UNREPORTED_SHARE)
        .max(own_unreported * ratio.min(senders))
}
