//! The plug-in that knows which nodes exist, live and leave.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::event::Event;
use crate::ids::{Incarnation, NodeId, ZoneId};
use crate::plugin::{Context, NodeProfile, Plugin, Registration};

/// A row of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The host's name: a node's or an upstream's.
    pub name: Box<str>,
    /// The availability zone.
    pub zone: Box<str>,
    /// What runs there.
    pub role: HostRole,
    /// Where other nodes reach it (IP number and port); empty for upstreams.
    pub peer_address: Box<str>,
    /// Where callers reach it (IP number and port); empty for upstreams.
    pub caller_address: Box<str>,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}

/// What runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// A node of the router.
    Node,
    /// An upstream.
    Upstream,
}

/// Messages about liveness.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipMessage {
    /// "I live."
    Ping {
        /// The sender's run.
        incarnation: Incarnation,
        /// Whether the sender is leaving.
        leaving: bool,
    },
}

/// Whether a node can be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// Answers.
    Live,
    /// Does not answer now, but is not given up yet.
    Suspect,
    /// Finishes what it has and takes nothing new.
    Leaving,
    /// Given up.
    Dead,
}

/// A node, as another node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node's name.
    pub name: Box<str>,
    /// The availability zone.
    pub zone: ZoneId,
    /// The availability zone's name.
    pub zone_name: Box<str>,
    /// The newest run seen.
    pub incarnation: Incarnation,
    /// The state.
    pub state: NodeState,
    /// Where other nodes reach it.
    pub peer_address: Box<str>,
    /// Where callers reach it.
    pub caller_address: Box<str>,
}

/// All nodes known, this one included.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberView {
    /// Nodes.
    pub members: BTreeMap<NodeId, Member>,
}

/// Keeps the membership.
#[derive(Debug, Default)]
pub struct MembershipTable {
    view: Arc<MemberView>,
}

impl Plugin for MembershipTable {
    fn handle(&mut self, event: &Event, context: &mut Context<'_>) {
        let Event::HostList(hosts) = event else {
            return;
        };
        let members = hosts
            .iter()
            .filter(|host| host.role == HostRole::Node)
            .map(|host| {
                let member = Member {
                    name: host.name.clone(),
                    zone: ZoneId::named(&host.zone),
                    zone_name: host.zone.clone(),
                    incarnation: Incarnation(0),
                    state: if host.leaving {
                        NodeState::Leaving
                    } else {
                        NodeState::Live
                    },
                    peer_address: host.peer_address.clone(),
                    caller_address: host.caller_address.clone(),
                };
                (NodeId::named(&host.name), member)
            })
            .collect();
        let view = MemberView { members };
        if view != *self.view {
            self.view = Arc::new(view);
            context.raise(Event::MembersChanged(Arc::clone(&self.view)));
        }
    }

    fn dump(&self) -> Value {
        let members: Vec<&Member> = self.view.members.values().collect();
        json!({ "members": members })
    }
}

fn build(_profile: &NodeProfile) -> Box<dyn Plugin> {
    Box::<MembershipTable>::default()
}

inventory::submit! {
    Registration { name: "membership", order: 20, build }
}
