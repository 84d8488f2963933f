//! One HTTP request from a caller to a node or an upstream, with its response.

use std::time::Duration;

use futures_util::StreamExt;
use reqwest::{Client, Response, StatusCode};
use serde_json::Value;
use tokio::time::Instant;

use crate::request::RequestBody;
use crate::verify::AnswerCheck;

/// Timeout of connection setup.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle time after which a connection is closed; shorter than the idle timeout of nodes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Destination and options of a request.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeTarget<'a> {
    /// IP number and port.
    pub address: &'a str,
    /// Whether the address belongs to an upstream rather than a node.
    pub direct: bool,
    /// The workspace's bearer token.
    pub token: &'a str,
    /// The idempotency key; `None` sends no key.
    pub key: Option<&'a str>,
    /// Whether the answer is compared with the one that a stand-in would return.
    pub checked: bool,
}

/// Arrival times of the parts of an answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimes {
    /// Arrival of the first token, or of the whole answer if it was not streamed.
    pub first: Instant,
    /// Arrival of the last token, or of the whole answer if it was not streamed.
    pub last: Instant,
    /// Number of tokens in the stream; 0 if the answer was not streamed.
    pub tokens: u32,
    /// Longest time between two successive tokens; 0 if there were fewer than two.
    pub longest_gap: Duration,
}

impl AnswerTimes {
    /// Times of an answer whose parts so far all arrived just now.
    fn now(tokens: u32) -> Self {
        let now = Instant::now();
        Self {
            first: now,
            last: now,
            tokens,
            longest_gap: Duration::ZERO,
        }
    }

    /// Mean time between two successive tokens of a stream.
    pub fn token_gap(&self) -> Duration {
        (self.last - self.first) / self.tokens.saturating_sub(1).max(1)
    }
}

/// Outcome of an exchange.
#[derive(Clone, Debug)]
pub enum ExchangeOutcome {
    /// The answer was received to its end.
    Answer(AnswerCheck, AnswerTimes),
    /// The request was refused and did not run.
    NotRun(RefusalDetails),
    /// The request may have run.
    Unknown,
    /// No connection could be established.
    Unsent,
    /// The connection failed, or the response does not follow the API.
    Broken,
}

/// Details of a refusal.
#[derive(Clone, Debug, Default)]
pub struct RefusalDetails {
    /// The machine-readable error code; empty if the response has none.
    pub code: Box<str>,
    /// An unused idempotency key for the next attempt; `None` if none was issued.
    pub key: Option<Box<str>>,
}

/// The HTTP client that all callers share.
pub fn client() -> reqwest::Result<Client> {
    Client::builder()
        .no_proxy()
        .http1_only()
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .tcp_nodelay(true)
        .build()
}

/// Sends a request and reads the response to its end.
pub async fn exchange(
    client: &Client,
    target: ExchangeTarget<'_>,
    body: &RequestBody,
) -> ExchangeOutcome {
    let response = match send(client, target, body).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return ExchangeOutcome::Unsent,
        Err(_) => return ExchangeOutcome::Broken,
    };
    if response.status() != StatusCode::OK {
        return refusal(response).await;
    }
    if body.streamed() {
        read_stream(response, target.checked, body).await
    } else {
        read_whole(response, target.checked, body).await
    }
}

async fn send(
    client: &Client,
    target: ExchangeTarget<'_>,
    body: &RequestBody,
) -> reqwest::Result<Response> {
    let path = if target.direct {
        body.upstream_path().to_owned()
    } else {
        body.node_path()
    };
    let mut request = client
        .post(format!("http://{}{path}", target.address))
        .bearer_auth(target.token)
        .header("content-type", "application/json")
        .body(body.text());
    if let Some(key) = target.key {
        request = request.header("idempotency-key", key);
    }
    if let RequestBody::Completion(completion) = body
        && let Some(purpose) = &completion.purpose
    {
        request = request.header("x-purpose", &**purpose);
    }
    request.send().await
}

async fn refusal(response: Response) -> ExchangeOutcome {
    match response.json::<Value>().await {
        Ok(body) => error_outcome(&body["error"]),
        Err(_) => ExchangeOutcome::Broken,
    }
}

/// Outcome of an exchange from the `error` object of its response.
fn error_outcome(error: &Value) -> ExchangeOutcome {
    let text = |name: &str| error[name].as_str().map(Box::<str>::from);
    match error["outcome"].as_str() {
        Some("not_run") => ExchangeOutcome::NotRun(RefusalDetails {
            code: text("code").unwrap_or_default(),
            key: text("idempotency_key"),
        }),
        Some("unknown") => ExchangeOutcome::Unknown,
        _ => ExchangeOutcome::Broken,
    }
}

async fn read_whole(response: Response, checked: bool, body: &RequestBody) -> ExchangeOutcome {
    let Ok(answer) = response.json::<Value>().await else {
        return ExchangeOutcome::Broken;
    };
    let times = AnswerTimes::now(0);
    let check = if checked {
        body.check_answer(&answer)
    } else {
        AnswerCheck::Whole
    };
    ExchangeOutcome::Answer(check, times)
}

/// Tokens and timing received from a stream so far.
struct StreamState {
    text: String,
    times: Option<AnswerTimes>,
}

async fn read_stream(response: Response, checked: bool, body: &RequestBody) -> ExchangeOutcome {
    let mut state = StreamState {
        text: String::new(),
        times: None,
    };
    let mut parts = response.bytes_stream();
    let mut buffer = Vec::new();
    while let Some(Ok(part)) = parts.next().await {
        buffer.extend_from_slice(&part);
        while let Some(line) = next_line(&mut buffer) {
            if let Some(outcome) = state.process_line(&line, checked, body) {
                return outcome;
            }
        }
    }
    ExchangeOutcome::Broken
}

/// Removes the first complete line from the buffer and returns it without trailing whitespace.
fn next_line(buffer: &mut Vec<u8>) -> Option<String> {
    let end = buffer.iter().position(|byte| *byte == b'\n')?;
    let line: Vec<u8> = buffer.drain(..=end).collect();
    Some(String::from_utf8_lossy(&line).trim_end().to_owned())
}

impl StreamState {
    /// Processes one line and returns the outcome if the line ends the stream.
    fn process_line(
        &mut self,
        line: &str,
        checked: bool,
        body: &RequestBody,
    ) -> Option<ExchangeOutcome> {
        let data = line.strip_prefix("data: ")?;
        if data == "[DONE]" {
            return Some(self.finish(checked, body));
        }
        let Ok(chunk) = serde_json::from_str::<Value>(data) else {
            return Some(ExchangeOutcome::Broken);
        };
        if let Some(error) = chunk.get("error") {
            return Some(error_outcome(error));
        }
        let token = chunk.pointer("/choices/0/delta/content");
        let token = token.and_then(Value::as_str).unwrap_or_default();
        if !token.is_empty() {
            self.text.push_str(token);
            self.record_token();
        }
        None
    }

    fn record_token(&mut self) {
        let Some(times) = &mut self.times else {
            self.times = Some(AnswerTimes::now(1));
            return;
        };
        let now = Instant::now();
        times.longest_gap = times.longest_gap.max(now - times.last);
        times.last = now;
        times.tokens += 1;
    }

    fn finish(&self, checked: bool, body: &RequestBody) -> ExchangeOutcome {
        let Some(times) = self.times else {
            return ExchangeOutcome::Broken;
        };
        let check = if checked {
            body.check_text(&self.text)
        } else {
            AnswerCheck::Whole
        };
        ExchangeOutcome::Answer(check, times)
    }
}
