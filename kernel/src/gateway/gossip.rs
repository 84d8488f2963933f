//! Schedules which nodes a node sends its heartbeats to, and when.
//!
//! The cost for a node does not increase with the size of the fleet, that for a hub only with its
//! availability zone: a node sends to the hubs of its zone, a hub to all nodes of its zone in turn
//! and to the hubs of other zones. Nodes that send calls exchange heartbeats more often, since they
//! share upstreams.

mod ending;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::fleet::{EXPIRED_AFTER, FleetView};
use crate::gateway::gossip::ending::ReportEnding;
use crate::gateway::heartbeat::{NodeCard, NodeHeartbeat, NodeState, node_hash};

/// Interval between two checks for due heartbeats, on a node without calls.
const IDLE_TICK: Duration = Duration::from_millis(200);
/// The same interval on a node with calls: about as often as a busy engine starts and ends one.
const BUSY_TICK: Duration = Duration::from_millis(50);
/// The same interval on a node that asks the seeds: when all nodes start at once, seeds may begin
/// to listen after its first request.
const SEEK_TICK: Duration = Duration::from_millis(100);
/// Longest interval between two requests to seeds. The interval doubles after some requests without
/// an answer: a thousand nodes that start at once would otherwise ask a slow seed faster than it
/// answers.
const MAX_SEEK_INTERVAL: Duration = Duration::from_millis(800);
/// Number of requests to seeds after which the interval between them doubles.
const SEEK_REQUESTS: u32 = 3;
/// Time after its start until which a node asks each seed that has not answered. Two nodes of a
/// fleet that starts may know only each other, and the seeds the others.
const SEEK_PERIOD: Duration = Duration::from_secs(10);
/// Tolerance for late timers: a heartbeat that is due within it is not deferred to the next check.
const TICK_SLACK: Duration = Duration::from_millis(20);

/// Interval between heartbeats of a hub without calls to the other hubs of its zone, which keep on
/// directing callers to it if two in a row are lost.
const HUB_INTERVAL: Duration = Duration::from_millis(600);
/// Interval between heartbeats to hubs from other nodes without calls: their state seldom changes.
const MEMBER_INTERVAL: Duration = Duration::from_millis(800);
/// Time within which a hub sends a heartbeat to each node of its zone. With three hubs a node
/// receives one about every 0.3 s.
const ZONE_CYCLE: Duration = Duration::from_millis(800);
/// Interval between heartbeats to nodes of other zones that send calls, while this node has calls.
const FAR_BUSY_INTERVAL: Duration = Duration::from_millis(200);
/// The same interval without calls, when only urgent changes matter, which are sent at once.
const FAR_IDLE_INTERVAL: Duration = Duration::from_millis(400);
/// Number of such intervals in which each of those nodes receives one heartbeat.
const FAR_IDLE_ROUNDS: usize = 12;
/// Maximum number of nodes of other zones that receive a heartbeat in one round, in turn, while
/// there are calls: limits the traffic between zones.
const MAX_FAR: usize = 12;
/// Interval between heartbeats of a hub to the seeds, which refer new nodes to the hubs.
const SEED_INTERVAL: Duration = Duration::from_secs(4);
/// Time within which the hubs of a zone together advertise all cards to each node: half of the time
/// after which a node that is not mentioned is removed.
const CARDS_CYCLE: Duration = Duration::from_secs(EXPIRED_AFTER.as_secs() / 2);
/// Time for which each heartbeat to the zone contains the cards of new hubs.
const NEW_HUBS_TIME: Duration = Duration::from_secs(3);
/// Maximum number of cards in one datagram that answers a new node, some 75 bytes each.
const MAX_CARDS: usize = 14;

/// Time until a node should check again for due heartbeats.
pub fn tick(fleet: &FleetView, busy: bool, now: Duration) -> Duration {
    if busy {
        BUSY_TICK
    } else if is_seeking(fleet, now) {
        SEEK_TICK
    } else {
        IDLE_TICK
    }
}

/// Which nodes have to receive a change at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum GossipUrgency {
    /// No node: there is no urgent change.
    #[default]
    None,
    /// Hubs, and nodes that send calls.
    Calls,
    /// Every node of the fleet, to which hubs propagate it.
    All,
}

/// State of a node at one check for due heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipRound {
    /// Whether the node has calls.
    pub busy: bool,
    /// Which nodes have to receive a change at once.
    pub urgency: GossipUrgency,
    /// Time of the check, on the monotonic clock.
    pub now: Duration,
}

/// Receivers and contents of the heartbeats that are due.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipPlan {
    /// Nodes of its zone, the hubs among them, that receive its work at upstreams.
    pub near: Vec<SocketAddr>,
    /// Nodes of its zone that receive the state in force, without its work.
    pub zone: Vec<SocketAddr>,
    /// Nodes of other zones that receive its work at upstreams.
    pub far: Vec<SocketAddr>,
    /// Nodes that received its work and are told that no more of it follows.
    pub ended: Vec<SocketAddr>,
    /// Seeds that receive a heartbeat too.
    pub seeds: Vec<SocketAddr>,
    /// Cards of nodes that the heartbeats to the zone contain.
    pub zone_cards: Vec<NodeCard>,
    /// Cards of hubs that all other heartbeats contain.
    pub hub_cards: Vec<NodeCard>,
}

/// Times and receivers of a node's last heartbeats.
#[derive(Clone, Debug, Default)]
pub struct GossipSchedule {
    near_at: Option<Duration>,
    zone_at: Option<Duration>,
    far_at: Option<Duration>,
    seeds: Vec<SocketAddr>,
    seeds_at: Option<Duration>,
    seek_requests: u32,
    zone_turn: usize,
    far_turn: usize,
    near_ending: ReportEnding,
    far_ending: ReportEnding,
    hubs: Vec<Box<str>>,
    hubs_changed_at: Option<Duration>,
}

impl GossipSchedule {
    /// Creates the schedule of a node that starts and asks these seeds for other nodes.
    pub fn new(seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            seeds: seeds.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Determines the heartbeats that are due. `own` is the node's own state.
    pub fn plan(
        &mut self,
        fleet: &mut FleetView,
        own: &NodeHeartbeat,
        round: GossipRound,
    ) -> GossipPlan {
        let now = round.now;
        // A leaving hub announces that to all nodes that it sent heartbeats to.
        let is_hub = fleet.is_hub(now) || fleet.own().state == NodeState::Leaving;
        let sends_work_far = is_hub || own.sends_many();
        let sends_work = sends_work_far || round.busy || own.sends_calls();
        let mut plan = GossipPlan::default();
        if self.update_hubs(fleet, now) {
            self.near_at = None;
        }
        if round.urgency >= GossipUrgency::Calls {
            self.near_at = None;
            self.far_at = None;
        }
        let near_interval = match (round.busy, is_hub) {
            (true, _) => BUSY_TICK,
            (false, true) => HUB_INTERVAL,
            (false, false) => MEMBER_INTERVAL,
        };
        if is_due(&mut self.near_at, near_interval, now) {
            plan.near = near_nodes(fleet, own, sends_work, now);
        }
        if is_hub
            && (is_due(&mut self.zone_at, IDLE_TICK, now) || round.urgency == GossipUrgency::All)
        {
            plan.zone = self.zone_nodes(fleet, round);
            plan.zone_cards = self.zone_cards(fleet, now);
        }
        let far_interval = if round.busy {
            FAR_BUSY_INTERVAL
        } else {
            FAR_IDLE_INTERVAL
        };
        if sends_work_far && is_due(&mut self.far_at, far_interval, now) {
            plan.far = self.far_nodes(fleet, round);
        }
        let has_calls = own.sends_calls();
        if has_calls {
            self.near_ending.record_reports(&plan.near, now);
            self.far_ending.record_reports(&plan.far, now);
        }
        plan.ended = self.near_ending.due(has_calls, now);
        let reports_far = has_calls && sends_work_far;
        plan.ended.extend(self.far_ending.due(reports_far, now));
        plan.seeds = self.due_seeds(fleet, is_hub, now);
        if is_hub {
            plan.hub_cards = hub_cards(fleet, now);
        }
        fleet.expect_heartbeats(&plan.near, now);
        fleet.expect_heartbeats(&plan.far, now);
        plan
    }

    /// Seeds that a heartbeat to is due: at the start each, then those that have not answered, one
    /// after another; at intervals all, if this node is a hub.
    fn due_seeds(&mut self, fleet: &FleetView, is_hub: bool, now: Duration) -> Vec<SocketAddr> {
        let is_seeking = is_seeking(fleet, now);
        let interval = if is_seeking {
            let doublings = self.seek_requests / SEEK_REQUESTS;
            MAX_SEEK_INTERVAL.min(SEEK_TICK * 2_u32.saturating_pow(doublings))
        } else {
            SEED_INTERVAL
        };
        let is_first = self.seeds_at.is_none();
        if !(is_hub || is_seeking) || !is_due(&mut self.seeds_at, interval, now) {
            return Vec::new();
        }
        if !is_seeking || is_first {
            return self.seeds.clone();
        }
        self.seek_requests += 1;
        let unheard: Vec<SocketAddr> = fleet.unheard_seeds().iter().copied().collect();
        let asked = if unheard.is_empty() {
            &self.seeds
        } else {
            &unheard
        };
        let turn = self.seek_requests as usize % asked.len().max(1);
        asked.get(turn).copied().into_iter().collect()
    }

    /// Records the hubs of the node's zone. Returns whether they changed.
    fn update_hubs(&mut self, fleet: &FleetView, now: Duration) -> bool {
        let hubs = fleet.hubs(&fleet.own().zone, now);
        let names: Vec<Box<str>> = hubs.iter().map(|card| card.name.clone()).collect();
        if names == self.hubs {
            return false;
        }
        self.hubs = names;
        self.hubs_changed_at = Some(now);
        true
    }

    /// Next nodes of the zone that are no hubs, or all of them.
    fn zone_nodes(&mut self, fleet: &FleetView, round: GossipRound) -> Vec<SocketAddr> {
        let hubs = fleet.hubs(&fleet.own().zone, round.now);
        let hubs: Vec<SocketAddr> = hubs.iter().map(|card| card.peers).collect();
        let peers = fleet.zone_peers().map(|peer| peer.heartbeat.card.peers);
        let others: Vec<SocketAddr> = peers.filter(|peer| !hubs.contains(peer)).collect();
        let rounds = (ZONE_CYCLE.as_millis() / IDLE_TICK.as_millis()) as usize;
        let share = others.len().div_ceil(rounds);
        next_in_rotation(
            &others,
            &mut self.zone_turn,
            share,
            round.urgency == GossipUrgency::All,
        )
    }

    fn far_nodes(&mut self, fleet: &FleetView, round: GossipRound) -> Vec<SocketAddr> {
        let far = fleet.work_recipients(false, &[], round.now);
        let share = if round.busy {
            MAX_FAR
        } else {
            far.len().div_ceil(FAR_IDLE_ROUNDS)
        };
        next_in_rotation(
            &far,
            &mut self.far_turn,
            share,
            round.urgency >= GossipUrgency::Calls,
        )
    }

    fn zone_cards(&self, fleet: &FleetView, now: Duration) -> Vec<NodeCard> {
        let advertisable = fleet.advertisable(now);
        // Each hub advertises other cards than the hubs beside it.
        let hub_count = fleet.hubs(&fleet.own().zone, now).len().max(1);
        let rank = fleet.hub_rank(now).unwrap_or(0);
        let heartbeats = (CARDS_CYCLE.as_millis() / ZONE_CYCLE.as_millis()) as usize;
        let count = advertisable.len().div_ceil(heartbeats * hub_count);
        let cycle = (now.as_millis() / ZONE_CYCLE.as_millis()) as usize;
        let first = (cycle * hub_count + rank) * count;
        let turns = (first..first + count).map(|turn| &advertisable[turn % advertisable.len()]);
        let turns = turns.map(|card| (*card).clone());
        let new_hubs = self
            .hubs_changed_at
            .is_some_and(|at| at + NEW_HUBS_TIME > now);
        let hubs = fleet.hubs(&fleet.own().zone, now);
        let hubs = hubs.into_iter().filter(|_| new_hubs).cloned();
        turns.chain(hubs).collect()
    }
}

/// Card of the next hub that this node received a heartbeat from, of any zone: hubs have to learn
/// of each other.
fn hub_cards(fleet: &FleetView, now: Duration) -> Vec<NodeCard> {
    let hubs = live_hubs(fleet, now);
    // Chosen by hash, since a rotation in step with the rounds would send the same hubs' cards to
    // the same nodes.
    let round = (now.as_millis() / FAR_IDLE_INTERVAL.as_millis()) as u64;
    let turn = xxh3_64_with_seed(fleet.own().name.as_bytes(), round) as usize;
    let next = hubs.get(turn % hubs.len().max(1));
    next.map(|card| (*card).clone()).into_iter().collect()
}

/// Hubs of all zones that this node received heartbeats from.
fn live_hubs(fleet: &FleetView, now: Duration) -> Vec<&NodeCard> {
    let advertisable = fleet.advertisable(now);
    let zones: BTreeSet<&str> = advertisable.iter().map(|card| &*card.zone).collect();
    let hubs: BTreeSet<&str> = zones
        .iter()
        .flat_map(|zone| fleet.hubs(zone, now))
        .map(|card| &*card.name)
        .collect();
    let is_hub = |card: &&NodeCard| hubs.contains(&*card.name);
    advertisable.into_iter().filter(is_hub).collect()
}

/// Whether a node asks the seeds for cards: it knows no other live node, or it started lately and
/// not all seeds have answered.
pub fn is_seeking(fleet: &FleetView, now: Duration) -> bool {
    let has_unheard = !fleet.unheard_seeds().is_empty();
    has_unheard && fleet.uptime(now) < SEEK_PERIOD || fleet.live(now).next().is_none()
}

/// Reasons why a node's heartbeat may need a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyReason {
    /// The node is new to this one or restarted.
    pub fresh: bool,
    /// The node asks for the cards of others.
    pub seeking: bool,
}

/// Cards with which to reply to the heartbeat of the node with this card, one list per datagram; no
/// list if it needs no reply. A new node gets the hubs of its zone, and the first of these sends it
/// the cards of all nodes.
pub fn reply(
    fleet: &FleetView,
    card: &NodeCard,
    need: ReplyReason,
    now: Duration,
) -> Vec<Vec<NodeCard>> {
    let hubs = fleet.hubs(&card.zone, now);
    let is_hub = hubs.iter().any(|hub| hub.name == card.name);
    let others: Vec<NodeCard> = hubs
        .into_iter()
        .filter(|hub| hub.name != card.name)
        .cloned()
        .collect();
    let is_near = card.zone == fleet.own().zone;
    if is_near && fleet.is_hub(now) {
        if !need.fresh {
            return Vec::new();
        }
        let is_first = others
            .first()
            .is_some_and(|hub| hub.name == fleet.own().name);
        if !is_first {
            return vec![others];
        }
        let advertisable = fleet.advertisable(now);
        let all: Vec<NodeCard> = advertisable.into_iter().cloned().collect();
        return in_datagrams(&all);
    }
    if is_near && !is_hub {
        return vec![others];
    }
    let is_new_hub = need.fresh && is_hub && fleet.is_hub(now);
    if !need.seeking && !is_new_hub {
        return Vec::new();
    }
    let mut cards = others;
    if is_hub {
        let far = live_hubs(fleet, now);
        let mut far: Vec<&NodeCard> = far
            .into_iter()
            .filter(|hub| hub.zone != card.zone)
            .collect();
        let own = node_hash(&fleet.own().name);
        far.sort_by_key(|hub| xxh3_64_with_seed(hub.name.as_bytes(), own));
        cards.extend(far.into_iter().take(MAX_CARDS).cloned());
    }
    in_datagrams(&cards)
}

/// Splits cards into one list per datagram. An empty list is sent too: the reply shows that the
/// node is alive.
fn in_datagrams(cards: &[NodeCard]) -> Vec<Vec<NodeCard>> {
    if cards.is_empty() {
        return vec![Vec::new()];
    }
    cards.chunks(MAX_CARDS).map(<[NodeCard]>::to_vec).collect()
}

fn near_nodes(
    fleet: &FleetView,
    own: &NodeHeartbeat,
    sends_work: bool,
    now: Duration,
) -> Vec<SocketAddr> {
    if sends_work {
        return fleet.work_recipients(true, &own.entries, now);
    }
    let hubs = fleet.hubs(&fleet.own().zone, now);
    hubs.iter().map(|card| card.peers).collect()
}

fn is_due(last: &mut Option<Duration>, interval: Duration, now: Duration) -> bool {
    if last.is_some_and(|last| now + TICK_SLACK < last + interval) {
        return false;
    }
    *last = Some(now);
    true
}

/// Next `share` entries of a list in rotation, or all of it.
fn next_in_rotation(
    list: &[SocketAddr],
    turn: &mut usize,
    share: usize,
    whole: bool,
) -> Vec<SocketAddr> {
    let count = if whole {
        list.len()
    } else {
        share.min(list.len())
    };
    let from = *turn;
    *turn = turn.wrapping_add(count);
    let steps = 0..count;
    steps
        .map(|step| list[from.wrapping_add(step) % list.len()])
        .collect()
}
