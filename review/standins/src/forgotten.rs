//! A request that crashes engines comes again and again, and all nodes are killed after each crash.
//! Rule BUDGET: later than three seconds after the third crash it reaches engines three times at most.

use std::net::TcpListener;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{self, Attempt, Received};
use crate::engine::{Engine, Place};
use crate::in_place::{CONFIGURATION, HOST, KEY, PATH};
use crate::node::{self, Node, Ports};
use crate::record::Record;
use crate::store::Store;

const NODES: usize = 6;
const ENGINES: usize = 3;
const ROUNDS: usize = 9;
const CONTACT: Duration = Duration::from_millis(3300);

/// Plays the case. Returns the exit code.
pub fn run(folder: &Path, temporary: &Path, trouble: bool) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let store = Store::start();
    let configuration = CONFIGURATION.replace("\"canResume\":true", "\"canResume\":false");
    store.put("keyed.op", "config", configuration.as_bytes());
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
    let start = |place: &Place| Engine::start(place, 1, &store, &record);
    let mut engines: Vec<Engine> = places.iter().map(start).collect();
    let ports = Ports::free(NODES);
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|index| Node::prepare(index, ports, store.address, temporary))
        .collect();
    for node in &mut nodes {
        node.start();
    }
    if !node::wait_ready(&nodes, Duration::from_secs(15)) {
        return 2;
    }
    thread::sleep(CONTACT);
    let mut crashes = 0;
    let mut third_at = None::<Instant>;
    let mut late = 0;
    for round in 0..ROUNDS {
        let id = format!("crash{round}");
        let attempt = Attempt {
            id: &id,
            resumes: None,
            route: (HOST, PATH),
            key: KEY,
            body: Some("crash it"),
        };
        let sent = Instant::now();
        let front = nodes[round % NODES].front;
        let answer = caller::take(front, &attempt, &mut Received::default(), &record);
        record.line(&format!("{id}: {answer:?}"));
        thread::sleep(Duration::from_millis(600));
        let crashed = engines.iter().filter(|engine| !engine.is_alive()).count();
        if crashed > 0 && third_at.is_some_and(|at| sent > at + Duration::from_secs(3)) {
            late += crashed;
        }
        crashes += crashed;
        if crashes >= 3 && third_at.is_none() {
            third_at = Some(Instant::now());
        }
        if trouble {
            record.line("all nodes are killed and start again");
            for node in &mut nodes {
                node.kill();
            }
            for node in &mut nodes {
                node.start();
            }
        }
        thread::sleep(Duration::from_millis(900));
        for (engine, place) in engines.iter_mut().zip(&places) {
            if !engine.is_alive() {
                *engine = start(place);
            }
        }
        thread::sleep(CONTACT);
    }
    let summary = format!("{crashes} crashes, {late} of them later than 3 s after the third");
    record.line(&summary);
    println!("{summary}");
    i32::from(late > 3)
}
