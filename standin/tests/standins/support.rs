//! Helpers of the stand-ins' tests.

use std::time::Duration;

use monsoonbank_standin::engine::EngineSettings;
use reqwest::{Client, Response};
use serde_json::{Value, json};

/// Any free port.
pub const LOOPBACK: &str = "127.0.0.1:0";

/// Names each case and gives it a runtime.
macro_rules! cases {
    ($($name:ident => $body:block)*) => {
        $(#[tokio::test(flavor = "multi_thread", worker_threads = 2)] async fn $name() $body)*
    };
}

/// An engine fast enough for tests.
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

/// A chat request of one message.
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

/// The joined tokens of an event stream, and whether it came to its end.
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

/// Waits until the condition holds.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..3000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("never happened: {what}");
}
