//! Splits a stream of server-sent events at the ends of events, without changing a byte.

use bytes::{Bytes, BytesMut};

/// Maximum number of bytes without a new event, one with a higher id than those before: bytes of an
/// incomplete event, repeated events or events without an id.
const MAX_BYTES: usize = 1 << 20;

/// A complete event in its original bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawEvent {
    /// Bytes of the event, including the final blank line.
    pub bytes: Bytes,
    /// Numeric event id; `None` if the event has none.
    pub id: Option<u64>,
}

/// Buffers bytes until they form complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes at its start in which no event ends.
    searched: usize,
    highest_id: Option<u64>,
    /// Bytes of events since the last new one.
    repeated: usize,
}

impl EventSplitter {
    /// Appends received bytes. Returns false if there have been more than 1 MiB without a new event.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.repeated + self.buffer.len() <= MAX_BYTES
    }

    /// Number of buffered bytes.
    pub fn held_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and returns the next complete event; `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let Some(end) = event_end(&self.buffer, self.searched) else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        if id > self.highest_id {
            self.highest_id = id;
            self.repeated = 0;
        } else {
            self.repeated += bytes.len();
        }
        Some(RawEvent { bytes, id })
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn remainder(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

/// Returns the position after the first blank line, which does not end within the first `searched` bytes.
fn event_end(bytes: &[u8], searched: usize) -> Option<usize> {
    let earlier = &bytes[..searched.min(bytes.len())];
    let last_end = earlier.iter().rposition(|byte| *byte == b'\n');
    let mut line_start = last_end.map_or(0, |index| index + 1);
    for (index, byte) in bytes.iter().enumerate().skip(line_start) {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if index > 0 && (line.is_empty() || line == b"\r") {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(bytes).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    value.trim().parse().ok()
}
