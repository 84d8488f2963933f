//! Counts the calls that upstreams have begun, and sends the counts to the node that reports them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monsoonbank_kernel::gateway::heartbeat::{NodeHeartbeat, node_hash};
use monsoonbank_kernel::gateway::usage::{WindowUsage, WorkspaceCounts};

use crate::gateway::Gateway;
use crate::gateway::admission::Call;
use crate::gateway::duties::DutyState;
use crate::gateway::settings::DutyName;

/// Interval between two messages of a node. It bounds the counts lost with a node, at the cost of
/// one datagram each.
const SEND_INTERVAL: Duration = Duration::from_millis(200);
/// Number of messages after which all counts are sent again, in case a datagram was lost.
const SENDS_BETWEEN_RESETS: u32 = 5;
/// Number of nodes whose messages the holder receives in each interval; in larger fleets each node
/// sends less often.
const MAX_SENDERS: u32 = 100;
/// Number of workspaces in one datagram, some 12 bytes each.
const MAX_WORKSPACES: usize = 90;

/// Counts a call that an upstream began `ago`, once and only if usage is a duty.
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

/// Returns the interval between messages of this node; zero during the shutdown, when each
/// heartbeat carries them.
pub fn send_interval(gateway: &Gateway) -> Duration {
    if gateway.leaving_since.get().is_some() {
        return Duration::ZERO;
    }
    let nodes = u32::try_from(gateway.node_count()).unwrap_or(u32::MAX);
    SEND_INTERVAL * nodes.div_ceil(MAX_SENDERS)
}

/// Selects the counts that the holder has not received yet.
#[derive(Debug, Default)]
pub struct UsageSender {
    sent: BTreeMap<u64, WorkspaceCounts>,
    sends: u32,
}

impl UsageSender {
    /// Returns receivers and messages; `None` if there is nothing to send or no holder is known.
    pub fn next(&mut self, gateway: &Gateway) -> Option<(Vec<SocketAddr>, Vec<WindowUsage>)> {
        let duties = gateway.duties.as_ref()?;
        if !duties.has(DutyName::Usage) {
            return None;
        }
        let notice = duties.notice(gateway)?;
        self.sends += 1;
        if self.sends.is_multiple_of(SENDS_BETWEEN_RESETS) {
            self.sent.clear();
        }
        let ledger = duties.ledger.borrow();
        let mut pieces = Vec::new();
        for (window, counts) in ledger.own_after(notice.written) {
            let sent = self.sent.entry(window).or_default();
            let updates: Vec<(Box<str>, u64)> = counts
                .iter()
                .filter(|entry| sent.get(entry.0) != Some(entry.1))
                .map(|(workspace, count)| (workspace.clone(), *count))
                .collect();
            pieces.extend(updates.chunks(MAX_WORKSPACES).map(|piece| WindowUsage {
                window,
                counts: piece.to_vec(),
            }));
            *sent = counts.clone();
        }
        self.sent.retain(|window, _| *window > notice.written);
        let own = gateway.settings.peer_address();
        let receivers = std::iter::once(notice.peers).chain(notice.successor);
        let receivers: Vec<SocketAddr> = receivers.filter(|receiver| *receiver != own).collect();
        (!pieces.is_empty()).then_some((receivers, pieces))
    }
}

/// Merges the notice of the holder and the usage counts in another node's heartbeat.
pub fn merge(gateway: &Rc<Gateway>, duties: &DutyState, heartbeat: &mut NodeHeartbeat) {
    if let Some(notice) = heartbeat.holder {
        duties.observe(notice, gateway.now(), gateway.unix_now());
    }
    if heartbeat.usage.is_empty() {
        return;
    }
    let source = node_hash(&heartbeat.card.name) ^ heartbeat.card.incarnation;
    let usage = std::mem::take(&mut heartbeat.usage);
    let unix_now = gateway.unix_now();
    duties.ledger.borrow_mut().merge(source, usage, unix_now);
}
