//! Anti-entropy: nodes whose digests differ compare their digests per zone and exchange the records
//! of the zones that differ.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::RngExt;

use crate::ids::NodeId;
use crate::membership::MembershipTable;
use crate::membership::message::{MembershipMessage, UpdateBatch};
use crate::membership::probe::jitter;
use crate::membership::record::{NodeRecord, NodeUpdate};
use crate::membership::zone::zone_tag;
use crate::plugin::Context;

/// Time without new updates before a difference is repaired; updates in transit resolve most.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Minimum time between two repairs that a node requests.
const MIN_REPAIR_GAP: Duration = Duration::from_millis(500);
/// Upper limit of that time, which doubles after each repair that yields nothing new.
const MAX_REPAIR_GAP: Duration = Duration::from_secs(30);
/// Maximum number of records in one answer.
const RECORDS_PER_REPAIR: usize = 64;
/// Tag of the digest of upstream marks, in place of a zone tag.
const UPSTREAM_TAG: u32 = 0;
/// Tag of the digest of zone marks, in place of a zone tag.
const ZONE_MARK_TAG: u32 = 1;

/// Determines when this node may request the next repair.
#[derive(Debug, Default)]
pub struct RepairTimer {
    next: Duration,
    gap: Duration,
    last_update: Duration,
    synced: bool,
    requested: bool,
}

impl RepairTimer {
    /// Records that new information arrived.
    pub fn record_update(&mut self, now: Duration) {
        self.last_update = now;
        self.gap = MIN_REPAIR_GAP;
        self.next = self.next.min(now + MIN_REPAIR_GAP);
    }

    fn is_due(&self, now: Duration) -> bool {
        let settled = !self.synced || now >= self.last_update + SETTLE_TIME;
        settled && now >= self.next
    }
}

fn fold_digest(digest: u64) -> u32 {
    (digest >> 32) as u32 ^ digest as u32
}

impl MembershipTable {
    /// Digest of all records that this node and `peer` share.
    pub(super) fn digest_for(&self, peer: NodeId) -> u32 {
        let digests = self.shared_digests(peer);
        digests
            .into_iter()
            .fold(0, |all, (tag, digest)| all ^ digest.rotate_left(tag % 32))
    }

    fn is_in_own_zone(&self, peer: NodeId) -> bool {
        self.rows.get(peer).is_some_and(|row| row.zone == self.zone)
    }

    /// Digests by tag of the records that this node and `peer` share; zeros are left out.
    fn shared_digests(&self, peer: NodeId) -> BTreeMap<u32, u32> {
        let same_zone = self.is_in_own_zone(peer);
        let mut digests: BTreeMap<u32, u32> = BTreeMap::new();
        for (zone, digest) in self.rows.digests() {
            let full = !self.group.zoned || (same_zone && *zone == self.zone);
            let digest = if full { digest.full } else { digest.fleet_wide };
            digests.insert(zone_tag(*zone), fold_digest(digest));
        }
        digests.insert(UPSTREAM_TAG, fold_digest(self.upstreams.digest()));
        if same_zone {
            digests.insert(ZONE_MARK_TAG, fold_digest(self.zones.digest()));
        }
        digests.retain(|_, digest| *digest != 0);
        digests
    }

    /// Requests a repair if the peer's digest differs from this node's and no update is in transit.
    pub(super) fn compare(&mut self, from: NodeId, digest: u32, context: &mut Context<'_>) {
        if digest == self.digest_for(from) {
            self.repair.synced = true;
            self.repair.gap = MIN_REPAIR_GAP;
            return;
        }
        if self.repair.is_due(context.now) {
            self.request_repair(from, context);
        }
    }

    /// Requests a repair at the first tick of a run. Before that the edges have no addresses.
    pub(super) fn tick_repair(&mut self, context: &mut Context<'_>) {
        if self.repair.requested {
            return;
        }
        self.repair.requested = true;
        if let Some(peer) = self.group.successor(self.node) {
            self.request_repair(peer, context);
        }
    }

    /// Requests the records that this node lacks from a peer.
    pub(super) fn request_repair(&mut self, peer: NodeId, context: &mut Context<'_>) {
        let pairs: Vec<u32> = self
            .shared_digests(peer)
            .into_iter()
            .flat_map(|(tag, digest)| [tag, digest])
            .collect();
        let gap = self.repair.gap.max(MIN_REPAIR_GAP);
        self.repair.next = context.now + jitter(gap, context);
        self.repair.gap = (gap * 2).min(MAX_REPAIR_GAP);
        context.send(peer, MembershipMessage::Compare(pairs));
    }

    /// Answers with the records of the zones whose digests differ. A long answer is limited to a
    /// random section; the requesting node repeats its request.
    pub(super) fn answer_compare(
        &mut self,
        from: NodeId,
        pairs: &[u32],
        context: &mut Context<'_>,
    ) {
        let theirs: BTreeMap<u32, u32> = pairs
            .chunks_exact(2)
            .map(|pair| (pair[0], pair[1]))
            .collect();
        let ours = self.shared_digests(from);
        let differing: BTreeSet<u32> = ours
            .keys()
            .chain(theirs.keys())
            .filter(|tag| ours.get(tag) != theirs.get(tag))
            .copied()
            .collect();
        let mut batch = self.records_of(&differing, context);
        if differing.contains(&UPSTREAM_TAG) {
            batch.1 = self
                .upstreams
                .all_updates()
                .take(RECORDS_PER_REPAIR)
                .collect();
        }
        if differing.contains(&ZONE_MARK_TAG) {
            batch.2 = self.zones.all_updates();
        }
        if !batch.is_empty() {
            context.send(from, MembershipMessage::Updates(batch));
        }
    }

    fn records_of(&self, differing: &BTreeSet<u32>, context: &mut Context<'_>) -> UpdateBatch {
        let mut updates: Vec<NodeUpdate> = self
            .rows
            .rows()
            .iter()
            .filter(|(_, row)| row.record != NodeRecord::UNKNOWN)
            .filter(|(_, row)| differing.contains(&zone_tag(row.zone)))
            .map(|(node, row)| NodeUpdate::new(*node, &row.record))
            .collect();
        if updates.len() > RECORDS_PER_REPAIR {
            let start = context.random.random_range(0..updates.len());
            updates.rotate_left(start);
            updates.truncate(RECORDS_PER_REPAIR);
        }
        UpdateBatch(updates, Vec::new(), Vec::new())
    }
}
