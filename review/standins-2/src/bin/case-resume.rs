//! Streams that broke off are taken up again, after a change of weights or after the loss of all machines.
//!
//! `case-resume RECORD weights`: the weights change, later one machine of six is killed. TROUBLE=0:
//! neither; CHANGE=0: a machine is killed, but the weights stay.
//! `case-resume RECORD killed`: all machines are killed at once, and start again. TROUBLE=0: they aren't.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins_2::http::{self, Request, Wire};
use review_standins_2::node::{self, Node};
use review_standins_2::store::Store;
use review_standins_2::{cannot_run, record, trouble, until};

const STREAMS: usize = 40;
const EVENTS: u64 = 40;
const PAUSE: Duration = Duration::from_millis(200);
/// Time from the start of the streams to the change, and from the change to the loss of the machine:
/// more than `configApplyMs` (2,000).
const CHANGE_AT: Duration = Duration::from_millis(1000);
const KILL_AT: Duration = Duration::from_millis(3500);
/// Time after which machines that were killed start again, and time from then on until they are in touch
/// (`contactMs` is 3,000).
const DOWN: Duration = Duration::from_millis(500);
const IN_TOUCH: Duration = Duration::from_millis(3500);

/// The first sheet's `lease-digest` route, split between two services as in the bench's example.
fn config(version: u64, weights: [u32; 2]) -> String {
    let service = |name: &str| format!(
        r#"{{"name":"{name}","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacity":463972,"kvTokenBytes":18432,"linkMbps":180000.0,"stride":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{{"name":"m"}}]}}}}"#
    );
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-2yhvz3p","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"stream","timeoutMs":15000,"targetLatencyMs":2500,"priority":2,"backends":[{{"service":"huvo11a","weight":{}}},{{"service":"wuno96b","weight":{}}}],"maxAttempts":2,"public":false,"sticky":true,"canResume":true,"gapTargetMs":1200}}],"services":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}}]}}"#,
        weights[0], weights[1], service("huvo11a"), service("wuno96b")
    )
}

/// Server by which each request was run.
type Runs = Arc<Mutex<BTreeMap<String, String>>>;

fn serve(request: &Request, stream: &mut TcpStream, server: &str, runs: &Runs) -> bool {
    let small = |stream: &mut TcpStream, status: &str, body: &str| {
        let text = format!("HTTP/1.1 {status}\r\nX-Instance-Id: {server}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(text.as_bytes()).is_ok()
    };
    match request.path() {
        "/healthz" => return small(stream, "200 OK", ""),
        "/kv-list" => return small(stream, "200 OK", "{\"epoch\":1,\"next\":0,\"held\":[]}"),
        "/report" | "/kv-events" => return small(stream, "404 Not Found", "{}"),
        _ => {}
    }
    let id = request.header("x-attempt-id").unwrap_or("").to_string();
    if request.header("x-expect-instance").is_some_and(|expected| expected != server) {
        let text = format!("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {server}\r\nContent-Length: 0\r\n\r\n");
        return stream.write_all(text.as_bytes()).is_ok();
    }
    let after = request.header("last-event-id").and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    record::line(&format!("server {server} runs {id}, from event {}", after + 1));
    if let Ok(mut runs) = runs.lock() {
        runs.insert(id.clone(), server.into());
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s-{id}\r\nX-Weight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for event in after + 1..=EVENTS {
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        if stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
            return false;
        }
        std::thread::sleep(PAUSE);
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// How one attempt of a consumer ended.
struct Attempt {
    status: u16,
    events: u64,
    last: u64,
    complete: bool,
}

fn attempt(address: SocketAddr, id: &str, resumes: Option<(&str, u64)>, left: Duration) -> Attempt {
    let more = resumes.map_or(String::new(), |(first, after)| format!("Last-Event-Id: {after}\r\nResumes: {first}\r\n"));
    let request = format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Counts: 700,240\r\nX-Prompt-Prefix: 5c1e07a2:600,{:x}:100\r\nX-Deadline-Ms: {}\r\n\
         X-Key: n2ctnfzs989anu6wsjnb\r\n{more}Content-Length: 4\r\n\r\nbody",
        id.bytes().fold(17u64, |sum, byte| sum * 31 % 0xffff_ffff + u64::from(byte)),
        left.as_millis()
    );
    let mut got = Attempt { status: 0, events: 0, last: resumes.map_or(0, |(_, after)| after), complete: false };
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return got };
    if stream.write_all(request.as_bytes()).is_err() {
        return got;
    }
    let (mut events, mut last) = (0, got.last);
    let answer = http::read_answer(&mut Wire::new(stream), left, &mut |piece| {
        for line in String::from_utf8_lossy(piece).lines() {
            if let Some(number) = line.strip_prefix("id: ").and_then(|text| text.parse::<u64>().ok()) {
                events += 1;
                last = number;
            }
        }
    });
    got.status = answer.status;
    got.complete = answer.complete && answer.status == 200;
    got.events = events;
    got.last = last;
    got
}

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".into());
    record::open(&path);
    let all = std::env::args().nth(2).as_deref() == Some("killed");
    let change = !all && trouble() && std::env::var("CHANGE").map_or(true, |value| value != "0");
    let folder = node::folder("case-resume");
    let store = Store::start(SocketAddr::new(node::host(200), 0));
    let runs = Runs::default();
    store.put("keyed.op", "config", &config(7, [90, 10]));
    for (number, service) in ["huvo11a", "huvo11a", "huvo11a", "wuno96b", "wuno96b", "wuno96b"].iter().enumerate() {
        let id = format!("i-{service}-{number}");
        let (known, name) = (runs.clone(), id.clone());
        let at = http::serve(
            SocketAddr::new(node::host(201 + number as u8), 0),
            Arc::new(move |request, stream| serve(request, stream, &name, &known)),
        );
        store.put("keyed.servers", &id, &format!(
            r#"{{"service":"{service}","address":"{at}","zone":"akl-east","version":"v1","slots":64,"state":"ready","coldLeftMs":0,"stage":"colocated","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":4}}"#
        ));
    }
    // The sheet's six machines in three zones.
    let hosts: Vec<std::net::IpAddr> = (1..=6).map(node::host).collect();
    let start_all = || -> Vec<Node> {
        let hosts_and_numbers = hosts.iter().enumerate();
        let start = |(number, host): (usize, &std::net::IpAddr)| {
            let zone = ["akl-east", "akl-north", "akl-west"][number / 2];
            let name = format!("front-{zone}-{}", number % 2 + 1);
            Node::start(&folder, &name, zone, *host, &hosts[..3], store.address, node::SMALL)
        };
        hosts_and_numbers.map(start).collect()
    };
    let mut machines = start_all();
    if !until(Duration::from_secs(20), || machines.iter().all(Node::is_ready)) {
        cannot_run("the machines aren't ready");
    }
    std::thread::sleep(Duration::from_secs(5));
    let first = machines[0].callers();
    let others: [SocketAddr; 5] = std::array::from_fn(|number| machines[number + 1].callers());
    let taken: Arc<Mutex<Vec<(String, Attempt)>>> = Arc::default();
    let mut threads = Vec::new();
    let start = Instant::now();
    for number in 0..STREAMS {
        let (taken, runs) = (taken.clone(), runs.clone());
        threads.push(std::thread::spawn(move || {
            let id = format!("a{number}");
            let limit = Duration::from_secs(15);
            let since = Instant::now();
            let begun = attempt(first, &id, None, limit);
            record::line(&format!("consumer: {id} got {} events, up to {}, complete: {}", begun.events, begun.last, begun.complete));
            if begun.complete || begun.events == 0 {
                return;
            }
            let server = runs.lock().map(|runs| runs.get(&id).cloned()).ok().flatten().unwrap_or_default();
            // They are taken up at machines that are in touch, which takes a while if all were killed.
            if all {
                std::thread::sleep(DOWN + IN_TOUCH);
            }
            let again = format!("b{number}");
            let left = limit.saturating_sub(since.elapsed());
            record::line(&format!("consumer takes {id} (begun at {server}) up as {again} after event {}", begun.last));
            let resumed = attempt(others[number % 5], &again, Some((&id, begun.last)), left);
            record::line(&format!("consumer: {again} got {}, {} events, up to {}, complete: {}", resumed.status, resumed.events, resumed.last, resumed.complete));
            if let Ok(mut taken) = taken.lock() {
                taken.push((server, resumed));
            }
        }));
    }
    std::thread::sleep(CHANGE_AT.saturating_sub(start.elapsed()));
    if change {
        store.put("keyed.op", "config", &config(9, [10, 90]));
        record::line("the operator changes the weights from 90 and 10 to 10 and 90; the store has acknowledged it");
    }
    std::thread::sleep(KILL_AT.saturating_sub(start.elapsed()));
    if trouble() && all {
        for machine in &machines {
            machine.signal(node::SIGKILL);
        }
        record::line("SIGKILL to all machines");
        drop(std::mem::take(&mut machines));
        std::thread::sleep(DOWN);
        machines = start_all();
        record::line("all machines start again");
        if !until(IN_TOUCH, || machines.iter().all(Node::is_ready)) {
            cannot_run("the machines aren't ready again");
        }
        std::thread::sleep((KILL_AT + DOWN + IN_TOUCH).saturating_sub(start.elapsed()));
    } else if trouble() {
        machines[0].signal(node::SIGKILL);
        record::line("SIGKILL to front-akl-east-1");
    }
    let new: Vec<_> = (0..STREAMS)
        .map(|number| {
            std::thread::spawn(move || {
                let id = format!("n{number}");
                let begun = attempt(others[number % 5], &id, None, Duration::from_secs(15));
                record::line(&format!("consumer: new stream {id} got {}, {} events, complete: {}", begun.status, begun.events, begun.complete));
                begun.events > 0
            })
        })
        .collect();
    let began = new.into_iter().filter_map(|thread| thread.join().ok()).filter(|began| *began).count();
    for thread in threads {
        let _ = thread.join();
    }
    let taken = taken.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let went_on = taken.iter().filter(|(_, attempt)| attempt.events > 0).count();
    let refused = taken.iter().filter(|(_, attempt)| attempt.status == 503).count();
    record::say(&format!(
        "{} streams were taken up again while three servers of their version served: {went_on} went on, {refused} got 503; \
         {began} of {STREAMS} new streams began",
        taken.len()
    ));
    let share = went_on as f64 / taken.len().max(1) as f64;
    let broken = taken.len() >= 12 && share < 0.5 * began as f64 / STREAMS as f64;
    let _ = std::fs::remove_dir_all(&folder);
    drop(machines);
    std::process::exit(i32::from(broken))
}
