//! Sends calls through another node while this one reaches no upstream of their pool.
//!
//! The other node gets the caller's request on its port for nodes, admits it by its own rules and
//! answers as it would answer the caller. It declines with status 421 what it cannot serve either;
//! then nothing has run.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Either, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use monsoonbank_kernel::gateway::backlog::pool_hash;
use monsoonbank_kernel::gateway::heartbeat::NodeCard;
use monsoonbank_kernel::gateway::outcome::AttemptEnd;
use monsoonbank_kernel::gateway::rules::AnswerForm;
use monsoonbank_platform::{answer, head};
use thiserror::Error;

use crate::body::SentBody;
use crate::gateway::Gateway;
use crate::gateway::admission::{self, Call, CallOrigin};
use crate::gateway::attempt::{self, CallProgress, FailedAttempt};
use crate::gateway::connections::{self, ClientConnection, ConnectionError};
use crate::gateway::decisions::CallDecision;
use crate::gateway::reply::{self, CutError, Reply};
use crate::gateway::tracker::{CallOutcome, CallTracker};
use crate::gateway::{buffers, relay, sending};

/// Version of the sender's configuration. A node with an older one declines the call.
const VERSION: HeaderName = HeaderName::from_static("x-monsoonbank-version");
/// Number of upstreams that the sender has sent the call to.
const SENDS: HeaderName = HeaderName::from_static("x-monsoonbank-sends");
/// Number of nodes that a call is offered to.
const MAX_PEERS: usize = 3;
/// Time after a call's deadline within which the other node's final answer arrives.
const ANSWER_GRACE: Duration = Duration::from_millis(50);

/// Connection to another node that carries one call.
type PeerConnection = ClientConnection<SocketAddr>;

/// Reason why another node gave no answer to a call.
#[derive(Debug, Error)]
enum PeerError {
    /// The call was not sent.
    #[error("not sent: {0}")]
    NotSent(Box<str>),
    /// The node cannot serve it; it did not run.
    #[error("the node cannot serve it")]
    Declined,
    /// The answer was lost, and the call may have run.
    #[error("{0}")]
    Lost(Box<str>),
    /// The deadline has passed.
    #[error("the deadline has passed")]
    TimedOut,
}

impl PeerError {
    fn end(&self) -> AttemptEnd {
        match self {
            Self::NotSent(_) | Self::Declined => AttemptEnd::NotSent,
            Self::Lost(_) | Self::TimedOut => AttemptEnd::Lost,
        }
    }
}

impl From<ConnectionError> for PeerError {
    fn from(error: ConnectionError) -> Self {
        Self::NotSent(error.to_string().into())
    }
}

/// Answer of another node to a call.
pub enum PeerAnswer {
    /// Complete in memory.
    Whole(Reply),
    /// A stream of which the head has arrived.
    Stream(PeerStream),
}

/// Stream of another node that is being read.
pub struct PeerStream {
    connection: PeerConnection,
    response: Response<Incoming>,
}

/// Returns whether a call cannot be sent from here: its pool is out of reach, and another node may
/// reach it.
pub fn is_needed(gateway: &Gateway, call: &Call, progress: &CallProgress) -> bool {
    !progress.here_only
        && gateway.reach.borrow().is_lost(&call.pool)
        && (call.origin != CallOrigin::Caller || next_peer(gateway, call, &[]).is_some())
}

/// Has a call answered by another node, which does not send it on to a third.
///
/// # Errors
///
/// If none of a few nodes answers it. Unless the call was sent, nothing has run.
pub async fn ask_others(
    gateway: &Gateway,
    call: &Call,
    progress: &mut CallProgress,
) -> Result<PeerAnswer, FailedAttempt> {
    let mut failed = FailedAttempt::new(AttemptEnd::Unreached, &"no upstream is in reach");
    if call.origin != CallOrigin::Caller {
        return Err(failed);
    }
    let pinned = call.body.hold().pin();
    pinned.map_err(|error| sending::no_memory(gateway, call, error))?;
    let mut tried = Vec::new();
    while tried.len() < MAX_PEERS
        && let Some(peer) = next_peer(gateway, call, &tried)
    {
        tried.push(peer.peers);
        progress.in_flight = true;
        let answered = ask(gateway, call, progress, &peer).await;
        progress.in_flight = false;
        let error = match answered {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        let end = error.end();
        gateway.decisions.record(CallDecision::ForwardFailed {
            call: &call.head.id,
            peer: &peer.name,
            end: &end.to_string(),
            reason: &error.to_string(),
        });
        if !end.was_sent() {
            continue;
        }
        failed = FailedAttempt::new(end, &error);
        progress.history.sends += 1;
        progress.history.may_have_run = true;
        if !attempt::may_retry(gateway, call, progress, end, gateway.now()) {
            break;
        }
    }
    Err(failed)
}

/// Passes another node's answer on to the caller.
pub fn pass_on(
    gateway: Rc<Gateway>,
    tracker: CallTracker,
    progress: &CallProgress,
    answer: PeerAnswer,
) -> Reply {
    match answer {
        PeerAnswer::Whole(reply) => pass_on_whole(&gateway, tracker, progress, reply),
        PeerAnswer::Stream(stream) => pass_on_stream(gateway, tracker, stream),
    }
}

/// Serves a request that another node sent on behalf of its caller.
///
/// # Errors
///
/// The request, if it is another one of that node.
pub async fn serve(
    gateway: &Rc<Gateway>,
    mut request: Request<Incoming>,
) -> Result<Reply, Request<Incoming>> {
    let headers = request.headers_mut();
    let Some(version) = headers.remove(VERSION) else {
        return Err(request);
    };
    let sends = headers.remove(SENDS);
    let (Some(version), Some(sends)) = (number(&version), sends.as_ref().and_then(number)) else {
        let reason = "the request of a node is malformed";
        return Ok(reply::failure(StatusCode::BAD_REQUEST, reason));
    };
    if gateway.version() < version || !gateway.is_ready() {
        return Ok(declined());
    }
    let origin = CallOrigin::Peer { sends };
    match admission::admit(gateway, request, origin).await {
        Ok(call) => Ok(relay::forward(gateway.clone(), call).await),
        Err(reply) => Ok(reply),
    }
}

fn number<T: std::str::FromStr>(value: &HeaderValue) -> Option<T> {
    value.to_str().ok()?.parse().ok()
}

fn declined() -> Reply {
    reply::failure(StatusCode::MISDIRECTED_REQUEST, "no upstream is in reach")
}

/// Builds the answer to another node for a call that this one cannot serve either.
pub fn decline(mut tracker: CallTracker) -> Reply {
    let reply = declined();
    tracker.status = reply.status().as_u16();
    tracker.set(CallOutcome::NotRun);
    reply
}

/// Selects a node that reaches the call's pool and was not asked for this call.
fn next_peer(gateway: &Gateway, call: &Call, tried: &[SocketAddr]) -> Option<NodeCard> {
    let fleet = gateway.fleet.borrow();
    let turn = call.turn().wrapping_add(tried.len() as u64);
    let peer = fleet.peer_reaching(pool_hash(&call.pool), tried, turn, gateway.now())?;
    Some(peer.clone())
}

async fn ask(
    gateway: &Gateway,
    call: &Call,
    progress: &CallProgress,
    peer: &NodeCard,
) -> Result<PeerAnswer, PeerError> {
    let now = gateway.now();
    let known = gateway
        .peer_connections
        .acquire(peer.peers, call.class.safety, now);
    let mut connection = match known {
        Some(connection) => connection,
        None => connections::open(peer.peers, peer.peers).await?,
    };
    let request = request(gateway, call, progress);
    gateway.decisions.record(CallDecision::Forwarded {
        call: &call.head.id,
        peer: &peer.name,
    });
    let sending = connection.sender.try_send_request(request);
    let response = match until_deadline(gateway, call, sending).await? {
        Ok(response) => response,
        Err(error) if error.message().is_some() => {
            return Err(PeerError::NotSent(error.error().to_string().into()));
        }
        Err(error) => return Err(PeerError::Lost(error.error().to_string().into())),
    };
    connection.allowance.renew();
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Err(PeerError::Declined);
    }
    let streams = matches!(call.class.form, AnswerForm::Events { .. });
    let stream = PeerStream {
        connection,
        response,
    };
    if streams && stream.response.status().is_success() {
        return Ok(PeerAnswer::Stream(stream));
    }
    read_whole(gateway, call, stream).await
}

async fn read_whole(
    gateway: &Gateway,
    call: &Call,
    stream: PeerStream,
) -> Result<PeerAnswer, PeerError> {
    let (parts, body) = stream.response.into_parts();
    let reading = buffers::read_whole(&gateway.buffers, &stream.connection.allowance, body);
    let body = until_deadline(gateway, call, reading).await?;
    let body = body.map_err(|error| PeerError::Lost(error.to_string().into()))?;
    gateway
        .peer_connections
        .release(stream.connection, None, gateway.now());
    let mut reply = reply::whole(parts.status, body);
    *reply.headers_mut() = answer::end_to_end_headers(&parts.headers);
    Ok(PeerAnswer::Whole(reply))
}

async fn until_deadline<T>(
    gateway: &Gateway,
    call: &Call,
    waiting: impl Future<Output = T>,
) -> Result<T, PeerError> {
    let left = (call.deadline + ANSWER_GRACE).saturating_sub(gateway.now());
    let waited = tokio::time::timeout(left, waiting).await;
    waited.map_err(|_| PeerError::TimedOut)
}

fn request(gateway: &Gateway, call: &Call, progress: &CallProgress) -> Request<SentBody> {
    let mut request = Request::new(SentBody::from(&call.body));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    let headers = request.headers_mut();
    *headers = call.headers.clone();
    let left = call.deadline.saturating_sub(gateway.now());
    head::encode_caller(headers, &call.head, left);
    headers.insert(VERSION, HeaderValue::from(gateway.version()));
    headers.insert(SENDS, HeaderValue::from(progress.history.sends));
    request
}

/// Passes on a whole answer. Statuses that promise that the call has not run are true only if it was
/// not sent from here before.
fn pass_on_whole(
    gateway: &Gateway,
    mut tracker: CallTracker,
    progress: &CallProgress,
    reply: Reply,
) -> Reply {
    let status = reply.status();
    let outcome = match status {
        StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::REQUEST_TIMEOUT => CallOutcome::NotRun,
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => CallOutcome::Unknown,
        status if status.is_success() => CallOutcome::Answered,
        _ => CallOutcome::Failed,
    };
    if outcome == CallOutcome::NotRun && progress.history.may_have_run {
        let failed = FailedAttempt::new(AttemptEnd::Lost, &status);
        return relay::give_up(gateway, tracker, progress, failed);
    }
    tracker.first_piece();
    tracker.status = status.as_u16();
    tracker.set(outcome);
    reply
}

/// Stream of another node that is passed on to the caller.
struct PassedStream {
    gateway: Rc<Gateway>,
    tracker: CallTracker,
    connection: PeerConnection,
    body: Incoming,
}

fn pass_on_stream(gateway: Rc<Gateway>, mut tracker: CallTracker, stream: PeerStream) -> Reply {
    let (parts, body) = stream.response.into_parts();
    tracker.first_piece();
    tracker.status = parts.status.as_u16();
    let passed = PassedStream {
        gateway,
        tracker,
        connection: stream.connection,
        body,
    };
    let pieces = futures_util::stream::unfold(Some(passed), |passed| async move {
        let mut passed = passed?;
        match passed.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(passed))),
            Ok(None) => {
                passed.complete();
                None
            }
            Err(error) => {
                passed.tracker.set(CallOutcome::Cut);
                Some((Err(error), None))
            }
        }
    });
    let mut reply = Response::new(Either::Right(StreamBody::new(pieces.boxed_local())));
    *reply.status_mut() = parts.status;
    *reply.headers_mut() = answer::end_to_end_headers(&parts.headers);
    reply
}

impl PassedStream {
    /// Returns the next bytes; `None` at the end of a complete stream.
    async fn next(&mut self) -> Result<Option<Bytes>, CutError> {
        loop {
            let frame = until_deadline(&self.gateway, self.tracker.call(), self.body.frame()).await;
            let Some(frame) = frame.map_err(|_| CutError::Deadline)? else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| {
                log::debug!("the stream of another node broke: {error}");
                CutError::Upstream
            })?;
            self.connection.allowance.renew();
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
    }

    fn complete(mut self) {
        self.tracker.set(CallOutcome::Answered);
        let now = self.gateway.now();
        self.gateway
            .peer_connections
            .release(self.connection, None, now);
    }
}
