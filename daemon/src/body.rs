//! Reads request bodies up to a size limit.

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use salvo::http::{ReqBody, StatusCode};
use salvo::prelude::Request;

use crate::refusal::CallerError;
use crate::shared::NodeShared;

/// Maximum number of bytes beyond the limit that are read and discarded, so that a client which reads
/// only after writing its whole request receives the error. After them the connection is closed.
const DISCARDED_BYTES: usize = 64 << 20;

/// Reads a request's body, up to the `body_bytes` limit of the settings.
pub async fn read_body(shared: &NodeShared, request: &mut Request) -> Result<Bytes, CallerError> {
    let bound = shared.settings.bounds.body_bytes;
    let mut body = request.take_body();
    let mut read = BytesMut::new();
    while let Some(frame) = body.next().await {
        let frame = frame.map_err(|error| unreadable(&error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if read.len() + data.len() > bound {
            discard(body).await;
            return Err(too_large(bound));
        }
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
}

async fn discard(mut body: ReqBody) {
    let mut left = DISCARDED_BYTES;
    while let Some(Ok(frame)) = body.next().await {
        let size = frame.data_ref().map_or(0, Bytes::len);
        let Some(rest) = left.checked_sub(size) else {
            return;
        };
        left = rest;
    }
}

fn too_large(bound: usize) -> CallerError {
    CallerError::not_run(
        StatusCode::PAYLOAD_TOO_LARGE,
        "too_large",
        format!("the body is larger than {bound} bytes"),
    )
}

fn unreadable(error: &std::io::Error) -> CallerError {
    CallerError::not_run(
        StatusCode::BAD_REQUEST,
        "unreadable_body",
        format!("the body cannot be read: {error}"),
    )
}
