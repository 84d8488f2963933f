//! Prompt parts that crash each engine that begins to write an answer on them.

use std::collections::BTreeSet;
use std::time::Duration;

use monsoonbank_standin::fragile::{CrashMoment, FragileEngine, FragileSettings};
use monsoonbank_standin::keyed::KeyedStore;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::reach::{CutKind, name_dead_ends};
use crate::world::{NodeProcess, RawAnswer, World, configuration, entry, request, send, until};

/// Number of engines of a world.
const ENGINES: usize = 10;
/// Crashes after which the nodes have to know the part.
const CRASHES: usize = 5;
/// Time after the fifth crash from which on few calls with the part may reach engines.
const CONTACT: Duration = Duration::from_secs(3);
/// Number of calls with the part that may reach engines after that.
const MAX_REPEATS: usize = 3;
/// Parts of sound calls.
const SOUND: &[&str] = &["aa11"];
/// Pause between two calls with the part.
const PAUSE: Duration = Duration::from_millis(400);

/// Fragile engines and the nodes in front of them.
struct FragileWorld {
    world: World,
    engines: Vec<FragileEngine>,
    /// Whether engines that are back have the identifiers that they had before.
    same_id: bool,
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
        Self {
            world,
            engines,
            same_id: false,
        }
    }

    /// Registers a new run of each engine that has crashed, as engines do that are back.
    fn replace_crashed(&self) {
        if self.same_id {
            return;
        }
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

    /// Sends calls with these parts in turn, each followed by a sound one, until they have crashed
    /// engines `CRASHES` times and that is known. Returns the number of the last call.
    async fn crash_engines(&self, path: &str, parts: &[&[&str]]) -> usize {
        let mut number = 0;
        let first = Instant::now();
        loop {
            number += 1;
            let parts = parts[number % parts.len()];
            self.call(path, number, parts).await;
            self.replace_crashed();
            self.call("/stream/s", number, SOUND).await;
            sleep(PAUSE).await;
            let times = self.crash_times();
            let last = times.get(CRASHES - 1).or(times.last()).copied();
            let is_known = last.is_some_and(|at| at.elapsed() > CONTACT);
            if number >= 3 * CRASHES && is_known || first.elapsed() > CONTACT * 10 {
                return number;
            }
        }
    }

    /// Sends more calls with the parts, each followed by a sound one that has to be answered. Returns how
    /// many of the former reached engines.
    async fn repeats(&self, path: &str, parts: &[&[&str]], after: usize) -> usize {
        let since = Instant::now();
        for number in after + 1..=after + 3 * CRASHES {
            let parts = parts[number % parts.len()];
            self.call(path, number, parts).await;
            self.replace_crashed();
            let sound = self.call("/stream/s", number, SOUND).await;
            assert_eq!(sound.status, 200, "{}", sound.text());
        }
        self.crashing_since(since)
    }

    /// Returns the causes of quarantines that the nodes have recorded.
    fn causes(&self) -> BTreeSet<String> {
        let lines = self.world.nodes.iter().flat_map(NodeProcess::lines);
        let changes = lines.filter(|line| line["event"] == "quarantine_changed");
        let causes = changes.filter_map(|line| line["cause"].as_str().map(str::to_owned));
        causes.collect()
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
    let id = format!("{}{number}", path.replace('/', "-"));
    request(&format!("{path}{number}"), &id, &more)
}

/// Checks that calls with these parts no longer reach engines once five have crashed, and that sound
/// calls do.
async fn check(world: &FragileWorld, path: &str, parts: &[&[&str]]) {
    let last = world.crash_engines(path, parts).await;
    let repeats = world.repeats(path, parts, last).await;
    assert!(repeats <= MAX_REPEATS, "{repeats} calls more");
    let sound = format!("part:{}", SOUND[0]);
    assert!(!world.causes().contains(&sound), "{:?}", world.causes());
}

// Guards against calls with nothing in common but one part of their prompts, which crash engine
// after engine because each call's content is judged by itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_with_a_crashing_part_are_refused_after_a_few_crashes() {
    let settings = settings(&["bad1"], CrashMoment::AfterHead);
    let world = FragileWorld::start(&["east", "west"], settings).await;
    check(&world, "/stream/", &[&["aa11", "bad1"]]).await;
}

/// Defines a case: zones of the nodes, path, moment of the crash, and parts of the calls in turn.
macro_rules! crashing_parts {
    ($($name:ident: $zones:expr, $path:literal, $moment:ident, $parts:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let settings = settings(&["bad1", "bad2"], CrashMoment::$moment);
            let world = FragileWorld::start(&$zones, settings).await;
            check(&world, $path, &$parts).await;
        }
    )*};
}

// Guards against a part that is not found where it stands, and against one that is known by the moment of
// the crash, the kind of the answer, the number of nodes or the number of parts.
crashing_parts! {
    a_part_that_comes_first: ["east"], "/stream/", AfterHead, [&["bad1", "aa11"]];
    a_part_in_the_middle: ["east"], "/stream/", AfterHead, [&["aa11", "bad1", "cc33"]];
    a_crash_before_the_head: ["east", "west"], "/stream/", BeforeHead, [&["aa11", "bad1"]];
    a_crash_after_an_event: ["east", "west"], "/stream/", AfterEvent, [&["aa11", "bad1"]];
    a_crash_of_a_plain_answer_before_its_head: ["east"], "/safe/", BeforeHead, [&["aa11", "bad1"]];
    a_crash_of_a_plain_answer_after_its_head: ["east"], "/safe/", AfterHead, [&["aa11", "bad1"]];
    a_call_that_may_run_once: ["east"], "/once/", BeforeHead, [&["aa11", "bad1"]];
    a_call_with_retries: ["east", "west"], "/resume/", AfterEvent, [&["aa11", "bad1"]];
    two_parts_at_once: ["east", "west"], "/stream/", AfterHead, [&["aa11", "bad1"], &["aa11", "bad2"]];
    one_call_at_each_node: ["east", "east", "east", "west", "west"], "/stream/", AfterHead,
        [&["aa11", "bad1"]];
}

// Guards against an engine that is back under its identifier, whose next crash is taken for the last.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_that_are_back_under_their_identifiers() {
    let settings = settings(&["bad1"], CrashMoment::AfterHead);
    let mut world = FragileWorld::start(&["east", "west"], settings).await;
    world.same_id = true;
    check(&world, "/stream/", &[&["aa11", "bad1"]]).await;
}

// Guards against a prompt with very many parts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_huge_prompt() {
    let many: Vec<String> = (0..1000).map(|number| format!("{number:x}")).collect();
    let mut parts = vec!["aa11", "bad1"];
    parts.extend(many.iter().map(|part| &**part));
    let settings = settings(&["bad1"], CrashMoment::AfterHead);
    let world = FragileWorld::start(&["east", "west"], settings).await;
    check(&world, "/stream/", &[&parts]).await;
}

// Guards against a malformed prompt header that is passed on, or that ends the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_malformed_prompt_is_rejected() {
    let world = FragileWorld::start(&["east"], settings(&[], CrashMoment::AfterHead)).await;
    for prefix in [
        "x:1,2:3",
        "1:2,",
        ",",
        "1:-1,2:3",
        "1:99999999999,2:3",
        "11112222333344445:1",
    ] {
        let more = format!("X-Token-Counts: 10,5\r\nX-Prompt-Prefix: {prefix}\r\n");
        let answer = world.world.send(&request("/stream/x", "m1", &more)).await;
        assert_eq!(answer.status, 400, "{prefix}");
    }
    assert_eq!(world.call("/stream/", 1, SOUND).await.status, 200);
}

// Guards against a part that engines answered until now, which is taken for sound for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_part_that_was_sound_until_now() {
    let settings = settings(&["bad1"], CrashMoment::AfterHead);
    let world = FragileWorld::start(&["east", "west"], settings).await;
    for engine in &world.engines {
        engine.set_parts(&[]);
    }
    for number in 0..10 {
        let answer = world.call("/stream/b", number, &["aa11", "bad1"]).await;
        assert_eq!(answer.status, 200);
    }
    for engine in &world.engines {
        engine.set_parts(&["bad1"]);
    }
    check(&world, "/stream/", &[&["aa11", "bad1"]]).await;
}

// Guards against sound calls that are refused after waves of crashes without any cause in calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waves_of_crashes_without_a_cause_in_calls() {
    let settings = settings(&[], CrashMoment::AfterHead);
    let world = FragileWorld::start(&["east", "west"], settings).await;
    for wave in 0..6 {
        let calls = (0..20).map(|number| world.call("/resume/", 100 * wave + number, SOUND));
        let all = futures_util::future::join_all(calls);
        let crash = async {
            sleep(Duration::from_millis(70)).await;
            for engine in &world.engines[..6] {
                engine.crash();
            }
        };
        tokio::join!(all, crash);
        world.replace_crashed();
        sleep(PAUSE * 2).await;
    }
    assert_eq!(world.causes(), BTreeSet::new());
    assert_eq!(world.call("/stream/", 1, SOUND).await.status, 200);
}

/// Defines a case: what happens to the first node between the third and the fifth crash, given the
/// crashes so far.
macro_rules! nodes_that_miss_crashes {
    ($($name:ident: $miss:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let settings = settings(&["bad1"], CrashMoment::AfterHead);
            let mut world = FragileWorld::start(&["east", "west", "west"], settings).await;
            let mut number = 1000;
            while world.crash_times().len() < 3 {
                number += 1;
                world.call("/stream/", number, &["aa11", "bad1"]).await;
                world.replace_crashed();
                sleep(PAUSE).await;
            }
            let miss: fn(&mut NodeProcess) -> Duration = $miss;
            let pause = miss(&mut world.world.nodes[0]);
            for node in [1, 2, 1, 2] {
                number += 1;
                let call = prompt_call("/stream/", number, &["aa11", "bad1"]);
                send(world.world.nodes[node].address(4000), call.as_bytes()).await;
                world.replace_crashed();
                sleep(PAUSE).await;
            }
            sleep(pause).await;
            world.world.nodes[0].signal("-CONT");
            world.world.nodes[0].ready().await;
            check(&world, "/stream/", &[&["aa11", "bad1"]]).await;
        }
    )*};
}

// Guards against a node that goes on sending calls with a part, since it missed the crashes under it.
nodes_that_miss_crashes! {
    a_node_that_is_killed_between_the_crashes: |node| {
        node.child.kill().expect("killed");
        node.child.wait().expect("ended");
        node.restart();
        Duration::ZERO
    };
    a_node_that_stands_still_between_the_crashes: |node| {
        node.signal("-STOP");
        Duration::from_secs(3)
    };
}

// Guards against a fleet that is killed before its crashes suffice, and forgets them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_nodes_are_killed_between_the_crashes() {
    let settings = settings(&["bad1"], CrashMoment::AfterHead);
    let mut world = FragileWorld::start(&["east", "west"], settings).await;
    let mut number = 1000;
    while world.crash_times().len() < 3 {
        number += 1;
        world.call("/stream/", number, &["aa11", "bad1"]).await;
        world.replace_crashed();
        sleep(PAUSE * 2).await;
    }
    sleep(PAUSE * 2).await;
    for node in &mut world.world.nodes {
        node.child.kill().expect("killed");
        node.child.wait().expect("ended");
        node.restart();
    }
    for node in &world.world.nodes {
        node.ready().await;
    }
    sleep(PAUSE).await;
    check(&world, "/stream/", &[&["aa11", "bad1"]]).await;
    let crashes = world.crash_times().len();
    assert!(crashes <= CRASHES, "{crashes} engines crashed");
}

// Guards against calls with the part that another node sends on behalf of one that reaches no engine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_that_another_node_carries() {
    let store = KeyedStore::start("127.0.0.1:0").await.expect("a store");
    let text = configuration(1).to_string();
    store.put("keyed.op", "config", text.as_bytes());
    let _held = name_dead_ends(&store, CutKind::Refused, 0).await;
    let settings = settings(&["bad1"], CrashMoment::AfterHead);
    let mut world = FragileWorld::start(&[], settings).await;
    world.same_id = true;
    world.world.add_with_store("west", store.address()).await;
    world.world = world.world.with_nodes(&["east"]).await;
    for index in 0..ENGINES {
        let mut entry = entry(world.engines[index].address(), "ready");
        entry["born"] = json!(1);
        let id = format!("i-{index}-0");
        let text = entry.to_string();
        world.world.store.put("keyed.servers", &id, text.as_bytes());
    }
    until("a call is carried", async || {
        let number = world.world.nodes[0].lines().len();
        world.call("/stream/w", 2 * number, SOUND).await.status == 200
    })
    .await;
    let carried = |number| {
        let call = prompt_call("/stream/", number, &["aa11", "bad1"]);
        let address = world.world.nodes[0].address(4000);
        async move { send(address, call.as_bytes()).await }
    };
    for number in 0..3 * CRASHES {
        carried(number).await;
        sleep(PAUSE).await;
    }
    sleep(CONTACT).await;
    let since = Instant::now();
    for number in 100..100 + 3 * CRASHES {
        let answer = carried(number).await;
        assert_eq!(answer.status, 503);
        assert!(answer.has("retry-after"), "{}", answer.head);
    }
    assert!(world.crashing_since(since) <= MAX_REPEATS);
    assert!(world.crash_times().len() >= 3);
}
