//! A surge of long prompts over several nodes that share engines and know of each other by heartbeats.
//!
//! The pattern: twice as many calls as the engines can read, each with thousands of unread prompt
//! tokens and wanted within 500 ms. Engines read 60 tokens in a ms in chunks of
//! 2,048 and make one token of each running call a step, as the large deployments' engines do. Slots
//! alone do not bound what waits to be read, so without a bound every first token is late; without
//! fresh heartbeats nodes either fill engines over their slots or leave them idle.

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
/// Time for which a call waits for room before it is refused: none, so that what is late is late at
/// its engine.
const PATIENCE_MS: u64 = 1;

/// What the calls of a surge are like.
#[derive(Clone, Copy)]
struct SurgeKind {
    prompt: u32,
    output: u32,
}

impl SurgeKind {
    /// Calls that all engines can read in a second: 60,000 tokens each.
    fn readable_per_s(self) -> u64 {
        ENGINES as u64 * 60_000 / u64::from(self.prompt)
    }

    fn item(self) -> WorkItem {
        WorkItem {
            unread_tokens: self.prompt,
            held_tokens: self.prompt + self.output,
            tight: false,
        }
    }
}

#[derive(Clone, Copy)]
struct RunningCall {
    node: usize,
    came_ms: u64,
    unread: u32,
    left: u32,
}

/// One engine: what it runs, what waits in its queue, and when its present step ends.
#[derive(Default)]
struct EngineModel {
    running: Vec<RunningCall>,
    queued: VecDeque<RunningCall>,
    step_ends_ms: u64,
}

/// What came of the surge.
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

    /// Sends the node's newest waiting calls while there is room.
    fn send(&mut self, node: usize, prompt: &PromptShape, now_ms: u64) {
        self.waiting[node].retain(|came| came + PATIENCE_MS > now_ms);
        let rivals: Vec<u64> = (0..NODES as u64)
            .filter(|rival| *rival != node as u64)
            .collect();
        while let Some(came_ms) = self.waiting[node].front().copied() {
            let call = ChoiceInput {
                node: node as u64,
                senders: &rivals,
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
                unread: self.kind.prompt,
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
            if call.unread == 0 {
                call.left -= 1;
                continue;
            }
            let read = call.unread.min(chunk);
            chunk -= read;
            call.unread -= read;
            if call.unread == 0 && read > 0 {
                let load = &mut self.nodes[call.node]
                    .get_mut(self.keys[index])
                    .expect("known")
                    .load;
                load.prompt_read(self.kind.prompt);
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

    /// Each node hears what all others have where.
    fn exchange_words(&mut self, now_ms: u64) {
        for key in &self.keys {
            let counts: Vec<WorkCount> = self
                .nodes
                .iter()
                .map(|node| node.get(*key).expect("known").load.own())
                .collect();
            for (hearer, node) in self.nodes.iter_mut().enumerate() {
                let load = &mut node.get_mut(*key).expect("known").load;
                for (speaker, count) in counts.iter().enumerate() {
                    if speaker != hearer {
                        let now = Duration::from_millis(now_ms);
                        load.receive_report(&format!("n{speaker}"), *count, now);
                    }
                }
            }
        }
    }
}

/// Plays a surge of twice the calls that can be read, with a pause between heartbeats.
fn play(kind: SurgeKind, word_pause_ms: u64) -> SurgeOutcome {
    let mut model = SurgeModel::new(kind);
    let prompt = bulk(kind.prompt);
    let mut arrived = 0;
    for now_ms in 0..LENGTH_MS {
        while arrived * 1000 < now_ms * kind.readable_per_s() * 2 {
            // A stride that visits all nodes and is not in step with heartbeats.
            model.waiting[(arrived * 5 % 7) as usize % NODES].push_back(now_ms);
            arrived += 1;
        }
        if now_ms % word_pause_ms == 0 {
            model.exchange_words(now_ms);
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

/// Names a case: the calls, and least percentages of what can be read that ends, and of that which is
/// in time.
macro_rules! surges {
    ($($name:ident: $kind:expr => $ended:literal, $in_time:literal;)*) => {$(
        #[test]
        fn $name() {
            let kind = $kind;
            let outcome = play(kind, 50);
            let readable = kind.readable_per_s() * LENGTH_MS / 1000;
            assert!(outcome.ended * 100 > readable * $ended, "{outcome:?} of {readable}");
            assert!(outcome.in_time * 100 > outcome.ended * $in_time, "{outcome:?}");
            // Some more wait a moment in the engine's own queue: heartbeats are 50 ms old.
            let most = (SLOTS + SLOTS / 8) as usize;
            assert!(outcome.most_at_engine <= most, "{outcome:?}");
        }
    )*};
}

surges! {
    // Slots bind: each call holds one for some 1.5 s.
    answers_of_some_length: SurgeKind { prompt: 3000, output: 50 } => 58, 90;
    // Prompts bind: all slots' prompts take 3.6 s to be read.
    long_prompts_with_short_answers: SurgeKind { prompt: 9000, output: 5 } => 70, 45;
}
