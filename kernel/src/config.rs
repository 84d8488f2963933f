//! Configuration that operators publish: tiers, classes, workspaces, pools, upstreams and rules.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::call::Tier;
use crate::ids::{ClassId, PoolId, UpstreamId, WorkspaceId, ZoneId};

pub mod check;
pub mod document;
pub mod file_check;
pub mod locate;
pub mod rules;
pub mod spec;
pub mod text;

pub use document::{Document, DocumentKey, DocumentList, VersionedDocument};
pub use rules::{RequestFacts, RuleIndex, RuleMismatch};
pub use spec::{
    ClassSpec, ConfigFile, PlacementSpec, PoolKind, PoolSpec, RuleMatch, RuleSpec, RuleTarget,
    TierSpec, UpstreamSpec, WorkspaceSpec,
};

/// An upstream with resolved names.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// The published document.
    pub spec: UpstreamSpec,
    /// The pool that it serves now: its own, or the one that it was placed in.
    pub pool: PoolId,
    /// Identifier of its availability zone.
    pub zone: ZoneId,
}

/// The placement of an upstream in a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedUpstream {
    /// Name of the pool.
    pub pool: Box<str>,
    /// Version of the placement document.
    pub version: u64,
}

/// A whole configuration with resolved names. The one in force is shared and never modified in
/// place. Each part is shared with the previous configuration unless it changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Offset, plus one, of the log record that last changed it; 0 before the first change.
    pub version: u64,
    /// Guaranteed share of each pool's slots by tier, from 0 to 1.
    pub tiers: BTreeMap<Tier, f64>,
    /// Request classes by identifier.
    pub classes: Arc<BTreeMap<ClassId, Arc<ClassSpec>>>,
    /// Workspaces by identifier.
    pub workspaces: Arc<BTreeMap<WorkspaceId, Arc<WorkspaceSpec>>>,
    /// Workspaces by the SHA-256 of their token, in hexadecimal.
    pub tokens: Arc<BTreeMap<Box<str>, WorkspaceId>>,
    /// Pools by identifier.
    pub pools: Arc<BTreeMap<PoolId, Arc<PoolSpec>>>,
    /// Upstreams by identifier.
    pub upstreams: Arc<BTreeMap<UpstreamId, Arc<Upstream>>>,
    /// Upstreams of each pool, in order of identifier. A pool without upstreams is absent.
    pub members: Arc<BTreeMap<PoolId, Vec<UpstreamId>>>,
    /// Upstreams by IP address and port.
    pub addresses: Arc<BTreeMap<Box<str>, UpstreamId>>,
    /// Placements by upstream. A placement that the upstream's specification does not allow has no
    /// effect.
    pub placements: Arc<BTreeMap<UpstreamId, PlacedUpstream>>,
    /// The ordered rule list; the first match decides.
    pub rules: Arc<Vec<RuleSpec>>,
    /// Index of the rule list.
    pub index: Arc<RuleIndex>,
}

/// The rules' decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Classification {
    /// Position of the matching rule in the list, from 0.
    pub rule: usize,
    /// Class of the request.
    pub class: ClassId,
    /// Tier of the request: the rule's, or else the class's.
    pub tier: Tier,
    /// Pool that serves the request: the rule's, or else the one that the caller named.
    pub pool: PoolId,
}

impl Config {
    /// Resolves the names of a configuration file. Unknown names are not reported here; validating
    /// the file finds them.
    pub fn from_file(version: u64, file: &ConfigFile) -> Self {
        let mut config = Self::default();
        for document in document::split(file) {
            config.put(document);
        }
        config.version = version;
        config
    }

    /// Sets one document. Copies only the parts that contain it.
    pub fn put(&mut self, document: Document) {
        match document {
            Document::Tiers(tiers) => {
                self.tiers = tiers.iter().map(|tier| (tier.tier, tier.floor)).collect();
            }
            Document::Class(class) => {
                let id = ClassId::named(&class.name);
                Arc::make_mut(&mut self.classes).insert(id, Arc::new(class));
            }
            Document::Workspace(workspace) => self.put_workspace(workspace),
            Document::Pool(pool) => {
                let id = PoolId::named(&pool.name);
                Arc::make_mut(&mut self.pools).insert(id, Arc::new(pool));
            }
            Document::Upstream(upstream) => self.put_upstream(upstream),
            Document::Rules(rules) => self.put_rules(rules),
            Document::Placement(placement) => self.put_placement(&placement),
        }
    }

    /// Removes one document, if it exists.
    pub fn remove(&mut self, key: &DocumentKey) {
        match key {
            DocumentKey::Tiers => self.tiers.clear(),
            DocumentKey::Class(name) => {
                Arc::make_mut(&mut self.classes).remove(&ClassId::named(name));
            }
            DocumentKey::Workspace(name) => self.remove_workspace(WorkspaceId::named(name)),
            DocumentKey::Pool(name) => {
                Arc::make_mut(&mut self.pools).remove(&PoolId::named(name));
            }
            DocumentKey::Upstream(name) => self.remove_upstream(UpstreamId::named(name)),
            DocumentKey::Rules => self.put_rules(Vec::new()),
            DocumentKey::Placement(name) => {
                Arc::make_mut(&mut self.placements).remove(&UpstreamId::named(name));
                self.reassign_pool(name);
            }
        }
    }

    /// Rebuilds the maps by token and by address.
    pub fn reindex(&mut self) {
        let workspaces = self.workspaces.iter();
        let tokens = workspaces.map(|(id, workspace)| (workspace.token_sha256.clone(), *id));
        self.tokens = Arc::new(tokens.collect());
        let upstreams = self.upstreams.iter();
        let addresses = upstreams.map(|(id, upstream)| (upstream.spec.address.clone(), *id));
        self.addresses = Arc::new(addresses.collect());
    }

    fn put_workspace(&mut self, workspace: WorkspaceSpec) {
        let id = WorkspaceId::named(&workspace.name);
        let old = self.workspaces.get(&id).map(|old| &old.token_sha256);
        if old != Some(&workspace.token_sha256) {
            let tokens = Arc::make_mut(&mut self.tokens);
            if let Some(old) = old.filter(|old| tokens.get(*old) == Some(&id)) {
                tokens.remove(old);
            }
            tokens.insert(workspace.token_sha256.clone(), id);
        }
        Arc::make_mut(&mut self.workspaces).insert(id, Arc::new(workspace));
    }

    fn remove_workspace(&mut self, id: WorkspaceId) {
        let Some(old) = Arc::make_mut(&mut self.workspaces).remove(&id) else {
            return;
        };
        if self.tokens.get(&old.token_sha256) == Some(&id) {
            Arc::make_mut(&mut self.tokens).remove(&old.token_sha256);
        }
    }

    fn put_upstream(&mut self, spec: UpstreamSpec) {
        let id = UpstreamId::named(&spec.name);
        self.remove_upstream(id);
        let pool = self.pool_of(id, &spec);
        let zone = ZoneId::named(&spec.zone);
        let members = Arc::make_mut(&mut self.members).entry(pool).or_default();
        let position = members.partition_point(|member| *member < id);
        members.insert(position, id);
        Arc::make_mut(&mut self.addresses).insert(spec.address.clone(), id);
        let upstream = Arc::new(Upstream { spec, pool, zone });
        Arc::make_mut(&mut self.upstreams).insert(id, upstream);
    }

    /// The pool that an upstream serves: the one that it was placed in if its specification allows
    /// that, or else its own.
    fn pool_of(&self, id: UpstreamId, spec: &UpstreamSpec) -> PoolId {
        let placed = self.placements.get(&id);
        let allowed = placed.filter(|placed| spec.also.contains(&placed.pool));
        PoolId::named(allowed.map_or(&spec.pool, |placed| &placed.pool))
    }

    fn put_placement(&mut self, placement: &PlacementSpec) {
        let id = UpstreamId::named(&placement.upstream);
        let placed = PlacedUpstream {
            pool: placement.pool.clone(),
            version: 0,
        };
        Arc::make_mut(&mut self.placements).insert(id, placed);
        self.reassign_pool(&placement.upstream);
    }

    fn reassign_pool(&mut self, name: &str) {
        if let Some(upstream) = self.upstreams.get(&UpstreamId::named(name)) {
            let spec = upstream.spec.clone();
            self.put_upstream(spec);
        }
    }

    /// Sets the version of a placement. Does nothing for the key of any other document.
    pub fn set_placement_version(&mut self, key: &DocumentKey, version: u64) {
        let DocumentKey::Placement(name) = key else {
            return;
        };
        let placements = Arc::make_mut(&mut self.placements);
        if let Some(placed) = placements.get_mut(&UpstreamId::named(name)) {
            placed.version = version;
        }
    }

    fn remove_upstream(&mut self, id: UpstreamId) {
        if !self.upstreams.contains_key(&id) {
            return;
        }
        let Some(old) = Arc::make_mut(&mut self.upstreams).remove(&id) else {
            return;
        };
        if self.addresses.get(&old.spec.address) == Some(&id) {
            Arc::make_mut(&mut self.addresses).remove(&old.spec.address);
        }
        let members = Arc::make_mut(&mut self.members);
        let Some(pool) = members.get_mut(&old.pool) else {
            return;
        };
        pool.retain(|member| *member != id);
        if pool.is_empty() {
            members.remove(&old.pool);
        }
    }

    fn put_rules(&mut self, rules: Vec<RuleSpec>) {
        self.index = Arc::new(RuleIndex::new(&rules));
        self.rules = Arc::new(rules);
    }

    /// The content of a document; `None` if it is absent.
    pub fn document(&self, key: &DocumentKey) -> Option<Document> {
        match key {
            DocumentKey::Tiers if self.tiers.is_empty() => None,
            DocumentKey::Tiers => {
                let tiers = self.tiers.iter();
                let specs = tiers.map(|(tier, floor)| TierSpec {
                    tier: *tier,
                    floor: *floor,
                });
                Some(Document::Tiers(specs.collect()))
            }
            DocumentKey::Class(name) => {
                let class = self.classes.get(&ClassId::named(name))?;
                Some(Document::Class((**class).clone()))
            }
            DocumentKey::Workspace(name) => {
                let workspace = self.workspaces.get(&WorkspaceId::named(name))?;
                Some(Document::Workspace((**workspace).clone()))
            }
            DocumentKey::Pool(name) => {
                let pool = self.pools.get(&PoolId::named(name))?;
                Some(Document::Pool((**pool).clone()))
            }
            DocumentKey::Upstream(name) => {
                let upstream = self.upstreams.get(&UpstreamId::named(name))?;
                Some(Document::Upstream(upstream.spec.clone()))
            }
            DocumentKey::Rules if self.rules.is_empty() => None,
            DocumentKey::Rules => Some(Document::Rules((*self.rules).clone())),
            DocumentKey::Placement(name) => {
                let placed = self.placements.get(&UpstreamId::named(name))?;
                Some(Document::Placement(PlacementSpec {
                    upstream: name.clone(),
                    pool: placed.pool.clone(),
                }))
            }
        }
    }

    /// The decision of the first matching rule; `None` if no rule matches, or if the rule refers to
    /// an unknown class or pool.
    pub fn classify(&self, facts: &RequestFacts<'_>) -> Option<Classification> {
        let rule = self.index.first_match(&self.rules, facts)?;
        let spec = &self.rules[rule];
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
