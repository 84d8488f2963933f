//! Calls that crash each upstream that runs them.

use std::time::Duration;

use monsoonbank_standin::scripted::AnswerScript;
use monsoonbank_standin::scripted::ScriptStep::{Reset, Send};
use tokio::time::sleep;

use crate::world::{RawAnswer, World, good_answer, request, script, send, stream_head};

/// Upstreams that a call may crash before it is refused.
const CRASHES: usize = 3;
/// Time for nodes to tell each other of a crash.
const SPREAD_TIME: Duration = Duration::from_millis(600);

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
        sleep(SPREAD_TIME).await;
    }
    answers
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
