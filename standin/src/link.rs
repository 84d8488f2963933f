//! A host's thin link.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep_until};

use crate::server::lock;

/// Bytes that take their turn on a link at once; two connections share it evenly.
const PIECE_BYTES: usize = 8 << 10;

/// A link: all that comes to its host shares its bytes a second.
#[derive(Clone, Debug)]
pub struct SlowLink {
    bytes_per_second: f64,
    free_at: Arc<Mutex<Instant>>,
    carried: Arc<AtomicU64>,
}

impl SlowLink {
    /// A link of some megabits a second.
    pub fn new(megabits: f64) -> Self {
        Self {
            bytes_per_second: megabits * 125_000.0,
            free_at: Arc::new(Mutex::new(Instant::now())),
            carried: Arc::default(),
        }
    }

    /// Bytes that it has carried to its host.
    pub fn bytes_carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }

    /// Gives an address at which the host reaches `to` over this link, for as long as the runtime
    /// lives.
    pub async fn relay(&self, to: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
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
        Ok(address)
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
            let mut free_at = lock(&self.free_at);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        sleep_until(arrives).await;
        self.carried.fetch_add(count as u64, Ordering::Relaxed);
    }
}
