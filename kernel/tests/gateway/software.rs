//! Tests of calls whose stream began at a version of the pool's software.

use std::time::Duration;

use monsoonbank_kernel::gateway::cache::CacheMoment;
use monsoonbank_kernel::gateway::choice::{ChoiceInput, choose, free_places};
use monsoonbank_kernel::gateway::prompt::{PromptPart, PromptShape};
use monsoonbank_kernel::gateway::registry::{
    RegistryChange, SoftwareKey, UpstreamEntry, UpstreamRegistry,
};

use crate::engines::{NOW, bulk, input};
use crate::registry::entry;

/// Upstreams of these versions, `u0`, `u1` and so on; `v2` is in the zone of the node.
fn pool(versions: &[&str]) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::default();
    for (index, version) in versions.iter().enumerate() {
        let zone = if *version == "v2" { "east" } else { "west" };
        let entry = UpstreamEntry {
            version: (*version).into(),
            zone: zone.into(),
            ..entry(&format!("u{index}"), 1000 + index as u16, false)
        };
        registry.apply(RegistryChange::Put(entry), true, NOW);
    }
    registry
}

fn software(pool: &str, version: &str) -> SoftwareKey {
    let entry = UpstreamEntry {
        pool: pool.into(),
        version: version.into(),
        ..entry("any", 1, false)
    };
    entry.software()
}

fn chosen(registry: &UpstreamRegistry, software: Option<SoftwareKey>) -> Option<Box<str>> {
    let prompt = bulk(1000);
    let call = ChoiceInput {
        software,
        ..input(&prompt, false)
    };
    let choice = choose(registry, &call)?;
    Some(registry.get(choice.key)?.entry.id.clone())
}

/// Defines a case: versions of the pool's upstreams, the version that began the stream, and the
/// upstream that gets the call.
macro_rules! goes_on_at {
    ($($name:ident: $versions:expr, $software:expr => $upstream:expr;)*) => {$(
        #[test]
        fn $name() {
            let expected: Option<&str> = $upstream;
            assert_eq!(chosen(&pool(&$versions), $software).as_deref(), expected);
        }
    )*};
}

// Guards against a stream that goes on at another software version.
goes_on_at! {
    a_new_stream_goes_to_the_nearest: ["v1", "v2"], None => Some("u1");
    a_stream_goes_on_at_its_version: ["v1", "v2"], Some(software("model", "v1")) => Some("u0");
    a_version_that_is_gone_serves_nothing: ["v2", "v2"], Some(software("model", "v1")) => None;
    another_pool_has_no_version_in_common: ["v1", "v2"], Some(software("plain", "v1")) => None;
    versions_are_compared_as_a_whole: ["v1.1", "v2"], Some(software("model", "v1")) => None;
}

// Guards against places that are counted as free for a stream that may not go there.
#[test]
fn only_places_of_its_version_are_free() {
    let registry = pool(&["v1", "v2", "v2"]);
    let prompt = bulk(1000);
    let places = |software| {
        let call = ChoiceInput {
            software,
            ..input(&prompt, false)
        };
        free_places(&registry, &call)
    };
    assert!(places(Some(software("model", "v1"))) < places(None));
    assert_eq!(places(Some(software("model", "v3"))), 0);
}

// Guards against a stream that goes on from what another software version cached.
#[test]
fn a_stream_fetches_from_its_version_only() {
    let mut registry = pool(&["v1", "v2", "v1"]);
    let part = PromptPart {
        id: 7,
        tokens: 5000,
    };
    let own = PromptPart { id: 8, tokens: 100 };
    let prompt = PromptShape {
        prompt_tokens: 5100,
        output_tokens: 100,
        expected_tokens: None,
        parts: [part, own].into(),
    };
    let caches = |registry: &mut UpstreamRegistry, id: &str| {
        let key = registry.key(id).expect("known");
        let upstream = registry.get_mut(key).expect("known");
        upstream.load.record_part_prefilled(part.id, NOW);
        let moment = CacheMoment {
            now: NOW,
            held_tokens: 0,
        };
        assert!(upstream.load.cache.prefilled_tokens(&prompt, moment) > 0);
        key
    };
    let fetched = |registry: &UpstreamRegistry, tried: &[_]| {
        let call = ChoiceInput {
            software: Some(software("model", "v1")),
            tried,
            now: NOW + Duration::from_millis(1),
            ..input(&prompt, false)
        };
        choose(registry, &call).expect("a choice").fetch_from
    };
    caches(&mut registry, "u1");
    assert_eq!(fetched(&registry, &[]), None);
    let source = caches(&mut registry, "u0");
    assert_eq!(fetched(&registry, &[source]), Some(source));
}

// Guards against a version that is not found since few of a large pool's upstreams run it.
#[test]
fn a_rare_version_of_a_large_pool_is_found() {
    let mut versions = vec!["v2"; 5000];
    versions.push("v1");
    let registry = pool(&versions);
    let found = chosen(&registry, Some(software("model", "v1")));
    assert_eq!(found.as_deref(), Some("u5000"));
}

/// Defines a case: versions of the pool's upstreams, those that have left, the time in ms since when
/// streams can have begun, and the version that must have begun them.
macro_rules! sole_versions {
    ($($name:ident: $versions:expr, $left:expr, $since:literal => $sole:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut registry = pool(&$versions);
            let left_at = NOW + Duration::from_secs(1);
            let left: &[&str] = &$left;
            for id in left {
                registry.apply(RegistryChange::Removed { id: (*id).into(), at: None }, true, left_at);
            }
            let since = NOW + Duration::from_millis($since);
            assert_eq!(registry.sole_software("model", since), $sole);
        }
    )*};
}

// Guards against a version that is taken for the only one.
sole_versions! {
    no_upstream_has_no_version: [], [], 0 => None;
    one_version_is_the_only_one: ["v1", "v1"], [], 0 => Some(software("model", "v1"));
    two_versions_are_not_told_apart: ["v1", "v2"], [], 0 => None;
    a_version_that_left_later_counts: ["v1", "v2"], ["u0"], 1000 => None;
    a_version_that_left_before_does_not_count: ["v1", "v2"], ["u0"], 1001 => Some(software("model", "v2"));
}

/// Defines a case: versions of the pool's upstreams, those that have left, and whether a stream of
/// version `v1` may go to a part of those that are left only.
macro_rules! bound_streams {
    ($($name:ident: $versions:expr, $left:expr => $bound:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut registry = pool(&$versions);
            let left: &[&str] = &$left;
            for id in left {
                registry.apply(RegistryChange::Removed { id: (*id).into(), at: None }, true, NOW);
            }
            assert_eq!(registry.has_other_software("model", software("model", "v1")), $bound);
        }
    )*};
}

// Guards against streams that go before waiting calls although these may go nowhere else.
bound_streams! {
    a_pool_of_its_version_does_not_bind_a_stream: ["v1", "v1"], [] => false;
    a_second_version_binds_a_stream: ["v1", "v2"], [] => true;
    a_second_version_that_left_does_not_bind_it: ["v1", "v2"], ["u1"] => false;
}
