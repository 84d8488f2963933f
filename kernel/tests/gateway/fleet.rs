//! Who is there, and who reads the store.

use std::time::Duration;

use monsoonbank_kernel::gateway::fleet::{FleetView, NodeWord, WorkWord, entries};
use monsoonbank_kernel::gateway::load::WorkCount;

fn word(name: &str, zone: &str, incarnation: u64, store_well: bool) -> NodeWord {
    NodeWord {
        name: name.into(),
        incarnation,
        zone: zone.into(),
        callers: ([10, 0, 0, 1], 1).into(),
        peers: ([10, 0, 0, 1], 2).into(),
        ready: true,
        capacity: 100,
        version: 1,
        store_well,
        registry_digest: 0,
        work: Vec::new(),
        failing: Vec::new(),
        departures: Vec::new(),
        parts: Vec::new(),
    }
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn an_older_incarnation_is_not_believed() {
    let mut fleet = FleetView::default();
    assert!(fleet.heard(word("a", "east", 2, true), SECOND));
    assert!(!fleet.heard(word("a", "east", 1, false), SECOND));
    assert!(fleet.iter().all(|peer| peer.word.store_well));
    assert!(
        fleet.heard(word("a", "east", 3, true), SECOND),
        "a new start is news"
    );
}

#[test]
fn a_silent_node_is_not_live_and_is_forgotten() {
    let mut fleet = FleetView::default();
    fleet.heard(word("a", "east", 1, true), SECOND);
    assert_eq!(fleet.live(SECOND * 2).count(), 1);
    assert_eq!(fleet.live(SECOND * 4).count(), 0);
    fleet.forget(SECOND * 40);
    assert_eq!(fleet.iter().count(), 0);
}

/// Names a case: words of other nodes, and whether node `m` of `east` reads the store.
macro_rules! reads {
    ($($name:ident: $words:expr, $now:expr => $reads:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = FleetView::default();
            for word in $words {
                fleet.heard(word, SECOND);
            }
            assert_eq!(fleet.is_reader("m", "east", $now), $reads);
        }
    )*};
}

reads! {
    alone_it_reads: [], SECOND => true;
    the_first_by_name_reads: [word("a", "east", 1, true)], SECOND => false;
    a_later_name_does_not: [word("z", "east", 1, true)], SECOND => true;
    each_zone_has_its_own: [word("a", "west", 1, true)], SECOND => true;
    a_reader_that_the_store_turns_away_is_replaced: [word("a", "east", 1, false)], SECOND => true;
    a_silent_reader_is_replaced: [word("a", "east", 1, true)], SECOND * 3 => true;
}

/// Calls at one upstream.
fn work(calls: u32) -> WorkWord {
    WorkWord {
        run: 7,
        count: WorkCount {
            calls,
            ..WorkCount::default()
        },
        taken_tokens: 0,
    }
}

/// Names a case: capacities of nodes `a`, `b`, ... of one zone, calls that each has, and who is
/// named to callers.
macro_rules! named {
    ($($name:ident: $capacities:expr, $calls:literal => $named:expr;)*) => {$(
        #[test]
        fn $name() {
            let words: Vec<NodeWord> = $capacities
                .iter()
                .zip("abcdefgh".chars())
                .map(|(capacity, name)| {
                    let mut word = word(&name.to_string(), "east", 1, true);
                    word.capacity = *capacity;
                    word.work.push(work($calls));
                    word
                })
                .collect();
            let names: Vec<&str> =
                entries(words.iter(), "east").iter().map(|word| &*word.name).collect();
            assert_eq!(names, $named);
        }
    )*};
}

named! {
    a_small_zone_names_all: [100, 100], 0 => ["a", "b"];
    three_are_enough_at_rest: [100, 100, 100, 100, 100], 10 => ["a", "b", "c"];
    the_strongest_are_named_alone: [100, 500, 100, 500, 100], 10 => ["b", "d"];
    one_strong_node_is_not_named_alone: [100, 500, 100], 10 => ["b", "a"];
    weak_ones_are_named_when_each_can_carry_a_share: [30, 100, 30, 100, 30, 30, 30, 30], 25 => ["b", "d", "a", "c", "e", "f", "g", "h"];
    the_strong_stay_alone_when_nothing_suffices: [10, 100, 10, 100], 100 => ["b", "d"];
    load_adds_entries: [100, 100, 100, 100, 100], 60 => ["a", "b", "c", "d"];
    no_more_are_named_than_there_are: [100, 100, 100, 100], 900 => ["a", "b", "c", "d"];
}

#[test]
fn nodes_that_are_not_ready_or_of_other_zones_are_not_named() {
    let mut leaving = word("a", "east", 1, true);
    leaving.ready = false;
    let words = [
        leaving,
        word("b", "west", 1, true),
        word("c", "east", 1, true),
    ];
    let names: Vec<&str> = entries(words.iter(), "east")
        .iter()
        .map(|word| &*word.name)
        .collect();
    assert_eq!(names, ["c"]);
}

#[test]
fn a_silent_node_that_sent_calls_stays_a_rival_until_it_is_forgotten() {
    let mut fleet = FleetView::default();
    fleet.heard(word("idle", "east", 1, true), SECOND);
    let busy = NodeWord {
        work: vec![work(0)],
        ..word("busy", "east", 1, true)
    };
    fleet.heard(busy, SECOND);
    assert_eq!((fleet.rivals().len(), fleet.silent_rivals(SECOND)), (1, 0));
    assert_eq!(fleet.silent_rivals(SECOND * 5), 1);
    fleet.forget(SECOND * 60);
    assert!(fleet.rivals().is_empty());
}
