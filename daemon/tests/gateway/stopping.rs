//! Calls that wait when their node shuts down get an answer before its process exits.

use std::time::Duration;

use monsoonbank_standin::raw::RawRequest;
use monsoonbank_standin::scripted::ScriptStep::{Hang, Send, Wait};
use monsoonbank_standin::scripted::{AnswerScript, ScriptStep};
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::world::{
    RawAnswer, World, chunk, configuration, events, good_answer, read_answer, script, stream_head,
    until,
};

/// Grace period in the settings of the nodes.
const GRACE: Duration = Duration::from_secs(8);
/// Time that callers have, of which a call waits for a third.
const CALL_TIME_MS: u64 = 60_000;
/// Calls that fill the engine of eight slots up to what is left to more urgent ones.
const FILLING_CALLS: usize = 6;
/// Header lines of a call that another node sends on.
const SENT_ON: &str = "X-Monsoonbank-Version: 1\r\nX-Monsoonbank-Sends: 0\r\n";

/// Occupies a slot with calls whose id begins with `long`, for this time or for good, and answers others.
fn occupied_for(time: Option<Duration>) -> AnswerScript {
    script(move |request, _| {
        let id = request.header("x-attempt-id");
        if !id.starts_with("long") {
            return answers(request);
        }
        let mut steps = vec![Send(stream_head(request)), Send(events(1, 1))];
        match time {
            Some(time) => steps.extend([Wait(time), Send(chunk(""))]),
            None => steps.push(Hang),
        }
        steps
    })
}

fn answers(request: &RawRequest) -> Vec<ScriptStep> {
    if request.target.starts_with("/resume/") {
        vec![
            Send(stream_head(request)),
            Send(events(1, 2)),
            Send(chunk("")),
        ]
    } else {
        vec![Send(good_answer(request))]
    }
}

/// Receives calls and does not answer them.
fn silent() -> AnswerScript {
    script(|_, _| vec![Hang])
}

fn long_configuration() -> Value {
    let mut long = configuration(2);
    for route in long["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = CALL_TIME_MS.into();
    }
    long["services"][0]["engine"] = json!({ "kvCapacity": 400_000, "stride": 5, "slots": 8 });
    long
}

/// Starts a node and an engine.
async fn start(upstream: AnswerScript) -> World {
    let world = World::start(&[], vec![upstream]).await;
    world.publish(&long_configuration());
    world.with_nodes(&["east"]).await
}

fn request(path: &str, id: &str, more: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: calls.example\r\nX-Attempt-Id: {id}\r\nX-Key: key-1\r\n\
         X-Deadline-Ms: {CALL_TIME_MS}\r\n{more}Content-Length: 4\r\n\r\nbody"
    )
}

/// Sends a call; the answer is empty if the connection is closed without one.
fn call(world: &World, port: u16, path: &str, id: &str, more: &str) -> JoinHandle<RawAnswer> {
    let address = world.nodes[0].address(port);
    let text = request(path, id, more);
    tokio::spawn(async move {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream.write_all(text.as_bytes()).await.expect("written");
        read_answer(&mut stream).await
    })
}

/// Fills the engine.
async fn fill(world: &World) -> Vec<JoinHandle<RawAnswer>> {
    let calls = (0..FILLING_CALLS).map(|index| {
        let id = format!("long-{index}");
        call(world, 4000, "/stream/x", &id, "")
    });
    let filling = calls.collect();
    until("the engine is full", async || {
        world.arrivals() == FILLING_CALLS
    })
    .await;
    filling
}

/// Stops the node and returns the answer to a call, which has to arrive within the grace period.
async fn stop(world: &World, waiting: JoinHandle<RawAnswer>) -> RawAnswer {
    sleep(Duration::from_millis(300)).await;
    world.nodes[0].signal("-TERM");
    let stopped = Instant::now();
    let answer = timeout(GRACE + Duration::from_secs(1), waiting).await;
    let answer = answer.expect("an end in time").expect("an answer");
    assert!(stopped.elapsed() < GRACE, "{:?}", stopped.elapsed());
    answer
}

/// Each case gives the port and path of a call that waits for a slot, its header lines, and the status
/// that it gets.
macro_rules! waiting_calls {
    ($($name:ident: $port:literal, $path:literal, $more:expr => $status:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let world = start(occupied_for(None)).await;
            let _filling = fill(&world).await;
            let waiting = call(&world, $port, $path, "a1", $more);
            let answer = stop(&world, waiting).await;
            assert_eq!((answer.status, answer.complete), ($status, true), "{}", answer.head);
            assert_eq!(answer.has("retry-after"), $status == 503, "{}", answer.head);
            assert_eq!(world.arrivals(), FILLING_CALLS);
        }
    )*};
}

// Guards against connections of waiting calls that are closed without an answer when the node exits.
waiting_calls! {
    a_waiting_call_is_refused_before_the_exit: 4000, "/safe/x", "" => 503;
    a_waiting_call_that_may_run_once_is_refused_before_the_exit: 4000, "/once/x", "" => 503;
    a_waiting_stream_is_refused_before_the_exit: 4000, "/resume/x", "" => 503;
    a_call_of_another_node_that_waits_is_declined_before_the_exit: 4010, "/safe/x", SENT_ON => 421;
}

// Guards against waiting calls that are refused although they could still be served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_waiting_call_is_served_if_a_slot_becomes_free_before_the_exit() {
    let world = start(occupied_for(Some(Duration::from_secs(4)))).await;
    let _filling = fill(&world).await;
    let waiting = call(&world, 4000, "/safe/x", "a1", "");
    let answer = stop(&world, waiting).await;
    assert_eq!(
        (answer.status, answer.complete),
        (200, true),
        "{}",
        answer.head
    );
}

/// Each case gives the port and path of a call that an upstream does not answer, and its header lines.
macro_rules! sent_calls {
    ($($name:ident: $port:literal, $path:literal, $more:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let world = start(silent()).await;
            let sent = call(&world, $port, $path, "a1", $more);
            until("the call arrives", async || world.arrivals() == 1).await;
            let answer = stop(&world, sent).await;
            assert_eq!((answer.status, answer.complete), (502, true), "{}", answer.head);
        }
    )*};
}

// Guards against connections of sent calls that are closed without an answer when the node exits, and
// against a refusal of what may have run.
sent_calls! {
    a_call_without_an_answer_ends_as_unknown_before_the_exit: 4000, "/safe/x", "";
    a_call_that_may_run_once_ends_as_unknown_before_the_exit: 4000, "/once/x", "";
    a_stream_without_an_event_ends_as_unknown_before_the_exit: 4000, "/resume/x", "";
    a_call_of_another_node_ends_as_unknown_before_the_exit: 4010, "/once/x", SENT_ON;
}
