//! Control traffic, processor time and memory of a node, by fleet size.

use std::sync::Arc;
use std::time::Duration;

use indicatif::ProgressBar;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::demo::callers;
use crate::demo::fleet::Fleet;
use crate::error::CliError;
use crate::exchange;
use crate::fleet::{FleetOptions, views};
use crate::slopes::fit::{GrowthFit, fits};
use crate::slopes::meter;

/// Time between the convergence of the fleet and the start of the idle window.
const IDLE_DELAY: Duration = Duration::from_secs(5);

/// Seed of the generated traffic.
const SEED: u64 = 1;

/// The figures of a node in one window at one fleet size: means over the nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlSample {
    /// Number of nodes.
    pub nodes: usize,
    /// Bytes of control frames that a node sends per second, without IP and TCP headers.
    pub sent_bytes: f64,
    /// Bytes of control frames that a node receives per second, without IP and TCP headers.
    pub received_bytes: f64,
    /// Processor time in percent of one core: that of the process divided by the number of nodes.
    /// It includes the time of the stand-ins.
    pub core_percent: f64,
    /// Resident memory that the fleet added to the process, divided by the number of nodes, in
    /// mebibytes.
    pub memory_mib: f64,
}

/// The figures of all fleet sizes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlTable {
    /// Length of each window, in seconds.
    pub seconds: f64,
    /// Figures without load, by fleet size.
    pub idle: Vec<ControlSample>,
    /// Requests per second of the load, over the whole fleet; 0 if absent.
    #[serde(default)]
    pub rate: f64,
    /// Figures under load, by fleet size; processor time and memory include those of callers and
    /// upstreams. Empty if absent.
    #[serde(default)]
    pub loaded: Vec<ControlSample>,
    /// Growth with the fleet size of control bytes, idle and loaded, and of idle processor time;
    /// the best fit of each comes first.
    pub growth: Vec<GrowthFit>,
}

/// Measures a new fleet of each size, first idle, then under load. Fails if a fleet does not start
/// or converge.
pub async fn measure(options: &FleetOptions) -> Result<ControlTable, CliError> {
    let client = exchange::client().map_err(CliError::Client)?;
    let baseline = meter::resident_bytes();
    let mut idle = Vec::new();
    let mut loaded = Vec::new();
    for nodes in &options.sizes {
        let fleet = super::start(*nodes).await?;
        views::wait_for(&fleet.nodes, Instant::now(), "all nodes", |node| {
            views::has_converged(node, &fleet.nodes)
        })
        .await?;
        sleep(IDLE_DELAY).await;
        idle.push(measure_window(&fleet, options.length, baseline).await);
        let progress = ProgressBar::hidden();
        let plan = super::plan(&fleet, options);
        let traffic = callers::send_traffic(
            &fleet,
            &client,
            plan,
            SEED,
            Instant::now(),
            Arc::default(),
            &progress,
        );
        let (_, sample) = tokio::join!(traffic, measure_window(&fleet, options.length, baseline));
        loaded.push(sample);
        fleet.stop().await;
    }
    let mut growth = fits(
        "control bytes/s a node, idle",
        &points(&idle, control_bytes),
    );
    growth.extend(fits(
        "control bytes/s a node, loaded",
        &points(&loaded, control_bytes),
    ));
    growth.extend(fits(
        "percent of a core a node, idle",
        &points(&idle, |sample| sample.core_percent),
    ));
    Ok(ControlTable {
        seconds: options.length.as_secs_f64(),
        idle,
        rate: options.rate,
        loaded,
        growth,
    })
}

fn control_bytes(sample: &ControlSample) -> f64 {
    sample.sent_bytes + sample.received_bytes
}

fn points(samples: &[ControlSample], value: fn(&ControlSample) -> f64) -> Vec<(usize, f64)> {
    let samples = samples.iter();
    samples
        .map(|sample| (sample.nodes, value(sample)))
        .collect()
}

async fn measure_window(fleet: &Fleet, length: Duration, baseline: u64) -> ControlSample {
    let (sent, received) = count_bytes(fleet);
    let time = meter::process_time();
    let start = Instant::now();
    sleep(length).await;
    let elapsed = start.elapsed().as_secs_f64();
    let time = meter::process_time().saturating_sub(time).as_secs_f64();
    let (sent_now, received_now) = count_bytes(fleet);
    let nodes = fleet.nodes.len() as f64;
    let memory = meter::resident_bytes().saturating_sub(baseline) as f64;
    ControlSample {
        nodes: fleet.nodes.len(),
        sent_bytes: (sent_now - sent) as f64 / elapsed / nodes,
        received_bytes: (received_now - received) as f64 / elapsed / nodes,
        core_percent: time / elapsed / nodes * 100.0,
        memory_mib: memory / nodes / f64::from(1 << 20),
    }
}

/// Returns the control bytes that all nodes have sent and received since their start.
fn count_bytes(fleet: &Fleet) -> (u64, u64) {
    let counters = fleet
        .nodes
        .iter()
        .map(|node| &node.handle.shared().counters);
    counters.fold((0, 0), |(sent, received), counters| {
        (
            sent + counters.control_sent_bytes.get(),
            received + counters.control_received_bytes.get(),
        )
    })
}
