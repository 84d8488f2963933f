//! One node's kernel on virtual time against fake engines.

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

use crate::bench::engine::{EngineNews, FakeEngine};
use crate::bench::measure::{CallTrack, LoadSample, RunRecord, SAMPLE};
use crate::bench::policy::BenchPolicy;
use crate::bench::scenario::{FaultKind, POOL, ScenarioFile, engine_name};
use crate::bench::traffic::{PlannedCall, plan};

/// Time between two ticks of the kernel, as in the daemon.
const TICK: Duration = Duration::from_millis(20);

/// Virtual time after the last arrival in which calls may still end.
const DRAIN: Duration = Duration::from_hours(6);

/// Every so many cache events one is lost.
const CACHE_GAP: u64 = 10;

#[derive(Clone, Copy, Debug)]
enum Happening {
    Arrival(usize),
    Arrive(usize, AttemptStart),
    Cancel(usize, AttemptId),
    Refused(AttemptId),
    Wake(usize, u64),
    TakeReport(usize),
    TellReport(usize, LoadReport),
    TellCache(usize, u64, bool),
    FaultBegins(usize),
    FaultEnds(usize),
    Tick,
    Sample,
}

struct Simulation<'a> {
    scenario: &'a ScenarioFile,
    kernel: Kernel,
    now: Duration,
    agenda: BTreeMap<(Duration, u64), Happening>,
    sequence: u64,
    engines: Vec<FakeEngine>,
    wakes: Vec<u64>,
    numbers: BTreeMap<UpstreamId, usize>,
    places: BTreeMap<AttemptId, usize>,
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

/// Runs a scenario to its end.
pub fn run(scenario: &ScenarioFile, seed: u64, policy: BenchPolicy) -> RunRecord {
    let calls = plan(scenario, seed);
    let mut simulation = Simulation::new(scenario, seed, policy, calls);
    simulation.begin();
    simulation.go();
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
        let numbers = (0..shapes.len()).map(|n| (UpstreamId::named(&engine_name(n)), n));
        Self {
            scenario,
            kernel,
            now: Duration::from_secs(1),
            agenda: BTreeMap::new(),
            sequence: 0,
            wakes: vec![0; shapes.len()],
            numbers: numbers.collect(),
            engines: shapes.into_iter().map(FakeEngine::new).collect(),
            places: BTreeMap::new(),
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

    fn at(&mut self, at: Duration, happening: Happening) {
        self.sequence += 1;
        self.agenda.insert((at, self.sequence), happening);
    }

    fn after(&mut self, delay: Duration, happening: Happening) {
        self.at(self.now + delay, happening);
    }

    fn begin(&mut self) {
        let config = self.scenario.config();
        let node = NodeId::named("bench");
        let owners = config.upstreams.keys().map(|upstream| (*upstream, node));
        let owners = OwnerMap {
            owners: owners.collect(),
        };
        self.tell(Event::ConfigApplied(config));
        self.tell(Event::MembersChanged(Arc::new(view(&profile(0)))));
        self.tell(Event::OwnersChanged(Arc::new(owners)));
        self.now = Duration::ZERO;
        if !self.record.calls.is_empty() {
            self.at(self.record.calls[0].at, Happening::Arrival(0));
        }
        for engine in 0..self.engines.len() {
            self.at(Duration::ZERO, Happening::TakeReport(engine));
        }
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            self.at(fault.at, Happening::FaultBegins(index));
            self.at(fault.until, Happening::FaultEnds(index));
        }
        self.at(TICK, Happening::Tick);
        self.at(SAMPLE, Happening::Sample);
        self.note_capacity();
    }

    fn go(&mut self) {
        let end = self.scenario.length + DRAIN;
        while let Some(((at, _), happening)) = self.agenda.pop_first() {
            if at > end || (at > self.scenario.length && self.open == 0) {
                return;
            }
            self.now = at;
            self.happen(happening);
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival(index) => self.arrive(index),
            Happening::Arrive(engine, start) => self.begin_run(engine, start),
            Happening::Cancel(engine, attempt) => self.cancel(engine, attempt),
            Happening::Refused(attempt) => self.end(attempt, AttemptEnd::Unsent),
            Happening::Wake(engine, number) if self.wakes[engine] == number => {
                self.attend(engine);
            }
            Happening::Wake(..) => {}
            Happening::TakeReport(engine) => self.take_report(engine),
            Happening::TellReport(engine, report) => {
                let upstream = upstream(engine);
                self.tell(Event::UpstreamReported { upstream, report });
            }
            Happening::TellCache(engine, prefix, held) => {
                let upstream = upstream(engine);
                self.tell(Event::CacheChanged {
                    upstream,
                    prefix,
                    held,
                });
            }
            Happening::FaultBegins(index) => self.fault(index, true),
            Happening::FaultEnds(index) => self.fault(index, false),
            Happening::Tick => {
                self.tell(Event::Tick);
                self.after(TICK, Happening::Tick);
            }
            Happening::Sample => self.sample(),
        }
    }

    fn arrive(&mut self, index: usize) {
        if let Some(next) = self.record.calls.get(index + 1) {
            self.at(next.at, Happening::Arrival(index + 1));
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
        self.tell(Event::CallArrived { spec, key: None });
    }

    fn tell(&mut self, event: Event) {
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
            Action::CancelAttempt(attempt) => self.stop(attempt),
            Action::FinishCall { call, outcome } => self.finish(call, outcome),
            _ => {}
        }
    }

    fn start(&mut self, start: AttemptStart) {
        let engine = self.numbers[&start.upstream];
        let attempt = start.work.attempt;
        let hop = self.scenario.hop;
        if !self.engines[engine].up {
            self.after(hop, Happening::Refused(attempt));
            return;
        }
        self.places.insert(attempt, engine);
        self.after(hop, Happening::Arrive(engine, start));
    }

    fn begin_run(&mut self, engine: usize, start: AttemptStart) {
        let attempt = start.work.attempt;
        if !self.places.contains_key(&attempt) {
            return;
        }
        self.tell(Event::AttemptSent(attempt));
        let index = attempt.call.sequence as usize;
        self.record.tracks[index].runs += 1;
        self.record.tracks[index].began.get_or_insert(self.now);
        let output = self.record.calls[index].output;
        self.engines[engine].start(self.now, start, output);
        self.tell_cache(engine);
        self.rewake(engine);
    }

    fn tell_cache(&mut self, engine: usize) {
        let lag = self.engines[engine].shape().report_lag;
        for (prefix, held) in std::mem::take(&mut self.engines[engine].cache_news) {
            self.cache_events += 1;
            if !self.cache_events.is_multiple_of(CACHE_GAP) {
                self.after(lag, Happening::TellCache(engine, prefix, held));
            }
        }
    }

    fn rewake(&mut self, engine: usize) {
        self.wakes[engine] += 1;
        if let Some(at) = self.engines[engine].next() {
            let number = self.wakes[engine];
            self.at(at.max(self.now), Happening::Wake(engine, number));
        }
    }

    fn attend(&mut self, engine: usize) {
        for news in self.engines[engine].news(self.now) {
            match news {
                EngineNews::Progress(attempt, tokens) => self.progress(attempt, tokens),
                EngineNews::Done(attempt, tokens) => {
                    self.progress(attempt, 1);
                    self.charge(engine, attempt);
                    self.places.remove(&attempt);
                    self.tell(Event::AttemptEnded {
                        attempt,
                        end: AttemptEnd::Complete { tokens },
                    });
                }
            }
        }
        self.rewake(engine);
    }

    fn progress(&mut self, attempt: AttemptId, tokens: u32) {
        let track = &mut self.record.tracks[attempt.call.sequence as usize];
        track.first_token.get_or_insert(self.now);
        self.tell(Event::AttemptProgress { attempt, tokens });
    }

    /// Takes a run off an engine and books its cost; gives back its tokens.
    fn charge(&mut self, engine: usize, attempt: AttemptId) -> u32 {
        let cost = self.engines[engine].remove(self.now, attempt);
        let track = &mut self.record.tracks[attempt.call.sequence as usize];
        track.work += cost.all;
        if track.runs > 1 {
            track.again += cost.read;
        }
        if cost.tokens > 0 {
            track.first_token.get_or_insert(self.now);
        }
        cost.tokens
    }

    fn stop(&mut self, attempt: AttemptId) {
        let Some(engine) = self.places.get(&attempt).copied() else {
            return;
        };
        let urgent = self.record.calls[attempt.call.sequence as usize].tier == Tier(0);
        if urgent && self.engines[engine].is_fit() {
            self.record.urgent_stopped += 1;
        }
        self.after(self.scenario.hop, Happening::Cancel(engine, attempt));
    }

    fn cancel(&mut self, engine: usize, attempt: AttemptId) {
        if self.places.get(&attempt) != Some(&engine) {
            return;
        }
        let tokens = self.charge(engine, attempt);
        self.end(attempt, AttemptEnd::Cancelled { tokens });
        self.rewake(engine);
    }

    fn end(&mut self, attempt: AttemptId, end: AttemptEnd) {
        self.places.remove(&attempt);
        self.tell(Event::AttemptEnded { attempt, end });
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
        if late && self.record.calls[index].tier == Tier(0) && self.lower_could_give() {
            self.record.urgent_shed += 1;
        }
    }

    /// Whether a lower tier holds more than its floor by a slot on engines that work well.
    fn lower_could_give(&self) -> bool {
        let sample = self.look();
        let floors = self.scenario.tiers.iter().filter(|tier| tier.tier.0 > 0);
        floors.into_iter().any(|tier| {
            let running = sample.running[usize::from(tier.tier.0.min(2))];
            f64::from(running) >= (tier.floor * f64::from(sample.slots) * 1.25).ceil() + 1.0
        })
    }

    fn look(&self) -> LoadSample {
        let mut sample = LoadSample::default();
        let tier_of = |attempt: &AttemptId| {
            let tier = self.record.calls[attempt.call.sequence as usize].tier;
            usize::from(tier.0.min(2))
        };
        for engine in &self.engines {
            if engine.is_fit() {
                sample.slots += engine.shape().slots;
            }
            for attempt in engine.running() {
                sample.running[tier_of(&attempt)] += 1;
            }
        }
        sample
    }

    fn sample(&mut self) {
        let mut sample = self.look();
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
            self.after(SAMPLE, Happening::Sample);
        }
    }

    fn take_report(&mut self, number: usize) {
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
            self.after(shape.report_lag, Happening::TellReport(number, report));
        } else {
            let upstream = upstream(number);
            self.tell(Event::UpstreamUnreachable(upstream));
        }
        self.after(shape.report_every, Happening::TakeReport(number));
    }

    fn fault(&mut self, index: usize, begins: bool) {
        let fault = self.scenario.faults[index];
        let engine = fault.engine;
        match (fault.kind, begins) {
            (FaultKind::Crash, true) => self.crash(engine),
            (FaultKind::Crash, false) => self.engines[engine].up = true,
            (FaultKind::Slow, true) => self.engines[engine].set_factor(self.now, fault.factor),
            (FaultKind::Hang, true) => self.engines[engine].set_factor(self.now, f64::INFINITY),
            (FaultKind::Slow | FaultKind::Hang, false) => {
                self.engines[engine].set_factor(self.now, 1.0);
            }
        }
        self.rewake(engine);
        self.note_capacity();
    }

    fn crash(&mut self, engine: usize) {
        self.engines[engine].up = false;
        self.engines[engine].clear_cache();
        for attempt in self.engines[engine].held() {
            let tokens = self.charge(engine, attempt);
            self.end(attempt, AttemptEnd::Broken { tokens });
        }
        let under_way: Vec<AttemptId> = self
            .places
            .iter()
            .filter(|(_, place)| **place == engine)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in under_way {
            self.end(attempt, AttemptEnd::Unsent);
        }
    }

    fn note_capacity(&mut self) {
        let offered = |engine: &FakeEngine| {
            let slots = f64::from(engine.shape().slots);
            if engine.up {
                slots / engine.factor()
            } else {
                0.0
            }
        };
        let capacity = self.engines.iter().map(offered).sum();
        self.record.capacity.push((self.now, capacity));
    }
}
