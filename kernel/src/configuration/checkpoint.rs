//! Checkpoints: the folded state, divided into parts that fit one record or message each.

use std::collections::BTreeMap;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::config::VersionedDocument;
use crate::configuration::fold::ConfigFold;
use crate::record::{CheckpointRecord, FoldedChange};

/// Target size of a part, in bytes of JSON. Only a part with a single larger item exceeds it.
pub const PART_BYTES: usize = 48 * 1024;

/// Maximum number of incomplete checkpoints; beyond it the one with the lowest offset is evicted.
const MAX_OPEN_CHECKPOINTS: usize = 4;

/// Size of a value encoded as JSON, in bytes.
pub fn json_size(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |text| text.len())
}

fn chunks<T: Serialize>(items: impl IntoIterator<Item = T>) -> Vec<Vec<T>> {
    let mut chunks = Vec::new();
    let mut chunk = Vec::new();
    let mut size = 0;
    for item in items {
        let item_size = json_size(&item);
        if size + item_size > PART_BYTES && !chunk.is_empty() {
            chunks.push(std::mem::take(&mut chunk));
            size = 0;
        }
        size += item_size;
        chunk.push(item);
    }
    if !chunk.is_empty() {
        chunks.push(chunk);
    }
    chunks
}

/// Encodes the state as checkpoint parts. The same state yields the same parts.
pub fn parts(fold: &ConfigFold) -> Vec<CheckpointRecord> {
    let list = fold.documents();
    let seen: Vec<FoldedChange> = fold.retained().cloned().collect();
    let whole = serde_json::to_vec(&(&list, &seen, fold.lease())).unwrap_or_default();
    let template = CheckpointRecord {
        through: fold.next(),
        digest: xxh3_64(&whole),
        part: 0,
        parts: 0,
        version: fold.config().version,
        documents: Vec::new(),
        seen: Vec::new(),
        lease: fold.lease().cloned(),
    };
    let mut parts = Vec::new();
    for documents in chunks(list.documents) {
        let part = template.clone();
        parts.push(CheckpointRecord { documents, ..part });
    }
    for seen in chunks(seen) {
        let part = template.clone();
        parts.push(CheckpointRecord { seen, ..part });
    }
    if parts.is_empty() {
        parts.push(template);
    }
    let count = parts.len() as u32;
    for (position, part) in parts.iter_mut().enumerate() {
        part.part = position as u32;
        part.parts = count;
    }
    parts
}

/// Assembles checkpoints from parts that may arrive in any order, repeatedly, or not at all.
#[derive(Clone, Debug, Default)]
pub struct CheckpointAssembly {
    open: BTreeMap<(u64, u64), BTreeMap<u32, CheckpointRecord>>,
}

impl CheckpointAssembly {
    /// Adds a part; returns the state if the checkpoint is complete.
    pub fn take(&mut self, part: &CheckpointRecord) -> Option<ConfigFold> {
        let key = (part.through, part.digest);
        let parts = self.open.entry(key).or_default();
        parts.insert(part.part, part.clone());
        let expected = part.parts as usize;
        if expected > 0 && parts.len() == expected {
            let parts = self.open.remove(&key)?;
            return Some(join(&parts));
        }
        while self.open.len() > MAX_OPEN_CHECKPOINTS {
            self.open.pop_first();
        }
        None
    }
}

fn join(parts: &BTreeMap<u32, CheckpointRecord>) -> ConfigFold {
    let documents: Vec<VersionedDocument> = parts
        .values()
        .flat_map(|part| part.documents.iter().cloned())
        .collect();
    let seen: Vec<FoldedChange> = parts
        .values()
        .flat_map(|part| part.seen.iter().cloned())
        .collect();
    let first = parts.values().next();
    ConfigFold::restore(
        first.map_or(0, |part| part.through),
        first.map_or(0, |part| part.version),
        &documents,
        &seen,
        first.and_then(|part| part.lease.clone()),
    )
}
