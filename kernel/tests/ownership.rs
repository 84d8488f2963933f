//! Ownership: zones, moves, and equality of incremental and full computation.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::profile;
use monsoonbank_kernel::config::{Config, ConfigFile, PoolKind, PoolSpec, UpstreamSpec};
use monsoonbank_kernel::event::{Action, Event};
use monsoonbank_kernel::ids::{Incarnation, NodeId, UpstreamId, ZoneId};
use monsoonbank_kernel::kernel::Kernel;
use monsoonbank_kernel::membership::{Member, MemberView, NodeState};
use monsoonbank_kernel::ownership::{OwnerMap, assign};
use proptest::prelude::*;

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn config(upstreams: usize) -> Config {
    let upstream = |n: usize| UpstreamSpec {
        name: format!("engine-{n}").into(),
        pool: "model".into(),
        zone: ZONES[n % ZONES.len()].into(),
        address: "127.0.0.1:9".into(),
        slots: 50,
        checks_fencing: true,
        also: Vec::new(),
    };
    let file = ConfigFile {
        pools: vec![PoolSpec {
            name: "model".into(),
            kind: PoolKind::Model,
        }],
        upstreams: (0..upstreams).map(upstream).collect(),
        ..ConfigFile::default()
    };
    Config::from_file(1, &file)
}

fn node(index: usize) -> NodeId {
    NodeId::named(&format!("node-{index}"))
}

/// Nodes with these states, placed in the first three zones in rotation.
fn view(states: &[NodeState]) -> MemberView {
    let members = states.iter().enumerate().map(|(n, state)| {
        let zone = ZONES[n % 3];
        let member = Member {
            name: format!("node-{n}").into(),
            zone: ZoneId::named(zone),
            zone_name: zone.into(),
            incarnation: Incarnation(1),
            state: *state,
            peer_address: "".into(),
            caller_address: "".into(),
        };
        (node(n), member)
    });
    MemberView {
        members: members.collect(),
    }
}

fn moved(before: &OwnerMap, after: &OwnerMap) -> usize {
    let pairs = before.owners.iter();
    pairs
        .filter(|(id, owner)| after.owners.get(id) != Some(owner))
        .count()
}

fn owners_with(state: NodeState) -> (OwnerMap, OwnerMap) {
    let mut states = [NodeState::Live; 9];
    let before = assign(&config(36), &view(&states));
    states[0] = state;
    (before, assign(&config(36), &view(&states)))
}

fn owned(owners: &OwnerMap, by: NodeId) -> usize {
    owners.owners.values().filter(|owner| **owner == by).count()
}

#[test]
fn owners_are_in_the_own_zone_or_in_any_if_that_has_no_nodes() {
    let (owners, _) = owners_with(NodeState::Live);
    assert_eq!(owners.owners.len(), 36);
    for index in 0..36 {
        let owner = owners.owners[&UpstreamId::named(&format!("engine-{index}"))];
        let position = (0..9).find(|n| node(*n) == owner).unwrap();
        assert!(index % 4 == 3 || position % 3 == index % 4);
    }
}

#[test]
fn a_suspect_node_keeps_its_upstreams() {
    let (before, after) = owners_with(NodeState::Suspect);
    assert_eq!(before, after);
}

#[test]
fn a_leaving_node_loses_its_upstreams_and_few_others_move() {
    let (before, after) = owners_with(NodeState::Leaving);
    let lost = owned(&before, node(0));
    assert_eq!(owned(&after, node(0)), 0);
    assert!(lost > 0);
    assert!(moved(&before, &after) <= 2 * lost);
}

#[test]
fn load_of_nodes_in_a_zone_is_bounded() {
    let (owners, _) = owners_with(NodeState::Live);
    let mut loads: BTreeMap<NodeId, usize> = BTreeMap::new();
    let in_zone = (0..36).filter(|index| index % 4 == 0);
    for index in in_zone {
        let owner = owners.owners[&UpstreamId::named(&format!("engine-{index}"))];
        *loads.entry(owner).or_default() += 1;
    }
    assert!(loads.values().all(|load| *load <= 4), "{loads:?}");
}

fn states() -> impl Strategy<Value = Vec<NodeState>> {
    let state = prop_oneof![
        4 => Just(NodeState::Live),
        1 => Just(NodeState::Suspect),
        1 => Just(NodeState::Leaving),
        1 => Just(NodeState::Dead),
    ];
    proptest::collection::vec(state, 0..10)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn owners_do_not_depend_on_earlier_states(
        steps in proptest::collection::vec((states(), 0_usize..40), 1..8),
    ) {
        let mut kernel = Kernel::new(profile("node-0", "a", 1));
        let mut owners = OwnerMap::default();
        let mut actions = Vec::new();
        for (states, upstreams) in steps {
            let (config, view) = (config(upstreams), view(&states));
            let expected = assign(&config, &view);
            let now = Duration::from_secs(1);
            kernel.handle(now, Event::ConfigApplied(Arc::new(config)), &mut actions);
            kernel.handle(now, Event::MembersChanged(Arc::new(view)), &mut actions);
            for action in actions.drain(..) {
                if let Action::UseOwners(map) = action {
                    owners = OwnerMap::clone(&map);
                }
            }
            prop_assert_eq!(&owners, &expected);
        }
    }
}
