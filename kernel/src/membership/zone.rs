//! Gossip between zones: bridges compare digests and propagate a heartbeat counter of each zone.
//!
//! An unreachable zone is marked as lost as a whole. The records of its nodes stay unchanged, so
//! that its return costs one mark instead of one refutation per node.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use crate::ids::{NodeId, ZoneId};
use crate::membership::MembershipTable;
use crate::membership::message::{MembershipMessage, ZoneUpdate};
use crate::membership::outbox::{UpdateAudience, UpdateKey};
use crate::membership::probe::jitter;
use crate::plugin::Context;

/// Time between two gossip rounds of a bridge, each with one bridge of another zone.
pub const BRIDGE_PERIOD: Duration = Duration::from_secs(1);
/// Time without a new heartbeat after which a zone is marked as lost.
pub const ZONE_TIMEOUT: Duration = Duration::from_secs(12);

/// Share of a bridge's rounds that goes to lost zones.
const LOST_ZONE_SHARE: f64 = 0.25;

#[derive(Clone, Copy, Debug)]
struct ZoneHeartbeat {
    beat: u32,
    received_at: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct ZoneMark {
    version: u32,
    lost: bool,
}

/// Heartbeats of all zones as received by bridges, and this zone's marks on other zones.
#[derive(Debug, Default)]
pub struct ZoneTable {
    beats: BTreeMap<ZoneId, ZoneHeartbeat>,
    marks: BTreeMap<ZoneId, ZoneMark>,
    tags: BTreeMap<u32, ZoneId>,
    next_round: Duration,
    bridge_since: Option<Duration>,
}

/// Short identifier of a zone in messages.
pub fn zone_tag(zone: ZoneId) -> u32 {
    zone.0 as u32
}

impl ZoneTable {
    /// Whether the zone is marked as lost.
    pub fn is_lost(&self, zone: ZoneId) -> bool {
        self.marks.get(&zone).is_some_and(|mark| mark.lost)
    }

    /// The zones marked as lost.
    pub fn lost(&self) -> impl Iterator<Item = ZoneId> + '_ {
        self.marks
            .iter()
            .filter(|(_, mark)| mark.lost)
            .map(|(zone, _)| *zone)
    }

    /// Sets the zones that exist; heartbeats of others are ignored.
    pub fn set_zones(&mut self, zones: impl Iterator<Item = ZoneId>) {
        self.tags = zones.map(|zone| (zone_tag(zone), zone)).collect();
    }

    /// The current mark on a zone as an update; `None` if there is no mark.
    pub fn update(&self, zone: ZoneId) -> Option<ZoneUpdate> {
        let mark = self.marks.get(&zone)?;
        Some(ZoneUpdate(zone, mark.version, mark.lost))
    }

    /// All marks as updates.
    pub fn all_updates(&self) -> Vec<ZoneUpdate> {
        self.marks
            .iter()
            .map(|(zone, mark)| ZoneUpdate(*zone, mark.version, mark.lost))
            .collect()
    }

    /// Digest of all marks.
    pub fn digest(&self) -> u64 {
        self.marks.iter().fold(0, |all, (zone, mark)| {
            let word = u64::from(mark.version) << 1 | u64::from(mark.lost);
            all ^ (zone.0 ^ word).wrapping_mul(0x9e37_79b9_7f4a_7c15)
        })
    }

    /// Merges another node's mark; returns whether it was newer.
    pub fn merge(&mut self, update: ZoneUpdate) -> bool {
        let ZoneUpdate(zone, version, lost) = update;
        let mark = self.marks.entry(zone).or_default();
        if (version, lost) <= (mark.version, mark.lost) {
            return false;
        }
        *mark = ZoneMark { version, lost };
        true
    }

    fn set(&mut self, zone: ZoneId, lost: bool) {
        let mark = self.marks.entry(zone).or_default();
        mark.version += 1;
        mark.lost = lost;
    }

    fn record_beat(&mut self, zone: ZoneId, beat: u32, now: Duration) {
        let known = self.beats.entry(zone).or_insert(ZoneHeartbeat {
            beat,
            received_at: now,
        });
        if beat > known.beat {
            *known = ZoneHeartbeat {
                beat,
                received_at: now,
            };
        }
    }

    fn advance_own_beat(&mut self, zone: ZoneId, now: Duration) {
        let beat = self
            .beats
            .get(&zone)
            .map_or(1, |known| known.beat.saturating_add(1));
        self.record_beat(zone, beat, now);
    }

    fn beat_pairs(&self) -> Vec<u32> {
        self.beats
            .iter()
            .flat_map(|(zone, known)| [zone_tag(*zone), known.beat])
            .collect()
    }

    fn detect_loss(&self, zone: ZoneId, now: Duration) -> Option<bool> {
        let since = self.bridge_since?;
        let last_beat = self
            .beats
            .get(&zone)
            .map_or(since, |known| known.received_at);
        let lost = now.saturating_sub(last_beat.max(since)) > ZONE_TIMEOUT;
        let renewed = last_beat > since;
        (lost || renewed).then_some(lost)
    }
}

impl MembershipTable {
    /// Runs the periodic gossip between zones if this node is a bridge.
    pub(super) fn tick_zones(&mut self, context: &mut Context<'_>) {
        if self.group.rank.is_none() {
            self.zones.bridge_since = None;
            return;
        }
        self.zones.bridge_since.get_or_insert(context.now);
        if context.now < self.zones.next_round {
            return;
        }
        self.zones.next_round = context.now + jitter(BRIDGE_PERIOD, context);
        if self.group.rank == Some(0) {
            self.zones
                .advance_own_beat(context.profile.zone, context.now);
            self.update_marks(context);
        }
        if let Some(peer) = self.random_bridge(context) {
            self.send_bridge(peer, true, context);
        }
    }

    /// A random bridge of another zone. Lost zones receive only a share of the rounds, so that the
    /// zones on this side of a network partition still exchange heartbeats often.
    fn random_bridge(&self, context: &mut Context<'_>) -> Option<NodeId> {
        let own = context.profile.zone;
        let others = self.group.bridges.iter().filter(|(zone, _)| **zone != own);
        let (lost, reachable): (Vec<_>, Vec<_>) =
            others.partition(|(zone, _)| self.zones.is_lost(**zone));
        let try_lost = context.random.random_bool(LOST_ZONE_SHARE);
        let zones = if reachable.is_empty() || (try_lost && !lost.is_empty()) {
            lost
        } else {
            reachable
        };
        if zones.is_empty() {
            return None;
        }
        let (_, bridges) = zones[context.random.random_range(0..zones.len())];
        let index = context.random.random_range(0..bridges.len());
        Some(bridges[index])
    }

    fn send_bridge(&mut self, to: NodeId, answer: bool, context: &mut Context<'_>) {
        let digest = self.digest_for(to);
        let message = MembershipMessage::Bridge(answer, digest, self.zones.beat_pairs());
        context.send(to, message);
    }

    fn update_marks(&mut self, context: &mut Context<'_>) {
        let zones: Vec<ZoneId> = self.zones.tags.values().copied().collect();
        for zone in zones {
            if zone == context.profile.zone {
                continue;
            }
            let Some(lost) = self.zones.detect_loss(zone, context.now) else {
                continue;
            };
            if lost != self.zones.is_lost(zone) {
                self.zones.set(zone, lost);
                let audience = UpdateAudience {
                    group: true,
                    other_zones: false,
                };
                self.outbox
                    .add(UpdateKey::Zone(zone), audience, context.now);
                self.dirty = true;
            }
        }
    }

    /// Merges the heartbeats from another zone's bridge, and answers if requested.
    pub(super) fn handle_bridge(
        &mut self,
        from: NodeId,
        answer: bool,
        beats: &[u32],
        context: &mut Context<'_>,
    ) {
        for pair in beats.chunks_exact(2) {
            if let Some(zone) = self.zones.tags.get(&pair[0]).copied() {
                self.zones.record_beat(zone, pair[1], context.now);
            }
        }
        if answer {
            self.send_bridge(from, false, context);
        }
    }
}
