//! A slow network link of a host.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep_until};

use crate::server::lock;

/// Number of bytes that a connection sends over the link at a time, so that several connections share
/// it evenly.
const CHUNK_BYTES: usize = 8 << 10;

/// A link whose rate is shared by everything that is sent to its host.
#[derive(Clone, Debug)]
pub struct SlowLink {
    bytes_per_second: f64,
    free_at: Arc<Mutex<Instant>>,
    carried: Arc<AtomicU64>,
}

impl SlowLink {
    /// Creates a link with a rate in megabits per second.
    pub fn new(megabits: f64) -> Self {
        Self {
            bytes_per_second: megabits * 125_000.0,
            free_at: Arc::new(Mutex::new(Instant::now())),
            carried: Arc::default(),
        }
    }

    /// Number of bytes sent to the host so far.
    pub fn bytes_carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }

    /// Opens an address at which the host reaches `to` over this link. It works until the runtime
    /// ends.
    pub async fn relay(&self, to: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let link = self.clone();
        tokio::spawn(async move {
            while let Ok((host, _)) = listener.accept().await {
                let link = link.clone();
                tokio::spawn(async move {
                    // If the target is unreachable, the connection is closed.
                    if let Ok(target) = TcpStream::connect(to).await {
                        link.forward(host, target).await;
                    }
                });
            }
        });
        Ok(address)
    }

    async fn forward(&self, mut host: TcpStream, mut target: TcpStream) {
        let (mut from_host, mut to_host) = host.split();
        let (mut from_target, mut to_target) = target.split();
        let down = async {
            let mut chunk = vec![0; CHUNK_BYTES];
            loop {
                let count = from_target.read(&mut chunk).await.unwrap_or(0);
                if count == 0 {
                    return;
                }
                self.transmit(count).await;
                if to_host.write_all(&chunk[..count]).await.is_err() {
                    return;
                }
            }
        };
        // If one direction ends, the other is closed, too.
        tokio::select! {
            () = down => {}
            _ = tokio::io::copy(&mut from_host, &mut to_target) => {}
        }
    }

    async fn transmit(&self, count: usize) {
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
