//! Which upstreams want requests of this node: asked when one is chosen, and last of all before each
//! send, since much may become known while a connection is opened.

use std::time::Duration;

use thiserror::Error;

use crate::gateway::registry::{LeavingCause, Upstream, UpstreamKey, UpstreamRegistry};

/// Why a request is not sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EligibilityError {
    /// It is not known.
    #[error("the upstream is not known")]
    Unknown,
    /// It takes nothing new.
    #[error("the upstream takes nothing new: {0}")]
    Left(LeavingCause),
    /// It asked this node for a pause, of which so much is left.
    #[error("the upstream asked for a pause")]
    Paused(Duration),
}

/// The upstream, if requests may be sent to it now.
///
/// # Errors
///
/// If it wants no request.
pub fn check(
    registry: &UpstreamRegistry,
    key: UpstreamKey,
    now: Duration,
) -> Result<&Upstream, EligibilityError> {
    let upstream = registry.get(key).ok_or(EligibilityError::Unknown)?;
    if let Some(cause) = upstream.left {
        return Err(EligibilityError::Left(cause));
    }
    match upstream.pause.left(now) {
        Some(left) => Err(EligibilityError::Paused(left)),
        None => Ok(upstream),
    }
}

/// Upstreams of a pool that requests may be sent to now.
pub fn eligible_upstreams<'a>(
    registry: &'a UpstreamRegistry,
    pool: &str,
    now: Duration,
) -> impl Iterator<Item = (UpstreamKey, &'a Upstream)> {
    let usable = registry.usable(pool);
    usable.filter(move |(_, upstream)| upstream.pause.left(now).is_none())
}

/// Time until the first upstream of a pool wants requests again that is not among `tried`, if none does
/// now and some asked for a pause; the longest time if all those were tried.
pub fn eligible_in(
    registry: &UpstreamRegistry,
    pool: &str,
    tried: &[UpstreamKey],
    now: Duration,
) -> Option<Duration> {
    let is_fresh = |key: UpstreamKey| !tried.contains(&key);
    if eligible_upstreams(registry, pool, now).any(|(key, _)| is_fresh(key)) {
        return None;
    }
    let pauses = registry
        .usable(pool)
        .filter_map(|(key, upstream)| Some((key, upstream.pause.left(now)?)));
    pauses
        .map(|(key, left)| if is_fresh(key) { left } else { Duration::MAX })
        .min()
}
