//! Lets a call wait for capacity at an upstream, and rejects it when that takes too long.

use std::rc::Rc;
use std::time::Duration;

use monsoonbank_kernel::gateway::backlog::{self, FreePlaces, PlaceYield, WaitClass};
use monsoonbank_kernel::gateway::choice::{self, ChoiceInput, UpstreamChoice};
use monsoonbank_kernel::gateway::eligibility;
use monsoonbank_kernel::gateway::heartbeat;
use monsoonbank_kernel::gateway::registry::{SoftwareKey, UpstreamRegistry};
use monsoonbank_kernel::gateway::returns::WAIT_FRACTION;
use monsoonbank_kernel::gateway::rules::{AnswerForm, CallSafety};
use monsoonbank_kernel::gateway::waiting::{self, WaitRank};

use crate::gateway::Gateway;
use crate::gateway::admission::Call;
use crate::gateway::attempt::CallProgress;
use crate::gateway::decisions::{CallDecision, millis};
use crate::gateway::{fairness, indirect, scope, speeds};

/// Interval at which a waiting call looks for capacity without a notification, since work that
/// other nodes finish is only visible with their next heartbeat.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Multiple of its expected duration that a call has to have left when it is sent by a node that shuts
/// down. Estimates of streams' lengths are medians.
const EXIT_MARGIN: f64 = 1.5;

/// Number of nodes that a line names.
const MAX_NAMED_NODES: usize = 8;

/// A position in the list of waiting calls, released when this is dropped.
struct WaitPosition<'a> {
    gateway: &'a Gateway,
    pool: &'a str,
    rank: WaitRank,
}

impl Drop for WaitPosition<'_> {
    fn drop(&mut self) {
        self.gateway
            .waiting
            .borrow_mut()
            .leave(self.pool, self.rank);
        self.gateway.capacity_notify.notify_waiters();
    }
}

/// Returns the latest time at which sending a call can still meet its target.
fn send_by(call: &Call) -> Duration {
    waiting::send_by(call.first_started, call.class.target)
}

/// Reason why a call gets no upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum WaitError {
    /// The pool has no upstream, or none had capacity in time.
    #[display("no upstream has room")]
    NoRoom,
    /// All upstreams asked for a pause that is longer than the call may wait.
    #[display("all upstreams asked for a pause")]
    Paused,
    /// This node reaches no upstream of the pool, and another one may.
    #[display("no upstream is in reach")]
    Unreached,
    /// The call's stream is not expected to end before the deadline.
    #[display("its stream would not end in time")]
    TooLate,
    /// This node shuts down before the call would end.
    #[display("this node shuts down")]
    Leaving,
    /// The call's stream began at a software version of which no further upstream is left.
    #[display("no upstream of its stream's software version is left")]
    NoVersion,
}

/// Returns the number of events that a call's stream is expected to bring; `None` if it gets none from
/// an engine.
fn expected_events(call: &Call) -> Option<f64> {
    let (Some(engine), AnswerForm::Events { .. }) = (call.engine, call.class.form) else {
        return None;
    };
    let received = call.head.last_event.unwrap_or(0) as f64;
    Some(call.head.prompt.expected_events(engine.event_tokens) - received)
}

/// Returns whether this node exits before a call that is sent now would end. A stream that has begun
/// continues.
fn exits_before(gateway: &Gateway, call: &Call, progress: &CallProgress) -> bool {
    let until = gateway.answers_until().filter(|_| !progress.here_only);
    let Some(until) = until else {
        return false;
    };
    let pace = gateway.pace(call);
    let stream = expected_events(call).map(|events| pace.expected_duration(events));
    let needed = stream
        .unwrap_or_default()
        .mul_f64(EXIT_MARGIN)
        .max(call.class.target);
    let left = until.saturating_sub(gateway.now());
    if needed <= left {
        return false;
    }
    gateway.decisions.record(CallDecision::ExitsBefore {
        call: &call.head.id,
        needs_ms: millis(needed),
        left_ms: millis(left),
    });
    true
}

/// Returns whether a call has missed its target and is not expected to end before its deadline
/// either. Such a call would use an engine's time and then be cut off. A call that was sent before
/// continues.
fn cannot_finish(
    gateway: &Gateway,
    call: &Call,
    progress: &CallProgress,
    send_by: Duration,
) -> bool {
    let now = gateway.now();
    if send_by > now || progress.history.sends > 0 {
        return false;
    }
    let Some(events) = expected_events(call) else {
        return false;
    };
    let left = call.deadline.saturating_sub(now);
    let pace = gateway.pace(call);
    if pace.can_finish(events, left) {
        return false;
    }
    gateway.decisions.record(CallDecision::TooLate {
        call: &call.head.id,
        expected_events: events as u64,
        needs_ms: millis(pace.expected_duration(events)),
        left_ms: millis(left),
    });
    true
}

/// Returns whether every upstream that the call could be sent to pauses at least until `until`.
fn pauses_beyond(gateway: &Gateway, call: &Call, progress: &CallProgress, until: Duration) -> bool {
    let now = gateway.now();
    let eligible_in =
        eligibility::eligible_in(&gateway.registry.borrow(), &call.pool, &progress.tried, now);
    let Some(eligible_in) =
        eligible_in.filter(|eligible_in| now.saturating_add(*eligible_in) >= until)
    else {
        return false;
    };
    gateway.decisions.record(CallDecision::PoolPaused {
        call: &call.head.id,
        pool: &call.pool,
        opens_ms: (eligible_in < Duration::MAX).then(|| millis(eligible_in)),
    });
    true
}

/// Returns whether upstreams of the call's pool run another software version than the one that began
/// its stream.
fn is_bound(gateway: &Gateway, call: &Call, progress: &CallProgress) -> bool {
    let Some(software) = progress.software else {
        return false;
    };
    let registry = gateway.registry.borrow();
    registry.has_other_software(&call.pool, software)
}

/// Returns whether no upstream is left to which the call was not sent and that runs the software
/// version that began its stream.
fn lacks_version(gateway: &Gateway, call: &Call, progress: &CallProgress) -> bool {
    let Some(software) = progress.software else {
        return false;
    };
    let registry = gateway.registry.borrow();
    let mut untried = registry
        .usable(&call.pool)
        .filter(|(key, _)| !progress.tried.contains(key));
    if untried.any(|(_, upstream)| upstream.entry.software() == software) {
        return false;
    }
    gateway.decisions.record(CallDecision::VersionGone {
        call: &call.head.id,
        pool: &call.pool,
    });
    true
}

/// Returns the time until which a call may wait: for a fraction of the time that is left, and no
/// longer than its caller waits for the first event, less the expected time of that event.
fn waits_until(gateway: &Gateway, call: &Call) -> Duration {
    let now = gateway.now();
    let wait_limit = call.deadline.saturating_sub(now).mul_f64(WAIT_FRACTION);
    let event_timeout = call.class.event_timeout.unwrap_or(wait_limit);
    let first = gateway.pace(call).expected_first_event();
    now + wait_limit.min(event_timeout.saturating_sub(first))
}

/// Returns whether the calls of a call's pool wait in one order at all nodes.
fn shares_order(call: &Call) -> bool {
    call.engine.is_some_and(|engine| engine.is_slot_bound())
}

/// Turn of one call among those that wait here and at other nodes.
struct CallTurn<'a> {
    gateway: &'a Gateway,
    call: &'a Call,
    send_by: Duration,
    /// Software version that began its stream.
    software: Option<SoftwareKey>,
    /// Whether it may go to a few of its pool's upstreams only. It takes no turn then: it would hold up
    /// those that may go to any while these few are full.
    is_bound: bool,
    yields: PlaceYield,
}

impl CallTurn<'_> {
    fn class(&self) -> WaitClass {
        WaitClass {
            tier: self.call.tier,
            late: self.send_by <= self.gateway.now(),
        }
    }

    /// Returns whether another call that waits here goes first. `rank` is the call's position, if it
    /// waits already.
    fn is_blocked(&self, rank: Option<WaitRank>) -> bool {
        if self.is_bound {
            return false;
        }
        let now = self.gateway.now();
        let first = fairness::first(self.gateway, self.call);
        first.is_some_and(|first| match rank {
            Some(rank) => first != rank,
            None if shares_order(self.call) => first.class(now) <= self.class(),
            None => first.tier <= self.call.tier,
        })
    }

    /// Looks at the pool's upstreams for the call.
    fn look<T>(
        &self,
        progress: &CallProgress,
        look: impl FnOnce(&UpstreamRegistry, &ChoiceInput) -> T,
    ) -> T {
        let Self { gateway, call, .. } = *self;
        let now = gateway.now();
        let fleet = gateway.fleet.borrow();
        let senders = if shares_order(call) {
            let pool = backlog::pool_hash(&call.pool);
            fleet.contender_hashes(pool, self.class(), now)
        } else {
            fleet.sender_hashes()
        };
        let input = ChoiceInput {
            pool: &call.pool,
            zone: &gateway.settings.zone,
            node: heartbeat::node_hash(&gateway.settings.name),
            senders: &senders,
            silent_senders: fleet.silent_senders(now).count() as u32,
            prompt: &call.head.prompt,
            target: call.class.target,
            shortest_target: call.shortest_target,
            late: self.class().late,
            yielding_target: call.yielding_target,
            tier: call.tier,
            tiers: call.tiers,
            tight: call.tight,
            repeatable: call.class.safety == CallSafety::Idempotent,
            cache_tokens: call.engine.map_or(0, |engine| engine.cache_tokens),
            answer: speeds::expected_answer(gateway, call),
            software: self.software,
            tried: &progress.tried,
            now,
        };
        look(&gateway.registry.borrow(), &input)
    }

    /// Returns the upstream for the call; `None` if none has capacity, or if its place is left to a
    /// call at another node.
    fn choose(&mut self, progress: &CallProgress) -> Option<UpstreamChoice> {
        let Self { gateway, call, .. } = *self;
        let choice = self.look(progress, choice::choose);
        if self.is_bound || !shares_order(call) {
            return choice;
        }
        let Some(choice) = choice else {
            self.yields.none_free();
            return None;
        };
        let now = gateway.now();
        let mut waiting = gateway.waiting.borrow_mut();
        let fleet = gateway.fleet.borrow();
        let others = fleet.backlog(backlog::pool_hash(&call.pool), now);
        if others.before(self.class()) > 0 && waiting.yields(&call.pool, now) {
            let free = FreePlaces {
                upstream: choice.key,
                count: self.look(progress, choice::free_places),
            };
            if !self.yields.may_go(self.class(), &others, free, now) {
                return None;
            }
            if self.yields.was_in_vain(now) {
                waiting.record_unclaimed(&call.pool, now);
            }
        }
        waiting.record_sent(&call.pool, call.tier, now);
        Some(choice)
    }

    /// Reports what this node counts in the pool, for a call that waited in vain.
    fn report_no_room(&self, progress: &CallProgress, blocked: Duration) {
        let Self { gateway, call, .. } = *self;
        let (senders, room) = self.look(progress, |registry, input| {
            let room = choice::room_report(registry, input);
            (input.senders.len(), room)
        });
        let fleet = gateway.fleet.borrow();
        let silent = fleet.silent_senders(gateway.now());
        let silent: Vec<&str> = silent.map(|peer| &*peer.heartbeat.card.name).collect();
        gateway.metrics.room.count_no_room(&call.pool);
        gateway.decisions.record(CallDecision::NoRoom {
            call: &call.head.id,
            pool: &call.pool,
            late: self.class().late,
            blocked_ms: millis(blocked),
            senders,
            silent: silent.len(),
            silent_nodes: &silent[..silent.len().min(MAX_NAMED_NODES)],
            room: &room,
        });
    }
}

/// Waits until an upstream has capacity and it is the call's turn, and returns that upstream.
///
/// # Errors
///
/// If no upstream has capacity in time, if all pause for too long, or if the call's stream could no
/// longer end before its deadline.
pub async fn wait_for_capacity(
    gateway: &Rc<Gateway>,
    call: &Call,
    progress: &CallProgress,
) -> Result<UpstreamChoice, WaitError> {
    let send_by = send_by(call);
    if indirect::is_needed(gateway, call, progress) {
        return Err(WaitError::Unreached);
    }
    if lacks_version(gateway, call, progress) {
        return Err(WaitError::NoVersion);
    }
    if cannot_finish(gateway, call, progress, send_by) {
        return Err(WaitError::TooLate);
    }
    if exits_before(gateway, call, progress) {
        return Err(WaitError::Leaving);
    }
    let mut turn = CallTurn {
        gateway,
        call,
        send_by,
        software: progress.software,
        is_bound: is_bound(gateway, call, progress),
        yields: PlaceYield::default(),
    };
    let until = waits_until(gateway, call);
    if pauses_beyond(gateway, call, progress, until) {
        return Err(WaitError::Paused);
    }
    if !turn.is_blocked(None)
        && let Some(choice) = turn.choose(progress)
    {
        return Ok(choice);
    }
    let since = gateway.now();
    let position = (!turn.is_bound).then(|| WaitPosition {
        gateway,
        pool: &call.pool,
        rank: fairness::join(gateway, call, send_by),
    });
    let rank = position.as_ref().map(|position| position.rank);
    let mut found = Err(WaitError::NoRoom);
    let mut blocked = Duration::ZERO;
    while found.is_err() && gateway.now() < until {
        if indirect::is_needed(gateway, call, progress) {
            found = Err(WaitError::Unreached);
            break;
        }
        if lacks_version(gateway, call, progress) {
            found = Err(WaitError::NoVersion);
            break;
        }
        if cannot_finish(gateway, call, progress, send_by) {
            found = Err(WaitError::TooLate);
            break;
        }
        if exits_before(gateway, call, progress) {
            found = Err(WaitError::Leaving);
            break;
        }
        if pauses_beyond(gateway, call, progress, until) {
            found = Err(WaitError::Paused);
            break;
        }
        let notice = gateway.capacity_notify.notified();
        let looked_at = gateway.now();
        let _ = tokio::time::timeout(POLL_INTERVAL, notice).await;
        if turn.is_blocked(rank) {
            blocked += gateway.now().saturating_sub(looked_at);
            fairness::check_share(gateway, call);
        } else {
            found = turn.choose(progress).ok_or(WaitError::NoRoom);
        }
    }
    drop(position);
    if found == Err(WaitError::NoRoom) {
        turn.report_no_room(progress, blocked);
        scope::require_whole(gateway);
    }
    gateway.decisions.record(CallDecision::Waited {
        call: &call.head.id,
        waited_ms: millis(gateway.now().saturating_sub(since)),
        found: found.is_ok(),
        yielded_ms: turn.yields.duration(gateway.now()).map(millis),
    });
    found
}
