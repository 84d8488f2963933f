//! What nodes conclude from records of entries, from missing entries and from each other.

use std::time::Duration;

use monsoonbank_kernel::gateway::registry::{
    EntryRecord, LeavingCause, LogPlace, RegistryChange, RunClaim, RunNews, Upstream,
    UpstreamEntry, UpstreamRegistry,
};

use crate::registry::entry;

const NOW: Duration = Duration::from_secs(1);

/// Record in an era, at an offset, which may be from the copy from which the era began.
const fn record(era: u64, offset: u64) -> EntryRecord {
    EntryRecord {
        era,
        offset,
        is_current: false,
    }
}

/// Record that was appended in its era.
const fn current(era: u64, offset: u64) -> EntryRecord {
    EntryRecord {
        is_current: true,
        ..record(era, offset)
    }
}

/// What a node learns of upstream `a`.
#[derive(Clone, Copy, Debug)]
enum Lesson {
    /// Its entry, read from the store.
    Read(EntryRecord),
    /// Its entry, marked as leaving.
    Drains(EntryRecord),
    /// The removal of its entry, read from the store.
    Removed(u64, u64),
    /// A list of all entries without its own, read from the store up to a place.
    NotListed(u64, u64),
    /// The store has kept the entries of an era for long.
    Kept(u64),
    /// The same as `NotListed` while the store is not trusted, and the time to come back is over.
    Lapsed(u64, u64),
    /// Its entry, from a node that uses it.
    Told(EntryRecord),
    /// A missing entry, from a node that does not use it.
    ToldMissing(EntryRecord),
    /// News in a heartbeat.
    News(RunClaim),
    /// An answer in which it announces that it leaves.
    Announced,
    /// An answer of another upstream at its address.
    Moved,
    /// A departure, from a node of an earlier release.
    Departed,
    /// Its entry without a record, from a node of an earlier release which uses it.
    ToldUndated,
    /// The same, from one which does not use it.
    ToldLeftUndated,
}

fn learn(registry: &mut UpstreamRegistry, lesson: Lesson) {
    let dated = |record, leaving| UpstreamEntry {
        written: Some(record),
        ..entry("a", 1, leaving)
    };
    let key = registry.key("a");
    match lesson {
        Lesson::Read(record) => {
            registry.apply(RegistryChange::Put(dated(record, false)), true, NOW);
        }
        Lesson::Drains(record) => {
            registry.apply(RegistryChange::Put(dated(record, true)), true, NOW);
        }
        Lesson::Removed(era, offset) => {
            let at = Some(LogPlace { era, offset });
            let id = "a".into();
            registry.apply(RegistryChange::Removed { id, at }, true, NOW);
        }
        Lesson::NotListed(era, offset) => {
            registry.retain(&[], Some(LogPlace { era, offset }), true, NOW);
        }
        Lesson::Kept(era) => {
            registry.confirm_era(era, NOW);
        }
        Lesson::Lapsed(era, offset) => {
            registry.retain(&[], Some(LogPlace { era, offset }), false, NOW);
            registry.expire_lapsed(NOW, NOW * 10);
        }
        Lesson::Told(record) => {
            registry.merge([(dated(record, false), false).into()], NOW);
        }
        Lesson::ToldMissing(record) => {
            registry.merge([(dated(record, false), true).into()], NOW);
        }
        Lesson::News(claim) => {
            let run = entry("a", 1, false).run_hash();
            registry.receive_news(RunNews { run, claim }, NOW);
        }
        Lesson::Announced => {
            registry.record_announcement(key.expect("known"), NOW);
        }
        Lesson::Moved => registry.record_replacement(key.expect("known"), NOW),
        Lesson::Departed => {
            registry.receive_departure(entry("a", 1, false).run_hash(), NOW);
        }
        Lesson::ToldUndated => {
            registry.merge([(entry("a", 1, false), false).into()], NOW);
        }
        Lesson::ToldLeftUndated => {
            registry.merge([(entry("a", 1, true), true).into()], NOW);
        }
    }
}

fn left_after(lessons: &[Lesson]) -> Option<LeavingCause> {
    let mut registry = UpstreamRegistry::default();
    for lesson in lessons {
        learn(&mut registry, *lesson);
    }
    let key = registry.key("a").expect("known");
    let left = registry.get(key).expect("known").left;
    assert_eq!(registry.usable_count("model"), usize::from(left.is_none()));
    left
}

/// Defines a case: what a node learns in turn, and why it does not use the upstream then.
macro_rules! learns {
    ($($name:ident: [$($lesson:expr),*] => $left:expr;)*) => {$(
        #[test]
        fn $name() {
            use self::Lesson::*;
            assert_eq!(left_after(&[$($lesson),*]), $left);
        }
    )*};
}

const FIRST: EntryRecord = record(0, 3);
const REMOVED: Option<LeavingCause> = Some(LeavingCause::Removed);

// Guards against a live upstream that is never used again after its entry was missing for a while.
learns! {
    a_removed_entry_ends_the_use: [Read(FIRST), Removed(0, 5)] => REMOVED;
    an_entry_written_after_its_removal_counts: [Read(FIRST), Removed(0, 5), Read(record(0, 7))] => None;
    an_entry_that_is_removed_twice_returns_twice: [Read(FIRST), Removed(0, 5), Read(record(0, 7)), Removed(0, 8), Read(record(0, 9))] => None;
    an_entry_that_was_not_listed_returns: [Read(FIRST), NotListed(0, 6), Read(record(0, 6))] => None;
    an_entry_that_lapsed_returns: [Read(FIRST), Lapsed(0, 6), Read(record(0, 6))] => None;
    an_upstream_returns_through_another_node: [Read(FIRST), Removed(0, 5), Told(record(0, 7))] => None;
    an_upstream_returns_through_news: [Read(FIRST), News(RunClaim::Missing(record(0, 5))), News(RunClaim::Written(record(0, 7)))] => None;
    an_upstream_that_left_before_it_was_known_returns: [ToldMissing(record(0, 5)), Read(record(0, 7))] => None;
    a_replaced_upstream_that_writes_its_entry_returns: [Read(FIRST), Moved, Read(record(0, 7))] => None;
    a_departure_told_late_does_not_end_a_return: [Read(record(0, 7)), News(RunClaim::Missing(record(0, 5)))] => None;
    a_missing_entry_told_late_does_not_end_a_return: [Read(record(0, 7)), ToldMissing(record(0, 5))] => None;
    a_list_from_before_an_entry_does_not_end_its_use: [Told(record(0, 7)), NotListed(0, 6)] => None;
}

// Guards against the use of an upstream that left, because of news from before.
learns! {
    an_older_entry_from_another_node_ends_no_departure: [Read(FIRST), Removed(0, 5), Told(FIRST)] => REMOVED;
    an_unseen_older_entry_from_another_node_ends_no_departure: [Read(FIRST), Removed(0, 7), Told(record(0, 5))] => REMOVED;
    older_news_ends_no_departure: [Read(FIRST), Removed(0, 7), News(RunClaim::Written(record(0, 5)))] => REMOVED;
    an_older_record_ends_no_lapse: [Read(FIRST), Lapsed(0, 6), Told(FIRST)] => Some(LeavingCause::Lapsed);
    an_entry_of_an_older_copy_ends_no_departure: [Read(FIRST), Removed(0, 5), Read(record(1, 3))] => REMOVED;
    an_entry_written_after_the_store_came_back_counts: [Read(FIRST), Removed(0, 5), Read(record(1, 3)), Read(current(1, 4))] => None;
    an_entry_behind_the_removal_counts_in_any_era: [Read(FIRST), Removed(0, 5), Read(record(1, 6))] => None;
    an_entry_that_the_store_keeps_after_it_came_back_counts: [Read(FIRST), Removed(0, 5), Read(record(1, 4)), Kept(1)] => None;
    an_entry_that_is_removed_again_is_not_kept: [Read(FIRST), Removed(0, 5), Read(record(1, 3)), Removed(1, 6), Kept(1)] => REMOVED;
    an_entry_of_an_earlier_era_is_not_kept: [Read(FIRST), Removed(0, 5), Kept(0)] => REMOVED;
    an_entry_from_before_the_older_copy_ends_no_departure: [Read(record(1, 3)), Removed(1, 4), Told(record(0, 9))] => REMOVED;
    a_second_departure_is_told_to_nodes_that_know_of_the_return: [Read(record(0, 7)), News(RunClaim::Missing(record(0, 8)))] => REMOVED;
}

// Guards against the use of an upstream that said that it leaves.
learns! {
    draining_is_final: [Read(FIRST), Drains(record(0, 4)), Read(record(0, 7))] => Some(LeavingCause::Draining);
    draining_is_final_in_an_older_record: [Read(record(0, 7)), Drains(record(0, 4))] => Some(LeavingCause::Draining);
    an_announcement_is_final: [Read(FIRST), Announced, Removed(0, 5), Read(record(0, 7))] => Some(LeavingCause::Announced);
    an_announcement_after_the_removal_is_final: [Read(FIRST), Removed(0, 5), Announced, Read(record(0, 7))] => Some(LeavingCause::Announced);
    stated_news_is_final: [Read(FIRST), News(RunClaim::Stated), Read(record(0, 7))] => Some(LeavingCause::Announced);
}

// Guards against nodes of an earlier release, whose departures have no evidence, that end the use of a
// live upstream for good; what they say is followed until there is evidence.
learns! {
    a_departure_without_evidence_ends_the_use: [Read(FIRST), Departed] => REMOVED;
    a_departure_without_evidence_ends_with_any_record: [Read(FIRST), Departed, Told(FIRST)] => None;
    a_departure_without_evidence_outlasts_an_entry_without: [Read(FIRST), Departed, ToldUndated] => REMOVED;
    an_undated_departure_counts_where_no_record_is_known: [ToldUndated, ToldLeftUndated] => REMOVED;
    an_undated_departure_does_not_count_beside_a_record: [Read(FIRST), ToldLeftUndated] => None;
    a_mark_that_the_upstream_never_wrote_is_not_final: [ToldLeftUndated, Read(FIRST)] => None;
}

/// Defines a case: the entries of two upstreams at one address in the order of arrival, each with
/// whether it had left, and which of them is used.
macro_rules! same_address {
    ($($name:ident: [$($id:literal $record:expr, $left:expr);*] => $used:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut registry = UpstreamRegistry::default();
            $(
                let written = Some($record);
                let arriving = UpstreamEntry { written, ..entry($id, 1, false) };
                registry.merge([(arriving, $left).into()], NOW);
            )*
            let used: Vec<&str> = registry.usable("model").map(|(_, upstream)| &*upstream.entry.id).collect();
            assert_eq!(used, $used);
        }
    )*};
}

// Guards against a live upstream that counts as replaced by an earlier one at its address, because a
// node learned of that one later.
same_address! {
    the_later_one_is_used: ["a" FIRST, false; "b" record(0, 9), false] => ["b"];
    the_order_of_arrival_does_not_matter: ["b" record(0, 9), false; "a" FIRST, false] => ["b"];
    one_that_had_left_replaces_nothing: ["b" record(0, 9), false; "a" record(0, 10), true] => ["b"];
    one_that_had_left_is_replaced: ["a" record(0, 10), true; "b" record(0, 9), false] => ["b"];
    one_that_was_thought_replaced_returns: ["b" record(0, 4), false; "a" record(0, 5), false; "b" record(0, 6), false] => ["b"];
}

/// A node that starts gets all runs from another one, in the order of their ids.
#[test]
fn a_node_that_starts_uses_what_its_source_uses() {
    let mut source = UpstreamRegistry::default();
    let mut offset = 0;
    for start in 0..10_u64 {
        for port in 1..=20_u16 {
            // Ids are in no order.
            let id = format!("i-{:x}", (u64::from(port) * 31 + start * 7919) % 1009);
            offset += 1;
            let entry = UpstreamEntry {
                written: Some(record(0, offset)),
                ..entry(&id, port, false)
            };
            source.apply(RegistryChange::Put(entry), true, NOW);
        }
    }
    assert_eq!(source.usable_count("model"), 20);
    let mut fresh = UpstreamRegistry::default();
    fresh.merge(source.newest().map(Upstream::report), NOW);
    assert_eq!(fresh.usable_digest(), source.usable_digest());
    assert_eq!(fresh.digest(), source.digest());
}
