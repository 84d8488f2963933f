//! The record of a run and the figures computed from it.

use std::collections::BTreeMap;
use std::time::Duration;

use monsoonbank_kernel::call::CallOutcome;
use monsoonbank_kernel::ids::WorkspaceId;
use serde::Serialize;

use crate::bench::bound;
use crate::bench::engine::CACHED_PREFILL_SHARE;
use crate::bench::scenario::ScenarioFile;
use crate::bench::traffic::PlannedCall;

/// Time between two samples of the load.
pub const SAMPLE: Duration = Duration::from_millis(100);

/// Number of consecutive samples over which the progress of a tier is compared with its floor.
const WINDOW: usize = 100;

/// The progress and cost of one call.
#[derive(Clone, Debug, Default)]
pub struct CallTrack {
    /// When it first reached an engine; `None` if it never did.
    pub first_sent: Option<Duration>,
    /// When its first token arrived; `None` if none did.
    pub first_token: Option<Duration>,
    /// When and how it ended; `None` while it is open.
    pub ended: Option<(Duration, CallOutcome)>,
    /// Slot-seconds spent on all of its runs.
    pub work: f64,
    /// Slot-seconds of prefill that runs after the first repeated.
    pub repeated_work: f64,
    /// Number of runs that engines started or queued.
    pub runs: u32,
}

/// The load at one moment; the arrays are indexed by tier, and the last entry also covers all lower
/// tiers.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadSample {
    /// Slots of healthy engines: up, and not slowed down by a factor of three or more.
    pub slots: u32,
    /// Running attempts by tier.
    pub running: [u32; 3],
    /// Calls in the dispatcher's queues by tier.
    pub waiting: [u32; 3],
}

/// Everything recorded during a run.
#[derive(Debug)]
pub struct RunRecord {
    /// The calls in order of arrival.
    pub calls: Vec<PlannedCall>,
    /// The track of each call, at the same index as in `calls`.
    pub tracks: Vec<CallTrack>,
    /// Load samples, one every [`SAMPLE`].
    pub samples: Vec<LoadSample>,
    /// Urgent runs cancelled on a healthy engine.
    pub urgent_stopped: u32,
    /// Urgent calls refused while a lower tier ran above its floor.
    pub urgent_shed: u32,
    /// Capacity over time: each entry holds a time and, from then on, the sum over the engines that
    /// are up of their slots divided by their slowdown.
    pub capacity: Vec<(Duration, f64)>,
}

/// Figures of one class in a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassFigures {
    /// Name of the class.
    pub class: Box<str>,
    /// Tier of the class; 0 is urgent.
    pub tier: u8,
    /// Number of calls that arrived.
    pub sent: u32,
    /// Number of complete answers.
    pub whole: u32,
    /// Number of calls that ended without being run.
    pub refused: u32,
    /// Number of calls whose outcome is unknown: they may have run.
    pub unknown: u32,
    /// Share of calls that met their targets, from 0 to 1; 1 without calls.
    pub attainment: f64,
    /// Median time from arrival to the first token, over calls with a first token, in milliseconds.
    pub first_token_p50_ms: f64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub first_token_p99_ms: f64,
}

/// Figures of one run: one scenario, seed and policy.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunFigures {
    /// Name of the policy.
    pub policy: Box<str>,
    /// Seed of the traffic.
    pub seed: u64,
    /// Figures of each class, in the order of the scenario.
    pub classes: Vec<ClassFigures>,
    /// Share of tier 0 calls that met their targets, from 0 to 1; 1 without calls.
    pub urgent_attainment: f64,
    /// Urgent calls refused while a lower tier ran above its floor, plus urgent runs cancelled on a
    /// healthy engine.
    pub urgent_shed: u32,
    /// Work on calls that met their targets, as far as it was done while calls arrive, in
    /// slot-seconds.
    pub goodput: f64,
    /// Upper bound on the goodput of any schedule, in slot-seconds.
    pub goodput_bound: f64,
    /// Goodput divided by its bound; 1 when the bound is 0.
    pub goodput_share: f64,
    /// Share of all work that was discarded or repeated, from 0 to 1.
    pub waste: f64,
    /// Running attempts over slots of healthy engines, while calls arrive.
    pub busy: f64,
    /// Least progress of each lower tier in any window with work waiting, relative to its floor; a
    /// tier without such a window is absent.
    pub floors: BTreeMap<u8, f64>,
    /// Jain's fairness index over the workspaces that are not marked as flooding.
    pub jain: f64,
    /// Calls that never ended.
    pub open: u32,
    /// Virtual time in which calls arrive, in hours.
    pub hours: f64,
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    let index = (sorted.len().saturating_sub(1) as f64 * share).round() as usize;
    sorted.get(index).copied().unwrap_or_default()
}

impl RunRecord {
    /// Returns whether a call met its targets: a complete answer, the first token in time, and the
    /// time per token within the target of its class, if it has one.
    pub fn meets_targets(&self, scenario: &ScenarioFile, index: usize) -> bool {
        let (call, track) = (&self.calls[index], &self.tracks[index]);
        let class = &scenario.classes[call.class];
        let Some((ended, CallOutcome::Whole { tokens })) = track.ended else {
            return false;
        };
        let Some(first) = track.first_token else {
            return false;
        };
        let pace_met = class
            .token_target
            .is_none_or(|target| ended.saturating_sub(first) <= target * tokens.saturating_sub(1));
        first.saturating_sub(call.at) <= class.target && pace_met
    }

    /// Returns the least work that a call can take, in slot-seconds: with its prefix cached, where
    /// engines have a cache.
    pub fn work(&self, scenario: &ScenarioFile, index: usize) -> f64 {
        let call = &self.calls[index];
        let engine = &scenario.engines[0];
        let cached = call.prefix != 0 && engine.cached_prefixes > 0;
        let prefill = if cached { CACHED_PREFILL_SHARE } else { 1.0 };
        engine.work(f64::from(call.prompt) * prefill, f64::from(call.output))
    }

    /// Returns the share of a completed call that was done while calls arrived. Later work counts
    /// neither here nor in the bound, because there is no contention then.
    fn share_before_end(&self, scenario: &ScenarioFile, index: usize) -> f64 {
        let track = &self.tracks[index];
        let (Some(first_sent), Some((ended, _))) = (track.first_sent, track.ended) else {
            return 0.0;
        };
        let duration = ended.saturating_sub(first_sent).as_secs_f64();
        let before_end = scenario.length.saturating_sub(first_sent).as_secs_f64();
        ratio(before_end, duration).min(1.0)
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
            good += u32::from(self.meets_targets(scenario, index));
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
        figures.attainment = ratio(f64::from(good), f64::from(figures.sent));
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
            .map(|(served, requested)| ratio(*served, *requested))
            .collect();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|share| share * share).sum();
        ratio(sum * sum, squares * shares.len() as f64)
    }

    /// Returns the least ratio of running attempts to the floor over all windows in which the tier
    /// had work waiting throughout, or `None` without such a window.
    fn floor_progress(&self, tier: u8, floor: f64) -> Option<f64> {
        let index = usize::from(tier);
        let has_queue = |sample: &LoadSample| sample.waiting[index] > 0 && sample.slots > 0;
        self.samples
            .windows(WINDOW)
            .filter(|window| window.iter().all(has_queue))
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
        ratio(running.map(f64::from).sum(), slots.map(f64::from).sum())
    }

    /// Computes all figures of the run.
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
            .filter(|index| self.meets_targets(scenario, *index))
            .map(|index| self.work(scenario, index) * self.share_before_end(scenario, index))
            .sum();
        let total: f64 = self.tracks.iter().map(|track| track.work).sum();
        let wasted: f64 = self.tracks.iter().map(CallTrack::wasted_work).sum();
        let floors = scenario.tiers.iter().filter(|tier| tier.tier.0 > 0);
        let floors = floors.filter_map(|tier| {
            let progress = self.floor_progress(tier.tier.0, tier.floor)?;
            Some((tier.tier.0, progress))
        });
        let goodput_bound = bound::goodput(scenario, self);
        RunFigures {
            policy: policy.into(),
            seed,
            urgent_attainment: ratio(urgent_good, urgent_sent),
            urgent_shed: self.urgent_shed + self.urgent_stopped,
            goodput,
            goodput_bound,
            goodput_share: ratio(goodput, goodput_bound),
            waste: if total > 0.0 { wasted / total } else { 0.0 },
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
    /// Returns the wasted slot-seconds: all work of a call without a complete answer, else the
    /// repeated work.
    pub fn wasted_work(&self) -> f64 {
        match self.ended {
            Some((_, CallOutcome::Whole { .. })) => self.repeated_work,
            _ => self.work,
        }
    }
}

/// Returns `part / whole`, or 1 if `whole` is not positive.
fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}
