//! Prompt parts that crash each engine that begins to write an answer on them.

use std::time::Duration;

use monsoonbank_standin::fragile::{CrashMoment, FragileEngine, FragileSettings};
use tokio::time::{Instant, sleep};

use crate::world::{RawAnswer, World, entry, request, send};

/// Number of engines of a world.
const ENGINES: usize = 10;
/// Crashes after which the nodes have to know the part.
const CRASHES: usize = 5;
/// Time after the fifth crash from which on few calls with the part may reach engines.
const CONTACT: Duration = Duration::from_secs(3);
/// Number of calls with the part that may reach engines after that.
const MAX_REPEATS: usize = 3;
/// Pause between two calls with the part.
const PAUSE: Duration = Duration::from_millis(400);

/// Fragile engines and the nodes in front of them.
struct FragileWorld {
    world: World,
    engines: Vec<FragileEngine>,
}

fn settings(parts: &[&str], moment: CrashMoment) -> FragileSettings {
    FragileSettings {
        parts: parts.iter().map(|part| (*part).into()).collect(),
        moment,
        prefill: Duration::from_millis(20),
        events: 10,
        gap: Duration::from_millis(10),
        down: Duration::from_millis(300),
    }
}

impl FragileWorld {
    async fn start(zones: &[&str], settings: FragileSettings) -> Self {
        let world = World::start(&[], Vec::new()).await;
        let mut engines = Vec::new();
        for index in 0..ENGINES {
            let engine = FragileEngine::start(settings.clone()).await;
            engines.push(engine.expect("a port"));
            register(&world, &engines, index, "0");
        }
        let world = world.with_nodes(zones).await;
        Self { world, engines }
    }

    /// Registers a new run of each engine that has crashed, as engines do that are back.
    fn replace_crashed(&self) {
        for (index, engine) in self.engines.iter().enumerate() {
            let crashes = engine.count().crashes.len();
            if crashes > 0 {
                let old = format!("i-{index}-{}", crashes - 1);
                self.world.store.put("keyed.servers", &old, b"");
                register(&self.world, &self.engines, index, &crashes.to_string());
            }
        }
    }

    fn crash_times(&self) -> Vec<Instant> {
        let counts = self.engines.iter().map(FragileEngine::count);
        let mut times: Vec<Instant> = counts.flat_map(|count| count.crashes).collect();
        times.sort();
        times
    }

    /// Counts the calls with the part that engines received after this time.
    fn crashing_since(&self, since: Instant) -> usize {
        let counts = self.engines.iter().map(FragileEngine::count);
        let arrivals = counts.flat_map(|count| count.crashing);
        arrivals.filter(|at| *at > since).count()
    }

    /// Sends a call whose prompt has these parts before one of its own, to one node after another.
    async fn call(&self, path: &str, number: usize, parts: &[&str]) -> RawAnswer {
        let node = &self.world.nodes[number % self.world.nodes.len()];
        let call = prompt_call(path, number, parts);
        send(node.address(4000), call.as_bytes()).await
    }

    /// Sends calls with the part until it has crashed engines `CRASHES` times and that is known, then
    /// some more. Returns how many of those reached engines.
    async fn repeats(&self, path: &str, parts: &[&[&str]]) -> usize {
        let mut number = 0;
        let mut last = None;
        for _ in 0..60 {
            number += 1;
            self.call(path, number, parts[number % parts.len()]).await;
            self.replace_crashed();
            let times = self.crash_times();
            let fifth = times.get(CRASHES - 1).or(times.last()).copied();
            last = fifth.or(last);
            sleep(PAUSE).await;
            if number >= 3 * CRASHES && last.is_some_and(|at| at.elapsed() > CONTACT) {
                break;
            }
        }
        let since = Instant::now();
        for _ in 0..3 * CRASHES {
            number += 1;
            self.call(path, number, parts[number % parts.len()]).await;
            self.replace_crashed();
            sleep(PAUSE / 4).await;
        }
        self.crashing_since(since)
    }
}

fn register(world: &World, engines: &[FragileEngine], index: usize, run: &str) {
    let text = entry(engines[index].address(), "ready").to_string();
    let id = format!("i-{index}-{run}");
    world.store.put("keyed.servers", &id, text.as_bytes());
}

fn prompt_call(path: &str, number: usize, parts: &[&str]) -> String {
    let ids: Vec<String> = parts
        .iter()
        .map(|part| format!("{part}:100"))
        .chain([format!("{:x}:50", 0xfff_0000 + number)])
        .collect();
    let tokens = 100 * parts.len() + 50;
    let more = format!(
        "X-Model: m\r\nX-Token-Counts: {tokens},50\r\nX-Prompt-Prefix: {}\r\n",
        ids.join(",")
    );
    request(&format!("{path}{number}"), &format!("p{number}"), &more)
}

// Guards against calls with nothing in common but one part of their prompts, which crash engine
// after engine because each call's content is judged by itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_with_a_crashing_part_are_refused_after_a_few_crashes() {
    let settings = settings(&["bad1"], CrashMoment::AfterHead);
    let world = FragileWorld::start(&["east", "west"], settings).await;
    let repeats = world.repeats("/stream/", &[&["aa11", "bad1"]]).await;
    assert!(repeats <= MAX_REPEATS, "{repeats} calls more");
}
