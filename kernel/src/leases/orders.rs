//! Orders that wait, or were given and not answered.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::ids::{NodeId, UpstreamId};
use crate::leases::lease::{HeldLease, ORDER_TIMEOUT};
use crate::leases::{EngineOrder, OrderRequest};

/// Orders held at a time; more are refused.
const MAX_ORDERS: usize = 16_384;

/// Tries of one order.
const MAX_TRIES: u32 = 5;

/// Time until a refused or unanswered order is given again, times the tries so far.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Orders to load something that may be unanswered at a time.
const OPEN_LOADS: usize = 4;

/// Least time between two orders to load something: the weight store limits its rate.
const LOAD_EVERY: Duration = Duration::from_millis(500);

/// Time to the end of the lease below which no order is begun.
const SEND_MARGIN: Duration = Duration::from_millis(200);

/// Outcomes that the state dump shows.
const SHOWN_OUTCOMES: usize = 32;

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The upstream carries it out.
    Accepted,
    /// The upstream refused it, or did not answer, each time.
    GivenUp,
}

#[derive(Clone, Debug, Default)]
struct OrderState {
    requesters: BTreeSet<NodeId>,
    tries: u32,
    next_try: Duration,
    sent: Option<u64>,
}

/// An order that is over, and the nodes that wanted it.
#[derive(Clone, Debug)]
pub struct EndedOrder {
    /// The order.
    pub request: OrderRequest,
    /// How it ended.
    pub outcome: OrderOutcome,
    /// The nodes.
    pub requesters: BTreeSet<NodeId>,
}

/// Orders by what they say, so that one that is asked for twice is given once.
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
    /// Takes an order that a node wants.
    pub fn add(&mut self, request: &OrderRequest, requester: NodeId) {
        if self.orders.len() >= MAX_ORDERS && !self.orders.contains_key(request) {
            return;
        }
        let state = self.orders.entry(request.clone()).or_default();
        state.requesters.insert(requester);
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// Orders that wait or are unanswered.
    pub fn len(&self) -> usize {
        self.orders.len()
    }

    /// Whether an order was given and not answered.
    pub fn has_open(&self) -> bool {
        self.orders.values().any(|state| state.sent.is_some())
    }

    /// The orders that ended last, oldest first.
    pub fn outcomes(&self) -> impl Iterator<Item = &(OrderRequest, OrderOutcome)> {
        self.outcomes.iter()
    }

    /// Forgets every order: this node is not the one to give them.
    pub fn clear(&mut self) {
        self.orders.clear();
    }

    /// The orders to give now, under the lease held. One at a time to each upstream.
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
        let waiting = |state: &OrderState| state.sent.is_some() && now < state.next_try;
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
            let paced = load && (loads >= OPEN_LOADS || now < self.next_load);
            let checks = config
                .upstreams
                .get(&request.upstream)
                .is_some_and(|upstream| upstream.spec.checks_fencing);
            let quiet = !checks && now < quiet_until;
            if now < state.next_try || state.tries >= MAX_TRIES || paced || quiet {
                continue;
            }
            if !busy.insert(request.upstream) {
                continue;
            }
            state.tries += 1;
            state.sent = Some(lease.fencing);
            state.next_try = now + ORDER_TIMEOUT + RETRY_DELAY * state.tries;
            if load {
                loads += 1;
                self.next_load = now + LOAD_EVERY;
            }
            due.push(request.clone());
        }
        due
    }

    /// An upstream answered an order.
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
        if !accepted && state.tries < MAX_TRIES {
            state.sent = None;
            state.next_try = now + RETRY_DELAY * state.tries;
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

    /// The orders that were tried often enough without an answer.
    pub fn expired(&mut self, now: Duration) -> Vec<EndedOrder> {
        let expired: Vec<OrderRequest> = self
            .orders
            .iter()
            .filter(|(_, state)| state.tries >= MAX_TRIES && now >= state.next_try)
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
        if self.outcomes.len() > SHOWN_OUTCOMES {
            self.outcomes.pop_front();
        }
        Some(EndedOrder {
            request: request.clone(),
            outcome,
            requesters: state.requesters,
        })
    }
}
