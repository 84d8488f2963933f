//! Policies: the one that ships, variants of it, and simple ones to compare with.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use derive_more::Display;
use monsoonbank_kernel::call::{AttemptEnd, AttemptStart, LoadReport, LoadSummary, Tier, WorkSpec};
use monsoonbank_kernel::config::Config;
use monsoonbank_kernel::dispatch::WorkDispatcher;
use monsoonbank_kernel::dispatch::pool::DispatchSettings;
use monsoonbank_kernel::event::{Action, Event};
use monsoonbank_kernel::ids::{AttemptId, NodeId, UpstreamId};
use monsoonbank_kernel::plugin::{Context, Plugin};
use monsoonbank_kernel::wire::{Message, WorkMessage};
use serde_json::{Value, json};

use crate::bench::scenario::POOL;

/// A policy.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BenchPolicy {
    /// What ships.
    #[display("monsoon")]
    Monsoon,
    /// What ships, without stopping runs for urgent work.
    #[display("no-preemption")]
    NoPreemption,
    /// What ships, without taking upstreams out of service.
    #[display("no-ejection")]
    NoEjection,
    /// What ships, without refusing early.
    #[display("no-early-refusal")]
    NoEarlyRefusal,
    /// What ships, with deadlines alone deciding within a tier.
    #[display("deadline-only")]
    DeadlineOnly,
    /// What ships, with fair shares alone deciding within a tier.
    #[display("share-only")]
    ShareOnly,
    /// Every call at once to the next engine in turn.
    #[display("fifo-roundrobin")]
    FifoRoundrobin,
    /// One queue, the higher tier first, then first come first served.
    #[display("strict-priority")]
    StrictPriority,
    /// Every call at once to the engine that reported the least load.
    #[display("least-reported-load")]
    LeastReportedLoad,
}

/// All policies; the one that ships first, then the baselines.
pub const POLICIES: [BenchPolicy; 9] = [
    BenchPolicy::Monsoon,
    BenchPolicy::FifoRoundrobin,
    BenchPolicy::StrictPriority,
    BenchPolicy::LeastReportedLoad,
    BenchPolicy::NoPreemption,
    BenchPolicy::NoEjection,
    BenchPolicy::NoEarlyRefusal,
    BenchPolicy::DeadlineOnly,
    BenchPolicy::ShareOnly,
];

impl BenchPolicy {
    /// The policy with this name.
    pub fn named(name: &str) -> Option<Self> {
        POLICIES
            .into_iter()
            .find(|policy| policy.to_string() == name)
    }

    /// The plug-in that takes the dispatcher's place; none for what ships.
    pub fn plugin(self) -> Option<Box<dyn Plugin>> {
        let usual = DispatchSettings::default();
        let settings = match self {
            Self::Monsoon => return None,
            Self::FifoRoundrobin | Self::StrictPriority | Self::LeastReportedLoad => {
                return Some(Box::new(SimpleDispatcher::new(self)));
            }
            Self::NoPreemption => DispatchSettings {
                preemption: false,
                ..usual
            },
            Self::NoEjection => DispatchSettings {
                ejection: false,
                ..usual
            },
            Self::NoEarlyRefusal => DispatchSettings {
                early_refusal: false,
                ..usual
            },
            Self::DeadlineOnly => DispatchSettings {
                lead: u64::MAX / 1_000,
                ..usual
            },
            Self::ShareOnly => DispatchSettings { lead: 0, ..usual },
        };
        Some(Box::new(WorkDispatcher::new(settings)))
    }
}

#[derive(Debug)]
struct SimpleEngine {
    slots: u32,
    in_flight: u32,
    reported: u32,
}

/// A simple policy in the dispatcher's place.
#[derive(Debug)]
struct SimpleDispatcher {
    policy: BenchPolicy,
    engines: BTreeMap<UpstreamId, SimpleEngine>,
    queues: BTreeMap<Tier, VecDeque<(NodeId, WorkSpec)>>,
    queued: BTreeSet<AttemptId>,
    running: BTreeMap<AttemptId, (NodeId, UpstreamId)>,
    turn: usize,
}

impl SimpleDispatcher {
    fn new(policy: BenchPolicy) -> Self {
        Self {
            policy,
            engines: BTreeMap::new(),
            queues: BTreeMap::new(),
            queued: BTreeSet::new(),
            running: BTreeMap::new(),
            turn: 0,
        }
    }

    fn configure(&mut self, config: &Arc<Config>) {
        for (upstream, found) in config.upstreams.iter() {
            let engine = SimpleEngine {
                slots: found.spec.slots,
                in_flight: 0,
                reported: 0,
            };
            self.engines.entry(*upstream).or_insert(engine);
        }
    }

    fn choose(&mut self) -> Option<UpstreamId> {
        match self.policy {
            BenchPolicy::FifoRoundrobin => {
                self.turn += 1;
                let turn = self.turn % self.engines.len().max(1);
                self.engines.keys().nth(turn).copied()
            }
            BenchPolicy::StrictPriority => self
                .engines
                .iter()
                .filter(|(_, engine)| engine.in_flight < engine.slots)
                .min_by_key(|(_, engine)| engine.in_flight)
                .map(|(upstream, _)| *upstream),
            _ => self
                .engines
                .iter()
                .min_by_key(|(_, engine)| engine.reported)
                .map(|(upstream, _)| *upstream),
        }
    }

    fn fill(&mut self, context: &mut Context<'_>) {
        while !self.queued.is_empty() {
            let Some(upstream) = self.choose() else {
                return;
            };
            let next = self.queues.values_mut().find_map(VecDeque::pop_front);
            let Some((entry, work)) = next else {
                return;
            };
            if let Some(engine) = self.engines.get_mut(&upstream) {
                engine.in_flight += 1;
            }
            self.queued.remove(&work.attempt);
            self.running.insert(work.attempt, (entry, upstream));
            context.act(Action::StartAttempt(AttemptStart { work, upstream }));
        }
    }

    fn ended(&mut self, attempt: AttemptId, end: AttemptEnd, context: &mut Context<'_>) {
        let Some((entry, upstream)) = self.running.remove(&attempt) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.in_flight -= 1;
        }
        let load = LoadSummary {
            slots: 1,
            ..LoadSummary::default()
        };
        context.send(entry, WorkMessage::Ended { attempt, end, load });
        self.fill(context);
    }

    fn reported(&mut self, upstream: UpstreamId, report: &LoadReport) {
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.reported = report.running + report.waiting;
        }
    }

    fn asked(&self, from: NodeId, attempts: &[AttemptId], context: &mut Context<'_>) {
        let holds = |attempt: &AttemptId| {
            self.running.contains_key(attempt) || self.queued.contains(attempt)
        };
        let (held, missing) = attempts.iter().copied().partition(holds);
        context.send(from, WorkMessage::Held { held, missing });
    }
}

impl Plugin for SimpleDispatcher {
    fn handle(&mut self, event: &Event, context: &mut Context<'_>) {
        match event {
            Event::ConfigApplied(config) => self.configure(config),
            Event::PeerMessage {
                from,
                message: Message::Work(WorkMessage::Offer(work)),
            } => {
                let tier = match self.policy {
                    BenchPolicy::StrictPriority => work.spec.tier,
                    _ => Tier(0),
                };
                self.queues
                    .entry(tier)
                    .or_default()
                    .push_back((*from, *work));
                self.queued.insert(work.attempt);
                self.fill(context);
            }
            Event::PeerMessage {
                from,
                message: Message::Work(WorkMessage::Ask(attempts)),
            } => self.asked(*from, attempts, context),
            Event::AttemptSent(attempt) => {
                if let Some((entry, _)) = self.running.get(attempt) {
                    context.send(*entry, WorkMessage::Started(*attempt));
                }
            }
            Event::AttemptEnded { attempt, end } => self.ended(*attempt, *end, context),
            Event::UpstreamReported { upstream, report } => self.reported(*upstream, report),
            _ => {}
        }
    }

    fn dump(&self) -> Value {
        let mut waiting = [0; 3];
        for (_, work) in self.queues.values().flatten() {
            waiting[usize::from(work.spec.tier.0.min(2))] += 1;
        }
        let tier = |count: usize| json!({ "waiting": count });
        json!({ "pools": { POOL: { "tiers": {
            "0": tier(waiting[0]), "1": tier(waiting[1]), "2": tier(waiting[2]),
        } } } })
    }
}
