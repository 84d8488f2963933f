//! Malformed input is answered with a clear error and does not affect other callers.

mod common;

use std::time::Duration;

use common::{TOKEN, TestFleet, chat_request};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn rejected(body: Vec<u8>) -> (u16, String) {
    let fleet = TestFleet::start(1, 1).await;
    let url = format!("http://{}/v1/chat/completions", fleet.nodes[0].callers);
    let request = fleet.client.post(url).bearer_auth(TOKEN).body(body);
    let response = request.send().await.expect("an answer");
    let status = response.status().as_u16();
    let error: Value = response.json().await.expect("a JSON error");
    assert_eq!(
        error.pointer("/error/outcome"),
        Some(&json!("not_run")),
        "{error}"
    );
    assert_eq!(fleet.engines[0].totals().started, 0);
    let good = fleet
        .post(0, "/v1/chat/completions", &chat_request("after", 3, false))
        .await;
    assert_eq!(good.status(), 200);
    (
        status,
        error["error"]["message"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
    )
}

macro_rules! rejects {
    ($($name:ident: $body:expr => $status:expr, $text:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let (status, message) = rejected($body).await;
            assert_eq!(status, $status, "{message}");
            assert!(message.contains($text), "{message}");
        }
    )*};
}

rejects! {
    text_instead_of_json: b"not json".to_vec() => 400, "not a JSON object";
    truncated_json: br#"{"model": "writer", "mess"#.to_vec() => 400, "not a JSON object";
    invalid_utf8: b"{\"model\": \"\xff\xfe\"}".to_vec() => 400, "not a JSON object";
    no_model: br#"{"messages": []}"#.to_vec() => 400, "field `model`";
    no_messages: br#"{"model": "writer"}"#.to_vec() => 400, "field `messages`";
    stream_of_the_wrong_type:
        br#"{"model": "writer", "stream": "yes"}"#.to_vec() => 400, "field `stream`";
    more_than_one_answer:
        br#"{"model": "writer", "n": 3, "messages": [{"content": "x"}]}"#.to_vec()
        => 400, "field `n`";
    unknown_model:
        br#"{"model": "nobody", "messages": [{"content": "x"}]}"#.to_vec() => 404, "nobody";
    too_large: vec![b' '; 5 << 20] => 413, "larger than";
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_do_not_block_other_callers() {
    let fleet = TestFleet::start(1, 1).await;
    let mut idle = Vec::new();
    for _ in 0..400 {
        idle.push(
            TcpStream::connect(fleet.nodes[0].callers)
                .await
                .expect("a connection"),
        );
    }
    let response = fleet
        .post(0, "/v1/chat/completions", &chat_request("busy", 3, false))
        .await;
    assert_eq!(response.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_on_the_peer_port_closes_only_that_connection() {
    let fleet = TestFleet::start(2, 1).await;
    for garbage in [
        &b"\x00\xff garbage"[..],
        b"GET / HTTP/1.1\r\n\r\n",
        &[0x82; 4096],
    ] {
        let mut stream = TcpStream::connect(fleet.nodes[0].peers)
            .await
            .expect("a connection");
        // The node may close the connection while the garbage is still being written.
        let _ = stream.write_all(garbage).await;
        let mut rest = Vec::new();
        let read = tokio::time::timeout(Duration::from_secs(30), stream.read_to_end(&mut rest));
        assert!(read.await.is_ok(), "the node closes the connection");
    }
    let response = fleet
        .post(1, "/v1/chat/completions", &chat_request("after", 3, false))
        .await;
    assert_eq!(response.status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_request_head_times_out_and_others_are_served() {
    let fleet = TestFleet::start(1, 1).await;
    let mut slow = TcpStream::connect(fleet.nodes[0].callers)
        .await
        .expect("a connection");
    slow.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost:")
        .await
        .expect("written");
    let response = fleet
        .post(0, "/v1/chat/completions", &chat_request("quick", 3, false))
        .await;
    assert_eq!(response.status(), 200);
    let mut rest = Vec::new();
    let read = tokio::time::timeout(Duration::from_mins(1), slow.read_to_end(&mut rest));
    assert!(read.await.is_ok(), "the slow connection is closed");
}
