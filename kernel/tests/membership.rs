//! Membership under node, link, zone and host list failures.

mod common;

use std::time::Duration;

use common::{Fleet, host, id};
use monsoonbank_kernel::event::{Action, Event};
use monsoonbank_kernel::ids::UpstreamId;
use monsoonbank_kernel::membership::HostRole;

const NODES: [(&str, &str); 5] = [
    ("a1", "a"),
    ("a2", "a"),
    ("b1", "b"),
    ("b2", "b"),
    ("c1", "c"),
];

fn fleet() -> Fleet {
    let mut fleet = Fleet::new(&NODES);
    fleet.run(Duration::from_secs(5));
    fleet
}

fn all_see(fleet: &Fleet, other: &str, state: &str) -> bool {
    NODES
        .iter()
        .filter(|(name, _)| fleet.kernels.contains_key(&id(name)))
        .all(|(name, _)| fleet.sees(name, other) == state)
}

macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body }) *
    };
}

cases! {
    all_nodes_are_live_without_faults => {
        let fleet = fleet();
        for (name, _) in NODES {
            assert!(all_see(&fleet, name, "live"), "{name}");
        }
    };
    a_killed_node_is_dead_for_all_within_three_seconds => {
        let mut fleet = fleet();
        fleet.kill("b1", false);
        fleet.run(Duration::from_secs(3));
        assert!(all_see(&fleet, "b1", "dead"));
    };
    a_broken_link_speeds_up_detection => {
        let mut fleet = fleet();
        fleet.kill("b1", true);
        fleet.run(Duration::from_millis(1_200));
        assert!(all_see(&fleet, "b1", "dead"));
    };
    one_broken_link_marks_no_node_dead => {
        let mut fleet = fleet();
        fleet.part(&["a1"], &["b1"]);
        fleet.give(id("a1"), Event::LinkDown(id("b1")));
        fleet.give(id("b1"), Event::LinkDown(id("a1")));
        for _ in 0..300 {
            fleet.run(Duration::from_millis(100));
            assert!(all_see(&fleet, "c1", "live"));
            assert_ne!(fleet.sees("a2", "b1"), "dead");
            assert_ne!(fleet.sees("a1", "b1"), "dead");
        }
    };
    a_one_way_link_marks_no_node_dead => {
        let mut fleet = fleet();
        fleet.cut.insert((id("a1"), id("b1")));
        for _ in 0..300 {
            fleet.run(Duration::from_millis(100));
            for (name, _) in NODES {
                assert_ne!(fleet.sees(name, "a1"), "dead");
                assert_ne!(fleet.sees(name, "b1"), "dead");
            }
        }
    };
    an_isolated_node_does_not_report_the_others_dead => {
        let mut fleet = fleet();
        for name in ["a2", "b1", "b2", "c1"] {
            fleet.cut.insert((id(name), id("a1")));
        }
        for _ in 0..200 {
            fleet.run(Duration::from_millis(100));
            assert_ne!(fleet.sees("a2", "b1"), "dead");
        }
        assert_eq!(fleet.sees("a2", "a1"), "dead");
        assert_eq!(fleet.sees("a1", "a2"), "dead");
        fleet.cut.clear();
        fleet.run(Duration::from_secs(30));
        for (name, _) in NODES {
            assert!(all_see(&fleet, name, "live"), "{name}");
        }
    };
    a_paused_node_is_live_again_once_it_resumes => {
        let mut fleet = fleet();
        let paused = fleet.kernels.remove(&id("b2")).unwrap();
        fleet.run(Duration::from_mins(1));
        assert!(all_see(&fleet, "b2", "dead"));
        fleet.kernels.insert(id("b2"), paused);
        fleet.run(Duration::from_secs(15));
        assert!(all_see(&fleet, "b2", "live"));
    };
    a_crashed_host_that_is_still_listed_is_dead => {
        let mut fleet = fleet();
        fleet.kill("c1", true);
        for _ in 0..20 {
            fleet.run(Duration::from_secs(1));
            fleet.list();
        }
        assert!(all_see(&fleet, "c1", "dead"));
    };
    a_run_with_a_clock_set_back_supersedes_its_predecessor => {
        let mut fleet = fleet();
        fleet.kill("c1", true);
        fleet.run(Duration::from_secs(10));
        fleet.start("c1", "c", 3);
        fleet.run(Duration::from_secs(10));
        assert!(all_see(&fleet, "c1", "live"));
    };
    a_quick_restart_with_a_clock_set_back_is_detected => {
        let mut fleet = fleet();
        fleet.kill("c1", true);
        fleet.start("c1", "c", 3);
        fleet.run(Duration::from_secs(10));
        assert!(all_see(&fleet, "c1", "live"));
        let members = fleet.dump("a1", "membership")["members"].clone();
        let row = members.as_array().unwrap().iter().find(|row| row["name"] == "c1").unwrap();
        assert_eq!(row["incarnation"], 3);
    };
    leaving_lasts_for_a_run_and_ends_with_it => {
        let mut fleet = fleet();
        fleet.give(id("b1"), Event::DrainNode);
        fleet.run(Duration::from_millis(200));
        assert!(all_see(&fleet, "b1", "leaving"));
        fleet.list();
        fleet.run(Duration::from_secs(10));
        assert!(all_see(&fleet, "b1", "leaving"));
        let exits = |(node, action): &(_, Action)| *node == id("b1") && matches!(action, Action::Exit);
        assert_eq!(fleet.actions.iter().filter(|row| exits(row)).count(), 1);
        fleet.kill("b1", true);
        fleet.run(Duration::from_secs(3));
        fleet.start("b1", "b", 200);
        fleet.run(Duration::from_secs(3));
        assert!(all_see(&fleet, "b1", "live"));
    };
    a_leaving_flag_in_the_list_applies_to_the_current_run_only => {
        let mut fleet = fleet();
        fleet.hosts[2].leaving = true;
        fleet.list();
        fleet.run(Duration::from_millis(200));
        assert!(all_see(&fleet, "b1", "leaving"));
        fleet.kill("b1", true);
        fleet.start("b1", "b", 200);
        fleet.run(Duration::from_secs(3));
        assert!(all_see(&fleet, "b1", "live"));
        fleet.hosts[2].leaving = false;
        fleet.list();
        fleet.run(Duration::from_mins(1));
        assert!(all_see(&fleet, "b1", "live"));
    };
    an_empty_host_list_marks_no_node_dead => {
        let mut fleet = fleet();
        fleet.hosts.clear();
        fleet.list();
        fleet.run(Duration::from_secs(20));
        for (name, _) in NODES {
            assert!(all_see(&fleet, name, "live"), "{name}");
        }
    };
    views_converge_after_a_zone_partition_heals => {
        let mut fleet = fleet();
        fleet.part(&["a1", "a2"], &["b1", "b2", "c1"]);
        fleet.run(Duration::from_mins(10));
        assert_eq!(fleet.sees("a1", "b1"), "dead");
        assert_eq!(fleet.sees("a1", "a2"), "live");
        assert_eq!(fleet.sees("b1", "a2"), "dead");
        fleet.cut.clear();
        fleet.delivered = 0;
        fleet.run(Duration::from_secs(20));
        for (name, _) in NODES {
            assert!(all_see(&fleet, name, "live"), "{name}");
        }
        assert!(fleet.delivered < 2_000, "{} messages", fleet.delivered);
    };
    all_nodes_replaced_at_once_are_live => {
        let mut fleet = fleet();
        for (name, _) in NODES {
            fleet.kill(name, true);
        }
        for (name, zone) in NODES {
            fleet.start(name, zone, 300);
        }
        fleet.run(Duration::from_secs(10));
        for (name, _) in NODES {
            assert!(all_see(&fleet, name, "live"), "{name}");
        }
    };
    half_of_the_nodes_replaced_at_once_are_live => {
        let mut fleet = fleet();
        for (name, zone) in &NODES[..3] {
            fleet.kill(name, true);
            fleet.start(name, zone, 300);
        }
        fleet.run(Duration::from_secs(10));
        for (name, _) in NODES {
            assert!(all_see(&fleet, name, "live"), "{name}");
        }
    };
    a_leaving_upstream_is_marked_on_all_nodes_until_registered_again => {
        let mut fleet = fleet();
        fleet.hosts.push(host("e1", "a", HostRole::Upstream));
        fleet.hosts.push(host("e2", "a", HostRole::Upstream));
        fleet.list();
        let upstream = UpstreamId::named("e1");
        let marked = |fleet: &Fleet| {
            NODES.iter().filter(|(name, _)| {
                let leaving = fleet.dump(name, "membership")["leaving_upstreams"].clone();
                leaving.as_array().is_some_and(|list| list.len() == 1)
            }).count()
        };
        fleet.give(id("c1"), Event::DrainUpstream(upstream));
        fleet.run(Duration::from_millis(500));
        assert_eq!(marked(&fleet), 5);
        fleet.list();
        assert_eq!(marked(&fleet), 5);
        let entry = fleet.hosts.remove(5);
        fleet.list();
        fleet.hosts.push(entry);
        fleet.list();
        fleet.run(Duration::from_secs(1));
        assert_eq!(marked(&fleet), 0);
    };
}
