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
/// them. A lower share would let streams occupy most of a zone's engines in a surge of long
/// prompts.
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
pub fn reserved_for_tight(options: &[UpstreamCandidate]) -> BTreeSet<UpstreamKey> {
    let mut zones: BTreeMap<&str, Vec<&UpstreamCandidate>> = BTreeMap::new();
    for option in options.iter().filter(|option| !option.backed_off) {
        let zone = &*option.upstream.entry.zone;
        zones.entry(zone).or_default().push(option);
    }
    zones.into_values().flat_map(kept_in_zone).collect()
}

fn kept_in_zone(mut options: Vec<&UpstreamCandidate>) -> Vec<UpstreamKey> {
    if options.len() < 2 {
        return Vec::new();
    }
    let streams: u32 = options
        .iter()
        .map(|option| option.total.tight_streams)
        .sum();
    let slots: u32 = options
        .iter()
        .map(|option| option.upstream.entry.slots)
        .sum();
    let calls: u32 = options.iter().map(|option| option.total.calls).sum();
    let slots = f64::from(slots).max(1.0);
    let tight = f64::from(streams) / (TIGHT_FILL * slots);
    let other = f64::from(calls.saturating_sub(streams)) / (OTHER_FILL * slots);
    let share = tight.max(tight / (tight + other).max(f64::MIN_POSITIVE));
    let wanted = (share * options.len() as f64).ceil() as usize;
    options.sort_by_key(|option| xxh3_64(option.upstream.entry.id.as_bytes()));
    options.truncate(wanted.clamp(1, options.len() - 1));
    options.iter().map(|option| option.key).collect()
}
