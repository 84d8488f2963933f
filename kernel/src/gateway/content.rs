//! What a call asks for, whichever attempt brings it.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Names calls that ask for the same thing in the same workspace's name: they have the same digest under
/// any attempt id, at any node.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    From,
    Into,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
pub struct ContentDigest(u64);

impl ContentDigest {
    /// The digest of a call's parts.
    pub fn of(parts: ContentParts) -> Self {
        let mut hasher = Xxh3::new();
        let workspace = parts.workspace.unwrap_or_default();
        for text in [parts.host, parts.method, parts.target, workspace] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(parts.body);
        Self(hasher.digest())
    }
}

/// What makes two calls the same.
#[derive(Clone, Copy, Debug)]
pub struct ContentParts<'a> {
    /// The host that is called.
    pub host: &'a str,
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Who calls, if a workspace does.
    pub workspace: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}
