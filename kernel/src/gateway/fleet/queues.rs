//! Reports of what waits at other nodes, for pools that all nodes share in one order.

use std::time::Duration;

use crate::gateway::backlog::{BacklogReport, FleetBacklog, REPORT_TTL, WaitClass, yields_to};
use crate::gateway::fleet::{FleetPeer, FleetView};
use crate::gateway::heartbeat::node_hash;

impl FleetPeer {
    /// Its reports and their age; none once they have expired.
    fn backlog(&self, now: Duration) -> (&[BacklogReport], Duration) {
        let age = self.backlog_at.map(|at| now.saturating_sub(at));
        match age.filter(|age| *age < REPORT_TTL) {
            Some(age) => (&self.heartbeat.backlog, age),
            None => (&[], Duration::ZERO),
        }
    }
}

impl FleetView {
    /// What other nodes reported lately of a pool, by its hash. Empty if none did.
    pub fn backlog(&self, pool: u64, now: Duration) -> FleetBacklog {
        self.reports(now)
            .filter(|report| report.pool == pool)
            .collect()
    }

    /// What other nodes reported lately of all pools.
    pub fn reports(&self, now: Duration) -> impl Iterator<Item = BacklogReport> {
        let peers = self.peers.values().map(move |peer| peer.backlog(now));
        peers.flat_map(|(reports, age)| reports.iter().map(move |report| report.aged(age)))
    }

    /// Hashes of the other nodes that send calls, as `sender_hashes`, without those whose waiting
    /// calls for the pool all go after calls of this class: they leave their places to them.
    pub fn contender_hashes(&self, pool: u64, class: WaitClass, now: Duration) -> Vec<u64> {
        let senders = self.peers.values().filter(|peer| peer.sends_calls());
        let contenders = senders.filter(|peer| !yields_to(peer.backlog(now).0, pool, class));
        contenders
            .map(|peer| node_hash(&peer.heartbeat.card.name))
            .collect()
    }
}
