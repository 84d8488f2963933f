//! Processes a caller's request: authenticates the workspace, classifies the request by the
//! configured rules, and opens the call.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use monsoonbank_kernel::call::CallSpec;
use monsoonbank_kernel::config::{Classification, Config, RequestFacts, WorkspaceSpec};
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::{CallId, WorkspaceId};
use monsoonbank_kernel::keys::RequestKey;
use salvo::http::StatusCode;
use salvo::prelude::Request;
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::Xxh3Default;

use crate::account::MemoryError;
use crate::body::{self, BodyError, BodyLimits};
use crate::frame::RequestParts;
use crate::refusal::CallerError;
use crate::shared::NodeShared;
use crate::sink::{CallReceiver, CallerEvent};

/// Maximum number of bytes beyond the limit that are read and discarded, so that a client which reads
/// only after writing its whole request receives the error. After them the connection is closed.
const DISCARDED_BYTES: usize = 64 << 20;
/// Bytes per token for estimating the size of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// An authenticated caller: the workspace that sent a request.
#[derive(Clone, Debug)]
pub struct AuthenticatedCaller {
    /// Configuration that was in force when the request was authenticated; it applies to the whole
    /// request.
    pub config: Arc<Config>,
    /// Identifier of the workspace.
    pub workspace: WorkspaceId,
    /// Configuration of the workspace.
    pub spec: Arc<WorkspaceSpec>,
}

/// Properties of a request that are read from its body or path.
#[derive(Clone, Debug, Default)]
pub struct RequestShape<'a> {
    /// Name of the requested model or plain service.
    pub model: &'a str,
    /// Whether the caller asked for a streamed answer.
    pub streamed: bool,
    /// Maximum number of tokens in the answer; 0 for no limit.
    pub max_tokens: u32,
    /// Hash of the beginning of the prompt, for cache affinity; 0 for plain services.
    pub prefix: u64,
}

/// Handle of an open call. Dropping it before the call has ended cancels the call.
pub struct CallHandle {
    shared: Arc<NodeShared>,
    /// Identifier of the call.
    pub call: CallId,
    receiver: CallReceiver,
    finished: bool,
}

impl CallHandle {
    /// Waits for the next chunk or the end. `None` if the call was dropped without an outcome.
    pub async fn next(&mut self) -> Option<CallerEvent> {
        let event = self.receiver.next().await?;
        self.finished |= matches!(event, CallerEvent::Finished(_));
        Some(event)
    }
}

impl Drop for CallHandle {
    fn drop(&mut self) {
        if !self.finished {
            self.shared.send_event(Event::CallCancelled(self.call));
        }
    }
}

/// Reads a request's body, up to the `body_bytes` limit of the settings. Room for `copies` more of the same
/// size is charged as well, for a body that is written anew for its upstream.
pub async fn read_body(
    shared: &NodeShared,
    request: &mut Request,
    copies: usize,
) -> Result<Bytes, CallerError> {
    let largest = shared.bodies.largest() / (copies.max(1) + 1);
    let bound = shared.settings.bounds.body_bytes.min(largest);
    let limits = BodyLimits {
        bytes: bound,
        // The server bounds each pause.
        timeout: Duration::MAX,
    };
    let mut body = request.take_body();
    let read = body::read_whole(&shared.bodies, limits, &mut body).await;
    let read = match read {
        Ok(read) => read.into_bytes(copies).await.map_err(BodyError::from),
        Err(error) => Err(error),
    };
    let error = match read {
        Ok(bytes) => return Ok(bytes),
        Err(error) => error,
    };
    let message = error.to_string();
    Err(match error {
        BodyError::TooLarge => {
            shared.spawn(body::discard(body, DISCARDED_BYTES));
            let message = format!("the body is larger than {bound} bytes");
            CallerError::not_run(StatusCode::PAYLOAD_TOO_LARGE, "too_large", message)
        }
        BodyError::Memory(MemoryError { retry_after }) => {
            log::info!("event=no_memory retry_after={retry_after:?}");
            let status = StatusCode::SERVICE_UNAVAILABLE;
            CallerError {
                retry_after: Some(retry_after),
                ..CallerError::not_run(status, "no_memory", message)
            }
        }
        BodyError::TimedOut => {
            CallerError::not_run(StatusCode::REQUEST_TIMEOUT, "slow_body", message)
        }
        BodyError::Unreadable(_) => {
            CallerError::not_run(StatusCode::BAD_REQUEST, "unreadable_body", message)
        }
    })
}

/// Authenticates a request by its bearer token. An error means that no configuration is in force yet,
/// or that the token is missing or unknown.
pub fn authenticate(
    shared: &NodeShared,
    request: &Request,
) -> Result<AuthenticatedCaller, CallerError> {
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
    Ok(AuthenticatedCaller {
        config,
        workspace,
        spec,
    })
}

/// SHA-256 hash of a workspace's token in hexadecimal, as stored in the configuration.
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

/// The bearer token of a request (RFC 6750); `None` if it has none.
pub fn bearer(request: &Request) -> Option<&[u8]> {
    let value = request.headers().get("authorization")?.as_bytes();
    let (scheme, token) = value.split_at_checked("bearer ".len())?;
    scheme
        .eq_ignore_ascii_case(b"bearer ")
        .then(|| token.trim_ascii())
}

/// Classifies a request by the configured rules. An error means that no rule matches, or that the
/// model or service is unknown. `bytes` is the size of the body.
pub fn classify(
    caller: &AuthenticatedCaller,
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

/// Opens a call for a classified request. An error means that the class is unknown or the node has
/// reached its limit of open calls.
pub fn open_call(
    shared: &Arc<NodeShared>,
    caller: &AuthenticatedCaller,
    classification: Classification,
    shape: &RequestShape<'_>,
    parts: RequestParts,
) -> Result<CallHandle, CallerError> {
    let class = caller.config.classes.get(&classification.class);
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
        class: classification.class,
        tier: classification.tier,
        pool: classification.pool,
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
        classification.tier
    );
    shared.send_event(Event::CallArrived { spec, key });
    Ok(CallHandle {
        shared: Arc::clone(shared),
        call,
        receiver,
        finished: false,
    })
}

/// Hash of method, path and body. It detects a different request under the same idempotency key.
fn fingerprint(parts: &RequestParts) -> u64 {
    let mut hasher = Xxh3Default::new();
    for field in [parts.method.as_bytes(), parts.path.as_bytes(), &parts.body] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.digest()
}

/// Counts an ended call by class and outcome; no error means a whole answer.
pub fn count_outcome(shared: &NodeShared, class: &str, error: Option<&CallerError>) {
    let outcome = error.map_or("whole", |error| error.outcome);
    shared
        .counters
        .calls
        .with_label_values(&[class, outcome])
        .inc();
}
