//! Stand-in for a model engine that streams events, and that may be restarted in place.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Head};
use crate::record::Record;
use crate::store::{BEAT, Store};

/// Number of events in a stream.
pub const EVENTS: u64 = 40;
/// Time between two events.
const GAP: Duration = Duration::from_millis(60);

/// Beginning of the body of a request that crashes the engine that begins to run it.
pub const POISON: &[u8] = b"crash";

/// What stays the same over all starts of an engine.
#[derive(Clone, Debug)]
pub struct Place {
    /// Id in the store.
    pub id: String,
    /// Service that it serves.
    pub service: String,
    /// Zone that it runs in.
    pub zone: String,
    /// Address on which it listens.
    pub address: SocketAddr,
}

/// One start of an engine.
#[derive(Clone)]
pub struct Engine {
    place: Place,
    version: u32,
    born: u64,
    alive: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    runs: Arc<AtomicU64>,
    record: Record,
}

impl Engine {
    /// Starts an engine: it listens, writes its entry at once and then at each interval.
    pub fn start(place: &Place, version: u32, store: &Store, record: &Record) -> Self {
        let until = Instant::now() + Duration::from_secs(5);
        let listener = loop {
            match TcpListener::bind(place.address) {
                Ok(listener) => break listener,
                Err(error) if Instant::now() > until => panic!("{}: {error}", place.address),
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        listener.set_nonblocking(true).expect("a listener");
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let engine = Self {
            place: place.clone(),
            version,
            born: since.expect("the time of day").as_millis() as u64,
            alive: Arc::new(AtomicBool::new(true)),
            connections: Arc::default(),
            runs: Arc::default(),
            record: record.clone(),
        };
        store.beat(&place.id, &engine.entry(1));
        record.line(&format!(
            "engine {} starts with version v{version}",
            place.id
        ));
        let accepting = engine.clone();
        thread::spawn(move || accepting.accept(&listener));
        let (beating, store) = (engine.clone(), store.clone());
        thread::spawn(move || {
            let mut sequence = 1;
            let mut next = Instant::now() + BEAT;
            while beating.alive.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(10));
                if Instant::now() >= next && beating.alive.load(Ordering::SeqCst) {
                    sequence += 1;
                    next += BEAT;
                    store.beat(&beating.place.id, &beating.entry(sequence));
                }
            }
        });
        engine
    }

    /// Ends the process of the engine: all its connections break, and it writes nothing more.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        for stream in self.connections.lock().expect("connections").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let id = &self.place.id;
        self.record
            .line(&format!("engine {id} of version v{} crashes", self.version));
    }

    /// Returns whether the engine runs.
    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    fn entry(&self, sequence: u64) -> String {
        let Place {
            service,
            zone,
            address,
            ..
        } = &self.place;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v{}\",\
             \"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"colocated\",\"models\":\
             [{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{}}}",
            self.version, self.born
        )
    }

    fn accept(&self, listener: &TcpListener) {
        while self.alive.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            if let Ok(kept) = stream.try_clone() {
                self.connections.lock().expect("connections").push(kept);
            }
            let engine = self.clone();
            thread::spawn(move || {
                let _ = engine.serve(stream);
            });
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head)?;
            let own = [("X-Instance-Id", self.place.id.as_str())];
            match head.target() {
                "/healthz" => http::answer(&mut writer, "200 OK", &own, b"")?,
                "/kv-list" => {
                    let list = b"{\"epoch\":1,\"next\":0,\"held\":[]}";
                    http::answer(&mut writer, "200 OK", &own, list)?;
                }
                _ if head
                    .get("x-expect-instance")
                    .is_some_and(|id| id != self.place.id) =>
                {
                    http::answer(&mut writer, "421 Misdirected Request", &own, b"")?;
                }
                _ if body.starts_with(POISON) => {
                    let attempt = head.get("x-attempt-id").unwrap_or_default();
                    self.record.line(&format!(
                        "{attempt} reaches {} and crashes it",
                        self.place.id
                    ));
                    self.crash();
                    return Ok(());
                }
                _ => self.run(&mut writer, &head)?,
            }
        }
        Ok(())
    }

    fn run(&self, writer: &mut TcpStream, head: &Head) -> io::Result<()> {
        let attempt = head.get("x-attempt-id").unwrap_or_default();
        let after = head.get("last-event-id").and_then(|text| text.parse().ok());
        let after: u64 = after.unwrap_or(0);
        self.runs.fetch_add(1, Ordering::SeqCst);
        let id = &self.place.id;
        self.record.line(&format!(
            "engine {id} of version v{} runs {attempt} after event {after}",
            self.version
        ));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Attempt-Id: {attempt}\r\nX-Response-Seal: {attempt}.{id}\r\nX-Weight-Versions: 1\r\n\r\n"
        );
        writer.write_all(answer.as_bytes())?;
        for event in after + 1..=EVENTS {
            thread::sleep(GAP);
            let text = format!("id: {event}\ndata: v{} {id}\n\n", self.version);
            write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
