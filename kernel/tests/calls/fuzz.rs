//! Three nodes under random faults, checked against an oracle that counts what ran at the engines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use monsoonbank_kernel::call::{AttemptEnd, CallOutcome, RefusalReason};
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::CallId;
use monsoonbank_kernel::keys::RequestKey;
use monsoonbank_kernel::routing::WaitPolicy;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::fleet::{Fleet, TOKENS};

const NODES: usize = 3;

/// One step; an index is taken modulo the number of items.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Arrive { node: usize, repeatable: bool },
    Mint { node: usize },
    ArriveKeyed { node: usize, key: Index },
    Cancel(Index),
    Deliver(Index),
    DeliverAll,
    Lose(Index),
    Duplicate(Index),
    Start(Index),
    Token(Index),
    Complete(Index),
    Break(Index),
    Refuse(Index),
    Unsent(Index),
    Cut(usize),
    Heal,
    Kill(usize),
    MarkDead,
    Restart(usize),
    Pass(u64),
}

pub struct AnyStep;

impl ReferenceStateMachine for AnyStep {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let place = any::<Index>;
        prop_oneof![
            6 => (0..NODES, any::<bool>())
                .prop_map(|(node, repeatable)| Step::Arrive { node, repeatable }),
            2 => (0..NODES).prop_map(|node| Step::Mint { node }),
            5 => (0..NODES, place()).prop_map(|(node, key)| Step::ArriveKeyed { node, key }),
            1 => place().prop_map(Step::Cancel),
            12 => place().prop_map(Step::Deliver),
            3 => Just(Step::DeliverAll),
            1 => place().prop_map(Step::Lose),
            1 => place().prop_map(Step::Duplicate),
            5 => place().prop_map(Step::Start),
            4 => place().prop_map(Step::Token),
            4 => place().prop_map(Step::Complete),
            1 => place().prop_map(Step::Break),
            1 => place().prop_map(Step::Refuse),
            1 => place().prop_map(Step::Unsent),
            1 => (0..NODES).prop_map(Step::Cut),
            1 => Just(Step::Heal),
            1 => (0..NODES).prop_map(Step::Kill),
            1 => Just(Step::MarkDead),
            2 => (0..NODES).prop_map(Step::Restart),
            3 => (10u64..3_000).prop_map(Step::Pass),
        ]
        .boxed()
    }

    fn apply((): (), _step: &Step) {}
}

/// The oracle's record of a call.
struct CallRecord {
    repeatable: bool,
    key: Option<usize>,
}

pub struct Oracle<const HEDGING: bool> {
    fleet: Fleet,
    keys: Vec<RequestKey>,
    calls: BTreeMap<CallId, CallRecord>,
    cancelled: BTreeSet<CallId>,
}

impl<const HEDGING: bool> Oracle<HEDGING> {
    fn arrive(&mut self, node: usize, repeatable: bool, key: Option<usize>) {
        if self.fleet.kernels[node].is_none() {
            return;
        }
        let text = key.map(|key| self.keys[key].clone());
        let call = self.fleet.arrive(node, repeatable, text);
        self.calls.insert(call, CallRecord { repeatable, key });
    }

    fn run(&mut self, place: Index, act: impl Fn(&mut Fleet, usize)) {
        if !self.fleet.runs.is_empty() {
            let run = place.index(self.fleet.runs.len());
            act(&mut self.fleet, run);
        }
    }

    fn frame(&mut self, place: Index, act: impl Fn(&mut Fleet, usize)) {
        if !self.fleet.wire.is_empty() {
            let frame = place.index(self.fleet.wire.len());
            act(&mut self.fleet, frame);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Arrive { node, repeatable } => self.arrive(node, repeatable, None),
            Step::Mint { node } => self.keys.push(self.fleet.mint(node)),
            Step::ArriveKeyed { node, key } => {
                if !self.keys.is_empty() {
                    self.arrive(node, false, Some(key.index(self.keys.len())));
                }
            }
            Step::Cancel(call) => {
                if !self.calls.is_empty() {
                    let place = call.index(self.calls.len());
                    let call = *self.calls.keys().nth(place).unwrap();
                    self.cancelled.insert(call);
                    let node = (0..NODES).find(|node| self.fleet.profile(*node).node == call.node);
                    self.fleet.handle(node.unwrap(), Event::CallCancelled(call));
                }
            }
            Step::Deliver(place) => self.frame(place, Fleet::deliver),
            Step::DeliverAll => self.fleet.deliver_all(),
            Step::Lose(place) => self.frame(place, |fleet, frame| {
                fleet.wire.remove(frame);
            }),
            Step::Duplicate(place) => {
                self.frame(place, |fleet, frame| {
                    let frame = fleet.wire[frame].clone();
                    fleet.wire.push(frame);
                });
            }
            Step::Start(place) => self.run(place, Fleet::start),
            Step::Token(place) => self.run(place, Fleet::token),
            Step::Complete(place) => self.run(place, Fleet::complete),
            Step::Break(place) => self.run(place, |fleet, run| {
                if fleet.runs[run].sent {
                    fleet.break_off(run);
                }
            }),
            Step::Refuse(place) => self.unstarted(place, AttemptEnd::Refused),
            Step::Unsent(place) => self.unstarted(place, AttemptEnd::Unsent),
            Step::Cut(node) => self.fleet.cut(node, (node + 1) % NODES),
            Step::Heal => self.fleet.heal(),
            Step::Kill(node) => self.fleet.kill(node),
            Step::MarkDead => self.fleet.mark_dead(),
            Step::Restart(node) => self.fleet.restart(node),
            Step::Pass(time) => self.fleet.pass(Duration::from_millis(time)),
        }
    }

    fn unstarted(&mut self, place: Index, end: AttemptEnd) {
        self.run(place, |fleet, run| {
            if !fleet.runs[run].sent {
                fleet.end(run, end);
            }
        });
    }

    fn ran(&self, call: CallId) -> u32 {
        self.fleet.ran.get(&call).copied().unwrap_or_default()
    }

    fn check(&self) {
        let mut by_key: BTreeMap<usize, u32> = BTreeMap::new();
        for (call, record) in &self.calls {
            let ran = self.ran(*call);
            assert!(record.repeatable || ran <= 1, "{call} ran {ran} times");
            if let Some(key) = record.key {
                *by_key.entry(key).or_default() += ran;
            }
            let outcomes = self.fleet.outcomes.get(call);
            let outcomes = outcomes.map(Vec::as_slice).unwrap_or_default();
            assert!(outcomes.len() <= 1, "{call} ended twice: {outcomes:?}");
            if let Some(outcome) = outcomes.first() {
                self.check_outcome(*call, record, *outcome, ran);
            }
        }
        assert!(by_key.values().all(|ran| *ran <= 1), "a key ran twice");
    }

    fn check_outcome(&self, call: CallId, record: &CallRecord, outcome: CallOutcome, ran: u32) {
        match outcome {
            CallOutcome::Whole { tokens } => {
                assert_eq!(tokens, TOKENS);
                let source = self.fleet.attached.get(&call).unwrap_or(&call);
                let whole: Vec<u32> = (0..TOKENS).collect();
                assert_eq!(self.fleet.received[source], whole, "{call}");
            }
            CallOutcome::NotRun { reason, .. } => {
                assert_eq!(ran, 0, "{call} not run ({reason}) but ran");
                assert_ne!(reason, RefusalReason::Key);
                let left = self.cancelled.contains(&call) || record.key.is_some();
                assert!(
                    left || reason != RefusalReason::Cancelled,
                    "{call} was not cancelled"
                );
            }
            CallOutcome::Unknown => {}
        }
    }
}

impl<const HEDGING: bool> StateMachineTest for Oracle<HEDGING> {
    type SystemUnderTest = Self;
    type Reference = AnyStep;

    fn init_test((): &()) -> Self {
        let waiting = if HEDGING {
            WaitPolicy::Hedge
        } else {
            WaitPolicy::Move
        };
        Self {
            fleet: Fleet::build(NODES, 1, waiting),
            keys: Vec::new(),
            calls: BTreeMap::new(),
            cancelled: BTreeSet::new(),
        }
    }

    fn apply(mut state: Self, (): &(), step: Step) -> Self {
        state.step(step);
        state
    }

    fn check_invariants(state: &Self, (): &()) {
        state.check();
    }

    fn teardown(mut state: Self, (): ()) {
        state.fleet.settle();
        state.check();
        state.fleet.assert_no_open_state();
        let incarnations: Vec<_> = (0..NODES)
            .map(|node| state.fleet.profile(node))
            .map(|profile| (profile.node, profile.incarnation))
            .collect();
        for call in state.calls.keys() {
            let lives = incarnations.contains(&(call.node, call.incarnation));
            let ended = state.fleet.outcomes.contains_key(call);
            assert!(ended || !lives, "{call} never ended");
        }
    }
}

prop_state_machine! {
    #[test]
    fn calls_end_with_true_outcomes(sequential 1..120 => Oracle<false>);

    #[test]
    fn hedged_calls_end_with_true_outcomes(sequential 1..120 => Oracle<true>);
}
