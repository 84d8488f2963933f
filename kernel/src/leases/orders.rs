//! Orders that are queued, or were sent and not answered.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::ids::{NodeId, UpstreamId};
use crate::leases::lease::{HeldLease, ORDER_TIMEOUT};
use crate::leases::{EngineOrder, OrderRequest};

/// Most orders queued at a time; further ones are dropped.
const MAX_ORDERS: usize = 16_384;

/// Attempts to send one order.
const MAX_ATTEMPTS: u32 = 5;

/// Delay before a rejected or unanswered order is sent again, per attempt so far.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Most load orders that may be unanswered at a time.
const MAX_OPEN_LOADS: usize = 4;

/// Shortest time between two load orders: the weight store limits its rate.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest remaining lease time in which an order is sent.
const SEND_MARGIN: Duration = Duration::from_millis(200);

/// Outcomes that are retained for the state dump.
const MAX_OUTCOMES: usize = 32;

/// Final outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The upstream accepted it.
    Accepted,
    /// The upstream rejected it, or did not answer, at every attempt.
    GivenUp,
}

#[derive(Clone, Debug, Default)]
struct OrderState {
    requesters: BTreeSet<NodeId>,
    attempts: u32,
    next_attempt: Duration,
    sent: Option<u64>,
}

/// An order that has ended, and the nodes that requested it.
#[derive(Clone, Debug)]
pub struct EndedOrder {
    /// Upstream and action of the order.
    pub request: OrderRequest,
    /// Final outcome of the order.
    pub outcome: OrderOutcome,
    /// Nodes to be sent the outcome.
    pub requesters: BTreeSet<NodeId>,
}

/// Queued orders by their content, so that one that is requested twice is sent once.
#[derive(Clone, Debug, Default)]
pub struct OrderQueue {
    orders: BTreeMap<OrderRequest, OrderState>,
    next_load: Duration,
    outcomes: VecDeque<(OrderRequest, OrderOutcome)>,
}

fn is_load(order: &EngineOrder) -> bool {
    !matches!(order, EngineOrder::ChangeRole { .. })
}

impl OrderQueue {
    /// Adds an order that a node requests; drops it if the queue is full.
    pub fn add(&mut self, request: &OrderRequest, requester: NodeId) {
        if self.orders.len() >= MAX_ORDERS && !self.orders.contains_key(request) {
            return;
        }
        let state = self.orders.entry(request.clone()).or_default();
        state.requesters.insert(requester);
    }

    /// Whether no order is queued or unanswered.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Number of orders that are queued or unanswered.
    pub fn len(&self) -> usize {
        self.orders.len()
    }

    /// Whether an order was sent and not answered.
    pub fn has_open(&self) -> bool {
        self.orders.values().any(|state| state.sent.is_some())
    }

    /// The newest outcomes, oldest first.
    pub fn outcomes(&self) -> impl Iterator<Item = &(OrderRequest, OrderOutcome)> {
        self.outcomes.iter()
    }

    /// Removes every order, when this node is not the one to send them.
    pub fn clear(&mut self) {
        self.orders.clear();
    }

    /// The orders to send now under this lease, at most one at a time to each upstream.
    pub fn due(
        &mut self,
        lease: HeldLease,
        quiet_until: Duration,
        config: &Config,
        now: Duration,
    ) -> Vec<OrderRequest> {
        if now + SEND_MARGIN >= lease.until {
            return Vec::new();
        }
        let waiting = |state: &OrderState| state.sent.is_some() && now < state.next_attempt;
        let open: Vec<&OrderRequest> = self
            .orders
            .iter()
            .filter(|(_, state)| waiting(state))
            .map(|(request, _)| request)
            .collect();
        let mut busy: BTreeSet<UpstreamId> = open.iter().map(|request| request.upstream).collect();
        let mut loads = open
            .iter()
            .filter(|request| is_load(&request.order))
            .count();
        let mut due = Vec::new();
        for (request, state) in &mut self.orders {
            let load = is_load(&request.order);
            let paced = load && (loads >= MAX_OPEN_LOADS || now < self.next_load);
            let checks = config
                .upstreams
                .get(&request.upstream)
                .is_some_and(|upstream| upstream.spec.checks_fencing);
            let settling = !checks && now < quiet_until;
            if now < state.next_attempt || state.attempts >= MAX_ATTEMPTS || paced || settling {
                continue;
            }
            if !busy.insert(request.upstream) {
                continue;
            }
            state.attempts += 1;
            state.sent = Some(lease.fencing);
            state.next_attempt = now + ORDER_TIMEOUT + RETRY_DELAY * state.attempts;
            if load {
                loads += 1;
                self.next_load = now + MIN_LOAD_INTERVAL;
            }
            due.push(request.clone());
        }
        due
    }

    /// Applies an upstream's answer to an order. Returns the order if it has ended.
    pub fn answered(
        &mut self,
        upstream: UpstreamId,
        fencing: u64,
        accepted: bool,
        now: Duration,
    ) -> Option<EndedOrder> {
        let (request, state) = self
            .orders
            .iter_mut()
            .find(|(request, state)| request.upstream == upstream && state.sent == Some(fencing))?;
        if !accepted && state.attempts < MAX_ATTEMPTS {
            state.sent = None;
            state.next_attempt = now + RETRY_DELAY * state.attempts;
            return None;
        }
        let outcome = if accepted {
            OrderOutcome::Accepted
        } else {
            OrderOutcome::GivenUp
        };
        let request = request.clone();
        self.end(&request, outcome)
    }

    /// Ends the orders that remain unanswered after their last attempt, and returns them.
    pub fn expired(&mut self, now: Duration) -> Vec<EndedOrder> {
        let expired: Vec<OrderRequest> = self
            .orders
            .iter()
            .filter(|(_, state)| state.attempts >= MAX_ATTEMPTS && now >= state.next_attempt)
            .map(|(request, _)| request.clone())
            .collect();
        expired
            .iter()
            .filter_map(|request| self.end(request, OrderOutcome::GivenUp))
            .collect()
    }

    fn end(&mut self, request: &OrderRequest, outcome: OrderOutcome) -> Option<EndedOrder> {
        let state = self.orders.remove(request)?;
        self.outcomes.push_back((request.clone(), outcome));
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        Some(EndedOrder {
            request: request.clone(),
            outcome,
            requesters: state.requesters,
        })
    }
}
