//! Upstreams that refuse, fail, hang or send malformed answers.

use std::time::Duration;

use monsoonbank_standin::raw::RawRequest;
use monsoonbank_standin::scripted::ScriptStep::{self, Close, Hang, Reset, Send, Wait};

use crate::world::{World, answer_head, good, good_answer, request, script};

fn send_text(text: &str) -> Vec<ScriptStep> {
    vec![Send(text.as_bytes().to_vec())]
}

fn bad_once(
    steps: fn(&RawRequest) -> Vec<ScriptStep>,
) -> monsoonbank_standin::scripted::AnswerScript {
    script(move |request, _| {
        if request.header("x-attempt-id") == "after" {
            return vec![Send(good_answer(request))];
        }
        steps(request)
    })
}

/// Defines a case: how the only upstream answers a call of a path, and the status that the caller
/// gets. The answer never looks like the upstream's, and the call is sent once.
macro_rules! single {
    ($($name:ident: $path:literal, $steps:expr => $status:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let world = World::start(&["east"], vec![bad_once($steps)]).await;
            let answer = world.send(&request(concat!("/", $path, "/x"), "a1", "")).await;
            assert_eq!(answer.status, $status, "{}", answer.head);
            assert!(!answer.has("x-response-seal"), "{}", answer.head);
            assert_eq!(world.arrivals(), 1);
            assert_eq!(answer.has("retry-after"), $status == 503, "{}", answer.head);
            let after = world.send(&request("/safe/x", "after", "")).await;
            assert_eq!(after.text(), "answer to after");
        }
    )*};
}

single! {
    full: "once", |_| send_text("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n") => 503;
    reset_after_the_call: "once", |_| vec![Reset] => 502;
    closed_after_the_call: "once", |_| vec![Close] => 502;
    garbage: "once", |_| { let mut steps = send_text("these bytes are no answer\r\n\r\n"); steps.push(Close); steps } => 502;
    cut_in_the_body: "once", |request| {
        let head = answer_head(request.header("x-attempt-id"), "Content-Length: 100\r\n\r\nhalf");
        vec![Send(head.into_bytes()), Close]
    } => 502;
    unframed_and_reset: "once", |request| {
        let head = answer_head(request.header("x-attempt-id"), "Connection: close\r\n\r\nhalf");
        vec![Send(head.into_bytes()), Wait(Duration::from_millis(20)), Reset]
    } => 502;
    other_id: "once", |_| vec![Send(answer_head("other", "Content-Length: 2\r\n\r\nno").into_bytes())] => 502;
    no_signature: "once", |request| send_text(&format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nContent-Length: 2\r\n\r\nno", request.header("x-attempt-id"))) => 502;
    encoded_body: "once", |request| {
        let head = answer_head(request.header("x-attempt-id"), "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno");
        vec![Send(head.into_bytes())]
    } => 502;
    silence: "once", |_| vec![Hang] => 504;
    stream_reset_before_its_first_event: "stream", |_| vec![Reset] => 502;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unframed_answer_ends_with_its_connection() {
    let unframed = script(|request, _| {
        let id = request.header("x-attempt-id");
        let head = answer_head(id, "Connection: close\r\n\r\nwhole");
        vec![Send(head.into_bytes()), Close]
    });
    let world = World::start(&["east"], vec![unframed]).await;
    for id in ["a1", "a2"] {
        let answer = world.send(&request("/once/x", id, "")).await;
        assert_eq!(
            (answer.status, &*answer.text(), answer.complete),
            (200, "whole", true)
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstreams_failure_is_passed_on_unchanged() {
    let fails = script(|request, _| {
        let id = request.header("x-attempt-id");
        let head = format!(
            "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nContent-Length: 4\r\n\r\nsick"
        );
        vec![Send(head.into_bytes())]
    });
    let world = World::start(&["east"], vec![fails]).await;
    let answer = world.send(&request("/once/x", "a1", "")).await;
    assert_eq!((answer.status, answer.text().as_str()), (500, "sick"));
    assert!(answer.has("x-response-seal: s"));
    assert_eq!(world.arrivals(), 1);
}

/// Defines a case: how the first upstream always answers. A call that may be repeated gets its
/// answer from the second one.
macro_rules! repeated {
    ($($name:ident: $steps:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let steps: fn(&RawRequest) -> Vec<ScriptStep> = $steps;
            let world = World::start(&["east"], vec![script(move |request, _| steps(request)), good()]).await;
            for number in 0..6 {
                let id = format!("a{number}");
                let answer = world.send(&request("/safe/x", &id, "")).await;
                assert_eq!((answer.status, answer.text()), (200, format!("answer to {id}")));
            }
            assert!(!world.upstreams[0].calls().is_empty());
        }
    )*};
}

repeated! {
    repeated_after_a_reset: |_| vec![Reset];
    repeated_after_a_close: |_| vec![Close];
    repeated_after_garbage: |_| { let mut steps = send_text("nonsense\r\n\r\n"); steps.push(Close); steps };
    repeated_after_a_refusal: |_| send_text("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    repeated_after_a_move: |_| send_text("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n");
    repeated_after_a_failure: |request| send_text(&format!("HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: {}\r\nContent-Length: 0\r\n\r\n", request.header("x-attempt-id")));
    repeated_after_a_cut_body: |request| {
        let head = answer_head(request.header("x-attempt-id"), "Content-Length: 100\r\n\r\nhalf");
        vec![Send(head.into_bytes()), Close]
    };
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_answer_on_a_kept_connection_reaches_no_one() {
    let doubles = script(|request, _| {
        let answer = good_answer(request);
        vec![
            Send(answer.clone()),
            Wait(Duration::from_millis(5)),
            Send(answer),
        ]
    });
    let world = World::start(&["east"], vec![doubles]).await;
    for number in 0..10 {
        let id = format!("a{number}");
        let answer = world.send(&request("/safe/x", &id, "")).await;
        assert!([200, 502].contains(&answer.status), "{}", answer.head);
        if answer.status == 200 {
            assert_eq!(answer.text(), format!("answer to {id}"));
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_to_another_incarnation_has_not_run() {
    let moved = script(|_, _| {
        send_text(
            "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n",
        )
    });
    let world = World::start(&["east"], vec![moved]).await;
    let answer = world.send(&request("/once/x", "a1", "")).await;
    assert_eq!(answer.status, 503, "{}", answer.head);
    assert!(answer.has("retry-after"));
    let again = world.send(&request("/once/x", "a2", "")).await;
    assert_eq!(again.status, 503);
    assert_eq!(
        world.arrivals(),
        1,
        "the old incarnation gets no second call"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_final_answer_comes_at_the_deadline() {
    let world = World::start(&["east"], vec![script(|_, _| vec![Hang])]).await;
    let started = tokio::time::Instant::now();
    let text = request("/once/x", "a1", "").replace("X-Deadline-Ms: 2500", "X-Deadline-Ms: 600");
    let answer = world.send(&text).await;
    assert_eq!(answer.status, 504);
    let took = started.elapsed();
    assert!(
        took >= Duration::from_millis(550) && took < Duration::from_secs(1),
        "{took:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_upstreams_the_call_is_refused_in_time() {
    let world = World::start(&["east"], vec![]).await;
    let started = tokio::time::Instant::now();
    let answer = world.send(&request("/once/x", "a1", "")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.has("retry-after"));
    assert!(
        started.elapsed() < Duration::from_millis(1500),
        "{:?}",
        started.elapsed()
    );
}
