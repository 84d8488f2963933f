//! Splits a stream of server-sent events at the ends of events, without changing a byte.

use bytes::{Bytes, BytesMut};

/// Largest event that is buffered, in bytes.
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
}

impl EventSplitter {
    /// Appends received bytes. Returns false if the buffered event exceeds 1 MiB.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_BYTES
    }

    /// Removes and returns the next complete event; `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let end = event_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(RawEvent { bytes, id })
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn remainder(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

/// Returns the position after the first blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
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
