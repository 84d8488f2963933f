//! Failure detection inside a group.
//!
//! Follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process
//! Group Membership Protocol", 2002): one probe per period, indirect probes through other nodes to
//! tolerate a single bad link, and a suspicion that the suspect may refute. Unlike SWIM, every
//! second probe goes to the next node on a ring, which bounds the time until a dead node is first
//! probed.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use crate::ids::NodeId;
use crate::membership::MembershipTable;
use crate::membership::message::{MembershipMessage, UpdateBatch};
use crate::membership::outbox::{UpdateAudience, UpdateKey};
use crate::membership::record::{NodeHealth, NodeRecord};
use crate::membership::table::LocalSuspicion;
use crate::plugin::Context;

/// Time between two probes that a node sends.
pub const PROBE_PERIOD: Duration = Duration::from_millis(400);
/// Timeout of a direct probe, after which indirect probes start.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of indirect probes, after which the target becomes suspect.
pub const INDIRECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of nodes that send indirect probes on behalf of this one.
pub const INDIRECT_PROBES: usize = 3;
/// Time that a suspect has to refute a suspicion raised here.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a suspect has to refute a suspicion raised here if the link to it broke as well.
pub const BROKEN_LINK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that a suspect has to refute a suspicion raised by another node.
pub const REMOTE_SUSPICION_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a node whose link broke stays locally suspect. Afterwards the link is assumed to
/// work again, and the next message shows whether it does.
pub const LINK_SUSPICION_TIME: Duration = Duration::from_secs(5);
/// Time between two probes of nodes that are dead but still listed.
pub const DEAD_PROBE_PERIOD: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct OpenProbe {
    target: NodeId,
    indirect: bool,
    until: Duration,
}

#[derive(Clone, Copy, Debug)]
struct RelayedProbe {
    origin: NodeId,
    sequence: u32,
    until: Duration,
}

#[derive(Clone, Copy, Debug)]
struct OpenSuspicion {
    began: Duration,
    until: Duration,
}

/// Open probes and suspicions.
#[derive(Debug, Default)]
pub struct ProbeTable {
    sequence: u32,
    probes: BTreeMap<u32, OpenProbe>,
    relays: BTreeMap<u32, RelayedProbe>,
    suspicions: BTreeMap<NodeId, OpenSuspicion>,
    link_suspicions: BTreeMap<NodeId, Duration>,
    order: Vec<NodeId>,
    ring_turn: bool,
    next_probe: Duration,
    next_dead_probe: Duration,
    last_contact: Duration,
}

impl ProbeTable {
    /// Number of open suspicions.
    pub fn suspicions(&self) -> usize {
        self.suspicions.len()
    }

    /// Records that a message of a node in the group arrived.
    pub fn record_contact(&mut self, now: Duration) {
        self.last_contact = now;
    }

    /// Records a suspicion that another node reported.
    pub fn add_remote_suspicion(&mut self, node: NodeId, now: Duration) {
        self.suspicions.entry(node).or_insert(OpenSuspicion {
            began: now,
            until: now + REMOTE_SUSPICION_TIMEOUT,
        });
    }

    /// Removes the suspicion of a node, if there is one.
    pub fn clear_suspicion(&mut self, node: NodeId) {
        self.suspicions.remove(&node);
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    fn is_probing(&self, target: NodeId) -> bool {
        self.probes.values().any(|probe| probe.target == target)
    }
}

/// A random duration between 0.9 and 1.1 times `period`, so that nodes do not synchronize.
pub fn jitter(period: Duration, context: &mut Context<'_>) -> Duration {
    period.mul_f64(context.random.random_range(0.9..1.1))
}

impl MembershipTable {
    /// Expires probes and suspicions, and sends the probes that are due.
    pub(super) fn tick_probes(&mut self, context: &mut Context<'_>) {
        self.expire_probes(context);
        self.expire_suspicions(context);
        self.expire_link_suspicions(context.now);
        self.start_probe(context);
        self.probe_dead(context);
    }

    fn expire_probes(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        self.prober.relays.retain(|_, relay| relay.until > now);
        let due: Vec<(u32, OpenProbe)> = self
            .prober
            .probes
            .iter()
            .filter(|(_, probe)| probe.until <= now)
            .map(|(sequence, probe)| (*sequence, *probe))
            .collect();
        for (sequence, probe) in due {
            if probe.indirect {
                self.prober.probes.remove(&sequence);
                self.suspect(probe.target, context);
            } else {
                self.probe_indirectly(sequence, probe.target, context);
            }
        }
    }

    fn probe_indirectly(&mut self, sequence: u32, target: NodeId, context: &mut Context<'_>) {
        let Some(probe) = self.prober.probes.get_mut(&sequence) else {
            return;
        };
        probe.indirect = true;
        probe.until = context.now + INDIRECT_TIMEOUT;
        for helper in self.helpers(target, context) {
            context.send(helper, MembershipMessage::ProbeFor(sequence, target));
        }
    }

    fn helpers(&self, target: NodeId, context: &mut Context<'_>) -> Vec<NodeId> {
        let mut others: Vec<NodeId> = self
            .group
            .ring
            .iter()
            .filter(|node| **node != target)
            .copied()
            .collect();
        shuffle(&mut others, INDIRECT_PROBES, context);
        others.truncate(INDIRECT_PROBES);
        others
    }

    fn expire_suspicions(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        let due: Vec<(NodeId, OpenSuspicion)> = self
            .prober
            .suspicions
            .iter()
            .filter(|(_, suspicion)| suspicion.until <= now)
            .map(|(node, suspicion)| (*node, *suspicion))
            .collect();
        for (node, suspicion) in due {
            self.prober.suspicions.remove(&node);
            if self.prober.last_contact > suspicion.began {
                self.declare_dead(node, now);
            } else {
                self.mark_dead_locally(node);
            }
        }
    }

    fn declare_dead(&mut self, node: NodeId, now: Duration) {
        let Some(row) = self.rows.get(node) else {
            return;
        };
        let record = NodeRecord {
            health: NodeHealth::Dead,
            ..row.record
        };
        let before = row.record;
        self.rows.set_record(node, record);
        self.queue_change(node, &before, true, now);
    }

    /// Treats a node as dead locally without gossiping it. A node that receives no messages may
    /// itself be isolated, and its reports would only force all other nodes to refute them later.
    fn mark_dead_locally(&mut self, node: NodeId) {
        if let Some(row) = self.rows.get_mut(node) {
            row.local_suspicion = Some(LocalSuspicion::DeadWhileIsolated);
            self.dirty = true;
        }
    }

    fn suspect(&mut self, node: NodeId, context: &mut Context<'_>) {
        let Some(row) = self.rows.get(node) else {
            return;
        };
        if row.is_dead() {
            return;
        }
        let timeout = match row.local_suspicion {
            Some(LocalSuspicion::LinkDown) => BROKEN_LINK_TIMEOUT,
            _ => SUSPICION_TIMEOUT,
        };
        let now = context.now;
        let suspicion = self.prober.suspicions.entry(node).or_insert(OpenSuspicion {
            began: now,
            until: now + timeout,
        });
        suspicion.until = suspicion.until.min(now + timeout);
        let record = NodeRecord {
            health: NodeHealth::Suspect,
            ..row.record
        };
        if record == row.record {
            return;
        }
        self.rows.set_record(node, record);
        self.outbox
            .add(UpdateKey::Node(node), UpdateAudience::default(), now);
        self.dirty = true;
        let mut receivers = self.helpers(node, context);
        receivers.push(node);
        let updates = self.batch(&[UpdateKey::Node(node)]);
        for receiver in receivers {
            context.send(receiver, MembershipMessage::Updates(updates.clone()));
        }
    }

    fn start_probe(&mut self, context: &mut Context<'_>) {
        if context.now < self.prober.next_probe {
            return;
        }
        let next = self.prober.next_probe + jitter(PROBE_PERIOD, context);
        self.prober.next_probe = next.max(context.now + PROBE_PERIOD / 2);
        self.prober.ring_turn = !self.prober.ring_turn;
        let target = if self.prober.ring_turn {
            self.group.successor(context.profile.node)
        } else {
            self.next_random_target(context)
        };
        if let Some(target) = target {
            self.probe(target, context);
        }
    }

    fn next_random_target(&mut self, context: &mut Context<'_>) -> Option<NodeId> {
        if self.prober.order.is_empty() {
            let mut order = self.group.ring.clone();
            let all = order.len();
            shuffle(&mut order, all, context);
            self.prober.order = order;
        }
        let next = self.prober.order.pop()?;
        let in_group = self.group.ring.binary_search(&next).is_ok();
        in_group.then_some(next)
    }

    fn probe_dead(&mut self, context: &mut Context<'_>) {
        if context.now < self.prober.next_dead_probe {
            return;
        }
        self.prober.next_dead_probe = context.now + jitter(DEAD_PROBE_PERIOD, context);
        if self.group.dead.is_empty() {
            return;
        }
        let index = context.random.random_range(0..self.group.dead.len());
        self.ping(self.group.dead[index], context);
    }

    fn probe(&mut self, target: NodeId, context: &mut Context<'_>) -> u32 {
        let sequence = self.ping(target, context);
        let probe = OpenProbe {
            target,
            indirect: false,
            until: context.now + PROBE_TIMEOUT,
        };
        self.prober.probes.insert(sequence, probe);
        sequence
    }

    /// Sends a ping without a timeout for its acknowledgement.
    pub(super) fn ping(&mut self, target: NodeId, context: &mut Context<'_>) -> u32 {
        let sequence = self.prober.next_sequence();
        let updates = self.piggyback_updates(target);
        let message = MembershipMessage::Ping(sequence, self.digest_for(target), updates);
        context.send(target, message);
        sequence
    }

    /// Probes a node at once, directly and indirectly, because its link broke. A broken link alone
    /// does not prove that the node is dead.
    pub(super) fn link_down(&mut self, node: NodeId, context: &mut Context<'_>) {
        self.suspect_link(node, context.now);
        let in_group = self.group.ring.binary_search(&node).is_ok();
        if !in_group {
            return;
        }
        if let Some(suspicion) = self.prober.suspicions.get_mut(&node) {
            let until = context.now + BROKEN_LINK_TIMEOUT;
            suspicion.until = suspicion.until.min(until);
            return;
        }
        if self.prober.is_probing(node) {
            return;
        }
        let sequence = self.probe(node, context);
        self.probe_indirectly(sequence, node, context);
    }

    /// Merges the updates of a ping and acknowledges it.
    pub(super) fn answer_ping(
        &mut self,
        from: NodeId,
        sequence: u32,
        updates: &UpdateBatch,
        context: &mut Context<'_>,
    ) {
        self.merge(from, updates, context);
        let updates = self.piggyback_updates(from);
        let digest = self.digest_for(from);
        context.send(from, MembershipMessage::Ack(sequence, digest, updates));
    }

    /// Closes the probe that an acknowledgement belongs to, and reports it if the probe was on
    /// behalf of another node.
    pub(super) fn handle_ack(&mut self, sequence: u32, from: NodeId, context: &mut Context<'_>) {
        if let Some(relay) = self.prober.relays.remove(&sequence) {
            context.send(relay.origin, MembershipMessage::Reached(relay.sequence));
        }
        let asked = self.prober.probes.get(&sequence);
        if asked.is_some_and(|probe| probe.target == from) {
            self.prober.probes.remove(&sequence);
        }
    }

    /// Closes a probe that only succeeded indirectly: the target is live, the link to it suspect.
    pub(super) fn handle_reached(&mut self, sequence: u32, now: Duration) {
        if let Some(probe) = self.prober.probes.remove(&sequence) {
            self.suspect_link(probe.target, now);
        }
    }

    fn suspect_link(&mut self, node: NodeId, now: Duration) {
        let Some(row) = self.rows.get_mut(node) else {
            return;
        };
        self.prober
            .link_suspicions
            .insert(node, now + LINK_SUSPICION_TIME);
        if row.local_suspicion.is_none() {
            row.local_suspicion = Some(LocalSuspicion::LinkDown);
            self.dirty = true;
        }
    }

    fn expire_link_suspicions(&mut self, now: Duration) {
        let due = self
            .prober
            .link_suspicions
            .extract_if(.., |_, until| *until <= now);
        let nodes: Vec<NodeId> = due.map(|(node, _)| node).collect();
        for node in nodes {
            self.link_up(node);
        }
    }

    /// Pings a node on behalf of another one.
    pub(super) fn probe_on_behalf(
        &mut self,
        origin: NodeId,
        sequence: u32,
        target: NodeId,
        context: &mut Context<'_>,
    ) {
        let own = self.ping(target, context);
        let relay = RelayedProbe {
            origin,
            sequence,
            until: context.now + INDIRECT_TIMEOUT * 2,
        };
        self.prober.relays.insert(own, relay);
    }
}

/// Moves a random selection of `count` nodes to the front (Fisher–Yates shuffle).
fn shuffle(nodes: &mut [NodeId], count: usize, context: &mut Context<'_>) {
    for index in 0..count.min(nodes.len()) {
        let other = context.random.random_range(index..nodes.len());
        nodes.swap(index, other);
    }
}
