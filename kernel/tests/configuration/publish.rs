//! Publishing through a node: answers, races and lost responses.

use monsoonbank_kernel::config::DocumentKey;
use monsoonbank_kernel::configuration::rollout::PublishProgress;
use monsoonbank_kernel::record::{PublishResult, Record};

use crate::support::{Fleet, base_change, set_workspace};

fn started(count: usize) -> Fleet {
    let mut fleet = Fleet::new(count);
    fleet.publish(0, 1, base_change());
    fleet.run(2);
    fleet
}

#[test]
fn accepted_after_read_back_then_in_force_everywhere() {
    let fleet = started(4);
    assert_eq!(fleet.answers, [(1, PublishResult::Accepted { version: 1 })]);
    assert_eq!(fleet.in_force(), [1, 1, 1, 1]);
    let complete = PublishProgress { in_force: 4, of: 4 };
    assert_eq!(fleet.progress.last(), Some(&(1, complete)));
}

#[test]
fn second_of_two_racing_operators_gets_conflict() {
    let mut fleet = started(3);
    fleet.publish(1, 2, set_workspace("left", "w", 2, 0));
    fleet.publish(2, 3, set_workspace("right", "w", 3, 0));
    fleet.run(2);
    assert_eq!(
        fleet.answer(2),
        Some(&PublishResult::Accepted { version: 2 })
    );
    let conflict = PublishResult::Conflict {
        key: DocumentKey::Workspace("w".into()),
        expected: 0,
        found: 2,
    };
    assert_eq!(fleet.answer(3), Some(&conflict));
    assert_eq!(fleet.in_force(), [2, 2, 2]);
}

#[test]
fn changes_of_other_documents_do_not_conflict() {
    let mut fleet = started(3);
    for index in 0..3 {
        let name = format!("w{index}");
        fleet.publish(index, 10 + index as u64, set_workspace(&name, &name, 1, 0));
    }
    fleet.run(2);
    let accepted =
        |(_, result): &(u64, PublishResult)| matches!(result, PublishResult::Accepted { .. });
    assert!(fleet.answers.iter().all(accepted), "{:?}", fleet.answers);
}

#[test]
fn lost_response_is_resolved_by_reading_back() {
    let mut fleet = started(3);
    fleet.log.lose_responses = 1;
    fleet.publish(1, 2, set_workspace("lost", "w", 2, 0));
    fleet.run(2);
    assert_eq!(
        fleet.answer(2),
        Some(&PublishResult::Accepted { version: 2 })
    );
}

#[test]
fn same_id_again_changes_nothing_and_has_the_same_answer() {
    let mut fleet = started(3);
    let change = set_workspace("once", "w", 2, 0);
    fleet.publish(1, 2, change.clone());
    fleet.run(1);
    fleet.publish(2, 3, change.clone());
    fleet.log.append(Record::Change(change));
    fleet.run(1);
    assert_eq!(fleet.answer(2), fleet.answer(3));
    assert_eq!(fleet.in_force(), [2, 2, 2]);
}

#[test]
fn log_down_is_unavailable_and_may_be_sent_again() {
    let mut fleet = started(3);
    fleet.log.down = true;
    let change = set_workspace("again", "w", 2, 0);
    fleet.publish(1, 2, change.clone());
    fleet.run(11);
    assert_eq!(fleet.answer(2), Some(&PublishResult::Unavailable));
    fleet.log.down = false;
    fleet.publish(1, 3, change);
    fleet.run(8);
    assert_eq!(
        fleet.answer(3),
        Some(&PublishResult::Accepted { version: 2 })
    );
    assert_eq!(fleet.in_force(), [2, 2, 2]);
}

#[test]
fn lost_response_with_a_racing_operator() {
    let mut fleet = started(3);
    fleet.log.lose_responses = 1;
    fleet.publish(1, 2, set_workspace("left", "w", 2, 0));
    fleet.serve_log(1);
    fleet.publish(2, 3, set_workspace("right", "w", 3, 0));
    fleet.run(3);
    assert_eq!(
        fleet.answer(2),
        Some(&PublishResult::Accepted { version: 2 })
    );
    let lost = matches!(
        fleet.answer(3),
        Some(PublishResult::Conflict { found: 2, .. })
    );
    assert!(lost, "{:?}", fleet.answer(3));
}

#[test]
fn progress_excludes_a_partitioned_node() {
    let mut fleet = started(4);
    let cut = fleet.nodes[3].id;
    fleet.publish(0, 2, set_workspace("cut", "w", 2, 0));
    for _ in 0..40 {
        fleet.nodes[3].cut_from_log = true;
        fleet
            .messages
            .retain(|(from, to, _)| *from != cut && *to != cut);
        fleet.step();
    }
    let (_, progress) = fleet.progress.last().expect("progress was reported");
    assert_eq!((progress.in_force, progress.of), (3, 4));
}
