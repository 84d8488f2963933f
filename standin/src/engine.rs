//! Stand-in of a model engine with continuous batching, a prefix cache, priorities, resumption and
//! cancellation.
//!
//! Its answers are a pure function of the prompt, see [`crate::answer`].

use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

use crate::api::EngineApi;
use crate::batch::{Batch, BatchSpeed};
use crate::cache::PrefixCache;
use crate::faults::{CrashFault, EngineFaults};
use crate::runs::{RunRecord, RunTotals};
use crate::server::{HttpServer, lock};
use crate::weights::WeightStore;

/// Delay of a crash, so that the last tokens before it are sent.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Models that the engine serves; any model if empty.
    pub models: Vec<Box<str>>,
    /// Maximum number of requests that run at the same time.
    pub slots: usize,
    /// Maximum number of queued requests; more are refused.
    pub queue: usize,
    /// Duration of a step with one request. Each step generates one token per request.
    pub step: Duration,
    /// Additional duration of a step for each further request.
    pub step_per_job: Duration,
    /// Prefill time of each prompt token that is not in the prefix cache.
    pub prefill_per_token: Duration,
    /// Range of the number of tokens in an answer if the request sets none.
    pub answer_tokens: RangeInclusive<u32>,
    /// Capacity of the prefix cache, in blocks (see [`crate::answer::BLOCK_BYTES`]).
    pub cache_blocks: usize,
    /// Time until a cache event becomes visible.
    pub cache_event_delay: Duration,
    /// Every how many cache events one is omitted; 0 omits none.
    pub cache_event_gap: u64,
    /// Age of the data in the load report.
    pub report_lag: Duration,
    /// Whether an order with an outdated fencing token is refused.
    pub checks_fencing: bool,
    /// Store from which weights are read; `None` if models load immediately.
    pub weights: Option<WeightStore>,
    /// Size of a model's weights, in bytes.
    pub model_bytes: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            models: Vec::new(),
            slots: 50,
            queue: 200,
            step: Duration::from_millis(5),
            step_per_job: Duration::from_micros(50),
            prefill_per_token: Duration::from_micros(20),
            answer_tokens: 4..=40,
            cache_blocks: 4096,
            cache_event_delay: Duration::from_millis(500),
            cache_event_gap: 10,
            report_lag: Duration::from_millis(500),
            checks_fencing: true,
            weights: None,
            model_bytes: 1_000_000,
        }
    }
}

/// An order that reached the engine.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OrderRecord {
    /// Fencing token of the order.
    pub fencing: u64,
    /// The order as JSON.
    pub order: Value,
    /// Whether the engine accepted it.
    pub accepted: bool,
}

#[derive(Default)]
pub(crate) struct OrderLog {
    pub(crate) newest: u64,
    pub(crate) orders: Vec<OrderRecord>,
}

/// State of an engine, shared by its tasks.
pub(crate) struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) batch: Mutex<Batch>,
    pub(crate) models: Mutex<Vec<Box<str>>>,
    pub(crate) orders: Mutex<OrderLog>,
    pub(crate) work: Notify,
    faults: watch::Sender<EngineFaults>,
    server: HttpServer,
}

impl Engine {
    /// Faults in effect.
    pub(crate) fn faults(&self) -> EngineFaults {
        *self.faults.borrow()
    }

    /// Waits while the engine is frozen.
    pub(crate) async fn wait_while_frozen(&self) {
        let mut faults = self.faults.subscribe();
        // Fails only if the sender is dropped, but `self` owns it.
        let _ = faults.wait_for(|faults| !faults.frozen).await;
    }

    /// Replaces the faults. A crash without a token count starts immediately.
    pub(crate) fn set_faults(self: &Arc<Self>, faults: EngineFaults) {
        self.faults.send_replace(faults);
        {
            let mut batch = lock(&self.batch);
            batch.history.freeze(faults.report_frozen, Instant::now());
            batch.crash_after = faults.crash.and_then(|crash| crash.after_tokens);
        }
        let Some(crash) = faults.crash else {
            return;
        };
        if crash.after_tokens.is_none() {
            tokio::spawn(Arc::clone(self).crash_for(crash));
        }
    }

    async fn crash_for(self: Arc<Self>, crash: CrashFault) {
        sleep(FLUSH_TIME).await;
        self.crash().await;
        let Some(pause) = crash.restart_after_ms else {
            return;
        };
        sleep(Duration::from_millis(pause)).await;
        // If the port has been taken in the meantime, the engine stays down.
        let _ = self.open();
    }

    async fn crash(&self) {
        self.faults.send_modify(|faults| faults.crash = None);
        lock(&self.batch).begin_crash();
        self.server.close().await;
        lock(&self.batch).break_all(Instant::now());
    }

    fn open(self: &Arc<Self>) -> io::Result<()> {
        let api = EngineApi {
            engine: Arc::clone(self),
        };
        self.server.open(api)
    }

    /// Generates tokens for as long as the engine exists.
    async fn run(self: Arc<Self>) {
        loop {
            let wait = {
                let batch = lock(&self.batch);
                (!batch.is_idle()).then(|| batch.step_time())
            };
            let Some(wait) = wait else {
                self.work.notified().await;
                continue;
            };
            sleep(wait.mul_f64(self.faults().straggle.max(0.01))).await;
            self.wait_while_frozen().await;
            let crash = lock(&self.batch).step(Instant::now());
            if crash {
                let fault = self.faults().crash.unwrap_or_default();
                Arc::clone(&self).crash_for(fault).await;
            }
        }
    }
}

/// Handle of a running engine. Dropping it stops the engine.
pub struct EngineHandle {
    engine: Arc<Engine>,
    task: tokio::task::JoinHandle<()>,
}

/// Starts an engine on `address` ("127.0.0.1:0" picks a free port).
pub async fn start(address: &str, settings: EngineSettings) -> io::Result<EngineHandle> {
    let speed = BatchSpeed {
        slots: settings.slots,
        queue: settings.queue,
        step: settings.step,
        step_per_job: settings.step_per_job,
        prefill_per_token: settings.prefill_per_token,
    };
    let cache = PrefixCache::new(
        settings.cache_blocks,
        settings.cache_event_delay,
        settings.cache_event_gap,
    );
    let engine = Arc::new(Engine {
        models: Mutex::new(settings.models.clone()),
        batch: Mutex::new(Batch::new(speed, cache)),
        orders: Mutex::default(),
        work: Notify::new(),
        faults: watch::Sender::new(EngineFaults::default()),
        server: HttpServer::bind(address).await?,
        settings,
    });
    engine.open()?;
    let task = tokio::spawn(Arc::clone(&engine).run());
    Ok(EngineHandle { engine, task })
}

impl EngineHandle {
    /// Listen address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.engine.server.address()
    }

    /// Faults in effect.
    pub fn faults(&self) -> EngineFaults {
        self.engine.faults()
    }

    /// Replaces the faults in effect.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.engine.set_faults(faults);
    }

    /// Closes all connections and the port, and ends all requests.
    pub async fn crash(&self) {
        self.engine.crash().await;
    }

    /// Reopens the port after a crash.
    pub async fn restart(&self) -> io::Result<()> {
        self.engine.server.close().await;
        self.engine.open()
    }

    /// Totals over all runs so far.
    pub fn totals(&self) -> RunTotals {
        lock(&self.engine.batch).run_log.totals()
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<RunRecord> {
        lock(&self.engine.batch).run_log.records().to_vec()
    }

    /// All orders received so far, accepted or not.
    pub fn orders(&self) -> Vec<OrderRecord> {
        lock(&self.engine.orders).orders.clone()
    }

    /// Models that the engine serves now; any model if empty.
    pub fn models(&self) -> Vec<Box<str>> {
        lock(&self.engine.models).clone()
    }

    /// Stops the engine permanently.
    pub async fn stop(self) {
        self.task.abort();
        self.engine.crash().await;
    }
}

impl Drop for EngineHandle {
    fn drop(&mut self) {
        self.task.abort();
        self.engine.server.abort();
    }
}
