//! Words of nodes that are not there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use monsoonbank_kernel::gateway::fleet::NodeWord;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout_at};

/// What nodes send to each other, as far as tests need it.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub enum PeerMessage {
    Word(NodeWord),
    Known(Vec<SocketAddr>),
}

impl PeerMessage {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("written");
        bytes
    }
}

/// What a node of the zone `east` without work says, which can be asked at `peers`.
pub fn word(name: &str, peers: SocketAddr) -> NodeWord {
    NodeWord {
        name: name.into(),
        incarnation: 1,
        zone: "east".into(),
        callers: peers,
        peers,
        ready: true,
        capacity: 100,
        version: 0,
        store_well: true,
        registry_digest: 0,
        work: Vec::new(),
        failing: Vec::new(),
        departures: Vec::new(),
        parts: Vec::new(),
    }
}

/// Says five times a second that a node reads the store well, has the version in `told` in force and
/// can be asked for it at `peers`.
pub async fn pretend_reader(to: SocketAddr, peers: SocketAddr, told: Arc<AtomicU64>) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    loop {
        let version = told.load(Ordering::Relaxed);
        let word = NodeWord {
            version,
            ..word("a-reader", peers)
        };
        let bytes = PeerMessage::Word(word).encode();
        socket.send_to(&bytes, to).await.expect("sent");
        sleep(Duration::from_millis(200)).await;
    }
}

/// All that comes to a socket within half a second.
pub async fn heard(socket: &UdpSocket) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    let last = Instant::now() + Duration::from_millis(500);
    while let Ok(received) = timeout_at(last, socket.recv(&mut buffer)).await {
        let length = received.expect("received");
        datagrams.push(buffer[..length].to_vec());
    }
    datagrams
}
