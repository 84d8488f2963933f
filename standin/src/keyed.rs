//! A store of topics that keep the newest record of each key, with faults that can be switched on.

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

/// How the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreCondition {
    /// Well.
    #[default]
    Healthy,
    /// Not at all; connections stay open.
    Silent,
    /// It resets every connection.
    Resetting,
    /// With 503.
    Busy,
    /// With bytes that are not its form.
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
    calls: usize,
    /// Grows each time that the store comes back from an older copy.
    era: u64,
}

#[derive(Debug, Default)]
struct StoreShare {
    state: Mutex<StoreState>,
    appended: Notify,
}

/// A running store.
pub struct KeyedStore {
    address: SocketAddr,
    share: Arc<StoreShare>,
    _tasks: JoinSet<()>,
}

impl KeyedStore {
    /// Starts one on an address; port 0 takes any free one.
    pub async fn start(address: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let share = Arc::new(StoreShare::default());
        let served = share.clone();
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve(stream, served.clone()));
            }
        });
        Ok(Self {
            address,
            share,
            _tasks: tasks,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Appends a record; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = lock(&self.share.state);
        let topic = state.topics.entry(topic.into()).or_default();
        topic.append(key.as_bytes(), value);
        drop(state);
        self.share.appended.notify_waiters();
    }

    /// Deletes the records of a topic but the newest of each key.
    pub fn compact(&self, topic: &str) {
        let mut state = lock(&self.share.state);
        if let Some(topic) = state.topics.get_mut(topic) {
            topic.first = topic.end();
            topic.records.clear();
        }
    }

    /// Comes back from a copy that lacks the newest records of a topic. Their offsets are given out again.
    pub fn roll_back(&self, topic: &str, lost: usize) {
        let mut state = lock(&self.share.state);
        state.era += 1;
        if let Some(topic) = state.topics.get_mut(topic) {
            topic.roll_back(lost);
        }
        drop(state);
        self.share.appended.notify_waiters();
    }

    /// Changes how it answers; calls that wait see it at once.
    pub fn set_condition(&self, condition: StoreCondition) {
        lock(&self.share.state).condition = condition;
        self.share.appended.notify_waiters();
    }

    /// Calls so far.
    pub fn calls(&self) -> usize {
        lock(&self.share.state).calls
    }
}

async fn serve(mut stream: TcpStream, share: Arc<StoreShare>) {
    let mut held = Vec::new();
    while let Ok(Some(request)) = read_request(&mut stream, &mut held).await {
        lock(&share.state).calls += 1;
        let mut answer = answer(&request, &share).await;
        let condition = lock(&share.state).condition;
        match condition {
            StoreCondition::Healthy => {}
            StoreCondition::Silent => {
                sleep(Duration::from_hours(1)).await;
                return;
            }
            StoreCondition::Resetting => {
                // A close in good order would do as well.
                let _ = stream.set_zero_linger();
                return;
            }
            StoreCondition::Busy => answer = ("503 Service Unavailable", Vec::new()),
            StoreCondition::Garbage => answer.1 = b"\x00\x01garbage".to_vec(),
        }
        let era = format!("Store-Era: {}\r\n", lock(&share.state).era);
        if write_answer(&mut stream, answer.0, &era, &answer.1)
            .await
            .is_err()
        {
            return;
        }
    }
}

type StoreAnswer = (&'static str, Vec<u8>);

async fn answer(request: &RawRequest, share: &StoreShare) -> StoreAnswer {
    let path = request.target.split('?').next().unwrap_or_default();
    match path {
        names::NEWEST_PATH => newest(request, share),
        names::READ_PATH => read(request, share).await,
        names::APPEND_PATH => append(request, share),
        _ => ("404 Not Found", Vec::new()),
    }
}

fn newest(request: &RawRequest, share: &StoreShare) -> StoreAnswer {
    let mut state = lock(&share.state);
    let topic = state
        .topics
        .entry(request.query("topic").into())
        .or_default();
    let encode = |bytes: &[u8]| base64::engine::general_purpose::STANDARD.encode(bytes);
    let items: Vec<serde_json::Value> = topic
        .newest
        .iter()
        .map(|(key, (offset, value))| {
            json!({ "key": String::from_utf8_lossy(key), "value": encode(value), "offset": offset })
        })
        .collect();
    let body = json!({ "items": items, "hasMore": false, "end": topic.end() });
    ("200 OK", body.to_string().into_bytes())
}

async fn read(request: &RawRequest, share: &StoreShare) -> StoreAnswer {
    let from: u64 = request.query("from").parse().unwrap_or(0);
    let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait);
    loop {
        let appended = share.appended.notified();
        {
            let mut state = lock(&share.state);
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
        // The end of the wait is seen above.
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

fn append(request: &RawRequest, share: &StoreShare) -> StoreAnswer {
    let mut state = lock(&share.state);
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
    share.appended.notify_waiters();
    ("200 OK", body.to_string().into_bytes())
}
