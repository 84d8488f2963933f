//! The rules that determine a call's class and pool, in order, and the keys of callers.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use crate::gateway::scaling::ScalingSpec;

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSafety {
    /// Repeated runs have the same effect as one.
    Idempotent,
    /// The call may run at most once.
    AtMostOnce,
}

/// How an answer is forwarded to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerForm {
    /// As one body, after it was received whole.
    Whole,
    /// As server-sent events with increasing ids.
    Events {
        /// Whether another upstream may continue after the last event that was forwarded.
        resumable: bool,
    },
}

/// Properties that the first matching rule assigns to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallClass {
    /// Whether the call may run more than once.
    pub safety: CallSafety,
    /// How its answer is forwarded.
    pub form: AnswerForm,
    /// Rank among classes; 0 is the most urgent.
    pub tier: u8,
    /// Maximum time until the final answer.
    pub timeout: Duration,
    /// Target latency of the answer, or of the first event of a stream.
    pub target: Duration,
    /// Time that callers wait for the first or the next event of a stream before they disconnect;
    /// `None` if unknown.
    pub event_timeout: Option<Duration>,
    /// Maximum number of upstreams that one call may be sent to.
    pub max_attempts: u32,
    /// Target for the longest gap between two events of a stream; `None` if the class has none.
    pub gap: Option<Duration>,
    /// Whether calls contain prompts whose parts upstreams cache.
    pub cached: bool,
}

/// A pool and its share of a rule's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolShare {
    /// Name of the pool.
    pub pool: Box<str>,
    /// Share of the pool, relative to the rule's other pools.
    pub weight: u32,
}

/// One rule: conditions on a call, and the class and pools of calls that meet them.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRule {
    /// Name that the operator gave it.
    pub name: Box<str>,
    /// Condition: host that is called, in lower case.
    pub host: Box<str>,
    /// Condition: beginning of the path.
    pub path_prefix: Box<str>,
    /// Class of matching calls.
    pub class: CallClass,
    /// Pools that may run matching calls; never empty.
    pub pools: Box<[PoolShare]>,
    /// Whether callers need no key.
    pub public: bool,
}

/// A pool of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSpec {
    /// Name of the pool.
    pub name: Box<str>,
    /// Properties of its engines; `None` if it runs plain services.
    pub engine: Option<EngineSpec>,
    /// Settings for ordering engines; `None` if none can be ordered.
    pub scaling: Option<ScalingSpec>,
}

/// Properties of a pool's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Size of the KV cache in tokens.
    pub cache_tokens: u64,
    /// Number of tokens in one event of a stream.
    pub event_tokens: u32,
    /// Number of calls that an engine processes at once; 0 if not stated.
    pub slots: u32,
}

/// Cache tokens for each slot of an engine from which on its slots run out before its memory does:
/// about two long prompts.
const SLOT_BOUND_TOKENS: u64 = 24_000;

impl EngineSpec {
    /// Whether calls have to share few slots, so that their order, their upstream and their time of
    /// return are decided by all nodes together.
    pub fn is_slot_bound(&self) -> bool {
        let slots = u64::from(self.slots);
        slots > 0 && self.cache_tokens / slots >= SLOT_BOUND_TOKENS
    }
}

/// A workspace's entry in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceSpec {
    /// Name of the workspace, as sent to upstreams.
    pub name: Box<str>,
    /// Tier that takes precedence over the rule's; `None` if the workspace has none.
    pub tier: Option<u8>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Rules of a host by path prefix.
type HostRules = BTreeMap<Box<str>, CallRule>;

/// Shortest and longest target of several rules.
#[derive(Clone, Copy, Debug)]
struct TargetRange {
    shortest: Duration,
    longest: Duration,
}

/// One version of the configuration, indexed for lookups. Each call looks up its rule and whether
/// that is tight: the cost of both is logarithmic in the number of rules.
#[derive(Clone, Debug)]
pub struct RuleTable {
    /// Version number; increases with each change.
    pub version: u64,
    /// Limits on callers' requests and connections.
    pub bounds: CallerBounds,
    tier_count: u8,
    rules: BTreeMap<Box<str>, HostRules>,
    shortest_gaps: BTreeMap<Box<str>, Duration>,
    targets: BTreeMap<Box<str>, BTreeMap<u8, TargetRange>>,
    pools: BTreeMap<Box<str>, PoolSpec>,
    workspaces: Vec<WorkspaceSpec>,
    keys: BTreeMap<Box<str>, usize>,
}

impl RuleTable {
    /// Indexes rules in the order of their precedence: within a host the longest path prefix first,
    /// and of rules with the same prefix only the first one.
    pub fn new(
        version: u64,
        bounds: CallerBounds,
        rules: Vec<CallRule>,
        pools: Vec<PoolSpec>,
    ) -> Self {
        let highest = rules.iter().map(|rule| rule.class.tier).max().unwrap_or(0);
        let shortest_gaps = shortest_gaps(&rules);
        let targets = target_ranges(&rules);
        let mut by_host: BTreeMap<Box<str>, HostRules> = BTreeMap::new();
        for rule in rules {
            let host = by_host.entry(rule.host.clone()).or_default();
            host.entry(rule.path_prefix.clone()).or_insert(rule);
        }
        Self {
            version,
            bounds,
            tier_count: highest.saturating_add(1),
            rules: by_host,
            shortest_gaps,
            targets,
            pools: pools
                .into_iter()
                .map(|pool| (pool.name.clone(), pool))
                .collect(),
            workspaces: Vec::new(),
            keys: BTreeMap::new(),
        }
    }

    /// Adds a workspace and the keys that identify it.
    pub fn add_workspace(
        &mut self,
        workspace: WorkspaceSpec,
        keys: impl IntoIterator<Item = Box<str>>,
    ) {
        let index = self.workspaces.len();
        self.workspaces.push(workspace);
        self.keys.extend(keys.into_iter().map(|key| (key, index)));
    }

    /// Rule with the longest path prefix that matches; `None` if no rule does.
    pub fn find(&self, host: &str, path: &str) -> Option<&CallRule> {
        let rules = self.rules.get(host)?;
        let mut longest = path;
        loop {
            let bounds = (Bound::Unbounded, Bound::Included(longest));
            let (prefix, rule) = rules.range::<str, _>(bounds).next_back()?;
            if path.starts_with(&**prefix) {
                return Some(rule);
            }
            // Every prefix of the path that sorts before this one is a prefix of both.
            longest = common_prefix(path, prefix);
        }
    }

    /// Indexed rules, in order of their hosts and prefixes.
    pub fn rules(&self) -> impl Iterator<Item = &CallRule> {
        self.rules.values().flat_map(BTreeMap::values)
    }

    /// Rule with the same host and path prefix as this one of another table; `None` if there is none.
    pub fn rule_at(&self, other: &CallRule) -> Option<&CallRule> {
        self.rules.get(&other.host)?.get(&other.path_prefix)
    }

    /// Whether there are workspaces, so that callers need a key unless a rule is public.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Workspace that a key identifies; `None` if the key is unknown.
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceSpec> {
        self.keys.get(key).map(|index| &self.workspaces[*index])
    }

    /// Effective tier of a call: ordered by the workspace's tier first, then by the rule's. 0 is
    /// the most urgent.
    pub fn tier(&self, rule: &CallRule, workspace: Option<&WorkspaceSpec>) -> u8 {
        let Some(above) = workspace.and_then(|workspace| workspace.tier) else {
            return rule.class.tier;
        };
        above
            .saturating_mul(self.tier_count)
            .saturating_add(rule.class.tier)
    }

    /// Number of effective tiers: the tiers of workspaces times those of rules.
    pub fn tiers(&self) -> u8 {
        self.last_workspace_tier()
            .saturating_add(1)
            .saturating_mul(self.tier_count)
    }

    /// Longest target among the classes of a pool whose calls can have a less urgent effective tier
    /// than this one; zero if there are none.
    pub fn yielding_target(&self, pool: &str, tier: u8) -> Duration {
        let above = self.last_workspace_tier().saturating_mul(self.tier_count);
        let Some(targets) = self.targets.get(pool) else {
            return Duration::ZERO;
        };
        let yielding = targets
            .iter()
            .filter(|(rule_tier, _)| above.saturating_add(**rule_tier) > tier);
        let longest = yielding.map(|(_, range)| range.longest).max();
        longest.unwrap_or_default()
    }

    /// Shortest target among the classes of a pool that are at least as urgent as a rule of this tier;
    /// `None` if there are none.
    pub fn shortest_target(&self, pool: &str, rule_tier: u8) -> Option<Duration> {
        let targets = self.targets.get(pool)?;
        let shortest = targets.range(..=rule_tier).map(|(_, range)| range.shortest);
        shortest.min()
    }

    /// Least urgent tier of any workspace; 0 if none has a tier.
    fn last_workspace_tier(&self) -> u8 {
        let tiers = self
            .workspaces
            .iter()
            .filter_map(|workspace| workspace.tier);
        tiers.max().unwrap_or(0)
    }

    /// Whether a rule's calls are tight: no other class of its pools has a shorter gap target.
    pub fn is_tight(&self, rule: &CallRule) -> bool {
        let pools = rule.pools.iter();
        let gaps = pools.filter_map(|share| self.shortest_gaps.get(&share.pool));
        rule.class.gap.is_some_and(|gap| gaps.min() == Some(&gap))
    }

    /// Pool with this name; `None` if there is none.
    pub fn pool(&self, name: &str) -> Option<&PoolSpec> {
        self.pools.get(name)
    }

    /// Pools of the configuration, in order of their names.
    pub fn pools(&self) -> impl Iterator<Item = &PoolSpec> {
        self.pools.values()
    }

    /// Number of indexed rules, without those that an earlier rule with the same prefix hides.
    pub fn rule_count(&self) -> usize {
        self.rules.values().map(BTreeMap::len).sum()
    }
}

/// Shortest gap target of any rule, by pool.
fn shortest_gaps(rules: &[CallRule]) -> BTreeMap<Box<str>, Duration> {
    let mut shortest: BTreeMap<Box<str>, Duration> = BTreeMap::new();
    for rule in rules {
        let Some(gap) = rule.class.gap else {
            continue;
        };
        for share in &rule.pools {
            let least = shortest.entry(share.pool.clone()).or_insert(gap);
            *least = gap.min(*least);
        }
    }
    shortest
}

/// Targets of all rules, by pool and tier.
fn target_ranges(rules: &[CallRule]) -> BTreeMap<Box<str>, BTreeMap<u8, TargetRange>> {
    let mut ranges: BTreeMap<Box<str>, BTreeMap<u8, TargetRange>> = BTreeMap::new();
    for rule in rules {
        let target = rule.class.target;
        for share in &rule.pools {
            let tiers = ranges.entry(share.pool.clone()).or_default();
            let range = tiers.entry(rule.class.tier).or_insert(TargetRange {
                shortest: target,
                longest: target,
            });
            range.shortest = range.shortest.min(target);
            range.longest = range.longest.max(target);
        }
    }
    ranges
}

/// Longest common prefix of two texts.
fn common_prefix<'a>(one: &'a str, other: &str) -> &'a str {
    let pairs = one.char_indices().zip(other.chars());
    let differs = pairs.map(|((at, own), character)| (at, own == character));
    let end = differs.filter(|(_, same)| !same).map(|(at, _)| at).next();
    &one[..end.unwrap_or(one.len().min(other.len()))]
}

impl CallRule {
    /// Selects a pool for a call at random by weight; `draw` is uniform over all of `u64`.
    pub fn pool(&self, draw: u64) -> &str {
        let total: u64 = self.pools.iter().map(|share| u64::from(share.weight)).sum();
        let mut point = draw % total.max(1);
        for share in &self.pools {
            let weight = u64::from(share.weight);
            if point < weight {
                return &share.pool;
            }
            point -= weight;
        }
        &self.pools[0].pool
    }

    /// Pools that calls may be given to: those with a weight, or the first one if none has any.
    pub fn allowed_pools(&self) -> impl Iterator<Item = &str> {
        let weighs = |share: &&PoolShare| share.weight > 0;
        let any_weighs = self.pools.iter().any(|share| share.weight > 0);
        let first = self.pools.first().filter(|_| !any_weighs);
        let allowed = self.pools.iter().filter(weighs).chain(first);
        allowed.map(|share| &*share.pool)
    }
}
