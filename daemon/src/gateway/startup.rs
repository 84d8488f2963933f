//! Determines when a node that starts reads the platform's store itself.
//!
//! If all nodes of a fleet start at once, the seeds and the hubs read for all others.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::gateway::Gateway;

/// Time for which a starting node leaves the store to the seeds. They read it at once, and they and
/// the hubs then propagate what all others need. A random delay of up to the same length is added.
const SEED_HEAD_START: Duration = Duration::from_millis(150);
/// Number of cores below which a host is weak: callers are directed to stronger ones first, so it
/// leaves the store to these as well.
const WEAK_CORES: f64 = 0.25;
/// Factor by which weak hosts leave the store to others for longer.
const WEAK_DELAY: f64 = 3.0;
/// Number of pages of the registry that a starting node reads which has heard from no other. More
/// would be too much for the store and the hosts if all nodes of a large fleet read them: whoever
/// finds more waits for the seeds.
pub const ALONE_PAGES: usize = 2;
/// Time for which such a node waits for another one before it reads all pages. A random delay of up
/// to the same length is added.
const ALONE_TIME: Duration = Duration::from_secs(2);
/// Time after which a starting node that still lacks data reads the store, even if others do. A
/// random delay of up to the same length is added.
const MAX_START_DELAY: Duration = Duration::from_secs(4);
/// Interval at which a starting node checks whether other nodes have sent what it lacks.
const START_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a starting node has received what it lacks, or has to read the store for it. If all
/// nodes start at once, a few read on behalf of all.
pub async fn wait_at_start(
    gateway: &Gateway,
    random: &mut Pcg64Mcg,
    has: impl Fn(&Gateway) -> bool,
) {
    if is_seed(gateway) {
        return;
    }
    let started = gateway.now();
    let is_weak = gateway.settings.limits.cores < WEAK_CORES;
    let factor = if is_weak { WEAK_DELAY } else { 1.0 };
    let first = started + SEED_HEAD_START.mul_f64(factor * random.random_range(1.0..2.0));
    let last = started + MAX_START_DELAY.mul_f64(random.random_range(1.0..2.0));
    while !has(gateway) {
        let now = gateway.now();
        if now >= first && gateway.is_reader() || now >= last {
            return;
        }
        tokio::time::sleep(START_INTERVAL).await;
    }
}

fn is_seed(gateway: &Gateway) -> bool {
    let own = gateway.settings.peers.ip;
    let mut seeds = gateway.settings.peers.seeds.iter();
    seeds.any(|seed| seed.ip() == own)
}

/// Returns whether a node started lately and has heard from no other node, while seeds should
/// answer it.
pub fn is_alone(gateway: &Gateway) -> bool {
    let now = gateway.now();
    let fleet = gateway.fleet.borrow();
    let has_seeds = !gateway.settings.peers.seeds.is_empty() && !is_seed(gateway);
    has_seeds && fleet.uptime(now) < ALONE_TIME && fleet.live(now).next().is_none()
}

/// Waits until a node that is alone hears from another one and receives the upstreams from it, or
/// has to read all of them from the store.
pub async fn wait_for_nodes(gateway: &Gateway, random: &mut Pcg64Mcg) {
    let delay = ALONE_TIME.mul_f64(random.random_range(0.0..1.0));
    while is_alone(gateway) {
        tokio::time::sleep(START_INTERVAL).await;
    }
    if gateway.fleet.borrow().live(gateway.now()).next().is_none() {
        tokio::time::sleep(delay).await;
    }
    wait_at_start(gateway, random, Gateway::knows_upstreams).await;
}
