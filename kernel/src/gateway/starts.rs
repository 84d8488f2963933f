//! Remembers which software version began each stream, for callers who resume them.
//!
//! A caller may resume a stream at any node, also because the one that began it is gone. That node
//! tells a few others, its *keepers*, before the caller gets the first event; a node that does not know
//! a stream asks those which all nodes would choose as its keepers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::registry::SoftwareKey;

/// Maximum number of streams that are remembered, some 5 MB.
const MAX_STARTS: usize = 65_536;
/// Time beyond the end of a caller's time for which its stream is remembered.
const START_SLACK: Duration = Duration::from_secs(5);
/// Longest time for which a stream is remembered without news of it.
const MAX_TTL: Duration = Duration::from_mins(10);
/// Number of streams a second that are told to further keepers in other availability zones, where
/// the hubs receive those of all nodes.
const FURTHER_PER_SECOND: u32 = 20;

/// Identifies a stream by a hash of the id of the caller's attempt that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Key of the stream that this attempt began.
    pub fn new(attempt: &str) -> Self {
        Self(xxh3_64(attempt.as_bytes()))
    }

    /// Uniform number, the same at all nodes.
    pub fn number(self) -> u64 {
        self.0
    }
}

/// Start of a stream, as sent to other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct StreamStart {
    /// Key of the stream.
    pub stream: StreamKey,
    /// Software version that began it.
    pub software: SoftwareKey,
    /// Time for which its caller may resume it, in seconds.
    pub left_s: u32,
}

impl StreamStart {
    /// Creates the start of a stream whose caller waits for another `left`.
    pub fn new(stream: StreamKey, software: SoftwareKey, left: Duration) -> Self {
        let ttl = left.saturating_add(START_SLACK).min(MAX_TTL);
        Self {
            stream,
            software,
            left_s: ttl.as_secs() as u32 + 1,
        }
    }
}

/// What nodes tell and ask each other about the starts of streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartMessage {
    /// A stream began.
    #[serde(rename = "b")]
    Began(StreamStart),
    /// The sender asks for the start of a stream.
    #[serde(rename = "q")]
    Query(StreamKey),
    /// The sender was asked for a stream that it does not know.
    #[serde(rename = "u")]
    Unknown(StreamKey),
}

#[derive(Clone, Copy, Debug)]
struct KnownStart {
    software: SoftwareKey,
    until: Duration,
}

/// Starts of the streams that this node began or was told of.
#[derive(Clone, Debug, Default)]
pub struct StartLedger {
    starts: BTreeMap<StreamKey, KnownStart>,
    /// The same streams in the order in which they expire.
    ends: BTreeSet<(Duration, StreamKey)>,
    /// Time until which the streams told to further keepers use up `FURTHER_PER_SECOND`.
    further_until: Duration,
}

impl StartLedger {
    /// Records the start of a stream. Of a known one only the time is extended: it began once. The one
    /// that expires first is dropped if there are too many.
    pub fn record(&mut self, start: StreamStart, now: Duration) {
        self.expire(now);
        let ttl = Duration::from_secs(start.left_s.into()).min(MAX_TTL + START_SLACK);
        let known = self.starts.get(&start.stream).copied();
        let until = known.map_or(Duration::ZERO, |known| known.until);
        let until = until.max(now + ttl);
        if let Some(known) = known {
            self.ends.remove(&(known.until, start.stream));
        }
        let software = known.map_or(start.software, |known| known.software);
        let known = KnownStart { software, until };
        self.starts.insert(start.stream, known);
        self.ends.insert((until, start.stream));
        if self.starts.len() > MAX_STARTS
            && let Some((_, first)) = self.ends.pop_first()
        {
            self.starts.remove(&first);
        }
    }

    /// Start of a stream; `None` if it is not known.
    pub fn start(&self, stream: StreamKey, now: Duration) -> Option<StreamStart> {
        let known = self.starts.get(&stream).filter(|known| known.until > now)?;
        let left = known.until.saturating_sub(now);
        Some(StreamStart {
            stream,
            software: known.software,
            left_s: left.as_secs() as u32,
        })
    }

    /// Whether the start of one more stream may be told to further keepers in other zones.
    pub fn may_tell_further(&mut self, now: Duration) -> bool {
        let until = self
            .further_until
            .max(now.saturating_sub(Duration::from_secs(1)));
        if until > now {
            return false;
        }
        self.further_until = until + Duration::from_secs(1) / FURTHER_PER_SECOND;
        true
    }

    /// Forgets the streams whose callers no longer wait.
    pub fn expire(&mut self, now: Duration) {
        while let Some((until, stream)) = self.ends.first().copied()
            && until <= now
        {
            self.ends.pop_first();
            self.starts.remove(&stream);
        }
    }

    /// Number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.starts.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }
}
