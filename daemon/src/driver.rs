//! The task that owns the kernel: passes it events in order of arrival and executes its actions.

use std::sync::Arc;
use std::time::Duration;

use monsoonbank_kernel::event::{Action, Event};
use monsoonbank_kernel::ids::{AttemptId, CallId, NodeId};
use monsoonbank_kernel::kernel::Kernel;
use monsoonbank_kernel::wire::{Message, RelayMessage, WorkMessage};
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use crate::calls::{Delivery, LostAttempt};
use crate::frame::{Chunk, Frame, RequestParts};
use crate::shared::{Input, NodeShared};
use crate::{body, links, orders, platform, upstreams};

/// Interval of the kernel's tick events.
pub const TICK: Duration = Duration::from_millis(20);

/// Runs the kernel until the node is killed or the input queue is closed.
pub async fn run(
    shared: Arc<NodeShared>,
    mut kernel: Kernel,
    mut inputs: mpsc::UnboundedReceiver<Input>,
) {
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut actions = Vec::new();
    loop {
        let input = tokio::select! {
            biased;
            _ = ticks.tick() => Some(Input::Event(Event::Tick)),
            input = inputs.recv() => input,
        };
        let Some(input) = input else {
            return;
        };
        handle(&shared, &mut kernel, input, &mut actions);
        for action in actions.drain(..) {
            execute(&shared, action);
        }
    }
}

fn handle(shared: &Arc<NodeShared>, kernel: &mut Kernel, input: Input, actions: &mut Vec<Action>) {
    let now = shared.now();
    match input {
        Input::Event(event) => kernel.handle(now, event, actions),
        Input::Frame(from, frame) => receive(shared, kernel, from, frame, actions),
        Input::LinkLost(node) => {
            shared.remove_waiting(node);
            kernel.handle(now, Event::LinkDown(node), actions);
            for lost in shared.calls.withdraw_owner(node) {
                kernel.handle(now, lost_event(lost), actions);
            }
        }
        // Sending fails if the requester has given up, which is no error.
        Input::Dump(section, reply) => drop(reply.send(kernel.dump(section.as_deref()))),
        Input::Gauges(reply) => drop(reply.send(kernel.gauges())),
    }
}

fn receive(
    shared: &Arc<NodeShared>,
    kernel: &mut Kernel,
    from: NodeId,
    frame: Frame,
    actions: &mut Vec<Action>,
) {
    match frame {
        Frame::Message(message) => {
            if let Message::Work(WorkMessage::Cancel(attempt)) = &message {
                shared.remove_if_waiting(*attempt);
            }
            kernel.handle(shared.now(), Event::PeerMessage { from, message }, actions);
        }
        Frame::Request(message, parts) => {
            store_parts(shared, from, &message, parts);
            kernel.handle(shared.now(), Event::PeerMessage { from, message }, actions);
        }
        Frame::Chunk(attempt, index, chunk) => {
            deliver(shared, attempt, index, chunk);
        }
        Frame::Relayed(call, index, chunk) => {
            let delivery = shared.calls.deliver_relayed(call, index, chunk);
            record_delivery(shared, call, index, delivery);
        }
    }
}

/// Stores the request that a message refers to. Without room for it the attempt ends as not sent.
fn store_parts(shared: &Arc<NodeShared>, from: NodeId, message: &Message, parts: RequestParts) {
    let body = body::charge_received(&shared.bodies, parts.body, upstreams::BODY_COPIES);
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            log::warn!("event=no_memory node={from} reason=\"{error}\"");
            return;
        }
    };
    let parts = RequestParts { body, ..parts };
    match message {
        Message::Work(WorkMessage::Offer(work)) => {
            shared.add_work(work.attempt, from, Arc::new(parts));
        }
        Message::Relay(RelayMessage::Call { spec, .. }) => {
            shared.calls.open_relayed(spec.call, parts, from);
        }
        _ => {}
    }
}

fn execute(shared: &Arc<NodeShared>, action: Action) {
    match action {
        Action::Send { to, message } => send(shared, to, message),
        Action::StartAttempt(start) => upstreams::start(shared, start),
        Action::CancelAttempt(attempt) => shared.cancel_work(attempt),
        Action::FinishCall { call, outcome } => shared.calls.finish(call, outcome),
        Action::AcceptAttempt {
            attempt,
            resume_from,
        } => {
            let mut send = |node, frame| links::send(shared, node, frame);
            shared.calls.accept(attempt, resume_from, &mut send);
        }
        Action::WithdrawAttempt(attempt) => {
            let own = shared.profile.node;
            if let Some(lost) = shared.calls.withdraw(attempt, own) {
                shared.send_event(lost_event(lost));
            }
        }
        Action::AttachCall { call, original } => {
            let mut send = |node, frame| links::send(shared, node, frame);
            shared.calls.attach(call, original, &mut send);
        }
        Action::DiscardAnswer(call) => shared.calls.remove_answer(call),
        Action::Append { ticket, record } => platform::append(shared, ticket, record),
        Action::ReadLog { from } => platform::read_log(shared, from),
        Action::Order {
            request,
            fencing,
            not_after,
        } => orders::send(shared, request, fencing, not_after),
        Action::Exit => shared.done.cancel(),
        Action::UseConfig(config) => {
            log::info!("event=config_in_force version={}", config.version);
            shared.set_config(config);
        }
        Action::UseMembers(members) => shared.set_members(members),
        Action::UseOwners(owners) => shared.set_owners(owners),
        Action::PublishAnswered {
            request,
            id,
            result,
        } => {
            log::info!("event=publish_answered id={id} result=\"{result}\"");
            shared.changes.finish_publish(request, id, result);
        }
        Action::PublishProgressed { request, progress } => {
            shared.changes.update_progress(request, progress);
        }
        Action::DocumentsAnswered { request, list } => shared.changes.finish_read(request, list),
    }
}

fn send(shared: &Arc<NodeShared>, to: NodeId, message: Message) {
    let frame = match &message {
        Message::Work(WorkMessage::Offer(work)) => {
            shared.calls.record_offer(work.attempt, to);
            request_frame(shared, work.attempt.call, message)
        }
        Message::Relay(RelayMessage::Call { spec, .. }) => {
            let call = spec.call;
            request_frame(shared, call, message)
        }
        Message::Work(
            WorkMessage::Ended { attempt, .. } | WorkMessage::Returned { attempt, .. },
        ) => {
            shared.remove_work(*attempt);
            Frame::Message(message)
        }
        _ => Frame::Message(message),
    };
    links::send(shared, to, frame);
}

fn request_frame(shared: &NodeShared, call: CallId, message: Message) -> Frame {
    match shared.calls.parts(call) {
        Some(parts) => Frame::Request(message, (*parts).clone()),
        None => Frame::Message(message),
    }
}

/// Sends a chunk of an answer to the entry node, which may be this node.
pub fn send_chunk(
    shared: &Arc<NodeShared>,
    entry: NodeId,
    attempt: AttemptId,
    index: u32,
    chunk: Chunk,
) -> Delivery {
    if entry == shared.profile.node {
        return deliver(shared, attempt, index, chunk);
    }
    links::send(shared, entry, Frame::Chunk(attempt, index, chunk));
    Delivery::Forwarded
}

fn deliver(shared: &Arc<NodeShared>, attempt: AttemptId, index: u32, chunk: Chunk) -> Delivery {
    let mut send = |node, frame| links::send(shared, node, frame);
    let delivery = shared.calls.deliver(attempt, index, chunk, &mut send);
    record_delivery(shared, attempt.call, index, delivery);
    delivery
}

fn record_delivery(shared: &NodeShared, call: CallId, index: u32, delivery: Delivery) {
    match delivery {
        Delivery::Dropped => shared.counters.dropped_chunks.inc(),
        Delivery::Gap => log::error!("call={call} event=gap index={index}"),
        Delivery::Stalled => shared.send_event(Event::CallCancelled(call)),
        Delivery::Forwarded | Delivery::Buffered => {}
    }
}

fn lost_event(lost: LostAttempt) -> Event {
    Event::AttemptLost {
        attempt: lost.attempt,
        tokens: lost.tokens,
        sent: lost.sent,
    }
}
