//! Documents: the parts of the configuration that are versioned and replaced individually.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::config::spec::{
    ClassSpec, ConfigFile, PlacementSpec, PoolSpec, RuleSpec, TierSpec, UpstreamSpec, WorkspaceSpec,
};

/// Key of a document; written as `class/NAME`, `tiers` and so on.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum DocumentKey {
    /// The tier list.
    #[display("tiers")]
    Tiers,
    /// A class, by name.
    #[display("class/{_0}")]
    Class(Box<str>),
    /// A workspace, by name.
    #[display("workspace/{_0}")]
    Workspace(Box<str>),
    /// A pool, by name.
    #[display("pool/{_0}")]
    Pool(Box<str>),
    /// An upstream, by name.
    #[display("upstream/{_0}")]
    Upstream(Box<str>),
    /// The ordered rule list.
    #[display("rules")]
    Rules,
    /// The placement of an upstream, by the upstream's name.
    #[display("placement/{_0}")]
    Placement(Box<str>),
}

/// Error for a text that is no document key; holds the text.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error(
    "`{0}` names no document; expected tiers, rules, class/NAME, workspace/NAME, pool/NAME or \
     upstream/NAME"
)]
pub struct KeyError(Box<str>);

impl FromStr for DocumentKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        match text.split_once('/') {
            None if text == "tiers" => Ok(Self::Tiers),
            None if text == "rules" => Ok(Self::Rules),
            Some(("class", name)) if !name.is_empty() => Ok(Self::Class(name.into())),
            Some(("workspace", name)) if !name.is_empty() => Ok(Self::Workspace(name.into())),
            Some(("pool", name)) if !name.is_empty() => Ok(Self::Pool(name.into())),
            Some(("upstream", name)) if !name.is_empty() => Ok(Self::Upstream(name.into())),
            Some(("placement", name)) if !name.is_empty() => Ok(Self::Placement(name.into())),
            _ => Err(KeyError(text.into())),
        }
    }
}

impl TryFrom<String> for DocumentKey {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, KeyError> {
        text.parse()
    }
}

impl From<DocumentKey> for String {
    fn from(key: DocumentKey) -> Self {
        key.to_string()
    }
}

/// The content of a document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Document {
    /// The tier list.
    Tiers(Vec<TierSpec>),
    /// One class of calls, with its tier and its targets.
    Class(ClassSpec),
    /// One workspace, with its token, weight and limits.
    Workspace(WorkspaceSpec),
    /// One pool of interchangeable upstreams.
    Pool(PoolSpec),
    /// One upstream, with the pools that it may serve.
    Upstream(UpstreamSpec),
    /// The ordered rule list.
    Rules(Vec<RuleSpec>),
    /// The placement of an upstream.
    Placement(PlacementSpec),
}

impl Document {
    /// The key of the document.
    pub fn key(&self) -> DocumentKey {
        match self {
            Self::Tiers(_) => DocumentKey::Tiers,
            Self::Class(class) => DocumentKey::Class(class.name.clone()),
            Self::Workspace(workspace) => DocumentKey::Workspace(workspace.name.clone()),
            Self::Pool(pool) => DocumentKey::Pool(pool.name.clone()),
            Self::Upstream(upstream) => DocumentKey::Upstream(upstream.name.clone()),
            Self::Rules(_) => DocumentKey::Rules,
            Self::Placement(placement) => DocumentKey::Placement(placement.upstream.clone()),
        }
    }
}

/// A document with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedDocument {
    /// Offset, plus one, of the log record that set the document.
    pub version: u64,
    /// The document itself.
    pub content: Document,
}

/// All documents in force, as reported to operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DocumentList {
    /// Version of the configuration as a whole.
    pub version: u64,
    /// The documents, ordered by key.
    pub documents: Vec<VersionedDocument>,
}

/// Splits a configuration file into documents. An absent or empty list yields none.
pub fn split(file: &ConfigFile) -> Vec<Document> {
    let mut documents = Vec::new();
    if !file.tiers.is_empty() {
        documents.push(Document::Tiers(file.tiers.clone()));
    }
    documents.extend(file.classes.iter().cloned().map(Document::Class));
    documents.extend(file.workspaces.iter().cloned().map(Document::Workspace));
    documents.extend(file.pools.iter().cloned().map(Document::Pool));
    documents.extend(file.upstreams.iter().cloned().map(Document::Upstream));
    if !file.rules.is_empty() {
        documents.push(Document::Rules(file.rules.clone()));
    }
    documents
}

/// Joins documents into a configuration file. Placements are left out.
pub fn join(documents: impl IntoIterator<Item = Document>) -> ConfigFile {
    let mut file = ConfigFile::default();
    for document in documents {
        match document {
            Document::Tiers(tiers) => file.tiers = tiers,
            Document::Class(class) => file.classes.push(class),
            Document::Workspace(workspace) => file.workspaces.push(workspace),
            Document::Pool(pool) => file.pools.push(pool),
            Document::Upstream(upstream) => file.upstreams.push(upstream),
            Document::Rules(rules) => file.rules = rules,
            // Nodes write placements, operators do not.
            Document::Placement(_) => {}
        }
    }
    file
}
