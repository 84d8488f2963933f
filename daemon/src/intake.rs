//! Takes a caller's request in: who it is from, what the rules say, and the open call.

use std::fmt::Write;
use std::sync::Arc;

use monsoonbank_kernel::call::CallSpec;
use monsoonbank_kernel::config::{Classification, Config, RequestFacts, WorkspaceSpec};
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::{CallId, WorkspaceId};
use monsoonbank_kernel::keys::RequestKey;
use salvo::http::StatusCode;
use salvo::prelude::Request;
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::Xxh3Default;

use crate::frame::RequestParts;
use crate::refusal::CallerError;
use crate::shared::NodeShared;
use crate::sink::{CallReceiver, CallerEvent};

/// Bytes of a prompt that count as one token when the prompt's size is estimated.
const BYTES_PER_TOKEN: usize = 4;

/// The workspace that sent a request.
#[derive(Clone, Debug)]
pub struct KnownCaller {
    /// The configuration that the request is judged by.
    pub config: Arc<Config>,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its settings.
    pub spec: Arc<WorkspaceSpec>,
}

/// What a request is, beyond its head.
#[derive(Clone, Debug, Default)]
pub struct RequestShape<'a> {
    /// The model or service named.
    pub model: &'a str,
    /// Whether the answer is streamed.
    pub streamed: bool,
    /// Most tokens that the caller takes; 0 for no bound.
    pub max_tokens: u32,
    /// Hash of the beginning of the prompt.
    pub prefix: u64,
}

/// A call on its way; cancels itself when it is dropped before its end.
pub struct OpenAnswer {
    shared: Arc<NodeShared>,
    /// The call.
    pub call: CallId,
    receiver: CallReceiver,
    finished: bool,
}

impl OpenAnswer {
    /// The next piece or the end.
    pub async fn next(&mut self) -> Option<CallerEvent> {
        let event = self.receiver.next().await?;
        self.finished |= matches!(event, CallerEvent::Finished(_));
        Some(event)
    }
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        if !self.finished {
            self.shared.event(Event::CallCancelled(self.call));
        }
    }
}

/// Finds the workspace by the request's bearer token.
pub fn identify(shared: &NodeShared, request: &Request) -> Result<KnownCaller, CallerError> {
    let config = shared.config();
    if config.classes.is_empty() {
        return Err(CallerError::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_configuration",
            "no configuration is in force yet",
        ));
    }
    let token = bearer(request).ok_or_else(unauthorized)?;
    let workspace = *config
        .tokens
        .get(&*token_hash(token))
        .ok_or_else(unauthorized)?;
    let spec = config
        .workspaces
        .get(&workspace)
        .map(Arc::clone)
        .ok_or_else(unauthorized)?;
    Ok(KnownCaller {
        config,
        workspace,
        spec,
    })
}

/// SHA-256 of a workspace's token, in hexadecimal, as the configuration keeps it.
pub fn token_hash(token: &[u8]) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(token) {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

fn unauthorized() -> CallerError {
    CallerError::not_run(
        StatusCode::UNAUTHORIZED,
        "unknown_token",
        "expected `Authorization: Bearer` with a workspace's token",
    )
}

/// The bearer token of a request (RFC 6750).
pub fn bearer(request: &Request) -> Option<&[u8]> {
    let value = request.headers().get("authorization")?.as_bytes();
    let (scheme, token) = value.split_at_checked("bearer ".len())?;
    scheme
        .eq_ignore_ascii_case(b"bearer ")
        .then(|| token.trim_ascii())
}

/// What the rules say of a request.
pub fn classify(
    caller: &KnownCaller,
    request: &Request,
    shape: &RequestShape<'_>,
    bytes: usize,
) -> Result<Classification, CallerError> {
    let headers: Vec<(&str, &str)> = request
        .headers()
        .iter()
        .filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)))
        .collect();
    let facts = RequestFacts {
        workspace: &caller.spec.name,
        path: request.uri().path(),
        method: request.method().as_str(),
        model: shape.model,
        headers: &headers,
        bytes: bytes as u64,
        streamed: shape.streamed,
    };
    caller.config.classify(&facts).ok_or_else(|| {
        CallerError::not_run(
            StatusCode::NOT_FOUND,
            "no_rule",
            format!(
                "no rule matches this request, or `{}` is not known",
                shape.model
            ),
        )
    })
}

/// Opens the call.
pub fn open(
    shared: &Arc<NodeShared>,
    caller: &KnownCaller,
    found: Classification,
    shape: &RequestShape<'_>,
    parts: RequestParts,
) -> Result<OpenAnswer, CallerError> {
    let class = caller.config.classes.get(&found.class);
    let Some(class) = class else {
        return Err(CallerError::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_class",
            "the matching rule names a class that is not known",
        ));
    };
    if shared.calls.len() >= shared.settings.bounds.open_calls {
        return Err(CallerError::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "too_many_calls",
            "this node has too many open calls; use another",
        ));
    }
    let call = shared.next_call();
    let spec = CallSpec {
        call,
        workspace: caller.workspace,
        class: found.class,
        tier: found.tier,
        pool: found.pool,
        time_left: class.target,
        repeatable: class.repeatable,
        prompt_tokens: (parts.body.len() / BYTES_PER_TOKEN) as u32,
        max_tokens: shape.max_tokens,
        prefix: shape.prefix,
    };
    let key = parts.key.clone().map(|text| {
        let fingerprint = fingerprint(&parts);
        RequestKey { text, fingerprint }
    });
    let receiver = shared.calls.open(call, parts);
    log::debug!(
        "call={call} event=arrived class={} tier={}",
        class.name,
        found.tier
    );
    shared.event(Event::CallArrived { spec, key });
    Ok(OpenAnswer {
        shared: Arc::clone(shared),
        call,
        receiver,
        finished: false,
    })
}

/// Hash of what a key answers for: another request under the same key is a caller's mistake.
fn fingerprint(parts: &RequestParts) -> u64 {
    let mut hasher = Xxh3Default::new();
    for field in [parts.method.as_bytes(), parts.path.as_bytes(), &parts.body] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.digest()
}

/// Counts a call's end.
pub fn count(shared: &NodeShared, class: &str, error: Option<&CallerError>) {
    let outcome = error.map_or("whole", |error| error.outcome);
    shared
        .counters
        .calls
        .with_label_values(&[class, outcome])
        .inc();
}
