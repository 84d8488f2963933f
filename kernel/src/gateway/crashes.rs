//! Calls whose content crashes the upstreams that run it.
//!
//! A crash ends every call at the upstream, so a single crash does not show which call caused it.
//! Content that was at three runs of upstreams when they crashed is quarantined: no node sends it
//! any more, except for a few trials that one node makes. Nodes exchange their records and merge
//! them as a union, so reports may arrive late, twice and in any order.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::content::ContentDigest;

/// Number of crashed runs of upstreams at which content is quarantined.
pub const QUARANTINE_CRASHES: usize = 3;
/// Maximum number of runs recorded for each content; further ones would not change any decision.
const MAX_RUNS: usize = 8;
/// Times since the newest crash at which quarantined content is sent once more: if a pool lost all
/// its upstreams at once, harmless calls are quarantined too.
const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(30), Duration::from_mins(5)];
/// Time since the newest crash after which a quarantine ends.
const QUARANTINE_TTL: Duration = Duration::from_hours(1);
/// Time since the newest crash after which a record below the quarantine threshold expires.
const SUSPICION_TTL: Duration = Duration::from_mins(10);
/// Time for which a change is sent in heartbeats: two of the longest intervals between heartbeats.
const UPDATE_TTL: Duration = Duration::from_millis(1500);
/// Maximum number of changes in one heartbeat, some 20 bytes each.
const MAX_UPDATES: usize = 8;
/// Step by which the start of the next heartbeat's changes advances: smaller than `MAX_UPDATES`, as
/// those closest to quarantine are in every heartbeat.
const UPDATE_STEP: usize = MAX_UPDATES / 2;
/// Maximum number of recorded contents.
const MAX_RECORDS: usize = 4096;

/// One node's record of content during whose calls upstreams crashed, as sent to other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct CrashReport {
    /// Digest of the content.
    pub content: ContentDigest,
    /// Number of times that its quarantine was cleared.
    pub round: u32,
    /// Number of trials since the last clearing.
    pub trials: u8,
    /// Hashes of the runs of upstreams that crashed during a call with it since the last clearing.
    pub runs: BTreeSet<u64>,
    /// Time since the newest crash or clearing, in ms.
    pub age_ms: u64,
}

impl CrashReport {
    /// Whether the content is quarantined.
    pub fn is_quarantined(&self) -> bool {
        self.runs.len() >= QUARANTINE_CRASHES
    }
}

/// Effect of a report on this node's records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashChange {
    /// The report contained nothing new, or was too old.
    Unchanged,
    /// The record changed, but the content is admitted or rejected as before.
    Updated,
    /// The content is newly quarantined.
    Quarantined,
    /// The quarantine ended, since a call with the content was answered successfully.
    Cleared,
}

/// Whether a call with given content may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentDecision {
    /// The content is not quarantined; the call may be sent.
    Admitted,
    /// The content is quarantined, and this node may send the call once to test whether it still
    /// causes a crash.
    Trial,
    /// The content is quarantined; the call is rejected.
    Quarantined {
        /// Time until the content may be sent again.
        pause: Duration,
    },
}

#[derive(Clone, Debug, Default)]
struct ContentRecord {
    round: u32,
    trials: u8,
    runs: BTreeSet<u64>,
    changed_at: Duration,
}

impl ContentRecord {
    fn is_quarantined(&self) -> bool {
        self.runs.len() >= QUARANTINE_CRASHES
    }

    /// Whether all nodes have to agree on the record: the content is quarantined or was cleared.
    fn is_decided(&self) -> bool {
        self.is_quarantined() || self.round > 0
    }

    fn ends_at(&self) -> Duration {
        let ttl = if self.is_decided() {
            QUARANTINE_TTL
        } else {
            SUSPICION_TTL
        };
        self.changed_at + ttl
    }

    fn trial_at(&self) -> Option<Duration> {
        let pause = TRIAL_DELAYS.get(usize::from(self.trials))?;
        Some(self.changed_at + *pause)
    }

    /// Merges a report and returns whether anything but the time changed.
    fn merge(&mut self, report: &CrashReport, at: Duration) -> bool {
        if report.round < self.round {
            return false;
        }
        let before = (self.round, self.trials, self.runs.len());
        if report.round > self.round {
            *self = Self {
                round: report.round,
                ..Self::default()
            };
        }
        self.trials = self.trials.max(report.trials);
        self.runs.extend(&report.runs);
        while self.runs.len() > MAX_RUNS {
            self.runs.pop_last();
        }
        self.changed_at = self.changed_at.max(at);
        before != (self.round, self.trials, self.runs.len())
    }

    fn report(&self, content: ContentDigest, now: Duration) -> CrashReport {
        let age = now.saturating_sub(self.changed_at);
        CrashReport {
            content,
            round: self.round,
            trials: self.trials,
            runs: self.runs.clone(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Records of contents during whose calls upstreams crashed.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    records: BTreeMap<ContentDigest, ContentRecord>,
    updates: VecDeque<(Duration, ContentDigest)>,
    update_turn: usize,
    digest: u64,
}

impl CrashLedger {
    /// Records that the connection to a run of an upstream broke during a call with this content.
    pub fn record_crash(&mut self, content: ContentDigest, run: u64, now: Duration) -> CrashChange {
        let known = self.records.get(&content);
        let report = CrashReport {
            content,
            round: known.map_or(0, |record| record.round),
            trials: known.map_or(0, |record| record.trials),
            runs: BTreeSet::from([run]),
            age_ms: 0,
        };
        self.receive(&report, now)
    }

    /// Merges another node's report.
    pub fn receive(&mut self, report: &CrashReport, now: Duration) -> CrashChange {
        let at = now.saturating_sub(Duration::from_millis(report.age_ms));
        let mut record = self
            .records
            .get(&report.content)
            .cloned()
            .unwrap_or_default();
        let was_quarantined = record.is_quarantined();
        if !record.merge(report, at) || record.ends_at() <= now {
            return CrashChange::Unchanged;
        }
        let is_quarantined = record.is_quarantined();
        self.put(report.content, record, now);
        match (was_quarantined, is_quarantined) {
            (false, true) => CrashChange::Quarantined,
            (true, false) => CrashChange::Cleared,
            _ => CrashChange::Updated,
        }
    }

    /// Records that a call with this content was answered successfully. Returns whether that ends
    /// its quarantine. The record of content that was never quarantined is removed.
    pub fn record_answer(&mut self, content: ContentDigest, now: Duration) -> bool {
        let Some(record) = self.records.get(&content) else {
            return false;
        };
        if !record.is_quarantined() {
            if !record.is_decided() {
                self.records.remove(&content);
            }
            return false;
        }
        let cleared = ContentRecord {
            round: record.round + 1,
            changed_at: now,
            ..ContentRecord::default()
        };
        self.put(content, cleared, now);
        true
    }

    /// Decides whether a call with this content may be sent. `may_try` returns whether this node is
    /// the one that makes trials. A trial is one attempt: each further one needs a new decision.
    pub fn decide(
        &self,
        content: ContentDigest,
        may_try: impl FnOnce() -> bool,
        now: Duration,
    ) -> ContentDecision {
        let Some(record) = self.records.get(&content) else {
            return ContentDecision::Admitted;
        };
        if !record.is_quarantined() || record.ends_at() <= now {
            return ContentDecision::Admitted;
        }
        let trial_at = record.trial_at();
        if trial_at.is_some_and(|at| at <= now) && may_try() {
            return ContentDecision::Trial;
        }
        let next = trial_at.filter(|at| *at > now);
        let until = next.unwrap_or_else(|| record.ends_at());
        ContentDecision::Quarantined {
            pause: until.saturating_sub(now),
        }
    }

    /// Records that a call with this content is sent as a trial.
    pub fn begin_trial(&mut self, content: ContentDigest, now: Duration) {
        let Some(mut record) = self.records.get(&content).cloned() else {
            return;
        };
        record.trials += 1;
        self.put(content, record, now);
    }

    /// Number of runs of upstreams that crashed during a call with this content.
    pub fn crashes(&self, content: ContentDigest) -> usize {
        let record = self.records.get(&content);
        record.map_or(0, |record| record.runs.len())
    }

    /// Recent changes for the next heartbeat, at most `MAX_UPDATES`: content closest to or in
    /// quarantine first, the others in turn.
    pub fn recent_reports(&mut self, now: Duration) -> Vec<CrashReport> {
        while self
            .updates
            .front()
            .is_some_and(|(at, _)| *at + UPDATE_TTL <= now)
        {
            self.updates.pop_front();
        }
        let mut contents: Vec<ContentDigest> =
            self.updates.iter().map(|(_, content)| *content).collect();
        if contents.len() > MAX_UPDATES {
            self.update_turn = self.update_turn.wrapping_add(UPDATE_STEP);
            let turn = self.update_turn % contents.len();
            contents.rotate_left(turn);
            contents.sort_by_key(|content| Reverse(self.crashes(*content)));
        }
        let reports = contents.into_iter().filter_map(|content| {
            let record = self.records.get(&content)?;
            Some(record.report(content, now))
        });
        reports.take(MAX_UPDATES).collect()
    }

    /// Reports on contents that are quarantined or were cleared, on which all nodes have to agree.
    pub fn decided_reports(&self, now: Duration) -> Vec<CrashReport> {
        let decided = self
            .records
            .iter()
            .filter(|(_, record)| record.is_decided());
        decided
            .map(|(content, record)| record.report(*content, now))
            .collect()
    }

    /// Digest of the quarantined and cleared contents, to compare with other nodes; 0 if none.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of quarantined contents.
    pub fn quarantined(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.is_quarantined()).count()
    }

    /// Removes records whose quarantine or suspicion has expired.
    pub fn expire(&mut self, now: Duration) {
        let count = self.records.len();
        self.records.retain(|_, record| record.ends_at() > now);
        if self.records.len() < count {
            self.refresh_digest();
        }
    }

    fn put(&mut self, content: ContentDigest, record: ContentRecord, now: Duration) {
        let is_decided = record.is_decided();
        let old = self.records.insert(content, record);
        self.updates.retain(|(_, known)| *known != content);
        self.updates.push_back((now, content));
        if self.records.len() > MAX_RECORDS {
            self.drop_oldest();
        }
        if is_decided || old.is_some_and(|old| old.is_decided()) {
            self.refresh_digest();
        }
    }

    fn drop_oldest(&mut self) {
        let age = |record: &ContentRecord| (record.is_decided(), record.changed_at);
        let oldest = self.records.iter().min_by_key(|(_, record)| age(record));
        if let Some(content) = oldest.map(|(content, _)| *content) {
            self.records.remove(&content);
            self.refresh_digest();
        }
    }

    fn refresh_digest(&mut self) {
        let hash = |(content, record): (&ContentDigest, &ContentRecord)| {
            let is_quarantined = u64::from(record.is_quarantined());
            let seed =
                u64::from(record.round) << 16 | u64::from(record.trials) << 1 | is_quarantined;
            xxh3_64_with_seed(&u64::from(*content).to_le_bytes(), seed) >> 32
        };
        let decided = self
            .records
            .iter()
            .filter(|(_, record)| record.is_decided());
        self.digest = decided.map(hash).fold(0, |digest, hash| digest ^ hash);
    }
}
