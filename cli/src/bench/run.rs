//! A discrete-event simulation of one node's kernel and simulated engines on virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use monsoonbank_kernel::call::{
    AttemptEnd, AttemptStart, CallOutcome, CallSpec, LoadReport, RefusalReason, Tier,
};
use monsoonbank_kernel::event::{Action, Event};
use monsoonbank_kernel::ids::{
    AttemptId, CallId, ClassId, Incarnation, NodeId, PoolId, UpstreamId, ZoneId,
};
use monsoonbank_kernel::kernel::Kernel;
use monsoonbank_kernel::membership::{Member, MemberView, NodeState};
use monsoonbank_kernel::ownership::OwnerMap;
use monsoonbank_kernel::plugin::NodeProfile;

use crate::bench::engine::{EngineEvent, FakeEngine};
use crate::bench::measure::{CallTrack, LoadSample, RunRecord, SAMPLE};
use crate::bench::policy::BenchPolicy;
use crate::bench::scenario::{FaultKind, POOL, ScenarioFile, engine_name};
use crate::bench::traffic::{PlannedCall, plan};

/// Time between two ticks of the kernel, as in the daemon.
const TICK: Duration = Duration::from_millis(20);

/// Virtual time after the last arrival in which calls may still end.
const DRAIN: Duration = Duration::from_hours(6);

/// One in this many cache events is lost.
const CACHE_LOSS_INTERVAL: u64 = 10;

#[derive(Clone, Copy, Debug)]
enum SimulationEvent {
    CallArrival(usize),
    AttemptArrival(usize, AttemptStart),
    CancelArrival(usize, AttemptId),
    ConnectionRefused(AttemptId),
    EngineWake(usize, u64),
    CollectReport(usize),
    DeliverReport(usize, LoadReport),
    DeliverCacheChange(usize, u64, bool),
    FaultBegins(usize),
    FaultEnds(usize),
    Tick,
    Sample,
}

struct Simulation<'a> {
    scenario: &'a ScenarioFile,
    kernel: Kernel,
    now: Duration,
    schedule: BTreeMap<(Duration, u64), SimulationEvent>,
    sequence: u64,
    engines: Vec<FakeEngine>,
    wake_versions: Vec<u64>,
    engine_indexes: BTreeMap<UpstreamId, usize>,
    placements: BTreeMap<AttemptId, usize>,
    record: RunRecord,
    open: usize,
    cache_events: u64,
    actions: Vec<Action>,
}

fn upstream(engine: usize) -> UpstreamId {
    UpstreamId::named(&engine_name(engine))
}

fn profile(seed: u64) -> NodeProfile {
    NodeProfile {
        node: NodeId::named("bench"),
        name: "bench".into(),
        zone: ZoneId::named("a"),
        zone_name: "a".into(),
        incarnation: Incarnation(1),
        seed,
        secret: [7; 32],
    }
}

fn view(profile: &NodeProfile) -> MemberView {
    let member = Member {
        name: profile.name.clone(),
        zone: profile.zone,
        zone_name: profile.zone_name.clone(),
        incarnation: profile.incarnation,
        state: NodeState::Live,
        peer_address: "".into(),
        caller_address: "".into(),
    };
    MemberView {
        members: BTreeMap::from([(profile.node, member)]),
    }
}

/// Runs a scenario to its end; calls still open after the drain time have no end in the record.
pub fn run(scenario: &ScenarioFile, seed: u64, policy: BenchPolicy) -> RunRecord {
    let calls = plan(scenario, seed);
    let mut simulation = Simulation::new(scenario, seed, policy, calls);
    simulation.initialize();
    simulation.run();
    simulation.record
}

impl<'a> Simulation<'a> {
    fn new(
        scenario: &'a ScenarioFile,
        seed: u64,
        policy: BenchPolicy,
        calls: Vec<PlannedCall>,
    ) -> Self {
        let mut kernel = Kernel::with_plugins(profile(seed), |name| {
            matches!(name, "limits" | "routing" | "dispatch")
        });
        if let Some(plugin) = policy.plugin() {
            kernel.replace("dispatch", plugin);
        }
        let shapes = scenario.each_engine();
        let engine_indexes =
            (0..shapes.len()).map(|index| (UpstreamId::named(&engine_name(index)), index));
        Self {
            scenario,
            kernel,
            now: Duration::from_secs(1),
            schedule: BTreeMap::new(),
            sequence: 0,
            wake_versions: vec![0; shapes.len()],
            engine_indexes: engine_indexes.collect(),
            engines: shapes.into_iter().map(FakeEngine::new).collect(),
            placements: BTreeMap::new(),
            record: RunRecord {
                tracks: vec![CallTrack::default(); calls.len()],
                calls,
                samples: Vec::new(),
                urgent_stopped: 0,
                urgent_shed: 0,
                capacity: Vec::new(),
            },
            open: 0,
            cache_events: 0,
            actions: Vec::new(),
        }
    }

    fn schedule_at(&mut self, at: Duration, event: SimulationEvent) {
        self.sequence += 1;
        self.schedule.insert((at, self.sequence), event);
    }

    fn schedule_after(&mut self, delay: Duration, event: SimulationEvent) {
        self.schedule_at(self.now + delay, event);
    }

    fn initialize(&mut self) {
        let config = self.scenario.config();
        let node = NodeId::named("bench");
        let owners = config.upstreams.keys().map(|upstream| (*upstream, node));
        let owners = OwnerMap {
            owners: owners.collect(),
        };
        self.handle(Event::ConfigApplied(config));
        self.handle(Event::MembersChanged(Arc::new(view(&profile(0)))));
        self.handle(Event::OwnersChanged(Arc::new(owners)));
        self.now = Duration::ZERO;
        if !self.record.calls.is_empty() {
            self.schedule_at(self.record.calls[0].at, SimulationEvent::CallArrival(0));
        }
        for engine in 0..self.engines.len() {
            self.schedule_at(Duration::ZERO, SimulationEvent::CollectReport(engine));
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            self.schedule_at(fault.at, SimulationEvent::FaultBegins(index));
            self.schedule_at(fault.until, SimulationEvent::FaultEnds(index));
        }
        self.schedule_at(TICK, SimulationEvent::Tick);
        self.schedule_at(SAMPLE, SimulationEvent::Sample);
        self.record_capacity();
    }

    fn run(&mut self) {
        let end = self.scenario.length + DRAIN;
        while let Some(((at, _), event)) = self.schedule.pop_first() {
            if at > end || (at > self.scenario.length && self.open == 0) {
                return;
            }
            self.now = at;
            self.process(event);
        }
    }

    fn process(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::CallArrival(index) => self.arrive(index),
            SimulationEvent::AttemptArrival(engine, start) => self.begin_run(engine, start),
            SimulationEvent::CancelArrival(engine, attempt) => self.cancel(engine, attempt),
            SimulationEvent::ConnectionRefused(attempt) => self.end(attempt, AttemptEnd::Unsent),
            SimulationEvent::EngineWake(engine, version)
                if self.wake_versions[engine] == version =>
            {
                self.process_engine(engine);
            }
            SimulationEvent::EngineWake(..) => {}
            SimulationEvent::CollectReport(engine) => self.collect_report(engine),
            SimulationEvent::DeliverReport(engine, report) => {
                let upstream = upstream(engine);
                self.handle(Event::UpstreamReported { upstream, report });
            }
            SimulationEvent::DeliverCacheChange(engine, prefix, held) => {
                let upstream = upstream(engine);
                self.handle(Event::CacheChanged {
                    upstream,
                    prefix,
                    held,
                });
            }
            SimulationEvent::FaultBegins(index) => self.apply_fault(index, true),
            SimulationEvent::FaultEnds(index) => self.apply_fault(index, false),
            SimulationEvent::Tick => {
                self.handle(Event::Tick);
                self.schedule_after(TICK, SimulationEvent::Tick);
            }
            SimulationEvent::Sample => self.record_sample(),
        }
    }

    fn arrive(&mut self, index: usize) {
        if let Some(next) = self.record.calls.get(index + 1) {
            self.schedule_at(next.at, SimulationEvent::CallArrival(index + 1));
        }
        let call = self.record.calls[index];
        let class = &self.scenario.classes[call.class];
        self.open += 1;
        let spec = CallSpec {
            call: CallId {
                node: NodeId::named("bench"),
                incarnation: Incarnation(1),
                sequence: index as u64,
            },
            workspace: call.workspace,
            class: ClassId::named(&class.name),
            tier: class.tier,
            pool: PoolId::named(POOL),
            time_left: class.target,
            repeatable: class.repeatable,
            prompt_tokens: call.prompt,
            max_tokens: 0,
            prefix: call.prefix,
        };
        self.handle(Event::CallArrived { spec, key: None });
    }

    fn handle(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.kernel.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(&action);
        }
        self.actions = actions;
    }

    fn act(&mut self, action: &Action) {
        match *action {
            Action::StartAttempt(start) => self.start(start),
            Action::CancelAttempt(attempt) => self.request_cancel(attempt),
            Action::FinishCall { call, outcome } => self.finish(call, outcome),
            _ => {}
        }
    }

    fn start(&mut self, start: AttemptStart) {
        let engine = self.engine_indexes[&start.upstream];
        let attempt = start.work.attempt;
        let hop = self.scenario.hop;
        if !self.engines[engine].up {
            self.schedule_after(hop, SimulationEvent::ConnectionRefused(attempt));
            return;
        }
        self.placements.insert(attempt, engine);
        self.schedule_after(hop, SimulationEvent::AttemptArrival(engine, start));
    }

    fn begin_run(&mut self, engine: usize, start: AttemptStart) {
        let attempt = start.work.attempt;
        if !self.placements.contains_key(&attempt) {
            return;
        }
        self.handle(Event::AttemptSent(attempt));
        let index = attempt.call.sequence as usize;
        self.record.tracks[index].runs += 1;
        self.record.tracks[index].first_sent.get_or_insert(self.now);
        let output = self.record.calls[index].output;
        self.engines[engine].start(self.now, start, output);
        self.schedule_cache_changes(engine);
        self.schedule_wake(engine);
    }

    fn schedule_cache_changes(&mut self, engine: usize) {
        let lag = self.engines[engine].shape().report_lag;
        for (prefix, held) in std::mem::take(&mut self.engines[engine].cache_changes) {
            self.cache_events += 1;
            if !self.cache_events.is_multiple_of(CACHE_LOSS_INTERVAL) {
                self.schedule_after(
                    lag,
                    SimulationEvent::DeliverCacheChange(engine, prefix, held),
                );
            }
        }
    }

    fn schedule_wake(&mut self, engine: usize) {
        self.wake_versions[engine] += 1;
        if let Some(at) = self.engines[engine].next_event() {
            let version = self.wake_versions[engine];
            self.schedule_at(
                at.max(self.now),
                SimulationEvent::EngineWake(engine, version),
            );
        }
    }

    fn process_engine(&mut self, engine: usize) {
        for event in self.engines[engine].events(self.now) {
            match event {
                EngineEvent::Progress(attempt, tokens) => self.progress(attempt, tokens),
                EngineEvent::Done(attempt, tokens) => {
                    self.progress(attempt, 1);
                    self.remove_run(engine, attempt);
                    self.placements.remove(&attempt);
                    self.handle(Event::AttemptEnded {
                        attempt,
                        end: AttemptEnd::Complete { tokens },
                    });
                }
            }
        }
        self.schedule_wake(engine);
    }

    fn progress(&mut self, attempt: AttemptId, tokens: u32) {
        let track = &mut self.record.tracks[attempt.call.sequence as usize];
        track.first_token.get_or_insert(self.now);
        self.handle(Event::AttemptProgress { attempt, tokens });
    }

    /// Removes a run from an engine, adds its cost to the call and returns its generated tokens.
    fn remove_run(&mut self, engine: usize, attempt: AttemptId) -> u32 {
        let cost = self.engines[engine].remove(self.now, attempt);
        let track = &mut self.record.tracks[attempt.call.sequence as usize];
        track.work += cost.total;
        if track.runs > 1 {
            track.repeated_work += cost.prefill;
        }
        if cost.tokens > 0 {
            track.first_token.get_or_insert(self.now);
        }
        cost.tokens
    }

    fn request_cancel(&mut self, attempt: AttemptId) {
        let Some(engine) = self.placements.get(&attempt).copied() else {
            return;
        };
        let urgent = self.record.calls[attempt.call.sequence as usize].tier == Tier(0);
        if urgent && self.engines[engine].is_healthy() {
            self.record.urgent_stopped += 1;
        }
        self.schedule_after(
            self.scenario.hop,
            SimulationEvent::CancelArrival(engine, attempt),
        );
    }

    fn cancel(&mut self, engine: usize, attempt: AttemptId) {
        if self.placements.get(&attempt) != Some(&engine) {
            return;
        }
        let tokens = self.remove_run(engine, attempt);
        self.end(attempt, AttemptEnd::Cancelled { tokens });
        self.schedule_wake(engine);
    }

    fn end(&mut self, attempt: AttemptId, end: AttemptEnd) {
        self.placements.remove(&attempt);
        self.handle(Event::AttemptEnded { attempt, end });
    }

    fn finish(&mut self, call: CallId, outcome: CallOutcome) {
        let index = call.sequence as usize;
        let track = &mut self.record.tracks[index];
        assert!(track.ended.is_none(), "call {index} ended twice");
        track.ended = Some((self.now, outcome));
        self.open -= 1;
        let CallOutcome::NotRun { reason, .. } = outcome else {
            return;
        };
        let late = matches!(reason, RefusalReason::Deadline | RefusalReason::Overloaded);
        if late && self.record.calls[index].tier == Tier(0) && self.lower_tier_above_floor() {
            self.record.urgent_shed += 1;
        }
    }

    /// Returns whether a lower tier runs at least one slot more than 1.25 times its floor, rounded
    /// up. The floor is a share of the slots of healthy engines; runs on every engine count.
    fn lower_tier_above_floor(&self) -> bool {
        let sample = self.sample_running();
        let floors = self.scenario.tiers.iter().filter(|tier| tier.tier.0 > 0);
        floors.into_iter().any(|tier| {
            let running = sample.running[usize::from(tier.tier.0.min(2))];
            f64::from(running) >= (tier.floor * f64::from(sample.slots) * 1.25).ceil() + 1.0
        })
    }

    fn sample_running(&self) -> LoadSample {
        let mut sample = LoadSample::default();
        let tier_of = |attempt: &AttemptId| {
            let tier = self.record.calls[attempt.call.sequence as usize].tier;
            usize::from(tier.0.min(2))
        };
        for engine in &self.engines {
            if engine.is_healthy() {
                sample.slots += engine.shape().slots;
            }
            for attempt in engine.running() {
                sample.running[tier_of(&attempt)] += 1;
            }
        }
        sample
    }

    fn record_sample(&mut self) {
        let mut sample = self.sample_running();
        let dump = self.kernel.dump(Some("dispatch"));
        if let Some(tiers) = dump["dispatch"]["pools"][POOL]["tiers"].as_object() {
            for (tier, state) in tiers {
                let index = tier.parse::<usize>().unwrap_or(2).min(2);
                let waiting = state["waiting"].as_u64().unwrap_or_default();
                sample.waiting[index] += waiting as u32;
            }
        }
        self.record.samples.push(sample);
        if self.now < self.scenario.length {
            self.schedule_after(SAMPLE, SimulationEvent::Sample);
        }
    }

    fn collect_report(&mut self, number: usize) {
        let engine = &self.engines[number];
        let shape = *engine.shape();
        if engine.up {
            let (running, waiting) = engine.load();
            let report = LoadReport {
                running,
                waiting,
                age: shape.report_lag,
                leaving: false,
            };
            self.schedule_after(
                shape.report_lag,
                SimulationEvent::DeliverReport(number, report),
            );
        } else {
            let upstream = upstream(number);
            self.handle(Event::UpstreamUnreachable(upstream));
        }
        self.schedule_after(shape.report_every, SimulationEvent::CollectReport(number));
    }

    fn apply_fault(&mut self, index: usize, begins: bool) {
        let fault = self.scenario.faults[index];
        let engine = fault.engine;
        match (fault.kind, begins) {
            (FaultKind::Crash, true) => self.crash(engine),
            (FaultKind::Crash, false) => self.engines[engine].up = true,
            (FaultKind::Slow, true) => self.engines[engine].set_slowdown(self.now, fault.factor),
            (FaultKind::Hang, true) => self.engines[engine].set_slowdown(self.now, f64::INFINITY),
            (FaultKind::Slow | FaultKind::Hang, false) => {
                self.engines[engine].set_slowdown(self.now, 1.0);
            }
        }
        self.schedule_wake(engine);
        self.record_capacity();
    }

    fn crash(&mut self, engine: usize) {
        self.engines[engine].up = false;
        self.engines[engine].clear_cache();
        for attempt in self.engines[engine].attempts() {
            let tokens = self.remove_run(engine, attempt);
            self.end(attempt, AttemptEnd::Broken { tokens });
        }
        let in_transit: Vec<AttemptId> = self
            .placements
            .iter()
            .filter(|(_, placed)| **placed == engine)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in in_transit {
            self.end(attempt, AttemptEnd::Unsent);
        }
    }

    fn record_capacity(&mut self) {
        let capacity_of = |engine: &FakeEngine| {
            let slots = f64::from(engine.shape().slots);
            if engine.up {
                slots / engine.slowdown()
            } else {
                0.0
            }
        };
        let capacity = self.engines.iter().map(capacity_of).sum();
        self.record.capacity.push((self.now, capacity));
    }
}
