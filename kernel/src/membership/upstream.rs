//! Which upstreams are leaving: told once, believed until the upstream is registered anew.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::UpstreamId;
use crate::membership::message::UpstreamUpdate;
use crate::membership::{HostEntry, HostRole};

/// How long an upstream that said itself that it leaves must say the contrary to be believed.
const RETURN_AFTER: Duration = Duration::from_secs(10);

const LEAVING: u8 = 1;
const BY_REPORT: u8 = 2;

#[derive(Clone, Copy, Debug, Default)]
struct UpstreamMark {
    version: u32,
    flags: u8,
    /// The host list showed it leaving, or no longer showed it, since the mark was made.
    seen_gone: bool,
    /// Since when its own reports say that it stays.
    staying_since: Option<Duration>,
}

/// A change that other plug-ins must hear of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamChange {
    /// No new work.
    Leaving(UpstreamId),
    /// It was registered anew.
    Returned(UpstreamId),
}

/// Marks on upstreams. A mark is a register with a version: the greater version wins.
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

    /// The upstreams that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = UpstreamId> + '_ {
        self.marks
            .iter()
            .filter(|(_, mark)| mark.flags & LEAVING != 0)
            .map(|(id, _)| *id)
    }

    /// The news of a mark.
    pub fn update(&self, id: UpstreamId) -> Option<UpstreamUpdate> {
        let mark = self.marks.get(&id)?;
        Some(UpstreamUpdate(id, mark.version, mark.flags))
    }

    /// All marks.
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

    /// Marks an upstream as leaving.
    pub fn drain(&mut self, id: UpstreamId) -> Option<UpstreamChange> {
        self.leave(id, LEAVING)
    }

    fn leave(&mut self, id: UpstreamId, flags: u8) -> Option<UpstreamChange> {
        if self.is_leaving(id) {
            return None;
        }
        self.set(id, flags);
        Some(UpstreamChange::Leaving(id))
    }

    /// Takes in an upstream's own word.
    pub fn report(
        &mut self,
        id: UpstreamId,
        leaving: bool,
        now: Duration,
    ) -> Option<UpstreamChange> {
        if leaving {
            if let Some(mark) = self.marks.get_mut(&id) {
                mark.staying_since = None;
            }
            return self.leave(id, LEAVING | BY_REPORT);
        }
        let mark = self.marks.get_mut(&id)?;
        if mark.flags != LEAVING | BY_REPORT {
            return None;
        }
        let since = *mark.staying_since.get_or_insert(now);
        if now.saturating_sub(since) < RETURN_AFTER {
            return None;
        }
        self.set(id, 0);
        Some(UpstreamChange::Returned(id))
    }

    /// Takes in the host list; one without a single upstream is taken for a fault of the platform.
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
            .filter_map(|(id, _)| self.leave(*id, LEAVING))
            .collect();
        let marked: Vec<UpstreamId> = self.leaving().collect();
        for id in marked {
            changes.extend(self.compare(id, listed.get(&id).copied()));
        }
        changes
    }

    fn compare(&mut self, id: UpstreamId, listed: Option<bool>) -> Option<UpstreamChange> {
        let mark = self.marks.get_mut(&id)?;
        if listed != Some(false) {
            mark.seen_gone = true;
            return None;
        }
        if !mark.seen_gone {
            return None;
        }
        self.set(id, 0);
        Some(UpstreamChange::Returned(id))
    }

    /// Takes in another node's news; tells whether it was news, and what changed.
    pub fn merge(&mut self, news: UpstreamUpdate) -> (bool, Option<UpstreamChange>) {
        let UpstreamUpdate(id, version, flags) = news;
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
