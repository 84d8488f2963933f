//! Determines which upstreams accept requests from this node. It is checked when an upstream is
//! selected and again immediately before each send, since the state may change while a connection
//! is opened.

use std::collections::BTreeMap;
use std::time::Duration;

use thiserror::Error;

use crate::gateway::registry::{
    CandidateWindow, LeavingCause, Upstream, UpstreamKey, UpstreamRegistry,
};

/// Reason why a request is not sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EligibilityError {
    /// This node does not know the upstream.
    #[error("the upstream is not known")]
    Unknown,
    /// The upstream accepts no new calls.
    #[error("the upstream takes nothing new: {0}")]
    Left(LeavingCause),
    /// The upstream requested a pause of this node, of which this time is left.
    #[error("the upstream asked for a pause")]
    Paused(Duration),
}

/// Returns the upstream if requests may be sent to it now.
///
/// # Errors
///
/// If it accepts no request, with the reason.
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

/// Upstreams of a pool that requests may be sent to now, of those that calls of a node in `zone`
/// are likely to go to.
pub fn eligible_candidates<'a>(
    registry: &'a UpstreamRegistry,
    pool: &str,
    zone: &str,
    window: CandidateWindow,
    now: Duration,
) -> BTreeMap<UpstreamKey, &'a Upstream> {
    let mut candidates = registry.candidates(pool, zone, window);
    candidates.retain(|_, upstream| upstream.pause.left(now).is_none());
    candidates
}

/// Time until the first upstream of a pool that is not among `tried` accepts requests again after a
/// pause. `None` if one accepts them now, or if none requested a pause; the maximum duration if all
/// that requested one were tried.
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
