//! Fleet-wide rate and concurrency limits of workspaces.
//!
//! Each limited workspace has one limiter among the live nodes, chosen by rendezvous hashing. A
//! node with demand requests a share from the limiter and receives it as a short lease; the limiter
//! divides the limit among the demands by max-min fairness. While the limiter is unreachable, a
//! node uses the limit divided by the number of live nodes, so each side of a network partition may
//! use up to the whole limit.

pub mod allowance;
pub mod ledger;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::call::{CallOutcome, CallSpec, RefusalReason};
use crate::config::Config;
use crate::event::{Action, Event};
use crate::ids::{CallId, NodeId, WorkspaceId};
use crate::keys::RequestKey;
use crate::limits::allowance::{LimitDecision, LocalAllowance, WaitingCall};
use crate::limits::ledger::{ShareDemand, ShareLedger, ShareTerms};
use crate::membership::{MemberView, NodeState};
use crate::plugin::{Context, GaugeSample, NodeProfile, Plugin, Registration};
use crate::wire::Message;

/// A share of a workspace's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitShare {
    /// Number of calls that may be admitted per second.
    pub rate: f64,
    /// Number of admitted calls that may be open at a time.
    pub concurrent: u32,
}

/// Messages about fleet-wide limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitMessage {
    /// To the limiter: the sender's demand and its current share.
    Demand {
        /// Workspace whose limits are requested.
        workspace: WorkspaceId,
        /// Share that the sender could use.
        wanted: LimitShare,
        /// Share that the sender has by an unexpired lease.
        held: LimitShare,
    },
    /// From the limiter: replaces the receiver's share.
    Grant {
        /// Workspace whose limits are granted.
        workspace: WorkspaceId,
        /// Share that replaces the receiver's current one.
        share: LimitShare,
        /// Duration of the lease, counted from the arrival of the message.
        length: Duration,
        /// Whether the limiter reduces the share: the receiver must reply with its demand and the
        /// share that it still has.
        reclaim: bool,
    },
}

/// Most demand messages of a node at one tick, to stay within the budget of control traffic.
const MAX_DEMANDS_PER_TICK: usize = 4;

/// Demand messages that a node sends per second over all workspaces, and the largest burst. Without
/// a reply in time a node uses an even share.
const MESSAGES_PER_SECOND: f64 = 4.0;
const MAX_MESSAGE_BURST: f64 = 64.0;

/// Rate and concurrency that stand for no limit: more than a fleet can accept, and small enough to
/// be divided safely.
const UNLIMITED_RATE: f64 = 1e9;
const UNLIMITED_CALLS: u32 = 1_000_000_000;

/// Most calls of one workspace that wait at a node for a share or for their turn.
const MAX_WAITING_CALLS: usize = 1_024;

/// Admits calls within the limits of their workspaces.
#[derive(Debug, Default)]
pub struct LimitTable {
    config: Arc<Config>,
    nodes: Vec<NodeId>,
    /// Live nodes before the last change of membership, and the time of that change.
    former_nodes: Vec<NodeId>,
    nodes_changed: Duration,
    messages: f64,
    refilled: Duration,
    local: BTreeMap<WorkspaceId, LocalAllowance>,
    admitted: BTreeMap<CallId, WorkspaceId>,
    ledger: ShareLedger,
    limited: u64,
}

impl LimitTable {
    /// The workspace's limits, or `None` if it has none.
    fn limits(&self, workspace: WorkspaceId) -> Option<LimitShare> {
        let spec = self.config.workspaces.get(&workspace)?;
        if spec.calls_per_second.is_none() && spec.concurrent_calls.is_none() {
            return None;
        }
        Some(LimitShare {
            rate: spec.calls_per_second.unwrap_or(UNLIMITED_RATE),
            concurrent: spec.concurrent_calls.unwrap_or(UNLIMITED_CALLS),
        })
    }

    /// The node that divides the workspace's limits; `None` without live nodes.
    fn limiter(&self, workspace: WorkspaceId) -> Option<NodeId> {
        limiter_among(&self.nodes, workspace)
    }

    /// Time at which this node replaced another limiter for the workspace, whose shares may still
    /// be in use; `None` if the last change of membership did not change the limiter.
    fn became_limiter(&self, workspace: WorkspaceId) -> Option<Duration> {
        let same = limiter_among(&self.former_nodes, workspace) == self.limiter(workspace);
        (!same).then_some(self.nodes_changed)
    }

    /// The share of a node that cannot reach the limiter.
    fn even_share(&self, workspace: WorkspaceId, limits: LimitShare, node: NodeId) -> LimitShare {
        let nodes = self.nodes.len().max(1) as u32;
        let weight = |node: NodeId| xxh3_64_with_seed(&node.0.to_le_bytes(), workspace.0);
        let own = weight(node);
        let before = self.nodes.iter().filter(|other| weight(**other) > own);
        let rank = before.count() as u32;
        LimitShare {
            rate: limits.rate / f64::from(nodes),
            concurrent: limits.concurrent / nodes + u32::from(rank < limits.concurrent % nodes),
        }
    }

    /// Decides whether a call may be admitted now, and counts it against the limits if so.
    pub fn admit(&mut self, now: Duration, call: &WaitingCall, node: NodeId) -> LimitDecision {
        let workspace = call.spec.workspace;
        let Some(limits) = self.limits(workspace) else {
            return LimitDecision::Unlimited;
        };
        let even = self.even_share(workspace, limits, node);
        let allowance = self.local.entry(workspace).or_default();
        allowance.admit(now, call, even, limits)
    }

    fn arrive(&mut self, spec: &CallSpec, key: Option<&RequestKey>, context: &mut Context<'_>) {
        let workspace = spec.workspace;
        if self.limits(workspace).is_some() {
            let allowance = self.local.entry(workspace).or_default();
            allowance.arrived(context.now);
            if allowance.needs_first_share(context.now) {
                self.request_share(workspace, context);
            }
        }
        let call = WaitingCall {
            spec: *spec,
            key: key.cloned(),
            since: context.now,
        };
        self.decide(call, context);
    }

    fn decide(&mut self, call: WaitingCall, context: &mut Context<'_>) {
        let workspace = call.spec.workspace;
        match self.admit(context.now, &call, context.profile.node) {
            LimitDecision::Unlimited => admit_call(call, context),
            LimitDecision::Admitted => {
                self.admitted.insert(call.spec.call, workspace);
                admit_call(call, context);
            }
            LimitDecision::Wait => self.wait(call, context),
            LimitDecision::Limited { retry_after } => self.refuse(&call, retry_after, context),
        }
    }

    /// Queues a call until the share has capacity for it.
    fn wait(&mut self, call: WaitingCall, context: &mut Context<'_>) {
        let workspace = call.spec.workspace;
        let Some(allowance) = self.local.get_mut(&workspace) else {
            return;
        };
        if allowance.waiting.len() >= MAX_WAITING_CALLS {
            self.refuse(&call, Duration::from_secs(1), context);
            return;
        }
        allowance.waiting.push_back(call);
        if allowance.needs_larger_share(context.now) {
            self.request_share(workspace, context);
        }
    }

    fn refuse(&mut self, call: &WaitingCall, after: Duration, context: &mut Context<'_>) {
        self.limited += 1;
        context.act(Action::FinishCall {
            call: call.spec.call,
            outcome: CallOutcome::NotRun {
                reason: RefusalReason::Limit,
                retry_after: Some(after),
            },
        });
    }

    /// Decides again on the calls that wait for a share.
    fn release_waiting(&mut self, workspace: WorkspaceId, context: &mut Context<'_>) {
        let Some(allowance) = self.local.get_mut(&workspace) else {
            return;
        };
        for call in std::mem::take(&mut allowance.waiting) {
            self.decide(call, context);
        }
    }

    /// Sends the demand to the limiter, unless the message budget is exhausted.
    fn request_share(&mut self, workspace: WorkspaceId, context: &mut Context<'_>) {
        let elapsed = context.now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = context.now;
        self.messages = (self.messages + elapsed * MESSAGES_PER_SECOND).min(MAX_MESSAGE_BURST);
        if self.messages >= 1.0 {
            self.messages -= 1.0;
            self.send_demand(workspace, context);
        }
    }

    fn send_demand(&mut self, workspace: WorkspaceId, context: &mut Context<'_>) {
        let Some(limiter) = self.limiter(workspace) else {
            return;
        };
        let Some(allowance) = self.local.get_mut(&workspace) else {
            return;
        };
        let wanted = allowance.record_demand(context.now);
        let held = allowance.current_share(context.now);
        context.send(
            limiter,
            LimitMessage::Demand {
                workspace,
                wanted,
                held,
            },
        );
    }

    fn demand(
        &mut self,
        from: NodeId,
        workspace: WorkspaceId,
        wanted: LimitShare,
        held: LimitShare,
        context: &mut Context<'_>,
    ) {
        let Some(limits) = self.limits(workspace) else {
            return;
        };
        let demand = ShareDemand {
            node: from,
            wanted,
            held,
            even: self.even_share(workspace, limits, from),
        };
        let terms = ShareTerms {
            limits,
            nodes: self.nodes.len(),
            became_limiter: self.became_limiter(workspace),
        };
        let grants = self.ledger.demand(context.now, workspace, terms, demand);
        for grant in grants {
            context.send(
                grant.node,
                LimitMessage::Grant {
                    workspace,
                    share: grant.share,
                    length: grant.length,
                    reclaim: grant.reclaim,
                },
            );
        }
    }

    fn granted(
        &mut self,
        workspace: WorkspaceId,
        share: LimitShare,
        length: Duration,
        reclaim: bool,
        context: &mut Context<'_>,
    ) {
        let Some(allowance) = self.local.get_mut(&workspace) else {
            return;
        };
        allowance.granted(context.now, share, length);
        // A grant in response to a node's own demand is not acknowledged; otherwise two nodes would
        // exchange messages without end.
        if reclaim {
            self.send_demand(workspace, context);
        }
        self.release_waiting(workspace, context);
    }

    fn finished(&mut self, call: CallId) {
        let Some(workspace) = self.admitted.remove(&call) else {
            return;
        };
        if let Some(allowance) = self.local.get_mut(&workspace) {
            allowance.finished();
        }
    }

    fn cancelled(&mut self, call: CallId, context: &mut Context<'_>) {
        for allowance in self.local.values_mut() {
            let before = allowance.waiting.len();
            allowance
                .waiting
                .retain(|waiting| waiting.spec.call != call);
            if allowance.waiting.len() < before {
                context.act(Action::FinishCall {
                    call,
                    outcome: CallOutcome::NotRun {
                        reason: RefusalReason::Cancelled,
                        retry_after: None,
                    },
                });
                return;
            }
        }
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        self.local.retain(|_, allowance| !allowance.is_idle(now));
        self.ledger.expire(now);
        let mut due: Vec<(Duration, WorkspaceId)> = self
            .local
            .iter()
            .filter(|(_, allowance)| allowance.should_renew(now))
            .map(|(workspace, allowance)| (allowance.demand_sent_at(), *workspace))
            .collect();
        due.sort_unstable();
        for (_, workspace) in due.into_iter().take(MAX_DEMANDS_PER_TICK) {
            self.request_share(workspace, context);
        }
        let waiting: Vec<WorkspaceId> = self
            .local
            .iter()
            .filter(|(_, allowance)| !allowance.waiting.is_empty())
            .map(|(workspace, _)| *workspace)
            .collect();
        for workspace in waiting {
            self.release_waiting(workspace, context);
        }
    }

    fn members(&mut self, view: &MemberView, now: Duration) {
        let live = view.members.iter();
        let live = live.filter(|(_, member)| member.state == NodeState::Live);
        let nodes: Vec<NodeId> = live.map(|(node, _)| *node).collect();
        if nodes == self.nodes {
            return;
        }
        self.former_nodes = std::mem::replace(&mut self.nodes, nodes);
        self.nodes_changed = now;
        let (former, nodes) = (&self.former_nodes, &self.nodes);
        for (workspace, allowance) in &mut self.local {
            if limiter_among(former, *workspace) != limiter_among(nodes, *workspace) {
                allowance.limiter_changed();
            }
        }
    }
}

/// The limiter of a workspace among `nodes`, by rendezvous hashing.
fn limiter_among(nodes: &[NodeId], workspace: WorkspaceId) -> Option<NodeId> {
    let weight = |node: &NodeId| xxh3_64_with_seed(&node.0.to_le_bytes(), workspace.0);
    nodes.iter().copied().max_by_key(weight)
}

fn admit_call(call: WaitingCall, context: &mut Context<'_>) {
    context.raise(Event::CallAdmitted {
        spec: CallSpec {
            time_left: call
                .spec
                .time_left
                .saturating_sub(context.now.saturating_sub(call.since)),
            ..call.spec
        },
        key: call.key,
    });
}

impl Plugin for LimitTable {
    fn handle(&mut self, event: &Event, context: &mut Context<'_>) {
        match event {
            Event::ConfigApplied(config) => self.config = Arc::clone(config),
            Event::MembersChanged(view) => self.members(view, context.now),
            Event::CallArrived { spec, key } => self.arrive(spec, key.as_ref(), context),
            Event::CallCancelled(call) => self.cancelled(*call, context),
            Event::CallFinished(call) => self.finished(*call),
            Event::PeerMessage {
                from,
                message: Message::Limit(message),
            } => match message {
                LimitMessage::Demand {
                    workspace,
                    wanted,
                    held,
                } => self.demand(*from, *workspace, *wanted, *held, context),
                LimitMessage::Grant {
                    workspace,
                    share,
                    length,
                    reclaim,
                } => self.granted(*workspace, *share, *length, *reclaim, context),
            },
            Event::Tick => self.tick(context),
            _ => {}
        }
    }

    fn dump(&self) -> Value {
        let name = |workspace: &WorkspaceId| {
            let spec = self.config.workspaces.get(workspace);
            spec.map_or_else(|| workspace.to_string(), |spec| spec.name.to_string())
        };
        let local: BTreeMap<String, Value> = self
            .local
            .iter()
            .map(|(workspace, allowance)| (name(workspace), allowance.dump()))
            .collect();
        json!({
            "workspaces": local,
            "limits_shared_out": self.ledger.len(),
            "calls_limited": self.limited,
        })
    }

    fn gauges(&self) -> Vec<GaugeSample> {
        vec![GaugeSample {
            name: "calls_limited",
            help: "Calls refused for a workspace's limit since the start",
            kind: "",
            value: self.limited as f64,
        }]
    }
}

fn build(_profile: &NodeProfile) -> Box<dyn Plugin> {
    Box::<LimitTable>::default()
}

inventory::submit! {
    Registration { name: "limits", order: 40, build }
}
