//! Tests of the engines that are reserved for tight streams, and of the order in which nodes take
//! free slots.

use std::collections::BTreeSet;

use monsoonbank_kernel::gateway::choice::{ChoiceInput, choose};
use monsoonbank_kernel::gateway::load::WorkItem;
use monsoonbank_kernel::gateway::partition::{UpstreamCandidate, reserved_for_tight};
use monsoonbank_kernel::gateway::prompt::PromptShape;
use monsoonbank_kernel::gateway::registry::{UpstreamKey, UpstreamRegistry};

use crate::engines::{NOW, bulk, input, registry};

/// Engines of 20 slots in one availability zone.
fn engines(count: usize) -> UpstreamRegistry {
    registry(&vec!["east"; count], 20)
}

fn reserved(registry: &UpstreamRegistry) -> BTreeSet<UpstreamKey> {
    let candidates: Vec<UpstreamCandidate> = registry
        .usable("model")
        .map(|(key, upstream)| UpstreamCandidate {
            key,
            upstream,
            total: upstream.load.total(NOW),
            backed_off: upstream.health.is_backed_off(NOW),
        })
        .collect();
    reserved_for_tight(&candidates)
}

fn load(registry: &mut UpstreamRegistry, key: UpstreamKey, item: WorkItem, times: usize) {
    for _ in 0..times {
        registry.get_mut(key).expect("known").load.begin(item);
    }
}

fn streams(registry: &mut UpstreamRegistry, count: usize) {
    let key = registry.key("i-0").expect("known");
    let item = WorkItem {
        tight: true,
        ..WorkItem::default()
    };
    load(registry, key, item, count);
}

/// A call of a node that knows others.
fn among<'a>(prompt: &'a PromptShape, node: u64, senders: &'a [u64]) -> ChoiceInput<'a> {
    ChoiceInput {
        node,
        senders,
        ..input(prompt, false)
    }
}

/// Each case gives the number of a zone's engines, of its tight streams and of other calls, and the
/// number of reserved engines.
///
/// Guards against an idle zone of many engines that runs all tight streams on the one reserved
/// engine, at half the speed that idle engines would give each.
macro_rules! load_cases {
    ($($name:ident: $engines:expr, $streams:expr, $others:expr => $reserved:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut registry = engines($engines);
            streams(&mut registry, $streams);
            let key = registry.key("i-1").expect("known");
            load(&mut registry, key, WorkItem::default(), $others);
            assert_eq!(reserved(&registry).len(), $reserved);
        })*
    };
}

load_cases! {
    idle_engines_are_divided_by_load: 32, 17, 30 => 8;
    streams_alone_leave_one_engine_unreserved: 32, 17, 0 => 31;
    when_all_are_needed_streams_get_as_many_as_they_fill: 32, 102, 600 => 6;
    a_few_streams_beside_many_calls_reserve_one: 32, 1, 300 => 1;
}

macro_rules! reserved_cases {
    ($($name:ident: $engines:expr, $streams:expr => $reserved:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut registry = engines($engines);
            streams(&mut registry, $streams);
            assert_eq!(reserved(&registry).len(), $reserved);
        })*
    };
}

reserved_cases! {
    a_single_engine_is_for_all: 1, 5 => 0;
    one_is_reserved_before_any_stream_arrives: 4, 0 => 1;
    as_many_are_reserved_as_streams_fill: 4, 40 => 3;
    one_always_stays_unreserved: 4, 500 => 3;
}

#[test]
fn a_backed_off_engine_is_not_reserved() {
    let mut registry = engines(4);
    let key = *reserved(&registry).first().expect("one");
    registry.get_mut(key).expect("known").health.unanswered(NOW);
    let now_reserved = reserved(&registry);
    assert_eq!(now_reserved.len(), 1);
    assert!(!now_reserved.contains(&key));
}

#[test]
fn tight_streams_go_to_reserved_engines_and_long_prompts_elsewhere() {
    let registry = engines(4);
    let reserved = reserved(&registry);
    let (short, long) = (bulk(600), bulk(6000));
    let tight = choose(&registry, &input(&short, true)).expect("a choice");
    let loose = choose(&registry, &input(&long, false)).expect("a choice");
    assert!(reserved.contains(&tight.key) && !reserved.contains(&loose.key));
}

#[test]
fn a_long_prompt_waits_rather_than_delay_tight_streams() {
    let mut registry = engines(2);
    let reserved_key = *reserved(&registry).first().expect("one");
    let keys: Vec<UpstreamKey> = registry.usable("model").map(|(key, _)| key).collect();
    for key in keys {
        let tight = key == reserved_key;
        let item = WorkItem {
            tight,
            ..WorkItem::default()
        };
        load(&mut registry, key, item, if tight { 5 } else { 20 });
    }
    let (short, long) = (bulk(1000), bulk(6000));
    assert!(choose(&registry, &input(&long, false)).is_none());
    assert!(choose(&registry, &input(&short, false)).is_some());
}

#[test]
fn the_last_free_slot_is_for_one_node() {
    let mut registry = engines(1);
    let key = registry.key("i-0").expect("known");
    // 19 of 20 slots may be used.
    load(&mut registry, key, WorkItem::default(), 18);
    let nodes: Vec<u64> = (0..12).collect();
    let prompt = bulk(600);
    let takers = nodes.iter().filter(|node| {
        let senders: Vec<u64> = nodes
            .iter()
            .copied()
            .filter(|other| other != *node)
            .collect();
        choose(&registry, &among(&prompt, **node, &senders)).is_some()
    });
    assert_eq!(takers.count(), 1);
}

#[test]
fn an_empty_engine_is_for_all_nodes() {
    let registry = engines(1);
    let nodes: Vec<u64> = (0..12).collect();
    let prompt = bulk(600);
    for node in 0..12 {
        assert!(choose(&registry, &among(&prompt, node, &nodes)).is_some());
    }
}

#[test]
fn nodes_that_find_an_empty_engine_at_once_do_not_overfill_it() {
    let nodes: Vec<u64> = (0..12).collect();
    let prompt = bulk(600);
    let mut sent = 0;
    for node in &nodes {
        let senders: Vec<u64> = nodes
            .iter()
            .copied()
            .filter(|other| other != node)
            .collect();
        let mut registry = engines(1);
        let key = registry.key("i-0").expect("known");
        while choose(&registry, &among(&prompt, *node, &senders)).is_some() {
            let load = &mut registry.get_mut(key).expect("known").load;
            load.begin(WorkItem::default());
            load.sent(NOW);
            sent += 1;
        }
    }
    assert!((12..=24).contains(&sent), "{sent} calls for 20 slots");
}

#[test]
fn a_node_that_is_cut_off_leaves_the_others_their_share() {
    let mut registry = engines(1);
    let key = registry.key("i-0").expect("known");
    let prompt = bulk(600);
    let cut_off = ChoiceInput {
        silent_senders: 3,
        ..input(&prompt, false)
    };
    let mut sent = 0;
    while choose(&registry, &cut_off).is_some() {
        load(&mut registry, key, WorkItem::default(), 1);
        sent += 1;
    }
    assert_eq!(sent, 5, "of 19 slots for four nodes");
}
