//! Selection of the owner that a call is offered to.

use std::collections::BTreeMap;
use std::time::Duration;

use monsoonbank_kernel::call::{CallSpec, LoadSummary};
use monsoonbank_kernel::config::{Config, ConfigFile};
use monsoonbank_kernel::ids::{NodeId, PoolId, ZoneId};
use monsoonbank_kernel::membership::{MemberView, NodeState};
use monsoonbank_kernel::ownership::{OwnerMap, assign};
use monsoonbank_kernel::routing::owners::OwnerTable;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::fleet::{Fleet, call_spec, node_id};

/// Four nodes, each with one upstream of ten slots; nodes 0 and 1 are in the entry node's zone.
struct Choice {
    table: OwnerTable,
    config: Config,
    owners: OwnerMap,
    view: MemberView,
    spec: CallSpec,
    tried: Vec<NodeId>,
}

impl Choice {
    fn new() -> Self {
        let mut view = (*Fleet::new(4, 1).view()).clone();
        let mut text = "pools: [{name: m, kind: model}]\nupstreams:\n".to_owned();
        for node in 0..4 {
            let zone = ZoneId::named(if node < 2 { "near" } else { "far" });
            view.members.get_mut(&node_id(node)).unwrap().zone = zone;
            let line = "pool: m, zone: near, address: '127.0.0.1:1', slots: 10";
            text.extend([format!("  - {{name: u{node}, {line}}}\n")]);
        }
        let file: ConfigFile = serde_yaml_ng::from_str(&text).unwrap();
        let config = Config::from_file(1, &file);
        let mut owners = assign(&config, &view);
        for (node, owner) in owners.owners.values_mut().enumerate() {
            *owner = node_id(node);
        }
        let spec = call_spec(0);
        let table = OwnerTable::default();
        let tried = Vec::new();
        let mut choice = Self {
            table,
            config,
            owners,
            view,
            spec,
            tried,
        };
        choice.rebuild();
        choice
    }

    fn rebuild(&mut self) {
        let zone = ZoneId::named("near");
        self.table
            .rebuild(&self.config, &self.owners, &self.view, zone);
    }

    fn state(&mut self, node: usize, state: NodeState) {
        self.view.members.get_mut(&node_id(node)).unwrap().state = state;
        self.rebuild();
    }

    fn set_load(&mut self, node: usize, running: u32, waiting: [u32; 3]) {
        let load = LoadSummary {
            slots: 10,
            running,
            waiting,
        };
        let pool = PoolId::named("m");
        self.table.update(pool, node_id(node), load, Duration::ZERO);
    }

    /// The nodes selected in a hundred choices.
    fn chosen(&self) -> Vec<usize> {
        let mut random = Pcg64Mcg::seed_from_u64(3);
        let mut chosen: BTreeMap<usize, u32> = BTreeMap::new();
        for _ in 0..100 {
            let owner = self
                .table
                .choose(&self.spec, &self.tried, Duration::ZERO, &mut random);
            let Some(owner) = owner else { continue };
            let node = (0..4).find(|node| node_id(*node) == owner).unwrap();
            *chosen.entry(node).or_default() += 1;
        }
        chosen.into_keys().collect()
    }
}

macro_rules! choices {
    ($($name:ident: $given:expr => $nodes:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut choice = Choice::new();
                let given: fn(&mut Choice) = $given;
                given(&mut choice);
                let expected: &[usize] = &$nodes;
                assert_eq!(choice.chosen(), expected);
            }
        )*
    };
}

choices! {
    own_zone_shares_idle_work: |_| {} => [0, 1];
    least_loaded_of_own_zone: |choice| choice.set_load(0, 5, [0; 3]) => [1];
    own_zone_with_short_queue: |choice| {
        choice.set_load(0, 10, [0, 0, 1]);
        choice.set_load(1, 10, [0, 0, 1]);
        choice.set_load(2, 9, [0; 3]);
        choice.set_load(3, 9, [0; 3]);
    } => [0, 1];
    own_zone_with_long_queue: |choice| {
        choice.set_load(0, 10, [0, 0, 9]);
        choice.set_load(1, 10, [0, 0, 9]);
        choice.set_load(2, 9, [0; 3]);
    } => [3];
    lower_tiers_do_not_delay_urgent_calls: |choice| {
        choice.set_load(0, 3, [0, 0, 90]);
        choice.set_load(1, 4, [0; 3]);
    } => [0];
    leaving_owner: |choice| choice.state(0, NodeState::Leaving) => [1];
    dead_owner: |choice| choice.state(1, NodeState::Dead) => [0];
    suspect_owners_come_last: |choice| {
        choice.state(0, NodeState::Suspect);
        choice.state(1, NodeState::Suspect);
    } => [2, 3];
    tried_owner: |choice| choice.tried.push(node_id(1)) => [0];
    all_tried: |choice| choice.tried.extend((0..4).map(node_id)) => [];
    broken_link: |choice| choice.table.link_down(node_id(0), Duration::ZERO) => [1];
    restored_link: |choice| {
        choice.table.link_down(node_id(0), Duration::ZERO);
        choice.table.link_up(node_id(0));
    } => [0, 1];
    prefix_has_one_owner: |choice| choice.spec.prefix = 1 => [0];
    other_prefix_has_another_owner: |choice| choice.spec.prefix = 5 => [1];
    prefix_owner_is_loaded: |choice| {
        choice.spec.prefix = 1;
        choice.set_load(0, 10, [4, 0, 0]);
    } => [1];
}
