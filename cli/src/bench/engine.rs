//! A fake engine on virtual time: continuous batching, a prefix cache, resume, and faults.
//!
//! All requests that are being written advance together, so one virtual clock of tokens an engine
//! gives every request's progress, and the engine is only looked at when something happens.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use monsoonbank_kernel::call::AttemptStart;
use monsoonbank_kernel::ids::AttemptId;

use crate::bench::scenario::EngineShape;

/// Parts of a token that the virtual clock counts.
const TICKS: f64 = 1e6;

/// Tokens between two notices of progress after the first.
const NOTICE: u32 = 16;

/// Part of a prompt that is still read when its prefix is in the cache.
pub const READ_WHEN_CACHED: f64 = 0.5;

/// What an engine tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineNews {
    /// Tokens so far.
    Progress(AttemptId, u32),
    /// The whole answer is out.
    Done(AttemptId, u32),
}

#[derive(Clone, Copy, Debug)]
struct EngineRun {
    output: u32,
    written_from: Option<u64>,
    mark: u32,
    target: u64,
    ready: Duration,
}

/// What a run cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunCost {
    /// Tokens written.
    pub tokens: u32,
    /// Slot-seconds of reading the prompt.
    pub read: f64,
    /// Slot-seconds in all.
    pub all: f64,
}

/// A fake engine.
#[derive(Debug)]
pub struct FakeEngine {
    shape: EngineShape,
    /// Whether it can be reached.
    pub up: bool,
    /// How many times slower than its shape it is; infinite when it hangs.
    factor: f64,
    runs: BTreeMap<AttemptId, EngineRun>,
    costs: BTreeMap<AttemptId, f64>,
    queue: VecDeque<(AttemptStart, u32)>,
    reading: BTreeSet<(Duration, AttemptId)>,
    marks: BTreeSet<(u64, AttemptId)>,
    clock: u64,
    updated: Duration,
    cache: VecDeque<u64>,
    /// Prefixes that came into the cache or left it, not yet told.
    pub cache_news: Vec<(u64, bool)>,
}

impl FakeEngine {
    /// An idle engine.
    pub fn new(shape: EngineShape) -> Self {
        Self {
            shape,
            up: true,
            factor: 1.0,
            runs: BTreeMap::new(),
            costs: BTreeMap::new(),
            queue: VecDeque::new(),
            reading: BTreeSet::new(),
            marks: BTreeSet::new(),
            clock: 0,
            updated: Duration::ZERO,
            cache: VecDeque::new(),
            cache_news: Vec::new(),
        }
    }

    /// The shape.
    pub fn shape(&self) -> &EngineShape {
        &self.shape
    }

    /// Whether it works at more than a third of its usual speed.
    pub fn is_fit(&self) -> bool {
        self.up && self.factor < 3.0
    }

    /// How many times slower than usual it is.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Requests being served and requests that wait inside.
    pub fn load(&self) -> (u32, u32) {
        (self.runs.len() as u32, self.queue.len() as u32)
    }

    /// Attempts being served.
    pub fn running(&self) -> impl Iterator<Item = AttemptId> + '_ {
        self.runs.keys().copied()
    }

    fn rate(&self) -> f64 {
        let step = self.shape.step_at(self.runs.len()) * self.factor;
        TICKS / step
    }

    fn advance(&mut self, now: Duration) {
        let time = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        if self.factor.is_finite() {
            self.clock += (time * self.rate()).round() as u64;
        }
    }

    /// When something happens next by itself.
    pub fn next(&self) -> Option<Duration> {
        if !self.factor.is_finite() {
            return None;
        }
        let ready = self.reading.first().map(|(at, _)| *at);
        let mark = self.marks.first().map(|(target, _)| {
            let ticks = target.saturating_sub(self.clock) as f64;
            self.updated + Duration::from_secs_f64(ticks / self.rate()) + Duration::from_nanos(1)
        });
        match (ready, mark) {
            (Some(ready), Some(mark)) => Some(ready.min(mark)),
            (ready, mark) => ready.or(mark),
        }
    }

    /// Takes a request whose whole answer has `output` tokens.
    pub fn start(&mut self, now: Duration, start: AttemptStart, output: u32) {
        self.advance(now);
        if self.runs.len() >= self.shape.slots as usize {
            self.queue.push_back((start, output));
            return;
        }
        self.serve(now, start, output);
    }

    fn serve(&mut self, now: Duration, start: AttemptStart, output: u32) {
        let spec = &start.work.spec;
        let attempt = start.work.attempt;
        let mut prompt = f64::from(spec.prompt_tokens + start.work.resume_from);
        if self.hit(spec.prefix) {
            prompt *= READ_WHEN_CACHED;
        }
        let factor = if self.factor.is_finite() {
            self.factor
        } else {
            1e6
        };
        let read = prompt / self.shape.prefill_rate;
        let ready = now + Duration::from_secs_f64(read * factor);
        let run = EngineRun {
            output: output.saturating_sub(start.work.resume_from).max(1),
            written_from: None,
            mark: 1,
            target: 0,
            ready,
        };
        self.reading.insert((ready, attempt));
        self.runs.insert(attempt, run);
        self.costs.insert(attempt, read);
    }

    fn hit(&mut self, prefix: u64) -> bool {
        if prefix == 0 || self.shape.cached_prefixes == 0 {
            return false;
        }
        let before = self.cache.iter().position(|held| *held == prefix);
        if let Some(index) = before {
            self.cache.remove(index);
        } else {
            self.cache_news.push((prefix, true));
        }
        self.cache.push_back(prefix);
        if self.cache.len() > self.shape.cached_prefixes
            && let Some(gone) = self.cache.pop_front()
        {
            self.cache_news.push((gone, false));
        }
        before.is_some()
    }

    /// Everything that has happened by `now`.
    pub fn news(&mut self, now: Duration) -> Vec<EngineNews> {
        self.advance(now);
        while let Some((at, attempt)) = self.reading.first().copied() {
            if at > now {
                break;
            }
            self.reading.pop_first();
            if let Some(run) = self.runs.get_mut(&attempt) {
                run.written_from = Some(self.clock);
                run.target = self.clock + TICKS as u64;
                self.marks.insert((run.target, attempt));
            }
        }
        let mut news = Vec::new();
        while let Some((target, attempt)) = self.marks.first().copied() {
            if target > self.clock {
                break;
            }
            self.marks.pop_first();
            self.reach(attempt, &mut news);
        }
        news
    }

    fn reach(&mut self, attempt: AttemptId, news: &mut Vec<EngineNews>) {
        let Some(run) = self.runs.get_mut(&attempt) else {
            return;
        };
        let Some(from) = run.written_from else {
            return;
        };
        let tokens = run.mark;
        if tokens >= run.output {
            news.push(EngineNews::Done(attempt, run.output));
            return;
        }
        news.push(EngineNews::Progress(attempt, tokens));
        run.mark = (tokens + NOTICE - tokens % NOTICE).min(run.output);
        run.target = from + (f64::from(run.mark) * TICKS) as u64;
        self.marks.insert((run.target, attempt));
    }

    /// Takes a request out, done or not, and says what it cost.
    pub fn remove(&mut self, now: Duration, attempt: AttemptId) -> RunCost {
        self.advance(now);
        let Some(run) = self.runs.remove(&attempt) else {
            self.queue
                .retain(|(start, _)| start.work.attempt != attempt);
            return RunCost::default();
        };
        let mut read = self.costs.remove(&attempt).unwrap_or_default();
        self.reading.remove(&(run.ready, attempt));
        self.marks.remove(&(run.target, attempt));
        let written = run.written_from.map_or(0, |from| self.clock - from);
        let tokens = ((written as f64 / TICKS) as u32).min(run.output);
        if run.written_from.is_none() {
            let left = run.ready.saturating_sub(now).as_secs_f64();
            read = (read - left).max(0.0);
        }
        if let Some((start, output)) = self.queue.pop_front() {
            self.serve(now, start, output);
        }
        RunCost {
            tokens,
            read,
            all: read + f64::from(tokens) * self.shape.full_step(),
        }
    }

    /// Attempts being served or waiting inside.
    pub fn held(&self) -> Vec<AttemptId> {
        let waiting = self.queue.iter().map(|(start, _)| start.work.attempt);
        self.runs.keys().copied().chain(waiting).collect()
    }

    /// Changes its speed; infinite for a hang.
    pub fn set_factor(&mut self, now: Duration, factor: f64) {
        self.advance(now);
        let was_hanging = !self.factor.is_finite();
        self.factor = factor;
        if was_hanging {
            for (_, attempt) in std::mem::take(&mut self.reading) {
                if let Some(run) = self.runs.get_mut(&attempt) {
                    run.ready = now;
                    self.reading.insert((now, attempt));
                }
            }
        }
    }

    /// Loses what its cache holds.
    pub fn clear_cache(&mut self) {
        self.cache.clear();
        self.cache_news.clear();
    }
}
