//! Cost of a dispatch decision with many calls queued: one run ends, and the next one starts.
//!
//! Besides Criterion's means it prints percentiles of single decisions and the memory per queued
//! call, which Criterion does not measure.

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use monsoonbank_kernel::call::{AttemptEnd, CallSpec, LoadReport, Tier, WorkSpec};
use monsoonbank_kernel::config::{Config, ConfigFile, PoolKind, PoolSpec, TierSpec, UpstreamSpec};
use monsoonbank_kernel::dispatch::estimate::cost_of;
use monsoonbank_kernel::dispatch::pool::{Decision, PoolState};
use monsoonbank_kernel::dispatch::work::{WorkArena, WorkItem, WorkKey};
use monsoonbank_kernel::event::{Action, Event};
use monsoonbank_kernel::ids::{
    AttemptId, CallId, ClassId, Incarnation, NodeId, PoolId, WorkspaceId, ZoneId,
};
use monsoonbank_kernel::kernel::Kernel;
use monsoonbank_kernel::ownership::OwnerMap;
use monsoonbank_kernel::plugin::NodeProfile;
use monsoonbank_kernel::wire::WorkMessage;

const UPSTREAMS: u32 = 10;
const SLOTS: u32 = 50;
const WORKSPACES: u64 = 5_400;

struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded to the system allocator unchanged.
#[allow(unsafe_code)]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

struct Bench {
    kernel: Kernel,
    now: Duration,
    sequence: u64,
    running: Vec<AttemptId>,
    actions: Vec<Action>,
}

fn config() -> Config {
    let upstream = |n: u32| UpstreamSpec {
        name: format!("u{n}").into(),
        pool: "model".into(),
        zone: "a".into(),
        address: "127.0.0.1:1".into(),
        slots: SLOTS,
        checks_fencing: true,
        also: Vec::new(),
    };
    let tier = |tier: u8, floor: f64| TierSpec {
        tier: Tier(tier),
        floor,
    };
    let file = ConfigFile {
        tiers: vec![tier(0, 0.0), tier(1, 0.1), tier(2, 0.05)],
        pools: vec![PoolSpec {
            name: "model".into(),
            kind: PoolKind::Model,
        }],
        upstreams: (0..UPSTREAMS).map(upstream).collect(),
        ..ConfigFile::default()
    };
    Config::from_file(1, &file)
}

fn work(sequence: u64) -> WorkSpec {
    let mixed = sequence.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let call = CallId {
        node: NodeId(2),
        incarnation: Incarnation(1),
        sequence,
    };
    let spec = CallSpec {
        call,
        workspace: WorkspaceId((mixed >> 8) % WORKSPACES),
        class: ClassId(mixed >> 61),
        tier: Tier((mixed >> 40) as u8 % 3),
        pool: PoolId::named("model"),
        time_left: Duration::from_secs(3_600 + (mixed >> 50) % 3_600),
        repeatable: true,
        prompt_tokens: 200,
        max_tokens: 0,
        prefix: (mixed >> 20) % 1_000,
    };
    WorkSpec {
        attempt: AttemptId { call, number: 1 },
        spec,
        resume_from: 0,
    }
}

impl Bench {
    fn new(queued: u64) -> Self {
        let profile = NodeProfile {
            node: NodeId(1),
            name: "owner".into(),
            zone: ZoneId(1),
            zone_name: "a".into(),
            incarnation: Incarnation(1),
            seed: 1,
            secret: [0; 32],
        };
        let mut bench = Self {
            kernel: Kernel::with_plugins(profile, |name| name == "dispatch"),
            now: Duration::from_secs(1_000),
            sequence: 0,
            running: Vec::new(),
            actions: Vec::new(),
        };
        let config = Arc::new(config());
        let owners = config.upstreams.keys().map(|id| (*id, NodeId(1)));
        let owners = OwnerMap {
            owners: owners.collect(),
        };
        let upstreams: Vec<_> = config.upstreams.keys().copied().collect();
        bench.handle(Event::ConfigApplied(config));
        bench.handle(Event::OwnersChanged(Arc::new(owners)));
        for upstream in upstreams {
            bench.handle(Event::UpstreamReported {
                upstream,
                report: LoadReport::default(),
            });
        }
        for _ in 0..queued + u64::from(UPSTREAMS * SLOTS) {
            bench.offer();
        }
        bench
    }

    fn handle(&mut self, event: Event) {
        self.kernel.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            if let Action::StartAttempt(start) = action {
                self.running.push(start.work.attempt);
            }
        }
    }

    fn offer(&mut self) {
        self.sequence += 1;
        let work = work(self.sequence);
        self.handle(Event::PeerMessage {
            from: NodeId(2),
            message: WorkMessage::Offer(work).into(),
        });
    }

    /// Ends one run, so that the next one starts.
    fn decide(&mut self) {
        let index = self.sequence as usize * 7 % self.running.len();
        let attempt = self.running.swap_remove(index);
        self.now += Duration::from_micros(100);
        let end = AttemptEnd::Complete { tokens: 100 };
        self.handle(Event::AttemptEnded { attempt, end });
    }
}

fn memory(queued: u64) -> usize {
    let before = ALLOCATED.load(Ordering::Relaxed);
    let empty = Bench::new(0);
    let base = ALLOCATED.load(Ordering::Relaxed) - before;
    drop(empty);
    let before = ALLOCATED.load(Ordering::Relaxed);
    let bench = Bench::new(queued);
    let allocated = ALLOCATED.load(Ordering::Relaxed) - before - base;
    drop(bench);
    allocated / queued as usize
}

/// A pool without the dispatcher, to time a decision by itself.
struct PoolBench {
    pool: PoolState,
    arena: WorkArena,
    now: Duration,
    sequence: u64,
    running: Vec<WorkKey>,
    decisions: Vec<Decision>,
}

impl PoolBench {
    fn new(queued: u64) -> Self {
        let config = Arc::new(config());
        let owned = config.upstreams.keys().map(|id| (*id, SLOTS)).collect();
        let mut bench = Self {
            pool: PoolState::default(),
            arena: WorkArena::default(),
            now: Duration::from_secs(1_000),
            sequence: 0,
            running: Vec::new(),
            decisions: Vec::new(),
        };
        bench.pool.configure(bench.now, &config, false, &owned);
        for upstream in config.upstreams.keys() {
            let report = LoadReport::default();
            bench.pool.reported(bench.now, *upstream, &report);
        }
        for _ in 0..queued + u64::from(UPSTREAMS * SLOTS) {
            bench.offer();
        }
        bench.fill();
        bench
    }

    fn offer(&mut self) {
        self.sequence += 1;
        let work = work(self.sequence);
        let deadline = self.now + work.spec.time_left;
        let key = self.arena.insert(WorkItem {
            work,
            entry: NodeId(2),
            deadline,
            latest_start: deadline,
            cost: cost_of(work.spec.prompt_tokens, 100),
            forwarded: 0,
            requeues: 0,
            ran: false,
            run: None,
        });
        self.pool
            .offer(self.now, key, &self.arena, &mut self.decisions);
    }

    fn fill(&mut self) {
        self.pool
            .fill(self.now, &mut self.arena, &mut self.decisions);
        for decision in self.decisions.drain(..) {
            if let Decision::Start(key) = decision {
                self.running.push(key);
            }
        }
    }

    /// Frees one slot and times the decision about the next run.
    fn decide(&mut self) -> Duration {
        let index = self.sequence as usize * 7 % self.running.len();
        let key = self.running.swap_remove(index);
        self.now += Duration::from_micros(100);
        let end = AttemptEnd::Complete { tokens: 100 };
        self.pool.ended(self.now, key, end, &mut self.arena);
        self.arena.remove(key);
        self.offer();
        let start = Instant::now();
        self.fill();
        start.elapsed()
    }
}

fn percentiles(name: &str, queued: u64, mut decide: impl FnMut() -> Duration) {
    let mut times: Vec<Duration> = (0..100_000).map(|_| decide()).collect();
    times.sort_unstable();
    let at = |share: usize| times[times.len() * share / 1_000];
    println!(
        "{name}, {queued} queued: p50 {:?} p99 {:?} p99.9 {:?}",
        at(500),
        at(990),
        at(999),
    );
}

fn decision(criterion: &mut Criterion) {
    for queued in [100, 1_000, 10_000, 100_000] {
        let mut bench = PoolBench::new(queued);
        percentiles("decision", queued, || bench.decide());
        let mut bench = Bench::new(queued);
        percentiles("whole event", queued, || {
            bench.offer();
            let start = Instant::now();
            bench.decide();
            start.elapsed()
        });
    }
    println!("memory: {} bytes a queued call", memory(100_000));
    let mut group = criterion.benchmark_group("decision");
    for queued in [100, 1_000, 10_000, 100_000] {
        let mut bench = Bench::new(queued);
        group.bench_function(BenchmarkId::new("end_start_offer", queued), |bencher| {
            bencher.iter(|| {
                bench.decide();
                bench.offer();
                black_box(bench.running.len())
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
