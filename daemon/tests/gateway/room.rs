//! What a node reports of a pool in which a call found no room.

use monsoonbank_standin::scripted::ScriptStep;
use serde_json::json;

use crate::world::{World, configuration, get, request, script, until};

/// Calls that fill the engine of eight slots up to what is left to more urgent ones.
const FILLING_CALLS: usize = 6;

// Guards against refusals for which nobody can tell whether the upstreams were full or only counted as
// full.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_without_room_reports_the_limits_that_closed_its_pool() {
    let hang = script(|_, _| vec![ScriptStep::Hang]);
    let mut world = World::start(&[], vec![hang]).await;
    let mut rules = configuration(2);
    rules["services"][0]["engine"] = json!({ "kvCapacity": 400_000, "stride": 5, "slots": 8 });
    world.publish(&rules);
    world = world.with_nodes(&["east"]).await;
    let node = &world.nodes[0];
    let mut filling = Vec::new();
    for index in 0..FILLING_CALLS {
        let text = request("/safe/x", &format!("fill-{index}"), "");
        let address = node.address(4000);
        filling.push(tokio::spawn(async move {
            crate::world::send(address, text.as_bytes()).await
        }));
    }
    until("the engine is full", async || {
        world.arrivals() == FILLING_CALLS
    })
    .await;
    let answer = world.send(&request("/safe/x", "a1", "")).await;
    assert_eq!(answer.status, 503);
    let line = || {
        let mut lines = node.lines().into_iter();
        lines.find(|line| line["event"] == "no_room" && line["call"] == "a1")
    };
    until("the line is written", async || line().is_some()).await;
    let line = line().expect("written");
    assert_eq!(line["closed"], json!({ "slots": 1 }), "{line}");
    assert_eq!(line["own_calls"], FILLING_CALLS, "{line}");
    for none in [
        "open",
        "backed_off",
        "excluded",
        "other_calls",
        "silent_calls",
        "silent",
    ] {
        assert_eq!(line[none], 0, "{line}");
    }
    assert_eq!(line["slots"], 8, "{line}");
    let metrics = get(node.address(4004), "/metrics")
        .await
        .expect("an answer");
    let counted = r#"monsoonbank_no_room_calls_total{pool="model"} 1"#;
    assert!(metrics.text().contains(counted), "{}", metrics.text());
    assert!(metrics.text().contains("monsoonbank_silent_senders 0"));
    for call in filling {
        call.abort();
    }
}
