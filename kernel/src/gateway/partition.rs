//! Selects the engines that are reserved for tight streams, which need short gaps between events.
//!
//! Prefill of a prompt stretches every step of its batch several times over, so streams that share
//! an engine with a steady flow of long prompts are late however idle the engine looked when they
//! were sent. The reserved share follows the number of such streams, zone by zone, and all nodes
//! with the same information select the same engines.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::load::WorkCount;
use crate::gateway::registry::{Upstream, UpstreamKey};

/// Share of a reserved engine's slots that tight streams fill before one more engine is reserved:
/// the rest is for a burst until the next heartbeats of other nodes, and for short calls beside
/// them. A lower share would give streams most of a zone's engines in a surge of long prompts.
const TIGHT_FILL: f64 = 0.85;
/// Share of an engine's slots that other calls fill: their long prompts fill its cache before more
/// slots are taken.
const OTHER_FILL: f64 = 0.5;

/// An upstream that a call may be sent to, with its total work.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamCandidate<'a> {
    /// Key of the upstream.
    pub key: UpstreamKey,
    /// State of the upstream.
    pub upstream: &'a Upstream,
    /// Work of all nodes at it.
    pub total: WorkCount,
    /// Whether it is backed off after failures.
    pub backed_off: bool,
}

/// Engines that are reserved for tight streams: in each availability zone with two or more, as many
/// as its streams fill, at least one and never all. If there are more engines than all calls fill,
/// the surplus is shared in proportion, as a stream is faster in a smaller batch.
pub fn reserved_for_tight(candidates: &[UpstreamCandidate]) -> BTreeSet<UpstreamKey> {
    let mut zones: BTreeMap<&str, Vec<&UpstreamCandidate>> = BTreeMap::new();
    for candidate in candidates.iter().filter(|candidate| !candidate.backed_off) {
        let zone = &*candidate.upstream.entry.zone;
        zones.entry(zone).or_default().push(candidate);
    }
    zones.into_values().flat_map(reserved_in_zone).collect()
}

fn reserved_in_zone(mut candidates: Vec<&UpstreamCandidate>) -> Vec<UpstreamKey> {
    if candidates.len() < 2 {
        return Vec::new();
    }
    let streams: u32 = candidates
        .iter()
        .map(|candidate| candidate.total.tight_streams)
        .sum();
    let slots: u32 = candidates
        .iter()
        .map(|candidate| candidate.upstream.entry.slots)
        .sum();
    let calls: u32 = candidates
        .iter()
        .map(|candidate| candidate.total.calls)
        .sum();
    let slots = f64::from(slots).max(1.0);
    let tight = f64::from(streams) / (TIGHT_FILL * slots);
    let other = f64::from(calls.saturating_sub(streams)) / (OTHER_FILL * slots);
    let share = tight.max(tight / (tight + other).max(f64::MIN_POSITIVE));
    let wanted = (share * candidates.len() as f64).ceil() as usize;
    // An engine that is slower than its pool's median stretches the gaps of a stream.
    candidates.sort_by_key(|candidate| {
        let is_slow = candidate.upstream.load.speed.ratio().is_slow();
        (is_slow, xxh3_64(candidate.upstream.entry.id.as_bytes()))
    });
    candidates.truncate(wanted.clamp(1, candidates.len() - 1));
    candidates.iter().map(|candidate| candidate.key).collect()
}
