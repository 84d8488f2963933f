//! Calls to the platform that one node at a time makes, and a store that resumes from an older
//! copy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use monsoonbank_standin::scripted::{ScriptStep, ScriptedUpstream};
use serde_json::Value;
use tokio::time::sleep;

use crate::world::{NodeProcess, World, configuration, good, request, script, send, until};

const USAGE_PATH: &str = "/usage-reports";

/// Starts a platform that accepts every call.
async fn platform() -> ScriptedUpstream {
    let accepts = script(|_, _| {
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        vec![ScriptStep::Send(answer.to_vec())]
    });
    ScriptedUpstream::start("127.0.0.1:0", accepts)
        .await
        .expect("a port")
}

fn duties(platform: &ScriptedUpstream) -> String {
    format!(
        "duties: {{address: '{}', names: [usage, cutover], calls_per_s: 50, lease_ms: 1200, \
         usage_window_s: 1, usage_late_s: 8}}\n",
        platform.address()
    )
}

/// A report as the platform received it.
#[derive(Clone, Debug)]
struct UsageReport {
    holder: String,
    token: u64,
    window: u64,
    counts: BTreeMap<String, u64>,
}

fn reports(platform: &ScriptedUpstream) -> Vec<UsageReport> {
    let calls = platform.calls();
    let usage = calls
        .iter()
        .filter(|call| &*call.request.target == USAGE_PATH);
    usage
        .map(|call| {
            let body: Value = serde_json::from_slice(&call.request.body).expect("JSON");
            UsageReport {
                holder: call.request.header("x-duty-holder").into(),
                token: call
                    .request
                    .header("x-fence-token")
                    .parse()
                    .expect("a number"),
                window: body["windowId"].as_u64().expect("a number"),
                counts: serde_json::from_value(body["counts"].clone()).expect("counts"),
            }
        })
        .collect()
}

/// Sums the calls of all windows. Two reports of one window have to be equal.
fn reported_calls(platform: &ScriptedUpstream) -> u64 {
    let mut windows: BTreeMap<u64, BTreeMap<String, u64>> = BTreeMap::new();
    for report in reports(platform) {
        let known = windows
            .entry(report.window)
            .or_insert(report.counts.clone());
        assert_eq!(*known, report.counts, "window {}", report.window);
    }
    windows.values().flat_map(BTreeMap::values).sum()
}

/// Waits until a node holds the duties. Windows that were open at the first contact with the store
/// are not reported, since they may have been in an earlier era.
async fn until_held(world: &World) {
    until("a node holds the duties", async || {
        let lines = world.nodes.iter().flat_map(NodeProcess::lines);
        lines.into_iter().any(|line| line["event"] == "duties_held")
    })
    .await;
}

async fn call(node: SocketAddr, id: &str) {
    let answer = send(node, request("/safe/a", id, "").as_bytes()).await;
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn usage_of_all_nodes_is_reported_by_one() {
    let platform = platform().await;
    let world = World::start_with(&["east", "west"], vec![good()], &duties(&platform)).await;
    until_held(&world).await;
    for (index, node) in world.nodes.iter().enumerate() {
        call(node.address(4000), &format!("a{index}")).await;
        call(node.address(4000), &format!("b{index}")).await;
    }
    until("all calls are reported", async || {
        reported_calls(&platform) >= 4
    })
    .await;
    assert_eq!(reported_calls(&platform), 4);
    let reports = reports(&platform);
    assert!(
        reports
            .iter()
            .all(|report| report.holder == reports[0].holder)
    );
    assert!(
        reports
            .iter()
            .all(|report| report.counts.contains_key("desk"))
    );
}

#[tokio::test]
async fn the_next_node_goes_on_when_the_holder_is_killed() {
    let platform = platform().await;
    let mut world = World::start_with(&["east", "west"], vec![good()], &duties(&platform)).await;
    until_held(&world).await;
    call(world.nodes[0].address(4000), "a").await;
    until("the first call is reported", async || {
        reported_calls(&platform) == 1
    })
    .await;
    let first = reports(&platform)[0].clone();
    let holder = usize::from(first.holder == "node-1");
    world.nodes[holder].child.kill().expect("a running process");
    call(world.nodes[1 - holder].address(4000), "b").await;
    until("the second call is reported", async || {
        reported_calls(&platform) == 2
    })
    .await;
    let later: Vec<UsageReport> = reports(&platform)
        .into_iter()
        .filter(|report| report.holder != first.holder)
        .collect();
    assert!(!later.is_empty());
    assert!(later.iter().all(|report| report.token > first.token));
}

#[tokio::test]
async fn a_store_that_resumes_from_an_older_copy_reverts_no_configuration() {
    let world = World::start(&["east"], vec![good()]).await;
    world.publish(&configuration(2));
    let version = async || world.nodes[0].state().await["version"].as_u64();
    until("version 2 is in force", async || version().await == Some(2)).await;
    world.store.roll_back("keyed.op", 1);
    until("the node has recorded the new era", async || {
        let lines = world.nodes[0].lines();
        lines.iter().any(|line| line["event"] == "store_era_began")
    })
    .await;
    assert_eq!(version().await, Some(2));
    // The record has the offset that version 2 had.
    world.publish(&configuration(3));
    until("version 3 is in force", async || version().await == Some(3)).await;
}

#[tokio::test]
async fn an_entry_that_an_older_copy_lacks_has_time_to_be_written_again() {
    let world = World::start(&["east"], vec![good()]).await;
    world.store.roll_back("keyed.servers", 1);
    until("the node has recorded the new era", async || {
        let lines = world.nodes[0].lines();
        lines.iter().any(|line| line["event"] == "store_era_began")
    })
    .await;
    call(world.nodes[0].address(4000), "a").await;
    world.register(0, "ready");
    sleep(Duration::from_millis(3500)).await;
    call(world.nodes[0].address(4000), "b").await;
}
