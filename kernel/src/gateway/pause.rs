//! Pauses that upstreams ask this node for when they refuse its calls.

use std::time::Duration;

/// A pause that an upstream asked this node for; other nodes may send it calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamPause {
    until: Option<Duration>,
}

impl UpstreamPause {
    /// Takes in that the upstream wants nothing for a while. A shorter pause does not end a longer one.
    pub fn extend(&mut self, pause: Duration, now: Duration) {
        self.until = self.until.max(Some(now.saturating_add(pause)));
    }

    /// How long it goes on; none if requests may be sent.
    pub fn left(&self, now: Duration) -> Option<Duration> {
        let left = self.until?.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }
}
