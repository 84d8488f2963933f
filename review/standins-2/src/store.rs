//! The platform's store, as far as the system uses it: keyed topics with one partition.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Request};

type Record = (Vec<u8>, Vec<u8>);

#[derive(Default)]
struct Topics {
    topics: BTreeMap<String, Vec<Record>>,
}

/// A store that loses nothing and is always there.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Topics>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let state: Arc<(Mutex<Topics>, Condvar)> = Arc::default();
        let shared = state.clone();
        let address = http::serve(
            address,
            Arc::new(move |request, stream| answer(&shared, request, stream)),
        );
        Self { state, address }
    }

    /// Appends a record, as the operator and the servers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let (topics, changed) = &*self.state;
        let mut topics = topics.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let topic = topics.topics.entry(topic.to_string()).or_default();
        topic.push((key.as_bytes().to_vec(), value.as_bytes().to_vec()));
        changed.notify_all();
    }
}

fn answer(state: &(Mutex<Topics>, Condvar), request: &Request, stream: &mut TcpStream) -> bool {
    let (status, body) = match request.path() {
        "/log-newest" => newest(state, request),
        "/log-read" => read(state, request),
        "/log-append" => append(state, request),
        _ => ("404 Not Found", b"{}".to_vec()),
    };
    let head = format!(
        "HTTP/1.1 {status}\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&body);
    stream.write_all(&bytes).is_ok()
}

fn newest(state: &(Mutex<Topics>, Condvar), request: &Request) -> (&'static str, Vec<u8>) {
    let mut topics = state.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let topic = topics.topics.entry(request.query("topic").unwrap_or("").to_string()).or_default();
    let mut items: BTreeMap<&[u8], (usize, &[u8])> = BTreeMap::new();
    for (offset, (key, value)) in topic.iter().enumerate() {
        items.insert(key, (offset, value));
    }
    let items: Vec<String> = items
        .iter()
        .filter(|(_, (_, value))| !value.is_empty())
        .map(|(key, (offset, value))| {
            format!(
                "{{\"key\":\"{}\",\"value\":\"{}\",\"offset\":{offset}}}",
                String::from_utf8_lossy(key),
                base64(value)
            )
        })
        .collect();
    let body = format!("{{\"items\":[{}],\"hasMore\":false,\"end\":{}}}", items.join(","), topic.len());
    ("200 OK", body.into_bytes())
}

fn read(state: &(Mutex<Topics>, Condvar), request: &Request) -> (&'static str, Vec<u8>) {
    let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    let from = number("from") as usize;
    let until = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
    let name = request.query("topic").unwrap_or("").to_string();
    let mut topics = state.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    loop {
        let topic = topics.topics.entry(name.clone()).or_default();
        let left = until.saturating_duration_since(Instant::now());
        if topic.len() > from || left.is_zero() {
            let mut body = Vec::new();
            body.extend_from_slice(&(topic.len() as u64).to_be_bytes());
            body.extend_from_slice(&0u64.to_be_bytes());
            for (key, value) in topic.iter().skip(from) {
                body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                body.push(key.len() as u8);
                body.extend_from_slice(key);
                body.extend_from_slice(value);
            }
            return ("200 OK", body);
        }
        topics = match state.1.wait_timeout(topics, left) {
            Ok((topics, _)) => topics,
            Err(poisoned) => poisoned.into_inner().0,
        };
    }
}

fn append(state: &(Mutex<Topics>, Condvar), request: &Request) -> (&'static str, Vec<u8>) {
    let name = request.query("topic").unwrap_or("").to_string();
    if name == "keyed.op" || name == "keyed.servers" {
        return ("403 Forbidden", b"{}".to_vec());
    }
    let mut topics = state.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let topic = topics.topics.entry(name).or_default();
    let at = request.query("at").and_then(|text| text.parse::<usize>().ok());
    if at.is_some_and(|at| at != topic.len()) {
        return ("412 Precondition Failed", format!("{{\"end\":{}}}", topic.len()).into_bytes());
    }
    let offset = topic.len();
    let mut rest = &request.body[..];
    while rest.len() >= 5 {
        let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        let Some(record) = rest.get(4..4 + length) else { break };
        let key = record[0] as usize;
        topic.push((record[1..=key].to_vec(), record[1 + key..].to_vec()));
        rest = &rest[4 + length..];
    }
    let body = format!("{{\"offset\":{offset},\"end\":{}}}", topic.len());
    state.1.notify_all();
    ("200 OK", body.into_bytes())
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = u32::from(three[0]) << 16
            | u32::from(*three.get(1).unwrap_or(&0)) << 8
            | u32::from(*three.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= three.len() {
                text.push(LETTERS[(number >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
