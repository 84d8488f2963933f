//! `monsoonbankd` in separate processes that are stopped, paused and killed by signals.

mod common;

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use common::{TOKEN, TestFleet, chat_request, settings, streamed_text, wait_until};
use monsoonbank_standin::answer::expected_answer;
use monsoonbank_standin::hosts::{HostRole, HostRow};

/// A loopback address (127.0.0.0/8) for one node, different for each node and test process.
fn unique_host() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, high | 1, low, host))
}

/// A node that runs in its own process; dropping it kills the process.
struct NodeProcess {
    child: Child,
    callers: String,
}

impl NodeProcess {
    /// Starts a node on its own loopback address, adds it to the host list and waits until it is ready.
    async fn start(fleet: &TestFleet, name: &str, zone: &str) -> Self {
        let mut settings = settings(name, zone, &fleet.log, &fleet.hosts);
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
            name: name.into(),
            zone: zone.into(),
            role: HostRole::Node,
            peer_address: peers.to_string().into(),
            caller_address: callers.to_string().into(),
            leaving: false,
        });
        fleet.hosts.set_rows(rows);
        let node = Self {
            child,
            callers: callers.to_string(),
        };
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

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").arg(name).arg(id).status();
        assert!(status.expect("kill").success());
    }

    async fn wait_for_exit(&mut self) -> ExitStatus {
        let child = &mut self.child;
        let mut status = None;
        wait_until("the process ends", || {
            status = child.try_wait().expect("a child");
            status.is_some()
        })
        .await;
        status.expect("wait_for_exit")
    }

    async fn stream_answer(&self, fleet: &TestFleet, prompt: &str, tokens: u32) -> String {
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
        // Fails if the process has already wait_for_exit, which is no error.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_process_finishes_its_streams_and_exits_with_0() {
    let fleet = TestFleet::start(0, 1).await;
    let mut first = NodeProcess::start(&fleet, "node-0", "zone-0").await;
    let second = NodeProcess::start(&fleet, "node-1", "zone-1").await;
    let stop = async {
        wait_until("the stream began", || fleet.engines[0].totals().tokens > 5).await;
        first.signal("-TERM");
    };
    let (text, ()) = tokio::join!(first.stream_answer(&fleet, "to the end", 200), stop);
    assert_eq!(streamed_text(&text), expected_answer("to the end", 200));
    assert_eq!(first.wait_for_exit().await.code(), Some(0));
    let text = second.stream_answer(&fleet, "after", 5).await;
    assert_eq!(streamed_text(&text), expected_answer("after", 5));
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_avoid_a_paused_owner_and_succeed_after_it_continues() {
    let fleet = TestFleet::start(0, 1).await;
    let owner = NodeProcess::start(&fleet, "node-0", "zone-0").await;
    let entry = NodeProcess::start(&fleet, "node-1", "zone-1").await;
    let text = entry.stream_answer(&fleet, "before", 5).await;
    assert_eq!(streamed_text(&text), expected_answer("before", 5));
    owner.signal("-STOP");
    let text = entry.stream_answer(&fleet, "while paused", 30).await;
    owner.signal("-CONT");
    assert_eq!(
        streamed_text(&text),
        expected_answer("while paused", 30),
        "{text}"
    );
    for node in [&owner, &entry] {
        let text = node.stream_answer(&fleet, "awake again", 5).await;
        assert_eq!(
            streamed_text(&text),
            expected_answer("awake again", 5),
            "{text}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_breaks_no_stream_and_is_replaced_by_a_new_process() {
    let fleet = TestFleet::start(0, 1).await;
    let owner = NodeProcess::start(&fleet, "node-0", "zone-0").await;
    let entry = NodeProcess::start(&fleet, "node-1", "zone-1").await;
    let kill = async {
        wait_until("the stream began", || fleet.engines[0].totals().tokens > 5).await;
        owner.signal("-KILL");
    };
    let (text, ()) = tokio::join!(entry.stream_answer(&fleet, "killed owner", 100), kill);
    assert_eq!(
        streamed_text(&text),
        expected_answer("killed owner", 100),
        "{text}"
    );
    let fresh = NodeProcess::start(&fleet, "node-2", "zone-0").await;
    let text = fresh.stream_answer(&fleet, "fresh", 5).await;
    assert_eq!(streamed_text(&text), expected_answer("fresh", 5));
}

#[test]
fn wrong_settings_name_file_line_and_field() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("wrong.yaml");
    fs::write(&file, "name: n\nzone: z\nlisten:\n  callers: nowhere\n").expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_monsoonbankd"))
        .arg("--config")
        .arg(&file)
        .output()
        .expect("a process");
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        error.contains("wrong.yaml:4: field `listen.callers`"),
        "{error}"
    );
}
