//! Path of a call from the caller through entry node and owner node to the upstream and back.

mod common;

use common::{TOKEN, TestFleet, chat_request, streamed_text};
use monsoonbank_standin::answer::expected_answer;
use serde_json::{Value, json};

#[tokio::test(flavor = "multi_thread")]
async fn every_node_returns_whole_answers() {
    let fleet = TestFleet::start(3, 3).await;
    for node in 0..3 {
        for index in 0..4 {
            let prompt = format!("node {node} question {index}");
            let body = chat_request(&prompt, 12, false);
            let answer = fleet.post(node, "/v1/chat/completions", &body).await;
            let answer: Value = answer.json().await.expect("JSON");
            let text = answer
                .pointer("/choices/0/message/content")
                .and_then(Value::as_str);
            assert_eq!(text, Some(&*expected_answer(&prompt, 12)), "{answer}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer_is_whole_and_ends_with_done() {
    let fleet = TestFleet::start(2, 2).await;
    let response = fleet
        .post(
            0,
            "/v1/chat/completions",
            &chat_request("a stream", 20, true),
        )
        .await;
    assert_eq!(response.status(), 200);
    let body = response.text().await.expect("text");
    assert_eq!(streamed_text(&body), expected_answer("a stream", 20));
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_service_is_reached_from_every_node() {
    let fleet = TestFleet::start(3, 1).await;
    for node in 0..3 {
        let body = json!({ "n": node });
        let response = fleet
            .post(node, "/services/gate/passes/7?at=east", &body)
            .await;
        let echo: Value = response.json().await.expect("JSON");
        assert_eq!(echo["path"], "/passes/7", "{echo}");
    }
    assert_eq!(fleet.service.runs(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_can_list_models_and_addresses() {
    let fleet = TestFleet::start(3, 1).await;
    let models = fleet.get(0, "/v1/models").await;
    assert_eq!(models.pointer("/data/0/id"), Some(&json!("writer")));
    let addresses = fleet.get(0, "/v1/addresses?zone=zone-2").await;
    let own = fleet.nodes[2].callers.to_string();
    assert_eq!(addresses.pointer("/addresses/0"), Some(&json!(own)));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_token_is_unauthorized() {
    let fleet = TestFleet::start(1, 1).await;
    let url = format!("http://{}/v1/models", fleet.nodes[0].callers);
    let response = fleet
        .client
        .get(url)
        .bearer_auth(format!("not-{TOKEN}"))
        .send()
        .await;
    assert_eq!(response.expect("an answer").status(), 401);
}
