//! The plug-in of the owner node: queues work and hands it to the upstreams that the node owns.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::call::{AttemptEnd, AttemptStart, LoadSummary, RefusalReason, ReturnReason, WorkSpec};
use crate::config::Config;
use crate::event::{Action, Event};
use crate::ids::{AttemptId, NodeId, PoolId, UpstreamId};
use crate::ownership::OwnerMap;
use crate::plugin::{Context, NodeProfile, Plugin, Registration};
use crate::wire::{Message, WorkMessage};

#[derive(Debug)]
struct QueuedWork {
    work: WorkSpec,
    entry: NodeId,
    deadline: Duration,
}

#[derive(Debug)]
struct RunningWork {
    work: WorkSpec,
    entry: NodeId,
    upstream: UpstreamId,
}

/// Work that this node holds as an owner.
#[derive(Debug, Default)]
pub struct WorkDispatcher {
    config: Arc<Config>,
    owners: Arc<OwnerMap>,
    queues: BTreeMap<PoolId, VecDeque<QueuedWork>>,
    running: BTreeMap<AttemptId, RunningWork>,
    in_flight: BTreeMap<UpstreamId, u32>,
    /// Offers seen: a doubled one is not taken twice.
    seen: BTreeSet<AttemptId>,
}

impl WorkDispatcher {
    fn owned(&self, pool: PoolId, node: NodeId) -> impl Iterator<Item = (UpstreamId, u32)> + '_ {
        self.config
            .members
            .get(&pool)
            .into_iter()
            .flatten()
            .filter(move |upstream| self.owners.owners.get(upstream) == Some(&node))
            .map(|upstream| (*upstream, self.config.upstreams[upstream].spec.slots))
    }

    fn summary(&self, pool: PoolId, node: NodeId) -> LoadSummary {
        let mut load = LoadSummary::default();
        for (upstream, slots) in self.owned(pool, node) {
            load.slots += slots;
            load.running += self.in_flight.get(&upstream).copied().unwrap_or_default();
        }
        for queued in self.queues.get(&pool).into_iter().flatten() {
            load.waiting[usize::from(queued.work.spec.tier.0.min(2))] += 1;
        }
        load
    }

    fn offer(&mut self, entry: NodeId, work: WorkSpec, context: &mut Context<'_>) {
        let pool = work.spec.pool;
        if !self.seen.insert(work.attempt) {
            return;
        }
        if self.owned(pool, context.profile.node).next().is_none() {
            let load = self.summary(pool, context.profile.node);
            let reason = ReturnReason::NotOwner;
            context.send(
                entry,
                WorkMessage::Returned {
                    attempt: work.attempt,
                    reason,
                    load,
                },
            );
            return;
        }
        let deadline = context.now + work.spec.time_left;
        self.queues.entry(pool).or_default().push_back(QueuedWork {
            work,
            entry,
            deadline,
        });
        self.fill(pool, context);
    }

    fn fill(&mut self, pool: PoolId, context: &mut Context<'_>) {
        loop {
            let free = self
                .owned(pool, context.profile.node)
                .map(|(upstream, slots)| {
                    let used = self.in_flight.get(&upstream).copied().unwrap_or_default();
                    (upstream, slots.saturating_sub(used))
                })
                .filter(|(_, free)| *free > 0)
                .max_by_key(|(_, free)| *free);
            let Some((upstream, _)) = free else {
                return;
            };
            let Some(queue) = self.queues.get_mut(&pool) else {
                return;
            };
            let next = queue
                .iter()
                .enumerate()
                .min_by_key(|(_, queued)| (queued.work.spec.tier, queued.deadline))
                .map(|(index, _)| index);
            let Some(queued) = next.and_then(|index| queue.remove(index)) else {
                return;
            };
            *self.in_flight.entry(upstream).or_default() += 1;
            let work = queued.work;
            self.running.insert(
                work.attempt,
                RunningWork {
                    work,
                    entry: queued.entry,
                    upstream,
                },
            );
            context.act(Action::StartAttempt(AttemptStart { work, upstream }));
        }
    }

    fn ended(&mut self, attempt: AttemptId, end: AttemptEnd, context: &mut Context<'_>) {
        let Some(running) = self.running.remove(&attempt) else {
            return;
        };
        if let Some(count) = self.in_flight.get_mut(&running.upstream) {
            *count = count.saturating_sub(1);
        }
        let pool = running.work.spec.pool;
        let load = self.summary(pool, context.profile.node);
        context.send(running.entry, WorkMessage::Ended { attempt, end, load });
        self.fill(pool, context);
    }

    fn cancel(&mut self, attempt: AttemptId, context: &mut Context<'_>) {
        let reason = ReturnReason::Refused {
            reason: RefusalReason::Cancelled,
            retry_after: None,
        };
        self.give_back(reason, context, |queued| queued.work.attempt == attempt);
        if self.running.contains_key(&attempt) {
            context.act(Action::CancelAttempt(attempt));
        }
    }

    fn give_back(
        &mut self,
        reason: ReturnReason,
        context: &mut Context<'_>,
        chosen: impl Fn(&QueuedWork) -> bool,
    ) {
        let mut back = Vec::new();
        for queue in self.queues.values_mut() {
            let (gone, kept) = queue.drain(..).partition::<Vec<_>, _>(&chosen);
            queue.extend(kept);
            back.extend(gone);
        }
        for queued in back {
            let load = self.summary(queued.work.spec.pool, context.profile.node);
            let attempt = queued.work.attempt;
            let returned = WorkMessage::Returned {
                attempt,
                reason,
                load,
            };
            context.send(queued.entry, returned);
        }
    }

    fn owners_changed(&mut self, owners: &Arc<OwnerMap>, context: &mut Context<'_>) {
        self.owners = Arc::clone(owners);
        let node = context.profile.node;
        let lost: Vec<PoolId> = self
            .queues
            .keys()
            .copied()
            .filter(|pool| self.owned(*pool, node).next().is_none())
            .collect();
        self.give_back(ReturnReason::NotOwner, context, |queued| {
            lost.contains(&queued.work.spec.pool)
        });
    }

    fn asked(&self, from: NodeId, attempts: &[AttemptId], context: &mut Context<'_>) {
        let queued = || self.queues.values().flatten();
        let holds = |attempt: &AttemptId| {
            self.running.contains_key(attempt)
                || queued().any(|queued| queued.work.attempt == *attempt)
        };
        let (held, missing) = attempts.iter().copied().partition(holds);
        context.send(from, WorkMessage::Held { held, missing });
    }
}

impl Plugin for WorkDispatcher {
    fn handle(&mut self, event: &Event, context: &mut Context<'_>) {
        match event {
            Event::ConfigApplied(config) => self.config = Arc::clone(config),
            Event::OwnersChanged(owners) => self.owners_changed(owners, context),
            Event::PeerMessage {
                from,
                message: Message::Work(WorkMessage::Offer(work)),
            } => {
                self.offer(*from, *work, context);
            }
            Event::PeerMessage {
                message: Message::Work(WorkMessage::Cancel(attempt)),
                ..
            } => {
                self.cancel(*attempt, context);
            }
            Event::PeerMessage {
                from,
                message: Message::Work(WorkMessage::Ask(attempts)),
            } => {
                self.asked(*from, attempts, context);
            }
            Event::AttemptSent(attempt) => {
                if let Some(running) = self.running.get(attempt) {
                    context.send(running.entry, WorkMessage::Started(*attempt));
                }
            }
            Event::AttemptEnded { attempt, end } => self.ended(*attempt, *end, context),
            _ => {}
        }
    }

    fn dump(&self) -> Value {
        let queued: usize = self.queues.values().map(VecDeque::len).sum();
        json!({ "queued": queued, "running": self.running.len() })
    }
}

fn build(_profile: &NodeProfile) -> Box<dyn Plugin> {
    Box::<WorkDispatcher>::default()
}

inventory::submit! {
    Registration { name: "dispatch", order: 70, build }
}
