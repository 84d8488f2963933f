//! An engine that crashes when it begins to write an answer to a prompt with certain parts. Its crash
//! breaks all its connections, and it accepts none until it is back.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::raw::{RawRequest, read_request};
use crate::server::lock;

/// How far the answer has come when the engine crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashMoment {
    /// Nothing was sent.
    BeforeHead,
    /// The head of the answer was sent.
    AfterHead,
    /// The head and the first event were sent.
    AfterEvent,
}

/// Properties of a fragile engine.
#[derive(Clone, Debug)]
pub struct FragileSettings {
    /// Identifiers of the parts that crash it at first, as in the requests' header.
    pub parts: BTreeSet<Box<str>>,
    /// Moment of the crash.
    pub moment: CrashMoment,
    /// Time to process a prompt.
    pub prefill: Duration,
    /// Number of events in a stream.
    pub events: u64,
    /// Time between two events.
    pub gap: Duration,
    /// Time for which it is gone after a crash.
    pub down: Duration,
}

/// What a fragile engine has counted.
#[derive(Clone, Debug, Default)]
pub struct FragileCount {
    /// Requests that it answered in full.
    pub answered: usize,
    /// Times at which requests with a crashing part arrived.
    pub crashing: Vec<Instant>,
    /// Times at which it crashed.
    pub crashes: Vec<Instant>,
}

struct FragileState {
    settings: FragileSettings,
    parts: Mutex<BTreeSet<Box<str>>>,
    count: Mutex<FragileCount>,
    /// Time until which the engine is gone. Each change breaks all connections.
    down_until: watch::Sender<Option<Instant>>,
}

impl FragileState {
    fn crash(&self) {
        let now = Instant::now();
        lock(&self.count).crashes.push(now);
        self.down_until.send_replace(Some(now + self.settings.down));
    }

    fn is_down(&self) -> bool {
        self.down_until
            .borrow()
            .is_some_and(|until| Instant::now() < until)
    }
}

/// Handle of a running fragile engine. Dropping it stops the engine.
pub struct FragileEngine {
    address: SocketAddr,
    state: Arc<FragileState>,
    _task: JoinSet<()>,
}

impl FragileEngine {
    /// Starts an engine on a free port.
    pub async fn start(settings: FragileSettings) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(FragileState {
            parts: Mutex::new(settings.parts.clone()),
            settings,
            count: Mutex::default(),
            down_until: watch::channel(None).0,
        });
        let shared = state.clone();
        let mut task = JoinSet::new();
        task.spawn(async move {
            let mut served = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                served.spawn(serve(stream, shared.clone()));
            }
        });
        Ok(Self {
            address,
            state,
            _task: task,
        })
    }

    /// Listen address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it has counted so far.
    pub fn count(&self) -> FragileCount {
        lock(&self.state.count).clone()
    }

    /// Changes which parts crash it.
    pub fn set_parts(&self, parts: &[&str]) {
        *lock(&self.state.parts) = parts.iter().map(|part| (*part).into()).collect();
    }

    /// Crashes the engine whatever it runs.
    pub fn crash(&self) {
        self.state.crash();
    }
}

async fn serve(mut stream: TcpStream, state: Arc<FragileState>) {
    let mut crashes = state.down_until.subscribe();
    if !state.is_down() {
        tokio::select! {
            () = answer_all(&mut stream, &state) => return,
            _ = crashes.changed() => {}
        }
    }
    // If this fails, the connection is closed gracefully instead of reset.
    let _ = stream.set_zero_linger();
}

async fn answer_all(stream: &mut TcpStream, state: &FragileState) {
    let mut buffered = Vec::new();
    while let Ok(Some(request)) = read_request(stream, &mut buffered).await {
        if answer(stream, state, &request).await.is_err() {
            return;
        }
    }
}

async fn answer(
    stream: &mut TcpStream,
    state: &FragileState,
    request: &RawRequest,
) -> io::Result<()> {
    let settings = &state.settings;
    let crashes = crashes(&lock(&state.parts), request);
    if crashes {
        lock(&state.count).crashing.push(Instant::now());
    }
    sleep(settings.prefill).await;
    let crash_at = |moment: CrashMoment| {
        if crashes && settings.moment == moment {
            state.crash();
        }
    };
    crash_at(CrashMoment::BeforeHead);
    tokio::task::yield_now().await;
    let id = request.header("x-attempt-id");
    let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: sealed-{id}\r\n");
    if is_plain(request) {
        let framing = "Content-Length: 5\r\n\r\n";
        stream
            .write_all(format!("{head}{framing}").as_bytes())
            .await?;
        crash_at(CrashMoment::AfterHead);
        sleep(settings.gap).await;
        crash_at(CrashMoment::AfterEvent);
        stream.write_all(b"whole").await?;
    } else {
        let framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream
            .write_all(format!("{head}{framing}").as_bytes())
            .await?;
        crash_at(CrashMoment::AfterHead);
        let first = request.header("last-event-id").parse().unwrap_or(0) + 1;
        for event in first..=settings.events {
            sleep(settings.gap).await;
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            stream.write_all(chunk.as_bytes()).await?;
            if event == first {
                sleep(settings.gap).await;
                crash_at(CrashMoment::AfterEvent);
                tokio::task::yield_now().await;
            }
        }
        stream.write_all(b"0\r\n\r\n").await?;
    }
    lock(&state.count).answered += 1;
    Ok(())
}

/// Whether any part of the prompt but the last is one that crashes the engine.
fn crashes(parts: &BTreeSet<Box<str>>, request: &RawRequest) -> bool {
    let prompt = request.header("x-prompt-prefix").split(',');
    let mut ids: Vec<&str> = prompt
        .filter_map(|part| part.trim().split(':').next())
        .collect();
    ids.pop();
    ids.iter().any(|id| parts.contains(*id))
}

fn is_plain(request: &RawRequest) -> bool {
    ["/safe/", "/once/"]
        .iter()
        .any(|prefix| request.target.starts_with(prefix))
}
