//! Actions as lines of text, for golden sessions.

use monsoonbank_kernel::event::Action;
use monsoonbank_kernel::ids::{CallId, NodeId};
use monsoonbank_kernel::wire::{Message, RelayMessage, WorkMessage};

/// The call that an action is about and a description of the action; `None` for actions that are
/// not traced.
pub fn describe(action: &Action, name: impl Fn(NodeId) -> usize) -> Option<(CallId, String)> {
    Some(match action {
        Action::Send { to, message } => {
            let (call, text) = describe_message(message)?;
            (call, format!("to n{}: {text}", name(*to)))
        }
        Action::StartAttempt(start) => {
            let (attempt, from) = (start.work.attempt, start.work.resume_from);
            let text = format!("starts attempt {} from token {from}", attempt.number);
            (attempt.call, text)
        }
        Action::AcceptAttempt {
            attempt,
            resume_from,
        } => {
            let text = format!(
                "accepts attempt {} from token {resume_from}",
                attempt.number
            );
            (attempt.call, text)
        }
        Action::WithdrawAttempt(attempt) => (
            attempt.call,
            format!("withdraws attempt {}", attempt.number),
        ),
        Action::CancelAttempt(attempt) => {
            (attempt.call, format!("cancels attempt {}", attempt.number))
        }
        Action::AttachCall { call, original } => {
            (*call, format!("attaches to call {}", original.sequence))
        }
        Action::FinishCall { call, outcome } => (*call, format!("finishes {outcome:?}")),
        Action::DiscardAnswer(call) => (*call, "discards the response".to_owned()),
        _ => return None,
    })
}

fn describe_message(message: &Message) -> Option<(CallId, String)> {
    Some(match message {
        Message::Work(WorkMessage::Offer(work)) => {
            let text = format!(
                "offer {} from token {}",
                work.attempt.number, work.resume_from
            );
            (work.attempt.call, text)
        }
        Message::Work(WorkMessage::Cancel(attempt)) => {
            (attempt.call, format!("cancel {}", attempt.number))
        }
        Message::Work(WorkMessage::Started(attempt)) => {
            (attempt.call, format!("started {}", attempt.number))
        }
        Message::Work(WorkMessage::Returned {
            attempt, reason, ..
        }) => (
            attempt.call,
            format!("returned {}: {reason:?}", attempt.number),
        ),
        Message::Work(WorkMessage::Ended { attempt, end, .. }) => {
            (attempt.call, format!("ended {}: {end:?}", attempt.number))
        }
        Message::Relay(RelayMessage::Call { spec, .. }) => (spec.call, "relay".to_owned()),
        Message::Relay(RelayMessage::Cancel(call)) => (*call, "relay cancel".to_owned()),
        Message::Relay(RelayMessage::Finished { call, outcome }) => {
            (*call, format!("relay finished {outcome:?}"))
        }
        _ => return None,
    })
}
