//! Proof of the shared key when a link is made: an HMAC-SHA-256 (RFC 2104) over a challenge.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// A one-time challenge.
pub type Nonce = [u8; 16];

/// Who dials, and what the listener must know.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LinkClaim {
    /// The dialling node's name.
    pub name: Box<str>,
    /// The dialling node's run.
    pub incarnation: u64,
    /// Whether frames to the listener were lost since the last link stood.
    pub lost: bool,
    /// Challenges the listener.
    pub nonce: Nonce,
}

/// The first frame of the dialling node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LinkHello {
    /// What it says.
    pub claim: LinkClaim,
    /// Answers the listener's challenge.
    pub proof: [u8; 32],
}

/// The listener's answer to a hello.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LinkWelcome {
    /// Answers the dialler's challenge.
    pub proof: [u8; 32],
}

/// Which side gives a proof, so that neither can send the other's back.
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

/// A side's proof for a challenge and the claim that the link began with.
pub fn prove(key: &str, side: ProofSide, nonce: &Nonce, claim: &LinkClaim) -> [u8; 32] {
    mac(key, side, nonce, claim).finalize().into_bytes().into()
}

/// Whether a proof holds; takes the same time for every wrong one.
pub fn check(
    key: &str,
    side: ProofSide,
    nonce: &Nonce,
    claim: &LinkClaim,
    proof: &[u8; 32],
) -> bool {
    mac(key, side, nonce, claim).verify_slice(proof).is_ok()
}

/// A fresh challenge.
pub fn nonce() -> Result<Nonce, getrandom::Error> {
    let mut nonce = Nonce::default();
    getrandom::fill(&mut nonce)?;
    Ok(nonce)
}
