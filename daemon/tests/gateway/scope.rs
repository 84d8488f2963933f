//! Nodes with few calls in a fleet of thousands of upstreams.
//!
//! Guards against a start, a memory and a traffic of every node that grow with the number of
//! upstreams, against nodes that all read them from the store when a fleet starts, and against a
//! fleet that knows too few of them after the loss of its hubs.

use std::time::Duration;

use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::thin::{UPSTREAMS, register_many};
use crate::world::{NodeProcess, World, get, good, until};

/// Number of nodes of an availability zone that are hubs.
const HUBS: usize = 3;
/// Largest number of upstreams that another node may know.
const MAX_PREFERRED: usize = 400;
/// Time within which a node that takes over has to know all upstreams.
const TAKEOVER: Duration = Duration::from_secs(10);

/// Number of nodes that start before their seed.
const STARTING: usize = 10;
/// Time by which the seed starts later, so that all others have looked for it in vain.
const SEED_DELAY: Duration = Duration::from_millis(400);
/// Calls to the store that read the configuration, all pages of upstreams and crash reports.
const WHOLE_READ: usize = 18;
/// Calls of a node that has heard from no other: the configuration and two pages.
const ALONE_READ: usize = 3;
/// Calls of the readers of the store for changes, within the test.
const POLLS: usize = 10;

async fn known(node: &NodeProcess) -> usize {
    let state = node.state().await;
    let upstreams = state["upstreams"].as_array().expect("a list");
    let is_usable = |upstream: &&Value| upstream["left"].is_null();
    upstreams.iter().filter(is_usable).count()
}

async fn large_world() -> World {
    let world = World::start(&["east"; HUBS + 2], vec![good()]).await;
    register_many(&world);
    until("the hubs know all upstreams", async || {
        for hub in &world.nodes[..HUBS] {
            if known(hub).await as u64 != UPSTREAMS + 1 {
                return false;
            }
        }
        true
    })
    .await;
    until("the others know the preferred ones", async || {
        for node in &world.nodes[HUBS..] {
            if !(100..MAX_PREFERRED).contains(&known(node).await) {
                return false;
            }
        }
        true
    })
    .await;
    world
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_starts_is_ready_with_the_preferred_upstreams() {
    let world = large_world().await.with_nodes(&["east"]).await;
    let node = &world.nodes[HUBS + 2];
    until("it knows the preferred upstreams", async || {
        (100..MAX_PREFERRED).contains(&known(node).await)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_that_replace_all_hubs_know_all_upstreams() {
    let mut world = large_world().await;
    for hub in &mut world.nodes[..HUBS] {
        hub.child.kill().expect("killed");
        hub.child.wait().expect("ended");
    }
    let killed = Instant::now();
    until("the other nodes know all upstreams", async || {
        known(&world.nodes[HUBS]).await as u64 == UPSTREAMS + 1
    })
    .await;
    let took = killed.elapsed();
    assert!(took < TAKEOVER, "{took:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_that_leaves_is_replaced_at_nodes_with_few_calls() {
    let world = large_world().await;
    let node = &world.nodes[HUBS];
    let before = known(node).await;
    let state = node.state().await;
    let upstreams = state["upstreams"].as_array().expect("a list");
    let in_zone = |upstream: &&Value| upstream["zone"] == "zone-1";
    let first = upstreams.iter().find(in_zone).expect("one of each zone");
    let id = first["id"].as_str().expect("an id");
    world.store.put("keyed.servers", id, b"");
    until("the upstream has left there", async || {
        let state = node.state().await;
        let upstreams = state["upstreams"].as_array().expect("a list");
        let mut usable = upstreams.iter().filter(|one| one["left"].is_null());
        !usable.any(|one| one["id"] == id)
    })
    .await;
    until("another one takes its place", async || {
        known(node).await == before
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_that_start_before_their_seed_leave_the_store_to_it() {
    let mut world = World::start(&["east"], vec![good()]).await;
    register_many(&world);
    let seed = world.nodes[0].host;
    world.nodes[0].child.kill().expect("killed");
    world.nodes[0].child.wait().expect("ended");
    let before = world.store.calls();
    let start = |index| world.start_with_seeds(&format!("started-{index}"), &[seed]);
    let started: Vec<NodeProcess> = (0..STARTING).map(start).collect();
    sleep(SEED_DELAY).await;
    world.nodes[0].restart();
    for node in &started {
        node.ready().await;
    }
    let calls = world.store.calls() - before;
    // Each hub reads all if it has not heard yet that another one does.
    let most = HUBS * WHOLE_READ + ALONE_READ * STARTING + POLLS;
    assert!(calls <= most, "{calls} calls");
}

// Guards against a host with a slow link that serves no call until it has read thousands of
// upstreams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_uses_the_upstreams_of_the_first_pages_while_it_reads_the_others() {
    let world = World::start(&[], Vec::new()).await;
    register_many(&world);
    world.store.delay_pages(Duration::from_millis(500));
    let node = World::start_alone(world.store.address());
    until("it answers", async || {
        get(node.address(4003), "/state").await.is_some()
    })
    .await;
    until("it knows some upstreams", async || known(&node).await > 0).await;
    assert!((known(&node).await as u64) < UPSTREAMS);
    until("it knows all", async || {
        known(&node).await as u64 == UPSTREAMS
    })
    .await;
}
