//! The ordered rules that decide a call's class and pool, and who may call.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use crate::gateway::scaling::ScalingSpec;

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSafety {
    /// Running it again does no harm.
    Idempotent,
    /// It may run once at most.
    AtMostOnce,
}

/// How an answer is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerForm {
    /// As one body.
    Whole,
    /// As server-sent events with increasing ids.
    Events {
        /// Whether another upstream may go on after the last event that was passed on.
        resumable: bool,
    },
}

/// What the first matching rule makes of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallClass {
    /// Whether the call may run more than once.
    pub safety: CallSafety,
    /// How its answer is passed on.
    pub form: AnswerForm,
    /// Rank among classes; 0 is the most urgent.
    pub tier: u8,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time within which the answer, or the first event of a stream, is wanted.
    pub target: Duration,
    /// How long callers wait for the first or the next event of a stream before they leave.
    pub patience: Option<Duration>,
    /// Most upstreams that one call may be sent to.
    pub max_attempts: u32,
    /// Longest pause between two pieces of a stream that is still in time.
    pub gap: Option<Duration>,
    /// Whether calls carry prompts whose parts upstreams cache.
    pub cached: bool,
}

/// A pool and its share of a rule's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolShare {
    /// The pool's name.
    pub pool: Box<str>,
    /// Its share, relative to the rule's other pools.
    pub weight: u32,
}

/// One when-then rule.
#[derive(Clone, Debug, PartialEq)]
pub struct CallRule {
    /// The operator's name for it.
    pub name: Box<str>,
    /// When: the host that is called, in lower case.
    pub host: Box<str>,
    /// When: how the path begins.
    pub path_prefix: Box<str>,
    /// Then: the class.
    pub class: CallClass,
    /// Then: the pools that may run it; never empty.
    pub pools: Box<[PoolShare]>,
    /// Whether callers need no key.
    pub public: bool,
}

/// A pool of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolSpec {
    /// The pool's name.
    pub name: Box<str>,
    /// What is known of its engines, if it runs a model.
    pub engine: Option<EngineSpec>,
    /// How its engines are ordered, if they can be.
    pub scaling: Option<ScalingSpec>,
}

/// What is known of a pool's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Tokens that the KV cache holds.
    pub cache_tokens: u64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
}

/// A workspace's entry in the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceSpec {
    /// The workspace's name, as upstreams are told.
    pub name: Box<str>,
    /// Goes before the rule's tier, if set.
    pub tier: Option<u8>,
}

/// Bounds on what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// The rules of a host by the beginning of their paths.
type HostRules = BTreeMap<Box<str>, CallRule>;

/// One version of the configuration, ready for lookups. Each call looks up its rule and whether that is
/// tight: neither grows with the number of rules but by its logarithm.
#[derive(Clone, Debug)]
pub struct RuleTable {
    /// Grows with each version.
    pub version: u64,
    /// Bounds on callers.
    pub bounds: CallerBounds,
    tier_count: u8,
    rules: BTreeMap<Box<str>, HostRules>,
    shortest_gaps: BTreeMap<Box<str>, Duration>,
    pools: BTreeMap<Box<str>, PoolSpec>,
    workspaces: Vec<WorkspaceSpec>,
    keys: BTreeMap<Box<str>, usize>,
}

impl RuleTable {
    /// Puts rules in the order in which they are tried: the longest path first within a host, and of
    /// two with the same path the one that stands first.
    pub fn new(
        version: u64,
        bounds: CallerBounds,
        rules: Vec<CallRule>,
        pools: Vec<PoolSpec>,
    ) -> Self {
        let highest = rules.iter().map(|rule| rule.class.tier).max().unwrap_or(0);
        let shortest_gaps = shortest_gaps(&rules);
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
            pools: pools
                .into_iter()
                .map(|pool| (pool.name.clone(), pool))
                .collect(),
            workspaces: Vec::new(),
            keys: BTreeMap::new(),
        }
    }

    /// Adds a workspace and the keys that name it.
    pub fn add_workspace(
        &mut self,
        workspace: WorkspaceSpec,
        keys: impl IntoIterator<Item = Box<str>>,
    ) {
        let index = self.workspaces.len();
        self.workspaces.push(workspace);
        self.keys.extend(keys.into_iter().map(|key| (key, index)));
    }

    /// The first rule that matches.
    pub fn find(&self, host: &str, path: &str) -> Option<&CallRule> {
        let rules = self.rules.get(host)?;
        let mut longest = path;
        loop {
            let bounds = (Bound::Unbounded, Bound::Included(longest));
            let (prefix, rule) = rules.range::<str, _>(bounds).next_back()?;
            if path.starts_with(&**prefix) {
                return Some(rule);
            }
            // Every prefix of the path that stands before this one is a prefix of both.
            longest = common_prefix(path, prefix);
        }
    }

    /// Whether callers must show a key at all.
    pub fn has_workspaces(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// The workspace that a key names.
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceSpec> {
        self.keys.get(key).map(|index| &self.workspaces[*index])
    }

    /// A call's rank: the workspace's goes first, the rule's decides within it.
    pub fn tier(&self, rule: &CallRule, workspace: Option<&WorkspaceSpec>) -> u8 {
        let Some(above) = workspace.and_then(|workspace| workspace.tier) else {
            return rule.class.tier;
        };
        above
            .saturating_mul(self.tier_count)
            .saturating_add(rule.class.tier)
    }

    /// Number of ranks that calls can have.
    pub fn tiers(&self) -> u8 {
        let above = self
            .workspaces
            .iter()
            .filter_map(|workspace| workspace.tier)
            .max();
        above
            .unwrap_or(0)
            .saturating_add(1)
            .saturating_mul(self.tier_count)
    }

    /// Whether no other class of the rule's pools wants shorter pauses.
    pub fn is_tight(&self, rule: &CallRule) -> bool {
        let pools = rule.pools.iter();
        let gaps = pools.filter_map(|share| self.shortest_gaps.get(&share.pool));
        rule.class.gap.is_some_and(|gap| gaps.min() == Some(&gap))
    }

    /// A pool by name.
    pub fn pool(&self, name: &str) -> Option<&PoolSpec> {
        self.pools.get(name)
    }

    /// All pools.
    pub fn pools(&self) -> impl Iterator<Item = &PoolSpec> {
        self.pools.values()
    }

    /// Number of rules.
    pub fn rule_count(&self) -> usize {
        self.rules.values().map(BTreeMap::len).sum()
    }
}

/// The shortest pause that a rule of each pool wants.
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

/// The longest beginning that two texts share.
fn common_prefix<'a>(one: &'a str, other: &str) -> &'a str {
    let pairs = one.char_indices().zip(other.chars());
    let differs = pairs.map(|((at, own), character)| (at, own == character));
    let end = differs.filter(|(_, same)| !same).map(|(at, _)| at).next();
    &one[..end.unwrap_or(one.len().min(other.len()))]
}

impl CallRule {
    /// The pool for a call, by weight; `draw` is uniform over all of `u64`.
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
}
