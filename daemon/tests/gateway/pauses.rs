//! Upstreams that refuse calls and ask the node that sent them to pause.

use std::time::Duration;

use monsoonbank_standin::raw::RawRequest;
use monsoonbank_standin::scripted::AnswerScript;
use monsoonbank_standin::scripted::ScriptStep::Send;
use tokio::time::{Instant, sleep};

use crate::world::{RawAnswer, World, good, good_answer, request, script, send, until};

/// Pause that upstreams ask for.
const PAUSE: Duration = Duration::from_secs(3);
/// Time after a refusal during which calls that were already in flight may arrive.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Number of calls that may reach an upstream from the node in the rest of the pause.
const ALLOWED: usize = 2;
/// Time for which calls are sent.
const LOAD_TIME: Duration = Duration::from_secs(5);
/// Interval between calls.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// Builds a refusal that asks for a pause.
fn refusal(request: &RawRequest) -> Vec<u8> {
    let id = request.header("x-attempt-id");
    let text = format!(
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {id}\r\n\
         Retry-After: {}\r\nContent-Length: 0\r\n\r\n",
        PAUSE.as_secs()
    );
    text.into_bytes()
}

/// Refuses all calls and asks for pauses.
fn pausing() -> AnswerScript {
    script(|request, _| vec![Send(refusal(request))])
}

/// Sends calls to all nodes in turn for `LOAD_TIME`. The ids begin with the node's number.
async fn send_load(world: &World, folder: &str) -> Vec<RawAnswer> {
    let started = Instant::now();
    let mut sent = Vec::new();
    while started.elapsed() < LOAD_TIME {
        let number = sent.len();
        let node = number % world.nodes.len();
        let path = format!("/{folder}/{number}");
        let call = request(&path, &format!("{node}-{number}"), "");
        let address = world.nodes[node].address(4000);
        sent.push(tokio::spawn(
            async move { send(address, call.as_bytes()).await },
        ));
        sleep(CALL_INTERVAL).await;
    }
    let mut answers = Vec::new();
    for answer in sent {
        answers.push(answer.await.expect("an answer"));
    }
    answers
}

/// Returns the largest number of calls that reached an upstream from one node in a pause that it
/// had asked that node for.
fn most_in_pause(world: &World) -> usize {
    let mut most = 0;
    for upstream in &world.upstreams {
        for node in 0..world.nodes.len() {
            let prefix = format!("{node}-");
            let calls = upstream.calls();
            let times: Vec<Instant> = calls
                .iter()
                .filter(|call| call.request.header("x-attempt-id").starts_with(&prefix))
                .map(|call| call.at)
                .collect();
            let in_pause = |refused: &Instant| {
                let pause = *refused + SETTLE_TIME..*refused + PAUSE;
                times.iter().filter(|at| pause.contains(at)).count()
            };
            most = most.max(times.iter().map(in_pause).max().unwrap_or(0));
        }
    }
    most
}

/// Defines a case: the zones of the nodes, the path of the calls and the number of upstreams, which
/// all ask for pauses.
macro_rules! pauses {
    ($($name:ident: $zones:expr, $folder:literal, $upstreams:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let upstreams = (0..$upstreams).map(|_| pausing()).collect();
            let world = World::start(&$zones, upstreams).await;
            send_load(&world, $folder).await;
            let most = most_in_pause(&world);
            assert!(most <= ALLOWED, "{most} calls");
        }
    )*};
}

// Guards against calls to an upstream during a pause that it asked for.
pauses! {
    the_only_upstream_asks_for_a_pause: ["east"], "safe", 1;
    all_upstreams_ask_two_nodes_for_pauses: ["east", "west"], "safe", 3;
    upstreams_ask_for_pauses_where_calls_may_run_once: ["east"], "once", 2;
}

// Guards against callers that wait, or that get a `Retry-After` within the pause of all upstreams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_of_a_pausing_pool_get_retry_after_at_once() {
    let world = World::start(&["east"], vec![pausing()]).await;
    assert_eq!(world.send(&request("/safe/x", "0-1", "")).await.status, 503);
    let asked = Instant::now();
    let answer = world.send(&request("/once/x", "0-2", "")).await;
    assert!(
        asked.elapsed() < Duration::from_millis(400),
        "{:?}",
        asked.elapsed()
    );
    assert_eq!(answer.status, 503);
    let seconds = retry_after(&answer);
    assert!((2.0..=4.0).contains(&seconds), "{seconds}");
    assert_eq!(world.arrivals(), 1);
    let line = |line: &serde_json::Value| line["event"] == "pool_paused" && line["call"] == "0-2";
    until("the refusal is recorded", async || {
        world.nodes[0].lines().iter().any(line)
    })
    .await;
}

fn retry_after(answer: &RawAnswer) -> f64 {
    let head = answer.head.to_ascii_lowercase();
    let value = head
        .split("retry-after: ")
        .nth(1)
        .and_then(|rest| rest.lines().next());
    value
        .and_then(|value| value.trim().parse().ok())
        .expect("seconds")
}

// Guards against a pause that also stops the calls of nodes that were not asked for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_pause_binds_only_the_node_that_was_asked_for_it() {
    let upstream = script(|request, _| {
        if request.header("x-attempt-id").starts_with("0-") {
            vec![Send(refusal(request))]
        } else {
            vec![Send(good_answer(request))]
        }
    });
    let world = World::start(&["east", "east"], vec![upstream]).await;
    assert_eq!(world.send(&request("/safe/x", "0-1", "")).await.status, 503);
    sleep(SETTLE_TIME).await;
    let other = world.nodes[1].address(4000);
    let answer = send(other, request("/safe/y", "1-1", "").as_bytes()).await;
    assert_eq!(answer.status, 200);
}

// Guards against a pool whose calls are refused although another upstream has capacity.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_go_to_upstreams_that_do_not_pause() {
    let world = World::start(&["east"], vec![pausing(), good()]).await;
    let answers = send_load(&world, "safe").await;
    assert!(answers.iter().all(|answer| answer.status == 200));
}

// Guards against an upstream that gets no calls after its pause has ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_gets_calls_again_after_its_pause() {
    let upstream = script(|request, number| {
        vec![Send(if number == 0 {
            refusal(request)
        } else {
            good_answer(request)
        })]
    });
    let world = World::start(&["east"], vec![upstream]).await;
    assert_eq!(world.send(&request("/safe/x", "0-1", "")).await.status, 503);
    sleep(PAUSE + SETTLE_TIME).await;
    assert_eq!(world.send(&request("/safe/x", "0-2", "")).await.status, 200);
}
