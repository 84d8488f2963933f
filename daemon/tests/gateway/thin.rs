//! Large configurations on hosts with slow links.
//!
//! Guards against time limits on a whole transfer. Links of 10 Mbit/s carry at most 625 kB in the
//! 500 ms of a fetch and 1 MB in the 800 ms of a read of the store. Every retry of 830 kB began
//! anew, so 72 of 82 nodes kept the previous version for more than 3 s, and their reads overloaded
//! the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use monsoonbank_kernel::gateway::heartbeat::NodeHeartbeat;
use monsoonbank_kernel::gateway::registry::{EntryRecord, RegistryChange, UpstreamRegistry};
use monsoonbank_platform::entry;
use monsoonbank_standin::keyed::StoreCondition;
use monsoonbank_standin::link::SlowLink;
use serde_json::{Value, json};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

use crate::heartbeats::{encode, heartbeat, simulate_reader, strong};
use crate::world::{NodeProcess, World, configuration, good, until};

/// Bandwidth of the slowest link of a host that is supported, in Mbit/s.
const MEGABITS: f64 = 10.0;
/// Time within which an accepted version has to be in force on sites with such hosts.
const IN_FORCE: Duration = Duration::from_secs(3);
/// Time within which a node has to be ready again after all nodes were lost.
const READY: Duration = Duration::from_secs(15);
/// Time after which a pending long-poll read of the store has ended.
const LAST_POLL: Duration = Duration::from_secs(3);
/// Bytes that a change may cost a node. At 4 KB a second, 14,000 changes a day leave 6.2 s for
/// each.
const CHANGE_BYTES: u64 = 24_700;

/// Builds a configuration with many additional rules of some 200 bytes each, with names as an
/// operator's tool generates them.
fn large(version: u64, rules: u64) -> Value {
    let mut whole = configuration(version);
    let routes = whole["routes"].as_array_mut().expect("routes");
    routes.extend((0..rules).map(|index| {
        let draw = |salt: u64| (index + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15 ^ salt) >> 16;
        json!({ "name": format!("r-{:x}", draw(0)), "host": "calls.example",
            "pathPrefix": format!("/{:x}/", draw(0xABCD)), "kind": "idempotent",
            "timeoutMs": 800, "targetLatencyMs": 150, "priority": 2, "service": "model",
            "maxAttempts": 2, "public": false })
    }));
    whole
}

/// A node with a fast link that reads the store, and one behind a slow link that receives its
/// heartbeats.
struct ThinWorld {
    world: World,
    link: SlowLink,
    thin: NodeProcess,
    advertised: Arc<AtomicU64>,
}

impl ThinWorld {
    async fn start(first: &Value) -> Self {
        let world = World::start(&["east"], vec![good()]).await;
        let link = SlowLink::new(MEGABITS);
        world.publish(first);
        let advertised = Arc::new(AtomicU64::new(1));
        let store = link.relay(world.store.address()).await.expect("a port");
        let thin = World::start_alone(store);
        let source = link.relay(world.nodes[0].address(4010)).await;
        let source = source.expect("a port");
        tokio::spawn(simulate_reader(
            thin.address(4010),
            source,
            advertised.clone(),
        ));
        let thin_world = Self {
            world,
            link,
            thin,
            advertised,
        };
        thin_world.advertise(first).await;
        thin_world
    }

    /// Waits until the fast node has the version, and lets its simulated heartbeats advertise it.
    async fn advertise(&self, newest: &Value) {
        let version = &newest["version"];
        let strong = &self.world.nodes[0];
        until("the strong node has it", async || {
            strong.state().await["version"] == *version
        })
        .await;
        let version = version.as_u64().expect("a number");
        self.advertised.store(version, Ordering::Relaxed);
    }

    /// Publishes a version and returns the time until the slow node has it.
    async fn time_to_force(&self, newest: &Value) -> Duration {
        self.world.publish(newest);
        let accepted = Instant::now();
        self.advertise(newest).await;
        until("the thin node has it", async || {
            self.thin.state().await["version"] == newest["version"]
        })
        .await;
        accepted.elapsed()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_version_reaches_a_thin_host_from_another_node() {
    let first = configuration(2);
    let world = ThinWorld::start(&first).await;
    world.thin.ready().await;
    until("the strong node reads for both", async || {
        world.thin.state().await["reader"] == false
    })
    .await;
    sleep(LAST_POLL).await;
    let took = world.time_to_force(&large(21, 5600)).await;
    assert!(took < IN_FORCE, "{took:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_version_reaches_a_thin_host_from_a_store_that_was_away() {
    let world = World::start(&[], Vec::new()).await;
    let link = SlowLink::new(MEGABITS);
    let store = link.relay(world.store.address()).await.expect("a port");
    let thin = World::start_alone(store);
    thin.ready().await;
    world.store.set_condition(StoreCondition::Busy);
    until("the node finds the store away", async || {
        let lost = |line: &Value| line["event"] == "store_lost";
        thin.lines().iter().any(lost)
    })
    .await;
    world.store.set_condition(StoreCondition::Healthy);
    world.publish(&large(21, 5600));
    let accepted = Instant::now();
    until("the version is in force", async || {
        thin.state().await["version"] == 21
    })
    .await;
    let took = accepted.elapsed();
    assert!(took < IN_FORCE, "{took:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_thin_host_starts_with_a_large_version() {
    let started = Instant::now();
    let world = ThinWorld::start(&large(21, 8000)).await;
    world.thin.ready().await;
    let took = started.elapsed();
    assert!(took < READY, "{took:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_small_change_of_a_large_version_costs_a_thin_host_little() {
    let world = ThinWorld::start(&large(21, 8000)).await;
    world.thin.ready().await;
    sleep(LAST_POLL).await;
    let before = world.link.bytes_carried();
    let took = world.time_to_force(&large(23, 8001)).await;
    let carried = world.link.bytes_carried() - before;
    assert!(took < IN_FORCE, "{took:?}");
    assert!(carried < CHANGE_BYTES, "{carried} bytes");
}

/// Number of upstreams of a large fleet.
pub const UPSTREAMS: u64 = 3_000;
/// Number of nodes that start together and have one node to fetch from.
const STARTING: usize = 24;

/// Writes the entries of a large fleet, with ids as a platform generates them. Returns the digest
/// of the resulting registry.
pub fn register_many(world: &World) -> u64 {
    let mut registry = UpstreamRegistry::default();
    for index in 0..UPSTREAMS {
        let id = format!(
            "i-{:010x}",
            (index + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 24
        );
        let [.., high, low] = index.to_be_bytes();
        let entry = json!({ "service": "model", "address": format!("10.9.{high}.{low}:8000"),
            "zone": format!("zone-{}", index % 3), "version": "v1", "slots": 64, "state": "ready",
            "coldLeftMs": 0, "sequence": 1, "born": 1_790_000_000_000_u64 + index });
        let bytes = entry.to_string().into_bytes();
        world.store.put("keyed.servers", &id, &bytes);
        let entry = entry::decode(&id, &bytes, EntryRecord::default()).expect("an entry");
        registry.apply(RegistryChange::Put(entry), true, Duration::ZERO);
    }
    registry.digest()
}

/// Sends five heartbeats a second of a node that has the configuration and a registry, and serves
/// them at `peers`.
async fn simulate_source(to: SocketAddr, peers: SocketAddr, registry_digest: u64) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let heartbeat = NodeHeartbeat {
        version: 1,
        registry_digest,
        ..strong(heartbeat("a-reader", peers))
    };
    let bytes = encode(&heartbeat);
    loop {
        socket.send_to(&bytes, to).await.expect("sent");
        sleep(Duration::from_millis(200)).await;
    }
}

// Guards against nodes that start together, fetch all upstreams from one node, and each receive
// them too slowly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nodes_that_start_together_fetch_a_large_registry_from_one() {
    let world = World::start(&["east"], Vec::new()).await;
    let digest = register_many(&world);
    until("the strong node knows them", async || {
        let state = world.nodes[0].state().await;
        state["upstreams"].as_array().map_or(0, Vec::len) as u64 == UPSTREAMS
    })
    .await;
    let link = SlowLink::new(MEGABITS);
    let source = link.relay(world.nodes[0].address(4010)).await;
    let source = source.expect("a port");
    let no_store = SocketAddr::new(source.ip(), 1);
    let nodes: Vec<NodeProcess> = (0..STARTING)
        .map(|_| World::start_alone(no_store))
        .collect();
    let started = Instant::now();
    for node in &nodes {
        tokio::spawn(simulate_source(node.address(4010), source, digest));
    }
    for node in &nodes {
        node.ready().await;
    }
    let took = started.elapsed();
    assert!(took < READY, "{took:?}");
}
