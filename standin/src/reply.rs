//! Writing JSON answers, and reading JSON bodies.

use salvo::http::{HeaderName, StatusCode};
use salvo::writing::Json;
use salvo::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// Largest request body that a stand-in reads, in bytes.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// Says that the request did not run.
pub(crate) const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// Says that the upstream that answers is leaving.
pub(crate) const LEAVING: HeaderName = HeaderName::from_static("x-leaving");

/// A plain answer: status and JSON body.
pub(crate) struct JsonReply {
    /// The status.
    pub(crate) status: StatusCode,
    /// The body.
    pub(crate) body: Value,
    /// Whether to say that the request did not run.
    pub(crate) not_run: bool,
}

impl JsonReply {
    /// 200 with `body`.
    pub(crate) fn ok(body: impl Serialize) -> Self {
        Self {
            status: StatusCode::OK,
            body: serde_json::to_value(body).unwrap_or_default(),
            not_run: false,
        }
    }

    /// An error in the shape of the `OpenAI` API, for a request that did not run.
    pub(crate) fn not_run(status: StatusCode, message: &str) -> Self {
        Self {
            status,
            body: json!({ "error": { "message": message, "type": "not_run" } }),
            not_run: true,
        }
    }

    /// Writes it out.
    pub(crate) fn write(self, response: &mut Response) {
        response.status_code(self.status);
        if self.not_run {
            response
                .headers_mut()
                .insert(NOT_RUN, salvo::http::HeaderValue::from_static("true"));
        }
        response.render(Json(self.body));
    }
}

/// The request's body as JSON, or the answer that says what is wrong with it.
pub(crate) async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, JsonReply> {
    let body = request
        .payload_with_max_size(MAX_BODY)
        .await
        .map_err(|error| JsonReply::not_run(StatusCode::PAYLOAD_TOO_LARGE, &error.to_string()))?;
    serde_json::from_slice(body)
        .map_err(|error| JsonReply::not_run(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// The request's body as text; bytes that are no UTF-8 are replaced.
pub(crate) async fn read_text(request: &mut Request) -> String {
    match request.payload_with_max_size(MAX_BODY).await {
        Ok(body) => String::from_utf8_lossy(body).into_owned(),
        Err(_) => String::new(),
    }
}
