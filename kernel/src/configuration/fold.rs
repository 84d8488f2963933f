//! The folded state of the log: a pure function of the records in order of offset.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Serialize;

use crate::config::check::{ConfigFault, check_dependents, check_document};
use crate::config::{Config, Document, DocumentKey, DocumentList, VersionedDocument};
use crate::record::{
    ChangeRecord, DocumentChange, FoldedChange, LeaseHead, LeaseRecord, LogRecord, PublishResult,
    Record,
};

/// Maximum number of changes whose results are retained. An older change that is sent again
/// conflicts with its own first record, because that one raised the versions.
pub const RETAINED_CHANGES: usize = 1_024;

/// Maximum number of refused and skipped records in the state dump.
const MAX_REFUSALS: usize = 32;

/// Maximum length of a change identifier, in bytes.
const MAX_ID_BYTES: usize = 64;

/// A record that had no effect.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RefusedRecord {
    /// Offset of the record.
    pub offset: u64,
    /// Identifier of the change; `None` for a record that could not be decoded.
    pub id: Option<Box<str>>,
    /// Why the record had no effect.
    pub reason: Box<str>,
}

/// Effect of folding one record.
#[derive(Clone, Debug, PartialEq)]
pub enum FoldOutcome {
    /// The change with this identifier was applied.
    Changed(Box<str>),
    /// The change with this identifier was refused.
    Refused(Box<str>),
    /// The record is the newest valid lease record.
    Leased(LeaseHead),
    /// Neither the configuration nor the lease changed, and no change was refused.
    Unchanged,
}

/// The folded state of all records before an offset.
#[derive(Clone, Debug, Default)]
pub struct ConfigFold {
    next: u64,
    config: Config,
    versions: BTreeMap<DocumentKey, u64>,
    results: BTreeMap<Box<str>, FoldedChange>,
    retained: VecDeque<Box<str>>,
    lease: Option<LeaseHead>,
    refused: VecDeque<RefusedRecord>,
}

impl ConfigFold {
    /// Restores the state from the content of a checkpoint.
    pub fn restore(
        next: u64,
        version: u64,
        documents: &[VersionedDocument],
        seen: &[FoldedChange],
        lease: Option<LeaseHead>,
    ) -> Self {
        let mut fold = Self {
            next,
            lease,
            ..Self::default()
        };
        for document in documents {
            let key = document.content.key();
            fold.config.put(document.content.clone());
            fold.config.set_placement_version(&key, document.version);
            fold.versions.insert(key, document.version);
        }
        fold.config.version = version;
        for change in seen {
            fold.retain_result(change.clone());
        }
        fold
    }

    /// The next offset to fold; every record before it is folded.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// The folded configuration. A clone shares its parts.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The newest valid lease record; `None` if there is none.
    pub fn lease(&self) -> Option<&LeaseHead> {
        self.lease.as_ref()
    }

    /// The retained results of changes, oldest first.
    pub fn retained(&self) -> impl Iterator<Item = &FoldedChange> {
        self.retained.iter().filter_map(|id| self.results.get(id))
    }

    /// The result of a change; `None` if its record was not folded or it is no longer retained.
    pub fn result(&self, id: &str) -> Option<&PublishResult> {
        self.results.get(id).map(|change| &change.result)
    }

    /// Refused and undecodable records, oldest first.
    pub fn refused(&self) -> impl Iterator<Item = &RefusedRecord> {
        self.refused.iter()
    }

    /// The version of a document; 0 if it is absent.
    pub fn version_of(&self, key: &DocumentKey) -> u64 {
        self.versions.get(key).copied().unwrap_or_default()
    }

    /// All documents with their versions, ordered by key.
    pub fn documents(&self) -> DocumentList {
        let documents = self.versions.iter().filter_map(|(key, version)| {
            Some(VersionedDocument {
                version: *version,
                content: self.config.document(key)?,
            })
        });
        DocumentList {
            version: self.config.version,
            documents: documents.collect(),
        }
    }

    /// Folds the next record. A record with any other offset is ignored.
    pub fn apply(&mut self, entry: &LogRecord) -> FoldOutcome {
        if entry.offset != self.next {
            return FoldOutcome::Unchanged;
        }
        self.next += 1;
        match &entry.record {
            Some(Record::Change(change)) => self.apply_change(entry.offset, change),
            Some(Record::Lease(lease)) => self.apply_lease(entry.offset, lease),
            Some(Record::Checkpoint(_)) => FoldOutcome::Unchanged,
            None => {
                self.record_refusal(entry.offset, None, "its shape is unknown".into());
                FoldOutcome::Unchanged
            }
        }
    }

    fn apply_lease(&mut self, offset: u64, record: &LeaseRecord) -> FoldOutcome {
        let head = self.lease.as_ref().map_or(0, |head| head.offset + 1);
        if record.follows != head {
            return FoldOutcome::Unchanged;
        }
        let record = record.clone();
        let head = LeaseHead { offset, record };
        self.lease = Some(head.clone());
        FoldOutcome::Leased(head)
    }

    fn apply_change(&mut self, offset: u64, change: &ChangeRecord) -> FoldOutcome {
        if self.results.contains_key(&change.id) {
            return FoldOutcome::Unchanged;
        }
        let version = offset + 1;
        let refusal = self.replace(version, change);
        let step = if let Some(refusal) = &refusal {
            self.record_refusal(offset, Some(&change.id), refusal.to_string());
            FoldOutcome::Refused(change.id.clone())
        } else {
            self.config.version = version;
            FoldOutcome::Changed(change.id.clone())
        };
        if change.id.len() <= MAX_ID_BYTES {
            self.retain_result(FoldedChange {
                id: change.id.clone(),
                offset,
                result: refusal.unwrap_or(PublishResult::Accepted { version }),
            });
        }
        step
    }

    /// The refusal of a change that cannot be accepted whatever is folded before it: its shape is
    /// invalid, or it replaces a version older than the one in force. `None` if it may be accepted.
    pub fn preview(&self, change: &ChangeRecord) -> Option<PublishResult> {
        if let Some(reason) = shape_error(change) {
            return Some(PublishResult::Invalid { reason });
        }
        self.conflict(change).filter(|conflict| {
            matches!(conflict, PublishResult::Conflict { expected, found, .. } if found > expected)
        })
    }

    fn conflict(&self, change: &ChangeRecord) -> Option<PublishResult> {
        let one = change
            .changes
            .iter()
            .find(|one| one.replaces != self.version_of(&one.key))?;
        Some(PublishResult::Conflict {
            key: one.key.clone(),
            expected: one.replaces,
            found: self.version_of(&one.key),
        })
    }

    fn replace(&mut self, version: u64, change: &ChangeRecord) -> Option<PublishResult> {
        if let Some(reason) = shape_error(change) {
            return Some(PublishResult::Invalid { reason });
        }
        if let Some(conflict) = self.conflict(change) {
            return Some(conflict);
        }
        let before: Vec<_> = change
            .changes
            .iter()
            .map(|one| self.set(version, one))
            .collect();
        let reason = self.content_error(change)?;
        for (one, old) in change.changes.iter().zip(before).rev() {
            let undo = DocumentChange {
                key: one.key.clone(),
                replaces: 0,
                content: old,
            };
            self.set(one.replaces, &undo);
        }
        self.config.reindex();
        Some(PublishResult::Invalid { reason })
    }

    /// Sets or removes a document; returns its previous content.
    fn set(&mut self, version: u64, change: &DocumentChange) -> Option<Document> {
        let before = self.config.document(&change.key);
        if let Some(content) = &change.content {
            self.config.put(content.clone());
            self.config.set_placement_version(&change.key, version);
            self.versions.insert(change.key.clone(), version);
        } else {
            self.config.remove(&change.key);
            self.versions.remove(&change.key);
        }
        before
    }

    fn content_error(&self, change: &ChangeRecord) -> Option<Box<str>> {
        let tokens = self.config.tokens.len() == self.config.workspaces.len();
        let addresses = self.config.addresses.len() == self.config.upstreams.len();
        if !tokens {
            return Some("two workspaces have the same token; expected one each".into());
        }
        if !addresses {
            return Some("two upstreams have the same address; expected one each".into());
        }
        change.changes.iter().find_map(|one| {
            let faults = match &one.content {
                Some(content) => check_document(&self.config, content),
                None => Vec::new(),
            };
            let dependents = check_dependents(&self.config, &one.key, one.content.is_none());
            let fault = faults.into_iter().chain(dependents).next()?;
            Some(describe(&one.key, &fault))
        })
    }

    fn retain_result(&mut self, change: FoldedChange) {
        self.retained.push_back(change.id.clone());
        self.results.insert(change.id.clone(), change);
        while self.retained.len() > RETAINED_CHANGES {
            if let Some(oldest) = self.retained.pop_front() {
                self.results.remove(&oldest);
            }
        }
    }

    fn record_refusal(&mut self, offset: u64, id: Option<&str>, reason: String) {
        self.refused.push_back(RefusedRecord {
            offset,
            id: id.map(|id| id.chars().take(MAX_ID_BYTES).collect::<String>().into()),
            reason: reason.into(),
        });
        while self.refused.len() > MAX_REFUSALS {
            self.refused.pop_front();
        }
    }
}

fn describe(key: &DocumentKey, fault: &ConfigFault) -> Box<str> {
    if fault.path.0.is_empty() {
        return format!("{key}: {}", fault.message).into();
    }
    format!("{key}: {}: {}", fault.path, fault.message).into()
}

fn shape_error(change: &ChangeRecord) -> Option<Box<str>> {
    if change.id.is_empty() || change.id.len() > MAX_ID_BYTES {
        return Some(
            format!(
                "the id has {} bytes; expected 1 to {MAX_ID_BYTES}",
                change.id.len()
            )
            .into(),
        );
    }
    if change.changes.is_empty() {
        return Some("no document is changed; expected at least one".into());
    }
    let mut keys = BTreeSet::new();
    for one in &change.changes {
        if !keys.insert(&one.key) {
            return Some(format!("{} is changed twice; expected once", one.key).into());
        }
        match &one.content {
            Some(content) if content.key() != one.key => {
                let found = content.key();
                return Some(format!("{} holds {found}; expected itself", one.key).into());
            }
            Some(Document::Rules(rules)) if rules.is_empty() => {
                return Some("the rule list is empty; expected a rule, or its removal".into());
            }
            None if one.replaces == 0 => {
                return Some(format!("{} is absent; expected it to remove it", one.key).into());
            }
            _ => {}
        }
    }
    None
}
