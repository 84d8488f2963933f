//! Heartbeats between nodes, sent as datagrams: liveness, the versions in force and the work at
//! each upstream. What is too large for a datagram is fetched from the node that advertised it.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monsoonbank_kernel::gateway::backlog::{BacklogReport, FleetBacklog, MAX_REPORTS};
use monsoonbank_kernel::gateway::gossip::{
    self, GossipRound, GossipSchedule, GossipUrgency, ReplyReason,
};
use monsoonbank_kernel::gateway::heartbeat::{NodeCard, NodeHeartbeat, NodeState, WorkReport};
use monsoonbank_kernel::gateway::message::NodeMessage;
use monsoonbank_kernel::gateway::registry::UpstreamKey;
use monsoonbank_kernel::gateway::rules::PoolSpec;
use tokio::net::UdpSocket;

use crate::error::NodeError;
use crate::gateway::decisions::{NodeDecision, millis};
use crate::gateway::duties::host_time;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::usage::UsageSender;
use crate::gateway::{
    Gateway, brittle, fairness, fetch, limits, quarantine, reach, scope, speeds, starts, sync,
    usage,
};

/// Number of prompt parts in one datagram, about 16 bytes each.
const MAX_PARTS: usize = 48;
/// Number of prompt parts that wait to be sent to nodes of other availability zones. A node with
/// few calls sends none to them.
const MAX_PENDING_PARTS: usize = 4 * MAX_PARTS;
/// Number of open calls that one core handles with a reserve.
const CALLS_PER_CORE: f64 = 1000.0;
/// Largest datagram that networks do not fragment, in bytes.
const MAX_BYTES: usize = 1400;

/// Binds the UDP port and starts to send and receive heartbeats. Fails if the port cannot be bound.
pub async fn start(gateway: &Rc<Gateway>) -> Result<(), NodeError> {
    let address = gateway.settings.peer_address();
    let socket = UdpSocket::bind(address).await;
    let socket = socket.map_err(|source| NodeError::Listen {
        address,
        role: "other nodes",
        source,
    })?;
    let socket = gateway.peer_socket.get_or_init(|| Rc::new(socket)).clone();
    let port = address.port();
    let seeds = gateway
        .settings
        .peers
        .seeds
        .iter()
        .map(|seed| SocketAddr::new(seed.ip(), port));
    let seeds: BTreeSet<SocketAddr> = seeds.filter(|seed| *seed != address).collect();
    gateway.fleet.borrow_mut().set_seeds(seeds.iter().copied());
    tokio::task::spawn_local(listen(gateway.clone(), socket.clone()));
    tokio::task::spawn_local(send_rounds(HeartbeatSender::new(gateway, socket, seeds)));
    Ok(())
}

/// Returns the card of the node with these settings, in the state of a node that starts.
pub fn own_card(settings: &GatewaySettings, incarnation: u64) -> NodeCard {
    NodeCard {
        name: settings.name.clone(),
        incarnation,
        zone: settings.zone.clone(),
        callers: settings.listen.callers,
        peers: settings.peer_address(),
        capacity: (settings.limits.cores * CALLS_PER_CORE) as u32,
        state: NodeState::Starting,
    }
}

/// Reports what waits here for pools whose slots run out.
fn own_backlog(gateway: &Gateway) -> Vec<BacklogReport> {
    let Some(rules) = gateway.rules() else {
        return Vec::new();
    };
    let is_slot_bound = |pool: &&PoolSpec| pool.engine.is_some_and(|engine| engine.is_slot_bound());
    let mut waiting = gateway.waiting.borrow_mut();
    let pools = rules.pools().filter(is_slot_bound);
    let mut reports: Vec<BacklogReport> = pools
        .flat_map(|pool| waiting.backlog(&pool.name, gateway.now()))
        .collect();
    reports.sort_by_key(|report| report.tier);
    reports.truncate(MAX_REPORTS);
    reports
}

/// Counts the calls that wait in the fleet, with this node's own, and the senders of calls that are
/// silent.
fn count_fleet(gateway: &Gateway, own: &[BacklogReport]) {
    let fleet = gateway.fleet.borrow();
    let others = fleet.reports(gateway.now());
    let backlog: FleetBacklog = others.chain(own.iter().copied()).collect();
    gateway.metrics.room.set_fleet_waiting(&backlog);
    let silent = fleet.silent_senders(gateway.now()).count();
    gateway.metrics.room.set_silent_senders(silent);
}

/// Builds the heartbeat of this node.
pub fn own_heartbeat(gateway: &Gateway) -> NodeHeartbeat {
    let now = gateway.now();
    let registry = gateway.registry.borrow();
    let work = registry
        .active()
        .filter(|(_, upstream)| upstream.load.own().calls > 0)
        .map(|(_, upstream)| WorkReport {
            run: upstream.entry.run_hash(),
            count: upstream.load.own(),
            taken_tokens: upstream.load.cache.own_tokens(),
        })
        .collect();
    let reach = gateway.reach.borrow();
    let failing = registry
        .active()
        .filter(|(_, upstream)| !reach.is_lost(&upstream.entry.pool))
        .filter(|(_, upstream)| upstream.health.reports_failing(now))
        .map(|(_, upstream)| upstream.entry.run_hash())
        .collect();
    gateway.fleet.borrow_mut().set_state(gateway.state());
    let fleet = gateway.fleet.borrow();
    let answered_at = fleet.store_answered_at();
    let duties = gateway.duties.as_ref();
    let mut crashes = gateway.crashes.borrow_mut();
    let knows_all = gateway.knows_all_upstreams();
    let mut heartbeat = NodeHeartbeat {
        version: gateway.version(),
        store_reachable: gateway.knows_upstreams() && !gateway.store_suspect(),
        store_age_ms: answered_at.map(|at| millis(now.saturating_sub(at))),
        registry_digest: if knows_all { registry.digest() } else { 0 },
        preferred_digest: knows_all.then(|| registry.preferred_digest()).flatten(),
        seeking: gossip::is_seeking(&fleet, now),
        fleet_size: fleet.size(now),
        zone_size: if fleet.is_hub(now) {
            fleet.zone_size(now)
        } else {
            0
        },
        work: Some(work),
        backlog: own_backlog(gateway),
        failing,
        departures: registry.departures(now),
        news: Some(registry.news(now)),
        limits: limits::recent_reports(&registry, now),
        crashes: crashes.recent_news(now),
        crash_digest: crashes.digest(),
        workspaces: gateway.shares.borrow().reports(now),
        unreached: reach::lost_hashes(gateway),
        refusals: brittle::recent_reports(&registry, now),
        unix_ms: duties.map_or(0, |_| millis(host_time())),
        holder: duties.and_then(|duties| duties.notice(gateway)),
        ..NodeHeartbeat::new(fleet.own().clone())
    };
    heartbeat.entries = fleet.entry_hashes(&heartbeat, now);
    heartbeat
}

/// Sends a message to other nodes. Returns the number of bytes that were sent.
pub async fn send(
    gateway: &Gateway,
    recipients: &[SocketAddr],
    message: &NodeMessage<'_>,
) -> usize {
    let Some(socket) = gateway.peer_socket.get() else {
        return 0;
    };
    let Some(bytes) = encode(message) else {
        return 0;
    };
    send_bytes(socket, recipients, &bytes).await;
    bytes.len() * recipients.len()
}

fn encode(message: &NodeMessage) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(256);
    match ciborium::into_writer(message, &mut bytes) {
        Ok(()) => Some(bytes),
        Err(error) => {
            log::warn!("cannot encode a message to other nodes: {error}");
            None
        }
    }
}

async fn send_bytes(socket: &UdpSocket, recipients: &[SocketAddr], bytes: &[u8]) {
    for recipient in recipients {
        if let Err(error) = socket.send_to(bytes, recipient).await {
            log::debug!("cannot send a message to {recipient}: {error}");
        }
    }
}

async fn send_heartbeat(
    gateway: &Gateway,
    socket: &UdpSocket,
    recipients: &[SocketAddr],
    heartbeat: &NodeHeartbeat,
) {
    if recipients.is_empty() {
        return;
    }
    let Some(bytes) = encode(&NodeMessage::Heartbeat(Cow::Borrowed(heartbeat))) else {
        return;
    };
    if bytes.len() > MAX_BYTES && !heartbeat.speeds.is_empty() {
        // Another heartbeat carries them: a few of all engines are sent at a time.
        let shorter = NodeHeartbeat {
            speeds: Vec::new(),
            ..heartbeat.clone()
        };
        return Box::pin(send_heartbeat(gateway, socket, recipients, &shorter)).await;
    }
    if bytes.len() > MAX_BYTES {
        log::debug!("a heartbeat of {} bytes may be fragmented", bytes.len());
    }
    let sent = bytes.len() * recipients.len();
    gateway.metrics.heartbeat_bytes.inc_by(sent as u64);
    send_bytes(socket, recipients, &bytes).await;
}

/// Sender of heartbeats and usage counts.
struct HeartbeatSender {
    gateway: Rc<Gateway>,
    socket: Rc<UdpSocket>,
    schedule: GossipSchedule,
    /// Prompt parts that have not been sent to nodes of other availability zones.
    far_parts: BTreeSet<(u32, u64, u64)>,
    /// Time at which usage counts were last sent.
    usage_at: Duration,
    usage: UsageSender,
}

impl HeartbeatSender {
    fn new(gateway: &Rc<Gateway>, socket: Rc<UdpSocket>, seeds: BTreeSet<SocketAddr>) -> Self {
        Self {
            gateway: gateway.clone(),
            socket,
            schedule: GossipSchedule::new(seeds),
            far_parts: BTreeSet::new(),
            usage_at: Duration::ZERO,
            usage: UsageSender::default(),
        }
    }

    async fn send_all(&self, recipients: &[SocketAddr], heartbeat: &NodeHeartbeat) {
        send_heartbeat(&self.gateway, &self.socket, recipients, heartbeat).await;
    }

    /// Sends a heartbeat with this in place of the node's work.
    async fn send_without_work(
        &self,
        recipients: &[SocketAddr],
        own: &NodeHeartbeat,
        work: Option<Vec<WorkReport>>,
    ) {
        if recipients.is_empty() {
            return;
        }
        let heartbeat = NodeHeartbeat {
            work,
            backlog: Vec::new(),
            ..own.clone()
        };
        self.send_all(recipients, &heartbeat).await;
    }

    async fn round(&mut self) {
        let gateway = self.gateway.clone();
        let now = gateway.now();
        gateway.fleet.borrow_mut().expire(now);
        gateway.starts.borrow_mut().expire(now);
        gateway.registry.borrow_mut().expire_active(now);
        scope::update(&gateway);
        gateway.compare_clocks();
        limits::update_shares(&gateway);
        speeds::update(&gateway);
        fairness::update(&gateway);
        quarantine::update(&gateway);
        let mut own = own_heartbeat(&gateway);
        count_fleet(&gateway, &own.backlog);
        let round = GossipRound {
            busy: gateway.open_calls.get() > 0,
            urgency: gateway.urgency.take(),
            now,
        };
        let plan = self
            .schedule
            .plan(&mut gateway.fleet.borrow_mut(), &own, round);
        if !plan.zone.is_empty() {
            let idle = NodeHeartbeat {
                work: None,
                backlog: Vec::new(),
                failing: Vec::new(),
                workspaces: Vec::new(),
                cards: plan.zone_cards,
                ..own.clone()
            };
            self.send_all(&plan.zone, &idle).await;
        }
        own.cards = plan.hub_cards;
        if !plan.near.is_empty() || !plan.far.is_empty() {
            own.speeds = speeds::next_reports(&gateway);
        }
        if !plan.near.is_empty() {
            let parts = std::mem::take(&mut *gateway.sent_parts.borrow_mut());
            own.parts = longest_parts(&parts);
            self.far_parts.extend(parts);
            while self.far_parts.len() > MAX_PENDING_PARTS {
                self.far_parts.pop_first();
            }
            self.send_all(&plan.near, &own).await;
        }
        if !plan.far.is_empty() {
            own.parts = longest_parts(&std::mem::take(&mut self.far_parts));
            self.send_all(&plan.far, &own).await;
        }
        own.parts = Vec::new();
        own.speeds = Vec::new();
        self.send_without_work(&plan.seeds, &own, None).await;
        self.send_without_work(&plan.ended, &own, Some(Vec::new()))
            .await;
        if now >= self.usage_at + usage::send_interval(&gateway) {
            self.usage_at = now;
            self.send_usage(own).await;
        }
    }

    /// Sends this node's usage counts to the holder of the duties and its successor.
    async fn send_usage(&mut self, own: NodeHeartbeat) {
        let Some((receivers, pieces)) = self.usage.next(&self.gateway) else {
            return;
        };
        for piece in pieces {
            let heartbeat = NodeHeartbeat {
                usage: vec![piece],
                work: None,
                backlog: Vec::new(),
                failing: Vec::new(),
                workspaces: Vec::new(),
                cards: Vec::new(),
                ..own.clone()
            };
            self.send_all(&receivers, &heartbeat).await;
        }
    }
}

async fn send_rounds(mut sender: HeartbeatSender) {
    let gateway = sender.gateway.clone();
    loop {
        let busy = gateway.open_calls.get() > 0;
        let tick = gossip::tick(&gateway.fleet.borrow(), busy, gateway.now());
        gateway.decisions.flush();
        sender.round().await;
        // A round begins when the interval has passed or when it is requested.
        let _ = tokio::time::timeout(tick, gateway.heartbeat_notify.notified()).await;
    }
}

/// Returns as many parts as fit into a datagram, the longest first. Dropping the others only causes
/// a few prompts to be processed twice.
fn longest_parts(parts: &BTreeSet<(u32, u64, u64)>) -> Vec<(u64, u64)> {
    let longest = parts.iter().rev().take(MAX_PARTS);
    longest.map(|(_, part, hash)| (*part, *hash)).collect()
}

async fn listen(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("cannot receive a message of another node: {error}");
                continue;
            }
        };
        match ciborium::from_reader(&buffer[..length]) {
            Ok(NodeMessage::Heartbeat(heartbeat)) => {
                receive(&gateway, &socket, heartbeat.into_owned()).await;
            }
            Ok(NodeMessage::Start(message)) => starts::receive(&gateway, message, from).await,
            Err(error) => log::warn!("a message of another node is malformed: {error}"),
        }
    }
}

async fn receive(gateway: &Rc<Gateway>, socket: &UdpSocket, mut heartbeat: NodeHeartbeat) {
    if heartbeat.card.name == gateway.settings.name {
        return;
    }
    let now = gateway.now();
    merge_news(gateway, &heartbeat, now);
    limits::merge_reports(gateway, &heartbeat.limits, &heartbeat.card.name);
    speeds::merge_reports(gateway, &heartbeat.speeds);
    brittle::merge_reports(gateway, &heartbeat.refusals, &heartbeat.card.name);
    quarantine::merge_news(gateway, &heartbeat.crashes, &heartbeat.card.name);
    merge_work(gateway, &heartbeat, now);
    fairness::merge(gateway, &heartbeat, now);
    if let Some(duties) = &gateway.duties {
        usage::merge(gateway, duties, &mut heartbeat);
    }
    fetch::catch_up(gateway, &heartbeat);
    gateway.capacity_notify.notify_waiters();
    let card = heartbeat.card.clone();
    let (seeking, answers) = (heartbeat.seeking, heartbeat.is_reply);
    let change = gateway.fleet.borrow_mut().receive_heartbeat(heartbeat, now);
    if change.left && gateway.is_hub() {
        gateway.propagate(GossipUrgency::All);
    }
    if change.fresh {
        gateway.heartbeat_notify.notify_one();
        gateway.decisions.record(NodeDecision::PeerHeard {
            peer: &card.name,
            zone: &card.zone,
        });
    }
    if answers {
        return;
    }
    let need = ReplyReason {
        fresh: change.fresh,
        seeking,
    };
    let lists = gossip::reply(&gateway.fleet.borrow(), &card, need, now);
    for cards in lists {
        let answer = NodeHeartbeat {
            is_reply: true,
            cards,
            work: None,
            backlog: Vec::new(),
            workspaces: Vec::new(),
            ..own_heartbeat(gateway)
        };
        send_heartbeat(gateway, socket, &[card.peers], &answer).await;
    }
}

fn merge_news(gateway: &Gateway, heartbeat: &NodeHeartbeat, now: Duration) {
    let changed: Vec<UpstreamKey> = match &heartbeat.news {
        Some(news) => {
            let mut registry = gateway.registry.borrow_mut();
            let changed = news.iter().map(|news| registry.receive_news(*news, now));
            changed.collect::<Vec<_>>().concat()
        }
        None if fetch::reads_store(gateway) => Vec::new(),
        None => {
            let mut registry = gateway.registry.borrow_mut();
            let departures = heartbeat.departures.iter();
            departures
                .filter_map(|hash| registry.receive_departure(*hash, now))
                .collect()
        }
    };
    if !changed.is_empty() && gateway.is_hub() {
        gateway.propagate(GossipUrgency::All);
    }
    for key in changed {
        sync::upstream_changed(gateway, key, &heartbeat.card.name);
    }
}

fn merge_work(gateway: &Gateway, heartbeat: &NodeHeartbeat, now: Duration) {
    let node = &heartbeat.card.name;
    let mut registry = gateway.registry.borrow_mut();
    for work in heartbeat.work.iter().flatten() {
        let key = registry.by_hash(work.run);
        if let Some(upstream) = key.and_then(|key| registry.get_mut(key)) {
            upstream.load.receive_report(node, work.count, now);
            upstream.load.cache.receive_total(node, work.taken_tokens);
        }
    }
    for hash in &heartbeat.failing {
        let key = registry.by_hash(*hash);
        if let Some(upstream) = key.and_then(|key| registry.get_mut(key)) {
            upstream.health.reported_failing(now);
        }
    }
    for (part, hash) in &heartbeat.parts {
        let key = registry.by_hash(*hash);
        if let Some(upstream) = key.and_then(|key| registry.get_mut(key)) {
            upstream.load.record_part_sent(*part, now);
        }
    }
}
