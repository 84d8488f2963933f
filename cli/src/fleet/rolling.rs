//! All nodes replaced one after another under load, beside the same load without.

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

/// Longest wait for a node's planned stop.
const STOP_LIMIT: Duration = Duration::from_mins(1);

/// Time that callers' last answers get to leave a stopped node's sockets.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Seed of both loads.
const SEED: u64 = 1;

/// What became of a class's calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadRow {
    /// The class.
    pub class: Box<str>,
    /// Calls made.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refused: did not run.
    pub refused: u64,
    /// Refused calls by reason.
    #[serde(default)]
    pub refusals: BTreeMap<Box<str>, u64>,
    /// May have run.
    pub unknown: u64,
    /// No final answer, or tokens missing.
    pub lost: u64,
    /// A token twice, somebody else's answer, or a call that may not be repeated ran twice.
    pub doubled: u64,
    /// Share of calls that met the class's target.
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

/// What was measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RollingSample {
    /// Nodes, each replaced once.
    pub nodes: u64,
    /// Requests a second.
    pub rate: f64,
    /// How long requests arrived, in seconds.
    pub seconds: u64,
    /// From the order to leave until the node had left.
    pub left_ms: TimeQuantiles,
    /// By class, nothing replaced; the urgent one first.
    pub kept: Vec<LoadRow>,
    /// By class, every node replaced.
    pub replaced: Vec<LoadRow>,
}

/// Least time of load for a node's replacement: a node takes 6 s to leave.
const TIME_A_NODE: Duration = Duration::from_secs(7);

/// The same load twice, on a fleet each.
pub async fn measure(options: &FleetOptions) -> Result<RollingSample, CliError> {
    let length = options.length.max(TIME_A_NODE * options.nodes as u32);
    let options = FleetOptions {
        length,
        ..options.clone()
    };
    let (kept, _) = load(&options, false).await?;
    let (replaced, left) = load(&options, true).await?;
    Ok(RollingSample {
        nodes: options.nodes,
        rate: options.rate,
        seconds: options.length.as_secs(),
        left_ms: TimeQuantiles::of(left),
        kept,
        replaced,
    })
}

async fn load(
    options: &FleetOptions,
    replacing: bool,
) -> Result<(Vec<LoadRow>, Vec<Duration>), CliError> {
    let fleet = super::start(options.nodes).await?;
    views::wait_for(&fleet.nodes, Instant::now(), "all nodes", |node| {
        views::settled(node, &fleet.nodes)
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
    let replacing = async {
        if replacing {
            replace_all(&fleet, start, options.length).await
        } else {
            Ok((Vec::new(), Vec::new()))
        }
    };
    let (calls, replaced) = tokio::join!(traffic, replacing);
    let (fresh, left) = replaced?;
    let rows = report::rows(&fleet, &plan, &calls);
    for node in &fresh {
        node.handle.kill().await;
    }
    fleet.stop().await;
    Ok((rows.iter().map(LoadRow::from).collect(), left))
}

/// Replaces the nodes in turn, spread over the load; the new ones, and how long each took to leave.
async fn replace_all(
    fleet: &Fleet,
    start: Instant,
    length: Duration,
) -> Result<(Vec<FleetNode>, Vec<Duration>), CliError> {
    let mut fresh = Vec::new();
    let mut left = Vec::new();
    let count = fleet.nodes.len();
    for (index, node) in fleet.nodes.iter().enumerate() {
        let share = (index as f64 + 0.5) / count as f64;
        sleep_until(start + length.mul_f64(share)).await;
        left.push(leave(fleet, node).await?);
        let name = format!("fresh-{}", index + 1);
        fresh.push(fleet.start_node(&name, &node.zone).await?);
    }
    Ok((fresh, left))
}

/// Stops a node as planned and takes it out of the host list; how long it took to finish.
async fn leave(fleet: &Fleet, node: &FleetNode) -> Result<Duration, CliError> {
    let leaving = |row| {
        Some(HostRow {
            leaving: true,
            ..row
        })
    };
    fleet.change_host(&node.name, leaving);
    let start = Instant::now();
    node.handle.drain();
    let finished = timeout(STOP_LIMIT, node.handle.finished()).await;
    finished.map_err(|_| CliError::NotShown {
        node: node.name.clone(),
        what: "the end of its planned stop",
    })?;
    let took = start.elapsed();
    sleep(FLUSH_TIME).await;
    node.handle.kill().await;
    fleet.change_host(&node.name, |_| None);
    Ok(took)
}
