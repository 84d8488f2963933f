//! A fleet of kernels with fake edges and fake engines, whose messages are delivered by the test.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use monsoonbank_kernel::call::{AttemptEnd, CallOutcome, CallSpec, Tier, WorkSpec};
use monsoonbank_kernel::config::{Config, ConfigFile};
use monsoonbank_kernel::event::{Action, Event};
use monsoonbank_kernel::ids::*;
use monsoonbank_kernel::kernel::Kernel;
use monsoonbank_kernel::keys::{KeyMint, RequestKey};
use monsoonbank_kernel::membership::{Member, MemberView, NodeState};
use monsoonbank_kernel::plugin::NodeProfile;
use monsoonbank_kernel::routing::{CallRouter, WaitPolicy};
use monsoonbank_kernel::wire::{Message, WorkMessage};

use crate::trace::describe;

/// Tokens in every whole response.
pub const TOKENS: u32 = 3;
const PLUGINS: [&str; 4] = ["limits", "ownership", "routing", "dispatch"];

#[derive(Clone, Debug)]
pub struct Frame {
    pub from: usize,
    pub to: usize,
    pub message: Message,
}

/// The state of an edge, which is lost with its process.
#[derive(Default)]
pub struct Edge {
    /// Offers sent to other nodes, and whether they left the socket.
    offers: BTreeMap<AttemptId, (usize, bool)>,
    accepted: BTreeMap<CallId, AttemptId>,
    forwarded: BTreeMap<AttemptId, u32>,
    buffered: BTreeMap<AttemptId, Vec<u32>>,
}

/// An attempt at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    pub owner: usize,
    pub entry: usize,
    pub work: WorkSpec,
    pub sent: bool,
    pub tokens: u32,
}

pub struct Fleet {
    pub now: Duration,
    pub kernels: Vec<Option<Kernel>>,
    pub edges: Vec<Edge>,
    pub mints: Vec<KeyMint>,
    pub incarnations: Vec<u64>,
    pub cut: BTreeSet<(usize, usize)>,
    pub wire: Vec<Frame>,
    pub runs: Vec<Run>,
    /// Number of times that each call ran at an engine.
    pub ran: BTreeMap<CallId, u32>,
    pub outcomes: BTreeMap<CallId, Vec<CallOutcome>>,
    /// Tokens that each caller received.
    pub received: BTreeMap<CallId, Vec<u32>>,
    pub attached: BTreeMap<CallId, CallId>,
    pub trace: Vec<String>,
    traced: u64,
    dead: BTreeSet<usize>,
    sequence: u64,
    waiting: WaitPolicy,
    config: Arc<Config>,
}

pub fn node_id(node: usize) -> NodeId {
    NodeId::named(&format!("n{node}"))
}

/// An urgent call.
pub fn call_spec(node: usize) -> CallSpec {
    CallSpec {
        call: CallId {
            node: node_id(node),
            incarnation: Incarnation(1),
            sequence: 1,
        },
        workspace: WorkspaceId(7),
        class: ClassId(1),
        tier: Tier(0),
        pool: PoolId::named("m"),
        time_left: Duration::from_secs(2),
        repeatable: true,
        prompt_tokens: 10,
        max_tokens: 0,
        prefix: 0,
    }
}

fn name(node: NodeId) -> usize {
    (0..9).find(|index| node_id(*index) == node).unwrap()
}

fn config(nodes: usize, slots: u32) -> Config {
    let mut file = "pools: [{name: m, kind: model}]\nupstreams:\n".to_owned();
    for upstream in 0..2 * nodes {
        let zone = upstream % nodes;
        let place = format!("pool: m, zone: z{zone}, address: '127.0.0.1:1'");
        file.extend([format!(
            "  - {{name: u{upstream}, {place}, slots: {slots}}}\n"
        )]);
    }
    let file: ConfigFile = serde_yaml_ng::from_str(&file).unwrap();
    Config::from_file(1, &file)
}

impl Fleet {
    pub fn new(nodes: usize, slots: u32) -> Self {
        Self::build(nodes, slots, WaitPolicy::Move)
    }

    pub fn build(nodes: usize, slots: u32, waiting: WaitPolicy) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(10),
            kernels: Vec::new(),
            edges: Vec::new(),
            mints: Vec::new(),
            incarnations: vec![1; nodes],
            cut: BTreeSet::new(),
            wire: Vec::new(),
            runs: Vec::new(),
            ran: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            received: BTreeMap::new(),
            attached: BTreeMap::new(),
            trace: Vec::new(),
            traced: u64::MAX,
            dead: BTreeSet::new(),
            sequence: 0,
            waiting,
            config: Arc::new(config(nodes, slots)),
        };
        for node in 0..nodes {
            fleet.mints.push(KeyMint::new(&fleet.profile(node)));
            fleet.kernels.push(None);
            fleet.edges.push(Edge::default());
        }
        for node in 0..nodes {
            fleet.boot(node);
        }
        fleet
    }

    pub fn profile(&self, node: usize) -> NodeProfile {
        NodeProfile {
            node: node_id(node),
            name: format!("n{node}").into(),
            zone: ZoneId::named(&format!("z{node}")),
            zone_name: format!("z{node}").into(),
            incarnation: Incarnation(self.incarnations[node]),
            seed: node as u64,
            secret: [node as u8 + self.incarnations[node] as u8; 32],
        }
    }

    fn boot(&mut self, node: usize) {
        let profile = self.profile(node);
        self.mints[node] = KeyMint::new(&profile);
        let router = CallRouter::new(&profile, self.waiting);
        let mut kernel = Kernel::with_plugins(profile, |name| PLUGINS.contains(&name));
        kernel.replace("routing", Box::new(router));
        self.kernels[node] = Some(kernel);
        self.edges[node] = Edge::default();
        let config = Arc::clone(&self.config);
        self.handle(node, Event::ConfigApplied(config));
        self.handle(node, Event::MembersChanged(self.view()));
    }

    pub fn view(&self) -> Arc<MemberView> {
        let member = |node: usize| Member {
            name: format!("n{node}").into(),
            zone: ZoneId::named(&format!("z{node}")),
            zone_name: format!("z{node}").into(),
            incarnation: Incarnation(self.incarnations[node]),
            state: if self.dead.contains(&node) {
                NodeState::Dead
            } else {
                NodeState::Live
            },
            peer_address: "".into(),
            caller_address: "".into(),
        };
        let nodes = 0..self.incarnations.len();
        let members = nodes.map(|node| (node_id(node), member(node))).collect();
        Arc::new(MemberView { members })
    }

    /// Handles an event in a kernel and executes its actions.
    pub fn handle(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        let Some(kernel) = &mut self.kernels[node] else {
            return;
        };
        kernel.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        self.note(node, &action);
        match action {
            Action::Send { to, message } => self.send(node, name(to), message),
            Action::StartAttempt(start) => {
                let attempt = start.work.attempt;
                let offered = |edge: &Edge| {
                    let offer = edge.offers.get(&attempt);
                    offer.is_some_and(|(owner, _)| *owner == node)
                };
                let entry = self.edges.iter().position(offered).unwrap_or(node);
                self.runs.push(Run {
                    owner: node,
                    entry,
                    work: start.work,
                    sent: false,
                    tokens: 0,
                });
            }
            Action::CancelAttempt(attempt) => {
                let at = |run: &Run| run.work.attempt == attempt && run.owner == node;
                if let Some(run) = self.runs.iter().position(at) {
                    let Run { sent, tokens, .. } = self.runs[run];
                    let cancelled = AttemptEnd::Cancelled { tokens };
                    self.end(run, if sent { cancelled } else { AttemptEnd::Unsent });
                }
            }
            Action::AcceptAttempt { attempt, .. } => {
                let edge = &mut self.edges[node];
                edge.accepted.insert(attempt.call, attempt);
                for token in edge.buffered.remove(&attempt).unwrap_or_default() {
                    self.chunk(node, attempt, token);
                }
            }
            Action::WithdrawAttempt(attempt) => self.lose(node, attempt),
            Action::AttachCall { call, original } => {
                self.attached.insert(call, original);
            }
            Action::FinishCall { call, outcome } if call.node == node_id(node) => {
                self.outcomes.entry(call).or_default().push(outcome);
                self.edges[node]
                    .offers
                    .retain(|attempt, _| attempt.call != call);
            }
            _ => {}
        }
    }

    /// Stops forwarding an attempt's tokens and reports how many were forwarded.
    fn lose(&mut self, node: usize, attempt: AttemptId) {
        let edge = &mut self.edges[node];
        if edge.accepted.get(&attempt.call) == Some(&attempt) {
            edge.accepted.remove(&attempt.call);
        }
        let tokens = edge.forwarded.get(&attempt).copied().unwrap_or_default();
        let sent = edge.offers.get(&attempt).is_none_or(|(_, sent)| *sent);
        let lost = Event::AttemptLost {
            attempt,
            tokens,
            sent,
        };
        self.handle(node, lost);
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let down = self.cut.contains(&(from, to)) || self.kernels[to].is_none();
        if let Message::Work(WorkMessage::Offer(work)) = &message {
            self.edges[from].offers.insert(work.attempt, (to, !down));
        }
        if down {
            self.link_down(from, to);
        } else {
            self.wire.push(Frame { from, to, message });
        }
    }

    fn link_down(&mut self, node: usize, peer: usize) {
        self.handle(node, Event::LinkDown(node_id(peer)));
        let open = self.edges[node].offers.iter();
        let open: Vec<AttemptId> = open
            .filter(|(_, (owner, _))| *owner == peer)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in open {
            self.lose(node, attempt);
        }
    }

    fn chunk(&mut self, node: usize, attempt: AttemptId, token: u32) {
        let edge = &mut self.edges[node];
        let accepted = edge.accepted.get(&attempt.call).copied();
        if accepted == Some(attempt) {
            *edge.forwarded.entry(attempt).or_default() += 1;
            self.received.entry(attempt.call).or_default().push(token);
        } else if accepted.is_some_and(|accepted| accepted < attempt) {
            edge.buffered.entry(attempt).or_default().push(token);
        }
    }

    /// Lets a new call arrive at a node.
    pub fn arrive(&mut self, node: usize, repeatable: bool, key: Option<RequestKey>) -> CallId {
        self.sequence += 1;
        let call = CallId {
            node: node_id(node),
            incarnation: Incarnation(self.incarnations[node]),
            sequence: self.sequence,
        };
        let spec = CallSpec {
            call,
            repeatable,
            ..call_spec(node)
        };
        self.handle(node, Event::CallArrived { spec, key });
        call
    }

    pub fn mint(&self, node: usize) -> RequestKey {
        RequestKey::from(&*self.mints[node].mint(WorkspaceId(7), self.now))
    }

    /// Delivers the frame at this index.
    pub fn deliver(&mut self, place: usize) {
        let frame = self.wire.remove(place);
        let from = node_id(frame.from);
        let message = frame.message;
        self.handle(frame.to, Event::PeerMessage { from, message });
    }

    /// Delivers all frames in order, including those sent in response.
    pub fn deliver_all(&mut self) {
        let mut left = 100_000;
        while !self.wire.is_empty() {
            self.deliver(0);
            left -= 1;
            assert!(left > 0, "messages without end: {:?}", self.wire);
        }
    }

    /// Sends an attempt from the owner to its engine, which runs it.
    pub fn start(&mut self, run: usize) {
        if !self.runs[run].sent {
            self.runs[run].sent = true;
            let Run { owner, work, .. } = self.runs[run];
            *self.ran.entry(work.attempt.call).or_default() += 1;
            self.handle(owner, Event::AttemptSent(work.attempt));
        }
    }

    /// Lets the engine of a running attempt produce one token, if any is left.
    pub fn token(&mut self, run: usize) {
        let Run {
            owner,
            entry,
            work,
            sent,
            tokens,
        } = self.runs[run];
        let token = work.resume_from + tokens;
        if !sent || token >= TOKENS {
            return;
        }
        self.runs[run].tokens += 1;
        if self.kernels[entry].is_some() && !self.cut.contains(&(owner, entry)) {
            self.chunk(entry, work.attempt, token);
        }
    }

    pub fn end(&mut self, run: usize, end: AttemptEnd) {
        let run = self.runs.remove(run);
        let attempt = run.work.attempt;
        self.handle(run.owner, Event::AttemptEnded { attempt, end });
    }

    /// Runs an attempt to its end, unless it is cancelled when it starts.
    pub fn complete(&mut self, run: usize) {
        let Run { owner, work, .. } = self.runs[run];
        self.start(run);
        let same = |run: &Run| run.work.attempt == work.attempt && run.owner == owner;
        let Some(run) = self.runs.iter().position(same) else {
            return;
        };
        for _ in 0..TOKENS {
            self.token(run);
        }
        let tokens = self.runs[run].tokens;
        self.end(run, AttemptEnd::Complete { tokens });
    }

    /// Breaks the connection to the engine.
    pub fn break_off(&mut self, run: usize) {
        let tokens = self.runs[run].tokens;
        self.end(run, AttemptEnd::Broken { tokens });
    }

    pub fn cut(&mut self, one: usize, two: usize) {
        self.cut.extend([(one, two), (two, one)]);
        self.link_down(one, two);
        self.link_down(two, one);
    }

    pub fn heal(&mut self) {
        for (one, two) in std::mem::take(&mut self.cut) {
            self.handle(one, Event::LinkUp(node_id(two)));
        }
    }

    /// Simulates a power failure of a node's host: its peers' links stay open and silent.
    pub fn power_off(&mut self, node: usize) {
        self.kernels[node] = None;
        self.runs.retain(|run| run.owner != node);
        self.wire.retain(|frame| frame.to != node);
    }

    /// Ends a node's process abruptly; its peers see their links break.
    pub fn kill(&mut self, node: usize) {
        self.power_off(node);
        for peer in 0..self.kernels.len() {
            self.link_down(peer, node);
        }
    }

    /// Sends the live nodes a view in which the missing nodes are dead.
    pub fn mark_dead(&mut self) {
        let nodes = 0..self.kernels.len();
        self.dead = nodes.filter(|node| self.kernels[*node].is_none()).collect();
        self.update_views();
    }

    pub fn restart(&mut self, node: usize) {
        if self.kernels[node].is_none() {
            self.incarnations[node] += 1;
            self.dead.remove(&node);
            self.boot(node);
            self.update_views();
        }
    }

    fn update_views(&mut self) {
        for node in 0..self.kernels.len() {
            let view = self.view();
            self.handle(node, Event::MembersChanged(view));
        }
    }

    pub fn pass(&mut self, time: Duration) {
        self.now += time;
        for node in 0..self.kernels.len() {
            self.handle(node, Event::Tick);
        }
    }

    /// Restores all links and nodes and runs every call to its end.
    pub fn settle(&mut self) {
        let mut left = 10_000;
        self.heal();
        for node in 0..self.kernels.len() {
            self.restart(node);
        }
        for _ in 0..200 {
            self.deliver_all();
            while !self.runs.is_empty() {
                self.complete(0);
                self.deliver_all();
                left -= 1;
                assert!(left > 0, "runs without end: {:?}", self.runs);
            }
            self.pass(Duration::from_secs(1));
        }
        self.deliver_all();
    }

    /// Checks that no node has any state left for a call.
    pub fn assert_no_open_state(&self) {
        for kernel in self.kernels.iter().flatten() {
            let dump = kernel.dump(Some("routing"));
            for field in [
                "open_calls",
                "open_offers",
                "relayed_calls",
                "timers",
                "repeats_waiting",
            ] {
                assert_eq!(dump["routing"][field], 0, "{field}");
            }
        }
    }

    fn note(&mut self, node: usize, action: &Action) {
        if let Some((call, text)) = describe(action, name)
            && call.sequence >= self.traced
        {
            self.trace
                .push(format!("n{node} call {}: {text}", call.sequence));
        }
    }

    /// Records a trace of the calls that arrive from here on.
    pub fn trace(&mut self) {
        self.traced = self.sequence + 1;
    }
}
