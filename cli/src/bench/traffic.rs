//! The calls of a scenario, drawn from its seed.

use std::time::Duration;

use monsoonbank_kernel::call::Tier;
use monsoonbank_kernel::ids::WorkspaceId;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::bench::scenario::{LengthShape, ScenarioFile, TrafficShape};

/// A call that will arrive.
#[derive(Clone, Copy, Debug)]
pub struct PlannedCall {
    /// When.
    pub at: Duration,
    /// Index of its class.
    pub class: usize,
    /// The class's tier.
    pub tier: Tier,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Whether the workspace is left out of the fairness figure.
    pub flood: bool,
    /// Prompt length.
    pub prompt: u32,
    /// Output length, which only the engine knows.
    pub output: u32,
    /// Prefix hash; 0 for none.
    pub prefix: u64,
}

fn normal(random: &mut Pcg64Mcg) -> f64 {
    // Box and Muller, 1958.
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.random::<f64>()).cos()
}

fn length(shape: LengthShape, random: &mut Pcg64Mcg) -> u32 {
    let drawn = shape.median * (shape.spread * normal(random)).exp();
    (drawn.round() as u32).clamp(1, shape.most)
}

fn rate_at(traffic: &TrafficShape, base: f64, at: Duration) -> f64 {
    let Some(burst) = traffic.burst else {
        return base;
    };
    let phase = at.saturating_sub(traffic.from).as_secs_f64() % burst.every.as_secs_f64();
    if phase < burst.length.as_secs_f64() {
        base * burst.factor
    } else {
        base
    }
}

/// Calls of one line of traffic: a Poisson process whose rate follows the bursts.
fn line(scenario: &ScenarioFile, index: usize, seed: u64) -> Vec<PlannedCall> {
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
    let base = traffic.load * slots / work;
    let most = traffic.burst.map_or(1.0, |burst| burst.factor.max(1.0)) * base;
    let names: Vec<WorkspaceId> = traffic
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
        let gap = -(1.0 - random.random::<f64>()).ln() / most;
        at += Duration::from_secs_f64(gap);
        if at >= end {
            return calls;
        }
        if random.random::<f64>() * most > rate_at(traffic, base, at) {
            continue;
        }
        let workspace = names[random.random_range(0..names.len())];
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
            prompt: length(shape.prompt, &mut random),
            output: length(shape.output, &mut random),
            prefix,
        });
    }
}

/// All calls in order of arrival.
pub fn plan(scenario: &ScenarioFile, seed: u64) -> Vec<PlannedCall> {
    let lines = (0..scenario.traffic.len()).flat_map(|index| line(scenario, index, seed));
    let mut calls: Vec<PlannedCall> = lines.collect();
    calls.sort_by_key(|call| call.at);
    calls
}
