//! A piece of work that an owner holds: queued, or running on an upstream.

use std::time::Duration;

use crate::call::WorkSpec;
use crate::dispatch::arena::{Arena, ArenaKey};
use crate::ids::{NodeId, UpstreamId};

/// Names a piece of held work.
pub type WorkKey = ArenaKey<HeldWork>;

/// All work that a node holds as an owner.
pub type WorkArena = Arena<HeldWork>;

/// How often one attempt may be put back into the queue here.
pub const MAX_REQUEUES: u8 = 3;

/// A piece of work that an owner holds.
#[derive(Clone, Copy, Debug)]
pub struct HeldWork {
    /// The work; `resume_from` grows when it is put back into the queue.
    pub work: WorkSpec,
    /// The node that offered it.
    pub entry: NodeId,
    /// When the class's target is missed.
    pub deadline: Duration,
    /// The last moment at which a start still meets the deadline, by the estimate when queued.
    pub latest_start: Duration,
    /// Estimated cost, as counted in the queue and then charged to the workspace.
    pub cost: u64,
    /// Tokens passed on in earlier runs of this attempt.
    pub passed: u32,
    /// How often it was put back into the queue.
    pub requeues: u8,
    /// Whether an earlier run of this attempt may have run.
    pub ran: bool,
    /// The run on an upstream; none while queued.
    pub run: Option<WorkRun>,
}

impl HeldWork {
    /// Whether the caller has tokens or an upstream may have run it: its target for the first
    /// token is decided, and it is no longer refused.
    pub fn begun(&self) -> bool {
        self.ran || self.work.resume_from > 0
    }

    /// Whether it may be stopped and go on later.
    pub fn can_move(&self) -> bool {
        self.work.spec.repeatable && self.requeues < MAX_REQUEUES
    }

    /// What stopping it throws away, in tokens that the upstream reads again.
    pub fn loss(&self) -> u64 {
        let tokens = self.run.map_or(0, |run| run.tokens);
        u64::from(self.work.spec.prompt_tokens)
            + u64::from(self.work.resume_from)
            + u64::from(tokens)
    }
}

/// A run of held work on an upstream.
#[derive(Clone, Copy, Debug)]
pub struct WorkRun {
    /// The upstream.
    pub upstream: UpstreamId,
    /// When it was handed to the edge.
    pub started: Duration,
    /// Whether bytes may have left the socket.
    pub sent: bool,
    /// Tokens of this run so far.
    pub tokens: u32,
    /// When tokens came last.
    pub heard: Duration,
    /// When it counts as stalled unless a token comes first.
    pub due: Option<Duration>,
    /// Why it was asked to stop, if it was.
    pub stop: Option<StopCause>,
}

/// Why a run was asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// Nobody wants it any more.
    Unwanted,
    /// Work of a higher tier needs the slot.
    Preempted,
    /// Its upstream is too slow.
    Moved,
}
