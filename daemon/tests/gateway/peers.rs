//! Several nodes: which addresses lookups return, and what a node fetches from another.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

use monsoonbank_standin::scripted::ScriptStep;

use crate::heartbeats::{decode, encode, heartbeat, receive_all, simulate_reader};
use crate::world::{NodeProcess, World, configuration, get, good, request, script, send, until};

async fn addresses(node: &NodeProcess, zone: &str) -> Vec<String> {
    let path = format!("/lookup?name=calls.example&region=r&zone={zone}");
    let Some(answer) = get(node.address(4002), &path).await else {
        return Vec::new();
    };
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let list = body["addresses"].as_array().cloned().unwrap_or_default();
    list.iter()
        .filter_map(|address| address.as_str().map(str::to_owned))
        .collect()
}

async fn meet(world: &World) {
    for node in &world.nodes {
        until("the nodes know each other", async || {
            let state = node.state().await;
            state["peers"].as_array().map_or(0, Vec::len) == world.nodes.len() - 1
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lookups_return_nodes_of_the_callers_zone() {
    let world = World::start(&["east", "east", "west"], vec![good()]).await;
    meet(&world).await;
    let address = |index: usize| world.nodes[index].address(4000).to_string();
    let mut expected = vec![address(0), address(1)];
    expected.sort();
    until("both nodes of the zone are returned", async || {
        let mut east = addresses(&world.nodes[2], "east").await;
        east.sort();
        east == expected
    })
    .await;
    let west = async || addresses(&world.nodes[0], "west").await == vec![address(2)];
    until("the only node of the zone is returned", west).await;
    assert_eq!(addresses(&world.nodes[0], "north").await.len(), 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lookups_do_not_return_a_killed_node() {
    let mut world = World::start(&["east", "east"], vec![good()]).await;
    meet(&world).await;
    world.nodes[1].child.kill().expect("killed");
    let only = world.nodes[0].address(4000).to_string();
    until("only the other node is returned", async || {
        addresses(&world.nodes[0], "east").await == vec![only.clone()]
    })
    .await;
    world.nodes[1].restart();
    until("both nodes are returned", async || {
        addresses(&world.nodes[0], "east").await.len() == 2
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_without_its_store_fetches_from_other_nodes() {
    let mut world = World::start(&["east"], vec![good(), good()]).await;
    let broken = monsoonbank_standin::keyed::KeyedStore::start("127.0.0.1:0")
        .await
        .expect("a store");
    broken.set_condition(monsoonbank_standin::keyed::StoreCondition::Busy);
    let isolated = world.start_with_store(broken.address());
    isolated.ready().await;
    world.nodes.push(isolated);
    let call = request("/safe/x", "a1", "");
    let status = async || {
        send(world.nodes[1].address(4000), call.as_bytes())
            .await
            .status
    };
    until("it serves with the fetched state", async || {
        status().await == 200
    })
    .await;
    let mut newer = configuration(7);
    newer["tenants"][0]["apiKeys"] = json!(["key-2"]);
    world.publish(&newer);
    let accepted = Instant::now();
    until("the version is in force there too", async || {
        status().await == 401
    })
    .await;
    assert!(
        accepted.elapsed() < Duration::from_secs(2),
        "{:?}",
        accepted.elapsed()
    );
    world.publish(&configuration(8));
    world.register(0, "draining");
    until("the key is back", async || status().await == 200).await;
    sleep(Duration::from_millis(1800)).await;
    let before = world.upstreams[0].calls().len();
    for _ in 0..5 {
        assert_eq!(status().await, 200);
    }
    assert_eq!(world.upstreams[0].calls().len(), before);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_heartbeats_are_ignored() {
    let world = World::start(&["east"], vec![good()]).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let peers = world.nodes[0].address(4010);
    for size in [0, 1, 100, 1400, 60_000] {
        let bytes: Vec<u8> = (0..size).map(|index| (index * 7 % 251) as u8).collect();
        socket.send_to(&bytes, peers).await.expect("sent");
    }
    let answer = world.send(&request("/safe/x", "a1", "")).await;
    assert_eq!(answer.status, 200);
    assert!(
        world.nodes[0].state().await["peers"]
            .as_array()
            .is_some_and(Vec::is_empty)
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_that_fails_at_one_node_is_backed_off_by_the_other() {
    let failing = script(|request, _| {
        let id = request.header("x-attempt-id");
        let answer = format!(
            "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        );
        vec![ScriptStep::Send(answer.into_bytes())]
    });
    let world = World::start(&["east", "east"], vec![failing]).await;
    meet(&world).await;
    for call in 0..3 {
        let call = request("/once/x", &format!("f{call}"), "");
        let answer = send(world.nodes[0].address(4000), call.as_bytes()).await;
        assert_eq!(answer.status, 500);
    }
    until("the other node backs it off as well", async || {
        let state = world.nodes[1].state().await;
        state["upstreams"][0]["resting"] == true
    })
    .await;
    let told = |line: &Value| line["event"] == "upstream_rests" && line["told"] == true;
    until("its line is written", async || {
        world.nodes[0].lines().iter().any(told)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_cannot_fetch_a_version_reads_it_from_the_store() {
    let world = World::start(&["east"], vec![good()]).await;
    let closed_listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let closed_address = closed_listener.local_addr().expect("an address");
    drop(closed_listener);
    let advertised = Arc::new(AtomicU64::new(7));
    tokio::spawn(simulate_reader(
        world.nodes[0].address(4010),
        closed_address,
        advertised,
    ));
    until("the other node counts as the reader", async || {
        world.nodes[0].state().await["reader"] == false
    })
    .await;
    sleep(Duration::from_secs(3)).await;
    let mut newer = configuration(7);
    newer["tenants"][0]["apiKeys"] = json!(["key-2"]);
    world.publish(&newer);
    let accepted = Instant::now();
    let call = request("/safe/x", "a1", "");
    until("the version is in force", async || {
        world.send(&call).await.status == 401
    })
    .await;
    assert!(
        accepted.elapsed() < Duration::from_secs(2),
        "{:?}",
        accepted.elapsed()
    );
}

/// A datagram that is fragmented is lost with any of its fragments; a list of 300 nodes has 20 kB.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_starting_node_receives_its_zones_nodes_in_unfragmented_datagrams() {
    const PEERS: u16 = 300;
    let world = World::start(&["east"], vec![good()]).await;
    let node = &world.nodes[0];
    let peers = node.address(4010);
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    for index in 0..PEERS {
        let address = SocketAddr::from(([127, 0, 0, 2], 20_000 + index));
        let mut heartbeat = heartbeat(&format!("peer-{index}"), address);
        heartbeat.card.capacity = 10;
        let sent = socket.send_to(&encode(&heartbeat), peers).await;
        sent.expect("sent");
        sleep(Duration::from_millis(1)).await;
    }
    until("the node knows them", async || {
        let state = node.state().await;
        state["peers"].as_array().map_or(0, Vec::len) == usize::from(PEERS)
    })
    .await;
    let own = socket.local_addr().expect("an address");
    let mut new = heartbeat("new", own);
    new.card.capacity = 10;
    socket.send_to(&encode(&new), peers).await.expect("sent");
    let datagrams = receive_all(&socket).await;
    let named: BTreeSet<SocketAddr> = datagrams
        .iter()
        .filter_map(|bytes| decode(bytes))
        .flat_map(|heartbeat| heartbeat.cards)
        .map(|card| card.peers)
        .collect();
    assert!(named.len() >= usize::from(PEERS), "{}", named.len());
    let largest = datagrams.iter().map(Vec::len).max();
    assert!(largest <= Some(1400), "{largest:?} bytes");
}
