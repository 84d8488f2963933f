//! All nodes are killed while callers take streams, and the callers take them up again. Rule LOST: at
//! machines in touch, at least half as large a share of these goes on as of new streams begins.

use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{self, Attempt, Received};
use crate::engine::{Engine, Place};
use crate::in_place::{CONFIGURATION, HOST, KEY, PATH};
use crate::node::{self, Node, Ports};
use crate::record::Record;
use crate::store::Store;

const NODES: usize = 6;
const CALLERS: usize = 24;
const ENGINES: usize = 3;
/// Time after the start of a machine's process from which on the machine is in touch.
const CONTACT: Duration = Duration::from_secs(3);
/// Number of tries at a stream that broke, and time between them.
const TRIES: usize = 5;
const PAUSE: Duration = Duration::from_millis(1200);

#[derive(Default)]
struct Counts {
    taken_up: AtomicUsize,
    went_on: AtomicUsize,
    new: AtomicUsize,
    began: AtomicUsize,
}

/// Plays the case. Returns the exit code.
pub fn run(folder: &Path, temporary: &Path, trouble: bool) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let store = Store::start();
    store.put("keyed.op", "config", CONFIGURATION.as_bytes());
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|index| {
            let place = Place {
                id: format!("i-7f3a91c{index}"),
                service: "llm".to_owned(),
                zone: format!("zone-{}", 1 + index % 3),
                address: TcpListener::bind("127.0.0.1:0")
                    .and_then(|listener| listener.local_addr())
                    .expect("a free port"),
            };
            Engine::start(&place, 1, &store, &record)
        })
        .collect();
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
    thread::sleep(CONTACT + Duration::from_secs(1));
    let since = Instant::now();
    // Milliseconds from which on the machines are in touch; all of them before the kill.
    let in_touch_at = Arc::new(AtomicU64::new(0));
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (fronts, stop, counts) = (fronts.clone(), stop.clone(), counts.clone());
            let (record, in_touch_at) = (record.clone(), in_touch_at.clone());
            thread::spawn(move || {
                let in_touch =
                    || since.elapsed().as_millis() as u64 >= in_touch_at.load(Ordering::SeqCst);
                thread::sleep(Duration::from_millis(110 * caller as u64));
                let mut turn = 0;
                while !stop.load(Ordering::SeqCst) {
                    turn += 1;
                    let first = format!("c{caller:02}{turn:04}a");
                    let mut received = Received::default();
                    let counted = in_touch();
                    let node = fronts[(caller + turn) % fronts.len()];
                    let attempt = Attempt {
                        id: &first,
                        resumes: None,
                        route: (HOST, PATH),
                        key: KEY,
                        body: None,
                    };
                    let answer = caller::take(node, &attempt, &mut received, &record);
                    record.line(&format!(
                        "{first}: {answer:?}, {} events",
                        received.last_event
                    ));
                    if counted {
                        counts.new.fetch_add(1, Ordering::SeqCst);
                        counts
                            .began
                            .fetch_add(usize::from(received.last_event > 0), Ordering::SeqCst);
                    }
                    let mut done = matches!(answer, Ok((200, true)));
                    for again in 1..=TRIES {
                        if done || received.last_event == 0 {
                            break;
                        }
                        thread::sleep(PAUSE);
                        let counted = in_touch();
                        let before = received.last_event;
                        let id = format!("c{caller:02}{turn:04}{again}");
                        let attempt = Attempt {
                            id: &id,
                            resumes: Some(&first),
                            route: (HOST, PATH),
                            key: KEY,
                            body: None,
                        };
                        let node = fronts[(caller + turn + again) % fronts.len()];
                        let answer = caller::take(node, &attempt, &mut received, &record);
                        record.line(&format!(
                            "{id}: {answer:?}, {} events, in touch {counted}",
                            received.last_event
                        ));
                        done = matches!(answer, Ok((200, true)));
                        if counted {
                            counts.taken_up.fetch_add(1, Ordering::SeqCst);
                            let went_on = usize::from(received.last_event > before || done);
                            counts.went_on.fetch_add(went_on, Ordering::SeqCst);
                        }
                    }
                    if !done {
                        thread::sleep(Duration::from_millis(300));
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    if trouble {
        in_touch_at.store(u64::MAX, Ordering::SeqCst);
        record.line("all nodes are killed");
        for node in &mut nodes {
            node.kill();
        }
        thread::sleep(Duration::from_millis(500));
        for node in &mut nodes {
            node.start();
        }
        record.line("all nodes start");
        let at = since.elapsed() + CONTACT;
        in_touch_at.store(at.as_millis() as u64, Ordering::SeqCst);
    } else {
        // The same callers take up as many streams that their own connections break.
        record.line("nothing is killed");
    }
    thread::sleep(Duration::from_secs(10));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    drop(engines);
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    let (taken_up, went_on) = (count(&counts.taken_up), count(&counts.went_on));
    let (new, began) = (count(&counts.new), count(&counts.began));
    let summary = format!(
        "at machines in touch: {taken_up} tries to take a stream up, {went_on} went on; {new} new streams, {began} began"
    );
    record.line(&summary);
    println!("{summary}");
    let is_broken = taken_up >= 12 && went_on * new * 2 < began * taken_up;
    i32::from(is_broken)
}
