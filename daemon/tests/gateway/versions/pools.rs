//! Streams of a route with two pools whose shares change before their callers return.

use monsoonbank_standin::scripted::ScriptedUpstream;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::versions::{
    BEGUN, BegunStream, EVENTS, STREAMS, all_events, all_know, assert_complete, assert_refused,
    begins_and_serves_rest, meet, resumption,
};
use crate::world::{RawAnswer, World, configuration, request, send, until};

/// Version of the configuration under which the streams begin.
const FIRST: u64 = 2;
/// Version of the configuration under which their callers return.
const SECOND: u64 = 3;
/// Header lines of a call that another node sends on.
const SENT_ON: &str = "X-Monsoonbank-Version: 1\r\nX-Monsoonbank-Sends: 0\r\n";

/// Way in which a caller returns.
#[derive(Clone, Copy, Debug)]
enum ReturnWay {
    /// At another node.
    Caller,
    /// At a node that sends the call on to another one.
    Carried,
}

/// Pools and weights of the route, in the order of the configuration.
type Shares<'a> = &'a [(&'a str, u32)];

fn split(version: u64, name: &str, shares: Shares) -> Value {
    let mut split = configuration(version);
    let mut spare = split["services"][0].clone();
    spare["name"] = "spare".into();
    split["services"]
        .as_array_mut()
        .expect("a list")
        .push(spare);
    let routes = split["routes"].as_array_mut().expect("routes");
    let route = routes
        .iter_mut()
        .find(|route| route["name"] == "resume")
        .expect("a route");
    let backends = shares
        .iter()
        .map(|(pool, weight)| json!({ "service": pool, "weight": weight }));
    route["backends"] = backends.collect();
    route["name"] = name.into();
    route.as_object_mut().expect("a route").remove("service");
    split
}

/// Starts three nodes, and two upstreams of each pool, all of one software version. The route's calls go
/// to the pool `model`.
async fn start() -> World {
    let world = World::start(&[], vec![begins_and_serves_rest(); 4]).await;
    for index in [2, 3] {
        let entry = json!({ "service": "spare", "zone": "east", "version": "v1", "slots": 8,
            "address": world.upstreams[index].address().to_string(), "state": "ready",
            "coldLeftMs": 0, "sequence": 1 });
        let id = format!("i-{index}");
        world
            .store
            .put("keyed.servers", &id, entry.to_string().as_bytes());
    }
    world.publish(&split(FIRST, "resume", &[("model", 1), ("spare", 0)]));
    let world = world.with_nodes(&["east", "east", "east"]).await;
    all_know(&world, 4).await;
    meet(&world).await;
    world
}

/// Begins the streams at the first node, publishes the route with these shares and kills that node.
async fn change_shares(world: &mut World, name: &str, shares: Shares<'_>) {
    let mut streams = Vec::new();
    for id in STREAMS {
        streams.push(BegunStream::begin(&world.nodes[0], id).await);
    }
    world.publish(&split(SECOND, name, shares));
    for node in &world.nodes {
        until("the node applies the configuration", async || {
            node.state().await["version"] == SECOND
        })
        .await;
    }
    world.nodes[0].child.kill().expect("killed");
    drop(streams);
}

async fn resume(world: &World, way: ReturnWay, first: &str) -> RawAnswer {
    let (port, more) = match way {
        ReturnWay::Caller => (4000, ""),
        ReturnWay::Carried => (4010, SENT_ON),
    };
    let attempt = format!("{first}-again");
    let text = request("/resume/x", &attempt, &(resumption(first, BEGUN) + more));
    send(world.nodes[1].address(port), text.as_bytes()).await
}

/// Number of calls that the upstreams of the pool `spare` received for streams.
fn calls_at_spare(world: &World) -> usize {
    let calls = world.upstreams[2..]
        .iter()
        .flat_map(ScriptedUpstream::calls);
    let streams = calls.filter(|call| call.request.target.starts_with("/resume/"));
    streams.count()
}

async fn goes_on(way: ReturnWay, name: &str, shares: Shares<'_>) {
    let mut world = start().await;
    change_shares(&mut world, name, shares).await;
    for first in STREAMS {
        let answer = resume(&world, way, first).await;
        assert_complete(&answer);
        assert_eq!(answer.text(), all_events(BEGUN + 1, EVENTS));
    }
    assert_eq!(calls_at_spare(&world), 0);
}

/// Defines a case: how the callers return, and the route's name and shares by then.
macro_rules! shares_change {
    ($($name:ident: $way:expr, $route:literal, $shares:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            goes_on($way, $route, &$shares).await;
        }
    )*};
}

// Guards against a stream that is refused since its route's weights now select another pool.
shares_change! {
    a_stream_goes_on_at_its_pool_after_a_change_of_weights:
        ReturnWay::Caller, "resume", [("model", 1), ("spare", 99)];
    a_stream_goes_on_at_its_pool_after_a_change_of_order:
        ReturnWay::Caller, "resume", [("spare", 1000), ("model", 1)];
    a_stream_goes_on_at_its_pool_after_its_route_is_renamed:
        ReturnWay::Caller, "renamed", [("model", 1), ("spare", 99)];
    a_stream_that_another_node_carries_goes_on_at_its_pool:
        ReturnWay::Carried, "resume", [("model", 1), ("spare", 99)];
}

async fn is_refused(shares: Shares<'_>) {
    let mut world = start().await;
    change_shares(&mut world, "resume", shares).await;
    for first in STREAMS {
        assert_refused(&world, &world.nodes[1], &resumption(first, BEGUN)).await;
    }
}

/// Defines a case: shares of the route when the callers return.
macro_rules! pool_is_gone {
    ($($name:ident: $shares:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            is_refused(&$shares).await;
        }
    )*};
}

// Guards against a stream that goes on at a pool that its route has left, or at another one.
pool_is_gone! {
    a_stream_is_refused_once_its_pool_is_taken_out_of_its_route: [("spare", 1)];
    a_stream_is_refused_once_its_pool_has_no_weight: [("model", 0), ("spare", 1)];
}

/// Header line of a caller that does not name the attempt which began its stream.
const UNNAMED: &str = "Last-Event-Id: 3\r\n";
/// A little more than the timeout of the rules, which is the longest time that a stream lasts.
const STREAM_TIME: std::time::Duration = std::time::Duration::from_millis(3200);

// Guards against an unnamed stream that goes on at another pool, to which its route was moved just now.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unnamed_stream_is_refused_where_its_route_has_just_moved_to_another_pool() {
    let mut world = start().await;
    sleep(STREAM_TIME).await;
    change_shares(&mut world, "resume", &[("spare", 1)]).await;
    assert_refused(&world, &world.nodes[1], UNNAMED).await;
    sleep(STREAM_TIME).await;
    let text = request("/resume/x", "later", UNNAMED);
    let answer = send(world.nodes[1].address(4000), text.as_bytes()).await;
    assert_complete(&answer);
}
