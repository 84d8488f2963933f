//! A rate-limited store of model weights, shared by engines.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

use crate::server::lock;

/// Store with a limited read rate. Reads are served one after another, in order of arrival.
#[derive(Clone, Debug)]
pub struct WeightStore {
    bytes_per_second: f64,
    free_at: Arc<Mutex<Option<Instant>>>,
}

impl WeightStore {
    /// Creates a store with a read rate in bytes per second, shared by all engines.
    pub fn new(bytes_per_second: f64) -> Self {
        Self {
            bytes_per_second,
            free_at: Arc::default(),
        }
    }

    /// Waits until `bytes` have been read.
    pub async fn read(&self, bytes: u64) {
        let length = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        let done_at = {
            let mut free_at = lock(&self.free_at);
            let now = Instant::now();
            let start = free_at.unwrap_or(now).max(now);
            *free_at = Some(start + length);
            start + length
        };
        tokio::time::sleep_until(done_at).await;
    }
}
