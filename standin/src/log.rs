//! Stand-in of the platform's append-only log, with offsets, limited retention and a limited append rate.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use salvo::http::{Method, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use crate::faults::LogFaults;
use crate::reply::{JsonReply, read_json};
use crate::server::{HttpServer, lock};

/// Maximum duration of a long poll.
const LONGEST_WAIT: Duration = Duration::from_mins(1);

/// Maximum number of records in one answer if the reader sets no limit.
const PAGE_RECORDS: usize = 500;

/// Settings of a log.
#[derive(Clone, Copy, Debug)]
pub struct LogSettings {
    /// Maximum number of records that are kept.
    pub retention: usize,
    /// Appends per second; more are refused. Bursts of up to a tenth of this number are accepted.
    pub appends_per_second: f64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            retention: 100_000,
            appends_per_second: 300.0,
        }
    }
}

/// A record with its offset in the log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StoredRecord {
    /// Offset of the record.
    pub offset: u64,
    /// The record as JSON.
    pub record: Value,
}

struct LogState {
    faults: LogFaults,
    first: u64,
    records: VecDeque<Value>,
    tokens: f64,
    filled_at: Instant,
    appends: u64,
    refused: u64,
    reads: u64,
}

struct Log {
    settings: LogSettings,
    state: Mutex<LogState>,
    appended: Notify,
    server: HttpServer,
}

struct LogApi {
    log: Arc<Log>,
}

impl LogState {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn refill(&mut self, rate: f64) {
        let now = Instant::now();
        let gained = (now - self.filled_at).as_secs_f64() * rate;
        self.filled_at = now;
        self.tokens = (self.tokens + gained).min((rate / 10.0).max(1.0));
    }

    fn truncate(&mut self, first: u64) {
        while self.first < first && self.records.pop_front().is_some() {
            self.first += 1;
        }
    }
}

impl Log {
    /// Appends a record and returns its offset; `None` if the rate is exceeded.
    fn append(&self, record: Value) -> Option<u64> {
        let mut state = lock(&self.state);
        state.refill(self.settings.appends_per_second);
        if state.tokens < 1.0 {
            state.refused += 1;
            return None;
        }
        state.tokens -= 1.0;
        Some(self.store(&mut state, record))
    }

    fn store(&self, state: &mut LogState, record: Value) -> u64 {
        let offset = state.end();
        state.records.push_back(record);
        state.appends += 1;
        let kept = self.settings.retention as u64;
        state.truncate(state.end().saturating_sub(kept));
        self.appended.notify_waiters();
        offset
    }

    async fn wait_for(&self, from: u64, wait: Duration) {
        let reached = async {
            loop {
                let appended = self.appended.notified();
                if lock(&self.state).end() > from {
                    return;
                }
                appended.await;
            }
        };
        // After a timeout the page is empty.
        let _ = timeout(wait.min(LONGEST_WAIT), reached).await;
    }

    fn page(&self, from: u64, limit: usize) -> JsonReply {
        let mut state = lock(&self.state);
        state.reads += 1;
        if from < state.first {
            return JsonReply {
                status: StatusCode::GONE,
                body: json!({ "first": state.first }),
                not_run: false,
            };
        }
        let skipped = (from - state.first) as usize;
        let records: Vec<StoredRecord> = (from..)
            .zip(state.records.iter().skip(skipped).take(limit))
            .map(|(offset, record)| StoredRecord {
                offset,
                record: record.clone(),
            })
            .collect();
        JsonReply::ok(json!({
            "first": state.first,
            "end": state.end(),
            "records": records,
        }))
    }
}

#[salvo::async_trait]
impl Handler for LogApi {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        control: &mut FlowCtrl,
    ) {
        let path = request.uri().path().to_owned();
        if path == "/faults" {
            self.change_faults(request).await.write(response);
            return;
        }
        let faults = lock(&self.log.state).faults;
        sleep(Duration::from_millis(faults.slow_ms)).await;
        if faults.down {
            control.conn().abort();
            return;
        }
        let reply = match (request.method(), path.as_str()) {
            (&Method::POST, "/append") => self.append(request).await,
            (&Method::GET, "/records") => self.read(request).await,
            _ => Some(JsonReply::not_run(StatusCode::NOT_FOUND, "no such path")),
        };
        match reply {
            // A reader that was waiting when the log went down gets no answer, either.
            Some(reply) if !lock(&self.log.state).faults.down => reply.write(response),
            _ => control.conn().abort(),
        }
    }
}

impl LogApi {
    async fn change_faults(&self, request: &mut Request) -> JsonReply {
        match read_json::<LogFaults>(request).await {
            Ok(faults) => {
                lock(&self.log.state).faults = faults;
                JsonReply::ok(Value::Null)
            }
            Err(reply) => reply,
        }
    }

    /// Appends the record of a request; `None` if the response has to be dropped.
    async fn append(&self, request: &mut Request) -> Option<JsonReply> {
        let record: Value = match read_json(request).await {
            Ok(record) => record,
            Err(reply) => return Some(reply),
        };
        let Some(offset) = self.log.append(record) else {
            let status = StatusCode::TOO_MANY_REQUESTS;
            return Some(JsonReply::not_run(status, "too many appends"));
        };
        let mut state = lock(&self.log.state);
        if state.faults.lose_responses > 0 {
            state.faults.lose_responses -= 1;
            return None;
        }
        Some(JsonReply::ok(json!({ "offset": offset })))
    }

    async fn read(&self, request: &mut Request) -> Option<JsonReply> {
        let from = request.query::<u64>("from").unwrap_or(0);
        let wait = request.query::<u64>("wait_ms").unwrap_or(0);
        let limit = request.query::<usize>("limit").unwrap_or(PAGE_RECORDS);
        if wait > 0 {
            self.log.wait_for(from, Duration::from_millis(wait)).await;
        }
        Some(self.log.page(from, limit))
    }
}

/// Handle of a running log. Dropping it stops the service.
pub struct LogHandle {
    log: Arc<Log>,
}

/// Counts of a log's operations so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LogTotals {
    /// Number of appends that took effect by request or by handle.
    pub appends: u64,
    /// Number of appends refused because of the rate.
    pub refused: u64,
    /// Number of pages read.
    pub reads: u64,
}

/// Starts a log service on `address` ("127.0.0.1:0" picks a free port).
pub async fn start(address: &str, settings: LogSettings) -> io::Result<LogHandle> {
    let log = Arc::new(Log {
        state: Mutex::new(LogState {
            faults: LogFaults::default(),
            first: 0,
            records: VecDeque::new(),
            tokens: (settings.appends_per_second / 10.0).max(1.0),
            filled_at: Instant::now(),
            appends: 0,
            refused: 0,
            reads: 0,
        }),
        appended: Notify::new(),
        server: HttpServer::bind(address).await?,
        settings,
    });
    let api = LogApi {
        log: Arc::clone(&log),
    };
    log.server.open(api)?;
    Ok(LogHandle { log })
}

impl LogHandle {
    /// Listen address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.log.server.address()
    }

    /// Replaces the faults in effect.
    pub fn set_faults(&self, faults: LogFaults) {
        lock(&self.log.state).faults = faults;
    }

    /// Appends a record regardless of rate and faults and returns its offset.
    pub fn append(&self, record: Value) -> u64 {
        let mut state = lock(&self.log.state);
        self.log.store(&mut state, record)
    }

    /// All records that are still kept.
    pub fn records(&self) -> Vec<StoredRecord> {
        let state = lock(&self.log.state);
        (state.first..)
            .zip(&state.records)
            .map(|(offset, record)| StoredRecord {
                offset,
                record: record.clone(),
            })
            .collect()
    }

    /// Removes all records before an offset.
    pub fn truncate(&self, first: u64) {
        lock(&self.log.state).truncate(first);
    }

    /// Counts of the operations so far.
    pub fn totals(&self) -> LogTotals {
        let state = lock(&self.log.state);
        LogTotals {
            appends: state.appends,
            refused: state.refused,
            reads: state.reads,
        }
    }

    /// Stops the service permanently.
    pub async fn stop(self) {
        self.log.server.close().await;
    }
}

impl Drop for LogHandle {
    fn drop(&mut self) {
        self.log.server.abort();
    }
}
