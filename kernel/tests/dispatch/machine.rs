//! Random sequences checked against an oracle that records each attempt's state, without knowledge
//! of the dispatch policy.

use std::collections::{BTreeMap, BTreeSet};

use monsoonbank_kernel::call::{AttemptEnd, RefusalReason, ReturnReason, Tier};
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::{AttemptId, NodeId, UpstreamId};
use monsoonbank_kernel::wire::WorkMessage;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::world::{CallParams, ENTRY, World, ms, params, upstream_id};

const UPSTREAMS: u32 = 3;
const SLOTS: u32 = 4;
const FLOORS: [f64; 3] = [0.0, 0.2, 0.1];

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer {
        tier: u8,
        workspace: usize,
        repeatable: bool,
        left: u64,
        prompt: u32,
        resumed: bool,
    },
    OfferAgain(usize),
    Cancel(usize),
    CancelThenOffer,
    Sent(usize),
    Progress(usize, u32),
    Complete(usize, u32),
    Fail(usize, u8),
    Stopped(u32),
    Tick(u64),
    Own(bool),
    Report(u32),
    Unreachable(u32),
    UpstreamLeaving(u32),
    LinkDown,
    NodeLeaving,
}

struct Steps;

impl ReferenceStateMachine for Steps {
    type State = u32;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u32> {
        Just(0).boxed()
    }

    fn transitions(_: &u32) -> BoxedStrategy<Step> {
        let offer = (
            0..3_u8,
            0..3_usize,
            any::<bool>(),
            0..3_000_u64,
            1..2_000_u32,
            0..10_u8,
        );
        let offer =
            offer.prop_map(
                |(tier, workspace, repeatable, left, prompt, resumed)| Step::Offer {
                    tier,
                    workspace,
                    repeatable,
                    left,
                    prompt,
                    resumed: resumed == 0,
                },
            );
        prop_oneof![
            30 => offer,
            2 => any::<usize>().prop_map(Step::OfferAgain),
            4 => any::<usize>().prop_map(Step::Cancel),
            1 => Just(Step::CancelThenOffer),
            12 => any::<usize>().prop_map(Step::Sent),
            8 => (any::<usize>(), 1..50_u32).prop_map(|(n, tokens)| Step::Progress(n, tokens)),
            12 => (any::<usize>(), 1..300_u32).prop_map(|(n, tokens)| Step::Complete(n, tokens)),
            3 => (any::<usize>(), 0..3_u8).prop_map(|(n, how)| Step::Fail(n, how)),
            8 => (0..50_u32).prop_map(Step::Stopped),
            12 => (1..600_u64).prop_map(Step::Tick),
            1 => any::<bool>().prop_map(Step::Own),
            2 => (1..=UPSTREAMS).prop_map(Step::Report),
            1 => (1..=UPSTREAMS).prop_map(Step::Unreachable),
            1 => (2..=UPSTREAMS).prop_map(Step::UpstreamLeaving),
            1 => Just(Step::LinkDown),
            1 => prop_oneof![20 => Just(Step::Tick(1)), 1 => Just(Step::NodeLeaving)],
        ]
        .boxed()
    }

    fn apply(state: u32, _: &Step) -> u32 {
        state + 1
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct AttemptRecord {
    repeatable: bool,
    tier: u8,
    sent: u32,
    replies: u32,
    abandoned: bool,
}

struct Machine {
    world: World,
    records: BTreeMap<AttemptId, AttemptRecord>,
    read: usize,
    known_stops: BTreeSet<AttemptId>,
    sent: BTreeSet<AttemptId>,
    preempted: u64,
    leaving: BTreeSet<UpstreamId>,
    leaving_runs: usize,
    owned: bool,
    spare: bool,
}

fn pick<T: Clone>(items: &[T], index: usize) -> Option<T> {
    (!items.is_empty()).then(|| items[index % items.len()].clone())
}

impl Machine {
    fn running(&self) -> Vec<AttemptId> {
        self.world.runs.keys().copied().collect()
    }

    fn offer(&mut self, params: CallParams, resumed: bool, cancelled: bool) {
        let mut work = self.world.work(params);
        work.resume_from = u32::from(resumed && params.repeatable) * 9;
        let record = AttemptRecord {
            repeatable: params.repeatable,
            tier: params.tier,
            abandoned: cancelled,
            ..AttemptRecord::default()
        };
        self.records.insert(work.attempt, record);
        if cancelled {
            self.world.cancel(work.attempt);
        }
        self.world.offer_work(work);
        if cancelled {
            assert!(!self.world.runs.contains_key(&work.attempt));
        }
    }

    fn offer_again(&mut self, attempt: AttemptId) {
        let before = (self.world.runs.len(), self.world.held());
        let mut work = self.world.work(params(self.records[&attempt].tier));
        work.attempt = attempt;
        work.spec.call = attempt.call;
        self.world.offer_work(work);
        assert_eq!(before, (self.world.runs.len(), self.world.held()));
    }

    fn send(&mut self, attempt: AttemptId) {
        if self.sent.insert(attempt) {
            self.records.get_mut(&attempt).expect("offered").sent += 1;
            self.world.handle(Event::AttemptSent(attempt));
            self.check();
        }
    }

    fn end(&mut self, attempt: AttemptId, end: AttemptEnd) {
        self.sent.remove(&attempt);
        self.known_stops.remove(&attempt);
        self.world.end(attempt, end);
        self.check();
    }

    fn pass(&mut self, time: u64) {
        for _ in 0..time.div_ceil(50) {
            self.world.pass(ms(50));
            self.check();
        }
    }

    fn fail(&mut self, attempt: AttemptId, how: u8) {
        if !self.sent.contains(&attempt) {
            self.end(attempt, AttemptEnd::Unsent);
            return;
        }
        let end = match how {
            0 => AttemptEnd::Refused,
            _ => AttemptEnd::Broken { tokens: 3 },
        };
        self.end(attempt, end);
    }

    fn stopped(&mut self, tokens: u32) {
        for attempt in self.world.stops.clone() {
            let tokens = if self.sent.contains(&attempt) {
                tokens
            } else {
                0
            };
            self.end(attempt, AttemptEnd::Cancelled { tokens });
        }
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.records.get_mut(&attempt).expect("offered").abandoned = true;
        self.world.cancel(attempt);
    }

    fn link_down(&mut self) {
        for (attempt, record) in &mut self.records {
            record.abandoned |= record.repeatable || !self.world.runs.contains_key(attempt);
        }
        self.world.handle(Event::LinkDown(NodeId::named(ENTRY)));
    }

    fn step(&mut self, step: Step) {
        let running = self.running();
        let known: Vec<AttemptId> = self.records.keys().copied().collect();
        match step {
            Step::Offer {
                tier,
                workspace,
                repeatable,
                left,
                prompt,
                resumed,
            } => {
                let params = CallParams {
                    tier,
                    workspace: ["w1", "w2", "w3"][workspace],
                    left: ms(left * [1, 5, 1_000][usize::from(tier)]),
                    repeatable,
                    prompt,
                };
                self.offer(params, resumed, false);
            }
            Step::CancelThenOffer => self.offer(params(1), false, true),
            Step::OfferAgain(n) => self.on(&known, n, Self::offer_again),
            Step::Cancel(n) => self.on(&known, n, Self::cancel),
            Step::Sent(n) => self.on(&running, n, Self::send),
            Step::Progress(n, tokens) => {
                if let Some(attempt) = pick(&running, n) {
                    self.send(attempt);
                    self.world
                        .handle(Event::AttemptProgress { attempt, tokens });
                }
            }
            Step::Complete(n, tokens) => {
                if let Some(attempt) = pick(&running, n) {
                    self.send(attempt);
                    self.end(attempt, AttemptEnd::Complete { tokens });
                }
            }
            Step::Fail(n, how) => self.on(&running, n, |machine, a| machine.fail(a, how)),
            Step::Stopped(tokens) => self.stopped(tokens),
            Step::Tick(time) => self.pass(time),
            Step::Own(here) => {
                self.owned = here;
                self.world.own(here);
            }
            Step::Report(n) => self.world.report(n, 0),
            Step::Unreachable(n) => self
                .world
                .handle(Event::UpstreamUnreachable(upstream_id(n))),
            Step::UpstreamLeaving(n) => {
                self.world.handle(Event::UpstreamLeaving(upstream_id(n)));
                self.leaving.insert(upstream_id(n));
                self.leaving_runs = self.on_leaving();
            }
            Step::LinkDown => self.link_down(),
            Step::NodeLeaving => self.world.handle(Event::NodeLeaving),
        }
    }

    fn on(&mut self, among: &[AttemptId], n: usize, step: impl Fn(&mut Self, AttemptId)) {
        if let Some(attempt) = pick(among, n) {
            step(self, attempt);
        }
    }

    fn on_leaving(&self) -> usize {
        let runs = self.world.runs.values();
        runs.filter(|run| self.leaving.contains(&run.upstream))
            .count()
    }

    fn check(&mut self) {
        let spare = self.lower_spare();
        self.check_messages(spare && self.spare);
        self.spare = spare;
        self.check_runs();
        self.check_stops();
    }

    /// Whether a lower tier uses a slot above its floor that it could yield.
    fn lower_spare(&self) -> bool {
        let dump = self.world.kernel.dump(None);
        let pool = &dump["dispatch"]["pools"]["model"];
        let Some(upstreams) = pool["upstreams"].as_object() else {
            return false;
        };
        let usable = upstreams.values().filter(|upstream| {
            upstream["health"] == "healthy"
                && upstream["owned"] == true
                && upstream["leaving"] == false
        });
        let slots = usable.count() as f64 * f64::from(SLOTS);
        ["1", "2"].iter().any(|tier| {
            let tier = &pool["tiers"][tier];
            let count = |name: &str| tier[name].as_f64().unwrap_or_default();
            slots > 0.0 && count("running") - count("stopping") >= count("floor") * slots + 1.0
        })
    }

    /// Each attempt has one reply, and is reported as not run only if it was not sent.
    fn check_messages(&mut self, spare: bool) {
        for (_, message) in &self.world.messages[self.read..] {
            let (attempt, not_run) = match message {
                WorkMessage::Returned {
                    attempt, reason, ..
                } => {
                    let abandoned = ReturnReason::Refused {
                        reason: RefusalReason::Cancelled,
                        retry_after: None,
                    };
                    if *reason == abandoned {
                        assert!(
                            self.records[attempt].abandoned,
                            "{attempt} was not cancelled"
                        );
                    } else if let ReturnReason::Refused { retry_after, .. } = reason {
                        assert!(retry_after.is_some());
                        let urgent = self.records[attempt].tier == 0;
                        assert!(!(urgent && spare), "{attempt} refused for lower tiers");
                    }
                    (attempt, true)
                }
                WorkMessage::Ended { attempt, end, .. } => {
                    (attempt, matches!(end, AttemptEnd::Unsent))
                }
                WorkMessage::Started(attempt) => {
                    assert!(self.records[attempt].sent > 0);
                    continue;
                }
                _ => continue,
            };
            let record = self.records.get_mut(attempt).expect("offered");
            record.replies += 1;
            assert_eq!(record.replies, 1, "{attempt} answered twice");
            assert!(!not_run || record.sent == 0, "{attempt} ran");
        }
        self.read = self.world.messages.len();
    }

    fn check_runs(&mut self) {
        let mut used: BTreeMap<UpstreamId, u32> = BTreeMap::new();
        for (attempt, run) in &self.world.runs {
            *used.entry(run.upstream).or_default() += 1;
            let record = self.records[attempt];
            assert_eq!(record.replies, 0, "{attempt} runs after its end");
            assert!(
                record.repeatable || record.sent <= 1,
                "{attempt} sent twice"
            );
        }
        assert!(used.values().all(|count| *count <= SLOTS), "{used:?}");
        let on_leaving = self.on_leaving();
        assert!(
            on_leaving <= self.leaving_runs,
            "new work to a leaving upstream"
        );
        self.leaving_runs = on_leaving;
    }

    /// Only cancelled or repeatable work is stopped, and no urgent work is stopped for less urgent
    /// work.
    fn check_stops(&mut self) {
        let preempted = self.world.kernel.dump(None)["dispatch"]["preempted"].as_u64();
        let preempted = preempted.expect("a count");
        let new: Vec<AttemptId> = self
            .world
            .stops
            .iter()
            .filter(|attempt| !self.known_stops.contains(attempt))
            .copied()
            .collect();
        for attempt in &new {
            let record = self.records[attempt];
            assert!(
                record.abandoned || record.repeatable,
                "{attempt} may not be stopped"
            );
        }
        let lower = new.iter().filter(|a| self.records[a].tier > 0).count() as u64;
        let more = preempted - self.preempted;
        assert!(more <= lower, "{more} preempted, of {new:?}");
        self.preempted = preempted;
        self.known_stops.extend(new);
    }

    /// No work stays queued while an upstream in service has a free slot.
    fn check_slots_are_used(&self) {
        let dump = self.world.kernel.dump(None);
        let pool = &dump["dispatch"]["pools"]["model"];
        let waiting = dump["dispatch"]["queued"].as_u64().expect("a count");
        let Some(upstreams) = pool["upstreams"].as_object() else {
            return;
        };
        let free = upstreams.values().any(|upstream| {
            upstream["health"] == "healthy"
                && upstream["owned"] == true
                && upstream["leaving"] == false
                && upstream["in_flight"].as_u64() < Some(u64::from(SLOTS))
        });
        assert!(!(free && waiting > 0), "{pool}");
    }

    fn finish(mut self) {
        for _ in 0..80 {
            for attempt in self.running() {
                self.send(attempt);
                self.end(attempt, AttemptEnd::Complete { tokens: 5 });
            }
            self.pass(500);
        }
        if self.owned {
            assert_eq!(self.world.held(), (0, 0));
        }
        for (attempt, record) in &self.records {
            assert!(
                record.abandoned || record.replies == 1,
                "{attempt} has no answer"
            );
        }
        let dump = self.world.kernel.dump(None);
        for tier in ["0", "1", "2"] {
            let tier = &dump["dispatch"]["pools"]["model"]["tiers"][tier];
            for name in ["waiting", "waiting_cost", "running", "stopping"] {
                assert!(
                    tier[name].is_null() || tier[name] == 0,
                    "{name} left: {tier}"
                );
            }
        }
        self.world.pass(ms(70_000));
        let dump = self.world.kernel.dump(None);
        assert_eq!(dump["dispatch"]["attempts_remembered"], 0);
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test(_: &u32) -> Self {
        Self {
            world: World::new(UPSTREAMS, SLOTS, &FLOORS),
            records: BTreeMap::new(),
            read: 0,
            known_stops: BTreeSet::new(),
            sent: BTreeSet::new(),
            preempted: 0,
            leaving: BTreeSet::new(),
            leaving_runs: 0,
            owned: true,
            spare: false,
        }
    }

    fn apply(mut machine: Self, _: &u32, step: Step) -> Self {
        machine.step(step);
        machine.check();
        machine
    }

    fn check_invariants(machine: &Self, _: &u32) {
        machine.check_slots_are_used();
        let tiers = machine.world.runs.values().map(|run| run.work.spec.tier);
        assert!(tiers.into_iter().all(|tier| tier <= Tier(2)));
    }

    fn teardown(machine: Self, _: u32) {
        machine.finish();
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 192, failure_persistence: None, max_shrink_iters: 400, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn every_attempt_has_one_end(sequential 1..120 => Machine);
}
