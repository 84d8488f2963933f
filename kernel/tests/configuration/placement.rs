//! Engines move to a pool with sustained high demand, without flapping.

use std::collections::BTreeMap;
use std::time::Duration;

use monsoonbank_kernel::call::LoadSummary;
use monsoonbank_kernel::config::{Config, ConfigFile};
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::{PoolId, UpstreamId};
use monsoonbank_kernel::placement::{PlacementMove, PoolDemand, decide};
use monsoonbank_kernel::record::{ChangeRecord, Record};
use monsoonbank_kernel::wire::{Message, WorkMessage};

use crate::support::Fleet;

const FILE: &str = "
tiers: [{ tier: 0, floor: 0.0 }]
classes: [{ name: chat, tier: 0, target: 1s, repeatable: true }]
pools: [{ name: chat, kind: model }, { name: tags, kind: model }]
upstreams:
  - { name: c1, pool: chat, zone: a, address: '127.0.0.1:1', slots: 4 }
  - { name: t1, pool: tags, zone: a, address: '127.0.0.1:2', slots: 4 }
  - { name: t2, pool: tags, zone: a, address: '127.0.0.1:3', slots: 4, also: [chat] }
";

fn file() -> ConfigFile {
    serde_yaml_ng::from_str(FILE).expect("the file is valid")
}

fn minutes(count: u64) -> Duration {
    Duration::from_mins(count)
}

/// Constant demand of the two pools since kernel time 0.
fn demand(chat: f64, tags: f64) -> BTreeMap<PoolId, PoolDemand> {
    let state = |pressure| {
        let mut state = PoolDemand::default();
        state.update(pressure, Duration::ZERO);
        state
    };
    let pools = [("chat", chat), ("tags", tags)];
    pools
        .map(|(name, pressure)| (PoolId::named(name), state(pressure)))
        .into()
}

macro_rules! decision {
    ($name:ident, chat $chat:expr, tags $tags:expr, at $at:expr, moved $moved:expr, $to:expr) => {
        #[test]
        fn $name() {
            let config = Config::from_file(1, &file());
            let moved: BTreeMap<UpstreamId, Duration> = $moved.into();
            let to: Option<&str> = $to;
            let expected = to.map(|to| PlacementMove {
                upstream: UpstreamId::named("t2"),
                to: to.into(),
            });
            assert_eq!(
                decide(&config, &demand($chat, $tags), &moved, $at),
                expected
            );
        }
    };
}

decision!(
    sustained_high_and_low_demand_moves_an_engine, chat 2.0, tags 0.1, at minutes(3),
    moved [], Some("chat")
);
decision!(demand_not_sustained_long_enough, chat 2.0, tags 0.1, at minutes(1), moved [], None);
decision!(demand_between_the_thresholds, chat 1.1, tags 0.1, at minutes(3), moved [], None);
decision!(no_other_pool_has_low_demand, chat 2.0, tags 0.6, at minutes(3), moved [], None);
decision!(
    engine_moved_recently, chat 2.0, tags 0.1, at minutes(9),
    moved [(UpstreamId::named("t2"), Duration::ZERO)], None
);

#[test]
fn move_is_ordered_then_published_and_in_force_on_all_nodes() {
    let mut fleet = Fleet::new(3);
    fleet.publish(0, 1, ChangeRecord::from_file("base", &file()));
    fleet.run(2);
    let busy = LoadSummary {
        slots: 4,
        running: 4,
        waiting: [0, 6, 0],
    };
    for _ in 0..150 {
        for index in 0..3 {
            let from = fleet.nodes[1].id;
            let pool = PoolId::named("chat");
            let message = Message::Work(WorkMessage::Load { pool, load: busy });
            fleet.inject(index, Event::PeerMessage { from, message });
        }
        fleet.run(1);
    }
    let sent = fleet.orders.first().cloned().expect("an order was sent");
    assert_eq!(
        sent.request.order.to_string(),
        "load model chat version newest"
    );
    fleet.inject(
        sent.node,
        Event::OrderAnswered {
            upstream: sent.request.upstream,
            fencing: fleet.orders.last().expect("an order").fencing,
            accepted: true,
        },
    );
    fleet.run(2);
    let placed = |record: &&Record| matches!(record, Record::Change(change) if change.id.starts_with("placement-"));
    assert_eq!(fleet.log.records.iter().filter(placed).count(), 1);
    for node in &fleet.nodes {
        let config = node.config.as_ref().expect("a configuration is in force");
        let engine = UpstreamId::named("t2");
        assert_eq!(config.upstreams[&engine].pool, PoolId::named("chat"));
        assert!(config.members[&PoolId::named("chat")].contains(&engine));
        assert!(!config.members[&PoolId::named("tags")].contains(&engine));
    }
}
