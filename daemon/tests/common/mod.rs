//! Test fleet on the loopback interface: stand-ins, nodes and an HTTP client.

#![allow(dead_code)]

pub mod process;

use std::time::Duration;

use monsoonbank_daemon::node::{self, NodeHandle, NodeListeners};
use monsoonbank_daemon::requests::token_hash;
use monsoonbank_daemon::settings::Settings;
use monsoonbank_kernel::record::{ChangeRecord, Record};
use monsoonbank_standin::engine::{self, EngineHandle, EngineSettings};
use monsoonbank_standin::hosts::{self, HostRole, HostRow, HostSettings, HostsHandle};
use monsoonbank_standin::log::{self, LogHandle, LogSettings};
use monsoonbank_standin::service::{self, ServiceHandle, ServiceSettings};
use reqwest::Client;
use serde_json::{Value, json};

/// Bearer token of the only workspace.
pub const TOKEN: &str = "desk-token";
/// Bearer token of operators.
pub const OPERATOR_TOKEN: &str = "operator-token";
const ANY_PORT: &str = "127.0.0.1:0";
/// Timeout for a condition, far above the time that conditions usually need.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A running fleet with its stand-ins.
pub struct TestFleet {
    pub log: LogHandle,
    pub hosts: HostsHandle,
    pub engines: Vec<EngineHandle>,
    pub service: ServiceHandle,
    pub nodes: Vec<NodeHandle>,
    pub client: Client,
}

/// Settings of a node that listens on free ports.
pub fn settings(name: &str, zone: &str, log: &LogHandle, hosts: &HostsHandle) -> Settings {
    let text = format!(
        "name: {name}\nzone: {zone}\n\
         listen: {{callers: '{ANY_PORT}', peers: '{ANY_PORT}', operators: '{ANY_PORT}'}}\n\
         platform: {{log: 'http://{}', hosts: 'http://{}', hosts_poll: 200ms}}\n\
         secrets: {{peer_key: fleet-key, operator_token: {OPERATOR_TOKEN}}}\n",
        log.address(),
        hosts.address()
    );
    Settings::parse("test", &text).expect("valid test settings")
}

/// A configuration with one model on `engines`, one plain service and three classes.
pub fn configuration(engines: &[EngineHandle], service: &ServiceHandle) -> Value {
    let mut upstreams: Vec<Value> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| {
            json!({ "name": format!("engine-{index}"), "pool": "writer",
                "zone": format!("zone-{}", index % 3), "slots": 50,
                "address": engine.address().to_string() })
        })
        .collect();
    upstreams.push(
        json!({ "name": "gate-0", "pool": "gate", "zone": "zone-0", "slots": 50,
        "address": service.address().to_string() }),
    );
    json!({
        "tiers": [{ "tier": 0, "floor": 0.0 }, { "tier": 1, "floor": 0.2 },
            { "tier": 2, "floor": 0.1 }],
        "classes": [
            { "name": "chat", "tier": 1, "target": "30s", "repeatable": true },
            { "name": "pass-check", "tier": 0, "target": "30s", "repeatable": true },
            { "name": "locker-release", "tier": 0, "target": "30s", "repeatable": false },
        ],
        "workspaces": [{ "name": "desk", "token_sha256": token_hash(TOKEN.as_bytes()) }],
        "pools": [{ "name": "writer", "kind": "model" }, { "name": "gate", "kind": "service" }],
        "upstreams": upstreams,
        "rules": [
            { "name": "lockers", "when": { "path_prefix": "/services/gate/lockers" },
                "then": { "class": "locker-release" } },
            { "name": "passes", "when": { "path_prefix": "/services/" },
                "then": { "class": "pass-check" } },
            { "name": "chat", "then": { "class": "chat" } },
        ],
    })
}

impl TestFleet {
    /// Starts `engines` engines, one plain service and `nodes` nodes in three availability zones, and
    /// waits until the nodes are ready.
    pub async fn start(nodes: usize, engines: usize) -> Self {
        Self::start_with_engines(nodes, vec![EngineSettings::default(); engines]).await
    }

    /// Starts a fleet as [`Self::start`] does, with engines of these settings.
    pub async fn start_with_engines(nodes: usize, engines: Vec<EngineSettings>) -> Self {
        let log = log::start(ANY_PORT, LogSettings::default())
            .await
            .expect("log");
        let settings = HostSettings {
            lag: Duration::from_millis(200),
        };
        let hosts = hosts::start(ANY_PORT, settings).await.expect("hosts");
        let mut started = Vec::new();
        for settings in engines {
            let settings = EngineSettings {
                models: vec!["writer".into()],
                ..settings
            };
            started.push(engine::start(ANY_PORT, settings).await.expect("engine"));
        }
        let service = service::start(ANY_PORT, ServiceSettings::default())
            .await
            .expect("service");
        let mut fleet = Self {
            log,
            hosts,
            engines: started,
            service,
            nodes: Vec::new(),
            client: Client::builder().no_proxy().build().expect("client"),
        };
        fleet.publish();
        for index in 0..nodes {
            fleet
                .add_node(&format!("node-{index}"), &format!("zone-{}", index % 3))
                .await;
        }
        fleet.wait_until_ready().await;
        fleet
    }

    /// Appends the configuration to the log.
    pub fn publish(&self) {
        let file = configuration(&self.engines, &self.service);
        let file = serde_json::from_value(file).expect("a valid configuration");
        let record = Record::Change(ChangeRecord::from_file("first", &file));
        let record = serde_json::to_value(record).expect("a serializable record");
        self.log.append(record);
    }

    /// Starts one more node and adds it to the host list.
    pub async fn add_node(&mut self, name: &str, zone: &str) {
        let settings = settings(name, zone, &self.log, &self.hosts);
        self.add_node_with(settings).await;
    }

    /// Starts one more node with these settings and adds it to the host list.
    pub async fn add_node_with(&mut self, settings: Settings) {
        let (name, zone) = (settings.name.clone(), settings.zone.clone());
        let listeners = NodeListeners::bind(&settings).await.expect("listeners");
        let [callers, peers, _] = listeners.addresses().expect("addresses");
        let mut rows = self.hosts.rows();
        rows.retain(|row| row.name != name);
        rows.push(HostRow {
            name,
            zone,
            role: HostRole::Node,
            peer_address: peers.to_string().into(),
            caller_address: callers.to_string().into(),
            leaving: false,
        });
        self.hosts.set_rows(rows);
        self.nodes
            .push(node::start_with(settings, listeners).expect("node"));
    }

    /// Waits until every node has a configuration and knows all members.
    pub async fn wait_until_ready(&self) {
        let count = self.nodes.len();
        for node in &self.nodes {
            let shared = node.shared();
            wait_until("nodes are ready", || {
                !shared.config().classes.is_empty() && shared.members().members.len() >= count
            })
            .await;
        }
    }

    /// Posts JSON to a node as a caller.
    pub async fn post(&self, node: usize, path: &str, body: &Value) -> reqwest::Response {
        let url = format!("http://{}{path}", self.nodes[node].callers);
        let request = self.client.post(url).bearer_auth(TOKEN).json(body);
        request.send().await.expect("an answer")
    }

    /// Gets JSON from a node as a caller.
    pub async fn get(&self, node: usize, path: &str) -> Value {
        let url = format!("http://{}{path}", self.nodes[node].callers);
        let request = self.client.get(url).bearer_auth(TOKEN);
        request
            .send()
            .await
            .expect("an answer")
            .json()
            .await
            .expect("JSON")
    }
}

/// Waits until a condition holds; panics after the timeout.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let waited = tokio::time::timeout(WAIT_TIMEOUT, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(waited.await.is_ok(), "timed out waiting until {what}");
}

/// A chat request.
pub fn chat_request(prompt: &str, tokens: u32, stream: bool) -> Value {
    json!({ "model": "writer", "max_tokens": tokens, "stream": stream,
        "messages": [{ "role": "user", "content": prompt }] })
}

/// The text of a streamed answer.
pub fn streamed_text(body: &str) -> String {
    body.lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .filter_map(|event| {
            Some(
                event
                    .pointer("/choices/0/delta/content")?
                    .as_str()?
                    .to_owned(),
            )
        })
        .collect()
}

impl TestFleet {
    /// Posts a call that may not be repeated to the plain service, with an idempotency key.
    pub async fn release_locker(&self, node: usize, key: &str, body: &Value) -> reqwest::Response {
        let url = format!(
            "http://{}/services/gate/lockers/7",
            self.nodes[node].callers
        );
        let request = self
            .client
            .post(url)
            .bearer_auth(TOKEN)
            .header("idempotency-key", key);
        request.json(body).send().await.expect("an answer")
    }

    /// Gets new idempotency keys from a node; empty if it mints none.
    pub async fn mint_keys(&self, node: usize, count: usize) -> Vec<String> {
        let answer = self.get(node, &format!("/v1/addresses?keys={count}")).await;
        let keys = answer["idempotency_keys"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        keys.iter()
            .filter_map(|key| Some(key.as_str()?.to_owned()))
            .collect()
    }

    /// The state dump of a node.
    pub async fn state(&self, node: usize) -> Value {
        let url = format!("http://{}/v1/state", self.nodes[node].operators);
        let request = self.client.get(url).bearer_auth(OPERATOR_TOKEN);
        request
            .send()
            .await
            .expect("an answer")
            .json()
            .await
            .expect("JSON")
    }
}
