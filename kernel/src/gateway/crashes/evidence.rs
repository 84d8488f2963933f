//! Crashes of upstreams, the calls that were at them, and answers that went on elsewhere.
//!
//! A crash ends every call at the upstream, so each of them is suspected. What crashes upstreams has
//! more crashes than the calls beside it, and no answer on it goes on. Crashes count once if they may be
//! one event that took several upstreams.

use std::cmp::Ordering::Equal;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::gateway::crashes::suspect::{CrashCause, SuspectKey};

/// Evidence that it takes to blame content.
const CONTENT_THRESHOLD: BlameThreshold = BlameThreshold {
    crashes: 3.0,
    unexplained: 2.0,
    settle: Duration::ZERO,
};
/// Evidence that it takes to blame a prompt part.
const PART_THRESHOLD: BlameThreshold = BlameThreshold {
    crashes: 4.0,
    unexplained: 2.0,
    settle: Duration::from_millis(500),
};
/// Evidence that it takes to blame a prompt part that upstreams answered before. Many calls have such
/// parts, so a node may know more crashes under them than under the cause.
const SOUND_PART_THRESHOLD: BlameThreshold = BlameThreshold {
    crashes: 5.0,
    unexplained: 3.0,
    settle: SETTLE_TIME,
};
/// Time in which news of a crash and of answers arrives from other nodes.
pub const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time between crashes up to which they may be one event. Nodes notice a crash some ms apart.
const SAME_EVENT: Duration = Duration::from_millis(50);
/// Number of upstreams up to which crashes at the same time are not taken for one event.
const FEW_UPSTREAMS: usize = 2;
/// Time between two reports of a crash of one run up to which they are the same crash.
const SAME_CRASH: Duration = Duration::from_secs(1);
/// Number of newest crashes that are searched for parts that always come together.
const MAX_COMPARED: usize = 16;
/// Number of crashes from which on a property is suspected, and most of those told to nodes that start.
const SUSPECTED: usize = 2;
const MAX_SUSPICION: usize = 8;
/// Time after which a crash is no evidence any more.
const EVIDENCE_TTL: Duration = Duration::from_mins(10);
/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 256;
/// Maximum number of calls kept for each.
const MAX_CALLS: usize = 32;
/// Maximum number of properties whose last good answer is kept.
const MAX_SOUND: usize = 4096;

/// Evidence that it takes to blame a property.
#[derive(Clone, Copy, Debug)]
struct BlameThreshold {
    /// Number of crashes.
    crashes: f64,
    /// Number of those that no other cause explains.
    unexplained: f64,
    /// Time for which crashes do not count, in which news of others and of answers arrives.
    settle: Duration,
}

/// A call that was at an upstream when it crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct SuspectCall {
    /// Time from the sending of the call until the crash, in ms.
    pub sent_ms: u64,
    /// What it may have crashed the upstream with.
    pub suspects: Vec<SuspectKey>,
}

/// One node's report of a crash, with its calls that may have caused it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct CrashReport {
    /// Hash of the upstream's run.
    pub run: u64,
    /// Time since the crash, in ms.
    pub age_ms: u64,
    /// The calls.
    pub calls: Vec<SuspectCall>,
}

/// Identifies a crash among those that this node knows, in the order in which it learned of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CrashKey(u64);

#[derive(Clone, Debug)]
struct KnownCrash {
    run: u64,
    at: Duration,
    calls: Vec<SuspectCall>,
}

impl KnownCrash {
    /// Corrects the time of the crash, which another node noticed earlier.
    fn move_to(&mut self, at: Duration) {
        let earlier = millis(self.at.saturating_sub(at));
        for call in &mut self.calls {
            call.sent_ms = call.sent_ms.saturating_sub(earlier);
        }
        self.at = at;
    }

    /// Time at which the first of its calls was sent.
    fn first_sent_at(&self) -> Duration {
        let sent = self.calls.iter().map(|call| call.sent_ms).max();
        self.at
            .saturating_sub(Duration::from_millis(sent.unwrap_or(0)))
    }

    fn has_call_with(&self, suspects: [SuspectKey; 2]) -> bool {
        let has_both = |call: &SuspectCall| suspects.iter().all(|key| call.suspects.contains(key));
        self.calls.iter().any(has_both)
    }
}

/// Crash of an upstream during a call with a certain property.
#[derive(Clone, Copy, Debug)]
struct CrashMark {
    key: CrashKey,
    at: Duration,
    sent_at: Duration,
}

/// What is known of crashes and of answers.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    crashes: BTreeMap<CrashKey, KnownCrash>,
    times: BTreeSet<(Duration, CrashKey)>,
    marks: BTreeMap<SuspectKey, BTreeSet<CrashKey>>,
    /// Time at which the newest answer began that shows a property to be harmless.
    sound_at: BTreeMap<SuspectKey, Duration>,
    next: u64,
}

impl CrashEvidence {
    /// Merges a report. Returns the crash if the report contains anything new.
    pub fn merge(&mut self, report: &CrashReport, now: Duration) -> Option<CrashKey> {
        let at = now.saturating_sub(Duration::from_millis(report.age_ms));
        if at + EVIDENCE_TTL <= now {
            return None;
        }
        let key = match self.same_crash(report, at) {
            Some(key) => key,
            None => self.insert(report.run, at),
        };
        let crash = self.crashes.get_mut(&key)?;
        if at < crash.at {
            self.times.remove(&(crash.at, key));
            self.times.insert((at, key));
            crash.move_to(at);
        }
        let late = millis(at.saturating_sub(crash.at));
        let mut is_new = false;
        for call in &report.calls {
            let known = crash.calls.iter().any(|one| one.suspects == call.suspects);
            if known || crash.calls.len() >= MAX_CALLS {
                continue;
            }
            is_new = true;
            crash.calls.push(SuspectCall {
                sent_ms: call.sent_ms.saturating_sub(late),
                suspects: call.suspects.clone(),
            });
            for suspect in &call.suspects {
                self.marks.entry(*suspect).or_default().insert(key);
            }
        }
        is_new.then_some(key)
    }

    /// Returns the known crash that a report is about. An upstream that is back under its identifier
    /// crashes anew under a call that was sent after its last crash.
    fn same_crash(&self, report: &CrashReport, at: Duration) -> Option<CrashKey> {
        let sent = report.calls.iter().map(|call| call.sent_ms).max()?;
        let sent_at = at.saturating_sub(Duration::from_millis(sent));
        let same = |(_, crash): &(&CrashKey, &KnownCrash)| {
            let overlaps = sent_at < crash.at && crash.first_sent_at() < at;
            crash.run == report.run && (at.abs_diff(crash.at) < SAME_CRASH || overlaps)
        };
        let found = self.crashes.iter().rev().find(same);
        found.map(|(key, _)| *key)
    }

    fn insert(&mut self, run: u64, at: Duration) -> CrashKey {
        let key = CrashKey(self.next);
        self.next += 1;
        let crash = KnownCrash {
            run,
            at,
            calls: Vec::new(),
        };
        self.crashes.insert(key, crash);
        self.times.insert((at, key));
        if self.crashes.len() > MAX_CRASHES
            && let Some((_, oldest)) = self.times.first().copied()
        {
            self.remove(oldest);
        }
        key
    }

    fn remove(&mut self, key: CrashKey) {
        let Some(crash) = self.crashes.remove(&key) else {
            return;
        };
        self.times.remove(&(crash.at, key));
        for suspect in crash.calls.iter().flat_map(|call| &call.suspects) {
            if let Some(keys) = self.marks.get_mut(suspect) {
                keys.remove(&key);
                if keys.is_empty() {
                    self.marks.remove(suspect);
                }
            }
        }
    }

    /// Records that an answer to a call with this property went on. Crashes before it began are no
    /// evidence against the property.
    pub fn record_sound(&mut self, suspect: SuspectKey, began_at: Duration) {
        if matches!(suspect, SuspectKey::Content(_)) && !self.marks.contains_key(&suspect) {
            return;
        }
        let known = self.sound_at.entry(suspect).or_default();
        *known = (*known).max(began_at);
        if self.sound_at.len() > MAX_SOUND {
            self.drop_older_half();
        }
    }

    fn drop_older_half(&mut self) {
        let mut times: Vec<Duration> = self.sound_at.values().copied().collect();
        let (_, middle, _) = times.select_nth_unstable(MAX_SOUND / 2);
        let middle = *middle;
        self.sound_at.retain(|_, at| *at > middle);
    }

    /// Time at which the newest answer began that shows a property to be harmless.
    pub fn sound_at(&self, suspect: SuspectKey) -> Option<Duration> {
        self.sound_at.get(&suspect).copied()
    }

    /// Number of crashes under calls with a property, whatever was answered since.
    pub fn crashes(&self, suspect: SuspectKey) -> usize {
        self.marks.get(&suspect).map_or(0, BTreeSet::len)
    }

    /// Number of events that these crashes come from. Crashes of several upstreams at once are one event,
    /// of which a property explains a share.
    fn score(&self, marks: &[CrashMark]) -> f64 {
        let mut score = 0.0;
        let mut event: Option<Duration> = None;
        for mark in marks {
            let at_once = self.crashes_at_once(mark.at);
            if at_once <= FEW_UPSTREAMS {
                event = None;
                score += 1.0;
                continue;
            }
            let is_same = event.is_some_and(|since| {
                mark.at.saturating_sub(since) <= SAME_EVENT && mark.sent_at < since
            });
            if is_same {
                continue;
            }
            event = Some(mark.at);
            let own = marks
                .iter()
                .filter(|other| other.at.abs_diff(mark.at) <= SAME_EVENT);
            score += own.count() as f64 / at_once as f64;
        }
        score
    }

    /// Number of upstreams that crashed at about this time.
    fn crashes_at_once(&self, at: Duration) -> usize {
        let first = (at.saturating_sub(SAME_EVENT), CrashKey(0));
        let last = (at + SAME_EVENT, CrashKey(u64::MAX));
        self.times.range(first..=last).count()
    }

    /// Crashes under calls with a property since it was last answered, in order.
    fn open_marks(&self, suspect: SuspectKey) -> Vec<CrashMark> {
        let sound_at = self.sound_at(suspect);
        let keys = self.marks.get(&suspect).into_iter().flatten();
        let mark = |key: &CrashKey| {
            let crash = self.crashes.get(key)?;
            if sound_at.is_some_and(|sound_at| crash.at <= sound_at) {
                return None;
            }
            let calls = crash.calls.iter();
            let sent = calls.filter(|call| call.suspects.contains(&suspect));
            let sent = sent.map(|call| call.sent_ms).min()?;
            Some(CrashMark {
                key: *key,
                at: crash.at,
                sent_at: crash.at.saturating_sub(Duration::from_millis(sent)),
            })
        };
        let mut marks: Vec<CrashMark> = keys.filter_map(mark).collect();
        marks.sort_by_key(|mark| mark.at);
        marks
    }

    fn threshold(&self, suspect: SuspectKey) -> BlameThreshold {
        match suspect {
            SuspectKey::Content(_) => CONTENT_THRESHOLD,
            SuspectKey::Part(_) if self.sound_at.contains_key(&suspect) => SOUND_PART_THRESHOLD,
            SuspectKey::Part(_) => PART_THRESHOLD,
        }
    }

    /// Returns the number of crashes that count against a property if it is to blame.
    fn blame(
        &self,
        suspect: SuspectKey,
        explained: &BTreeSet<CrashKey>,
        now: Duration,
    ) -> Option<f64> {
        let threshold = self.threshold(suspect);
        let until = now.saturating_sub(threshold.settle);
        let mut marks = self.open_marks(suspect);
        marks.retain(|mark| mark.at <= until);
        if self.score(&marks) < threshold.crashes {
            return None;
        }
        marks.retain(|mark| !explained.contains(&mark.key));
        let unexplained = self.score(&marks);
        (unexplained >= threshold.unexplained).then_some(unexplained)
    }

    /// Whether too few crashes are left since the last answer to blame a property, however many came
    /// before.
    pub fn is_answered(&self, suspect: SuspectKey) -> bool {
        let left = self.open_marks(suspect).len();
        (left as f64) < self.threshold(suspect).crashes
    }

    /// Returns the fewest causes that explain the crashes which `known` ones do not, those of most
    /// crashes first.
    pub fn causes(&self, known: &[&CrashCause], now: Duration) -> Vec<CrashCause> {
        let mut causes: Vec<CrashCause> = Vec::new();
        let mut explained: Vec<(CrashCause, BTreeSet<CrashKey>)> = known
            .iter()
            .map(|cause| ((*cause).clone(), self.crashes_of(cause)))
            .collect();
        let mut candidates: BTreeSet<SuspectKey> = self
            .marks
            .iter()
            .filter(|(suspect, keys)| keys.len() as f64 >= self.threshold(**suspect).crashes)
            .map(|(suspect, _)| *suspect)
            .collect();
        loop {
            let scores = candidates.iter().map(|suspect| {
                let others = explained_by_others(*suspect, &explained);
                (*suspect, self.blame(*suspect, &others, now))
            });
            let scores: BTreeMap<SuspectKey, Option<f64>> = scores.collect();
            candidates.retain(|suspect| scores[suspect].is_some());
            let most = candidates
                .iter()
                .max_by(|one, other| scores[*one].partial_cmp(&scores[*other]).unwrap_or(Equal));
            let Some(suspect) = most.copied() else {
                return causes;
            };
            let companions = self.companions(suspect, &self.open_marks(suspect));
            let cause = CrashCause::new(suspect, companions);
            candidates.retain(|suspect| !cause.suspects().contains(suspect));
            explained.push((cause.clone(), self.crashes_of(&cause)));
            causes.push(cause);
        }
    }

    /// Crashes under calls that have all properties of a cause.
    fn crashes_of(&self, cause: &CrashCause) -> BTreeSet<CrashKey> {
        let keys = cause.first().and_then(|suspect| self.marks.get(&suspect));
        let keys = keys.into_iter().flatten().copied();
        let is_of = |key: &CrashKey| {
            let mut calls = self.crashes[key].calls.iter();
            calls.any(|call| cause.applies_to(&call.suspects))
        };
        keys.filter(is_of).collect()
    }

    /// Whether upstreams crashed several times under a prompt part that none has ever answered.
    pub fn is_suspected(&self, suspect: SuspectKey) -> bool {
        matches!(suspect, SuspectKey::Part(_))
            && !self.sound_at.contains_key(&suspect)
            && self.score(&self.open_marks(suspect)) >= SUSPECTED as f64
    }

    /// Crashes of properties that are suspected but not known to be causes, for a node that starts later.
    pub fn suspicions(
        &self,
        known: &[&CrashCause],
        now: Duration,
    ) -> BTreeMap<SuspectKey, Vec<CrashReport>> {
        let explained: BTreeSet<CrashKey> = known
            .iter()
            .flat_map(|cause| self.crashes_of(cause))
            .collect();
        let mut suspicions = BTreeMap::new();
        let several = self
            .marks
            .iter()
            .filter(|(_, keys)| keys.len() >= SUSPECTED);
        for suspect in several.map(|(suspect, _)| *suspect) {
            let mut marks = self.open_marks(suspect);
            marks.retain(|mark| !explained.contains(&mark.key));
            if self.score(&marks) >= SUSPECTED as f64 {
                let newest = marks.iter().rev().take(MAX_SUSPICION);
                let reports = newest.filter_map(|mark| self.mark_report(suspect, mark, now));
                suspicions.insert(suspect, reports.collect());
            }
        }
        suspicions
    }

    /// Builds the report of a crash that names only one property of one call.
    fn mark_report(
        &self,
        suspect: SuspectKey,
        mark: &CrashMark,
        now: Duration,
    ) -> Option<CrashReport> {
        let crash = self.crashes.get(&mark.key)?;
        Some(CrashReport {
            run: crash.run,
            age_ms: millis(now.saturating_sub(mark.at)),
            calls: vec![SuspectCall {
                sent_ms: millis(mark.at.saturating_sub(mark.sent_at)),
                suspects: vec![suspect],
            }],
        })
    }

    /// Prompt parts that were in a call with this one at each of these crashes and were not answered
    /// since the first: either may be the cause.
    fn companions(&self, suspect: SuspectKey, marks: &[CrashMark]) -> Vec<SuspectKey> {
        let (SuspectKey::Part(_), Some(first)) = (suspect, marks.first()) else {
            return Vec::new();
        };
        let crashes: Vec<&KnownCrash> = marks
            .iter()
            .rev()
            .take(MAX_COMPARED)
            .filter_map(|mark| self.crashes.get(&mark.key))
            .collect();
        let calls = crashes.first().into_iter().flat_map(|crash| &crash.calls);
        let others: BTreeSet<SuspectKey> = calls.flat_map(|call| call.suspects.clone()).collect();
        let is_companion = |other: &SuspectKey| {
            matches!(other, SuspectKey::Part(_))
                && *other != suspect
                && self.sound_at(*other).is_none_or(|at| at < first.at)
                && crashes
                    .iter()
                    .all(|crash| crash.has_call_with([suspect, *other]))
        };
        others.into_iter().filter(is_companion).collect()
    }

    /// Builds the report of a crash, with at most this number of properties. Calls with properties of
    /// several crashes come first.
    pub fn report(&self, key: CrashKey, room: usize, now: Duration) -> Option<CrashReport> {
        let crash = self.crashes.get(&key)?;
        let weight = |call: &SuspectCall| {
            let most = call.suspects.iter().map(|suspect| self.crashes(*suspect));
            std::cmp::Reverse(most.max())
        };
        let mut calls: Vec<&SuspectCall> = crash.calls.iter().collect();
        calls.sort_by_cached_key(|call| weight(call));
        let mut left = room;
        let fits = |call: &&SuspectCall| {
            left = left.saturating_sub(call.suspects.len());
            left > 0
        };
        Some(CrashReport {
            run: crash.run,
            age_ms: millis(now.saturating_sub(crash.at)),
            calls: calls.into_iter().take_while(fits).cloned().collect(),
        })
    }

    /// Largest number of crashes under any property of a crash's calls.
    pub fn weight(&self, key: CrashKey) -> usize {
        let calls = self.crashes.get(&key).into_iter();
        let suspects = calls.flat_map(|crash| &crash.calls);
        let suspects = suspects.flat_map(|call| &call.suspects);
        let counts = suspects.map(|suspect| self.crashes(*suspect));
        counts.max().unwrap_or(0)
    }

    /// Forgets what is no evidence any more.
    pub fn expire(&mut self, now: Duration) {
        while let Some((at, key)) = self.times.first().copied()
            && at + EVIDENCE_TTL <= now
        {
            self.remove(key);
        }
        self.sound_at.retain(|_, at| *at + EVIDENCE_TTL > now);
    }
}

/// Crashes that are explained by causes without this property.
fn explained_by_others(
    suspect: SuspectKey,
    explained: &[(CrashCause, BTreeSet<CrashKey>)],
) -> BTreeSet<CrashKey> {
    let others = explained
        .iter()
        .filter(|(cause, _)| !cause.suspects().contains(&suspect));
    others.flat_map(|(_, keys)| keys).copied().collect()
}

/// Converts a duration to whole milliseconds.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
