//! Measures the time from publishing a change until it is in force on every node. Nine nodes run on
//! loopback sockets; the log is healthy, slow, or down right after the change was accepted.
//!
//! Run with `cargo bench -p monsoonbank-daemon --bench in_force`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{OPERATOR_TOKEN, TestFleet};
use monsoonbank_kernel::config::{Document, WorkspaceSpec};
use monsoonbank_kernel::record::{ChangeRecord, DocumentChange, PublishResult};
use monsoonbank_standin::faults::LogFaults;
use serde_json::json;

const NODES: usize = 9;

/// Pause after an outage of the log, longer than a node's longest interval between reads of a log that
/// is down.
const RECOVERY: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, PartialEq)]
enum LogCase {
    Healthy,
    Slow,
    DownAfter,
}

fn change(number: usize) -> ChangeRecord {
    let workspace = WorkspaceSpec {
        name: format!("workspace-{number}").into(),
        token_sha256: format!("{number:064x}").into(),
        weight: 1,
        calls_per_second: None,
        concurrent_calls: None,
    };
    ChangeRecord {
        id: format!("change-{number}").into(),
        changes: vec![DocumentChange::set(Document::Workspace(workspace), 0)],
    }
}

async fn publish(fleet: &TestFleet, number: usize) -> u64 {
    let node = &fleet.nodes[number % NODES];
    let request = fleet
        .client
        .post(format!("http://{}/v1/changes", node.operators))
        .bearer_auth(OPERATOR_TOKEN)
        .json(&json!(change(number)));
    let answer = request.send().await.expect("an answer");
    match answer.json().await.expect("a result") {
        PublishResult::Accepted { version } => version,
        other => panic!("change {number}: {other}"),
    }
}

async fn wait_until_in_force(fleet: &TestFleet, version: u64) {
    let lacks = || {
        let mut nodes = fleet.nodes.iter();
        nodes.any(|node| node.shared().config().version < version)
    };
    while lacks() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn print(name: &str, what: &str, times: &mut [Duration]) {
    times.sort();
    let at = |share: f64| times[((times.len() - 1) as f64 * share).round() as usize];
    let count = times.len();
    let (median, high, most) = (at(0.5), at(0.99), at(1.0));
    println!("{name:22} {what:9} {count:5}  {median:9.1?}  {high:9.1?}  {most:9.1?}");
}

async fn measure(fleet: &TestFleet, case: LogCase, name: &str, numbers: std::ops::Range<usize>) {
    let slow_ms = if case == LogCase::Slow { 1_000 } else { 0 };
    let faults = |down| LogFaults {
        down,
        slow_ms,
        lose_responses: 0,
    };
    fleet.log.set_faults(faults(false));
    let (mut accepted, mut in_force) = (Vec::new(), Vec::new());
    for number in numbers {
        let start = Instant::now();
        let version = publish(fleet, number).await;
        fleet.log.set_faults(faults(case == LogCase::DownAfter));
        accepted.push(start.elapsed());
        wait_until_in_force(fleet, version).await;
        in_force.push(start.elapsed());
        fleet.log.set_faults(faults(false));
        if case == LogCase::DownAfter {
            tokio::time::sleep(RECOVERY).await;
        }
    }
    print(name, "accepted", &mut accepted);
    print(name, "in force", &mut in_force);
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let fleet = TestFleet::start(NODES, 1).await;
        println!("log                    until     count        p50        p99        max");
        measure(&fleet, LogCase::Healthy, "healthy", 0..200).await;
        measure(&fleet, LogCase::Slow, "slow by 1 s", 200..230).await;
        measure(&fleet, LogCase::DownAfter, "down once accepted", 230..250).await;
    });
}
