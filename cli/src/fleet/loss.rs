//! Time from the loss of a node until the others mark it dead and its upstreams have new owners.

use monsoonbank_kernel::ids::NodeId;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::error::CliError;
use crate::fleet::quantiles::TimeQuantiles;
use crate::fleet::{FleetOptions, views};

/// Failover times over all kills.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LossSample {
    /// Number of nodes before each kill.
    pub nodes: u64,
    /// Number of upstreams that the killed nodes owned, over all kills.
    pub upstreams: usize,
    /// Time from a kill until every other node marks the node dead or has removed it.
    pub given_up_ms: TimeQuantiles,
    /// Time from a kill until every other node has an owner other than the killed node for every
    /// upstream.
    pub owned_again_ms: TimeQuantiles,
}

/// Kills one node after another, replacing each by a new one. Fails if the others do not detect a
/// loss within the limit.
pub async fn measure(options: &FleetOptions) -> Result<LossSample, CliError> {
    let mut fleet = super::start(options.nodes).await?;
    let mut detection_times = Vec::new();
    let mut reassignment_times = Vec::new();
    let mut upstreams = 0;
    for number in 0..options.kills {
        views::wait_for(&fleet.nodes, Instant::now(), "all nodes", |node| {
            views::has_converged(node, &fleet.nodes)
        })
        .await?;
        let killed = fleet.nodes.remove(0);
        let id = NodeId::named(&killed.name);
        upstreams += killed.handle.shared().owned_upstreams().len();
        let start = Instant::now();
        killed.handle.kill().await;
        let others = &fleet.nodes;
        let detected = views::wait_for(others, start, "the killed node", |node| {
            views::is_dead(node, id)
        });
        let reassigned = views::wait_for(others, start, "the owners", |node| {
            views::owners_match(node, |owner| *owner != id)
        });
        let (detected, reassigned) = tokio::join!(detected, reassigned);
        detection_times.push(detected?);
        reassignment_times.push(reassigned?);
        fleet.change_host(&killed.name, |_| None);
        let name = format!("fresh-{number}");
        let replacement = fleet.start_node(&name, &killed.zone).await?;
        fleet.nodes.push(replacement);
    }
    fleet.stop().await;
    Ok(LossSample {
        nodes: options.nodes,
        upstreams,
        given_up_ms: TimeQuantiles::of(detection_times),
        owned_again_ms: TimeQuantiles::of(reassignment_times),
    })
}
