//! Tells nodes that received reports of this node's work that no more will follow. Without that they
//! could not tell a node without calls from one that is cut off from them and still sends calls.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::fleet::SENDER_AGE;
use crate::gateway::gossip;

/// Number of times that each node is told, as datagrams may be lost.
const REPEATS: u32 = 3;
/// Minimum interval between two of them.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of nodes that are told at a time.
const MAX_TOLD: usize = 12;

/// A node that received a report.
#[derive(Clone, Copy, Debug)]
struct ReportReceiver {
    reported_at: Duration,
    told: u32,
}

/// Nodes that received this node's work and were not told yet that it ended.
#[derive(Clone, Debug, Default)]
pub struct ReportEnding {
    receivers: BTreeMap<SocketAddr, ReportReceiver>,
    told_at: Option<Duration>,
}

impl ReportEnding {
    /// Records that these nodes receive this node's work.
    pub fn record_reports(&mut self, recipients: &[SocketAddr], now: Duration) {
        let receiver = ReportReceiver {
            reported_at: now,
            told: 0,
        };
        let recipients = recipients.iter().map(|recipient| (*recipient, receiver));
        self.receivers.extend(recipients);
    }

    /// Nodes to tell now that no more reports follow; none while it `reports` its work. Those that were
    /// told the least come first.
    pub fn due(&mut self, reports: bool, now: Duration) -> Vec<SocketAddr> {
        self.receivers
            .retain(|_, receiver| receiver.reported_at + SENDER_AGE > now);
        if reports || !gossip::is_due(&mut self.told_at, REPEAT_INTERVAL, now) {
            return Vec::new();
        }
        let mut addresses: Vec<(u32, SocketAddr)> = self
            .receivers
            .iter()
            .map(|(address, receiver)| (receiver.told, *address))
            .collect();
        addresses.sort_unstable();
        addresses.truncate(MAX_TOLD);
        for (_, address) in &addresses {
            if let Some(receiver) = self.receivers.get_mut(address) {
                receiver.told += 1;
            }
        }
        self.receivers.retain(|_, receiver| receiver.told < REPEATS);
        self.told_at = Some(now);
        addresses.into_iter().map(|(_, address)| address).collect()
    }
}
