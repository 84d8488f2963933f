//! Answers to callers and other clients of the node.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use monsoonbank_platform::answer;
use thiserror::Error;

/// Reason why an answer is cut off after its head was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CutError {
    /// The upstream's stream broke and no other upstream can continue it.
    #[error("the upstream broke off")]
    Upstream,
    /// The call's deadline has passed.
    #[error("the deadline has passed")]
    Deadline,
}

/// Chunks of a streamed body.
pub type PieceStream = LocalBoxStream<'static, Result<Frame<Bytes>, CutError>>;
/// Body of an answer: complete in memory, or streamed.
pub type ReplyBody = Either<Full<Bytes>, StreamBody<PieceStream>>;
/// HTTP answer with a complete or streamed body.
pub type Reply = Response<ReplyBody>;

/// Builds an answer with a complete body.
pub fn whole(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Either::Left(Full::new(body.into())));
    *reply.status_mut() = status;
    reply
}

/// Builds a failure answer of the router itself, with the reason as JSON.
pub fn failure(status: StatusCode, reason: &str) -> Reply {
    let body = serde_json::json!({ "error": reason }).to_string();
    let mut reply = whole(status, body);
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}

/// Builds the answer for a call that has not run and will not: status 503, with `pause` as the time
/// after which the caller may retry.
pub fn not_run(reason: &str, pause: Duration) -> Reply {
    let mut reply = failure(StatusCode::SERVICE_UNAVAILABLE, reason);
    reply
        .headers_mut()
        .insert(header::RETRY_AFTER, answer::retry_after(pause));
    reply
}
