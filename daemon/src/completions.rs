//! Handlers of `POST /v1/chat/completions` and `/v1/completions`, whole and streamed.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use futures_util::Stream;
use monsoonbank_kernel::call::CallOutcome;
use salvo::http::{HeaderValue, StatusCode};
use salvo::prelude::{Json, Request, Response, handler};
use serde_json::Value;

use crate::assembler::CompletionAssembler;
use crate::fields::CompletionFields;
use crate::frame::{Chunk, RequestParts};
use crate::refusal::CallerError;
use crate::requests::{self, CallHandle, RequestShape};
use crate::shared::NodeShared;
use crate::sink::CallerEvent;
use crate::upstreams::BODY_COPIES;

/// One of the two completion endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// The endpoint `/v1/chat/completions`, whose prompt is a list of messages.
    Chat,
    /// The endpoint `/v1/completions`, whose prompt is a text.
    Text,
}

impl CompletionKind {
    fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }

    /// Value of the `object` field in an answer, or in a chunk of a streamed one.
    pub fn object(self, streamed: bool) -> &'static str {
        match (self, streamed) {
            (Self::Chat, true) => "chat.completion.chunk",
            (Self::Chat, false) => "chat.completion",
            (Self::Text, _) => "text_completion",
        }
    }
}

/// Handler of one of the two completion endpoints.
pub struct CompletionApi {
    /// State of the node.
    pub shared: Arc<NodeShared>,
    /// Endpoint that this handler serves.
    pub kind: CompletionKind,
}

/// Fields that all chunks of one answer have in common.
#[derive(Debug)]
pub struct CompletionMetadata {
    /// Endpoint of the request.
    pub kind: CompletionKind,
    /// Value of the `id` field.
    pub id: Box<str>,
    /// Model name from the request.
    pub model: Box<str>,
    /// Value of the `created` field: Unix time of the request, in seconds.
    pub created: u64,
    class: Box<str>,
    include_usage: bool,
}

#[handler]
impl CompletionApi {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        if let Err(error) = self.answer(request, response).await {
            error.render(response);
        }
    }
}

impl CompletionApi {
    async fn answer(
        &self,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), CallerError> {
        let caller = requests::authenticate(&self.shared, request)?;
        let body = requests::read_body(&self.shared, request, BODY_COPIES).await?;
        let fields = CompletionFields::parse(self.kind, &body)?;
        let shape = RequestShape {
            model: &fields.model,
            streamed: fields.streamed,
            max_tokens: fields.max_tokens,
            prefix: fields.prefix,
        };
        let classification = requests::classify(&caller, request, &shape, body.len())?;
        let class = caller
            .config
            .classes
            .get(&classification.class)
            .map(|class| class.name.clone());
        let parts = RequestParts {
            method: "POST".into(),
            path: self.kind.path().into(),
            content_type: Some("application/json".into()),
            key: None,
            body,
        };
        let handle = requests::open_call(&self.shared, &caller, classification, &shape, parts)?;
        let metadata = CompletionMetadata {
            kind: self.kind,
            id: format!("cmpl-{}", handle.call).into(),
            model: fields.model,
            created: unix_seconds(),
            class: class.unwrap_or_default(),
            include_usage: fields.include_usage,
        };
        if fields.streamed {
            self.stream(handle, metadata, response).await
        } else {
            self.whole(handle, &metadata, response).await
        }
    }

    async fn stream(
        &self,
        mut handle: CallHandle,
        metadata: CompletionMetadata,
        response: &mut Response,
    ) -> Result<(), CallerError> {
        let first = first_event(&self.shared, &mut handle, &metadata).await?;
        let first = match first {
            CallerEvent::Chunk(Chunk::Head {
                status,
                content_type,
            }) => {
                let body = collect_body(&mut handle).await;
                render_raw(response, status, content_type.as_deref(), body);
                return Ok(());
            }
            other => other,
        };
        let headers = response.headers_mut();
        headers.insert(
            "content-type",
            HeaderValue::from_static("text/event-stream"),
        );
        headers.insert("cache-control", HeaderValue::from_static("no-cache"));
        let shared = Arc::clone(&self.shared);
        response.stream(event_stream(shared, handle, metadata, first));
        Ok(())
    }

    async fn whole(
        &self,
        mut handle: CallHandle,
        metadata: &CompletionMetadata,
        response: &mut Response,
    ) -> Result<(), CallerError> {
        let mut assembler = CompletionAssembler::default();
        let mut event = first_event(&self.shared, &mut handle, metadata).await?;
        loop {
            match event {
                CallerEvent::Chunk(Chunk::Head {
                    status,
                    content_type,
                }) => {
                    let body = collect_body(&mut handle).await;
                    render_raw(response, status, content_type.as_deref(), body);
                    return Ok(());
                }
                CallerEvent::Chunk(chunk) => assembler.add(&chunk),
                CallerEvent::Finished(outcome) => {
                    let error = CallerError::from_outcome(outcome);
                    requests::count_outcome(&self.shared, &metadata.class, error.as_ref());
                    if let Some(error) = error {
                        return Err(error);
                    }
                    response.render(Json(assembler.finish(metadata)));
                    return Ok(());
                }
            }
            event = handle
                .next()
                .await
                .unwrap_or(CallerEvent::Finished(CallOutcome::Unknown));
        }
    }
}

async fn first_event(
    shared: &NodeShared,
    handle: &mut CallHandle,
    metadata: &CompletionMetadata,
) -> Result<CallerEvent, CallerError> {
    let first = handle
        .next()
        .await
        .unwrap_or(CallerEvent::Finished(CallOutcome::Unknown));
    let CallerEvent::Finished(outcome) = first else {
        return Ok(first);
    };
    let Some(error) = CallerError::from_outcome(outcome) else {
        return Ok(first);
    };
    requests::count_outcome(shared, &metadata.class, Some(&error));
    Err(error)
}

fn event_stream(
    shared: Arc<NodeShared>,
    handle: CallHandle,
    metadata: CompletionMetadata,
    first: CallerEvent,
) -> impl Stream<Item = Result<Bytes, std::convert::Infallible>> + Send + 'static {
    let state = (handle, metadata, Some(first), false);
    futures_util::stream::unfold(state, move |(mut handle, metadata, first, ended)| {
        let shared = Arc::clone(&shared);
        async move {
            if ended {
                return None;
            }
            let event = match first {
                Some(event) => event,
                None => handle.next().await?,
            };
            let ended = matches!(event, CallerEvent::Finished(_));
            let text = match event {
                CallerEvent::Chunk(chunk) => event_text(&metadata, &chunk),
                CallerEvent::Finished(outcome) => end_text(&shared, &metadata, outcome),
            };
            Some((Ok(Bytes::from(text)), (handle, metadata, None, ended)))
        }
    })
}

fn event_text(metadata: &CompletionMetadata, chunk: &Chunk) -> String {
    let (choices, usage) = match chunk {
        Chunk::Choices { json, .. } => (&**json, None),
        Chunk::Usage(json) if metadata.include_usage => ("[]", Some(json)),
        Chunk::Usage(_) | Chunk::Head { .. } | Chunk::Data(_) => return String::new(),
    };
    let object = metadata.kind.object(true);
    let (id, created) = (&metadata.id, metadata.created);
    let model = Value::from(&*metadata.model);
    let usage = usage.map_or_else(String::new, |json| format!(",\"usage\":{json}"));
    format!(
        "data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"created\":{created},\
         \"model\":{model},\"choices\":{choices}{usage}}}\n\n"
    )
}

fn end_text(shared: &NodeShared, metadata: &CompletionMetadata, outcome: CallOutcome) -> String {
    let error = CallerError::from_outcome(outcome);
    requests::count_outcome(shared, &metadata.class, error.as_ref());
    match error {
        None => "data: [DONE]\n\n".to_owned(),
        Some(error) => format!("data: {}\n\n", error.body()),
    }
}

/// Collects the body of an answer that is forwarded unchanged.
pub async fn collect_body(handle: &mut CallHandle) -> Vec<u8> {
    let mut body = Vec::new();
    while let Some(CallerEvent::Chunk(chunk)) = handle.next().await {
        if let Chunk::Data(data) = chunk {
            body.extend_from_slice(&data);
        }
    }
    body
}

/// Writes an answer that is forwarded unchanged. An invalid status becomes 502.
pub fn render_raw(response: &mut Response, status: u16, content_type: Option<&str>, body: Vec<u8>) {
    response.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY));
    if let Some(value) = content_type.and_then(|text| HeaderValue::from_str(text).ok()) {
        response.headers_mut().insert("content-type", value);
    }
    response.body(body);
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_secs())
}
