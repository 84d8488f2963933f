//! Calls that may not be repeated run at most once per idempotency key, over real sockets.

mod common;

use common::{TestFleet, wait_until};
use monsoonbank_standin::faults::ServiceFaults;
use serde_json::{Value, json};

const OUTCOME: &str = "x-monsoonbank-outcome";

fn outcome(response: &reqwest::Response) -> &str {
    let header = response.headers().get(OUTCOME);
    header
        .and_then(|value| value.to_str().ok())
        .unwrap_or("whole")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_a_key_gets_one_and_does_not_run() {
    let fleet = TestFleet::start(1, 1).await;
    let response = fleet.post(0, "/services/gate/lockers/7", &json!({})).await;
    assert_eq!(
        (response.status().as_u16(), outcome(&response)),
        (428, "not_run")
    );
    let error: Value = response.json().await.expect("JSON");
    let key = error
        .pointer("/error/idempotency_key")
        .and_then(Value::as_str)
        .expect("a key");
    assert_eq!(fleet.service.runs(), 0);
    assert_eq!(fleet.release_locker(0, key, &json!({})).await.status(), 200);
    assert_eq!(fleet.service.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_at_any_node_gets_the_first_answer() {
    let fleet = TestFleet::start(3, 1).await;
    let key = fleet.mint_keys(1, 1).await.remove(0);
    let mut answers = Vec::new();
    for node in [0, 1, 2, 0] {
        let response = fleet
            .release_locker(node, &key, &json!({ "locker": 7 }))
            .await;
        assert_eq!(outcome(&response), "whole", "at node {node}");
        answers.push(response.text().await.expect("text"));
    }
    assert!(
        answers.windows(2).all(|pair| pair[0] == pair[1]),
        "{answers:?}"
    );
    assert_eq!(fleet.service.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_of_a_running_call_wait_for_its_answer() {
    let fleet = TestFleet::start(3, 1).await;
    fleet.service.set_faults(ServiceFaults {
        slow_ms: 300,
        ..ServiceFaults::default()
    });
    let key = fleet.mint_keys(0, 1).await.remove(0);
    let body = json!({ "locker": 8 });
    let calls = (0..6).map(|index| fleet.release_locker(index % 3, &key, &body));
    let answers = futures_util::future::join_all(calls).await;
    assert!(answers.iter().all(|answer| outcome(answer) == "whole"));
    assert_eq!(fleet.service.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_unknown_and_never_runs_again() {
    let fleet = TestFleet::start(2, 1).await;
    fleet.service.set_faults(ServiceFaults {
        lose_responses: 1,
        ..ServiceFaults::default()
    });
    let key = fleet.mint_keys(0, 1).await.remove(0);
    for node in [0, 1, 0] {
        let response = fleet.release_locker(node, &key, &json!({})).await;
        assert_eq!(
            (response.status().as_u16(), outcome(&response)),
            (502, "unknown")
        );
    }
    assert_eq!(fleet.service.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_key_of_a_killed_node_is_unknown_and_does_not_run() {
    let fleet = TestFleet::start(3, 1).await;
    let key = fleet.mint_keys(2, 1).await.remove(0);
    fleet.nodes[2].kill().await;
    let response = fleet.release_locker(0, &key, &json!({})).await;
    assert_eq!(outcome(&response), "unknown");
    assert_eq!(fleet.service.runs(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_forged_or_reused_key_is_refused() {
    let fleet = TestFleet::start(1, 1).await;
    let key = fleet.mint_keys(0, 1).await.remove(0);
    let last = if key.ends_with('0') { "1" } else { "0" };
    let forged = format!("{}{last}", &key[..key.len() - 1]);
    let refused = fleet.release_locker(0, &forged, &json!({})).await;
    assert_eq!(
        (refused.status().as_u16(), outcome(&refused)),
        (409, "not_run")
    );
    assert_eq!(
        fleet
            .release_locker(0, &key, &json!({ "n": 1 }))
            .await
            .status(),
        200
    );
    assert_eq!(
        fleet
            .release_locker(0, &key, &json!({ "n": 2 }))
            .await
            .status(),
        409
    );
    assert_eq!(fleet.service.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_work_while_the_log_is_down() {
    let fleet = TestFleet::start(2, 1).await;
    let faults = monsoonbank_standin::faults::LogFaults {
        down: true,
        ..Default::default()
    };
    fleet.log.set_faults(faults);
    let key = fleet.mint_keys(0, 1).await.remove(0);
    for node in [1, 0] {
        assert_eq!(
            fleet.release_locker(node, &key, &json!({})).await.status(),
            200
        );
    }
    assert_eq!(fleet.service.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn finished_calls_leave_no_state_behind() {
    let fleet = TestFleet::start(2, 1).await;
    for key in fleet.mint_keys(0, 8).await {
        assert_eq!(
            fleet.release_locker(1, &key, &json!({})).await.status(),
            200
        );
    }
    for node in &fleet.nodes {
        let shared = node.shared();
        wait_until("calls and requests are removed", || {
            shared.calls.is_empty() && shared.work_count() == 0
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_node_mints_no_keys() {
    let fleet = TestFleet::start(2, 1).await;
    assert_eq!(fleet.mint_keys(0, 3).await.len(), 3);
    fleet.nodes[0].drain();
    let mut keys = fleet.mint_keys(0, 3).await;
    for _ in 0..200 {
        if keys.is_empty() {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        keys = fleet.mint_keys(0, 3).await;
    }
    assert_eq!(keys, Vec::<String>::new());
    let response = fleet.post(0, "/services/gate/lockers/7", &json!({})).await;
    assert_eq!(response.status().as_u16(), 503);
}
