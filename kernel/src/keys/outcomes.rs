//! A minter's records of its keys: which ones ran, and whose responses are retained.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::{KEY_LIFETIME, KeyParts};
use crate::call::CallOutcome;
use crate::ids::{CallId, NodeId, WorkspaceId};

/// Most keys retained. Beyond it the ones with the earliest expiry are evicted and never run again.
pub const MAX_KEYS: usize = 100_000;
/// Most keys retained per workspace, so that a workspace that sends too many evicts its own first.
pub const MAX_WORKSPACE_KEYS: usize = 20_000;
/// Most responses retained, the newest. The edge retains no response above [`MAX_ANSWER_BYTES`].
pub const MAX_ANSWERS: usize = 1_024;
/// Most responses retained per workspace.
pub const MAX_WORKSPACE_ANSWERS: usize = 256;
/// Largest response that an edge retains for repeats, in bytes; with [`MAX_ANSWERS`] it bounds the
/// memory for retained responses to 64 MiB. A repeat of a larger response gets `unknown`.
pub const MAX_ANSWER_BYTES: usize = 64 * 1_024;
/// Shortest time for which an outcome is retained after its call ended.
const MIN_RETENTION: Duration = Duration::from_mins(5);
/// Most calls with the same key that are accepted before one of them has run to an end.
const MAX_CALLS_PER_KEY: usize = 32;

/// Origin of a call, to which its outcome is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOrigin {
    /// A caller of this node.
    Caller,
    /// The node that relayed it to this one, where its key was minted.
    Relay(NodeId),
}

/// The decision on a call with a valid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// Nothing has run under this key: run the call.
    Run,
    /// Another call with this key is running: this call gets the same response.
    Join {
        /// The call that is running.
        original: CallId,
    },
    /// A call with this key has ended: this call gets its outcome and, if retained, its response.
    Repeat {
        /// The call that ran.
        original: CallId,
        /// Outcome of that call, which the repeat gets too.
        outcome: CallOutcome,
    },
    /// The same message arrived twice.
    Duplicate,
    /// The key was used for a different request.
    Conflict,
    /// The key is too old or was evicted, so its call may have run.
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
    workspace: WorkspaceId,
    state: KeyState,
    fingerprint: u64,
    /// Second of the kernel's clock until which the entry is retained.
    expires: u64,
    /// Calls that ran or waited under this key, to detect duplicated messages.
    seen: Vec<CallId>,
    joined: Vec<(CallId, CallOrigin)>,
}

/// The records of one workspace's keys.
#[derive(Debug, Default)]
struct WorkspaceKeys {
    count: usize,
    /// Entries whose call is not running, by the second until which they are retained.
    expiry: BTreeSet<(u64, u64)>,
    answers: VecDeque<u64>,
    /// Keys with lower numbers may have been evicted.
    min_sequence: u64,
}

/// Outcomes by key, bounded in number and time.
#[derive(Debug, Default)]
pub struct KeyOutcomes {
    entries: BTreeMap<u64, KeyEntry>,
    /// Entries whose call is not running, by the second until which they are retained.
    expiry: BTreeSet<(u64, u64)>,
    answers: VecDeque<u64>,
    workspaces: BTreeMap<WorkspaceId, WorkspaceKeys>,
    /// Calls whose retained responses may be discarded.
    discarded: Vec<CallId>,
}

impl KeyOutcomes {
    /// Decides on a call with a key that is valid for the workspace, and records it.
    pub fn admit(
        &mut self,
        key: &KeyParts,
        workspace: WorkspaceId,
        fingerprint: u64,
        call: CallId,
        origin: CallOrigin,
        now: Duration,
    ) -> KeyDecision {
        let sequence = key.sequence;
        let keys = self.workspaces.entry(workspace).or_default();
        if let Some(entry) = self.entries.get_mut(&sequence) {
            let decision = entry.admit(fingerprint, call, origin);
            if decision == KeyDecision::Run {
                self.expiry.remove(&(entry.expires, sequence));
                keys.expiry.remove(&(entry.expires, sequence));
            }
            return decision;
        }
        if sequence < keys.min_sequence || key.age(now) > KEY_LIFETIME {
            return KeyDecision::Expired;
        }
        keys.count += 1;
        let entry = KeyEntry {
            workspace,
            state: KeyState::Running(call),
            fingerprint,
            expires: key.second + KEY_LIFETIME.as_secs() + 1,
            seen: vec![call],
            joined: Vec::new(),
        };
        self.entries.insert(sequence, entry);
        KeyDecision::Run
    }

    /// Records how the call of a key ended; returns the calls that wait for the same outcome.
    pub fn record_outcome(
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
        entry.expires = entry.expires.max((now + MIN_RETENTION).as_secs());
        let joined = std::mem::take(&mut entry.joined);
        let (workspace, expires) = (entry.workspace, entry.expires);
        self.expiry.insert((expires, sequence));
        let keys = self.workspaces.entry(workspace).or_default();
        keys.expiry.insert((expires, sequence));
        if matches!(outcome, CallOutcome::Whole { .. }) {
            self.answers.push_back(sequence);
            keys.answers.push_back(sequence);
        }
        self.trim(workspace);
        joined
    }

    /// Enforces a workspace's own bounds.
    fn trim(&mut self, workspace: WorkspaceId) {
        let Some(keys) = self.workspaces.get_mut(&workspace) else {
            return;
        };
        let answer = if keys.answers.len() > MAX_WORKSPACE_ANSWERS {
            keys.answers.pop_front()
        } else {
            None
        };
        let key = if keys.count > MAX_WORKSPACE_KEYS {
            keys.expiry.first().copied()
        } else {
            None
        };
        if let Some(sequence) = answer {
            self.drop_answer(sequence);
        }
        if let Some((expires, sequence)) = key {
            self.remove(expires, sequence);
        }
    }

    /// Removes expired entries and those above the bounds; returns the calls whose retained
    /// responses may be discarded.
    pub fn expire(&mut self, now: Duration) -> Vec<CallId> {
        while self.answers.len() > MAX_ANSWERS {
            if let Some(sequence) = self.answers.pop_front() {
                self.drop_answer(sequence);
            }
        }
        while let Some(&(expires, sequence)) = self.expiry.first() {
            let old = expires < now.as_secs();
            if !old && self.entries.len() <= MAX_KEYS {
                break;
            }
            self.remove(expires, sequence);
        }
        std::mem::take(&mut self.discarded)
    }

    /// Removes a key. From now on no key of its workspace with this number or a lower one runs.
    fn remove(&mut self, expires: u64, sequence: u64) {
        self.drop_answer(sequence);
        self.expiry.remove(&(expires, sequence));
        let Some(entry) = self.entries.remove(&sequence) else {
            return;
        };
        let keys = self.workspaces.entry(entry.workspace).or_default();
        keys.expiry.remove(&(expires, sequence));
        keys.count = keys.count.saturating_sub(1);
        keys.min_sequence = keys.min_sequence.max(sequence + 1);
    }

    /// Number of keys retained.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is retained.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of responses retained.
    pub fn answers(&self) -> usize {
        self.answers.len()
    }

    fn drop_answer(&mut self, sequence: u64) {
        let Some(entry) = self.entries.get_mut(&sequence) else {
            return;
        };
        if let KeyState::Ended(call, CallOutcome::Whole { .. }) = entry.state {
            entry.state = KeyState::Ended(call, CallOutcome::Unknown);
            self.discarded.push(call);
        }
    }
}

impl KeyEntry {
    fn admit(&mut self, fingerprint: u64, call: CallId, origin: CallOrigin) -> KeyDecision {
        if self.seen.contains(&call) {
            return KeyDecision::Duplicate;
        }
        if self.fingerprint != fingerprint {
            return KeyDecision::Conflict;
        }
        if let KeyState::Ended(original, outcome) = self.state {
            return KeyDecision::Repeat { original, outcome };
        }
        if self.seen.len() >= MAX_CALLS_PER_KEY {
            return KeyDecision::Expired;
        }
        self.seen.push(call);
        if let KeyState::Running(original) = self.state {
            self.joined.push((call, origin));
            return KeyDecision::Join { original };
        }
        self.state = KeyState::Running(call);
        KeyDecision::Run
    }
}
