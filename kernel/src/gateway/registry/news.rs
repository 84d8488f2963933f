//! Recent departures and returns of upstreams, as nodes pass them on with their evidence.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::gateway::registry::record::EntryRecord;

/// Time for which news is sent to other nodes: two of the longest intervals between heartbeats, so
/// that one heartbeat may be lost.
const NEWS_TTL: Duration = Duration::from_millis(1500);
/// Maximum number of upstreams in one heartbeat, 17 bytes each. Others are learned from the whole
/// registry.
const MAX_NEWS: usize = 24;

/// What is known of a run of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunClaim {
    /// The upstream stated that it leaves.
    #[serde(rename = "s")]
    Stated,
    /// Its entry was missing.
    #[serde(rename = "m")]
    Missing(EntryRecord),
    /// Its entry was written again.
    #[serde(rename = "w")]
    Written(EntryRecord),
}

/// A run that recently left or returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct RunNews {
    /// Hash of the run.
    pub run: u64,
    /// What is known of it.
    pub claim: RunClaim,
}

/// The newest news, at most as much as fits into a heartbeat.
#[derive(Clone, Debug, Default)]
pub struct RecentNews {
    news: VecDeque<(Duration, RunNews)>,
}

impl RecentNews {
    /// Adds news, which replaces older news of the same run.
    pub fn record(&mut self, news: RunNews, now: Duration) {
        self.news.retain(|(_, other)| other.run != news.run);
        self.news.push_back((now, news));
        if self.news.len() > MAX_NEWS {
            self.news.pop_front();
        }
    }

    /// News that other nodes may not know yet, the newest first.
    pub fn recent(&self, now: Duration) -> impl Iterator<Item = RunNews> {
        let fresh = move |(at, _): &&(Duration, RunNews)| *at + NEWS_TTL > now;
        let newest = self.news.iter().rev().take_while(fresh);
        newest.map(|(_, news)| *news)
    }
}
