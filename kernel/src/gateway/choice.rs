//! Which upstream takes a call.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::prompt::PromptShape;
use crate::gateway::registry::{Upstream, UpstreamKey, UpstreamRegistry};

/// What another call in a batch costs the others, in prompt tokens: one more call lengthens each
/// step, which over a usual answer equals reading about this many tokens.
const CALL_TOKENS: f64 = 300.0;
/// What bytes between availability zones are worth, in prompt tokens of waiting.
const ZONE_TOKENS: f64 = 2500.0;
/// What a call that is sent in vain costs, in prompt tokens.
const FAILURE_TOKENS: f64 = 20_000.0;

/// Where a call comes from and what it needs.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceInput<'a> {
    /// The pool.
    pub pool: &'a str,
    /// This node's availability zone.
    pub zone: &'a str,
    /// The call's prompt.
    pub prompt: &'a PromptShape,
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
    /// Its cost, in prompt tokens.
    pub cost: f64,
    /// Prompt tokens that it has to read.
    pub unread_tokens: u32,
}

/// The cheapest upstream that takes new work, if there is any.
pub fn choose(registry: &UpstreamRegistry, input: &ChoiceInput) -> Option<UpstreamChoice> {
    let fresh = |key: &UpstreamKey| !input.tried.contains(key);
    let candidates: Vec<(UpstreamKey, &Upstream)> = registry
        .usable(input.pool)
        .filter(|(key, _)| fresh(key))
        .collect();
    let rested = candidates
        .iter()
        .any(|(_, upstream)| !upstream.health.resting(input.now));
    let home = anchor_home(&candidates, input);
    candidates
        .iter()
        .filter(|(_, upstream)| !rested || !upstream.health.resting(input.now))
        .map(|(key, upstream)| weigh(*key, upstream, input, home))
        .min_by(|one, other| one.cost.total_cmp(&other.cost))
}

/// The upstream that all nodes agree on for the call's longest shared part: highest hash wins.
fn anchor_home(
    candidates: &[(UpstreamKey, &Upstream)],
    input: &ChoiceInput,
) -> Option<UpstreamKey> {
    let anchor = input.prompt.anchor()?;
    let local = |upstream: &Upstream| &*upstream.entry.zone == input.zone;
    let any_local = candidates.iter().any(|(_, upstream)| local(upstream));
    candidates
        .iter()
        .filter(|(_, upstream)| !any_local || local(upstream))
        .max_by_key(|(_, upstream)| xxh3_64_with_seed(upstream.entry.id.as_bytes(), anchor.id))
        .map(|(key, _)| *key)
}

fn weigh(
    key: UpstreamKey,
    upstream: &Upstream,
    input: &ChoiceInput,
    home: Option<UpstreamKey>,
) -> UpstreamChoice {
    let unread = unread_tokens(upstream, input, home == Some(key));
    let total = upstream.load.total(input.now);
    let mut cost = f64::from(total.prompt_tokens) + CALL_TOKENS * f64::from(total.calls);
    cost += f64::from(unread);
    cost += FAILURE_TOKENS * upstream.health.failures();
    if &*upstream.entry.zone != input.zone {
        cost += ZONE_TOKENS;
    }
    if total.calls >= upstream.entry.slots {
        cost += f64::from(total.calls - upstream.entry.slots + 1) * CALL_TOKENS * 10.0;
    }
    UpstreamChoice {
        key,
        cost,
        unread_tokens: unread,
    }
}

/// Prompt tokens that the upstream does not keep. A part counts as kept only behind kept parts.
fn unread_tokens(upstream: &Upstream, input: &ChoiceInput, home: bool) -> u32 {
    let mut kept = 0;
    for part in input.prompt.shared_parts() {
        if !home && !upstream.load.keeps(part.id, input.now) {
            break;
        }
        kept += part.tokens;
    }
    input.prompt.prompt_tokens.saturating_sub(kept)
}
