//! Attempts at upstreams: sends the request, forwards the answer's chunks to the entry node and reports
//! to the kernel how the attempt ended.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use monsoonbank_kernel::call::{AttemptEnd, AttemptStart, Tier};
use monsoonbank_kernel::config::{PoolKind, Upstream};
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::{AttemptId, NodeId};
use monsoonbank_platform::answer;
use reqwest::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use reqwest::{Method, Response, StatusCode};
use serde_json::Value;
use serde_json::value::{RawValue, to_raw_value};
use tokio_util::sync::CancellationToken;

use crate::calls::Delivery;
use crate::driver;
use crate::frame::{Chunk, RequestParts};
use crate::shared::{NodeShared, StartedWork};
use crate::sse::{EventSplitter, ServerEvent};

/// Response header by which an upstream states that it did not run a request that it refuses.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Response header by which an upstream announces, in any answer, that it accepts no new requests.
pub const LEAVING_HEADER: &str = "x-leaving";
/// Request header with the identifier of the attempt.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Number of tokens between two progress reports to the kernel. The first token is reported, too.
const PROGRESS_TOKENS: u32 = 16;
/// Number of copies of a request body that an attempt makes: one that is rewritten for an engine.
pub const BODY_COPIES: usize = 1;
/// Largest size of the fields that are added to a request body for an engine, in bytes.
const ADDED_BYTES: usize = 128;
/// Maximum size of an engine's error response that is forwarded, in bytes.
const MAX_ERROR_BYTES: usize = 64 * 1024;

/// A running attempt.
struct RunningAttempt {
    shared: Arc<NodeShared>,
    attempt: AttemptId,
    entry: NodeId,
    index: u32,
    first_index: u32,
}

/// Starts an attempt in its own task. If the request is not found, the attempt ends as not sent.
pub fn start(shared: &Arc<NodeShared>, start: AttemptStart) {
    let attempt = start.work.attempt;
    let Some(StartedWork {
        entry,
        parts,
        cancel,
    }) = shared.start_work(attempt)
    else {
        log::error!("attempt={attempt} event=request_missing");
        shared.send_event(Event::AttemptEnded {
            attempt,
            end: AttemptEnd::Unsent,
        });
        return;
    };
    let first_index = start.work.resume_from;
    let own = Arc::clone(shared);
    shared.spawn(async move {
        let running = RunningAttempt {
            shared: own,
            attempt,
            entry,
            index: first_index,
            first_index,
        };
        run(running, &start, &parts, &cancel).await;
    });
}

async fn run(
    mut running: RunningAttempt,
    start: &AttemptStart,
    parts: &RequestParts,
    cancel: &CancellationToken,
) {
    let end = tokio::select! {
        end = send_request(&mut running, start, parts) => Some(end),
        () = cancel.cancelled() => None,
    };
    let tokens = running.index - running.first_index;
    let end = end.unwrap_or(AttemptEnd::Cancelled { tokens });
    running.shared.mark_work_stopped(running.attempt);
    running.shared.send_event(Event::AttemptEnded {
        attempt: running.attempt,
        end,
    });
}

async fn send_request(
    running: &mut RunningAttempt,
    start: &AttemptStart,
    parts: &RequestParts,
) -> AttemptEnd {
    let config = running.shared.config();
    let Some(upstream) = config.upstreams.get(&start.upstream) else {
        return AttemptEnd::Unsent;
    };
    let kind = config
        .pools
        .get(&upstream.pool)
        .map_or(PoolKind::Service, |pool| pool.kind);
    let Some(request) = build_request(running, start, parts, upstream, kind) else {
        return AttemptEnd::Unsent;
    };
    running
        .shared
        .send_event(Event::AttemptSent(running.attempt));
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return AttemptEnd::Unsent,
        Err(error) => {
            log::debug!(
                "attempt={} event=broken reason=\"{error}\"",
                running.attempt
            );
            return AttemptEnd::Broken { tokens: 0 };
        }
    };
    if !answer::is_final(response.status()) {
        let status = response.status();
        log::warn!(
            "attempt={} event=bad_status status={status}",
            running.attempt
        );
        return AttemptEnd::Broken { tokens: 0 };
    }
    report_leaving(running, start, &response);
    if refused(&response) {
        report_pause(running, start, &response);
        return AttemptEnd::Refused;
    }
    match kind {
        PoolKind::Model if response.status().is_success() => {
            forward_stream(running, response).await
        }
        PoolKind::Model if response.status().is_server_error() => AttemptEnd::Broken { tokens: 0 },
        PoolKind::Model | PoolKind::Service => forward_unchanged(running, response, kind).await,
    }
}

/// Reports to the kernel if the head of an answer announces that the upstream leaves.
fn report_leaving(running: &RunningAttempt, start: &AttemptStart, response: &Response) {
    if response.headers().contains_key(LEAVING_HEADER) {
        let upstream = start.upstream;
        log::info!("upstream={upstream} event=leaving_announced");
        running
            .shared
            .send_event(Event::UpstreamLeaveAnnounced(upstream));
    }
}

/// Reports to the kernel for how long an upstream that refused a call asked for no more calls. The
/// `Retry-After` header is in seconds, fractions allowed.
fn report_pause(running: &RunningAttempt, start: &AttemptStart, response: &Response) {
    let Some(value) = response.headers().get(RETRY_AFTER) else {
        return;
    };
    let seconds = header_text(value).and_then(|text| text.trim().parse().ok());
    let seconds = seconds.filter(|seconds: &f64| seconds.is_finite() && *seconds > 0.0);
    let upstream = start.upstream;
    let Some(seconds) = seconds else {
        log::debug!("upstream={upstream} event=bad_pause value={value:?}");
        return;
    };
    let pause = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
    log::info!("upstream={upstream} event=pause_asked seconds={seconds}");
    running
        .shared
        .send_event(Event::UpstreamPaused { upstream, pause });
}

fn refused(response: &Response) -> bool {
    response.headers().contains_key(NOT_RUN_HEADER)
        || response.status() == StatusCode::TOO_MANY_REQUESTS
}

fn build_request(
    running: &RunningAttempt,
    start: &AttemptStart,
    parts: &RequestParts,
    upstream: &Upstream,
    kind: PoolKind,
) -> Option<reqwest::RequestBuilder> {
    let spec = &start.work.spec;
    let method = Method::from_bytes(parts.method.as_bytes()).ok()?;
    let url = format!("http://{}{}", upstream.spec.address, parts.path);
    let shared = &running.shared;
    let client = if spec.repeatable {
        &shared.client
    } else {
        &shared.single_use_client
    };
    let body = match kind {
        PoolKind::Model => engine_body(&parts.body, spec.tier, running.first_index)?,
        PoolKind::Service => parts.body.clone(),
    };
    let mut request = client
        .request(method, url)
        .header(REQUEST_ID_HEADER, running.attempt.to_string())
        .body(body);
    if let Some(content_type) = &parts.content_type {
        request = request.header(CONTENT_TYPE, &**content_type);
    }
    if let Some(key) = &parts.key {
        request = request.header("idempotency-key", &**key);
    }
    Some(request)
}

/// Rewrites a request body for an engine. The answer is always streamed, whatever the caller asked for,
/// so that a broken answer can be resumed after the tokens received so far.
fn engine_body(body: &[u8], tier: Tier, resume_from: u32) -> Option<Bytes> {
    let stream = to_raw_value(&true).ok()?;
    let options = to_raw_value(&serde_json::json!({ "include_usage": true })).ok()?;
    let priority = to_raw_value(&tier.0).ok()?;
    let resumed = to_raw_value(&resume_from).ok()?;
    // The values stay text: a parsed value takes many times the memory of its text.
    let mut fields: BTreeMap<Box<str>, &RawValue> = serde_json::from_slice(body).ok()?;
    fields.insert("stream".into(), &stream);
    fields.insert("stream_options".into(), &options);
    fields.insert("priority".into(), &priority);
    if resume_from > 0 {
        fields.insert("resume_tokens".into(), &resumed);
    }
    let mut text = Vec::with_capacity(body.len() + ADDED_BYTES);
    serde_json::to_writer(&mut text, &fields).ok()?;
    Some(text.into())
}

async fn forward_stream(running: &mut RunningAttempt, response: Response) -> AttemptEnd {
    let mut splitter = EventSplitter::default();
    let mut body = response.bytes_stream();
    while let Some(Ok(bytes)) = body.next().await {
        splitter.push(&bytes);
        while let Some(event) = splitter.next_event() {
            match event {
                ServerEvent::Data(json) => forward_token(running, &json),
                ServerEvent::Done => {
                    return AttemptEnd::Complete {
                        tokens: running.index - running.first_index,
                    };
                }
            }
        }
    }
    AttemptEnd::Broken {
        tokens: running.index - running.first_index,
    }
}

fn forward_token(running: &mut RunningAttempt, json: &str) {
    let Ok(mut value) = serde_json::from_str::<Value>(json) else {
        log::warn!("attempt={} event=bad_chunk", running.attempt);
        return;
    };
    if let Some(usage) = value.get("usage").filter(|usage| !usage.is_null()) {
        emit(running, Chunk::Usage(usage.to_string().into()));
    }
    let Some(choices) = value.get_mut("choices").map(Value::take) else {
        return;
    };
    let Some(choice) = choices.get(0) else {
        return;
    };
    let token = carries_token(choice);
    emit(
        running,
        Chunk::Choices {
            json: choices.to_string().into(),
            token,
        },
    );
    let tokens = running.index - running.first_index;
    if token && (tokens == 1 || tokens.is_multiple_of(PROGRESS_TOKENS)) {
        running.shared.send_event(Event::AttemptProgress {
            attempt: running.attempt,
            tokens,
        });
    }
}

fn carries_token(choice: &Value) -> bool {
    let filled = |value: Option<&Value>| {
        value.is_some_and(|value| !value.is_null() && value.as_str() != Some(""))
    };
    let delta = choice.get("delta");
    filled(choice.get("text"))
        || filled(delta.and_then(|delta| delta.get("content")))
        || filled(delta.and_then(|delta| delta.get("tool_calls")))
}

async fn forward_unchanged(
    running: &mut RunningAttempt,
    response: Response,
    kind: PoolKind,
) -> AttemptEnd {
    let content_type = response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(header_text)
        .map(Into::into);
    let status = response.status().as_u16();
    emit(
        running,
        Chunk::Head {
            status,
            content_type,
        },
    );
    let mut body = response.bytes_stream();
    let mut size = 0;
    while let Some(data) = body.next().await {
        let Ok(data) = data else {
            return AttemptEnd::Broken {
                tokens: running.index,
            };
        };
        size += data.len();
        if kind == PoolKind::Model && size > MAX_ERROR_BYTES {
            return AttemptEnd::Broken {
                tokens: running.index,
            };
        }
        emit(running, Chunk::Data(data));
    }
    AttemptEnd::Complete {
        tokens: running.index - running.first_index,
    }
}

fn header_text(value: &HeaderValue) -> Option<&str> {
    value.to_str().ok()
}

fn emit(running: &mut RunningAttempt, chunk: Chunk) {
    let index = running.index;
    running.index += u32::from(chunk.advances_index());
    let delivery = driver::send_chunk(
        &running.shared,
        running.entry,
        running.attempt,
        index,
        chunk,
    );
    if delivery == Delivery::Stalled {
        log::warn!("attempt={} event=caller_stalled", running.attempt);
    }
}
