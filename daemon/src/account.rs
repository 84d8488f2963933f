//! The account of the memory that request bodies take, shared by the tasks of a node.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use monsoonbank_kernel::bodies::{BodyEvicted, BodyGrant, BodyKey, BodyLedger};
use monsoonbank_kernel::clock::{Clock, MonotonicClock};
use thiserror::Error;
use tokio::sync::Notify;

/// Reason why a call that has not run is given up: this node has no memory for its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no memory is left for the body")]
pub struct MemoryError {
    /// Time after which there is likely to be room.
    pub retry_after: Duration,
}

/// Memory that the bodies of a node take and may take.
#[derive(Clone, Copy, Debug)]
pub struct AccountUse {
    /// Number of bodies.
    pub bodies: usize,
    /// Bytes that they take.
    pub held: usize,
    /// Bytes that they may take.
    pub limit: usize,
}

#[derive(Debug)]
struct AccountState {
    ledger: BodyLedger,
    waiting: BTreeMap<BodyKey, Arc<Notify>>,
}

impl AccountState {
    fn wake(&mut self, evicted: &[BodyKey]) {
        for key in evicted {
            if let Some(notify) = self.waiting.get(key) {
                notify.notify_one();
            }
        }
    }
}

/// Account of the memory that the bodies of a node take.
#[derive(Debug)]
pub struct BodyAccount {
    clock: MonotonicClock,
    state: Mutex<AccountState>,
    /// Wakes bodies that wait for the memory of those that give way.
    released: Notify,
}

impl BodyAccount {
    /// Creates the account of a host with this much memory, in bytes.
    pub fn new(memory: usize, clock: MonotonicClock) -> Self {
        let state = AccountState {
            ledger: BodyLedger::new(memory),
            waiting: BTreeMap::new(),
        };
        Self {
            clock,
            state: Mutex::new(state),
            released: Notify::new(),
        }
    }

    /// Returns the memory in use.
    pub fn usage(&self) -> AccountUse {
        let state = self.lock();
        AccountUse {
            bodies: state.ledger.len(),
            held: state.ledger.held(),
            limit: state.ledger.limit(),
        }
    }

    /// Returns the largest size of a body that finds room if it is the only one, in bytes.
    pub fn largest(&self) -> usize {
        self.lock().ledger.largest()
    }

    /// Ends the call whose client stopped first in the middle of its body. Returns whether there was
    /// one.
    pub fn evict_stalled(&self) -> bool {
        let mut state = self.lock();
        let evicted = state.ledger.evict_stalled(self.clock.now());
        state.wake(evicted.as_slice());
        evicted.is_some()
    }

    fn lock(&self) -> MutexGuard<'_, AccountState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A body's part of the account, released when this is dropped.
#[derive(Debug)]
pub struct BodyHold {
    account: Arc<BodyAccount>,
    key: BodyKey,
    evicted: Arc<Notify>,
}

impl BodyHold {
    /// Adds a body of which nothing was read yet.
    pub fn open(account: &Arc<BodyAccount>) -> Self {
        let evicted = Arc::new(Notify::new());
        let mut state = account.lock();
        let key = state.ledger.open(account.clock.now());
        state.waiting.insert(key, Arc::clone(&evicted));
        drop(state);
        Self {
            account: Arc::clone(account),
            key,
            evicted,
        }
    }

    /// Sets the memory that the body's bytes take, and waits until it may be allocated.
    ///
    /// # Errors
    ///
    /// If there is no room for more, or if the call gives way to another meanwhile.
    pub async fn allocate(&self, bytes: usize) -> Result<(), MemoryError> {
        self.charge(bytes)?;
        loop {
            let released = self.account.released.notified();
            if self.account.lock().ledger.is_settled() {
                return Ok(());
            }
            tokio::select! {
                () = released => {}
                error = self.evicted() => return Err(error),
            }
        }
    }

    /// Sets the memory that the body's bytes take, which is allocated already.
    ///
    /// # Errors
    ///
    /// If there is no room for more.
    pub fn charge(&self, bytes: usize) -> Result<(), MemoryError> {
        let mut state = self.account.lock();
        let now = self.account.clock.now();
        match state.ledger.allocate(self.key, bytes, now) {
            BodyGrant::Granted(evicted) => {
                state.wake(&evicted);
                Ok(())
            }
            BodyGrant::Refused { retry_after } => Err(MemoryError { retry_after }),
        }
    }

    /// Records that bytes of the body arrived.
    pub fn progress(&self) {
        let now = self.account.clock.now();
        self.account.lock().ledger.progress(self.key, now);
    }

    /// Records that the body is whole.
    pub fn complete(&self) {
        self.account.lock().ledger.complete(self.key);
    }

    /// Keeps the body until its call ends. It has to be called before the call is sent.
    ///
    /// # Errors
    ///
    /// If the call gave way to another before.
    pub fn pin(&self) -> Result<(), MemoryError> {
        let pinned = self.account.lock().ledger.pin(self.key);
        pinned.map_err(|BodyEvicted| self.refusal())
    }

    /// Waits until the call gives way to another, which may never happen.
    pub async fn evicted(&self) -> MemoryError {
        self.evicted.notified().await;
        self.refusal()
    }

    fn refusal(&self) -> MemoryError {
        let now = self.account.clock.now();
        let retry_after = self.account.lock().ledger.retry_after(now);
        MemoryError { retry_after }
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        let now = self.account.clock.now();
        let mut state = self.account.lock();
        state.ledger.close(self.key, now);
        state.waiting.remove(&self.key);
        drop(state);
        self.account.released.notify_waiters();
    }
}
