//! Marks on leaving upstreams. A mark stands until the upstream is back in service.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::UpstreamId;
use crate::membership::message::UpstreamUpdate;
use crate::membership::{HostEntry, HostRole};

/// Time for which an upstream that reported itself as leaving must report the contrary before its
/// mark is cleared.
const RETURN_DELAY: Duration = Duration::from_secs(10);

const LEAVING: u8 = 1;
const BY_REPORT: u8 = 2;

#[derive(Clone, Copy, Debug, Default)]
struct UpstreamMark {
    version: u32,
    flags: u8,
    /// Whether the host list showed the upstream as leaving, or not at all, since it was marked.
    gone_since_mark: bool,
    /// Kernel time since which its own reports do not mark it as leaving.
    serving_since: Option<Duration>,
}

/// A change to raise as an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamChange {
    /// The upstream is leaving and receives no new work.
    Leaving(UpstreamId),
    /// The upstream is back in service.
    Returned(UpstreamId),
}

/// Marks on upstreams. A mark is a versioned register; on a merge the greater version wins.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    marks: BTreeMap<UpstreamId, UpstreamMark>,
}

impl UpstreamTable {
    /// Digest of all marks.
    pub fn digest(&self) -> u64 {
        self.marks
            .iter()
            .map(|(id, mark)| {
                let word = u64::from(mark.version) << 8 | u64::from(mark.flags);
                xxh3_64_with_seed(&id.0.to_le_bytes(), word)
            })
            .fold(0, |all, one| all ^ one)
    }

    /// The upstreams marked as leaving.
    pub fn leaving(&self) -> impl Iterator<Item = UpstreamId> + '_ {
        self.marks
            .iter()
            .filter(|(_, mark)| mark.flags & LEAVING != 0)
            .map(|(id, _)| *id)
    }

    /// The mark on an upstream as an update; `None` if there is no mark.
    pub fn update(&self, id: UpstreamId) -> Option<UpstreamUpdate> {
        let mark = self.marks.get(&id)?;
        Some(UpstreamUpdate(id, mark.version, mark.flags))
    }

    /// All marks as updates.
    pub fn all_updates(&self) -> impl Iterator<Item = UpstreamUpdate> + '_ {
        self.marks
            .iter()
            .map(|(id, mark)| UpstreamUpdate(*id, mark.version, mark.flags))
    }

    fn is_leaving(&self, id: UpstreamId) -> bool {
        self.marks
            .get(&id)
            .is_some_and(|mark| mark.flags & LEAVING != 0)
    }

    fn set(&mut self, id: UpstreamId, flags: u8) {
        let mark = self.marks.entry(id).or_default();
        *mark = UpstreamMark {
            version: mark.version + 1,
            flags,
            ..UpstreamMark::default()
        };
    }

    /// Marks an upstream as leaving; `None` if it already was.
    pub fn drain(&mut self, id: UpstreamId) -> Option<UpstreamChange> {
        self.mark_leaving(id, LEAVING)
    }

    fn mark_leaving(&mut self, id: UpstreamId, flags: u8) -> Option<UpstreamChange> {
        if self.is_leaving(id) {
            return None;
        }
        self.set(id, flags);
        Some(UpstreamChange::Leaving(id))
    }

    /// Applies an upstream's own report whether it is leaving; returns the resulting change.
    pub fn report(
        &mut self,
        id: UpstreamId,
        leaving: bool,
        now: Duration,
    ) -> Option<UpstreamChange> {
        if leaving {
            if let Some(mark) = self.marks.get_mut(&id) {
                mark.serving_since = None;
            }
            return self.mark_leaving(id, LEAVING | BY_REPORT);
        }
        let mark = self.marks.get_mut(&id)?;
        if mark.flags != LEAVING | BY_REPORT {
            return None;
        }
        let since = *mark.serving_since.get_or_insert(now);
        if now.saturating_sub(since) < RETURN_DELAY {
            return None;
        }
        self.set(id, 0);
        Some(UpstreamChange::Returned(id))
    }

    /// Applies the host list; returns the resulting changes. A list without any upstream is ignored
    /// as a fault of the platform.
    pub fn apply_host_list(&mut self, hosts: &[HostEntry]) -> Vec<UpstreamChange> {
        let listed: BTreeMap<UpstreamId, bool> = hosts
            .iter()
            .filter(|host| host.role == HostRole::Upstream)
            .map(|host| (UpstreamId::named(&host.name), host.leaving))
            .collect();
        if listed.is_empty() {
            return Vec::new();
        }
        let leaving = listed.iter().filter(|(_, leaving)| **leaving);
        let mut changes: Vec<UpstreamChange> = leaving
            .filter_map(|(id, _)| self.mark_leaving(*id, LEAVING))
            .collect();
        let marked: Vec<UpstreamId> = self.leaving().collect();
        for id in marked {
            changes.extend(self.reconcile(id, listed.get(&id).copied()));
        }
        changes
    }

    fn reconcile(&mut self, id: UpstreamId, listed: Option<bool>) -> Option<UpstreamChange> {
        let mark = self.marks.get_mut(&id)?;
        if listed != Some(false) {
            mark.gone_since_mark = true;
            return None;
        }
        if !mark.gone_since_mark {
            return None;
        }
        self.set(id, 0);
        Some(UpstreamChange::Returned(id))
    }

    /// Merges another node's mark; returns whether it was newer, and the resulting change.
    pub fn merge(&mut self, update: UpstreamUpdate) -> (bool, Option<UpstreamChange>) {
        let UpstreamUpdate(id, version, flags) = update;
        let known = self.marks.get(&id).copied().unwrap_or_default();
        if (version, flags) <= (known.version, known.flags) {
            return (false, None);
        }
        let mark = UpstreamMark {
            version,
            flags,
            ..UpstreamMark::default()
        };
        self.marks.insert(id, mark);
        let change = match (known.flags & LEAVING, flags & LEAVING) {
            (0, LEAVING) => Some(UpstreamChange::Leaving(id)),
            (LEAVING, 0) => Some(UpstreamChange::Returned(id)),
            _ => None,
        };
        (true, change)
    }
}
