//! Whether an upstream has room for a call.

use crate::gateway::choice::{ChoiceInput, UpstreamPlace};

/// Part of an engine's slots that are given out. The rest is for what other nodes have sent and not
/// told yet.
const SLOT_PART: f64 = 0.82;
/// Part of the cache that calls may hold. The rest is for what is cached between calls.
const CACHE_PART: f64 = 0.85;
/// Part of slots and cache that the least urgent calls leave to others.
const RESERVED_PART: f64 = 0.2;
/// Part of an engine's slots, at most, that a node leaves to those that go before it there. Without
/// an order all nodes take the slot that falls free, since each learns of it by the same word.
const UNSEEN_PART: f64 = 0.15;
/// Prompt tokens that an engine reads in one step.
const CHUNK_TOKENS: u32 = 2048;
/// Part of a kept engine's slots with tight streams above which it takes no longer prompt.
const UNDISTURBED_PART: f64 = 0.125;
/// Calls for each slot of a plain service, which queues a few and ends each in some ms.
const PLAIN_QUEUE: f64 = 3.0;

/// Whether an upstream can take the call without making others wait or be preempted. The less
/// urgent a call is, the more room it leaves for others.
pub fn has_room(place: UpstreamPlace, unread: u32, input: &ChoiceInput) -> bool {
    let total = place.option.total;
    let slots = f64::from(place.option.upstream.entry.slots);
    if input.cache_tokens == 0 {
        return f64::from(total.calls) < slots * PLAIN_QUEUE;
    }
    let crowds =
        unread > CHUNK_TOKENS && f64::from(total.tight_streams) >= slots * UNDISTURBED_PART;
    if place.kept && !input.tight && crowds {
        return false;
    }
    let reserved = RESERVED_PART * f64::from(input.tier) / f64::from(input.tiers.max(1));
    let most_held = (CACHE_PART - reserved) * input.cache_tokens as f64;
    let unseen = unseen_calls(place, input);
    let held =
        f64::from(total.held_tokens) + (1.0 + unseen) * f64::from(input.prompt.prompt_tokens);
    let alone = total.calls == 0;
    f64::from(total.calls) + unseen < slots * (SLOT_PART - reserved) && (alone || held < most_held)
}

/// Calls that others may have sent and not told yet: as many as this node has sent each, and one
/// from each node that goes before it.
fn unseen_calls(place: UpstreamPlace, input: &ChoiceInput) -> f64 {
    let upstream = place.option.upstream;
    let slots = f64::from(upstream.entry.slots);
    let unheard = upstream.load.unheard(input.now) * input.rivals.len();
    (place.rank as f64)
        .min(slots * UNSEEN_PART)
        .max(unheard as f64)
}
