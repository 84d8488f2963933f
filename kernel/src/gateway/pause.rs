//! Pauses that upstreams request of this node when they reject its calls.

use std::time::Duration;

/// A pause that an upstream requested of this node; other nodes may send it calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamPause {
    until: Option<Duration>,
}

impl UpstreamPause {
    /// Records that the upstream accepts no calls for a while. A longer pause is not shortened.
    pub fn extend(&mut self, pause: Duration, now: Duration) {
        self.until = self.until.max(Some(now.saturating_add(pause)));
    }

    /// Time until the pause ends; `None` if requests may be sent.
    pub fn left(&self, now: Duration) -> Option<Duration> {
        let left = self.until?.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }
}
