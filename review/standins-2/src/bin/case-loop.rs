//! All engines of a service crash again and again for 24 s, then all machines are killed once.
//! After that everything is sound, and consumers come as before.
//!
//! `case-loop RECORD`. TROUBLE=0: no engine crashes; the machines are killed all the same.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins_2::engine::{self, Engine};
use review_standins_2::http::{self, Request, Wire};
use review_standins_2::node::{self, Node};
use review_standins_2::store::Store;
use review_standins_2::{cannot_run, record, trouble, until};

/// The sheet's four kinds of requests at its two services.
const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-cert","host":"ficu95.example","pathPrefix":"/pufi791/","kind":"stream","timeoutMs":15000,"targetLatencyMs":300,"priority":1,"service":"huvo11a","maxAttempts":2,"public":false,"sticky":true,"canResume":true,"gapTargetMs":150},{"name":"r-registry","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"stream","timeoutMs":6000,"targetLatencyMs":500,"priority":2,"service":"huvo11a","maxAttempts":2,"public":false,"sticky":true,"canResume":true,"gapTargetMs":250},{"name":"r-file","host":"ficu95.example","pathPrefix":"/cufi504/","kind":"idempotent","timeoutMs":600,"targetLatencyMs":100,"priority":3,"service":"wuno96b","maxAttempts":2,"public":false,"sticky":false,"canResume":false},{"name":"r-approve","host":"ficu95.example","pathPrefix":"/puxa403/","kind":"non_idempotent","timeoutMs":600,"targetLatencyMs":100,"priority":3,"service":"wuno96b","maxAttempts":1,"public":false,"sticky":false,"canResume":false}],"services":[{"name":"huvo11a","healthPath":"/healthz","maxConns":620,"protocol":"h1","tls":false,"engine":{"slots":128,"kvCapacity":596082,"kvTokenBytes":35136,"linkMbps":740000.0,"stride":3,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}},{"name":"wuno96b","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"huka270","apiKeys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}"#;

/// A kind of requests, as the sheet has it.
struct Kind {
    name: &'static str,
    path: &'static str,
    per_s: f64,
    /// What a burst makes of that: the largest dose of the site file.
    burst: f64,
    limit: Duration,
    /// Tokens of the shared parts and of the request's own, events, and time between two; 0: no stream.
    shared: u32,
    own: u32,
    events: u64,
    pause: Duration,
    repeatable: bool,
    /// Prompt parts with which requests of the kind begin, as many as the bench's requests have.
    firsts: u64,
}

const KINDS: [Kind; 4] = [
    Kind { name: "registry-review", path: "/lohu930/2f", per_s: 35.8, burst: 2.3, limit: Duration::from_millis(6000), shared: 6300, own: 2890, events: 17, pause: Duration::from_millis(18), repeatable: true, firsts: 5 },
    Kind { name: "cert-summary", path: "/pufi791/2f", per_s: 27.0, burst: 2.2, limit: Duration::from_millis(15000), shared: 198, own: 628, events: 97, pause: Duration::from_millis(18), repeatable: true, firsts: 4 },
    Kind { name: "approve-supplier", path: "/puxa403/2f", per_s: 15.7, burst: 1.0, limit: Duration::from_millis(600), shared: 0, own: 0, events: 0, pause: Duration::ZERO, repeatable: false, firsts: 0 },
    Kind { name: "file-lookup", path: "/cufi504/2f", per_s: 6.4, burst: 1.0, limit: Duration::from_millis(600), shared: 0, own: 0, events: 0, pause: Duration::ZERO, repeatable: true, firsts: 0 },
];

/// Prompt tokens that an engine reads in a ms, and work of a plain server.
const READ_PER_MS: u64 = 75;
const WORK: Duration = Duration::from_millis(15);
const ENGINES: usize = 9;
const MACHINES: usize = 7;
/// The engines crash from here on, so many times, are down and up for so long.
const CALM: Duration = Duration::from_secs(8);
const CRASHES: u32 = 48;
const DOWN: Duration = Duration::from_millis(300);
const UP: Duration = Duration::from_millis(200);
/// An entry is removed after three status report intervals (1,200 ms) of silence.
const SILENCE: Duration = Duration::from_millis(3600);
/// The final fault, the time for which the machines are down, and `recoverS`.
const KILL_AT: Duration = Duration::from_secs(33);
const MACHINES_DOWN: Duration = Duration::from_millis(700);
const RECOVER: Duration = Duration::from_secs(12);
/// Time in which requests are counted after that.
const COUNTED: Duration = Duration::from_secs(6);

fn small(stream: &mut TcpStream, status: &str, more: &str, body: &str) -> bool {
    engine::answer(stream, status, more, body)
}

/// A model engine's present start.
#[derive(Default)]
struct Run {
    id: String,
    /// Parts of prompts that it has read since.
    known: BTreeSet<String>,
}

/// Reads a prompt, as far as it isn't known. An engine reads one after the other.
fn read_prompt(request: &Request, run: &Mutex<Run>, reads: &Mutex<()>) {
    let _turn = reads.lock();
    let mut tokens = 0;
    if let Ok(mut run) = run.lock() {
        let mut known = true;
        for part in request.header("x-prompt-prefix").unwrap_or("").split(',') {
            known &= !run.known.insert(part.to_string());
            let size = part.split(':').nth(1).and_then(|text| text.parse::<u32>().ok());
            tokens += if known { 0 } else { size.unwrap_or(0) };
        }
    }
    std::thread::sleep(Duration::from_micros(u64::from(tokens) * 1000 / READ_PER_MS));
}

fn serve_model(request: &Request, stream: &mut TcpStream, run: &Mutex<Run>, reads: &Mutex<()>) -> bool {
    let name = run.lock().map(|run| run.id.clone()).unwrap_or_default();
    match request.path() {
        "/healthz" => return small(stream, "200 OK", &format!("X-Instance-Id: {name}\r\n"), ""),
        "/kv-list" => return small(stream, "200 OK", "", "{\"epoch\":1,\"next\":0,\"held\":[]}"),
        "/report" | "/kv-events" => return small(stream, "404 Not Found", "", "{}"),
        _ => {}
    }
    let id = request.header("x-attempt-id").unwrap_or("").to_string();
    if request.header("x-expect-instance").is_some_and(|expected| expected != name) {
        return small(stream, "421 Misdirected Request", &format!("X-Instance-Id: {name}\r\n"), "");
    }
    let Some(kind) = KINDS.iter().find(|kind| kind.path == request.path()) else {
        return small(stream, "404 Not Found", &format!("X-Attempt-Id: {id}\r\n"), "");
    };
    record::line(&format!("engine {name} runs {id}"));
    let after = request.header("last-event-id").and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    read_prompt(request, run, reads);
    std::thread::sleep(kind.pause);
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s-{id}\r\nX-Weight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for event in after + 1..=kind.events {
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        if stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
            return false;
        }
        std::thread::sleep(kind.pause);
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

fn serve_plain(request: &Request, stream: &mut TcpStream, name: &str) -> bool {
    if request.path() == "/healthz" {
        return small(stream, "200 OK", &format!("X-Instance-Id: {name}\r\n"), "");
    }
    let id = request.header("x-attempt-id").unwrap_or("").to_string();
    std::thread::sleep(WORK);
    let more = format!("X-Attempt-Id: {id}\r\nX-Response-Seal: s-{id}\r\n");
    small(stream, "200 OK", &more, &"x".repeat(800))
}

/// One try of a consumer. Returns the status (0: none), the last event, whether the answer is complete,
/// and after how long to come back.
fn attempt(address: SocketAddr, kind: &Kind, number: u64, id: &str, resumes: Option<(&str, u64)>, left: Duration) -> (u16, u64, bool, Duration) {
    let mut more = resumes.map_or(String::new(), |(first, after)| format!("Last-Event-Id: {after}\r\nResumes: {first}\r\n"));
    let mut method = "GET";
    let mut body = String::new();
    if kind.events > 0 {
        method = "POST";
        let (first, subject) = (0x5c1e_0000 + kind.firsts * 256 + number % kind.firsts, 0x91bd_0000 + number % 97);
        more += &format!(
            "X-Model: m\r\nX-Token-Counts: {},{}\r\nX-Prompt-Prefix: {first:x}:{},{subject:x}:{},{:x}:{}\r\n",
            kind.shared + kind.own, kind.events * 3, kind.shared / 2, kind.shared / 2, 0xe000_0000u64 + number, kind.own
        );
    }
    if !kind.repeatable {
        method = "POST";
    }
    if method == "POST" {
        body = format!("body of {number}");
        more += &format!("Content-Length: {}\r\n", body.len());
    }
    let request = format!(
        "{method} {}?n={number} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
         X-Key: xd9dnn2ctnfzs989anu6\r\n{more}\r\n{body}",
        kind.path, left.as_millis()
    );
    let mut last = resumes.map_or(0, |(_, after)| after);
    let none = (0, last, false, Duration::ZERO);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return none };
    if stream.write_all(request.as_bytes()).is_err() {
        return none;
    }
    let answer = http::read_answer(&mut Wire::new(stream), left, &mut |piece| {
        for line in String::from_utf8_lossy(piece).lines() {
            if let Some(event) = line.strip_prefix("id: ").and_then(|text| text.parse::<u64>().ok()) {
                last = event;
            }
        }
    });
    let pause = answer.header("retry-after").and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    let complete = answer.complete && answer.status == 200 && last == kind.events;
    (answer.status, last, complete, Duration::from_secs_f64(pause.clamp(0.0, 60.0)))
}

/// A request of a consumer, which tries once more, as the sheet's consumers do. Returns whether it was
/// served, and the statuses that it got.
fn request(machines: &[SocketAddr], kind: &Kind, number: u64) -> (bool, Vec<u16>) {
    let since = Instant::now();
    let address = |turn: u64| machines[((number * 5 + turn * 3) % machines.len() as u64) as usize];
    let first = format!("{}-{number}-a", kind.name);
    let (status, last, complete, pause) = attempt(address(0), kind, number, &first, None, kind.limit);
    if complete {
        return (true, vec![status]);
    }
    let promised = matches!(status, 429 | 503 | 408 | 421);
    let left = kind.limit.saturating_sub(since.elapsed());
    if left.is_zero() || !(kind.repeatable || promised) {
        return (false, vec![status]);
    }
    // `Retry-After` is honoured up to a third of the time left.
    std::thread::sleep(pause.min(left / 3));
    let left = kind.limit.saturating_sub(since.elapsed());
    let resumes = (last > 0).then_some((&*first, last));
    let (again, _, complete, _) = attempt(address(1), kind, number, &format!("{}-{number}-b", kind.name), resumes, left);
    (complete, vec![status, again])
}

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".into());
    record::open(&path);
    let folder = node::folder("case-loop");
    let store = Store::start(SocketAddr::new(node::host(200), 0));
    store.put("keyed.op", "config", CONFIG);
    for number in 0..3 {
        let name = format!("i-portal-{number}");
        let own = name.clone();
        let at = http::serve(
            SocketAddr::new(node::host(220 + number), 0),
            Arc::new(move |request, stream| serve_plain(request, stream, &own)),
        );
        store.put("keyed.servers", &name, &format!(
            r#"{{"service":"wuno96b","address":"{at}","zone":"attica-a","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"sequence":4}}"#
        ));
    }
    let zones = ["attica-a", "attica-b", "attica-c"];
    let register = |name: &str, at: SocketAddr, zone: &str| {
        store.put("keyed.servers", name, &format!(
            r#"{{"service":"huvo11a","address":"{at}","zone":"{zone}","version":"v1","slots":128,"state":"ready","coldLeftMs":0,"stage":"colocated","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":4}}"#
        ));
    };
    let engines: Vec<(Engine, Arc<Mutex<Run>>)> = (0..ENGINES)
        .map(|number| {
            let id = format!("i-model-{number}-0");
            let run = Arc::new(Mutex::new(Run { id: id.clone(), known: BTreeSet::new() }));
            let (own, reads) = (run.clone(), Mutex::new(()));
            let engine = Engine::start(
                SocketAddr::new(node::host(201 + number as u8), 0),
                Arc::new(move |request, stream| serve_model(request, stream, &own, &reads)),
            );
            register(&id, engine.address, zones[number % 3]);
            (engine, run)
        })
        .collect();
    let hosts: Vec<IpAddr> = (1..=MACHINES as u8).map(node::host).collect();
    let start_all = || -> Vec<Node> {
        let start = |(number, host): (usize, &IpAddr)| {
            let zone = zones[number % 3];
            let name = format!("front-{zone}-{}", number / 3 + 1);
            Node::start(&folder, &name, zone, *host, &hosts[..3], store.address, node::SMALL)
        };
        hosts.iter().enumerate().map(start).collect()
    };
    let mut machines = start_all();
    if !until(Duration::from_secs(20), || machines.iter().all(Node::is_ready)) {
        cannot_run("the machines aren't ready");
    }
    std::thread::sleep(Duration::from_secs(5));
    let callers: Arc<Vec<SocketAddr>> = Arc::new(machines.iter().map(Node::callers).collect());
    let start = Instant::now();
    let counted_from = KILL_AT + MACHINES_DOWN + RECOVER;
    let end = counted_from + COUNTED;
    // Time of each request, its kind, whether it was served, and what it got.
    type Results = Vec<(Duration, &'static str, bool, Vec<u16>)>;
    let results: Arc<Mutex<Results>> = Arc::default();
    let open = Arc::new(AtomicUsize::new(0));
    let (results_of, open_of) = (results.clone(), open.clone());
    let traffic = std::thread::spawn(move || {
        let mut due = [0.0f64; KINDS.len()];
        let mut number = 0;
        let mut last = Duration::ZERO;
        while start.elapsed() < end {
            let now = start.elapsed();
            for (kind, due) in KINDS.iter().zip(&mut due) {
                let factor = if now >= counted_from { kind.burst } else { 1.0 };
                *due += (now - last).as_secs_f64() * kind.per_s * factor;
                while *due >= 1.0 {
                    *due -= 1.0;
                    number += 1;
                    let (number, callers, results, open) = (number, callers.clone(), results_of.clone(), open_of.clone());
                    open.fetch_add(1, Ordering::Relaxed);
                    std::thread::spawn(move || {
                        let (served, seen) = request(&callers, kind, number);
                        record::line(&format!("consumer: {} {number}, sent at {:.3}, got {seen:?}, served: {served}", kind.name, now.as_secs_f64()));
                        if let Ok(mut results) = results.lock() {
                            results.push((now, kind.name, served, seen));
                        }
                        open.fetch_sub(1, Ordering::Relaxed);
                    });
                }
            }
            last = now;
            std::thread::sleep(Duration::from_millis(5));
        }
    });
    let mut silent: Vec<(Duration, String)> = Vec::new();
    for round in 1..=if trouble() { CRASHES } else { 0 } {
        let at = CALM + (DOWN + UP) * (round - 1);
        std::thread::sleep(at.saturating_sub(start.elapsed()));
        for (engine, run) in &engines {
            engine.crash();
            silent.push((start.elapsed(), run.lock().map(|run| run.id.clone()).unwrap_or_default()));
        }
        record::line(&format!("all engines crash, for the {round}. time"));
        std::thread::sleep((at + DOWN).saturating_sub(start.elapsed()));
        for (number, (engine, run)) in engines.iter().enumerate() {
            let id = format!("i-model-{number}-{round}");
            if let Ok(mut run) = run.lock() {
                *run = Run { id: id.clone(), known: BTreeSet::new() };
            }
            engine.restart();
            register(&id, engine.address, zones[number % 3]);
        }
        silent.retain(|(since, id)| {
            let lapsed = start.elapsed() >= *since + SILENCE;
            if lapsed {
                store.put("keyed.servers", id, "");
            }
            !lapsed
        });
    }
    record::line("all engines are up, and stay so");
    std::thread::sleep(KILL_AT.saturating_sub(start.elapsed()));
    for machine in &machines {
        machine.signal(node::SIGKILL);
    }
    record::line("SIGKILL to all machines");
    drop(std::mem::take(&mut machines));
    std::thread::sleep((KILL_AT + MACHINES_DOWN).saturating_sub(start.elapsed()));
    machines = start_all();
    record::line("all machines start again");
    while start.elapsed() < end {
        silent.retain(|(since, id)| {
            let lapsed = start.elapsed() >= *since + SILENCE;
            if lapsed {
                store.put("keyed.servers", id, "");
            }
            !lapsed
        });
        std::thread::sleep(Duration::from_millis(100));
    }
    let ready = machines.iter().filter(|machine| machine.is_ready()).count();
    let _ = traffic.join();
    until(Duration::from_secs(16), || open.load(Ordering::Relaxed) == 0);
    let results = results.lock().map(|results| results.clone()).unwrap_or_default();
    let share = |from: Duration, to: Duration| {
        let all: Vec<_> = results.iter().filter(|(at, ..)| *at >= from && *at < to).collect();
        (all.iter().filter(|(_, _, served, _)| *served).count(), all.len())
    };
    let (before, of_before) = share(Duration::ZERO, KILL_AT);
    let (after, of_after) = share(counted_from, end);
    for kind in &KINDS {
        let of: Vec<_> = results.iter().filter(|(at, name, ..)| *at >= counted_from && *name == kind.name).collect();
        let served = of.iter().filter(|(_, _, served, _)| *served).count();
        let refused = of.iter().filter(|(_, _, served, seen)| !served && seen.contains(&503)).count();
        record::say(&format!("{}: {served} of {} served after that, {refused} got 503", kind.name, of.len()));
    }
    record::say(&format!(
        "{before} of {of_before} requests were served before the final fault; of those sent later than {} s after the \
         machines were back {after} of {of_after}, with all engines up and {ready} of {MACHINES} machines ready",
        RECOVER.as_secs()
    ));
    if 4 * before < of_before {
        cannot_run("less than a quarter was served before the final fault");
    }
    let broken = 4 * after < of_after;
    let _ = std::fs::remove_dir_all(&folder);
    drop(machines);
    std::process::exit(i32::from(broken))
}
