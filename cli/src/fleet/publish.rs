//! From a change of configuration until it is in force on every node.

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

/// Weights that changes set in turn; each differs from the one before.
const WEIGHTS: u64 = 50;

/// Tries of a change that the log did not confirm.
const TRIES: u32 = 20;

/// Time that a new fleet gets to settle, and that a log gets after it was down.
const PAUSE: Duration = Duration::from_millis(200);

const SLOW_MILLIS: u64 = 1000;

/// What was measured with the log in one state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PublishSample {
    /// State of the log.
    pub log: Box<str>,
    /// Nodes.
    pub nodes: u64,
    /// From the request until it was answered as accepted.
    pub accepted_ms: TimeQuantiles,
    /// From the request until it is in force on every node.
    pub in_force_ms: TimeQuantiles,
    /// From the answer until it is in force on every node.
    pub accepted_to_in_force_ms: TimeQuantiles,
    /// Requests that the log did not confirm, and that were sent again with the same identifier.
    pub sent_again: u64,
}

/// Measures for each state of the log that was asked for.
pub async fn measure(options: &FleetOptions) -> Result<Vec<PublishSample>, CliError> {
    let mut samples = Vec::new();
    for log in &options.logs {
        let fleet = super::start(options.nodes).await?;
        views::wait_for(&fleet.nodes, Instant::now(), "all nodes", |node| {
            views::settled(node, &fleet.nodes)
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
        let (found, again) = send(&client, &record).await?;
        let answered = start.elapsed();
        if log == "down" {
            fleet.log.set_faults(LogFaults {
                down: true,
                ..healthy
            });
        }
        let workspace = WorkspaceId::named(&fleet.file.workspaces[0].name);
        let everywhere = views::wait_for(&fleet.nodes, start, "the change", |node| {
            let config = node.handle.shared().config();
            let found = config.workspaces.get(&workspace);
            found.is_some_and(|found| found.weight == weight)
        })
        .await?;
        if log == "down" {
            fleet.log.set_faults(healthy);
            sleep(PAUSE).await;
        }
        version = found;
        sent_again += again;
        accepted.push(answered);
        in_force.push(everywhere);
        after.push(everywhere.saturating_sub(answered));
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

/// Sends a change until it is accepted; its version, and how often it was sent again.
async fn send(client: &NodeClient, record: &ChangeRecord) -> Result<(u64, u64), CliError> {
    let body = json!(record);
    let mut answer: Box<str> = "".into();
    for again in 0..TRIES {
        answer = client.post("/v1/changes", &body).await?;
        match serde_json::from_str(&answer) {
            Ok(PublishResult::Accepted { version }) => return Ok((version, u64::from(again))),
            Ok(PublishResult::Unavailable) => {}
            _ => break,
        }
    }
    Err(CliError::NotAccepted { answer })
}
