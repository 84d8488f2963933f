//! Determines whether this node knows all upstreams or only the preferred ones.
//!
//! Nodes that callers are directed to, hubs, readers of the store and holders of the duties know
//! all. In a large fleet the other nodes know only the preferred upstreams, so that their start and
//! their memory do not grow with the number of upstreams.

use std::time::Duration;

use monsoonbank_kernel::gateway::gossip::GossipUrgency;

use crate::gateway::Gateway;
use crate::gateway::decisions::UpstreamDecision;

/// Time for which a node that had to know all upstreams continues to: the roles of nodes change
/// back and forth while heartbeats are lost.
const WHOLE_TIME: Duration = Duration::from_secs(5);

/// Time after its start until a node can tell which role it has: at first it knows too few others.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Part of the registry that a node knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum RegistryScope {
    /// Nothing yet.
    #[default]
    Nothing,
    /// The preferred upstreams.
    Preferred,
    /// All upstreams.
    Whole,
}

/// Lets this node know all upstreams for a while.
pub fn require_whole(gateway: &Gateway) {
    gateway.whole_until.set(gateway.now() + WHOLE_TIME);
}

/// Returns whether this node has to know all upstreams.
pub fn needs_whole(gateway: &Gateway) -> bool {
    let now = gateway.now();
    if now < gateway.whole_until.get() {
        return true;
    }
    let fleet = gateway.fleet.borrow();
    if fleet.uptime(now) < SETTLE_TIME {
        return false;
    }
    let holds_duties = || {
        let duties = gateway.duties.as_ref();
        duties.is_some_and(|duties| duties.token().is_some())
    };
    fleet.is_hub(now) || fleet.is_entry(now) || fleet.reads_store(now) || holds_duties()
}

/// Records that a part of the registry has been loaded.
pub fn set(gateway: &Gateway, scope: RegistryScope) {
    if gateway.scope.replace(scope) == scope {
        return;
    }
    gateway.scope_since.set(gateway.now());
    gateway.decisions.record(UpstreamDecision::RegistryLoaded {
        scope: &scope.to_string(),
        upstreams: gateway.registry.borrow().usable_total(),
    });
    if scope == RegistryScope::Whole && gateway.is_reader() {
        gateway.propagate(GossipUrgency::All);
    }
}

/// Returns whether a node that knows all upstreams tells others which ones are preferred.
fn offers_preferred(gateway: &Gateway) -> bool {
    let fleet = gateway.fleet.borrow();
    let mut live = fleet.live(gateway.now());
    live.any(|peer| peer.heartbeat.preferred_digest.is_some())
}

/// Extends the time for which this node knows all upstreams while it needs them, and afterwards
/// forgets those that are not preferred.
pub fn update(gateway: &Gateway) {
    let now = gateway.now();
    if gateway.fleet.borrow().uptime(now) < SETTLE_TIME {
        return;
    }
    // A node that knows no other takes itself for a hub.
    let is_alone = gateway.fleet.borrow().live(now).next().is_none();
    if now >= gateway.whole_until.get() && !is_alone && needs_whole(gateway) {
        require_whole(gateway);
    }
    if gateway.scope.get() != RegistryScope::Whole || needs_whole(gateway) {
        return;
    }
    if !offers_preferred(gateway) {
        return;
    }
    gateway.registry.borrow_mut().forget_others();
    set(gateway, RegistryScope::Preferred);
}
