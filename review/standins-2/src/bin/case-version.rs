//! The engines of a service fall over, and are back a moment later under their ids with another version
//! of their software. Consumers take their streams up again.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use review_standins_2::engine::{answer, Engine};
use review_standins_2::http::{self, Request, Wire};
use review_standins_2::node::{self, Node};
use review_standins_2::store::Store;
use review_standins_2::{cannot_run, record, trouble, until};

/// A configuration with the first sheet's `lease-digest` route.
const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-lease","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"stream","timeoutMs":15000,"targetLatencyMs":2500,"priority":2,"service":"kaituhi","maxAttempts":2,"public":false,"sticky":true,"canResume":true,"gapTargetMs":1200}],"services":[{"name":"kaituhi","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":463972,"kvTokenBytes":18432,"linkMbps":180000.0,"stride":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;
const ENGINES: usize = 2;
const STREAMS: usize = 20;
const EVENTS: u64 = 60;
const PAUSE: Duration = Duration::from_millis(150);
/// Time for which the streams run before the engines fall over, for which the engines are away, and from
/// their start to the first entry that they write (`heartbeatMs` is 1,200).
const RUN: Duration = Duration::from_millis(4500);
const AWAY: Duration = Duration::from_millis(400);
const FIRST_ENTRY: Duration = Duration::from_millis(600);
/// Time after which a consumer takes a broken stream up.
const TAKE_UP: Duration = Duration::from_millis(600);

struct State {
    id: String,
    version: AtomicUsize,
    born: AtomicU64,
}

fn serve(request: &Request, stream: &mut TcpStream, state: &State) -> bool {
    let id = request.header("x-attempt-id").unwrap_or("").to_string();
    match request.path() {
        "/healthz" => return answer(stream, "200 OK", &format!("X-Instance-Id: {}\r\n", state.id), ""),
        "/kv-list" => return answer(stream, "200 OK", "", "{\"epoch\":1,\"next\":0,\"held\":[]}"),
        "/report" => {
            let born = state.born.load(Ordering::SeqCst);
            let version = state.version.load(Ordering::SeqCst);
            let body = format!(
                r#"{{"stage":"colocated","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"sequence":1,"queued":0,"running":0,"kvUsed":0,"kvTotal":463972,"handles":0,"version":"v{version}","born":{born}}}"#
            );
            return answer(stream, "200 OK", &format!("X-Instance-Id: {}\r\n", state.id), &body);
        }
        "/kv-events" => return answer(stream, "404 Not Found", "", "{}"),
        _ => {}
    }
    if request.header("x-expect-instance").is_some_and(|expected| expected != state.id) {
        return answer(stream, "421 Misdirected Request", &format!("X-Instance-Id: {}\r\n", state.id), "");
    }
    let version = state.version.load(Ordering::SeqCst);
    let after = request.header("last-event-id").and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    record::line(&format!("engine {} (software v{version}) runs {id}, from event {}", state.id, after + 1));
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s-{id}\r\nX-Weight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for event in after + 1..=EVENTS {
        // The version is in the event so that the case can see who wrote it.
        let text = format!("id: {event}\ndata: written by v{version}\n\n");
        if stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_err() {
            return false;
        }
        std::thread::sleep(PAUSE);
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

#[derive(Default)]
struct Got {
    status: u16,
    last: u64,
    versions: Vec<String>,
    complete: bool,
}

fn attempt(address: SocketAddr, id: &str, resumes: Option<(&str, u64)>, left: Duration) -> Got {
    let more = resumes.map_or(String::new(), |(first, after)| format!("Last-Event-Id: {after}\r\nResumes: {first}\r\n"));
    let request = format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Counts: 700,360\r\nX-Prompt-Prefix: 5c1e07a2:600,{:x}:100\r\nX-Deadline-Ms: {}\r\n\
         X-Key: n2ctnfzs989anu6wsjnb\r\n{more}Content-Length: 4\r\n\r\nbody",
        id.bytes().fold(17u64, |sum, byte| sum * 31 % 0xffff_ffff + u64::from(byte)),
        left.as_millis()
    );
    let mut got = Got { last: resumes.map_or(0, |(_, after)| after), ..Got::default() };
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return got };
    if stream.write_all(request.as_bytes()).is_err() {
        return got;
    }
    let answer = http::read_answer(&mut Wire::new(stream), left, &mut |piece| {
        for line in String::from_utf8_lossy(piece).lines() {
            if let Some(number) = line.strip_prefix("id: ").and_then(|text| text.parse().ok()) {
                got.last = number;
            }
            if let Some(version) = line.strip_prefix("data: written by ") {
                if got.versions.last().map(|last| &**last) != Some(version) {
                    got.versions.push(version.into());
                }
            }
        }
    });
    got.status = answer.status;
    got.complete = answer.complete && answer.status == 200;
    got
}

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".into());
    record::open(&path);
    let folder = node::folder("case-version");
    let store = Store::start(SocketAddr::new(node::host(200), 0));
    store.put("keyed.op", "config", CONFIG);
    let born = || SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
    let write_entry = |engine: &Engine, state: &State, sequence: u64| {
        let born = state.born.load(Ordering::SeqCst);
        store.put("keyed.servers", &state.id, &format!(
            r#"{{"service":"kaituhi","address":"{}","zone":"akl-east","version":"v{}","slots":64,"state":"ready","coldLeftMs":0,"stage":"colocated","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{born}}}"#,
            engine.address, state.version.load(Ordering::SeqCst)
        ));
        record::line(&format!("engine {} writes its entry: software v{}", state.id, state.version.load(Ordering::SeqCst)));
    };
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let state = Arc::new(State { id: format!("i-{number}"), version: AtomicUsize::new(1), born: AtomicU64::new(born()) });
        let own = state.clone();
        let engine = Engine::start(
            SocketAddr::new(node::host(201 + number as u8), 0),
            Arc::new(move |request, stream| serve(request, stream, &own)),
        );
        write_entry(&engine, &state, 4);
        engines.push((engine, state));
    }
    let hosts = [node::host(1), node::host(2)];
    let machines: Vec<Node> = hosts
        .iter()
        .enumerate()
        .map(|(number, host)| Node::start(&folder, &format!("front-akl-east-{}", number + 1), "akl-east", *host, &hosts, store.address, node::SMALL))
        .collect();
    if !until(Duration::from_secs(20), || machines.iter().all(Node::is_ready)) {
        cannot_run("the machines aren't ready");
    }
    std::thread::sleep(Duration::from_secs(5));
    let fronts = [machines[0].callers(), machines[1].callers()];
    let streams: Arc<Mutex<Vec<Vec<String>>>> = Arc::default();
    let start = Instant::now();
    let threads: Vec<_> = (0..STREAMS)
        .map(|number| {
            let streams = streams.clone();
            std::thread::spawn(move || {
                let id = format!("a{number}");
                let limit = Duration::from_secs(15);
                let since = Instant::now();
                let first = attempt(fronts[number % 2], &id, None, limit);
                record::line(&format!("consumer: {id} got events up to {} of {:?}, complete: {}", first.last, first.versions, first.complete));
                let mut versions = first.versions;
                if !first.complete && first.last > 0 {
                    std::thread::sleep(TAKE_UP);
                    let again = format!("b{number}");
                    let left = limit.saturating_sub(since.elapsed());
                    record::line(&format!("consumer takes {id} up as {again} after event {}", first.last));
                    let second = attempt(fronts[number % 2], &again, Some((&id, first.last)), left);
                    record::line(&format!("consumer: {again} got {}, events up to {} of {:?}, complete: {}", second.status, second.last, second.versions, second.complete));
                    versions.extend(second.versions);
                }
                versions.sort();
                versions.dedup();
                if let Ok(mut streams) = streams.lock() {
                    streams.push(versions);
                }
            })
        })
        .collect();
    std::thread::sleep(RUN.saturating_sub(start.elapsed()));
    if trouble() {
        record::line("the engines fall over");
        for (engine, _) in &engines {
            engine.crash();
        }
        std::thread::sleep(AWAY);
        for (engine, state) in &engines {
            state.version.store(2, Ordering::SeqCst);
            state.born.store(born(), Ordering::SeqCst);
            engine.restart();
            record::line(&format!("engine {} is back under its id with software v2", state.id));
        }
        std::thread::sleep(FIRST_ENTRY);
        for (engine, state) in &engines {
            write_entry(engine, state, 1);
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    let streams = streams.lock().map(|streams| streams.clone()).unwrap_or_default();
    let mixed = streams.iter().filter(|versions| versions.len() > 1).count();
    record::say(&format!("{mixed} of {} streams hold events of two software versions", streams.len()));
    let _ = std::fs::remove_dir_all(&folder);
    drop(machines);
    std::process::exit(i32::from(mixed > 2))
}
