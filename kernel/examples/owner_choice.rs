//! Compares strategies for distributing calls over engines: prints the time that calls wait for a
//! slot.
//!
//! `cargo run --release -p monsoonbank-kernel --example owner_choice`
//!
//! Every strategy gets the same calls with the same service times. A message between two nodes
//! takes 1 ms. `owner/...`: the entry node offers a call to the owner of some engines, which counts
//! its slots exactly. `direct`: every node sends to every engine, to the better of two by the
//! engine's report (1 s old) and the node's own open calls; engines queue. `shares`: every node has
//! an equal share of each engine's slots and queues its own calls. After that, a node of the
//! largest site is timed in real time while it chooses owners. An argument selects the strategies
//! whose name contains it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use monsoonbank_kernel::call::{CallSpec, LoadSummary, Tier};
use monsoonbank_kernel::config::{Config, ConfigFile};
use monsoonbank_kernel::ids::{CallId, ClassId, Incarnation, NodeId, PoolId, WorkspaceId, ZoneId};
use monsoonbank_kernel::membership::{Member, MemberView, NodeState};
use monsoonbank_kernel::ownership::assign;
use monsoonbank_kernel::routing::owners::{OwnerPolicy, OwnerTable};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const HOP: Duration = Duration::from_millis(1);
const REPORT_EVERY: Duration = Duration::from_secs(1);
const MEAN_SERVICE: f64 = 2.0;
const ZONES: usize = 3;
const CHOICES: u32 = 100_000;

#[derive(Clone, Copy)]
enum Strategy {
    Owner(OwnerPolicy),
    Direct,
    Shares,
}

#[derive(Clone, Copy)]
struct Site {
    nodes: usize,
    engines: usize,
    slots: u32,
    calls: usize,
}

#[derive(Clone, Copy)]
struct Arrival {
    at: Duration,
    entry: usize,
    service: Duration,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    Reach(usize, usize),
    Done(usize, usize, usize),
    Report,
}

fn arrivals(site: Site, load: f64, seed: u64) -> Vec<Arrival> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let rate = load * site.engines as f64 * f64::from(site.slots) / MEAN_SERVICE;
    let mut at = 0.0;
    let exponential = |random: &mut Pcg64Mcg| -(1.0 - random.random_range(0.0..1.0_f64)).ln();
    (0..site.calls)
        .map(|_| {
            at += exponential(&mut random) / rate;
            // A quarter of the callers are configured with one address only.
            let one = random.random_range(0..4) == 0;
            let entry = if one {
                0
            } else {
                random.random_range(0..site.nodes)
            };
            Arrival {
                at: Duration::from_secs_f64(at),
                entry,
                service: Duration::from_secs_f64(MEAN_SERVICE * exponential(&mut random)),
            }
        })
        .collect()
}

struct Bench {
    site: Site,
    strategy: Strategy,
    calls: Vec<Arrival>,
    random: Pcg64Mcg,
    steps: BinaryHeap<Reverse<(Duration, usize, Step)>>,
    order: usize,
    /// Calls at each engine, running or queued there.
    held: Vec<u32>,
    reported: Vec<u32>,
    open: BTreeMap<(usize, usize), u32>,
    queues: Vec<VecDeque<usize>>,
    tables: Vec<OwnerTable>,
    owned: Vec<Vec<usize>>,
    waits: Vec<Duration>,
}

fn node_id(node: usize) -> NodeId {
    NodeId::named(&format!("n{node}"))
}

fn spec() -> CallSpec {
    CallSpec {
        call: CallId {
            node: NodeId(0),
            incarnation: Incarnation(0),
            sequence: 0,
        },
        workspace: WorkspaceId(0),
        class: ClassId(0),
        tier: Tier(2),
        pool: PoolId::named("m"),
        time_left: Duration::from_mins(1),
        repeatable: true,
        prompt_tokens: 0,
        max_tokens: 0,
        prefix: 0,
    }
}

fn members(site: Site) -> MemberView {
    let member = |node: usize| Member {
        name: format!("n{node}").into(),
        zone: ZoneId::named(&format!("z{}", node % ZONES)),
        zone_name: "".into(),
        incarnation: Incarnation(1),
        state: NodeState::Live,
        peer_address: "".into(),
        caller_address: "".into(),
    };
    let members = (0..site.nodes).map(|node| (node_id(node), member(node)));
    MemberView {
        members: members.collect(),
    }
}

fn config(site: Site) -> Config {
    let mut text = "pools: [{name: m, kind: model}]\nupstreams:\n".to_owned();
    for engine in 0..site.engines {
        let zone = engine % ZONES;
        let line = format!(
            "- {{name: e{engine}, pool: m, zone: z{zone}, address: '127.0.0.1:1', slots: {}}}\n",
            site.slots
        );
        text.push_str(&line);
    }
    let file: ConfigFile = serde_yaml_ng::from_str(&text).expect("the file is well formed");
    Config::from_file(1, &file)
}

impl Bench {
    fn new(site: Site, strategy: Strategy, calls: Vec<Arrival>) -> Self {
        let policy = match strategy {
            Strategy::Owner(policy) => policy,
            Strategy::Direct | Strategy::Shares => OwnerPolicy::default(),
        };
        let (config, view) = (config(site), members(site));
        let owners = assign(&config, &view);
        let mut owned = vec![Vec::new(); site.nodes];
        for engine in 0..site.engines {
            let upstream = monsoonbank_kernel::ids::UpstreamId::named(&format!("e{engine}"));
            let holder = (0..site.nodes).find(|node| owners.owners[&upstream] == node_id(*node));
            owned[holder.expect("every engine has an owner")].push(engine);
        }
        let table = |node: usize| {
            let mut table = OwnerTable::new(policy);
            let zone = ZoneId::named(&format!("z{}", node % ZONES));
            table.rebuild(&config, &owners, &view, zone);
            table
        };
        Self {
            tables: (0..site.nodes).map(table).collect(),
            random: Pcg64Mcg::seed_from_u64(1),
            steps: BinaryHeap::new(),
            order: 0,
            held: vec![0; site.engines],
            reported: vec![0; site.engines],
            open: BTreeMap::new(),
            queues: vec![VecDeque::new(); site.nodes],
            owned,
            waits: Vec::new(),
            site,
            strategy,
            calls,
        }
    }

    fn plan(&mut self, at: Duration, step: Step) {
        self.order += 1;
        self.steps.push(Reverse((at, self.order, step)));
    }

    fn run(mut self) -> Vec<Duration> {
        self.plan(REPORT_EVERY, Step::Report);
        self.plan(self.calls[0].at, Step::Arrive(0));
        while let Some(Reverse((now, _, step))) = self.steps.pop() {
            match step {
                Step::Arrive(call) => {
                    self.arrive(call, now);
                    if let Some(next) = self.calls.get(call + 1).map(|next| next.at) {
                        self.plan(next, Step::Arrive(call + 1));
                    }
                }
                Step::Reach(call, owner) => {
                    self.queues[owner].push_back(call);
                    self.fill(owner, now);
                }
                Step::Done(call, engine, at) => self.done(call, engine, at, now),
                Step::Report if self.waits.len() < self.calls.len() => {
                    self.reported.clone_from(&self.held);
                    self.plan(now + REPORT_EVERY, Step::Report);
                }
                Step::Report => {}
            }
        }
        // The first third of the calls is warm-up.
        self.waits.split_off(self.calls.len() / 3)
    }

    fn arrive(&mut self, call: usize, now: Duration) {
        let entry = self.calls[call].entry;
        match self.strategy {
            Strategy::Shares => {
                self.queues[entry].push_back(call);
                self.fill_share(entry, now);
            }
            Strategy::Direct => self.send_direct(call, entry, now),
            Strategy::Owner(_) => {
                let spec = spec();
                let owner = self.tables[entry].choose(&spec, &[], now, &mut self.random);
                let owner = owner.expect("every node lives");
                self.tables[entry].record_offer(spec.pool, owner);
                let owner = (0..self.site.nodes).find(|node| node_id(*node) == owner);
                self.plan(now + HOP, Step::Reach(call, owner.expect("a node")));
            }
        }
    }

    fn fill(&mut self, owner: usize, now: Duration) {
        while let Some(call) = self.queues[owner].front().copied() {
            let engines = self.owned[owner].iter().copied();
            let engine = engines.min_by_key(|engine| self.held[*engine]);
            let Some(engine) = engine.filter(|engine| self.held[*engine] < self.site.slots) else {
                return;
            };
            self.queues[owner].pop_front();
            self.held[engine] += 1;
            self.waits.push(now.saturating_sub(self.calls[call].at));
            self.plan(
                now + self.calls[call].service,
                Step::Done(call, engine, owner),
            );
        }
    }

    fn fill_share(&mut self, entry: usize, now: Duration) {
        let nodes = self.site.nodes as u32;
        while let Some(call) = self.queues[entry].front().copied() {
            let share = |engine: usize| {
                let extra = (engine + entry) as u32 % nodes < self.site.slots % nodes;
                self.site.slots / nodes + u32::from(extra)
            };
            let open = |engine: usize| self.open.get(&(entry, engine)).copied().unwrap_or(0);
            let engine = (0..self.site.engines).find(|engine| open(*engine) < share(*engine));
            let Some(engine) = engine else { return };
            self.queues[entry].pop_front();
            *self.open.entry((entry, engine)).or_default() += 1;
            self.waits.push(now.saturating_sub(self.calls[call].at));
            self.plan(
                now + self.calls[call].service,
                Step::Done(call, engine, entry),
            );
        }
    }

    fn send_direct(&mut self, call: usize, entry: usize, now: Duration) {
        let seen = |engine: usize| {
            let own = self.open.get(&(entry, engine)).copied().unwrap_or(0);
            self.reported[engine].max(own)
        };
        let one = self.random.random_range(0..self.site.engines);
        let two = self.random.random_range(0..self.site.engines);
        let engine = if seen(two) < seen(one) { two } else { one };
        *self.open.entry((entry, engine)).or_default() += 1;
        self.held[engine] += 1;
        // The engine's queue is modelled by the call that leaves it first.
        if self.held[engine] <= self.site.slots {
            self.waits.push(now.saturating_sub(self.calls[call].at));
            self.plan(
                now + self.calls[call].service,
                Step::Done(call, engine, entry),
            );
        } else {
            self.engine_queue(engine).push_back(call);
        }
    }

    fn engine_queue(&mut self, engine: usize) -> &mut VecDeque<usize> {
        if self.queues.len() < self.site.engines {
            self.queues.resize(self.site.engines, VecDeque::new());
        }
        &mut self.queues[engine]
    }

    fn done(&mut self, call: usize, engine: usize, at: usize, now: Duration) {
        match self.strategy {
            Strategy::Shares => {
                *self.open.entry((at, engine)).or_default() -= 1;
                self.fill_share(at, now);
            }
            Strategy::Direct => {
                *self.open.entry((at, engine)).or_default() -= 1;
                self.held[engine] -= 1;
                if let Some(next) = self.engine_queue(engine).pop_front() {
                    let Arrival { at, entry, service } = self.calls[next];
                    self.waits.push(now.saturating_sub(at));
                    self.plan(now + service, Step::Done(next, engine, entry));
                }
            }
            Strategy::Owner(_) => {
                self.held[engine] -= 1;
                self.fill(at, now);
                let load = LoadSummary {
                    slots: self.site.slots * self.owned[at].len() as u32,
                    running: self.owned[at].iter().map(|engine| self.held[*engine]).sum(),
                    waiting: [0, 0, self.queues[at].len() as u32],
                };
                // The delay of the reply is not simulated: a load summary that is 1 ms old makes no
                // difference at these rates.
                let table = &mut self.tables[self.calls[call].entry];
                table.record_close(spec().pool, node_id(at));
                table.update(spec().pool, node_id(at), load, now);
            }
        }
    }
}

/// Prints the time taken by one choice among the owners of 10,000 engines at 980 nodes.
fn print_cost() {
    let site = Site {
        nodes: 980,
        engines: 10_000,
        slots: 50,
        calls: 0,
    };
    let (config, view) = (config(site), members(site));
    let owners = assign(&config, &view);
    let mut table = OwnerTable::new(OwnerPolicy::Mixed);
    table.rebuild(&config, &owners, &view, ZoneId::named("z0"));
    let mut random = Pcg64Mcg::seed_from_u64(1);
    for prefix in [0, 7] {
        let spec = CallSpec { prefix, ..spec() };
        let start = Instant::now();
        for _ in 0..CHOICES {
            let owner = table.choose(&spec, &[], Duration::ZERO, &mut random);
            table.record_offer(spec.pool, owner.expect("every node lives"));
        }
        let each = start.elapsed() / CHOICES;
        println!("980 nodes, prefix {prefix}: {each:?} a choice");
    }
}

fn main() {
    print_cost();
    let small = Site {
        nodes: 9,
        engines: 12,
        slots: 50,
        calls: 150_000,
    };
    let large = Site {
        nodes: 80,
        engines: 800,
        slots: 10,
        calls: 400_000,
    };
    let strategies = [
        ("owner/mixed", Strategy::Owner(OwnerPolicy::Mixed)),
        ("owner/least", Strategy::Owner(OwnerPolicy::LeastLoaded)),
        ("owner/two", Strategy::Owner(OwnerPolicy::BestOf(2))),
        ("owner/shares", Strategy::Owner(OwnerPolicy::EqualShares)),
        ("direct", Strategy::Direct),
        ("shares", Strategy::Shares),
    ];
    let chosen = std::env::args().nth(1).unwrap_or_default();
    println!("nodes load  way           p50 ms  p99 ms  max ms  (worst p99 of 3 seeds)");
    for site in [small, large] {
        for load in [0.8, 0.95] {
            for (name, strategy) in strategies {
                if !name.contains(&chosen) {
                    continue;
                }
                let runs = (1..=3).map(|seed| {
                    let mut waits = Bench::new(site, strategy, arrivals(site, load, seed)).run();
                    waits.sort_unstable();
                    let at = |share: f64| waits[(waits.len() as f64 * share) as usize].as_millis();
                    (at(0.99), at(0.5), at(0.999_999))
                });
                let (p99, p50, max) = runs.max().expect("three seeds");
                let nodes = site.nodes;
                println!("{nodes:5} {load:.2}  {name:12} {p50:7} {p99:7} {max:7}");
            }
        }
    }
}
