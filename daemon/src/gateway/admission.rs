//! Reads a caller's request and matches it to a rule.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{self, HeaderMap};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, StatusCode, Uri};
use monsoonbank_kernel::gateway::content::{ContentDigest, ContentParts};
use monsoonbank_kernel::gateway::crashes::suspect::{self, SuspectKey};
use monsoonbank_kernel::gateway::pace::StreamKind;
use monsoonbank_kernel::gateway::returns;
use monsoonbank_kernel::gateway::rules::{
    CallClass, CallRule, EngineSpec, RuleTable, WorkspaceSpec,
};
use monsoonbank_platform::head::{self, CallHead, ResumedAttempt};

use crate::account::MemoryError;
use crate::body::{self, BodyError, BodyLimits, RequestBody};
use crate::gateway::Gateway;
use crate::gateway::decisions::{self, CallDecision, millis};
use crate::gateway::reply::{self, Reply};

/// `Retry-After` for callers of a node without a configuration, which is usually loaded by then.
const START_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Phase of a call whose body was being read, in lines and metrics.
const NO_MEMORY_READING: &str = "reading";
/// Time for a call that states no deadline.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_mins(1);

/// Where a call came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOrigin {
    /// From the caller itself.
    Caller,
    /// From another node that reaches no upstream.
    Peer {
        /// Number of upstreams that the other node has sent it to.
        sends: u32,
    },
}

/// A call that was admitted by the rules.
#[derive(Clone, Debug)]
pub struct Call {
    /// Where it came from.
    pub origin: CallOrigin,
    /// Decoded head of the request.
    pub head: CallHead,
    /// HTTP method, which is forwarded unchanged.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// End-to-end headers, which are forwarded to the upstream.
    pub headers: HeaderMap,
    /// Whole body of the request, which is kept for further attempts.
    pub body: RequestBody,
    /// Digest of the call's content, the same for each attempt at the same call.
    pub content: ContentDigest,
    /// What it may crash upstreams with.
    pub suspects: Box<[SuspectKey]>,
    /// Class of the first matching rule.
    pub class: CallClass,
    /// Pool that the rule selected.
    pub pool: Box<str>,
    /// Properties of the pool's engines; `None` for a pool of plain services.
    pub engine: Option<EngineSpec>,
    /// Whether its class has a target for the gaps between events and no other class of the rule's
    /// pools has a shorter one.
    pub tight: bool,
    /// Tier of the call; 0 is the most urgent.
    pub tier: u8,
    /// Number of effective tiers in the configuration.
    pub tiers: u8,
    /// Shortest target among the pool's classes that are at least as urgent.
    pub shortest_target: Option<Duration>,
    /// Longest target of the pool's less urgent classes; zero if there are none.
    pub yielding_target: Duration,
    /// Workspace that the caller's key identifies; `None` if none is configured, or if the rule is
    /// public and no known key was sent.
    pub workspace: Option<Box<str>>,
    /// Time at which the head was read.
    pub started: Duration,
    /// Time at which the caller's first attempt at it began, as far as it is known or the time left
    /// tells.
    pub first_started: Duration,
    /// Time by which the call must have ended.
    pub deadline: Duration,
    /// Whether the call has been counted in its workspace's usage.
    pub counted: Cell<bool>,
}

impl Call {
    /// Returns the kind of streams whose pace predicts this call's.
    pub fn stream_kind(&self) -> StreamKind {
        StreamKind {
            pool: self.pool.clone(),
            tight: self.tight,
        }
    }

    /// Returns the call as it is served by another pool of its rule.
    #[must_use]
    pub fn at_pool(&self, rules: &RuleTable, pool: &str) -> Self {
        Self {
            pool: pool.into(),
            engine: rules.pool(pool).and_then(|pool| pool.engine),
            shortest_target: rules.shortest_target(pool, self.class.tier),
            yielding_target: rules.yielding_target(pool, self.tier),
            ..self.clone()
        }
    }

    /// Returns a uniform number that is the same for each attempt at this call.
    pub fn turn(&self) -> u64 {
        id_hash(&self.head.id)
    }
}

/// Status and reason for a request that is rejected.
#[derive(Debug)]
struct Rejection {
    status: StatusCode,
    reason: Box<str>,
    /// `Retry-After` of a request that may be sent again.
    pause: Option<Duration>,
}

impl Rejection {
    fn new(status: StatusCode, reason: impl Into<Box<str>>) -> Self {
        Self {
            status,
            reason: reason.into(),
            pause: None,
        }
    }

    fn not_run(reason: impl Into<Box<str>>, pause: Duration) -> Self {
        Self {
            pause: Some(pause),
            ..Self::new(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }
}

/// Reads a request to its end and matches it to a rule. The error is the answer if it is rejected.
pub async fn admit(
    gateway: &Gateway,
    request: Request<Incoming>,
    origin: CallOrigin,
) -> Result<Rc<Call>, Reply> {
    let started = gateway.now();
    let (parts, body) = request.into_parts();
    let id = head::decode_call(&parts.headers)
        .map(|head| head.id)
        .unwrap_or_default();
    let rejected = |rejection: Rejection| {
        let version = gateway.rules().map_or(0, |rules| rules.version);
        gateway.decisions.record(CallDecision::Refused {
            call: &id,
            status: rejection.status.as_u16(),
            reason: &rejection.reason,
            version,
        });
        answer(&rejection)
    };
    let head = check_head(&parts.headers, &parts.uri).map_err(rejected)?;
    let body = read_body(gateway, body, &id, origin)
        .await
        .map_err(rejected)?;
    let rules = gateway
        .rules()
        .ok_or_else(|| rejected(no_configuration()))?;
    let rule = find_rule(&rules, &head, parts.uri.path()).map_err(rejected)?;
    let workspace = find_workspace(&rules, rule, &head).map_err(rejected)?;
    let tier = rules.tier(rule, workspace);
    let pool: Box<str> = rule.pool(id_hash(head.first_attempt())).into();
    let timeout = head
        .time_left
        .unwrap_or(DEFAULT_TIMEOUT)
        .min(rule.class.timeout);
    let target = parts.uri.path_and_query();
    let content = ContentDigest::of(&ContentParts {
        host: &head.host,
        method: parts.method.as_str(),
        target: target.map_or("/", PathAndQuery::as_str),
        workspace: workspace.map(|workspace| &*workspace.name),
        body: body.segments(),
    });
    let first_started = first_started(gateway, content, started, head.time_left, rule);
    let call = Call {
        origin,
        content,
        suspects: suspect::suspects_of(content, &head.prompt),
        engine: rules.pool(&pool).and_then(|pool| pool.engine),
        tight: rules.is_tight(rule),
        tiers: rules.tiers(),
        shortest_target: rules.shortest_target(&pool, rule.class.tier),
        yielding_target: rules.yielding_target(&pool, tier),
        class: rule.class.clone(),
        tier,
        workspace: workspace.map(|workspace| workspace.name.clone()),
        headers: head::end_to_end_headers(&parts.headers),
        method: parts.method,
        target: parts.uri,
        body,
        started,
        first_started,
        counted: Cell::new(false),
        deadline: started + timeout,
        pool,
        head,
    };
    gateway.decisions.record(CallDecision::Matched {
        call: &call.head.id,
        content: &call.content.to_string(),
        parts: &decisions::part_names(call.head.prompt.shared_parts()),
        rule: &rule.name,
        pool: &call.pool,
        tier,
        workspace: call.workspace.as_deref(),
        target_ms: millis(call.class.target),
        left_ms: millis(timeout),
        since_first_ms: millis(started.saturating_sub(call.first_started)),
        version: rules.version,
        resumes: named_attempt(&call.head),
        after: call.head.last_event,
    });
    Ok(Rc::new(call))
}

fn named_attempt(head: &CallHead) -> Option<&str> {
    match &head.resumes {
        ResumedAttempt::Named(id) => Some(id),
        ResumedAttempt::Missing | ResumedAttempt::Malformed => None,
    }
}

/// Returns the time at which the caller's first attempt began: of those that this node refused, or
/// by what the time left tells.
fn first_started(
    gateway: &Gateway,
    content: ContentDigest,
    started: Duration,
    time_left: Option<Duration>,
    rule: &CallRule,
) -> Duration {
    let timeout = rule.class.timeout;
    let left = time_left.unwrap_or(timeout);
    let known = gateway
        .returns
        .borrow_mut()
        .take_first(content, left, started);
    known.unwrap_or_else(|| started.saturating_sub(returns::unseen_time(timeout, time_left)))
}

fn answer(rejection: &Rejection) -> Reply {
    match rejection.pause {
        Some(pause) => reply::not_run(&rejection.reason, pause),
        None => reply::failure(rejection.status, &rejection.reason),
    }
}

fn no_configuration() -> Rejection {
    Rejection::not_run("no configuration yet", START_RETRY_AFTER)
}

fn check_head(headers: &HeaderMap, uri: &Uri) -> Result<CallHead, Rejection> {
    let bad = |reason: &str| Rejection::new(StatusCode::BAD_REQUEST, reason);
    if uri.scheme().is_some() || !uri.path().starts_with('/') {
        return Err(bad("the target is not a path"));
    }
    if headers.contains_key(header::TRANSFER_ENCODING)
        && headers.contains_key(header::CONTENT_LENGTH)
    {
        return Err(bad("two lengths of the body"));
    }
    head::decode_call(headers).map_err(|error| bad(&error.to_string()))
}

async fn read_body(
    gateway: &Gateway,
    mut body: Incoming,
    id: &str,
    origin: CallOrigin,
) -> Result<RequestBody, Rejection> {
    let Some(rules) = gateway.rules() else {
        return Err(no_configuration());
    };
    let bounds = rules.bounds;
    let limits = BodyLimits {
        bytes: bounds.body_bytes.min(gateway.bodies.largest()),
        timeout: bounds.idle_timeout,
    };
    let error = match body::read_whole(&gateway.bodies, limits, &mut body).await {
        Ok(body) => return Ok(body),
        Err(error) => error,
    };
    let reason = error.to_string();
    match error {
        BodyError::TooLarge => {
            gateway.metrics.count_refused_body("too_large");
            tokio::task::spawn_local(body::discard(body, bounds.body_bytes));
            Err(Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, reason))
        }
        BodyError::Memory(error) => {
            record_no_memory(gateway, id, NO_MEMORY_READING, error);
            match origin {
                CallOrigin::Caller => Err(Rejection::not_run(reason, error.retry_after)),
                // The other node can ask a third one.
                CallOrigin::Peer { .. } => {
                    Err(Rejection::new(StatusCode::MISDIRECTED_REQUEST, reason))
                }
            }
        }
        BodyError::TimedOut => Err(Rejection::new(StatusCode::REQUEST_TIMEOUT, reason)),
        BodyError::Unreadable(_) => Err(Rejection::new(StatusCode::BAD_REQUEST, reason)),
    }
}

/// Reports a call that has not run and is given up, as there is no memory for its body.
pub fn record_no_memory(gateway: &Gateway, id: &str, phase: &str, error: MemoryError) {
    let usage = gateway.bodies.usage();
    gateway.metrics.count_refused_body(phase);
    gateway.decisions.record(CallDecision::NoMemory {
        call: id,
        phase,
        bodies: usage.bodies,
        held_bytes: usage.held,
        limit_bytes: usage.limit,
        pause_ms: millis(error.retry_after),
    });
}

fn find_rule<'a>(
    rules: &'a RuleTable,
    head: &CallHead,
    path: &str,
) -> Result<&'a CallRule, Rejection> {
    let none = || Rejection::new(StatusCode::NOT_FOUND, "no rule matches");
    rules.find(&head.host, path).ok_or_else(none)
}

fn find_workspace<'a>(
    rules: &'a RuleTable,
    rule: &CallRule,
    head: &CallHead,
) -> Result<Option<&'a WorkspaceSpec>, Rejection> {
    if !rules.has_workspaces() {
        return Ok(None);
    }
    let found = head.key.as_deref().and_then(|key| rules.workspace(key));
    if found.is_none() && !rule.public {
        return Err(Rejection::new(
            StatusCode::UNAUTHORIZED,
            "the key is not known",
        ));
    }
    Ok(found)
}

/// Hashes an attempt's id to a uniform number, which selects the pool by weight.
fn id_hash(id: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}
