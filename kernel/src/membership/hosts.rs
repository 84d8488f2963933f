//! Applies the platform's host list: which nodes exist, and which are marked as leaving.

use std::collections::BTreeMap;

use crate::ids::{NodeId, ZoneId};
use crate::membership::outbox::{UpdateAudience, UpdateKey};
use crate::membership::table::NodeRow;
use crate::membership::{HostEntry, HostRole, MembershipTable};
use crate::plugin::Context;

impl MembershipTable {
    /// Applies the host list, unless it is unchanged.
    pub(super) fn apply_host_list(&mut self, hosts: &[HostEntry], context: &mut Context<'_>) {
        if self.started.is_some() && hosts == &*self.hosts {
            return;
        }
        self.hosts = hosts.to_vec();
        let listed: BTreeMap<NodeId, &HostEntry> = hosts
            .iter()
            .filter(|host| host.role == HostRole::Node)
            .map(|host| (NodeId::named(&host.name), host))
            .collect();
        for (node, host) in &listed {
            self.apply_entry(*node, host);
        }
        self.mark_unlisted(&listed);
        self.dirty = true;
        let zones: Vec<ZoneId> = self.rows.rows().values().map(|row| row.zone).collect();
        self.zones.set_zones(zones.into_iter());
        for change in self.upstreams.apply_host_list(hosts) {
            self.propagate_change(change, context);
        }
        if self.started.is_none() {
            self.start(context);
        }
    }

    fn apply_entry(&mut self, node: NodeId, host: &HostEntry) {
        let Some(row) = self.rows.get_mut(node) else {
            let mut row = NodeRow::new(host);
            row.list_leaving = host.leaving;
            self.rows.insert(node, row);
            return;
        };
        row.listed = true;
        // The flag applies to the currently known run; a later run starts without it.
        if host.leaving != row.host.leaving {
            row.list_leaving = host.leaving && node != self.node;
        }
        if row.host.zone != host.zone && node != self.node {
            let mut moved = row.clone();
            moved.zone = ZoneId::named(&host.zone);
            moved.host = host.clone();
            self.rows.insert(node, moved);
            return;
        }
        row.host = host.clone();
    }

    /// Marks nodes that the list no longer contains. Such a node is removed once it is dead or
    /// leaving. A node that still responds is retained, so that an incomplete list cannot take down
    /// the fleet.
    fn mark_unlisted(&mut self, listed: &BTreeMap<NodeId, &HostEntry>) {
        let own = self.node;
        let unlisted: Vec<NodeId> = self
            .rows
            .rows()
            .keys()
            .filter(|node| **node != own && !listed.contains_key(node))
            .copied()
            .collect();
        for node in unlisted {
            if let Some(row) = self.rows.get_mut(node) {
                row.listed = false;
            }
            self.remove_if_gone(node);
        }
    }

    /// Removes the row of a node that is unlisted and either dead or leaving.
    pub(super) fn remove_if_gone(&mut self, node: NodeId) {
        let gone = self
            .rows
            .get(node)
            .is_some_and(|row| node != self.node && !row.listed && !row.is_serving());
        if gone {
            self.rows.remove(node);
            self.prober.clear_suspicion(node);
            self.dirty = true;
        }
    }

    fn start(&mut self, context: &mut Context<'_>) {
        self.started = Some(context.now);
        let audience = UpdateAudience {
            group: true,
            other_zones: false,
        };
        let key = UpdateKey::Node(self.node);
        self.outbox.add(key, audience, context.now);
    }
}
