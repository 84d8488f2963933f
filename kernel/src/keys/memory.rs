//! What a minter remembers of its keys: which ran, and which answers are kept.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::{KEY_LIFE, KeyParts};
use crate::call::CallOutcome;
use crate::ids::{CallId, NodeId};

/// Keys remembered at most; beyond it the lowest numbers are forgotten and never run again.
pub const MAX_KEYS: usize = 100_000;
/// Answers kept at most, the newest. The edge keeps no answer above [`MAX_ANSWER_BYTES`].
pub const MAX_ANSWERS: usize = 1_024;
/// Largest answer that an edge keeps for repeats, in bytes; with [`MAX_ANSWERS`] it bounds the
/// memory for kept answers to 64 MiB. A repeat of a larger answer gets `unknown`.
pub const MAX_ANSWER_BYTES: usize = 64 * 1_024;
/// Time for which an outcome is kept after its call ended, at least.
const KEEP: Duration = Duration::from_mins(5);
/// Calls that one key may carry while nothing has run or the first call still runs.
const MAX_CALLS: usize = 32;

/// Where a call came from, and so who is told its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOrigin {
    /// A caller of this node.
    Caller,
    /// A node that relayed it here, where its key was minted.
    Relay(NodeId),
}

/// What is to be done with a call that carries a valid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyVerdict {
    /// Nothing ran under this key: run the call.
    Run,
    /// The call runs now as `original`; its answer is this call's too.
    Join {
        /// The call that runs.
        original: CallId,
    },
    /// The call ended; `original` names the kept answer.
    Repeat {
        /// The call that ran.
        original: CallId,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// The same message came twice.
    Doubled,
    /// The key was used for another request.
    Conflict,
    /// Too old, or forgotten: it may have run.
    Expired,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyState {
    Running(CallId),
    Ended(CallId, CallOutcome),
    NotRun,
}

#[derive(Debug)]
struct KeyEntry {
    state: KeyState,
    fingerprint: u64,
    /// Second of the kernel's clock until which the entry is kept.
    until: u64,
    /// Calls that ran, or waited, under this key; guards against doubled messages.
    seen: Vec<CallId>,
    joined: Vec<(CallId, CallOrigin)>,
}

/// Outcomes by key, bounded in number and time.
#[derive(Debug, Default)]
pub struct KeyMemory {
    entries: BTreeMap<u64, KeyEntry>,
    /// Entries whose call does not run, by the second until which they are kept.
    expiry: BTreeSet<(u64, u64)>,
    answers: VecDeque<u64>,
    /// Keys with lower numbers may have been forgotten.
    floor: u64,
}

impl KeyMemory {
    /// Decides on a call with a valid key, and remembers it.
    pub fn admit(
        &mut self,
        key: &KeyParts,
        fingerprint: u64,
        call: CallId,
        origin: CallOrigin,
        now: Duration,
    ) -> KeyVerdict {
        let sequence = key.sequence;
        if let Some(entry) = self.entries.get_mut(&sequence) {
            let verdict = entry.admit(fingerprint, call, origin);
            if verdict == KeyVerdict::Run {
                self.expiry.remove(&(entry.until, sequence));
            }
            return verdict;
        }
        if sequence < self.floor || key.age(now) > KEY_LIFE {
            return KeyVerdict::Expired;
        }
        let entry = KeyEntry {
            state: KeyState::Running(call),
            fingerprint,
            until: key.second + KEY_LIFE.as_secs() + 1,
            seen: vec![call],
            joined: Vec::new(),
        };
        self.entries.insert(sequence, entry);
        KeyVerdict::Run
    }

    /// Notes how the call of a key ended; gives the calls that wait for the same outcome.
    pub fn end(
        &mut self,
        sequence: u64,
        outcome: CallOutcome,
        now: Duration,
    ) -> Vec<(CallId, CallOrigin)> {
        let Some(entry) = self.entries.get_mut(&sequence) else {
            return Vec::new();
        };
        let KeyState::Running(call) = entry.state else {
            return Vec::new();
        };
        entry.state = match outcome {
            CallOutcome::NotRun { .. } => KeyState::NotRun,
            CallOutcome::Whole { .. } | CallOutcome::Unknown => KeyState::Ended(call, outcome),
        };
        entry.until = entry.until.max((now + KEEP).as_secs());
        self.expiry.insert((entry.until, sequence));
        if matches!(outcome, CallOutcome::Whole { .. }) {
            self.answers.push_back(sequence);
        }
        std::mem::take(&mut entry.joined)
    }

    /// Forgets what is too old or too much; gives the calls whose kept answers may go.
    pub fn forget(&mut self, now: Duration) -> Vec<CallId> {
        let mut gone = Vec::new();
        while self.answers.len() > MAX_ANSWERS {
            let sequence = self.answers.pop_front();
            gone.extend(sequence.and_then(|sequence| self.drop_answer(sequence)));
        }
        while let Some(&(until, sequence)) = self.expiry.first() {
            let old = until < now.as_secs();
            if !old && self.entries.len() <= MAX_KEYS {
                break;
            }
            self.expiry.pop_first();
            self.floor = self.floor.max(sequence + 1);
            gone.extend(self.drop_answer(sequence));
            self.entries.remove(&sequence);
        }
        gone
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Answers kept.
    pub fn answers(&self) -> usize {
        self.answers.len()
    }

    fn drop_answer(&mut self, sequence: u64) -> Option<CallId> {
        let entry = self.entries.get_mut(&sequence)?;
        let KeyState::Ended(call, CallOutcome::Whole { .. }) = entry.state else {
            return None;
        };
        entry.state = KeyState::Ended(call, CallOutcome::Unknown);
        Some(call)
    }
}

impl KeyEntry {
    fn admit(&mut self, fingerprint: u64, call: CallId, origin: CallOrigin) -> KeyVerdict {
        if self.seen.contains(&call) {
            return KeyVerdict::Doubled;
        }
        if self.fingerprint != fingerprint {
            return KeyVerdict::Conflict;
        }
        if let KeyState::Ended(original, outcome) = self.state {
            return KeyVerdict::Repeat { original, outcome };
        }
        if self.seen.len() >= MAX_CALLS {
            return KeyVerdict::Expired;
        }
        self.seen.push(call);
        if let KeyState::Running(original) = self.state {
            self.joined.push((call, origin));
            return KeyVerdict::Join { original };
        }
        self.state = KeyState::Running(call);
        KeyVerdict::Run
    }
}
