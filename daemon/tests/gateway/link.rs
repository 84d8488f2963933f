//! A host's thin link, and a node whose words come over it.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use monsoonbank_kernel::gateway::fleet::NodeWord;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{Instant, sleep, sleep_until};

/// Bytes that take their turn on a link at once; two connections share it evenly.
const PIECE_BYTES: usize = 8 << 10;

/// A link: all that comes to its host shares its bytes a second.
#[derive(Clone)]
pub struct ThinLink {
    bytes_per_second: f64,
    free_at: Arc<Mutex<Instant>>,
    carried: Arc<AtomicU64>,
}

impl ThinLink {
    /// A link of some megabits a second.
    pub fn new(megabits: f64) -> Self {
        Self {
            bytes_per_second: megabits * 125_000.0,
            free_at: Arc::new(Mutex::new(Instant::now())),
            carried: Arc::default(),
        }
    }

    /// Bytes that it has carried to its host.
    pub fn carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }

    /// Gives an address at which the host reaches `to` over this link.
    pub async fn relay(&self, to: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let link = self.clone();
        tokio::spawn(async move {
            while let Ok((host, _)) = listener.accept().await {
                let link = link.clone();
                tokio::spawn(async move {
                    // Without its target the connection just ends.
                    if let Ok(target) = TcpStream::connect(to).await {
                        link.pass(host, target).await;
                    }
                });
            }
        });
        address
    }

    async fn pass(&self, mut host: TcpStream, mut target: TcpStream) {
        let (mut from_host, mut to_host) = host.split();
        let (mut from_target, mut to_target) = target.split();
        let down = async {
            let mut piece = vec![0; PIECE_BYTES];
            loop {
                let count = from_target.read(&mut piece).await.unwrap_or(0);
                if count == 0 {
                    return;
                }
                self.take_turn(count).await;
                if to_host.write_all(&piece[..count]).await.is_err() {
                    return;
                }
            }
        };
        // Either side's end ends both.
        tokio::select! {
            () = down => {}
            _ = tokio::io::copy(&mut from_host, &mut to_target) => {}
        }
    }

    async fn take_turn(&self, count: usize) {
        let time = Duration::from_secs_f64(count as f64 / self.bytes_per_second);
        let arrives = {
            let mut free_at = self.free_at.lock().expect("no test holds it");
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        sleep_until(arrives).await;
        self.carried.fetch_add(count as u64, Ordering::Relaxed);
    }
}

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
