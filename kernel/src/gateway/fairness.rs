//! Fair shares of a full pool between workspaces, for loads in which one workspace sends many times
//! its usual.
//!
//! Each node counts the slot time that its calls take at a pool, by workspace, and forgets half of
//! it every two seconds. Heartbeats carry the largest counts, so that all nodes order their waiting
//! calls by the same use of the whole fleet.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::gateway::heartbeat;

/// Time in which half of a use is forgotten: about as long as a long answer holds a slot, and less
/// than callers wait before they return.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Time after which another node's report expires; an eighth of it still counts then.
const REPORT_TTL: Duration = Duration::from_secs(6);
/// Number of pools in a heartbeat, and of workspaces of each that are reported by name: at most 12
/// reports of 17 bytes with those on all others.
const REPORTED_POOLS: usize = 2;
const REPORTED_WORKSPACES: usize = 5;
/// Number of reports that are accepted from one node.
const MAX_REPORTS: usize = REPORTED_POOLS * (REPORTED_WORKSPACES + 1);
/// Hash that stands for each workspace that a report does not name.
const EACH_OTHER: u64 = 0;
/// Use below which it is forgotten.
const MIN_USE_MS: f64 = 1.0;
/// Factor by which a use may exceed the least one before its calls wait: uses of workspaces with
/// the same load differ by chance, and an order by deadline serves more calls in time.
const LEAD_FACTOR: f64 = 1.1;
/// Use by which it may exceed the least one in any case, in slot ms: about a long answer.
const LEAD_MS: f64 = 2000.0;
/// Factor of its fair share from which a workspace is reported as over it.
const EXCESS_FACTOR: f64 = 1.5;
/// Time without a waiting call over its share after which a workspace counts as within it.
const MARK_TTL: Duration = Duration::from_secs(2);

/// Work of a workspace's calls at a pool, as sent by one node, for its heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct WorkspaceReport {
    /// Short hash of the pool's name.
    pub pool: u64,
    /// Short hash of the workspace's name; 0 for each one that no other report of the pool names.
    pub workspace: u64,
    /// Work in the last seconds, in ms of one slot.
    pub slot_ms: u32,
}

/// A workspace at a pool, by the short hashes of their names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShareKey {
    /// Short hash of the pool's name.
    pub pool: u64,
    /// Short hash of the workspace's name; never 0.
    pub workspace: u64,
}

impl ShareKey {
    /// Key of a workspace at a pool.
    pub fn new(pool: &str, workspace: &str) -> Self {
        Self {
            pool: heartbeat::short_hash(pool),
            workspace: heartbeat::short_hash(workspace).max(EACH_OTHER + 1),
        }
    }
}

/// Use of slots with decay, in ms of one slot.
#[derive(Clone, Copy, Debug, Default)]
struct RecentUse {
    slot_ms: f64,
    at: Duration,
}

impl RecentUse {
    fn left(self, now: Duration) -> f64 {
        self.slot_ms * decay(now.saturating_sub(self.at))
    }

    fn add(&mut self, slot_ms: f64, now: Duration) {
        self.slot_ms = (self.left(now) + slot_ms).max(0.0);
        self.at = now;
    }
}

fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

/// Mean number of slots that a use amounts to.
pub fn slots(slot_ms: f64) -> f64 {
    slot_ms * std::f64::consts::LN_2 / millis(HALF_LIFE)
}

/// Highest use at which a call is not yet behind one of the workspace with this least use.
pub fn lead_limit(least: f64) -> f64 {
    least.mul_add(LEAD_FACTOR, LEAD_MS)
}

/// Whether a use is far above the fair share of the workspaces that wait.
pub fn is_excessive(slot_ms: f64, share: f64) -> bool {
    slot_ms > share.mul_add(EXCESS_FACTOR, LEAD_MS)
}

/// Slot time of one call, charged as expected when it is sent and corrected when it ends.
#[derive(Clone, Copy, Debug)]
pub struct SlotCharge {
    /// Workspace and pool of the call.
    pub key: ShareKey,
    /// Time at which the call was sent.
    pub since: Duration,
    /// Time for which it is expected to hold a slot; zero if unknown.
    pub expected: Duration,
}

/// Reports of another node, and when they were received.
#[derive(Clone, Debug)]
struct NodeReports {
    received: Duration,
    reports: Vec<WorkspaceReport>,
}

/// Recent use of pools by workspaces: of this node's calls, and of all nodes as far as they report.
#[derive(Clone, Debug, Default)]
pub struct ShareLedger {
    own: BTreeMap<ShareKey, RecentUse>,
    others: BTreeMap<Box<str>, NodeReports>,
    /// Sums of all nodes, as of the last refresh and with this node's charges since.
    totals: BTreeMap<ShareKey, RecentUse>,
    /// Sums of what other nodes report of each workspace that they do not name, by pool.
    unnamed: BTreeMap<u64, RecentUse>,
    marks: BTreeMap<ShareKey, Duration>,
}

impl ShareLedger {
    /// Charges a workspace for a call that is sent.
    pub fn begin(&mut self, charge: SlotCharge) {
        self.add(charge.key, millis(charge.expected), charge.since);
    }

    /// Replaces a call's expected slot time by the actual one, as if that had been charged.
    pub fn end(&mut self, charge: SlotCharge, now: Duration) {
        let held = now.saturating_sub(charge.since);
        let error = millis(held) - millis(charge.expected);
        self.add(charge.key, error * decay(held), now);
    }

    fn add(&mut self, key: ShareKey, slot_ms: f64, now: Duration) {
        self.own.entry(key).or_default().add(slot_ms, now);
        let unnamed = self.unnamed(key.pool);
        let total = self.totals.entry(key).or_insert(unnamed);
        total.add(slot_ms, now);
    }

    fn unnamed(&self, pool: u64) -> RecentUse {
        self.unnamed.get(&pool).copied().unwrap_or_default()
    }

    /// Recent use of a pool by a workspace at all nodes, in ms of one slot.
    pub fn slot_ms(&self, key: ShareKey, now: Duration) -> f64 {
        let total = self.totals.get(&key).copied();
        total.unwrap_or_else(|| self.unnamed(key.pool)).left(now)
    }

    /// Records the reports of another node's heartbeat, which replace its previous ones.
    pub fn receive(&mut self, node: &str, reports: &[WorkspaceReport], now: Duration) {
        if reports.is_empty() {
            self.others.remove(node);
            return;
        }
        let reports = reports.iter().take(MAX_REPORTS).copied().collect();
        let received = NodeReports {
            received: now,
            reports,
        };
        self.others.insert(node.into(), received);
    }

    /// Reports of this node's largest uses: for each of the pools with the most use the workspaces
    /// that use it most, and the mean of the others.
    pub fn reports(&self, now: Duration) -> Vec<WorkspaceReport> {
        let mut pools: BTreeMap<u64, Vec<(f64, u64)>> = BTreeMap::new();
        for (key, recent) in &self.own {
            let slot_ms = recent.left(now);
            if slot_ms >= MIN_USE_MS {
                let uses = pools.entry(key.pool).or_default();
                uses.push((slot_ms, key.workspace));
            }
        }
        let mut pools: Vec<(u64, Vec<(f64, u64)>)> = pools.into_iter().collect();
        let sum =
            |uses: &[(f64, u64)]| uses.iter().map(|(slot_ms, _)| *slot_ms as u64).sum::<u64>();
        pools.sort_by_key(|(_, uses)| Reverse(sum(uses)));
        pools.truncate(REPORTED_POOLS);
        let largest = |(pool, uses): (u64, Vec<(f64, u64)>)| largest_reports(pool, uses);
        pools.into_iter().flat_map(largest).collect()
    }

    /// Sums up what all nodes reported, without reports that expired, and forgets small uses.
    pub fn refresh(&mut self, now: Duration) {
        self.own.retain(|_, recent| recent.left(now) >= MIN_USE_MS);
        self.others
            .retain(|_, reports| reports.received + REPORT_TTL > now);
        let mut named: BTreeMap<ShareKey, f64> = BTreeMap::new();
        let mut unnamed: BTreeMap<u64, f64> = BTreeMap::new();
        for (key, recent) in &self.own {
            *named.entry(*key).or_default() += recent.left(now);
        }
        for node in self.others.values() {
            let left = decay(now.saturating_sub(node.received));
            let rest_of = |pool: u64| {
                let mut rests = node
                    .reports
                    .iter()
                    .filter(|report| report.workspace == EACH_OTHER);
                let rest = rests.find(|report| report.pool == pool);
                rest.map_or(0.0, |report| f64::from(report.slot_ms))
            };
            for report in &node.reports {
                let slot_ms = f64::from(report.slot_ms);
                if report.workspace == EACH_OTHER {
                    *unnamed.entry(report.pool).or_default() += slot_ms * left;
                    continue;
                }
                let key = ShareKey {
                    pool: report.pool,
                    workspace: report.workspace,
                };
                // The node's rest is added for every workspace below.
                *named.entry(key).or_default() += (slot_ms - rest_of(report.pool)) * left;
            }
        }
        let recent = |slot_ms: f64| RecentUse { slot_ms, at: now };
        let sum = |(key, slot_ms): (ShareKey, f64)| {
            let rest = unnamed.get(&key.pool).copied().unwrap_or(0.0);
            (key, recent((slot_ms + rest).max(0.0)))
        };
        self.totals = named.into_iter().map(sum).collect();
        let rests = unnamed.iter().map(|(pool, rest)| (*pool, recent(*rest)));
        self.unnamed = rests.collect();
    }

    /// This node's largest uses, in ms of one slot, in descending order.
    pub fn largest(&self, count: usize, now: Duration) -> Vec<(ShareKey, f64)> {
        let uses = self
            .own
            .iter()
            .map(|(key, recent)| (*key, recent.left(now)));
        let mut uses: Vec<(ShareKey, f64)> = uses.collect();
        uses.sort_by(|one, other| other.1.total_cmp(&one.1));
        uses.truncate(count);
        uses
    }

    /// Whether this node's calls of a workspace used a pool recently, or are over their share.
    pub fn is_known(&self, key: ShareKey) -> bool {
        self.own.contains_key(&key) || self.marks.contains_key(&key)
    }

    /// Records that a waiting call of a workspace is over its share. Returns whether that is a
    /// change.
    pub fn mark(&mut self, key: ShareKey, now: Duration) -> bool {
        self.marks.insert(key, now).is_none()
    }

    /// Removes and returns the workspaces that have been within their share for a while.
    pub fn expired_marks(&mut self, now: Duration) -> Vec<ShareKey> {
        let is_over = |_: &ShareKey, at: &mut Duration| *at + MARK_TTL <= now;
        self.marks
            .extract_if(.., is_over)
            .map(|(key, _)| key)
            .collect()
    }
}

fn largest_reports(pool: u64, mut uses: Vec<(f64, u64)>) -> Vec<WorkspaceReport> {
    let report = |(slot_ms, workspace): (f64, u64)| WorkspaceReport {
        pool,
        workspace,
        slot_ms: slot_ms as u32,
    };
    uses.sort_by(|one, other| other.0.total_cmp(&one.0));
    let rest = uses.split_off(uses.len().min(REPORTED_WORKSPACES));
    let sum: f64 = rest.iter().map(|(slot_ms, _)| slot_ms).sum();
    let mean = (!rest.is_empty()).then(|| (sum / rest.len() as f64, EACH_OTHER));
    uses.into_iter().chain(mean).map(report).collect()
}
