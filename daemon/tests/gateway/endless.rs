//! Upstreams in trouble that send bytes without end: in a head, in a body, in place of events.

use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use monsoonbank_standin::raw::RawRequest;
use monsoonbank_standin::scripted::{AnswerScript, ScriptStep, ScriptedCall, ScriptedUpstream};

use crate::world::{
    NodeProcess, World, answer_head, chunk, event, events, good_answer, request, script, send,
    stream_head, until,
};

/// Memory of the smallest hosts, in kB.
const HOST_MEMORY_KB: usize = 160 << 10;
/// Time within which a call is answered at another upstream; it has 2.5 s.
const ANSWER_TIME: Duration = Duration::from_millis(2500);

/// Two upstreams of which the one that is called first answers with these steps, and all later calls
/// are answered well.
fn endless_once(
    steps: impl Fn(&RawRequest) -> Vec<ScriptStep> + Send + Sync + 'static,
) -> Vec<AnswerScript> {
    let calls = Arc::new(AtomicUsize::new(0));
    let script = script(move |request, _| {
        if calls.fetch_add(1, Ordering::Relaxed) == 0 {
            return steps(request);
        }
        if request.target.starts_with("/resume") {
            let mut answer = stream_head(request);
            answer.extend(events(1, 3));
            answer.extend(b"0\r\n\r\n");
            return vec![ScriptStep::Send(answer)];
        }
        vec![ScriptStep::Send(good_answer(request))]
    });
    vec![script.clone(), script]
}

fn calls(world: &World) -> Vec<ScriptedCall> {
    let all = world.upstreams.iter().flat_map(ScriptedUpstream::calls);
    let mut calls: Vec<ScriptedCall> = all.collect();
    calls.sort_by_key(|call| call.at);
    calls
}

/// Each case gives a path, the steps of the first answer, and the bytes that the caller gets: from the
/// other upstream. The first connection has to be closed.
macro_rules! retried {
    ($($name:ident: $path:literal, $steps:expr => $body:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let world = World::start(&["east"], endless_once($steps)).await;
            let text = request($path, "a1", "");
            let answer = tokio::time::timeout(ANSWER_TIME, world.send(&text)).await.expect("in time");
            assert_eq!(answer.status, 200, "{}", answer.text());
            let body: Vec<u8> = $body;
            assert_eq!(answer.text(), String::from_utf8_lossy(&body));
            assert!(answer.complete);
            until("the connection is closed", async || {
                calls(&world)[0].abandoned_at.is_some()
            })
            .await;
            assert_eq!(calls(&world).len(), 2);
        }
    )*};
}

fn with_length_and_more(request: &RawRequest) -> Vec<ScriptStep> {
    vec![
        ScriptStep::Send(good_answer(request)),
        ScriptStep::Repeat(vec![b'x'; 4096]),
    ]
}

fn head(request: &RawRequest, more: &str) -> ScriptStep {
    ScriptStep::Send(answer_head(request.header("x-attempt-id"), more).into_bytes())
}

fn whole_body() -> Vec<u8> {
    b"answer to a1".to_vec()
}

fn three_events() -> Vec<u8> {
    (1..=3).flat_map(|id| event(id).into_bytes()).collect()
}

// Guards against memory that grows and calls that hang until their deadline when an upstream sends bytes
// without end, and against a connection that stays open then.
retried! {
    a_head_of_one_line: "/safe/x", |request| vec![
        head(request, "X-Filler: "),
        ScriptStep::Repeat(vec![b'x'; 4096]),
    ] => whole_body();
    a_head_of_many_lines: "/safe/x", |request| vec![
        head(request, ""),
        ScriptStep::Repeat(b"X-Filler: x\r\n".repeat(100)),
    ] => whole_body();
    bytes_that_are_no_head: "/safe/x", |_| vec![
        ScriptStep::Repeat(vec![b'x'; 4096]),
    ] => whole_body();
    a_body_in_chunks: "/safe/x", |request| vec![
        head(request, "Transfer-Encoding: chunked\r\n\r\n"),
        ScriptStep::Repeat(chunk(&"x".repeat(4096))),
    ] => whole_body();
    a_body_without_framing: "/safe/x", |request| vec![
        head(request, "\r\n"),
        ScriptStep::Repeat(vec![b'x'; 4096]),
    ] => whole_body();
    a_chunk_size: "/safe/x", |request| vec![
        head(request, "Transfer-Encoding: chunked\r\n\r\n"),
        ScriptStep::Repeat(vec![b'0'; 4096]),
    ] => whole_body();
    trailers: "/safe/x", |request| vec![
        head(request, "Transfer-Encoding: chunked\r\n\r\n0\r\n"),
        ScriptStep::Repeat(b"X-Filler: x\r\n".repeat(100)),
    ] => whole_body();
    a_failure: "/resume/x", |_| vec![
        ScriptStep::Send(b"HTTP/1.1 500 Broken\r\n\r\n".to_vec()),
        ScriptStep::Repeat(vec![b'x'; 4096]),
    ] => three_events();
    an_event: "/resume/x", |request| vec![
        ScriptStep::Send(stream_head(request)),
        ScriptStep::Repeat(chunk(&"x".repeat(4096))),
    ] => three_events();
    an_event_after_two: "/resume/x", |request| vec![
        ScriptStep::Send(stream_head(request)),
        ScriptStep::Send(events(1, 2)),
        ScriptStep::Repeat(chunk(&"x".repeat(4096))),
    ] => three_events();
    events_that_repeat: "/resume/x", |request| vec![
        ScriptStep::Send(stream_head(request)),
        ScriptStep::Repeat(events(1, 2)),
    ] => three_events();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_after_an_answer_do_not_reach_the_next_call() {
    let world = World::start(&["east"], endless_once(with_length_and_more)).await;
    for id in ["a1", "a2"] {
        let answer = world.send(&request("/safe/x", id, "")).await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.text(), format!("answer to {id}"));
    }
    until("the connection is closed", async || {
        calls(&world)[0].abandoned_at.is_some()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_may_run_once_is_not_repeated_after_a_body_without_end() {
    let steps =
        |request: &RawRequest| vec![head(request, "\r\n"), ScriptStep::Repeat(vec![b'x'; 4096])];
    let world = World::start(&["east"], endless_once(steps)).await;
    let answer = world.send(&request("/once/x", "a1", "")).await;
    assert_eq!(answer.status, 502, "it may have run");
    assert_eq!(calls(&world).len(), 1);
}

/// Largest memory of a node so far, in kB.
fn peak_memory_kb(node: &NodeProcess) -> usize {
    let path = format!("/proc/{}/status", node.child.id());
    let status = fs::read_to_string(path).expect("the status of a process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|number| number.parse().ok())
        .expect("a number")
}

/// Each case gives a path and the endless answer that sixty calls at a time get at both upstreams.
macro_rules! bounded {
    ($($name:ident: $path:literal, $steps:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let steps: fn(&RawRequest) -> Vec<ScriptStep> = $steps;
            let endless = script(move |request, _| steps(request));
            let world = World::start(&["east"], vec![endless.clone(), endless]).await;
            let node = &world.nodes[0];
            let sent = (0..60).map(|index| {
                let address = node.address(4000);
                let text = request($path, &format!("a{index}"), "");
                tokio::spawn(async move { send(address, text.as_bytes()).await })
            });
            let sent: Vec<_> = sent.collect();
            for answer in sent {
                assert!(answer.await.expect("no panic").status >= 500);
            }
            let peak = peak_memory_kb(node);
            assert!(peak < HOST_MEMORY_KB, "{peak} kB");
            assert_eq!(world.send(&request("/none/x", "b", "")).await.status, 404);
        }
    )*};
}

// Guards against a node that is ended for its memory while upstreams send bytes without end.
bounded! {
    memory_is_bounded_while_bodies_do_not_end: "/safe/x", |request| vec![
        head(request, "\r\n"),
        ScriptStep::Repeat(vec![b'x'; 65536]),
    ];
    memory_is_bounded_while_events_do_not_end: "/stream/x", |request| vec![
        ScriptStep::Send(stream_head(request)),
        ScriptStep::Repeat(chunk(&"x".repeat(65536))),
    ];
    memory_is_bounded_while_heads_do_not_end: "/safe/x", |request| vec![
        head(request, "X-Filler: "),
        ScriptStep::Repeat(vec![b'x'; 65536]),
    ];
}
