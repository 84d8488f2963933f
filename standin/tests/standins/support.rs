//! Helpers for the tests of the stand-ins.

use std::time::Duration;

use monsoonbank_standin::engine::EngineSettings;
use reqwest::{Client, Response};
use serde_json::{Value, json};

/// Loopback address with any free port.
pub const LOOPBACK: &str = "127.0.0.1:0";

/// Turns each named block into an asynchronous test.
macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[tokio::test(flavor = "multi_thread", worker_threads = 2)] async fn $name() $body)*
    };
}

/// Settings of an engine that is fast enough for tests.
pub fn fast_engine() -> EngineSettings {
    EngineSettings {
        models: vec!["small".into()],
        step: Duration::from_millis(1),
        prefill_per_token: Duration::ZERO,
        report_lag: Duration::ZERO,
        cache_event_delay: Duration::ZERO,
        cache_event_gap: 0,
        ..EngineSettings::default()
    }
}

/// A chat request with one message and additional fields.
pub fn chat(prompt: &str, extra: &Value) -> Value {
    let mut body = json!({
        "model": "small",
        "messages": [{ "role": "user", "content": prompt }],
    });
    for (name, value) in extra.as_object().into_iter().flatten() {
        body[name] = value.clone();
    }
    body
}

/// Posts JSON under a request identifier.
pub async fn post(url: &str, id: &str, body: &Value) -> reqwest::Result<Response> {
    Client::new()
        .post(url)
        .header("x-request-id", id)
        .json(body)
        .send()
        .await
}

/// Gets JSON.
pub async fn get(url: &str) -> Value {
    let response = reqwest::get(url).await.expect("an answer");
    response.json().await.expect("JSON")
}

/// The joined tokens of an event stream, and whether its end marker was received.
pub fn streamed_text(events: &str) -> (String, bool) {
    let mut text = String::new();
    let mut done = false;
    for line in events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
    {
        if line == "[DONE]" {
            done = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(line).expect("a JSON chunk");
        text += chunk["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or("");
    }
    (text, done)
}

/// Waits until a condition holds; panics after 30 s.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..3000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out waiting until {what}");
}
