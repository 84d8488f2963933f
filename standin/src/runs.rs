//! Runs of an engine, counted by the engine itself and independently of the router.

use std::collections::BTreeMap;

use serde::Serialize;

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The run occupies a slot.
    Running,
    /// All tokens were generated.
    Finished,
    /// The caller closed the connection before the end.
    Cancelled,
    /// The engine crashed during the run.
    Broken,
}

/// A run: a request that got a slot.
#[derive(Clone, Debug, Serialize)]
pub struct RunRecord {
    /// Value of the request's `x-request-id` header; empty if it had none.
    pub request: Box<str>,
    /// Hash of the prompt, see [`crate::answer::prompt_hash`].
    pub prompt: u64,
    /// Index of the first requested token; above 0 if an answer was resumed.
    pub resumed_from: u32,
    /// Number of tokens generated in this run.
    pub tokens: u32,
    /// State of the run.
    pub end: RunEnd,
}

/// Totals over an engine's runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RunTotals {
    /// Number of runs started.
    pub started: u64,
    /// Number of runs that generated all tokens.
    pub finished: u64,
    /// Number of runs whose caller disconnected.
    pub cancelled: u64,
    /// Number of runs that a crash ended.
    pub broken: u64,
    /// Number of requests refused without a run.
    pub refused: u64,
    /// Number of tokens generated.
    pub tokens: u64,
    /// Number of tokens generated in finished runs.
    pub finished_tokens: u64,
    /// Number of tokens generated in runs whose caller disconnected.
    pub cancelled_tokens: u64,
    /// Number of tokens generated in runs that a crash ended.
    pub broken_tokens: u64,
    /// Number of prompt tokens that needed prefill.
    pub prefill_tokens: u64,
    /// Number of prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
}

impl RunTotals {
    /// Number of runs that occupy a slot now.
    pub fn running(&self) -> u64 {
        self.started - self.finished - self.cancelled - self.broken
    }
}

/// Runs of one engine and their totals.
#[derive(Debug, Default)]
pub(crate) struct RunLog {
    records: Vec<RunRecord>,
    totals: RunTotals,
}

/// Answer to `GET /runs`.
#[derive(Debug, Serialize)]
pub(crate) struct RunPage {
    totals: RunTotals,
    by_request: BTreeMap<Box<str>, u32>,
    by_prompt: BTreeMap<String, u32>,
}

impl RunLog {
    /// Records a new run and returns its index.
    pub(crate) fn start(&mut self, request: Box<str>, prompt: u64, resumed_from: u32) -> usize {
        self.totals.started += 1;
        self.records.push(RunRecord {
            request,
            prompt,
            resumed_from,
            tokens: 0,
            end: RunEnd::Running,
        });
        self.records.len() - 1
    }

    /// Records the prefill of a run: the prompt tokens processed and those found in the cache.
    pub(crate) fn prefill(&mut self, uncached: u32, cached: u32) {
        self.totals.prefill_tokens += u64::from(uncached);
        self.totals.cached_tokens += u64::from(cached);
    }

    /// Records a generated token.
    pub(crate) fn token(&mut self, run: usize) {
        self.records[run].tokens += 1;
        self.totals.tokens += 1;
    }

    /// Records the end of a run.
    pub(crate) fn end(&mut self, run: usize, end: RunEnd) {
        let record = &mut self.records[run];
        record.end = end;
        let tokens = u64::from(record.tokens);
        let totals = &mut self.totals;
        match end {
            RunEnd::Running => {}
            RunEnd::Finished => {
                totals.finished += 1;
                totals.finished_tokens += tokens;
            }
            RunEnd::Cancelled => {
                totals.cancelled += 1;
                totals.cancelled_tokens += tokens;
            }
            RunEnd::Broken => {
                totals.broken += 1;
                totals.broken_tokens += tokens;
            }
        }
    }

    /// Records a refused request.
    pub(crate) fn refuse(&mut self) {
        self.totals.refused += 1;
    }

    /// Totals over all runs so far.
    pub(crate) fn totals(&self) -> RunTotals {
        self.totals
    }

    /// All runs so far.
    pub(crate) fn records(&self) -> &[RunRecord] {
        &self.records
    }

    /// Totals, and the number of runs by request and by prompt.
    pub(crate) fn page(&self) -> RunPage {
        let mut by_request = BTreeMap::new();
        let mut by_prompt = BTreeMap::new();
        for record in &self.records {
            *by_request.entry(record.request.clone()).or_default() += 1;
            *by_prompt
                .entry(format!("{:016x}", record.prompt))
                .or_default() += 1;
        }
        RunPage {
            totals: self.totals,
            by_request,
            by_prompt,
        }
    }
}
