//! Membership of a fleet of several zones, each of them a group.

mod common;

use std::time::Duration;

use common::{Fleet, id};
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::UpstreamId;

const ZONES: [&str; 3] = ["a", "b", "c"];
const NODES_PER_ZONE: usize = 15;

fn nodes_of(zone: &str) -> Vec<(String, String)> {
    (0..NODES_PER_ZONE)
        .map(|n| (format!("{zone}{n}"), zone.to_owned()))
        .collect()
}

fn names_of(zones: &[&str]) -> Vec<String> {
    zones
        .iter()
        .flat_map(|zone| nodes_of(zone))
        .map(|(name, _)| name)
        .collect()
}

fn fleet() -> Fleet {
    let nodes: Vec<_> = ZONES.iter().flat_map(|zone| nodes_of(zone)).collect();
    let mut fleet = Fleet::new(&nodes);
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.dump("a0", "membership")["zoned"], true);
    fleet
}

fn observers(fleet: &Fleet, other: &str, state: &str) -> usize {
    names_of(&ZONES)
        .iter()
        .filter(|name| fleet.kernels.contains_key(&id(name)))
        .filter(|name| fleet.sees(name, other) == state)
        .count()
}

fn first_bridge(fleet: &Fleet, zone: &str) -> String {
    names_of(&[zone])
        .into_iter()
        .find(|name| fleet.dump(name, "membership")["bridge_rank"] == 0)
        .unwrap()
}

fn assert_all_live(fleet: &Fleet) {
    for name in names_of(&ZONES) {
        assert_eq!(observers(fleet, &name, "live"), 45, "{name}");
    }
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    all_nodes_are_live_without_faults => assert_all_live(&fleet());
    a_killed_node_is_dead_in_all_zones_within_three_seconds => {
        let mut fleet = fleet();
        fleet.kill("b3", false);
        fleet.run(Duration::from_secs(3));
        assert_eq!(observers(&fleet, "b3", "dead"), 44);
    };
    a_killed_bridge_is_dead_in_all_zones => {
        let mut fleet = fleet();
        let bridge = first_bridge(&fleet, "b");
        fleet.kill(&bridge, false);
        fleet.run(Duration::from_secs(5));
        assert_eq!(observers(&fleet, &bridge, "dead"), 44);
        fleet.start(&bridge, "b", 200);
        fleet.run(Duration::from_secs(5));
        assert_eq!(observers(&fleet, &bridge, "live"), 45);
    };
    a_leaving_node_is_leaving_in_all_zones_within_a_second => {
        let mut fleet = fleet();
        fleet.give(id("c4"), Event::DrainNode);
        fleet.run(Duration::from_secs(1));
        assert_eq!(observers(&fleet, "c4", "leaving"), 45);
    };
    a_leaving_upstream_is_known_in_all_zones_within_a_second => {
        let mut fleet = fleet();
        fleet.give(id("c4"), Event::DrainUpstream(UpstreamId::named("e1")));
        fleet.run(Duration::from_secs(1));
        for name in names_of(&ZONES) {
            let leaving = fleet.dump(&name, "membership")["leaving_upstreams"].clone();
            assert_eq!(leaving.as_array().map(Vec::len), Some(1), "{name}");
        }
    };
    a_zone_partitioned_for_an_hour_returns_without_a_message_storm => {
        let mut fleet = fleet();
        fleet.part(&names_of(&["a"]), &names_of(&["b", "c"]));
        fleet.run(Duration::from_secs(30));
        assert_eq!(observers(&fleet, "a0", "dead"), 30);
        assert_eq!(observers(&fleet, "b0", "dead"), 15);
        assert_eq!(observers(&fleet, "c0", "live"), 30);
        fleet.run(Duration::from_hours(1));
        fleet.kill("a7", false);
        fleet.run(Duration::from_secs(10));
        fleet.start("a7", "a", 200);
        fleet.kill("b7", false);
        fleet.run(Duration::from_secs(10));
        fleet.cut.clear();
        fleet.delivered = 0;
        fleet.run(Duration::from_secs(30));
        assert_eq!(observers(&fleet, "b7", "dead"), 44);
        assert_eq!(observers(&fleet, "a7", "live"), 44);
        assert_eq!(observers(&fleet, "a0", "live"), 44);
        // A healthy fleet sends about ten messages per node and second.
        assert!(fleet.delivered < 44 * 30 * 8, "{} messages", fleet.delivered);
    };
    a_lost_zone_is_dead_and_its_replacement_is_accepted => {
        let mut fleet = fleet();
        for name in names_of(&["c"]) {
            fleet.kill(&name, false);
        }
        fleet.run(Duration::from_secs(20));
        assert_eq!(observers(&fleet, "c5", "dead"), 30);
        for name in names_of(&["c"]) {
            fleet.start(&name, "c", 200);
        }
        fleet.run(Duration::from_secs(20));
        assert_all_live(&fleet);
    };
    half_of_all_nodes_replaced_at_once => {
        let mut fleet = fleet();
        for name in names_of(&ZONES).iter().step_by(2) {
            fleet.kill(name, true);
            let zone = name[..1].to_owned();
            fleet.start(name, &zone, 200);
        }
        fleet.run(Duration::from_secs(20));
        assert_all_live(&fleet);
    };
}
