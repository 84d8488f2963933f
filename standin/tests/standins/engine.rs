//! Tests of the model engine over real sockets.

use std::time::Duration;

use futures_util::StreamExt;
use monsoonbank_standin::answer::{answer_part, expected_answer, prefix_hash, prompt_hash};
use monsoonbank_standin::engine::{self, EngineHandle, EngineSettings};
use monsoonbank_standin::faults::{CrashFault, EngineFaults};
use monsoonbank_standin::runs::RunEnd;
use monsoonbank_standin::weights::WeightStore;
use serde_json::json;

use crate::support::{LOOPBACK, chat, fast_engine, get, post, streamed_text, wait_until};

async fn start(settings: EngineSettings) -> (EngineHandle, String) {
    let engine = engine::start(LOOPBACK, settings).await.expect("a port");
    let url = format!("http://{}", engine.address());
    (engine, url)
}

cases! {
    the_prompt_determines_the_whole_answer => {
        let (engine, url) = start(fast_engine()).await;
        let body = chat("tag this envelope", &json!({ "max_tokens": 7 }));
        let answer = post(&format!("{url}/v1/chat/completions"), "a", &body).await.unwrap();
        let answer: serde_json::Value = answer.json().await.unwrap();
        let text = answer["choices"][0]["message"]["content"].as_str().unwrap();
        assert_eq!(text, expected_answer("tag this envelope", 7));
        assert_eq!(answer["usage"]["completion_tokens"], 7);
        let runs = engine.runs();
        assert_eq!((&*runs[0].request, runs[0].tokens, runs[0].end), ("a", 7, RunEnd::Finished));
        assert_eq!(runs[0].prompt, prompt_hash("tag this envelope"));
    }

    stream_resumes_after_the_skipped_tokens => {
        let (_engine, url) = start(fast_engine()).await;
        let extra = json!({
            "max_tokens": 9, "resume_tokens": 4, "stream": true,
            "stream_options": { "include_usage": true },
        });
        let answer = post(&format!("{url}/v1/chat/completions"), "a", &chat("digest", &extra)).await;
        let events = answer.unwrap().text().await.unwrap();
        assert_eq!(streamed_text(&events), (answer_part("digest", 4, 9), true));
        assert!(events.contains("\"completion_tokens\":5"), "{events}");
        assert!(events.ends_with("data: [DONE]\n\n"));
    }

    urgent_requests_overtake_in_the_queue => {
        let settings = EngineSettings { slots: 1, ..fast_engine() };
        let (engine, url) = start(settings).await;
        engine.set_faults(EngineFaults { straggle: 20.0, ..EngineFaults::default() });
        let path = format!("{url}/v1/chat/completions");
        let mut calls = Vec::new();
        for (id, priority) in [("first", 5), ("late", 5), ("urgent", 0)] {
            let extra = json!({ "max_tokens": 20, "priority": priority });
            let (path, body) = (path.clone(), chat(id, &extra));
            calls.push(tokio::spawn(async move { post(&path, id, &body).await }));
            let load = format!("{url}/load");
            let wanted = calls.len() as u64;
            while {
                let page = get(&load).await;
                page["running"].as_u64().unwrap() + page["waiting"].as_u64().unwrap() < wanted
            } {}
        }
        engine.set_faults(EngineFaults::default());
        for call in calls {
            assert_eq!(call.await.unwrap().unwrap().status(), 200);
        }
        let order: Vec<Box<str>> = engine.runs().into_iter().map(|run| run.request).collect();
        assert_eq!(order, ["first".into(), "urgent".into(), Box::from("late")]);
    }

    closing_the_connection_cancels_the_run => {
        let (engine, url) = start(fast_engine()).await;
        for stream in [true, false] {
            let extra = json!({ "max_tokens": 1_000_000, "stream": stream });
            let path = format!("{url}/v1/chat/completions");
            let body = chat("gone", &extra);
            let call = tokio::spawn(async move {
                let mut parts = post(&path, "a", &body).await.unwrap().bytes_stream();
                while parts.next().await.is_some() {}
            });
            let before = engine.totals();
            wait_until("the run started", || engine.totals().tokens > before.tokens).await;
            call.abort();
            wait_until("the run was cancelled", || engine.totals().cancelled > before.cancelled).await;
        }
        assert_eq!(engine.totals().finished, 0);
    }

    crash_after_some_tokens_then_restart => {
        let (engine, url) = start(fast_engine()).await;
        let crash = CrashFault { after_tokens: Some(3), restart_after_ms: None };
        engine.set_faults(EngineFaults { crash: Some(crash), ..EngineFaults::default() });
        let path = format!("{url}/v1/chat/completions");
        let body = chat("lease", &json!({ "max_tokens": 50, "stream": true }));
        let mut parts = post(&path, "a", &body).await.unwrap().bytes_stream();
        let mut seen = Vec::new();
        while let Some(Ok(part)) = parts.next().await {
            seen.extend_from_slice(&part);
        }
        let seen = String::from_utf8(seen).unwrap();
        assert_eq!(streamed_text(&seen), (answer_part("lease", 0, 3), false));
        wait_until("the run broke", || engine.totals().broken == 1).await;
        assert!(post(&path, "b", &body).await.unwrap_err().is_connect());
        engine.restart().await.unwrap();
        let again = post(&path, "b", &body).await.unwrap().text().await.unwrap();
        assert_eq!(streamed_text(&again), (expected_answer("lease", 50), true));
    }

    refusal_states_that_the_request_was_not_run => {
        let (engine, url) = start(EngineSettings { slots: 1, queue: 0, ..fast_engine() }).await;
        let path = format!("{url}/v1/completions");
        let busy = {
            let body = json!({ "model": "small", "prompt": "a", "max_tokens": 1_000_000 });
            let path = path.clone();
            tokio::spawn(async move { post(&path, "a", &body).await })
        };
        wait_until("the slot is taken", || engine.totals().started == 1).await;
        let body = json!({ "model": "small", "prompt": "b", "max_tokens": 1 });
        let full = post(&path, "b", &body).await.unwrap();
        assert_eq!((full.status().as_u16(), &full.headers()["x-not-run"]), (503, &"true".parse().unwrap()));
        busy.abort();
        assert!(engine.runs().iter().all(|run| &*run.request != "b"));
    }

    shared_prefix_needs_prefill_once => {
        let (engine, url) = start(fast_engine()).await;
        let prefix = "building log ".repeat(100);
        for tail in ["gate", "lift"] {
            let prompt = format!("{prefix}{tail}");
            let body = json!({ "model": "small", "prompt": prompt, "max_tokens": 1 });
            post(&format!("{url}/v1/completions"), tail, &body).await.unwrap();
        }
        assert_eq!(engine.totals().cached_tokens, 1280 / 4);
        let events = get(&format!("{url}/cache-events?from=0")).await;
        let first = &events["events"][0];
        assert_eq!(first["prefix"], format!("{:016x}", prefix_hash(&prefix)));
        assert_eq!(first["held"], true);
        let next = events["next"].as_u64().unwrap();
        let rest = get(&format!("{url}/cache-events?from={next}")).await;
        assert_eq!(rest, json!({ "next": next, "events": [] }));
    }

    outdated_order_is_refused_only_by_an_engine_that_checks_fencing => {
        for checks_fencing in [true, false] {
            let weights = Some(WeightStore::new(1e9));
            let (engine, url) =
                start(EngineSettings { checks_fencing, weights, ..fast_engine() }).await;
            let path = format!("{url}/orders");
            let order = json!({ "order": "load_model", "model": "large", "version": "2" });
            let new = post(&path, "", &json!({ "fencing": 7, "order": order })).await.unwrap();
            assert_eq!(new.status(), 200);
            let old = post(&path, "", &json!({ "fencing": 6, "order": order })).await.unwrap();
            assert_eq!(old.status() == 409, checks_fencing);
            wait_until("the model is loaded", || engine.models().contains(&"large".into())).await;
        }
    }

    frozen_engine_answers_after_it_is_unfrozen => {
        let (engine, url) = start(fast_engine()).await;
        engine.set_faults(EngineFaults { frozen: true, ..EngineFaults::default() });
        let path = format!("{url}/v1/chat/completions");
        let body = chat("chat", &json!({ "max_tokens": 3 }));
        let call = tokio::spawn(async move { post(&path, "a", &body).await });
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(engine.totals().started, 0);
        engine.set_faults(EngineFaults::default());
        assert_eq!(call.await.unwrap().unwrap().status(), 200);
    }
}
