//! A kernel that owns a few upstreams, with a fake edge controlled by the test.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use monsoonbank_kernel::call::{
    AttemptEnd, AttemptStart, CallSpec, LoadReport, ReturnReason, Tier, WorkSpec,
};
use monsoonbank_kernel::config::{
    Config, ConfigFile, PoolKind, PoolSpec, TierSpec, UpstreamSpec, WorkspaceSpec,
};
use monsoonbank_kernel::event::{Action, Event};
use monsoonbank_kernel::ids::{
    AttemptId, CallId, ClassId, Incarnation, NodeId, PoolId, UpstreamId, WorkspaceId, ZoneId,
};
use monsoonbank_kernel::kernel::Kernel;
use monsoonbank_kernel::ownership::OwnerMap;
use monsoonbank_kernel::plugin::NodeProfile;
use monsoonbank_kernel::wire::{Message, WorkMessage};

pub const ENTRY: &str = "entry";

pub struct World {
    pub kernel: Kernel,
    pub now: Duration,
    pub config: Arc<Config>,
    /// Runs on upstreams, from the edge's point of view.
    pub runs: BTreeMap<AttemptId, AttemptStart>,
    /// Runs that the edge was asked to stop.
    pub stops: Vec<AttemptId>,
    /// Every message to another node, in order.
    pub messages: Vec<(NodeId, WorkMessage)>,
    /// Every action, one line each.
    pub log: Vec<String>,
    sequence: u64,
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn profile(name: &str) -> NodeProfile {
    NodeProfile {
        node: NodeId::named(name),
        name: name.into(),
        zone: ZoneId::named("a"),
        zone_name: "a".into(),
        incarnation: Incarnation(1),
        seed: 7,
        secret: [0; 32],
    }
}

pub fn config(upstreams: u32, slots: u32, floors: &[f64]) -> Config {
    let tiers = floors.iter().enumerate().map(|(tier, floor)| TierSpec {
        tier: Tier(tier as u8),
        floor: *floor,
    });
    let spec = |name: String| UpstreamSpec {
        name: name.into(),
        pool: "model".into(),
        zone: "a".into(),
        address: "127.0.0.1:1".into(),
        slots,
        checks_fencing: true,
        also: Vec::new(),
    };
    let workspace = |name: &str| WorkspaceSpec {
        name: name.into(),
        token_sha256: name.into(),
        weight: 1,
        calls_per_second: None,
        concurrent_calls: None,
    };
    let file = ConfigFile {
        tiers: tiers.collect(),
        workspaces: ["w1", "w2", "w3"].map(workspace).into(),
        pools: vec![PoolSpec {
            name: "model".into(),
            kind: PoolKind::Model,
        }],
        upstreams: (1..=upstreams).map(|n| spec(format!("u{n}"))).collect(),
        ..ConfigFile::default()
    };
    Config::from_file(1, &file)
}

/// The properties of a call that tests vary; the others are filled in.
#[derive(Clone, Copy)]
pub struct CallParams {
    pub tier: u8,
    pub workspace: &'static str,
    pub left: Duration,
    pub repeatable: bool,
    pub prompt: u32,
}

pub fn params(tier: u8) -> CallParams {
    CallParams {
        tier,
        workspace: "w1",
        left: [ms(500), Duration::from_secs(10), Duration::from_hours(1)][usize::from(tier)],
        repeatable: true,
        prompt: 100,
    }
}

impl World {
    pub fn new(upstreams: u32, slots: u32, floors: &[f64]) -> Self {
        let config = Arc::new(config(upstreams, slots, floors));
        let kernel = Kernel::with_plugins(profile("owner"), |name| name == "dispatch");
        let mut world = Self {
            kernel,
            now: Duration::from_secs(100),
            config: Arc::clone(&config),
            runs: BTreeMap::new(),
            stops: Vec::new(),
            messages: Vec::new(),
            log: Vec::new(),
            sequence: 0,
        };
        world.handle(Event::ConfigApplied(config));
        world.own(true);
        for n in 1..=upstreams {
            world.report(n, 0);
        }
        world
    }

    pub fn own(&mut self, here: bool) {
        let node = NodeId::named(if here { "owner" } else { "other" });
        let owners = self.config.upstreams.keys().map(|id| (*id, node));
        let owners = OwnerMap {
            owners: owners.collect(),
        };
        self.handle(Event::OwnersChanged(Arc::new(owners)));
    }

    pub fn report(&mut self, upstream: u32, running: u32) {
        self.handle(Event::UpstreamReported {
            upstream: upstream_id(upstream),
            report: LoadReport {
                running,
                ..LoadReport::default()
            },
        });
    }

    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.kernel.handle(self.now, event, &mut actions);
        for action in actions {
            self.log_action(&action);
            match action {
                Action::StartAttempt(start) => {
                    let before = self.runs.insert(start.work.attempt, start);
                    assert!(before.is_none(), "started twice at a time");
                }
                Action::CancelAttempt(attempt) => self.stops.push(attempt),
                Action::Send {
                    to,
                    message: Message::Work(message),
                } => self.messages.push((to, message)),
                Action::UseConfig(_) | Action::UseMembers(_) | Action::UseOwners(_) => {}
                other => panic!("unexpected {other:?}"),
            }
        }
    }

    /// Adds an action to the log.
    pub fn log_action(&mut self, action: &Action) {
        let number = |attempt: &AttemptId| attempt.call.sequence;
        let line = match action {
            Action::StartAttempt(start) => {
                let spec = &start.work.spec;
                let upstream = &self.config.upstreams[&start.upstream].spec.name;
                let from = start.work.resume_from;
                format!(
                    "start {} (tier {}) on {upstream} from token {from}",
                    number(&start.work.attempt),
                    spec.tier
                )
            }
            Action::CancelAttempt(attempt) => format!("stop {}", number(attempt)),
            Action::Send {
                message: Message::Work(message),
                ..
            } => match message {
                WorkMessage::Started(attempt) => format!("send started {}", number(attempt)),
                WorkMessage::Returned {
                    attempt, reason, ..
                } => format!("send returned {}: {reason:?}", number(attempt)),
                WorkMessage::Ended { attempt, end, .. } => {
                    format!("send ended {}: {end:?}", number(attempt))
                }
                other => format!("send {other:?}"),
            },
            _ => return,
        };
        let time = self
            .now
            .saturating_sub(Duration::from_secs(100))
            .as_millis();
        self.log.push(format!("{time:>6} ms  {line}"));
    }

    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + ms(50)).min(end);
            self.handle(Event::Tick);
        }
    }

    pub fn work(&mut self, params: CallParams) -> WorkSpec {
        self.sequence += 1;
        let call = CallId {
            node: NodeId::named(ENTRY),
            incarnation: Incarnation(1),
            sequence: self.sequence,
        };
        WorkSpec {
            attempt: AttemptId { call, number: 1 },
            spec: CallSpec {
                call,
                workspace: WorkspaceId::named(params.workspace),
                class: ClassId(u64::from(params.tier)),
                tier: Tier(params.tier),
                pool: PoolId::named("model"),
                time_left: params.left,
                repeatable: params.repeatable,
                prompt_tokens: params.prompt,
                max_tokens: 0,
                prefix: 0,
            },
            resume_from: 0,
        }
    }

    pub fn offer_work(&mut self, work: WorkSpec) {
        self.handle(Event::PeerMessage {
            from: NodeId::named(ENTRY),
            message: WorkMessage::Offer(work).into(),
        });
    }

    pub fn offer(&mut self, params: CallParams) -> AttemptId {
        let work = self.work(params);
        self.offer_work(work);
        work.attempt
    }

    pub fn cancel(&mut self, attempt: AttemptId) {
        self.handle(Event::PeerMessage {
            from: NodeId::named(ENTRY),
            message: WorkMessage::Cancel(attempt).into(),
        });
    }

    pub fn end(&mut self, attempt: AttemptId, end: AttemptEnd) {
        self.runs.remove(&attempt).expect("runs");
        self.stops.retain(|stopped| *stopped != attempt);
        self.handle(Event::AttemptEnded { attempt, end });
    }

    pub fn complete(&mut self, attempt: AttemptId, tokens: u32) {
        self.handle(Event::AttemptSent(attempt));
        self.end(attempt, AttemptEnd::Complete { tokens });
    }

    pub fn stop_all(&mut self, tokens: u32) {
        for attempt in self.stops.clone() {
            self.end(attempt, AttemptEnd::Cancelled { tokens });
        }
    }

    pub fn running_in(&self, tier: u8) -> usize {
        let in_tier = |start: &&AttemptStart| start.work.spec.tier == Tier(tier);
        self.runs.values().filter(in_tier).count()
    }

    pub fn returned(&self, attempt: AttemptId) -> Option<ReturnReason> {
        self.messages.iter().find_map(|(_, message)| match message {
            WorkMessage::Returned {
                attempt: found,
                reason,
                ..
            } if *found == attempt => Some(*reason),
            _ => None,
        })
    }

    pub fn ended(&self, attempt: AttemptId) -> Option<AttemptEnd> {
        self.messages.iter().find_map(|(_, message)| match message {
            WorkMessage::Ended {
                attempt: found,
                end,
                ..
            } if *found == attempt => Some(*end),
            _ => None,
        })
    }

    /// Numbers of queued and running calls, from the state dump.
    pub fn held(&self) -> (u64, u64) {
        let dump = self.kernel.dump(Some("dispatch"));
        let count = |name: &str| dump["dispatch"][name].as_u64().expect("a count");
        (count("queued"), count("running"))
    }
}

pub fn upstream_id(number: u32) -> UpstreamId {
    UpstreamId::named(&format!("u{number}"))
}
