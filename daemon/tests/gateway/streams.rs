//! Streams: complete events, in order, exactly once, and resumed at another upstream where that is
//! allowed.

use std::time::Duration;

use monsoonbank_standin::raw::RawRequest;
use monsoonbank_standin::scripted::AnswerScript;
use monsoonbank_standin::scripted::ScriptStep::{Close, Hang, Reset, Send, Wait};
use serde_json::json;

use crate::world::{
    RawAnswer, World, answer_head, chunk, configuration, event, events, request, script,
    stream_head, until,
};

fn all_events(first: u64, last: u64) -> String {
    (first..=last).map(event).collect()
}

/// Serves events 1 to 9; each run breaks off after three, in the middle of the next.
fn breaks_off(end: monsoonbank_standin::scripted::ScriptStep) -> AnswerScript {
    script(move |request, _| {
        let from = request.header("last-event-id").parse::<u64>().unwrap_or(0) + 1;
        let mut steps = vec![
            Send(stream_head(request)),
            Send(events(from, (from + 2).min(9))),
        ];
        if from + 2 >= 9 {
            steps.push(Send(b"0\r\n\r\n".to_vec()));
        } else {
            steps.push(Send(chunk("id: 99\nda")));
            steps.push(Wait(Duration::from_millis(20)));
            steps.push(end.clone());
        }
        steps
    })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_complete_stream_is_forwarded_unchanged() {
    let streams = script(|request, _| {
        vec![
            Send(stream_head(request)),
            Send(events(1, 5)),
            Send(b"0\r\n\r\n".to_vec()),
        ]
    });
    let world = World::start(&["east"], vec![streams]).await;
    let answer = world.send(&request("/stream/x", "a1", "")).await;
    assert!(
        answer.complete && answer.has("x-response-seal: signed-a1"),
        "{}",
        answer.head
    );
    assert_eq!(answer.text(), all_events(1, 5));
}

/// Defines a case: how the first run ends. The caller gets every event once.
macro_rules! resumed {
    ($($name:ident: $end:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let world = World::start(&["east"], vec![breaks_off($end), breaks_off($end)]).await;
            let begun = world.send(&request("/resume/x", "a0", "")).await;
            assert!(!begun.complete, "{}", begun.text());
            assert_eq!(begun.text(), all_events(1, 6));
            assert_eq!(world.arrivals(), 2);
            let more = "Resumes: a0\r\nLast-Event-Id: 3\r\n";
            let answer = world.send(&request("/resume/x", "a1", more)).await;
            assert!(answer.complete, "{}", answer.text());
            assert_eq!(answer.text(), all_events(4, 9));
            assert_eq!(world.arrivals(), 4);
            let last: Vec<String> = world.upstreams.iter()
                .flat_map(|upstream| upstream.calls())
                .filter(|call| call.request.header("x-attempt-id") == "a1")
                .map(|call| call.request.header("last-event-id").to_owned())
                .collect();
            assert!(last.contains(&"3".to_owned()) && last.contains(&"6".to_owned()), "{last:?}");
        }
    )*};
}

resumed! {
    resumed_after_a_reset: Reset;
    resumed_after_a_close: Close;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_cannot_be_resumed_is_cut_at_an_event() {
    let world = World::start(&["east"], vec![breaks_off(Reset), breaks_off(Reset)]).await;
    let answer = world.send(&request("/stream/x", "a1", "")).await;
    assert_eq!(answer.status, 200);
    assert!(!answer.complete);
    assert_eq!(answer.text(), all_events(1, 3));
    assert_eq!(world.arrivals(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gap_between_two_runs_is_never_forwarded() {
    let skips = script(|request, number| {
        let from = request.header("last-event-id").parse::<u64>().unwrap_or(0) + 1 + number as u64;
        let again = request.header("last-event-id").is_empty();
        let from = if again { 1 } else { from + 1 };
        vec![
            Send(stream_head(request)),
            Send(events(from, from + 2)),
            Wait(Duration::from_millis(20)),
            if again {
                Reset
            } else {
                Send(b"0\r\n\r\n".to_vec())
            },
        ]
    });
    let world = World::start(&["east"], vec![skips.clone(), skips]).await;
    let answer = world.send(&request("/resume/x", "a1", "")).await;
    assert!(!answer.complete, "{}", answer.text());
    assert_eq!(answer.text(), all_events(1, 3));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_is_ended_at_its_deadline() {
    let stalls = script(|request, _| vec![Send(stream_head(request)), Send(events(1, 2)), Hang]);
    let world = World::start(&["east"], vec![stalls]).await;
    let started = tokio::time::Instant::now();
    let text = request("/stream/x", "a1", "").replace("X-Deadline-Ms: 2500", "X-Deadline-Ms: 700");
    let answer = world.send(&text).await;
    assert!(!answer.complete);
    assert_eq!(answer.text(), all_events(1, 2));
    assert!(
        started.elapsed() < Duration::from_millis(1100),
        "{:?}",
        started.elapsed()
    );
}

/// Builds the head of a stream that has neither a length nor chunks and ends with its connection.
fn unframed_head(request: &RawRequest) -> String {
    let more = "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";
    answer_head(request.header("x-attempt-id"), more)
}

/// Answers the first run with `body` and closes the connection; a resumed run goes on to event 9.
fn ends_with_connection(body: impl Into<String>) -> AnswerScript {
    let body = body.into();
    script(move |request, _| {
        let from = request.header("last-event-id").parse::<u64>();
        let body = from.map_or_else(|_| body.clone(), |last| all_events(last + 1, 9));
        let sent = Send((unframed_head(request) + &body).into_bytes());
        vec![sent, Wait(Duration::from_millis(20)), Close]
    })
}

/// Ends the chunks of a stream properly, after a part of an event.
fn ends_chunks_early() -> AnswerScript {
    script(|request, _| {
        vec![
            Send(stream_head(request)),
            Send(events(1, 3)),
            Send(chunk("id: 4\nda")),
            Send(b"0\r\n\r\n".to_vec()),
        ]
    })
}

/// Defines a case: path, upstream, events that the caller gets, whether its answer is complete.
macro_rules! stream_ends {
    ($($name:ident: $path:expr, $script:expr => $events:expr, $complete:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let world = World::start(&["east"], vec![$script, $script]).await;
            let answer = world.send(&request($path, "a1", "")).await;
            assert_eq!(answer.status, 200, "{}", answer.head);
            assert_eq!((answer.text(), answer.complete), (all_events(1, $events), $complete));
        }
    )*};
}

// Guards against a stream that was broken off and reached its caller as complete.
stream_ends! {
    an_unframed_stream_that_ends_inside_an_event_is_cut:
        "/stream/x", ends_with_connection(all_events(1, 3) + "id: 4\nda") => 3, false;
    an_unframed_stream_that_ends_before_a_blank_line_is_cut:
        "/stream/x", ends_with_connection(all_events(1, 3) + "id: 4\ndata: piece 4\n") => 3, false;
    an_unframed_stream_that_ends_inside_an_event_is_resumed:
        "/resume/x", ends_with_connection(all_events(1, 3) + "id: 4\nda") => 9, true;
    a_chunked_stream_that_ends_inside_an_event_is_cut:
        "/stream/x", ends_chunks_early() => 3, false;
    an_unframed_stream_that_ends_after_an_event_is_complete:
        "/stream/x", ends_with_connection(all_events(1, 9)) => 9, true;
}

// Guards against a stream that was broken off before its first event and reached its caller as
// complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unframed_stream_without_an_event_is_no_answer() {
    let world = World::start(&["east"], vec![ends_with_connection("")]).await;
    let answer = world.send(&request("/stream/x", "a1", "")).await;
    assert_eq!(answer.status, 502, "{}", answer.head);
}

/// Runs a stream that stops after `silent_after` events, with another upstream that can resume it.
/// Returns the answer and the number of calls at the second upstream.
async fn stop_midway(path: &str, silent_after: u64, dark: bool) -> (RawAnswer, usize) {
    let silent = script(move |request, _| {
        let mut steps = Vec::new();
        if silent_after > 0 {
            steps.push(Send(stream_head(request)));
            steps.push(Send(events(1, silent_after)));
        }
        steps.push(Hang);
        steps
    });
    let whole = script(|request, _| {
        let from = request.header("last-event-id").parse::<u64>().unwrap_or(0) + 1;
        vec![
            Send(stream_head(request)),
            Send(events(from, 6)),
            Send(b"0\r\n\r\n".to_vec()),
        ]
    });
    let world = World::start(&["east"], vec![silent, whole]).await;
    world.deregister(1);
    until("one upstream is left", async || {
        let state = world.nodes[0].state().await;
        let upstreams = state["upstreams"].as_array().cloned().unwrap_or_default();
        upstreams
            .iter()
            .filter(|upstream| upstream["left"].is_null())
            .count()
            == 1
    })
    .await;
    let text = request(path, "a1", "");
    let sending = world.send(&text);
    let changing = async {
        until("the call is at the upstream", async || {
            !world.upstreams[0].calls().is_empty()
        })
        .await;
        if dark {
            world.upstreams[0].stop_accepting();
        }
        world.register_as(1, "i-later", "ready");
    };
    let (answer, ()) = tokio::join!(sending, changing);
    (answer, world.upstreams[1].calls().len())
}

macro_rules! silent_streams {
    ($($name:ident: $path:expr, $events:expr, $dark:expr => $complete:expr, $elsewhere:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let (answer, elsewhere) = stop_midway($path, $events, $dark).await;
            assert_eq!((answer.complete && answer.status == 200, elsewhere), ($complete, $elsewhere),
                "{} {}", answer.head, answer.text());
            if $complete {
                assert_eq!(answer.text(), all_events(1, 6));
            }
        }
    )*};
}

silent_streams! {
    resumes_at_another_upstream_when_its_host_is_unreachable: "/resume/x", 3, true => true, 1;
    starts_at_another_upstream_when_its_host_is_unreachable: "/resume/x", 0, true => true, 1;
    stays_when_its_host_still_accepts_connections: "/resume/x", 3, false => false, 0;
    stays_when_the_call_may_run_only_once: "/stream/x", 0, true => false, 0;
}

// Guards against a call that is taken from a sound engine which falls silent for a second and goes on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_stays_at_an_engine_that_is_silent_for_a_second() {
    let pauses = script(|request, _| {
        vec![
            Send(stream_head(request)),
            Send(events(1, 3)),
            Wait(Duration::from_millis(1300)),
            Send(events(4, 6)),
            Send(b"0\r\n\r\n".to_vec()),
        ]
    });
    let world = World::start(&["east"], vec![pauses.clone(), pauses]).await;
    let text = request("/resume/x", "a1", "");
    let sending = world.send(&text);
    let silencing = async {
        until("the call is at an upstream", async || world.arrivals() == 1).await;
        for upstream in &world.upstreams {
            upstream.stop_accepting();
        }
    };
    let (answer, ()) = tokio::join!(sending, silencing);
    assert!(answer.complete, "{}", answer.text());
    assert_eq!((answer.text(), world.arrivals()), (all_events(1, 6), 1));
}

/// Builds a request for an engine's stream, with its time left and the expected tokens of the
/// answer.
fn engine_request(id: &str, left_ms: u64, expected: u32) -> String {
    let more = format!("X-Token-Counts: 100,400\r\nX-Length-Hint: {expected}\r\n");
    request("/stream/x", id, &more)
        .replace("X-Deadline-Ms: 2500", &format!("X-Deadline-Ms: {left_ms}"))
}

/// Starts a node and an engine whose streams have three events, 100 ms apart.
async fn start_slow_engine() -> World {
    let slow = script(|request, _| {
        let pause = Wait(Duration::from_millis(100));
        let mut steps = vec![Send(stream_head(request))];
        for id in 1..=3 {
            steps.extend([Send(events(id, id)), pause.clone()]);
        }
        steps.push(Send(b"0\r\n\r\n".to_vec()));
        steps
    });
    let world = World::start(&["east"], vec![slow]).await;
    let mut with_engines = configuration(2);
    with_engines["services"][0]["engine"] = json!({ "kvCapacity": 100_000, "stride": 1 });
    world.publish(&with_engines);
    let in_force = |line: &serde_json::Value| line["version"] == 2;
    until("the version is in force", async || {
        world.nodes[0].lines().iter().any(in_force)
    })
    .await;
    world
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_call_is_sent_only_if_it_can_end_at_the_pace_of_streams() {
    let world = start_slow_engine().await;
    // Callers have 3 s in total, so a call with 1 s left is late.
    let fresh = world.send(&engine_request("a1", 3000, 100)).await;
    assert!(
        fresh.complete,
        "one that is not late is sent whatever it needs"
    );
    let long = world.send(&engine_request("a2", 1000, 100)).await;
    assert_eq!(long.status, 503, "{}", long.head);
    assert!(long.has("retry-after"), "{}", long.head);
    assert_eq!(world.arrivals(), 1);
    let short = world.send(&engine_request("a3", 1000, 4)).await;
    assert!(short.complete && short.status == 200, "{}", short.head);
    let recorded = |line: &serde_json::Value| line["event"] == "too_late" && line["call"] == "a2";
    until("the rejection is recorded", async || {
        world.nodes[0].lines().iter().any(recorded)
    })
    .await;
}

// Guards against a caller whose stream is refused for the length that it had at its beginning.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_call_that_resumes_is_sent_if_its_rest_can_end_in_time() {
    let world = start_slow_engine().await;
    let begun = engine_request("a1", 3000, 100).replace("/stream/x", "/resume/x");
    assert!(world.send(&begun).await.complete);
    let resumes = |id: &str, last_event: u32| {
        let more = format!("Resumes: a1\r\nLast-Event-Id: {last_event}\r\nContent-Length");
        let text = engine_request(id, 1000, 100).replace("/stream/x", "/resume/x");
        text.replace("Content-Length", &more)
    };
    let long = world.send(&resumes("a2", 3)).await;
    assert_eq!(long.status, 503, "{}", long.head);
    let short = world.send(&resumes("a3", 97)).await;
    assert_eq!(short.status, 200, "{}", short.head);
}
