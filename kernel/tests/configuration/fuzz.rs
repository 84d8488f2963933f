//! Three to five nodes under random faults, compared with a simple oracle: the fold of every record
//! ever appended to the log.

use std::time::Duration;

use monsoonbank_kernel::configuration::fold::ConfigFold;
use monsoonbank_kernel::configuration::publish::RequestTicket;
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::UpstreamId;
use monsoonbank_kernel::leases::lease::ORDER_TIMEOUT;
use monsoonbank_kernel::leases::{EngineOrder, OrderRequest};
use monsoonbank_kernel::record::{LogRecord, PublishResult};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::support::{Fleet, STEP, base_change, set_workspace};

#[derive(Clone, Debug)]
enum Step {
    Run(u8),
    Tick(u8),
    ServeLog(u8),
    Deliver(u8),
    Drop(u8),
    Duplicate(u8),
    LogDown(bool),
    CutFromLog(u8, bool),
    LoseResponse,
    Publish {
        node: u8,
        workspace: u8,
        known: bool,
    },
    Truncate(u8),
    Replace(u8),
    Pause(u8, u8),
    Order {
        node: u8,
        adapter: u8,
    },
    AnswerOrder {
        order: u8,
        accepted: bool,
    },
}

struct Faults;

impl ReferenceStateMachine for Faults {
    type State = u8;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u8> {
        (3_u8..=5).boxed()
    }

    fn transitions(_: &u8) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => (1_u8..40).prop_map(Step::Run),
            4 => any::<u8>().prop_map(Step::Tick),
            4 => any::<u8>().prop_map(Step::ServeLog),
            4 => any::<u8>().prop_map(Step::Deliver),
            3 => any::<u8>().prop_map(Step::Drop),
            2 => any::<u8>().prop_map(Step::Duplicate),
            1 => any::<bool>().prop_map(Step::LogDown),
            1 => (any::<u8>(), any::<bool>()).prop_map(|(node, cut)| Step::CutFromLog(node, cut)),
            1 => Just(Step::LoseResponse),
            5 => (any::<u8>(), 0_u8..3, prop::bool::weighted(0.8)).prop_map(
                |(node, workspace, known)| Step::Publish { node, workspace, known }
            ),
            1 => any::<u8>().prop_map(Step::Truncate),
            1 => any::<u8>().prop_map(Step::Replace),
            1 => (any::<u8>(), any::<u8>()).prop_map(|(node, steps)| Step::Pause(node, steps)),
            3 => (any::<u8>(), 0_u8..3).prop_map(|(node, adapter)| Step::Order { node, adapter }),
            3 => (any::<u8>(), any::<bool>()).prop_map(
                |(order, accepted)| Step::AnswerOrder { order, accepted }
            ),
        ]
        .boxed()
    }

    fn apply(state: u8, _: &Step) -> u8 {
        state
    }
}

struct FleetUnderFaults {
    fleet: Fleet,
    published: u64,
    checked_orders: usize,
}

impl FleetUnderFaults {
    fn node(&self, choice: u8) -> usize {
        choice as usize % self.fleet.nodes.len()
    }

    fn oracle(&self) -> ConfigFold {
        let mut fold = ConfigFold::default();
        for (offset, record) in (0..).zip(&self.fleet.log.history) {
            let record = Some(record.clone());
            fold.apply(&LogRecord { offset, record });
        }
        fold
    }

    /// Publishes a change that replaces the version on the log, or an arbitrary one.
    fn publish(&mut self, node: usize, workspace: u8, known: bool) {
        self.published += 1;
        let name = format!("w{workspace}");
        let replaces = if known {
            let key = monsoonbank_kernel::config::DocumentKey::Workspace(name.as_str().into());
            self.oracle().version_of(&key)
        } else {
            1
        };
        let id = format!("change-{}", self.published);
        let weight = self.published as u32 + 1;
        let record = set_workspace(&id, &name, weight, replaces);
        self.fleet.publish(node, 1_000 + self.published, record);
    }

    /// Whether a ready node other than `index` has every record before this offset. The log is
    /// truncated and nodes are replaced only while another node has the records that the log no
    /// longer retains.
    fn is_retained_elsewhere(&self, index: Option<usize>, first: u64) -> bool {
        let mut nodes = self.fleet.nodes.iter().enumerate();
        nodes.any(|(other, node)| {
            Some(other) != index && node.is_ready() && node.number("next_offset") >= first
        })
    }

    fn truncate(&mut self, records: u8) {
        let first = self.fleet.log.first + u64::from(records % 8);
        if self.is_retained_elsewhere(None, first) {
            self.fleet.log.truncate(first);
        }
    }

    fn replace(&mut self, index: usize) {
        if self.is_retained_elsewhere(Some(index), self.fleet.log.first) {
            self.fleet.replace(index);
        }
    }

    fn choose_message(&mut self, choice: u8) -> Option<usize> {
        let count = self.fleet.messages.len();
        (count > 0).then(|| choice as usize % count)
    }

    fn apply_step(&mut self, step: &Step) {
        match *step {
            Step::Run(steps) => (0..steps).for_each(|_| self.fleet.step()),
            Step::Tick(node) => {
                self.fleet.now += STEP;
                self.fleet.inject(self.node(node), Event::Tick);
            }
            Step::ServeLog(node) => self.fleet.serve_log(self.node(node)),
            Step::Deliver(_) | Step::Drop(_) | Step::Duplicate(_) => self.move_message(step),
            Step::LogDown(down) => self.fleet.log.down = down,
            Step::CutFromLog(node, cut) => {
                let node = self.node(node);
                self.fleet.nodes[node].cut_from_log = cut;
            }
            Step::LoseResponse => self.fleet.log.lose_responses += 1,
            Step::Publish {
                node,
                workspace,
                known,
            } => self.publish(self.node(node), workspace, known),
            Step::Truncate(records) => self.truncate(records),
            Step::Replace(node) => self.replace(self.node(node)),
            Step::Pause(node, steps) => self.pause(self.node(node), steps),
            Step::Order { node, adapter } => self.order(self.node(node), adapter),
            Step::AnswerOrder { order, accepted } => self.answer_order(order, accepted),
        }
    }

    fn move_message(&mut self, step: &Step) {
        let (Step::Deliver(choice) | Step::Drop(choice) | Step::Duplicate(choice)) = *step else {
            return;
        };
        let Some(position) = self.choose_message(choice) else {
            return;
        };
        let (from, to, message) = self.fleet.messages.remove(position);
        if matches!(step, Step::Drop(_)) {
            return;
        }
        if matches!(step, Step::Duplicate(_)) {
            self.fleet.messages.push((from, to, message.clone()));
        }
        self.fleet.deliver(from, to, message);
    }

    /// Pauses one node while the others go on, then resumes it with a tick.
    fn pause(&mut self, node: usize, steps: u8) {
        self.fleet.nodes[node].paused = true;
        for _ in 0..u32::from(steps) * 4 {
            self.fleet.step();
        }
        self.fleet.nodes[node].paused = false;
        self.fleet.inject(node, Event::Tick);
    }

    fn order(&mut self, node: usize, adapter: u8) {
        let request = OrderRequest {
            upstream: UpstreamId::named("engine-1"),
            order: EngineOrder::LoadAdapter {
                adapter: format!("adapter-{adapter}").into(),
            },
        };
        self.fleet.inject(node, Event::OrderRequested(request));
    }

    fn answer_order(&mut self, choice: u8, accepted: bool) {
        let count = self.fleet.orders.len();
        if count == 0 {
            return;
        }
        let sent = self.fleet.orders[choice as usize % count].clone();
        let answered = Event::OrderAnswered {
            upstream: sent.request.upstream,
            fencing: sent.fencing,
            accepted,
        };
        self.fleet.inject(sent.node, answered);
    }

    /// Checks that no order is sent after its lease expired, and that orders of two holders never
    /// overlap at an upstream that does not check fencing tokens.
    fn check_orders(&mut self) {
        let orders = &self.fleet.orders;
        for (position, order) in orders.iter().enumerate().skip(self.checked_orders) {
            assert!(order.at < order.not_after, "{order:?}");
            for other in &orders[..position] {
                if other.incarnation == order.incarnation {
                    assert!(other.fencing <= order.fencing);
                } else {
                    assert!(other.fencing < order.fencing, "{other:?} before {order:?}");
                    assert!(
                        order.at >= other.not_after + ORDER_TIMEOUT,
                        "{other:?} {order:?}"
                    );
                }
            }
        }
        self.checked_orders = orders.len();
    }

    fn heal(&mut self) {
        self.fleet.log.down = false;
        self.fleet.log.lose_responses = 0;
        for node in &mut self.fleet.nodes {
            node.cut_from_log = false;
        }
        self.fleet.run(25);
    }
}

impl StateMachineTest for FleetUnderFaults {
    type SystemUnderTest = Self;
    type Reference = Faults;

    fn init_test(count: &u8) -> Self {
        let mut fleet = Fleet::new(usize::from(*count));
        fleet.publish(0, 1, base_change());
        fleet.run(2);
        Self {
            fleet,
            published: 0,
            checked_orders: 0,
        }
    }

    fn apply(mut state: Self, _: &u8, step: Step) -> Self {
        state.apply_step(&step);
        state.check_orders();
        state
    }

    /// Checks that every node converged to the oracle and that every answer agrees with it.
    fn teardown(mut state: Self, _: u8) {
        state.heal();
        state.check_orders();
        let oracle = state.oracle();
        for index in 0..state.fleet.nodes.len() {
            let request = RequestTicket(0);
            state
                .fleet
                .inject(index, Event::DocumentsRequested(request));
            let node = &state.fleet.nodes[index];
            assert_eq!(node.version(), oracle.config().version, "node {index}");
            let equal = node.documents == oracle.documents();
            assert!(equal, "{:?}", node.documents);
        }
        for (request, result) in &state.fleet.answers {
            let id = match request {
                1 => "base".to_owned(),
                number => format!("change-{}", number - 1_000),
            };
            match result {
                PublishResult::Unavailable => {}
                PublishResult::Accepted { .. } => assert_eq!(oracle.result(&id), Some(result)),
                refused => assert!(oracle.result(&id).is_none_or(|known| known == refused)),
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn never_reverts_converges_and_fences(sequential 1..120 => FleetUnderFaults);
}

/// A paused node shares the fleet's clock and only misses steps, so its lease can expire meanwhile.
#[test]
fn pause_is_longer_than_a_lease() {
    assert!(STEP * 4 * u32::from(u8::MAX) > Duration::from_secs(15));
}
