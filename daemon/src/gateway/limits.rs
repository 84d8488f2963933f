//! Limits that upstreams in need name in their answers.

use monsoonbank_kernel::gateway::registry::UpstreamKey;
use monsoonbank_kernel::gateway::throttle::NamedLimit;

use crate::gateway::Gateway;
use crate::gateway::decisions::Decision;

/// Where limits come from that this node saw itself, in lines.
const OWN_SOURCE: &str = "own";

/// Takes in what an answer of an upstream says of its limit.
pub fn answered(gateway: &Gateway, key: UpstreamKey, per_second: Option<f64>) {
    let said = NamedLimit {
        per_second,
        at: gateway.now(),
    };
    hear(gateway, key, said, OWN_SOURCE);
}

fn hear(gateway: &Gateway, key: UpstreamKey, said: NamedLimit, source: &str) {
    let mut registry = gateway.registry.borrow_mut();
    let Some(upstream) = registry.get_mut(key) else {
        return;
    };
    if !upstream.throttle.heard(said) {
        return;
    }
    gateway.decisions.line(&Decision::LimitChanged {
        upstream: &upstream.entry.id,
        per_second: said.per_second,
        source,
    });
}
