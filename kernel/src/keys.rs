//! Idempotency keys: each is minted by one run of a node; only that run may run its call, once.
//!
//! The text of a key is `mb1.NODE.INCARNATION.SEQUENCE.SECOND.MAC`: the minter, a number that the
//! minter never uses twice, the second of the minter's clock at which the key was minted, and a
//! message authentication code over these fields and the workspace (HMAC-SHA-256 of RFC 2104 and
//! FIPS 180-4, truncated to 128 bits). Only the minter checks a key, so the secret never leaves its
//! memory.

pub mod outcomes;

use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

use crate::ids::{Incarnation, NodeId, WorkspaceId};
use crate::plugin::NodeProfile;

/// Time after minting within which a key may run its call.
pub const KEY_LIFETIME: Duration = Duration::from_mins(15);

const VERSION: &str = "mb1";
const MAC_BYTES: usize = 16;

/// An idempotency key as it came with a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestKey {
    /// The key's text.
    pub text: Box<str>,
    /// Hash of the request's method, path and body; a key is valid for one request only.
    pub fingerprint: u64,
}

impl From<&str> for RequestKey {
    fn from(text: &str) -> Self {
        Self {
            text: text.into(),
            fingerprint: 0,
        }
    }
}

/// The parsed fields of a key. They identify the minter but are not authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyParts {
    /// The node that minted the key.
    pub node: NodeId,
    /// The minter's run.
    pub incarnation: Incarnation,
    /// The key's number within the run.
    pub sequence: u64,
    /// Second of the minter's clock at which the key was minted.
    pub second: u64,
    mac: [u8; MAC_BYTES],
}

/// Reason why a key is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum KeyError {
    /// The text does not have the form of a key.
    #[error("malformed idempotency key")]
    Malformed,
    /// The key was minted by another node, or by another run of this node.
    #[error("idempotency key of another minter")]
    OtherMinter,
    /// The authentication code does not match this minter and workspace.
    #[error("idempotency key not minted for this workspace")]
    Forged,
}

impl KeyParts {
    /// Parses a key's text, or returns [`KeyError::Malformed`]. Every key has exactly one accepted
    /// spelling.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let fields: Vec<&str> = text.splitn(7, '.').collect();
        let [version, node, incarnation, sequence, second, mac] = fields[..] else {
            return Err(KeyError::Malformed);
        };
        if version != VERSION {
            return Err(KeyError::Malformed);
        }
        Ok(Self {
            node: NodeId(parse_number(node)?),
            incarnation: Incarnation(parse_number(incarnation)?),
            sequence: parse_number(sequence)?,
            second: parse_number(second)?,
            mac: parse_mac(mac)?,
        })
    }

    /// Time since the key was minted, on the minter's clock.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(Duration::from_secs(self.second))
    }
}

fn parse_number(text: &str) -> Result<u64, KeyError> {
    let canonical = !text.is_empty()
        && text.len() <= 16
        && (text.len() == 1 || !text.starts_with('0'))
        && text.bytes().all(lower_hex);
    if !canonical {
        return Err(KeyError::Malformed);
    }
    u64::from_str_radix(text, 16).map_err(|_| KeyError::Malformed)
}

fn parse_mac(text: &str) -> Result<[u8; MAC_BYTES], KeyError> {
    if text.len() != 2 * MAC_BYTES || !text.bytes().all(lower_hex) {
        return Err(KeyError::Malformed);
    }
    let mut code = [0; MAC_BYTES];
    for (index, byte) in code.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16)
            .map_err(|_| KeyError::Malformed)?;
    }
    Ok(code)
}

fn lower_hex(byte: u8) -> bool {
    byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte)
}

/// Verifies keys of this run. It contains only the secret and the run's identity.
#[derive(Clone)]
pub struct KeyChecker {
    node: NodeId,
    incarnation: Incarnation,
    secret: [u8; 32],
}

impl KeyChecker {
    /// The checker of a node's run.
    pub fn new(profile: &NodeProfile) -> Self {
        Self {
            node: profile.node,
            incarnation: profile.incarnation,
            secret: profile.secret,
        }
    }

    /// Checks that this run minted the key for the workspace. Compares in constant time.
    pub fn check(&self, parts: &KeyParts, workspace: WorkspaceId) -> Result<(), KeyError> {
        if (parts.node, parts.incarnation) != (self.node, self.incarnation) {
            return Err(KeyError::OtherMinter);
        }
        self.mac(parts.sequence, parts.second, workspace)?
            .verify_truncated_left(&parts.mac)
            .map_err(|_| KeyError::Forged)
    }

    fn mac(
        &self,
        sequence: u64,
        second: u64,
        workspace: WorkspaceId,
    ) -> Result<Hmac<Sha256>, KeyError> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.secret).map_err(|_| KeyError::Forged)?;
        mac.update(VERSION.as_bytes());
        for field in [
            self.node.0,
            self.incarnation.0,
            sequence,
            second,
            workspace.0,
        ] {
            mac.update(&field.to_be_bytes());
        }
        Ok(mac)
    }
}

/// Mints keys for the edge, which passes them to callers. Clones share one sequence.
#[derive(Clone)]
pub struct KeyMint {
    checker: KeyChecker,
    sequence: Arc<AtomicU64>,
}

impl KeyMint {
    /// The mint of a node's run. There must be one per process: two would mint the same keys.
    pub fn new(profile: &NodeProfile) -> Self {
        Self {
            checker: KeyChecker::new(profile),
            sequence: Arc::new(AtomicU64::new(1)),
        }
    }

    /// A new key for the workspace; `now` is the time on the kernel's clock.
    pub fn mint(&self, workspace: WorkspaceId, now: Duration) -> Box<str> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let second = now.as_secs();
        let checker = &self.checker;
        let mut text = format!(
            "{VERSION}.{:x}.{:x}.{sequence:x}.{second:x}.",
            checker.node.0, checker.incarnation.0
        );
        let mac = checker
            .mac(sequence, second, workspace)
            .expect("HMAC accepts a secret of any length")
            .finalize()
            .into_bytes();
        for byte in &mac[..MAC_BYTES] {
            write!(text, "{byte:02x}").expect("writing to a string does not fail");
        }
        text.into()
    }
}
