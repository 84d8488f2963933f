//! What is believed of upstreams when entries come, go, lapse and return.

use std::time::Duration;

use monsoonbank_kernel::gateway::registry::{
    LeavingCause, RegistryChange, UpstreamEntry, UpstreamRegistry,
};

pub fn entry(id: &str, port: u16, leaving: bool) -> UpstreamEntry {
    UpstreamEntry {
        id: id.into(),
        pool: "model".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "east".into(),
        slots: 10,
        leaving,
    }
}

const START: Duration = Duration::ZERO;
const SECOND: Duration = Duration::from_secs(1);

fn usable(registry: &UpstreamRegistry) -> Vec<&str> {
    registry
        .usable("model")
        .map(|(_, upstream)| &*upstream.entry.id)
        .collect()
}

fn put(registry: &mut UpstreamRegistry, id: &str, port: u16, leaving: bool) {
    registry.apply(RegistryChange::Put(entry(id, port, leaving)), true, START);
}

#[test]
fn draining_sticks_for_an_id() {
    let mut registry = UpstreamRegistry::default();
    put(&mut registry, "a", 1, true);
    put(&mut registry, "a", 1, false);
    assert!(usable(&registry).is_empty());
}

#[test]
fn a_removal_in_good_times_counts_at_once() {
    let mut registry = UpstreamRegistry::default();
    put(&mut registry, "a", 1, false);
    registry.apply(RegistryChange::Removed("a".into()), true, START);
    assert!(usable(&registry).is_empty());
}

#[test]
fn a_removal_in_doubt_waits_for_the_return() {
    let mut registry = UpstreamRegistry::default();
    put(&mut registry, "a", 1, false);
    put(&mut registry, "b", 2, false);
    for id in ["a", "b"] {
        registry.apply(
            RegistryChange::Removed(id.into()),
            false,
            Duration::from_secs(5),
        );
    }
    assert!(registry.settle(START, Duration::from_secs(6)).is_empty());
    assert_eq!(usable(&registry), ["a", "b"]);
    put(&mut registry, "a", 1, false);
    assert_eq!(registry.settle(START, Duration::from_secs(8)).len(), 1);
    assert_eq!(usable(&registry), ["a"]);
    let b = registry
        .key("b")
        .and_then(|key| registry.get(key))
        .expect("known");
    assert_eq!(b.left, Some(LeavingCause::Lapsed));
    put(&mut registry, "b", 2, false);
    assert_eq!(
        usable(&registry),
        ["a", "b"],
        "an entry that is back after all counts"
    );
}

#[test]
fn a_new_incarnation_at_an_address_replaces_the_old() {
    let mut registry = UpstreamRegistry::default();
    put(&mut registry, "old", 1, false);
    put(&mut registry, "new", 1, false);
    assert_eq!(usable(&registry), ["new"]);
    put(&mut registry, "old", 1, false);
    assert_eq!(
        usable(&registry),
        ["new"],
        "a late heartbeat of the old changes nothing"
    );
}

#[test]
fn digests_agree_for_the_same_knowledge_in_any_order() {
    let (mut one, mut other) = (UpstreamRegistry::default(), UpstreamRegistry::default());
    put(&mut one, "a", 1, false);
    put(&mut one, "b", 2, true);
    put(&mut other, "b", 2, false);
    put(&mut other, "a", 1, false);
    assert_ne!(one.digest(), other.digest());
    put(&mut other, "b", 2, true);
    assert_eq!(one.digest(), other.digest());
}

#[test]
fn a_departure_is_told_for_a_while_and_taken_from_others() {
    let mut teller = UpstreamRegistry::default();
    let mut hearer = UpstreamRegistry::default();
    for registry in [&mut teller, &mut hearer] {
        registry.apply(RegistryChange::Put(entry("i-1", 1, false)), true, SECOND);
    }
    assert!(teller.departures(SECOND).is_empty());
    teller.apply(RegistryChange::Put(entry("i-1", 1, true)), true, SECOND * 2);
    let told = teller.departures(SECOND * 2);
    assert_eq!(told.len(), 1);
    assert!(teller.departures(SECOND * 4).is_empty());
    assert!(hearer.departed(told[0], SECOND * 2).is_some());
    assert!(hearer.departed(told[0], SECOND * 2).is_none(), "no news");
    assert_eq!(hearer.usable("model").count(), 0);
    assert_eq!(hearer.digest(), teller.digest());
}

#[test]
fn an_entry_that_may_come_back_is_no_departure() {
    let mut registry = UpstreamRegistry::default();
    registry.apply(RegistryChange::Put(entry("i-1", 1, false)), true, SECOND);
    registry.apply(RegistryChange::Removed("i-1".into()), false, SECOND);
    assert!(registry.departures(SECOND).is_empty());
}
