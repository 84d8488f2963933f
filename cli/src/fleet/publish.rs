//! Time from the publication of a configuration change until every node applies it.

use std::time::Duration;

use monsoonbank_kernel::config::{Document, WorkspaceSpec};
use monsoonbank_kernel::ids::WorkspaceId;
use monsoonbank_kernel::record::{ChangeRecord, DocumentChange, PublishResult};
use monsoonbank_standin::faults::LogFaults;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::client::NodeClient;
use crate::demo::fleet::{Fleet, OPERATOR_TOKEN};
use crate::error::CliError;
use crate::fleet::quantiles::TimeQuantiles;
use crate::fleet::{FleetOptions, views};

/// Number of weights that changes cycle through, so that each differs from the one before.
const WEIGHTS: u64 = 50;

/// Maximum number of attempts for a change that the log does not confirm.
const MAX_ATTEMPTS: u32 = 20;

/// Wait after the start of a fleet, and after the log recovers from an outage.
const PAUSE: Duration = Duration::from_millis(200);

const SLOW_MILLIS: u64 = 1000;

/// Propagation times of changes with the log in one state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishSample {
    /// State of the log: `healthy`, `slow` or `down`.
    pub log: Box<str>,
    /// Number of nodes.
    pub nodes: u64,
    /// Time from the request until the response that accepts it.
    pub accepted_ms: TimeQuantiles,
    /// Time from the request until every node has applied the change.
    pub in_force_ms: TimeQuantiles,
    /// Time from the response until every node has applied the change; 0 if all did before it.
    pub accepted_to_in_force_ms: TimeQuantiles,
    /// Number of retries, with the same identifier, of requests that the log did not confirm.
    pub sent_again: u64,
}

/// Measures a new fleet for each selected state of the log. Fails if a change is not accepted or
/// not applied within the limit.
pub async fn measure(options: &FleetOptions) -> Result<Vec<PublishSample>, CliError> {
    let mut samples = Vec::new();
    for log in &options.logs {
        let fleet = super::start(options.nodes).await?;
        views::wait_for(&fleet.nodes, Instant::now(), "all nodes", |node| {
            views::has_converged(node, &fleet.nodes)
        })
        .await?;
        sleep(PAUSE).await;
        samples.push(sample(&fleet, log, options.publishes).await?);
        fleet.stop().await;
    }
    Ok(samples)
}

async fn sample(fleet: &Fleet, log: &str, publishes: u64) -> Result<PublishSample, CliError> {
    let healthy = LogFaults {
        slow_ms: if log == "slow" { SLOW_MILLIS } else { 0 },
        ..LogFaults::default()
    };
    fleet.log.set_faults(healthy);
    let mut accepted = Vec::new();
    let mut in_force = Vec::new();
    let mut after = Vec::new();
    let mut sent_again = 0;
    let spec = &fleet.file.workspaces[0];
    // The first publication is the first record.
    let mut version = fleet.nodes[0].handle.shared().config().version;
    for number in 0..publishes {
        let spec = WorkspaceSpec {
            weight: 100 + (number % WEIGHTS) as u32,
            ..spec.clone()
        };
        let weight = spec.weight;
        let record = ChangeRecord {
            id: format!("bench-{number}").into(),
            changes: vec![DocumentChange::set(Document::Workspace(spec), version)],
        };
        let node = &fleet.nodes[number as usize % fleet.nodes.len()];
        let client = NodeClient::new(&node.handle.operators.to_string(), Some(OPERATOR_TOKEN));
        let start = Instant::now();
        let (new_version, retries) = send(&client, &record).await?;
        let answered = start.elapsed();
        if log == "down" {
            fleet.log.set_faults(LogFaults {
                down: true,
                ..healthy
            });
        }
        let workspace = WorkspaceId::named(&fleet.file.workspaces[0].name);
        let applied = views::wait_for(&fleet.nodes, start, "the change", |node| {
            let config = node.handle.shared().config();
            let found = config.workspaces.get(&workspace);
            found.is_some_and(|found| found.weight == weight)
        })
        .await?;
        if log == "down" {
            fleet.log.set_faults(healthy);
            sleep(PAUSE).await;
        }
        version = new_version;
        sent_again += retries;
        accepted.push(answered);
        in_force.push(applied);
        after.push(applied.saturating_sub(answered));
    }
    Ok(PublishSample {
        log: log.into(),
        nodes: fleet.nodes.len() as u64,
        accepted_ms: TimeQuantiles::of(accepted),
        in_force_ms: TimeQuantiles::of(in_force),
        accepted_to_in_force_ms: TimeQuantiles::of(after),
        sent_again,
    })
}

/// Sends a change until it is accepted; returns its version and the number of retries. Fails if the
/// change is rejected or the log does not confirm any attempt.
async fn send(client: &NodeClient, record: &ChangeRecord) -> Result<(u64, u64), CliError> {
    let body = json!(record);
    let mut response: Box<str> = "".into();
    for retry in 0..MAX_ATTEMPTS {
        response = client.post("/v1/changes", &body).await?;
        match serde_json::from_str(&response) {
            Ok(PublishResult::Accepted { version }) => return Ok((version, u64::from(retry))),
            Ok(PublishResult::Unavailable) => {}
            _ => break,
        }
    }
    Err(CliError::NotAccepted { answer: response })
}
