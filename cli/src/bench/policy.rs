//! Dispatch policies: the product's own, variants of it with one rule switched off, and simple
//! baselines.

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

/// A dispatch policy that the bench can run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BenchPolicy {
    /// The policy of the product.
    #[display("monsoon")]
    Monsoon,
    /// The policy of the product without preemption of running attempts for urgent calls.
    #[display("no-preemption")]
    NoPreemption,
    /// The policy of the product without ejection of unhealthy upstreams.
    #[display("no-ejection")]
    NoEjection,
    /// The policy of the product without early refusal of calls.
    #[display("no-early-refusal")]
    NoEarlyRefusal,
    /// The policy of the product, ordered within a tier by deadlines alone.
    #[display("deadline-only")]
    DeadlineOnly,
    /// The policy of the product, ordered within a tier by fair shares alone.
    #[display("share-only")]
    ShareOnly,
    /// Sends every call immediately, to the engines in round-robin order.
    #[display("fifo-roundrobin")]
    FifoRoundrobin,
    /// Dequeues the more urgent tier first and within it in order of arrival, when a slot is free.
    #[display("strict-priority")]
    StrictPriority,
    /// Sends every call immediately to the engine that last reported the least load.
    #[display("least-reported-load")]
    LeastReportedLoad,
}

/// All policies: the product's own, then the baselines, then the variants.
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
    /// Returns the policy with this name, or `None` if there is none.
    pub fn named(name: &str) -> Option<Self> {
        POLICIES
            .into_iter()
            .find(|policy| policy.to_string() == name)
    }

    /// Returns the plug-in that replaces the kernel's dispatcher, or `None` to keep it.
    pub fn plugin(self) -> Option<Box<dyn Plugin>> {
        let defaults = DispatchSettings::default();
        let settings = match self {
            Self::Monsoon => return None,
            Self::FifoRoundrobin | Self::StrictPriority | Self::LeastReportedLoad => {
                return Some(Box::new(SimpleDispatcher::new(self)));
            }
            Self::NoPreemption => DispatchSettings {
                preemption: false,
                ..defaults
            },
            Self::NoEjection => DispatchSettings {
                ejection: false,
                ..defaults
            },
            Self::NoEarlyRefusal => DispatchSettings {
                early_refusal: false,
                ..defaults
            },
            Self::DeadlineOnly => DispatchSettings {
                lead: u64::MAX / 1_000,
                ..defaults
            },
            Self::ShareOnly => DispatchSettings {
                lead: 0,
                ..defaults
            },
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

/// A plug-in that implements the baseline policies.
#[derive(Debug)]
struct SimpleDispatcher {
    policy: BenchPolicy,
    engines: BTreeMap<UpstreamId, SimpleEngine>,
    queues: BTreeMap<Tier, VecDeque<(NodeId, WorkSpec)>>,
    queued: BTreeSet<AttemptId>,
    running: BTreeMap<AttemptId, (NodeId, UpstreamId)>,
    next_engine: usize,
}

impl SimpleDispatcher {
    fn new(policy: BenchPolicy) -> Self {
        Self {
            policy,
            engines: BTreeMap::new(),
            queues: BTreeMap::new(),
            queued: BTreeSet::new(),
            running: BTreeMap::new(),
            next_engine: 0,
        }
    }

    fn configure(&mut self, config: &Arc<Config>) {
        for (upstream, state) in config.upstreams.iter() {
            let engine = SimpleEngine {
                slots: state.spec.slots,
                in_flight: 0,
                reported: 0,
            };
            self.engines.entry(*upstream).or_insert(engine);
        }
    }

    fn choose(&mut self) -> Option<UpstreamId> {
        match self.policy {
            BenchPolicy::FifoRoundrobin => {
                self.next_engine += 1;
                let next_engine = self.next_engine % self.engines.len().max(1);
                self.engines.keys().nth(next_engine).copied()
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

    fn dispatch_queued(&mut self, context: &mut Context<'_>) {
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

    fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd, context: &mut Context<'_>) {
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
        self.dispatch_queued(context);
    }

    fn record_report(&mut self, upstream: UpstreamId, report: &LoadReport) {
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.reported = report.running + report.waiting;
        }
    }

    fn answer_query(&self, from: NodeId, attempts: &[AttemptId], context: &mut Context<'_>) {
        let is_held = |attempt: &AttemptId| {
            self.running.contains_key(attempt) || self.queued.contains(attempt)
        };
        let (held, missing) = attempts.iter().copied().partition(is_held);
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
                self.dispatch_queued(context);
            }
            Event::PeerMessage {
                from,
                message: Message::Work(WorkMessage::Ask(attempts)),
            } => self.answer_query(*from, attempts, context),
            Event::AttemptSent(attempt) => {
                if let Some((entry, _)) = self.running.get(attempt) {
                    context.send(*entry, WorkMessage::Started(*attempt));
                }
            }
            Event::AttemptEnded { attempt, end } => self.end_attempt(*attempt, *end, context),
            Event::UpstreamReported { upstream, report } => self.record_report(*upstream, report),
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
