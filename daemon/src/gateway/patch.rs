//! Patches between configuration texts, which nodes send to each other instead of complete texts.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read, Write};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;
use zstd::zstd_safe::CParameter;

/// Number of retained texts, including the one in force. A node that missed one change still gets a
/// patch.
const MAX_TEXTS: usize = 3;
/// Fastest of zstd's standard levels. With tables that span the whole text it also compresses best:
/// 1.59 MB of text with one added rule give 238 bytes, against 37,319 bytes at level 3 with that
/// level's own tables.
const LEVEL: i32 = 1;
/// Bytes of text per table entry, as a power of two; the copied parts are far longer.
const ENTRY_LOG: u32 = 2;
/// Largest text that a patch may produce, in bytes; the same bound as for any answer that is read.
const MAX_BYTES: usize = 16 << 20;
/// Largest window of a patch, as a power of two in bytes; it spans the text and its predecessor.
const MAX_WINDOW_LOG: u32 = 25;

/// Reason why a patch cannot be applied.
#[derive(Debug, Error)]
pub enum PatchError {
    /// The patch is for a base text that this node does not have.
    #[error("it is for another text than the one in force")]
    OtherBase,
    /// The patch is not a valid zstd frame, or decoding it needs too much memory.
    #[error("it cannot be read: {0}")]
    Frame(#[from] io::Error),
    /// The resulting text differs from the sender's.
    #[error("it gives another text than its sender has")]
    OtherText,
}

/// Returns the digest that identifies a text.
pub fn text_digest(text: &[u8]) -> u64 {
    xxh3_64(text)
}

/// A compressed difference between two configuration texts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigurationPatch {
    base: Option<u64>,
    digest: u64,
    frame: Bytes,
}

impl ConfigurationPatch {
    /// Creates the patch from `base` to `text`. Without a base it contains the complete text.
    pub fn new(base: Option<&[u8]>, text: &[u8]) -> io::Result<Self> {
        let prefix = base.unwrap_or_default();
        let mut encoder = zstd::stream::Encoder::with_ref_prefix(Vec::new(), LEVEL, prefix)?;
        encoder.set_pledged_src_size(Some(text.len() as u64))?;
        let window = window_log(prefix.len() + text.len());
        encoder.window_log(window)?;
        encoder.set_parameter(CParameter::HashLog(window - ENTRY_LOG))?;
        encoder.write_all(text)?;
        Ok(Self {
            base: base.map(text_digest),
            digest: text_digest(text),
            frame: encoder.finish()?.into(),
        })
    }

    /// Returns the digest of the base text; `None` if the patch needs no base.
    pub fn base(&self) -> Option<u64> {
        self.base
    }

    /// Applies the patch to `base` and returns the resulting text.
    ///
    /// # Errors
    ///
    /// If the patch is for another base, is damaged, or would produce more than 16 MiB.
    pub fn apply(&self, base: Option<&[u8]>) -> Result<Bytes, PatchError> {
        if self.base.is_some() && self.base != base.map(text_digest) {
            return Err(PatchError::OtherBase);
        }
        let prefix = base.filter(|_| self.base.is_some()).unwrap_or_default();
        let mut decoder = zstd::stream::Decoder::with_ref_prefix(&self.frame[..], prefix)?;
        decoder.window_log_max(MAX_WINDOW_LOG)?;
        let mut text = Vec::new();
        decoder.take(MAX_BYTES as u64 + 1).read_to_end(&mut text)?;
        if text.len() > MAX_BYTES || text_digest(&text) != self.digest {
            return Err(PatchError::OtherText);
        }
        Ok(text.into())
    }
}

/// Returns the smallest window that spans this many bytes, as a power of two within zstd's limits.
fn window_log(bytes: usize) -> u32 {
    const LEAST: u32 = 10;
    (usize::BITS - bytes.leading_zeros()).clamp(LEAST, MAX_WINDOW_LOG)
}

/// The most recent configuration texts, newest first, and patches to the newest.
#[derive(Debug, Default)]
pub struct ConfigurationHistory {
    texts: VecDeque<(u64, Bytes)>,
    patches: BTreeMap<Option<u64>, ConfigurationPatch>,
}

impl ConfigurationHistory {
    /// Adds the text that is in force now.
    pub fn put(&mut self, text: Bytes) {
        self.texts.push_front((text_digest(&text), text));
        self.texts.truncate(MAX_TEXTS);
        self.patches.clear();
    }

    /// Returns the text in force; `None` if there is none.
    pub fn newest(&self) -> Option<&Bytes> {
        self.texts.front().map(|(_, text)| text)
    }

    /// Caches a received patch to the text in force. Another node with the same base needs the same
    /// patch, and creating it takes up to 30 ms.
    pub fn keep_patch(&mut self, patch: ConfigurationPatch) {
        let newest = self.texts.front().map(|(digest, _)| *digest);
        if newest == Some(patch.digest) {
            self.patches.insert(patch.base, patch);
        }
    }

    /// Returns the patch from the text with this digest to the text in force; the complete text if
    /// that base is not known here. `None` if there is no text in force.
    pub fn patch_from(&mut self, base: Option<u64>) -> io::Result<Option<&ConfigurationPatch>> {
        let Some((_, newest)) = self.texts.front() else {
            return Ok(None);
        };
        let known = self.texts.iter().find(|(digest, _)| Some(*digest) == base);
        let base = base.filter(|_| known.is_some() || self.patches.contains_key(&base));
        match self.patches.entry(base) {
            Entry::Occupied(entry) => Ok(Some(entry.into_mut())),
            Entry::Vacant(entry) => {
                let patch = ConfigurationPatch::new(known.map(|(_, text)| &text[..]), newest)?;
                Ok(Some(entry.insert(patch)))
            }
        }
    }
}
