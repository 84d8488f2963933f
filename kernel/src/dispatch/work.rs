//! A piece of work at its owner, queued or running on an upstream.

use std::time::Duration;

use crate::call::WorkSpec;
use crate::dispatch::arena::{Arena, ArenaKey};
use crate::ids::{NodeId, UpstreamId};

/// Key of a piece of work in the [`WorkArena`].
pub type WorkKey = ArenaKey<WorkItem>;

/// All work that a node has accepted as an owner.
pub type WorkArena = Arena<WorkItem>;

/// Number of times that an owner may requeue one attempt.
pub const MAX_REQUEUES: u8 = 3;

/// A piece of work at its owner.
#[derive(Clone, Copy, Debug)]
pub struct WorkItem {
    /// The work as offered; `resume_from` grows each time it is requeued.
    pub work: WorkSpec,
    /// The entry node that offered it.
    pub entry: NodeId,
    /// Time at which its class's latency target is missed.
    pub deadline: Duration,
    /// Latest start that still meets the deadline, as estimated when it was offered.
    pub latest_start: Duration,
    /// Estimated cost, as counted in the queue and later charged to the workspace.
    pub cost: u64,
    /// Tokens forwarded in earlier runs of this attempt.
    pub forwarded: u32,
    /// Number of times that it was requeued.
    pub requeues: u8,
    /// Whether an earlier run of this attempt may have reached an upstream.
    pub ran: bool,
    /// The run on an upstream; `None` while queued.
    pub run: Option<WorkRun>,
}

impl WorkItem {
    /// Whether the caller has tokens or an upstream may have run it. Its time to first token is
    /// then settled, and it is no longer rejected.
    pub fn may_have_run(&self) -> bool {
        self.ran || self.work.resume_from > 0
    }

    /// Whether it may be stopped and resumed later.
    pub fn can_move(&self) -> bool {
        self.work.spec.repeatable && self.requeues < MAX_REQUEUES
    }

    /// Cost of stopping it: the tokens that an upstream would have to process again.
    pub fn restart_cost(&self) -> u64 {
        let tokens = self.run.map_or(0, |run| run.tokens);
        u64::from(self.work.spec.prompt_tokens)
            + u64::from(self.work.resume_from)
            + u64::from(tokens)
    }
}

/// A run of a piece of work on an upstream.
#[derive(Clone, Copy, Debug)]
pub struct WorkRun {
    /// Upstream whose slot the run occupies.
    pub upstream: UpstreamId,
    /// Time at which it was dispatched.
    pub started: Duration,
    /// Whether bytes of it may have left the socket.
    pub sent: bool,
    /// Tokens received in this run so far.
    pub tokens: u32,
    /// Time at which the newest tokens arrived; the start time before the first.
    pub last_token: Duration,
    /// Time at which it counts as stalled unless a token arrives first; `None` if it cannot stall.
    pub stall_due: Option<Duration>,
    /// Reason why it was asked to stop; `None` if it was not.
    pub stop: Option<StopCause>,
}

/// Reason why a run was asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// The entry node cancelled it.
    Cancelled,
    /// A higher tier needs its slot.
    Preempted,
    /// Its upstream is too slow or failing.
    Moved,
}
