//! Inputs and outputs of the kernel.

use std::sync::Arc;
use std::time::Duration;

use crate::call::{AttemptEnd, AttemptStart, CallOutcome, CallSpec, LoadReport};
use crate::config::{Config, DocumentList};
use crate::configuration::publish::RequestTicket;
use crate::configuration::rollout::PublishProgress;
use crate::ids::{AttemptId, CallId, NodeId, UpstreamId};
use crate::keys::RequestKey;
use crate::leases::OrderRequest;
use crate::membership::{HostEntry, MemberView};
use crate::ownership::OwnerMap;
use crate::record::{
    AppendResult, AppendTicket, ChangeRecord, LeaseHead, LogRecord, PublishResult, Record,
};
use crate::wire::Message;

/// An input to the kernel: from an edge of the process, or from one plug-in to the others.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request was accepted and classified.
    CallArrived {
        /// The classified call.
        spec: CallSpec,
        /// The idempotency key; `None` if the caller sent none.
        key: Option<RequestKey>,
    },
    /// The caller closed its connection before the call ended.
    CallCancelled(CallId),
    /// The edge is about to write the first byte of the attempt to the upstream. From here on the
    /// attempt may run.
    AttemptSent(AttemptId),
    /// The upstream is streaming its answer. Sent for the first token and then every few tokens.
    AttemptProgress {
        /// The attempt that streams.
        attempt: AttemptId,
        /// Tokens received in this attempt so far.
        tokens: u32,
    },
    /// The attempt ended at the upstream.
    AttemptEnded {
        /// The attempt that ended.
        attempt: AttemptId,
        /// End of the attempt, as observed by this node.
        end: AttemptEnd,
    },
    /// The upstream reported its load.
    UpstreamReported {
        /// The reporting upstream.
        upstream: UpstreamId,
        /// The reported load.
        report: LoadReport,
    },
    /// A response of the upstream announces that it is leaving.
    UpstreamLeaveAnnounced(UpstreamId),
    /// The upstream refused a call and requested that this node back off.
    UpstreamPaused {
        /// The upstream to back off from.
        upstream: UpstreamId,
        /// Time during which this node sends it no calls.
        pause: Duration,
    },
    /// A poll of this upstream's load failed.
    UpstreamUnreachable(UpstreamId),
    /// The upstream reported that a prompt prefix entered or left its cache.
    CacheChanged {
        /// The reporting upstream.
        upstream: UpstreamId,
        /// Hash of the prefix.
        prefix: u64,
        /// Whether the prefix is cached now.
        held: bool,
    },
    /// An upstream responded to an order.
    OrderAnswered {
        /// The responding upstream.
        upstream: UpstreamId,
        /// Fencing token that the order was sent with.
        fencing: u64,
        /// Whether the upstream executed the order.
        accepted: bool,
    },
    /// A message from another node, or one that this node sent to itself.
    PeerMessage {
        /// Node that sent the message; this node for its own messages.
        from: NodeId,
        /// The decoded message.
        message: Message,
    },
    /// The connection to this node broke or could not be established.
    LinkDown(NodeId),
    /// The connection to this node was established.
    LinkUp(NodeId),
    /// A read of the platform's log succeeded.
    LogRead {
        /// The records read, in order of offset; empty when there are no new ones.
        records: Vec<LogRecord>,
        /// Offset after the last record in the log.
        end: u64,
    },
    /// The log no longer retains the requested records.
    LogTruncated {
        /// The oldest offset that the log retains.
        first: u64,
    },
    /// A read of the log failed.
    LogUnavailable,
    /// An append to the log ended, with or without a response.
    AppendDone {
        /// The ticket that the append was requested with.
        ticket: AppendTicket,
        /// Result of the append; unknown if no response arrived.
        result: AppendResult,
    },
    /// The platform's current host list.
    HostList(Vec<HostEntry>),
    /// An operator or a signal requested that this node drain and exit.
    DrainNode,
    /// An operator requested that this upstream receive no new work.
    DrainUpstream(UpstreamId),
    /// An operator or a plug-in requested an order to an upstream.
    OrderRequested(OrderRequest),
    /// Periodic timer event; plug-ins evaluate their timeouts on it.
    Tick,
    /// A new configuration came into force at this node.
    ConfigApplied(Arc<Config>),
    /// The membership view changed.
    MembersChanged(Arc<MemberView>),
    /// The assignment of upstreams to owner nodes changed.
    OwnersChanged(Arc<OwnerMap>),
    /// This upstream is leaving and receives no new work.
    UpstreamLeaving(UpstreamId),
    /// This node is leaving: it accepts no new calls, and queued work moves to other nodes.
    NodeLeaving,
    /// The call is within the limits of its workspace.
    CallAdmitted {
        /// The classified call.
        spec: CallSpec,
        /// The idempotency key; `None` if the caller sent none.
        key: Option<RequestKey>,
    },
    /// A call that this node accepted ended.
    CallFinished(CallId),
    /// The entry node's edge forwards nothing more of this attempt. The edge raises it for each
    /// open attempt at an owner after `LinkDown` for that owner, and in response to
    /// [`Action::WithdrawAttempt`].
    AttemptLost {
        /// The lost attempt.
        attempt: AttemptId,
        /// Tokens of this attempt that were forwarded to the caller.
        tokens: u32,
        /// Whether any byte of the offer was written to the socket; true if this node is the owner.
        sent: bool,
    },
    /// An upstream that was leaving is back in service and may receive work again.
    UpstreamReturned(UpstreamId),
    /// A change is to be published, by an operator or a plug-in. Answered by
    /// [`Action::PublishAnswered`].
    PublishRequested {
        /// The ticket that the answer carries.
        request: RequestTicket,
        /// The change to publish.
        record: ChangeRecord,
    },
    /// An operator requests all documents in force. Answered by [`Action::DocumentsAnswered`].
    DocumentsRequested(RequestTicket),
    /// A valid lease record was folded, or read from the checkpoint that this node restored.
    LeaseSeen(LeaseHead),
}

/// An output of the kernel, carried out by the process around it.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to another node. The edge adds the body to an offer or a relayed call.
    Send {
        /// Node that the message is sent to; may be this node.
        to: NodeId,
        /// The message without any request body.
        message: Message,
    },
    /// Send an attempt to an upstream.
    StartAttempt(AttemptStart),
    /// Abort the attempt at its upstream.
    CancelAttempt(AttemptId),
    /// End the call and send its outcome to the caller. For a call that another node relayed here
    /// the edge only releases its resources; the outcome travels in a message.
    FinishCall {
        /// The call that ended.
        call: CallId,
        /// Outcome to report to the caller.
        outcome: CallOutcome,
    },
    /// Forward the tokens of this attempt to the caller, from index `resume_from` on, and drop
    /// those of every other attempt of the call. Tokens of a newer attempt that arrive before that
    /// attempt is accepted are buffered, not dropped.
    AcceptAttempt {
        /// The attempt to forward.
        attempt: AttemptId,
        /// Number of tokens that the caller already received.
        resume_from: u32,
    },
    /// Answer a repeated call with the answer of `original`, from its beginning; the original may
    /// still be running. `FinishCall` follows for the repeat when the original ends. An edge that
    /// no longer retains the whole answer reports `unknown` to the caller.
    AttachCall {
        /// The repeated call.
        call: CallId,
        /// The call whose answer is retained.
        original: CallId,
    },
    /// The retained answer of this call with an idempotency key may be discarded.
    DiscardAnswer(CallId),
    /// Append a record to the platform's log. Answered by [`Event::AppendDone`].
    Append {
        /// The ticket that the answer carries.
        ticket: AppendTicket,
        /// The record to append.
        record: Record,
    },
    /// Read the platform's log.
    ReadLog {
        /// The first offset to read.
        from: u64,
    },
    /// Send an order to an upstream, unless the lease has expired by then.
    Order {
        /// The order and its upstream.
        request: OrderRequest,
        /// Fencing token of the lease.
        fencing: u64,
        /// Kernel time after which the order must not be sent.
        not_after: Duration,
    },
    /// Terminate the process: all work of this node has ended.
    Exit,
    /// Use this configuration in the edges from now on.
    UseConfig(Arc<Config>),
    /// Use this membership view in the edges from now on.
    UseMembers(Arc<MemberView>),
    /// Use this assignment of upstreams to owners in the edges from now on.
    UseOwners(Arc<OwnerMap>),
    /// Forward nothing more of this attempt, and raise [`Event::AttemptLost`] for it.
    WithdrawAttempt(AttemptId),
    /// Report the result of a published change to its publisher.
    PublishAnswered {
        /// Ticket of the publish request.
        request: RequestTicket,
        /// Identifier of the change.
        id: Box<str>,
        /// Whether the change was accepted, and if not, why.
        result: PublishResult,
    },
    /// Report the rollout of an accepted change. Follows the answer, once per change of the count.
    PublishProgressed {
        /// Ticket of the publish request.
        request: RequestTicket,
        /// Number of nodes on which the change is in force.
        progress: PublishProgress,
    },
    /// Report all documents in force.
    DocumentsAnswered {
        /// Ticket of the request.
        request: RequestTicket,
        /// All documents in force, with their versions.
        list: DocumentList,
    },
}
