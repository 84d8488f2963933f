//! Upstreams that come, leave or refuse while streams of an older version are resumed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use monsoonbank_standin::keyed::{KeyedStore, StoreCondition};
use monsoonbank_standin::scripted::ScriptStep::{Hang, Send};
use serde_json::{Value, json};

use crate::versions::{
    BEGINNER, BEGUN, BegunStream, STREAMS, all_know, assert_complete, assert_refused,
    assert_resumed, begins, begins_and_serves_rest, calls_at_second_version, knows, last_event,
    resume, resumption, second_version_comes, serves_rest, start, start_with,
};
use crate::world::{World, configuration, entry, events, script, stream_head, until};

// Guards against versions that are lost where a node gets its upstreams from another node.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_goes_on_at_its_version_at_a_node_without_its_store() {
    let mut world = start(&["east"], begins()).await;
    let stream = BegunStream::begin(&world.nodes[0], "a1").await;
    second_version_comes(&world).await;
    let broken = KeyedStore::start("127.0.0.1:0").await.expect("a store");
    broken.set_condition(StoreCondition::Busy);
    let isolated = world.start_with_store(broken.address());
    isolated.ready().await;
    knows(&isolated, world.upstreams.len() - 1).await;
    world.nodes.push(isolated);
    let first = stream.leave();
    let answer = resume(&world.nodes[1], "a2", &first).await;
    assert_resumed(&world, &answer);
}

// Guards against a further attempt that leaves the version, after an upstream of it refused the call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_attempt_stays_at_the_version() {
    let always_full = script(|request, _| {
        let id = request.header("x-attempt-id");
        let head = format!(
            "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n\
             Content-Length: 0\r\n\r\n"
        );
        vec![Send(head.into_bytes())]
    });
    let mut scripts = vec![begins(), serves_rest()];
    scripts.extend(vec![serves_rest(); 2]);
    scripts.push(always_full);
    let world = start_with(&["east"], scripts).await;
    let stream = BegunStream::begin(&world.nodes[0], "a1").await;
    second_version_comes(&world).await;
    let refuser = world.upstreams.len() - 1;
    world.register_version(refuser, "refuser", "v1", "east");
    knows(&world.nodes[0], world.upstreams.len() - 1).await;
    until("the upstream has its version", async || {
        let state = world.nodes[0].state().await;
        let upstreams = state["upstreams"].as_array().cloned().unwrap_or_default();
        upstreams
            .iter()
            .any(|known| known["id"] == "refuser" && known["software"] == "v1")
    })
    .await;
    let first = stream.leave();
    let answer = resume(&world.nodes[0], "a2", &first).await;
    assert_complete(&answer);
    assert_eq!(world.upstreams[refuser].calls().len(), 1);
    let others = world.upstreams[2..refuser].iter();
    assert_eq!(
        others.map(|upstream| upstream.calls().len()).sum::<usize>(),
        0
    );
}

// Guards against a caller that is served by another version, or kept waiting, when its own is gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_whose_version_is_gone_is_refused_as_not_run() {
    let world = start(&["east", "east"], begins()).await;
    let stream = BegunStream::begin(&world.nodes[0], "a1").await;
    second_version_comes(&world).await;
    world.deregister(1);
    all_know(&world, world.upstreams.len() - 2).await;
    let first = stream.leave();
    for node in &world.nodes {
        assert_refused(&world, node, &resumption(&first, BEGUN)).await;
    }
}

// Guards against an upstream that is taken for the one before it at its address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_back_at_its_address_with_another_version_gets_no_old_stream() {
    let world = start(&["east"], begins()).await;
    let stream = BegunStream::begin(&world.nodes[0], "a1").await;
    world.register_version(BEGINNER, "i-9", "v2", "east");
    until("the upstream is replaced", async || {
        let lines = world.nodes[0].lines();
        let left = |line: &Value| line["upstream"] == "i-0" && line["left"] == "replaced";
        lines.iter().any(left)
    })
    .await;
    let first = stream.leave();
    assert_refused(&world, &world.nodes[0], &resumption(&first, BEGUN)).await;
}

// Guards against an upstream that is back at its address before its new entry is known.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_that_answers_in_anothers_place_runs_no_old_stream() {
    let replaced = Arc::new(AtomicBool::new(false));
    let is_replaced = replaced.clone();
    let moves = script(move |request, _| {
        if !is_replaced.load(Ordering::Relaxed) {
            return vec![Send(stream_head(request)), Send(events(1, BEGUN)), Hang];
        }
        let id = request.header("x-attempt-id");
        assert_eq!(request.header("x-expect-instance"), "i-0");
        let head = format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n\
             Content-Length: 0\r\n\r\n"
        );
        vec![Send(head.into_bytes())]
    });
    let world = start(&["east"], moves).await;
    let stream = BegunStream::begin(&world.nodes[0], "a1").await;
    for index in 2..world.upstreams.len() {
        world.register_version(index, &format!("i-{index}"), "v2", "east");
    }
    all_know(&world, world.upstreams.len() - 1).await;
    replaced.store(true, Ordering::Relaxed);
    let first = stream.leave();
    let answer = resume(&world.nodes[0], "a2", &first).await;
    assert_eq!(answer.status, 503, "{}", answer.head);
    assert_eq!(calls_at_second_version(&world), 0);
}

// Guards against a caller that returns to another of the pools that its rule shares calls among.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_goes_on_in_the_pool_that_began_it() {
    let world = World::start(&[], vec![begins_and_serves_rest(); 2]).await;
    let mut shared = configuration(2);
    let routes = shared["routes"].as_array_mut().expect("routes");
    for route in routes {
        route["backends"] = json!([
            { "service": "model", "weight": 1 },
            { "service": "second", "weight": 1 },
        ]);
    }
    let second = json!({ "name": "second", "healthPath": "/healthz", "maxConns": 100,
        "protocol": "h1", "tls": false });
    shared["services"]
        .as_array_mut()
        .expect("pools")
        .push(second);
    world.publish(&shared);
    let mut entry = entry(world.upstreams[1].address(), "ready");
    entry["service"] = "second".into();
    world
        .store
        .put("keyed.servers", "i-1", entry.to_string().as_bytes());
    let world = world.with_nodes(&["east"]).await;
    all_know(&world, 2).await;
    for id in STREAMS {
        let stream = BegunStream::begin(&world.nodes[0], id).await;
        let first = stream.leave();
        let answer = resume(&world.nodes[0], &format!("{first}-again"), &first).await;
        assert_complete(&answer);
    }
    for upstream in &world.upstreams {
        let calls = upstream.calls();
        let resumed = calls.iter().filter(|call| last_event(&call.request) > 0);
        assert_eq!(resumed.count() * 2, calls.len());
    }
}
