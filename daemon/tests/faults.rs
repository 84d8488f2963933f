//! Effects of crashes, shutdowns and outages on callers, over real sockets.

mod common;

use common::{OPERATOR_TOKEN, TestFleet, chat_request, streamed_text, wait_until};
use monsoonbank_standin::answer::expected_answer;
use monsoonbank_standin::faults::{CrashFault, EngineFaults, LogFaults};
use reqwest::header::HeaderValue;
use serde_json::Value;

fn crash_after(tokens: u32) -> EngineFaults {
    let crash = CrashFault {
        after_tokens: Some(tokens),
        restart_after_ms: None,
    };
    EngineFaults {
        crash: Some(crash),
        ..EngineFaults::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_at_another_engine_after_a_crash() {
    let fleet = TestFleet::start(3, 3).await;
    for engine in &fleet.engines[..2] {
        engine.set_faults(crash_after(5));
    }
    for index in 0..6 {
        let prompt = format!("broken {index}");
        let body = chat_request(&prompt, 30, true);
        let response = fleet.post(index % 3, "/v1/chat/completions", &body).await;
        let text = response.text().await.expect("text");
        assert_eq!(streamed_text(&text), expected_answer(&prompt, 30), "{text}");
        assert!(text.ends_with("data: [DONE]\n\n"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_breaks_no_call_of_other_entry_nodes() {
    let fleet = TestFleet::start(3, 1).await;
    let prompts: Vec<String> = (0..12).map(|index| format!("long {index}")).collect();
    let calls = prompts.iter().enumerate().map(|(index, prompt)| {
        let fleet = &fleet;
        async move {
            let body = chat_request(prompt, 120, true);
            let response = fleet
                .post(1 + index % 2, "/v1/chat/completions", &body)
                .await;
            response.text().await.expect("text")
        }
    });
    let killer = async {
        // Node 0 owns the engine, because both are in the same availability zone.
        wait_until("streams began", || fleet.engines[0].totals().tokens > 100).await;
        fleet.nodes[0].kill().await;
    };
    let (answers, ()) = tokio::join!(futures_util::future::join_all(calls), killer);
    for (prompt, text) in prompts.iter().zip(&answers) {
        assert_eq!(streamed_text(text), expected_answer(prompt, 120), "{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_breaks_no_stream() {
    let fleet = TestFleet::start(3, 3).await;
    let url = format!("http://{}/v1/drain", fleet.nodes[0].operators);
    let prompts: Vec<String> = (0..8).map(|index| format!("stop {index}")).collect();
    let calls = prompts.iter().map(|prompt| {
        let fleet = &fleet;
        async move {
            let body = chat_request(prompt, 150, true);
            let response = fleet.post(0, "/v1/chat/completions", &body).await;
            response.text().await.expect("text")
        }
    });
    let stop = async {
        let started = || {
            fleet
                .engines
                .iter()
                .map(|engine| engine.totals().tokens)
                .sum::<u64>()
        };
        wait_until("streams began", || started() > 20).await;
        let request = fleet.client.post(url).bearer_auth(OPERATOR_TOKEN);
        assert_eq!(request.send().await.expect("an answer").status(), 200);
        fleet.nodes[0].finished().await;
    };
    let (answers, ()) = tokio::join!(futures_util::future::join_all(calls), stop);
    for (prompt, text) in prompts.iter().zip(&answers) {
        assert_eq!(streamed_text(text), expected_answer(prompt, 150), "{text}");
    }
}

// Guards against waiting calls whose connections are closed without an answer when the only node stops.
#[tokio::test(flavor = "multi_thread")]
async fn a_waiting_call_gets_an_answer_when_the_only_node_stops() {
    let fleet = TestFleet::start(1, 1).await;
    let prompts: Vec<String> = (0..60).map(|index| format!("wait {index}")).collect();
    let calls = prompts.iter().map(|prompt| {
        let fleet = &fleet;
        async move {
            let body = chat_request(prompt, 150, false);
            let response = fleet.post(0, "/v1/chat/completions", &body).await;
            let status = response.status().as_u16();
            let outcome = response.headers().get("x-monsoonbank-outcome").cloned();
            response.bytes().await.expect("a whole answer");
            (status, outcome)
        }
    });
    let stop = async {
        wait_until("calls run", || fleet.engines[0].totals().tokens > 20).await;
        fleet.nodes[0].drain();
        fleet.nodes[0].finished().await;
    };
    let (answers, ()) = tokio::join!(futures_util::future::join_all(calls), stop);
    let refused = answers.iter().filter(|(status, _)| *status == 503);
    for (_, outcome) in refused.clone() {
        assert_eq!(
            outcome.as_ref().map(HeaderValue::as_bytes),
            Some(&b"not_run"[..])
        );
    }
    let served = answers.iter().filter(|(status, _)| *status == 200);
    assert_eq!(
        served.count() + refused.clone().count(),
        answers.len(),
        "{answers:?}"
    );
    assert!(refused.count() > 0, "all calls found a slot: {answers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_node_is_not_listed_for_callers() {
    let fleet = TestFleet::start(3, 1).await;
    let own = fleet.nodes[2].callers.to_string();
    fleet.nodes[2].drain();
    for node in [0, 1, 2] {
        let mut answer = fleet.get(node, "/v1/addresses?zone=zone-2").await;
        for _ in 0..500 {
            if !answer["addresses"].to_string().contains(&own) {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            answer = fleet.get(node, "/v1/addresses?zone=zone-2").await;
        }
        assert!(
            !answer["addresses"].to_string().contains(&own),
            "node {node}: {answer}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_succeed_while_the_log_is_down() {
    let fleet = TestFleet::start(2, 2).await;
    fleet.log.set_faults(LogFaults {
        down: true,
        ..LogFaults::default()
    });
    for node in [0, 1] {
        let body = chat_request("no log", 8, false);
        let response = fleet.post(node, "/v1/chat/completions", &body).await;
        assert_eq!(response.status(), 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_node_gets_the_configuration_while_the_log_is_down() {
    let mut fleet = TestFleet::start(2, 2).await;
    fleet.log.set_faults(LogFaults {
        down: true,
        ..LogFaults::default()
    });
    fleet.add_node("node-2", "zone-2").await;
    fleet.wait_until_ready().await;
    let body = chat_request("fresh", 8, false);
    let response = fleet.post(2, "/v1/chat/completions", &body).await;
    let answer: Value = response.json().await.expect("JSON");
    let text = answer
        .pointer("/choices/0/message/content")
        .and_then(Value::as_str);
    assert_eq!(text, Some(&*expected_answer("fresh", 8)), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_cancels_its_run() {
    let fleet = TestFleet::start(2, 1).await;
    let body = chat_request("left alone", 2_000, true);
    let mut response = fleet.post(0, "/v1/chat/completions", &body).await;
    response.chunk().await.expect("a first chunk");
    drop(response);
    let engine = &fleet.engines[0];
    wait_until("the run is cancelled", || engine.totals().cancelled == 1).await;
    let shared = fleet.nodes[0].shared();
    wait_until("the call is removed", || shared.calls.is_empty()).await;
}
