//! From a node's end until the others have given it up and own its upstreams.

use monsoonbank_kernel::ids::NodeId;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::error::CliError;
use crate::fleet::quantiles::TimeQuantiles;
use crate::fleet::{FleetOptions, views};

/// What was measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LossSample {
    /// Nodes before each kill.
    pub nodes: u64,
    /// Upstreams that the killed nodes owned.
    pub upstreams: usize,
    /// From the kill until every other node has given the node up.
    pub given_up_ms: TimeQuantiles,
    /// From the kill until every other node sees other owners for all of its upstreams.
    pub owned_again_ms: TimeQuantiles,
}

/// Kills one node after another; a new one takes the place of each.
pub async fn measure(options: &FleetOptions) -> Result<LossSample, CliError> {
    let mut fleet = super::start(options.nodes).await?;
    let mut given_up = Vec::new();
    let mut owned_again = Vec::new();
    let mut upstreams = 0;
    for number in 0..options.kills {
        views::wait_for(&fleet.nodes, Instant::now(), "all nodes", |node| {
            views::settled(node, &fleet.nodes)
        })
        .await?;
        let lost = fleet.nodes.remove(0);
        let id = NodeId::named(&lost.name);
        upstreams += lost.handle.shared().owned_upstreams().len();
        let start = Instant::now();
        lost.handle.kill().await;
        let others = &fleet.nodes;
        let noticed = views::wait_for(others, start, "the lost node", |node| {
            views::given_up(node, id)
        });
        let owned = views::wait_for(others, start, "the owners", |node| {
            views::owned_by(node, |owner| *owner != id)
        });
        let (noticed, owned) = tokio::join!(noticed, owned);
        given_up.push(noticed?);
        owned_again.push(owned?);
        fleet.change_host(&lost.name, |_| None);
        let name = format!("fresh-{number}");
        let fresh = fleet.start_node(&name, &lost.zone).await?;
        fleet.nodes.push(fresh);
    }
    fleet.stop().await;
    Ok(LossSample {
        nodes: options.nodes,
        upstreams,
        given_up_ms: TimeQuantiles::of(given_up),
        owned_again_ms: TimeQuantiles::of(owned_again),
    })
}
