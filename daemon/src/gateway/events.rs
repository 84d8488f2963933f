//! Splits a stream of server-sent events where events end, without changing a byte.

use bytes::{Bytes, BytesMut};

/// Largest event that is held back until it is whole.
const MOST_BYTES: usize = 1 << 20;

/// A whole event, as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawEvent {
    /// Its bytes, the blank line included.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
}

/// Holds bytes back until they make whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
}

impl EventSplitter {
    /// Takes in the next bytes. Gives false if an event grows beyond all bounds.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.held.extend_from_slice(bytes);
        self.held.len() <= MOST_BYTES
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let end = event_end(&self.held)?;
        let bytes = self.held.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(RawEvent { bytes, id })
    }

    /// Bytes after the last whole event.
    pub fn remainder(&mut self) -> Bytes {
        self.held.split().freeze()
    }
}

/// Position after the first blank line.
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
