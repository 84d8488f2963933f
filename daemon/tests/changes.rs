//! Configuration changes and engine orders by operators, over real sockets.

mod common;

use common::{OPERATOR_TOKEN, TestFleet, wait_until};
use monsoonbank_kernel::config::{Document, DocumentList};
use monsoonbank_kernel::configuration::publish::ChangeStatus;
use monsoonbank_kernel::record::{ChangeRecord, DocumentChange, PublishResult};
use reqwest::StatusCode;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

async fn get<T: DeserializeOwned>(fleet: &TestFleet, node: usize, path: &str) -> T {
    let url = format!("http://{}{path}", fleet.nodes[node].operators);
    let request = fleet.client.get(url).bearer_auth(OPERATOR_TOKEN);
    let answer = request.send().await.expect("an answer");
    answer.json().await.expect("the right shape")
}

async fn post(fleet: &TestFleet, node: usize, path: &str, body: &Value) -> reqwest::Response {
    let url = format!("http://{}{path}", fleet.nodes[node].operators);
    let request = fleet
        .client
        .post(url)
        .bearer_auth(OPERATOR_TOKEN)
        .json(body);
    request.send().await.expect("an answer")
}

async fn publish(fleet: &TestFleet, node: usize, change: &ChangeRecord) -> PublishResult {
    let answer = post(fleet, node, "/v1/changes", &json!(change)).await;
    answer.json().await.expect("a result")
}

/// A change that replaces the version in force of the class `chat`; `target` is in seconds.
async fn change(fleet: &TestFleet, id: &str, target: u64) -> ChangeRecord {
    let list: DocumentList = get(fleet, 0, "/v1/documents").await;
    let found = list.documents.iter().find_map(|one| match &one.content {
        Document::Class(class) if &*class.name == "chat" => Some((one.version, class.clone())),
        _ => None,
    });
    let (version, mut class) = found.expect("the class exists");
    class.target = std::time::Duration::from_secs(target);
    ChangeRecord {
        id: id.into(),
        changes: vec![DocumentChange::set(Document::Class(class), version)],
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn change_is_accepted_once_and_comes_into_force_on_every_node() {
    let fleet = TestFleet::start(4, 1).await;
    let first = change(&fleet, "first-change", 20).await;
    let second = change(&fleet, "second-change", 25).await;
    let accepted = publish(&fleet, 1, &first).await;
    let PublishResult::Accepted { version } = accepted else {
        panic!("expected an accepted change, found {accepted}");
    };
    assert_eq!(
        publish(&fleet, 2, &first).await,
        accepted,
        "result for a repeated id"
    );
    let conflict = publish(&fleet, 3, &second).await;
    let rejected = matches!(conflict, PublishResult::Conflict { found, .. } if found == version);
    assert!(rejected, "{conflict}");
    wait_until("the change is in force on every node", || {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|node| node.shared().config().version == version)
    })
    .await;
    loop {
        let status: ChangeStatus = get(&fleet, 1, "/v1/changes/first-change").await;
        if status
            .progress
            .is_some_and(|progress| (progress.in_force, progress.of) == (4, 4))
        {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_change_is_a_bad_request_and_a_zero_target_is_invalid() {
    let fleet = TestFleet::start(1, 1).await;
    let broken = post(&fleet, 0, "/v1/changes", &json!({ "id": "x" })).await;
    assert_eq!(broken.status(), StatusCode::BAD_REQUEST);
    let mut invalid = change(&fleet, "invalid", 0).await;
    invalid.id = "invalid".into();
    let result = publish(&fleet, 0, &invalid).await;
    assert!(matches!(result, PublishResult::Invalid { .. }), "{result}");
}

#[tokio::test(flavor = "multi_thread")]
async fn order_reaches_the_engine_with_a_fencing_token() {
    let fleet = TestFleet::start(3, 1).await;
    let list: DocumentList = get(&fleet, 0, "/v1/documents").await;
    let engine = list.documents.iter().find_map(|one| match &one.content {
        Document::Upstream(upstream) if &*upstream.pool == "writer" => Some(&upstream.name),
        _ => None,
    });
    let path = format!("/v1/orders/{}", engine.expect("an engine"));
    let order = json!({ "order": "load_adapter", "adapter": "courier" });
    for node in 0..3 {
        let accepted = post(&fleet, node, &path, &order).await;
        assert_eq!(accepted.status(), StatusCode::ACCEPTED);
    }
    wait_until("the engine has received the order", || {
        !fleet.engines[0].orders().is_empty()
    })
    .await;
    let orders = fleet.engines[0].orders();
    assert!(orders[0].accepted && orders[0].fencing > 0);
    assert_eq!(orders[0].order["adapter"], "courier");
    let unknown = post(&fleet, 0, "/v1/orders/nobody", &order).await;
    assert_eq!(unknown.status(), StatusCode::NOT_FOUND);
}
