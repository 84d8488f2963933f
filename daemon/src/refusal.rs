//! Error responses to callers, in the completions API's JSON shape with the call's outcome added.

use std::time::Duration;

use monsoonbank_kernel::call::{CallOutcome, RefusalReason};
use salvo::http::{HeaderValue, StatusCode};
use salvo::prelude::{Json, Response};
use serde_json::{Value, json};

/// Response header with the outcome of a call that has no whole answer: `not_run` or `unknown`.
pub const OUTCOME_HEADER: &str = "x-monsoonbank-outcome";

/// An error response to a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerError {
    /// HTTP status code of the response.
    pub status: StatusCode,
    /// Machine-readable error code.
    pub code: &'static str,
    /// Explanation of the error for a human reader.
    pub message: Box<str>,
    /// Outcome of the call: `not_run`, or `unknown` if it may have run.
    pub outcome: &'static str,
    /// Time after which the caller should retry; `None` for no advice.
    pub retry_after: Option<Duration>,
    /// New idempotency key for a call that needs one but has none; otherwise `None`.
    pub key: Option<Box<str>>,
}

impl CallerError {
    /// Creates the error for a request that was not run.
    pub fn not_run(status: StatusCode, code: &'static str, message: impl Into<Box<str>>) -> Self {
        let message = message.into();
        Self {
            status,
            code,
            message,
            outcome: "not_run",
            retry_after: None,
            key: None,
        }
    }

    /// Returns the error for a call's outcome; `None` for a whole answer.
    pub fn from_outcome(outcome: CallOutcome) -> Option<Self> {
        match outcome {
            CallOutcome::Whole { .. } => None,
            CallOutcome::NotRun {
                reason,
                retry_after,
            } => {
                let (status, code, message) = describe(reason);
                Some(Self {
                    retry_after,
                    ..Self::not_run(status, code, message)
                })
            }
            CallOutcome::Unknown => Some(Self {
                outcome: "unknown",
                ..Self::not_run(
                    StatusCode::BAD_GATEWAY,
                    "unknown_outcome",
                    "the call may have run; it was not repeated",
                )
            }),
        }
    }

    /// The response body as JSON.
    pub fn body(&self) -> Value {
        json!({ "error": {
            "message": self.message,
            "type": error_type(self.status),
            "code": self.code,
            "param": Value::Null,
            "outcome": self.outcome,
            "retry_after_ms": self.retry_after.map(|pause| pause.as_millis() as u64),
            "idempotency_key": self.key,
        }})
    }

    /// Writes the error as the whole response.
    pub fn render(&self, response: &mut Response) {
        response.status_code(self.status);
        let headers = response.headers_mut();
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(self.outcome));
        if let Some(pause) = self.retry_after {
            let seconds = pause.as_secs() + u64::from(pause.subsec_nanos() > 0);
            headers.insert("retry-after", HeaderValue::from(seconds));
        }
        response.render(Json(self.body()));
    }
}

fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}

fn describe(reason: RefusalReason) -> (StatusCode, &'static str, &'static str) {
    match reason {
        RefusalReason::Overloaded => (
            StatusCode::SERVICE_UNAVAILABLE,
            "overloaded",
            "no capacity left for this tier",
        ),
        RefusalReason::Deadline => (
            StatusCode::SERVICE_UNAVAILABLE,
            "deadline",
            "the class's target cannot be met",
        ),
        RefusalReason::Limit => (
            StatusCode::TOO_MANY_REQUESTS,
            "limit",
            "the workspace is above its limit",
        ),
        RefusalReason::NoUpstream => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no_upstream",
            "no upstream can be reached",
        ),
        RefusalReason::UpstreamRefused => (
            StatusCode::SERVICE_UNAVAILABLE,
            "upstream_refused",
            "the upstream refused the call",
        ),
        RefusalReason::Leaving => (
            StatusCode::SERVICE_UNAVAILABLE,
            "leaving",
            "this node is stopping; use another",
        ),
        RefusalReason::Key => (
            StatusCode::CONFLICT,
            "key",
            "the idempotency key is not valid for this call",
        ),
        RefusalReason::NoConfiguration => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no_configuration",
            "no configuration yet",
        ),
        RefusalReason::Cancelled => (
            StatusCode::REQUEST_TIMEOUT,
            "cancelled",
            "cancelled before it started",
        ),
    }
}
