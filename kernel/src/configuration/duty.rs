//! When to append a checkpoint: seldom, and by one node if all goes well.

use std::time::Duration;

use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::configuration::checkpoint;
use crate::configuration::fold::ConfigFold;
use crate::configuration::peers::live_nodes;
use crate::configuration::reader::backoff;
use crate::event::Action;
use crate::ids::NodeId;
use crate::membership::MemberView;
use crate::plugin::Context;
use crate::record::{AppendOwner, AppendResult, AppendTicket, CheckpointRecord, Record};

/// Changes since the last checkpoint, in bytes of JSON, that are worth a new one however small the
/// configuration is.
const LEAST_BYTES: usize = 64 * 1024;

/// A checkpoint is repeated after this long, so that the log's retention never takes the last one.
/// The log must keep records for at least twice this long.
const REPEAT_AFTER: Duration = Duration::from_hours(6);

/// How long an appended checkpoint has to be read back before it is repeated.
const READ_BACK: Duration = Duration::from_secs(30);

/// How much longer each further node waits for the one before it.
const RANK_DELAY: Duration = Duration::from_secs(2);

/// The most nodes that are waited for.
const MAX_RANK: u32 = 30;

/// Where a node stands among the live nodes for one occasion: 0 for the one that acts first.
/// Rendezvous hashing spreads the occasions over the nodes.
pub fn rank(view: &MemberView, node: NodeId, occasion: u64) -> u32 {
    let weight = |node: NodeId| xxh3_64_with_seed(&node.0.to_le_bytes(), occasion);
    let own = weight(node);
    live_nodes(view)
        .filter(|other| weight(*other) > own)
        .count() as u32
}

/// Decides when this node appends a checkpoint, and appends its parts one after another.
#[derive(Clone, Debug, Default)]
pub struct CheckpointDuty {
    covered: u64,
    covered_at: Duration,
    bytes: usize,
    state_bytes: usize,
    log_first: u64,
    due: Option<Duration>,
    parts: Vec<CheckpointRecord>,
    ticket: Option<AppendTicket>,
    tickets: u64,
    failures: u32,
    not_before: Duration,
}

impl CheckpointDuty {
    /// The newest checkpoint seen whole on the log holds every record before this offset.
    pub fn covered(&self) -> u64 {
        self.covered
    }

    /// A change of this size was folded.
    pub fn record_change(&mut self, bytes: usize) {
        self.bytes += bytes;
    }

    /// A whole checkpoint was seen on the log.
    pub fn record_checkpoint(&mut self, through: u64, now: Duration) {
        if through < self.covered {
            return;
        }
        self.covered = through;
        self.covered_at = now;
        self.bytes = 0;
        self.due = None;
        self.parts.clear();
        self.ticket = None;
    }

    /// The log told its oldest offset.
    pub fn truncated(&mut self, first: u64) {
        self.log_first = self.log_first.max(first);
    }

    fn is_needed(&self, fold: &ConfigFold, now: Duration) -> bool {
        let grown = self.bytes > LEAST_BYTES.max(self.state_bytes);
        let old = now.saturating_sub(self.covered_at) > REPEAT_AFTER;
        let lost = self.covered < self.log_first;
        fold.next() > self.covered && fold.config().version > 0 && (grown || old || lost)
    }

    /// Does what is due.
    pub fn tick(&mut self, fold: &ConfigFold, view: &MemberView, context: &mut Context<'_>) {
        if !self.parts.is_empty() {
            self.append(context);
            return;
        }
        if !self.is_needed(fold, context.now) {
            self.due = None;
            return;
        }
        let jitter = RANK_DELAY.mul_f64(context.random.random_range(0.0..0.5));
        let rank = rank(view, context.profile.node, self.covered).min(MAX_RANK);
        let due = *self
            .due
            .get_or_insert(context.now + RANK_DELAY * rank + jitter);
        if context.now < due {
            return;
        }
        self.due = None;
        self.parts = checkpoint::parts(fold);
        self.state_bytes = self.parts.iter().map(checkpoint::json_size).sum();
        self.parts.reverse();
        self.append(context);
    }

    fn append(&mut self, context: &mut Context<'_>) {
        if self.ticket.is_some() || context.now < self.not_before {
            return;
        }
        let Some(part) = self.parts.last() else {
            return;
        };
        self.tickets += 1;
        let ticket = AppendTicket::new(AppendOwner::Checkpoint, self.tickets);
        self.ticket = Some(ticket);
        let record = Record::Checkpoint(part.clone());
        context.act(Action::Append { ticket, record });
    }

    /// An append was answered. A part may stand on the log twice: that does no harm.
    pub fn appended(
        &mut self,
        ticket: AppendTicket,
        result: AppendResult,
        context: &mut Context<'_>,
    ) {
        if self.ticket != Some(ticket) {
            return;
        }
        self.ticket = None;
        if let AppendResult::Appended { .. } = result {
            self.failures = 0;
            self.parts.pop();
            if self.parts.is_empty() {
                self.bytes = 0;
                self.due = Some(context.now + READ_BACK);
            }
            self.append(context);
            return;
        }
        self.failures += 1;
        self.not_before = context.now + backoff(self.failures, context.random);
    }
}
