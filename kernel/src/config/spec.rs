//! The parts of a configuration, in the form in which operators write them.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::call::Tier;

/// A service tier and its guaranteed share of slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierSpec {
    /// Number of the tier; 0 is the most urgent.
    pub tier: Tier,
    /// Share of each pool's slots, from 0 to 1, that is guaranteed to the tier while it has queued
    /// work, regardless of the load of the tiers above.
    pub floor: f64,
}

/// A class of requests, with its tier and its latency targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Name of the class.
    pub name: Box<str>,
    /// Tier of its calls, unless a rule sets another one.
    pub tier: Tier,
    /// Target time to the first token, or to the whole answer of a plain service.
    #[serde(with = "humantime_serde")]
    pub target: Duration,
    /// Target time between two tokens; `None` for no target.
    #[serde(
        default,
        with = "humantime_serde",
        skip_serializing_if = "Option::is_none"
    )]
    pub token_target: Option<Duration>,
    /// Whether a call of this class is safe to run more than once.
    pub repeatable: bool,
}

/// A workspace, which callers identify by a token, with its weight and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub name: Box<str>,
    /// SHA-256 of its callers' bearer token, in lower-case hexadecimal.
    pub token_sha256: Box<str>,
    /// Weight relative to other workspaces within a tier; 1 by default.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limit on calls per second across the whole fleet; `None` for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub calls_per_second: Option<f64>,
    /// Limit on concurrent calls across the whole fleet; `None` for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent_calls: Option<u32>,
}

fn default_weight() -> u32 {
    1
}

/// Kind of the upstreams of a pool.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Engines that run a model and answer with tokens.
    #[display("model")]
    Model,
    /// Plain services, whose answers have no tokens.
    #[display("service")]
    Service,
}

/// A pool of interchangeable upstreams: a model, or a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Name of the pool, which callers specify as the model or the service.
    pub name: Box<str>,
    /// Kind of its upstreams.
    pub kind: PoolKind,
}

/// An upstream: one model engine or one instance of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Name of the upstream.
    pub name: Box<str>,
    /// Name of the pool that it serves unless it is placed in another one.
    pub pool: Box<str>,
    /// Name of its availability zone.
    pub zone: Box<str>,
    /// IP address and port of its HTTP interface.
    pub address: Box<str>,
    /// Number of requests that it serves concurrently.
    pub slots: u32,
    /// Whether it rejects an order with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Names of other pools that it may be placed in while their demand is high and that of its
    /// current pool is low.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub also: Vec<Box<str>>,
}

/// The pool that an upstream serves now, one of those that its specification allows. Written by
/// nodes, not by operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementSpec {
    /// Name of the upstream.
    pub upstream: Box<str>,
    /// Name of the pool.
    pub pool: Box<str>,
}

/// Conditions of a rule. Every given condition must hold; an absent or empty one always holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RuleMatch {
    /// The workspace is one of these.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<Box<str>>,
    /// The path begins with this prefix.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<Box<str>>,
    /// The HTTP method is this one, in capitals.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub method: Option<Box<str>>,
    /// The model or service that the caller specified is one of these.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Box<str>>,
    /// Each of these headers has the given value. Names are in lower case.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub headers: BTreeMap<Box<str>, Box<str>>,
    /// The declared body size is at least this, in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min_bytes: Option<u64>,
    /// The declared body size is at most this, in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_bytes: Option<u64>,
    /// The answer is streamed, or is not.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub streamed: Option<bool>,
}

/// Decision of a rule for the requests that it matches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleTarget {
    /// Name of the class.
    pub class: Box<str>,
    /// Tier that overrides the class's; `None` keeps the class's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tier: Option<Tier>,
    /// Name of the pool; `None` selects the one that the caller specified.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<Box<str>>,
}

/// A rule that assigns class, tier and pool to matching requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RuleSpec {
    /// Name of the rule.
    pub name: Box<str>,
    /// Conditions of the rule.
    #[serde(default)]
    pub when: RuleMatch,
    /// Decision of the rule.
    pub then: RuleTarget,
}

/// A configuration as operators write it in a YAML file; any part may be absent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigFile {
    /// Tiers and their guaranteed shares of slots.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tiers: Vec<TierSpec>,
    /// Classes of calls and their latency targets.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub classes: Vec<ClassSpec>,
    /// Workspaces with their tokens, weights and limits.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<WorkspaceSpec>,
    /// Pools of interchangeable upstreams.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub pools: Vec<PoolSpec>,
    /// Model engines and instances of plain services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub upstreams: Vec<UpstreamSpec>,
    /// The ordered rule list; the first match decides.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub rules: Vec<RuleSpec>,
}
