//! Upstreams that announce in their answers that they leave.

use std::time::Duration;

use monsoonbank_standin::raw::RawRequest;
use monsoonbank_standin::scripted::AnswerScript;
use monsoonbank_standin::scripted::ScriptStep::Send;
use tokio::time::{Instant, sleep};

use crate::world::{World, answer_head, events, good, request, script, send, until, upstream_id};

/// Time after such an answer during which calls may still be sent.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time for which calls are sent.
const LOAD_TIME: Duration = Duration::from_secs(6);
/// Interval between calls.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// Answer of an upstream that leaves.
#[derive(Clone, Copy)]
enum LeavingAnswer {
    /// A successful answer.
    Good,
    /// A stream.
    Stream,
    /// A refusal of the call.
    Refusal,
}

impl LeavingAnswer {
    fn bytes(self, request: &RawRequest) -> Vec<u8> {
        let id = request.header("x-attempt-id");
        let notice = "Server-Leaving: 1\r\n";
        let whole = "Content-Length: 2\r\n\r\nok";
        match self {
            Self::Good => answer_head(id, &format!("{notice}{whole}")).into_bytes(),
            Self::Stream => {
                let kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
                let mut bytes = answer_head(id, &format!("{notice}{kind}")).into_bytes();
                bytes.extend(events(1, 3));
                bytes.extend(b"0\r\n\r\n");
                bytes
            }
            Self::Refusal => format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n\
                 X-Attempt-Id: {id}\r\n{notice}{whole}"
            )
            .into_bytes(),
        }
    }
}

fn leaving(answer: LeavingAnswer) -> AnswerScript {
    script(move |request, _| vec![Send(answer.bytes(request))])
}

/// Sends calls to all nodes in turn for `LOAD_TIME`. Returns the id and time of each.
async fn send_load(world: &World, folder: &str) -> Vec<(String, Instant)> {
    let started = Instant::now();
    let mut sent = Vec::new();
    while started.elapsed() < LOAD_TIME {
        let number = sent.len();
        let node = &world.nodes[number % world.nodes.len()];
        let id = format!("c{number}");
        let call = request(&format!("/{folder}/{number}"), &id, "");
        let address = node.address(4000);
        sent.push((id, Instant::now()));
        tokio::spawn(async move { send(address, call.as_bytes()).await });
        sleep(CALL_INTERVAL).await;
    }
    sent
}

/// Counts calls that reached the upstream although they were sent too late after its first answer.
fn late_calls(world: &World, index: usize, sent: &[(String, Instant)]) -> usize {
    let calls = world.upstreams[index].calls();
    let mut calls = calls
        .iter()
        .filter(|call| &*call.request.target != "/kv-list");
    let Some(first) = calls.next() else {
        panic!("the upstream got no call");
    };
    let is_late = |id: &str| {
        let found = sent.iter().find(|(sent_id, _)| sent_id == id);
        found.is_some_and(|(_, at)| *at > first.at + DRAIN_TIME)
    };
    calls
        .filter(|call| is_late(call.request.header("x-attempt-id")))
        .count()
}

/// Defines a case: the zones of the nodes, the path of the calls, the answer of the upstream that
/// leaves, and the number of upstreams that stay.
macro_rules! departures {
    ($($name:ident: $zones:expr, $folder:literal, $answer:ident, $others:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let mut upstreams = vec![leaving(LeavingAnswer::$answer)];
            upstreams.extend((0..$others).map(|_| good()));
            let world = World::start(&$zones, upstreams).await;
            let sent = send_load(&world, $folder).await;
            assert_eq!(late_calls(&world, 0, &sent), 0);
        }
    )*};
}

// Guards against calls to an upstream that announces in its answers, but not in its entry, that it
// leaves.
departures! {
    an_answer_announces_that_its_upstream_leaves: ["east"], "safe", Good, 1;
    a_stream_announces_that_its_upstream_leaves: ["east"], "resume", Stream, 1;
    a_refusal_announces_that_the_only_upstream_leaves: ["east"], "safe", Refusal, 0;
}

// Guards against each node having to send a call of its own before it knows that an upstream
// leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_departure_announced_in_an_answer_propagates_to_other_nodes() {
    let world = World::start(
        &["east", "east", "west"],
        vec![leaving(LeavingAnswer::Good), good()],
    )
    .await;
    until("an answer says so", async || {
        world.send(&request("/safe/x", "a1", "")).await;
        !world.upstreams[0].calls().is_empty()
    })
    .await;
    for node in &world.nodes {
        until("the node knows", async || {
            let state = node.state().await;
            let upstreams = state["upstreams"].as_array().expect("upstreams");
            upstreams
                .iter()
                .any(|upstream| upstream["id"] == upstream_id(0) && !upstream["left"].is_null())
        })
        .await;
    }
}

// Guards against refusals without `Retry-After` after all upstreams of a pool have left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_are_refused_as_not_run_once_the_only_upstream_leaves() {
    let world = World::start(&["east"], vec![leaving(LeavingAnswer::Good)]).await;
    assert_eq!(world.send(&request("/safe/x", "a1", "")).await.status, 200);
    let answer = world.send(&request("/once/x", "a2", "")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.has("retry-after"), "{}", answer.head);
}
