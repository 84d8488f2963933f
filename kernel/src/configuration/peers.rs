//! Replicates records between nodes, so that an outage of the log neither splits nor stops the
//! fleet.
//!
//! A node announces the offset of a change to a few neighbours, which announce it in turn. The
//! neighbours of all nodes form a circulant graph, so the links are few and stable. Records
//! themselves are sent only to a node that still lacks them after a delay, because most nodes read
//! them from the log. Lost announcements are repaired by a slow periodic comparison with one other
//! node at a time (anti-entropy).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use crate::configuration::ConfigurationMessage;
use crate::ids::NodeId;
use crate::membership::{MemberView, NodeState};
use crate::plugin::Context;

/// Time between two comparisons with another node.
const COMPARE_PERIOD: Duration = Duration::from_secs(4);

/// Time to wait for the log to deliver records that another node is known to have, before
/// requesting them from that node.
const LOG_GRACE: Duration = Duration::from_millis(300);

/// Time without an answer after which another node is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of nodes that a starting node asks in one round.
const INITIAL_PEERS: usize = 5;

/// Last advertised state of another node.
#[derive(Clone, Copy, Debug)]
struct PeerOffset {
    next: u64,
    ready: bool,
}

/// Offsets that other nodes advertise, and the open requests to them.
#[derive(Clone, Debug, Default)]
pub struct PeerExchange {
    view: Arc<MemberView>,
    offsets: BTreeMap<NodeId, PeerOffset>,
    compare_at: Option<Duration>,
    behind_since: Option<Duration>,
    pending_request: Option<(NodeId, Duration)>,
    asked: BTreeSet<NodeId>,
    asked_at: Option<Duration>,
    last_asked: Option<Duration>,
}

/// Neighbours of a node among the live nodes, at increasing distances in the order of identifiers.
pub fn neighbours(view: &MemberView, node: NodeId) -> Vec<NodeId> {
    let live: Vec<NodeId> = live_nodes(view).collect();
    let count = live.len();
    let Some(own) = live.iter().position(|other| *other == node) else {
        return live.into_iter().take(3).collect();
    };
    let stride = (count as f64).cbrt().ceil() as usize;
    [1, stride, stride * stride]
        .into_iter()
        .filter(|distance| distance % count != 0)
        .map(|distance| live[(own + distance) % count])
        .collect::<BTreeSet<_>>()
        .into_iter()
        .collect()
}

/// The nodes that are live or leaving, in the order of identifiers.
pub fn live_nodes(view: &MemberView) -> impl Iterator<Item = NodeId> + '_ {
    view.members
        .iter()
        .filter(|(_, member)| matches!(member.state, NodeState::Live | NodeState::Leaving))
        .map(|(node, _)| *node)
}

impl PeerExchange {
    /// Updates the membership view. Removes the advertised offset of a node that is gone, or that
    /// restarted and so lost its state.
    pub fn update_view(&mut self, view: &Arc<MemberView>) {
        let run = |view: &MemberView, node: &NodeId| {
            let member = view.members.get(node);
            member.map(|member| member.incarnation)
        };
        let live: BTreeSet<NodeId> = live_nodes(view).collect();
        let stays = |node: &NodeId| live.contains(node) && run(view, node) == run(&self.view, node);
        self.offsets.retain(|node, _| stays(node));
        self.asked.retain(stays);
        self.view = Arc::clone(view);
    }

    /// The current membership view.
    pub fn view(&self) -> &MemberView {
        &self.view
    }

    /// Records the offset that another node advertises.
    pub fn record_offset(&mut self, from: NodeId, next: u64, ready: bool) {
        let known = self
            .offsets
            .entry(from)
            .or_insert(PeerOffset { next, ready });
        known.next = known.next.max(next);
        known.ready |= ready;
    }

    /// The highest offset that a live node advertises; 0 if there is none.
    pub fn newest(&self) -> u64 {
        self.offsets
            .values()
            .map(|known| known.next)
            .max()
            .unwrap_or_default()
    }

    /// Whether every node that was asked at the start has answered or timed out.
    pub fn all_answered(&self, now: Duration) -> bool {
        let Some(asked_at) = self.asked_at else {
            return false;
        };
        let alone = self.view.members.len() == 1;
        let asked = alone || !self.asked.is_empty();
        let all = self
            .asked
            .iter()
            .all(|node| self.offsets.contains_key(node));
        (asked && all) || now.saturating_sub(asked_at) > ANSWER_TIMEOUT * 2
    }

    /// Whether some node has advertised that it accepts calls.
    pub fn any_ready(&self) -> bool {
        self.offsets.values().any(|known| known.ready)
    }

    /// Announces a new offset to the neighbours that are not known to have it.
    pub fn announce(&self, next: u64, ready: bool, context: &mut Context<'_>) {
        let lacks = |node: &NodeId| self.offsets.get(node).is_none_or(|known| known.next < next);
        let neighbours = neighbours(&self.view, context.profile.node);
        for node in neighbours.into_iter().filter(lacks) {
            context.send(node, ConfigurationMessage::Have { next, ready });
        }
    }

    /// Records that requested data arrived.
    pub fn received(&mut self) {
        self.pending_request = None;
    }

    /// Sends what is due: the questions of a starting node, the periodic comparison, and requests
    /// for missing records.
    pub fn tick(
        &mut self,
        next: u64,
        ready: bool,
        log_unavailable: bool,
        context: &mut Context<'_>,
    ) {
        if !ready {
            self.ask_initial_peers(next, context);
        }
        self.compare(next, ready, context);
        self.request_missing(next, !ready || log_unavailable, context);
    }

    fn ask_initial_peers(&mut self, next: u64, context: &mut Context<'_>) {
        self.asked_at.get_or_insert(context.now);
        let waited = |since| context.now.saturating_sub(since) > ANSWER_TIMEOUT;
        let unanswered = |node: &NodeId| !self.offsets.contains_key(node);
        let missing = self.asked.is_empty() || self.asked.iter().any(unanswered);
        if !missing || !self.last_asked.is_none_or(waited) {
            return;
        }
        let own = context.profile.node;
        let mut others: Vec<NodeId> = live_nodes(&self.view).filter(|node| *node != own).collect();
        if others.is_empty() {
            return;
        }
        self.last_asked = Some(context.now);
        for _ in 0..INITIAL_PEERS.min(others.len()) {
            let node = others.swap_remove(context.random.random_range(0..others.len()));
            self.asked.insert(node);
            context.send(node, ConfigurationMessage::Ask { next, ready: false });
        }
    }

    fn compare(&mut self, next: u64, ready: bool, context: &mut Context<'_>) {
        let jitter = context.random.random_range(0.5..1.5);
        let due = self
            .compare_at
            .get_or_insert(context.now + COMPARE_PERIOD.mul_f64(jitter));
        if context.now < *due {
            return;
        }
        self.compare_at = Some(context.now + COMPARE_PERIOD.mul_f64(jitter));
        let Some(node) = self.comparison_peer(context) else {
            return;
        };
        context.send(node, ConfigurationMessage::Ask { next, ready });
    }

    /// Selects the node to compare with: three times out of four a neighbour, because the link to
    /// it exists already, otherwise any node.
    fn comparison_peer(&self, context: &mut Context<'_>) -> Option<NodeId> {
        let own = context.profile.node;
        let neighbours = neighbours(&self.view, own);
        if !neighbours.is_empty() && context.random.random_range(0..4) > 0 {
            return Some(neighbours[context.random.random_range(0..neighbours.len())]);
        }
        let others: Vec<NodeId> = live_nodes(&self.view).filter(|node| *node != own).collect();
        if others.is_empty() {
            return None;
        }
        Some(others[context.random.random_range(0..others.len())])
    }

    /// Requests records from one of the nodes that are ahead of this one. Unless `at_once` is set,
    /// the log gets some time to deliver them first.
    pub fn request_missing(&mut self, next: u64, at_once: bool, context: &mut Context<'_>) {
        let ahead: Vec<NodeId> = self
            .offsets
            .iter()
            .filter(|(_, known)| known.next > next)
            .map(|(node, _)| *node)
            .collect();
        if ahead.is_empty() {
            self.behind_since = None;
            return;
        }
        let since = *self.behind_since.get_or_insert(context.now);
        let wait_for_log = !at_once && context.now.saturating_sub(since) < LOG_GRACE;
        let request_pending = self
            .pending_request
            .is_some_and(|(_, since)| context.now.saturating_sub(since) < ANSWER_TIMEOUT);
        if wait_for_log || request_pending {
            return;
        }
        let node = ahead[context.random.random_range(0..ahead.len())];
        self.pending_request = Some((node, context.now));
        context.send(node, ConfigurationMessage::Want { from: next });
    }
}
