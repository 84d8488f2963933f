//! What the tasks of one node share.

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

use crate::calls::CallTable;
use crate::changes::ChangeTable;
use crate::counters::NodeCounters;
use crate::frame::{Frame, RequestParts};
use crate::links::LinkTable;
use crate::settings::Settings;

/// What the driver's task takes in.
pub enum Input {
    /// An event for the kernel.
    Event(Event),
    /// A frame from another node.
    Frame(NodeId, Frame),
    /// A link to or from a node broke.
    LinkLost(NodeId),
    /// The state dump is wanted, whole or one section.
    Dump(Option<Box<str>>, oneshot::Sender<Value>),
    /// The kernel's metrics are wanted.
    Gauges(oneshot::Sender<Vec<GaugeSample>>),
}

/// Work that this node holds as an owner.
#[derive(Debug)]
struct HeldWork {
    entry: NodeId,
    parts: Arc<RequestParts>,
    cancel: CancellationToken,
    running: bool,
}

impl HeldWork {
    fn new(entry: NodeId, parts: Arc<RequestParts>) -> Self {
        Self {
            entry,
            parts,
            cancel: CancellationToken::new(),
            running: false,
        }
    }
}

/// Work that goes to an upstream now.
#[derive(Debug)]
pub struct StartedWork {
    /// Where the answer goes.
    pub entry: NodeId,
    /// The request.
    pub parts: Arc<RequestParts>,
    /// Stops the attempt at the upstream.
    pub cancel: CancellationToken,
}

/// What the tasks of one node share.
pub struct NodeShared {
    /// The settings.
    pub settings: Settings,
    /// Who the node is.
    pub profile: NodeProfile,
    /// The clock.
    pub clock: Box<dyn Clock>,
    /// The entry's open calls.
    pub calls: CallTable,
    mint: KeyMint,
    /// Operators' changes of configuration.
    pub changes: ChangeTable,
    /// Links to other nodes.
    pub links: LinkTable,
    /// Counters.
    pub counters: NodeCounters,
    /// HTTP client for repeatable calls and the platform.
    pub client: reqwest::Client,
    /// HTTP client without connection reuse, for calls that may not be repeated: a request on a
    /// reused connection that the upstream closes at that moment would end as unknown.
    pub single_use_client: reqwest::Client,
    /// Ends every task of the node at once.
    pub kill: CancellationToken,
    /// Set once the kernel says that everything is finished.
    pub done: CancellationToken,
    sequence: AtomicU64,
    tracker: TaskTracker,
    inputs: mpsc::UnboundedSender<Input>,
    works: Mutex<BTreeMap<AttemptId, HeldWork>>,
    config: RwLock<Arc<Config>>,
    members: RwLock<Arc<MemberView>>,
    owners: RwLock<Arc<OwnerMap>>,
}

/// The parts that a node's shared state is made of.
pub struct SharedParts {
    /// The settings.
    pub settings: Settings,
    /// Who the node is.
    pub profile: NodeProfile,
    /// The clock.
    pub clock: Box<dyn Clock>,
    /// HTTP client for repeatable calls and the platform.
    pub client: reqwest::Client,
    /// HTTP client without connection reuse.
    pub single_use_client: reqwest::Client,
    /// The driver's inputs.
    pub inputs: mpsc::UnboundedSender<Input>,
}

impl NodeShared {
    /// The shared state of a node that starts.
    pub fn new(parts: SharedParts) -> Self {
        Self {
            calls: CallTable::new(parts.settings.bounds.waiting_bytes),
            mint: KeyMint::new(&parts.profile),
            changes: ChangeTable::default(),
            links: LinkTable::default(),
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

    /// Time since the node's start.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// A number for the next call.
    pub fn next_call(&self) -> CallId {
        CallId {
            node: self.profile.node,
            incarnation: self.profile.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Runs a task until it ends or the node is killed.
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

    /// Hands an input to the driver.
    pub fn input(&self, input: Input) {
        // The driver is gone only when the node is being killed.
        let _ = self.inputs.send(input);
    }

    /// Hands an event to the kernel.
    pub fn event(&self, event: Event) {
        self.input(Input::Event(event));
    }

    fn works(&self) -> MutexGuard<'_, BTreeMap<AttemptId, HeldWork>> {
        self.works.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps the request of offered work.
    pub fn hold(&self, attempt: AttemptId, entry: NodeId, parts: Arc<RequestParts>) {
        self.works()
            .entry(attempt)
            .or_insert_with(|| HeldWork::new(entry, parts));
    }

    /// The entry, the request and a fresh stop token of work that is about to be started. Work
    /// that this node offered to itself crossed no link; its request is the open call's.
    pub fn start(&self, attempt: AttemptId) -> Option<StartedWork> {
        let mut works = self.works();
        if let std::collections::btree_map::Entry::Vacant(vacant) = works.entry(attempt) {
            let parts = self.calls.parts(attempt.call)?;
            vacant.insert(HeldWork::new(self.profile.node, parts));
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

    /// The attempt's task has ended; work of this node itself is forgotten.
    pub fn stopped(&self, attempt: AttemptId) {
        let mut works = self.works();
        let Some(work) = works.get_mut(&attempt) else {
            return;
        };
        work.running = false;
        if work.entry == self.profile.node {
            works.remove(&attempt);
        }
    }

    /// Forgets cancelled work that is not at an upstream.
    pub fn release_if_waiting(&self, attempt: AttemptId) {
        let mut works = self.works();
        if works.get(&attempt).is_some_and(|work| !work.running) {
            works.remove(&attempt);
        }
    }

    /// Forgets all work of an entry that is lost, but for what is at an upstream.
    pub fn release_waiting(&self, entry: NodeId) {
        self.works()
            .retain(|_, work| work.entry != entry || work.running);
    }

    /// Requests held for attempts now.
    pub fn held(&self) -> usize {
        self.works().len()
    }

    /// Stops held work at its upstream.
    pub fn cancel(&self, attempt: AttemptId) {
        if let Some(work) = self.works().get(&attempt) {
            work.cancel.cancel();
        }
    }

    /// Forgets work that is over.
    pub fn release(&self, attempt: AttemptId) {
        self.works().remove(&attempt);
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<Config> {
        read(&self.config)
    }

    /// The nodes.
    pub fn members(&self) -> Arc<MemberView> {
        read(&self.members)
    }

    /// A fresh idempotency key; none while this node leaves, since nobody else could run it.
    pub fn fresh_key(&self, workspace: WorkspaceId) -> Option<Box<str>> {
        let members = self.members();
        let own = members.members.get(&self.profile.node);
        let leaving = own.is_some_and(|member| member.state == NodeState::Leaving);
        (!leaving).then(|| self.mint.mint(workspace, self.now()))
    }

    /// Which node owns which upstream, as this node sees it.
    pub fn owners(&self) -> Arc<OwnerMap> {
        read(&self.owners)
    }

    /// Upstreams that this node owns.
    pub fn owned(&self) -> Vec<UpstreamId> {
        let owners = self.owners();
        let own = |owner: &NodeId| *owner == self.profile.node;
        owners
            .owners
            .iter()
            .filter(|(_, owner)| own(owner))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Puts a configuration in force.
    pub fn use_config(&self, config: Arc<Config>) {
        write(&self.config, config);
    }

    /// Takes over the nodes.
    pub fn use_members(&self, members: Arc<MemberView>) {
        write(&self.members, members);
    }

    /// Takes over the owners.
    pub fn use_owners(&self, owners: Arc<OwnerMap>) {
        write(&self.owners, owners);
    }
}

fn read<T>(cell: &RwLock<Arc<T>>) -> Arc<T> {
    Arc::clone(&cell.read().unwrap_or_else(PoisonError::into_inner))
}

fn write<T>(cell: &RwLock<Arc<T>>, value: Arc<T>) {
    *cell.write().unwrap_or_else(PoisonError::into_inner) = value;
}
