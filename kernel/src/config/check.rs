//! Validates documents. Folding the log refuses changes that fail; `monsoon check` reports the
//! errors.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;

use crate::call::Tier;
use crate::config::Config;
use crate::config::document::{Document, DocumentKey};
use crate::config::locate::FieldPath;
use crate::config::spec::{
    ClassSpec, PlacementSpec, PoolSpec, RuleMatch, RuleSpec, TierSpec, UpstreamSpec, WorkspaceSpec,
};
use crate::ids::{ClassId, PoolId, UpstreamId, WorkspaceId};

/// Maximum length of a name, in bytes.
const MAX_NAME: usize = 128;

/// Maximum number of tiers.
const MAX_TIERS: usize = 8;

/// A validation error.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{path}: {message}")]
pub struct ConfigFault {
    /// Path of the field; empty for an error of the whole document.
    pub path: FieldPath,
    /// Description of the found and the expected value.
    pub message: Box<str>,
}

impl ConfigFault {
    pub(crate) fn under(self, path: &FieldPath) -> Self {
        Self {
            path: path.clone().join(&self.path),
            message: self.message,
        }
    }
}

#[derive(Default)]
struct FaultList(Vec<ConfigFault>);

impl FaultList {
    fn add(&mut self, path: FieldPath, message: impl Into<Box<str>>) {
        let message = message.into();
        self.0.push(ConfigFault { path, message });
    }

    fn require(&mut self, holds: bool, field: &str, message: impl FnOnce() -> String) {
        if !holds {
            self.add(FieldPath::default().field(field), message());
        }
    }
}

fn expected_names<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let mut names: Vec<&str> = names.collect();
    names.sort_unstable();
    match names.len() {
        0 => "none is configured".to_owned(),
        1..=8 => format!("expected one of {}", names.join(", ")),
        count => format!("expected one of the {count} that are configured"),
    }
}

fn unknown_name<'a>(what: &str, name: &str, names: impl Iterator<Item = &'a str>) -> String {
    format!("unknown {what} `{name}`; {}", expected_names(names))
}

fn check_name(name: &str, faults: &mut FaultList) {
    let valid = !name.is_empty()
        && name.len() <= MAX_NAME
        && name.bytes().all(|byte| byte.is_ascii_graphic());
    faults.require(valid, "name", || {
        format!("`{name}` is no name; expected 1 to {MAX_NAME} printable ASCII characters without spaces")
    });
}

fn check_tiers(tiers: &[TierSpec], faults: &mut FaultList) {
    let top = tiers.iter().map(|tier| tier.tier).min();
    let mut seen = BTreeSet::new();
    for (position, tier) in tiers.iter().enumerate() {
        let path = FieldPath::default().item(position);
        if !seen.insert(tier.tier) {
            let message = format!("tier {} is given twice; expected it once", tier.tier);
            faults.add(path.clone().field("tier"), message);
        }
        if !(0.0..=1.0).contains(&tier.floor) {
            let message = format!("floor {} is no share; expected 0 to 1", tier.floor);
            faults.add(path.field("floor"), message);
        } else if tier.floor == 0.0 && Some(tier.tier) != top {
            let message = format!("floor of tier {} is 0; expected more than 0", tier.tier);
            faults.add(path.field("floor"), message);
        }
    }
    let sum: f64 = tiers.iter().map(|tier| tier.floor).sum();
    if sum > 1.0 + 1e-9 {
        let message = format!("floors sum to {sum:.3}; expected at most 1");
        faults.add(FieldPath::default(), message);
    }
    if tiers.is_empty() || tiers.len() > MAX_TIERS {
        let message = format!("{} tiers; expected 1 to {MAX_TIERS}", tiers.len());
        faults.add(FieldPath::default(), message);
    }
}

fn unknown_tier(config: &Config, tier: Tier) -> String {
    let names: Vec<String> = config.tiers.keys().map(ToString::to_string).collect();
    unknown_name("tier", &tier.to_string(), names.iter().map(String::as_str))
}

fn check_class(config: &Config, class: &ClassSpec, faults: &mut FaultList) {
    check_name(&class.name, faults);
    faults.require(config.tiers.contains_key(&class.tier), "tier", || {
        unknown_tier(config, class.tier)
    });
    faults.require(class.target > Duration::ZERO, "target", || {
        "target is 0; expected a duration above 0 such as `650ms`".to_owned()
    });
    let token = class
        .token_target
        .is_none_or(|target| target > Duration::ZERO);
    faults.require(token, "token_target", || {
        "token_target is 0; expected a duration above 0 such as `54ms`".to_owned()
    });
}

fn check_workspace(config: &Config, workspace: &WorkspaceSpec, faults: &mut FaultList) {
    check_name(&workspace.name, faults);
    let token = &workspace.token_sha256;
    let hex = token.len() == 64
        && token
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    faults.require(hex, "token_sha256", || {
        "not a SHA-256; expected 64 digits 0-9 and a-f".to_owned()
    });
    let own = config.tokens.get(token) == Some(&WorkspaceId::named(&workspace.name));
    faults.require(own, "token_sha256", || {
        "another workspace has the same token; expected one of its own".to_owned()
    });
    faults.require(workspace.weight > 0, "weight", || {
        "weight is 0; expected 1 or more".to_owned()
    });
    let rate = workspace
        .calls_per_second
        .is_none_or(|rate| rate.is_finite() && rate > 0.0);
    faults.require(rate, "calls_per_second", || {
        "not a rate; expected a number above 0, or the field left out for no limit".to_owned()
    });
    let calls = workspace.concurrent_calls.is_none_or(|calls| calls > 0);
    faults.require(calls, "concurrent_calls", || {
        "limit is 0; expected 1 or more, or the field left out for no limit".to_owned()
    });
}

fn check_upstream(config: &Config, upstream: &UpstreamSpec, faults: &mut FaultList) {
    check_name(&upstream.name, faults);
    let pool = config.pools.contains_key(&PoolId::named(&upstream.pool));
    faults.require(pool, "pool", || unknown_pool(config, &upstream.pool));
    for (position, name) in upstream.also.iter().enumerate() {
        if !config.pools.contains_key(&PoolId::named(name)) {
            let path = FieldPath::default().field("also").item(position);
            faults.add(path, unknown_pool(config, name));
        }
    }
    faults.require(!upstream.zone.is_empty(), "zone", || {
        "no availability zone; expected its name".to_owned()
    });
    let address = upstream.address.parse::<SocketAddr>();
    let valid = address.is_ok_and(|address| address.port() != 0);
    faults.require(valid, "address", || {
        let found = &upstream.address;
        format!("`{found}` is no address; expected an IP number and port such as `10.0.0.7:8000`")
    });
    let own = config.addresses.get(&upstream.address) == Some(&UpstreamId::named(&upstream.name));
    faults.require(own, "address", || {
        "another upstream has the same address; expected one of its own".to_owned()
    });
    faults.require(upstream.slots > 0, "slots", || {
        "0 slots; expected 1 or more".to_owned()
    });
}

fn check_placement(config: &Config, placement: &PlacementSpec, faults: &mut FaultList) {
    let upstream = config
        .upstreams
        .get(&UpstreamId::named(&placement.upstream));
    faults.require(upstream.is_some(), "upstream", || {
        let names = config
            .upstreams
            .values()
            .map(|upstream| &*upstream.spec.name);
        unknown_name("upstream", &placement.upstream, names)
    });
    let allowed = upstream.is_some_and(|upstream| {
        upstream.spec.pool == placement.pool || upstream.spec.also.contains(&placement.pool)
    });
    faults.require(allowed, "pool", || {
        let (upstream, pool) = (&placement.upstream, &placement.pool);
        format!("`{upstream}` may not serve `{pool}`; expected its pool or one of `also`")
    });
}

fn unknown_pool(config: &Config, name: &str) -> String {
    unknown_name("pool", name, config.pools.values().map(|pool| &*pool.name))
}

fn check_match(config: &Config, rule: &RuleSpec, faults: &mut FaultList) {
    let when = &rule.when;
    let path = FieldPath::default().field("when");
    for (position, name) in when.workspaces.iter().enumerate() {
        if !config.workspaces.contains_key(&WorkspaceId::named(name)) {
            let names = config.workspaces.values().map(|workspace| &*workspace.name);
            let message = unknown_name("workspace", name, names);
            faults.add(path.clone().field("workspaces").item(position), message);
        }
    }
    for (position, name) in when.models.iter().enumerate() {
        if rule.then.pool.is_none() && !config.pools.contains_key(&PoolId::named(name)) {
            let message = unknown_pool(config, name);
            faults.add(path.clone().field("models").item(position), message);
        }
    }
    check_match_shape(when, &path, faults);
}

fn check_match_shape(when: &RuleMatch, path: &FieldPath, faults: &mut FaultList) {
    let method = when.method.as_deref().unwrap_or("GET");
    if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
        let message = format!("`{method}` is no method; expected capitals such as `POST`");
        faults.add(path.clone().field("method"), message);
    }
    let prefix = when.path_prefix.as_deref().unwrap_or("/");
    if !prefix.starts_with('/') {
        let message = format!("`{prefix}` is no path; expected it to begin with `/`");
        faults.add(path.clone().field("path_prefix"), message);
    }
    let (least, most) = (
        when.min_bytes.unwrap_or(0),
        when.max_bytes.unwrap_or(u64::MAX),
    );
    if least > most {
        let message = format!("min_bytes {least} is above max_bytes {most}; expected at most that");
        faults.add(path.clone().field("min_bytes"), message);
    }
    for name in when.headers.keys() {
        if name.is_empty() || name.bytes().any(|byte| byte.is_ascii_uppercase()) {
            let message = format!("`{name}` is no header name; expected lower case");
            faults.add(path.clone().field("headers").field(name), message);
        }
    }
}

fn check_rule(config: &Config, rule: &RuleSpec, faults: &mut FaultList) {
    check_name(&rule.name, faults);
    check_match(config, rule, faults);
    let path = FieldPath::default().field("then");
    if !config
        .classes
        .contains_key(&ClassId::named(&rule.then.class))
    {
        let names = config.classes.values().map(|class| &*class.name);
        let message = unknown_name("class", &rule.then.class, names);
        faults.add(path.clone().field("class"), message);
    }
    if let Some(tier) = rule.then.tier
        && !config.tiers.contains_key(&tier)
    {
        faults.add(path.clone().field("tier"), unknown_tier(config, tier));
    }
    if let Some(pool) = &rule.then.pool
        && !config.pools.contains_key(&PoolId::named(pool))
    {
        faults.add(path.field("pool"), unknown_pool(config, pool));
    }
}

fn check_rules(config: &Config, rules: &[RuleSpec], faults: &mut FaultList) {
    let mut names = BTreeSet::new();
    for (position, rule) in rules.iter().enumerate() {
        let path = FieldPath::default().item(position);
        let mut own = FaultList::default();
        check_rule(config, rule, &mut own);
        faults
            .0
            .extend(own.0.into_iter().map(|fault| fault.under(&path)));
        if !names.insert(&*rule.name) {
            let message = format!("rule `{}` is given twice; expected it once", rule.name);
            faults.add(path.field("name"), message);
        }
    }
}

fn check_pool(pool: &PoolSpec, faults: &mut FaultList) {
    check_name(&pool.name, faults);
}

/// Validates one document of a configuration and the names that it refers to; returns all errors.
pub fn check_document(config: &Config, document: &Document) -> Vec<ConfigFault> {
    let mut faults = FaultList::default();
    match document {
        Document::Tiers(tiers) => check_tiers(tiers, &mut faults),
        Document::Class(class) => check_class(config, class, &mut faults),
        Document::Workspace(workspace) => check_workspace(config, workspace, &mut faults),
        Document::Pool(pool) => check_pool(pool, &mut faults),
        Document::Upstream(upstream) => check_upstream(config, upstream, &mut faults),
        Document::Rules(rules) => check_rules(config, rules, &mut faults),
        Document::Placement(placement) => check_placement(config, placement, &mut faults),
    }
    faults.0
}

/// Validates the documents that refer to one that was set or removed; returns all errors found.
pub fn check_dependents(config: &Config, key: &DocumentKey, removed: bool) -> Vec<ConfigFault> {
    let mut faults = FaultList::default();
    let tiers = *key == DocumentKey::Tiers;
    if tiers {
        for class in config.classes.values() {
            check_class(config, class, &mut faults);
        }
    }
    if let DocumentKey::Pool(name) = key
        && removed
        && config.members.contains_key(&PoolId::named(name))
    {
        let message = format!("upstreams serve the pool `{name}`; expected none");
        faults.add(FieldPath::default(), message);
    }
    let referred = matches!(
        key,
        DocumentKey::Class(_) | DocumentKey::Pool(_) | DocumentKey::Workspace(_)
    );
    if tiers || (removed && referred) {
        check_rules(config, &config.rules, &mut faults);
    }
    faults.0
}
