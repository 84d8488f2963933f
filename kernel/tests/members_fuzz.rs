//! Membership compared with a simple model, with messages dropped, duplicated, delayed and
//! reordered.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::{Fleet, STEP, id};
use monsoonbank_kernel::event::Event;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const NODES: [(&str, &str); 4] = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")];

#[derive(Clone, Debug)]
enum Step {
    Kill(usize, bool),
    Start(usize, u64),
    Drain(usize),
    Cut(usize, usize),
    List(usize),
    DisturbMessages(u64, u8),
    Settle,
}

/// Expected state of the fleet: the current run of each node, and whether that run was drained.
#[derive(Clone, Debug, Default)]
struct ExpectedState {
    runs: BTreeMap<usize, (u64, bool)>,
    /// All runs so far. The number of a run is never reused.
    past_runs: BTreeSet<(usize, u64)>,
}

struct Model;

impl ReferenceStateMachine for Model {
    type State = ExpectedState;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<ExpectedState> {
        let runs = (0..NODES.len()).map(|node| (node, (100, false))).collect();
        let past_runs = (0..NODES.len()).map(|node| (node, 100)).collect();
        Just(ExpectedState { runs, past_runs }).boxed()
    }

    fn transitions(_: &ExpectedState) -> BoxedStrategy<Step> {
        let node = 0..NODES.len();
        prop_oneof![
            2 => (node.clone(), any::<bool>()).prop_map(|(n, detected)| Step::Kill(n, detected)),
            3 => (node.clone(), 1_u64..300).prop_map(|(n, run)| Step::Start(n, run)),
            1 => node.clone().prop_map(Step::Drain),
            2 => (node.clone(), node.clone()).prop_map(|(a, b)| Step::Cut(a, b)),
            1 => node.prop_map(Step::List),
            6 => (any::<u64>(), 1_u8..80)
                .prop_map(|(seed, ticks)| Step::DisturbMessages(seed, ticks)),
            1 => Just(Step::Settle),
        ]
        .boxed()
    }

    fn apply(mut expected_state: ExpectedState, step: &Step) -> ExpectedState {
        match step {
            Step::Kill(node, _) => drop(expected_state.runs.remove(node)),
            Step::Start(node, run) => {
                expected_state.past_runs.insert((*node, *run));
                expected_state.runs.insert(*node, (*run, false));
            }
            Step::Drain(node) => {
                if let Some(state) = expected_state.runs.get_mut(node) {
                    state.1 = true;
                }
            }
            _ => {}
        }
        expected_state
    }

    fn preconditions(expected_state: &ExpectedState, step: &Step) -> bool {
        match step {
            Step::Start(node, run) => !expected_state.past_runs.contains(&(*node, *run)),
            _ => true,
        }
    }
}

struct System {
    fleet: Fleet,
    /// Observations of a leaving node: observer, its run, subject, the subject's run.
    leaving: BTreeSet<(usize, u64, usize, u64)>,
}

impl System {
    fn disturb_messages(&mut self, mut seed: u64, ticks: u8) {
        for _ in 0..ticks {
            self.fleet.now += STEP;
            for (name, _) in NODES {
                self.fleet.give(id(name), Event::Tick);
            }
            for _ in 0..self.fleet.queue.len() {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                let Some(envelope) = self.fleet.queue.pop_front() else {
                    break;
                };
                match seed >> 60 {
                    0 | 1 => {}
                    2 => {
                        self.fleet.queue.push_back(envelope.clone());
                        self.fleet.deliver(envelope);
                    }
                    3..=6 => self.fleet.queue.push_back(envelope),
                    _ => self.fleet.deliver(envelope),
                }
            }
        }
    }

    fn check_converged(&mut self, expected_state: &ExpectedState) {
        self.fleet.cut.clear();
        self.fleet.settle();
        self.fleet.run(Duration::from_secs(40));
        for observer in expected_state.runs.keys() {
            for (subject, (name, _)) in NODES.iter().enumerate() {
                let expected = match expected_state.runs.get(&subject) {
                    None => "dead",
                    Some((_, true)) => "leaving",
                    Some((_, false)) => "live",
                };
                let seen = self.fleet.sees(NODES[*observer].0, name);
                assert_eq!(seen, expected, "{} sees {name}", NODES[*observer].0);
            }
        }
    }
}

impl System {
    /// View of each running node on each node: observer, its run, subject, the subject's run,
    /// state.
    fn views(&self, expected_state: &ExpectedState) -> Vec<((usize, u64, usize, u64), String)> {
        let mut views = Vec::new();
        for (observer, (run, _)) in &expected_state.runs {
            let dump = self.fleet.dump(NODES[*observer].0, "membership");
            for row in dump["members"].as_array().into_iter().flatten() {
                let subject = NODES.iter().position(|(name, _)| row["name"] == *name);
                let key = (
                    *observer,
                    *run,
                    subject.unwrap(),
                    row["incarnation"].as_u64().unwrap(),
                );
                views.push((key, row["state"].as_str().unwrap().to_owned()));
            }
        }
        views
    }

    fn record_leaving(&mut self, expected_state: &ExpectedState) {
        let views = self.views(expected_state).into_iter();
        let leaving = views.filter(|(_, state)| state == "leaving");
        self.leaving.extend(leaving.map(|(key, _)| key));
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = Self;
    type Reference = Model;

    fn init_test(_: &ExpectedState) -> Self {
        Self {
            fleet: Fleet::new(&NODES),
            leaving: BTreeSet::new(),
        }
    }

    fn apply(mut system: Self, expected_state: &ExpectedState, step: Step) -> Self {
        let fleet = &mut system.fleet;
        match step {
            Step::Kill(node, detected) => fleet.kill(NODES[node].0, detected),
            Step::Start(node, run) => fleet.start(NODES[node].0, NODES[node].1, run),
            Step::Drain(node) => fleet.give(id(NODES[node].0), Event::DrainNode),
            Step::Cut(a, b) => drop(fleet.cut.insert((id(NODES[a].0), id(NODES[b].0)))),
            Step::List(node) => {
                let hosts = fleet.hosts.clone();
                fleet.give(id(NODES[node].0), Event::HostList(hosts));
            }
            Step::DisturbMessages(seed, ticks) => system.disturb_messages(seed, ticks),
            Step::Settle => system.check_converged(expected_state),
        }
        system.record_leaving(expected_state);
        system
    }

    fn check_invariants(system: &Self, expected_state: &ExpectedState) {
        for (key, state) in system.views(expected_state) {
            if key.0 == key.2 {
                assert!(
                    state == "live" || state == "leaving",
                    "{key:?} sees itself {state}"
                );
            }
            let left = system.leaving.contains(&key);
            assert!(!(left && state == "live"), "{key:?} came back");
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn views_converge_on_the_expected_state(sequential 1..40 => System);
}
