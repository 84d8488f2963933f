//! Counts the nodes on which a version is in force. One node of each availability zone is asked and
//! counts its own zone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::configuration::ConfigurationMessage;
use crate::configuration::peers::live_nodes;
use crate::configuration::publish::RequestTicket;
use crate::event::Action;
use crate::ids::{NodeId, ZoneId};
use crate::membership::MemberView;
use crate::plugin::Context;

/// Time after which a count ends even if it is incomplete.
const COUNT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two requests to nodes that have not reached the version.
const REQUEST_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of counts that a node takes part in at a time.
const MAX_COUNTS: usize = 64;

/// Identifies a count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CountId {
    /// The node that started the count.
    pub node: NodeId,
    /// Sequence number among the counts of that node.
    pub sequence: u64,
}

/// Rollout progress of an accepted change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishProgress {
    /// Number of nodes on which the change is known to be in force.
    pub in_force: u32,
    /// Number of nodes that were live when the count started.
    pub of: u32,
}

#[derive(Clone, Debug)]
enum CountParent {
    Request(RequestTicket),
    Node(NodeId),
}

#[derive(Clone, Debug)]
struct NodeCount {
    version: u64,
    parent: CountParent,
    /// The nodes asked, each with the nodes that it asks in turn.
    asked: BTreeMap<NodeId, Vec<NodeId>>,
    reached: BTreeMap<NodeId, u32>,
    of: u32,
    reported: Option<u32>,
    next_request: Duration,
    expires: Duration,
}

/// The counts that this node takes part in.
#[derive(Clone, Debug, Default)]
pub struct RolloutCounter {
    counts: BTreeMap<CountId, NodeCount>,
    sequence: u64,
}

fn nodes_by_zone(view: &MemberView, own: NodeId) -> BTreeMap<NodeId, Vec<NodeId>> {
    let mut zones: BTreeMap<ZoneId, Vec<NodeId>> = BTreeMap::new();
    for node in live_nodes(view).filter(|node| *node != own) {
        zones
            .entry(view.members[&node].zone)
            .or_default()
            .push(node);
    }
    zones
        .into_values()
        .filter_map(|mut nodes| {
            let head = nodes.pop()?;
            Some((head, nodes))
        })
        .collect()
}

impl RolloutCounter {
    /// Starts a count of the nodes at or past a version for a publisher.
    pub fn start(
        &mut self,
        request: RequestTicket,
        version: u64,
        view: &MemberView,
        context: &mut Context<'_>,
    ) {
        self.sequence += 1;
        let id = CountId {
            node: context.profile.node,
            sequence: self.sequence,
        };
        let asked = nodes_by_zone(view, context.profile.node);
        let of = asked
            .values()
            .map(|nodes| nodes.len() as u32 + 1)
            .sum::<u32>()
            + 1;
        self.insert(
            id,
            version,
            CountParent::Request(request),
            asked,
            of,
            context,
        );
    }

    /// Handles the request of another node to take part in its count.
    pub fn asked(
        &mut self,
        id: CountId,
        from: NodeId,
        version: u64,
        nodes: &[NodeId],
        context: &mut Context<'_>,
    ) {
        if let Some(count) = self.counts.get_mut(&id) {
            count.reported = None;
            return;
        }
        let asked: BTreeMap<NodeId, Vec<NodeId>> =
            nodes.iter().map(|node| (*node, Vec::new())).collect();
        let of = asked.len() as u32 + 1;
        self.insert(id, version, CountParent::Node(from), asked, of, context);
    }

    fn insert(
        &mut self,
        id: CountId,
        version: u64,
        parent: CountParent,
        asked: BTreeMap<NodeId, Vec<NodeId>>,
        of: u32,
        context: &Context<'_>,
    ) {
        if self.counts.len() >= MAX_COUNTS {
            return;
        }
        let count = NodeCount {
            version,
            parent,
            asked,
            reached: BTreeMap::new(),
            of,
            reported: None,
            next_request: Duration::ZERO,
            expires: context.now + COUNT_TIMEOUT,
        };
        self.counts.insert(id, count);
    }

    /// Records the count that an asked node reported.
    pub fn reached(&mut self, id: CountId, from: NodeId, nodes: u32) {
        let Some(count) = self.counts.get_mut(&id) else {
            return;
        };
        if let Some(asked) = count.asked.get(&from) {
            let most = asked.len() as u32 + 1;
            count.reached.insert(from, nodes.min(most));
        }
    }

    /// Sends due requests, reports changed counts, and ends counts that are complete or expired.
    /// `version` is the one in force here.
    pub fn tick(&mut self, version: u64, context: &mut Context<'_>) {
        let mut done = BTreeSet::new();
        for (id, count) in &mut self.counts {
            count.send_requests(*id, context);
            let own = u32::from(version >= count.version);
            let reached = own + count.reached.values().sum::<u32>();
            count.report(*id, reached, context);
            if reached >= count.of || context.now >= count.expires {
                done.insert(*id);
            }
        }
        self.counts.retain(|id, _| !done.contains(id));
    }
}

impl NodeCount {
    fn send_requests(&mut self, id: CountId, context: &mut Context<'_>) {
        if context.now < self.next_request {
            return;
        }
        if self.next_request > Duration::ZERO {
            self.replace_unresponsive();
        }
        self.next_request = context.now + REQUEST_PERIOD;
        for (node, nodes) in &self.asked {
            let counted = self.reached.get(node).copied().unwrap_or_default();
            if counted <= nodes.len() as u32 {
                let count = ConfigurationMessage::Count {
                    id,
                    version: self.version,
                    nodes: nodes.clone(),
                };
                context.send(*node, count);
            }
        }
    }

    /// Replaces each asked node that has not answered at all by another one of its zone.
    fn replace_unresponsive(&mut self) {
        let unresponsive: Vec<NodeId> = self
            .asked
            .iter()
            .filter(|(node, nodes)| !nodes.is_empty() && !self.reached.contains_key(node))
            .map(|(node, _)| *node)
            .collect();
        for node in unresponsive {
            let Some(mut nodes) = self.asked.remove(&node) else {
                continue;
            };
            let head = nodes.remove(0);
            nodes.push(node);
            self.asked.insert(head, nodes);
        }
    }

    fn report(&mut self, id: CountId, reached: u32, context: &mut Context<'_>) {
        let changed = self.reported != Some(reached) && (reached > 0 || self.reported.is_some());
        if !changed {
            return;
        }
        self.reported = Some(reached);
        match self.parent {
            CountParent::Request(request) => context.act(Action::PublishProgressed {
                request,
                progress: PublishProgress {
                    in_force: reached,
                    of: self.of,
                },
            }),
            CountParent::Node(node) => {
                context.send(node, ConfigurationMessage::Counted { id, nodes: reached });
            }
        }
    }
}
