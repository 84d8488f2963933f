//! The parts of a configuration as operators write them.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::call::Tier;

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
    /// Other pools that it may be made to serve when their demand is high and its own pool's low.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub also: Vec<Box<str>>,
}

/// The pool that an upstream serves now, of those that its specification allows. Written by the
/// nodes, not by operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementSpec {
    /// The upstream.
    pub upstream: Box<str>,
    /// The pool.
    pub pool: Box<str>,
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
