//! Generates the calls of a scenario from a seed.

use std::time::Duration;

use monsoonbank_kernel::call::Tier;
use monsoonbank_kernel::ids::WorkspaceId;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::bench::scenario::{LengthShape, ScenarioFile, TrafficShape};

/// A call that arrives during the run.
#[derive(Clone, Copy, Debug)]
pub struct PlannedCall {
    /// Time of arrival, from the start of the run.
    pub at: Duration,
    /// Index of its class in the scenario.
    pub class: usize,
    /// Tier of its class.
    pub tier: Tier,
    /// Workspace that sends it.
    pub workspace: WorkspaceId,
    /// Whether the call is left out of the fairness index.
    pub flood: bool,
    /// Prompt length, in tokens.
    pub prompt: u32,
    /// Output length, in tokens; only the engine uses it, the node does not receive it.
    pub output: u32,
    /// Hash of the prompt prefix; 0 if it shares none.
    pub prefix: u64,
}

fn draw_normal(random: &mut Pcg64Mcg) -> f64 {
    // Box-Muller transform.
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.random::<f64>()).cos()
}

fn draw_length(shape: LengthShape, random: &mut Pcg64Mcg) -> u32 {
    let drawn = shape.median * (shape.spread * draw_normal(random)).exp();
    (drawn.round() as u32).clamp(1, shape.most)
}

fn rate_at(traffic: &TrafficShape, base_rate: f64, at: Duration) -> f64 {
    let Some(burst) = traffic.burst else {
        return base_rate;
    };
    let phase = at.saturating_sub(traffic.from).as_secs_f64() % burst.every.as_secs_f64();
    if phase < burst.length.as_secs_f64() {
        base_rate * burst.factor
    } else {
        base_rate
    }
}

/// Generates the calls of one stream: a Poisson process whose rate follows the bursts. Candidates
/// are drawn at the maximum rate and thinned to the current one.
fn stream(scenario: &ScenarioFile, index: usize, seed: u64) -> Vec<PlannedCall> {
    let traffic = &scenario.traffic[index];
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ ((index as u64 + 1) << 32));
    let Some(class) = scenario
        .classes
        .iter()
        .position(|c| c.name == traffic.class)
    else {
        return Vec::new();
    };
    let shape = &scenario.classes[class];
    let engines = scenario.each_engine();
    let slots: f64 = engines.iter().map(|engine| f64::from(engine.slots)).sum();
    let work = engines[0].work(shape.prompt.mean(), shape.output.mean());
    let base_rate = traffic.load * slots / work;
    let max_rate = traffic.burst.map_or(1.0, |burst| burst.factor.max(1.0)) * base_rate;
    let workspaces: Vec<WorkspaceId> = traffic
        .each_workspace()
        .map(|name| WorkspaceId::named(&name))
        .collect();
    let end = traffic
        .until
        .unwrap_or(scenario.length)
        .min(scenario.length);
    let mut at = traffic.from;
    let mut calls = Vec::new();
    loop {
        let gap = -(1.0 - random.random::<f64>()).ln() / max_rate;
        at += Duration::from_secs_f64(gap);
        if at >= end {
            return calls;
        }
        if random.random::<f64>() * max_rate > rate_at(traffic, base_rate, at) {
            continue;
        }
        let workspace = workspaces[random.random_range(0..workspaces.len())];
        let prefix = if traffic.prefixes == 0 {
            0
        } else {
            workspace.0 ^ u64::from(random.random_range(1..=traffic.prefixes))
        };
        calls.push(PlannedCall {
            at,
            class,
            tier: shape.tier,
            workspace,
            flood: traffic.flood,
            prompt: draw_length(shape.prompt, &mut random),
            output: draw_length(shape.output, &mut random),
            prefix,
        });
    }
}

/// Generates all calls of the scenario in order of arrival.
pub fn plan(scenario: &ScenarioFile, seed: u64) -> Vec<PlannedCall> {
    let streams = (0..scenario.traffic.len()).flat_map(|index| stream(scenario, index, seed));
    let mut calls: Vec<PlannedCall> = streams.collect();
    calls.sort_by_key(|call| call.at);
    calls
}
