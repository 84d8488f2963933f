//! A node that passes calls on unchanged: everything it holds, and how it starts and stops.
//!
//! A call is read by `listener`, matched by `admission`, sent by `relay` through `connections`, and its
//! stream is passed on by `stream`; `notices` takes in what answers say of upstreams. `sync` reads the
//! platform's store, `peers` talks with the other nodes, `endpoints` answers lookups and checks, `caches` asks
//! engines what they keep.

pub mod admission;
pub mod caches;
pub mod connections;
pub mod decisions;
pub mod duties;
pub mod endpoints;
pub mod events;
pub mod fetch;
pub mod frame;
pub mod limits;
pub mod listener;
pub mod liveness;
pub mod metrics;
pub mod notices;
pub mod patch;
pub mod peers;
pub mod quarantine;
pub mod relay;
pub mod reply;
pub mod reports;
pub mod scaling;
pub mod settings;
pub mod stream;
pub mod sync;
pub mod tracker;
pub mod usage;
pub mod waiting;
pub mod work;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use monsoonbank_kernel::clock::{Clock, MonotonicClock};
use monsoonbank_kernel::gateway::budget::RetryBudget;
use monsoonbank_kernel::gateway::crashes::CrashLedger;
use monsoonbank_kernel::gateway::fleet::FleetView;
use monsoonbank_kernel::gateway::gossip::GossipUrgency;
use monsoonbank_kernel::gateway::heartbeat::NodeState;
use monsoonbank_kernel::gateway::lag::VersionLag;
use monsoonbank_kernel::gateway::pace::{StreamKind, StreamPace};
use monsoonbank_kernel::gateway::registry::UpstreamRegistry;
use monsoonbank_kernel::gateway::rules::RuleTable;
use monsoonbank_kernel::gateway::transfers::TransferList;
use monsoonbank_kernel::gateway::waiting::WaitList;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::signal::unix::{SignalKind, signal};

use crate::error::NodeError;
use crate::gateway::admission::Call;
use crate::gateway::connections::ConnectionPool;
use crate::gateway::decisions::{Decision, DecisionLog};
use crate::gateway::duties::DutyState;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::patch::ConfigurationHistory;
use crate::gateway::settings::GatewaySettings;

/// How well this node hears the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    /// When the last call failed.
    pub failed_at: Option<Duration>,
    /// When the store was back after that.
    pub recovered_at: Duration,
    /// Whether the registry has been read at all.
    pub registry_loaded: bool,
}

/// Everything that a node holds; one thread, so cells suffice.
pub struct Gateway {
    /// What its operator told it.
    pub settings: GatewaySettings,
    /// The steady clock.
    pub clock: MonotonicClock,
    /// The configuration in force, ready for lookups.
    pub table: RefCell<Option<Rc<RuleTable>>>,
    /// The same as the operator wrote it, and what came before it, for other nodes.
    pub texts: RefCell<ConfigurationHistory>,
    /// Upstreams.
    pub registry: RefCell<UpstreamRegistry>,
    /// Other nodes.
    pub fleet: RefCell<FleetView>,
    /// Contents of calls that upstreams crashed under.
    pub crashes: RefCell<CrashLedger>,
    /// Budgets for repeats, by pool.
    pub budgets: RefCell<BTreeMap<Box<str>, RetryBudget>>,
    /// Parts of prompts that were sent since the last heartbeat to other nodes: tokens, part, and hash of
    /// the upstream's run.
    pub sent_parts: RefCell<BTreeSet<(u32, u64, u64)>>,
    /// How fast streams go.
    pub paces: RefCell<BTreeMap<StreamKind, StreamPace>>,
    /// Calls that wait for room.
    pub waiting: RefCell<WaitList>,
    /// Tells waiting calls that there may be room.
    pub capacity_notify: tokio::sync::Notify,
    /// Connections to upstreams.
    pub connections: ConnectionPool,
    /// How well the store is heard.
    pub store_health: Cell<StoreHealth>,
    /// Since when the node has been leaving.
    pub leaving_since: Cell<Option<Duration>>,
    /// Calls that have not ended.
    pub open_calls: Cell<usize>,
    /// Connections of callers.
    pub open_connections: Cell<usize>,
    /// Decision lines.
    pub decisions: DecisionLog,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// Tells idle connections of callers that the node leaves.
    pub shutdown_notify: tokio::sync::Notify,
    /// Wakes the reader of the registry before its next turn.
    pub registry_notify: tokio::sync::Notify,
    /// Makes the reader of the configuration ask anew.
    pub configuration_notify: tokio::sync::Notify,
    /// What other nodes have not been told and should know at once.
    pub news: Cell<GossipUrgency>,
    /// Wakes what tells other nodes.
    pub heartbeat_notify: tokio::sync::Notify,
    /// Whether something is being fetched from another node.
    pub fetching: Cell<bool>,
    /// Large answers that are being sent to other nodes.
    pub transfers: RefCell<TransferList>,
    /// The newest version that any node told, and how fetching it goes.
    pub lag: Cell<VersionLag>,
    /// The store's newest era that any answer showed; none before the first answer.
    pub store_era: Cell<Option<u64>>,
    /// Time since 1970 at the start of the steady clock, as most nodes say.
    pub unix_start: Cell<Duration>,
    /// Calls to the platform that one node at a time makes; none if it has no such duties.
    pub duties: Option<DutyState>,
}

impl Gateway {
    /// Time on the steady clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.leaving_since.get().is_none()
            && self.table.borrow().is_some()
            && self.store_health.get().registry_loaded
    }

    /// How far the process is.
    pub fn state(&self) -> NodeState {
        if self.leaving_since.get().is_some() {
            NodeState::Leaving
        } else if self.is_ready() {
            NodeState::Ready
        } else {
            NodeState::Starting
        }
    }

    /// Has news told to other nodes at once.
    pub fn propagate(&self, news: GossipUrgency) {
        self.news.set(self.news.get().max(news));
        self.heartbeat_notify.notify_one();
    }

    /// Whether this node is a hub of its availability zone.
    pub fn is_hub(&self) -> bool {
        self.fleet.borrow().is_hub(self.now())
    }

    /// Whether this node reads the store for its availability zone.
    pub fn is_reader(&self) -> bool {
        self.fleet.borrow().reads_store(self.now())
    }

    /// Version of the configuration in force; 0 is none.
    pub fn version(&self) -> u64 {
        self.rules().map_or(0, |rules| rules.version)
    }

    /// Whether a newer version has been told for so long that this node has to read the store for it.
    pub fn lags_behind(&self) -> bool {
        self.lag.get().is_behind(self.version(), self.now())
    }

    /// Takes in that a piece of something fetched from another node came.
    pub fn record_fetch_progress(&self) {
        let mut lag = self.lag.get();
        lag.fetch_progressed(self.now());
        self.lag.set(lag);
    }

    /// Whether a call to the store failed lately, so that a read that is kept waiting may have
    /// been lost without a sign.
    pub fn store_suspect(&self) -> bool {
        let trust = self.settings.times.trust;
        self.store_health
            .get()
            .failed_at
            .is_some_and(|at| self.now() < at + trust)
    }

    /// The configuration in force.
    pub fn rules(&self) -> Option<Rc<RuleTable>> {
        self.table.borrow().clone()
    }

    /// Time since 1970, as most nodes of the fleet say.
    pub fn unix_now(&self) -> Duration {
        self.unix_start.get() + self.now()
    }

    /// Compares the clocks of other nodes with this host's.
    pub fn compare_clocks(&self) {
        let now = self.now();
        let own = duties::host_time().saturating_sub(now);
        let start = self.fleet.borrow().unix_start(own, now);
        self.unix_start.set(start);
    }

    /// Takes in the store's era that an answer showed. When a new one begins, the store runs from a copy
    /// some seconds old: what it lacks proves nothing until it has been written again.
    pub fn observe_store_era(&self, era: u64) {
        let known = self.store_era.get();
        if known.is_some_and(|known| known >= era) {
            return;
        }
        self.store_era.set(Some(era));
        if let Some(duties) = &self.duties {
            duties.observe_era(era, self.unix_now());
        }
        if known.is_none() {
            return;
        }
        let now = self.now();
        let mut view = self.store_health.get();
        view.failed_at = Some(now);
        view.recovered_at = now;
        self.store_health.set(view);
        self.decisions.record(&Decision::StoreEraBegan { era });
        self.registry_notify.notify_waiters();
        self.configuration_notify.notify_waiters();
    }

    /// Whether the node takes new calls: also for a while after it was told to stop.
    pub fn accepts_calls(&self) -> bool {
        self.leaving_since
            .get()
            .is_none_or(|since| self.now() < since + LINGER)
    }

    /// How fast streams like a call's go.
    pub fn pace(&self, call: &Call) -> StreamPace {
        let paces = self.paces.borrow();
        paces.get(&call.stream_kind()).copied().unwrap_or_default()
    }

    /// Nodes that share budgets, this one included.
    pub fn node_count(&self) -> usize {
        self.fleet.borrow().size(self.now()) as usize
    }
}

/// Time for which a node that leaves goes on taking calls. Callers that keep its address for longer
/// find its port closed; a call that is taken later may not end within the grace period.
const LINGER: Duration = Duration::from_millis(2500);
/// Turns the process's random seed into another one, for the lease on duties.
const DUTY_STREAM: u32 = 17;
/// Part of the grace period after which the node ends whatever it still has. The rest is kept for
/// the process's own end.
const GRACE_PART: f64 = 0.93;

/// Runs a node until it is told to stop and has finished its calls.
pub async fn run(settings: GatewaySettings) -> Result<(), NodeError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(NodeError::Runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(NodeError::Runtime)?;
    let mut reload = signal(SignalKind::hangup()).map_err(NodeError::Runtime)?;
    let mut random = [0; 8];
    getrandom::fill(&mut random)?;
    let clock = MonotonicClock::new();
    let incarnation = sync::start_time();
    let own = peers::own_card(&settings, incarnation);
    let duty_seed = u64::from_le_bytes(random).rotate_left(DUTY_STREAM);
    let duty_random = Pcg64Mcg::seed_from_u64(duty_seed);
    let gateway = Rc::new(Gateway {
        decisions: DecisionLog::start(clock, settings.name.clone()),
        metrics: GatewayMetrics::new(),
        connections: ConnectionPool::default(),
        clock,
        table: RefCell::default(),
        texts: RefCell::default(),
        registry: RefCell::default(),
        fleet: RefCell::new(FleetView::new(own, clock.now())),
        crashes: RefCell::default(),
        budgets: RefCell::default(),
        sent_parts: RefCell::default(),
        paces: RefCell::default(),
        waiting: RefCell::default(),
        capacity_notify: tokio::sync::Notify::new(),
        store_health: Cell::default(),
        leaving_since: Cell::new(None),
        open_calls: Cell::new(0),
        open_connections: Cell::new(0),
        shutdown_notify: tokio::sync::Notify::new(),
        registry_notify: tokio::sync::Notify::new(),
        configuration_notify: tokio::sync::Notify::new(),
        news: Cell::default(),
        heartbeat_notify: tokio::sync::Notify::new(),
        fetching: Cell::new(false),
        transfers: RefCell::default(),
        lag: Cell::default(),
        store_era: Cell::new(None),
        unix_start: Cell::new(duties::host_time().saturating_sub(clock.now())),
        duties: settings
            .duties
            .clone()
            .map(|duties| DutyState::new(duties, &settings.name, incarnation, duty_random)),
        settings,
    });
    gateway.decisions.record(&Decision::Started {
        zone: &gateway.settings.zone,
    });
    listener::start(&gateway).await?;
    peers::start(&gateway).await?;
    sync::start(&gateway, u64::from_le_bytes(random));
    caches::start(&gateway);
    duties::start(&gateway);
    quarantine::start(&gateway);
    reports::start(&gateway);
    scaling::start(&gateway);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => reread(&gateway),
        }
    }
    leave(&gateway).await;
    Ok(())
}

/// Checks the settings file again. What it may change at run time is nothing that this node
/// listens on, so calls go on untouched; a wrong file is reported and the older stays in force.
fn reread(gateway: &Gateway) {
    let outcome = GatewaySettings::load(&gateway.settings.file);
    let error = outcome.err().map(|error| error.to_string());
    gateway.decisions.record(&Decision::Reloaded {
        error: error.as_deref(),
    });
}

async fn leave(gateway: &Gateway) {
    let since = gateway.now();
    gateway.leaving_since.set(Some(since));
    gateway.shutdown_notify.notify_waiters();
    gateway.propagate(GossipUrgency::All);
    gateway.decisions.record(&Decision::Leaving {
        open_calls: gateway.open_calls.get(),
    });
    let last = since + gateway.settings.times.grace.mul_f64(GRACE_PART);
    let pause = Duration::from_millis(50);
    while gateway.now() < last {
        let quiet = gateway.open_calls.get() == 0 && gateway.now() > since + LINGER;
        if quiet {
            break;
        }
        tokio::time::sleep(pause).await;
    }
    // What was counted since the last heartbeat is told before the process ends.
    gateway.heartbeat_notify.notify_one();
    tokio::time::sleep(pause).await;
    gateway.decisions.record(&Decision::Left {
        open_calls: gateway.open_calls.get(),
    });
    gateway.decisions.finish();
}
