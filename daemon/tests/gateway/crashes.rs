//! Calls that crash each upstream that runs them.

use std::time::Duration;

use monsoonbank_standin::scripted::AnswerScript;
use monsoonbank_standin::scripted::ScriptStep::{Reset, Send};
use tokio::time::sleep;

use crate::world::{
    RawAnswer, World, good_answer, request, script, send, stream_head, upstream_id,
};

/// Number of upstreams that a call may crash before it is refused.
const CRASHES: usize = 3;
/// Time for a crash to propagate among nodes, and for them to read which upstream replaces the
/// crashed one.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Resets the connection of each call whose path contains `crash`, and answers the others.
fn fragile() -> AnswerScript {
    script(|request, _| {
        if request.target.contains("crash") {
            vec![Send(stream_head(request)), Reset]
        } else {
            vec![Send(good_answer(request))]
        }
    })
}

async fn fragile_world(zones: &[&str]) -> World {
    World::start(zones, (0..8).map(|_| fragile()).collect()).await
}

/// Sends the same call to each node in turn, with new attempt ids.
async fn send_repeatedly(world: &World, path: &str, name: &str, times: usize) -> Vec<RawAnswer> {
    let mut answers = Vec::new();
    for turn in 0..times {
        let node = &world.nodes[turn % world.nodes.len()];
        let call = request(path, &format!("{name}{turn}"), "");
        answers.push(send(node.address(4000), call.as_bytes()).await);
        replace_crashed(world, path);
        sleep(PROPAGATION_TIME).await;
    }
    answers
}

/// Registers a new run of each upstream that a call reached, as after a crash.
fn replace_crashed(world: &World, path: &str) {
    for (index, upstream) in world.upstreams.iter().enumerate() {
        let calls = upstream.calls();
        let crashes = calls.iter().filter(|call| &*call.request.target == path);
        let crashes = crashes.count();
        let run = |crashes: usize| format!("{}-run-{crashes}", upstream_id(index));
        match crashes {
            0 => continue,
            1 => world.deregister(index),
            _ => world.store.put("keyed.servers", &run(crashes - 1), b""),
        }
        world.register_as(index, &run(crashes), "ready");
    }
}

/// Defines a case: the zones of the nodes that the call is sent to in turn, and its path. It
/// reaches three upstreams in total, and is then refused as not run.
macro_rules! crashing {
    ($($name:ident: $zones:expr, $path:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let world = fragile_world(&$zones).await;
            let answers = send_repeatedly(&world, $path, "a", 9).await;
            assert_eq!(world.arrivals(), CRASHES);
            for answer in &answers[CRASHES..] {
                assert_eq!(answer.status, 503, "{}", answer.head);
                assert!(answer.has("retry-after"), "{}", answer.head);
            }
        }
    )*};
}

// Guards against a call that is sent to engine after engine because it is not recognized at other
// nodes and in later attempts.
crashing! {
    a_crashing_call_is_refused_after_three_crashes: ["east"], "/stream/crash";
    a_crashing_call_is_refused_by_nodes_that_sent_it_nowhere: ["east", "east", "west"], "/stream/crash";
    a_crashing_call_is_refused_among_its_own_retries: ["east"], "/safe/crash";
    a_crashing_call_that_may_run_once_is_refused: ["east", "west"], "/once/crash";
}

// Guards against refusing other calls than the one that crashes upstreams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_calls_of_the_same_caller_are_served() {
    let world = fragile_world(&["east"]).await;
    send_repeatedly(&world, "/stream/crash", "a", 4).await;
    for turn in 0..4 {
        let call = request("/safe/other", &format!("b{turn}"), "");
        assert_eq!(world.send(&call).await.status, 200);
    }
}

/// Kills all nodes, starts them again and waits until they are ready.
async fn restart_all(world: &mut World) {
    for node in &mut world.nodes {
        node.child.kill().expect("killed");
        node.child.wait().expect("ended");
    }
    for node in &mut world.nodes {
        node.restart();
    }
    for node in &world.nodes {
        node.ready().await;
    }
}

// Guards against a restarted fleet that no longer knows which calls crash upstreams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_that_was_killed_still_refuses_the_call() {
    let mut world = fragile_world(&["east", "west"]).await;
    send_repeatedly(&world, "/stream/crash", "a", 4).await;
    restart_all(&mut world).await;
    sleep(PROPAGATION_TIME).await;
    send_repeatedly(&world, "/stream/crash", "b", 4).await;
    assert_eq!(world.arrivals(), CRASHES);
}

// Guards against a store that lost quarantined contents, with a restart of the fleet after that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_quarantine_is_written_again_when_the_store_comes_back_older() {
    let mut world = fragile_world(&["east"]).await;
    send_repeatedly(&world, "/stream/crash", "a", 4).await;
    world.store.roll_back("keyed.crashes", 1);
    sleep(PROPAGATION_TIME * 3).await;
    restart_all(&mut world).await;
    sleep(PROPAGATION_TIME).await;
    send_repeatedly(&world, "/stream/crash", "b", 3).await;
    assert_eq!(world.arrivals(), CRASHES);
}

// Guards against a node that starts after the crashes and does not know of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_is_added_refuses_the_call() {
    let world = fragile_world(&["east"]).await;
    send_repeatedly(&world, "/stream/crash", "a", 4).await;
    let world = world.with_nodes(&["west"]).await;
    sleep(PROPAGATION_TIME).await;
    send_repeatedly(&world, "/stream/crash", "b", 4).await;
    assert_eq!(world.arrivals(), CRASHES);
}
