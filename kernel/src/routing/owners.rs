//! Selection of the owner that a call is offered to.
//!
//! Candidates are the nodes that own upstreams of the call's pool. Their load is estimated from the
//! newest load summary, the offers made since, and this node's offers that are still open. A small
//! number of candidates is compared in full; of a large number, two are drawn (M. Mitzenmacher,
//! *The Power of Two Choices in Randomized Load Balancing*, 2001), because many entry nodes that
//! all pick the least loaded by outdated summaries would pick the same one.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::call::{CallSpec, LoadSummary};
use crate::config::Config;
use crate::ids::{NodeId, PoolId, ZoneId};
use crate::membership::{MemberView, NodeState};
use crate::ownership::OwnerMap;
use crate::routing::load::OwnerLoad;

/// Most candidates that are compared in full.
const COMPARE_ALL: usize = 16;
/// Number of candidates drawn when there are more.
const DRAWS: u8 = 2;
/// Load per slot below which an owner has capacity.
const CAPACITY_LOAD: f64 = 0.9;
/// Load per slot by which an owner in another availability zone must be better than the best near
/// one, if that has no capacity.
const ZONE_MARGIN: f64 = 0.25;
/// Load per slot by which another owner must be better than the one that probably has the prefix
/// cached, if that has no capacity.
const PREFIX_MARGIN: f64 = 0.25;
/// Load per slot added for a suspected node.
const SUSPECT_LOAD: f64 = 10.0;
/// Time without offers for a node whose link broke.
const LINK_BACKOFF: Duration = Duration::from_secs(1);

/// Policy by which an owner is selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OwnerPolicy {
    /// The least loaded of a small number, the better of two among a large number.
    #[default]
    Mixed,
    /// Always the least loaded of all candidates.
    LeastLoaded,
    /// Always the least loaded of this many, drawn at random.
    BestOf(u8),
    /// At random, in proportion to slots.
    EqualShares,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    node: NodeId,
    slots: u32,
    suspect: bool,
}

#[derive(Debug, Default)]
struct PoolOwners {
    near: Vec<Candidate>,
    far: Vec<Candidate>,
    all: BTreeMap<NodeId, Candidate>,
}

/// The owners of each pool and their estimated load.
#[derive(Debug, Default)]
pub struct OwnerTable {
    policy: OwnerPolicy,
    pools: BTreeMap<PoolId, PoolOwners>,
    loads: BTreeMap<(PoolId, NodeId), OwnerLoad>,
    backed_off: BTreeMap<NodeId, Duration>,
}

impl OwnerTable {
    /// An empty table with a selection policy.
    pub fn new(policy: OwnerPolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Rebuilds the candidates of each pool. Nodes that are leaving or dead are excluded.
    pub fn rebuild(&mut self, config: &Config, owners: &OwnerMap, view: &MemberView, zone: ZoneId) {
        self.pools.clear();
        for (pool, upstreams) in config.members.iter() {
            let mut slots: BTreeMap<NodeId, u32> = BTreeMap::new();
            for upstream in upstreams {
                if let Some(owner) = owners.owners.get(upstream) {
                    *slots.entry(*owner).or_default() += config.upstreams[upstream].spec.slots;
                }
            }
            let entry = self.pools.entry(*pool).or_default();
            for (node, slots) in slots {
                let Some(member) = view.members.get(&node) else {
                    continue;
                };
                if matches!(member.state, NodeState::Leaving | NodeState::Dead) {
                    continue;
                }
                let suspect = member.state == NodeState::Suspect;
                let candidate = Candidate {
                    node,
                    slots,
                    suspect,
                };
                entry.all.insert(node, candidate);
                if member.zone == zone {
                    entry.near.push(candidate);
                } else {
                    entry.far.push(candidate);
                }
            }
        }
        let pools = &self.pools;
        self.loads.retain(|(pool, node), load| {
            let owns = || {
                pools
                    .get(pool)
                    .is_some_and(|owners| owners.all.contains_key(node))
            };
            load.open_offers > 0 || owns()
        });
    }

    /// Whether the pool has any upstream in the configuration.
    pub fn has_pool(&self, pool: PoolId) -> bool {
        self.pools.contains_key(&pool)
    }

    /// Records an owner's load summary.
    pub fn update(&mut self, pool: PoolId, node: NodeId, load: LoadSummary, now: Duration) {
        let known = self.loads.entry((pool, node)).or_default();
        known.summary = Some((now, load));
        known.offers_since = 0;
    }

    /// Counts an offer to a node.
    pub fn record_offer(&mut self, pool: PoolId, node: NodeId) {
        let load = self.loads.entry((pool, node)).or_default();
        load.offers_since += 1;
        load.open_offers += 1;
    }

    /// Counts the end of an offer to a node.
    pub fn record_close(&mut self, pool: PoolId, node: NodeId) {
        if let Some(load) = self.loads.get_mut(&(pool, node)) {
            load.open_offers = load.open_offers.saturating_sub(1);
        }
    }

    /// Backs off from a node whose link broke.
    pub fn link_down(&mut self, node: NodeId, now: Duration) {
        self.backed_off.retain(|_, until| *until > now);
        self.backed_off.insert(node, now + LINK_BACKOFF);
    }

    /// Ends the backoff from a node whose link was restored.
    pub fn link_up(&mut self, node: NodeId) {
        self.backed_off.remove(&node);
    }

    /// Number of offers that have not ended, at all owners.
    pub fn open(&self) -> u32 {
        self.loads.values().map(|load| load.open_offers).sum()
    }

    /// The owner to offer a call to; `None` if all are in `tried` or backed off.
    pub fn choose(
        &self,
        spec: &CallSpec,
        tried: &[NodeId],
        now: Duration,
        random: &mut Pcg64Mcg,
    ) -> Option<NodeId> {
        let owners = self.pools.get(&spec.pool)?;
        let search = OwnerSearch {
            table: self,
            spec,
            tried,
            now,
        };
        if self.policy == OwnerPolicy::EqualShares {
            return search.by_share(&owners.all, random);
        }
        let near = search.best(&owners.near, random);
        if let Some((node, load)) = near
            && load < CAPACITY_LOAD
        {
            return Some(node);
        }
        let far = search.best(&owners.far, random);
        let (Some((near, near_load)), Some((far, far_load))) = (near, far) else {
            return near.or(far).map(|(node, _)| node);
        };
        let better = far_load + ZONE_MARGIN < near_load;
        Some(if better { far } else { near })
    }

    /// Whether an owner outside `tried` probably has a free slot.
    pub fn has_capacity(
        &self,
        spec: &CallSpec,
        tried: &[NodeId],
        now: Duration,
        random: &mut Pcg64Mcg,
    ) -> bool {
        self.choose(spec, tried, now, random)
            .is_some_and(|node| self.node_load(spec, node, now) < CAPACITY_LOAD)
    }

    fn node_load(&self, spec: &CallSpec, node: NodeId, now: Duration) -> f64 {
        let owners = self.pools.get(&spec.pool);
        owners
            .and_then(|owners| owners.all.get(&node))
            .map_or(f64::INFINITY, |candidate| self.load(spec, *candidate, now))
    }

    /// Estimated work per slot ahead of the call at an owner.
    fn load(&self, spec: &CallSpec, candidate: Candidate, now: Duration) -> f64 {
        let penalty = if candidate.suspect { SUSPECT_LOAD } else { 0.0 };
        let known = self.loads.get(&(spec.pool, candidate.node));
        penalty + known.map_or(0.0, |known| known.ahead(spec, candidate.slots, now))
    }
}

/// One selection among the owners of a pool.
struct OwnerSearch<'a> {
    table: &'a OwnerTable,
    spec: &'a CallSpec,
    tried: &'a [NodeId],
    now: Duration,
}

impl OwnerSearch<'_> {
    fn best(&self, among: &[Candidate], random: &mut Pcg64Mcg) -> Option<(NodeId, f64)> {
        if among.is_empty() {
            return None;
        }
        let best = match self.table.policy {
            OwnerPolicy::LeastLoaded => self.least(among, random),
            OwnerPolicy::Mixed if among.len() <= COMPARE_ALL => self.least(among, random),
            OwnerPolicy::Mixed | OwnerPolicy::EqualShares => self.best_of(DRAWS, among, random),
            OwnerPolicy::BestOf(draws) => self.best_of(draws, among, random),
        }?;
        let prefix_owner = self.prefix_owner(among);
        Some(
            prefix_owner
                .filter(|(_, load)| is_prefix_preferred(*load, best.1))
                .unwrap_or(best),
        )
    }

    /// The owner that the prefix is assigned to by rendezvous hashing, and its load.
    fn prefix_owner(&self, among: &[Candidate]) -> Option<(NodeId, f64)> {
        if self.spec.prefix == 0 {
            return None;
        }
        let prefix = self.spec.prefix;
        among
            .iter()
            .max_by_key(|candidate| xxh3_64_with_seed(&candidate.node.0.to_le_bytes(), prefix))
            .filter(|candidate| self.allowed(candidate))
            .map(|candidate| self.weigh(candidate))
    }

    fn least(&self, among: &[Candidate], random: &mut Pcg64Mcg) -> Option<(NodeId, f64)> {
        let start = random.random_range(0..among.len());
        let (before, after) = among.split_at(start);
        after
            .iter()
            .chain(before)
            .filter(|candidate| self.allowed(candidate))
            .map(|candidate| self.weigh(candidate))
            .min_by(|one, two| one.1.total_cmp(&two.1))
    }

    fn best_of(
        &self,
        draws: u8,
        among: &[Candidate],
        random: &mut Pcg64Mcg,
    ) -> Option<(NodeId, f64)> {
        (0..draws)
            .filter_map(|_| self.draw(among, random))
            .min_by(|one, two| one.1.total_cmp(&two.1))
    }

    /// The first allowed candidate after a random position.
    fn draw(&self, among: &[Candidate], random: &mut Pcg64Mcg) -> Option<(NodeId, f64)> {
        let start = random.random_range(0..among.len());
        let (before, after) = among.split_at(start);
        after
            .iter()
            .chain(before)
            .find(|candidate| self.allowed(candidate))
            .map(|candidate| self.weigh(candidate))
    }

    fn by_share(
        &self,
        among: &BTreeMap<NodeId, Candidate>,
        random: &mut Pcg64Mcg,
    ) -> Option<NodeId> {
        let allowed = || among.values().filter(|candidate| self.allowed(candidate));
        let total: u32 = allowed().map(|candidate| candidate.slots).sum();
        let mut place = random.random_range(0..total.max(1));
        allowed()
            .find(|candidate| {
                let found = place < candidate.slots;
                place = place.saturating_sub(candidate.slots);
                found
            })
            .map(|candidate| candidate.node)
    }

    fn weigh(&self, candidate: &Candidate) -> (NodeId, f64) {
        let load = self.table.load(self.spec, *candidate, self.now);
        (candidate.node, load)
    }

    fn allowed(&self, candidate: &Candidate) -> bool {
        let backed_off = self
            .table
            .backed_off
            .get(&candidate.node)
            .is_some_and(|until| *until > self.now);
        !backed_off && !self.tried.contains(&candidate.node)
    }
}

/// Whether the owner assigned to the prefix is preferred over the least loaded one.
fn is_prefix_preferred(load: f64, best: f64) -> bool {
    load < CAPACITY_LOAD || load <= best + PREFIX_MARGIN
}
