//! Stand-in of the platform's keyed store: topics that keep the newest record of each key, with fault
//! injection.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine as _;
use monsoonbank_platform::names;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};

use crate::raw::{RawRequest, read_request, write_answer};
use crate::server::lock;

/// Maximum number of items in one page of a topic's newest records.
const PAGE_ITEMS: usize = 200;

/// Condition of the store, which determines how it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreCondition {
    /// Answers correctly.
    #[default]
    Healthy,
    /// Does not answer; connections stay open.
    Silent,
    /// Resets every connection.
    Resetting,
    /// Answers with status 503.
    Busy,
    /// Answers with bytes that cannot be parsed.
    Garbage,
}

/// A record of a topic.
#[derive(Clone, Debug)]
struct TopicRecord {
    key: Vec<u8>,
    value: Vec<u8>,
}

#[derive(Debug, Default)]
struct StoreTopic {
    first: u64,
    records: Vec<TopicRecord>,
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
}

impl StoreTopic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn roll_back(&mut self, lost: usize) {
        let kept = self.records.len().saturating_sub(lost);
        let records: Vec<TopicRecord> = self.records.drain(..kept).collect();
        self.records.clear();
        self.newest.clear();
        for TopicRecord { key, value } in records {
            self.append(&key, &value);
        }
    }

    fn append(&mut self, key: &[u8], value: &[u8]) {
        let offset = self.end();
        self.records.push(TopicRecord {
            key: key.into(),
            value: value.into(),
        });
        if value.is_empty() {
            self.newest.remove(key);
        } else {
            self.newest.insert(key.into(), (offset, value.into()));
        }
    }
}

#[derive(Debug, Default)]
struct StoreState {
    topics: BTreeMap<String, StoreTopic>,
    condition: StoreCondition,
    /// Time that each page after the first takes.
    page_delay: Duration,
    calls: usize,
    /// Incremented each time that the store is restored from an older copy.
    era: u64,
}

#[derive(Debug, Default)]
struct StoreShared {
    state: Mutex<StoreState>,
    appended: Notify,
}

/// Handle of a running store. Dropping it stops the store.
pub struct KeyedStore {
    address: SocketAddr,
    shared: Arc<StoreShared>,
    _tasks: JoinSet<()>,
}

impl KeyedStore {
    /// Starts a store on an address; port 0 picks a free port.
    pub async fn start(address: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(StoreShared::default());
        let served = shared.clone();
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve(stream, served.clone()));
            }
        });
        Ok(Self {
            address,
            shared,
            _tasks: tasks,
        })
    }

    /// Listen address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Appends a record; an empty value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = lock(&self.shared.state);
        let topic = state.topics.entry(topic.into()).or_default();
        topic.append(key.as_bytes(), value);
        drop(state);
        self.shared.appended.notify_waiters();
    }

    /// Compacts a topic: its log is emptied, and the newest record of each key remains.
    pub fn compact(&self, topic: &str) {
        let mut state = lock(&self.shared.state);
        if let Some(topic) = state.topics.get_mut(topic) {
            topic.first = topic.end();
            topic.records.clear();
        }
    }

    /// Restores the store from a copy that lacks the `lost` newest records of a topic. Their offsets are
    /// reused, and the store's era is incremented.
    pub fn roll_back(&self, topic: &str, lost: usize) {
        let mut state = lock(&self.shared.state);
        state.era += 1;
        if let Some(topic) = state.topics.get_mut(topic) {
            topic.roll_back(lost);
        }
        drop(state);
        self.shared.appended.notify_waiters();
    }

    /// Delays each page of a topic's newest records after the first.
    pub fn delay_pages(&self, delay: Duration) {
        lock(&self.shared.state).page_delay = delay;
    }

    /// Changes the condition. Delayed reads are answered immediately.
    pub fn set_condition(&self, condition: StoreCondition) {
        lock(&self.shared.state).condition = condition;
        self.shared.appended.notify_waiters();
    }

    /// Number of requests received so far.
    pub fn calls(&self) -> usize {
        lock(&self.shared.state).calls
    }
}

async fn serve(mut stream: TcpStream, shared: Arc<StoreShared>) {
    let mut buffered = Vec::new();
    while let Ok(Some(request)) = read_request(&mut stream, &mut buffered).await {
        lock(&shared.state).calls += 1;
        if !request.query("after").is_empty() {
            let delay = lock(&shared.state).page_delay;
            sleep(delay).await;
        }
        let mut answer = answer(&request, &shared).await;
        let condition = lock(&shared.state).condition;
        match condition {
            StoreCondition::Healthy => {}
            StoreCondition::Silent => {
                sleep(Duration::from_hours(1)).await;
                return;
            }
            StoreCondition::Resetting => {
                // If this fails, the connection is closed instead of reset, which does as well.
                let _ = stream.set_zero_linger();
                return;
            }
            StoreCondition::Busy => answer = ("503 Service Unavailable", Vec::new()),
            StoreCondition::Garbage => answer.1 = b"\x00\x01garbage".to_vec(),
        }
        let era = format!("Store-Era: {}\r\n", lock(&shared.state).era);
        if write_answer(&mut stream, answer.0, &era, &answer.1)
            .await
            .is_err()
        {
            return;
        }
    }
}

type StoreAnswer = (&'static str, Vec<u8>);

async fn answer(request: &RawRequest, shared: &StoreShared) -> StoreAnswer {
    let path = request.target.split('?').next().unwrap_or_default();
    match path {
        names::NEWEST_PATH => newest(request, shared),
        names::READ_PATH => read(request, shared).await,
        names::APPEND_PATH => append(request, shared),
        _ => ("404 Not Found", Vec::new()),
    }
}

fn newest(request: &RawRequest, shared: &StoreShared) -> StoreAnswer {
    let mut state = lock(&shared.state);
    let topic = state
        .topics
        .entry(request.query("topic").into())
        .or_default();
    let encode = |bytes: &[u8]| base64::engine::general_purpose::STANDARD.encode(bytes);
    let after: Vec<u8> = percent_encoding::percent_decode_str(request.query("after")).collect();
    let mut rest = topic.newest.range(after.clone()..);
    let items: Vec<serde_json::Value> = rest
        .by_ref()
        .filter(|(key, _)| **key != after)
        .take(PAGE_ITEMS)
        .map(|(key, (offset, value))| {
            json!({ "key": String::from_utf8_lossy(key), "value": encode(value), "offset": offset })
        })
        .collect();
    let has_more = rest.next().is_some();
    let body = json!({ "items": items, "hasMore": has_more, "end": topic.end() });
    ("200 OK", body.to_string().into_bytes())
}

async fn read(request: &RawRequest, shared: &StoreShared) -> StoreAnswer {
    let from: u64 = request.query("from").parse().unwrap_or(0);
    let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait);
    loop {
        let appended = shared.appended.notified();
        {
            let mut state = lock(&shared.state);
            let condition = state.condition;
            let topic = state
                .topics
                .entry(request.query("topic").into())
                .or_default();
            if from < topic.first || from > topic.end() {
                let body = json!({ "first": topic.first });
                return ("410 Gone", body.to_string().into_bytes());
            }
            if from < topic.end() || Instant::now() >= until || condition != StoreCondition::Healthy
            {
                return ("200 OK", records(topic, from));
            }
        }
        // The loop checks whether the wait has ended.
        let _ = timeout_at(until, appended).await;
    }
}

fn records(topic: &StoreTopic, from: u64) -> Vec<u8> {
    let mut body = [topic.end().to_be_bytes(), topic.first.to_be_bytes()].concat();
    let skipped = usize::try_from(from.saturating_sub(topic.first)).unwrap_or(usize::MAX);
    for record in topic.records.iter().skip(skipped) {
        let length = 1 + record.key.len() + record.value.len();
        body.extend_from_slice(&u32::try_from(length).unwrap_or(0).to_be_bytes());
        body.push(u8::try_from(record.key.len()).unwrap_or(0));
        body.extend_from_slice(&record.key);
        body.extend_from_slice(&record.value);
    }
    body
}

fn append(request: &RawRequest, shared: &StoreShared) -> StoreAnswer {
    let mut state = lock(&shared.state);
    let topic = state
        .topics
        .entry(request.query("topic").into())
        .or_default();
    let offset = topic.end();
    let at = request.query("at");
    if !at.is_empty() && at.parse() != Ok(offset) {
        let body = json!({ "end": offset });
        return ("412 Precondition Failed", body.to_string().into_bytes());
    }
    let mut rest = &request.body[..];
    while let Some((length, after)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let Some((record, after)) = after.split_at_checked(length) else {
            return ("400 Bad Request", Vec::new());
        };
        let Some((key, value)) = record
            .split_first()
            .and_then(|(key_length, content)| content.split_at_checked(usize::from(*key_length)))
        else {
            return ("400 Bad Request", Vec::new());
        };
        topic.append(key, value);
        rest = after;
    }
    let body = json!({ "offset": offset, "end": topic.end() });
    drop(state);
    shared.appended.notify_waiters();
    ("200 OK", body.to_string().into_bytes())
}
