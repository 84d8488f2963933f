//! `monsoon publish` against real nodes: accepted, in force, nothing to publish, conflict and retry.

use std::time::Duration;

use monsoonbank_daemon::node::{self, NodeHandle, NodeListeners};
use monsoonbank_daemon::settings::Settings;
use monsoonbank_standin::hosts::{self, HostRole, HostRow, HostSettings, HostsHandle};
use monsoonbank_standin::log::{self, LogHandle, LogSettings};

use crate::support::{monsoon, printed};

const ANY_PORT: &str = "127.0.0.1:0";

/// Nodes with a log and a host list; they run until the value is dropped.
struct PublishFleet {
    nodes: Vec<NodeHandle>,
    log: LogHandle,
    hosts: HostsHandle,
}

impl PublishFleet {
    async fn start(count: usize) -> Self {
        let lag = Duration::from_millis(50);
        let mut fleet = Self {
            nodes: Vec::new(),
            log: log::start(ANY_PORT, LogSettings::default())
                .await
                .expect("log"),
            hosts: hosts::start(ANY_PORT, HostSettings { lag })
                .await
                .expect("hosts"),
        };
        for index in 0..count {
            fleet.add(index).await;
        }
        fleet
    }

    async fn add(&mut self, index: usize) {
        let name = format!("node-{index}");
        let text = format!(
            "name: {name}\nzone: zone-{index}\n\
             listen: {{callers: '{ANY_PORT}', peers: '{ANY_PORT}', operators: '{ANY_PORT}'}}\n\
             platform: {{log: 'http://{}', hosts: 'http://{}', hosts_poll: 50ms}}\n\
             secrets: {{peer_key: peer-key, operator_token: operator-token}}\n\
             log_level: error\n",
            self.log.address(),
            self.hosts.address()
        );
        let settings = Settings::parse("node.yaml", &text).expect("settings");
        let listeners = NodeListeners::bind(&settings).await.expect("listeners");
        let [callers, peers, _] = listeners.addresses().expect("addresses");
        let mut rows = self.hosts.rows();
        rows.push(HostRow {
            name: name.into(),
            zone: format!("zone-{index}").into(),
            role: HostRole::Node,
            peer_address: peers.to_string().into(),
            caller_address: callers.to_string().into(),
            leaving: false,
        });
        self.hosts.set_rows(rows);
        self.nodes
            .push(node::start_with(settings, listeners).expect("node"));
    }

    /// Runs `monsoon publish` against a node and returns its output with the times masked.
    async fn publish(&self, node: usize, arguments: &[&str]) -> String {
        let mut command = monsoon();
        command.args(["publish", "--token", "operator-token", "--node"]);
        command.arg(self.nodes[node].operators.to_string());
        command.args(arguments);
        let output = tokio::task::spawn_blocking(move || command.output());
        let output = output.await.expect("a result").expect("the tool runs");
        mask_times(&printed(&output))
    }
}

/// Replaces each number before `ms)` by `N`.
fn mask_times(text: &str) -> String {
    let mut words: Vec<String> = text.split(' ').map(str::to_owned).collect();
    for position in 1..words.len() {
        if words[position].starts_with("ms)") {
            let open = words[position - 1].starts_with('(');
            let mask = if open { "(N" } else { "N" };
            words[position - 1] = mask.into();
        }
    }
    words.join(" ")
}

#[tokio::test(flavor = "multi_thread")]
async fn session() {
    let fleet = PublishFleet::start(3).await;
    let all_joined = || {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|node| node.shared().members().members.len() == 3)
    };
    while !all_joined() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let tauhere = "examples/tauhere/config.yaml";
    let changed = std::env::temp_dir().join(format!("tauhere-{}.yaml", std::process::id()));
    let text = std::fs::read_to_string(format!("../{tauhere}")).expect("the example exists");
    std::fs::write(&changed, text.replace("650ms", "700ms")).expect("it can be written");
    let changed = changed.display().to_string();
    let mut session = Vec::new();
    for (node, arguments) in [
        (0, vec!["--id", "first", tauhere]),
        (1, vec!["--id", "first", tauhere]),
        (1, vec![tauhere]),
        (2, vec!["--id", "second", &changed]),
        (0, vec!["--id", "third", "--seen", "1", tauhere]),
        (0, vec!["--id", "fourth", "--remove", "pool/mailbox"]),
        (
            1,
            vec!["--id", "fifth", "--remove", "workspace/tui-tutoring"],
        ),
    ] {
        let shown = arguments.join(" ").replace(&changed, "changed.yaml");
        let answer = fleet.publish(node, &arguments).await;
        session.push(format!("$ publish {shown}\n{answer}"));
    }
    std::fs::remove_file(&changed).expect("it was written");
    insta::assert_snapshot!(session.join("\n"));
}
