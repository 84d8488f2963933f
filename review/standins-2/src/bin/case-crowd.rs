//! Clients that aren't under control send chunked bodies to one machine, most stop short of their
//! end, and stay open. Ordinary callers come meanwhile.
//!
//! `case-crowd RECORD small`: in very small chunks; `case-crowd RECORD large`: in large ones.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins_2::http::{self, Request};
use review_standins_2::node::{self, Node};
use review_standins_2::store::Store;
use review_standins_2::{cannot_run, record, trouble, until};

/// A configuration with the routes of the first sheet's plain requests, and the usual limits.
const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-alert","host":"ficu95.example","pathPrefix":"/cufi504/","kind":"idempotent","timeoutMs":800,"targetLatencyMs":100,"priority":2,"service":"pouaka","maxAttempts":2,"public":false,"sticky":false,"canResume":false},{"name":"r-confirm","host":"ficu95.example","pathPrefix":"/puxa403/","kind":"non_idempotent","timeoutMs":800,"targetLatencyMs":100,"priority":2,"service":"pouaka","maxAttempts":1,"public":false,"sticky":false,"canResume":false}],"services":[{"name":"pouaka","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;
/// Clients of the crowd, and the time between two chunks of each.
const CROWD: usize = 3200;
const PACE: Duration = Duration::from_millis(500);

/// What each client of the crowd sends before it stops short.
#[derive(Clone, Copy)]
struct Body {
    chunk_bytes: usize,
    chunks: usize,
}

/// One byte each half second, for 14 s of the 15 s that the limits allow.
const SMALL: Body = Body { chunk_bytes: 1, chunks: 28 };
/// One chunk of 16 kB.
const LARGE: Body = Body { chunk_bytes: 16_200, chunks: 1 };
/// A machine of the grown deployments.
const GROWN: node::Machine = node::Machine { descriptors: 4100, memory_mb: 160 };
/// Time for which the crowd is there, and the window in which ordinary callers are counted.
const PLAYED: Duration = Duration::from_secs(40);
const WINDOW: Duration = Duration::from_secs(10);

fn serve(request: &Request, stream: &mut TcpStream) -> bool {
    let id = request.header("x-attempt-id").unwrap_or("").to_string();
    std::thread::sleep(Duration::from_millis(15));
    let body = "x".repeat(800);
    let text = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s-{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// One client of the crowd.
struct Client {
    stream: TcpStream,
    sent: usize,
    next_at: Instant,
}

/// Opens a connection and sends a head, as a legal caller would.
fn open(address: SocketAddr, number: usize, spread: u32) -> Option<Client> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok()?;
    let head = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: crowd-{number}\r\n\
         X-Key: n2ctnfzs989anu6wsjnb\r\nX-Deadline-Ms: 60000\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(Client { stream, sent: 0, next_at: Instant::now() + PACE * spread / 16 })
}

impl Client {
    /// Sends what is due; false once the machine has closed the connection or answered.
    fn step(&mut self, now: Instant, body: Body, chunk: &[u8]) -> bool {
        match self.stream.read(&mut [0; 1024]) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            _ => return false,
        }
        if self.sent < body.chunks && now >= self.next_at {
            self.next_at = now + PACE;
            self.sent += 1;
            return match self.stream.write(chunk) {
                Ok(_) => true,
                Err(error) => error.kind() == ErrorKind::WouldBlock,
            };
        }
        true
    }
}

fn crowd(address: SocketAddr, body: Body, over: &AtomicBool, open_now: &AtomicUsize) {
    let mut chunk = format!("{:x}\r\n", body.chunk_bytes).into_bytes();
    chunk.extend(std::iter::repeat(b'x').take(body.chunk_bytes));
    chunk.extend_from_slice(b"\r\n");
    let mut clients: Vec<Client> = Vec::new();
    let mut number = 0;
    while !over.load(Ordering::Relaxed) {
        let now = Instant::now();
        clients.retain_mut(|client| client.step(now, body, &chunk));
        for _ in 0..400 {
            if clients.len() >= CROWD {
                break;
            }
            number += 1;
            match open(address, number, (number % 16) as u32) {
                Some(client) => clients.push(client),
                None => break,
            }
        }
        open_now.store(clients.len(), Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Sends an ordinary request, and repeats it once on a new channel if it fails. Returns what came.
fn ordinary(address: SocketAddr, number: usize) -> [u16; 2] {
    let mut seen = [0; 2];
    for (attempt, status) in seen.iter_mut().enumerate() {
        let request = format!(
            "GET /cufi504/fi50/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: alert-{number}-{attempt}\r\n\
             X-Deadline-Ms: 1500\r\nX-Key: n2ctnfzs989anu6wsjnb\r\n\r\n"
        );
        let answer = http::exchange(address, request.as_bytes(), Duration::from_millis(750));
        *status = if answer.complete { answer.status } else { 0 };
        if *status == 200 {
            break;
        }
    }
    seen
}

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".into());
    record::open(&path);
    let (body, limits) = match std::env::args().nth(2).as_deref() {
        Some("large") => (LARGE, GROWN),
        _ => (SMALL, node::SMALL),
    };
    let folder = node::folder("case-crowd");
    let store = Store::start(SocketAddr::new(node::host(200), 0));
    let server = http::serve(SocketAddr::new(node::host(201), 0), Arc::new(serve));
    store.put("keyed.op", "config", CONFIG);
    store.put("keyed.servers", "i-7f3a91c2", &format!(
        r#"{{"service":"pouaka","address":"{server}","zone":"akl-east","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"sequence":4}}"#
    ));
    let host = node::host(1);
    let mut machine = Node::start(&folder, "front-akl-east-1", "akl-east", host, &[host], store.address, limits);
    if !until(Duration::from_secs(20), || machine.is_ready()) {
        cannot_run("the machine isn't ready");
    }
    std::thread::sleep(Duration::from_secs(2));
    let address = machine.callers();
    if ordinary(address, 0)[0] != 200 {
        cannot_run("no ordinary request is served in calm");
    }
    let over = Arc::new(AtomicBool::new(false));
    let open_now = Arc::new(AtomicUsize::new(0));
    let presses = trouble().then(|| {
        let (over, open_now) = (over.clone(), open_now.clone());
        std::thread::spawn(move || crowd(address, body, &over, &open_now))
    });
    let start = Instant::now();
    let results: Arc<Mutex<Vec<(Duration, bool)>>> = Arc::default();
    let mut threads = Vec::new();
    let mut number = 0;
    let mut ended = false;
    let mut held = 0;
    let (mut checks, mut ready) = (0, 0);
    while start.elapsed() < PLAYED {
        number += 1;
        let results = results.clone();
        threads.push(std::thread::spawn(move || {
            let at = start.elapsed();
            let seen = ordinary(address, number);
            record::line(&format!("ordinary request {number}: {seen:?} (0: no answer)"));
            if let Ok(mut results) = results.lock() {
                results.push((at, seen.contains(&200)));
            }
        }));
        if number % 10 == 0 {
            checks += 1;
            let is_ready = machine.is_ready();
            ready += usize::from(is_ready);
            record::line(&format!("GET /readyz: {}", if is_ready { "200" } else { "not ready" }));
        }
        if number % 20 == 0 {
            record::line(&format!(
                "the crowd has {} channels; the process holds {} kB, {held} kB at most",
                open_now.load(Ordering::Relaxed),
                machine.anonymous_kb().unwrap_or(0)
            ));
        }
        ended |= machine.has_ended();
        held = held.max(machine.anonymous_kb().unwrap_or(0));
        std::thread::sleep(Duration::from_millis(100));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let peak = machine.peak_kb().unwrap_or(0);
    over.store(true, Ordering::Relaxed);
    if let Some(presses) = presses {
        let _ = presses.join();
    }
    let results = results.lock().map(|results| results.clone()).unwrap_or_default();
    let worst = results
        .iter()
        .filter(|(at, _)| *at + WINDOW <= PLAYED)
        .map(|(from, _)| {
            let inside: Vec<bool> = results
                .iter()
                .filter(|(at, _)| at >= from && *at < *from + WINDOW)
                .map(|(_, served)| *served)
                .collect();
            let served = inside.iter().filter(|served| **served).count();
            (served as f64 / inside.len().max(1) as f64, served, inside.len(), *from)
        })
        .min_by(|one, other| one.0.total_cmp(&other.0))
        .unwrap_or((1.0, 0, 0, Duration::ZERO));
    let served = results.iter().filter(|(_, served)| *served).count();
    record::say(&format!(
        "{served} of {} ordinary requests were answered; in the worst {} s, from {:.1} s on, {} of {}; \
         ready at {ready} of {checks} checks; \
         memory {held} kB at most without what files back, {peak} kB with it, of {} kB; the process {}",
        results.len(),
        WINDOW.as_secs(),
        worst.3.as_secs_f64(),
        worst.1,
        worst.2,
        limits.memory_mb << 10,
        if ended { "ended" } else { "lives" }
    ));
    let _ = std::fs::remove_dir_all(&folder);
    drop(machine);
    std::process::exit(i32::from(worst.0 < 0.25 || ended || peak > limits.memory_mb << 10))
}
