//! One HTTP exchange of a caller with a node or an upstream.

use std::time::Duration;

use futures_util::StreamExt;
use reqwest::{Client, Response, StatusCode};
use serde_json::Value;
use tokio::time::Instant;

use crate::request::RequestBody;
use crate::verify::AnswerCheck;

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections are dropped after this time without a request: before nodes drop them.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Where a request goes, and with what.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeTarget<'a> {
    /// IP number and port.
    pub address: &'a str,
    /// Whether it is an upstream and no node.
    pub direct: bool,
    /// The workspace's bearer token.
    pub token: &'a str,
    /// The idempotency key, if any.
    pub key: Option<&'a str>,
    /// Whether the answer is compared with the one that stand-ins give.
    pub checked: bool,
}

/// When the parts of an answer came.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimes {
    /// The first token, or the whole answer when it was not streamed.
    pub first: Instant,
    /// The last token, or the whole answer.
    pub last: Instant,
    /// Tokens of the stream; 0 when it was not streamed.
    pub tokens: u32,
    /// Longest time between two tokens.
    pub longest_gap: Duration,
}

impl AnswerTimes {
    /// Everything came now.
    fn now(tokens: u32) -> Self {
        let now = Instant::now();
        Self {
            first: now,
            last: now,
            tokens,
            longest_gap: Duration::ZERO,
        }
    }

    /// Mean time between two tokens of a stream.
    pub fn token_gap(&self) -> Duration {
        (self.last - self.first) / self.tokens.saturating_sub(1).max(1)
    }
}

/// How an exchange ended.
#[derive(Clone, Debug)]
pub enum ExchangeOutcome {
    /// The answer came to its end.
    Answer(AnswerCheck, AnswerTimes),
    /// It was refused: it did not run.
    NotRun(RefusalDetails),
    /// It may have run.
    Unknown,
    /// No connection could be made.
    Unsent,
    /// The connection broke, or the answer is none that the interface has.
    Broken,
}

/// What came with a refusal.
#[derive(Clone, Debug, Default)]
pub struct RefusalDetails {
    /// The constant for programs.
    pub code: Box<str>,
    /// A fresh idempotency key.
    pub key: Option<Box<str>>,
}

/// The client of all callers.
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

/// Sends a request and reads its answer to the end.
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
        Ok(body) => error_end(&body["error"]),
        Err(_) => ExchangeOutcome::Broken,
    }
}

/// The end that an error object tells.
fn error_end(error: &Value) -> ExchangeOutcome {
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
    let verdict = if checked {
        body.check_answer(&answer)
    } else {
        AnswerCheck::Whole
    };
    ExchangeOutcome::Answer(verdict, times)
}

/// What a stream has brought so far.
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
        while let Some(line) = take_line(&mut buffer) {
            if let Some(end) = state.take(&line, checked, body) {
                return end;
            }
        }
    }
    ExchangeOutcome::Broken
}

/// Takes the first whole line out of the buffer.
fn take_line(buffer: &mut Vec<u8>) -> Option<String> {
    let end = buffer.iter().position(|byte| *byte == b'\n')?;
    let line: Vec<u8> = buffer.drain(..=end).collect();
    Some(String::from_utf8_lossy(&line).trim_end().to_owned())
}

impl StreamState {
    /// Takes a line in; gives the end when the line says it.
    fn take(&mut self, line: &str, checked: bool, body: &RequestBody) -> Option<ExchangeOutcome> {
        let data = line.strip_prefix("data: ")?;
        if data == "[DONE]" {
            return Some(self.finish(checked, body));
        }
        let Ok(chunk) = serde_json::from_str::<Value>(data) else {
            return Some(ExchangeOutcome::Broken);
        };
        if let Some(error) = chunk.get("error") {
            return Some(error_end(error));
        }
        let token = chunk.pointer("/choices/0/delta/content");
        let token = token.and_then(Value::as_str).unwrap_or_default();
        if !token.is_empty() {
            self.text.push_str(token);
            self.note_token();
        }
        None
    }

    fn note_token(&mut self) {
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
        let verdict = if checked {
            body.check_text(&self.text)
        } else {
            AnswerCheck::Whole
        };
        ExchangeOutcome::Answer(verdict, times)
    }
}
