//! Bounds the memory that the bodies of requests take together, from the first byte that is read to the
//! end of their calls, and decides which call gives way when there is no room.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Part of a host's memory that bodies may take, as a divisor. Connections, answers and the state of
/// the node share the rest.
const MEMORY_DIVISOR: usize = 4;
/// Memory that each body takes besides its bytes, for the head and the state of its call.
const CALL_BYTES: usize = 1 << 10;
/// Time without a byte after which a client counts as stopped.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Number of further bodies of its own size that a body leaves room for, so that a small body finds room
/// beside large ones.
const SPARE_BODIES: usize = 32;
/// Part of the limit that a body leaves free at most, as a divisor.
const SPARE_DIVISOR: usize = 4;
/// Length of the window in which the released bytes are counted.
const RELEASE_WINDOW: Duration = Duration::from_secs(2);
/// Bounds of the time after which a refused caller is told to return. The shortest is the time after
/// which the clients that have stopped give way.
const RETRY_AFTER: [Duration; 2] = [STALL_TIME, Duration::from_secs(10)];

/// Identifies a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BodyKey(u64);

/// What a body's call is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyPhase {
    /// The body is being read; the last byte came at this time.
    Reading(Duration),
    /// The body is whole, and its call waits for an upstream.
    Waiting,
    /// The call was sent to an upstream, so it keeps its body until it ends.
    Sent,
    /// The call gives way, and its memory is not released yet.
    Leaving,
}

impl BodyPhase {
    fn gives_way(self) -> bool {
        match self {
            Self::Reading(_) | Self::Waiting => true,
            Self::Sent | Self::Leaving => false,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct BodyEntry {
    bytes: usize,
    phase: BodyPhase,
}

/// Whether a body got the memory that it asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyGrant {
    /// It did, once the bodies that give way are closed. These give way now: their calls have not run and
    /// are refused.
    Granted(Vec<BodyKey>),
    /// There is no room, and the call is refused.
    Refused {
        /// Time after which there is likely to be room.
        retry_after: Duration,
    },
}

/// The call gave way to another, so it must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyEvicted;

/// Bytes released in the current window and in the one before it.
#[derive(Clone, Copy, Debug, Default)]
struct ReleaseCount {
    window: u128,
    current: usize,
    previous: usize,
}

impl ReleaseCount {
    fn advance(&mut self, now: Duration) {
        let window = now.as_millis() / RELEASE_WINDOW.as_millis();
        if window != self.window {
            let adjacent = window == self.window + 1;
            self.previous = if adjacent { self.current } else { 0 };
            self.current = 0;
            self.window = window;
        }
    }

    fn add(&mut self, bytes: usize, now: Duration) {
        self.advance(now);
        self.current += bytes;
    }

    /// Returns the time in which that many bytes are released, at the rate of the last windows, within the
    /// bounds of what a caller is told.
    fn time_for(&mut self, bytes: usize, now: Duration) -> Duration {
        self.advance(now);
        let [shortest, longest] = RETRY_AFTER;
        let released = self.previous.max(self.current);
        if bytes == 0 {
            return shortest;
        }
        if released == 0 {
            return longest;
        }
        RELEASE_WINDOW
            .mul_f64(bytes as f64 / released as f64)
            .clamp(shortest, longest)
    }
}

/// Memory that the bodies of a node take.
#[derive(Clone, Debug)]
pub struct BodyLedger {
    limit: usize,
    held: usize,
    leaving: usize,
    bodies: BTreeMap<BodyKey, BodyEntry>,
    released: ReleaseCount,
    next_key: u64,
}

impl BodyLedger {
    /// Creates the ledger of a host with this much memory, in bytes.
    pub fn new(memory: usize) -> Self {
        Self {
            limit: memory / MEMORY_DIVISOR,
            held: 0,
            leaving: 0,
            bodies: BTreeMap::new(),
            released: ReleaseCount::default(),
            next_key: 0,
        }
    }

    /// Bytes that all bodies take.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Whether granted memory may be allocated: enough of the bodies that give way are closed.
    pub fn is_settled(&self) -> bool {
        self.held <= self.limit || self.leaving == 0
    }

    /// Bytes that all bodies may take.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Largest size of a body that finds room if it is the only one, in bytes.
    pub fn largest(&self) -> usize {
        self.ceiling().saturating_sub(CALL_BYTES)
    }

    /// Bytes that all bodies may take beside one that leaves as much free as any.
    fn ceiling(&self) -> usize {
        self.limit - self.limit / SPARE_DIVISOR
    }

    /// Number of bodies.
    pub fn len(&self) -> usize {
        self.bodies.len()
    }

    /// Whether there is no body.
    pub fn is_empty(&self) -> bool {
        self.bodies.is_empty()
    }

    /// Adds a body of which nothing was read yet.
    pub fn open(&mut self, now: Duration) -> BodyKey {
        let key = BodyKey(self.next_key);
        self.next_key += 1;
        self.held += CALL_BYTES;
        let entry = BodyEntry {
            bytes: CALL_BYTES,
            phase: BodyPhase::Reading(now),
        };
        self.bodies.insert(key, entry);
        key
    }

    /// Sets the memory that is allocated for a body's bytes. If it grows beyond what is left, clients that
    /// have stopped give way, the one that stopped first before the others; then bodies that are larger
    /// and were not sent yet, the largest first. A refused body gives way itself.
    pub fn allocate(&mut self, key: BodyKey, bytes: usize, now: Duration) -> BodyGrant {
        let entry = self.bodies.get_mut(&key);
        let Some(entry) = entry.filter(|entry| entry.phase != BodyPhase::Leaving) else {
            let retry_after = self.retry_after(now);
            return BodyGrant::Refused { retry_after };
        };
        let bytes = bytes + CALL_BYTES;
        if matches!(entry.phase, BodyPhase::Reading(_)) {
            entry.phase = BodyPhase::Reading(now);
        }
        let before = entry.bytes;
        let grows = bytes > before;
        self.held = self.held - before + bytes;
        entry.bytes = bytes;
        let spare = (bytes * SPARE_BODIES).min(self.limit / SPARE_DIVISOR);
        let staying = self.held - self.leaving;
        let excess = staying.saturating_sub(self.limit.saturating_sub(spare));
        let evicted = if grows && excess > 0 {
            self.victims(bytes, excess, now)
        } else {
            Some(Vec::new())
        };
        let Some(evicted) = evicted else {
            self.set_bytes(key, before);
            self.leave(key);
            let retry_after = self.retry_after(now);
            return BodyGrant::Refused { retry_after };
        };
        for victim in &evicted {
            self.leave(*victim);
        }
        BodyGrant::Granted(evicted)
    }

    /// Records that a byte of a body arrived.
    pub fn progress(&mut self, key: BodyKey, now: Duration) {
        if let Some(entry) = self.staying(key) {
            entry.phase = BodyPhase::Reading(now);
        }
    }

    /// Records that a body is whole.
    pub fn complete(&mut self, key: BodyKey) {
        if let Some(entry) = self.staying(key) {
            entry.phase = BodyPhase::Waiting;
        }
    }

    /// Records that a body's call is about to be sent, after which it never gives way.
    ///
    /// # Errors
    ///
    /// If it gave way before.
    pub fn pin(&mut self, key: BodyKey) -> Result<(), BodyEvicted> {
        let entry = self.staying(key).ok_or(BodyEvicted)?;
        entry.phase = BodyPhase::Sent;
        Ok(())
    }

    /// Removes a body whose memory is released.
    pub fn close(&mut self, key: BodyKey, now: Duration) {
        let Some(entry) = self.bodies.remove(&key) else {
            return;
        };
        self.held -= entry.bytes;
        if entry.phase == BodyPhase::Leaving {
            self.leaving -= entry.bytes;
        } else {
            self.released.add(entry.bytes, now);
        }
    }

    fn staying(&mut self, key: BodyKey) -> Option<&mut BodyEntry> {
        let entry = self.bodies.get_mut(&key)?;
        (entry.phase != BodyPhase::Leaving).then_some(entry)
    }

    fn leave(&mut self, key: BodyKey) {
        if let Some(entry) = self.staying(key) {
            entry.phase = BodyPhase::Leaving;
            self.leaving += entry.bytes;
        }
    }

    fn set_bytes(&mut self, key: BodyKey, bytes: usize) {
        if let Some(entry) = self.bodies.get_mut(&key) {
            self.held = self.held - entry.bytes + bytes;
            entry.bytes = bytes;
        }
    }

    /// Lets the body of the client that stopped first give way, so that another client can have its
    /// connection; `None` if no client has stopped.
    pub fn evict_stalled(&mut self, now: Duration) -> Option<BodyKey> {
        let ((_, stalled), _) = self.stalled(now).pop_first()?;
        self.leave(stalled);
        Some(stalled)
    }

    /// Time after which a caller whose body found no room, or gave way, is told to return. Calls that
    /// were not sent end or give way soon; the others release their bodies as they did lately.
    pub fn retry_after(&mut self, now: Duration) -> Duration {
        let sent = self
            .bodies
            .values()
            .filter(|entry| entry.phase == BodyPhase::Sent);
        let sent: usize = sent.map(|entry| entry.bytes).sum();
        let excess = sent.saturating_sub(self.ceiling() / 2);
        self.released.time_for(excess, now)
    }

    /// Returns the bodies whose clients have stopped, by the time of their last byte.
    fn stalled(&self, now: Duration) -> BTreeMap<(Duration, BodyKey), usize> {
        let stopped = self.bodies.iter().filter_map(|(key, entry)| {
            let BodyPhase::Reading(last) = entry.phase else {
                return None;
            };
            (now >= last + STALL_TIME).then_some(((last, *key), entry.bytes))
        });
        stopped.collect()
    }

    /// Returns the bodies that give way to one of this size, which needs `excess` bytes more than there
    /// are; `None` if that many cannot be had.
    fn victims(&self, bytes: usize, excess: usize, now: Duration) -> Option<Vec<BodyKey>> {
        let stalled = self.stalled(now);
        let mut larger: Vec<(usize, BodyKey)> = self
            .bodies
            .iter()
            .filter(|(_, entry)| entry.phase.gives_way() && entry.bytes > bytes)
            .map(|(key, entry)| (entry.bytes, *key))
            .collect();
        larger.sort_unstable_by_key(|(size, key)| (Reverse(*size), *key));
        let stopped = stalled.iter().map(|((_, key), size)| (*size, *key));
        let mut victims = Vec::new();
        let mut freed = 0;
        for (size, key) in stopped.chain(larger) {
            if freed >= excess {
                break;
            }
            if !victims.contains(&key) {
                victims.push(key);
                freed += size;
            }
        }
        (freed >= excess).then_some(victims)
    }
}
