//! A brittle service: it queues nothing, says in each answer how many requests a second it can turn
//! away for want of room, and falls over when it has to turn away more.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::raw::{RawRequest, read_request};
use crate::server::lock;

/// Window in which refusals are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Properties of a brittle service.
#[derive(Clone, Copy, Debug)]
pub struct BrittleSettings {
    /// Requests that it processes at once.
    pub slots: usize,
    /// Duration of each request.
    pub work: Duration,
    /// Requests that it can turn away in a second.
    pub refusals: usize,
    /// Time for which it is gone after it fell over.
    pub down: Duration,
}

/// What a brittle service has counted.
#[derive(Clone, Debug, Default)]
pub struct BrittleCount {
    /// Requests that it answered.
    pub answered: usize,
    /// Requests that it turned away.
    pub refused: usize,
    /// Times that it fell over.
    pub falls: usize,
}

#[derive(Debug, Default)]
struct BrittleState {
    running: usize,
    refused_at: VecDeque<Instant>,
    down_until: Option<Instant>,
    count: BrittleCount,
}

impl BrittleState {
    fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    /// Counts a refusal, under which the service may fall over.
    fn refuse(&mut self, settings: BrittleSettings) {
        let now = Instant::now();
        self.count.refused += 1;
        self.refused_at.push_back(now);
        self.refused_at.retain(|at| *at + WINDOW > now);
        if self.refused_at.len() > settings.refusals {
            self.count.falls += 1;
            self.down_until = Some(now + settings.down);
            self.refused_at.clear();
        }
    }
}

/// Handle of a running brittle service. Dropping it stops the service.
pub struct BrittleService {
    address: SocketAddr,
    state: Arc<Mutex<BrittleState>>,
    _task: JoinSet<()>,
}

impl BrittleService {
    /// Starts a service on a free port.
    pub async fn start(settings: BrittleSettings) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(BrittleState::default()));
        let shared = state.clone();
        let mut task = JoinSet::new();
        task.spawn(async move {
            let mut served = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                served.spawn(serve(stream, shared.clone(), settings));
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
    pub fn count(&self) -> BrittleCount {
        lock(&self.state).count.clone()
    }
}

async fn serve(mut stream: TcpStream, state: Arc<Mutex<BrittleState>>, settings: BrittleSettings) {
    let mut buffered = Vec::new();
    while let Ok(Some(request)) = read_request(&mut stream, &mut buffered).await {
        if lock(&state).is_down() {
            return;
        }
        let has_room = {
            let mut state = lock(&state);
            let has_room = state.running < settings.slots;
            if has_room {
                state.running += 1;
            } else {
                state.refuse(settings);
            }
            has_room
        };
        if has_room {
            sleep(settings.work).await;
            let mut state = lock(&state);
            state.running -= 1;
            if state.is_down() {
                return;
            }
            state.count.answered += 1;
        }
        let text = answer(&request, has_room, settings.refusals);
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn answer(request: &RawRequest, has_room: bool, refusals: usize) -> String {
    let id = request.header("x-attempt-id");
    let (status, more) = if has_room {
        ("200 OK", "X-Response-Seal: sealed\r\n")
    } else {
        ("503 Service Unavailable", "X-Not-Executed: 1\r\n")
    };
    format!(
        "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\n{more}Server-Brittle: {refusals}\r\n\
         Content-Length: 0\r\n\r\n"
    )
}
