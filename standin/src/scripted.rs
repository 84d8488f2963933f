//! An upstream that answers each call by a script, byte by byte, well or badly.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::raw::{RawRequest, read_request};
use crate::server::lock;

/// One step of an answer.
#[derive(Clone, Debug)]
pub enum ScriptStep {
    /// Writes bytes.
    Send(Vec<u8>),
    /// Waits.
    Wait(Duration),
    /// Closes the connection in good order.
    Close,
    /// Resets the connection.
    Reset,
    /// Never answers, and notes when the router closes the connection.
    Hang,
}

/// A call that arrived.
#[derive(Clone, Debug)]
pub struct ScriptedCall {
    /// The request.
    pub request: RawRequest,
    /// When it arrived.
    pub at: Instant,
    /// When the router closed its connection before the script had ended.
    pub abandoned_at: Option<Instant>,
}

/// Chooses the steps for a call; the number counts the upstream's calls from 0.
pub type AnswerScript = Arc<dyn Fn(&RawRequest, usize) -> Vec<ScriptStep> + Send + Sync>;

/// A running scripted upstream.
pub struct ScriptedUpstream {
    address: SocketAddr,
    calls: Arc<Mutex<Vec<ScriptedCall>>>,
    connections: Arc<Mutex<usize>>,
    closing: Arc<Notify>,
    _tasks: JoinSet<()>,
}

impl ScriptedUpstream {
    /// Starts one on an address; port 0 takes any free one.
    pub async fn start(address: &str, script: AnswerScript) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let calls = Arc::new(Mutex::new(Vec::new()));
        let connections = Arc::new(Mutex::new(0));
        let mut tasks = JoinSet::new();
        let (seen, opened) = (calls.clone(), connections.clone());
        let closing = Arc::new(Notify::new());
        let closed = closing.clone();
        tasks.spawn(async move {
            let mut served = JoinSet::new();
            loop {
                tokio::select! {
                    () = closed.notified() => break,
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { break };
                        *lock(&opened) += 1;
                        served.spawn(serve(stream, seen.clone(), script.clone()));
                    }
                }
            }
            drop(listener);
            while served.join_next().await.is_some() {}
        });
        Ok(Self {
            address,
            calls,
            connections,
            closing,
            _tasks: tasks,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All calls so far.
    pub fn calls(&self) -> Vec<ScriptedCall> {
        lock(&self.calls).clone()
    }

    /// Takes no more connections, as a host that went dark; those that are open stay open.
    pub fn stop_accepting(&self) {
        self.closing.notify_one();
    }

    /// Connections that were opened.
    pub fn connections(&self) -> usize {
        *lock(&self.connections)
    }
}

async fn serve(mut stream: TcpStream, calls: Arc<Mutex<Vec<ScriptedCall>>>, script: AnswerScript) {
    let mut held = Vec::new();
    while let Ok(Some(request)) = read_request(&mut stream, &mut held).await {
        let number = {
            let mut calls = lock(&calls);
            calls.push(ScriptedCall {
                request: request.clone(),
                at: Instant::now(),
                abandoned_at: None,
            });
            calls.len() - 1
        };
        for step in script(&request, number) {
            if !play(&mut stream, step).await {
                lock(&calls)[number].abandoned_at = Some(Instant::now());
                return;
            }
        }
    }
}

/// Plays a step. Gives false once the connection is over.
async fn play(stream: &mut TcpStream, step: ScriptStep) -> bool {
    match step {
        ScriptStep::Send(bytes) => stream.write_all(&bytes).await.is_ok(),
        ScriptStep::Wait(time) => {
            let mut byte = [0];
            tokio::select! {
                () = sleep(time) => true,
                _ = stream.read(&mut byte) => false,
            }
        }
        ScriptStep::Close => {
            // Either way the connection is over.
            let _ = stream.shutdown().await;
            false
        }
        ScriptStep::Reset => {
            // Without it the close would be in good order, which the test then shows.
            let _ = stream.set_zero_linger();
            false
        }
        ScriptStep::Hang => {
            let mut byte = [0];
            // Any end of the connection ends the wait.
            let _ = stream.read(&mut byte).await;
            false
        }
    }
}
