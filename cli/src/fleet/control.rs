//! Control traffic, processor time and memory of a node, by the size of the fleet.

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

/// Time after the nodes have met until a window begins.
const SETTLE: Duration = Duration::from_secs(5);

/// Seed of the load.
const SEED: u64 = 1;

/// What was measured at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlSample {
    /// Nodes.
    pub nodes: usize,
    /// Bytes of control frames that a node sends, a second; without headers of IP and TCP.
    pub sent_bytes: f64,
    /// Bytes of control frames that a node receives, a second.
    pub received_bytes: f64,
    /// Share of one core, in percent: the process's time by the nodes. The stand-ins' time is in it.
    pub core_percent: f64,
    /// Resident memory that the fleet added to the process, by the nodes, in mebibytes.
    pub memory_mib: f64,
}

/// What was measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlTable {
    /// Length of each window, in seconds.
    pub seconds: f64,
    /// Without load, by size.
    pub idle: Vec<ControlSample>,
    /// Requests a second of the load, over the whole fleet.
    #[serde(default)]
    pub rate: f64,
    /// Under load, by size; the processor time and memory are those of callers and upstreams too.
    #[serde(default)]
    pub loaded: Vec<ControlSample>,
    /// Growth of bytes sent and received, best shape first.
    pub growth: Vec<GrowthFit>,
}

/// Measures each size.
pub async fn measure(options: &FleetOptions) -> Result<ControlTable, CliError> {
    let client = exchange::client().map_err(CliError::Client)?;
    let empty = meter::resident_bytes();
    let mut idle = Vec::new();
    let mut loaded = Vec::new();
    for nodes in &options.sizes {
        let fleet = super::start(*nodes).await?;
        views::wait_for(&fleet.nodes, Instant::now(), "all nodes", |node| {
            views::settled(node, &fleet.nodes)
        })
        .await?;
        sleep(SETTLE).await;
        idle.push(window(&fleet, options.length, empty).await);
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
        let (_, sample) = tokio::join!(traffic, window(&fleet, options.length, empty));
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

async fn window(fleet: &Fleet, length: Duration, empty: u64) -> ControlSample {
    let (sent, received) = bytes(fleet);
    let time = meter::process_time();
    let start = Instant::now();
    sleep(length).await;
    let took = start.elapsed().as_secs_f64();
    let time = meter::process_time().saturating_sub(time).as_secs_f64();
    let (sent_now, received_now) = bytes(fleet);
    let nodes = fleet.nodes.len() as f64;
    let memory = meter::resident_bytes().saturating_sub(empty) as f64;
    ControlSample {
        nodes: fleet.nodes.len(),
        sent_bytes: (sent_now - sent) as f64 / took / nodes,
        received_bytes: (received_now - received) as f64 / took / nodes,
        core_percent: time / took / nodes * 100.0,
        memory_mib: memory / nodes / f64::from(1 << 20),
    }
}

/// Control bytes sent and received by all nodes so far.
fn bytes(fleet: &Fleet) -> (u64, u64) {
    let counters = fleet
        .nodes
        .iter()
        .map(|node| &node.handle.shared().counters);
    counters.fold((0, 0), |(sent, received), one| {
        (
            sent + one.control_sent_bytes.get(),
            received + one.control_received_bytes.get(),
        )
    })
}
