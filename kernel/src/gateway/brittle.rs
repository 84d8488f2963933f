//! Upstreams that fall over when they have to turn away too many requests for want of room.
//!
//! Each refusal makes the upstream rest at every node: shortly, until all nodes know of it, or until a
//! second is over once half of what it bears was refused. The other half is for requests that are on
//! their way.

use std::collections::VecDeque;
use std::time::Duration;

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// Time for which a notice holds after the last answer that contained it.
const NOTICE_TTL: Duration = Duration::from_secs(10);
/// Time by which an answer without a notice must be later than one with it to end it, since answers
/// on several connections may be reordered.
const ANSWER_SLACK: Duration = Duration::from_millis(200);
/// Time for which a refusal is sent to other nodes.
const REPORT_TTL: Duration = Duration::from_secs(1);
/// Window in which an upstream counts its refusals.
const WINDOW: Duration = Duration::from_secs(1);
/// Rest after a refusal: longer than other nodes take to learn of it.
const SHORT_REST: Duration = Duration::from_millis(300);
/// Difference in time up to which two refusals count as the same: a heartbeat repeats those before it,
/// and takes longer or shorter.
const SAME_TIME: Duration = Duration::from_millis(20);
/// Number of refusals that are kept.
const MAX_REFUSALS: usize = 16;

/// A refusal of a brittle upstream, as sent to other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct RefusalReport {
    /// Hash of the upstream's run.
    pub run: u64,
    /// Requests that it can turn away in a second.
    pub refusals: u32,
    /// Time since it turned one away, in ms.
    pub age_ms: u64,
}

/// What an upstream says of how many refusals it bears, and its last refusal.
#[derive(Clone, Debug, Default)]
pub struct BrittleState {
    notice: Option<(u32, Duration)>,
    /// Times of its refusals in the last second, of requests of all nodes, in order.
    refused: VecDeque<Duration>,
    /// Time of its last refusal of a request of this node.
    own_refused_at: Option<Duration>,
}

impl BrittleState {
    /// Records the notice in an answer: how many requests the upstream can turn away in a second;
    /// `None` if the answer contains none.
    pub fn observe(&mut self, refusals: Option<u32>, now: Duration) {
        match (refusals, self.notice) {
            (Some(refusals), _) => self.notice = Some((refusals, now)),
            (None, Some((_, at))) if at + ANSWER_SLACK <= now => self.notice = None,
            (None, _) => {}
        }
    }

    /// Requests that it can turn away in a second; `None` if it is not brittle.
    pub fn refusals(&self, now: Duration) -> Option<u32> {
        let (refusals, at) = self.notice?;
        (at + NOTICE_TTL > now).then_some(refusals)
    }

    /// Records that the upstream refused a request of this node. Returns the time until which it rests;
    /// `None` if it is not brittle.
    pub fn refused(&mut self, now: Duration) -> Option<Duration> {
        self.own_refused_at = Some(now);
        self.add(now, now)
    }

    /// Records a refusal at `at` that another node reports. Returns the time until which the upstream
    /// rests; `None` if it is not brittle or if the refusal is known.
    pub fn reported(&mut self, at: Duration, now: Duration) -> Option<Duration> {
        let is_same = |known: &Duration| known.abs_diff(at) < SAME_TIME;
        if self.refused.iter().any(is_same) {
            return None;
        }
        self.add(at, now)
    }

    fn add(&mut self, at: Duration, now: Duration) -> Option<Duration> {
        let borne = self.refusals(now)?;
        self.refused.push_back(at);
        self.refused.make_contiguous().sort_unstable();
        let is_over = |oldest: &Duration| *oldest + WINDOW <= now;
        while self.refused.len() > MAX_REFUSALS || self.refused.front().is_some_and(is_over) {
            self.refused.pop_front();
        }
        let oldest = *self.refused.front()?;
        let is_half = self.refused.len() * 2 >= (borne as usize).min(MAX_REFUSALS);
        Some(if is_half {
            oldest + WINDOW
        } else {
            at + SHORT_REST
        })
    }

    /// Report of the last refusal of a request of this node to others, where `run` is the hash of the
    /// upstream's run; `None` if there was none lately. Reports of other nodes are not passed on: each
    /// time they would seem younger by the way that they took.
    pub fn report(&self, run: u64, now: Duration) -> Option<RefusalReport> {
        let refusals = self.refusals(now)?;
        let age = now.saturating_sub(self.own_refused_at?);
        (age < REPORT_TTL).then_some(RefusalReport {
            run,
            refusals,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        })
    }
}
