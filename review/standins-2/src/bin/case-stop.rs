//! A machine is stopped (SIGTERM) while requests wait in it for a server with room.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins_2::http::{self, Request};
use review_standins_2::node::{self, Node};
use review_standins_2::store::Store;
use review_standins_2::{cannot_run, record, trouble, until};

/// A configuration with the route of the first sheet's `lease-digest`.
const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-lease","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"stream","timeoutMs":15000,"targetLatencyMs":2500,"priority":2,"service":"kaituhi","maxAttempts":2,"public":false,"sticky":true,"canResume":true,"gapTargetMs":1200}],"services":[{"name":"kaituhi","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":2,"kvCapacity":463972,"kvTokenBytes":18432,"linkMbps":180000.0,"stride":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;
/// Time for which a full server wants nothing more from a machine that it has turned away.
const RETRY_AFTER_S: &str = "1";
/// Number of waiting requests, and the time between two of them.
const REQUESTS: usize = 24;
const GAP: Duration = Duration::from_millis(120);
/// The stop comes so long after the first waiting request.
const STOP_AFTER: Duration = Duration::from_millis(750);

fn small_answer(stream: &mut TcpStream, status: &str, more: &str, body: &str) -> bool {
    let text = format!("HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).is_ok()
}

/// What servers say of themselves, besides requests.
fn by_itself(request: &Request, stream: &mut TcpStream, id: &str) -> Option<bool> {
    match request.path() {
        "/healthz" => Some(small_answer(stream, "200 OK", &format!("X-Instance-Id: {id}\r\n"), "")),
        "/kv-list" => Some(small_answer(stream, "200 OK", "", "{\"epoch\":1,\"next\":0,\"held\":[]}")),
        "/report" | "/kv-events" => Some(small_answer(stream, "404 Not Found", "", "{}")),
        _ => None,
    }
}

/// A server that is full: it turns each request away, as not run.
fn full(request: &Request, stream: &mut TcpStream) -> bool {
    if let Some(open) = by_itself(request, stream, "i-full") {
        return open;
    }
    let id = request.header("x-attempt-id").unwrap_or("").to_string();
    record::line(&format!("server i-full turns {id} away: 503, X-Not-Executed, Retry-After {RETRY_AFTER_S}"));
    small_answer(
        stream,
        "503 Service Unavailable",
        &format!("X-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nRetry-After: {RETRY_AFTER_S}\r\n"),
        "",
    )
}

/// A server that runs each request it gets, an event a half second.
fn busy(request: &Request, stream: &mut TcpStream, runs: &Mutex<Vec<String>>) -> bool {
    if let Some(open) = by_itself(request, stream, "i-busy") {
        return open;
    }
    let id = request.header("x-attempt-id").unwrap_or("").to_string();
    record::line(&format!("server i-busy runs {id}"));
    if let Ok(mut runs) = runs.lock() {
        runs.push(id.clone());
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s-{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut alive = stream.write_all(head.as_bytes()).is_ok();
    let events = if id.starts_with("long") { 26 } else { 2 };
    for event in 1..=events {
        let text = format!("id: {event}\ndata: piece\n\n");
        alive = alive && stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok();
        if !alive {
            record::line(&format!("server i-busy: the channel of {id} is closed"));
            return false;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    record::line(&format!("server i-busy has run {id} to its end"));
    stream.write_all(b"0\r\n\r\n").is_ok()
}

fn request(id: &str) -> String {
    format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Counts: 300,12\r\nX-Prompt-Prefix: 5c1e07a2:200,{:x}:100\r\nX-Deadline-Ms: 15000\r\n\
         X-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: 4\r\n\r\nbody",
        0x1000 + id.len() as u64 * 7919 + id.bytes().map(u64::from).sum::<u64>()
    )
}

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".into());
    record::open(&path);
    let folder = node::folder("case-stop");
    let store = Store::start(SocketAddr::new(node::host(200), 0));
    let full_at = http::serve(SocketAddr::new(node::host(201), 0), Arc::new(full));
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let known = runs.clone();
    let busy_at = http::serve(
        SocketAddr::new(node::host(202), 0),
        Arc::new(move |request, stream| busy(request, stream, &known)),
    );
    store.put("keyed.op", "config", CONFIG);
    let register = |id: &str, at: SocketAddr, sequence: u64| {
        store.put("keyed.servers", id, &format!(
            r#"{{"service":"kaituhi","address":"{at}","zone":"akl-east","version":"v1","slots":2,"state":"ready","coldLeftMs":0,"stage":"colocated","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence}}}"#
        ));
    };
    register("i-full", full_at, 1);
    register("i-busy", busy_at, 1);
    let host = node::host(1);
    let machine = Node::start(&folder, "front-akl-east-1", "akl-east", host, &[host], store.address, node::SMALL);
    if !until(Duration::from_secs(20), || machine.is_ready()) {
        cannot_run("the machine isn't ready");
    }
    std::thread::sleep(Duration::from_secs(4));
    let address = machine.callers();
    let clients: Arc<Mutex<Vec<(String, http::Answer)>>> = Arc::default();
    let mut threads = Vec::new();
    let mut ask = |id: String| {
        let clients = clients.clone();
        threads.push(std::thread::spawn(move || {
            record::line(&format!("client sends {id}"));
            let answer = http::exchange(address, request(&id).as_bytes(), Duration::from_secs(20));
            record::line(&format!(
                "client: {id} ends after {:.3} s with {}",
                answer.took.as_secs_f64(),
                match (answer.status, answer.complete) {
                    (0, _) => "a closed channel and no answer".into(),
                    (status, true) => format!("{status}"),
                    (status, false) => format!("{status}, cut off"),
                }
            ));
            if let Ok(mut clients) = clients.lock() {
                clients.push((id, answer));
            }
        }));
    };
    // Two long streams take the slots of the one server that serves.
    ask("long-1".into());
    ask("long-2".into());
    let running = || runs.lock().map_or(0, |runs| runs.len()) == 2;
    if !until(Duration::from_secs(8), running) {
        cannot_run("the long streams don't run");
    }
    // The other server has turned them, or this one, away, and the machine leaves it alone for a while.
    std::thread::sleep(Duration::from_millis(500));
    let start = Instant::now();
    let mut stopped = false;
    for number in 0..REQUESTS {
        ask(format!("wait-{number}"));
        std::thread::sleep(GAP);
        if trouble() && !stopped && start.elapsed() >= STOP_AFTER {
            stopped = true;
            record::line("SIGTERM to the machine (grace time 8 s)");
            machine.signal(node::SIGTERM);
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    let runs = runs.lock().map(|runs| runs.clone()).unwrap_or_default();
    let clients = clients.lock().map(|clients| clients.clone()).unwrap_or_default();
    let lost: Vec<&str> = clients
        .iter()
        .filter(|(id, answer)| answer.status == 0 && !runs.contains(id))
        .map(|(id, _)| &**id)
        .collect();
    let answered = clients.iter().filter(|(id, answer)| id.starts_with("wait") && answer.complete).count();
    record::say(&format!(
        "{answered} of {REQUESTS} waiting requests got a complete answer; {} ended with a closed channel and no answer, \
         though no server was at work on them: {lost:?}",
        lost.len()
    ));
    let refused = clients.iter().any(|(id, answer)| id.starts_with("wait") && answer.status == 0 && answer.took < Duration::from_millis(100));
    if refused {
        record::say("(some of them could not connect)");
    }
    let _ = std::fs::remove_dir_all(&folder);
    drop(machine);
    std::process::exit(i32::from(!lost.is_empty()))
}
