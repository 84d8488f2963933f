//! Stand-in of a plain service: echoes requests and counts runs by idempotency key.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use salvo::http::header::RETRY_AFTER;
use salvo::http::{HeaderValue, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response};
use serde_json::{Value, json};
use tokio::sync::Semaphore;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::faults::{CrashFault, ServiceFaults};
use crate::reply::{JsonReply, LEAVING, read_json, read_text};
use crate::server::{HttpServer, lock};

/// Settings of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Name of the service, included in every answer.
    pub name: Box<str>,
    /// Duration of a request.
    pub work: Duration,
    /// Maximum number of requests that run at the same time; others wait.
    pub slots: usize,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            name: "service".into(),
            work: Duration::from_millis(5),
            slots: 50,
        }
    }
}

#[derive(Default)]
struct ServiceState {
    faults: ServiceFaults,
    runs: u64,
    refused: u64,
    running: usize,
    by_key: BTreeMap<Box<str>, u32>,
    by_body: BTreeMap<u64, u32>,
}

/// Hash of a request body, the key of [`ServiceHandle::runs_by_body`].
pub fn body_hash(body: &str) -> u64 {
    xxh3_64(body.as_bytes())
}

struct Service {
    settings: ServiceSettings,
    slots: Semaphore,
    state: Mutex<ServiceState>,
    server: HttpServer,
}

struct ServiceApi {
    service: Arc<Service>,
}

impl Service {
    fn open(self: &Arc<Self>) -> io::Result<()> {
        let api = ServiceApi {
            service: Arc::clone(self),
        };
        self.server.open(api)
    }

    fn set_faults(self: &Arc<Self>, faults: ServiceFaults) {
        lock(&self.state).faults = faults;
        if let Some(crash) = faults.crash {
            tokio::spawn(Arc::clone(self).crash_for(crash));
        }
    }

    async fn crash_for(self: Arc<Self>, crash: CrashFault) {
        lock(&self.state).faults.crash = None;
        self.server.close().await;
        let Some(pause) = crash.restart_after_ms else {
            return;
        };
        sleep(Duration::from_millis(pause)).await;
        // If the port has been taken in the meantime, the service stays down.
        let _ = self.open();
    }

    fn page(&self, path: &str) -> Option<JsonReply> {
        let state = lock(&self.state);
        match path {
            "/load" => Some(JsonReply::ok(json!({
                "running": state.running.min(self.settings.slots),
                "waiting": state.running.saturating_sub(self.settings.slots),
                "age_ms": 0,
                "leaving": false,
            }))),
            "/runs" => Some(JsonReply::ok(json!({
                "runs": state.runs,
                "refused": state.refused,
                "by_key": state.by_key,
            }))),
            _ => None,
        }
    }

    /// Runs a request and returns whether its response has to be dropped.
    async fn run(&self, key: Option<Box<str>>, body: u64) -> bool {
        let _guard = RunningGuard::new(self);
        // The semaphore is never closed.
        let _slot = self.slots.acquire().await;
        let slow = {
            let mut state = lock(&self.state);
            state.runs += 1;
            *state.by_body.entry(body).or_default() += 1;
            if let Some(key) = key {
                *state.by_key.entry(key).or_default() += 1;
            }
            state.faults.slow_ms
        };
        sleep(self.settings.work + Duration::from_millis(slow)).await;
        let mut state = lock(&self.state);
        let lost = state.faults.lose_responses > 0;
        state.faults.lose_responses = state.faults.lose_responses.saturating_sub(1);
        lost
    }
}

/// Counts a request as running or waiting until it is dropped.
struct RunningGuard<'a> {
    service: &'a Service,
}

impl<'a> RunningGuard<'a> {
    fn new(service: &'a Service) -> Self {
        lock(&service.state).running += 1;
        Self { service }
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        lock(&self.service.state).running -= 1;
    }
}

#[salvo::async_trait]
impl Handler for ServiceApi {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        control: &mut FlowCtrl,
    ) {
        let path = request.uri().path().to_owned();
        if let Some(reply) = self.service.page(&path) {
            reply.write(response);
            return;
        }
        if path == "/faults" {
            change_faults(&self.service, request).await.write(response);
            return;
        }
        let faults = lock(&self.service.state).faults;
        if faults.leaving {
            let value = HeaderValue::from_static("true");
            response.headers_mut().insert(LEAVING, value);
        }
        if faults.refuse {
            if let Some(pause) = faults.pause_ms {
                let value = HeaderValue::from(pause.div_ceil(1000));
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            lock(&self.service.state).refused += 1;
            JsonReply::not_run(StatusCode::SERVICE_UNAVAILABLE, "refused").write(response);
            return;
        }
        let body = read_text(request).await;
        let key = request.header::<String>("idempotency-key").map(Into::into);
        if self.service.run(key, body_hash(&body)).await {
            control.conn().abort();
            return;
        }
        let echo = json!({
            "service": self.service.settings.name,
            "method": request.method().as_str(),
            "path": path,
            "body": body,
        });
        JsonReply::ok(echo).write(response);
    }
}

async fn change_faults(service: &Arc<Service>, request: &mut Request) -> JsonReply {
    match read_json::<ServiceFaults>(request).await {
        Ok(faults) => {
            service.set_faults(faults);
            JsonReply::ok(Value::Null)
        }
        Err(reply) => reply,
    }
}

/// Handle of a running service. Dropping it stops the service.
pub struct ServiceHandle {
    service: Arc<Service>,
}

/// Starts a service on `address` ("127.0.0.1:0" picks a free port).
pub async fn start(address: &str, settings: ServiceSettings) -> io::Result<ServiceHandle> {
    let service = Arc::new(Service {
        slots: Semaphore::new(settings.slots),
        state: Mutex::default(),
        server: HttpServer::bind(address).await?,
        settings,
    });
    service.open()?;
    Ok(ServiceHandle { service })
}

impl ServiceHandle {
    /// Listen address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.service.server.address()
    }

    /// Replaces the faults in effect.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.service.set_faults(faults);
    }

    /// Closes all connections and the port.
    pub async fn crash(&self) {
        self.service.server.close().await;
    }

    /// Reopens the port after a crash.
    pub async fn restart(&self) -> io::Result<()> {
        self.service.server.close().await;
        self.service.open()
    }

    /// Number of runs by idempotency key; runs without a key are not included.
    pub fn runs_by_key(&self) -> BTreeMap<Box<str>, u32> {
        lock(&self.service.state).by_key.clone()
    }

    /// Number of runs by the hash of their body, see [`body_hash`].
    pub fn runs_by_body(&self) -> BTreeMap<u64, u32> {
        lock(&self.service.state).by_body.clone()
    }

    /// Number of refused requests.
    pub fn refused(&self) -> u64 {
        lock(&self.service.state).refused
    }

    /// Total number of runs.
    pub fn runs(&self) -> u64 {
        lock(&self.service.state).runs
    }

    /// Stops the service permanently.
    pub async fn stop(self) {
        self.service.server.close().await;
    }
}

impl Drop for ServiceHandle {
    fn drop(&mut self) {
        self.service.server.abort();
    }
}
