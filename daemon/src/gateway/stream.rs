//! Forwards a stream one complete event at a time, and resumes it elsewhere if its upstream fails.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Either, StreamBody};
use hyper::body::Frame;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use monsoonbank_kernel::gateway::outcome::AttemptEnd;
use monsoonbank_kernel::gateway::registry::{SoftwareKey, UpstreamKey};
use monsoonbank_kernel::gateway::rules::AnswerForm;
use monsoonbank_platform::answer::{self, BodyFraming};
use thiserror::Error;

use crate::gateway::Gateway;
use crate::gateway::admission::Call;
use crate::gateway::attempt::{self, CallProgress, FailedAttempt, OpenAttempt};
use crate::gateway::buffers::BufferHold;
use crate::gateway::decisions::CallDecision;
use crate::gateway::events::{EventSplitter, RawEvent};
use crate::gateway::reply::{self, CutError, Reply};
use crate::gateway::tracker::{CallOutcome, CallTracker};
use crate::gateway::{liveness, quarantine, sending, speeds, usage};

/// Time that a caller's connection may take to ask for the next event, and for which an event has
/// to be waited for so that it is not one that arrived during a pause of the caller.
const CALLER_PAUSE: Duration = Duration::from_millis(5);

/// Next part of an upstream's stream.
enum StreamPiece {
    /// A complete event.
    Event(RawEvent),
    /// Line ends after the last event of a complete stream.
    Rest(Bytes),
    /// End of a complete stream.
    End,
}

/// Reason why a stream whose body has ended is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum StreamEndError {
    /// Some bytes of an event had arrived.
    #[error("the stream ended inside an event, after {bytes} bytes of it")]
    InsideEvent {
        /// Number of these bytes.
        bytes: usize,
    },
    /// It had no event, and its end was that of its connection.
    #[error("the stream ended before its first event")]
    BeforeFirstEvent,
}

/// Stream of an upstream that is being read.
struct UpstreamStream {
    parts: Parts,
    attempt: OpenAttempt,
    splitter: EventSplitter,
    hold: BufferHold,
    gaps: GapClock,
    ended: bool,
}

/// Times the gaps between events as the upstream sends them. A gap during which the caller did not
/// read says nothing about the upstream, nor do the events that arrived meanwhile.
#[derive(Default)]
struct GapClock {
    event_at: Option<Duration>,
    caller_paused: bool,
}

impl GapClock {
    /// Returns whether an event was recorded.
    fn has_begun(&self) -> bool {
        self.event_at.is_some()
    }

    /// Returns the gap before an event that was asked for at `asked_at`; `None` if it is the first
    /// one or if the caller paused.
    fn record(&mut self, asked_at: Duration, now: Duration) -> Option<Duration> {
        let before = self.event_at.replace(now)?;
        let waited = now.saturating_sub(asked_at) >= CALLER_PAUSE;
        let paused = asked_at.saturating_sub(before) >= CALLER_PAUSE;
        let was_paused = self.caller_paused;
        self.caller_paused = paused || (was_paused && !waited);
        (!paused && !was_paused).then(|| now.saturating_sub(before))
    }
}

/// Stream whose first event has been received.
pub struct OpenStream {
    stream: UpstreamStream,
    first: StreamPiece,
}

impl OpenStream {
    /// Returns the status of the answer.
    pub fn status(&self) -> StatusCode {
        self.stream.parts.status
    }

    /// Returns the software version of the upstream that sends it.
    pub fn software(&self) -> SoftwareKey {
        self.stream.attempt.software
    }
}

impl UpstreamStream {
    async fn next(&mut self, gateway: &Gateway, call: &Call) -> Result<StreamPiece, FailedAttempt> {
        let asked_at = gateway.now();
        loop {
            if let Some(event) = self.splitter.next_event() {
                if let Some(gap) = self.gaps.record(asked_at, gateway.now()) {
                    speeds::record_event(gateway, call, self.attempt.work.key, gap);
                }
                return Ok(StreamPiece::Event(event));
            }
            if self.ended {
                let framing = answer::framing(&self.parts.headers);
                let last = self.last_piece(framing);
                return last.map_err(|error| FailedAttempt::cut_short(framing, &error));
            }
            self.read(gateway, call).await?;
        }
    }

    /// Returns what follows the last event. A stream may only end between two events, and one whose
    /// end is that of its connection must have had an event.
    fn last_piece(&mut self, framing: BodyFraming) -> Result<StreamPiece, StreamEndError> {
        let rest = self.splitter.remainder();
        if !rest.iter().all(|byte| matches!(byte, b'\r' | b'\n')) {
            return Err(StreamEndError::InsideEvent { bytes: rest.len() });
        }
        if framing == BodyFraming::Close && !self.gaps.has_begun() {
            return Err(StreamEndError::BeforeFirstEvent);
        }
        Ok(if rest.is_empty() {
            StreamPiece::End
        } else {
            StreamPiece::Rest(rest)
        })
    }

    async fn read(&mut self, gateway: &Gateway, call: &Call) -> Result<(), FailedAttempt> {
        let key = self.attempt.work.key;
        let frame = self.attempt.response.body_mut().frame();
        match liveness::wait(gateway, call, key, frame).await? {
            None => self.ended = true,
            Some(Err(error)) => return Err(FailedAttempt::broken(&error)),
            Some(Ok(frame)) => {
                self.attempt.connection.allowance.renew();
                let Some(bytes) = frame.data_ref() else {
                    return Ok(());
                };
                if !self.splitter.push(bytes) {
                    let reason = "too many bytes without a new event";
                    return Err(FailedAttempt::new(AttemptEnd::Lost, &reason));
                }
                let held = self.hold.set(self.splitter.held_bytes());
                held.map_err(|error| FailedAttempt::new(AttemptEnd::Lost, &error))?;
            }
        }
        Ok(())
    }
}

/// Reads a stream up to its first event, so that the caller gets no answer head before the upstream
/// has produced something.
pub async fn first_event(
    gateway: &Gateway,
    call: &Call,
    attempt: OpenAttempt,
) -> Result<OpenStream, FailedAttempt> {
    let (parts, body) = attempt.response.into_parts();
    let attempt = OpenAttempt {
        response: Response::new(body),
        ..attempt
    };
    let mut stream = UpstreamStream {
        parts,
        attempt,
        splitter: EventSplitter::default(),
        hold: BufferHold::new(&gateway.buffers),
        gaps: GapClock::default(),
        ended: false,
    };
    if !stream.parts.status.is_success() {
        return Err(read_failure(gateway, call, stream).await);
    }
    let first = stream.next(gateway, call).await?;
    let age = first_token_age(gateway, call, stream.attempt.work.key);
    usage::count(gateway, call, age);
    stream.attempt.work.prompt_read();
    if let Some(upstream) = gateway
        .registry
        .borrow_mut()
        .get_mut(stream.attempt.work.key)
    {
        upstream.health.answered(gateway.now());
    }
    Ok(OpenStream { stream, first })
}

/// Estimates how long before the first event arrived its first token was generated, since an event
/// holds several tokens.
fn first_token_age(gateway: &Gateway, call: &Call, key: UpstreamKey) -> Duration {
    let tokens = call.engine.map_or(1, |engine| engine.event_tokens.max(1));
    let pace = gateway.pace(call);
    let event = pace
        .expected_duration(2.0)
        .saturating_sub(pace.expected_first_event());
    let age = event * (tokens - 1) / tokens;
    age.mul_f64(speeds::token_ratio(gateway, key))
}

async fn read_failure(gateway: &Gateway, call: &Call, mut stream: UpstreamStream) -> FailedAttempt {
    usage::count(gateway, call, Duration::ZERO);
    while !stream.ended {
        if let Err(failed) = stream.read(gateway, call).await {
            return failed;
        }
    }
    let status = stream.parts.status;
    let mut reply = reply::whole(status, stream.splitter.remainder());
    *reply.headers_mut() = answer::end_to_end_headers(&stream.parts.headers);
    FailedAttempt::answered(status, reply)
}

/// Stream that is being forwarded to the caller.
struct CallerStream {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    tracker: CallTracker,
    progress: CallProgress,
    source: Option<UpstreamStream>,
    pending: Option<StreamPiece>,
    last_event: Option<u64>,
}

/// Builds the answer that forwards a stream to the caller.
pub fn forward(
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    mut tracker: CallTracker,
    mut progress: CallProgress,
    opened: OpenStream,
) -> Reply {
    let status = opened.stream.parts.status;
    tracker.framing = Some(answer::framing(&opened.stream.parts.headers));
    let headers = answer::end_to_end_headers(&opened.stream.parts.headers);
    let last_event = call.head.last_event;
    progress.here_only = true;
    progress.answer.begun_at = Some(gateway.now());
    progress.software = Some(opened.software());
    let stream = CallerStream {
        gateway,
        call,
        tracker,
        progress,
        source: Some(opened.stream),
        pending: Some(opened.first),
        last_event,
    };
    let pieces = futures_util::stream::unfold(Some(stream), |stream| async move {
        let mut stream = stream?;
        match stream.next_piece().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(stream))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    let mut reply = Response::new(Either::Right(StreamBody::new(pieces.boxed_local())));
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    reply
}

impl CallerStream {
    /// Returns the next bytes for the caller; `None` if the stream is complete.
    async fn next_piece(&mut self) -> Result<Option<Bytes>, CutError> {
        loop {
            let piece = match self.pending.take() {
                Some(piece) => piece,
                None => self.next_from_source().await?,
            };
            match piece {
                StreamPiece::Event(event) if self.is_repeated(&event) => {}
                StreamPiece::Event(event) if self.leaves_gap(&event) => return Err(self.cut()),
                StreamPiece::Event(event) => {
                    self.last_event = event.id.or(self.last_event);
                    self.tracker.events += 1;
                    quarantine::record_event(&self.gateway, &self.call, &mut self.progress.answer);
                    return Ok(Some(event.bytes));
                }
                StreamPiece::Rest(rest) => {
                    self.tracker.rest_bytes += rest.len();
                    return Ok(Some(rest));
                }
                StreamPiece::End => {
                    self.complete();
                    return Ok(None);
                }
            }
        }
    }

    fn is_repeated(&self, event: &RawEvent) -> bool {
        event
            .id
            .is_some_and(|id| self.last_event.is_some_and(|last| id <= last))
    }

    /// Returns whether events are missing between the last one and this one.
    fn leaves_gap(&self, event: &RawEvent) -> bool {
        event
            .id
            .is_some_and(|id| id > self.last_event.unwrap_or(0) + 1)
    }

    async fn next_from_source(&mut self) -> Result<StreamPiece, CutError> {
        loop {
            let Some(source) = self.source.as_mut() else {
                return Err(CutError::Upstream);
            };
            let failed = match source.next(&self.gateway, &self.call).await {
                Ok(piece) => return Ok(piece),
                Err(failed) => failed,
            };
            let key = source.attempt.work.key;
            // Closes the connection, which makes the upstream abandon the call.
            self.source = None;
            self.resume(key, failed).await?;
            if let Some(piece) = self.pending.take() {
                return Ok(piece);
            }
        }
    }

    async fn resume(&mut self, key: UpstreamKey, failed: FailedAttempt) -> Result<(), CutError> {
        let retry =
            attempt::record_failure(&self.gateway, &self.call, &mut self.progress, key, &failed);
        let resumable = self.call.class.form == AnswerForm::Events { resumable: true };
        if !retry || !resumable {
            return Err(self.cut());
        }
        let after = self.last_event;
        let attempt =
            sending::next_attempt(&self.gateway, &self.call, &mut self.progress, after).await;
        let Ok(attempt) = attempt else {
            return Err(self.cut());
        };
        let key = attempt.work.key;
        if let Some(upstream) = self.gateway.registry.borrow().get(key) {
            self.gateway.decisions.record(CallDecision::Resumed {
                call: &self.call.head.id,
                upstream: &upstream.entry.id,
                software: &upstream.entry.version,
                after: after.unwrap_or(0),
            });
        }
        match first_event(&self.gateway, &self.call, attempt).await {
            Ok(opened) => {
                self.tracker.framing = Some(answer::framing(&opened.stream.parts.headers));
                self.progress.answer.begun_at = Some(self.gateway.now());
                self.pending = Some(opened.first);
                self.source = Some(opened.stream);
                Ok(())
            }
            Err(failed) => Box::pin(self.resume(key, failed)).await,
        }
    }

    fn cut(&mut self) -> CutError {
        self.tracker.set(CallOutcome::Cut);
        if self.gateway.now() >= self.call.deadline {
            CutError::Deadline
        } else {
            CutError::Upstream
        }
    }

    /// Records the pace of a stream that a single upstream sent in full.
    fn record_pace(&self, attempt: &OpenAttempt, now: Duration) {
        let (Some(first_at), 1) = (self.tracker.first_at, self.progress.history.sends) else {
            return;
        };
        let first = first_at.saturating_sub(attempt.work.since);
        let rest = now.saturating_sub(first_at);
        let mut paces = self.gateway.paces.borrow_mut();
        let pace = paces.entry(self.call.stream_kind()).or_default();
        pace.record_stream(first, rest, self.tracker.events.saturating_sub(1));
    }

    /// Records the completed call and returns the connection to the pool.
    fn complete(&mut self) {
        self.tracker.set(CallOutcome::Answered);
        let Some(source) = self.source.take() else {
            return;
        };
        let now = self.gateway.now();
        self.record_pace(&source.attempt, now);
        let announced = answer::keep_alive(&source.parts.headers);
        if let Some(upstream) = self
            .gateway
            .registry
            .borrow_mut()
            .get_mut(source.attempt.work.key)
        {
            upstream.health.succeeded(now);
        }
        quarantine::record_success(&self.gateway, &self.call, &self.progress.answer);
        self.gateway
            .connections
            .release(source.attempt.connection, announced, now);
    }
}
