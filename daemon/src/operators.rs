//! HTTP interface for operators: health, metrics, state dump, draining, orders and configuration.

use std::sync::Arc;

use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::UpstreamId;
use monsoonbank_kernel::leases::{EngineOrder, OrderRequest};
use monsoonbank_kernel::plugin::GaugeSample;
use monsoonbank_kernel::record::{ChangeRecord, PublishResult};
use prometheus::TextEncoder;
use salvo::http::StatusCode;
use salvo::prelude::{Json, Request, Response, Router, Text, handler};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;

use crate::counters::METRIC_PREFIX;
use crate::refusal::CallerError;
use crate::requests::bearer;
use crate::shared::{Input, NodeShared};

/// Maximum size of a change, in bytes.
const CHANGE_BYTES: usize = 8 << 20;

#[derive(Clone, Copy)]
enum OperatorCall {
    State,
    Metrics,
    Ready,
    DrainNode,
    DrainUpstream,
    Documents,
    Publish,
    ChangeStatus,
    Order,
}

struct OperatorApi {
    shared: Arc<NodeShared>,
    call: OperatorCall,
}

/// Creates the routes of the operators' listen address.
pub fn router(shared: &Arc<NodeShared>) -> Router {
    let api = |call| OperatorApi {
        shared: Arc::clone(shared),
        call,
    };
    Router::new()
        .push(Router::with_path("healthz").get(healthy))
        .push(Router::with_path("readyz").get(api(OperatorCall::Ready)))
        .push(Router::with_path("metrics").get(api(OperatorCall::Metrics)))
        .push(Router::with_path("v1/state").get(api(OperatorCall::State)))
        .push(Router::with_path("v1/drain").post(api(OperatorCall::DrainNode)))
        .push(Router::with_path("v1/drain/{upstream}").post(api(OperatorCall::DrainUpstream)))
        .push(Router::with_path("v1/orders/{upstream}").post(api(OperatorCall::Order)))
        .push(Router::with_path("v1/documents").get(api(OperatorCall::Documents)))
        .push(Router::with_path("v1/changes").post(api(OperatorCall::Publish)))
        .push(Router::with_path("v1/changes/{id}").get(api(OperatorCall::ChangeStatus)))
}

#[handler]
async fn healthy(response: &mut Response) {
    response.render(Text::Plain("ok\n"));
}

#[handler]
impl OperatorApi {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        match self.call {
            OperatorCall::Ready => return self.ready(response),
            OperatorCall::Metrics => return self.metrics(response).await,
            _ => {}
        }
        if !self.authorized(request) {
            return unauthorized().render(response);
        }
        match self.call {
            OperatorCall::State => self.state(request, response).await,
            OperatorCall::DrainNode => self.shared.send_event(Event::DrainNode),
            OperatorCall::DrainUpstream => self.drain_upstream(request, response),
            OperatorCall::Documents => self.documents(response).await,
            OperatorCall::Publish => self.publish(request, response).await,
            OperatorCall::ChangeStatus => self.change_status(request, response),
            OperatorCall::Order => self.order(request, response).await,
            OperatorCall::Ready | OperatorCall::Metrics => {}
        }
    }
}

impl OperatorApi {
    fn authorized(&self, request: &Request) -> bool {
        // Comparing hashes instead of tokens keeps the duration independent of the token's bytes.
        let expected = Sha256::digest(self.shared.settings.secrets.operator_token.as_bytes());
        bearer(request).is_some_and(|token| Sha256::digest(token) == expected)
    }

    fn ready(&self, response: &mut Response) {
        if self.shared.config().classes.is_empty() {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            response.render(Text::Plain("no configuration yet\n"));
        } else {
            response.render(Text::Plain("ready\n"));
        }
    }

    async fn state(&self, request: &mut Request, response: &mut Response) {
        let section = request.query::<String>("section").map(Into::into);
        let (reply, answer) = oneshot::channel();
        self.shared.send_input(Input::Dump(section, reply));
        let state = answer.await.unwrap_or(Value::Null);
        let profile = &self.shared.profile;
        response.render(Json(json!({
            "node": profile.name,
            "zone": profile.zone_name,
            "incarnation": profile.incarnation.0,
            "open_calls": self.shared.calls.len(),
            "held_requests": self.shared.work_count(),
            "state": state,
        })));
    }

    async fn metrics(&self, response: &mut Response) {
        let (reply, answer) = oneshot::channel();
        self.shared.send_input(Input::Gauges(reply));
        let gauges = answer.await.unwrap_or_default();
        let families = self.shared.counters.registry.gather();
        let mut text = TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default();
        for gauge in &gauges {
            text.push_str(&gauge_text(gauge));
        }
        response.render(Text::Plain(text));
    }

    fn drain_upstream(&self, request: &mut Request, response: &mut Response) {
        let name = request.param::<String>("upstream").unwrap_or_default();
        let upstream = UpstreamId::named(&name);
        if !self.shared.config().upstreams.contains_key(&upstream) {
            return unknown_upstream(&name).render(response);
        }
        self.shared.send_event(Event::DrainUpstream(upstream));
    }
}

impl OperatorApi {
    async fn documents(&self, response: &mut Response) {
        let (ticket, answer) = self.shared.changes.add_reader();
        self.shared.send_event(Event::DocumentsRequested(ticket));
        response.render(Json(answer.await.unwrap_or_default()));
    }

    /// Responds once the change's record has been read back from the log, or with `unavailable` if the
    /// log did not confirm it.
    async fn publish(&self, request: &mut Request, response: &mut Response) {
        let parsed = match request.payload_with_max_size(CHANGE_BYTES).await {
            Ok(body) => serde_json::from_slice::<ChangeRecord>(body).map_err(|e| e.to_string()),
            Err(error) => Err(error.to_string()),
        };
        let record = match parsed {
            Ok(record) => record,
            Err(reason) => {
                let message = format!("expected a change as JSON: {reason}");
                return CallerError::not_run(StatusCode::BAD_REQUEST, "bad_change", message)
                    .render(response);
            }
        };
        let (request, answer) = self.shared.changes.add_publisher();
        self.shared
            .send_event(Event::PublishRequested { request, record });
        response.render(Json(answer.await.unwrap_or(PublishResult::Unavailable)));
    }

    /// Accepts an order. Its outcome is shown in the `leases` section of the state dump.
    async fn order(&self, request: &mut Request, response: &mut Response) {
        let name = request.param::<String>("upstream").unwrap_or_default();
        let upstream = UpstreamId::named(&name);
        if !self.shared.config().upstreams.contains_key(&upstream) {
            return unknown_upstream(&name).render(response);
        }
        match request.parse_json::<EngineOrder>().await {
            Ok(order) => {
                let request = OrderRequest { upstream, order };
                self.shared.send_event(Event::OrderRequested(request));
                response.status_code(StatusCode::ACCEPTED);
                response.render(Json(json!({ "wanted": true })));
            }
            Err(error) => {
                let message = format!("expected an order as JSON: {error}");
                CallerError::not_run(StatusCode::BAD_REQUEST, "bad_order", message)
                    .render(response);
            }
        }
    }

    fn change_status(&self, request: &mut Request, response: &mut Response) {
        let id = request.param::<String>("id").unwrap_or_default();
        if let Some(status) = self.shared.changes.status(&id) {
            return response.render(Json(status));
        }
        let message = format!("this node answered no change `{id}` lately");
        CallerError::not_run(StatusCode::NOT_FOUND, "no_change", message).render(response);
    }
}

fn gauge_text(gauge: &GaugeSample) -> String {
    let name = format!("{METRIC_PREFIX}_{}", gauge.name);
    let label = match gauge.kind {
        "" => String::new(),
        kind => format!("{{kind=\"{kind}\"}}"),
    };
    format!(
        "# HELP {name} {}\n# TYPE {name} gauge\n{name}{label} {}\n",
        gauge.help, gauge.value
    )
}

fn unknown_upstream(name: &str) -> CallerError {
    let message = format!("no upstream is called `{name}`");
    CallerError::not_run(StatusCode::NOT_FOUND, "no_upstream", message)
}

fn unauthorized() -> CallerError {
    CallerError::not_run(
        StatusCode::UNAUTHORIZED,
        "unknown_token",
        "expected `Authorization: Bearer` with the operators' token",
    )
}
