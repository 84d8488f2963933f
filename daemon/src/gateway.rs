//! The state, start and shutdown of a node that forwards calls unchanged.
//!
//! `listener` reads a call, `admission` matches it to a rule, `relay` has it answered: `waiting`
//! finds an upstream with capacity, in the order of `fairness` where workspaces share slots,
//! `sending` sends it there through `connections`, `attempt` says how that ended, and `stream`
//! forwards a streamed answer; `starts` knows which software version began a stream that a caller
//! resumes, and `history` reads what the store's log shows of the versions before this node started; `reach` watches whether connections come about, and `indirect` sends
//! calls through another node while they do not; `notices` applies what the heads of answers report about upstreams.
//! `sync` reads the platform's store, `startup` determines when a
//! node that starts does so, and `scope` whether it knows all upstreams. `peers` exchanges
//! heartbeats with other nodes, `fetch` copies larger state from them, `endpoints` serves lookups,
//! checks and other nodes, and `caches` lists what engines cache.

pub mod admission;
pub mod allowance;
pub mod attempt;
pub mod brittle;
pub mod buffers;
pub mod caches;
pub mod connections;
pub mod decisions;
pub mod duties;
pub mod endpoints;
pub mod events;
pub mod fairness;
pub mod fetch;
pub mod frame;
pub mod history;
pub mod indirect;
pub mod limits;
pub mod listener;
pub mod liveness;
pub mod metrics;
pub mod notices;
pub mod patch;
pub mod peers;
pub mod quarantine;
pub mod reach;
pub mod relay;
pub mod reply;
pub mod reports;
pub mod scaling;
pub mod scope;
pub mod sending;
pub mod settings;
pub mod speeds;
pub mod starts;
pub mod startup;
pub mod stream;
pub mod sync;
pub mod tracker;
pub mod usage;
pub mod waiting;
pub mod work;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use monsoonbank_kernel::clock::{Clock, MonotonicClock};
use monsoonbank_kernel::gateway::budget::RetryBudget;
use monsoonbank_kernel::gateway::crashes::CrashLedger;
use monsoonbank_kernel::gateway::fairness::{ShareKey, ShareLedger};
use monsoonbank_kernel::gateway::fleet::FleetView;
use monsoonbank_kernel::gateway::gossip::GossipUrgency;
use monsoonbank_kernel::gateway::heartbeat::NodeState;
use monsoonbank_kernel::gateway::lag::VersionLag;
use monsoonbank_kernel::gateway::pace::{StreamKind, StreamPace};
use monsoonbank_kernel::gateway::pool_changes::PoolChanges;
use monsoonbank_kernel::gateway::reach::ReachMonitor;
use monsoonbank_kernel::gateway::registry::{UpstreamKey, UpstreamRegistry};
use monsoonbank_kernel::gateway::returns::ReturnList;
use monsoonbank_kernel::gateway::rules::RuleTable;
use monsoonbank_kernel::gateway::transfers::TransferList;
use monsoonbank_kernel::gateway::waiting::WaitList;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};

use crate::account::BodyAccount;
use crate::error::NodeError;
use crate::gateway::admission::Call;
use crate::gateway::buffers::AnswerBuffers;
use crate::gateway::connections::ConnectionPool;
use crate::gateway::decisions::{DecisionLog, NodeDecision, StoreDecision};
use crate::gateway::duties::DutyState;
use crate::gateway::fairness::ShareName;
use crate::gateway::frame::AnswerCache;
use crate::gateway::history::HistoryBook;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::patch::ConfigurationHistory;
use crate::gateway::scope::RegistryScope;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::speeds::SpeedTable;
use crate::gateway::starts::StartBook;

/// Recent reachability of the platform's store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    /// Time of the last failed call; `None` if none has failed.
    pub failed_at: Option<Duration>,
    /// Time of the first successful call after the last failure.
    pub recovered_at: Duration,
}

/// The state of a node. It belongs to one thread, so `Cell` and `RefCell` suffice.
pub struct Gateway {
    /// Settings from the operator's file.
    pub settings: GatewaySettings,
    /// Monotonic clock that all times without a date refer to.
    pub clock: MonotonicClock,
    /// Rules of the configuration in force; `None` until the first configuration is applied.
    pub table: RefCell<Option<Rc<RuleTable>>>,
    /// Rules that have changed their pools.
    pub pool_changes: RefCell<PoolChanges>,
    /// Text of the configuration in force and its recent predecessors, from which patches for other
    /// nodes are made.
    pub texts: RefCell<ConfigurationHistory>,
    /// Upstreams that this node has learned of, with its state for each.
    pub registry: RefCell<UpstreamRegistry>,
    /// Part of the registry that has been loaded.
    pub scope: Cell<RegistryScope>,
    /// Time at which that part was loaded first.
    pub scope_since: Cell<Duration>,
    /// Time until which this node knows all upstreams, whatever its role.
    pub whole_until: Cell<Duration>,
    /// The other nodes, as their heartbeats report them.
    pub fleet: RefCell<FleetView>,
    /// Socket for datagrams from and to other nodes; unset until the node listens.
    pub peer_socket: OnceCell<Rc<UdpSocket>>,
    /// Software versions that began the streams which callers may resume.
    pub starts: RefCell<StartBook>,
    /// The registry's log as it was after the start.
    pub history: HistoryBook,
    /// Digests of the contents of calls under which upstreams crashed.
    pub crashes: RefCell<CrashLedger>,
    /// Retry budgets, by pool.
    pub budgets: RefCell<BTreeMap<Box<str>, RetryBudget>>,
    /// Prompt parts sent to upstreams since the last heartbeat: tokens, part id, hash of the run.
    pub sent_parts: RefCell<BTreeSet<(u32, u64, u64)>>,
    /// Observed pace of streams, by kind.
    pub paces: RefCell<BTreeMap<StreamKind, StreamPace>>,
    /// Measured pools, whose engines differ in speed.
    pub speeds: RefCell<SpeedTable>,
    /// Calls that wait for capacity at an upstream.
    pub waiting: RefCell<WaitList>,
    /// Bytes of upstreams' answers that are being read.
    pub buffers: Rc<AnswerBuffers>,
    /// Memory that the bodies of callers' requests take.
    pub bodies: Arc<BodyAccount>,
    /// Attempts that this node refused and whose callers may come back.
    pub returns: RefCell<ReturnList>,
    /// Recent use of pools whose slots run out, by workspace.
    pub shares: RefCell<ShareLedger>,
    /// Names of each use by this node's calls.
    pub share_names: RefCell<BTreeMap<ShareKey, ShareName>>,
    /// Time at which the metrics of these uses were last updated.
    pub shares_shown_at: Cell<Duration>,
    /// Wakes waiting calls when capacity may have become free.
    pub capacity_notify: tokio::sync::Notify,
    /// Reachability of each pool from this node.
    pub reach: RefCell<ReachMonitor>,
    /// Idle connections to upstreams.
    pub connections: ConnectionPool<UpstreamKey>,
    /// Idle connections to other nodes, which carried calls.
    pub peer_connections: ConnectionPool<SocketAddr>,
    /// Starts the watch of pools that are out of reach.
    pub reach_notify: tokio::sync::Notify,
    /// Recent reachability of the store.
    pub store_health: Cell<StoreHealth>,
    /// Time at which the shutdown began; `None` while the node runs normally.
    pub leaving_since: Cell<Option<Duration>>,
    /// Number of calls that have not ended.
    pub open_calls: Cell<usize>,
    /// Number of open connections from callers.
    pub open_connections: Cell<usize>,
    /// Writer of decision lines.
    pub decisions: DecisionLog,
    /// Counters and histograms that the metrics port serves.
    pub metrics: GatewayMetrics,
    /// Wakes the tasks of callers' connections when the node begins to shut down.
    pub shutdown_notify: tokio::sync::Notify,
    /// Wakes the registry reader before its next poll.
    pub registry_notify: tokio::sync::Notify,
    /// Makes the configuration reader drop its pending read and send a new one.
    pub configuration_notify: tokio::sync::Notify,
    /// Most urgent update that the next heartbeats have to carry.
    pub urgency: Cell<GossipUrgency>,
    /// Starts a round of heartbeats at once.
    pub heartbeat_notify: tokio::sync::Notify,
    /// Whether a fetch from another node is running.
    pub fetching: Cell<bool>,
    /// Encoded answers that other nodes are likely to ask for again.
    pub answers: RefCell<AnswerCache>,
    /// Large answers that are being sent to other nodes.
    pub transfers: RefCell<TransferList>,
    /// Newest configuration version that any node has advertised, and the progress of fetching it.
    pub lag: Cell<VersionLag>,
    /// Newest era in any of the store's answers; `None` before the first answer.
    pub store_era: Cell<Option<u64>>,
    /// Unix time at the start of the monotonic clock, as agreed by most nodes.
    pub unix_start: Cell<Duration>,
    /// State of the duties, which are calls to the platform that one node at a time makes; `None`
    /// if the settings list no duties.
    pub duties: Option<DutyState>,
}

impl Gateway {
    /// Returns the time on the monotonic clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns whether callers should be directed to this node: it has a configuration and a
    /// registry and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.leaving_since.get().is_none()
            && self.table.borrow().is_some()
            && self.knows_upstreams()
    }

    /// Returns whether upstreams have been loaded, from the store or from another node.
    pub fn knows_upstreams(&self) -> bool {
        self.scope.get() != RegistryScope::Nothing
    }

    /// Returns whether all upstreams have been loaded.
    pub fn knows_all_upstreams(&self) -> bool {
        self.scope.get() == RegistryScope::Whole
    }

    /// Returns the lifecycle state that this node advertises.
    pub fn state(&self) -> NodeState {
        if self.leaving_since.get().is_some() {
            NodeState::Leaving
        } else if self.is_ready() {
            NodeState::Ready
        } else {
            NodeState::Starting
        }
    }

    /// Starts a round of heartbeats at once that propagates updates of this urgency or higher.
    pub fn propagate(&self, urgency: GossipUrgency) {
        self.urgency.set(self.urgency.get().max(urgency));
        self.heartbeat_notify.notify_one();
    }

    /// Returns whether this node is a hub of its availability zone.
    pub fn is_hub(&self) -> bool {
        self.fleet.borrow().is_hub(self.now())
    }

    /// Returns whether this node reads the store on behalf of its availability zone.
    pub fn is_reader(&self) -> bool {
        self.fleet.borrow().reads_store(self.now())
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.rules().map_or(0, |rules| rules.version)
    }

    /// Returns whether a newer version has been advertised for so long that this node has to read
    /// it from the store itself.
    pub fn lags_behind(&self) -> bool {
        self.lag.get().is_behind(self.version(), self.now())
    }

    /// Records that data of a running fetch has arrived.
    pub fn record_fetch_progress(&self) {
        let mut lag = self.lag.get();
        lag.fetch_progressed(self.now());
        self.lag.set(lag);
    }

    /// Returns whether a call to the store failed within the trust period of the settings. A
    /// pending long-poll read may then have been lost without an error.
    pub fn store_suspect(&self) -> bool {
        let trust = self.settings.times.trust;
        self.store_health
            .get()
            .failed_at
            .is_some_and(|at| self.now() < at + trust)
    }

    /// Returns the rules of the configuration in force; `None` before the first configuration.
    pub fn rules(&self) -> Option<Rc<RuleTable>> {
        self.table.borrow().clone()
    }

    /// Returns the Unix time as agreed by most nodes of the fleet.
    pub fn unix_now(&self) -> Duration {
        self.unix_start.get() + self.now()
    }

    /// Recomputes the agreed Unix time from the clocks of this host and of the other nodes.
    pub fn compare_clocks(&self) {
        let now = self.now();
        let own = duties::host_time().saturating_sub(now);
        let start = self.fleet.borrow().unix_start(own, now);
        self.unix_start.set(start);
    }

    /// Records the era of an answer from the store. After a new era begins, the store runs from a
    /// copy that is some seconds old: an entry that this copy lacks is not proof of removal until
    /// writers have had time to write it again. The store counts as just recovered from a failure.
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
        let mut health = self.store_health.get();
        health.failed_at = Some(now);
        health.recovered_at = now;
        self.store_health.set(health);
        self.decisions.record(StoreDecision::StoreEraBegan { era });
        self.registry_notify.notify_waiters();
        self.configuration_notify.notify_waiters();
    }

    /// Returns whether the node accepts new calls, which it also does for a short time after the
    /// shutdown has begun.
    pub fn accepts_calls(&self) -> bool {
        self.leaving_since
            .get()
            .is_none_or(|since| self.now() < since + LINGER)
    }

    /// Returns the time by which calls have to be answered, since this node exits soon after; `None`
    /// while it runs normally.
    pub fn answers_until(&self) -> Option<Duration> {
        let grace = self.settings.times.grace.mul_f64(ANSWER_FRACTION);
        self.leaving_since.get().map(|since| since + grace)
    }

    /// Waits until calls have to be answered, which never happens while this node runs normally.
    pub async fn answer_time_over(&self) {
        loop {
            let notice = self.shutdown_notify.notified();
            if let Some(until) = self.answers_until() {
                return tokio::time::sleep(until.saturating_sub(self.now())).await;
            }
            notice.await;
        }
    }

    /// Returns the observed pace of streams of the same kind as the call's.
    pub fn pace(&self, call: &Call) -> StreamPace {
        let paces = self.paces.borrow();
        paces.get(&call.stream_kind()).copied().unwrap_or_default()
    }

    /// Returns the number of nodes that share budgets, this one included.
    pub fn node_count(&self) -> usize {
        self.fleet.borrow().size(self.now()) as usize
    }
}

/// Time for which a node accepts calls after its shutdown has begun. Callers that keep its address
/// for longer find the port closed; a call accepted later might not end within the grace period.
const LINGER: Duration = Duration::from_millis(2500);
/// Rotation in bits that derives the lease's random seed from that of the process.
const DUTY_SEED_ROTATION: u32 = 17;
/// Fraction of the grace period after which calls without an answer are given up, so that their
/// callers receive that before the process exits.
const ANSWER_FRACTION: f64 = 0.9;
/// Fraction of the grace period after which calls that are still open are cut off. The rest is left
/// for the process to exit.
const GRACE_FRACTION: f64 = 0.93;

/// Runs a node until it receives SIGTERM or SIGINT and its open calls have ended or the grace
/// period is over. Errors mean that the node could not start.
pub async fn run(settings: GatewaySettings) -> Result<(), NodeError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(NodeError::Runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(NodeError::Runtime)?;
    let mut reload = signal(SignalKind::hangup()).map_err(NodeError::Runtime)?;
    let mut random = [0; 8];
    getrandom::fill(&mut random)?;
    let clock = MonotonicClock::new();
    let incarnation = sync::start_time();
    let own = peers::own_card(&settings, incarnation);
    let duty_seed = u64::from_le_bytes(random).rotate_left(DUTY_SEED_ROTATION);
    let duty_random = Pcg64Mcg::seed_from_u64(duty_seed);
    let gateway = Rc::new(Gateway {
        decisions: DecisionLog::start(clock, settings.name.clone()),
        metrics: GatewayMetrics::new(),
        connections: ConnectionPool::default(),
        peer_connections: ConnectionPool::default(),
        reach_notify: tokio::sync::Notify::new(),
        clock,
        table: RefCell::default(),
        pool_changes: RefCell::default(),
        texts: RefCell::default(),
        registry: RefCell::default(),
        scope_since: Cell::default(),
        scope: Cell::default(),
        whole_until: Cell::default(),
        fleet: RefCell::new(FleetView::new(own, clock.now())),
        peer_socket: OnceCell::new(),
        starts: RefCell::default(),
        history: HistoryBook::default(),
        crashes: RefCell::default(),
        budgets: RefCell::default(),
        sent_parts: RefCell::default(),
        paces: RefCell::default(),
        speeds: RefCell::default(),
        waiting: RefCell::default(),
        buffers: Rc::default(),
        bodies: Arc::new(BodyAccount::new(settings.limits.memory, clock)),
        returns: RefCell::default(),
        shares: RefCell::default(),
        share_names: RefCell::default(),
        shares_shown_at: Cell::default(),
        capacity_notify: tokio::sync::Notify::new(),
        reach: RefCell::default(),
        store_health: Cell::default(),
        leaving_since: Cell::new(None),
        open_calls: Cell::new(0),
        open_connections: Cell::new(0),
        shutdown_notify: tokio::sync::Notify::new(),
        registry_notify: tokio::sync::Notify::new(),
        configuration_notify: tokio::sync::Notify::new(),
        urgency: Cell::default(),
        heartbeat_notify: tokio::sync::Notify::new(),
        fetching: Cell::new(false),
        answers: RefCell::default(),
        transfers: RefCell::new(TransferList::new(settings.limits.link_mbps)),
        lag: Cell::default(),
        store_era: Cell::new(None),
        unix_start: Cell::new(duties::host_time().saturating_sub(clock.now())),
        duties: settings
            .duties
            .clone()
            .map(|duties| DutyState::new(duties, &settings.name, incarnation, duty_random)),
        settings,
    });
    gateway.decisions.record(NodeDecision::Started {
        zone: &gateway.settings.zone,
    });
    listener::start(&gateway).await?;
    peers::start(&gateway).await?;
    sync::start(&gateway, u64::from_le_bytes(random));
    caches::start(&gateway);
    reach::start(&gateway);
    duties::start(&gateway);
    quarantine::start(&gateway);
    reports::start(&gateway);
    scaling::start(&gateway);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => validate_settings(&gateway),
        }
    }
    shut_down(&gateway).await;
    Ok(())
}

/// Validates the settings file on SIGHUP. The settings are not applied, so calls continue
/// untouched; an invalid file is reported and the loaded settings stay in force.
fn validate_settings(gateway: &Gateway) {
    let outcome = GatewaySettings::load(&gateway.settings.file);
    let error = outcome.err().map(|error| error.to_string());
    gateway.decisions.record(NodeDecision::Reloaded {
        error: error.as_deref(),
    });
}

async fn shut_down(gateway: &Gateway) {
    let since = gateway.now();
    gateway.leaving_since.set(Some(since));
    gateway.shutdown_notify.notify_waiters();
    gateway.propagate(GossipUrgency::All);
    gateway.decisions.record(NodeDecision::Leaving {
        open_calls: gateway.open_calls.get(),
    });
    let last = since + gateway.settings.times.grace.mul_f64(GRACE_FRACTION);
    let pause = Duration::from_millis(50);
    while gateway.now() < last {
        let quiet = gateway.open_calls.get() == 0 && gateway.now() > since + LINGER;
        if quiet {
            break;
        }
        tokio::time::sleep(pause).await;
    }
    // Sends what was counted since the last heartbeat before the process exits.
    gateway.heartbeat_notify.notify_one();
    tokio::time::sleep(pause).await;
    gateway.decisions.record(NodeDecision::Left {
        open_calls: gateway.open_calls.get(),
    });
    gateway.decisions.finish();
}
