//! Everything that a kernel can be told, and everything that it can ask for.

use std::sync::Arc;
use std::time::Duration;

use crate::call::{AttemptEnd, AttemptStart, CallOutcome, CallSpec, LoadReport};
use crate::config::{Config, DocumentList};
use crate::configuration::publish::RequestTicket;
use crate::configuration::reach::PublishProgress;
use crate::ids::{AttemptId, CallId, NodeId, UpstreamId};
use crate::keys::RequestKey;
use crate::leases::OrderRequest;
use crate::membership::{HostEntry, MemberView};
use crate::ownership::OwnerMap;
use crate::record::{
    AppendResult, AppendTicket, ChangeRecord, LeaseHead, LogRecord, PublishResult, Record,
};
use crate::wire::Message;

/// An input to the kernel: from an edge, or from one plug-in to the others.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request was accepted and classified.
    CallArrived {
        /// The call.
        spec: CallSpec,
        /// The idempotency key, if the caller sent one.
        key: Option<RequestKey>,
    },
    /// The caller went away.
    CallCancelled(CallId),
    /// The first byte of the attempt is about to leave the socket: it may run from here on.
    AttemptSent(AttemptId),
    /// The upstream's answer goes on: tokens so far in this attempt. Sent for the first token and
    /// then every few tokens.
    AttemptProgress {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens so far.
        tokens: u32,
    },
    /// The attempt is over at the upstream.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: AttemptEnd,
    },
    /// The upstream told its load.
    UpstreamReported {
        /// The upstream.
        upstream: UpstreamId,
        /// The report.
        report: LoadReport,
    },
    /// An answer of the upstream says that it leaves.
    UpstreamAnnounced(UpstreamId),
    /// The upstream refused a call and wants none from this node for a while.
    UpstreamPaused {
        /// The upstream.
        upstream: UpstreamId,
        /// For how long.
        pause: Duration,
    },
    /// A poll of the upstream's load failed.
    UpstreamUnreachable(UpstreamId),
    /// The upstream told that its cache holds, or no longer holds, a prefix.
    CacheChanged {
        /// The upstream.
        upstream: UpstreamId,
        /// The prefix hash.
        prefix: u64,
        /// Whether it is held now.
        held: bool,
    },
    /// An upstream answered an order.
    OrderAnswered {
        /// The upstream.
        upstream: UpstreamId,
        /// The order's fencing number.
        fencing: u64,
        /// Whether it was carried out.
        accepted: bool,
    },
    /// Another node's message.
    PeerMessage {
        /// The sender.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// The link to a node broke, or could not be made.
    LinkDown(NodeId),
    /// The link to a node was made.
    LinkUp(NodeId),
    /// Records read from the platform's log, in order of offset.
    LogRead {
        /// The records.
        records: Vec<LogRecord>,
        /// The offset after the last record that the log holds.
        end: u64,
    },
    /// The log answered that records before this offset are gone.
    LogTruncated {
        /// The oldest offset that is still held.
        first: u64,
    },
    /// The log could not be read.
    LogUnavailable,
    /// An append was answered, or not.
    AppendDone {
        /// Names the append.
        ticket: AppendTicket,
        /// The result.
        result: AppendResult,
    },
    /// The platform's host list, as it shows now.
    HostList(Vec<HostEntry>),
    /// An operator asked this node to leave.
    DrainNode,
    /// An operator asked that an upstream get nothing new.
    DrainUpstream(UpstreamId),
    /// An operator asked for an order to an upstream.
    OrderRequested(OrderRequest),
    /// Time passed.
    Tick,
    /// A new configuration is in force here.
    ConfigApplied(Arc<Config>),
    /// Which nodes are alive or leaving changed.
    MembersChanged(Arc<MemberView>),
    /// Which node owns which upstream changed.
    OwnersChanged(Arc<OwnerMap>),
    /// An upstream is leaving: no new work.
    UpstreamLeaving(UpstreamId),
    /// This node is leaving: no new calls, queued work goes to other nodes.
    NodeLeaving,
    /// The call is within its workspace's limits.
    CallAdmitted {
        /// The call.
        spec: CallSpec,
        /// The idempotency key, if the caller sent one.
        key: Option<RequestKey>,
    },
    /// The call that this node held is over.
    CallFinished(CallId),
    /// The entry node's edge passes nothing more of this attempt on. The edge raises it for each
    /// open attempt at an owner after `LinkDown` for that owner, and in answer to
    /// [`Action::WithdrawAttempt`].
    AttemptLost {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens of this attempt that went on to the caller.
        tokens: u32,
        /// Whether any byte of the offer left the socket; true when the owner is this node.
        sent: bool,
    },
    /// An upstream that was leaving was registered anew: it may get work again.
    UpstreamReturned(UpstreamId),
    /// An operator publishes a change. Answered by [`Action::PublishAnswered`].
    PublishRequested {
        /// Names the request in its answer.
        request: RequestTicket,
        /// The change.
        record: ChangeRecord,
    },
    /// An operator asks for every document in force. Answered by [`Action::DocumentsAnswered`].
    DocumentsRequested(RequestTicket),
    /// A valid lease record was folded, or stands in the checkpoint that this node started from.
    LeaseSeen(LeaseHead),
}

/// A request of the kernel to the process around it.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to another node. The edge adds the body to an offer or a relayed call.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Send the work to the upstream.
    StartAttempt(AttemptStart),
    /// Stop the attempt at the upstream.
    CancelAttempt(AttemptId),
    /// The call is over; tell the caller. For a call that another node relayed here the edge only
    /// closes what it holds of it: the outcome goes in a message.
    FinishCall {
        /// The call.
        call: CallId,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// Tokens of this attempt, from this index on, are the ones that the caller gets from now on;
    /// those of every other attempt of the call are dropped. Tokens of a newer attempt that come
    /// before it is accepted are held, not dropped.
    AcceptAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens that the caller already has.
        resume_from: u32,
    },
    /// This call repeats one that ran, or still runs: the caller gets the answer of `original`
    /// from its beginning. `FinishCall` follows for the repeat when the original is over. An edge
    /// that no longer has the whole answer tells the caller `unknown`.
    AttachCall {
        /// The repeat.
        call: CallId,
        /// The call whose answer is kept.
        original: CallId,
    },
    /// The answer of a call with a key need not be kept any longer.
    ForgetAnswer(CallId),
    /// Append to the platform's log.
    Append {
        /// Names the append in its answer.
        ticket: AppendTicket,
        /// The record.
        record: Record,
    },
    /// Read the log from this offset.
    ReadLog {
        /// The first offset wanted.
        from: u64,
    },
    /// Give an upstream an order, if the lease still holds at this moment.
    Order {
        /// The order.
        request: OrderRequest,
        /// The lease's fencing number.
        fencing: u64,
        /// The kernel time after which the order must not be sent.
        not_after: Duration,
    },
    /// The node has finished everything and may exit.
    Exit,
    /// This configuration is in force at this node now.
    UseConfig(Arc<Config>),
    /// These are the nodes now.
    UseMembers(Arc<MemberView>),
    /// These are the owners of upstreams now.
    UseOwners(Arc<OwnerMap>),
    /// Pass on nothing more of this attempt, and raise [`Event::AttemptLost`] for it.
    WithdrawAttempt(AttemptId),
    /// What became of a change that an operator published.
    PublishAnswered {
        /// The request.
        request: RequestTicket,
        /// The change's identifier.
        id: Box<str>,
        /// The result.
        result: PublishResult,
    },
    /// How far an accepted change has come; told after its answer, each time that it is news.
    PublishProgressed {
        /// The request.
        request: RequestTicket,
        /// Nodes on which it is in force.
        progress: PublishProgress,
    },
    /// Every document in force.
    DocumentsAnswered {
        /// The request.
        request: RequestTicket,
        /// The documents.
        list: DocumentList,
    },
}
