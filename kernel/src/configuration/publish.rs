//! Tracks the changes that are published through this node until their records are read back.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::configuration::fold::ConfigFold;
use crate::configuration::reader::backoff;
use crate::configuration::rollout::PublishProgress;
use crate::event::Action;
use crate::plugin::Context;
use crate::record::{AppendOwner, AppendResult, AppendTicket, ChangeRecord, PublishResult, Record};

/// Maximum number of open changes; further ones are answered as unavailable.
const MAX_OPEN_CHANGES: usize = 256;

/// Time after which an open change is abandoned and answered as unavailable.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for reading back an appended record, after which it is appended again.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(3);

/// Identifies a request of the process to its kernel until it is answered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{_0}")]
pub struct RequestTicket(pub u64);

/// Result and rollout of a change, as reported to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeStatus {
    /// Whether the change was accepted, and if not, why.
    pub result: PublishResult,
    /// Rollout of the change; `None` until a node was counted.
    pub progress: Option<PublishProgress>,
}

#[derive(Clone, Debug)]
struct OpenChange {
    requests: Vec<RequestTicket>,
    record: ChangeRecord,
    ticket: Option<AppendTicket>,
    attempts: u32,
    next_attempt: Duration,
    expires: Duration,
}

/// Open changes by identifier.
#[derive(Clone, Debug, Default)]
pub struct PublishTracker {
    open: BTreeMap<Box<str>, OpenChange>,
    last_ticket: u64,
}

fn answer(request: RequestTicket, id: &str, result: &PublishResult, context: &mut Context<'_>) {
    context.act(Action::PublishAnswered {
        request,
        id: id.into(),
        result: result.clone(),
    });
}

impl PublishTracker {
    /// Opens a change. If its result is known already, or it can never be accepted, or too many
    /// changes are open, answers at once and returns the answer.
    pub fn request(
        &mut self,
        request: RequestTicket,
        record: &ChangeRecord,
        fold: &ConfigFold,
        context: &mut Context<'_>,
    ) -> Option<PublishResult> {
        if let Some(open) = self.open.get_mut(&record.id) {
            open.requests.push(request);
            return None;
        }
        let known = fold
            .result(&record.id)
            .cloned()
            .or_else(|| fold.preview(record));
        let full = (self.open.len() >= MAX_OPEN_CHANGES).then_some(PublishResult::Unavailable);
        if let Some(result) = known.or(full) {
            answer(request, &record.id, &result, context);
            return Some(result);
        }
        let open = OpenChange {
            requests: vec![request],
            record: record.clone(),
            ticket: None,
            attempts: 0,
            next_attempt: context.now,
            expires: context.now + PUBLISH_TIMEOUT,
        };
        self.open.insert(record.id.clone(), open);
        self.tick(context);
        None
    }

    /// Handles the result of an append. The result of the change itself is known only when its
    /// record is read back.
    pub fn appended(
        &mut self,
        ticket: AppendTicket,
        result: AppendResult,
        context: &mut Context<'_>,
    ) {
        let Some(open) = self
            .open
            .values_mut()
            .find(|open| open.ticket == Some(ticket))
        else {
            return;
        };
        open.next_attempt = match result {
            AppendResult::Appended { .. } => context.now + READ_BACK_TIMEOUT,
            AppendResult::Refused => context.now + backoff(open.attempts, context.random),
            AppendResult::Unknown => context.now + backoff(open.attempts, context.random) * 2,
        };
    }

    /// Answers the requests for a change whose record was folded; returns these requests.
    pub fn folded(
        &mut self,
        id: &str,
        result: &PublishResult,
        context: &mut Context<'_>,
    ) -> Vec<RequestTicket> {
        let requests = self
            .open
            .remove(id)
            .map(|open| open.requests)
            .unwrap_or_default();
        for request in &requests {
            answer(*request, id, result, context);
        }
        requests
    }

    /// Appends the records that are due, and abandons changes that timed out.
    pub fn tick(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        for (id, open) in self.open.extract_if(.., |_, open| now >= open.expires) {
            for request in open.requests {
                answer(request, &id, &PublishResult::Unavailable, context);
            }
        }
        for open in self
            .open
            .values_mut()
            .filter(|open| now >= open.next_attempt)
        {
            self.last_ticket += 1;
            let ticket = AppendTicket::new(AppendOwner::Publish, self.last_ticket);
            open.ticket = Some(ticket);
            open.attempts += 1;
            open.next_attempt = now + READ_BACK_TIMEOUT;
            let record = Record::Change(open.record.clone());
            context.act(Action::Append { ticket, record });
        }
    }

    /// Number of open changes.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no change is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
