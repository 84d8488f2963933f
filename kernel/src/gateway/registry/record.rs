//! Order of the records of upstreams' entries in the store.

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// Place in the store's log. The store begins a new era when it resumes from an older copy, and
/// assigns offsets again then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPlace {
    /// Era of the store.
    pub era: u64,
    /// Offset in the log.
    pub offset: u64,
}

/// Record of an upstream's entry, or the place in the log at which the entry was missing. A bare list
/// on the wire.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize_tuple, Deserialize_tuple,
)]
pub struct EntryRecord {
    /// Era of the store in which it was read.
    pub era: u64,
    /// Offset in the log.
    pub offset: u64,
    /// Whether it is certain that it is not only in the copy from which the era began: it was
    /// appended since, or kept for longer than the entry of a silent upstream is.
    pub is_current: bool,
}

impl EntryRecord {
    /// Creates a record of which only the place is known.
    pub fn at(place: LogPlace) -> Self {
        Self {
            era: place.era,
            offset: place.offset,
            is_current: false,
        }
    }

    /// Place in the log.
    pub fn place(self) -> LogPlace {
        LogPlace {
            era: self.era,
            offset: self.offset,
        }
    }

    /// Whether the upstream wrote this record, or kept it, after its entry was `missing`. A copy from
    /// which a later era began may lack that removal and end at any offset before it.
    pub fn follows(self, missing: Self) -> bool {
        if self.era == missing.era {
            return self.offset >= missing.offset;
        }
        self.era > missing.era && (self.is_current || self.offset >= missing.offset)
    }
}
