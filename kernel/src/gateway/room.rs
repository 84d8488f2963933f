//! Whether an upstream has room for a call.

use std::time::Duration;

use crate::gateway::choice::{ChoiceInput, UpstreamPlace};
use crate::gateway::load::TOKENS_PER_MS;

/// Part of an engine's slots that are given out. The rest is for what other nodes have sent and not
/// told yet.
const SLOT_PART: f64 = 0.95;
/// Part of the cache that calls may hold. The rest is for what is cached between calls.
const CACHE_PART: f64 = 0.85;
/// Part of slots and cache that the least urgent calls leave to others. A surge fills all engines up
/// to what the least urgent may take, so each rank's share has to fit a prompt or two.
const RESERVED_PART: f64 = 0.3;
/// Part of an engine's slots, at most, that a node leaves to those that go before it there. Without
/// an order all nodes take the slot that falls free, since each learns of it by the same heartbeat.
const UNSEEN_PART: f64 = 0.05;
/// Part of a call's target that the prompts before it may take to be read. Slots alone let prompts
/// pile up until every first token is late; this keeps engines reading and their calls in time.
const READING_PART: f64 = 0.5;
/// Prompt tokens that an engine reads in one step.
const CHUNK_TOKENS: u32 = 2048;
/// Part of a kept engine's slots with tight streams above which it takes no longer prompt.
const UNDISTURBED_PART: f64 = 0.125;
/// Calls for each slot of a plain service, which queues a few and ends each in some ms.
const PLAIN_QUEUE: f64 = 3.0;

/// Whether an upstream can take the call without making others wait or be preempted. The less
/// urgent a call is, the more room it leaves for others.
pub fn has_room(place: UpstreamPlace, unread: u32, input: &ChoiceInput) -> bool {
    if !place.option.upstream.throttle.is_open(input.now) {
        return false;
    }
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
    let alone = total.calls == 0;
    if !alone && reading_time(place) > input.target.mul_f64(READING_PART) {
        return false;
    }
    let reserved = RESERVED_PART * f64::from(input.tier) / f64::from(input.tiers.max(1));
    let most_held = (CACHE_PART - reserved) * input.cache_tokens as f64;
    let unseen = unseen_calls(place, input);
    let held =
        f64::from(total.held_tokens) + (1.0 + unseen) * f64::from(input.prompt.prompt_tokens);
    f64::from(total.calls) + unseen < slots * (SLOT_PART - reserved) && (alone || held < most_held)
}

/// How long an upstream takes to read the prompts that it has.
fn reading_time(place: UpstreamPlace) -> Duration {
    let tokens = f64::from(place.option.total.prompt_tokens);
    Duration::from_secs_f64(tokens / TOKENS_PER_MS / 1000.0)
}

/// Calls that others may have sent and not told yet: one from each node that goes before this one,
/// or as many for each own call that they have not heard of as they have for each of its own.
fn unseen_calls(place: UpstreamPlace, input: &ChoiceInput) -> f64 {
    let load = &place.option.upstream.load;
    let slots = f64::from(place.option.upstream.entry.slots);
    let unheard = load.unheard(input.now) as f64;
    let heard = (f64::from(load.own().calls) - unheard).max(0.0);
    let others = f64::from(place.option.total.calls.saturating_sub(load.own().calls));
    let rivals = input.rivals.len() as f64;
    let ratio = (others + rivals) / (heard + 1.0);
    (place.rank as f64)
        .min(slots * UNSEEN_PART)
        .max(unheard * ratio.min(rivals))
}
