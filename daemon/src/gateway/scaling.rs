//! Orders engines from the platform, as a duty of the node that holds the lease.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use monsoonbank_kernel::gateway::forecast::DemandForecast;
use monsoonbank_kernel::gateway::rules::PoolSpec;
use monsoonbank_kernel::gateway::scaling::{
    EngineKind, EngineOrder, OrderOutcome, PoolLoad, PoolScaling, ZoneEngines,
};
use monsoonbank_platform::duties::{DutyClient, DutyError, ScaleCall};

use crate::gateway::Gateway;
use crate::gateway::decisions::StoreDecision;
use crate::gateway::duties::DutyState;
use crate::gateway::reports::{CALL_TIMEOUT, begin_call};
use crate::gateway::settings::{DutyName, DutySettings};

/// Interval at which a holder checks what is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between measurements of a pool's load.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of checks at a node that does not hold the duties.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Starts to order engines, if the settings list this duty.
pub fn start(gateway: &Rc<Gateway>) {
    let is_wanted = |duties: &DutyState| duties.has(DutyName::Autoscale);
    if gateway.duties.as_ref().is_some_and(is_wanted) {
        tokio::task::spawn_local(order(gateway.clone()));
    }
}

/// State of a holder's orders, by pool.
type PoolScalings = BTreeMap<Box<str>, PoolScaling>;

/// What a node observes of a pool, whether or not it holds the duties: the next holder continues
/// with what it saw itself.
#[derive(Debug, Default)]
struct PoolWatch {
    meter: LoadMeter,
    forecast: DemandForecast,
}

impl PoolWatch {
    /// Load of the pool, if it was measured now.
    fn observe(&mut self, gateway: &Gateway, pool: &str) -> Option<PoolLoad> {
        let load = self.meter.measure(gateway, pool)?;
        self.forecast
            .record(load.needed_after_loss(), gateway.now());
        Some(load)
    }
}

/// Measures the load of a pool between two points in time.
#[derive(Debug, Default)]
struct LoadMeter {
    taken: u64,
    at: Duration,
}

impl LoadMeter {
    fn measure(&mut self, gateway: &Gateway, pool: &str) -> Option<PoolLoad> {
        let now = gateway.now();
        let passed = now.saturating_sub(self.at);
        if passed < MEASURE_INTERVAL {
            return None;
        }
        let registry = gateway.registry.borrow();
        let mut load = PoolLoad::default();
        let mut taken = 0;
        for (_, upstream) in registry.iter() {
            if &*upstream.entry.pool == pool {
                load.calls += upstream.load.total(now).calls;
                load.slots = load.slots.max(upstream.entry.slots);
                taken += upstream.load.cache.total_tokens();
            }
        }
        load.tokens_per_s = taken.saturating_sub(self.taken) as f64 / passed.as_secs_f64();
        self.taken = taken;
        let is_first = std::mem::replace(&mut self.at, now).is_zero();
        (!is_first).then_some(load)
    }
}

async fn order(gateway: Rc<Gateway>) {
    let Some(duties) = &gateway.duties else {
        return;
    };
    let mut client = DutyClient::new(duties.settings.address);
    let mut scalings = PoolScalings::new();
    let mut watches: BTreeMap<Box<str>, PoolWatch> = BTreeMap::new();
    loop {
        let is_holder = duties.token().is_some();
        if !is_holder {
            // The orders of the next holder are not visible to this node.
            scalings.clear();
        }
        let pools = gateway.rules();
        for pool in pools.iter().flat_map(|rules| rules.pools()) {
            let Some(spec) = &pool.scaling else {
                continue;
            };
            let by_forecast = is_forecast(&duties.settings, pool);
            if !is_holder && !by_forecast {
                watches.remove(&pool.name);
                continue;
            }
            let watch = watches.entry(pool.name.clone()).or_default();
            let load = watch.observe(&gateway, &pool.name);
            if !is_holder {
                continue;
            }
            let scaling = scalings.entry(pool.name.clone()).or_insert_with(|| {
                let total = duties.lease.borrow().engines().get(&pool.name).copied();
                let total = total.unwrap_or(0);
                if by_forecast {
                    let forecast = watch.forecast.clone();
                    PoolScaling::resume_ahead(total, forecast, spec, gateway.now())
                } else {
                    PoolScaling::resume(total)
                }
            });
            if let Some(load) = load {
                scaling.record_load(load, gateway.now());
                let total = scaling.decided(spec, gateway.now());
                duties.lease.borrow_mut().decide_engines(&pool.name, total);
                let engines = zone_engines(&gateway, &pool.name);
                gateway.decisions.record(StoreDecision::PoolBusy {
                    pool: &pool.name,
                    engines: engines.values().map(|engines| engines.total()).sum(),
                    calls: load.calls,
                    tokens_per_s: load.tokens_per_s as u64,
                    needed: total,
                });
            }
            order_next(&gateway, duties, &mut client, pool, scaling).await;
        }
        let interval = if is_holder {
            CHECK_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        tokio::time::sleep(interval).await;
    }
}

/// Whether a pool is sized by a forecast of its demand.
fn is_forecast(settings: &DutySettings, pool: &PoolSpec) -> bool {
    settings.forecast && pool.engine.is_some_and(|engine| engine.is_slot_bound())
}

/// Sends the pool's next order, if one is due.
async fn order_next(
    gateway: &Gateway,
    duties: &DutyState,
    client: &mut DutyClient,
    pool: &PoolSpec,
    scaling: &mut PoolScaling,
) {
    let Some(spec) = &pool.scaling else {
        return;
    };
    let zones = zone_engines(gateway, &pool.name);
    let Some(order) = scaling.next_order(spec, &zones, gateway.now()) else {
        return;
    };
    let Some((credentials, connected)) = begin_call(gateway, duties, client).await else {
        return;
    };
    let call = ScaleCall {
        pool: &pool.name,
        zone: &order.zone,
        desired: order.desired,
        spot: order.kind == EngineKind::Spot,
    };
    let given = match connected {
        Ok(()) => client.order(credentials, &call, CALL_TIMEOUT).await,
        Err(error) => Err(error),
    };
    let outcome = match &given {
        Ok(()) => OrderOutcome::Accepted,
        Err(error) if error.is_conflict() => OrderOutcome::Unavailable,
        Err(_) => OrderOutcome::Unanswered,
    };
    let present = zones.get(&order.zone).copied().unwrap_or_default();
    if outcome == OrderOutcome::Unavailable {
        // The platform also answers with this status if another holder has a newer token.
        duties.lease.borrow_mut().require_read();
    }
    record_order(
        gateway,
        pool,
        &order,
        present,
        credentials.token,
        given.err(),
    );
    scaling.record_order(order, outcome, gateway.now());
}

fn record_order(
    gateway: &Gateway,
    pool: &PoolSpec,
    order: &EngineOrder,
    present: ZoneEngines,
    token: u64,
    error: Option<DutyError>,
) {
    let reason = error.map(|error| error.to_string());
    gateway.decisions.record(StoreDecision::EnginesOrdered {
        pool: &pool.name,
        zone: &order.zone,
        kind: &order.kind.to_string(),
        desired: order.desired,
        present: present.total(),
        token,
        outcome: if reason.is_some() {
            "failed"
        } else {
            "accepted"
        },
        reason: reason.as_deref(),
    });
}

/// Counts the engines of a pool that accept calls, in each availability zone in which it ever ran.
fn zone_engines(gateway: &Gateway, pool: &str) -> BTreeMap<Box<str>, ZoneEngines> {
    let registry = gateway.registry.borrow();
    let mut zones: BTreeMap<Box<str>, ZoneEngines> = BTreeMap::new();
    for upstream in registry
        .newest()
        .filter(|upstream| &*upstream.entry.pool == pool)
    {
        let engines = zones.entry(upstream.entry.zone.clone()).or_default();
        match (upstream.left.is_some(), upstream.entry.spot) {
            (true, _) => {}
            (false, true) => engines.spot += 1,
            (false, false) => engines.firm += 1,
        }
    }
    zones
}
