//! Calls with an idempotency key: run here if this run minted the key, else relayed to the minter.

use std::time::Duration;

use crate::call::{CallOutcome, CallSpec, RefusalReason};
use crate::event::Action;
use crate::ids::{CallId, NodeId};
use crate::keys::outcomes::{CallOrigin, KeyDecision};
use crate::keys::{KeyError, KeyParts, RequestKey};
use crate::membership::NodeState;
use crate::plugin::Context;
use crate::routing::CallRouter;
use crate::routing::checks::MAX_UNANSWERED;
use crate::routing::offers::not_run;
use crate::routing::open::RelayedCall;
use crate::wire::RelayMessage;

/// Time without a message after which the minter is first queried about a relayed call.
const RELAY_QUERY_INTERVAL: Duration = Duration::from_secs(5);
/// Longest time between two queries.
const MAX_RELAY_QUERY_INTERVAL: Duration = Duration::from_mins(1);
/// Time between queries while the minter does not reply.
const QUERY_RETRY: Duration = Duration::from_secs(2);

impl CallRouter {
    /// Admits a call that is not repeatable and has an idempotency key.
    pub(super) fn admit_keyed(
        &mut self,
        spec: CallSpec,
        key: &RequestKey,
        origin: CallOrigin,
        context: &mut Context<'_>,
    ) {
        let Ok(parts) = KeyParts::parse(&key.text) else {
            self.refuse_key(spec.call, origin, context);
            return;
        };
        let foreign = parts.node != context.profile.node;
        if foreign && origin == CallOrigin::Caller {
            self.relay(spec, key, &parts, context);
            return;
        }
        match self.checker.check(&parts, spec.workspace) {
            Ok(()) => self.admit_own(spec, key.fingerprint, &parts, origin, context),
            // The run that minted it has ended, and its records of the key are lost.
            Err(KeyError::OtherMinter) => {
                self.send_outcome(spec.call, origin, CallOutcome::Unknown, context);
            }
            Err(KeyError::Malformed | KeyError::Forged) => {
                self.refuse_key(spec.call, origin, context);
            }
        }
    }

    fn refuse_key(&mut self, call: CallId, origin: CallOrigin, context: &mut Context<'_>) {
        self.send_outcome(call, origin, not_run(RefusalReason::Key, None), context);
    }

    fn admit_own(
        &mut self,
        spec: CallSpec,
        fingerprint: u64,
        parts: &KeyParts,
        origin: CallOrigin,
        context: &mut Context<'_>,
    ) {
        let (call, workspace, now) = (spec.call, spec.workspace, context.now);
        let decision = self
            .outcomes
            .admit(parts, workspace, fingerprint, call, origin, now);
        match decision {
            KeyDecision::Run => self.open(spec, origin, Some(parts.sequence), context),
            KeyDecision::Join { original } => {
                self.joined.insert(call);
                context.act(Action::AttachCall { call, original });
            }
            KeyDecision::Repeat { original, outcome } => {
                if matches!(outcome, CallOutcome::Whole { .. }) {
                    context.act(Action::AttachCall { call, original });
                }
                self.send_outcome(call, origin, outcome, context);
            }
            KeyDecision::Duplicate => {}
            KeyDecision::Conflict => self.refuse_key(call, origin, context),
            KeyDecision::Expired => self.send_outcome(call, origin, CallOutcome::Unknown, context),
        }
    }

    /// Relays a call to the minter of its key, or ends it as `unknown` if that run has ended.
    fn relay(
        &mut self,
        spec: CallSpec,
        key: &RequestKey,
        parts: &KeyParts,
        context: &mut Context<'_>,
    ) {
        let call = spec.call;
        let reachable = self.view.members.get(&parts.node).is_some_and(|member| {
            member.state != NodeState::Dead && member.incarnation <= parts.incarnation
        });
        if !reachable {
            self.send_outcome(call, CallOrigin::Caller, CallOutcome::Unknown, context);
            return;
        }
        let key = key.clone();
        context.send(parts.node, RelayMessage::Call { spec, key });
        let relayed = RelayedCall {
            minter: parts.node,
            unanswered: 0,
            query_interval: RELAY_QUERY_INTERVAL,
            next_check: context.now + RELAY_QUERY_INTERVAL,
        };
        self.checks.insert((relayed.next_check, call));
        self.relayed.insert(call, relayed);
    }

    /// Handles a message about a relayed call.
    pub(super) fn relay_message(
        &mut self,
        from: NodeId,
        message: &RelayMessage,
        context: &mut Context<'_>,
    ) {
        match message {
            RelayMessage::Call { spec, key } => {
                if spec.call.node == from && !self.calls.contains_key(&spec.call) {
                    self.admit_keyed(*spec, key, CallOrigin::Relay(from), context);
                }
            }
            // The call continues: its caller may fetch the response with the same key.
            RelayMessage::Cancel(_) => {}
            RelayMessage::Finished { call, outcome } => {
                self.finish_relayed(*call, from, *outcome, context);
            }
            RelayMessage::Ask(call) => {
                if self.calls.contains_key(call) || self.joined.contains(call) {
                    context.send(from, RelayMessage::Held(*call));
                }
            }
            RelayMessage::Held(call) => self.relayed_held(*call, context.now),
        }
    }

    fn finish_relayed(
        &mut self,
        call: CallId,
        from: NodeId,
        outcome: CallOutcome,
        context: &mut Context<'_>,
    ) {
        let is_its = |relayed: &RelayedCall| relayed.minter == from;
        if !self.relayed.get(&call).is_some_and(is_its) {
            return;
        }
        if let Some(relayed) = self.relayed.remove(&call) {
            self.checks.remove(&(relayed.next_check, call));
            self.send_outcome(call, CallOrigin::Caller, outcome, context);
        }
    }

    /// Ends a relayed call whose caller left.
    pub(super) fn cancel_relayed(&mut self, call: CallId, context: &mut Context<'_>) {
        let Some(relayed) = self.relayed.get(&call) else {
            return;
        };
        let minter = relayed.minter;
        context.send(minter, RelayMessage::Cancel(call));
        self.finish_relayed(call, minter, CallOutcome::Unknown, context);
    }

    /// Ends calls relayed to a node that is unreachable or gone as `unknown`: it may have run them.
    pub(super) fn end_relayed_to(&mut self, node: NodeId, context: &mut Context<'_>) {
        let lost: Vec<CallId> = self
            .relayed
            .iter()
            .filter(|(_, relayed)| relayed.minter == node)
            .map(|(call, _)| *call)
            .collect();
        for call in lost {
            self.finish_relayed(call, node, CallOutcome::Unknown, context);
        }
    }

    /// Queries the minter about a relayed call, or ends the call if the minter does not reply.
    pub(super) fn check_relayed(&mut self, call: CallId, context: &mut Context<'_>) {
        let Some(relayed) = self.relayed.get_mut(&call) else {
            return;
        };
        if relayed.unanswered >= MAX_UNANSWERED {
            let minter = relayed.minter;
            self.finish_relayed(call, minter, CallOutcome::Unknown, context);
            return;
        }
        relayed.unanswered += 1;
        context.send(relayed.minter, RelayMessage::Ask(call));
        relayed.next_check = context.now + QUERY_RETRY;
        self.checks.insert((relayed.next_check, call));
    }

    fn relayed_held(&mut self, call: CallId, now: Duration) {
        let Some(relayed) = self.relayed.get_mut(&call) else {
            return;
        };
        self.checks.remove(&(relayed.next_check, call));
        relayed.unanswered = 0;
        relayed.query_interval = (relayed.query_interval * 2).min(MAX_RELAY_QUERY_INTERVAL);
        relayed.next_check = now + relayed.query_interval;
        self.checks.insert((relayed.next_check, call));
    }
}
