//! Counts of calls that upstreams began for each workspace, by windows of the fleet's common time.
//!
//! Counts only increase, and a report never replaces a larger count: lost, duplicate and reordered
//! reports do no harm.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// Number of calls by workspace.
pub type WorkspaceCounts = BTreeMap<Box<str>, u64>;

/// Time after a window's end at which its counts are final if every node has reported since: nodes
/// report five times a second, and the first event of a call arrives up to some 0.1 s after the
/// call began.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time after a window's end at which its counts are final even if some nodes have not reported: a
/// node may have stopped for good.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(4);
/// Number of windows for which counts are retained.
const RETAINED_WINDOWS: u64 = 6;

/// A node's report of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct WindowUsage {
    /// Number of the window, counted from 1970.
    pub window: u64,
    /// Number of calls by workspace, of some or all workspaces.
    pub counts: Vec<(Box<str>, u64)>,
}

/// Counts of this node and of others.
#[derive(Clone, Debug)]
pub struct UsageLedger {
    length: Duration,
    own: BTreeMap<u64, WorkspaceCounts>,
    remote: BTreeMap<u64, BTreeMap<u64, WorkspaceCounts>>,
    updated_at: BTreeMap<u64, Duration>,
}

impl UsageLedger {
    /// Creates an empty ledger for windows of this length.
    pub fn new(length: Duration) -> Self {
        Self {
            length: length.max(Duration::from_millis(1)),
            own: BTreeMap::new(),
            remote: BTreeMap::new(),
            updated_at: BTreeMap::new(),
        }
    }

    /// Number of the window that contains a time since 1970.
    pub fn window(&self, at: Duration) -> u64 {
        u64::try_from(at.as_nanos() / self.length.as_nanos()).unwrap_or(u64::MAX)
    }

    /// End of a window, in time since 1970.
    pub fn end(&self, window: u64) -> Duration {
        let seconds = self.length.as_secs_f64() * (window as f64 + 1.0);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Counts a call that an upstream began at this time since 1970.
    pub fn count(&mut self, workspace: &str, at: Duration) {
        let counts = self.own.entry(self.window(at)).or_default();
        match counts.get_mut(workspace) {
            Some(count) => *count += 1,
            None => {
                counts.insert(workspace.into(), 1);
            }
        }
    }

    /// This node's counts in windows after `window`.
    pub fn own_after(&self, window: u64) -> impl Iterator<Item = (u64, &WorkspaceCounts)> {
        let own = self.own.range(window.saturating_add(1)..);
        own.map(|(window, counts)| (*window, counts))
    }

    /// Merges a report by the run `source` of another node, received at this time since 1970.
    /// Windows far from it are ignored, so that a report cannot increase memory use without bound.
    pub fn merge(&mut self, source: u64, usage: Vec<WindowUsage>, at: Duration) {
        self.updated_at.insert(source, at);
        let newest = self.window(at) + 1;
        let oldest = newest.saturating_sub(RETAINED_WINDOWS);
        let is_retained = |usage: &WindowUsage| (oldest..=newest).contains(&usage.window);
        for WindowUsage { window, counts } in usage.into_iter().filter(is_retained) {
            let sources = self.remote.entry(window).or_default();
            let known = sources.entry(source).or_default();
            for (workspace, count) in counts {
                let known = known.entry(workspace).or_default();
                *known = count.max(*known);
            }
        }
    }

    /// Number of calls by workspace that all nodes have reported for a window.
    pub fn total(&self, window: u64) -> WorkspaceCounts {
        let remote = self
            .remote
            .get(&window)
            .into_iter()
            .flat_map(BTreeMap::values);
        let mut total = WorkspaceCounts::new();
        for counts in remote.chain(self.own.get(&window)) {
            for (workspace, count) in counts {
                *total.entry(workspace.clone()).or_default() += count;
            }
        }
        total
    }

    /// Whether a window's counts are final at a time since 1970.
    pub fn is_settled(&self, window: u64, at: Duration) -> bool {
        let end = self.end(window);
        if at < end + SETTLE_TIME {
            return false;
        }
        let earliest = end.saturating_sub(self.length);
        let mut awaited = self
            .updated_at
            .values()
            .filter(|updated| **updated >= earliest);
        at >= end + MAX_SETTLE_TIME || awaited.all(|updated| *updated >= end)
    }

    /// Age of the oldest report that counts for a window, at a time since 1970; zero without any.
    pub fn oldest_input(&self, window: u64, at: Duration) -> Duration {
        let sources = self
            .remote
            .get(&window)
            .into_iter()
            .flat_map(BTreeMap::keys);
        let updates = sources.filter_map(|source| self.updated_at.get(source));
        at.saturating_sub(updates.copied().min().unwrap_or(at))
    }

    /// Removes windows that ended long before a time since 1970.
    pub fn expire(&mut self, at: Duration) {
        let first = self.window(at).saturating_sub(RETAINED_WINDOWS);
        self.own = self.own.split_off(&first);
        self.remote = self.remote.split_off(&first);
        let oldest = at.saturating_sub(self.length * RETAINED_WINDOWS as u32);
        self.updated_at.retain(|_, updated| *updated >= oldest);
    }
}
