//! What is recorded of a run, and the figures made from it.

use std::collections::BTreeMap;
use std::time::Duration;

use monsoonbank_kernel::call::CallOutcome;
use monsoonbank_kernel::ids::WorkspaceId;
use serde::Serialize;

use crate::bench::bound;
use crate::bench::engine::READ_WHEN_CACHED;
use crate::bench::scenario::ScenarioFile;
use crate::bench::traffic::PlannedCall;

/// Time between two samples.
pub const SAMPLE: Duration = Duration::from_millis(100);

/// Samples in a window in which floors must hold.
const WINDOW: usize = 100;

/// What is recorded of a call.
#[derive(Clone, Debug, Default)]
pub struct CallTrack {
    /// When it was first sent to an engine.
    pub began: Option<Duration>,
    /// When its first token came.
    pub first_token: Option<Duration>,
    /// When and how it ended.
    pub ended: Option<(Duration, CallOutcome)>,
    /// Slot-seconds spent on it.
    pub work: f64,
    /// Slot-seconds spent on it a second time.
    pub again: f64,
    /// Runs that were started.
    pub runs: u32,
}

/// The state at one moment, by tier.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadSample {
    /// Slots of engines that are up and not slow.
    pub slots: u32,
    /// Calls being served.
    pub running: [u32; 3],
    /// Calls waiting.
    pub waiting: [u32; 3],
}

/// Everything recorded of a run.
#[derive(Debug)]
pub struct RunRecord {
    /// The calls.
    pub calls: Vec<PlannedCall>,
    /// What became of each.
    pub tracks: Vec<CallTrack>,
    /// Samples.
    pub samples: Vec<LoadSample>,
    /// Urgent calls stopped on an engine that worked well.
    pub urgent_stopped: u32,
    /// Urgent calls refused while a lower tier was above its floor.
    pub urgent_shed: u32,
    /// Capacity over time: from each moment on, slots over slowness.
    pub capacity: Vec<(Duration, f64)>,
}

/// Figures of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassFigures {
    /// The class.
    pub class: Box<str>,
    /// The tier.
    pub tier: u8,
    /// Calls sent.
    pub sent: u32,
    /// Whole answers.
    pub whole: u32,
    /// Calls not run.
    pub refused: u32,
    /// Calls that may have run.
    pub unknown: u32,
    /// Share of calls within the targets.
    pub attainment: f64,
    /// First token of whole answers, in milliseconds.
    pub first_token_p50_ms: f64,
    /// The same, 99 of 100.
    pub first_token_p99_ms: f64,
}

/// Figures of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunFigures {
    /// The policy.
    pub policy: Box<str>,
    /// The seed.
    pub seed: u64,
    /// Figures by class.
    pub classes: Vec<ClassFigures>,
    /// Share of tier 0 within the targets.
    pub urgent_attainment: f64,
    /// Urgent calls shed or stopped for lower work.
    pub urgent_shed: u32,
    /// Work on calls that met their targets, done while calls arrive, in slot-seconds.
    pub goodput: f64,
    /// The most that any schedule can reach of it.
    pub goodput_bound: f64,
    /// Goodput over its bound.
    pub goodput_share: f64,
    /// Share of work that was thrown away or done again.
    pub waste: f64,
    /// Share of slots in use while calls arrive, on engines that work well.
    pub busy: f64,
    /// The least progress of a lower tier in a window with work waiting, relative to its floor.
    pub floors: BTreeMap<u8, f64>,
    /// Jain's fairness index over workspaces that do not flood.
    pub jain: f64,
    /// Calls without an end.
    pub open: u32,
    /// Hours of virtual time.
    pub hours: f64,
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    let index = (sorted.len().saturating_sub(1) as f64 * share).round() as usize;
    sorted.get(index).copied().unwrap_or_default()
}

impl RunRecord {
    /// Whether a call met its targets: whole, first token and pace in time.
    pub fn is_good(&self, scenario: &ScenarioFile, index: usize) -> bool {
        let (call, track) = (&self.calls[index], &self.tracks[index]);
        let class = &scenario.classes[call.class];
        let Some((ended, CallOutcome::Whole { tokens })) = track.ended else {
            return false;
        };
        let Some(first) = track.first_token else {
            return false;
        };
        let pace_kept = class
            .token_target
            .is_none_or(|target| ended.saturating_sub(first) <= target * tokens.saturating_sub(1));
        first.saturating_sub(call.at) <= class.target && pace_kept
    }

    /// The least work that a call can take, in slot-seconds.
    pub fn work(&self, scenario: &ScenarioFile, index: usize) -> f64 {
        let call = &self.calls[index];
        let engine = &scenario.engines[0];
        let cached = call.prefix != 0 && engine.cached_prefixes > 0;
        let read = if cached { READ_WHEN_CACHED } else { 1.0 };
        engine.work(f64::from(call.prompt) * read, f64::from(call.output))
    }

    /// The part of a whole call that was done while calls arrived. What is done later is left out
    /// on both sides of the comparison: there is no contention then.
    fn done_part(&self, scenario: &ScenarioFile, index: usize) -> f64 {
        let track = &self.tracks[index];
        let (Some(began), Some((ended, _))) = (track.began, track.ended) else {
            return 0.0;
        };
        let took = ended.saturating_sub(began).as_secs_f64();
        let before_end = scenario.length.saturating_sub(began).as_secs_f64();
        share(before_end, took).min(1.0)
    }

    fn class_figures(&self, scenario: &ScenarioFile, class: usize) -> ClassFigures {
        let shape = &scenario.classes[class];
        let mut figures = ClassFigures {
            class: shape.name.clone(),
            tier: shape.tier.0,
            ..ClassFigures::default()
        };
        let mut good = 0;
        let mut first_tokens = Vec::new();
        let of_class = |index: &usize| self.calls[*index].class == class;
        for index in (0..self.calls.len()).filter(of_class) {
            figures.sent += 1;
            good += u32::from(self.is_good(scenario, index));
            let track = &self.tracks[index];
            match track.ended {
                Some((_, CallOutcome::Whole { .. })) => figures.whole += 1,
                Some((_, CallOutcome::NotRun { .. })) => figures.refused += 1,
                Some((_, CallOutcome::Unknown)) => figures.unknown += 1,
                None => {}
            }
            if let Some(first) = track.first_token {
                let time = first.saturating_sub(self.calls[index].at);
                first_tokens.push(time.as_secs_f64() * 1_000.0);
            }
        }
        first_tokens.sort_by(f64::total_cmp);
        figures.attainment = share(f64::from(good), f64::from(figures.sent));
        figures.first_token_p50_ms = percentile(&first_tokens, 0.5);
        figures.first_token_p99_ms = percentile(&first_tokens, 0.99);
        figures
    }

    fn jain(&self, scenario: &ScenarioFile) -> f64 {
        let mut served: BTreeMap<WorkspaceId, (f64, f64)> = BTreeMap::new();
        for (index, call) in self.calls.iter().enumerate() {
            if call.flood {
                continue;
            }
            let entry = served.entry(call.workspace).or_default();
            let work = self.work(scenario, index);
            entry.1 += work;
            if let Some((_, CallOutcome::Whole { .. })) = self.tracks[index].ended {
                entry.0 += work;
            }
        }
        let shares: Vec<f64> = served
            .values()
            .map(|(got, asked)| share(*got, *asked))
            .collect();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        share(sum * sum, squares * shares.len() as f64)
    }

    /// The least of `running over floor` over all windows in which the tier had work waiting.
    fn floor_progress(&self, tier: u8, floor: f64) -> Option<f64> {
        let index = usize::from(tier);
        let waited = |sample: &LoadSample| sample.waiting[index] > 0 && sample.slots > 0;
        self.samples
            .windows(WINDOW)
            .filter(|window| window.iter().all(waited))
            .map(|window| {
                let running: u32 = window.iter().map(|sample| sample.running[index]).sum();
                let slots: u32 = window.iter().map(|sample| sample.slots).sum();
                f64::from(running) / (f64::from(slots) * floor)
            })
            .min_by(f64::total_cmp)
    }

    fn busy(&self) -> f64 {
        let running = self.samples.iter().flat_map(|sample| sample.running);
        let slots = self.samples.iter().map(|sample| sample.slots);
        share(running.map(f64::from).sum(), slots.map(f64::from).sum())
    }

    /// All figures.
    pub fn figures(&self, scenario: &ScenarioFile, policy: &str, seed: u64) -> RunFigures {
        let classes: Vec<ClassFigures> = (0..scenario.classes.len())
            .map(|class| self.class_figures(scenario, class))
            .collect();
        let urgent = || classes.iter().filter(|class| class.tier == 0);
        let urgent_sent: f64 = urgent().map(|class| f64::from(class.sent)).sum();
        let urgent_good: f64 = urgent()
            .map(|class| f64::from(class.sent) * class.attainment)
            .sum();
        let goodput: f64 = (0..self.calls.len())
            .filter(|index| self.is_good(scenario, *index))
            .map(|index| self.work(scenario, index) * self.done_part(scenario, index))
            .sum();
        let all: f64 = self.tracks.iter().map(|track| track.work).sum();
        let lost: f64 = self.tracks.iter().map(CallTrack::lost).sum();
        let floors = scenario.tiers.iter().filter(|tier| tier.tier.0 > 0);
        let floors = floors.filter_map(|tier| {
            let progress = self.floor_progress(tier.tier.0, tier.floor)?;
            Some((tier.tier.0, progress))
        });
        let goodput_bound = bound::goodput(scenario, self);
        RunFigures {
            policy: policy.into(),
            seed,
            urgent_attainment: share(urgent_good, urgent_sent),
            urgent_shed: self.urgent_shed + self.urgent_stopped,
            goodput,
            goodput_bound,
            goodput_share: share(goodput, goodput_bound),
            waste: if all > 0.0 { lost / all } else { 0.0 },
            busy: self.busy(),
            floors: floors.collect(),
            jain: self.jain(scenario),
            open: self.tracks.iter().filter(|t| t.ended.is_none()).count() as u32,
            hours: scenario.length.as_secs_f64() / 3_600.0,
            classes,
        }
    }
}

impl CallTrack {
    /// Slot-seconds thrown away: all of a call without a whole answer, else what was done again.
    pub fn lost(&self) -> f64 {
        match self.ended {
            Some((_, CallOutcome::Whole { .. })) => self.again,
            _ => self.work,
        }
    }
}

/// A ratio; 1 when there is nothing to divide by.
fn share(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}
