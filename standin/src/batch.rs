//! Continuous batching: requests share the engine's slots and get one token per step.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use crate::cache::PrefixCache;
use crate::report::LoadHistory;
use crate::runs::{RunEnd, RunLog};

/// A request to generate tokens.
pub(crate) struct BatchJob {
    /// Identifier of the request.
    pub(crate) request: Box<str>,
    /// Text by which the prefix cache is looked up.
    pub(crate) cache_text: Box<str>,
    /// Hash of the prompt.
    pub(crate) prompt_hash: u64,
    /// Size of the prompt and of the skipped part of the answer, in tokens.
    pub(crate) context_tokens: u32,
    /// Index of the first requested token.
    pub(crate) from: u32,
    /// Index after the last requested token.
    pub(crate) to: u32,
    /// Priority; requests with a lower value get a slot first.
    pub(crate) priority: i64,
    /// Receives the index of each token when it is generated.
    pub(crate) tokens: UnboundedSender<u32>,
}

struct RunningJob {
    run: usize,
    next: u32,
    to: u32,
    ready_at: Instant,
    tokens: UnboundedSender<u32>,
    crash_at: Option<u32>,
}

/// Capacity and speed of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchSpeed {
    /// Maximum number of requests that run at the same time.
    pub(crate) slots: usize,
    /// Maximum number of queued requests.
    pub(crate) queue: usize,
    /// Duration of a step with one request.
    pub(crate) step: Duration,
    /// Additional duration of a step for each further request.
    pub(crate) step_per_job: Duration,
    /// Prefill time of each prompt token that is not cached.
    pub(crate) prefill_per_token: Duration,
}

/// Error of a request that is rejected because the queue is full.
#[derive(Debug)]
pub(crate) struct QueueFull;

/// Queued and running requests of an engine.
pub(crate) struct Batch {
    speed: BatchSpeed,
    sequence: u64,
    waiting: BTreeMap<(i64, u64), BatchJob>,
    running: BTreeMap<u64, RunningJob>,
    /// Crash once the next request that gets a slot has this many tokens; `None` for no crash.
    pub(crate) crash_after: Option<u32>,
    crashing: bool,
    /// The prefix cache.
    pub(crate) cache: PrefixCache,
    /// Runs so far.
    pub(crate) run_log: RunLog,
    /// Load over time.
    pub(crate) history: LoadHistory,
}

impl Batch {
    /// Creates an engine without requests.
    pub(crate) fn new(speed: BatchSpeed, cache: PrefixCache) -> Self {
        Self {
            speed,
            sequence: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            crash_after: None,
            crashing: false,
            cache,
            run_log: RunLog::default(),
            history: LoadHistory::default(),
        }
    }

    /// Whether no request is queued or running.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Queues a request and returns the number by which it can be cancelled.
    pub(crate) fn submit(&mut self, job: BatchJob, now: Instant) -> Result<u64, QueueFull> {
        let free = self.speed.slots.saturating_sub(self.running.len());
        if self.waiting.len() >= free + self.speed.queue {
            return Err(QueueFull);
        }
        self.sequence += 1;
        self.waiting.insert((job.priority, self.sequence), job);
        self.admit(now);
        Ok(self.sequence)
    }

    /// Ends a request whose caller has disconnected. Has no effect if it has ended.
    pub(crate) fn cancel(&mut self, number: u64, now: Instant) {
        self.waiting.retain(|(_, sequence), _| *sequence != number);
        if let Some(job) = self.running.remove(&number) {
            let end = if self.crashing {
                RunEnd::Broken
            } else {
                RunEnd::Cancelled
            };
            self.run_log.end(job.run, end);
        }
        self.admit(now);
    }

    /// Starts a crash: requests whose connections close from now on are counted as broken.
    pub(crate) fn begin_crash(&mut self) {
        self.crashing = true;
    }

    /// Ends all requests and clears the prefix cache, as a crash does.
    pub(crate) fn break_all(&mut self, now: Instant) {
        self.waiting.clear();
        for job in std::mem::take(&mut self.running).into_values() {
            self.run_log.end(job.run, RunEnd::Broken);
        }
        self.crash_after = None;
        self.crashing = false;
        self.cache.clear();
        self.record_load(now);
    }

    /// Duration of the next step.
    pub(crate) fn step_time(&self) -> Duration {
        let others = u32::try_from(self.running.len().saturating_sub(1)).unwrap_or(u32::MAX);
        self.speed.step + self.speed.step_per_job * others
    }

    /// Ends a step: each request whose prefill is done gets a token. Returns whether the engine has to
    /// crash now.
    pub(crate) fn step(&mut self, now: Instant) -> bool {
        let mut done = Vec::new();
        let mut crash = false;
        for (number, job) in &mut self.running {
            if job.ready_at > now {
                continue;
            }
            if job.crash_at.is_some_and(|at| job.next >= at) {
                crash = true;
                continue;
            }
            // Sending fails if the caller has disconnected; its request is cancelled separately.
            let _ = job.tokens.send(job.next);
            self.run_log.token(job.run);
            job.next += 1;
            if job.next >= job.to {
                done.push(*number);
            }
        }
        for number in done {
            if let Some(job) = self.running.remove(&number) {
                self.run_log.end(job.run, RunEnd::Finished);
            }
        }
        self.admit(now);
        crash
    }

    fn admit(&mut self, now: Instant) {
        while self.running.len() < self.speed.slots {
            let Some(((_, number), job)) = self.waiting.pop_first() else {
                break;
            };
            self.start(number, job, now);
        }
        self.record_load(now);
    }

    fn start(&mut self, number: u64, job: BatchJob, now: Instant) {
        let cached = self.cache.insert(&job.cache_text, now);
        let uncached = job.context_tokens.saturating_sub(cached);
        let run = self.run_log.start(job.request, job.prompt_hash, job.from);
        self.run_log.prefill(uncached, cached);
        let running = RunningJob {
            run,
            next: job.from,
            to: job.to,
            ready_at: now + self.speed.prefill_per_token * uncached,
            tokens: job.tokens,
            crash_at: self.crash_after.take().map(|tokens| job.from + tokens),
        };
        self.running.insert(number, running);
    }

    fn record_load(&mut self, now: Instant) {
        self.history
            .record(self.running.len(), self.waiting.len(), now);
    }
}
