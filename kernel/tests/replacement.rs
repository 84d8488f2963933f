//! A rolling replacement as a golden session, planned shutdown during a stream, and caller
//! addresses.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::{Fleet, STEP, id, profile};
use monsoonbank_kernel::addresses::caller_addresses;
use monsoonbank_kernel::call::{AttemptEnd, CallSpec, Tier};
use monsoonbank_kernel::config::Config;
use monsoonbank_kernel::event::{Action, Event};
use monsoonbank_kernel::ids::{AttemptId, CallId, ClassId, PoolId, WorkspaceId, ZoneId};
use monsoonbank_kernel::kernel::Kernel;
use monsoonbank_kernel::membership::MemberView;

const NODES: [(&str, &str); 3] = [("a1", "a"), ("b1", "b"), ("c1", "c")];

const CONFIG: &str = "
tiers: [{ tier: 0, floor: 0.1 }]
classes: [{ name: urgent, tier: 0, target: 10s, repeatable: true }]
workspaces: [{ name: gate, token_sha256: '00' }]
pools: [{ name: model, kind: model }]
upstreams: [{ name: e1, pool: model, zone: a, address: '127.0.0.1:9', slots: 4 }]
rules: [{ name: all, then: { class: urgent } }]
";

/// Records the membership view of every node whenever it changes.
struct Session {
    fleet: Fleet,
    seen: BTreeMap<(&'static str, &'static str), String>,
    lines: Vec<String>,
}

impl Session {
    fn add_line(&mut self, line: &str) {
        let time = self.fleet.now.as_secs_f64();
        self.lines.push(format!("{time:7.2} {line}"));
    }

    fn record_views(&mut self) {
        for (observer, _) in NODES {
            if !self.fleet.kernels.contains_key(&id(observer)) {
                continue;
            }
            for (node, _) in NODES {
                let state = self.fleet.sees(observer, node);
                let before = self.seen.insert((observer, node), state.clone());
                if before.as_deref() != Some(&state) {
                    self.add_line(&format!("  {observer} sees {node} {state}"));
                }
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.fleet.run(STEP);
            self.record_views();
            for (node, action) in std::mem::take(&mut self.fleet.actions) {
                let name = NODES.iter().find(|(name, _)| id(name) == node);
                if let (Action::Exit, Some((name, _))) = (action, name) {
                    self.add_line(&format!("  {name} exits"));
                }
            }
        }
    }

    fn replace(&mut self, index: usize) {
        let (name, zone) = NODES[index];
        self.add_line(&format!("{name} is told to leave"));
        self.fleet.give(id(name), Event::DrainNode);
        self.run(Duration::from_secs(7));
        self.fleet.kill(name, true);
        self.add_line(&format!("{name} is gone, its replacement starts"));
        self.run(Duration::from_secs(2));
        self.fleet.start(name, zone, 200);
        self.run(Duration::from_secs(3));
    }
}

#[test]
fn every_node_is_replaced_one_after_another() {
    let mut session = Session {
        fleet: Fleet::new(&NODES),
        seen: BTreeMap::new(),
        lines: Vec::new(),
    };
    session.run(Duration::from_secs(2));
    for index in 0..NODES.len() {
        session.replace(index);
    }
    insta::assert_snapshot!(session.lines.join("\n"));
}

fn call() -> CallSpec {
    CallSpec {
        call: CallId {
            node: id("a1"),
            incarnation: profile("a1", "a", 100).incarnation,
            sequence: 1,
        },
        workspace: WorkspaceId::named("gate"),
        class: ClassId::named("urgent"),
        tier: Tier(0),
        pool: PoolId::named("model"),
        time_left: Duration::from_secs(10),
        repeatable: true,
        prompt_tokens: 10,
        max_tokens: 10,
        prefix: 0,
    }
}

fn exits(fleet: &Fleet) -> bool {
    let actions = fleet.actions.iter();
    actions
        .filter(|(_, action)| matches!(action, Action::Exit))
        .count()
        == 1
}

fn started(fleet: &Fleet) -> AttemptId {
    let start = fleet.actions.iter().find_map(|(_, action)| match action {
        Action::StartAttempt(start) => Some(start.work.attempt),
        _ => None,
    });
    start.unwrap()
}

#[test]
fn a_planned_shutdown_waits_for_an_open_stream() {
    let mut fleet = Fleet::new(&NODES[..1]);
    let file = serde_yaml_ng::from_str(CONFIG).unwrap();
    let config = Arc::new(Config::from_file(1, &file));
    fleet.give(id("a1"), Event::ConfigApplied(config));
    let arrival = Event::CallArrived {
        spec: call(),
        key: None,
    };
    fleet.give(id("a1"), arrival);
    fleet.run(STEP);
    let attempt = started(&fleet);
    fleet.give(id("a1"), Event::AttemptSent(attempt));
    fleet.give(id("a1"), Event::DrainNode);
    fleet.run(Duration::from_mins(1));
    assert!(!exits(&fleet));
    let end = AttemptEnd::Complete { tokens: 10 };
    fleet.give(id("a1"), Event::AttemptEnded { attempt, end });
    fleet.run(STEP);
    assert!(exits(&fleet));
}

#[test]
fn addresses_are_of_live_nodes_with_the_callers_zone_first() {
    let mut fleet = Fleet::new(&[("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")]);
    fleet.run(Duration::from_secs(2));
    fleet.give(id("a2"), Event::DrainNode);
    fleet.kill("c1", true);
    fleet.run(Duration::from_secs(3));
    let view = view_of(&mut fleet, "b1");
    let answer = caller_addresses(&view, Some(ZoneId::named("a")), 4, 1);
    let addresses: Vec<&str> = answer.addresses.iter().map(|address| &**address).collect();
    assert_eq!(addresses, ["call-a1", "call-b1"]);
}

/// The current view of a node, which it publishes again when the host list changes.
fn view_of(fleet: &mut Fleet, name: &str) -> MemberView {
    let kernel: &mut Kernel = fleet.kernels.get_mut(&id(name)).unwrap();
    let mut hosts = fleet.hosts.clone();
    hosts[0].peer_address = "moved".into();
    let mut actions = Vec::new();
    kernel.handle(fleet.now, Event::HostList(hosts), &mut actions);
    let views = actions.into_iter().filter_map(|action| match action {
        Action::UseMembers(view) => Some(MemberView::clone(&view)),
        _ => None,
    });
    views.last().unwrap()
}
