//! Continuous batching: requests share the engine's slots and get one token a step.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use crate::cache::PrefixCache;
use crate::report::LoadHistory;
use crate::runs::{RunEnd, RunLog};

/// A request that wants tokens.
pub(crate) struct BatchJob {
    /// The request's identifier.
    pub(crate) request: Box<str>,
    /// The text that the prefix cache goes by.
    pub(crate) cache_text: Box<str>,
    /// Hash of the prompt.
    pub(crate) prompt_hash: u64,
    /// Size of the prompt and of the tokens skipped, in tokens.
    pub(crate) context_tokens: u32,
    /// Index of the first token wanted.
    pub(crate) from: u32,
    /// Index after the last token wanted.
    pub(crate) to: u32,
    /// Lower goes first.
    pub(crate) priority: i64,
    /// Gets the index of each token as it is made.
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

/// Speeds of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BatchSpeed {
    /// Requests at a time.
    pub(crate) slots: usize,
    /// Requests that may wait.
    pub(crate) queue: usize,
    /// A step with one request.
    pub(crate) step: Duration,
    /// What each further request adds to a step.
    pub(crate) step_per_job: Duration,
    /// Time for each prompt token that is not cached.
    pub(crate) prefill_per_token: Duration,
}

/// The queue is full.
#[derive(Debug)]
pub(crate) struct QueueFull;

/// An engine's requests: waiting and in slots.
pub(crate) struct Batch {
    speed: BatchSpeed,
    sequence: u64,
    waiting: BTreeMap<(i64, u64), BatchJob>,
    running: BTreeMap<u64, RunningJob>,
    /// Crash when the next request to get a slot has this many tokens.
    pub(crate) crash_after: Option<u32>,
    crashing: bool,
    /// The prefix cache.
    pub(crate) cache: PrefixCache,
    /// What ran.
    pub(crate) book: RunLog,
    /// The load over time.
    pub(crate) history: LoadHistory,
}

impl Batch {
    /// An empty engine.
    pub(crate) fn new(speed: BatchSpeed, cache: PrefixCache) -> Self {
        Self {
            speed,
            sequence: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            crash_after: None,
            crashing: false,
            cache,
            book: RunLog::default(),
            history: LoadHistory::default(),
        }
    }

    /// Whether there is nothing to do.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Queues a request and gives the number by which it can be cancelled.
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

    /// Ends a request whose caller left; does nothing when it is over.
    pub(crate) fn cancel(&mut self, number: u64, now: Instant) {
        self.waiting.retain(|(_, sequence), _| *sequence != number);
        if let Some(job) = self.running.remove(&number) {
            let end = if self.crashing {
                RunEnd::Broken
            } else {
                RunEnd::Cancelled
            };
            self.book.end(job.run, end);
        }
        self.admit(now);
    }

    /// A crash begins: connections that drop from here on drop because of it.
    pub(crate) fn begin_crash(&mut self) {
        self.crashing = true;
    }

    /// Ends everything, as a crash does.
    pub(crate) fn break_all(&mut self, now: Instant) {
        self.waiting.clear();
        for job in std::mem::take(&mut self.running).into_values() {
            self.book.end(job.run, RunEnd::Broken);
        }
        self.crash_after = None;
        self.crashing = false;
        self.cache.clear();
        self.record_load(now);
    }

    /// How long the next step takes.
    pub(crate) fn step_time(&self) -> Duration {
        let others = u32::try_from(self.running.len().saturating_sub(1)).unwrap_or(u32::MAX);
        self.speed.step + self.speed.step_per_job * others
    }

    /// Ends a step: each request that is past its prompt gets a token. Tells whether the engine is
    /// to crash now.
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
            // A caller that is gone is found by its cancellation.
            let _ = job.tokens.send(job.next);
            self.book.token(job.run);
            job.next += 1;
            if job.next >= job.to {
                done.push(*number);
            }
        }
        for number in done {
            if let Some(job) = self.running.remove(&number) {
                self.book.end(job.run, RunEnd::Finished);
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
            self.place(number, job, now);
        }
        self.record_load(now);
    }

    fn place(&mut self, number: u64, job: BatchJob, now: Instant) {
        let cached = self.cache.enter(&job.cache_text, now);
        let worked = job.context_tokens.saturating_sub(cached);
        let run = self.book.start(job.request, job.prompt_hash, job.from);
        self.book.prefill(worked, cached);
        let running = RunningJob {
            run,
            next: job.from,
            to: job.to,
            ready_at: now + self.speed.prefill_per_token * worked,
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
