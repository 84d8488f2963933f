//! Words of nodes that are not there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use monsoonbank_kernel::gateway::fleet::NodeWord;
use tokio::net::UdpSocket;
use tokio::time::sleep;

/// What nodes send to each other, as far as tests need it.
#[derive(serde::Serialize)]
enum PeerMessage {
    Word(NodeWord),
}

/// Says five times a second that a node reads the store well, has the version in `told` in force and
/// can be asked for it at `peers`.
pub async fn pretend_reader(to: SocketAddr, peers: SocketAddr, told: Arc<AtomicU64>) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    loop {
        let word = NodeWord {
            name: "a-reader".into(),
            incarnation: 1,
            zone: "east".into(),
            callers: peers,
            peers,
            ready: true,
            capacity: 100,
            version: told.load(Ordering::Relaxed),
            store_well: true,
            registry_digest: 0,
            work: Vec::new(),
            failing: Vec::new(),
            departures: Vec::new(),
            parts: Vec::new(),
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&PeerMessage::Word(word), &mut bytes).expect("written");
        socket.send_to(&bytes, to).await.expect("sent");
        sleep(Duration::from_millis(200)).await;
    }
}
