//! A node that runs in its own process.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use monsoonbank_daemon::settings::Settings;
use monsoonbank_standin::hosts::{HostRole, HostRow};

use super::{TOKEN, TestFleet, chat_request, settings, wait_until};

/// A loopback address (127.0.0.0/8) for one node, different for each node and test process.
fn unique_host() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, high | 1, low, host))
}

/// A node that runs in its own process; dropping it kills the process.
pub struct NodeProcess {
    pub child: Child,
    /// Address for callers.
    pub callers: SocketAddr,
}

impl NodeProcess {
    /// Starts a node on its own loopback address, adds it to the host list and waits until it is ready.
    pub async fn start(fleet: &TestFleet, name: &str, zone: &str) -> Self {
        Self::start_with(fleet, settings(name, zone, &fleet.log, &fleet.hosts)).await
    }

    /// Starts a node as [`Self::start`] does, with these settings but for its addresses.
    pub async fn start_with(fleet: &TestFleet, mut settings: Settings) -> Self {
        let host = unique_host();
        let [callers, peers, operators] =
            [4_000, 4_001, 4_002].map(|port| SocketAddr::new(host, port));
        settings.listen.callers = callers;
        settings.listen.peers = peers;
        settings.listen.operators = operators;
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{host}.yaml"));
        let text = serde_yaml_ng::to_string(&settings).expect("YAML");
        fs::write(&file, text).expect("a settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_monsoonbankd"))
            .arg("--config")
            .arg(file)
            .spawn()
            .expect("a process");
        let mut rows = fleet.hosts.rows();
        rows.push(HostRow {
            name: settings.name,
            zone: settings.zone,
            role: HostRole::Node,
            peer_address: peers.to_string().into(),
            caller_address: callers.to_string().into(),
            leaving: false,
        });
        fleet.hosts.set_rows(rows);
        let node = Self { child, callers };
        node.wait_until_ready(fleet, &operators.to_string()).await;
        node
    }

    async fn wait_until_ready(&self, fleet: &TestFleet, operators: &str) {
        for _ in 0..1_000 {
            let url = format!("http://{operators}/readyz");
            let answer = fleet.client.get(url).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the process is not ready");
    }

    /// Sends a signal.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").arg(name).arg(id).status();
        assert!(status.expect("kill").success());
    }

    /// Waits until the process has ended.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let child = &mut self.child;
        let mut status = None;
        wait_until("the process ends", || {
            status = child.try_wait().expect("a child");
            status.is_some()
        })
        .await;
        status.expect("an exit status")
    }

    /// Posts a chat request and returns the text of its streamed answer.
    pub async fn stream_answer(&self, fleet: &TestFleet, prompt: &str, tokens: u32) -> String {
        let url = format!("http://{}/v1/chat/completions", self.callers);
        let request = fleet.client.post(url).bearer_auth(TOKEN);
        let answer = request
            .json(&chat_request(prompt, tokens, true))
            .send()
            .await;
        answer.expect("an answer").text().await.expect("text")
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Fails if the process has already ended, which is no error.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
