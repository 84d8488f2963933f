//! The last look at an upstream before a call is sent to it. What was chosen a moment ago may have left
//! while the call's connection was opened.

use thiserror::Error;

use crate::gateway::registry::{LeavingCause, Upstream, UpstreamKey, UpstreamRegistry};

/// Why a call is not sent to the upstream that was chosen for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum GateError {
    /// It is not known.
    #[error("the upstream is not known")]
    Unknown,
    /// It takes nothing new.
    #[error("the upstream takes nothing new: {0}")]
    Left(LeavingCause),
}

/// The upstream, if requests may be sent to it now.
///
/// # Errors
///
/// If it wants no request.
pub fn check(registry: &UpstreamRegistry, key: UpstreamKey) -> Result<&Upstream, GateError> {
    let upstream = registry.get(key).ok_or(GateError::Unknown)?;
    match upstream.left {
        Some(cause) => Err(GateError::Left(cause)),
        None => Ok(upstream),
    }
}
