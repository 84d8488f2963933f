//! State shared by the tasks of one node.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use monsoonbank_kernel::clock::Clock;
use monsoonbank_kernel::config::Config;
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::{AttemptId, CallId, NodeId, UpstreamId, WorkspaceId};
use monsoonbank_kernel::keys::KeyMint;
use monsoonbank_kernel::membership::{MemberView, NodeState};
use monsoonbank_kernel::ownership::OwnerMap;
use monsoonbank_kernel::plugin::{GaugeSample, NodeProfile};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::account::BodyAccount;
use crate::calls::CallTable;
use crate::changes::ChangeTable;
use crate::counters::NodeCounters;
use crate::frame::{Frame, RequestParts};
use crate::links::LinkTable;
use crate::settings::Settings;

/// Input of the driver task, processed in order of arrival.
pub enum Input {
    /// A kernel event.
    Event(Event),
    /// A frame received from another node.
    Frame(NodeId, Frame),
    /// A link to or from a node broke; frames in transit may be lost.
    LinkLost(NodeId),
    /// A request for the state dump: one section, or the whole dump if `None`.
    Dump(Option<Box<str>>, oneshot::Sender<Value>),
    /// A request for the kernel's gauges.
    Gauges(oneshot::Sender<Vec<GaugeSample>>),
}

/// An attempt that this node runs or queues as the owner of its upstream.
#[derive(Debug)]
struct AttemptWork {
    entry: NodeId,
    parts: Arc<RequestParts>,
    cancel: CancellationToken,
    running: bool,
}

impl AttemptWork {
    fn new(entry: NodeId, parts: Arc<RequestParts>) -> Self {
        Self {
            entry,
            parts,
            cancel: CancellationToken::new(),
            running: false,
        }
    }
}

/// An attempt that is being started at an upstream.
#[derive(Debug)]
pub struct StartedWork {
    /// Node that receives the answer's chunks.
    pub entry: NodeId,
    /// Request to send to the upstream.
    pub parts: Arc<RequestParts>,
    /// Cancels the attempt at the upstream.
    pub cancel: CancellationToken,
}

/// State shared by the tasks of one node.
pub struct NodeShared {
    /// Settings read at startup.
    pub settings: Settings,
    /// Identity of the node: name, availability zone and incarnation.
    pub profile: NodeProfile,
    /// Monotonic clock, used for all of the kernel's times.
    pub clock: Box<dyn Clock>,
    /// Open calls for which this node is the entry.
    pub calls: CallTable,
    mint: KeyMint,
    /// Pending and recent configuration changes by operators.
    pub changes: ChangeTable,
    /// Outgoing links to other nodes.
    pub links: LinkTable,
    /// Memory that the bodies of requests take.
    pub bodies: Arc<BodyAccount>,
    /// Metrics counted by the daemon itself.
    pub counters: NodeCounters,
    /// HTTP client for repeatable calls and the platform.
    pub client: reqwest::Client,
    /// HTTP client without connection reuse, for calls that may not be repeated: the upstream may
    /// close a reused connection while a request is sent on it, and the outcome would be unknown.
    pub single_use_client: reqwest::Client,
    /// Cancels every task of the node immediately.
    pub kill: CancellationToken,
    /// Cancelled once the kernel reports that the graceful shutdown has finished.
    pub done: CancellationToken,
    sequence: AtomicU64,
    tracker: TaskTracker,
    inputs: mpsc::UnboundedSender<Input>,
    works: Mutex<BTreeMap<AttemptId, AttemptWork>>,
    config: RwLock<Arc<Config>>,
    members: RwLock<Arc<MemberView>>,
    owners: RwLock<Arc<OwnerMap>>,
}

/// Arguments of [`NodeShared::new`].
pub struct SharedParts {
    /// Settings read at startup.
    pub settings: Settings,
    /// Identity of the node: name, availability zone and incarnation.
    pub profile: NodeProfile,
    /// Monotonic clock, used for all of the kernel's times.
    pub clock: Box<dyn Clock>,
    /// Memory that the bodies of requests take.
    pub bodies: Arc<BodyAccount>,
    /// HTTP client for repeatable calls and the platform.
    pub client: reqwest::Client,
    /// HTTP client without connection reuse, for calls that may not be repeated.
    pub single_use_client: reqwest::Client,
    /// Sending end of the driver's input queue.
    pub inputs: mpsc::UnboundedSender<Input>,
}

impl NodeShared {
    /// Creates the state of a node that starts: no calls, no links, empty configuration.
    pub fn new(parts: SharedParts) -> Self {
        Self {
            calls: CallTable::new(parts.settings.bounds.waiting_bytes),
            mint: KeyMint::new(&parts.profile),
            changes: ChangeTable::default(),
            links: LinkTable::default(),
            bodies: parts.bodies,
            counters: NodeCounters::default(),
            settings: parts.settings,
            profile: parts.profile,
            clock: parts.clock,
            client: parts.client,
            single_use_client: parts.single_use_client,
            kill: CancellationToken::new(),
            done: CancellationToken::new(),
            sequence: AtomicU64::new(0),
            tracker: TaskTracker::new(),
            inputs: parts.inputs,
            works: Mutex::default(),
            config: RwLock::default(),
            members: RwLock::default(),
            owners: RwLock::default(),
        }
    }

    /// Current time on the node's monotonic clock, since its start.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns a new call identifier, unique across nodes and restarts.
    pub fn next_call(&self) -> CallId {
        CallId {
            node: self.profile.node,
            incarnation: self.profile.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Spawns a task that runs until it ends or the node is killed.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let kill = self.kill.clone();
        self.tracker.spawn(async move {
            tokio::select! {
                () = kill.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// Waits until every task has ended.
    pub async fn wait(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }

    /// Queues an input for the driver.
    pub fn send_input(&self, input: Input) {
        // Sending fails only while the node is being killed.
        let _ = self.inputs.send(input);
    }

    /// Queues an event for the kernel.
    pub fn send_event(&self, event: Event) {
        self.send_input(Input::Event(event));
    }

    fn works(&self) -> MutexGuard<'_, BTreeMap<AttemptId, AttemptWork>> {
        self.works.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores the request of an attempt that `entry` offered. Has no effect if it is already stored.
    pub fn add_work(&self, attempt: AttemptId, entry: NodeId, parts: Arc<RequestParts>) {
        self.works()
            .entry(attempt)
            .or_insert_with(|| AttemptWork::new(entry, parts));
    }

    /// Marks an attempt as running and returns its entry, its request and a new cancellation
    /// token. The request of an attempt that this node offered to itself was never sent over a
    /// link, so it is taken from the open call. `None` if no request is found.
    pub fn start_work(&self, attempt: AttemptId) -> Option<StartedWork> {
        let mut works = self.works();
        if let std::collections::btree_map::Entry::Vacant(vacant) = works.entry(attempt) {
            let parts = self.calls.parts(attempt.call)?;
            vacant.insert(AttemptWork::new(self.profile.node, parts));
        }
        let work = works.get_mut(&attempt)?;
        work.running = true;
        work.cancel = CancellationToken::new();
        let parts = Arc::clone(&work.parts);
        Some(StartedWork {
            entry: work.entry,
            parts,
            cancel: work.cancel.clone(),
        })
    }

    /// Records that the attempt's task has ended, and removes the attempt if this node is its entry.
    pub fn mark_work_stopped(&self, attempt: AttemptId) {
        let mut works = self.works();
        let Some(work) = works.get_mut(&attempt) else {
            return;
        };
        work.running = false;
        if work.entry == self.profile.node {
            works.remove(&attempt);
        }
    }

    /// Removes a cancelled attempt unless it runs at an upstream.
    pub fn remove_if_waiting(&self, attempt: AttemptId) {
        let mut works = self.works();
        if works.get(&attempt).is_some_and(|work| !work.running) {
            works.remove(&attempt);
        }
    }

    /// Removes all attempts of an unreachable entry except those that run at an upstream.
    pub fn remove_waiting(&self, entry: NodeId) {
        self.works()
            .retain(|_, work| work.entry != entry || work.running);
    }

    /// Number of attempts whose requests are stored.
    pub fn work_count(&self) -> usize {
        self.works().len()
    }

    /// Cancels an attempt at its upstream. Has no effect on an unknown attempt.
    pub fn cancel_work(&self, attempt: AttemptId) {
        if let Some(work) = self.works().get(&attempt) {
            work.cancel.cancel();
        }
    }

    /// Removes an attempt that has ended.
    pub fn remove_work(&self, attempt: AttemptId) {
        self.works().remove(&attempt);
    }

    /// The configuration in force; empty until the first one is received.
    pub fn config(&self) -> Arc<Config> {
        read(&self.config)
    }

    /// The current members of the fleet and their states.
    pub fn members(&self) -> Arc<MemberView> {
        read(&self.members)
    }

    /// Mints an idempotency key for a workspace. `None` while this node shuts down, since no other
    /// node could run a call under the key.
    pub fn fresh_key(&self, workspace: WorkspaceId) -> Option<Box<str>> {
        let members = self.members();
        let own = members.members.get(&self.profile.node);
        let leaving = own.is_some_and(|member| member.state == NodeState::Leaving);
        (!leaving).then(|| self.mint.mint(workspace, self.now()))
    }

    /// Owner of each upstream, in this node's view.
    pub fn owners(&self) -> Arc<OwnerMap> {
        read(&self.owners)
    }

    /// Upstreams owned by this node.
    pub fn owned_upstreams(&self) -> Vec<UpstreamId> {
        let owners = self.owners();
        let own = |owner: &NodeId| *owner == self.profile.node;
        owners
            .owners
            .iter()
            .filter(|(_, owner)| own(owner))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Replaces the configuration in force.
    pub fn set_config(&self, config: Arc<Config>) {
        write(&self.config, config);
    }

    /// Replaces the view of the fleet's members.
    pub fn set_members(&self, members: Arc<MemberView>) {
        write(&self.members, members);
    }

    /// Replaces the owners of the upstreams.
    pub fn set_owners(&self, owners: Arc<OwnerMap>) {
        write(&self.owners, owners);
    }
}

fn read<T>(cell: &RwLock<Arc<T>>) -> Arc<T> {
    Arc::clone(&cell.read().unwrap_or_else(PoisonError::into_inner))
}

fn write<T>(cell: &RwLock<Arc<T>>, value: Arc<T>) {
    *cell.write().unwrap_or_else(PoisonError::into_inner) = value;
}
