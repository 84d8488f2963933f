//! Heartbeats of nodes that do not exist.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use monsoonbank_kernel::gateway::heartbeat::{NodeCard, NodeHeartbeat, NodeState};
use monsoonbank_kernel::gateway::message::NodeMessage;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout_at};

/// Encodes a heartbeat as it is sent.
pub fn encode(heartbeat: &NodeHeartbeat) -> Vec<u8> {
    let mut bytes = Vec::new();
    let message = NodeMessage::Heartbeat(Cow::Borrowed(heartbeat));
    ciborium::into_writer(&message, &mut bytes).expect("written");
    bytes
}

/// Decodes a heartbeat; `None` if the datagram is something else.
pub fn decode(bytes: &[u8]) -> Option<NodeHeartbeat> {
    match ciborium::from_reader(bytes).ok()? {
        NodeMessage::Heartbeat(heartbeat) => Some(heartbeat.into_owned()),
        NodeMessage::Start(_) => None,
    }
}

/// Builds the heartbeat of an idle node of the zone `east` that serves other nodes at `peers`.
pub fn heartbeat(name: &str, peers: SocketAddr) -> NodeHeartbeat {
    let card = NodeCard {
        name: name.into(),
        incarnation: 1,
        zone: "east".into(),
        callers: peers,
        peers,
        capacity: 100,
        state: NodeState::Ready,
    };
    NodeHeartbeat {
        store_reachable: true,
        ..NodeHeartbeat::new(card)
    }
}

/// Gives the node so much capacity that it is a hub of its zone.
pub fn strong(mut heartbeat: NodeHeartbeat) -> NodeHeartbeat {
    heartbeat.card.capacity = 100_000;
    heartbeat
}

/// Sends five heartbeats a second of a node that reads the store, has the version in `advertised`
/// in force and serves it at `peers`.
pub async fn simulate_reader(to: SocketAddr, peers: SocketAddr, advertised: Arc<AtomicU64>) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    loop {
        let version = advertised.load(Ordering::Relaxed);
        let heartbeat = NodeHeartbeat {
            version,
            ..strong(heartbeat("a-reader", peers))
        };
        let bytes = encode(&heartbeat);
        socket.send_to(&bytes, to).await.expect("sent");
        sleep(Duration::from_millis(200)).await;
    }
}

/// Collects the datagrams that arrive at a socket within half a second.
pub async fn receive_all(socket: &UdpSocket) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    let last = Instant::now() + Duration::from_millis(500);
    while let Ok(received) = timeout_at(last, socket.recv(&mut buffer)).await {
        let length = received.expect("received");
        datagrams.push(buffer[..length].to_vec());
    }
    datagrams
}
