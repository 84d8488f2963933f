//! Replaces all nodes one after another under load, and compares with the same load without
//! replacements.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use indicatif::ProgressBar;
use monsoonbank_standin::hosts::HostRow;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::demo::fleet::{Fleet, FleetNode};
use crate::demo::{callers, report};
use crate::error::CliError;
use crate::exchange;
use crate::fleet::quantiles::TimeQuantiles;
use crate::fleet::{FleetOptions, views};
use crate::tally::ClassRow;

/// Longest wait for the planned stop of a node.
const DRAIN_LIMIT: Duration = Duration::from_mins(1);

/// Wait for a drained node to flush the last answers to callers from its sockets.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Seed of both loads.
const SEED: u64 = 1;

/// The outcomes of the calls of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadRow {
    /// Name of the class.
    pub class: Box<str>,
    /// Number of calls sent.
    pub sent: u64,
    /// Number of complete answers.
    pub whole: u64,
    /// Number of refused calls, which did not run.
    pub refused: u64,
    /// Refused calls by reason; empty if absent.
    #[serde(default)]
    pub refusals: BTreeMap<Box<str>, u64>,
    /// Number of calls that may have run, those with a truncated stream included.
    pub unknown: u64,
    /// Number of calls without a final answer, or with missing tokens.
    pub lost: u64,
    /// Number of calls with a duplicate token, with the answer of another call, or that ran twice
    /// although they may not be repeated.
    pub doubled: u64,
    /// Share of calls that met the target of the class, from 0 to 1; 0 if unknown.
    pub attainment: f64,
}

impl From<&ClassRow> for LoadRow {
    fn from(row: &ClassRow) -> Self {
        let counts = row.counts;
        Self {
            class: row.name.clone(),
            sent: counts.sent,
            whole: counts.whole,
            refused: counts.refused,
            refusals: row.refusals.clone(),
            unknown: counts.unknown + counts.cut,
            lost: counts.lost,
            doubled: counts.doubled + counts.crossed + counts.ran_twice,
            attainment: row.attainment.unwrap_or_default(),
        }
    }
}

/// The outcomes of both loads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RollingSample {
    /// Number of nodes, each of which is replaced once.
    pub nodes: u64,
    /// Requests per second.
    pub rate: f64,
    /// Time in which requests arrive, in seconds.
    pub seconds: u64,
    /// Time from the drain request to the end of the drain.
    pub left_ms: TimeQuantiles,
    /// Outcomes by class without replacements; the urgent class comes first.
    pub kept: Vec<LoadRow>,
    /// Outcomes by class while every node is replaced.
    pub replaced: Vec<LoadRow>,
}

/// Minimum duration of the load per node: a node needs 6 s to drain.
const TIME_PER_NODE: Duration = Duration::from_secs(7);

/// Runs the same load on two fleets, the second with replacements. Fails if a fleet does not start
/// or a node does not drain in time.
pub async fn measure(options: &FleetOptions) -> Result<RollingSample, CliError> {
    let length = options.length.max(TIME_PER_NODE * options.nodes as u32);
    let options = FleetOptions {
        length,
        ..options.clone()
    };
    let (kept, _) = run_load(&options, false).await?;
    let (replaced, drain_times) = run_load(&options, true).await?;
    Ok(RollingSample {
        nodes: options.nodes,
        rate: options.rate,
        seconds: options.length.as_secs(),
        left_ms: TimeQuantiles::of(drain_times),
        kept,
        replaced,
    })
}

async fn run_load(
    options: &FleetOptions,
    replace: bool,
) -> Result<(Vec<LoadRow>, Vec<Duration>), CliError> {
    let fleet = super::start(options.nodes).await?;
    views::wait_for(&fleet.nodes, Instant::now(), "all nodes", |node| {
        views::has_converged(node, &fleet.nodes)
    })
    .await?;
    let plan = super::plan(&fleet, options);
    let client = exchange::client().map_err(CliError::Client)?;
    let start = Instant::now();
    let progress = ProgressBar::hidden();
    let killed = Arc::default();
    let traffic = callers::send_traffic(
        &fleet,
        &client,
        plan.clone(),
        SEED,
        start,
        killed,
        &progress,
    );
    let replacements = async {
        if replace {
            replace_all(&fleet, start, options.length).await
        } else {
            Ok((Vec::new(), Vec::new()))
        }
    };
    let (calls, replaced) = tokio::join!(traffic, replacements);
    let (new_nodes, drain_times) = replaced?;
    let rows = report::rows(&fleet, &plan, &calls);
    for node in &new_nodes {
        node.handle.kill().await;
    }
    fleet.stop().await;
    Ok((rows.iter().map(LoadRow::from).collect(), drain_times))
}

/// Replaces the nodes one after another, spread evenly over the load. Returns the new nodes and the
/// drain time of each old one.
async fn replace_all(
    fleet: &Fleet,
    start: Instant,
    length: Duration,
) -> Result<(Vec<FleetNode>, Vec<Duration>), CliError> {
    let mut new_nodes = Vec::new();
    let mut drain_times = Vec::new();
    let count = fleet.nodes.len();
    for (index, node) in fleet.nodes.iter().enumerate() {
        let share = (index as f64 + 0.5) / count as f64;
        sleep_until(start + length.mul_f64(share)).await;
        drain_times.push(retire(fleet, node).await?);
        let name = format!("fresh-{}", index + 1);
        new_nodes.push(fleet.start_node(&name, &node.zone).await?);
    }
    Ok((new_nodes, drain_times))
}

/// Drains a node, stops it and removes it from the host list. Returns the time the drain took.
async fn retire(fleet: &Fleet, node: &FleetNode) -> Result<Duration, CliError> {
    let leaving = |row| {
        Some(HostRow {
            leaving: true,
            ..row
        })
    };
    fleet.change_host(&node.name, leaving);
    let start = Instant::now();
    node.handle.drain();
    let finished = timeout(DRAIN_LIMIT, node.handle.finished()).await;
    finished.map_err(|_| CliError::NotShown {
        node: node.name.clone(),
        what: "the end of its planned stop",
    })?;
    let drain_time = start.elapsed();
    sleep(FLUSH_TIME).await;
    node.handle.kill().await;
    fleet.change_host(&node.name, |_| None);
    Ok(drain_time)
}
