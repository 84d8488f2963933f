//! The newest records, kept for other nodes, and records that came before their turn.

use std::collections::{BTreeMap, VecDeque};

use crate::configuration::checkpoint::{PART_BYTES, json_size};
use crate::record::LogRecord;

/// Folded records kept for other nodes.
const KEPT_RECORDS: usize = 4_096;

/// Folded records kept for other nodes, in bytes of JSON.
const KEPT_BYTES: usize = 2 * 1024 * 1024;

/// Records kept that came before their turn.
const EARLY_RECORDS: usize = 8_192;

/// Records without gaps, up to the last one folded.
#[derive(Clone, Debug, Default)]
pub struct RecordTail {
    records: VecDeque<(LogRecord, usize)>,
    bytes: usize,
}

impl RecordTail {
    /// Adds a folded record and gives its size in bytes.
    pub fn push(&mut self, entry: LogRecord) -> usize {
        let size = json_size(&entry);
        self.bytes += size;
        self.records.push_back((entry, size));
        while self.records.len() > KEPT_RECORDS || self.bytes > KEPT_BYTES {
            let Some((_, size)) = self.records.pop_front() else {
                break;
            };
            self.bytes -= size;
        }
        size
    }

    /// Forgets every record: the ones to come do not follow on them.
    pub fn clear(&mut self) {
        self.records.clear();
        self.bytes = 0;
    }

    /// Records kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// One message's worth of records from an offset on; none when the offset is not kept.
    pub fn page(&self, from: u64) -> Option<Vec<LogRecord>> {
        let first = self.records.front()?.0.offset;
        let skipped = usize::try_from(from.checked_sub(first)?).ok()?;
        let mut page = Vec::new();
        let mut bytes = 0;
        for (entry, size) in self.records.iter().skip(skipped) {
            if bytes + size > PART_BYTES && !page.is_empty() {
                break;
            }
            bytes += size;
            page.push(entry.clone());
        }
        (!page.is_empty()).then_some(page)
    }
}

/// Records that cannot be folded until earlier ones arrive.
#[derive(Clone, Debug, Default)]
pub struct ReorderBuffer {
    records: BTreeMap<u64, LogRecord>,
}

impl ReorderBuffer {
    /// Keeps a record for later; the oldest gives way when there are too many.
    pub fn keep(&mut self, entry: LogRecord) {
        self.records.insert(entry.offset, entry);
        if self.records.len() > EARLY_RECORDS {
            self.records.pop_first();
        }
    }

    /// Takes the record of this offset, and forgets all before it.
    pub fn take(&mut self, offset: u64) -> Option<LogRecord> {
        while let Some(entry) = self.records.first_entry() {
            if *entry.key() >= offset {
                break;
            }
            entry.remove();
        }
        self.records.remove(&offset)
    }

    /// The oldest offset kept.
    pub fn first(&self) -> Option<u64> {
        self.records.keys().next().copied()
    }

    /// The offset after the newest one kept.
    pub fn end(&self) -> Option<u64> {
        self.records.keys().next_back().map(|offset| offset + 1)
    }
}
