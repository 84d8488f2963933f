//! Engines are restarted in place with the next software version, one after the other, while callers
//! take streams. Rule ORDER: at most two streams may hold events of two versions.

use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{self, Attempt, Received};
use crate::engine::{EVENTS, Engine, Place};
use crate::node::{self, Node, Ports};
use crate::record::Record;
use crate::store::Store;

const NODES: usize = 6;
const CALLERS: usize = 24;
const ENGINES: usize = 3;
/// Rounds in which each engine is restarted once.
const ROUNDS: u32 = 3;
/// Time between the restarts of two engines.
const STEP: Duration = Duration::from_secs(1);
/// Time for which an engine is down.
const DOWN: Duration = Duration::from_millis(800);
/// Time between two rounds.
const REST: Duration = Duration::from_secs(4);
pub const HOST: &str = "desk.example";
pub const PATH: &str = "/digest/7";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-digest","host":"desk.example","pathPrefix":"/digest/","kind":"stream","timeoutMs":15000,"targetLatencyMs":2500,"priority":2,"service":"llm","maxAttempts":2,"public":false,"sticky":true,"canResume":true,"gapTargetMs":1200}],"services":[{"name":"llm","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":463972,"kvTokenBytes":18432,"linkMbps":180000.0,"moves":true,"backups":true,"stride":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]}]}"#;

/// Counts over all callers.
#[derive(Default)]
struct Counts {
    streams: AtomicUsize,
    complete: AtomicUsize,
    resumed: AtomicUsize,
    mixed: AtomicUsize,
    gaps: AtomicUsize,
}

/// Plays the case. Returns the exit code.
pub fn run(folder: &Path, temporary: &Path, trouble: bool) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let store = Store::start();
    store.put("keyed.op", "config", CONFIGURATION.as_bytes());
    let places: Vec<Place> = (0..ENGINES)
        .map(|index| Place {
            id: format!("i-7f3a91c{index}"),
            service: "llm".to_owned(),
            zone: format!("zone-{}", 1 + index % 3),
            address: TcpListener::bind("127.0.0.1:0")
                .and_then(|listener| listener.local_addr())
                .expect("a free port"),
        })
        .collect();
    let mut engines: Vec<Engine> = places
        .iter()
        .map(|place| Engine::start(place, 1, &store, &record))
        .collect();
    let ports = Ports::free(NODES);
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|index| Node::prepare(index, ports, store.address, temporary))
        .collect();
    for node in &mut nodes {
        node.start();
    }
    if !node::wait_ready(&nodes, Duration::from_secs(15)) {
        record.line("the nodes are not ready");
        return 2;
    }
    // Machines are in touch from then on.
    thread::sleep(Duration::from_secs(4));
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let mixed = Arc::new(Mutex::new(Vec::new()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (fronts, stop, counts) = (fronts.clone(), stop.clone(), counts.clone());
            let (mixed, record) = (mixed.clone(), record.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(110 * caller as u64));
                let mut turn = 0;
                while !stop.load(Ordering::SeqCst) {
                    turn += 1;
                    let first = format!("c{caller:02}{turn:04}a");
                    let second = format!("c{caller:02}{turn:04}b");
                    let node = (caller + turn) % fronts.len();
                    let mut received = Received::default();
                    let mut attempt = Attempt {
                        id: &first,
                        resumes: None,
                        route: (HOST, PATH),
                        key: KEY,
                        body: None,
                    };
                    let answer = caller::take(fronts[node], &attempt, &mut received, &record);
                    let mut done = matches!(answer, Ok((200, true)));
                    record.line(&format!(
                        "{first}: {answer:?}, {} events",
                        received.last_event
                    ));
                    if !done && received.last_event > 0 {
                        counts.resumed.fetch_add(1, Ordering::SeqCst);
                        attempt = Attempt {
                            id: &second,
                            resumes: Some(&first),
                            ..attempt
                        };
                        let node = (node + 1) % fronts.len();
                        let answer = caller::take(fronts[node], &attempt, &mut received, &record);
                        done = matches!(answer, Ok((200, true)));
                        record.line(&format!(
                            "{second}: {answer:?}, {} events",
                            received.last_event
                        ));
                    }
                    counts.streams.fetch_add(1, Ordering::SeqCst);
                    if done && received.last_event == EVENTS {
                        counts.complete.fetch_add(1, Ordering::SeqCst);
                    }
                    counts.gaps.fetch_add(received.gaps, Ordering::SeqCst);
                    if received.versions.len() > 1 {
                        counts.mixed.fetch_add(1, Ordering::SeqCst);
                        record.line(&format!("MIXED {first}: events of {:?}", received.versions));
                        mixed.lock().expect("the list").push(first.clone());
                    }
                    if !done {
                        thread::sleep(Duration::from_millis(200));
                    }
                }
            })
        })
        .collect();
    let started = Instant::now();
    thread::sleep(Duration::from_secs(4));
    for round in 0..ROUNDS {
        for (index, place) in places.iter().enumerate() {
            let step = Instant::now();
            if trouble {
                engines[index].crash();
                thread::sleep(DOWN);
                engines[index] = Engine::start(place, round + 2, &store, &record);
            }
            thread::sleep(STEP.saturating_sub(step.elapsed()));
        }
        thread::sleep(REST);
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    let mixed = count(&counts.mixed);
    let summary = format!(
        "{} streams, {} complete, {} taken up again by their callers, {} with events of two versions, {} gaps, {:.0} s",
        count(&counts.streams),
        count(&counts.complete),
        count(&counts.resumed),
        mixed,
        count(&counts.gaps),
        started.elapsed().as_secs_f64()
    );
    record.line(&summary);
    println!("{summary}");
    i32::from(mixed > 2)
}
