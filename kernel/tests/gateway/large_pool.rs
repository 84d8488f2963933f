//! Selection of an upstream in a pool of 10,000.
//!
//! Guards against a selection whose cost grows with the pool, and against calls that open a
//! connection to another idle engine each time and find no prompt cached.

use std::collections::BTreeSet;
use std::time::Duration;

use monsoonbank_kernel::gateway::choice::{ChoiceInput, choose, preferred};
use monsoonbank_kernel::gateway::load::WorkItem;
use monsoonbank_kernel::gateway::prompt::{PromptPart, PromptShape};
use monsoonbank_kernel::gateway::registry::{
    CandidateWindow, RegistryChange, UpstreamKey, UpstreamRegistry,
};

use crate::engines::{NOW, bulk, input, registry};

const UPSTREAMS: usize = 10_000;
const SLOTS: u32 = 64;
const ZONES: [&str; 5] = ["east", "north", "west", "south", "central"];
/// Largest number of upstreams that a selection may consider while they are idle.
const MAX_CANDIDATES: usize = 256;

fn fleet() -> UpstreamRegistry {
    let zones: Vec<&str> = (0..UPSTREAMS).map(|index| ZONES[index % 5]).collect();
    registry(&zones, SLOTS)
}

fn begin(registry: &mut UpstreamRegistry, key: UpstreamKey, item: WorkItem) {
    let upstream = registry.get_mut(key).expect("known");
    upstream.load.begin(item);
    upstream.load.sent(NOW);
}

fn item(tokens: u32) -> WorkItem {
    WorkItem {
        prefill_tokens: tokens,
        held_tokens: tokens,
        tight: false,
    }
}

/// Sends calls that never end. Returns the upstreams that they went to.
fn send(registry: &mut UpstreamRegistry, calls: usize, tokens: u32) -> BTreeSet<UpstreamKey> {
    let prompt = bulk(tokens);
    let keys = (0..calls).map(|_| {
        let choice = choose(registry, &input(&prompt, false)).expect("capacity");
        begin(registry, choice.key, item(tokens));
        choice.key
    });
    keys.collect()
}

#[test]
fn a_few_calls_at_a_time_go_to_a_few_of_many_upstreams() {
    let mut registry = fleet();
    let used = send(&mut registry, 100, 1000);
    let first: BTreeSet<UpstreamKey> = preferred(&registry, "model", "east")
        .map(|(key, _)| key)
        .collect();
    assert!(used.is_subset(&first), "{} upstreams", used.len());
    let window = CandidateWindow { near: 64, far: 32 };
    let candidates = registry.candidates("model", "east", window);
    assert!(candidates.len() <= MAX_CANDIDATES, "{}", candidates.len());
}

#[test]
fn a_surge_spreads_to_further_upstreams_before_the_first_are_full() {
    let mut registry = fleet();
    let used = send(&mut registry, 1500, 10_000);
    let most = registry.iter().map(|(_, one)| one.load.own().prompt_tokens);
    // Five prompts take a second, half of the target.
    assert!(most.max() <= Some(50_000));
    assert!(used.len() >= 300, "{} upstreams", used.len());
}

#[test]
fn a_pool_that_is_full_but_for_one_upstream_is_searched_to_the_end() {
    let mut registry = fleet();
    let keys: Vec<UpstreamKey> = registry.usable("model").map(|(key, _)| key).collect();
    let free = keys[UPSTREAMS / 2];
    for key in keys.iter().filter(|key| **key != free) {
        for _ in 0..SLOTS {
            begin(&mut registry, *key, item(100));
        }
    }
    let prompt = bulk(100);
    let choice = choose(&registry, &input(&prompt, false)).expect("capacity");
    assert_eq!(choice.key, free);
}

#[test]
fn healthy_upstreams_go_before_backed_off_ones_that_are_first_in_order() {
    let mut registry = fleet();
    let first: Vec<UpstreamKey> = ZONES
        .iter()
        .flat_map(|zone| preferred(&registry, "model", zone).map(|(key, _)| key))
        .collect();
    for key in &first {
        let upstream = registry.get_mut(*key).expect("known");
        upstream.health.unreachable(NOW);
    }
    let prompt = bulk(100);
    let choice = choose(&registry, &input(&prompt, false)).expect("capacity");
    assert!(!first.contains(&choice.key));
}

#[test]
fn a_prompt_that_is_cached_far_down_the_order_is_found_there() {
    let mut registry = fleet();
    let last = registry.first("model", "east", usize::MAX).last();
    let (last, _) = last.expect("an upstream");
    let upstream = registry.get_mut(last).expect("known");
    upstream.load.record_part_prefilled(7, NOW);
    let prompt = PromptShape {
        prompt_tokens: 6000,
        output_tokens: 100,
        expected_tokens: None,
        parts: [
            PromptPart {
                id: 7,
                tokens: 5000,
            },
            PromptPart {
                id: 9,
                tokens: 1000,
            },
        ]
        .into(),
    };
    let choice = choose(&registry, &input(&prompt, false)).expect("capacity");
    assert_eq!((choice.key, choice.cached_tokens), (last, 5000));
}

#[test]
fn an_upstream_that_is_used_no_longer_is_not_active() {
    let mut registry = fleet();
    send(&mut registry, 10, 100);
    assert!(registry.active().count() > 0);
    let keys: Vec<UpstreamKey> = registry.active().map(|(key, _)| key).collect();
    for key in keys {
        let load = &mut registry.get_mut(key).expect("known").load;
        let calls = load.own().calls;
        (0..calls).for_each(|_| load.end(item(100)));
    }
    registry.expire_active(NOW + Duration::from_secs(1));
    assert_eq!(registry.active().count(), 0);
}

/// All nodes compute the same order, also if they learned of the upstreams in another one.
#[test]
fn nodes_agree_on_the_first_upstreams() {
    let one = fleet();
    let mut entries: Vec<_> = one
        .newest()
        .map(|upstream| upstream.entry.clone())
        .collect();
    entries.reverse();
    let mut other = UpstreamRegistry::default();
    for entry in entries {
        other.apply(RegistryChange::Put(entry), true, NOW);
    }
    let first = |registry: &UpstreamRegistry| -> Vec<Box<str>> {
        let first = preferred(registry, "model", "north");
        first
            .map(|(_, upstream)| upstream.entry.id.clone())
            .collect()
    };
    assert_eq!(first(&one), first(&other));
    assert_eq!(one.digest(), other.digest());
}

/// A call of another zone's node prefers that zone.
#[test]
fn nodes_of_each_zone_use_its_own_upstreams() {
    let registry = fleet();
    let prompt = bulk(100);
    for zone in ZONES {
        let call = ChoiceInput {
            zone,
            ..input(&prompt, false)
        };
        let choice = choose(&registry, &call).expect("capacity");
        let upstream = registry.get(choice.key).expect("known");
        assert_eq!(&*upstream.entry.zone, zone);
    }
}
