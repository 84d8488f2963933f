//! Outages of the log, its retention, and nodes that start without state.

use monsoonbank_kernel::record::{PublishResult, Record};

use crate::support::{Fleet, base_change, set_workspace};

fn started(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count);
    fleet.publish(0, 1, base_change());
    fleet.run(2);
    assert!(fleet.in_force().iter().all(|version| *version == 1));
    fleet
}

#[test]
fn change_accepted_just_before_an_outage_reaches_all_through_peers() {
    let mut fleet = started(5);
    for index in 1..5 {
        fleet.nodes[index].cut_from_log = true;
    }
    fleet.run(1);
    fleet.publish(0, 2, set_workspace("late", "w", 2, 0));
    fleet.inject(0, monsoonbank_kernel::event::Event::Tick);
    fleet.serve_log(0);
    fleet.serve_log(0);
    fleet.log.down = true;
    assert_eq!(
        fleet.answer(2),
        Some(&PublishResult::Accepted { version: 2 })
    );
    fleet.run(2);
    assert_eq!(fleet.in_force(), [2; 5]);
}

#[test]
fn fresh_node_with_log_down_starts_from_peers() {
    let mut fleet = started(3);
    fleet.log.down = true;
    fleet.run(1);
    fleet.replace(2);
    fleet.run(4);
    assert!(fleet.nodes[2].is_ready());
    assert_eq!(fleet.in_force(), [1, 1, 1]);
}

#[test]
fn fresh_node_without_log_and_ready_peers_accepts_no_calls() {
    let mut fleet = started(2);
    fleet.log.down = true;
    fleet.replace(0);
    fleet.replace(1);
    fleet.run(10);
    assert!(!fleet.nodes[0].is_ready() && !fleet.nodes[1].is_ready());
    fleet.log.down = false;
    fleet.run(10);
    assert_eq!(fleet.in_force(), [1, 1]);
}

#[test]
fn fresh_node_waits_for_records_that_only_peers_have() {
    let mut fleet = started(3);
    fleet.publish(0, 2, set_workspace("news", "w", 2, 0));
    fleet.run(1);
    let newest = fleet.log.records.pop().expect("a record");
    fleet.replace(2);
    fleet.run(4);
    assert_eq!(fleet.nodes[2].versions, [2], "it never served version 1");
    fleet.log.records.push(newest);
}

fn grow(fleet: &mut Fleet, changes: usize) {
    for change in 0..changes {
        let id = format!("grow-{change}");
        let name = format!("workspace-{change}-{}", "x".repeat(80));
        fleet
            .log
            .append(Record::Change(set_workspace(&id, &name, 1, 0)));
    }
    fleet.run(1);
}

/// Number of complete checkpoints on the log, counted by their last parts.
fn checkpoints(fleet: &Fleet) -> usize {
    let records = fleet.log.records.iter();
    let last = |record: &&Record| matches!(record, Record::Checkpoint(part) if part.part + 1 == part.parts);
    records.filter(last).count()
}

#[test]
fn many_changes_cause_one_checkpoint_from_which_a_fresh_fleet_starts() {
    let mut fleet = started(3);
    grow(&mut fleet, 400);
    fleet.run(20);
    assert_eq!(checkpoints(&fleet), 1, "one in total, not one per node");
    let before = fleet.in_force();
    fleet
        .log
        .truncate(fleet.nodes[0].number("checkpoint_through"));
    for index in 0..3 {
        fleet.replace(index);
    }
    fleet.run(5);
    assert_eq!(fleet.in_force(), before);
}

#[test]
fn truncated_log_without_checkpoint_is_repaired_by_a_peer_and_a_checkpoint() {
    let mut fleet = started(3);
    grow(&mut fleet, 20);
    fleet.log.truncate(15);
    fleet.replace(2);
    fleet.run(5);
    assert_eq!(fleet.in_force(), [21, 21, 21]);
    fleet.run(30);
    assert!(checkpoints(&fleet) >= 1, "the log can start a node again");
    for index in 0..3 {
        fleet.replace(index);
    }
    fleet.run(5);
    assert_eq!(fleet.in_force(), [21, 21, 21]);
}

#[test]
fn truncation_past_a_disconnected_reader_is_repaired() {
    let mut fleet = started(3);
    fleet.nodes[2].cut_from_log = true;
    let cut = fleet.nodes[2].id;
    grow(&mut fleet, 30);
    fleet.messages.retain(|(_, to, _)| *to != cut);
    fleet.log.truncate(25);
    fleet.nodes[2].cut_from_log = false;
    fleet.run(8);
    assert_eq!(fleet.in_force(), [31, 31, 31]);
}

#[test]
fn log_that_lost_records_reverts_no_node() {
    let mut fleet = started(3);
    grow(&mut fleet, 5);
    fleet.log.records.truncate(1);
    fleet.replace(2);
    fleet.run(8);
    assert_eq!(fleet.in_force(), [6, 6, 6]);
}

#[test]
fn checkpoint_is_repeated_before_retention_removes_it() {
    let mut fleet = started(2);
    fleet.now += std::time::Duration::from_hours(7);
    fleet.run(8);
    assert_eq!(checkpoints(&fleet), 1);
}
