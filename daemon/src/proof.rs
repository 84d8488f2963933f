//! Proof of the shared key when a link is made: an HMAC-SHA-256 (RFC 2104) over a challenge.

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// A one-time challenge.
pub type Nonce = [u8; 16];

/// The first frame of the dialling node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LinkHello {
    /// The dialling node's name.
    pub name: Box<str>,
    /// The dialling node's run.
    pub incarnation: u64,
    /// Answers the listener's challenge.
    pub proof: [u8; 32],
    /// Challenges the listener.
    pub nonce: Nonce,
}

/// The listener's answer to a hello.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LinkWelcome {
    /// Answers the dialler's challenge.
    pub proof: [u8; 32],
}

fn mac(key: &str, role: &[u8], nonce: &Nonce, name: &str, incarnation: u64) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC takes any key");
    mac.update(role);
    mac.update(nonce);
    mac.update(&incarnation.to_be_bytes());
    mac.update(name.as_bytes());
    mac
}

/// Proof of the dialler `name` in its run `incarnation`, for the listener's challenge.
pub fn dialler(key: &str, nonce: &Nonce, name: &str, incarnation: u64) -> [u8; 32] {
    mac(key, b"dial", nonce, name, incarnation)
        .finalize()
        .into_bytes()
        .into()
}

/// Whether a dialler's proof holds; takes the same time for every wrong proof.
pub fn check_dialler(key: &str, nonce: &Nonce, hello: &LinkHello) -> bool {
    mac(key, b"dial", nonce, &hello.name, hello.incarnation)
        .verify_slice(&hello.proof)
        .is_ok()
}

/// Proof of the listener, for the dialler's challenge.
pub fn listener(key: &str, hello: &LinkHello) -> [u8; 32] {
    let mac = mac(key, b"listen", &hello.nonce, &hello.name, hello.incarnation);
    mac.finalize().into_bytes().into()
}

/// Whether a listener's proof holds.
pub fn check_listener(key: &str, hello: &LinkHello, welcome: &LinkWelcome) -> bool {
    let mac = mac(key, b"listen", &hello.nonce, &hello.name, hello.incarnation);
    mac.verify_slice(&welcome.proof).is_ok()
}

/// A fresh challenge.
pub fn nonce() -> Result<Nonce, getrandom::Error> {
    let mut nonce = Nonce::default();
    getrandom::fill(&mut nonce)?;
    Ok(nonce)
}
