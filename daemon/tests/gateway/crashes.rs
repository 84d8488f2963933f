//! Calls that crash each upstream that runs them.

use std::time::Duration;

use monsoonbank_standin::scripted::AnswerScript;
use monsoonbank_standin::scripted::ScriptStep::{Reset, Send};
use tokio::time::sleep;

use crate::world::{
    RawAnswer, World, good_answer, request, script, send, stream_head, upstream_id,
};

/// Upstreams that a call may crash before it is refused.
const CRASHES: usize = 3;
/// Time for nodes to tell each other of a crash and to read which upstream runs in place of the crashed one.
const SPREAD_TIME: Duration = Duration::from_secs(1);

/// Breaks off each call whose path holds `crash`, and answers the others.
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

/// Sends the same call again at each node in turn, under new attempt ids.
async fn send_again(world: &World, path: &str, name: &str, times: usize) -> Vec<RawAnswer> {
    let mut answers = Vec::new();
    for turn in 0..times {
        let node = &world.nodes[turn % world.nodes.len()];
        let call = request(path, &format!("{name}{turn}"), "");
        answers.push(send(node.address(4000), call.as_bytes()).await);
        replace_crashed(world, path);
        sleep(SPREAD_TIME).await;
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

/// Names a case: the zones of the nodes that the call comes to in turn, and its path. It reaches three
/// upstreams in all, and is then refused as not run.
macro_rules! crashing {
    ($($name:ident: $zones:expr, $path:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let world = fragile_world(&$zones).await;
            let answers = send_again(&world, $path, "a", 9).await;
            assert_eq!(world.arrivals(), CRASHES);
            for answer in &answers[CRASHES..] {
                assert_eq!(answer.status, 503, "{}", answer.head);
                assert!(answer.has("retry-after"), "{}", answer.head);
            }
        }
    )*};
}

// Guards against a call that was sent to engine after engine, as nothing knew it from one node and one
// attempt to the next.
crashing! {
    a_crashing_call_is_refused_after_three_crashes: ["east"], "/stream/crash";
    a_crashing_call_is_refused_by_nodes_that_sent_it_nowhere: ["east", "east", "west"], "/stream/crash";
    a_crashing_call_is_refused_among_its_own_retries: ["east"], "/safe/crash";
    a_crashing_call_that_may_run_once_is_refused: ["east", "west"], "/once/crash";
}

// Guards against a rule that refuses more than the call that crashes upstreams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_calls_of_the_same_caller_are_served() {
    let world = fragile_world(&["east"]).await;
    send_again(&world, "/stream/crash", "a", 4).await;
    for turn in 0..4 {
        let call = request("/safe/other", &format!("b{turn}"), "");
        assert_eq!(world.send(&call).await.status, 200);
    }
}

/// Starts a killed fleet anew, and waits until it is ready.
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

// Guards against a fleet that forgets with its processes which calls crash upstreams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_fleet_that_was_killed_still_refuses_the_call() {
    let mut world = fragile_world(&["east", "west"]).await;
    send_again(&world, "/stream/crash", "a", 4).await;
    restart_all(&mut world).await;
    sleep(SPREAD_TIME).await;
    send_again(&world, "/stream/crash", "b", 4).await;
    assert_eq!(world.arrivals(), CRASHES);
}

// Guards against a store that lost what was written to it, and a fleet that is killed after that.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_quarantine_is_written_again_when_the_store_comes_back_older() {
    let mut world = fragile_world(&["east"]).await;
    send_again(&world, "/stream/crash", "a", 4).await;
    world.store.roll_back("keyed.crashes", 1);
    sleep(SPREAD_TIME * 3).await;
    restart_all(&mut world).await;
    sleep(SPREAD_TIME).await;
    send_again(&world, "/stream/crash", "b", 3).await;
    assert_eq!(world.arrivals(), CRASHES);
}

// Guards against a node that starts after a crash and knows nothing of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_is_added_refuses_the_call() {
    let world = fragile_world(&["east"]).await;
    send_again(&world, "/stream/crash", "a", 4).await;
    let world = world.with_nodes(&["west"]).await;
    sleep(SPREAD_TIME).await;
    send_again(&world, "/stream/crash", "b", 4).await;
    assert_eq!(world.arrivals(), CRASHES);
}
