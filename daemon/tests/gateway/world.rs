//! A store, scripted upstreams and nodes that run as processes, each node on its own loopback
//! address.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::time::Duration;

use monsoonbank_standin::keyed::KeyedStore;
use monsoonbank_standin::raw::RawRequest;
use monsoonbank_standin::scripted::{AnswerScript, ScriptStep, ScriptedUpstream};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Longest wait for a condition, far longer than any test needs.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a loopback address (127.0.0.0/8) that no other test uses.
fn own_host() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, high | 1, low, host))
}

/// A node that runs as a process.
pub struct NodeProcess {
    pub child: Child,
    pub host: IpAddr,
    pub log: PathBuf,
    settings: PathBuf,
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl NodeProcess {
    fn start(name: &str, zone: &str, store: SocketAddr, seeds: &[IpAddr], more: &str) -> Self {
        let host = own_host();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("'{seed}:4003'")).collect();
        let limits = if more.contains("limits:") {
            ""
        } else {
            "limits: {descriptors: 4096, cores: 0.25}\n"
        };
        let text = format!(
            "name: {name}\nzone: {zone}\n\
             listen: {{callers: '{host}:4000', ready: '{host}:4001', lookup: '{host}:4002', \
             operators: '{host}:4003', metrics_port: 4004}}\n\
             peers: {{ip: {host}, ports: [4010, 4020], seeds: [{}]}}\n\
             store: {{address: '{store}'}}\n\
             {limits}times: {{trust_ms: 3000, grace_ms: 8000}}\n\
             retries: {{ratio: 0.2, slack: 50, window_s: 10}}\n{more}",
            seeds.join(", ")
        );
        let settings = folder.join(format!("gateway-{host}.yaml"));
        fs::write(&settings, text).expect("a settings file");
        let log = folder.join(format!("gateway-{host}.log"));
        let output = fs::File::create(&log).expect("a log file");
        let child = spawn(&settings, output.into());
        Self {
            child,
            host,
            log,
            settings,
        }
    }

    /// Returns the address of one of the node's ports.
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.host, port)
    }

    /// Makes the settings file invalid.
    pub fn spoil_settings(&self) {
        fs::write(&self.settings, "name: [wrong]\n").expect("a settings file");
    }

    /// Sends a signal.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status();
        assert!(sent.expect("kill").success());
    }

    /// Starts the process again after it has exited.
    pub fn restart(&mut self) {
        let output = fs::File::options()
            .append(true)
            .open(&self.log)
            .expect("the log file");
        self.child = spawn(&self.settings, output.into());
    }

    /// Returns the node's decision lines so far.
    pub fn lines(&self) -> Vec<Value> {
        let text = fs::read_to_string(&self.log).expect("the log file");
        text.lines()
            .filter_map(|line| serde_json::from_str(line).ok())
            .collect()
    }

    /// Waits until the node is ready.
    pub async fn ready(&self) {
        until("the node is ready", async || {
            get(self.address(4001), "/readyz")
                .await
                .is_some_and(|answer| answer.status == 200)
        })
        .await;
    }

    /// Returns the dump of the node's state.
    pub async fn state(&self) -> Value {
        let answer = get(self.address(4003), "/state").await.expect("an answer");
        serde_json::from_slice(&answer.body).expect("JSON")
    }
}

fn spawn(settings: &PathBuf, output: Stdio) -> Child {
    Command::new(env!("CARGO_BIN_EXE_monsoonbankd"))
        .arg("gateway")
        .arg("--config")
        .arg(settings)
        .stdout(output)
        .spawn()
        .expect("a process")
}

/// A store, upstreams and nodes.
pub struct World {
    pub store: KeyedStore,
    pub upstreams: Vec<ScriptedUpstream>,
    pub nodes: Vec<NodeProcess>,
    /// Additional settings of the nodes; `limits` among them replace the usual ones.
    pub settings: String,
    /// Sequence number of the newest entry that was written.
    sequence: AtomicU64,
}

impl World {
    /// Starts one node per zone name, and one upstream of the pool `model` per script.
    pub async fn start(zones: &[&str], scripts: Vec<AnswerScript>) -> Self {
        Self::start_with(zones, scripts, "").await
    }

    /// Starts nodes and upstreams as [`Self::start`] does, with additional settings of the nodes.
    pub async fn start_with(zones: &[&str], scripts: Vec<AnswerScript>, settings: &str) -> Self {
        let store = KeyedStore::start("127.0.0.1:0").await.expect("a store");
        let mut upstreams = Vec::new();
        for script in scripts {
            upstreams.push(
                ScriptedUpstream::start("127.0.0.1:0", script)
                    .await
                    .expect("a port"),
            );
        }
        let world = Self {
            store,
            upstreams,
            nodes: Vec::new(),
            settings: settings.into(),
            sequence: AtomicU64::new(0),
        };
        world.publish(&configuration(1));
        for index in 0..world.upstreams.len() {
            world.register(index, "ready");
        }
        world.with_nodes(zones).await
    }

    /// Starts one more node per zone name.
    pub async fn with_nodes(mut self, zones: &[&str]) -> Self {
        let known = self.nodes.len();
        for (index, zone) in zones.iter().enumerate() {
            let seeds: Vec<IpAddr> = self.nodes.iter().map(|node| node.host).collect();
            let name = format!("node-{}", known + index);
            self.nodes.push(NodeProcess::start(
                &name,
                zone,
                self.store.address(),
                &seeds,
                &self.settings,
            ));
        }
        for node in &self.nodes {
            node.ready().await;
        }
        self
    }

    /// Starts a node with another store and the nodes of this world as seeds.
    pub fn start_with_store(&self, store: SocketAddr) -> NodeProcess {
        let seeds: Vec<IpAddr> = self.nodes.iter().map(|node| node.host).collect();
        NodeProcess::start("turned-away", "east", store, &seeds, "")
    }

    /// Starts one more node, of another zone and with another store.
    pub async fn add_with_store(&mut self, zone: &str, store: SocketAddr) {
        let seeds: Vec<IpAddr> = self.nodes.iter().map(|node| node.host).collect();
        let name = format!("node-{}", self.nodes.len());
        let node = NodeProcess::start(&name, zone, store, &seeds, &self.settings);
        node.ready().await;
        self.nodes.push(node);
    }

    /// Starts a node of the zone `east` with other seeds.
    pub fn start_with_seeds(&self, name: &str, seeds: &[IpAddr]) -> NodeProcess {
        NodeProcess::start(name, "east", self.store.address(), seeds, "")
    }

    /// Starts a node with another store and without seeds.
    pub fn start_alone(store: SocketAddr) -> NodeProcess {
        NodeProcess::start("lonely", "east", store, &[], "")
    }

    /// Writes a configuration.
    pub fn publish(&self, configuration: &Value) {
        self.store
            .put("keyed.op", "config", configuration.to_string().as_bytes());
    }

    /// Writes an upstream's entry.
    pub fn register(&self, index: usize, state: &str) {
        self.register_as(index, &upstream_id(index), state);
    }

    /// Writes an upstream's entry under another id, as after a restart.
    pub fn register_as(&self, index: usize, id: &str, state: &str) {
        let mut entry = entry(self.upstreams[index].address(), state);
        entry["sequence"] = (self.sequence.fetch_add(1, Ordering::Relaxed) + 1).into();
        self.store
            .put("keyed.servers", id, entry.to_string().as_bytes());
    }

    /// Writes the entry of an upstream that runs this version of its software.
    pub fn register_version(&self, index: usize, id: &str, version: &str, zone: &str) {
        let mut entry = entry(self.upstreams[index].address(), "ready");
        entry["version"] = version.into();
        entry["zone"] = zone.into();
        self.store
            .put("keyed.servers", id, entry.to_string().as_bytes());
    }

    /// Removes an upstream's entry.
    pub fn deregister(&self, index: usize) {
        self.store.put("keyed.servers", &upstream_id(index), b"");
    }

    /// Sends a request to the first node.
    pub async fn send(&self, request: &str) -> RawAnswer {
        send(self.nodes[0].address(4000), request.as_bytes()).await
    }

    /// Counts the requests that all upstreams received, without those for their lists of cached
    /// parts.
    pub fn arrivals(&self) -> usize {
        let requests = self.upstreams.iter().flat_map(ScriptedUpstream::calls);
        requests
            .filter(|call| &*call.request.target != "/kv-list")
            .count()
    }
}

/// Returns the id of an upstream.
pub fn upstream_id(index: usize) -> String {
    format!("i-{index}")
}

/// Builds an upstream's entry.
pub fn entry(address: SocketAddr, state: &str) -> Value {
    json!({ "service": "model", "address": address.to_string(), "zone": "east",
        "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0, "sequence": 1 })
}

/// Builds a configuration of one host with a route of each kind.
pub fn configuration(version: u64) -> Value {
    let route = |prefix: &str, kind: &str, attempts: u32, resume: bool| {
        json!({ "name": prefix, "host": "calls.example", "pathPrefix": format!("/{prefix}/"),
            "kind": kind, "timeoutMs": 3000, "targetLatencyMs": 400, "priority": 1,
            "service": "model", "maxAttempts": attempts, "public": false, "sticky": true,
            "canResume": resume, "gapTargetMs": 300 })
    };
    json!({
        "version": version,
        "routes": [
            route("safe", "idempotent", 2, false),
            route("once", "non_idempotent", 1, false),
            route("stream", "stream", 1, false),
            route("resume", "stream", 2, true),
        ],
        "services": [{ "name": "model", "healthPath": "/healthz", "maxConns": 100,
            "protocol": "h1", "tls": false }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "desk", "apiKeys": ["key-1", "key-2"], "priority": 1 }],
    })
}

/// Builds a request with a body; `more` holds additional header lines, each with its line end.
pub fn request(path: &str, id: &str, more: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: calls.example\r\nX-Attempt-Id: {id}\r\nX-Key: key-1\r\n\
         X-Deadline-Ms: 2500\r\n{more}Content-Length: 4\r\n\r\nbody"
    )
}

/// Builds the status line and headers of an answer, for a script.
pub fn answer_head(id: &str, more: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: signed-{id}\r\n{more}")
}

/// Builds a complete successful answer.
pub fn good_answer(request: &RawRequest) -> Vec<u8> {
    let id = request.header("x-attempt-id");
    let body = format!("answer to {id}");
    let length = format!("Content-Length: {}\r\n\r\n{body}", body.len());
    answer_head(id, &length).into_bytes()
}

/// Encodes a chunk of a body.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// Encodes the events of a stream from one id to another, both included, each as a chunk.
pub fn events(first: u64, last: u64) -> Vec<u8> {
    (first..=last).flat_map(|id| chunk(&event(id))).collect()
}

/// Encodes one event.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Builds the head of a stream, with chunks to follow.
pub fn stream_head(request: &RawRequest) -> Vec<u8> {
    let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    answer_head(request.header("x-attempt-id"), more).into_bytes()
}

/// Makes a script that answers each request with the given steps.
pub fn script(
    steps: impl Fn(&RawRequest, usize) -> Vec<ScriptStep> + Send + Sync + 'static,
) -> AnswerScript {
    Arc::new(steps)
}

/// Makes a script that answers every request successfully.
pub fn good() -> AnswerScript {
    script(|request, _| vec![ScriptStep::Send(good_answer(request))])
}

/// An answer as received.
#[derive(Clone, Debug, Default)]
pub struct RawAnswer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body was complete by its own framing.
    pub complete: bool,
}

impl RawAnswer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn has(&self, header: &str) -> bool {
        self.head
            .to_ascii_lowercase()
            .contains(&header.to_ascii_lowercase())
    }
}

/// Sends bytes on a new connection and reads one answer.
pub async fn send(address: SocketAddr, bytes: &[u8]) -> RawAnswer {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes).await.expect("written");
    timeout(TIMEOUT, read_answer(&mut stream))
        .await
        .expect("an answer in time")
}

/// Sends a GET request; `None` if there is no connection.
pub async fn get(address: SocketAddr, path: &str) -> Option<RawAnswer> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let text = format!("GET {path} HTTP/1.1\r\nHost: node\r\n\r\n");
    stream.write_all(text.as_bytes()).await.ok()?;
    Some(read_answer(&mut stream).await)
}

/// Reads one answer; an empty one if the connection ends before it.
pub async fn read_answer(stream: &mut TcpStream) -> RawAnswer {
    let mut buffer = Vec::new();
    let mut answer = RawAnswer::default();
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let bytes: Vec<u8> = buffer.drain(..end + 4).collect();
            answer.head = String::from_utf8_lossy(&bytes).into_owned();
            break;
        }
        if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 {
            return answer;
        }
    }
    answer.status = answer
        .head
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let lower = answer.head.to_ascii_lowercase();
    let length = lower
        .split("content-length: ")
        .nth(1)
        .and_then(|rest| rest.lines().next());
    if let Some(length) = length.and_then(|text| text.trim().parse::<usize>().ok()) {
        while buffer.len() < length && stream.read_buf(&mut buffer).await.unwrap_or(0) > 0 {}
        answer.complete = buffer.len() >= length;
        answer.body = buffer;
        return answer;
    }
    while !buffer.ends_with(b"0\r\n\r\n") && stream.read_buf(&mut buffer).await.unwrap_or(0) > 0 {}
    answer.complete = buffer.ends_with(b"0\r\n\r\n");
    answer.body = unchunk(&buffer);
    answer
}

fn unchunk(mut bytes: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    while let Some(end) = bytes.windows(2).position(|window| window == b"\r\n") {
        let size = String::from_utf8_lossy(&bytes[..end]);
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            break;
        };
        let from = end + 2;
        let to = (from + size).min(bytes.len());
        body.extend_from_slice(&bytes[from..to]);
        bytes = bytes.get(to + 2..).unwrap_or_default();
    }
    body
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let last = Instant::now() + TIMEOUT;
    while !holds().await {
        assert!(Instant::now() < last, "never: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}
