//! Drawn days of a loaded pool: a burst of long calls of the least urgent tier, engines that crash and come
//! back, and calls that reach nodes all over the fleet for some seconds. Measures both errors: urgent calls
//! that get no place while less urgent ones begin, and long calls that are refused beside idle engines.
//!
//! Nodes exchange heartbeats as in the model of the gossip, with hubs.

use std::collections::BTreeMap;
use std::time::Duration;

use monsoonbank_kernel::gateway::choice::{ChoiceInput, choose};
use monsoonbank_kernel::gateway::heartbeat::{NodeHeartbeat, WorkReport, node_hash};
use monsoonbank_kernel::gateway::load::WorkItem;
use monsoonbank_kernel::gateway::registry::{UpstreamKey, UpstreamRegistry};
use monsoonbank_kernel::gateway::returns::WAIT_FRACTION;
use monsoonbank_kernel::gateway::waiting::{self, WaitList, WaitRank};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::engines::{bulk, input, registry};
use crate::gossip::ModelFleet;

const POOL: &str = "model";
const SLOTS: u32 = 64;
const STEP_MS: u64 = 10;
/// Prompt tokens that an engine prefills in a step.
const PREFILL_TOKENS: f64 = 482.0;
/// Time for a token of each running call, alone and added by each call, in ms.
const TOKEN_MS: (f64, f64) = (2.6, 0.05);
/// Time until all nodes know each other.
const START_MS: u64 = 3000;
const DAY_MS: u64 = 27_000;
/// Time after the last impairment from which on seconds are calm.
const CONTACT_MS: u64 = 4000;
/// Span in which urgent calls are compared with less urgent ones.
const WINDOW_MS: u64 = 5000;
/// Urgent calls of a window that may get nothing: fewer than ten, or at most a twelfth.
const MAX_STARVED: usize = 9;
const STARVED_SHARE: usize = 12;
/// Share of the slots and of the prefill in use below which
/// no call should be refused.
const IDLE_SHARE: f64 = 0.5;

/// Kind of a call: its tier of six, times in ms and sizes in tokens, and its share of the calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallKind {
    tier: u8,
    target_ms: u64,
    timeout_ms: u64,
    prompt: u32,
    output: u32,
    weight: u32,
}

const CHAT: CallKind = CallKind {
    tier: 3,
    target_ms: 400,
    timeout_ms: 12_000,
    prompt: 750,
    output: 288,
    weight: 121,
};
const TAG: CallKind = CallKind {
    tier: 4,
    target_ms: 600,
    timeout_ms: 3000,
    prompt: 2000,
    output: 24,
    weight: 104,
};
const DIGEST: CallKind = CallKind {
    tier: 5,
    target_ms: 3000,
    timeout_ms: 15_000,
    prompt: 7500,
    output: 384,
    weight: 109,
};

impl CallKind {
    fn item(self) -> WorkItem {
        WorkItem {
            prefill_tokens: self.prompt,
            held_tokens: self.prompt + self.output,
            tight: self == CHAT,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct ModelCall {
    kind: CallKind,
    node: usize,
    came_ms: u64,
}

impl ModelCall {
    fn until_ms(self) -> u64 {
        self.came_ms + (self.kind.timeout_ms as f64 * WAIT_FRACTION) as u64
    }
}

#[derive(Clone, Copy, Debug)]
struct RunningCall {
    call: ModelCall,
    unread: f64,
    left: f64,
}

#[derive(Clone, Debug, Default)]
struct ModelEngine {
    running: Vec<RunningCall>,
    down_until_ms: u64,
}

/// Calls that came in one step.
#[derive(Clone, Copy, Debug, Default)]
struct StepTally {
    tags: usize,
    starved_tags: usize,
    begun_digests: usize,
    refused_digests: usize,
    used_slots: usize,
    read_tokens: f64,
}

/// What a day draws.
#[derive(Clone, Copy, Debug)]
struct DayPlan {
    nodes: usize,
    engines: usize,
    /// Calls in a second.
    rate: f64,
    burst: (u64, u64, f64),
    crash: (u64, u64, f64),
    stray: (u64, u64, f64),
    /// Calls that stray reach one node of so many.
    stray_nodes: usize,
}

impl DayPlan {
    fn draw(nodes: usize, engines: usize, random: &mut Pcg64Mcg) -> Self {
        let mut span = |latest: u64, shortest: u64, longest: u64| {
            let from = START_MS + random.random_range(0..latest);
            (from, from + random.random_range(shortest..longest))
        };
        let (burst_from, burst_to) = span(8000, 3000, 9000);
        let (crash_from, crash_to) = span(6000, 500, 3000);
        let (stray_from, stray_to) = span(6000, 500, 4000);
        Self {
            nodes,
            engines,
            rate: engines as f64 * random.random_range(8.0..14.0),
            burst: (burst_from, burst_to, random.random_range(1.0..3.3)),
            crash: (crash_from, crash_to, random.random_range(0.0..0.4)),
            stray: (stray_from, stray_to, random.random_range(0.0..1.0)),
            stray_nodes: random.random_range(1..4),
        }
    }

    /// Time from which on all is calm.
    fn calm_from_ms(self) -> u64 {
        self.crash.1.max(self.stray.1) + CONTACT_MS
    }
}

fn is_within(span: (u64, u64, f64), now_ms: u64) -> bool {
    (span.0..span.1).contains(&now_ms)
}

struct ModelDay {
    plan: DayPlan,
    fleet: ModelFleet,
    registries: Vec<UpstreamRegistry>,
    lists: Vec<WaitList>,
    waiting: BTreeMap<(usize, WaitRank), ModelCall>,
    engines: Vec<ModelEngine>,
    keys: Vec<UpstreamKey>,
    random: Pcg64Mcg,
    tallies: Vec<StepTally>,
}

impl ModelDay {
    fn draw(nodes: usize, engines: usize, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let plan = DayPlan::draw(nodes, engines, &mut random);
        let fleet = ModelFleet::new(nodes, seed);
        let zones: Vec<Box<str>> = fleet
            .nodes
            .iter()
            .map(|node| node.card.zone.clone())
            .collect();
        let zones: Vec<&str> = (0..engines).map(|index| &*zones[index % nodes]).collect();
        let node = registry(&zones, SLOTS);
        let keys = node.usable(POOL).map(|(key, _)| key).collect();
        Self {
            plan,
            registries: vec![node; nodes],
            lists: vec![WaitList::default(); nodes],
            waiting: BTreeMap::new(),
            engines: vec![ModelEngine::default(); engines],
            keys,
            fleet,
            random,
            tallies: vec![StepTally::default(); (DAY_MS / STEP_MS) as usize],
        }
    }

    fn tally(&mut self, at_ms: u64) -> &mut StepTally {
        &mut self.tallies[(at_ms / STEP_MS) as usize]
    }

    /// Node that a caller comes to: one that its zone names, or any while calls stray.
    fn draw_node(&mut self, now_ms: u64) -> usize {
        let any = self.random.random_range(0..self.plan.nodes);
        let strays = is_within(self.plan.stray, now_ms);
        if strays && self.random.random_bool(self.plan.stray.2) {
            return any / self.plan.stray_nodes * self.plan.stray_nodes;
        }
        let node = &self.fleet.nodes[any];
        let own = NodeHeartbeat::new(node.card.clone());
        let named = node
            .view
            .entry_addresses(&own, &node.card.zone, self.fleet.now);
        let named = named[self.random.random_range(0..named.len())];
        let mut nodes = self.fleet.nodes.iter();
        nodes
            .position(|node| node.card.callers == named)
            .expect("a node")
    }

    fn arrive(&mut self, now_ms: u64) {
        let plan = self.plan;
        let factor = |kind: CallKind| {
            if kind == DIGEST && is_within(plan.burst, now_ms) {
                plan.burst.2
            } else {
                1.0
            }
        };
        let total = f64::from(CHAT.weight + TAG.weight + DIGEST.weight);
        for kind in [CHAT, TAG, DIGEST] {
            let share = f64::from(kind.weight) / total * factor(kind);
            let mean = plan.rate * share * STEP_MS as f64 / 1000.0;
            let whole = mean.floor() as usize;
            let more = usize::from(self.random.random_bool(mean - mean.floor()));
            for _ in 0..whole + more {
                let node = self.draw_node(now_ms);
                self.join(ModelCall {
                    kind,
                    node,
                    came_ms: now_ms,
                });
            }
        }
    }

    fn join(&mut self, call: ModelCall) {
        let came = Duration::from_millis(call.came_ms);
        let target = Duration::from_millis(call.kind.target_ms);
        let deadline = came + Duration::from_millis(call.kind.timeout_ms);
        let send_by = waiting::send_by(came, target);
        let rank = self.lists[call.node].join(POOL, call.kind.tier, send_by, deadline);
        self.waiting.insert((call.node, rank), call);
        if call.kind == TAG {
            self.tally(call.came_ms).tags += 1;
        }
    }

    fn leave(&mut self, node: usize, rank: WaitRank) -> ModelCall {
        self.lists[node].leave(POOL, rank);
        self.waiting.remove(&(node, rank)).expect("a waiting call")
    }

    fn refuse(&mut self, now_ms: u64) {
        let over = self.waiting.iter();
        let over = over.filter(|(_, call)| call.until_ms() <= now_ms);
        let over: Vec<(usize, WaitRank)> = over.map(|(key, _)| *key).collect();
        for (node, rank) in over {
            let call = self.leave(node, rank);
            if call.kind == TAG {
                self.tally(call.came_ms).starved_tags += 1;
            } else if call.kind == DIGEST {
                self.tally(now_ms).refused_digests += 1;
            }
        }
    }

    /// Sends a node's calls in their order while they find a place.
    fn send(&mut self, node: usize, now_ms: u64) {
        let now = self.fleet.now;
        while let Some(rank) = self.lists[node].first(POOL, now) {
            let call = self.waiting[&(node, rank)];
            let kind = call.kind;
            let prompt = bulk(kind.prompt);
            let view = &self.fleet.nodes[node].view;
            let senders = view.sender_hashes();
            let kinds = [CHAT, TAG, DIGEST].into_iter();
            let yielding = kinds.clone().filter(|other| other.tier > kind.tier);
            let urgent = kinds.filter(|other| other.tier <= kind.tier);
            let card = &self.fleet.nodes[node].card;
            let wanted = ChoiceInput {
                zone: &card.zone,
                node: node_hash(&card.name),
                senders: &senders,
                silent_senders: view.silent_senders(now).count() as u32,
                target: Duration::from_millis(kind.target_ms),
                shortest_target: urgent
                    .map(|other| Duration::from_millis(other.target_ms))
                    .min(),
                late: rank.send_by <= now,
                yielding_target: yielding
                    .map(|other| Duration::from_millis(other.target_ms))
                    .max()
                    .unwrap_or_default(),
                tier: kind.tier,
                tiers: 6,
                cache_tokens: 463_568,
                now,
                ..input(&prompt, kind == CHAT)
            };
            let Some(choice) = choose(&self.registries[node], &wanted) else {
                return;
            };
            let engine = self.keys.iter().position(|key| *key == choice.key);
            let engine = engine.expect("an engine");
            let upstream = self.registries[node].get_mut(choice.key).expect("known");
            upstream.health.attempt_started(now);
            if now_ms < self.engines[engine].down_until_ms {
                // The call is sent elsewhere, in the next step.
                upstream.health.unreachable(now);
                return;
            }
            upstream.health.succeeded(now);
            upstream.load.begin(kind.item());
            upstream.load.sent(now);
            self.leave(node, rank);
            if kind == DIGEST {
                self.tally(now_ms).begun_digests += 1;
            }
            self.engines[engine].running.push(RunningCall {
                call,
                unread: f64::from(kind.prompt),
                left: f64::from(kind.output),
            });
        }
    }

    /// Runs an engine for a step and returns the prompt tokens that it prefilled.
    fn run_engine(&mut self, engine: usize) -> f64 {
        let key = self.keys[engine];
        let running = &mut self.engines[engine].running;
        let mut tokens = PREFILL_TOKENS;
        let reading = running.iter().any(|run| run.unread > 0.0);
        let pace = TOKEN_MS.0 + TOKEN_MS.1 * running.len() as f64;
        let pace = if reading { pace * 2.0 } else { pace };
        for run in running.iter_mut() {
            if run.unread > 0.0 {
                let read = run.unread.min(tokens);
                tokens -= read;
                run.unread -= read;
                if run.unread <= 0.0 {
                    let upstream = self.registries[run.call.node].get_mut(key).expect("known");
                    upstream.load.record_prefill(run.call.kind.prompt);
                }
            } else {
                run.left -= STEP_MS as f64 / pace;
            }
        }
        for run in running.iter().filter(|run| run.left <= 0.0) {
            let upstream = self.registries[run.call.node].get_mut(key).expect("known");
            upstream.load.end(run.call.kind.item());
        }
        running.retain(|run| run.left > 0.0);
        PREFILL_TOKENS - tokens
    }

    fn crash(&mut self) {
        let (_, until_ms, share) = self.plan.crash;
        for engine in 0..self.plan.engines {
            if !self.random.random_bool(share) {
                continue;
            }
            let key = self.keys[engine];
            self.engines[engine].down_until_ms = until_ms;
            for run in std::mem::take(&mut self.engines[engine].running) {
                let upstream = self.registries[run.call.node].get_mut(key).expect("known");
                if run.unread > 0.0 {
                    upstream.load.record_prefill(run.call.kind.prompt);
                }
                upstream.load.end(run.call.kind.item());
                upstream.health.unanswered(self.fleet.now);
            }
        }
    }

    fn exchange(&mut self) {
        for (node, registry) in self.fleet.nodes.iter_mut().zip(&self.registries) {
            let used = registry.usable(POOL);
            let used = used.filter(|(_, upstream)| upstream.load.own().calls > 0);
            let reports = used.map(|(_, upstream)| WorkReport {
                run: upstream.entry.run_hash(),
                count: upstream.load.own(),
                taken_tokens: 0,
            });
            node.work = reports.collect();
        }
        self.fleet.run(Duration::from_millis(STEP_MS));
        for (node, heartbeat) in std::mem::take(&mut self.fleet.arrived) {
            let registry = &mut self.registries[node];
            for work in heartbeat.work.iter().flatten() {
                let key = registry.by_hash(work.run).expect("known");
                let upstream = registry.get_mut(key).expect("known");
                let name = &heartbeat.card.name;
                upstream
                    .load
                    .receive_report(name, work.count, self.fleet.now);
            }
        }
    }

    fn run(mut self) -> DayResult {
        for now_ms in (STEP_MS..DAY_MS).step_by(STEP_MS as usize) {
            self.exchange();
            if now_ms < START_MS {
                continue;
            }
            if (now_ms..now_ms + STEP_MS).contains(&self.plan.crash.0) {
                self.crash();
            }
            self.arrive(now_ms);
            for node in 0..self.plan.nodes {
                self.send(node, now_ms);
            }
            self.refuse(now_ms);
            let read = (0..self.plan.engines).map(|engine| self.run_engine(engine));
            let read = read.sum();
            let used = self.engines.iter().map(|engine| engine.running.len()).sum();
            let tally = self.tally(now_ms);
            tally.read_tokens = read;
            tally.used_slots = used;
        }
        self.result()
    }

    /// Judges all calm windows that end early enough for their last call to be refused.
    fn result(&self) -> DayResult {
        let per_s = (1000 / STEP_MS) as usize;
        let window = (WINDOW_MS / STEP_MS) as usize;
        let calm = (self.plan.calm_from_ms() / STEP_MS) as usize;
        let slots = self.plan.engines * SLOTS as usize;
        let mut result = DayResult::default();
        for from in (calm..self.tallies.len() - per_s - window).step_by(per_s / 2) {
            let steps = &self.tallies[from..from + window];
            let sum = |count: fn(&StepTally) -> usize| steps.iter().map(count).sum::<usize>();
            let starved = sum(|step| step.starved_tags);
            let is_over = starved > MAX_STARVED && starved * STARVED_SHARE > sum(|step| step.tags);
            result.starved |= is_over && sum(|step| step.begun_digests) > 0;
            result.most_starved = result.most_starved.max(starved);
            let used = sum(|step| step.used_slots) as f64 / window as f64;
            let read: f64 = steps.iter().map(|step| step.read_tokens).sum();
            let most_read = PREFILL_TOKENS * (self.plan.engines * window) as f64;
            let is_idle = used < slots as f64 * IDLE_SHARE && read < most_read * IDLE_SHARE;
            let refused = sum(|step| step.refused_digests);
            result.windows += 1;
            result.refusing += usize::from(refused > MAX_STARVED);
            result.idle += usize::from(refused > MAX_STARVED && is_idle);
        }
        result
    }
}

/// What a day shows.
#[derive(Clone, Copy, Debug, Default)]
struct DayResult {
    /// Whether urgent calls got nothing in a calm window while less urgent ones began.
    starved: bool,
    /// Most urgent calls that got nothing in a calm window.
    most_starved: usize,
    /// Number of calm windows, of those in which long calls were refused, and of those among them in which
    /// under half of the slots and of the prefill were used.
    windows: usize,
    refusing: usize,
    idle: usize,
}

/// Number of days to play: a few unless the variable `DAYS` says otherwise.
fn days(few: u64) -> u64 {
    let days = std::env::var("DAYS").ok();
    days.and_then(|text| text.parse().ok()).unwrap_or(few)
}

/// Plays days with the seeds up to `count`; returns those on which urgent calls were starved.
fn play(nodes: usize, engines: usize, count: u64) -> Vec<u64> {
    let threads: Vec<_> = (0..4)
        .map(|thread| {
            std::thread::spawn(move || {
                let seeds = (thread..count).step_by(4);
                let results = seeds.map(|seed| (seed, ModelDay::draw(nodes, engines, seed).run()));
                results.collect::<Vec<_>>()
            })
        })
        .collect();
    let results = threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("days"));
    let results: BTreeMap<u64, DayResult> = results.collect();
    let sum = |count: fn(&DayResult) -> usize| results.values().map(count).sum::<usize>();
    let starved = results.iter().filter(|(_, day)| day.starved);
    let starved: Vec<u64> = starved.map(|(seed, _)| *seed).collect();
    println!(
        "{nodes} nodes, {count} days: urgent calls starved on {starved:?}, {} at most; long calls refused in \
         {} of {} calm windows, {} of them idle",
        results
            .values()
            .map(|day| day.most_starved)
            .max()
            .unwrap_or(0),
        sum(|day| day.refusing),
        sum(|day| day.windows),
        sum(|day| day.idle),
    );
    starved
}

/// Each case gives a number of nodes and of engines, and the days that are played by default.
macro_rules! urgent_days {
    ($($name:ident: $nodes:literal, $engines:literal, $few:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(play($nodes, $engines, days($few)), [0_u64; 0]);
        }
    )*};
}

// Guards against nodes that count work which is not there: their urgent calls got no place while less
// urgent ones began at other nodes.
urgent_days! {
    urgent_calls_find_places_at_six_nodes: 6, 9, 16;
    urgent_calls_find_places_at_ninety_nodes_with_hubs: 90, 60, 4;
}
