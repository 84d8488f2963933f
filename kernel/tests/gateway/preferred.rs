//! The preferred upstreams of a fleet of 10,000, as nodes with few calls know them.
//!
//! Guards against a start, a memory or a cost of each change that grow with the number of upstreams
//! at every node of the fleet.

use std::collections::BTreeSet;
use std::time::Duration;

use monsoonbank_kernel::gateway::registry::{
    LeavingCause, RegistryChange, UpstreamEntry, UpstreamRegistry,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const UPSTREAMS: u32 = 10_000;
const NOW: Duration = Duration::from_secs(5);

fn entry(number: u32, zones: u32) -> UpstreamEntry {
    let [_, high, middle, low] = number.to_be_bytes();
    UpstreamEntry {
        id: format!("i-{number:06}").into(),
        born: Some(u64::from(number)),
        pool: if number.is_multiple_of(33) {
            "plain"
        } else {
            "model"
        }
        .into(),
        address: ([10, high, middle, low], 8000).into(),
        zone: format!("zone-{}", number % zones).into(),
        version: "v1".into(),
        slots: 64,
        leaving: false,
        spot: false,
        written: None,
    }
}

fn put(registry: &mut UpstreamRegistry, entry: UpstreamEntry) {
    registry.apply(RegistryChange::Put(entry), true, NOW);
}

fn fleet(upstreams: u32, zones: u32) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::default();
    for number in 0..upstreams {
        put(&mut registry, entry(number, zones));
    }
    registry
}

fn usable(registry: &UpstreamRegistry) -> BTreeSet<&str> {
    let upstreams = registry.iter().map(|(_, upstream)| upstream);
    let usable = upstreams.filter(|upstream| upstream.left.is_none());
    usable.map(|upstream| &*upstream.entry.id).collect()
}

/// Lets a node that knows only the preferred upstreams catch up. Returns the number of entries that
/// it was sent.
fn catch_up(thin: &mut UpstreamRegistry, whole: &UpstreamRegistry) -> usize {
    if whole.preferred_digest() == Some(thin.usable_digest()) {
        return 0;
    }
    let part = whole.preferred_part(thin.usable_digests());
    let sent = part.entries.len();
    thin.replace_preferred(part, NOW);
    assert_eq!(whole.preferred_digest(), Some(thin.usable_digest()));
    sent
}

/// Each case gives a number of upstreams and of availability zones, and the largest number of
/// upstreams that a node with few calls may know.
macro_rules! starts {
    ($($name:ident: $upstreams:expr, $zones:literal, $most:literal;)*) => {$(
        #[test]
        fn $name() {
            let whole = fleet($upstreams, $zones);
            let mut thin = UpstreamRegistry::default();
            let sent = catch_up(&mut thin, &whole);
            assert!(sent <= $most, "{sent} entries");
            assert_eq!(thin.iter().count(), sent);
            assert_eq!(thin.preferred_digest(), None, "it prefers all that it knows");
            for pool in ["plain", "model"] {
                for zone in 0..$zones {
                    let zone = format!("zone-{zone}");
                    for (_, upstream) in whole.first(pool, &zone, 16) {
                        assert!(thin.key(&upstream.entry.id).is_some(), "{}", upstream.entry.id);
                    }
                }
            }
        }
    )*};
}

starts! {
    a_node_with_few_calls_knows_few_of_10_000_upstreams: UPSTREAMS, 5, 640;
    a_node_with_few_calls_knows_few_in_many_zones: UPSTREAMS, 23, 760;
    twice_the_upstreams_cost_it_no_more: 2 * UPSTREAMS, 5, 640;
}

#[test]
fn in_a_small_fleet_all_upstreams_are_preferred() {
    let whole = fleet(300, 5);
    assert_eq!(whole.preferred_digest(), None);
}

/// A random change of the fleet: an upstream leaves, lapses, returns or is added.
fn change(whole: &mut UpstreamRegistry, random: &mut Pcg64Mcg, next: &mut u32) {
    let number = random.random_range(0..*next);
    let id = entry(number, 5).id;
    match random.random_range(0..4) {
        0 => {
            *next += 1;
            put(whole, entry(*next, 5));
        }
        1 => {
            whole.apply(RegistryChange::Removed { id, at: None }, true, NOW);
        }
        2 => {
            let leaving = UpstreamEntry {
                leaving: true,
                ..entry(number, 5)
            };
            put(whole, leaving);
        }
        _ => {
            let older = whole.key(&id);
            let older = older.and_then(|key| whole.get(key)?.entry.born);
            let again = UpstreamEntry {
                born: older.map(|born| born + u64::from(UPSTREAMS)),
                ..entry(number, 5)
            };
            put(whole, again);
        }
    }
}

#[test]
fn changes_cost_a_node_with_few_calls_little() {
    for seed in 0..4 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut whole = fleet(UPSTREAMS, 5);
        let mut thin = UpstreamRegistry::default();
        catch_up(&mut thin, &whole);
        let mut next = UPSTREAMS;
        let mut sent = 0;
        // Two changes a second are read together.
        for _ in 0..500 {
            change(&mut whole, &mut random, &mut next);
            change(&mut whole, &mut random, &mut next);
            sent += catch_up(&mut thin, &whole);
        }
        let known = usable(&thin);
        assert!(known.is_subset(&usable(&whole)), "seed {seed}");
        assert!(
            sent <= 1000,
            "seed {seed}: {sent} entries for 1,000 changes"
        );
    }
}

#[test]
fn digests_agree_with_those_of_a_registry_that_learned_all_at_once() {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut whole = fleet(2000, 5);
    let mut next = 2000;
    for _ in 0..2000 {
        change(&mut whole, &mut random, &mut next);
    }
    let mut fresh = UpstreamRegistry::default();
    for upstream in whole.newest() {
        let leaving = upstream.left.is_some();
        put(
            &mut fresh,
            UpstreamEntry {
                leaving,
                ..upstream.entry.clone()
            },
        );
    }
    assert_eq!(whole.digest(), fresh.digest());
    assert_eq!(whole.bucket_digests(), fresh.bucket_digests());
    assert_eq!(whole.usable_digest(), fresh.usable_digest());
    assert_eq!(whole.preferred_digest(), fresh.preferred_digest());
}

#[test]
fn a_node_that_knew_all_upstreams_keeps_the_preferred_ones() {
    let whole = fleet(UPSTREAMS, 5);
    let mut node = whole.clone();
    node.forget_others();
    assert_eq!(Some(node.usable_digest()), whole.preferred_digest());
    assert_eq!(node.preferred_digest(), None);
    assert_eq!(node.digest(), {
        let mut fresh = UpstreamRegistry::default();
        catch_up(&mut fresh, &whole);
        fresh.digest()
    });
}

// Guards against an upstream that gets calls again because a slower node still lists it.
#[test]
fn an_upstream_that_announced_its_departure_here_stays_out() {
    let whole = fleet(UPSTREAMS, 5);
    let mut thin = UpstreamRegistry::default();
    catch_up(&mut thin, &whole);
    let (key, id) = {
        let (key, upstream) = thin.first("model", "zone-1", 1).next().expect("one");
        (key, upstream.entry.id.clone())
    };
    assert!(thin.record_announcement(key, NOW));
    let part = whole.preferred_part(thin.usable_digests());
    thin.replace_preferred(part, NOW);
    let upstream = thin.key(&id).and_then(|key| thin.get(key));
    let left = upstream.and_then(|upstream| upstream.left);
    assert_eq!(left, Some(LeavingCause::Announced));
}
