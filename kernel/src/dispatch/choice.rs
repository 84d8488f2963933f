//! Upstream selection: the least loaded one, weighted by speed, with a bonus for a cached prefix.

use std::collections::BTreeMap;

use crate::call::CallSpec;
use crate::dispatch::engine::EngineState;
use crate::ids::UpstreamId;

/// Fraction of an upstream's slots by which a cached prefix lowers its score.
const CACHE_BONUS: f64 = 0.15;

/// Fraction of slots added to every load, so that an idle slow upstream still scores worse than an
/// idle fast one.
const BASE_LOAD: f64 = 0.25;

/// Median speed of the pool's owned upstreams, in seconds per token, or `None` without samples.
pub fn median_speed(engines: &BTreeMap<UpstreamId, EngineState>) -> Option<f64> {
    let mut speeds: Vec<f64> = engines
        .values()
        .filter(|engine| engine.owned)
        .filter_map(|engine| engine.speed.get())
        .collect();
    speeds.sort_by(f64::total_cmp);
    speeds.get(speeds.len().saturating_sub(1) / 2).copied()
}

/// The best-scoring upstream with a free slot for the call, or `None` if all slots are in use.
pub fn choose(
    engines: &BTreeMap<UpstreamId, EngineState>,
    median: Option<f64>,
    spec: &CallSpec,
) -> Option<UpstreamId> {
    let mut best: Option<(f64, UpstreamId)> = None;
    for (upstream, engine) in engines {
        if engine.free() == 0 {
            continue;
        }
        let score = score(engine, median, spec);
        if best.is_none_or(|(least, _)| score < least) {
            best = Some((score, *upstream));
        }
    }
    best.map(|(_, upstream)| upstream)
}

fn score(engine: &EngineState, median: Option<f64>, spec: &CallSpec) -> f64 {
    let used = engine.in_flight + engine.foreign;
    let load = f64::from(used) / f64::from(engine.slots.max(1));
    let slowness = match (engine.speed.get(), median) {
        (Some(speed), Some(median)) if median > 0.0 => speed / median,
        _ => 1.0,
    };
    let cached = spec.prefix != 0 && engine.prefixes.contains(spec.prefix);
    let bonus = if cached { CACHE_BONUS } else { 0.0 };
    (load + BASE_LOAD) * slowness - bonus
}
