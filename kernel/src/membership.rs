//! The plug-in that tracks which nodes exist, are live or leaving, and which upstreams leave.
//!
//! The platform's host list defines which nodes exist. Nodes of one group probe each other to
//! detect failures ([`group`], [`probe`]). Updates are gossiped: sent to the group at once,
//! piggybacked on probes, and passed to other zones by bridge nodes ([`zone`]). Lost updates are
//! repaired by comparing digests ([`sync`]).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::event::Event;
use crate::ids::{Incarnation, NodeId, ZoneId};
use crate::plugin::{Context, GaugeSample, NodeProfile, Plugin, Registration};
use crate::wire::Message;

mod gossip;
pub mod group;
mod hosts;
pub mod message;
pub mod outbox;
pub mod probe;
pub mod record;
pub mod sync;
pub mod table;
pub mod upstream;
pub mod zone;

pub use message::MembershipMessage;

use group::PeerGroup;
use outbox::UpdateOutbox;
use probe::ProbeTable;
use record::NodeRecord;
use sync::RepairTimer;
use table::{NodeRow, NodeTable};
use upstream::UpstreamTable;
use zone::ZoneTable;

/// Minimum time between two published views when a message of another node causes the second.
const PUBLISH_GAP: Duration = Duration::from_millis(100);

/// An entry of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host, which is the name of its node or upstream.
    pub name: Box<str>,
    /// Name of the availability zone.
    pub zone: Box<str>,
    /// Whether the host runs a node or an upstream.
    pub role: HostRole,
    /// IP address and port for other nodes; empty for upstreams.
    pub peer_address: Box<str>,
    /// IP address and port for callers; empty for upstreams.
    pub caller_address: Box<str>,
    /// Whether the platform has marked the host as leaving.
    pub leaving: bool,
}

/// Role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// Runs a node of the router.
    Node,
    /// Runs an upstream.
    Upstream,
}

/// State of a node in the membership view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// The node responds and accepts work.
    Live,
    /// The node or the link to it does not respond, but the node is not declared dead.
    Suspect,
    /// The node finishes its open work and accepts nothing new.
    Leaving,
    /// The node or its whole zone was declared unreachable.
    Dead,
}

/// A node in the membership view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the node.
    pub name: Box<str>,
    /// Identifier of the node's availability zone.
    pub zone: ZoneId,
    /// Name of the node's availability zone.
    pub zone_name: Box<str>,
    /// The newest known run of the node; 0 if no record of the node has arrived.
    pub incarnation: Incarnation,
    /// Current state of the node.
    pub state: NodeState,
    /// IP address and port for other nodes.
    pub peer_address: Box<str>,
    /// IP address and port for callers.
    pub caller_address: Box<str>,
}

/// All known nodes, including this one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberView {
    /// The nodes by identifier.
    pub members: BTreeMap<NodeId, Member>,
}

/// State of the membership protocol at one node.
#[derive(Debug)]
pub struct MembershipTable {
    node: NodeId,
    zone: ZoneId,
    rows: NodeTable,
    upstreams: UpstreamTable,
    zones: ZoneTable,
    group: PeerGroup,
    prober: ProbeTable,
    outbox: UpdateOutbox,
    repair: RepairTimer,
    hosts: Vec<HostEntry>,
    view: Arc<MemberView>,
    started: Option<Duration>,
    dirty: bool,
    published: Duration,
}

impl MembershipTable {
    fn new(profile: &NodeProfile) -> Self {
        let mut table = Self {
            node: profile.node,
            zone: profile.zone,
            rows: NodeTable::default(),
            upstreams: UpstreamTable::default(),
            zones: ZoneTable::default(),
            group: PeerGroup::default(),
            prober: ProbeTable::default(),
            outbox: UpdateOutbox::default(),
            repair: RepairTimer::default(),
            hosts: Vec::new(),
            view: Arc::default(),
            started: None,
            dirty: false,
            published: Duration::ZERO,
        };
        let host = HostEntry {
            name: profile.name.clone(),
            zone: profile.zone_name.clone(),
            role: HostRole::Node,
            peer_address: "".into(),
            caller_address: "".into(),
            leaving: false,
        };
        let mut row = NodeRow::new(&host);
        row.zone = profile.zone;
        row.listed = false;
        row.record = NodeRecord::started(profile.incarnation);
        table.rows.insert(profile.node, row);
        table
    }

    fn receive(&mut self, from: NodeId, message: &MembershipMessage, context: &mut Context<'_>) {
        self.record_contact(from, context.now);
        match message {
            MembershipMessage::Ping(sequence, digest, updates) => {
                self.answer_ping(from, *sequence, updates, context);
                self.compare(from, *digest, context);
            }
            MembershipMessage::Ack(sequence, digest, updates) => {
                self.merge(from, updates, context);
                self.handle_ack(*sequence, from, context);
                self.compare(from, *digest, context);
            }
            MembershipMessage::ProbeFor(sequence, target) => {
                self.probe_on_behalf(from, *sequence, *target, context);
            }
            MembershipMessage::Reached(sequence) => {
                self.handle_reached(*sequence, context.now);
            }
            MembershipMessage::Updates(updates) => self.handle_updates(from, updates, context),
            MembershipMessage::Compare(pairs) => self.answer_compare(from, pairs, context),
            MembershipMessage::Bridge(answer, digest, beats) => {
                self.handle_bridge(from, *answer, beats, context);
                self.compare(from, *digest, context);
            }
        }
    }

    /// Records that a message from another node arrived. It proves that the path from the sender
    /// works, so any local suspicion of the sender is cleared. Contact with a node of the group also
    /// shows that this node is not isolated.
    fn record_contact(&mut self, from: NodeId, now: Duration) {
        if self.group.ring.binary_search(&from).is_ok() || self.group.dead.contains(&from) {
            self.prober.record_contact(now);
        }
        let Some(row) = self.rows.get_mut(from) else {
            return;
        };
        self.dirty |= row.local_suspicion.is_some();
        row.local_suspicion = None;
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        if self.started.is_none() {
            return;
        }
        self.tick_repair(context);
        self.tick_probes(context);
        self.tick_zones(context);
        self.send_updates(context);
    }

    /// Whether to publish a new view now. Changes that messages cause in quick succession are
    /// batched; a tick publishes the remainder.
    fn should_publish(&self, event: &Event, now: Duration) -> bool {
        let from_peer = matches!(event, Event::PeerMessage { .. });
        self.dirty && (!from_peer || now >= self.published + PUBLISH_GAP)
    }

    fn publish(&mut self, context: &mut Context<'_>) {
        self.dirty = false;
        self.published = context.now;
        if self.started.is_none() {
            return;
        }
        self.group = PeerGroup::of(&self.rows, context.profile);
        let members = self.rows.rows().iter().map(|(node, row)| {
            let lost = self.group.zoned
                && row.zone != context.profile.zone
                && self.zones.is_lost(row.zone);
            (*node, row.member(lost))
        });
        let view = MemberView {
            members: members.collect(),
        };
        if view != *self.view {
            self.view = Arc::new(view);
            context.raise(Event::MembersChanged(Arc::clone(&self.view)));
        }
    }

    fn count(&self, state: NodeState) -> f64 {
        let members = self.view.members.values();
        members.filter(|member| member.state == state).count() as f64
    }
}

impl Plugin for MembershipTable {
    fn handle(&mut self, event: &Event, context: &mut Context<'_>) {
        match event {
            Event::HostList(hosts) => self.apply_host_list(hosts, context),
            Event::Tick => self.tick(context),
            Event::PeerMessage {
                from,
                message: Message::Membership(message),
            } => self.receive(*from, message, context),
            Event::LinkDown(node) => self.link_down(*node, context),
            Event::LinkUp(node) => self.link_up(*node),
            Event::NodeLeaving => self.announce_leaving(context.now),
            Event::DrainUpstream(upstream) => self.drain_upstream(*upstream, context),
            Event::UpstreamReported { upstream, report } => {
                self.apply_report(*upstream, report.leaving, context);
            }
            Event::UpstreamLeaveAnnounced(upstream) => self.apply_report(*upstream, true, context),
            _ => return,
        }
        if self.should_publish(event, context.now) {
            self.publish(context);
        }
    }

    fn dump(&self) -> Value {
        let members: Vec<&Member> = self.view.members.values().collect();
        let lost: Vec<String> = self.zones.lost().map(|zone| zone.to_string()).collect();
        let leaving: Vec<String> = self.upstreams.leaving().map(|id| id.to_string()).collect();
        json!({
            "members": members,
            "zoned": self.group.zoned,
            "bridge_rank": self.group.rank,
            "lost_zones": lost,
            "leaving_upstreams": leaving,
            "suspicions": self.prober.suspicions(),
            "untold_news": self.outbox.len(),
        })
    }

    fn gauges(&self) -> Vec<GaugeSample> {
        let states = [
            ("live", NodeState::Live),
            ("suspect", NodeState::Suspect),
            ("leaving", NodeState::Leaving),
            ("dead", NodeState::Dead),
        ];
        states
            .into_iter()
            .map(|(kind, state)| GaugeSample {
                name: "members",
                help: "Nodes known, by state.",
                kind,
                value: self.count(state),
            })
            .collect()
    }
}

fn build(profile: &NodeProfile) -> Box<dyn Plugin> {
    Box::new(MembershipTable::new(profile))
}

inventory::submit! {
    Registration { name: "membership", order: 20, build }
}
