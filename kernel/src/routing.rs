//! The entry node's plug-in: chooses the owner that each call is offered to, and reports exactly
//! one outcome per call.
//!
//! The outcome is one of: the whole response; `not_run`, only if no part of the call ran;
//! `unknown`. A call that is not repeatable is offered to another owner only while no part of it
//! can have run. Any other call is resumed elsewhere after the tokens that its caller already has.

pub mod attempt;
mod checks;
mod keyed;
mod load;
mod offers;
pub mod open;
pub mod owners;
pub mod retry;
mod updates;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::call::CallOutcome;
use crate::config::Config;
use crate::event::{Action, Event};
use crate::ids::{CallId, NodeId};
use crate::keys::KeyChecker;
use crate::keys::outcomes::{CallOrigin, KeyOutcomes};
use crate::membership::{MemberView, NodeState};
use crate::ownership::OwnerMap;
use crate::plugin::{Context, GaugeSample, NodeProfile, Plugin, Registration};
use crate::routing::open::{OpenCall, RelayedCall};
use crate::routing::owners::OwnerTable;
use crate::routing::retry::RetryBudget;
use crate::wire::{Message, RelayMessage};

/// Handling of an urgent call that waits long at its owner while another owner has capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WaitPolicy {
    /// It keeps waiting.
    Stay,
    /// It is withdrawn and offered to the other owner.
    #[default]
    Move,
    /// It is offered to the other owner as well, and the first to start responds (hedging).
    Hedge,
}

#[derive(Debug, Default)]
struct RouterTotals {
    whole: u64,
    not_run: u64,
    unknown: u64,
    retries: u64,
    hedges: u64,
}

/// Routes the calls that entered at this node and have not ended.
pub struct CallRouter {
    waiting: WaitPolicy,
    config: Arc<Config>,
    owners: Arc<OwnerMap>,
    view: Arc<MemberView>,
    table: OwnerTable,
    budget: RetryBudget,
    calls: BTreeMap<CallId, OpenCall>,
    relayed: BTreeMap<CallId, RelayedCall>,
    joined: BTreeSet<CallId>,
    checks: BTreeSet<(Duration, CallId)>,
    checker: KeyChecker,
    outcomes: KeyOutcomes,
    leaving: bool,
    totals: RouterTotals,
}

impl CallRouter {
    /// A router for a node's run, with the given policy for waiting calls.
    pub fn new(profile: &NodeProfile, waiting: WaitPolicy) -> Self {
        Self {
            waiting,
            config: Arc::default(),
            owners: Arc::default(),
            view: Arc::default(),
            table: OwnerTable::default(),
            budget: RetryBudget::default(),
            calls: BTreeMap::new(),
            relayed: BTreeMap::new(),
            joined: BTreeSet::new(),
            checks: BTreeSet::new(),
            checker: KeyChecker::new(profile),
            outcomes: KeyOutcomes::default(),
            leaving: false,
            totals: RouterTotals::default(),
        }
    }

    fn rebuild(&mut self, context: &Context<'_>) {
        let zone = context.profile.zone;
        self.table
            .rebuild(&self.config, &self.owners, &self.view, zone);
    }

    /// Ends a call that this node is responsible for, together with its repeats.
    fn finish(&mut self, call: CallId, outcome: CallOutcome, context: &mut Context<'_>) {
        let Some(open) = self.calls.remove(&call) else {
            return;
        };
        self.checks.remove(&(open.next_check, call));
        for attempt in open.attempts() {
            self.table.record_close(open.spec.pool, attempt.owner);
        }
        self.send_outcome(call, open.origin, outcome, context);
        let Some(sequence) = open.key else {
            return;
        };
        for (repeat, origin) in self.outcomes.record_outcome(sequence, outcome, context.now) {
            self.joined.remove(&repeat);
            self.send_outcome(repeat, origin, outcome, context);
        }
        if !matches!(outcome, CallOutcome::Whole { .. }) {
            context.act(Action::DiscardAnswer(call));
        }
    }

    /// Reports the outcome of a call to its caller, the relaying node and the other plug-ins.
    fn send_outcome(
        &mut self,
        call: CallId,
        origin: CallOrigin,
        outcome: CallOutcome,
        context: &mut Context<'_>,
    ) {
        match outcome {
            CallOutcome::Whole { .. } => self.totals.whole += 1,
            CallOutcome::NotRun { .. } => self.totals.not_run += 1,
            CallOutcome::Unknown => self.totals.unknown += 1,
        }
        if let CallOrigin::Relay(node) = origin {
            context.send(node, RelayMessage::Finished { call, outcome });
        }
        context.act(Action::FinishCall { call, outcome });
        context.raise(Event::CallFinished(call));
    }

    /// Nodes whose last known run has ended.
    fn ended_runs(&self, view: &MemberView, own: NodeId) -> Vec<NodeId> {
        let over = |node: &NodeId, run: u64| {
            view.members.get(node).is_none_or(|member| {
                member.state == NodeState::Dead || (run != 0 && member.incarnation.0 > run)
            })
        };
        self.view
            .members
            .iter()
            .filter(|(node, member)| **node != own && member.state != NodeState::Dead)
            .filter(|(node, member)| over(node, member.incarnation.0))
            .map(|(node, _)| *node)
            .collect()
    }

    fn members_changed(&mut self, view: &Arc<MemberView>, context: &mut Context<'_>) {
        let ended = self.ended_runs(view, context.profile.node);
        self.view = Arc::clone(view);
        self.rebuild(context);
        for node in ended {
            self.withdraw_from_node(node, context);
        }
    }
}

impl Plugin for CallRouter {
    fn handle(&mut self, event: &Event, context: &mut Context<'_>) {
        match event {
            Event::CallAdmitted { spec, key } => self.admit(*spec, key.as_ref(), context),
            Event::CallCancelled(call) => self.cancel(*call, context),
            Event::PeerMessage { from, message } => match message {
                Message::Work(message) => self.work_message(*from, message, context),
                Message::Relay(message) => self.relay_message(*from, message, context),
                _ => {}
            },
            Event::AttemptLost {
                attempt,
                tokens,
                sent,
            } => self.attempt_lost(*attempt, *tokens, *sent, context),
            Event::LinkDown(node) => {
                self.table.link_down(*node, context.now);
                self.end_relayed_to(*node, context);
            }
            Event::LinkUp(node) => self.table.link_up(*node),
            Event::Tick => self.tick(context),
            Event::ConfigApplied(config) => {
                self.config = Arc::clone(config);
                self.rebuild(context);
            }
            Event::OwnersChanged(owners) => {
                self.owners = Arc::clone(owners);
                self.rebuild(context);
            }
            Event::MembersChanged(view) => self.members_changed(view, context),
            Event::NodeLeaving => self.leaving = true,
            _ => {}
        }
    }

    fn open_work(&self) -> usize {
        self.calls.len() + self.relayed.len() + self.joined.len()
    }

    fn dump(&self) -> Value {
        json!({
            "open_calls": self.calls.len(),
            "open_offers": self.table.open(),
            "relayed_calls": self.relayed.len(),
            "timers": self.checks.len(),
            "keys_remembered": self.outcomes.len(),
            "answers_kept": self.outcomes.answers(),
            "repeats_waiting": self.joined.len(),
            "reduced_retry_budgets": self.budget.len(),
            "retries": self.totals.retries,
            "hedges": self.totals.hedges,
        })
    }

    fn gauges(&self) -> Vec<GaugeSample> {
        let sample = |name, help, kind, value| GaugeSample {
            name,
            help,
            kind,
            value,
        };
        let outcomes = "Calls that ended at this node, by outcome.";
        let totals = &self.totals;
        vec![
            sample("calls_ended", outcomes, "whole", totals.whole as f64),
            sample("calls_ended", outcomes, "not_run", totals.not_run as f64),
            sample("calls_ended", outcomes, "unknown", totals.unknown as f64),
            sample(
                "call_retries",
                "Tries after a call's first.",
                "",
                totals.retries as f64,
            ),
            sample(
                "open_calls",
                "Calls that entered at this node and are not over.",
                "",
                self.calls.len() as f64,
            ),
            sample(
                "keys_remembered",
                "Idempotency keys whose outcome is remembered.",
                "",
                self.outcomes.len() as f64,
            ),
        ]
    }
}

fn build(profile: &NodeProfile) -> Box<dyn Plugin> {
    Box::new(CallRouter::new(profile, WaitPolicy::default()))
}

inventory::submit! {
    Registration { name: "routing", order: 60, build }
}
