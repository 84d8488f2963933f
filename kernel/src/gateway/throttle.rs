//! Limits that upstreams in need name: requests a second that they take from all nodes together.

use std::time::Duration;

/// Time by which an answer without a limit has to follow one with it to end it: answers on several
/// connections overtake each other.
const ANSWER_SLACK: Duration = Duration::from_millis(200);

/// What an upstream said last of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NamedLimit {
    /// Requests a second; none if it named no limit any more.
    pub per_second: Option<f64>,
    /// When it said so.
    pub at: Duration,
}

/// What a node knows of an upstream's limit.
#[derive(Clone, Debug, Default)]
pub struct UpstreamThrottle {
    named: Option<NamedLimit>,
}

impl UpstreamThrottle {
    /// Takes in what an answer said at `said.at`. Gives whether the limit is another one now.
    pub fn heard(&mut self, said: NamedLimit) -> bool {
        let Some(known) = self.named else {
            if said.per_second.is_none() {
                return false;
            }
            self.named = Some(said);
            return true;
        };
        let ends = known.per_second.is_some() && said.per_second.is_none();
        let earliest = if ends {
            known.at + ANSWER_SLACK
        } else {
            known.at
        };
        if said.at < earliest {
            return false;
        }
        self.named = Some(said);
        known.per_second != said.per_second
    }

    /// The limit in force, in requests a second.
    pub fn limit(&self) -> Option<f64> {
        self.named?.per_second
    }
}
