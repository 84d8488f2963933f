//! An upstream that answers each call by a script of arbitrary bytes, pauses and connection errors.

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
    /// Sends bytes.
    Send(Vec<u8>),
    /// Waits for a time.
    Wait(Duration),
    /// Closes the connection gracefully.
    Close,
    /// Resets the connection.
    Reset,
    /// Never answers, and records when the router closes the connection.
    Hang,
    /// Sends bytes again and again until the router closes the connection.
    Repeat(Vec<u8>),
}

/// A received call.
#[derive(Clone, Debug)]
pub struct ScriptedCall {
    /// The received request.
    pub request: RawRequest,
    /// Time at which the call arrived.
    pub at: Instant,
    /// Time at which the connection ended during a step; `None` if all steps ended before it.
    pub abandoned_at: Option<Instant>,
}

/// Returns the steps for a call; the number counts the upstream's calls from 0.
pub type AnswerScript = Arc<dyn Fn(&RawRequest, usize) -> Vec<ScriptStep> + Send + Sync>;

/// Handle of a running scripted upstream. Dropping it stops the upstream.
pub struct ScriptedUpstream {
    address: SocketAddr,
    calls: Arc<Mutex<Vec<ScriptedCall>>>,
    connections: Arc<Mutex<usize>>,
    closing: Arc<Notify>,
    _tasks: JoinSet<()>,
}

impl ScriptedUpstream {
    /// Starts an upstream on an address; port 0 picks a free port.
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

    /// Listen address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All calls received so far.
    pub fn calls(&self) -> Vec<ScriptedCall> {
        lock(&self.calls).clone()
    }

    /// Stops accepting connections, like a host that failed. Open connections stay open.
    pub fn stop_accepting(&self) {
        self.closing.notify_one();
    }

    /// Number of connections accepted so far.
    pub fn connections(&self) -> usize {
        *lock(&self.connections)
    }
}

async fn serve(mut stream: TcpStream, calls: Arc<Mutex<Vec<ScriptedCall>>>, script: AnswerScript) {
    let mut buffered = Vec::new();
    while let Ok(Some(request)) = read_request(&mut stream, &mut buffered).await {
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
            if !execute(&mut stream, step).await {
                lock(&calls)[number].abandoned_at = Some(Instant::now());
                return;
            }
        }
    }
}

/// Executes a step. Returns false once the connection has ended.
async fn execute(stream: &mut TcpStream, step: ScriptStep) -> bool {
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
            // The connection ends even if this fails.
            let _ = stream.shutdown().await;
            false
        }
        ScriptStep::Reset => {
            // If this fails, the connection is closed gracefully, and the test fails.
            let _ = stream.set_zero_linger();
            false
        }
        ScriptStep::Hang => {
            let mut byte = [0];
            // Any end of the connection ends the step.
            let _ = stream.read(&mut byte).await;
            false
        }
        ScriptStep::Repeat(bytes) => {
            while stream.write_all(&bytes).await.is_ok() {}
            false
        }
    }
}
