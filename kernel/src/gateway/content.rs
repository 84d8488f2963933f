//! Digest of a call's content, independent of the attempt.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Identifies calls with the same content from the same workspace: their digest is the same for any
/// attempt id and at any node.
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
    /// Computes the digest of a call's parts.
    pub fn of<T: AsRef<[u8]>>(parts: &ContentParts<T>) -> Self {
        let mut hasher = Xxh3::new();
        let workspace = parts.workspace.unwrap_or_default();
        for text in [parts.host, parts.method, parts.target, workspace] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        for piece in parts.body {
            hasher.update(piece.as_ref());
        }
        Self(hasher.digest())
    }
}

/// Parts of a call that have to be equal for two calls to have the same content.
#[derive(Clone, Copy, Debug)]
pub struct ContentParts<'a, T> {
    /// Host that is called.
    pub host: &'a str,
    /// HTTP method, such as `POST`.
    pub method: &'a str,
    /// Path and query of the request, as the caller sent them.
    pub target: &'a str,
    /// Name of the calling workspace; `None` if the call has none.
    pub workspace: Option<&'a str>,
    /// Body of the request, in pieces of any size.
    pub body: &'a [T],
}
