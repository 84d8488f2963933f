//! Tests of the nodes that are known and live, of those that read the store, and of those that
//! callers are directed to.

use std::time::Duration;

use monsoonbank_kernel::gateway::entries::entries;
use monsoonbank_kernel::gateway::fleet::FleetView;
use monsoonbank_kernel::gateway::heartbeat::{
    NodeCard, NodeHeartbeat, NodeState, WorkReport, short_hash,
};
use monsoonbank_kernel::gateway::load::WorkCount;

fn card(name: &str, zone: &str, incarnation: u64) -> NodeCard {
    NodeCard {
        name: name.into(),
        incarnation,
        zone: zone.into(),
        callers: ([10, 0, 0, 1], 1).into(),
        peers: ([10, 0, 0, 1], 2).into(),
        capacity: 100,
        state: NodeState::Ready,
    }
}

fn heartbeat(name: &str, zone: &str, incarnation: u64, store_reachable: bool) -> NodeHeartbeat {
    NodeHeartbeat {
        version: 1,
        store_reachable,
        ..NodeHeartbeat::new(card(name, zone, incarnation))
    }
}

/// The view of node `m` of `east`.
fn view() -> FleetView {
    FleetView::new(card("m", "east", 1), Duration::ZERO)
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn an_older_incarnation_is_ignored() {
    let mut fleet = view();
    assert!(
        fleet
            .receive_heartbeat(heartbeat("a", "east", 2, true), SECOND)
            .fresh
    );
    assert!(
        !fleet
            .receive_heartbeat(heartbeat("a", "east", 1, false), SECOND)
            .fresh
    );
    assert!(fleet.iter().all(|peer| peer.heartbeat.store_reachable));
    assert!(
        fleet
            .receive_heartbeat(heartbeat("a", "east", 3, true), SECOND)
            .fresh,
        "a restart is reported"
    );
}

#[test]
fn a_restarted_node_whose_wall_clock_was_set_back_is_accepted() {
    let mut fleet = view();
    fleet.receive_heartbeat(heartbeat("a", "east", 9000, true), SECOND);
    let later = SECOND * 4;
    assert!(
        fleet
            .receive_heartbeat(heartbeat("a", "east", 4000, true), later)
            .fresh
    );
    assert_eq!(fleet.live(later).count(), 1);
}

#[test]
fn a_silent_node_is_not_live_and_expires() {
    let mut fleet = view();
    fleet.receive_heartbeat(heartbeat("a", "east", 1, true), SECOND);
    assert_eq!(fleet.live(SECOND * 2).count(), 1);
    assert_eq!(fleet.live(SECOND * 4).count(), 0);
    fleet.expire(SECOND * 70);
    assert_eq!(fleet.iter().count(), 0);
}

#[test]
fn a_node_that_leaves_stays_leaving_for_its_run() {
    let mut fleet = view();
    let mut leaving = heartbeat("a", "east", 1, true);
    leaving.card.state = NodeState::Leaving;
    fleet.receive_heartbeat(heartbeat("a", "east", 1, true), SECOND);
    assert!(fleet.receive_heartbeat(leaving, SECOND).left);
    fleet.receive_heartbeat(heartbeat("a", "east", 1, true), SECOND);
    let hubs = fleet.hubs("east", SECOND);
    assert_eq!(hubs.len(), 1, "itself alone: {hubs:?}");
    fleet.receive_heartbeat(heartbeat("a", "east", 2, true), SECOND);
    assert_eq!(fleet.hubs("east", SECOND).len(), 2);
}

/// Each case gives heartbeats of other nodes, and whether node `m` of `east` reads the store.
macro_rules! reads {
    ($($name:ident: $heartbeats:expr, $now:expr => $reads:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = view();
            for heartbeat in $heartbeats {
                fleet.receive_heartbeat(heartbeat, SECOND);
            }
            assert_eq!(fleet.reads_store($now), $reads);
        }
    )*};
}

reads! {
    alone_it_reads: [], SECOND => true;
    the_first_by_name_reads: [heartbeat("a", "east", 1, true)], SECOND => false;
    a_later_name_does_not: [heartbeat("z", "east", 1, true)], SECOND => true;
    each_zone_has_its_own: [heartbeat("a", "west", 1, true)], SECOND => true;
    a_reader_that_the_store_rejects_is_replaced: [heartbeat("a", "east", 1, false)], SECOND => true;
    a_silent_reader_is_replaced: [heartbeat("a", "east", 1, true)], SECOND * 3 => true;
}

/// A view with `count` nodes of its zone that rank before its own and that the store rejects.
fn outranked(count: usize) -> FleetView {
    let mut fleet = view();
    for index in 0..count {
        fleet.receive_heartbeat(heartbeat(&format!("a{index:03}"), "east", 1, false), SECOND);
    }
    fleet
}

#[test]
fn while_the_store_answers_no_node_few_nodes_read_it() {
    let readers = |at: Duration| {
        let views = (0..300).map(outranked);
        views.filter(|fleet| fleet.reads_store(at)).count()
    };
    assert_eq!(readers(SECOND), 3, "the hubs");
    assert!(readers(SECOND * 8) <= 20, "{}", readers(SECOND * 8));
}

#[test]
fn a_store_that_rejects_all_hubs_is_read_by_others() {
    let fleet = outranked(4);
    assert!(!fleet.reads_store(SECOND * 2));
    assert!(fleet.reads_store(SECOND * 5));
}

#[test]
fn while_the_store_answers_some_node_only_hubs_read_it() {
    let mut fleet = outranked(4);
    let reported = NodeHeartbeat {
        store_age_ms: Some(500),
        ..heartbeat("a000", "east", 1, false)
    };
    fleet.receive_heartbeat(reported, SECOND * 5);
    assert!(!fleet.reads_store(SECOND * 6));
}

/// A report of calls at one upstream.
fn work(calls: u32) -> Vec<WorkReport> {
    vec![WorkReport {
        run: 7,
        count: WorkCount {
            calls,
            ..WorkCount::default()
        },
        taken_tokens: 0,
    }]
}

/// Each case gives the capacities of nodes `a`, `b`, ... of one zone, the number of calls of each,
/// and the nodes that callers are directed to.
macro_rules! listed {
    ($($name:ident: $capacities:expr, $calls:literal => $listed:expr;)*) => {$(
        #[test]
        fn $name() {
            let heartbeats: Vec<NodeHeartbeat> = $capacities
                .iter()
                .zip("abcdefgh".chars())
                .map(|(capacity, name)| {
                    let mut heartbeat = heartbeat(&name.to_string(), "east", 1, true);
                    heartbeat.card.capacity = *capacity;
                    heartbeat.work = Some(work($calls));
                    heartbeat
                })
                .collect();
            let entries = entries(heartbeats.iter(), "east");
            let names: Vec<&str> = entries.iter().map(|entry| &*entry.card.name).collect();
            assert_eq!(names, $listed);
        }
    )*};
}

listed! {
    a_small_zone_lists_all: [100, 100], 0 => ["a", "b"];
    three_are_enough_at_rest: [100, 100, 100, 100, 100], 10 => ["a", "b", "c"];
    only_the_strongest_are_listed: [100, 500, 100, 500, 100], 10 => ["b", "d"];
    one_strong_node_is_not_listed_alone: [100, 500, 100], 10 => ["b", "a"];
    weak_ones_are_listed_when_each_can_handle_a_share: [30, 100, 30, 100, 30, 30, 30, 30], 25 => ["b", "d", "a", "c", "e", "f", "g", "h"];
    only_the_strong_are_listed_when_no_number_suffices: [10, 100, 10, 100], 100 => ["b", "d"];
    load_adds_entries: [100, 100, 100, 100, 100], 60 => ["a", "b", "c", "d"];
    no_more_are_listed_than_there_are: [100, 100, 100, 100], 900 => ["a", "b", "c", "d"];
}

#[test]
fn nodes_that_are_not_ready_or_in_other_zones_are_not_listed() {
    let mut leaving = heartbeat("a", "east", 1, true);
    leaving.card.state = NodeState::Leaving;
    let heartbeats = [
        leaving,
        heartbeat("b", "west", 1, true),
        heartbeat("c", "east", 1, true),
    ];
    let entries = entries(heartbeats.iter(), "east");
    let names: Vec<&str> = entries.iter().map(|entry| &*entry.card.name).collect();
    assert_eq!(names, ["c"]);
}

/// A view whose zone has the hubs `h0` to `h2`, which advertise `entries`.
fn advertised(entries: &[&str]) -> FleetView {
    let mut fleet = view();
    for index in 0..3 {
        let mut hub = heartbeat(&format!("h{index}"), "east", 1, true);
        hub.card.capacity = 500;
        hub.card.callers = ([10, 0, 0, index], 1).into();
        hub.entries = entries.iter().map(|name| short_hash(name)).collect();
        fleet.receive_heartbeat(hub, SECOND);
    }
    fleet
}

#[test]
fn a_node_that_receives_only_hubs_heartbeats_lists_the_nodes_that_they_advertise() {
    let fleet = advertised(&["h0", "h2"]);
    let own = heartbeat("m", "east", 1, true);
    let listed = fleet.entry_addresses(&own, "east", SECOND);
    assert_eq!(
        listed,
        [([10, 0, 0, 0], 1).into(), ([10, 0, 0, 2], 1).into()]
    );
}

#[test]
fn a_node_whose_hubs_are_silent_lists_itself() {
    let fleet = advertised(&["h0", "h2"]);
    let own = heartbeat("m", "east", 1, true);
    let listed = fleet.entry_addresses(&own, "east", SECOND * 4);
    assert_eq!(listed, [own.card.callers]);
}

#[test]
fn a_silent_node_that_sent_calls_counts_as_a_sender_until_it_expires() {
    let mut fleet = view();
    fleet.receive_heartbeat(heartbeat("idle", "east", 1, true), SECOND);
    let busy = NodeHeartbeat {
        work: Some(work(0)),
        ..heartbeat("busy", "east", 1, true)
    };
    fleet.receive_heartbeat(busy, SECOND);
    assert_eq!(
        (
            fleet.sender_hashes().len(),
            fleet.silent_senders(SECOND).count()
        ),
        (1, 0)
    );
    assert_eq!(fleet.silent_senders(SECOND * 5).count(), 1);
    fleet.expire(SECOND * 35);
    assert!(fleet.sender_hashes().is_empty());
}

/// Claim delay of each node of one zone with hubs and others that know each other.
fn claim_delays(nodes: u32) -> Vec<Duration> {
    let name = |node: u32| format!("n{node:03}");
    let card_of = |node: u32| NodeCard {
        capacity: if node < 3 { 500 } else { 120 },
        ..card(&name(node), "east", 1)
    };
    let all = 0..nodes;
    all.map(|own| {
        let mut fleet = FleetView::new(card_of(own), Duration::ZERO);
        for other in (0..nodes).filter(|other| *other != own) {
            fleet.receive_heartbeat(NodeHeartbeat::new(card_of(other)), SECOND);
        }
        fleet.claim_delay(SECOND, SECOND)
    })
    .collect()
}

#[test]
fn hubs_claim_duties_one_after_another_and_the_rest_much_later() {
    let claim_delays = claim_delays(90);
    assert_eq!(claim_delays[0], SECOND);
    assert!(claim_delays[0] < claim_delays[1] && claim_delays[1] < claim_delays[2]);
    let mut members = claim_delays[3..].to_vec();
    members.sort_unstable();
    assert!(members[0] > claim_delays[2] + 5 * SECOND);
    let most = members
        .windows(20)
        .filter(|window| window[19] < window[0] + SECOND)
        .count();
    assert_eq!(most, 0, "twenty nodes claim within a second");
}

#[test]
fn a_step_of_some_hosts_wall_clocks_does_not_change_the_fleets_time() {
    let mut fleet = view();
    let reported = [("a", 50_000), ("b", 52_000), ("c", 50_002), ("d", 48_000)];
    for (name, unix_ms) in reported {
        let heartbeat = NodeHeartbeat {
            unix_ms,
            ..heartbeat(name, "east", 1, true)
        };
        fleet.receive_heartbeat(heartbeat, SECOND);
    }
    let own = Duration::from_millis(49_001);
    assert_eq!(fleet.unix_start(own, SECOND), own);
    let stepped = Duration::from_millis(47_001);
    assert_eq!(fleet.unix_start(stepped, SECOND), Duration::from_secs(49));
}
