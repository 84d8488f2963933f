//! Who is there, and who reads the store.

use std::time::Duration;

use monsoonbank_kernel::gateway::fleet::{FleetView, NodeWord};

fn word(name: &str, zone: &str, incarnation: u64, store_well: bool) -> NodeWord {
    NodeWord {
        name: name.into(),
        incarnation,
        zone: zone.into(),
        callers: ([10, 0, 0, 1], 1).into(),
        peers: ([10, 0, 0, 1], 2).into(),
        ready: true,
        version: 1,
        store_well,
        registry_digest: 0,
        work: Vec::new(),
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
