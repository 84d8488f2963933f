//! What the way through nodes costs a stream, beside the way straight to the engine.

use std::time::Duration;

use monsoonbank_kernel::config::{ConfigFile, PoolKind, UpstreamSpec};
use monsoonbank_kernel::ids::UpstreamId;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::demo::fleet::{Fleet, UpstreamSpeed};
use crate::error::CliError;
use crate::fleet::{FleetOptions, views};
use crate::load::report::LoadReport;
use crate::load::{self, LoadWay};
use crate::slopes::meter;
use crate::traffic::{ClassTraffic, RequestShape, TrafficPlan, WorkspaceSource};

/// The engine's step is short, so that its jitter hides little of what the nodes add.
const SPEED: UpstreamSpeed = UpstreamSpeed {
    step: Duration::from_millis(2),
    work: Duration::from_millis(10),
};

/// Slots of the engine: more than the load fills.
const SLOTS: u32 = 500;

/// Tokens of an answer.
const TOKENS: u32 = 64;

const PROMPT_BYTES: usize = 400;

const SEED: u64 = 1;

/// What was measured for a way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PathRow {
    /// The way.
    pub way: Box<str>,
    /// Time to the first token, in milliseconds; the ways in turn within one load.
    pub p50_ms: f64,
    /// The 99th percentile of the same.
    pub p99_ms: f64,
    /// What the way adds to the median of the direct way, in milliseconds.
    pub added_p50_ms: f64,
    /// What it adds to the 99th percentile.
    pub added_p99_ms: f64,
    /// Whole answers, a load of this way alone.
    pub whole: u64,
    /// Calls that ended otherwise.
    pub others: u64,
    /// Tokens a second that reached callers, a load of this way alone.
    pub tokens_per_second: f64,
    /// Processor time of the whole process for 1,000 tokens, in milliseconds.
    pub process_ms: f64,
    /// The same without that of the direct way: the nodes' part, in milliseconds.
    pub nodes_ms: f64,
}

/// What was measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PathTable {
    /// Requests a second.
    pub rate: f64,
    /// Length of each load, in seconds.
    pub seconds: u64,
    /// Tokens of an answer.
    pub tokens: u32,
    /// Direct, one hop, two hops.
    pub ways: Vec<PathRow>,
}

/// Measures the direct way, one node (the owner) and two nodes.
pub async fn measure(options: &FleetOptions) -> Result<PathTable, CliError> {
    let fleet = Fleet::start(one_engine(super::config()?), 2, SPEED).await?;
    views::wait_for(&fleet.nodes, Instant::now(), "all nodes", |node| {
        views::settled(node, &fleet.nodes)
    })
    .await?;
    let ways = ways(&fleet);
    let plan = plan(&fleet, options);
    let token = format!("{}-token", plan.workspaces[0].name);
    let mixed = load::measure(ways.clone(), &plan, &token, SEED).await?;
    let mut rows: Vec<PathRow> = Vec::new();
    for (index, way) in ways.into_iter().enumerate() {
        let time = meter::process_time();
        let alone = load::measure(vec![way], &plan, &token, SEED).await?;
        let time = meter::process_time().saturating_sub(time);
        let direct = rows.first().map(|row| row.process_ms);
        rows.push(row(&mixed, index, &alone, time, direct));
    }
    fleet.stop().await;
    Ok(PathTable {
        rate: plan.rate,
        seconds: options.length.as_secs(),
        tokens: TOKENS,
        ways: rows,
    })
}

fn row(
    mixed: &LoadReport,
    index: usize,
    alone: &LoadReport,
    time: Duration,
    direct: Option<f64>,
) -> PathRow {
    let (own, base) = (
        mixed.ways[index].first_token_ms,
        mixed.ways[0].first_token_ms,
    );
    let counts = alone.ways[0].counts;
    let tokens = (counts.whole * u64::from(TOKENS)) as f64;
    let process_ms = time.as_secs_f64() * 1000.0 / (tokens / 1000.0);
    PathRow {
        way: alone.ways[0].name.clone(),
        p50_ms: own.p50,
        p99_ms: own.p99,
        added_p50_ms: own.p50 - base.p50,
        added_p99_ms: own.p99 - base.p99,
        whole: counts.whole,
        others: counts.sent - counts.whole,
        tokens_per_second: tokens / alone.seconds as f64,
        process_ms,
        nodes_ms: direct.map_or(0.0, |direct| process_ms - direct),
    }
}

/// The configuration with one engine, and one upstream of each other pool in its zone.
fn one_engine(mut file: ConfigFile) -> ConfigFile {
    let zone = file.upstreams[0].zone.clone();
    let pools = file.pools.iter().filter_map(|pool| {
        let mut upstreams = file.upstreams.iter();
        let first = upstreams.find(|spec| spec.pool == pool.name)?;
        let slots = if pool.kind == PoolKind::Model {
            SLOTS
        } else {
            first.slots
        };
        Some(UpstreamSpec {
            zone: zone.clone(),
            slots,
            ..first.clone()
        })
    });
    file.upstreams = pools.collect();
    file
}

/// Direct first; then the engine's owner, then the other node.
fn ways(fleet: &Fleet) -> Vec<LoadWay> {
    let direct = fleet.engines.values().map(|engine| LoadWay {
        name: "direct".into(),
        address: engine.address().to_string().into(),
        direct: true,
    });
    let engines: Vec<UpstreamId> = fleet
        .engines
        .keys()
        .map(|name| UpstreamId::named(name))
        .collect();
    let nodes = fleet.nodes.iter().map(|node| {
        let own = node.handle.shared().owned_upstreams();
        let owner = engines.iter().any(|engine| own.contains(engine));
        LoadWay {
            name: if owner { "one hop" } else { "two hops" }.into(),
            address: node.handle.callers.to_string().into(),
            direct: false,
        }
    });
    let mut nodes: Vec<LoadWay> = nodes.collect();
    nodes.sort_by(|a, b| a.name.cmp(&b.name));
    direct.chain(nodes).collect()
}

fn plan(fleet: &Fleet, options: &FleetOptions) -> TrafficPlan {
    let unlimited = fleet.file.workspaces.iter();
    let workspace = unlimited
        .filter(|spec| spec.calls_per_second.is_none() && spec.concurrent_calls.is_none())
        .map(|spec| WorkspaceSource {
            name: spec.name.clone(),
            share: 1.0,
        });
    let mut pools = fleet.file.pools.iter();
    let model = pools.find(|pool| pool.kind == PoolKind::Model);
    TrafficPlan {
        classes: vec![ClassTraffic {
            class: "stream".into(),
            share: 1.0,
            shape: RequestShape::Completion {
                purpose: None,
                streamed: true,
                prompt_bytes: PROMPT_BYTES..=PROMPT_BYTES,
                tokens: TOKENS..=TOKENS,
            },
        }],
        workspaces: workspace.take(1).collect(),
        model: model.map_or_else(|| "".into(), |pool| pool.name.clone()),
        service: "".into(),
        rate: options.rate,
        length: options.length,
        bursts: Vec::new(),
    }
}
