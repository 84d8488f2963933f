//! Tests of whether a node reaches its upstreams, and of the node that serves its calls while it does
//! not.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use monsoonbank_kernel::gateway::fleet::FleetView;
use monsoonbank_kernel::gateway::heartbeat::{NodeCard, NodeHeartbeat, NodeState};
use monsoonbank_kernel::gateway::reach::{ReachChange, ReachMonitor};
use monsoonbank_kernel::gateway::registry::{RegistryChange, UpstreamKey, UpstreamRegistry};

use crate::registry::entry;

const S: Duration = Duration::from_secs(1);
/// Hash of the pool whose reach is lost.
const POOL: u64 = 7;

fn keys(count: u16) -> Vec<UpstreamKey> {
    let mut registry = UpstreamRegistry::default();
    let keys = (1..=count).map(|port| {
        let id = format!("u{port}");
        registry.apply(RegistryChange::Put(entry(&id, port, false)), true, S);
        registry.key(&id).expect("known")
    });
    keys.collect()
}

/// Defines a case: the upstreams of a pool, those that take no connection in order, and whether the
/// pool is out of reach then.
macro_rules! lost {
    ($($name:ident: $usable:expr, $failed:expr => $lost:expr;)*) => {$(
        #[test]
        fn $name() {
            let keys = keys(8);
            let mut reach = ReachMonitor::default();
            for index in $failed {
                reach.failed("model", keys[index], $usable, S);
            }
            assert_eq!(reach.is_lost("model"), $lost);
            assert_eq!(reach.lost_pools().count(), usize::from($lost));
        }
    )*};
}

lost! {
    four_failed_upstreams_of_eight: 8, [0_usize, 1, 2, 3] => false;
    five_failed_upstreams_of_eight: 8, [0_usize, 1, 2, 3, 4] => true;
    one_upstream_that_fails_often: 8, [0_usize, 0, 0, 0, 0] => false;
    both_upstreams_of_two: 2, [0_usize, 1] => true;
    one_upstream_of_two: 2, [0_usize] => false;
    the_only_upstream: 1, [0_usize] => true;
    no_usable_upstream: 0, [0_usize] => true;
}

// Guards against a node that takes a few upstreams that crash together for a loss of its own link.
#[test]
fn three_failures_in_a_row_only_have_others_probed() {
    let keys = keys(5);
    let mut reach = ReachMonitor::default();
    let failed = |reach: &mut ReachMonitor, index: usize| reach.failed("model", keys[index], 8, S);
    assert_eq!(failed(&mut reach, 0), ReachChange::Unchanged);
    assert_eq!(failed(&mut reach, 1), ReachChange::Unchanged);
    assert_eq!(reach.suspected_pools().count(), 0);
    assert_eq!(failed(&mut reach, 2), ReachChange::Suspected);
    assert!(reach.suspected_pools().eq(["model"]) && !reach.is_lost("model"));
    assert!(reach.has_failed("model", keys[2]) && !reach.has_failed("model", keys[3]));
    assert_eq!(failed(&mut reach, 3), ReachChange::Unchanged, "told once");
    assert_eq!(reach.connected("model", S), None);
    assert_eq!(reach.suspected_pools().count(), 0);
}

#[test]
fn a_connection_ends_the_loss() {
    let keys = keys(3);
    let mut reach = ReachMonitor::default();
    for key in &keys[..2] {
        assert_ne!(reach.failed("model", *key, 3, S), ReachChange::Lost);
    }
    assert_eq!(reach.failed("model", keys[2], 3, S), ReachChange::Lost);
    assert_eq!(reach.failed("model", keys[0], 3, S), ReachChange::Unchanged);
    assert_eq!(reach.connected("model", 4 * S), Some(3 * S));
    assert!(!reach.is_lost("model"));
    assert_eq!(reach.connected("model", 4 * S), None);
}

#[test]
fn a_connection_between_failures_starts_the_count_again() {
    let keys = keys(3);
    let mut reach = ReachMonitor::default();
    reach.failed("model", keys[0], 3, S);
    reach.failed("model", keys[1], 3, S);
    reach.connected("model", S);
    reach.failed("model", keys[2], 3, S);
    assert!(!reach.is_lost("model"));
}

// Guards against callers of a seldom used pool who wait for three failures of their own.
#[test]
fn one_failure_is_enough_while_another_pool_is_lost() {
    let keys = keys(6);
    let mut reach = ReachMonitor::default();
    assert_eq!(reach.failed("plain", keys[5], 8, S), ReachChange::Unchanged);
    for key in &keys[..5] {
        reach.failed("model", *key, 8, S);
    }
    assert!(!reach.is_lost("plain"));
    assert_eq!(reach.failed("plain", keys[5], 8, S), ReachChange::Lost);
}

fn card(number: u16, zone: &str, capacity: u32) -> NodeCard {
    let address = |port| SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], port));
    NodeCard {
        name: format!("n{number}").into(),
        incarnation: 1,
        zone: zone.into(),
        callers: address(1),
        peers: address(2),
        capacity,
        state: NodeState::Ready,
    }
}

/// The view of a node of zone `a` of these others: zone, whether they lost the pool, and capacity.
fn fleet(others: &[(&str, bool, u32)]) -> FleetView {
    let mut fleet = FleetView::new(card(0, "a", 100), Duration::ZERO);
    for (number, (zone, lost, capacity)) in (1..).zip(others) {
        let heartbeat = NodeHeartbeat {
            unreached: if *lost { vec![POOL] } else { Vec::new() },
            ..NodeHeartbeat::new(card(number, zone, *capacity))
        };
        fleet.receive_heartbeat(heartbeat, S);
    }
    fleet
}

/// Counts how often each node is chosen.
fn choices(fleet: &FleetView, tried: &[SocketAddr], now: Duration) -> BTreeMap<Box<str>, u32> {
    let mut counts = BTreeMap::new();
    let turns = (0..1200).filter_map(|turn| fleet.peer_reaching(POOL, tried, turn, now));
    for card in turns {
        *counts.entry(card.name.clone()).or_default() += 1;
    }
    counts
}

/// Defines a case: the other nodes, and how often each is chosen in 1,200 calls.
macro_rules! chosen {
    ($($name:ident: $others:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let expected: BTreeMap<Box<str>, u32> = $expected
                .map(|(name, count): (&str, u32)| (name.into(), count))
                .into();
            assert_eq!(choices(&fleet(&$others), &[], S), expected);
        }
    )*};
}

chosen! {
    nodes_of_the_zone_come_first: [("a", false, 100), ("a", false, 100), ("b", false, 100)]
        => [("n1", 600), ("n2", 600)];
    a_zone_that_is_mostly_cut_off_uses_all_zones:
        [("a", true, 100), ("a", false, 100), ("b", false, 100), ("b", false, 100)]
        => [("n2", 400), ("n3", 400), ("n4", 400)];
    a_zone_without_a_node_that_reaches_the_pool: [("a", true, 100), ("b", false, 100)]
        => [("n2", 1200)];
    stronger_nodes_get_more: [("a", false, 100), ("a", false, 200)] => [("n1", 400), ("n2", 800)];
    no_node_reaches_the_pool: [("a", true, 100), ("b", true, 100)] => [];
}

#[test]
fn a_node_that_was_asked_or_is_silent_is_not_chosen() {
    let fleet = fleet(&[("a", false, 100), ("a", false, 100)]);
    let asked = choices(&fleet, &[card(1, "a", 100).peers], S);
    assert_eq!(asked.keys().map(|name| &**name).collect::<Vec<_>>(), ["n2"]);
    assert!(choices(&fleet, &[], 10 * S).is_empty());
}

/// Most loaded of the nodes that remain, in calls per call of a cut-off node, as fleets grow.
#[test]
fn the_nodes_that_remain_share_the_calls_at_every_size() {
    for size in [6, 300, 980] {
        let zones = ["a", "b", "c"];
        let others: Vec<(&str, bool, u32)> = (1..size)
            .map(|number| (zones[number % 3], number % 2 == 0, 100))
            .collect();
        let counts = choices(&fleet(&others), &[], S);
        let reaching = counts.len() as u32;
        let most = counts.values().max().copied().unwrap_or_default();
        assert!(
            most <= 2 * 1200 / reaching + 100,
            "{size}: {most} at {reaching}"
        );
    }
}
