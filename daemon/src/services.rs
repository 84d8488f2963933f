//! Handler of `/services/{name}/…`: calls to plain services, with any method.

use std::sync::Arc;

use bytes::Bytes;
use monsoonbank_kernel::call::CallOutcome;
use salvo::http::StatusCode;
use salvo::prelude::{Request, Response, handler};

use crate::completions::render_raw;
use crate::frame::{Chunk, RequestParts};
use crate::refusal::CallerError;
use crate::requests::{self, CallHandle, RequestShape};
use crate::shared::NodeShared;
use crate::sink::CallerEvent;

/// Path prefix of calls to plain services; the service's name follows.
pub const SERVICES_PATH: &str = "/services/";
/// Request header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// Handler of calls to plain services.
pub struct ServiceApi {
    /// State of the node.
    pub shared: Arc<NodeShared>,
}

#[handler]
impl ServiceApi {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        if let Err(error) = self.answer(request, response).await {
            error.render(response);
        }
    }
}

impl ServiceApi {
    async fn answer(
        &self,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), CallerError> {
        let caller = requests::authenticate(&self.shared, request)?;
        let body = requests::read_body(&self.shared, request, 0).await?;
        let target = request
            .uri()
            .path_and_query()
            .map_or("", |target| target.as_str())
            .to_owned();
        let (service, path) = split_target(&target)?;
        let shape = RequestShape {
            model: service,
            ..RequestShape::default()
        };
        let classification = requests::classify(&caller, request, &shape, body.len())?;
        let class = caller.config.classes.get(&classification.class).cloned();
        let key = text_header(request, KEY_HEADER);
        if class.as_ref().is_some_and(|class| !class.repeatable) && key.is_none() {
            return Err(key_required(self.shared.fresh_key(caller.workspace)));
        }
        let parts = request_parts(request, path, key, body);
        let handle = requests::open_call(&self.shared, &caller, classification, &shape, parts)?;
        let name = class.map(|class| class.name.clone()).unwrap_or_default();
        let result = collect(handle, response).await;
        requests::count_outcome(&self.shared, &name, result.as_ref().err());
        result
    }
}

async fn collect(mut handle: CallHandle, response: &mut Response) -> Result<(), CallerError> {
    let mut head = None;
    let mut body = Vec::new();
    loop {
        let event = handle
            .next()
            .await
            .unwrap_or(CallerEvent::Finished(CallOutcome::Unknown));
        match event {
            CallerEvent::Chunk(Chunk::Head {
                status,
                content_type,
            }) => {
                head = Some((status, content_type));
            }
            CallerEvent::Chunk(Chunk::Data(data)) => body.extend_from_slice(&data),
            CallerEvent::Chunk(_) => {}
            CallerEvent::Finished(outcome) => {
                if let Some(error) = CallerError::from_outcome(outcome) {
                    return Err(error);
                }
                let (status, content_type) = head.unwrap_or((502, None));
                render_raw(response, status, content_type.as_deref(), body);
                return Ok(());
            }
        }
    }
}

/// Splits `/services/{name}/rest?query` into the name and `/rest?query`.
fn split_target(target: &str) -> Result<(&str, &str), CallerError> {
    let rest = target.strip_prefix(SERVICES_PATH).unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    if name.is_empty() {
        return Err(CallerError::not_run(
            StatusCode::NOT_FOUND,
            "no_service",
            "expected /services/{name}/…",
        ));
    }
    Ok((name, if path.is_empty() { "/" } else { path }))
}

fn request_parts(
    request: &Request,
    path: &str,
    key: Option<Box<str>>,
    body: Bytes,
) -> RequestParts {
    let path = if path.starts_with('/') {
        path.into()
    } else {
        format!("/{path}").into()
    };
    RequestParts {
        method: request.method().as_str().into(),
        path,
        content_type: text_header(request, "content-type"),
        key,
        body,
    }
}

fn text_header(request: &Request, name: &str) -> Option<Box<str>> {
    request.headers().get(name)?.to_str().ok().map(Into::into)
}

/// Error for a call that needs an idempotency key and has none. `fresh` is a new key for the caller to
/// use; `None` while this node shuts down.
fn key_required(fresh: Option<Box<str>>) -> CallerError {
    let Some(key) = fresh else {
        return CallerError::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "leaving",
            "this node is stopping; ask another for an Idempotency-Key",
        );
    };
    let error = CallerError::not_run(
        StatusCode::PRECONDITION_REQUIRED,
        "key_required",
        "this class may not be repeated: send the call again with this Idempotency-Key",
    );
    CallerError {
        key: Some(key),
        ..error
    }
}
