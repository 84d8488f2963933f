//! The plug-in of the entry node: chooses the owner that a call goes to and ends each call once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::call::{
    AttemptEnd, CallOutcome, CallSpec, LoadSummary, RefusalReason, ReturnReason, WorkSpec,
};
use crate::config::Config;
use crate::event::{Action, Event};
use crate::ids::{AttemptId, CallId, NodeId, PoolId};
use crate::ownership::OwnerMap;
use crate::plugin::{Context, NodeProfile, Plugin, Registration};
use crate::wire::{Message, WorkMessage};

/// Tries of one call before it is given up.
const MAX_ATTEMPTS: u32 = 4;

#[derive(Debug)]
struct OpenCall {
    spec: CallSpec,
    deadline: Duration,
    number: u32,
    owner: NodeId,
    started: bool,
    tokens: u32,
}

/// Calls that entered at this node and are not over.
#[derive(Debug, Default)]
pub struct CallRouter {
    config: Arc<Config>,
    owners: Arc<OwnerMap>,
    calls: BTreeMap<CallId, OpenCall>,
    loads: BTreeMap<(PoolId, NodeId), LoadSummary>,
}

impl CallRouter {
    fn choose(&self, pool: PoolId) -> Option<NodeId> {
        let members = self.config.members.get(&pool)?;
        let mut slots: BTreeMap<NodeId, u32> = BTreeMap::new();
        for upstream in members {
            if let Some(owner) = self.owners.owners.get(upstream) {
                *slots.entry(*owner).or_default() += self.config.upstreams[upstream].spec.slots;
            }
        }
        let load = |node: NodeId, slots: u32| {
            let sent = self
                .calls
                .values()
                .filter(|call| call.owner == node && call.spec.pool == pool)
                .count() as u32;
            let told = self.loads.get(&(pool, node)).copied().unwrap_or_default();
            let waiting: u32 = told.waiting.iter().sum();
            u64::from((told.running + waiting).max(sent)) * 1_000 / u64::from(slots.max(1))
        };
        slots
            .into_iter()
            .min_by_key(|(node, slots)| load(*node, *slots))
            .map(|(node, _)| node)
    }

    fn offer(&mut self, call: CallId, context: &mut Context<'_>) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let owner = self.choose(open.spec.pool);
        let tried = open.number;
        match owner {
            Some(owner) if tried < MAX_ATTEMPTS => self.send_offer(call, owner, context),
            _ => self.refuse(
                call,
                RefusalReason::NoUpstream,
                Some(Duration::from_secs(1)),
                context,
            ),
        }
    }

    fn send_offer(&mut self, call: CallId, owner: NodeId, context: &mut Context<'_>) {
        let Some(open) = self.calls.get_mut(&call) else {
            return;
        };
        open.number += 1;
        open.owner = owner;
        open.started = false;
        let attempt = AttemptId {
            call,
            number: open.number,
        };
        let time_left = open.deadline.saturating_sub(context.now);
        let spec = CallSpec {
            time_left,
            ..open.spec
        };
        let resume_from = open.tokens;
        context.act(Action::AcceptAttempt {
            attempt,
            resume_from,
        });
        let work = WorkSpec {
            attempt,
            spec,
            resume_from,
        };
        context.send(owner, WorkMessage::Offer(work));
    }

    fn refuse(
        &mut self,
        call: CallId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        context: &mut Context<'_>,
    ) {
        self.finish(
            call,
            CallOutcome::NotRun {
                reason,
                retry_after,
            },
            context,
        );
    }

    fn finish(&mut self, call: CallId, outcome: CallOutcome, context: &mut Context<'_>) {
        if self.calls.remove(&call).is_some() {
            context.act(Action::FinishCall { call, outcome });
        }
    }

    fn arrive(&mut self, spec: CallSpec, context: &mut Context<'_>) {
        let open = OpenCall {
            spec,
            deadline: context.now + spec.time_left,
            number: 0,
            owner: context.profile.node,
            started: false,
            tokens: 0,
        };
        self.calls.insert(spec.call, open);
        self.offer(spec.call, context);
    }

    fn current(&mut self, attempt: AttemptId) -> Option<&mut OpenCall> {
        self.calls
            .get_mut(&attempt.call)
            .filter(|open| open.number == attempt.number)
    }

    fn ended(&mut self, attempt: AttemptId, end: AttemptEnd, context: &mut Context<'_>) {
        let Some(open) = self.current(attempt) else {
            return;
        };
        let repeatable = open.spec.repeatable;
        match end {
            AttemptEnd::Complete { tokens } => {
                let tokens = open.tokens + tokens;
                self.finish(attempt.call, CallOutcome::Whole { tokens }, context);
            }
            AttemptEnd::Refused | AttemptEnd::Unsent => self.offer(attempt.call, context),
            AttemptEnd::Broken { tokens } | AttemptEnd::Cancelled { tokens } if repeatable => {
                open.tokens += tokens;
                self.offer(attempt.call, context);
            }
            AttemptEnd::Broken { .. } | AttemptEnd::Cancelled { .. } => {
                self.finish(attempt.call, CallOutcome::Unknown, context);
            }
        }
    }

    fn returned(&mut self, attempt: AttemptId, reason: ReturnReason, context: &mut Context<'_>) {
        if self.current(attempt).is_none() {
            return;
        }
        match reason {
            ReturnReason::Refused {
                reason,
                retry_after,
            } => {
                self.refuse(attempt.call, reason, retry_after, context);
            }
            ReturnReason::NotOwner | ReturnReason::Leaving => self.offer(attempt.call, context),
        }
    }

    fn work_message(&mut self, from: NodeId, message: &WorkMessage, context: &mut Context<'_>) {
        match message {
            WorkMessage::Started(attempt) => {
                if let Some(open) = self.current(*attempt) {
                    open.started = true;
                }
            }
            WorkMessage::Returned {
                attempt,
                reason,
                load,
            } => {
                self.learn(from, attempt.call, *load);
                self.returned(*attempt, *reason, context);
            }
            WorkMessage::Ended { attempt, end, load } => {
                self.learn(from, attempt.call, *load);
                self.ended(*attempt, *end, context);
            }
            WorkMessage::Load { pool, load } => {
                self.loads.insert((*pool, from), *load);
            }
            WorkMessage::Offer(_) | WorkMessage::Cancel(_) => {}
        }
    }

    fn learn(&mut self, from: NodeId, call: CallId, load: LoadSummary) {
        if let Some(open) = self.calls.get(&call) {
            self.loads.insert((open.spec.pool, from), load);
        }
    }

    fn cancel(&mut self, call: CallId, context: &mut Context<'_>) {
        let Some(open) = self.calls.get(&call) else {
            return;
        };
        let attempt = AttemptId {
            call,
            number: open.number,
        };
        context.send(open.owner, WorkMessage::Cancel(attempt));
        let outcome = if open.started {
            CallOutcome::Unknown
        } else {
            CallOutcome::NotRun {
                reason: RefusalReason::Cancelled,
                retry_after: None,
            }
        };
        self.finish(call, outcome, context);
    }

    fn link_down(&mut self, node: NodeId, context: &mut Context<'_>) {
        let lost: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, open)| open.owner == node)
            .map(|(call, _)| *call)
            .collect();
        for call in lost {
            if self.calls[&call].spec.repeatable {
                self.offer(call, context);
            } else {
                self.finish(call, CallOutcome::Unknown, context);
            }
        }
    }
}

impl Plugin for CallRouter {
    fn handle(&mut self, event: &Event, context: &mut Context<'_>) {
        match event {
            Event::ConfigApplied(config) => self.config = Arc::clone(config),
            Event::OwnersChanged(owners) => self.owners = Arc::clone(owners),
            Event::CallArrived { spec, .. } => self.arrive(*spec, context),
            Event::CallCancelled(call) => self.cancel(*call, context),
            Event::LinkDown(node) => self.link_down(*node, context),
            Event::PeerMessage {
                from,
                message: Message::Work(message),
            } => {
                self.work_message(*from, message, context);
            }
            _ => {}
        }
    }

    fn open_work(&self) -> usize {
        self.calls.len()
    }

    fn dump(&self) -> Value {
        json!({ "open_calls": self.calls.len() })
    }
}

fn build(_profile: &NodeProfile) -> Box<dyn Plugin> {
    Box::<CallRouter>::default()
}

inventory::submit! {
    Registration { name: "routing", order: 60, build }
}
