//! Tests of the registry as entries are added, removed, expire and return.

use std::time::Duration;

use monsoonbank_kernel::gateway::cache::CacheMoment;
use monsoonbank_kernel::gateway::prompt::{PromptPart, PromptShape};
use monsoonbank_kernel::gateway::registry::{
    EntryReport, LeavingCause, RegistryChange, Upstream, UpstreamEntry, UpstreamRegistry,
};

pub fn entry(id: &str, port: u16, leaving: bool) -> UpstreamEntry {
    UpstreamEntry {
        id: id.into(),
        born: None,
        pool: "model".into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "east".into(),
        version: "v1".into(),
        slots: 10,
        leaving,
        spot: false,
        written: None,
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
fn a_trusted_removal_applies_at_once() {
    let mut registry = UpstreamRegistry::default();
    put(&mut registry, "a", 1, false);
    registry.apply(
        RegistryChange::Removed {
            id: "a".into(),
            at: None,
        },
        true,
        START,
    );
    assert!(usable(&registry).is_empty());
}

#[test]
fn an_untrusted_removal_applies_after_the_grace_period() {
    let mut registry = UpstreamRegistry::default();
    put(&mut registry, "a", 1, false);
    put(&mut registry, "b", 2, false);
    for id in ["a", "b"] {
        registry.apply(
            RegistryChange::Removed {
                id: id.into(),
                at: None,
            },
            false,
            Duration::from_secs(5),
        );
    }
    assert!(
        registry
            .expire_lapsed(START, Duration::from_secs(6))
            .is_empty()
    );
    assert_eq!(usable(&registry), ["a", "b"]);
    put(&mut registry, "a", 1, false);
    assert_eq!(
        registry.expire_lapsed(START, Duration::from_secs(8)).len(),
        1
    );
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
        "an entry that returns later counts"
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
        "a late heartbeat of the old run changes nothing"
    );
}

/// An entry of a run of upstream `a` at port 1.
fn born(at: u64, leaving: bool) -> RegistryChange {
    RegistryChange::Put(UpstreamEntry {
        born: Some(at),
        ..entry("a", 1, leaving)
    })
}

#[test]
fn a_new_run_under_the_same_id_has_no_state_of_the_old_one() {
    let mut registry = UpstreamRegistry::default();
    registry.apply(born(100, false), true, START);
    let old = registry.key("a").expect("known");
    let upstream = registry.get_mut(old).expect("known");
    upstream.load.record_part_prefilled(7, START);
    upstream.health.unreachable(START);
    registry.apply(born(200, false), true, SECOND);
    let new = registry.key("a").expect("known");
    assert_ne!(old, new);
    let left = registry.get(old).and_then(|upstream| upstream.left);
    assert_eq!(left, Some(LeavingCause::Replaced));
    let upstream = registry.get(new).expect("known");
    let prompt = PromptShape {
        prompt_tokens: 100,
        output_tokens: 1,
        expected_tokens: None,
        parts: [
            PromptPart { id: 7, tokens: 90 },
            PromptPart { id: 8, tokens: 10 },
        ]
        .into(),
    };
    let moment = CacheMoment {
        now: SECOND,
        held_tokens: 0,
    };
    assert_eq!(upstream.load.cache.cached_tokens(&prompt, moment), 0);
    assert!(!upstream.health.unproven());
    assert_eq!(usable(&registry), ["a"]);
}

#[test]
fn a_new_run_under_the_id_of_a_drained_one_accepts_calls() {
    let mut registry = UpstreamRegistry::default();
    registry.apply(born(100, true), true, START);
    assert!(usable(&registry).is_empty());
    registry.apply(born(200, false), true, SECOND);
    assert_eq!(usable(&registry), ["a"]);
}

#[test]
fn a_late_entry_of_the_older_run_changes_nothing() {
    let mut registry = UpstreamRegistry::default();
    registry.apply(born(200, false), true, START);
    assert!(registry.apply(born(100, true), true, SECOND).is_empty());
    put(&mut registry, "a", 1, true);
    assert_eq!(usable(&registry), ["a"]);
}

#[test]
fn a_departure_of_the_older_run_does_not_end_the_newer() {
    let (mut sender, mut receiver) = (UpstreamRegistry::default(), UpstreamRegistry::default());
    sender.apply(born(100, true), true, SECOND);
    receiver.apply(born(100, false), true, SECOND);
    receiver.apply(born(200, false), true, SECOND);
    for hash in sender.departures(SECOND) {
        assert!(receiver.receive_departure(hash, SECOND).is_none());
    }
    assert_eq!(usable(&receiver), ["a"]);
    assert_ne!(sender.digest(), receiver.digest());
    sender.apply(born(200, false), true, SECOND);
    assert_eq!(sender.digest(), receiver.digest());
}

#[test]
fn an_entry_of_another_pool_does_not_end_an_upstream_at_its_address() {
    let mut registry = UpstreamRegistry::default();
    put(&mut registry, "a", 1, false);
    let other = UpstreamEntry {
        pool: "nobody's".into(),
        ..entry("b", 1, false)
    };
    registry.apply(RegistryChange::Put(other), true, SECOND);
    assert_eq!(usable(&registry), ["a"]);
}

#[test]
fn digests_agree_for_the_same_entries_in_any_order() {
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
fn a_departure_is_reported_for_a_while_and_applied_by_others() {
    let mut sender = UpstreamRegistry::default();
    let mut receiver = UpstreamRegistry::default();
    for registry in [&mut sender, &mut receiver] {
        registry.apply(RegistryChange::Put(entry("i-1", 1, false)), true, SECOND);
    }
    assert!(sender.departures(SECOND).is_empty());
    sender.apply(RegistryChange::Put(entry("i-1", 1, true)), true, SECOND * 2);
    let reported = sender.departures(SECOND * 2);
    assert_eq!(reported.len(), 1);
    assert!(sender.departures(SECOND * 4).is_empty());
    assert!(
        receiver
            .receive_departure(reported[0], SECOND * 2)
            .is_some()
    );
    assert!(
        receiver
            .receive_departure(reported[0], SECOND * 2)
            .is_none(),
        "not a change"
    );
    assert_eq!(receiver.usable("model").count(), 0);
    assert_eq!(receiver.digest(), sender.digest());
}

#[test]
fn an_entry_that_may_come_back_is_no_departure() {
    let mut registry = UpstreamRegistry::default();
    registry.apply(RegistryChange::Put(entry("i-1", 1, false)), true, SECOND);
    registry.apply(
        RegistryChange::Removed {
            id: "i-1".into(),
            at: None,
        },
        false,
        SECOND,
    );
    assert!(registry.departures(SECOND).is_empty());
}

// Guards against an upstream that announced in an answer that it leaves, while its entry is still
// marked as ready.
#[test]
fn an_announced_departure_sticks_whatever_the_entry_says() {
    let mut registry = UpstreamRegistry::default();
    put(&mut registry, "a", 1, false);
    let key = registry.key("a").expect("known");
    assert!(registry.record_announcement(key, SECOND));
    assert!(!registry.record_announcement(key, SECOND));
    put(&mut registry, "a", 1, false);
    assert!(usable(&registry).is_empty());
    assert_eq!(registry.departures(SECOND).len(), 1);
}

// Guards against a lapsed entry that returns after its upstream announced that it leaves.
#[test]
fn an_announced_departure_outlasts_a_lapse() {
    for announced_first in [true, false] {
        let mut registry = UpstreamRegistry::default();
        put(&mut registry, "a", 1, false);
        let key = registry.key("a").expect("known");
        registry.apply(
            RegistryChange::Removed {
                id: "a".into(),
                at: None,
            },
            false,
            START,
        );
        if announced_first {
            registry.record_announcement(key, SECOND);
        }
        registry.expire_lapsed(START, SECOND * 5);
        assert_eq!(
            !announced_first,
            registry.record_announcement(key, SECOND * 6)
        );
        put(&mut registry, "a", 1, false);
        assert!(usable(&registry).is_empty());
    }
}

// Guards against a new run under an old id that gets no calls because the previous run left.
#[test]
fn a_new_run_has_not_left() {
    let mut registry = UpstreamRegistry::default();
    put(&mut registry, "a", 1, false);
    let key = registry.key("a").expect("known");
    registry.record_announcement(key, SECOND);
    let run = UpstreamEntry {
        born: Some(7),
        ..entry("a", 1, false)
    };
    registry.apply(RegistryChange::Put(run), true, SECOND);
    assert_eq!(usable(&registry), ["a"]);
}

// Guards against a stale digest, with which nodes never learn that they lack changes.
#[test]
fn the_digest_follows_every_change() {
    let mut registry = UpstreamRegistry::default();
    let mut seen = vec![registry.digest()];
    let mut differs = |registry: &UpstreamRegistry, what: &str| {
        let digest = registry.digest();
        assert!(!seen.contains(&digest), "{what}");
        seen.push(digest);
    };
    for (id, port) in [("a", 1), ("b", 2), ("c", 3), ("d", 4), ("e", 5)] {
        put(&mut registry, id, port, false);
        differs(&registry, id);
    }
    let key = |registry: &UpstreamRegistry, id: &str| registry.key(id).expect("known");
    let a = key(&registry, "a");
    registry.record_announcement(a, START);
    differs(&registry, "announced");
    let b = registry.get(key(&registry, "b")).expect("known");
    registry.receive_departure(b.entry.run_hash(), START);
    differs(&registry, "departed");
    let c = key(&registry, "c");
    registry.record_replacement(c, START);
    differs(&registry, "replaced");
    registry.retain(
        &["a".into(), "b".into(), "c".into(), "e".into()],
        None,
        true,
        START,
    );
    differs(&registry, "not listed");
    registry.apply(
        RegistryChange::Removed {
            id: "e".into(),
            at: None,
        },
        false,
        START,
    );
    registry.expire_lapsed(START, SECOND * 3);
    differs(&registry, "lapsed");
}

/// Number of entries that a node sends to another one with fewer or different ones.
fn sent(from: &UpstreamRegistry, to: &UpstreamRegistry) -> usize {
    from.differing(to.bucket_digests()).count()
}

// Guards against sending the whole registry whenever one upstream is added or leaves.
#[test]
fn nodes_send_only_upstreams_that_differ() {
    const COUNT: u16 = 3_000;
    let mut full = UpstreamRegistry::default();
    for port in 1..=COUNT {
        put(&mut full, &format!("u{port}"), port, false);
    }
    let empty = UpstreamRegistry::default();
    assert_eq!(sent(&full, &empty), usize::from(COUNT));
    assert_eq!(sent(&full, &full), 0);
    assert_eq!(full.differing(&[]).count(), usize::from(COUNT));
    let mut newer = full.clone();
    let key = newer.key("u7").expect("known");
    newer.record_announcement(key, START);
    let few = sent(&newer, &full);
    assert!((1..=usize::from(COUNT) / 50).contains(&few), "{few}");
    let reports: Vec<EntryReport> = newer
        .differing(full.bucket_digests())
        .map(Upstream::report)
        .collect();
    full.merge(reports, START);
    assert_eq!(full.digest(), newer.digest());
}

// Guards against an upstream that is taken for the version that ran under its id before.
#[test]
fn another_version_under_an_id_is_another_run() {
    let mut registry = UpstreamRegistry::default();
    put(&mut registry, "a", 1, false);
    let older = registry.key("a").expect("known");
    let digest = registry.digest();
    let run = UpstreamEntry {
        version: "v2".into(),
        ..entry("a", 1, false)
    };
    registry.apply(RegistryChange::Put(run.clone()), true, SECOND);
    let newer = registry.key("a").expect("known");
    assert_ne!(older, newer);
    let left = registry.get(older).expect("known").left;
    assert_eq!(left, Some(LeavingCause::Replaced));
    assert_eq!(registry.by_hash(run.run_hash()), Some(newer));
    assert_eq!(registry.by_hash(entry("a", 1, false).run_hash()), None);
    assert_ne!(
        registry.digest(),
        digest,
        "nodes learn of it from each other"
    );
    assert_eq!(usable(&registry), ["a"]);
}
