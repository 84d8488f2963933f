//! The store's versions, departures, outages and malformed data.

use std::time::Duration;

use monsoonbank_standin::keyed::StoreCondition;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::world::{World, configuration, good, request, until};

async fn status(world: &World, path: &str) -> u16 {
    world.send(&request(path, "a", "")).await.status
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_version_is_in_force_at_once_and_an_older_never_again() {
    let world = World::start(&["east"], vec![good()]).await;
    let mut newer = configuration(7);
    newer["tenants"][0]["apiKeys"] = json!(["key-2"]);
    world.publish(&newer);
    until("the key is gone", async || {
        status(&world, "/safe/x").await == 401
    })
    .await;
    world.publish(&configuration(3));
    sleep(Duration::from_millis(300)).await;
    assert_eq!(status(&world, "/safe/x").await, 401);
    world.publish(&json!({ "version": 9, "routes": "none" }));
    world.store.put("keyed.op", "config", b"\xff not JSON");
    sleep(Duration::from_millis(300)).await;
    assert_eq!(status(&world, "/safe/x").await, 401);
    world.publish(&configuration(10));
    until("the key is back", async || {
        status(&world, "/safe/x").await == 200
    })
    .await;
    let rejected = |line: &serde_json::Value| line["event"] == "configuration_rejected";
    until("both rejections are recorded", async || {
        world.nodes[0]
            .lines()
            .iter()
            .filter(|line| rejected(line))
            .count()
            == 2
    })
    .await;
}

/// Defines a case: how an upstream leaves. Within two seconds it gets no new calls.
macro_rules! leaves {
    ($($name:ident: $leave:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let world = World::start(&["east"], vec![good(), good()]).await;
            let leave: fn(&World) = $leave;
            leave(&world);
            sleep(Duration::from_millis(1500)).await;
            let before = world.upstreams[0].calls().len();
            for _ in 0..10 {
                assert_eq!(status(&world, "/safe/x").await, 200);
            }
            assert_eq!(world.upstreams[0].calls().len(), before);
        }
    )*};
}

leaves! {
    an_upstream_that_drains_gets_nothing_new: |world| world.register(0, "draining");
    an_upstream_whose_entry_is_gone_gets_nothing_new: |world| world.deregister(0);
    an_upstream_that_drained_stays_out_of_use: |world| { world.register(0, "draining"); world.register(0, "ready"); };
    departures_behind_a_compaction_are_seen: |world| { world.deregister(0); world.store.compact("keyed.servers"); };
}

/// Defines a case: calls are served during an outage, and a configuration that is accepted after it
/// is in force within two seconds.
macro_rules! outage {
    ($($name:ident: $mood:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let world = World::start(&["east"], vec![good()]).await;
            world.store.set_condition($mood);
            for _ in 0..20 {
                assert_eq!(status(&world, "/safe/x").await, 200);
                sleep(Duration::from_millis(100)).await;
            }
            world.store.set_condition(StoreCondition::Healthy);
            let mut newer = configuration(7);
            newer["tenants"][0]["apiKeys"] = json!(["key-2"]);
            world.publish(&newer);
            let accepted = Instant::now();
            until("the version is in force", async || status(&world, "/safe/x").await == 401).await;
            assert!(accepted.elapsed() < Duration::from_secs(2), "{:?}", accepted.elapsed());
        }
    )*};
}

outage! {
    a_silent_store: StoreCondition::Silent;
    a_store_that_resets: StoreCondition::Resetting;
    a_busy_store: StoreCondition::Busy;
    a_store_that_talks_garbage: StoreCondition::Garbage;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_lapsed_in_an_outage_has_time_to_come_back() {
    let world = World::start(&["east"], vec![good()]).await;
    world.store.set_condition(StoreCondition::Resetting);
    sleep(Duration::from_millis(1200)).await;
    world.deregister(0);
    world.store.set_condition(StoreCondition::Healthy);
    let lapsed = |line: &serde_json::Value| line["lapsed"] == true;
    until("the lapse is seen", async || {
        world.nodes[0].lines().iter().any(lapsed)
    })
    .await;
    assert_eq!(status(&world, "/safe/x").await, 200);
    world.register(0, "ready");
    sleep(Duration::from_secs(3)).await;
    assert_eq!(status(&world, "/safe/x").await, 200);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_does_not_come_back_is_gone() {
    let world = World::start(&["east"], vec![good(), good()]).await;
    world.store.set_condition(StoreCondition::Resetting);
    sleep(Duration::from_millis(1200)).await;
    world.deregister(0);
    world.store.set_condition(StoreCondition::Healthy);
    let gone = |line: &serde_json::Value| line["left"] == "lapsed";
    until("it is removed", async || {
        world.nodes[0].lines().iter().any(gone)
    })
    .await;
    let before = world.upstreams[0].calls().len();
    for _ in 0..10 {
        assert_eq!(status(&world, "/safe/x").await, 200);
    }
    assert_eq!(world.upstreams[0].calls().len(), before);
}

/// Returns the id of the upstream that the last call was meant for.
fn intended_upstream(world: &World) -> String {
    let calls = world.upstreams[0].calls();
    let last = calls.last().expect("a call");
    last.request.header("x-expect-instance").to_string()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_address_that_another_upstream_took_gets_only_the_new_ones_calls() {
    let world = World::start(&["east"], vec![good()]).await;
    world.register_as(0, "i-9", "ready");
    until("the old one gets no calls", async || {
        assert_eq!(status(&world, "/safe/x").await, 200);
        intended_upstream(&world) == "i-9"
    })
    .await;
    for _ in 0..10 {
        assert_eq!(status(&world, "/safe/x").await, 200);
        assert_eq!(intended_upstream(&world), "i-9");
    }
}

/// Defines a case: an entry of another writer, under the id of a working upstream or another id.
macro_rules! foreign {
    ($($name:ident: $id:expr, $entry:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let world = World::start(&["east"], vec![good()]).await;
            let address = world.upstreams[0].address().to_string();
            let write: fn(&str) -> Vec<u8> = $entry;
            world.store.put("keyed.servers", $id, &write(&address));
            sleep(Duration::from_millis(1500)).await;
            for _ in 0..5 {
                assert_eq!(status(&world, "/safe/x").await, 200);
                assert_eq!(intended_upstream(&world), "i-0");
            }
            world.register(0, "draining");
            until("the next record is read", async || status(&world, "/safe/x").await == 503).await;
        }
    )*};
}

foreign! {
    bytes_that_cannot_be_read_name_no_upstream: "i-9", |_| b"\xff\x00{".to_vec();
    an_unknown_service_at_an_address_in_use_ends_no_upstream: "i-9", |address| json!({
        "service": "other", "address": address, "zone": "east", "slots": 8, "version": "v1",
        "coldLeftMs": 0, "state": "ready", "sequence": 1 }).to_string().into_bytes();
    an_unknown_service_under_a_known_id_ends_no_upstream: "i-0", |address| json!({
        "service": "other", "address": address, "zone": "east", "slots": 8, "version": "v1",
        "coldLeftMs": 0, "state": "ready", "sequence": 1 }).to_string().into_bytes();
    an_entry_without_slots_names_no_upstream: "i-9", |address| json!({
        "service": "model", "address": address, "zone": "east", "version": "v1",
        "coldLeftMs": 0, "state": "ready", "sequence": 1 }).to_string().into_bytes();
    a_key_that_has_to_be_escaped_names_no_upstream: "i 9&\n%", |_| b"[]".to_vec();
}
