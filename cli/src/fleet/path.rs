//! Latency and processor time that nodes add to streams, compared with direct calls to the engine.

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

/// The step of the engine is short so that its jitter hides little of the latency that nodes add.
const SPEED: UpstreamSpeed = UpstreamSpeed {
    step: Duration::from_millis(2),
    work: Duration::from_millis(10),
};

/// Slots of the engine: more than the load uses.
const SLOTS: u32 = 500;

/// Number of tokens in an answer.
const TOKENS: u32 = 64;

const PROMPT_BYTES: usize = 400;

const SEED: u64 = 1;

/// The figures of one path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PathRow {
    /// Name of the path: `direct`, `one hop` or `two hops`.
    pub way: Box<str>,
    /// Median time to the first token, in milliseconds, from one load that alternates between
    /// paths.
    pub p50_ms: f64,
    /// 99th percentile of the time to the first token, in milliseconds, from the same load.
    pub p99_ms: f64,
    /// Difference of the median from that of the direct path, in milliseconds.
    pub added_p50_ms: f64,
    /// Difference of the 99th percentile from that of the direct path, in milliseconds.
    pub added_p99_ms: f64,
    /// Number of complete answers in a load on this path alone.
    pub whole: u64,
    /// Number of calls in that load that ended in any other way.
    pub others: u64,
    /// Tokens of complete answers per second in that load.
    pub tokens_per_second: f64,
    /// Processor time of the whole process per 1,000 tokens in that load, in milliseconds.
    pub process_ms: f64,
    /// Processor time per 1,000 tokens beyond that of the direct path, which is the nodes' share,
    /// in milliseconds; 0 for the direct path.
    pub nodes_ms: f64,
}

/// The figures of all paths.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PathTable {
    /// Requests per second of each load.
    pub rate: f64,
    /// Length of each load, in seconds.
    pub seconds: u64,
    /// Number of tokens in an answer.
    pub tokens: u32,
    /// Paths in the order direct, one hop, two hops.
    pub ways: Vec<PathRow>,
}

/// Measures the direct path, the path through the engine's owner and the path through another node
/// to the owner. Fails if the fleet does not start or converge.
pub async fn measure(options: &FleetOptions) -> Result<PathTable, CliError> {
    let fleet = Fleet::start(with_one_engine(super::config()?), 2, SPEED).await?;
    views::wait_for(&fleet.nodes, Instant::now(), "all nodes", |node| {
        views::has_converged(node, &fleet.nodes)
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
    let (latency, direct_latency) = (
        mixed.ways[index].first_token_ms,
        mixed.ways[0].first_token_ms,
    );
    let counts = alone.ways[0].counts;
    let tokens = (counts.whole * u64::from(TOKENS)) as f64;
    let process_ms = time.as_secs_f64() * 1000.0 / (tokens / 1000.0);
    PathRow {
        way: alone.ways[0].name.clone(),
        p50_ms: latency.p50,
        p99_ms: latency.p99,
        added_p50_ms: latency.p50 - direct_latency.p50,
        added_p99_ms: latency.p99 - direct_latency.p99,
        whole: counts.whole,
        others: counts.sent - counts.whole,
        tokens_per_second: tokens / alone.seconds as f64,
        process_ms,
        nodes_ms: direct.map_or(0.0, |direct| process_ms - direct),
    }
}

/// Reduces a configuration to one engine and one upstream of each other pool, all in one zone.
fn with_one_engine(mut file: ConfigFile) -> ConfigFile {
    let zone = file.upstreams[0].zone.clone();
    let upstreams = file.pools.iter().filter_map(|pool| {
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
    file.upstreams = upstreams.collect();
    file
}

/// Returns the direct path, then that through the engine's owner, then that through the other node.
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
        let owned = node.handle.shared().owned_upstreams();
        let is_owner = engines.iter().any(|engine| owned.contains(engine));
        LoadWay {
            name: if is_owner { "one hop" } else { "two hops" }.into(),
            address: node.handle.callers.to_string().into(),
            direct: false,
        }
    });
    let mut nodes: Vec<LoadWay> = nodes.collect();
    nodes.sort_by(|a, b| a.name.cmp(&b.name));
    direct.chain(nodes).collect()
}

fn plan(fleet: &Fleet, options: &FleetOptions) -> TrafficPlan {
    let workspaces = fleet.file.workspaces.iter();
    let workspace = workspaces
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
