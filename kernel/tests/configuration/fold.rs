//! Folding records: the same records yield the same state.

use monsoonbank_kernel::call::Tier;
use monsoonbank_kernel::config::{Document, DocumentKey, TierSpec};
use monsoonbank_kernel::configuration::checkpoint::{CheckpointAssembly, parts};
use monsoonbank_kernel::configuration::fold::ConfigFold;
use monsoonbank_kernel::ids::{Incarnation, NodeId};
use monsoonbank_kernel::record::{
    ChangeRecord, DocumentChange, LeaseRecord, LogRecord, PublishResult, Record,
};
use std::time::Duration;

use crate::support::{base_change, set_workspace, workspace};

fn fold_of(changes: &[ChangeRecord]) -> ConfigFold {
    let mut fold = ConfigFold::default();
    for (offset, change) in changes.iter().enumerate() {
        fold.apply(&LogRecord {
            offset: offset as u64,
            record: Some(Record::Change(change.clone())),
        });
    }
    fold
}

fn change(id: &str, changes: Vec<DocumentChange>) -> ChangeRecord {
    ChangeRecord {
        id: id.into(),
        changes,
    }
}

macro_rules! refused {
    ($name:ident, $changes:expr, $reason:expr) => {
        #[test]
        fn $name() {
            let mut records = vec![base_change(), set_workspace("w", "w", 1, 0)];
            records.push(change("wrong", $changes));
            let fold = fold_of(&records);
            let result = fold
                .result("wrong")
                .expect("the result is retained")
                .to_string();
            assert!(result.contains($reason), "{result}");
            let before = fold_of(&records[..2]);
            assert_eq!(fold.config(), before.config());
            assert_eq!(fold.documents(), before.documents());
        }
    };
}

refused!(no_documents, vec![], "no document is changed");
refused!(
    document_twice,
    vec![
        DocumentChange::set(workspace("v", 1), 0),
        DocumentChange::set(workspace("v", 2), 0),
    ],
    "workspace/v is changed twice"
);
refused!(
    other_key,
    vec![DocumentChange {
        key: DocumentKey::Rules,
        replaces: 1,
        content: Some(workspace("v", 1)),
    }],
    "rules holds workspace/v"
);
refused!(
    one_of_two_conflicts,
    vec![
        DocumentChange::set(workspace("v", 1), 0),
        DocumentChange::set(workspace("w", 2), 1),
    ],
    "conflict on workspace/w: it replaces version 1, but version 2 is in force"
);
refused!(
    floors_over_one,
    vec![DocumentChange::set(
        Document::Tiers(vec![
            TierSpec {
                tier: Tier(0),
                floor: 0.5
            },
            TierSpec {
                tier: Tier(1),
                floor: 0.6
            },
        ]),
        1
    )],
    "floors sum to 1.100; expected at most 1"
);
refused!(
    class_in_use_removed,
    vec![DocumentChange::remove(DocumentKey::Class("chat".into()), 1)],
    "unknown class `chat`"
);
refused!(
    pool_in_use_removed,
    vec![DocumentChange::remove(
        DocumentKey::Pool("writer".into()),
        1
    )],
    "upstreams serve the pool `writer`"
);
refused!(
    tier_in_use_removed,
    vec![DocumentChange::set(
        Document::Tiers(vec![TierSpec {
            tier: Tier(0),
            floor: 0.0
        }]),
        1
    )],
    "unknown tier `1`"
);
refused!(
    absent_document_removed,
    vec![DocumentChange::remove(DocumentKey::Class("none".into()), 0)],
    "class/none is absent"
);
refused!(
    token_of_another,
    vec![DocumentChange::set(
        match (workspace("v", 1), workspace("w", 1)) {
            (Document::Workspace(mut one), Document::Workspace(other)) => {
                one.token_sha256 = other.token_sha256;
                Document::Workspace(one)
            }
            _ => unreachable!("both are workspaces"),
        },
        0
    )],
    "the same token"
);

#[test]
fn checkpoint_restores_the_state_and_the_results() {
    let records = [
        base_change(),
        set_workspace("one", "w", 1, 0),
        set_workspace("two", "w", 2, 0),
        set_workspace("three", "w", 3, 2),
    ];
    let fold = fold_of(&records);
    let mut assembly = CheckpointAssembly::default();
    let mut all = parts(&fold);
    all.reverse();
    let doubled: Vec<_> = all.iter().chain(&all).collect();
    let restored = doubled.iter().find_map(|part| assembly.take(part));
    let restored = restored.expect("every part was added");
    assert_eq!(restored.config(), fold.config());
    assert_eq!(restored.documents(), fold.documents());
    for record in &records {
        assert_eq!(restored.result(&record.id), fold.result(&record.id));
    }
}

#[test]
fn undecodable_records_are_skipped_and_reported() {
    let mut fold = fold_of(&[base_change()]);
    fold.apply(&LogRecord {
        offset: 1,
        record: None,
    });
    fold.apply(&LogRecord {
        offset: 2,
        record: Some(Record::Change(set_workspace("w", "w", 1, 0))),
    });
    assert_eq!(
        fold.result("w"),
        Some(&PublishResult::Accepted { version: 3 })
    );
    let refused: Vec<u64> = fold.refused().map(|refused| refused.offset).collect();
    assert_eq!(refused, [1]);
}

#[test]
fn first_of_two_racing_claims_is_valid_and_each_follows_the_one_before() {
    let claim = |node: &str, follows| LeaseRecord {
        node: NodeId::named(node),
        incarnation: Incarnation(1),
        follows,
        length: Duration::from_secs(15),
    };
    let claims = [claim("a", 0), claim("b", 0), claim("a", 1), claim("b", 1)];
    let mut fold = ConfigFold::default();
    for (offset, claim) in (0..).zip(claims) {
        let record = Some(Record::Lease(claim));
        fold.apply(&LogRecord { offset, record });
    }
    let head = fold.lease().expect("a claim is valid");
    assert_eq!((head.offset, head.record.node), (2, NodeId::named("a")));
}
