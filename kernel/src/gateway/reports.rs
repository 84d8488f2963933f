//! Usage reports: which windows the holder of that duty persists, and which it sends.
//!
//! A window's counts are appended to the log before they are sent and never counted again after
//! that, so every report of a window has the same content, whichever node sends it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::usage::{UsageLedger, WorkspaceCounts};

/// Time for which a new holder collects counts before it treats them as complete: nodes learn of it
/// within a second and send all their counts in the next.
const COLLECT_TIME: Duration = Duration::from_secs(2);
/// Delay between two attempts to send a report.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A window whose counts are in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
struct WrittenWindow {
    counts: WorkspaceCounts,
    accepted: bool,
    send_at: Duration,
}

/// A window whose counts are final.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinalWindow {
    /// Number of the window, counted from 1970.
    pub window: u64,
    /// Calls that began in it, by workspace.
    pub counts: WorkspaceCounts,
}

/// Moment of a check for due reports, in time since 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportMoment {
    /// Time of the check, as agreed by the fleet.
    pub now: Duration,
    /// Time from which on nodes may know that this one is the holder.
    pub held_since: Duration,
    /// First window whose usage no earlier era of the log can have reported.
    pub first_window: u64,
}

/// Windows in the log and the state of their reports.
#[derive(Clone, Debug)]
pub struct UsageReports {
    late: Duration,
    windows: BTreeMap<u64, WrittenWindow>,
    missed: u64,
}

impl UsageReports {
    /// Creates an empty list. A report is due `late` after its window's end.
    pub fn new(late: Duration) -> Self {
        Self {
            late,
            windows: BTreeMap::new(),
            missed: 0,
        }
    }

    /// Windows that are final and not in the log yet, the oldest first. Windows without calls need
    /// no report and are left out, as are those whose report cannot be in time. There are none
    /// while a new holder still collects counts.
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

    /// Whether a window's report can still be in time.
    pub fn is_due(&self, ledger: &UsageLedger, window: u64, now: Duration) -> bool {
        now < ledger.end(window) + self.late
    }

    /// Records that a window's counts are in the log: read from it, or appended and acknowledged.
    pub fn written(&mut self, last: FinalWindow) {
        self.windows.entry(last.window).or_insert(WrittenWindow {
            counts: last.counts,
            accepted: false,
            send_at: Duration::ZERO,
        });
    }

    /// Oldest window whose report is due; `None` if none is, or all were tried a moment ago.
    pub fn to_send(&self, now: Duration) -> Option<FinalWindow> {
        let mut windows = self.windows.iter();
        let due = windows.find(|(_, written)| !written.accepted && now >= written.send_at);
        due.map(|(window, written)| FinalWindow {
            window: *window,
            counts: written.counts.clone(),
        })
    }

    /// Records that the platform accepted a window's report.
    pub fn accepted(&mut self, window: u64) {
        if let Some(written) = self.windows.get_mut(&window) {
            written.accepted = true;
        }
    }

    /// Records that a report was rejected or not acknowledged; it is sent again after a delay.
    pub fn unanswered(&mut self, window: u64, now: Duration) {
        if let Some(written) = self.windows.get_mut(&window) {
            written.send_at = now + RETRY_INTERVAL;
        }
    }

    /// Newest window in the log; 0 if there is none. All windows up to it are in the log or past
    /// their time, so nodes need not send their counts again.
    pub fn written_through(&self) -> u64 {
        self.windows.keys().next_back().copied().unwrap_or(0)
    }

    /// Removes windows that ended longer ago than twice the time for a report. Returns those that
    /// were not accepted.
    pub fn expire(&mut self, ledger: &UsageLedger, now: Duration) -> Vec<u64> {
        let late = self.late;
        let mut missed = Vec::new();
        self.windows.retain(|window, written| {
            let is_retained = now < ledger.end(*window) + late * 2;
            if !is_retained && !written.accepted {
                missed.push(*window);
            }
            is_retained
        });
        self.missed += missed.len() as u64;
        missed
    }

    /// Number of reports that expired without being accepted.
    pub fn missed(&self) -> u64 {
        self.missed
    }
}
