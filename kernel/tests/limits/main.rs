//! Workspace limits over several nodes, whose messages are delivered by the test.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use monsoonbank_kernel::call::{CallOutcome, CallSpec, RefusalReason, Tier};
use monsoonbank_kernel::config::{Config, ConfigFile, WorkspaceSpec};
use monsoonbank_kernel::event::{Action, Event};
use monsoonbank_kernel::ids::{CallId, ClassId, Incarnation, NodeId, PoolId, WorkspaceId, ZoneId};
use monsoonbank_kernel::kernel::Kernel;
use monsoonbank_kernel::limits::{LimitMessage, LimitShare};
use monsoonbank_kernel::membership::{Member, MemberView, NodeState};
use monsoonbank_kernel::plugin::NodeProfile;
use monsoonbank_kernel::wire::Message;

struct Fleet {
    kernels: Vec<Kernel>,
    ids: Vec<NodeId>,
    now: Duration,
    cut: bool,
    admitted: Vec<Vec<CallId>>,
    limited: u32,
    last_retry: Option<Duration>,
    messages: usize,
    sequence: u64,
}

fn profile(name: &str) -> NodeProfile {
    NodeProfile {
        node: NodeId::named(name),
        name: name.into(),
        zone: ZoneId::named("a"),
        zone_name: "a".into(),
        incarnation: Incarnation(1),
        seed: 1,
        secret: [0; 32],
    }
}

impl Fleet {
    fn new(nodes: usize, rate: Option<f64>, concurrent: Option<u32>) -> Self {
        let names: Vec<String> = (0..nodes).map(|n| format!("n{n}")).collect();
        let profiles: Vec<NodeProfile> = names.iter().map(|name| profile(name)).collect();
        let ids: Vec<NodeId> = profiles.iter().map(|p| p.node).collect();
        let kernels = profiles
            .into_iter()
            .map(|profile| Kernel::with_plugins(profile, |name| name == "limits"));
        let mut fleet = Self {
            kernels: kernels.collect(),
            ids,
            now: Duration::from_secs(50),
            cut: false,
            admitted: vec![Vec::new(); nodes],
            limited: 0,
            last_retry: None,
            messages: 0,
            sequence: 0,
        };
        let workspace = WorkspaceSpec {
            name: "w".into(),
            token_sha256: "".into(),
            weight: 1,
            calls_per_second: rate,
            concurrent_calls: concurrent,
        };
        let file = ConfigFile {
            workspaces: vec![workspace],
            ..ConfigFile::default()
        };
        let config = Arc::new(Config::from_file(1, &file));
        let view = Arc::new(fleet.view(nodes));
        for node in 0..nodes {
            fleet.handle(node, Event::ConfigApplied(Arc::clone(&config)));
            fleet.handle(node, Event::MembersChanged(Arc::clone(&view)));
        }
        fleet
    }

    fn view(&self, live: usize) -> MemberView {
        let member = |name: String| Member {
            name: name.into(),
            zone: ZoneId::named("a"),
            zone_name: "a".into(),
            incarnation: Incarnation(1),
            state: NodeState::Live,
            peer_address: "".into(),
            caller_address: "".into(),
        };
        let members = (0..live).map(|n| (self.ids[n], member(format!("n{n}"))));
        MemberView {
            members: members.collect::<BTreeMap<_, _>>(),
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let mut queue = VecDeque::from([(node, event)]);
        while let Some((node, event)) = queue.pop_front() {
            if let Event::CallFinished(call) = &event {
                self.admitted[node].retain(|admitted| admitted != call);
            }
            let mut actions = Vec::new();
            self.kernels[node].handle(self.now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Send { to, message } => {
                        self.messages += 1;
                        let receiver = self.ids.iter().position(|id| *id == to);
                        if let Some(receiver) = receiver.filter(|_| !self.cut) {
                            queue.push_back((receiver, self.deliver(node, message)));
                        }
                    }
                    Action::FinishCall { call, outcome } => self.refused(node, call, outcome),
                    Action::UseConfig(_) | Action::UseMembers(_) => {}
                    other => panic!("unexpected {other:?}"),
                }
            }
        }
    }

    fn deliver(&self, from: usize, message: Message) -> Event {
        Event::PeerMessage {
            from: self.ids[from],
            message,
        }
    }

    fn refused(&mut self, node: usize, call: CallId, outcome: CallOutcome) {
        let CallOutcome::NotRun {
            reason: RefusalReason::Limit,
            retry_after,
        } = outcome
        else {
            panic!("{outcome:?}");
        };
        self.limited += 1;
        self.last_retry = retry_after;
        self.admitted[node].retain(|admitted| *admitted != call);
    }

    /// Lets a call arrive. A call that is not refused at once counts as admitted, or as waiting to
    /// be admitted.
    fn call(&mut self, node: usize) -> CallId {
        self.call_with(node, Duration::from_secs(1))
    }

    fn call_with(&mut self, node: usize, time_left: Duration) -> CallId {
        self.sequence += 1;
        let call = CallId {
            node: self.ids[node],
            incarnation: Incarnation(1),
            sequence: self.sequence,
        };
        let spec = CallSpec {
            call,
            workspace: WorkspaceId::named("w"),
            class: ClassId(0),
            tier: Tier(0),
            pool: PoolId(0),
            time_left,
            repeatable: true,
            prompt_tokens: 1,
            max_tokens: 1,
            prefix: 0,
        };
        self.admitted[node].push(call);
        self.handle(node, Event::CallArrived { spec, key: None });
        call
    }

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(50);
            for node in 0..self.kernels.len() {
                self.handle(node, Event::Tick);
            }
        }
    }

    fn running(&self) -> u64 {
        let running = |kernel: &Kernel| {
            let dump = kernel.dump(None);
            dump["limits"]["workspaces"]["w"]["running"].as_u64()
        };
        self.kernels.iter().filter_map(running).sum()
    }

    /// Offers `rate` calls per second to each node for some seconds. Each call has no time to wait
    /// for its turn and ends at once. Returns the number of admitted calls.
    fn load(&mut self, nodes: &[usize], rate: u64, seconds: u64) -> usize {
        let mut admitted_calls = 0;
        for _ in 0..seconds * rate {
            for node in nodes {
                let call = self.call_with(*node, Duration::ZERO);
                self.pass_one_call(rate, nodes.len() as u64);
                if self.admitted[*node].contains(&call) {
                    admitted_calls += 1;
                    self.handle(*node, Event::CallFinished(call));
                }
            }
        }
        admitted_calls
    }

    fn pass_one_call(&mut self, rate: u64, nodes: u64) {
        let before = self.now.as_millis() / 50;
        self.now += Duration::from_micros(1_000_000 / (rate * nodes));
        if self.now.as_millis() / 50 == before {
            return;
        }
        for node in 0..self.kernels.len() {
            self.handle(node, Event::Tick);
        }
    }
}

macro_rules! case {
    ($name:ident, $fleet:ident = $new:expr, $body:block) => {
        #[test]
        fn $name() {
            let mut $fleet = $new;
            $body
        }
    };
}

case!(
    an_unlimited_workspace_costs_no_messages,
    fleet = Fleet::new(3, None, None),
    {
        for _ in 0..50 {
            fleet.call(0);
        }
        assert_eq!((fleet.limited, fleet.messages), (0, 0));
    }
);

case!(
    one_busy_node_gets_the_whole_limit,
    fleet = Fleet::new(3, None, Some(30)),
    {
        fleet.call(0);
        fleet.pass(Duration::from_secs(11));
        for _ in 0..40 {
            fleet.call(0);
            fleet.pass(Duration::from_millis(100));
        }
        assert_eq!(fleet.running(), 30);
        assert!(fleet.last_retry.is_some());
    }
);

case!(
    concurrency_limit_holds_over_all_nodes,
    fleet = Fleet::new(9, None, Some(20)),
    {
        for round in 0..400 {
            fleet.call(round % 9);
            fleet.pass(Duration::from_millis(50));
            assert!(fleet.running() <= 20, "{} at a time", fleet.running());
        }
        assert!(fleet.running() >= 18, "only {}", fleet.running());
    }
);

case!(
    a_share_follows_demand,
    fleet = Fleet::new(3, Some(60.0), None),
    {
        fleet.load(&[0], 100, 15);
        let first = fleet.load(&[0], 100, 10);
        assert!((540..=660).contains(&first), "{first} in 10 s");
        fleet.load(&[1], 100, 5);
        let second = fleet.load(&[1], 100, 10);
        assert!((540..=660).contains(&second), "{second} in 10 s");
    }
);

case!(
    rate_limit_holds_over_all_nodes,
    fleet = Fleet::new(5, Some(50.0), None),
    {
        fleet.load(&[0, 1, 2, 3, 4], 40, 12);
        let admitted_calls = fleet.load(&[0, 1, 2, 3, 4], 40, 10);
        assert!(
            (440..=560).contains(&admitted_calls),
            "{admitted_calls} in 10 s"
        );
    }
);

case!(
    cut_off_nodes_use_even_shares,
    fleet = Fleet::new(4, None, Some(10)),
    {
        fleet.cut = true;
        for round in 0..80 {
            fleet.call(round % 4);
            fleet.pass(Duration::from_millis(50));
        }
        fleet.pass(Duration::from_secs(1));
        assert_eq!(fleet.running(), 10);
    }
);

case!(
    a_finished_call_frees_its_place,
    fleet = Fleet::new(1, None, Some(1)),
    {
        let call = fleet.call(0);
        fleet.call(0);
        fleet.pass(Duration::from_millis(300));
        assert_eq!((fleet.running(), fleet.limited), (1, 1));
        fleet.handle(0, Event::CallFinished(call));
        fleet.call(0);
        assert_eq!((fleet.running(), fleet.limited), (1, 1));
    }
);

case!(
    control_traffic_stays_small,
    fleet = Fleet::new(2, Some(100.0), None),
    {
        fleet.load(&[0, 1], 50, 2);
        fleet.messages = 0;
        fleet.load(&[0, 1], 50, 20);
        assert!(fleet.messages <= 20, "{} messages in 20 s", fleet.messages);
    }
);

case!(
    growth_below_the_limit_is_not_refused,
    fleet = Fleet::new(6, None, Some(40)),
    {
        fleet.pass(Duration::from_secs(5));
        for node in 0..6 {
            fleet.call(node);
        }
        fleet.pass(Duration::from_millis(200));
        for _ in 0..28 {
            fleet.call(3);
            fleet.pass(Duration::from_millis(50));
        }
        fleet.pass(Duration::from_millis(500));
        assert_eq!((fleet.limited, fleet.running()), (0, 34));
    }
);

case!(
    calls_above_the_limit_are_refused_without_delay,
    fleet = Fleet::new(3, None, Some(6)),
    {
        fleet.pass(Duration::from_secs(5));
        for round in 0..60 {
            fleet.call(round % 3);
            fleet.pass(Duration::from_millis(50));
        }
        let before = fleet.limited;
        fleet.call(0);
        fleet.call(1);
        assert_eq!((fleet.limited, fleet.running()), (before + 2, 6));
    }
);

case!(
    a_burst_with_time_waits_for_its_turn,
    fleet = Fleet::new(6, Some(60.0), None),
    {
        fleet.pass(Duration::from_secs(5));
        for _ in 0..100 {
            fleet.call_with(0, Duration::from_hours(1));
        }
        assert!(fleet.running() < 60, "{} at once", fleet.running());
        fleet.pass(Duration::from_secs(5));
        assert_eq!((fleet.limited, fleet.running()), (0, 100));
    }
);

case!(
    steady_calls_of_many_nodes_cost_few_messages,
    fleet = Fleet::new(9, Some(300.0), Some(60)),
    {
        let all: Vec<usize> = (0..9).collect();
        fleet.load(&all, 10, 5);
        fleet.messages = 0;
        let admitted_calls = fleet.load(&all, 10, 20);
        assert_eq!(admitted_calls, 9 * 10 * 20);
        assert!(fleet.messages <= 9 * 20, "{} messages", fleet.messages);
    }
);

case!(
    excess_calls_at_many_nodes_cost_few_messages,
    fleet = Fleet::new(9, Some(50.0), None),
    {
        let all: Vec<usize> = (0..9).collect();
        fleet.load(&all, 20, 5);
        fleet.messages = 0;
        fleet.load(&all, 20, 20);
        assert!(fleet.messages <= 9 * 20 * 4, "{} messages", fleet.messages);
    }
);

case!(
    only_a_reclaimed_share_is_acknowledged,
    fleet = Fleet::new(2, None, Some(40)),
    {
        fleet.pass(Duration::from_secs(5));
        fleet.call(0);
        fleet.cut = true;
        for (concurrent, reclaim, answers) in [(9, false, 0), (5, false, 0), (3, true, 1)] {
            fleet.messages = 0;
            let grant = LimitMessage::Grant {
                workspace: WorkspaceId::named("w"),
                share: LimitShare {
                    rate: 1e6,
                    concurrent,
                },
                length: Duration::from_secs(20),
                reclaim,
            };
            let message = Message::Limit(grant);
            let from = fleet.ids[1];
            fleet.handle(0, Event::PeerMessage { from, message });
            assert!(fleet.messages <= answers, "{} messages", fleet.messages);
        }
    }
);
