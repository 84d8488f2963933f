//! Reports of usage: which windows the holder of that duty writes down, and which it sends.
//!
//! A window's counts are written to the log before they are sent, and never counted anew after that, so
//! every report of a window has the same content, whoever sends it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::usage::{UsageLedger, WorkspaceCounts};

/// Time for which a new holder collects counts before it takes them for complete: nodes learn of it within
/// a second and send all in the next.
const COLLECT_TIME: Duration = Duration::from_secs(2);
/// Time between two tries to send a report.
const SEND_PAUSE: Duration = Duration::from_millis(500);

/// A window whose counts stand in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
struct WrittenWindow {
    counts: WorkspaceCounts,
    accepted: bool,
    send_at: Duration,
}

/// A window whose counts are final.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalWindow {
    /// The window's number.
    pub window: u64,
    /// Calls that began in it.
    pub counts: WorkspaceCounts,
}

/// When the holder looks at what is due, in time since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportMoment {
    /// Now.
    pub now: Duration,
    /// Since when nodes may know that this one holds the duty.
    pub held_since: Duration,
    /// The first window whose usage no earlier era of the log can have reported.
    pub first_window: u64,
}

/// Windows that are written, and what became of their reports.
#[derive(Clone, Debug)]
pub struct UsageReports {
    late: Duration,
    windows: BTreeMap<u64, WrittenWindow>,
    missed: u64,
}

impl UsageReports {
    /// None yet. A report is due `late` after its window's end.
    pub fn new(late: Duration) -> Self {
        Self {
            late,
            windows: BTreeMap::new(),
            missed: 0,
        }
    }

    /// Windows that are final and not written yet, the oldest first. One without calls needs no report.
    pub fn to_write(&self, ledger: &UsageLedger, moment: ReportMoment) -> Vec<FinalWindow> {
        let now = moment.now;
        if now < moment.held_since + COLLECT_TIME {
            return Vec::new();
        }
        let oldest = ledger.window(now.saturating_sub(self.late));
        let windows = oldest.max(moment.first_window)..ledger.window(now);
        windows
            .filter(|window| !self.windows.contains_key(window))
            .filter(|window| ledger.is_settled(*window, now))
            .map(|window| FinalWindow {
                window,
                counts: ledger.total(window),
            })
            .filter(|last| !last.counts.is_empty())
            .collect()
    }

    /// Whether a report can still be in time.
    pub fn is_due(&self, ledger: &UsageLedger, window: u64, now: Duration) -> bool {
        now < ledger.end(window) + self.late
    }

    /// These counts of a window stand in the log: read there, or acknowledged.
    pub fn written(&mut self, last: FinalWindow) {
        self.windows.entry(last.window).or_insert(WrittenWindow {
            counts: last.counts,
            accepted: false,
            send_at: Duration::ZERO,
        });
    }

    /// The oldest window whose report is due, and when no earlier try is a moment ago.
    pub fn to_send(&self, now: Duration) -> Option<FinalWindow> {
        let mut windows = self.windows.iter();
        let due = windows.find(|(_, written)| !written.accepted && now >= written.send_at);
        due.map(|(window, written)| FinalWindow {
            window: *window,
            counts: written.counts.clone(),
        })
    }

    /// The platform accepted a window's report.
    pub fn accepted(&mut self, window: u64) {
        if let Some(written) = self.windows.get_mut(&window) {
            written.accepted = true;
        }
    }

    /// A report was not accepted, or is not known to be.
    pub fn unanswered(&mut self, window: u64, now: Duration) {
        if let Some(written) = self.windows.get_mut(&window) {
            written.send_at = now + SEND_PAUSE;
        }
    }

    /// Every window up to this one is written or past its time: nodes need not send them again.
    pub fn written_through(&self) -> u64 {
        self.windows.keys().next_back().copied().unwrap_or(0)
    }

    /// Forgets windows whose reports are past their time. Gives those that were not accepted.
    pub fn forget(&mut self, ledger: &UsageLedger, now: Duration) -> Vec<u64> {
        let late = self.late;
        let mut missed = Vec::new();
        self.windows.retain(|window, written| {
            let is_kept = now < ledger.end(*window) + late * 2;
            if !is_kept && !written.accepted {
                missed.push(*window);
            }
            is_kept
        });
        self.missed += missed.len() as u64;
        missed
    }

    /// Reports that were never accepted.
    pub fn missed(&self) -> u64 {
        self.missed
    }
}
