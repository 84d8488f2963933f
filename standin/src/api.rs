//! HTTP interface of a model engine.

use std::sync::Arc;
use std::time::Duration;

use futures_util::stream;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::http::{Method, ResBody, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::Instant;

use crate::answer::{answer_tokens, prompt_hash, prompt_tokens, token_at};
use crate::batch::BatchJob;
use crate::chat::{AnswerMetadata, CompletionKind, CompletionRequest};
use crate::engine::{Engine, OrderRecord};
use crate::faults::EngineFaults;
use crate::reply::{JsonReply, read_json};
use crate::server::lock;

/// Request handler of an engine.
pub(crate) struct EngineApi {
    pub(crate) engine: Arc<Engine>,
}

#[derive(Debug, Deserialize)]
struct OrderBody {
    fencing: u64,
    order: Value,
}

/// A submitted request. Dropping it cancels the request unless it has ended.
struct SubmittedJob {
    engine: Arc<Engine>,
    number: Option<u64>,
    tokens: UnboundedReceiver<u32>,
    prompt_hash: u64,
    from: u32,
    to: u32,
    metadata: AnswerMetadata,
    include_usage: bool,
    ended: bool,
}

impl Drop for SubmittedJob {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            lock(&self.engine.batch).cancel(number, Instant::now());
        }
    }
}

impl SubmittedJob {
    /// Index of the next token; `None` after the last one, an error if the engine crashed.
    async fn next(&mut self) -> Option<Result<u32, BrokenRun>> {
        if self.from >= self.to {
            return None;
        }
        let Some(index) = self.tokens.recv().await else {
            return Some(Err(BrokenRun));
        };
        self.from = index + 1;
        Some(Ok(index))
    }

    /// Next chunk of the event stream; `None` after its end.
    async fn event(&mut self) -> Option<Result<String, BrokenRun>> {
        let first = self.from;
        match self.next().await {
            Some(Ok(index)) => {
                let text = token_at(self.prompt_hash, index);
                Some(Ok(self.metadata.token_event(&text, first == 0)))
            }
            Some(Err(error)) => Some(Err(error)),
            None if self.ended => None,
            None => {
                self.ended = true;
                Some(Ok(self.metadata.end_events(self.include_usage)))
            }
        }
    }
}

/// Error of a run that the engine's crash ended.
#[derive(Debug, thiserror::Error)]
#[error("the engine crashed")]
struct BrokenRun;

#[salvo::async_trait]
impl Handler for EngineApi {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        control: &mut FlowCtrl,
    ) {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        if path != "/faults" {
            self.engine.wait_while_frozen().await;
        }
        let outcome = match (&method, path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => {
                self.complete(CompletionKind::Chat, request, response, control)
                    .await
            }
            (&Method::POST, "/v1/completions") => {
                self.complete(CompletionKind::Text, request, response, control)
                    .await
            }
            (&Method::POST, "/orders") => self.order(request).await,
            (&Method::POST, "/faults") => self.change_faults(request).await,
            (&Method::GET, _) => Some(self.page(&path, request)),
            _ => Some(not_found()),
        };
        if let Some(reply) = outcome {
            reply.write(response);
        }
    }
}

fn not_found() -> JsonReply {
    JsonReply::not_run(StatusCode::NOT_FOUND, "no such path")
}

impl EngineApi {
    fn page(&self, path: &str, request: &mut Request) -> JsonReply {
        let now = Instant::now();
        let faults = self.engine.faults();
        let batch = lock(&self.engine.batch);
        match path {
            "/load" => {
                let lag = faults
                    .report_lag_ms
                    .map_or(self.engine.settings.report_lag, Duration::from_millis);
                JsonReply::ok(batch.history.page(lag, faults.leaving, now))
            }
            "/cache-events" => {
                let from = request.query::<u64>("from").unwrap_or(0);
                JsonReply::ok(batch.cache.events(from, now))
            }
            "/runs" => JsonReply::ok(batch.run_log.page()),
            "/faults" => JsonReply::ok(faults),
            "/v1/models" => JsonReply::ok(self.models()),
            _ => not_found(),
        }
    }

    fn models(&self) -> Value {
        let models: Vec<Value> = lock(&self.engine.models)
            .iter()
            .map(|id| json!({ "id": id, "object": "model", "created": 0, "owned_by": "standin" }))
            .collect();
        json!({ "object": "list", "data": models })
    }

    async fn change_faults(&self, request: &mut Request) -> Option<JsonReply> {
        match read_json::<EngineFaults>(request).await {
            Ok(faults) => {
                self.engine.set_faults(faults);
                Some(JsonReply::ok(faults))
            }
            Err(reply) => Some(reply),
        }
    }

    async fn order(&self, request: &mut Request) -> Option<JsonReply> {
        let body: OrderBody = match read_json(request).await {
            Ok(body) => body,
            Err(reply) => return Some(reply),
        };
        let (accepted, newest) = self.record_order(&body);
        if !accepted {
            return Some(JsonReply {
                status: StatusCode::CONFLICT,
                body: json!({ "accepted": false, "newest": newest }),
                not_run: false,
            });
        }
        if let Some(model) = body.order["model"].as_str() {
            tokio::spawn(load_model(Arc::clone(&self.engine), model.into()));
        }
        Some(JsonReply::ok(json!({ "accepted": true })))
    }

    fn record_order(&self, body: &OrderBody) -> (bool, u64) {
        let mut log = lock(&self.engine.orders);
        let old = body.fencing < log.newest;
        let accepted = !(old && self.engine.settings.checks_fencing);
        log.newest = log.newest.max(body.fencing);
        log.orders.push(OrderRecord {
            fencing: body.fencing,
            order: body.order.clone(),
            accepted,
        });
        (accepted, log.newest)
    }

    async fn complete(
        &self,
        kind: CompletionKind,
        request: &mut Request,
        response: &mut Response,
        control: &mut FlowCtrl,
    ) -> Option<JsonReply> {
        let body: CompletionRequest = match read_json(request).await {
            Ok(body) => body,
            Err(reply) => return Some(reply),
        };
        let id = request.header::<String>("x-request-id").unwrap_or_default();
        let job = match self.submit(kind, &body, id.into()) {
            Ok(job) => job,
            Err(reply) => {
                lock(&self.engine.batch).run_log.refuse();
                return Some(reply);
            }
        };
        if body.streamed() {
            write_stream(job, response);
            return None;
        }
        let whole = collect(job).await;
        if whole.is_err() {
            control.conn().abort();
        }
        whole.ok()
    }

    fn submit(
        &self,
        kind: CompletionKind,
        body: &CompletionRequest,
        id: Box<str>,
    ) -> Result<SubmittedJob, JsonReply> {
        if self.engine.faults().refuse {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(JsonReply::not_run(status, "refused"));
        }
        if !self.serves(&body.model) {
            let status = StatusCode::NOT_FOUND;
            return Err(JsonReply::not_run(status, "no such model"));
        }
        let prompt = body.prompt(kind);
        let range = &self.engine.settings.answer_tokens;
        let to = answer_tokens(&prompt, body.requested_tokens(), range);
        let from = body.resume_tokens().min(to);
        let hash = prompt_hash(&prompt);
        let (sender, tokens) = unbounded_channel();
        let mut job = SubmittedJob {
            engine: Arc::clone(&self.engine),
            number: None,
            tokens,
            prompt_hash: hash,
            from,
            to,
            metadata: AnswerMetadata {
                kind,
                id: format!("cmpl-{hash:016x}").into(),
                model: body.model.clone(),
                prompt_tokens: prompt_tokens(&prompt),
                answer_tokens: to - from,
            },
            include_usage: body.include_usage(),
            ended: false,
        };
        if from < to {
            let number = self.enqueue(BatchJob {
                request: id,
                context_tokens: prompt_tokens(&prompt) + from,
                cache_text: body.cache_text(kind).into(),
                prompt_hash: hash,
                from,
                to,
                priority: body.priority(),
                tokens: sender,
            })?;
            job.number = Some(number);
        }
        Ok(job)
    }

    fn serves(&self, model: &str) -> bool {
        let models = lock(&self.engine.models);
        models.is_empty() || models.iter().any(|known| &**known == model)
    }

    fn enqueue(&self, job: BatchJob) -> Result<u64, JsonReply> {
        let number = lock(&self.engine.batch)
            .submit(job, Instant::now())
            .map_err(|_| JsonReply::not_run(StatusCode::SERVICE_UNAVAILABLE, "queue full"))?;
        self.engine.work.notify_one();
        Ok(number)
    }
}

async fn load_model(engine: Arc<Engine>, model: Box<str>) {
    if let Some(weights) = &engine.settings.weights {
        weights.read(engine.settings.model_bytes).await;
    }
    let mut models = lock(&engine.models);
    if !models.contains(&model) {
        models.push(model);
    }
}

fn write_stream(job: SubmittedJob, response: &mut Response) {
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream; charset=utf-8"),
    );
    response.status_code(StatusCode::OK);
    let events = stream::unfold(job, |mut job| async move {
        let event = job.event().await?;
        Some((event, job))
    });
    response.body(ResBody::stream(events));
}

async fn collect(mut job: SubmittedJob) -> Result<JsonReply, BrokenRun> {
    let mut text = String::new();
    while let Some(index) = job.next().await {
        text.push_str(&token_at(job.prompt_hash, index?));
    }
    Ok(JsonReply::ok(job.metadata.whole(&text)))
}
