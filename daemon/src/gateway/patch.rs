//! Configurations as nodes pass them on: what changed against the one that the asker has.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read, Write};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;
use zstd::zstd_safe::CParameter;

/// Texts that are kept, the one in force among them: a node that missed one change still gets a patch.
const MOST_TEXTS: usize = 3;
/// zstd's fastest usual level. With tables that hold the whole text it also finds most: of 1.59 MB with
/// one rule more, 238 bytes, against 37,319 by level 3 with its own (`cargo test -p monsoonbank-daemon
/// --test patch one_rule -- --nocapture`).
const LEVEL: i32 = 1;
/// Bytes of text to an entry of the table, as a power of two: parts that are copied are far longer.
const ENTRY_LOG: u32 = 2;
/// Largest text that a patch may give, in bytes; as large as any answer that is taken.
const MOST_BYTES: usize = 16 << 20;
/// Largest power of two that a patch may look back, in bytes: the text and the one before it.
const MOST_WINDOW_LOG: u32 = 25;

/// Why a patch gives no text.
#[derive(Debug, Error)]
pub enum PatchError {
    /// It is for a text that this node does not have.
    #[error("it is for another text than the one in force")]
    OtherBase,
    /// It is not a frame of zstd, or one that needs too much.
    #[error("it cannot be read: {0}")]
    Frame(#[from] io::Error),
    /// What it gives is not what its sender has.
    #[error("it gives another text than its sender has")]
    OtherText,
}

/// Tells texts apart.
pub fn text_digest(text: &[u8]) -> u64 {
    xxh3_64(text)
}

/// Makes a configuration's text from the one before it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigurationPatch {
    base: Option<u64>,
    digest: u64,
    frame: Bytes,
}

impl ConfigurationPatch {
    /// What turns `base` into `text`; without a base, the whole.
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

    /// Digest of the text that it is for; none if it is for any.
    pub fn base(&self) -> Option<u64> {
        self.base
    }

    /// The text that it makes of `base`.
    ///
    /// # Errors
    ///
    /// If it is for another base, damaged, or would give more than 16 MiB.
    pub fn apply(&self, base: Option<&[u8]>) -> Result<Bytes, PatchError> {
        if self.base.is_some() && self.base != base.map(text_digest) {
            return Err(PatchError::OtherBase);
        }
        let prefix = base.filter(|_| self.base.is_some()).unwrap_or_default();
        let mut decoder = zstd::stream::Decoder::with_ref_prefix(&self.frame[..], prefix)?;
        decoder.window_log_max(MOST_WINDOW_LOG)?;
        let mut text = Vec::new();
        decoder.take(MOST_BYTES as u64 + 1).read_to_end(&mut text)?;
        if text.len() > MOST_BYTES || text_digest(&text) != self.digest {
            return Err(PatchError::OtherText);
        }
        Ok(text.into())
    }
}

/// The least power of two that reaches over so many bytes, within what zstd takes.
fn window_log(bytes: usize) -> u32 {
    const LEAST: u32 = 10;
    (usize::BITS - bytes.leading_zeros()).clamp(LEAST, MOST_WINDOW_LOG)
}

/// The texts that were in force lately, the newest first, and patches to it.
#[derive(Debug, Default)]
pub struct ConfigurationHistory {
    texts: VecDeque<(u64, Bytes)>,
    patches: BTreeMap<Option<u64>, ConfigurationPatch>,
}

impl ConfigurationHistory {
    /// Takes in the text that is in force now.
    pub fn put(&mut self, text: Bytes) {
        self.texts.push_front((text_digest(&text), text));
        self.texts.truncate(MOST_TEXTS);
        self.patches.clear();
    }

    /// The text in force.
    pub fn newest(&self) -> Option<&Bytes> {
        self.texts.front().map(|(_, text)| text)
    }

    /// Keeps a patch that gave the text in force: another node that has its base needs the same, and
    /// making it takes this node up to 30 ms.
    pub fn keep_patch(&mut self, patch: ConfigurationPatch) {
        let newest = self.texts.front().map(|(digest, _)| *digest);
        if newest == Some(patch.digest) {
            self.patches.insert(patch.base, patch);
        }
    }

    /// What makes the text in force of the one with this digest; the whole if that is not known here.
    /// None if there is no text.
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
