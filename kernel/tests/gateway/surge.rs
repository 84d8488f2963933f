//! Simulates a surge of long prompts over several nodes that share engines and exchange heartbeats.
//!
//! Twice as many calls arrive as the engines can prefill, each with thousands of uncached prompt
//! tokens and a target of 500 ms. Engines prefill 60 tokens per ms in chunks of 2,048 and generate
//! one token of each running call per step. Without a limit on pending prefill every first token is
//! late, as slots do not limit it; without fresh heartbeats nodes overfill engines or leave them
//! idle.

use std::collections::VecDeque;
use std::time::Duration;

use monsoonbank_kernel::gateway::choice::{ChoiceInput, choose};
use monsoonbank_kernel::gateway::load::{WorkCount, WorkItem};
use monsoonbank_kernel::gateway::prompt::PromptShape;
use monsoonbank_kernel::gateway::registry::{UpstreamKey, UpstreamRegistry};

use crate::engines::{bulk, input, registry};

const NODES: usize = 6;
const ENGINES: usize = 9;
const SLOTS: u32 = 24;
const TARGET: Duration = Duration::from_millis(500);
const CHUNK: u32 = 2048;
const LENGTH_MS: u64 = 6000;
/// Time for which a call waits for capacity before it is refused: none, so that any delay arises at
/// the engine.
const TIMEOUT_MS: u64 = 1;

/// Size of a surge's calls.
#[derive(Clone, Copy)]
struct SurgeKind {
    prompt: u32,
    output: u32,
}

impl SurgeKind {
    /// Number of calls that all engines can prefill in a second, with 60,000 tokens each.
    fn prefillable_per_s(self) -> u64 {
        ENGINES as u64 * 60_000 / u64::from(self.prompt)
    }

    fn item(self) -> WorkItem {
        WorkItem {
            prefill_tokens: self.prompt,
            held_tokens: self.prompt + self.output,
            tight: false,
        }
    }
}

#[derive(Clone, Copy)]
struct RunningCall {
    node: usize,
    came_ms: u64,
    prefill: u32,
    left: u32,
}

/// One engine: its running and queued calls, and the end of its current step.
#[derive(Default)]
struct EngineModel {
    running: Vec<RunningCall>,
    queued: VecDeque<RunningCall>,
    step_ends_ms: u64,
}

/// Result of a surge.
#[derive(Debug, Default)]
struct SurgeOutcome {
    ended: u64,
    in_time: u64,
    most_at_engine: usize,
}

struct SurgeModel {
    kind: SurgeKind,
    nodes: Vec<UpstreamRegistry>,
    keys: Vec<UpstreamKey>,
    engines: Vec<EngineModel>,
    waiting: Vec<VecDeque<u64>>,
    outcome: SurgeOutcome,
}

impl SurgeModel {
    fn new(kind: SurgeKind) -> Self {
        let node = registry(&["east"; ENGINES], SLOTS);
        let keys = node.usable("model").map(|(key, _)| key).collect();
        Self {
            kind,
            nodes: (0..NODES).map(|_| node.clone()).collect(),
            keys,
            engines: (0..ENGINES).map(|_| EngineModel::default()).collect(),
            waiting: vec![VecDeque::new(); NODES],
            outcome: SurgeOutcome::default(),
        }
    }

    /// Sends the node's waiting calls while there is capacity.
    fn send(&mut self, node: usize, prompt: &PromptShape, now_ms: u64) {
        self.waiting[node].retain(|came| came + TIMEOUT_MS > now_ms);
        let senders: Vec<u64> = (0..NODES as u64)
            .filter(|sender| *sender != node as u64)
            .collect();
        while let Some(came_ms) = self.waiting[node].front().copied() {
            let call = ChoiceInput {
                node: node as u64,
                senders: &senders,
                target: TARGET,
                tier: 1,
                now: Duration::from_millis(now_ms),
                ..input(prompt, false)
            };
            let Some(choice) = choose(&self.nodes[node], &call) else {
                return;
            };
            self.waiting[node].pop_front();
            let load = &mut self.nodes[node].get_mut(choice.key).expect("known").load;
            load.begin(self.kind.item());
            load.sent(call.now);
            let engine = self.keys.iter().position(|key| *key == choice.key);
            let engine = &mut self.engines[engine.expect("known")];
            engine.queued.push_back(RunningCall {
                node,
                came_ms,
                prefill: self.kind.prompt,
                left: self.kind.output,
            });
            let calls = engine.running.len() + engine.queued.len();
            self.outcome.most_at_engine = self.outcome.most_at_engine.max(calls);
        }
    }

    /// Ends an engine's step and begins the next.
    fn step(&mut self, index: usize, now_ms: u64) {
        let engine = &mut self.engines[index];
        if engine.step_ends_ms > now_ms {
            return;
        }
        while engine.running.len() < SLOTS as usize {
            let Some(call) = engine.queued.pop_front() else {
                break;
            };
            engine.running.push(call);
        }
        let mut chunk = CHUNK;
        for call in &mut engine.running {
            if call.prefill == 0 {
                call.left -= 1;
                continue;
            }
            let done = call.prefill.min(chunk);
            chunk -= done;
            call.prefill -= done;
            if call.prefill == 0 && done > 0 {
                let load = &mut self.nodes[call.node]
                    .get_mut(self.keys[index])
                    .expect("known")
                    .load;
                load.record_prefill(self.kind.prompt);
                let late = now_ms - call.came_ms > TARGET.as_millis() as u64;
                self.outcome.in_time += u64::from(!late);
            }
        }
        for call in engine.running.iter().filter(|call| call.left == 0) {
            let node = &mut self.nodes[call.node];
            node.get_mut(self.keys[index])
                .expect("known")
                .load
                .end(self.kind.item());
            self.outcome.ended += 1;
        }
        engine.running.retain(|call| call.left > 0);
        engine.step_ends_ms = now_ms + 6 + u64::from(CHUNK - chunk) / 60;
    }

    /// Delivers each node's work to all others.
    fn exchange_heartbeats(&mut self, now_ms: u64) {
        for key in &self.keys {
            let counts: Vec<WorkCount> = self
                .nodes
                .iter()
                .map(|node| node.get(*key).expect("known").load.own())
                .collect();
            for (receiver, node) in self.nodes.iter_mut().enumerate() {
                let load = &mut node.get_mut(*key).expect("known").load;
                for (sender, count) in counts.iter().enumerate() {
                    if sender != receiver {
                        let now = Duration::from_millis(now_ms);
                        load.receive_report(&format!("n{sender}"), *count, now);
                    }
                }
            }
        }
    }
}

/// Runs a surge of twice the calls that can be prefilled, with an interval between heartbeats.
fn run(kind: SurgeKind, heartbeat_ms: u64) -> SurgeOutcome {
    let mut model = SurgeModel::new(kind);
    let prompt = bulk(kind.prompt);
    let mut arrived = 0;
    for now_ms in 0..LENGTH_MS {
        while arrived * 1000 < now_ms * kind.prefillable_per_s() * 2 {
            // A stride that visits all nodes and is not in step with heartbeats.
            model.waiting[(arrived * 5 % 7) as usize % NODES].push_back(now_ms);
            arrived += 1;
        }
        if now_ms % heartbeat_ms == 0 {
            model.exchange_heartbeats(now_ms);
        }
        for node in 0..NODES {
            model.send(node, &prompt, now_ms);
        }
        for engine in 0..ENGINES {
            model.step(engine, now_ms);
        }
    }
    model.outcome
}

/// Each case gives the calls, the least percentage of the calls that can be prefilled that has to
/// end, and the least percentage of those that has to meet the target.
macro_rules! surges {
    ($($name:ident: $kind:expr => $ended:literal, $in_time:literal;)*) => {$(
        #[test]
        fn $name() {
            let kind = $kind;
            let outcome = run(kind, 50);
            let prefillable = kind.prefillable_per_s() * LENGTH_MS / 1000;
            assert!(outcome.ended * 100 > prefillable * $ended, "{outcome:?} of {prefillable}");
            assert!(outcome.in_time * 100 > outcome.ended * $in_time, "{outcome:?}");
            // Some more wait briefly in the engine's own queue, since heartbeats are 50 ms old.
            let most = (SLOTS + SLOTS / 8) as usize;
            assert!(outcome.most_at_engine <= most, "{outcome:?}");
        }
    )*};
}

surges! {
    // Slots are the limit: each call occupies one for some 1.5 s.
    answers_of_some_length: SurgeKind { prompt: 3000, output: 50 } => 58, 90;
    // Prefill is the limit: the prompts of all slots take 3.6 s.
    long_prompts_with_short_answers: SurgeKind { prompt: 9000, output: 5 } => 70, 45;
}
