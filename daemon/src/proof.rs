//! Mutual authentication of nodes when a link is set up: each side proves that it has the shared key
//! with an HMAC-SHA-256 (RFC 2104) over the other side's challenge.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// A random challenge, used once.
pub type Nonce = [u8; 16];

/// What the dialling node states about itself and its last link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LinkClaim {
    /// Name of the dialling node.
    pub name: Box<str>,
    /// Incarnation of the dialling node, different for each run of its process.
    pub incarnation: u64,
    /// Whether frames to the listener may have been lost since the last link.
    pub lost: bool,
    /// Challenge for the listener.
    pub nonce: Nonce,
}

/// First message of the dialling node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LinkHello {
    /// Identity of the dialling node, and its challenge.
    pub claim: LinkClaim,
    /// Proof for the listener's challenge.
    pub proof: [u8; 32],
}

/// Reply of the listening node to a [`LinkHello`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LinkWelcome {
    /// Proof for the dialling node's challenge.
    pub proof: [u8; 32],
}

/// Side that gives a proof. It is part of the proof, so that neither side can replay the other's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofSide {
    /// The dialling node.
    Dialler,
    /// The listening node.
    Listener,
}

fn mac(key: &str, side: ProofSide, nonce: &Nonce, claim: &LinkClaim) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC takes any key");
    mac.update(match side {
        ProofSide::Dialler => b"dial",
        ProofSide::Listener => b"hear",
    });
    mac.update(nonce);
    mac.update(&claim.nonce);
    mac.update(&claim.incarnation.to_be_bytes());
    mac.update(&[u8::from(claim.lost)]);
    mac.update(claim.name.as_bytes());
    mac
}

/// Computes a side's proof for a challenge and the claim of the dialling node.
pub fn prove(key: &str, side: ProofSide, nonce: &Nonce, claim: &LinkClaim) -> [u8; 32] {
    mac(key, side, nonce, claim).finalize().into_bytes().into()
}

/// Whether a proof is valid. Compares in constant time.
pub fn verify(
    key: &str,
    side: ProofSide,
    nonce: &Nonce,
    claim: &LinkClaim,
    proof: &[u8; 32],
) -> bool {
    mac(key, side, nonce, claim).verify_slice(proof).is_ok()
}

/// Generates a challenge. An error means that the operating system supplied no random bytes.
pub fn nonce() -> Result<Nonce, getrandom::Error> {
    let mut nonce = Nonce::default();
    getrandom::fill(&mut nonce)?;
    Ok(nonce)
}
