//! What an engine ran, counted by the engine itself and independent of the router.

use std::collections::BTreeMap;

use serde::Serialize;

/// How a run ended, or that it has not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// It is in a slot.
    Running,
    /// Every token was made.
    Finished,
    /// The caller closed the connection.
    Cancelled,
    /// The engine crashed.
    Broken,
}

/// One run: a request that got a slot.
#[derive(Clone, Debug, Serialize)]
pub struct RunRecord {
    /// The request's `x-request-id`; empty when it had none.
    pub request: Box<str>,
    /// Hash of the prompt, see [`crate::answer::prompt_hash`].
    pub prompt: u64,
    /// The index of the first token that was wanted.
    pub resumed_from: u32,
    /// Tokens made in this run.
    pub tokens: u32,
    /// How it ended.
    pub end: RunEnd,
}

/// Sums over an engine's runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RunTotals {
    /// Runs that got a slot.
    pub started: u64,
    /// Runs that made every token.
    pub finished: u64,
    /// Runs whose caller left.
    pub cancelled: u64,
    /// Runs that a crash ended.
    pub broken: u64,
    /// Requests refused without a run.
    pub refused: u64,
    /// Tokens made.
    pub tokens: u64,
    /// Tokens made in runs that finished.
    pub finished_tokens: u64,
    /// Tokens made in runs whose caller left.
    pub cancelled_tokens: u64,
    /// Tokens made in runs that a crash ended.
    pub broken_tokens: u64,
    /// Prompt tokens worked through.
    pub prefill_tokens: u64,
    /// Prompt tokens that the prefix cache held.
    pub cached_tokens: u64,
}

impl RunTotals {
    /// Runs in slots now.
    pub fn running(&self) -> u64 {
        self.started - self.finished - self.cancelled - self.broken
    }
}

/// The runs of one engine.
#[derive(Debug, Default)]
pub(crate) struct RunLog {
    records: Vec<RunRecord>,
    totals: RunTotals,
}

/// What `GET /runs` shows.
#[derive(Debug, Serialize)]
pub(crate) struct RunPage {
    totals: RunTotals,
    by_request: BTreeMap<Box<str>, u32>,
    by_prompt: BTreeMap<String, u32>,
}

impl RunLog {
    /// A run got a slot; gives its index.
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

    /// A run worked through its prompt.
    pub(crate) fn prefill(&mut self, worked: u32, cached: u32) {
        self.totals.prefill_tokens += u64::from(worked);
        self.totals.cached_tokens += u64::from(cached);
    }

    /// A run made a token.
    pub(crate) fn token(&mut self, run: usize) {
        self.records[run].tokens += 1;
        self.totals.tokens += 1;
    }

    /// A run ended.
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

    /// A request was refused.
    pub(crate) fn refuse(&mut self) {
        self.totals.refused += 1;
    }

    /// The sums.
    pub(crate) fn totals(&self) -> RunTotals {
        self.totals
    }

    /// Every run so far.
    pub(crate) fn records(&self) -> &[RunRecord] {
        &self.records
    }

    /// Runs by request and by prompt.
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
