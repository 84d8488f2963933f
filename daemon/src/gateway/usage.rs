//! Counts calls that upstreams began, and tells the counts to the node that reports them.

use std::rc::Rc;
use std::time::Duration;

use monsoonbank_kernel::gateway::heartbeat::{HolderNotice, NodeHeartbeat, node_hash};
use monsoonbank_kernel::gateway::usage::{WindowUsage, WorkspaceCounts};

use crate::gateway::Gateway;
use crate::gateway::duties::DutyState;
use crate::gateway::intake::Call;
use crate::gateway::settings::DutyName;

/// Time between two tells of a node: what its loss costs, against a datagram.
const TELL_PAUSE: Duration = Duration::from_millis(500);
/// Nodes that the holder hears in each such time; in larger fleets each tells less often.
const MOST_TELLS: u32 = 100;
/// Workspaces in one datagram, some 12 bytes each.
const MOST_WORKSPACES: usize = 90;

/// Counts a call that an upstream began `ago`.
pub fn count(gateway: &Gateway, call: &Call, ago: Duration) {
    let Some(duties) = &gateway.duties else {
        return;
    };
    let Some(workspace) = &call.workspace else {
        return;
    };
    if !duties.has(DutyName::Usage) || call.counted.replace(true) {
        return;
    }
    let begun_at = gateway.unix_now().saturating_sub(ago);
    duties.ledger.borrow_mut().count(workspace, begun_at);
}

/// Time until the node should tell again; one that leaves tells whenever it speaks.
pub fn tell_pause(gateway: &Gateway) -> Duration {
    if gateway.leaving_since.get().is_some() {
        return Duration::ZERO;
    }
    let nodes = u32::try_from(gateway.node_count()).unwrap_or(u32::MAX);
    TELL_PAUSE * nodes.div_ceil(MOST_TELLS)
}

/// Where to tell, and in which pieces, what the holder has not written down; none if there is nothing, or
/// no one to tell.
pub fn untold(gateway: &Gateway) -> Option<(HolderNotice, Vec<Vec<WindowUsage>>)> {
    let duties = gateway.duties.as_ref()?;
    if duties.is_holder() || !duties.has(DutyName::Usage) {
        return None;
    }
    let notice = duties.notice(gateway)?;
    let ledger = duties.ledger.borrow();
    let own = ledger.own_after(notice.written);
    let pieces: Vec<Vec<WindowUsage>> = own
        .flat_map(|(window, counts)| in_pieces(window, counts))
        .collect();
    (!pieces.is_empty()).then_some((notice, pieces))
}

fn in_pieces(window: u64, counts: &WorkspaceCounts) -> Vec<Vec<WindowUsage>> {
    let counts: Vec<(Box<str>, u64)> = counts
        .iter()
        .map(|(workspace, count)| (workspace.clone(), *count))
        .collect();
    let pieces = counts.chunks(MOST_WORKSPACES);
    pieces
        .map(|piece| {
            vec![WindowUsage {
                window,
                counts: piece.to_vec(),
            }]
        })
        .collect()
}

/// Takes in what another node's heartbeat says of the holder and of its calls.
pub fn hear(gateway: &Rc<Gateway>, duties: &DutyState, heartbeat: &mut NodeHeartbeat) {
    if let Some(notice) = heartbeat.holder {
        duties.hear(notice, gateway.now());
    }
    if heartbeat.usage.is_empty() {
        return;
    }
    let source = node_hash(&heartbeat.card.name) ^ heartbeat.card.incarnation;
    let usage = std::mem::take(&mut heartbeat.usage);
    let unix_now = gateway.unix_now();
    duties.ledger.borrow_mut().hear(source, usage, unix_now);
}
