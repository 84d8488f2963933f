//! The plug-in that moves engines between pools: while one pool's demand stays high and another's
//! stays low, an engine that may serve both is ordered to load the first pool's model and then
//! serves that pool.
//!
//! Demand is computed from the queue summaries in the owners' responses. Hysteresis prevents
//! flapping: demand must stay high or low for a minimum time, one engine moves at a time, and an
//! engine stays in its pool for a minimum time. The move itself is a document on the log, so that
//! all nodes route alike.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::call::LoadSummary;
use crate::config::{Config, Document, PlacementSpec, Upstream};
use crate::configuration::duty::rank;
use crate::configuration::publish::RequestTicket;
use crate::event::Event;
use crate::ids::{CallId, NodeId, PoolId, UpstreamId};
use crate::leases::orders::OrderOutcome;
use crate::leases::{CLAIM_OCCASION, EngineOrder, OrderMessage, OrderRequest};
use crate::membership::MemberView;
use crate::plugin::{Context, NodeProfile, Plugin, Registration};
use crate::record::{ChangeRecord, DocumentChange};
use crate::wire::{Message, WorkMessage};

/// A pool's demand is high from this ratio of running and queued work to slots.
const HIGH_PRESSURE: f64 = 1.2;

/// A pool's demand is low up to this ratio of running and queued work to slots.
const LOW_PRESSURE: f64 = 0.5;

/// Time for which a pool's demand must stay high before an engine moves to it.
const MIN_HIGH_TIME: Duration = Duration::from_mins(1);

/// Time for which a pool's demand must stay low before an engine moves away from it.
const MIN_LOW_TIME: Duration = Duration::from_mins(2);

/// Minimum time between two moves of one engine.
const MOVE_COOLDOWN: Duration = Duration::from_mins(10);

/// Time after which a move without a result is abandoned.
const MOVE_TIMEOUT: Duration = Duration::from_mins(5);

/// Age at which a queue summary expires.
const LOAD_TTL: Duration = Duration::from_secs(10);

/// Time between two evaluations of demand.
const EVALUATION_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of open calls whose pool is retained.
const MAX_OPEN_CALLS: usize = 65_536;

/// Version in the load order: the newest in the weight store.
const NEWEST_VERSION: &str = "newest";

/// How long a pool's demand has been high or low.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolDemand {
    /// Kernel time since which demand has been high; `None` if it is not high.
    pub high_since: Option<Duration>,
    /// Kernel time since which demand has been low; `None` if it is not low.
    pub low_since: Option<Duration>,
}

impl PoolDemand {
    /// Records the current ratio of running and queued work to slots.
    pub fn update(&mut self, pressure: f64, now: Duration) {
        self.high_since = (pressure >= HIGH_PRESSURE).then(|| self.high_since.unwrap_or(now));
        self.low_since = (pressure <= LOW_PRESSURE).then(|| self.low_since.unwrap_or(now));
    }

    fn is_high(&self, now: Duration) -> bool {
        self.high_since
            .is_some_and(|since| now.saturating_sub(since) >= MIN_HIGH_TIME)
    }

    fn is_low(&self, now: Duration) -> bool {
        self.low_since
            .is_some_and(|since| now.saturating_sub(since) >= MIN_LOW_TIME)
    }
}

/// The move of an engine to another pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementMove {
    /// The engine that moves.
    pub upstream: UpstreamId,
    /// Name of the pool that it moves to.
    pub to: Box<str>,
}

/// Selects the move to start now; `None` if there is none. Never takes the last engine of a pool.
pub fn decide(
    config: &Config,
    demand: &BTreeMap<PoolId, PoolDemand>,
    moved_at: &BTreeMap<UpstreamId, Duration>,
    now: Duration,
) -> Option<PlacementMove> {
    let has_cooled_down = |id: &UpstreamId| {
        moved_at
            .get(id)
            .is_none_or(|since| now.saturating_sub(*since) >= MOVE_COOLDOWN)
    };
    let may_leave = |upstream: &Upstream| {
        let low = demand
            .get(&upstream.pool)
            .is_some_and(|demand| demand.is_low(now));
        low && config
            .members
            .get(&upstream.pool)
            .is_some_and(|all| all.len() > 1)
    };
    let target_pool = |upstream: &Upstream| {
        let spec = &upstream.spec;
        let mut pools = std::iter::once(&spec.pool).chain(&spec.also);
        pools
            .find(|name| {
                let pool = PoolId::named(name);
                let high = demand.get(&pool).is_some_and(|demand| demand.is_high(now));
                high && pool != upstream.pool
            })
            .cloned()
    };
    config
        .upstreams
        .iter()
        .filter(|(id, upstream)| {
            !upstream.spec.also.is_empty() && has_cooled_down(id) && may_leave(upstream)
        })
        .find_map(|(id, upstream)| {
            Some(PlacementMove {
                upstream: *id,
                to: target_pool(upstream)?,
            })
        })
}

/// Monitors the demand of all pools and moves one engine at a time.
#[derive(Debug, Default)]
pub struct EnginePlacer {
    config: Arc<Config>,
    view: Arc<MemberView>,
    calls: BTreeMap<CallId, PoolId>,
    loads: BTreeMap<(PoolId, NodeId), (LoadSummary, Duration)>,
    demand: BTreeMap<PoolId, PoolDemand>,
    moved_at: BTreeMap<UpstreamId, Duration>,
    moving: Option<(PlacementMove, Duration)>,
    evaluate_at: Duration,
    published: u64,
}

impl EnginePlacer {
    fn set_load(&mut self, pool: PoolId, from: NodeId, load: LoadSummary, now: Duration) {
        self.loads.insert((pool, from), (load, now));
    }

    fn pressure(&self, pool: PoolId) -> f64 {
        let loads = self
            .loads
            .range((pool, NodeId(0))..=(pool, NodeId(u64::MAX)));
        let (mut work, mut slots) = (0, 0);
        for (_, (load, _)) in loads {
            work += load.running + load.waiting.iter().sum::<u32>();
            slots += load.slots;
        }
        f64::from(work) / f64::from(slots.max(1))
    }

    fn evaluate_demand(&mut self, now: Duration) {
        self.loads
            .retain(|_, (_, seen)| now.saturating_sub(*seen) < LOAD_TTL);
        let pools: Vec<PoolId> = self.config.pools.keys().copied().collect();
        self.demand.retain(|pool, _| pools.contains(pool));
        for pool in pools {
            let pressure = self.pressure(pool);
            self.demand.entry(pool).or_default().update(pressure, now);
        }
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        if now < self.evaluate_at {
            return;
        }
        self.evaluate_at = now + EVALUATION_PERIOD;
        self.evaluate_demand(now);
        let timed_out =
            |(_, since): &(PlacementMove, Duration)| now.saturating_sub(*since) > MOVE_TIMEOUT;
        if self.moving.as_ref().is_some_and(timed_out) {
            self.moving = None;
        }
        let is_first = rank(&self.view, context.profile.node, CLAIM_OCCASION) == 0;
        if !is_first || self.moving.is_some() {
            return;
        }
        let Some(chosen) = decide(&self.config, &self.demand, &self.moved_at, now) else {
            return;
        };
        context.raise(Event::OrderRequested(order_for(&chosen)));
        self.moved_at.insert(chosen.upstream, now);
        self.moving = Some((chosen, now));
    }

    fn finish_move(
        &mut self,
        request: &OrderRequest,
        outcome: OrderOutcome,
        context: &mut Context<'_>,
    ) {
        let Some((chosen, _)) = self
            .moving
            .take_if(|(chosen, _)| order_for(chosen) == *request)
        else {
            return;
        };
        let Some(upstream) = self.config.upstreams.get(&chosen.upstream) else {
            return;
        };
        if outcome == OrderOutcome::Accepted {
            self.published += 1;
            let placement = PlacementSpec {
                upstream: upstream.spec.name.clone(),
                pool: chosen.to,
            };
            let placed = self.config.placements.get(&chosen.upstream);
            let replaces = placed.map_or(0, |placed| placed.version);
            let profile = context.profile;
            let (node, run, number) = (profile.node, profile.incarnation, self.published);
            let record = ChangeRecord {
                id: format!("placement-{node}-{run}-{number}").into(),
                changes: vec![DocumentChange::set(
                    Document::Placement(placement),
                    replaces,
                )],
            };
            let request = RequestTicket(u64::MAX - number);
            context.raise(Event::PublishRequested { request, record });
        }
    }
}

fn order_for(chosen: &PlacementMove) -> OrderRequest {
    OrderRequest {
        upstream: chosen.upstream,
        order: EngineOrder::LoadModel {
            model: chosen.to.clone(),
            version: NEWEST_VERSION.into(),
        },
    }
}

impl Plugin for EnginePlacer {
    fn handle(&mut self, event: &Event, context: &mut Context<'_>) {
        match event {
            Event::ConfigApplied(config) => self.config = Arc::clone(config),
            Event::MembersChanged(view) => self.view = Arc::clone(view),
            Event::CallAdmitted { spec, .. } => {
                self.calls.insert(spec.call, spec.pool);
                if self.calls.len() > MAX_OPEN_CALLS {
                    self.calls.pop_first();
                }
            }
            Event::CallFinished(call) => {
                self.calls.remove(call);
            }
            Event::PeerMessage {
                from,
                message: Message::Work(message),
            } => match message {
                WorkMessage::Ended { attempt, load, .. }
                | WorkMessage::Returned { attempt, load, .. } => {
                    if let Some(pool) = self.calls.get(&attempt.call).copied() {
                        self.set_load(pool, *from, *load, context.now);
                    }
                }
                WorkMessage::Load { pool, load } => self.set_load(*pool, *from, *load, context.now),
                _ => {}
            },
            Event::PeerMessage {
                message: Message::Order(OrderMessage::Ended { request, outcome }),
                ..
            } => self.finish_move(request, *outcome, context),
            Event::Tick => self.tick(context),
            _ => {}
        }
    }

    fn dump(&self) -> Value {
        let pools: BTreeMap<String, Value> = self
            .config
            .pools
            .iter()
            .map(|(id, pool)| {
                let demand = self.demand.get(id).copied().unwrap_or_default();
                let section = json!({
                    "pressure": self.pressure(*id),
                    "high_since": demand.high_since,
                    "low_since": demand.low_since,
                });
                (pool.name.to_string(), section)
            })
            .collect();
        let moving = self.moving.as_ref().map(|(chosen, _)| &chosen.to);
        json!({ "pools": pools, "moving_to": moving })
    }
}

fn build(_profile: &NodeProfile) -> Box<dyn Plugin> {
    Box::<EnginePlacer>::default()
}

inventory::submit! {
    Registration { name: "placement", order: 42, build }
}
