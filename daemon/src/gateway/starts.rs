//! Tells other nodes which software version began a stream, and finds that out when its caller
//! resumes it.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monsoonbank_kernel::gateway::message::NodeMessage;
use monsoonbank_kernel::gateway::registry::{SoftwareKey, UpstreamRegistry};
use monsoonbank_kernel::gateway::rules::AnswerForm;
use monsoonbank_kernel::gateway::starts::{StartLedger, StartMessage, StreamKey, StreamStart};
use monsoonbank_platform::head::ResumedAttempt;
use thiserror::Error;
use tokio::sync::Notify;

use crate::gateway::admission::{Call, DEFAULT_TIMEOUT};
use crate::gateway::decisions::{CallDecision, millis};
use crate::gateway::{Gateway, history, peers};

/// Time without an answer after which the nodes that have not answered are asked again.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which nodes are asked. One whose share of a core is used up answers within a tenth of a
/// second.
const QUERY_TIME: Duration = Duration::from_millis(200);
/// Time since the store last answered any node within which all nodes know of new upstreams.
const REGISTRY_AGE: Duration = Duration::from_secs(2);
/// Time after its start within which a node learns of others: until then it may know none to ask.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Reason why the software version that began a stream is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StartError {
    /// The caller does not say which attempt began the stream.
    #[error("header `Resumes` is missing: the attempt that began the stream is not named")]
    Missing,
    /// The caller names no attempt, or several.
    #[error("header `Resumes` does not name one attempt")]
    Malformed,
    /// No node that could be asked knows the stream.
    #[error("no node knows the attempt in `Resumes`, or it was too long ago")]
    Unknown,
}

/// Known starts of streams, and open queries for others.
#[derive(Debug, Default)]
pub struct StartBook {
    ledger: StartLedger,
    queries: BTreeMap<StreamKey, StartQuery>,
}

impl StartBook {
    /// Number of known streams.
    pub fn stream_count(&self) -> usize {
        self.ledger.len()
    }

    /// Forgets the streams whose callers no longer wait.
    pub fn expire(&mut self, now: Duration) {
        self.ledger.expire(now);
    }
}

/// Query for the start of a stream, for all calls that wait for it.
#[derive(Debug, Default)]
struct StartQuery {
    /// Nodes that do not know it.
    unknowing: BTreeSet<SocketAddr>,
    /// Nodes that were asked last and have not answered.
    unanswered: BTreeSet<SocketAddr>,
    calls: usize,
    notify: Rc<Notify>,
}

/// A call that waits for the answers to a query, which ends with the last such call.
struct QueryGuard<'a> {
    book: &'a RefCell<StartBook>,
    stream: StreamKey,
}

impl Drop for QueryGuard<'_> {
    fn drop(&mut self) {
        let queries = &mut self.book.borrow_mut().queries;
        if let Some(query) = queries.get_mut(&self.stream) {
            query.calls -= 1;
            if query.calls == 0 {
                queries.remove(&self.stream);
            }
        }
    }
}

/// Records the software version that began a call's stream, and tells the stream's keepers. This has
/// to be done before the caller gets the first event.
pub async fn record(gateway: &Gateway, call: &Call, software: SoftwareKey) {
    if call.class.form != (AnswerForm::Events { resumable: true }) {
        return;
    }
    let now = gateway.now();
    let stream = StreamKey::new(call.head.first_attempt());
    let timeout = call.head.time_left.unwrap_or(DEFAULT_TIMEOUT);
    let left = (call.started + timeout).saturating_sub(now);
    let start = StreamStart::new(stream, software, left);
    let keepers = gateway.fleet.borrow().start_keepers(stream, now);
    let recipients: Vec<SocketAddr> = {
        let ledger = &mut gateway.starts.borrow_mut().ledger;
        ledger.record(start, now);
        let further = keepers.further.filter(|_| ledger.may_tell_further(now));
        keepers.required.into_iter().chain(further).collect()
    };
    let message = NodeMessage::Start(StartMessage::Began(start));
    send(gateway, &recipients, &message).await;
}

async fn send(gateway: &Gateway, recipients: &[SocketAddr], message: &NodeMessage<'_>) {
    let bytes = peers::send(gateway, recipients, message).await;
    gateway.metrics.start_bytes.inc_by(bytes as u64);
}

/// Returns the software version that began the stream which a call resumes, from this node or another
/// one that keeps it; `None` if the call begins a stream or gets no stream.
///
/// # Errors
///
/// If the version is not known.
pub async fn find(gateway: &Gateway, call: &Call) -> Result<Option<SoftwareKey>, StartError> {
    let gets_stream = matches!(call.class.form, AnswerForm::Events { .. });
    if !gets_stream || !call.head.is_resumption() {
        return Ok(None);
    }
    let since = gateway.now();
    let found = match &call.head.resumes {
        ResumedAttempt::Missing => {
            let software = sole_version(gateway, call).await;
            software.ok_or(StartError::Missing)
        }
        ResumedAttempt::Malformed => Err(StartError::Malformed),
        ResumedAttempt::Named(attempt) => find_named(gateway, StreamKey::new(attempt)).await,
    };
    let outcome = if found.is_ok() { "known" } else { "unknown" };
    let reason = found.as_ref().err().map(StartError::to_string);
    gateway.metrics.count_resumption(outcome);
    gateway.decisions.record(CallDecision::StartLookedUp {
        call: &call.head.id,
        known: found.is_ok(),
        reason: reason.as_deref(),
        took_ms: millis(gateway.now().saturating_sub(since)),
    });
    found.map(Some)
}

/// Returns a call as it is served by the pool that began its stream, if that is another one than was
/// drawn for it and the call's rule allows it. The draw follows the weights, which may have changed
/// since.
pub fn at_first_pool(
    gateway: &Gateway,
    call: &Call,
    software: Option<SoftwareKey>,
) -> Option<Call> {
    let software = software?;
    let rules = gateway.rules()?;
    let rule = rules.find(&call.head.host, call.target.path())?;
    let registry = gateway.registry.borrow();
    let pool = rule
        .allowed_pools()
        .find(|pool| registry.has_software(pool, software))?;
    if *pool == *call.pool {
        return None;
    }
    gateway.decisions.record(CallDecision::PoolKept {
        call: &call.head.id,
        pool,
        drawn: &call.pool,
    });
    Some(call.at_pool(&rules, pool))
}

/// Returns the software version that must have begun a call's stream, whichever attempt that was: the
/// only one that its pool had while the stream can have begun.
async fn sole_version(gateway: &Gateway, call: &Call) -> Option<SoftwareKey> {
    let now = gateway.now();
    let rules = gateway.rules()?;
    let rule = rules.find(&call.head.host, call.target.path())?;
    let answered_at = gateway.fleet.borrow().store_answered_at()?;
    let is_known =
        rule.pools.len() == 1 && gateway.knows_all_upstreams() && answered_at + REGISTRY_AGE >= now;
    // A stream lasts no longer than its rule allows.
    let longest = rule.class.timeout;
    let changes = &gateway.pool_changes;
    let is_unchanged = |now| {
        let changes = changes.borrow();
        changes.unchanged_for(&call.head.host, call.target.path(), longest, now)
    };
    if !is_known || !is_unchanged(now) {
        return None;
    }
    let since = now.saturating_sub(longest);
    if gateway.scope_since.get() <= since {
        return gateway.registry.borrow().sole_software(&call.pool, since);
    }
    // The streams may have begun before this node knew the registry.
    let history = history::get(gateway).await?;
    let now = gateway.now();
    let earlier = history.sole_software(&call.pool, longest, now)?;
    let registry = gateway.registry.borrow();
    // Nodes that have been there for longer may know upstreams that have left.
    let known = agrees_with_peers(gateway, &registry)
        .then(|| registry.sole_software(&call.pool, Duration::ZERO))??;
    (known == earlier && is_unchanged(now)).then_some(known)
}

/// Returns whether no other node knows upstreams that this one does not know.
fn agrees_with_peers(gateway: &Gateway, registry: &UpstreamRegistry) -> bool {
    let own = registry.digest();
    let fleet = gateway.fleet.borrow();
    let mut digests = fleet
        .live(gateway.now())
        .map(|peer| peer.heartbeat.registry_digest);
    digests.all(|digest| digest == 0 || digest == own)
}

async fn find_named(gateway: &Gateway, stream: StreamKey) -> Result<SoftwareKey, StartError> {
    let known = || {
        let book = gateway.starts.borrow();
        let start = book.ledger.start(stream, gateway.now());
        start.map(|start| start.software)
    };
    if let Some(software) = known() {
        return Ok(software);
    }
    let (notify, _guard) = begin_query(gateway, stream);
    let until = query_until(gateway);
    while gateway.now() < until {
        let answered = notify.notified();
        let asked = next_sources(gateway, stream);
        if asked.is_empty() && !is_settling(gateway) {
            break;
        }
        let message = NodeMessage::Start(StartMessage::Query(stream));
        send(gateway, &asked, &message).await;
        // Without an answer the nodes are asked again.
        let _ = tokio::time::timeout(QUERY_INTERVAL, answered).await;
        if let Some(software) = known() {
            return Ok(software);
        }
    }
    Err(StartError::Unknown)
}

fn begin_query(gateway: &Gateway, stream: StreamKey) -> (Rc<Notify>, QueryGuard<'_>) {
    let queries = &mut gateway.starts.borrow_mut().queries;
    let query = queries.entry(stream).or_default();
    query.calls += 1;
    let guard = QueryGuard {
        book: &gateway.starts,
        stream,
    };
    (query.notify.clone(), guard)
}

fn is_settling(gateway: &Gateway) -> bool {
    gateway.fleet.borrow().uptime(gateway.now()) < SETTLE_TIME
}

fn query_until(gateway: &Gateway) -> Duration {
    let now = gateway.now();
    let uptime = gateway.fleet.borrow().uptime(now);
    now + QUERY_TIME.max(SETTLE_TIME.saturating_sub(uptime))
}

/// Returns the nodes to ask for a stream: those that may know it and have not denied that.
fn next_sources(gateway: &Gateway, stream: StreamKey) -> Vec<SocketAddr> {
    let mut sources = {
        let fleet = gateway.fleet.borrow();
        fleet.start_sources(stream, gateway.now())
    };
    if let Some(query) = gateway.starts.borrow_mut().queries.get_mut(&stream) {
        sources.retain(|at| !query.unknowing.contains(at));
        query.unanswered.clone_from(&sources);
    }
    sources.into_iter().collect()
}

/// Processes a message that another node sent from there.
pub async fn receive(gateway: &Gateway, message: StartMessage, from: SocketAddr) {
    let now = gateway.now();
    match message {
        StartMessage::Began(start) => {
            let book = &mut *gateway.starts.borrow_mut();
            book.ledger.record(start, now);
            if let Some(query) = book.queries.get(&start.stream) {
                query.notify.notify_waiters();
            }
        }
        StartMessage::Query(stream) => {
            let known = gateway.starts.borrow().ledger.start(stream, now);
            let answer = known.map_or(StartMessage::Unknown(stream), StartMessage::Began);
            send(gateway, &[from], &NodeMessage::Start(answer)).await;
        }
        StartMessage::Unknown(stream) => {
            let book = &mut *gateway.starts.borrow_mut();
            if let Some(query) = book.queries.get_mut(&stream) {
                query.unknowing.insert(from);
                if query.unanswered.remove(&from) && query.unanswered.is_empty() {
                    query.notify.notify_waiters();
                }
            }
        }
    }
}
