//! Polls the state of running nodes until it meets a condition.

use std::time::Duration;

use monsoonbank_kernel::ids::NodeId;
use monsoonbank_kernel::membership::NodeState;
use tokio::time::{Instant, sleep};

use crate::demo::fleet::FleetNode;
use crate::error::CliError;

/// Interval between two polls; the resolution of the measured times.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_mins(1);

/// Waits until each node meets the condition and returns the time since `start`. Fails after a
/// minute with an error that names the node and `what`, the awaited state.
pub async fn wait_for(
    nodes: &[FleetNode],
    start: Instant,
    what: &'static str,
    condition: impl Fn(&FleetNode) -> bool,
) -> Result<Duration, CliError> {
    let limit = Instant::now() + LIMIT;
    for node in nodes {
        while !condition(node) {
            if Instant::now() > limit {
                return Err(CliError::NotShown {
                    node: node.name.clone(),
                    what,
                });
            }
            sleep(POLL_INTERVAL).await;
        }
    }
    Ok(start.elapsed())
}

/// Returns whether in the view of a node all `nodes` are live and every upstream has a live owner.
pub fn has_converged(node: &FleetNode, nodes: &[FleetNode]) -> bool {
    let members = node.handle.shared().members();
    let is_live = |id: &NodeId| {
        let member = members.members.get(id);
        member.is_some_and(|member| member.state == NodeState::Live)
    };
    let all_live = nodes
        .iter()
        .all(|other| is_live(&NodeId::named(&other.name)));
    all_live && owners_match(node, is_live)
}

/// Returns whether in the view of a node `lost` is dead or no longer a member.
pub fn is_dead(node: &FleetNode, lost: NodeId) -> bool {
    let members = node.handle.shared().members();
    let member = members.members.get(&lost);
    member.is_none_or(|member| member.state == NodeState::Dead)
}

/// Returns whether in the view of a node every upstream has an owner, and every owner meets the
/// condition.
pub fn owners_match(node: &FleetNode, condition: impl Fn(&NodeId) -> bool) -> bool {
    let shared = node.handle.shared();
    let owners = shared.owners();
    owners.owners.len() == shared.config().upstreams.len() && owners.owners.values().all(condition)
}
