//! Splits a stream of bytes into server-sent events (WHATWG HTML, section 9.2).

use std::collections::VecDeque;

/// A server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerEvent {
    /// Data lines of the event, joined by line breaks.
    Data(Box<str>),
    /// End marker of the completions API, `[DONE]`.
    Done,
}

/// Maximum length of a line, in bytes; the rest of a longer line is dropped.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Incremental parser of server-sent events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    line: Vec<u8>,
    data: String,
    ready: VecDeque<ServerEvent>,
}

impl EventSplitter {
    /// Parses the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            let capacity = MAX_LINE_BYTES.saturating_sub(self.line.len());
            self.line
                .extend_from_slice(&part[..part.len().min(capacity)]);
            if part.ends_with(b"\n") {
                let line = std::mem::take(&mut self.line);
                self.end_line(String::from_utf8_lossy(&line).trim_end_matches(['\r', '\n']));
            }
        }
    }

    /// Removes and returns the next complete event; `None` until more bytes are pushed.
    pub fn next_event(&mut self) -> Option<ServerEvent> {
        self.ready.pop_front()
    }

    fn end_line(&mut self, line: &str) {
        if line.is_empty() {
            self.end_event();
            return;
        }
        let Some(value) = line.strip_prefix("data:") else {
            return;
        };
        if !self.data.is_empty() {
            self.data.push('\n');
        }
        self.data.push_str(value.strip_prefix(' ').unwrap_or(value));
    }

    fn end_event(&mut self) {
        if self.data.is_empty() {
            return;
        }
        let data = std::mem::take(&mut self.data);
        let event = if data == "[DONE]" {
            ServerEvent::Done
        } else {
            ServerEvent::Data(data.into())
        };
        self.ready.push_back(event);
    }
}
