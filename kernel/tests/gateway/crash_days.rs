//! Drawn days of fleets whose upstreams crash: under calls with certain prompt parts, in waves, or not at
//! all. Measures both errors: calls that crash upstreams and go on, and sound calls that are refused.
//!
//! Nodes that hear the same things at the same time are one view: a node each in a small fleet, the nodes
//! of an availability zone or of a part of it in a large one.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use monsoonbank_kernel::gateway::content::ContentDigest;
use monsoonbank_kernel::gateway::crashes::evidence::{CrashReport, SuspectCall};
use monsoonbank_kernel::gateway::crashes::news::CrashNews;
use monsoonbank_kernel::gateway::crashes::quarantine::QuarantineReport;
use monsoonbank_kernel::gateway::crashes::suspect::SuspectKey;
use monsoonbank_kernel::gateway::crashes::{CrashDecision, CrashLedger};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MS: Duration = Duration::from_millis(1);
/// Length of a day.
const DAY: Duration = Duration::from_mins(2);
/// Time at which calls with crashing parts begin.
const START: Duration = Duration::from_secs(10);
/// Time after which all nodes are expected to know of a crash, and a restarted node of all crashes.
const CONTACT: Duration = Duration::from_secs(3);
/// Crashes under a part after which few more calls with it may be sent.
const CRASHES: usize = 5;
/// Number of those calls.
const MAX_REPEATS: usize = 3;
/// Sound calls of one first part from which on their share counts.
const MIN_CALLS: usize = 20;
/// Interval at which views tell each other their news, and the number that each tells.
const NEWS_INTERVAL: Duration = Duration::from_millis(200);
const FANOUT: usize = 4;
/// Share of lost heartbeats.
const LOSS: f64 = 0.2;
/// Number of first parts and of further parts of sound calls.
const FIRST_PARTS: u64 = 6;
const MORE_PARTS: u64 = 60;

/// Size of a fleet as it is played.
#[derive(Clone, Copy, Debug)]
struct FleetSize {
    views: usize,
    engines: usize,
    /// Sound calls a second.
    calls: f64,
}

/// A part that crashes upstreams.
#[derive(Clone, Copy, Debug)]
struct CrashingPart {
    id: u64,
    is_first: bool,
    /// Calls a second with it.
    rate: f64,
    /// Time from the beginning of the answer to the crash.
    lag: Duration,
    /// Whether sound calls had it before.
    was_sound: bool,
}

#[derive(Clone, Debug)]
struct ModelCall {
    view: usize,
    content: u64,
    parts: Vec<u64>,
    engine: usize,
    attempts: u32,
    sent_at: Duration,
    begins_at: Duration,
    crashes: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ModelEvent {
    Sound,
    Crashing(usize),
    End(u64),
    Proof(u64),
    Back(usize),
    Wave(u64),
    News,
    Kill(usize),
    Cut(usize),
    Send(u64, Vec<u64>, u32),
}

#[derive(Clone, Debug, Default)]
struct DayResult {
    crashes: usize,
    repeats: usize,
    sound: usize,
    refused: usize,
    /// Sound calls of each first part late enough to count, and those of them that were refused.
    late: BTreeMap<u64, (usize, usize)>,
    /// Refused sound calls, by the cause of the refusal.
    causes: BTreeMap<String, usize>,
}

struct ModelDay {
    random: Pcg64Mcg,
    size: FleetSize,
    parts: Vec<CrashingPart>,
    same_id: bool,
    queue: BinaryHeap<Reverse<(Duration, u64, ModelEvent)>>,
    next: u64,
    ledgers: Vec<CrashLedger>,
    in_touch_at: Vec<Duration>,
    cut_until: Vec<Duration>,
    store: BTreeMap<String, QuarantineReport>,
    /// Crashes that are stored before they suffice for a quarantine, with the time of writing.
    suspicions: (Duration, BTreeMap<SuspectKey, Vec<CrashReport>>),
    calls: BTreeMap<u64, ModelCall>,
    up: Vec<bool>,
    runs: Vec<u64>,
    part_crashes: Vec<Vec<Duration>>,
    part_repeats: Vec<usize>,
    now: Duration,
    result: DayResult,
}

impl ModelDay {
    fn draw(size: FleetSize, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let count = [0, 1, 1, 2][random.random_range(0..4)];
        let parts: Vec<CrashingPart> = (0..count)
            .map(|index| CrashingPart {
                id: 1000 + index,
                is_first: random.random_bool(0.4),
                rate: [0.1, 0.5, 1.0, 3.0][random.random_range(0..4)],
                lag: MS * random.random_range(0..120),
                was_sound: random.random_bool(0.25),
            })
            .collect();
        let mut day = Self {
            same_id: random.random_bool(0.2),
            queue: BinaryHeap::new(),
            next: 0,
            ledgers: vec![CrashLedger::default(); size.views],
            in_touch_at: vec![Duration::ZERO; size.views],
            cut_until: vec![Duration::ZERO; size.views],
            store: BTreeMap::new(),
            suspicions: (Duration::ZERO, BTreeMap::new()),
            calls: BTreeMap::new(),
            up: vec![true; size.engines],
            runs: (0..size.engines as u64).collect(),
            part_crashes: vec![Vec::new(); parts.len()],
            part_repeats: vec![0; parts.len()],
            now: Duration::ZERO,
            result: DayResult::default(),
            parts,
            random,
            size,
        };
        day.push(Duration::ZERO, ModelEvent::Sound);
        day.push(Duration::ZERO, ModelEvent::News);
        for index in 0..day.parts.len() {
            let begins = START + day.exponential(day.parts[index].rate);
            day.push(begins, ModelEvent::Crashing(index));
        }
        day.draw_waves();
        day.draw_faults();
        day
    }

    /// Draws crashes without a cause in the calls: none, single ones, waves of 30%, or all at once.
    fn draw_waves(&mut self) {
        let from = Duration::from_secs(self.random.random_range(5..60));
        let (count, gap, share) = [
            (0, 0, 0),
            (0, 0, 0),
            (8, 2000, 5),
            (4, 4000, 30),
            (1, 0, 100),
        ][self.random.random_range(0..5)];
        for number in 0..count {
            self.push(from + MS * gap * number, ModelEvent::Wave(share));
        }
    }

    fn draw_faults(&mut self) {
        if self.random.random_bool(0.3) {
            let view = self.random.random_range(0..self.size.views);
            let at = START + MS * self.random.random_range(0..20_000);
            self.push(at, ModelEvent::Kill(view));
        }
        if self.random.random_bool(0.3) {
            let view = self.random.random_range(0..self.size.views);
            let at = START + MS * self.random.random_range(0..20_000);
            self.push(at, ModelEvent::Cut(view));
        }
        if self.random.random_bool(0.1) {
            let at = START + MS * self.random.random_range(0..60_000);
            for view in 0..self.size.views {
                self.push(at, ModelEvent::Kill(view));
            }
        }
    }

    fn push(&mut self, at: Duration, event: ModelEvent) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next, event)));
    }

    fn exponential(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate)
    }

    fn run(mut self) -> DayResult {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > DAY {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.result.crashes = self.part_crashes.iter().map(Vec::len).sum();
        self.result.repeats = self.part_repeats.iter().copied().max().unwrap_or(0);
        self.result
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Sound => {
                let parts = self.sound_parts();
                self.next += 1;
                self.send(self.next, parts, 0);
                let gap = self.exponential(self.size.calls);
                self.push(self.now + gap, ModelEvent::Sound);
            }
            ModelEvent::Crashing(index) => {
                let part = self.parts[index];
                let first = self.random.random_range(1..=FIRST_PARTS);
                let parts = if part.is_first {
                    vec![part.id, first]
                } else {
                    vec![first, part.id]
                };
                self.next += 1;
                self.send(self.next, parts, 0);
                let gap = self.exponential(part.rate);
                self.push(self.now + gap, ModelEvent::Crashing(index));
            }
            ModelEvent::Send(content, parts, attempts) => self.send(content, parts, attempts),
            ModelEvent::End(call) => self.end(call),
            ModelEvent::Proof(call) => self.prove(call),
            ModelEvent::Back(engine) => self.up[engine] = true,
            ModelEvent::Wave(share) => {
                for engine in 0..self.size.engines {
                    if self.random.random_range(0..100) < share {
                        self.crash(engine);
                    }
                }
            }
            ModelEvent::News => self.exchange_news(),
            ModelEvent::Kill(view) => {
                self.ledgers[view] = CrashLedger::default();
                let stored: Vec<QuarantineReport> = self.store.values().cloned().collect();
                self.ledgers[view].receive_quarantines(&stored, self.now);
                self.read_suspicions(view);
                self.in_touch_at[view] = self.now + CONTACT;
            }
            ModelEvent::Cut(view) => {
                self.cut_until[view] = self.now + Duration::from_secs(5);
                self.in_touch_at[view] = self.cut_until[view] + CONTACT;
            }
        }
    }

    fn read_suspicions(&mut self, view: usize) {
        let (written_at, suspicions) = &self.suspicions;
        let since = self.now.saturating_sub(*written_at).as_millis() as u64;
        let mut news = CrashNews::default();
        for report in suspicions.values().flatten() {
            news.crashes.push(CrashReport {
                age_ms: report.age_ms + since,
                ..report.clone()
            });
        }
        self.ledgers[view].receive(&news, self.now);
    }

    fn sound_parts(&mut self) -> Vec<u64> {
        let sound: Vec<u64> = self
            .parts
            .iter()
            .filter(|part| part.was_sound && self.now < START)
            .map(|part| part.id)
            .collect();
        let mut parts = vec![self.random.random_range(1..=FIRST_PARTS)];
        if self.random.random_bool(0.5) {
            parts.push(100 + self.random.random_range(0..MORE_PARTS));
        }
        if !sound.is_empty() && self.random.random_bool(0.2) {
            parts.push(sound[self.random.random_range(0..sound.len())]);
        }
        parts
    }

    fn crashing_part(&self, parts: &[u64]) -> Option<usize> {
        let is_in = |part: &CrashingPart| self.now >= START && parts.contains(&part.id);
        self.parts.iter().position(is_in)
    }

    fn send(&mut self, content: u64, parts: Vec<u64>, attempts: u32) {
        let view = self.random.random_range(0..self.size.views);
        let crashing = self.crashing_part(&parts);
        let suspects = suspects(content, &parts);
        let decision = self.ledgers[view].decide(&suspects, |_| view == 0, self.now);
        if attempts == 0 && crashing.is_none() {
            self.count_sound(&parts, &decision);
        }
        match decision {
            CrashDecision::Quarantined { .. } => return,
            CrashDecision::Trial => self.ledgers[view].begin_trial(&suspects, self.now),
            CrashDecision::Admitted => {}
        }
        let up: Vec<usize> = (0..self.size.engines)
            .filter(|engine| self.up[*engine])
            .collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.random.random_range(0..up.len())];
        if let Some(index) = crashing {
            self.count_repeat(index, view);
        }
        let begins_at = self.now + MS * self.random.random_range(20..400);
        let ends_at = match crashing {
            Some(index) => begins_at + self.parts[index].lag,
            None => begins_at + MS * self.random.random_range(200..4000),
        };
        let call = ModelCall {
            view,
            content,
            parts,
            engine,
            attempts,
            sent_at: self.now,
            begins_at,
            crashes: crashing.is_some(),
        };
        self.next += 1;
        let key = self.next;
        self.calls.insert(key, call);
        self.push(ends_at, ModelEvent::End(key));
        for window in [MS * 1000, MS * 3000] {
            if crashing.is_none() && begins_at + window < ends_at {
                self.push(begins_at + window, ModelEvent::Proof(key));
            }
        }
    }

    fn count_sound(&mut self, parts: &[u64], decision: &CrashDecision) {
        let is_refused = matches!(decision, CrashDecision::Quarantined { .. });
        if let CrashDecision::Quarantined { cause, .. } = decision {
            *self.result.causes.entry(cause.to_string()).or_default() += 1;
        }
        self.result.sound += 1;
        self.result.refused += usize::from(is_refused);
        let known = |times: &Vec<Duration>| {
            let fifth = times.get(CRASHES - 1).or(times.last());
            fifth.is_some_and(|at| *at + CONTACT * 2 < self.now)
        };
        if self.part_crashes.iter().any(known) {
            let late = self.result.late.entry(parts[0]).or_default();
            late.0 += 1;
            late.1 += usize::from(is_refused);
        }
    }

    fn count_repeat(&mut self, index: usize, view: usize) {
        let fifth = self.part_crashes[index].get(CRASHES - 1);
        let is_late = fifth.is_some_and(|at| *at + CONTACT < self.now);
        if is_late && self.in_touch_at[view] <= self.now {
            self.part_repeats[index] += 1;
        }
    }

    fn end(&mut self, key: u64) {
        let Some(call) = self.calls.get(&key).cloned() else {
            return;
        };
        if call.crashes {
            if let Some(index) = self.crashing_part(&call.parts) {
                self.part_crashes[index].push(self.now);
            }
            self.crash(call.engine);
            return;
        }
        self.calls.remove(&key);
        let suspects = suspects(call.content, &call.parts);
        self.ledgers[call.view].record_answer(&suspects, call.begins_at, self.now);
    }

    fn prove(&mut self, key: u64) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let written = self.now.saturating_sub(call.begins_at);
        let suspects = suspects(call.content, &call.parts);
        let proven: Vec<SuspectKey> = suspects
            .into_iter()
            .filter(|suspect| suspect.window() <= written)
            .collect();
        self.ledgers[call.view].record_answer(&proven, call.begins_at, self.now);
    }

    fn crash(&mut self, engine: usize) {
        if !self.up[engine] {
            return;
        }
        self.up[engine] = false;
        let run = self.runs[engine];
        if !self.same_id {
            self.runs[engine] += self.size.engines as u64;
        }
        let broken: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| call.engine == engine)
            .map(|(key, _)| *key)
            .collect();
        for key in broken {
            if let Some(call) = self.calls.remove(&key) {
                self.break_off(run, call);
            }
        }
        let back = MS * self.random.random_range(2000..4000);
        self.push(self.now + back, ModelEvent::Back(engine));
    }

    fn break_off(&mut self, run: u64, call: ModelCall) {
        // Nodes notice a crash some ms apart.
        let noticed = self.now + MS * self.random.random_range(0..20);
        let written = self.now.saturating_sub(call.begins_at);
        let suspects = suspects(call.content, &call.parts);
        let report = CrashReport {
            run,
            age_ms: 0,
            calls: vec![SuspectCall {
                sent_ms: noticed.saturating_sub(call.sent_at).as_millis() as u64,
                suspects: suspects
                    .into_iter()
                    .filter(|suspect| written < suspect.window())
                    .collect(),
            }],
        };
        self.ledgers[call.view].record_crash(&report, noticed);
        if call.attempts > 0 {
            return;
        }
        let suspects = self::suspects(call.content, &call.parts);
        let is_suspected = self.ledgers[call.view].is_suspected(&suspects);
        // Half of the calls are sent on at once unless suspected, a quarter come again, a quarter do not.
        let again = match self.random.random_range(0..4) {
            0 | 1 if is_suspected => return,
            0 | 1 => noticed,
            2 => noticed + MS * 300,
            _ => return,
        };
        self.push(again, ModelEvent::Send(call.content, call.parts, 1));
    }

    fn exchange_news(&mut self) {
        for view in 0..self.size.views {
            self.ledgers[view].settle(self.now);
            let news = self.ledgers[view].recent_news(self.now);
            for _ in 0..FANOUT.min(self.size.views - 1) {
                let other = self.random.random_range(0..self.size.views);
                let is_cut = self.cut_until[view].max(self.cut_until[other]) > self.now;
                if other == view || is_cut || self.random.random_bool(LOSS) {
                    continue;
                }
                let late = MS * self.random.random_range(0..20);
                self.ledgers[other].receive(&news, self.now + late);
                if self.ledgers[other].digest() != self.ledgers[view].digest() {
                    let reports = self.ledgers[view].quarantine_reports(self.now);
                    self.ledgers[other].receive_quarantines(&reports, self.now + late);
                }
            }
        }
        let writer = self.random.random_range(0..self.size.views);
        if self.cut_until[writer] <= self.now {
            for report in self.ledgers[writer].quarantine_reports(self.now) {
                self.store.insert(report.cause.to_string(), report);
            }
            self.suspicions = (self.now, self.ledgers[writer].suspicions(self.now));
        }
        self.push(self.now + NEWS_INTERVAL, ModelEvent::News);
    }
}

fn suspects(content: u64, parts: &[u64]) -> Vec<SuspectKey> {
    let content = SuspectKey::Content(ContentDigest::from(content));
    let parts = parts.iter().map(|part| SuspectKey::Part(*part));
    [content].into_iter().chain(parts).collect()
}

/// Sum over the days of a fleet.
#[derive(Clone, Debug, Default)]
struct DaysResult {
    days: usize,
    crashes: usize,
    /// Seeds of days with more repeats than allowed.
    over: BTreeSet<u64>,
    /// Seeds of days on which half of the sound calls of a first part were refused.
    lost: BTreeSet<u64>,
    sound: usize,
    refused: usize,
    /// Days on which any sound call was refused.
    refusing: BTreeSet<u64>,
}

/// Number of days to play: a few unless the variable `DAYS` says otherwise.
fn days(few: u64) -> u64 {
    let days = std::env::var("DAYS").ok();
    days.and_then(|text| text.parse().ok()).unwrap_or(few)
}

fn play(size: FleetSize, seeds: &[u64]) -> DaysResult {
    let mut sum = DaysResult::default();
    let threads: Vec<_> = (0..4)
        .map(|thread| {
            let seeds: Vec<u64> = seeds.iter().copied().skip(thread).step_by(4).collect();
            std::thread::spawn(move || {
                let seeds = seeds.into_iter();
                let results = seeds.map(|seed| (seed, ModelDay::draw(size, seed).run()));
                results.collect::<Vec<_>>()
            })
        })
        .collect();
    for thread in threads {
        for (seed, day) in thread.join().expect("days") {
            sum.days += 1;
            sum.crashes += day.crashes;
            sum.sound += day.sound;
            sum.refused += day.refused;
            if day.repeats > MAX_REPEATS {
                sum.over.insert(seed);
            }
            let is_lost = |(all, refused): &(usize, usize)| *all >= MIN_CALLS && refused * 2 > *all;
            if day.late.values().any(is_lost) {
                sum.lost.insert(seed);
            }
            if day.refused > 0 {
                sum.refusing.insert(seed);
                println!(
                    "seed {seed}: {} refused of {}, by {:?}",
                    day.refused, day.sound, day.causes
                );
            }
        }
    }
    println!(
        "{size:?}: {} days, {} crashes under parts, over {:?}, lost {:?}, {} of {} sound calls \
         refused, on {} days",
        sum.days,
        sum.crashes,
        sum.over,
        sum.lost,
        sum.refused,
        sum.sound,
        sum.refusing.len()
    );
    sum
}

/// Each case gives the size of the fleet as it is played and the days.
macro_rules! days {
    ($($name:ident: $views:literal, $engines:literal, $calls:literal, $days:literal;)*) => {$(
        #[test]
        fn $name() {
            let size = FleetSize { views: $views, engines: $engines, calls: $calls };
            let seeds: Vec<u64> = (0..days($days)).collect();
            check(&play(size, &seeds));
        }
    )*};
}

fn check(sum: &DaysResult) {
    assert!(
        sum.over.is_empty(),
        "too many repeats on days {:?}",
        sum.over
    );
    assert!(
        sum.lost.is_empty(),
        "sound calls lost on days {:?}",
        sum.lost
    );
}

// Guards against prompt parts that go on crashing upstreams, and against sound calls that are refused with
// them or in waves of crashes.
days! {
    drawn_days_of_six_nodes: 6, 12, 20.0, 24;
    drawn_days_of_three_hundred_nodes: 15, 80, 60.0, 8;
    drawn_days_of_980_nodes: 23, 160, 100.0, 8;
}

// Guards against two parts at once, sound until then, under which all upstreams of a small pool crash at once.
#[test]
fn days_on_which_a_small_pool_collapses() {
    let size = FleetSize {
        views: 6,
        engines: 12,
        calls: 20.0,
    };
    check(&play(size, &[212, 246, 283]));
}

// Guards against a second part whose crashes nodes of a large fleet hear of too late.
#[test]
fn days_with_more_news_than_fits_into_heartbeats() {
    let size = FleetSize {
        views: 15,
        engines: 80,
        calls: 60.0,
    };
    check(&play(size, &[173, 217]));
    let size = FleetSize {
        views: 23,
        engines: 160,
        calls: 100.0,
    };
    check(&play(size, &[95]));
}
