//! The lease on sending orders to engines, and the orders themselves.
//!
//! One node at a time sends orders: the holder of the lease on the log. A node that requests an
//! order forwards it to the holder, or to the node that should claim the lease, and repeats this
//! until it receives the outcome. Identical orders are sent once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::config::Config;
use crate::configuration::duty::rank;
use crate::configuration::reader::backoff;
use crate::event::{Action, Event};
use crate::ids::{NodeId, UpstreamId};
use crate::leases::lease::LeaseState;
use crate::leases::orders::{EndedOrder, OrderOutcome, OrderQueue};
use crate::membership::{MemberView, NodeState};
use crate::plugin::{Context, GaugeSample, NodeProfile, Plugin, Registration};
use crate::record::{AppendOwner, AppendResult, AppendTicket, LeaseRecord, Record};
use crate::wire::Message;

pub mod lease;
pub mod orders;

/// Interval at which a requested order without an outcome is forwarded again.
const FORWARD_INTERVAL: Duration = Duration::from_secs(3);

/// Most orders requested by one node at a time; further ones are dropped.
const MAX_WANTED: usize = 16_384;

/// Seed by which the nodes are ranked as claimants of the lease.
pub const CLAIM_OCCASION: u64 = 0x6c65_6173;

/// Action that an engine is ordered to take.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum EngineOrder {
    /// Load a model's weights.
    #[display("load model {model} version {version}")]
    LoadModel {
        /// Name of the model.
        model: Box<str>,
        /// Version of the model.
        version: Box<str>,
    },
    /// Load an adapter.
    #[display("load adapter {adapter}")]
    LoadAdapter {
        /// Name of the adapter.
        adapter: Box<str>,
    },
    /// Change to another role.
    #[display("change role to {role}")]
    ChangeRole {
        /// Name of the role.
        role: Box<str>,
    },
}

/// An order to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderRequest {
    /// Upstream that receives the order.
    pub upstream: UpstreamId,
    /// Action that the upstream has to take.
    pub order: EngineOrder,
}

/// Messages about orders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderMessage {
    /// To the holder, or the node that should claim the lease: send this order.
    Give(OrderRequest),
    /// To the node that requested it: the outcome of an order.
    Ended {
        /// The order that ended.
        request: OrderRequest,
        /// Outcome of the order, which is final.
        outcome: OrderOutcome,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct WantedOrder {
    forwards: u32,
    forward_at: Duration,
}

/// Claims the lease while there are orders to send, and sends them.
#[derive(Debug, Default)]
pub struct LeaseManager {
    config: Arc<Config>,
    view: Arc<MemberView>,
    lease: LeaseState,
    queue: OrderQueue,
    wanted: BTreeMap<OrderRequest, WantedOrder>,
    tickets: u64,
    failures: u32,
    not_before: Duration,
    leaving: bool,
}

impl LeaseManager {
    /// The node to forward an order to: the holder, or else the claimant of the given rank; `None`
    /// without live nodes.
    fn order_sender(&self, tries: u32, now: Duration) -> Option<NodeId> {
        let live = |node: &NodeId| {
            let member = self.view.members.get(node);
            member.is_some_and(|member| member.state == NodeState::Live)
        };
        if let Some(holder) = self.lease.holder(now).filter(|holder| live(holder)) {
            return Some(holder);
        }
        let mut ranked: Vec<NodeId> = self.view.members.keys().copied().filter(live).collect();
        ranked.sort_by_key(|node| rank(&self.view, *node, CLAIM_OCCASION));
        let wanted = tries as usize % ranked.len().max(1);
        ranked.get(wanted).copied()
    }

    fn forward_wanted(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        let due: Vec<(OrderRequest, u32)> = self
            .wanted
            .iter()
            .filter(|(_, wanted)| now >= wanted.forward_at)
            .map(|(request, wanted)| (request.clone(), wanted.forwards))
            .collect();
        for (request, forwards) in due {
            // Each claimant is tried four times before the next one.
            let Some(order_sender) = self.order_sender(forwards / 4, now) else {
                return;
            };
            let forward_at = now + FORWARD_INTERVAL;
            let forwards = forwards + 1;
            self.wanted.insert(
                request.clone(),
                WantedOrder {
                    forwards,
                    forward_at,
                },
            );
            context.send(order_sender, OrderMessage::Give(request));
        }
    }

    fn message(&mut self, from: NodeId, message: &OrderMessage) {
        match message {
            OrderMessage::Give(request) if !self.leaving => self.queue.add(request, from),
            OrderMessage::Give(_) => {}
            OrderMessage::Ended { request, .. } => {
                self.wanted.remove(request);
            }
        }
    }

    fn report_ended(ended: EndedOrder, context: &mut Context<'_>) {
        for node in ended.requesters {
            let message = OrderMessage::Ended {
                request: ended.request.clone(),
                outcome: ended.outcome,
            };
            context.send(node, message);
        }
    }

    fn append(&mut self, record: LeaseRecord, context: &mut Context<'_>) {
        self.tickets += 1;
        let ticket = AppendTicket::new(AppendOwner::Lease, self.tickets);
        let record = Record::Lease(record);
        context.act(Action::Append { ticket, record });
    }

    fn appended(&mut self, result: AppendResult, context: &mut Context<'_>) {
        if let AppendResult::Appended { .. } = result {
            self.failures = 0;
            return;
        }
        if result == AppendResult::Refused {
            self.lease.claim_rejected();
        }
        self.failures += 1;
        self.not_before = context.now + backoff(self.failures, context.random);
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        self.forward_wanted(context);
        for ended in self.queue.expired(context.now) {
            Self::report_ended(ended, context);
        }
        let (node, incarnation) = (context.profile.node, context.profile.incarnation);
        if self.lease.is_held_by_other(node, incarnation, context.now) {
            // The nodes that requested these orders forward them to the holder.
            self.queue.clear();
        }
        if self.leaving || self.queue.is_empty() {
            return;
        }
        self.claim(context);
        self.send_due(context);
    }

    fn claim(&mut self, context: &mut Context<'_>) {
        if context.now < self.not_before {
            return;
        }
        let (node, incarnation) = (context.profile.node, context.profile.incarnation);
        if let Some(record) = self.lease.claim(node, incarnation, context.now) {
            self.append(record, context);
        }
    }

    /// Sends the orders that are due, if this node has the lease now. The process checks the clock
    /// again before it sends each one.
    fn send_due(&mut self, context: &mut Context<'_>) {
        let Some(held) = self.lease.held(context.now) else {
            return;
        };
        let quiet_until = self.lease.quiet_until();
        for request in self.queue.due(held, quiet_until, &self.config, context.now) {
            context.act(Action::Order {
                request,
                fencing: held.fencing,
                not_after: held.until,
            });
        }
    }

    fn leave(&mut self, context: &mut Context<'_>) {
        self.leaving = true;
        let open = self.queue.has_open();
        self.queue.clear();
        if open {
            // An open order may still be sent until the lease ends, so the lease is left to expire.
            return;
        }
        let (node, incarnation) = (context.profile.node, context.profile.incarnation);
        if let Some(record) = self.lease.release(node, incarnation, context.now) {
            self.append(record, context);
        }
    }

    fn add_wanted(&mut self, request: &OrderRequest) {
        if self.wanted.len() < MAX_WANTED {
            self.wanted.entry(request.clone()).or_default();
        }
    }
}

impl Plugin for LeaseManager {
    fn handle(&mut self, event: &Event, context: &mut Context<'_>) {
        match event {
            Event::ConfigApplied(config) => self.config = Arc::clone(config),
            Event::MembersChanged(view) => self.view = Arc::clone(view),
            Event::LeaseSeen(head) => {
                let profile = context.profile;
                let (node, incarnation) = (profile.node, profile.incarnation);
                self.lease
                    .apply(head, node, incarnation, context.now, context.random);
                self.send_due(context);
            }
            Event::AppendDone { ticket, result } if ticket.belongs_to(AppendOwner::Lease) => {
                self.appended(*result, context);
            }
            Event::OrderRequested(request) => self.add_wanted(request),
            Event::OrderAnswered {
                upstream,
                fencing,
                accepted,
            } => {
                let ended = self
                    .queue
                    .answered(*upstream, *fencing, *accepted, context.now);
                if let Some(ended) = ended {
                    Self::report_ended(ended, context);
                }
            }
            Event::PeerMessage {
                from,
                message: Message::Order(message),
            } => self.message(*from, message),
            Event::NodeLeaving => self.leave(context),
            Event::Tick => self.tick(context),
            _ => {}
        }
    }

    fn dump(&self) -> Value {
        let outcomes: Vec<Value> = self
            .queue
            .outcomes()
            .map(|(request, outcome)| {
                let upstream = self.config.upstreams.get(&request.upstream);
                let name = upstream.map_or_else(
                    || request.upstream.to_string(),
                    |upstream| upstream.spec.name.to_string(),
                );
                json!({ "upstream": name, "order": request.order.to_string(), "outcome": outcome })
            })
            .collect();
        json!({
            "lease": self.lease.dump(),
            "waiting": self.queue.len(),
            "wanted": self.wanted.len(),
            "outcomes": outcomes,
        })
    }

    fn gauges(&self) -> Vec<GaugeSample> {
        vec![GaugeSample {
            name: "orders_waiting",
            help: "Orders to engines that wait here or are unanswered",
            kind: "",
            value: self.queue.len() as f64,
        }]
    }
}

fn build(_profile: &NodeProfile) -> Box<dyn Plugin> {
    Box::<LeaseManager>::default()
}

inventory::submit! {
    Registration { name: "leases", order: 40, build }
}
