//! Decides when to append a checkpoint: rarely, and normally by one node only.

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

/// Minimum size of the changes since the last checkpoint, in bytes of JSON, before a new one is
/// appended. A larger configuration raises the threshold to its own size.
const MIN_CHANGED_BYTES: usize = 64 * 1024;

/// Age at which a checkpoint is repeated, so that the log's retention never removes the last one.
/// The log must retain records for at least twice this time.
const MAX_CHECKPOINT_AGE: Duration = Duration::from_hours(6);

/// Timeout for reading back an appended checkpoint, after which it is appended again.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(30);

/// Additional delay per rank: each node waits this much longer than the one before it.
const RANK_DELAY: Duration = Duration::from_secs(2);

/// Highest rank that the delay takes into account.
const MAX_RANK: u32 = 30;

/// Rank of a node among the live nodes for one occasion; rank 0 acts first. Rendezvous hashing
/// spreads the occasions over the nodes.
pub fn rank(view: &MemberView, node: NodeId, occasion: u64) -> u32 {
    let weight = |node: NodeId| xxh3_64_with_seed(&node.0.to_le_bytes(), occasion);
    let own = weight(node);
    live_nodes(view)
        .filter(|other| weight(*other) > own)
        .count() as u32
}

/// Decides when this node appends a checkpoint, and appends its parts in sequence.
#[derive(Clone, Debug, Default)]
pub struct CheckpointDuty {
    covered: u64,
    covered_at: Duration,
    changed_bytes: usize,
    state_bytes: usize,
    log_first: u64,
    due: Option<Duration>,
    parts: Vec<CheckpointRecord>,
    ticket: Option<AppendTicket>,
    last_ticket: u64,
    failures: u32,
    not_before: Duration,
}

impl CheckpointDuty {
    /// Offset before which the newest complete checkpoint on the log covers every record.
    pub fn covered(&self) -> u64 {
        self.covered
    }

    /// Records that a change of this size, in bytes of JSON, was folded.
    pub fn record_change(&mut self, bytes: usize) {
        self.changed_bytes += bytes;
    }

    /// Records that a complete checkpoint up to this offset was read from the log.
    pub fn record_checkpoint(&mut self, through: u64, now: Duration) {
        if through < self.covered {
            return;
        }
        self.covered = through;
        self.covered_at = now;
        self.changed_bytes = 0;
        self.due = None;
        self.parts.clear();
        self.ticket = None;
    }

    /// Records the oldest offset that the log retains.
    pub fn truncated(&mut self, first: u64) {
        self.log_first = self.log_first.max(first);
    }

    fn is_needed(&self, fold: &ConfigFold, now: Duration) -> bool {
        let grown = self.changed_bytes > MIN_CHANGED_BYTES.max(self.state_bytes);
        let old = now.saturating_sub(self.covered_at) > MAX_CHECKPOINT_AGE;
        let lost = self.covered < self.log_first;
        fold.next() > self.covered && fold.config().version > 0 && (grown || old || lost)
    }

    /// Appends the next part of an open checkpoint, or starts a checkpoint that is due.
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
        self.last_ticket += 1;
        let ticket = AppendTicket::new(AppendOwner::Checkpoint, self.last_ticket);
        self.ticket = Some(ticket);
        let record = Record::Checkpoint(part.clone());
        context.act(Action::Append { ticket, record });
    }

    /// Handles the result of an append. A part that is on the log twice is harmless.
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
                self.changed_bytes = 0;
                self.due = Some(context.now + READ_BACK_TIMEOUT);
            }
            self.append(context);
            return;
        }
        self.failures += 1;
        self.not_before = context.now + backoff(self.failures, context.random);
    }
}
