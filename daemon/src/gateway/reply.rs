//! Answers to callers.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use http_body_util::{Either, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use monsoonbank_platform::answer;
use thiserror::Error;

/// Why an answer that has begun is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CutError {
    /// Its upstream broke off and none can go on.
    #[error("the upstream broke off")]
    Upstream,
    /// Its time is up.
    #[error("the deadline has passed")]
    Deadline,
}

/// The pieces of a stream.
pub type PieceStream = LocalBoxStream<'static, Result<Frame<Bytes>, CutError>>;
/// A body, whole or in pieces.
pub type ReplyBody = Either<Full<Bytes>, StreamBody<PieceStream>>;
/// An answer.
pub type Reply = Response<ReplyBody>;

/// An answer with a whole body.
pub fn whole(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Either::Left(Full::new(body.into())));
    *reply.status_mut() = status;
    reply
}

/// A failure of the router's own, with its reason as JSON.
pub fn failure(status: StatusCode, reason: &str) -> Reply {
    let body = serde_json::json!({ "error": reason }).to_string();
    let mut reply = whole(status, body);
    let kind = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, kind);
    reply
}

/// The call has not run and will not; the caller may come back after a pause.
pub fn not_run(reason: &str, pause: Duration) -> Reply {
    let mut reply = failure(StatusCode::SERVICE_UNAVAILABLE, reason);
    reply
        .headers_mut()
        .insert(header::RETRY_AFTER, answer::retry_after(pause));
    reply
}
