//! The plug-in that gives every upstream one owner node, by rendezvous hashing.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::config::Config;
use crate::event::Event;
use crate::ids::{NodeId, UpstreamId};
use crate::membership::{MemberView, NodeState};
use crate::plugin::{Context, NodeProfile, Plugin, Registration};

/// Which node owns which upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerMap {
    /// Owners.
    pub owners: BTreeMap<UpstreamId, NodeId>,
}

/// Computes the owners.
#[derive(Debug, Default)]
pub struct OwnershipTable {
    config: Arc<Config>,
    view: Arc<MemberView>,
    owners: Arc<OwnerMap>,
}

fn weight(node: NodeId, upstream: UpstreamId) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), upstream.0)
}

/// The owner of each upstream: of the live nodes, those in the upstream's own availability zone
/// first, the one with the highest hash (rendezvous hashing).
pub fn assign(config: &Config, view: &MemberView) -> OwnerMap {
    let live: Vec<_> = view
        .members
        .iter()
        .filter(|(_, member)| member.state == NodeState::Live)
        .collect();
    let owners = config
        .upstreams
        .iter()
        .filter_map(|(id, upstream)| {
            let owner = live
                .iter()
                .max_by_key(|(node, member)| (member.zone == upstream.zone, weight(**node, *id)))?;
            Some((*id, *owner.0))
        })
        .collect();
    OwnerMap { owners }
}

impl Plugin for OwnershipTable {
    fn handle(&mut self, event: &Event, context: &mut Context<'_>) {
        match event {
            Event::ConfigApplied(config) => self.config = Arc::clone(config),
            Event::MembersChanged(view) => self.view = Arc::clone(view),
            _ => return,
        }
        let owners = assign(&self.config, &self.view);
        if owners != *self.owners {
            self.owners = Arc::new(owners);
            context.raise(Event::OwnersChanged(Arc::clone(&self.owners)));
        }
    }

    fn dump(&self) -> Value {
        let owners: BTreeMap<String, String> = self
            .owners
            .owners
            .iter()
            .map(|(upstream, node)| {
                let upstream = self
                    .config
                    .upstreams
                    .get(upstream)
                    .map_or_else(|| upstream.to_string(), |found| found.spec.name.to_string());
                let node = self
                    .view
                    .members
                    .get(node)
                    .map_or_else(|| node.to_string(), |found| found.name.to_string());
                (upstream, node)
            })
            .collect();
        json!({ "owners": owners })
    }
}

fn build(_profile: &NodeProfile) -> Box<dyn Plugin> {
    Box::<OwnershipTable>::default()
}

inventory::submit! {
    Registration { name: "ownership", order: 30, build }
}
