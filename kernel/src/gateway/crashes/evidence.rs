//! Crashes of upstreams, the calls that were at them, and answers that went on elsewhere.
//!
//! A crash ends every call at the upstream, so each of them is suspected.

mod judgement;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::gateway::crashes::suspect::SuspectKey;

pub use crate::gateway::crashes::evidence::judgement::SETTLE_TIME;

/// Time between two reports of a crash of one run up to which they are the same crash.
const SAME_CRASH: Duration = Duration::from_secs(1);
/// Time after which a crash is no evidence any more.
const EVIDENCE_TTL: Duration = Duration::from_mins(10);
/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 256;
/// Maximum number of calls kept for each.
const MAX_CALLS: usize = 32;
/// Maximum number of properties whose last good answer is kept.
const MAX_SOUND: usize = 4096;

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

/// Converts a duration to whole milliseconds.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
