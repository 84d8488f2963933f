//! A fake engine on virtual time: continuous batching, a prefix cache, resume, and faults.
//!
//! All requests in the decode phase advance together, so one virtual token clock per engine gives
//! the progress of every request, and the engine is only advanced when an event is due.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use monsoonbank_kernel::call::AttemptStart;
use monsoonbank_kernel::ids::AttemptId;

use crate::bench::scenario::EngineShape;

/// Ticks of the virtual clock for one token.
const TICKS_PER_TOKEN: f64 = 1e6;

/// Tokens between two progress events, after the one for the first token.
const PROGRESS_INTERVAL: u32 = 16;

/// Share of the prefill that remains when the prefix of the prompt is cached.
pub const CACHED_PREFILL_SHARE: f64 = 0.5;

/// An event that an engine reports about an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EngineEvent {
    /// The number of tokens generated so far.
    Progress(AttemptId, u32),
    /// The answer is complete, with its number of tokens.
    Done(AttemptId, u32),
}

#[derive(Clone, Copy, Debug)]
struct EngineRun {
    output: u32,
    decode_start: Option<u64>,
    next_tokens: u32,
    due: u64,
    ready: Duration,
}

/// The tokens and slot time of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunCost {
    /// Tokens generated.
    pub tokens: u32,
    /// Slot-seconds of prefill.
    pub prefill: f64,
    /// Slot-seconds of prefill and decode together.
    pub total: f64,
}

/// A simulated engine with a fixed number of slots, an internal queue and a prefix cache.
#[derive(Debug)]
pub struct FakeEngine {
    shape: EngineShape,
    /// Whether the engine accepts connections.
    pub up: bool,
    /// Slowdown relative to its shape; infinite while it hangs.
    slowdown: f64,
    runs: BTreeMap<AttemptId, EngineRun>,
    prefill_costs: BTreeMap<AttemptId, f64>,
    queue: VecDeque<(AttemptStart, u32)>,
    prefills: BTreeSet<(Duration, AttemptId)>,
    progress_due: BTreeSet<(u64, AttemptId)>,
    clock: u64,
    advanced_at: Duration,
    cache: VecDeque<u64>,
    /// Prefixes that entered (`true`) or left (`false`) the cache and are not yet reported.
    pub cache_changes: Vec<(u64, bool)>,
}

impl FakeEngine {
    /// Creates an idle engine that is up and has an empty cache.
    pub fn new(shape: EngineShape) -> Self {
        Self {
            shape,
            up: true,
            slowdown: 1.0,
            runs: BTreeMap::new(),
            prefill_costs: BTreeMap::new(),
            queue: VecDeque::new(),
            prefills: BTreeSet::new(),
            progress_due: BTreeSet::new(),
            clock: 0,
            advanced_at: Duration::ZERO,
            cache: VecDeque::new(),
            cache_changes: Vec::new(),
        }
    }

    /// Returns the size and speed of the engine.
    pub fn shape(&self) -> &EngineShape {
        &self.shape
    }

    /// Returns whether the engine is up and faster than a third of its usual speed.
    pub fn is_healthy(&self) -> bool {
        self.up && self.slowdown < 3.0
    }

    /// Returns the slowdown relative to the usual speed; infinite while the engine hangs.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Returns the numbers of running requests and of requests in the internal queue.
    pub fn load(&self) -> (u32, u32) {
        (self.runs.len() as u32, self.queue.len() as u32)
    }

    /// Returns the running attempts, without those in the internal queue.
    pub fn running(&self) -> impl Iterator<Item = AttemptId> + '_ {
        self.runs.keys().copied()
    }

    fn rate(&self) -> f64 {
        let step = self.shape.step_at(self.runs.len()) * self.slowdown;
        TICKS_PER_TOKEN / step
    }

    fn advance(&mut self, now: Duration) {
        let time = now.saturating_sub(self.advanced_at).as_secs_f64();
        self.advanced_at = now;
        if self.slowdown.is_finite() {
            self.clock += (time * self.rate()).round() as u64;
        }
    }

    /// Returns the time of the next event, or `None` if the engine is idle or hangs.
    pub fn next_event(&self) -> Option<Duration> {
        if !self.slowdown.is_finite() {
            return None;
        }
        let ready = self.prefills.first().map(|(at, _)| *at);
        let progress = self.progress_due.first().map(|(due, _)| {
            let ticks = due.saturating_sub(self.clock) as f64;
            self.advanced_at
                + Duration::from_secs_f64(ticks / self.rate())
                + Duration::from_nanos(1)
        });
        match (ready, progress) {
            (Some(ready), Some(progress)) => Some(ready.min(progress)),
            (ready, progress) => ready.or(progress),
        }
    }

    /// Accepts a request whose complete answer has `output` tokens; queues it if all slots are in
    /// use.
    pub fn start(&mut self, now: Duration, start: AttemptStart, output: u32) {
        self.advance(now);
        if self.runs.len() >= self.shape.slots as usize {
            self.queue.push_back((start, output));
            return;
        }
        self.start_run(now, start, output);
    }

    fn start_run(&mut self, now: Duration, start: AttemptStart, output: u32) {
        let spec = &start.work.spec;
        let attempt = start.work.attempt;
        let mut prompt = f64::from(spec.prompt_tokens + start.work.resume_from);
        if self.use_prefix(spec.prefix) {
            prompt *= CACHED_PREFILL_SHARE;
        }
        let slowdown = if self.slowdown.is_finite() {
            self.slowdown
        } else {
            1e6
        };
        let prefill = prompt / self.shape.prefill_rate;
        let ready = now + Duration::from_secs_f64(prefill * slowdown);
        let run = EngineRun {
            output: output.saturating_sub(start.work.resume_from).max(1),
            decode_start: None,
            next_tokens: 1,
            due: 0,
            ready,
        };
        self.prefills.insert((ready, attempt));
        self.runs.insert(attempt, run);
        self.prefill_costs.insert(attempt, prefill);
    }

    fn use_prefix(&mut self, prefix: u64) -> bool {
        if prefix == 0 || self.shape.cached_prefixes == 0 {
            return false;
        }
        let before = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(index) = before {
            self.cache.remove(index);
        } else {
            self.cache_changes.push((prefix, true));
        }
        self.cache.push_back(prefix);
        if self.cache.len() > self.shape.cached_prefixes
            && let Some(evicted) = self.cache.pop_front()
        {
            self.cache_changes.push((evicted, false));
        }
        before.is_some()
    }

    /// Advances the engine to `now` and returns the events that were due.
    pub fn events(&mut self, now: Duration) -> Vec<EngineEvent> {
        self.advance(now);
        while let Some((at, attempt)) = self.prefills.first().copied() {
            if at > now {
                break;
            }
            self.prefills.pop_first();
            if let Some(run) = self.runs.get_mut(&attempt) {
                run.decode_start = Some(self.clock);
                run.due = self.clock + TICKS_PER_TOKEN as u64;
                self.progress_due.insert((run.due, attempt));
            }
        }
        let mut events = Vec::new();
        while let Some((due, attempt)) = self.progress_due.first().copied() {
            if due > self.clock {
                break;
            }
            self.progress_due.pop_first();
            self.emit_progress(attempt, &mut events);
        }
        events
    }

    fn emit_progress(&mut self, attempt: AttemptId, events: &mut Vec<EngineEvent>) {
        let Some(run) = self.runs.get_mut(&attempt) else {
            return;
        };
        let Some(start) = run.decode_start else {
            return;
        };
        let tokens = run.next_tokens;
        if tokens >= run.output {
            events.push(EngineEvent::Done(attempt, run.output));
            return;
        }
        events.push(EngineEvent::Progress(attempt, tokens));
        run.next_tokens = (tokens + PROGRESS_INTERVAL - tokens % PROGRESS_INTERVAL).min(run.output);
        run.due = start + (f64::from(run.next_tokens) * TICKS_PER_TOKEN) as u64;
        self.progress_due.insert((run.due, attempt));
    }

    /// Removes a request, finished or not, and returns its cost; zero if it was only queued.
    pub fn remove(&mut self, now: Duration, attempt: AttemptId) -> RunCost {
        self.advance(now);
        let Some(run) = self.runs.remove(&attempt) else {
            self.queue
                .retain(|(start, _)| start.work.attempt != attempt);
            return RunCost::default();
        };
        let mut prefill = self.prefill_costs.remove(&attempt).unwrap_or_default();
        self.prefills.remove(&(run.ready, attempt));
        self.progress_due.remove(&(run.due, attempt));
        let decoded = run.decode_start.map_or(0, |start| self.clock - start);
        let tokens = ((decoded as f64 / TICKS_PER_TOKEN) as u32).min(run.output);
        if run.decode_start.is_none() {
            let remaining = run.ready.saturating_sub(now).as_secs_f64();
            prefill = (prefill - remaining).max(0.0);
        }
        if let Some((start, output)) = self.queue.pop_front() {
            self.start_run(now, start, output);
        }
        RunCost {
            tokens,
            prefill,
            total: prefill + f64::from(tokens) * self.shape.full_step(),
        }
    }

    /// Returns the running attempts and those in the internal queue.
    pub fn attempts(&self) -> Vec<AttemptId> {
        let waiting = self.queue.iter().map(|(start, _)| start.work.attempt);
        self.runs.keys().copied().chain(waiting).collect()
    }

    /// Sets the slowdown; infinite makes the engine hang.
    pub fn set_slowdown(&mut self, now: Duration, slowdown: f64) {
        self.advance(now);
        let was_hanging = !self.slowdown.is_finite();
        self.slowdown = slowdown;
        if was_hanging {
            for (_, attempt) in std::mem::take(&mut self.prefills) {
                if let Some(run) = self.runs.get_mut(&attempt) {
                    run.ready = now;
                    self.prefills.insert((now, attempt));
                }
            }
        }
    }

    /// Empties the prefix cache and drops changes that are not yet reported.
    pub fn clear_cache(&mut self) {
        self.cache.clear();
        self.cache_changes.clear();
    }
}
