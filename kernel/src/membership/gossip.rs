//! Sending and merging membership updates.

use std::time::Duration;

use crate::event::Event;
use crate::ids::{NodeId, UpstreamId};
use crate::membership::MembershipTable;
use crate::membership::message::{MembershipMessage, UpdateBatch};
use crate::membership::outbox::{UpdateAudience, UpdateKey};
use crate::membership::record::{NodeHealth, NodeRecord, NodeUpdate};
use crate::membership::table::LocalSuspicion;
use crate::membership::upstream::UpstreamChange;
use crate::plugin::Context;

/// Time that a bridge other than the first waits for the first one to send updates from another
/// zone to its own zone.
const BACKUP_BRIDGE_DELAY: Duration = Duration::from_millis(300);

/// Number of bridges per zone that propagate its updates at once; others only repair differences.
const PROPAGATING_BRIDGES: usize = 2;

impl MembershipTable {
    /// The updates with these keys, with their current content.
    pub(super) fn batch(&self, keys: &[UpdateKey]) -> UpdateBatch {
        let mut batch = UpdateBatch::default();
        for key in keys {
            match key {
                UpdateKey::Node(node) => {
                    let row = self.rows.get(*node);
                    batch
                        .0
                        .extend(row.map(|row| NodeUpdate::new(*node, &row.record)));
                }
                UpdateKey::Upstream(upstream) => batch.1.extend(self.upstreams.update(*upstream)),
                UpdateKey::Zone(zone) => batch.2.extend(self.zones.update(*zone)),
            }
        }
        batch
    }

    /// Updates to piggyback on a probe of `peer`. A suspicion of the peer itself is always
    /// included, so that the peer can refute it.
    pub(super) fn piggyback_updates(&mut self, peer: NodeId) -> UpdateBatch {
        let mut keys = self.outbox.take_piggyback();
        let suspected = self
            .rows
            .get(peer)
            .is_some_and(|row| row.record.health != NodeHealth::Live);
        if suspected && !keys.contains(&UpdateKey::Node(peer)) {
            keys.push(UpdateKey::Node(peer));
        }
        self.batch(&keys)
    }

    /// Sends queued updates as far as the rate limit permits.
    pub(super) fn send_updates(&mut self, context: &mut Context<'_>) {
        let keys = self.outbox.take_group(self.group.ring.len(), context.now);
        if !keys.is_empty() {
            let receivers = self.group.ring.clone();
            self.send_to(&receivers, &keys, context);
        }
        if !self.group.zoned {
            return;
        }
        let receivers = self.group.counterparts(context.profile.zone);
        let keys = self.outbox.take_other_zones(receivers.len(), context.now);
        if !keys.is_empty() {
            self.send_to(&receivers, &keys, context);
        }
    }

    fn send_to(&self, receivers: &[NodeId], keys: &[UpdateKey], context: &mut Context<'_>) {
        let batch = self.batch(keys);
        for receiver in receivers {
            context.send(*receiver, MembershipMessage::Updates(batch.clone()));
        }
    }

    /// Queues the changed record of a node. `detected_here` is set if the change was detected here
    /// or came from another zone, so that this node sends it to its group.
    pub(super) fn queue_change(
        &mut self,
        node: NodeId,
        before: &NodeRecord,
        detected_here: bool,
        now: Duration,
    ) {
        self.dirty = true;
        let Some(row) = self.rows.get(node) else {
            return;
        };
        let own = !self.group.zoned || row.zone == self.zone;
        let fleet_wide = before.is_fleet_wide() || row.record.is_fleet_wide();
        let audience = UpdateAudience {
            group: detected_here && (own || fleet_wide),
            other_zones: own && fleet_wide && self.propagates_to_zones(),
        };
        if own || fleet_wide {
            let after = if own { now } else { self.group_send_time(now) };
            self.outbox.add(UpdateKey::Node(node), audience, after);
        }
        self.remove_if_gone(node);
    }

    /// Time at which this node sends an update from another zone to its group.
    fn group_send_time(&self, now: Duration) -> Duration {
        match self.group.rank {
            None | Some(0) => now,
            Some(_) => now + BACKUP_BRIDGE_DELAY,
        }
    }

    fn propagates_to_zones(&self) -> bool {
        self.group
            .rank
            .is_some_and(|rank| rank < PROPAGATING_BRIDGES)
    }

    fn is_in_other_group(&self, from: NodeId) -> bool {
        self.group.zoned && self.rows.get(from).is_none_or(|row| row.zone != self.zone)
    }

    /// Merges updates that arrived outside a probe. Each node newly suspected by them is pinged at
    /// once, so that it learns of the suspicion by more than one path.
    pub(super) fn handle_updates(
        &mut self,
        from: NodeId,
        updates: &UpdateBatch,
        context: &mut Context<'_>,
    ) {
        let suspects = self.merge(from, updates, context);
        for suspect in suspects {
            self.ping(suspect, context);
        }
    }

    /// Merges updates; returns the nodes that became suspect by them.
    pub(super) fn merge(
        &mut self,
        from: NodeId,
        updates: &UpdateBatch,
        context: &mut Context<'_>,
    ) -> Vec<NodeId> {
        let mut suspects = Vec::new();
        for node_update in &updates.0 {
            let node = node_update.0;
            let Some(record) = node_update.record() else {
                continue;
            };
            if node == self.node {
                self.refute(&record, context.now);
            } else if self.merge_node(from, node, record, context) {
                suspects.push(node);
            }
        }
        self.merge_marks(from, updates, context);
        suspects
    }

    /// Refutes a record of this node that is newer than its own, by raising its epoch above it.
    fn refute(&mut self, received: &NodeRecord, now: Duration) {
        let Some(row) = self.rows.get(self.node) else {
            return;
        };
        if !received.supersedes(&row.record) {
            return;
        }
        let record = NodeRecord {
            epoch: received.epoch.saturating_add(1),
            ..row.record
        };
        let before = row.record;
        self.rows.set_record(self.node, record);
        self.queue_change(self.node, &before, true, now);
    }

    /// Announces that this node is leaving. Irrevocable for this run.
    pub(super) fn announce_leaving(&mut self, now: Duration) {
        let Some(row) = self.rows.get(self.node) else {
            return;
        };
        if row.record.leaving {
            return;
        }
        let record = NodeRecord {
            epoch: row.record.epoch.saturating_add(1),
            leaving: true,
            ..row.record
        };
        let before = row.record;
        self.rows.set_record(self.node, record);
        self.queue_change(self.node, &before, true, now);
    }

    fn merge_node(
        &mut self,
        from: NodeId,
        node: NodeId,
        mut record: NodeRecord,
        context: &mut Context<'_>,
    ) -> bool {
        let from_other_group = self.is_in_other_group(from);
        let in_other_group = self.is_in_other_group(node);
        let Some(row) = self.rows.get_mut(node) else {
            return false;
        };
        let known = row.record;
        if in_other_group && record.health == NodeHealth::Suspect {
            record.health = NodeHealth::Live;
        }
        if !record.supersedes(&known) {
            if from == node && known.supersedes(&record) {
                self.send_correction(node, context);
            }
            if !from_other_group && known == record {
                self.outbox.mark_group_informed(UpdateKey::Node(node));
            }
            return false;
        }
        if record.incarnation == known.incarnation {
            record.leaving |= known.leaving;
        } else {
            row.list_leaving &= known.epoch == 0;
        }
        if record.health == NodeHealth::Live {
            row.local_suspicion = row
                .local_suspicion
                .filter(|doubt| *doubt != LocalSuspicion::DeadWhileIsolated);
        }
        self.rows.set_record(node, record);
        if record.health == NodeHealth::Suspect {
            self.prober.add_remote_suspicion(node, context.now);
        } else {
            self.prober.clear_suspicion(node);
        }
        self.repair.record_update(context.now);
        let detected_here = from_other_group && record.health != NodeHealth::Suspect;
        self.queue_change(node, &known, detected_here, context.now);
        record.health == NodeHealth::Suspect
    }

    /// Sends a node the newer record that the fleet has of it.
    fn send_correction(&self, node: NodeId, context: &mut Context<'_>) {
        let updates = self.batch(&[UpdateKey::Node(node)]);
        context.send(node, MembershipMessage::Updates(updates));
    }

    fn merge_marks(&mut self, from: NodeId, updates: &UpdateBatch, context: &mut Context<'_>) {
        let from_other_group = self.is_in_other_group(from);
        for upstream_update in &updates.1 {
            let (new, change) = self.upstreams.merge(*upstream_update);
            if new {
                self.repair.record_update(context.now);
                let after = self.group_send_time(context.now);
                self.queue_upstream(upstream_update.0, from_other_group, after);
            } else if !from_other_group {
                self.outbox
                    .mark_group_informed(UpdateKey::Upstream(upstream_update.0));
            }
            raise_change(change, context);
        }
        if from_other_group {
            return;
        }
        for zone_update in &updates.2 {
            if self.zones.merge(*zone_update) {
                self.repair.record_update(context.now);
                let key = UpdateKey::Zone(zone_update.0);
                self.outbox.add(key, UpdateAudience::default(), context.now);
                self.dirty = true;
            }
        }
    }

    fn queue_upstream(&mut self, upstream: UpstreamId, detected_here: bool, after: Duration) {
        let audience = UpdateAudience {
            group: detected_here,
            other_zones: self.propagates_to_zones(),
        };
        self.outbox
            .add(UpdateKey::Upstream(upstream), audience, after);
    }

    /// Propagates and raises a change of an upstream that was detected here.
    pub(super) fn propagate_change(&mut self, change: UpstreamChange, context: &mut Context<'_>) {
        let (UpstreamChange::Leaving(upstream) | UpstreamChange::Returned(upstream)) = change;
        self.queue_upstream(upstream, true, context.now);
        raise_change(Some(change), context);
    }

    /// Marks an upstream as leaving on an operator's request.
    pub(super) fn drain_upstream(&mut self, upstream: UpstreamId, context: &mut Context<'_>) {
        if let Some(change) = self.upstreams.drain(upstream) {
            self.propagate_change(change, context);
        }
    }

    /// Applies an upstream's own report whether it is leaving.
    pub(super) fn apply_report(
        &mut self,
        upstream: UpstreamId,
        leaving: bool,
        context: &mut Context<'_>,
    ) {
        if let Some(change) = self.upstreams.report(upstream, leaving, context.now) {
            self.propagate_change(change, context);
        }
    }

    /// Clears the suspicion of a broken link to this node.
    pub(super) fn link_up(&mut self, node: NodeId) {
        if let Some(row) = self.rows.get_mut(node)
            && row.local_suspicion == Some(LocalSuspicion::LinkDown)
        {
            row.local_suspicion = None;
            self.dirty = true;
        }
    }
}

fn raise_change(change: Option<UpstreamChange>, context: &mut Context<'_>) {
    match change {
        Some(UpstreamChange::Leaving(upstream)) => context.raise(Event::UpstreamLeaving(upstream)),
        Some(UpstreamChange::Returned(upstream)) => {
            context.raise(Event::UpstreamReturned(upstream));
        }
        None => {}
    }
}
