//! Judges what crashes have in common.
//!
//! What crashes upstreams has more crashes than the calls beside it, and no answer on it goes on. Crashes
//! count once if they may be one event that took several upstreams.

use std::cmp::Ordering::Equal;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::gateway::crashes::evidence::{
    CrashEvidence, CrashKey, CrashReport, KnownCrash, SuspectCall, millis,
};
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
/// Number of newest crashes that are searched for parts that always come together.
const MAX_COMPARED: usize = 16;
/// Number of crashes from which on a property is suspected, and most of those told to nodes that start.
const SUSPECTED: usize = 2;
const MAX_SUSPICION: usize = 8;

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

/// Crash of an upstream during a call with a certain property.
#[derive(Clone, Copy, Debug)]
struct CrashMark {
    key: CrashKey,
    at: Duration,
    sent_at: Duration,
}

impl KnownCrash {
    fn has_call_with(&self, suspects: [SuspectKey; 2]) -> bool {
        let has_both = |call: &SuspectCall| suspects.iter().all(|key| call.suspects.contains(key));
        self.calls.iter().any(has_both)
    }
}

impl CrashEvidence {
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
