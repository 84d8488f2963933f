//! Changes that operators publish through this node, until their records are read back.

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

/// Changes under way at a time; more are told to come again.
const MAX_OPEN: usize = 256;

/// How long a change is tried before its publisher is told to send it again.
const PATIENCE: Duration = Duration::from_secs(10);

/// How long an appended record has to be read back before it is appended again.
const READ_BACK: Duration = Duration::from_secs(3);

/// Names a request of the process to its kernel until it is answered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{_0}")]
pub struct RequestTicket(pub u64);

/// What became of a change, and how far it has come, as a node tells its operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeStatus {
    /// What became of it.
    pub result: PublishResult,
    /// How far it has come; none until a node was counted.
    pub progress: Option<PublishProgress>,
}

#[derive(Clone, Debug)]
struct OpenChange {
    requests: Vec<RequestTicket>,
    record: ChangeRecord,
    ticket: Option<AppendTicket>,
    tries: u32,
    next_try: Duration,
    give_up: Duration,
}

/// Changes under way, by identifier.
#[derive(Clone, Debug, Default)]
pub struct PublishTracker {
    open: BTreeMap<Box<str>, OpenChange>,
    tickets: u64,
}

fn answer(request: RequestTicket, id: &str, result: &PublishResult, context: &mut Context<'_>) {
    context.act(Action::PublishAnswered {
        request,
        id: id.into(),
        result: result.clone(),
    });
}

impl PublishTracker {
    /// Takes a change; answers at once, and gives the answer, if it is known already or can never
    /// be accepted.
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
        let full = (self.open.len() >= MAX_OPEN).then_some(PublishResult::Unavailable);
        if let Some(result) = known.or(full) {
            answer(request, &record.id, &result, context);
            return Some(result);
        }
        let open = OpenChange {
            requests: vec![request],
            record: record.clone(),
            ticket: None,
            tries: 0,
            next_try: context.now,
            give_up: context.now + PATIENCE,
        };
        self.open.insert(record.id.clone(), open);
        self.tick(context);
        None
    }

    /// An append was answered. Only reading the record back tells what became of it.
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
        open.next_try = match result {
            AppendResult::Appended { .. } => context.now + READ_BACK,
            AppendResult::Refused => context.now + backoff(open.tries, context.random),
            AppendResult::Unknown => context.now + backoff(open.tries, context.random) * 2,
        };
    }

    /// A record with this identifier was folded. The requests that this answered.
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

    /// Appends what is due, and gives up what took too long.
    pub fn tick(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        for (id, open) in self.open.extract_if(.., |_, open| now >= open.give_up) {
            for request in open.requests {
                answer(request, &id, &PublishResult::Unavailable, context);
            }
        }
        for open in self.open.values_mut().filter(|open| now >= open.next_try) {
            self.tickets += 1;
            let ticket = AppendTicket::new(AppendOwner::Publish, self.tickets);
            open.ticket = Some(ticket);
            open.tries += 1;
            open.next_try = now + READ_BACK;
            let record = Record::Change(open.record.clone());
            context.act(Action::Append { ticket, record });
        }
    }

    /// Changes under way.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether none is under way.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
