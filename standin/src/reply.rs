//! Writes JSON answers and reads JSON bodies.

use salvo::http::{HeaderName, StatusCode};
use salvo::writing::Json;
use salvo::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// Maximum size of a request body that a stand-in reads, in bytes.
const MAX_BODY: usize = 64 * 1024 * 1024;

/// Response header that states that the request was not run.
pub(crate) const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// Response header that announces that the upstream is leaving.
pub(crate) const LEAVING: HeaderName = HeaderName::from_static("x-leaving");

/// An answer with a status and a JSON body.
pub(crate) struct JsonReply {
    /// HTTP status code.
    pub(crate) status: StatusCode,
    /// Body of the answer.
    pub(crate) body: Value,
    /// Whether to state that the request was not run.
    pub(crate) not_run: bool,
}

impl JsonReply {
    /// Creates an answer with status 200.
    pub(crate) fn ok(body: impl Serialize) -> Self {
        Self {
            status: StatusCode::OK,
            body: serde_json::to_value(body).unwrap_or_default(),
            not_run: false,
        }
    }

    /// Creates an error in the shape of the `OpenAI` API, for a request that was not run.
    pub(crate) fn not_run(status: StatusCode, message: &str) -> Self {
        Self {
            status,
            body: json!({ "error": { "message": message, "type": "not_run" } }),
            not_run: true,
        }
    }

    /// Writes the answer to a response.
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

/// Reads a request's body as JSON. If it is invalid, the error is the answer to send.
pub(crate) async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, JsonReply> {
    let body = request
        .payload_with_max_size(MAX_BODY)
        .await
        .map_err(|error| JsonReply::not_run(StatusCode::PAYLOAD_TOO_LARGE, &error.to_string()))?;
    serde_json::from_slice(body)
        .map_err(|error| JsonReply::not_run(StatusCode::BAD_REQUEST, &error.to_string()))
}

/// Reads a request's body as text. Invalid UTF-8 is replaced; a body that cannot be read is empty.
pub(crate) async fn read_text(request: &mut Request) -> String {
    match request.payload_with_max_size(MAX_BODY).await {
        Ok(body) => String::from_utf8_lossy(body).into_owned(),
        Err(_) => String::new(),
    }
}
