//! The plug-in that folds the log's records into the configuration in force, synchronizes the
//! folded state with other nodes, and publishes changes.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::config::Config;
use crate::configuration::checkpoint::CheckpointAssembly;
use crate::configuration::duty::CheckpointDuty;
use crate::configuration::fold::{ConfigFold, FoldOutcome, RefusedRecord};
use crate::configuration::peers::PeerExchange;
use crate::configuration::publish::{PublishTracker, RequestTicket};
use crate::configuration::reader::LogReader;
use crate::configuration::rollout::RolloutCounter;
use crate::configuration::tail::{RecordTail, ReorderBuffer};
use crate::event::{Action, Event};
use crate::ids::NodeId;
use crate::plugin::{Context, GaugeSample, NodeProfile, Plugin, Registration};
use crate::record::{
    AppendOwner, AppendResult, AppendTicket, ChangeRecord, LogRecord, PublishResult, Record,
};
use crate::wire::Message;

pub mod checkpoint;
pub mod duty;
pub mod fold;
pub mod message;
pub mod peers;
pub mod publish;
pub mod reader;
pub mod rollout;
pub mod tail;

pub use message::ConfigurationMessage;

/// Minimum time between two checkpoints that a node sends to other nodes, so that many starting
/// nodes at once cannot overload it.
const MIN_CHECKPOINT_GAP: Duration = Duration::from_millis(200);

/// The replicated configuration of one node.
#[derive(Debug, Default)]
pub struct ConfigurationStore {
    fold: ConfigFold,
    in_force: Arc<Config>,
    ready: bool,
    log_end: Option<u64>,
    log_first: u64,
    read_from: u64,
    reader: LogReader,
    tail: RecordTail,
    reorder_buffer: ReorderBuffer,
    assembly: CheckpointAssembly,
    duty: CheckpointDuty,
    peers: PeerExchange,
    publishes: PublishTracker,
    rollouts: RolloutCounter,
    checkpoint_sent_at: Option<Duration>,
}

impl ConfigurationStore {
    /// Folds records from the log or from another node in order of offset, and buffers early ones.
    fn fold_records(&mut self, records: &[LogRecord], context: &mut Context<'_>) {
        for entry in records {
            if entry.offset == self.fold.next() {
                self.fold_one(entry, context);
                self.fold_buffered(context);
            } else if entry.offset > self.fold.next() {
                self.reorder_buffer.insert(entry.clone());
            }
        }
    }

    fn fold_buffered(&mut self, context: &mut Context<'_>) {
        while let Some(entry) = self.reorder_buffer.take(self.fold.next()) {
            self.fold_one(&entry, context);
        }
    }

    fn fold_one(&mut self, entry: &LogRecord, context: &mut Context<'_>) {
        let step = self.fold.apply(entry);
        let size = self.tail.push(entry.clone());
        match step {
            FoldOutcome::Changed(id) => {
                self.duty.record_change(size);
                self.answer(&id, context);
            }
            FoldOutcome::Refused(id) => self.answer(&id, context),
            FoldOutcome::Leased(head) => context.raise(Event::LeaseSeen(head)),
            FoldOutcome::Unchanged => {}
        }
    }

    fn answer(&mut self, id: &str, context: &mut Context<'_>) {
        let Some(result) = self.fold.result(id).cloned() else {
            return;
        };
        for request in self.publishes.folded(id, &result, context) {
            self.start_count(request, &result, context);
        }
    }

    /// Starts to count the nodes on which an accepted change is in force.
    fn start_count(
        &mut self,
        request: RequestTicket,
        result: &PublishResult,
        context: &mut Context<'_>,
    ) {
        if let PublishResult::Accepted { version } = result {
            self.rollouts
                .start(request, *version, self.peers.view(), context);
        }
    }

    fn publish(
        &mut self,
        request: RequestTicket,
        record: &ChangeRecord,
        context: &mut Context<'_>,
    ) {
        let answered = self.publishes.request(request, record, &self.fold, context);
        if let Some(result) = answered {
            self.start_count(request, &result, context);
        }
    }

    /// Assembles checkpoints from records of the log, and restores one that is ahead of this node.
    fn restore_checkpoints(&mut self, records: &[LogRecord], context: &mut Context<'_>) {
        for entry in records {
            let Some(Record::Checkpoint(part)) = &entry.record else {
                continue;
            };
            if let Some(fold) = self.assembly.take(part) {
                self.duty.record_checkpoint(fold.next(), context.now);
                self.restore(fold, context);
            }
        }
    }

    /// Replaces this node's folded state by one that is ahead of it; does nothing otherwise.
    fn restore(&mut self, fold: ConfigFold, context: &mut Context<'_>) {
        if fold.next() <= self.fold.next() {
            return;
        }
        self.fold = fold;
        self.tail.clear();
        if let Some(head) = self.fold.lease() {
            context.raise(Event::LeaseSeen(head.clone()));
        }
        let seen: Vec<Box<str>> = self
            .fold
            .retained()
            .map(|change| change.id.clone())
            .collect();
        for id in seen {
            self.answer(&id, context);
        }
        self.fold_buffered(context);
    }

    fn log_read(&mut self, records: &[LogRecord], end: u64, context: &mut Context<'_>) {
        self.reader.succeeded(context.now, records.is_empty());
        if let (Some(first), Some(last)) = (records.first(), records.last()) {
            if first.offset > self.next_read() {
                self.truncated(first.offset);
            }
            self.read_from = last.offset + 1;
        }
        self.fold_records(records, context);
        self.restore_checkpoints(records, context);
        self.log_end = Some(end);
    }

    fn truncated(&mut self, first: u64) {
        self.log_first = self.log_first.max(first);
        self.duty.truncated(first);
    }

    /// The offset to read next: the next one to fold if the log retains it, or else the first
    /// retained one that was not read yet, to find a checkpoint.
    fn next_read(&self) -> u64 {
        if self.fold.next() >= self.log_first {
            return self.fold.next();
        }
        self.read_from.max(self.log_first)
    }

    fn handle_message(
        &mut self,
        from: NodeId,
        message: &ConfigurationMessage,
        context: &mut Context<'_>,
    ) {
        match message {
            ConfigurationMessage::Have { next, ready } => self.record(from, *next, *ready, context),
            ConfigurationMessage::Ask { next, ready } => {
                self.record(from, *next, *ready, context);
                self.send_offset(from, context);
            }
            ConfigurationMessage::Want { from: offset } => self.send_from(from, *offset, context),
            ConfigurationMessage::Records(records) => {
                self.peers.received();
                self.fold_records(records, context);
            }
            ConfigurationMessage::Checkpoint { covered, part } => {
                self.peers.received();
                self.duty.record_checkpoint(*covered, context.now);
                if let Some(fold) = self.assembly.take(part) {
                    self.restore(fold, context);
                }
            }
            ConfigurationMessage::Count { id, version, nodes } => {
                self.rollouts.asked(*id, from, *version, nodes, context);
            }
            ConfigurationMessage::Counted { id, nodes } => self.rollouts.reached(*id, from, *nodes),
        }
    }

    fn record(&mut self, from: NodeId, next: u64, ready: bool, context: &mut Context<'_>) {
        self.peers.record_offset(from, next, ready);
        let at_once = !self.ready || self.reader.is_unavailable(context.now);
        self.peers
            .request_missing(self.fold.next(), at_once, context);
    }

    fn send_offset(&self, to: NodeId, context: &mut Context<'_>) {
        let next = self.fold.next();
        let ready = self.ready;
        context.send(to, ConfigurationMessage::Have { next, ready });
    }

    fn send_from(&mut self, from: NodeId, offset: u64, context: &mut Context<'_>) {
        if offset >= self.fold.next() {
            self.send_offset(from, context);
            return;
        }
        if let Some(page) = self.tail.page(offset) {
            context.send(from, ConfigurationMessage::Records(page));
            return;
        }
        let is_recent = |sent| context.now.saturating_sub(sent) < MIN_CHECKPOINT_GAP;
        if self.checkpoint_sent_at.is_some_and(is_recent) {
            return;
        }
        self.checkpoint_sent_at = Some(context.now);
        for part in checkpoint::parts(&self.fold) {
            let covered = self.duty.covered();
            let part = Box::new(part);
            context.send(from, ConfigurationMessage::Checkpoint { covered, part });
        }
    }

    fn appended(&mut self, ticket: AppendTicket, result: AppendResult, context: &mut Context<'_>) {
        if ticket.belongs_to(AppendOwner::Publish) {
            self.publishes.appended(ticket, result, context);
        }
        if ticket.belongs_to(AppendOwner::Checkpoint) {
            self.duty.appended(ticket, result, context);
        }
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        let log_unavailable = self.reader.is_unavailable(context.now);
        self.publishes.tick(context);
        self.peers
            .tick(self.fold.next(), self.ready, log_unavailable, context);
        if self.ready && !log_unavailable {
            self.duty.tick(&self.fold, self.peers.view(), context);
        }
    }

    /// Whether this node's folded state is the newest that the log or the other nodes are known to
    /// have. Evaluated until it holds once, since the state never goes back.
    fn is_up_to_date(&self, now: Duration) -> bool {
        let known = self.fold.config().version > 0 && self.fold.next() >= self.peers.newest();
        let log = self.log_end.is_some_and(|end| self.fold.next() >= end);
        let peers = self.reader.is_unavailable(now) && self.peers.any_ready();
        known && self.peers.all_answered(now) && (log || peers)
    }

    /// Runs after every event: applies a new configuration, announces it, and starts the next read
    /// of the log.
    fn finish_event(&mut self, context: &mut Context<'_>) {
        self.ready = self.ready || self.is_up_to_date(context.now);
        if self.ready && self.fold.config().version > self.in_force.version {
            self.in_force = Arc::new(self.fold.config().clone());
            context.raise(Event::ConfigApplied(Arc::clone(&self.in_force)));
            self.peers.announce(self.fold.next(), self.ready, context);
        }
        self.rollouts.tick(self.in_force.version, context);
        if self.reader.poll(context.now) {
            let from = self.next_read();
            context.act(Action::ReadLog { from });
        }
    }
}

impl Plugin for ConfigurationStore {
    fn handle(&mut self, event: &Event, context: &mut Context<'_>) {
        match event {
            Event::LogRead { records, end } => self.log_read(records, *end, context),
            Event::LogTruncated { first } => {
                self.reader.succeeded(context.now, false);
                self.truncated(*first);
            }
            Event::LogUnavailable => self.reader.failed(context.now, context.random),
            Event::AppendDone { ticket, result } => self.appended(*ticket, *result, context),
            Event::PeerMessage {
                from,
                message: Message::Configuration(message),
            } => self.handle_message(*from, message, context),
            Event::MembersChanged(view) => self.peers.update_view(view),
            Event::PublishRequested { request, record } => {
                self.publish(*request, record, context);
            }
            Event::DocumentsRequested(request) => context.act(Action::DocumentsAnswered {
                request: *request,
                list: self.fold.documents(),
            }),
            Event::Tick => self.tick(context),
            _ => return,
        }
        self.finish_event(context);
    }

    fn dump(&self) -> Value {
        let refused: Vec<&RefusedRecord> = self.fold.refused().collect();
        json!({
            "version": self.in_force.version,
            "ready": self.ready,
            "next_offset": self.fold.next(),
            "log_end": self.log_end,
            "log_first": self.log_first,
            "newest_told": self.peers.newest(),
            "checkpoint_through": self.duty.covered(),
            "kept_records": self.tail.len(),
            "open_publishes": self.publishes.len(),
            "refused": refused,
        })
    }

    fn gauges(&self) -> Vec<GaugeSample> {
        let sample = |name, help, value| GaugeSample {
            name,
            help,
            kind: "",
            value,
        };
        vec![
            sample(
                "config_version",
                "Version of the configuration in force",
                self.in_force.version as f64,
            ),
            sample(
                "config_ready",
                "1 once the newest configuration known is in force here, or else 0",
                f64::from(u8::from(self.ready)),
            ),
            sample(
                "config_next_offset",
                "Offset on the log before which every record is folded",
                self.fold.next() as f64,
            ),
        ]
    }
}

fn build(_profile: &NodeProfile) -> Box<dyn Plugin> {
    Box::<ConfigurationStore>::default()
}

inventory::submit! {
    Registration { name: "configuration", order: 10, build }
}
