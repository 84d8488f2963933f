//! Online estimates: output length by class and workspace, time to first token, and throughput.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::call::CallSpec;
use crate::ids::{ClassId, WorkspaceId};

/// Cost of one generated token. A prompt token costs 1, since engines process a prompt about this
/// many times faster than they generate.
pub const TOKEN_COST: u64 = 16;

/// Assumed output length, in tokens, of a class without samples.
const DEFAULT_OUTPUT: f64 = 128.0;

/// Weight of the class mean, in samples of the workspace's own mean.
const CLASS_WEIGHT: f64 = 8.0;

/// Most pairs of class and workspace that are tracked.
const MAX_PAIRS: usize = 65_536;

/// An exponentially weighted moving mean that starts as a plain mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct MovingMean {
    mean: f64,
    samples: u32,
}

impl MovingMean {
    /// Adds a sample; the newest `window` samples weigh most.
    pub fn add(&mut self, sample: f64, window: u32) {
        self.samples = self.samples.saturating_add(1);
        let weight = 1.0 / f64::from(self.samples.min(window));
        self.mean += (sample - self.mean) * weight;
    }

    /// The mean, or `None` without samples.
    pub fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean)
    }

    /// Number of samples added.
    pub fn samples(&self) -> u32 {
        self.samples
    }
}

/// Expected output lengths by class and workspace.
#[derive(Debug, Default)]
pub struct OutputEstimate {
    classes: BTreeMap<ClassId, MovingMean>,
    pairs: BTreeMap<(ClassId, WorkspaceId), MovingMean>,
}

impl OutputEstimate {
    /// Expected tokens in the whole response: the workspace's mean, pulled towards the class mean
    /// while there are few samples, and never above the caller's `max_tokens`.
    pub fn tokens(&self, spec: &CallSpec) -> u32 {
        let class = self.classes.get(&spec.class).and_then(MovingMean::get);
        let class = class.unwrap_or(DEFAULT_OUTPUT);
        let pair = self.pairs.get(&(spec.class, spec.workspace));
        let expected = pair.map_or(class, |pair| {
            let samples = f64::from(pair.samples().min(64));
            let own = pair.get().unwrap_or(class);
            (own * samples + class * CLASS_WEIGHT) / (samples + CLASS_WEIGHT)
        });
        let most = if spec.max_tokens == 0 {
            u32::MAX
        } else {
            spec.max_tokens
        };
        (expected.round() as u32).clamp(1, most)
    }

    /// Adds the length of a complete response, in tokens.
    pub fn observe(&mut self, spec: &CallSpec, tokens: u32) {
        let sample = f64::from(tokens);
        self.classes
            .entry(spec.class)
            .or_default()
            .add(sample, 1_000);
        let pair = (spec.class, spec.workspace);
        if self.pairs.len() >= MAX_PAIRS && !self.pairs.contains_key(&pair) {
            self.pairs.pop_first();
        }
        self.pairs.entry(pair).or_default().add(sample, 100);
    }
}

/// Cost of processing `prompt` tokens and generating `output` tokens.
pub fn cost_of(prompt: u32, output: u32) -> u64 {
    u64::from(prompt) + u64::from(output) * TOKEN_COST
}

/// Time to first token as a linear function of prompt length, fitted by least squares with
/// exponential decay of old samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstTokenModel {
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
    error: MovingMean,
}

/// Mean errors added to the expected time for an upper bound.
const ERROR_FACTOR: f64 = 4.0;

/// Samples that weigh most in the mean error.
const ERROR_WINDOW: u32 = 200;

const DECAY: f64 = 0.995;

impl FirstTokenModel {
    /// Adds the measured time to first token of a prompt with this many tokens.
    pub fn add(&mut self, tokens: u32, time: Duration) {
        let (x, y) = (f64::from(tokens), time.as_secs_f64());
        if self.weight > 0.0 {
            let error = (y - self.estimate(tokens).as_secs_f64()).abs();
            self.error.add(error, ERROR_WINDOW);
        }
        self.weight = self.weight * DECAY + 1.0;
        self.sum_x = self.sum_x * DECAY + x;
        self.sum_y = self.sum_y * DECAY + y;
        self.sum_xx = self.sum_xx * DECAY + x * x;
        self.sum_xy = self.sum_xy * DECAY + x * y;
    }

    /// Upper bound that the time to first token of such a prompt seldom exceeds.
    pub fn estimate_high(&self, tokens: u32) -> Duration {
        let error = self.error.get().unwrap_or_default() * ERROR_FACTOR;
        self.estimate(tokens) + Duration::from_secs_f64(error)
    }

    /// Expected time to first token of a prompt with this many tokens; zero without samples.
    pub fn estimate(&self, tokens: u32) -> Duration {
        if self.weight == 0.0 {
            return Duration::ZERO;
        }
        let (mean_x, mean_y) = (self.sum_x / self.weight, self.sum_y / self.weight);
        let variance = self.sum_xx / self.weight - mean_x * mean_x;
        let covariance = self.sum_xy / self.weight - mean_x * mean_y;
        let slope = if variance > 1.0 {
            (covariance / variance).max(0.0)
        } else {
            0.0
        };
        let seconds = mean_y + slope * (f64::from(tokens) - mean_x);
        Duration::from_secs_f64(seconds.clamp(mean_y * 0.2, 600.0))
    }
}

/// How fast a pool works through its queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoolTiming {
    /// Cost that one slot completes per second.
    pub slot_rate: MovingMean,
    /// Seconds that a run occupies its slot.
    pub run_time: MovingMean,
    /// Seconds from the request to stop a run until its slot is free.
    pub stop_time: MovingMean,
    /// Time to first token by prompt length.
    pub first_token: FirstTokenModel,
}
