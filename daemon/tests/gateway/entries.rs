//! Upstreams whose entries are removed and written again.

use std::time::Duration;

use serde_json::Value;
use tokio::time::sleep;

use crate::world::{NodeProcess, World, good, request, send, until, upstream_id};

const ENTRIES: &str = "keyed.servers";

async fn status(node: &NodeProcess) -> u16 {
    let call = request("/safe/x", "a", "");
    send(node.address(4000), call.as_bytes()).await.status
}

/// Cause for which a node uses an upstream no more; `None` if it uses it or does not know it.
async fn left(node: &NodeProcess, index: usize) -> Option<String> {
    let state = node.state().await;
    let id = upstream_id(index);
    let upstreams = state["upstreams"].as_array().expect("upstreams");
    let newest = upstreams.iter().rfind(|upstream| upstream["id"] == *id);
    newest?["left"].as_str().map(str::to_owned)
}

async fn until_left(nodes: &[NodeProcess]) {
    for node in nodes {
        until("the node knows that the entry is gone", async || {
            left(node, 0).await.is_some()
        })
        .await;
    }
}

async fn until_served(nodes: &[NodeProcess]) {
    for node in nodes {
        until("the node uses the upstream", async || {
            status(node).await == 200
        })
        .await;
    }
}

/// Defines a case: the zones of the nodes and what happens between the removal of the only
/// upstream's entry, known to all nodes, and the time at which it is written again.
macro_rules! written_again {
    ($($name:ident: $zones:expr, $meanwhile:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let mut world = World::start(&$zones, vec![good()]).await;
            until_served(&world.nodes).await;
            world.deregister(0);
            until_left(&world.nodes).await;
            let meanwhile: fn(&mut World) = $meanwhile;
            meanwhile(&mut world);
            sleep(Duration::from_millis(1500)).await;
            world.register(0, "ready");
            until_served(&world.nodes).await;
        }
    )*};
}

// Guards against a live upstream that is never used again after its entry expired while it was cut
// off from the store.
written_again! {
    an_upstream_that_is_registered_again_is_used: ["east"], |_| ();
    nodes_that_do_not_read_the_store_use_it_again: ["east", "east", "west", "west"], |_| ();
    it_is_used_after_it_was_removed_twice: ["east", "west"], |world| {
        world.register(0, "ready");
        world.deregister(0);
    };
    it_is_used_by_a_node_that_started_meanwhile: ["east", "east", "west"], |world| {
        world.nodes[1].signal("-KILL");
        std::thread::sleep(Duration::from_millis(100));
        world.nodes[1].restart();
    };
    it_is_used_once_the_store_is_back_from_a_copy_with_its_entry: ["east", "west"], |world| {
        world.store.roll_back(ENTRIES, 1);
    };
}

// Guards against the use of an upstream that left after the store came back from an older copy,
// which still has its entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_of_an_older_copy_of_the_store_does_not_end_a_departure() {
    let world = World::start(&["east", "west"], vec![good()]).await;
    world.deregister(0);
    until_left(&world.nodes).await;
    world.store.roll_back(ENTRIES, 1);
    let is_new_era = |line: &Value| line["event"] == "store_era_began";
    for node in &world.nodes {
        until("the era is seen", async || {
            node.lines().iter().any(is_new_era)
        })
        .await;
    }
    sleep(Duration::from_secs(2)).await;
    for node in &world.nodes {
        assert!(left(node, 0).await.is_some());
        assert_eq!(status(node).await, 503);
    }
}
