//! The configuration that operators publish: tiers, classes, workspaces, pools, upstreams, rules.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::call::Tier;
use crate::ids::{ClassId, PoolId, UpstreamId, WorkspaceId, ZoneId};

/// A service tier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierSpec {
    /// The tier's number; 0 is the most urgent.
    pub tier: Tier,
    /// Share of each pool's slots, from 0 to 1, that the tier gets while it has work waiting,
    /// however much work the tiers above have.
    pub floor: f64,
}

/// A request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// The class's name.
    pub name: Box<str>,
    /// The tier.
    pub tier: Tier,
    /// Target for the first token, or for the whole answer of a plain service.
    #[serde(with = "humantime_serde")]
    pub target: Duration,
    /// Target for the time between two tokens; none when it does not matter.
    #[serde(
        default,
        with = "humantime_serde",
        skip_serializing_if = "Option::is_none"
    )]
    pub token_target: Option<Duration>,
    /// Whether running a call twice does no harm.
    pub repeatable: bool,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// The workspace's name.
    pub name: Box<str>,
    /// SHA-256 of the bearer token of its callers, in hexadecimal.
    pub token_sha256: Box<str>,
    /// Share relative to other workspaces of the same tier.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Most calls a second, over the whole fleet; no limit when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub calls_per_second: Option<f64>,
    /// Most calls at a time, over the whole fleet; no limit when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent_calls: Option<u32>,
}

fn default_weight() -> u32 {
    1
}

/// What the upstreams of a pool are.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    #[display("model")]
    Model,
    /// Plain services.
    #[display("service")]
    Service,
}

/// A pool of interchangeable upstreams: a model, or a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// The pool's name: what callers name as the model or the service.
    pub name: Box<str>,
    /// What its upstreams are.
    pub kind: PoolKind,
}

/// An upstream: one model engine or one instance of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// The upstream's name.
    pub name: Box<str>,
    /// The pool that it serves.
    pub pool: Box<str>,
    /// The availability zone that it stands in.
    pub zone: Box<str>,
    /// IP number and port of its HTTP interface.
    pub address: Box<str>,
    /// Requests that it serves at a time.
    pub slots: u32,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// What a request must be for a rule to match; every field that is given must hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuleMatch {
    /// One of these workspaces.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<Box<str>>,
    /// The path begins with this.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<Box<str>>,
    /// The HTTP method.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub method: Option<Box<str>>,
    /// One of these models or services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Box<str>>,
    /// Each of these headers has this value; names in lower case.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub headers: BTreeMap<Box<str>, Box<str>>,
    /// The declared body size is at least this, in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min_bytes: Option<u64>,
    /// The declared body size is at most this, in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_bytes: Option<u64>,
    /// Whether the answer is streamed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub streamed: Option<bool>,
}

/// What a rule decides for the requests that it matches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleTarget {
    /// The class.
    pub class: Box<str>,
    /// A tier other than the class's own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tier: Option<Tier>,
    /// The pool; the one that the caller named when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<Box<str>>,
}

/// A when-then rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleSpec {
    /// The rule's name.
    pub name: Box<str>,
    /// When it matches.
    #[serde(default)]
    pub when: RuleMatch,
    /// What it decides.
    pub then: RuleTarget,
}

/// A configuration as operators write it in a YAML file; any part may be absent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigFile {
    /// Tiers.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tiers: Vec<TierSpec>,
    /// Classes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<ClassSpec>,
    /// Workspaces.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<WorkspaceSpec>,
    /// Pools.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub pools: Vec<PoolSpec>,
    /// Upstreams.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub upstreams: Vec<UpstreamSpec>,
    /// The ordered rule list; the first match decides.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub rules: Vec<RuleSpec>,
}

/// An upstream with its names resolved.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// As published.
    pub spec: UpstreamSpec,
    /// The pool.
    pub pool: PoolId,
    /// The availability zone.
    pub zone: ZoneId,
}

/// The whole configuration in force, names resolved. Shared and never changed in place.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Offset of the log record that it was last changed by.
    pub version: u64,
    /// Floors by tier.
    pub tiers: BTreeMap<Tier, f64>,
    /// Classes.
    pub classes: BTreeMap<ClassId, Arc<ClassSpec>>,
    /// Workspaces.
    pub workspaces: BTreeMap<WorkspaceId, Arc<WorkspaceSpec>>,
    /// Workspaces by the SHA-256 of their token, in hexadecimal.
    pub tokens: BTreeMap<Box<str>, WorkspaceId>,
    /// Pools.
    pub pools: BTreeMap<PoolId, Arc<PoolSpec>>,
    /// Upstreams.
    pub upstreams: BTreeMap<UpstreamId, Arc<Upstream>>,
    /// Upstreams by pool.
    pub members: BTreeMap<PoolId, Vec<UpstreamId>>,
    /// The ordered rule list.
    pub rules: Arc<Vec<RuleSpec>>,
}

/// The facts of a request that rules look at.
#[derive(Clone, Debug, Default)]
pub struct RequestFacts<'a> {
    /// The workspace's name.
    pub workspace: &'a str,
    /// The path.
    pub path: &'a str,
    /// The HTTP method, in capitals.
    pub method: &'a str,
    /// The model or service that the caller named.
    pub model: &'a str,
    /// Headers, names in lower case.
    pub headers: &'a [(&'a str, &'a str)],
    /// The declared body size, in bytes.
    pub bytes: u64,
    /// Whether the answer is streamed.
    pub streamed: bool,
}

/// What the rules decided for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Classification {
    /// Index of the rule in the list.
    pub rule: usize,
    /// The class.
    pub class: ClassId,
    /// The tier.
    pub tier: Tier,
    /// The pool.
    pub pool: PoolId,
}

impl RuleMatch {
    /// Whether every given field holds for the request.
    pub fn matches(&self, facts: &RequestFacts<'_>) -> bool {
        let among = |names: &[Box<str>], name: &str| {
            names.is_empty() || names.iter().any(|known| &**known == name)
        };
        among(&self.workspaces, facts.workspace)
            && among(&self.models, facts.model)
            && self
                .path_prefix
                .as_deref()
                .is_none_or(|prefix| facts.path.starts_with(prefix))
            && self
                .method
                .as_deref()
                .is_none_or(|method| method == facts.method)
            && self.min_bytes.is_none_or(|least| facts.bytes >= least)
            && self.max_bytes.is_none_or(|most| facts.bytes <= most)
            && self
                .streamed
                .is_none_or(|streamed| streamed == facts.streamed)
            && self.headers.iter().all(|(name, value)| {
                facts
                    .headers
                    .iter()
                    .any(|(n, v)| *n == &**name && *v == &**value)
            })
    }
}

impl Config {
    /// Resolves the names of a configuration file. Unknown names stay unresolved; checking a file
    /// before it is accepted finds them.
    pub fn from_file(version: u64, file: &ConfigFile) -> Self {
        let mut config = Self {
            version,
            ..Self::default()
        };
        for tier in &file.tiers {
            config.tiers.insert(tier.tier, tier.floor);
        }
        for class in &file.classes {
            config
                .classes
                .insert(ClassId::named(&class.name), Arc::new(class.clone()));
        }
        for workspace in &file.workspaces {
            let id = WorkspaceId::named(&workspace.name);
            config.tokens.insert(workspace.token_sha256.clone(), id);
            config.workspaces.insert(id, Arc::new(workspace.clone()));
        }
        for pool in &file.pools {
            config
                .pools
                .insert(PoolId::named(&pool.name), Arc::new(pool.clone()));
        }
        for spec in &file.upstreams {
            let id = UpstreamId::named(&spec.name);
            let pool = PoolId::named(&spec.pool);
            let zone = ZoneId::named(&spec.zone);
            config.members.entry(pool).or_default().push(id);
            config.upstreams.insert(
                id,
                Arc::new(Upstream {
                    spec: spec.clone(),
                    pool,
                    zone,
                }),
            );
        }
        config.rules = Arc::new(file.rules.clone());
        config
    }

    /// The first matching rule's decision; none when no rule matches or it names what is unknown.
    pub fn classify(&self, facts: &RequestFacts<'_>) -> Option<Classification> {
        let (rule, spec) = self
            .rules
            .iter()
            .enumerate()
            .find(|(_, rule)| rule.when.matches(facts))?;
        let class = ClassId::named(&spec.then.class);
        let tier = spec.then.tier.unwrap_or(self.classes.get(&class)?.tier);
        let pool = PoolId::named(spec.then.pool.as_deref().unwrap_or(facts.model));
        self.pools.contains_key(&pool).then_some(Classification {
            rule,
            class,
            tier,
            pool,
        })
    }
}
