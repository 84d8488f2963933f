//! Calls whose content crashes the upstreams that run it.
//!
//! A crash takes along every call that is at the upstream, so one crash accuses no one. Content that was
//! at three runs of upstreams when these broke off is quarantined: no node sends it any more, but for a
//! few trials that one node makes. Nodes tell each other what they saw; what they hold is a union, so
//! reports may come late, twice and in any order.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::content::ContentDigest;

/// Runs of upstreams that content may break before it is quarantined.
pub const MOST_CRASHES: usize = 3;
/// Runs that are kept for each content: those beyond tell nothing new.
const MOST_RUNS: usize = 8;
/// Times since the newest crash at which quarantined content is sent once more: a pool that lost all its
/// upstreams at once accuses calls that do no harm.
const TRIAL_PAUSES: [Duration; 2] = [Duration::from_secs(30), Duration::from_mins(5)];
/// Time since the newest crash after which quarantined content is sent again.
const QUARANTINE_LIFE: Duration = Duration::from_hours(1);
/// Time since the newest crash after which suspicion is dropped.
const SUSPICION_LIFE: Duration = Duration::from_mins(10);
/// Time for which a change is told: two of the longest pauses between heartbeats.
const NEWS_AGE: Duration = Duration::from_millis(1500);
/// Changes that one heartbeat tells, some 20 bytes each.
const MOST_NEWS: usize = 8;
/// Changes by which the next heartbeat's begin further on: fewer than one tells, as some are always told.
const NEWS_STEP: usize = MOST_NEWS / 2;
/// Contents that are kept.
const MOST_RECORDS: usize = 4096;

/// What a node knows of content that upstreams crashed under, as others are told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct CrashReport {
    /// The content.
    pub content: ContentDigest,
    /// How often it has been cleared.
    pub round: u32,
    /// Trials since then.
    pub trials: u8,
    /// Hashes of the runs of upstreams that broke off under it since then.
    pub runs: BTreeSet<u64>,
    /// Time since the newest crash or clearing, in ms.
    pub age_ms: u64,
}

impl CrashReport {
    /// Whether the content is quarantined.
    pub fn is_quarantined(&self) -> bool {
        self.runs.len() >= MOST_CRASHES
    }
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashNews {
    /// Nothing.
    Known,
    /// More is known of the content, and it is treated as before.
    Noted,
    /// The content is quarantined from now on.
    Quarantined,
    /// Quarantined content was answered well.
    Cleared,
}

/// What to do with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentVerdict {
    /// It may be sent.
    Clear,
    /// It is quarantined, and this node may send it once to see whether that is right.
    Trial,
    /// It is quarantined.
    Quarantined {
        /// Time until it may be sent again.
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
        self.runs.len() >= MOST_CRASHES
    }

    /// Whether nodes have to agree on it.
    fn is_settled(&self) -> bool {
        self.is_quarantined() || self.round > 0
    }

    fn ends_at(&self) -> Duration {
        let life = if self.is_settled() {
            QUARANTINE_LIFE
        } else {
            SUSPICION_LIFE
        };
        self.changed_at + life
    }

    fn trial_at(&self) -> Option<Duration> {
        let pause = TRIAL_PAUSES.get(usize::from(self.trials))?;
        Some(self.changed_at + *pause)
    }

    /// Takes a report in. Gives whether that changed anything but the time.
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
        while self.runs.len() > MOST_RUNS {
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

/// Contents that upstreams crashed under.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    records: BTreeMap<ContentDigest, ContentRecord>,
    news: VecDeque<(Duration, ContentDigest)>,
    news_turn: usize,
    digest: u64,
}

impl CrashLedger {
    /// A connection to this run of an upstream broke while a call with this content was there.
    pub fn crashed(&mut self, content: ContentDigest, run: u64, now: Duration) -> CrashNews {
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

    /// Takes in what another node knows.
    pub fn receive(&mut self, report: &CrashReport, now: Duration) -> CrashNews {
        let at = now.saturating_sub(Duration::from_millis(report.age_ms));
        let mut record = self
            .records
            .get(&report.content)
            .cloned()
            .unwrap_or_default();
        let was_quarantined = record.is_quarantined();
        if !record.merge(report, at) || record.ends_at() <= now {
            return CrashNews::Known;
        }
        let is_quarantined = record.is_quarantined();
        self.put(report.content, record, now);
        match (was_quarantined, is_quarantined) {
            (false, true) => CrashNews::Quarantined,
            (true, false) => CrashNews::Cleared,
            _ => CrashNews::Noted,
        }
    }

    /// A call with this content was answered well. Gives whether that ends its quarantine.
    pub fn answered(&mut self, content: ContentDigest, now: Duration) -> bool {
        let Some(record) = self.records.get(&content) else {
            return false;
        };
        if !record.is_quarantined() {
            if !record.is_settled() {
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

    /// What to do with a call. `may_try` says whether this node is the one that makes trials. A trial is
    /// one send: what follows asks anew.
    pub fn verdict(
        &self,
        content: ContentDigest,
        may_try: impl FnOnce() -> bool,
        now: Duration,
    ) -> ContentVerdict {
        let Some(record) = self.records.get(&content) else {
            return ContentVerdict::Clear;
        };
        if !record.is_quarantined() || record.ends_at() <= now {
            return ContentVerdict::Clear;
        }
        let trial_at = record.trial_at();
        if trial_at.is_some_and(|at| at <= now) && may_try() {
            return ContentVerdict::Trial;
        }
        let next = trial_at.filter(|at| *at > now);
        let until = next.unwrap_or_else(|| record.ends_at());
        ContentVerdict::Quarantined {
            pause: until.saturating_sub(now),
        }
    }

    /// A call is sent as a trial.
    pub fn begin_trial(&mut self, content: ContentDigest, now: Duration) {
        let Some(mut record) = self.records.get(&content).cloned() else {
            return;
        };
        record.trials += 1;
        self.put(content, record, now);
    }

    /// Runs of upstreams that broke off under this content.
    pub fn crashes(&self, content: ContentDigest) -> usize {
        let record = self.records.get(&content);
        record.map_or(0, |record| record.runs.len())
    }

    /// Reports for the next heartbeat: content that is quarantined or nearly so first, then others in
    /// turn.
    pub fn news(&mut self, now: Duration) -> Vec<CrashReport> {
        while self
            .news
            .front()
            .is_some_and(|(at, _)| *at + NEWS_AGE <= now)
        {
            self.news.pop_front();
        }
        let mut contents: Vec<ContentDigest> =
            self.news.iter().map(|(_, content)| *content).collect();
        if contents.len() > MOST_NEWS {
            self.news_turn = self.news_turn.wrapping_add(NEWS_STEP);
            let turn = self.news_turn % contents.len();
            contents.rotate_left(turn);
            contents.sort_by_key(|content| Reverse(self.crashes(*content)));
        }
        let reports = contents.into_iter().filter_map(|content| {
            let record = self.records.get(&content)?;
            Some(record.report(content, now))
        });
        reports.take(MOST_NEWS).collect()
    }

    /// All that nodes have to agree on.
    pub fn settled(&self, now: Duration) -> Vec<CrashReport> {
        let settled = self
            .records
            .iter()
            .filter(|(_, record)| record.is_settled());
        settled
            .map(|(content, record)| record.report(*content, now))
            .collect()
    }

    /// The same for the same settled contents; 0 if there are none.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of contents that are quarantined.
    pub fn quarantined(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.is_quarantined()).count()
    }

    /// Forgets what is too old.
    pub fn forget(&mut self, now: Duration) {
        let count = self.records.len();
        self.records.retain(|_, record| record.ends_at() > now);
        if self.records.len() < count {
            self.refresh_digest();
        }
    }

    fn put(&mut self, content: ContentDigest, record: ContentRecord, now: Duration) {
        let is_settled = record.is_settled();
        let old = self.records.insert(content, record);
        self.news.retain(|(_, known)| *known != content);
        self.news.push_back((now, content));
        if self.records.len() > MOST_RECORDS {
            self.drop_oldest();
        }
        if is_settled || old.is_some_and(|old| old.is_settled()) {
            self.refresh_digest();
        }
    }

    fn drop_oldest(&mut self) {
        let age = |record: &ContentRecord| (record.is_settled(), record.changed_at);
        let oldest = self.records.iter().min_by_key(|(_, record)| age(record));
        if let Some(content) = oldest.map(|(content, _)| *content) {
            self.records.remove(&content);
            self.refresh_digest();
        }
    }

    fn refresh_digest(&mut self) {
        let mark = |(content, record): (&ContentDigest, &ContentRecord)| {
            let is_quarantined = u64::from(record.is_quarantined());
            let seed =
                u64::from(record.round) << 16 | u64::from(record.trials) << 1 | is_quarantined;
            xxh3_64_with_seed(&u64::from(*content).to_le_bytes(), seed) >> 32
        };
        let settled = self
            .records
            .iter()
            .filter(|(_, record)| record.is_settled());
        self.digest = settled.map(mark).fold(0, |digest, mark| digest ^ mark);
    }
}
