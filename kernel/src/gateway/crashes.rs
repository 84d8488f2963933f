//! What crashes the upstreams that run calls with it: whole contents, and parts of prompts.
//!
//! Nodes tell each other of crashes and of answers that went on, and each judges by what it knows.
//! Calls with a cause are quarantined: no node sends them any more, except for a few trials that one
//! node makes. Quarantines are merged by their round, so reports may arrive late, twice and in any order.

pub mod evidence;
pub mod news;
pub mod quarantine;
pub mod suspect;

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::gateway::crashes::evidence::{CrashEvidence, CrashReport, SETTLE_TIME, millis};
use crate::gateway::crashes::news::{
    CrashNews, MAX_SUSPECTS, MAX_UPDATES, RecentChange, RecentChanges, SoundReport,
};
use crate::gateway::crashes::quarantine::{QuarantineChange, QuarantineRecord, QuarantineReport};
use crate::gateway::crashes::suspect::{CrashCause, SuspectKey};

/// Number of crashes below which nothing is quarantined.
const FEWEST_CRASHES: usize = 3;
/// Difference up to which two reports of the beginning of an answer are the same.
const SAME_ANSWER: Duration = Duration::from_millis(100);
/// Maximum number of quarantines that are kept.
const MAX_RECORDS: usize = 4096;

/// Whether a call may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashDecision {
    /// The call is not quarantined and may be sent.
    Admitted,
    /// The call is quarantined, and this node may send it once to test whether it still causes a
    /// crash.
    Trial,
    /// The call is quarantined and is rejected.
    Quarantined {
        /// The cause that it has.
        cause: CrashCause,
        /// Time until calls of the cause may be sent again.
        pause: Duration,
    },
}

/// Crashes, answers and quarantines that a node knows of.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    evidence: CrashEvidence,
    records: BTreeMap<CrashCause, QuarantineRecord>,
    changes: RecentChanges,
    /// Time of the newest crash that is to be judged again once it has settled.
    unsettled_at: Option<Duration>,
    digest: u64,
}

impl CrashLedger {
    /// Records that the connection to a run of an upstream broke during a call of this node. Returns
    /// whether that is new, and the quarantines that it changes.
    pub fn record_crash(
        &mut self,
        report: &CrashReport,
        now: Duration,
    ) -> Option<Vec<QuarantineChange>> {
        let key = self.evidence.merge(report, now)?;
        self.changes
            .announce(RecentChange::Crash { key, is_own: true }, now);
        self.announce_sound(report, now);
        for call in &report.calls {
            self.postpone_trials(&call.suspects, now);
        }
        Some(self.judge_crash(report, now))
    }

    /// Tells other nodes of answers to calls with what upstreams now crash under.
    fn announce_sound(&mut self, report: &CrashReport, now: Duration) {
        let suspects = report.calls.iter().flat_map(|call| &call.suspects);
        for suspect in suspects {
            let is_known = self.evidence.sound_at(*suspect).is_some();
            if is_known && self.evidence.crashes(*suspect) > 1 {
                self.changes.announce(RecentChange::Sound(*suspect), now);
            }
        }
    }

    /// A crash under a trial, or under a call that was sent before the quarantine, delays the next trial.
    fn postpone_trials(&mut self, suspects: &[SuspectKey], now: Duration) {
        for (cause, mut record) in self.owned_quarantines_of(suspects, now) {
            record.changed_at = now;
            record.crashes += 1;
            self.put(cause, record, now);
        }
    }

    /// Judges again after a crash, if it may be one of several with the same cause.
    fn judge_crash(&mut self, report: &CrashReport, now: Duration) -> Vec<QuarantineChange> {
        let suspects = report.calls.iter().flat_map(|call| &call.suspects);
        let mut counts = suspects.map(|suspect| self.evidence.crashes(*suspect));
        if counts.any(|count| count >= FEWEST_CRASHES) {
            self.unsettled_at = Some(now);
            return self.judge(now);
        }
        Vec::new()
    }

    /// Records that an answer to a call of this node with these properties, which began at this time,
    /// went on. Returns the quarantines that it changes.
    pub fn record_answer(
        &mut self,
        suspects: &[SuspectKey],
        began_at: Duration,
        now: Duration,
    ) -> Vec<QuarantineChange> {
        for suspect in suspects {
            let is_new = self.evidence.sound_at(*suspect) < Some(began_at);
            self.evidence.record_sound(*suspect, began_at);
            if is_new && self.evidence.crashes(*suspect) > 1 {
                self.changes.announce(RecentChange::Sound(*suspect), now);
            }
        }
        let mut changes = self.clear_answered(suspects, began_at, now);
        if suspects
            .iter()
            .any(|suspect| self.may_be_refuted(*suspect, now))
        {
            changes.extend(self.judge(now));
        }
        changes
    }

    /// Whether a property is in a quarantine that an answer may show to be wrong.
    fn may_be_refuted(&self, suspect: SuspectKey, now: Duration) -> bool {
        let mut records = self.records.iter();
        records
            .any(|(cause, record)| record.is_refutable(now) && cause.suspects().contains(&suspect))
    }

    /// Clears quarantines whose calls were answered after the last crash.
    fn clear_answered(
        &mut self,
        suspects: &[SuspectKey],
        began_at: Duration,
        now: Duration,
    ) -> Vec<QuarantineChange> {
        let is_answered = |(cause, record): &(&CrashCause, &QuarantineRecord)| {
            record.quarantined && cause.applies_to(suspects) && record.changed_at < began_at
        };
        let answered = self.records.iter().filter(is_answered);
        let answered: Vec<CrashCause> = answered.map(|(cause, _)| cause.clone()).collect();
        let mut changes = Vec::new();
        for cause in answered {
            self.absolve(&cause, began_at);
            changes.extend(self.clear(cause, true, now));
        }
        changes
    }

    /// Merges another node's news. Returns the quarantines that it changes.
    pub fn receive(&mut self, news: &CrashNews, now: Duration) -> Vec<QuarantineChange> {
        let mut is_changed = false;
        for report in &news.crashes {
            if let Some(key) = self.evidence.merge(report, now) {
                is_changed |= self.evidence.weight(key) >= FEWEST_CRASHES;
                self.changes
                    .announce(RecentChange::Crash { key, is_own: false }, now);
                self.announce_sound(report, now);
            }
        }
        for report in &news.sound {
            let began_at = now.saturating_sub(Duration::from_millis(report.age_ms));
            // The same answer is reported with ages that differ by the time on the way.
            let known = self.evidence.sound_at(report.suspect);
            if known.is_none_or(|known| known + SAME_ANSWER < began_at) {
                is_changed |= self.may_be_refuted(report.suspect, now);
                self.evidence.record_sound(report.suspect, began_at);
                self.changes
                    .announce(RecentChange::Sound(report.suspect), now);
            }
        }
        let mut changes = self.receive_quarantines(&news.quarantines, now);
        if is_changed {
            self.unsettled_at = Some(now);
            changes.extend(self.judge(now));
        }
        changes
    }

    /// Merges quarantines of another node or of the store. Returns those that change.
    pub fn receive_quarantines(
        &mut self,
        reports: &[QuarantineReport],
        now: Duration,
    ) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        for report in reports {
            changes.extend(self.receive_quarantine(report, now));
        }
        changes
    }

    fn receive_quarantine(
        &mut self,
        report: &QuarantineReport,
        now: Duration,
    ) -> Option<QuarantineChange> {
        let at = now.saturating_sub(Duration::from_millis(report.age_ms));
        let known = self.records.get(&report.cause);
        let mut record = known.cloned().unwrap_or_default();
        let was_quarantined = record.quarantined;
        if !record.merge(report, at) || record.ends_at() <= now {
            return None;
        }
        let (quarantined, crashes) = (record.quarantined, record.crashes as usize);
        if !quarantined && record.answered {
            self.absolve(&report.cause, at);
        }
        self.put(report.cause.clone(), record, now);
        (was_quarantined != quarantined).then(|| QuarantineChange {
            cause: report.cause.clone(),
            quarantined,
            crashes,
        })
    }

    /// Judges the crashes again that were too new to count. Returns the quarantines that it changes.
    pub fn settle(&mut self, now: Duration) -> Vec<QuarantineChange> {
        if self.unsettled_at.is_none_or(|at| at + SETTLE_TIME > now) {
            return Vec::new();
        }
        self.unsettled_at = None;
        self.judge(now)
    }

    /// Begins quarantines of what crashes show to be causes, and ends those of what answers show not to be.
    fn judge(&mut self, now: Duration) -> Vec<QuarantineChange> {
        let known = self.quarantined_causes();
        let causes = self.evidence.causes(&known, now);
        let mut changes = Vec::new();
        let is_refuted = |(cause, record): &(&CrashCause, &QuarantineRecord)| {
            // Only a node that knows the crashes can tell that they were before an answer.
            let is_answered = |suspect: &SuspectKey| {
                self.evidence.crashes(*suspect) >= record.crashes as usize
                    && self.evidence.is_answered(*suspect)
            };
            record.is_refutable(now) && cause.suspects().iter().all(is_answered)
        };
        let refuted = self.records.iter().filter(is_refuted);
        let refuted: Vec<CrashCause> = refuted.map(|(cause, _)| cause.clone()).collect();
        for cause in refuted {
            changes.extend(self.clear(cause, false, now));
        }
        for cause in causes {
            changes.extend(self.quarantine(cause, now));
        }
        changes
    }

    fn quarantined_causes(&self) -> Vec<&CrashCause> {
        let records = self.records.iter();
        let quarantined = records.filter(|(_, record)| record.quarantined);
        quarantined.map(|(cause, _)| cause).collect()
    }

    /// Crashes of each property that is suspected and not quarantined, which a fleet that starts anew has
    /// to know.
    pub fn suspicions(&self, now: Duration) -> BTreeMap<SuspectKey, Vec<CrashReport>> {
        self.evidence.suspicions(&self.quarantined_causes(), now)
    }

    fn quarantine(&mut self, cause: CrashCause, now: Duration) -> Option<QuarantineChange> {
        let covers = |known: &CrashCause| known.applies_to(cause.suspects());
        let mut records = self.records.iter();
        if records.any(|(known, record)| record.quarantined && covers(known)) {
            return None;
        }
        let counts = cause.suspects().iter();
        let crashes = counts.map(|suspect| self.evidence.crashes(*suspect)).min();
        let crashes = crashes.unwrap_or(0);
        let known = self.records.get(&cause);
        let record = QuarantineRecord {
            quarantined: true,
            crashes: crashes as u32,
            round: known.map_or(0, |record| record.round),
            changed_at: now,
            ..QuarantineRecord::default()
        };
        self.put(cause.clone(), record, now);
        Some(QuarantineChange {
            cause,
            quarantined: true,
            crashes,
        })
    }

    fn clear(
        &mut self,
        cause: CrashCause,
        answered: bool,
        now: Duration,
    ) -> Option<QuarantineChange> {
        let record = self.records.get(&cause)?;
        let crashes = record.crashes as usize;
        let cleared = QuarantineRecord {
            round: record.round + 1,
            answered,
            changed_at: now,
            ..QuarantineRecord::default()
        };
        self.put(cause.clone(), cleared, now);
        Some(QuarantineChange {
            cause,
            quarantined: false,
            crashes,
        })
    }

    /// Crashes before a quarantine was cleared are no evidence any more.
    fn absolve(&mut self, cause: &CrashCause, at: Duration) {
        for suspect in cause.suspects() {
            self.evidence.record_sound(*suspect, at);
        }
    }

    /// Decides whether a call with these properties may be sent. `may_try` returns whether this node is
    /// the one that makes trials of a cause. A trial is one attempt: each further one needs a new
    /// decision.
    pub fn decide(
        &self,
        suspects: &[SuspectKey],
        may_try: impl Fn(u64) -> bool,
        now: Duration,
    ) -> CrashDecision {
        let mut decision = CrashDecision::Admitted;
        for (cause, record) in self.quarantines_of(suspects, now) {
            let trial_at = record.trial_at();
            if trial_at.is_some_and(|at| at <= now) && may_try(cause_hash(cause)) {
                decision = CrashDecision::Trial;
                continue;
            }
            let next = trial_at.filter(|at| *at > now);
            let until = next.unwrap_or_else(|| record.ends_at());
            return CrashDecision::Quarantined {
                cause: cause.clone(),
                pause: until.saturating_sub(now),
            };
        }
        decision
    }

    /// Quarantines that calls with these properties fall under.
    fn quarantines_of(
        &self,
        suspects: &[SuspectKey],
        now: Duration,
    ) -> impl Iterator<Item = (&CrashCause, &QuarantineRecord)> {
        let of_first = |suspect: &SuspectKey| {
            let suspect = *suspect;
            let from = self.records.range(CrashCause::new(suspect, [])..);
            from.take_while(move |(cause, _)| cause.first() == Some(suspect))
        };
        suspects
            .iter()
            .flat_map(of_first)
            .filter(move |(_, record)| record.quarantined && record.ends_at() > now)
            .filter(move |(cause, _)| cause.applies_to(suspects))
    }

    /// Records that a call with these properties is sent as a trial.
    pub fn begin_trial(&mut self, suspects: &[SuspectKey], now: Duration) {
        for (cause, mut record) in self.owned_quarantines_of(suspects, now) {
            record.trials += 1;
            self.put(cause, record, now);
        }
    }

    fn owned_quarantines_of(
        &self,
        suspects: &[SuspectKey],
        now: Duration,
    ) -> Vec<(CrashCause, QuarantineRecord)> {
        let found = self.quarantines_of(suspects, now);
        found
            .map(|(cause, record)| (cause.clone(), record.clone()))
            .collect()
    }

    /// Whether a call with these properties may crash one more upstream if it is sent again, although it is
    /// not quarantined yet.
    pub fn is_suspected(&self, suspects: &[SuspectKey]) -> bool {
        let mut suspects = suspects.iter();
        suspects.any(|suspect| self.evidence.is_suspected(*suspect))
    }

    /// Number of crashes under calls with this property, as far as this node knows.
    pub fn crashes(&self, suspect: SuspectKey) -> usize {
        self.evidence.crashes(suspect)
    }

    /// Recent changes for the next heartbeat: crashes under calls with the most crashes first, the others
    /// in turn.
    pub fn recent_news(&mut self, now: Duration) -> CrashNews {
        let mut due = self.changes.due(now);
        due.sort_by_cached_key(|change| match change {
            RecentChange::Crash { key, .. } => std::cmp::Reverse(self.evidence.weight(*key)),
            RecentChange::Sound(_) | RecentChange::Quarantine(_) => std::cmp::Reverse(usize::MAX),
        });
        self.news(&due, now)
    }

    fn news(&self, changes: &[RecentChange], now: Duration) -> CrashNews {
        let mut news = CrashNews::default();
        let mut room = MAX_SUSPECTS;
        for change in changes {
            match change {
                RecentChange::Crash { key, .. } if room > 0 => {
                    let report = self.evidence.report(*key, room, now);
                    let Some(report) = report.filter(|report| !report.calls.is_empty()) else {
                        continue;
                    };
                    let used = report.calls.iter().map(|call| call.suspects.len());
                    room = room.saturating_sub(used.sum());
                    news.crashes.push(report);
                }
                RecentChange::Sound(suspect) if news.sound.len() < MAX_UPDATES => {
                    let began_at = self.evidence.sound_at(*suspect);
                    news.sound.extend(began_at.map(|at| SoundReport {
                        suspect: *suspect,
                        age_ms: millis(now.saturating_sub(at)),
                    }));
                }
                RecentChange::Quarantine(cause) if news.quarantines.len() < MAX_UPDATES => {
                    let record = self.records.get(cause);
                    news.quarantines
                        .extend(record.map(|record| record.report(cause, now)));
                }
                RecentChange::Crash { .. }
                | RecentChange::Sound(_)
                | RecentChange::Quarantine(_) => {}
            }
        }
        news
    }

    /// Reports on what is quarantined or was cleared, on which all nodes have to agree.
    pub fn quarantine_reports(&self, now: Duration) -> Vec<QuarantineReport> {
        let records = self.records.iter();
        records
            .map(|(cause, record)| record.report(cause, now))
            .collect()
    }

    /// Digest of what is quarantined or was cleared, to compare with other nodes; 0 if nothing.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of quarantined causes.
    pub fn quarantined(&self) -> usize {
        let records = self.records.values();
        records.filter(|record| record.quarantined).count()
    }

    /// Removes quarantines and crashes that have expired.
    pub fn expire(&mut self, now: Duration) {
        self.evidence.expire(now);
        let count = self.records.len();
        self.records.retain(|_, record| record.ends_at() > now);
        if self.records.len() < count {
            self.refresh_digest();
        }
    }

    fn put(&mut self, cause: CrashCause, record: QuarantineRecord, now: Duration) {
        self.records.insert(cause.clone(), record);
        self.changes.announce(RecentChange::Quarantine(cause), now);
        if self.records.len() > MAX_RECORDS {
            self.drop_oldest();
        }
        self.refresh_digest();
    }

    fn drop_oldest(&mut self) {
        let age = |record: &QuarantineRecord| (record.quarantined, record.changed_at);
        let oldest = self.records.iter().min_by_key(|(_, record)| age(record));
        if let Some(cause) = oldest.map(|(cause, _)| cause.clone()) {
            self.records.remove(&cause);
        }
    }

    fn refresh_digest(&mut self) {
        let hash = |(cause, record): (&CrashCause, &QuarantineRecord)| {
            let seed = u64::from(record.round) << 16
                | u64::from(record.trials) << 1
                | u64::from(record.quarantined);
            xxh3_64_with_seed(&cause_hash(cause).to_le_bytes(), seed) >> 32
        };
        self.digest = self
            .records
            .iter()
            .map(hash)
            .fold(0, |digest, hash| digest ^ hash);
    }
}

/// Uniform number for a cause, the same at all nodes.
fn cause_hash(cause: &CrashCause) -> u64 {
    match cause.suspects() {
        [SuspectKey::Content(content)] => (*content).into(),
        _ => xxh3_64(cause.to_string().as_bytes()),
    }
}
