//! The dispatcher's section of the state dump, and its metrics.

use serde_json::{Map, Value, json};

use crate::dispatch::WorkDispatcher;
use crate::dispatch::engine::EngineState;
use crate::dispatch::health::HealthState;
use crate::dispatch::pool::PoolState;
use crate::plugin::GaugeSample;

/// Number of decisions since the process started.
#[derive(Clone, Copy, Debug, Default)]
pub struct DispatchCounts {
    /// Runs that were started on an upstream, including those of requeued work.
    pub started: u64,
    /// Runs stopped for work of a higher tier.
    pub preempted: u64,
    /// Runs stopped to move them off a slow or failing upstream.
    pub moved: u64,
    /// Calls rejected because they could not start before their deadline.
    pub refused_deadline: u64,
    /// Calls rejected because the queue was too long.
    pub refused_overloaded: u64,
}

fn health_name(state: HealthState) -> &'static str {
    match state {
        HealthState::Unproven { .. } => "unproven",
        HealthState::Healthy => "healthy",
        HealthState::Ejected { .. } => "ejected",
        HealthState::Probing { .. } => "probing",
    }
}

fn engine_value(engine: &EngineState) -> Value {
    json!({
        "slots": engine.slots,
        "in_flight": engine.in_flight,
        "owned": engine.owned,
        "leaving": engine.leaving,
        "health": health_name(engine.health.state),
        "seconds_per_token": engine.speed.get(),
    })
}

fn pool_value(pool: &PoolState, name: impl Fn(crate::ids::UpstreamId) -> String) -> Value {
    let tiers: Map<String, Value> = pool
        .tiers
        .iter()
        .map(|(tier, state)| {
            let value = json!({
                "waiting": state.queue.len(),
                "waiting_cost": state.queue.cost(),
                "running": state.running,
                "stopping": state.stopping,
                "floor": state.floor.share,
            });
            (tier.to_string(), value)
        })
        .collect();
    let upstreams: Map<String, Value> = pool
        .engines
        .iter()
        .map(|(upstream, engine)| (name(*upstream), engine_value(engine)))
        .collect();
    json!({
        "tiers": tiers,
        "upstreams": upstreams,
        "slot_hold_seconds": pool.timing.run_time.get(),
    })
}

impl WorkDispatcher {
    /// Number of queued calls and number of running calls.
    pub fn call_counts(&self) -> (usize, usize) {
        let running = self.arena.iter().filter(|(_, item)| item.run.is_some());
        let running = running.count();
        (self.arena.len() - running, running)
    }

    pub(super) fn state(&self) -> Value {
        let name = |upstream| {
            self.config
                .upstreams
                .get(&upstream)
                .map_or_else(|| upstream.to_string(), |found| found.spec.name.to_string())
        };
        let pools: Map<String, Value> = self
            .pools
            .iter()
            .map(|(pool, state)| {
                let spec = self.config.pools.get(pool);
                let pool = spec.map_or_else(|| pool.to_string(), |spec| spec.name.to_string());
                (pool, pool_value(state, name))
            })
            .collect();
        let (queued, running) = self.call_counts();
        json!({
            "queued": queued,
            "running": running,
            "attempts_remembered": self.finished.len(),
            "leaving": self.leaving,
            "started": self.counts.started,
            "preempted": self.counts.preempted,
            "moved": self.counts.moved,
            "refused_deadline": self.counts.refused_deadline,
            "refused_overloaded": self.counts.refused_overloaded,
            "pools": pools,
        })
    }

    pub(super) fn samples(&self) -> Vec<GaugeSample> {
        let mut waiting = [0_usize; 3];
        let mut running = [0_u32; 3];
        let mut healthy = 0;
        let mut unfit = 0;
        for pool in self.pools.values() {
            for (tier, state) in &pool.tiers {
                let index = usize::from(tier.0.min(2));
                waiting[index] += state.queue.len();
                running[index] += state.running;
            }
            let fit = |engine: &&EngineState| engine.health.in_service();
            healthy += pool.engines.values().filter(fit).count();
            unfit += pool.engines.values().filter(|e| !fit(e)).count();
        }
        let mut samples = Vec::new();
        let mut add = |name, help, kind, value| {
            samples.push(GaugeSample {
                name,
                help,
                kind,
                value,
            });
        };
        for (index, kind) in ["0", "1", "2"].into_iter().enumerate() {
            add(
                "calls_waiting",
                "Calls waiting, by tier",
                kind,
                waiting[index] as f64,
            );
            add(
                "calls_running",
                "Calls in service, by tier",
                kind,
                f64::from(running[index]),
            );
        }
        add(
            "upstreams_owned",
            "Upstreams owned",
            "in_service",
            healthy as f64,
        );
        add(
            "upstreams_owned",
            "Upstreams owned",
            "ejected",
            unfit as f64,
        );
        let counts = &self.counts;
        let decided = [
            ("started", counts.started),
            ("preempted", counts.preempted),
            ("moved", counts.moved),
            ("refused_deadline", counts.refused_deadline),
            ("refused_overloaded", counts.refused_overloaded),
        ];
        for (kind, value) in decided {
            add(
                "dispatch_decisions",
                "Decisions since the start",
                kind,
                value as f64,
            );
        }
        samples
    }
}
