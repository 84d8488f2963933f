//! Stand-in for the platform's store: keyed topics with one partition, over HTTP.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Interval at which upstreams write their entries.
pub const BEAT: Duration = Duration::from_millis(1200);
/// Silence after which an entry is removed: three intervals.
const SILENCE: Duration = Duration::from_millis(3600);

#[derive(Debug, Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (usize, Vec<u8>)>,
}

#[derive(Debug, Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    beats: BTreeMap<String, Instant>,
}

/// The store. Nothing that it has acknowledged is lost.
#[derive(Clone, Debug)]
pub struct Store {
    /// Address that nodes call.
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Topic {
    fn put(&mut self, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value);
        let offset = self.records.len();
        self.records.push(record);
        if value.is_empty() {
            self.newest.remove(key);
        } else {
            self.newest.insert(key.to_owned(), (offset, value.to_vec()));
        }
    }
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            state: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        store
    }

    /// Writes a record.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        state
            .topics
            .entry(topic.to_owned())
            .or_default()
            .put(key, value);
        changed.notify_all();
    }

    /// Writes an upstream's entry, which is removed when no other follows in time.
    pub fn beat(&self, id: &str, entry: &str) {
        let (state, _) = &*self.state;
        let mut state = state.lock().expect("the state");
        state.beats.insert(id.to_owned(), Instant::now());
        drop(state);
        self.put("keyed.servers", id, entry.as_bytes());
    }

    fn expire(&self) {
        let (state, _) = &*self.state;
        let mut state = state.lock().expect("the state");
        let silent = state.beats.iter().filter(|(_, at)| at.elapsed() > SILENCE);
        let silent: Vec<String> = silent.map(|(id, _)| id.clone()).collect();
        for id in &silent {
            state.beats.remove(id);
        }
        drop(state);
        for id in silent {
            self.put("keyed.servers", &id, b"");
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head) else {
                return;
            };
            let (path, query) = head.target().split_once('?').unwrap_or_default();
            let field = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|pair| pair.0 == name).map(|pair| pair.1)
            };
            let topic = field("topic").unwrap_or_default();
            let number = |name: &str| field(name).and_then(|text| text.parse::<usize>().ok());
            let (status, answer) = match path {
                "/log-newest" => ("200 OK", self.newest(topic)),
                "/log-read" => {
                    let wait = Duration::from_millis(number("waitMs").unwrap_or(0) as u64);
                    (
                        "200 OK",
                        self.read(topic, number("from").unwrap_or(0), wait),
                    )
                }
                "/log-append" => self.append(topic, number("at"), &body),
                _ => ("404 Not Found", Vec::new()),
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if http::answer(&mut writer, status, &headers, &answer).is_err() {
                return;
            }
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let (state, _) = &*self.state;
        let mut state = state.lock().expect("the state");
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let item = |(key, (offset, value)): (&String, &(usize, Vec<u8>))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        };
        let items: Vec<String> = topic.newest.iter().map(item).collect();
        let (items, end) = (items.join(","), topic.records.len());
        format!("{{\"items\":[{items}],\"hasMore\":false,\"end\":{end}}}").into_bytes()
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Vec<u8> {
        let (state, changed) = &*self.state;
        let until = Instant::now() + wait;
        let mut state = state.lock().expect("the state");
        loop {
            let known = state.topics.entry(topic.to_owned()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if known.records.len() <= from && !left.is_zero() {
                state = changed.wait_timeout(state, left).expect("the state").0;
                continue;
            }
            let mut answer = (known.records.len() as u64).to_be_bytes().to_vec();
            answer.extend(0_u64.to_be_bytes());
            for record in known.records.iter().skip(from) {
                answer.extend((record.len() as u32).to_be_bytes());
                answer.extend(record);
            }
            return answer;
        }
    }

    fn append(&self, topic: &str, at: Option<usize>, body: &[u8]) -> (&'static str, Vec<u8>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len();
        if at.is_some_and(|at| at != offset) {
            let text = format!("{{\"end\":{offset}}}");
            return ("412 Precondition Failed", text.into_bytes());
        }
        let mut rest = body;
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let (record, after) = after.split_at(u32::from_be_bytes(*length) as usize);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            topic.put(&String::from_utf8_lossy(key), value);
            rest = after;
        }
        changed.notify_all();
        let end = topic.records.len();
        let text = format!("{{\"offset\":{offset},\"end\":{end}}}");
        ("200 OK", text.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = three
            .iter()
            .fold(0_u32, |number, byte| number << 8 | u32::from(*byte));
        let number = number << (8 * (3 - three.len()));
        for digit in 0..4 {
            if digit <= three.len() {
                text.push(DIGITS[(number >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
