//! Merges what other nodes know of upstreams. Every node keeps the newest evidence of each kind, so
//! they agree whatever the order in which it arrives.

use std::time::Duration;

use crate::gateway::registry::{
    EntryReport, KnownRun, LeavingCause, RunClaim, RunNews, Upstream, UpstreamEntry, UpstreamKey,
    UpstreamRegistry,
};

impl UpstreamRegistry {
    /// Merges the state of runs from another node. Returns the upstreams whose state changed.
    pub fn merge(
        &mut self,
        reports: impl IntoIterator<Item = EntryReport>,
        now: Duration,
    ) -> Vec<UpstreamKey> {
        let mut all = Vec::new();
        for report in reports {
            let changed = if report.left {
                self.receive_left(report.entry, now)
            } else {
                self.put(report.entry, now)
            };
            self.record_news(&changed, now);
            all.extend(changed);
        }
        all
    }

    /// Applies another node's report that a run accepts no new calls.
    fn receive_left(&mut self, mut entry: UpstreamEntry, now: Duration) -> Vec<UpstreamKey> {
        let record = entry.written.take();
        // Nodes of earlier releases send no records, and mark any run that left as leaving.
        let is_stated = entry.leaving && record.is_some();
        let cause = if is_stated {
            LeavingCause::Draining
        } else {
            LeavingCause::Removed
        };
        match self.known_run(&entry) {
            KnownRun::Other => Vec::new(),
            KnownRun::Older => {
                entry.leaving = is_stated;
                let mut upstream = Upstream::new(entry, now);
                if is_stated {
                    upstream.entry.written = record;
                } else {
                    upstream.record_missing(record);
                }
                upstream.leave(cause, now);
                self.add(upstream, now)
            }
            KnownRun::Same(key) => {
                let is_change = self.update(key, |upstream| {
                    let counts = if record.is_some() {
                        is_stated || upstream.record_missing(record)
                    } else {
                        upstream.entry.written.is_none()
                    };
                    counts && upstream.leave(cause, now)
                });
                self.revision += 1;
                is_change
                    .unwrap_or(false)
                    .then_some(key)
                    .into_iter()
                    .collect()
            }
        }
    }

    /// Applies another node's news of a run. Returns the upstreams whose state changed.
    pub fn receive_news(&mut self, news: RunNews, now: Duration) -> Vec<UpstreamKey> {
        let Some(key) = self.by_hash(news.run) else {
            return Vec::new();
        };
        let changed = match news.claim {
            RunClaim::Stated => self.leave(key, LeavingCause::Announced, now),
            RunClaim::Missing(missing) => {
                self.revision += 1;
                let changed = self.update(key, |upstream| {
                    upstream.record_missing(Some(missing))
                        && upstream.leave(LeavingCause::Removed, now)
                });
                changed == Some(true)
            }
            RunClaim::Written(record) => {
                let Some(upstream) = self.upstreams.get(&key) else {
                    return Vec::new();
                };
                let entry = UpstreamEntry {
                    written: Some(record),
                    ..upstream.entry.clone()
                };
                let changed = self.refresh(key, entry, now);
                self.record_news(&changed, now);
                return changed;
            }
        };
        let changed: Vec<UpstreamKey> = changed.then_some(key).into_iter().collect();
        self.record_news(&changed, now);
        changed
    }

    /// Applies the report of a node of an earlier release that the run with this hash leaves. Any record
    /// of it in the store ends that. Returns the upstream if that is a change.
    pub fn receive_departure(&mut self, hash: u64, now: Duration) -> Option<UpstreamKey> {
        let key = self.by_hash(hash)?;
        self.leave(key, LeavingCause::Removed, now).then_some(key)
    }

    /// Recent departures and returns, the newest first.
    pub fn news(&self, now: Duration) -> Vec<RunNews> {
        self.news.recent(now).collect()
    }

    /// Hashes of runs of upstreams that recently began to leave, the newest first, for nodes of
    /// earlier releases.
    pub fn departures(&self, now: Duration) -> Vec<u64> {
        let is_departure = |news: &RunNews| match news.claim {
            RunClaim::Stated | RunClaim::Missing(_) => true,
            RunClaim::Written(_) => false,
        };
        let departures = self.news.recent(now).filter(is_departure);
        departures.map(|news| news.run).collect()
    }

    pub(super) fn record_news(&mut self, changed: &[UpstreamKey], now: Duration) {
        for key in changed {
            let Some(upstream) = self.upstreams.get(key) else {
                continue;
            };
            if let Some(claim) = upstream.claim() {
                let run = upstream.entry.run_hash();
                self.news.record(RunNews { run, claim }, now);
            }
        }
    }
}
