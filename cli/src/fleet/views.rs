//! Looks into running nodes until they show something.

use std::time::Duration;

use monsoonbank_kernel::ids::NodeId;
use monsoonbank_kernel::membership::NodeState;
use tokio::time::{Instant, sleep};

use crate::demo::fleet::FleetNode;
use crate::error::CliError;

/// Time between two looks; the resolution of the times measured.
const LOOK_EVERY: Duration = Duration::from_millis(2);

/// Longest wait.
const LIMIT: Duration = Duration::from_mins(1);

/// Time since `start` until each of the nodes shows it.
pub async fn wait_for(
    nodes: &[FleetNode],
    start: Instant,
    what: &'static str,
    shows: impl Fn(&FleetNode) -> bool,
) -> Result<Duration, CliError> {
    let limit = Instant::now() + LIMIT;
    for node in nodes {
        while !shows(node) {
            if Instant::now() > limit {
                return Err(CliError::NotShown {
                    node: node.name.clone(),
                    what,
                });
            }
            sleep(LOOK_EVERY).await;
        }
    }
    Ok(start.elapsed())
}

/// Whether a node sees all these nodes live, and all upstreams owned by nodes that it sees live.
pub fn settled(node: &FleetNode, nodes: &[FleetNode]) -> bool {
    let members = node.handle.shared().members();
    let live = |id: &NodeId| {
        let member = members.members.get(id);
        member.is_some_and(|member| member.state == NodeState::Live)
    };
    let all = nodes.iter().all(|other| live(&NodeId::named(&other.name)));
    all && owned_by(node, live)
}

/// Whether a node sees this node as given up, or no more at all.
pub fn given_up(node: &FleetNode, lost: NodeId) -> bool {
    let members = node.handle.shared().members();
    let member = members.members.get(&lost);
    member.is_none_or(|member| member.state == NodeState::Dead)
}

/// Whether a node sees an owner for every upstream, and each of them fulfils the condition.
pub fn owned_by(node: &FleetNode, fulfils: impl Fn(&NodeId) -> bool) -> bool {
    let shared = node.handle.shared();
    let owners = shared.owners();
    owners.owners.len() == shared.config().upstreams.len() && owners.owners.values().all(fulfils)
}
