//! Buffers of records: the newest folded ones, for other nodes, and those that arrived early.

use std::collections::{BTreeMap, VecDeque};

use crate::configuration::checkpoint::{PART_BYTES, json_size};
use crate::record::LogRecord;

/// Maximum number of folded records retained for other nodes.
const MAX_TAIL_RECORDS: usize = 4_096;

/// Maximum total size of the folded records retained for other nodes, in bytes of JSON.
const MAX_TAIL_BYTES: usize = 2 * 1024 * 1024;

/// Maximum number of early records in the buffer.
const MAX_EARLY_RECORDS: usize = 8_192;

/// The last folded records, without gaps.
#[derive(Clone, Debug, Default)]
pub struct RecordTail {
    records: VecDeque<(LogRecord, usize)>,
    bytes: usize,
}

impl RecordTail {
    /// Appends a folded record; returns its size in bytes of JSON.
    pub fn push(&mut self, entry: LogRecord) -> usize {
        let size = json_size(&entry);
        self.bytes += size;
        self.records.push_back((entry, size));
        while self.records.len() > MAX_TAIL_RECORDS || self.bytes > MAX_TAIL_BYTES {
            let Some((_, size)) = self.records.pop_front() else {
                break;
            };
            self.bytes -= size;
        }
        size
    }

    /// Removes all records, because the next ones do not follow on them.
    pub fn clear(&mut self) {
        self.records.clear();
        self.bytes = 0;
    }

    /// Number of records retained.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is retained.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The records from an offset on that fit one message; `None` if the offset is not retained.
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

/// Buffer of records that cannot be folded until earlier ones arrive.
#[derive(Clone, Debug, Default)]
pub struct ReorderBuffer {
    records: BTreeMap<u64, LogRecord>,
}

impl ReorderBuffer {
    /// Inserts a record. If the buffer is full, evicts the record with the lowest offset.
    pub fn insert(&mut self, entry: LogRecord) {
        self.records.insert(entry.offset, entry);
        if self.records.len() > MAX_EARLY_RECORDS {
            self.records.pop_first();
        }
    }

    /// Removes and returns the record at this offset, and drops all before it.
    pub fn take(&mut self, offset: u64) -> Option<LogRecord> {
        while let Some(entry) = self.records.first_entry() {
            if *entry.key() >= offset {
                break;
            }
            entry.remove();
        }
        self.records.remove(&offset)
    }

    /// The lowest buffered offset; `None` if the buffer is empty.
    pub fn first(&self) -> Option<u64> {
        self.records.keys().next().copied()
    }

    /// The offset after the highest buffered one; `None` if the buffer is empty.
    pub fn end(&self) -> Option<u64> {
        self.records.keys().next_back().map(|offset| offset + 1)
    }
}
