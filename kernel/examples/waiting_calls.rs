//! Compares policies for urgent calls that wait long at their owner: prints attainment, time to
//! first token, and wasted work.
//!
//! `cargo run --release -p monsoonbank-kernel --example waiting_calls`
//!
//! The kernels of three nodes run in virtual time, 1 ms apart, with six engines of ten slots. Calls
//! are urgent, with a target of 1 s; an engine serves one in 0.4 s on average. For a third of the
//! run the engines of node 1 are ten times slower.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use monsoonbank_kernel::call::{AttemptEnd, CallSpec, Tier};
use monsoonbank_kernel::config::{Config, ConfigFile};
use monsoonbank_kernel::event::{Action, Event};
use monsoonbank_kernel::ids::{
    AttemptId, CallId, ClassId, Incarnation, NodeId, PoolId, WorkspaceId, ZoneId,
};
use monsoonbank_kernel::kernel::Kernel;
use monsoonbank_kernel::membership::{Member, MemberView, NodeState};
use monsoonbank_kernel::plugin::NodeProfile;
use monsoonbank_kernel::routing::{CallRouter, WaitPolicy};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const NODES: usize = 3;
const SLOTS: u32 = 10;
const HOP: Duration = Duration::from_millis(1);
const TICK: Duration = Duration::from_millis(10);
const TARGET: Duration = Duration::from_secs(1);
const MEAN_SERVICE: f64 = 0.4;
/// Fraction of the service time before the first token.
const FIRST_TOKEN: f64 = 0.25;
const LENGTH: Duration = Duration::from_mins(2);
const SLOW: [Duration; 2] = [Duration::from_secs(40), Duration::from_secs(80)];
const SLOW_NODE: usize = 1;
const SLOW_FACTOR: f64 = 10.0;
const PLUGINS: [&str; 4] = ["limits", "ownership", "routing", "dispatch"];

#[derive(Clone, Debug)]
struct Input {
    node: usize,
    event: Event,
}

struct Trial {
    now: Duration,
    kernels: Vec<Kernel>,
    inputs: BTreeMap<u64, Input>,
    due: BinaryHeap<Reverse<(Duration, u64)>>,
    number: u64,
    random: Pcg64Mcg,
    running: BTreeMap<AttemptId, Duration>,
    arrived: BTreeMap<CallId, Duration>,
    first: BTreeMap<CallId, Duration>,
    served: Duration,
    wasted: Duration,
}

fn node_id(node: usize) -> NodeId {
    NodeId::named(&format!("n{node}"))
}

fn profile(node: usize) -> NodeProfile {
    NodeProfile {
        node: node_id(node),
        name: format!("n{node}").into(),
        zone: ZoneId::named(&format!("z{node}")),
        zone_name: format!("z{node}").into(),
        incarnation: Incarnation(1),
        seed: node as u64,
        secret: [0; 32],
    }
}

fn view() -> MemberView {
    let member = |node: usize| Member {
        name: format!("n{node}").into(),
        zone: profile(node).zone,
        zone_name: profile(node).zone_name,
        incarnation: Incarnation(1),
        state: NodeState::Live,
        peer_address: "".into(),
        caller_address: "".into(),
    };
    let members = (0..NODES).map(|node| (node_id(node), member(node)));
    MemberView {
        members: members.collect(),
    }
}

fn config() -> Config {
    let mut text = "pools: [{name: m, kind: model}]\nupstreams:\n".to_owned();
    for engine in 0..2 * NODES {
        let zone = engine % NODES;
        let place = format!("pool: m, zone: z{zone}, address: '127.0.0.1:1'");
        text.extend([format!("- {{name: e{engine}, {place}, slots: {SLOTS}}}\n")]);
    }
    let file: ConfigFile = serde_yaml_ng::from_str(&text).expect("the file is well formed");
    Config::from_file(1, &file)
}

impl Trial {
    fn new(policy: WaitPolicy, seed: u64) -> Self {
        let kernel = |node: usize| {
            let profile = profile(node);
            let router = CallRouter::new(&profile, policy);
            let mut kernel = Kernel::with_plugins(profile, |name| PLUGINS.contains(&name));
            kernel.replace("routing", Box::new(router));
            kernel
        };
        let mut trial = Self {
            now: Duration::ZERO,
            kernels: (0..NODES).map(kernel).collect(),
            inputs: BTreeMap::new(),
            due: BinaryHeap::new(),
            number: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            running: BTreeMap::new(),
            arrived: BTreeMap::new(),
            first: BTreeMap::new(),
            served: Duration::ZERO,
            wasted: Duration::ZERO,
        };
        for node in 0..NODES {
            trial.handle(node, Event::ConfigApplied(Arc::new(config())));
            trial.handle(node, Event::MembersChanged(Arc::new(view())));
        }
        trial
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.random.random_range(0.0..1.0_f64)).ln()
    }

    fn plan(&mut self, at: Duration, node: usize, event: Event) {
        self.number += 1;
        self.inputs.insert(self.number, Input { node, event });
        self.due.push(Reverse((at, self.number)));
    }

    fn handle(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.kernels[node].handle(self.now, event, &mut actions);
        for action in actions {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Send { to, message } => {
                let from = node_id(node);
                let to = (0..NODES).find(|peer| node_id(*peer) == to);
                let event = Event::PeerMessage { from, message };
                self.plan(self.now + HOP, to.expect("a node"), event);
            }
            Action::StartAttempt(start) => self.start(node, start.work.attempt),
            Action::CancelAttempt(attempt) => {
                if let Some(begun) = self.running.remove(&attempt) {
                    self.wasted += self.now.saturating_sub(begun);
                    let end = AttemptEnd::Cancelled { tokens: 0 };
                    self.plan(self.now, node, Event::AttemptEnded { attempt, end });
                }
            }
            Action::WithdrawAttempt(attempt) => {
                let lost = Event::AttemptLost {
                    attempt,
                    tokens: 0,
                    sent: true,
                };
                self.plan(self.now, node, lost);
            }
            _ => {}
        }
    }

    fn start(&mut self, node: usize, attempt: AttemptId) {
        let slow = node == SLOW_NODE && (SLOW[0]..SLOW[1]).contains(&self.now);
        let factor = if slow { SLOW_FACTOR } else { 1.0 };
        let service = MEAN_SERVICE * factor * self.exponential();
        let service = Duration::from_secs_f64(service);
        self.running.insert(attempt, self.now);
        self.plan(self.now, node, Event::AttemptSent(attempt));
        let tokens = 1;
        let first = Event::AttemptProgress { attempt, tokens };
        self.plan(self.now + service.mul_f64(FIRST_TOKEN), node, first);
        let end = AttemptEnd::Complete { tokens };
        let ended = Event::AttemptEnded { attempt, end };
        self.plan(self.now + service, node, ended);
    }

    /// Simulates the engine's part in an event; returns false if the attempt was cancelled before.
    fn engine(&mut self, event: &Event) -> bool {
        match event {
            Event::AttemptProgress { attempt, .. } => {
                let runs = self.running.contains_key(attempt);
                if runs {
                    self.first.entry(attempt.call).or_insert(self.now);
                }
                runs
            }
            Event::AttemptEnded {
                attempt,
                end: AttemptEnd::Complete { .. },
            } => {
                let begun = self.running.remove(attempt);
                self.served += begun.map_or(Duration::ZERO, |begun| self.now.saturating_sub(begun));
                begun.is_some()
            }
            _ => true,
        }
    }

    fn run(mut self, load: f64) -> Summary {
        let rate = load * f64::from(SLOTS) * 2.0 * NODES as f64 / MEAN_SERVICE;
        let mut at = Duration::ZERO;
        let mut sequence = 0;
        while at < LENGTH {
            at += Duration::from_secs_f64(self.exponential() / rate);
            sequence += 1;
            let node = self.random.random_range(0..NODES);
            let spec = spec(node, sequence);
            self.arrived.insert(spec.call, at);
            self.plan(at, node, Event::CallArrived { spec, key: None });
        }
        let ticks = (LENGTH * 2).as_millis() / TICK.as_millis();
        for tick in 1..ticks as u32 {
            for node in 0..NODES {
                self.plan(TICK * tick, node, Event::Tick);
            }
        }
        while let Some(Reverse((now, number))) = self.due.pop() {
            self.now = now;
            let Some(Input { node, event }) = self.inputs.remove(&number) else {
                continue;
            };
            if self.engine(&event) {
                self.handle(node, event);
            }
        }
        self.summary()
    }

    fn summary(&self) -> Summary {
        let wait = |(call, at): (&CallId, &Duration)| {
            let first = self.first.get(call).copied().unwrap_or(Duration::MAX);
            first.saturating_sub(*at)
        };
        let mut waits: Vec<Duration> = self.arrived.iter().map(wait).collect();
        waits.sort_unstable();
        let met = waits.iter().filter(|wait| **wait <= TARGET).count();
        let wasted = self.wasted.as_secs_f64();
        Summary {
            attained: 100.0 * met as f64 / waits.len() as f64,
            p99: waits[waits.len() * 99 / 100],
            wasted: 100.0 * wasted / (wasted + self.served.as_secs_f64()),
        }
    }
}

#[derive(Clone, Copy)]
struct Summary {
    attained: f64,
    p99: Duration,
    wasted: f64,
}

fn spec(node: usize, sequence: u64) -> CallSpec {
    CallSpec {
        call: CallId {
            node: node_id(node),
            incarnation: Incarnation(1),
            sequence,
        },
        workspace: WorkspaceId(sequence % 10),
        class: ClassId(1),
        tier: Tier(0),
        pool: PoolId::named("m"),
        time_left: TARGET,
        repeatable: true,
        prompt_tokens: 10,
        max_tokens: 0,
        prefix: 0,
    }
}

fn main() {
    println!("load  way     attained %  p99 ms  wasted %  (of 5 seeds, the worst attainment)");
    for load in [0.4, 0.5, 0.6, 0.65, 0.7, 0.8] {
        for policy in [WaitPolicy::Stay, WaitPolicy::Move, WaitPolicy::Hedge] {
            let runs = (1..=5).map(|seed| Trial::new(policy, seed).run(load));
            let worst = runs.min_by(|one, two| one.attained.total_cmp(&two.attained));
            let Summary {
                attained,
                p99,
                wasted,
            } = worst.expect("five seeds");
            let p99 = p99.as_millis();
            let way = format!("{policy:?}");
            println!("{load:.2}  {way:6} {attained:10.2} {p99:7} {wasted:9.2}");
        }
    }
}
