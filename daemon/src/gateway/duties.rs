//! Duties: calls to the platform that one node at a time makes, under a lease in the store's log.
//!
//! One task claims and renews the lease and stores what a holder must not lose; `reports` and
//! `scaling` make the calls.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use monsoonbank_kernel::clock::Clock;
use monsoonbank_kernel::gateway::duty::{DutyClaim, DutyLease, DutyRecord, DutyTopic};
use monsoonbank_kernel::gateway::heartbeat::HolderNotice;
use monsoonbank_kernel::gateway::reports::{FinalWindow, ReportMoment, UsageReports};
use monsoonbank_kernel::gateway::usage::{UsageLedger, WorkspaceCounts};
use monsoonbank_kernel::ids::{Incarnation, NodeId};
use monsoonbank_platform::names;
use monsoonbank_platform::store::{KeyedRecord, StoreClient, StoreError};
use rand_pcg::Pcg64Mcg;

use crate::boot_clock::BootClock;
use crate::gateway::Gateway;
use crate::gateway::decisions::{StoreDecision, millis};
use crate::gateway::settings::{DutyName, DutySettings};

/// Interval at which the holder of the lease, or a node that is to claim it, checks what is due.
const ACTIVE_INTERVAL: Duration = Duration::from_millis(100);
/// The same interval at any other node.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between reads of a node that waits for a lease to expire.
const READ_INTERVAL: Duration = Duration::from_millis(900);
/// Time without a notice of a holder after which the first node in order reads the lease. A notice
/// reaches every node within a second.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(1600);
/// Time within which the store has to begin its answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);
/// Backoff after a failed call to the store.
const FAILURE_BACKOFF: Duration = Duration::from_millis(400);
/// Interval between two calls if the settings give no valid rate.
const FALLBACK_CALL_INTERVAL: Duration = Duration::from_secs(1);
/// Number of windows that stay in the log, so that the next holder can send their reports again.
const RETAINED_WINDOWS: u64 = 4;

/// A notice of the holder, with the time at which it was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedNotice {
    notice: HolderNotice,
    at: Duration,
}

impl ReceivedNotice {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.at) + Duration::from_millis(self.notice.age_ms)
    }
}

/// State of the duties at a node.
pub struct DutyState {
    /// Settings of the duties.
    pub settings: DutySettings,
    /// Clock that continues while the host is suspended.
    pub clock: BootClock,
    /// Lease that permits calls of the duties.
    pub lease: RefCell<DutyLease>,
    /// Usage counts, by workspace and window.
    pub ledger: RefCell<UsageLedger>,
    /// Windows of usage that are stored, and the state of their reports.
    pub reports: RefCell<UsageReports>,
    /// Unix time since which this node has held the lease; `None` if it does not hold it.
    held_since: Cell<Option<Duration>>,
    received: Cell<Option<ReceivedNotice>>,
    /// Time from which the platform's rate permits the next call.
    call_at: Cell<Duration>,
    random: RefCell<Pcg64Mcg>,
}

impl DutyState {
    /// Creates the state of a node that starts.
    pub fn new(settings: DutySettings, name: &str, incarnation: u64, random: Pcg64Mcg) -> Self {
        let lease = DutyLease::new(
            NodeId::named(name),
            Incarnation(incarnation),
            settings.lease,
        );
        Self {
            clock: BootClock,
            lease: RefCell::new(lease),
            ledger: RefCell::new(UsageLedger::new(settings.usage_window)),
            reports: RefCell::new(UsageReports::new(settings.usage_late)),
            held_since: Cell::new(None),
            received: Cell::new(None),
            call_at: Cell::new(Duration::ZERO),
            random: RefCell::new(random),
            settings,
        }
    }

    /// Records the store's era in the lease.
    pub fn observe_era(&self, era: u64, unix_now: Duration) {
        let window = self.ledger.borrow().window(unix_now) + 1;
        let now = self.clock.now();
        self.lease.borrow_mut().observe_era(era, window, now);
    }

    /// Returns whether the settings list this duty.
    pub fn has(&self, name: DutyName) -> bool {
        self.settings.has(name)
    }

    /// Merges another node's notice of the holder.
    pub fn observe(&self, notice: HolderNotice, now: Duration, unix_now: Duration) {
        let fresh = ReceivedNotice { notice, at: now };
        let order = |notice: &HolderNotice| (notice.token, notice.renewal, notice.written);
        let is_newer = self.received.get().is_none_or(|known| {
            let is_fresher = fresh.age(now) < known.age(now);
            order(&notice) > order(&known.notice)
                || notice.token == known.notice.token && is_fresher
        });
        if is_newer {
            let known = self.received.get().map(|known| known.notice);
            let written = known.map_or(0, |known| known.written);
            let renewal = known.map_or(0, |known| known.renewal);
            let notice = HolderNotice {
                written: notice.written.max(written),
                renewal: notice.renewal.max(renewal),
                ..notice
            };
            self.received.set(Some(ReceivedNotice { notice, at: now }));
            self.observe_renewal(notice.renewal, unix_now);
        }
    }

    fn observe_renewal(&self, renewal: u64, unix_now: Duration) {
        let window = self.ledger.borrow().window(unix_now) + 1;
        let mut random = self.random.borrow_mut();
        let now = self.clock.now();
        self.lease
            .borrow_mut()
            .observe(renewal, window, now, &mut random);
    }

    /// Returns the notice of the holder for this node's heartbeats: its own, or one received a
    /// short time ago; `None` if it knows of no holder.
    pub fn notice(&self, gateway: &Gateway) -> Option<HolderNotice> {
        let now = gateway.now();
        if let Some(token) = self.held_token() {
            return Some(HolderNotice {
                token,
                peers: gateway.settings.peer_address(),
                successor: gateway.fleet.borrow().duty_successor(now),
                age_ms: 0,
                renewal: self.lease.borrow().newest().unwrap_or(0),
                written: self.reports.borrow().written_through(),
            });
        }
        let received = self.received.get()?;
        let age = received.age(now);
        (age < HOLDER_TIMEOUT).then_some(HolderNotice {
            age_ms: millis(age),
            ..received.notice
        })
    }

    /// Returns the token under which this node holds the lease, which it does for a time before it
    /// may make calls.
    fn held_token(&self) -> Option<u64> {
        self.lease.borrow().claimed(self.clock.now())
    }

    /// Returns whether this node holds the lease.
    pub fn is_holder(&self) -> bool {
        self.held_token().is_some()
    }

    /// Returns the fencing token for a call that is sent now; `None` if this node may not send one.
    pub fn token(&self) -> Option<u64> {
        self.lease.borrow().token(self.clock.now())
    }

    /// Returns whether the platform's rate permits a call now, and counts the call if so.
    pub fn try_admit_call(&self, now: Duration) -> bool {
        if now < self.call_at.get() {
            return false;
        }
        let pause = Duration::try_from_secs_f64(1.0 / self.settings.calls_per_s);
        self.call_at
            .set(now + pause.unwrap_or(FALLBACK_CALL_INTERVAL));
        true
    }

    /// Returns the time since the holder's last notice, as far as this node knows; the time since
    /// its start if it received none.
    fn silence(&self, now: Duration) -> Duration {
        self.received
            .get()
            .map_or(now, |received| received.age(now))
    }
}

/// Returns the Unix time of this host's clock.
pub fn host_time() -> Duration {
    // A clock that is set before 1970 counts as 1970.
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Starts to claim and renew the lease, if the settings list duties.
pub fn start(gateway: &Rc<Gateway>) {
    if gateway.duties.is_none() {
        return;
    }
    let keeper = LeaseKeeper {
        client: StoreClient::new(gateway.settings.store.address),
        gateway: gateway.clone(),
        read_at: Duration::ZERO,
    };
    tokio::task::spawn_local(run_keeper(keeper));
}

/// Claims and renews the lease, and stores final windows of usage.
struct LeaseKeeper {
    gateway: Rc<Gateway>,
    client: StoreClient,
    read_at: Duration,
}

async fn run_keeper(mut keeper: LeaseKeeper) {
    let gateway = keeper.gateway.clone();
    let Some(duties) = &gateway.duties else {
        return;
    };
    while gateway.leaving_since.get().is_none() {
        let is_busy = keeper.step(duties).await;
        keeper.record_holding(duties);
        let interval = if is_busy {
            ACTIVE_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        tokio::time::sleep(interval).await;
    }
    // The lease expires; other nodes see from the heartbeats that this node is leaving.
}

impl LeaseKeeper {
    /// Reads and appends what is due. Returns whether this node holds the lease or is to claim it.
    async fn step(&mut self, duties: &DutyState) -> bool {
        let holds = duties.is_holder();
        if !holds && !self.is_claimant(duties) {
            return false;
        }
        let now = duties.clock.now();
        if holds && duties.lease.borrow().needs_read(now) || !holds && now >= self.read_at {
            self.read_at = now + READ_INTERVAL;
            self.read(duties).await;
        }
        self.append(duties).await;
        true
    }

    fn is_claimant(&self, duties: &DutyState) -> bool {
        let now = self.gateway.now();
        let fleet = self.gateway.fleet.borrow();
        duties.silence(now) >= fleet.claim_delay(HOLDER_TIMEOUT, now)
    }

    /// Records when this node begins and ceases to hold the lease.
    fn record_holding(&self, duties: &DutyState) {
        let token = duties.held_token();
        match (token, duties.held_since.get()) {
            (Some(token), None) => {
                duties.held_since.set(Some(self.gateway.unix_now()));
                self.gateway
                    .decisions
                    .record(StoreDecision::DutiesHeld { token });
            }
            (None, Some(_)) => {
                duties.held_since.set(None);
                self.gateway.decisions.record(StoreDecision::DutiesLost);
            }
            _ => {}
        }
    }

    async fn read(&mut self, duties: &DutyState) {
        let read = self.client.newest(names::DUTY_TOPIC, STORE_TIMEOUT).await;
        self.gateway.observe_store_era(self.client.era());
        let snapshot = match read {
            Ok(snapshot) => snapshot,
            Err(error) => return self.failed(&error).await,
        };
        self.count("answered");
        let topic = DutyTopic {
            era: self.client.era(),
            end: snapshot.end,
            newest: newest_lease(&snapshot.records),
        };
        let now = duties.clock.now();
        duties
            .lease
            .borrow_mut()
            .observe_topic(&topic, now, &mut duties.random.borrow_mut());
        let mut reports = duties.reports.borrow_mut();
        let ledger = duties.ledger.borrow();
        let unix_now = self.gateway.unix_now();
        for last in snapshot.records.iter().filter_map(final_window) {
            if reports.is_due(&ledger, last.window, unix_now) {
                reports.written(last);
            }
        }
    }

    async fn failed(&self, error: &StoreError) {
        self.count("failed");
        let reason = error.to_string();
        self.gateway.decisions.record(StoreDecision::StoreLost {
            reader: "duties",
            reason: &reason,
        });
        tokio::time::sleep(FAILURE_BACKOFF).await;
    }

    fn count(&self, outcome: &str) {
        let calls = &self.gateway.metrics.store_calls;
        calls.with_label_values(&["duties", outcome]).inc();
    }

    /// Claims or renews the lease if that is due, and stores final windows of usage.
    async fn append(&mut self, duties: &DutyState) {
        let now = duties.clock.now();
        let last = self.final_windows(duties);
        if !last.is_empty() {
            duties.lease.borrow_mut().renew_now(now);
        }
        let Some(claim) = duties.lease.borrow_mut().claim(now) else {
            return;
        };
        let records = encode(&claim.record, &last);
        let appended = self
            .client
            .append(names::DUTY_TOPIC, claim.at, &records, STORE_TIMEOUT)
            .await;
        self.gateway.observe_store_era(self.client.era());
        match appended {
            Ok(place) => {
                self.count("answered");
                self.appended(duties, &claim, place.end, last);
            }
            Err(StoreError::EndMismatch) => {
                self.count("answered");
                duties.lease.borrow_mut().refused();
            }
            Err(error) => {
                duties.lease.borrow_mut().require_read();
                self.failed(&error).await;
            }
        }
    }

    /// Returns the windows that may be stored now. There are none unless this node holds a valid
    /// lease and has read back all stored windows.
    fn final_windows(&self, duties: &DutyState) -> Vec<FinalWindow> {
        let (Some(held_since), Some(_)) = (duties.held_since.get(), duties.token()) else {
            return Vec::new();
        };
        if !duties.has(DutyName::Usage) {
            return Vec::new();
        }
        let moment = ReportMoment {
            now: self.gateway.unix_now(),
            held_since,
            first_window: duties.lease.borrow().first_window(),
        };
        let ledger = duties.ledger.borrow();
        duties.reports.borrow().to_write(&ledger, moment)
    }

    fn appended(
        &mut self,
        duties: &DutyState,
        claim: &DutyClaim,
        end: u64,
        last: Vec<FinalWindow>,
    ) {
        let now = duties.clock.now();
        let era = self.client.era();
        duties
            .lease
            .borrow_mut()
            .appended(claim, era, end, now, &mut duties.random.borrow_mut());
        if claim.record.era != era {
            return;
        }
        let unix_now = self.gateway.unix_now();
        let ledger = duties.ledger.borrow();
        for last in last {
            self.gateway.decisions.record(StoreDecision::UsageWritten {
                window: last.window,
                workspaces: last.counts.len(),
                calls: last.counts.values().sum(),
                oldest_input_ms: millis(ledger.oldest_input(last.window, unix_now)),
            });
            duties.reports.borrow_mut().written(last);
        }
    }
}

fn newest_lease(records: &[KeyedRecord]) -> Option<(u64, DutyRecord)> {
    let record = records
        .iter()
        .find(|record| record.key == names::LEASE_KEY)?;
    match ciborium::from_reader(record.value.as_deref()?) {
        Ok(lease) => Some((record.offset, lease)),
        Err(error) => {
            log::warn!("the lease on duties is malformed: {error}");
            None
        }
    }
}

fn final_window(record: &KeyedRecord) -> Option<FinalWindow> {
    let key = std::str::from_utf8(&record.key).ok()?;
    let window = key.strip_prefix(names::USAGE_KEY)?.parse().ok()?;
    match ciborium::from_reader::<WorkspaceCounts, _>(record.value.as_deref()?) {
        Ok(counts) => Some(FinalWindow { window, counts }),
        Err(error) => {
            log::warn!("the usage of window {window} is malformed: {error}");
            None
        }
    }
}

/// Key and value of a record.
type KeyedBytes = (Vec<u8>, Vec<u8>);

/// Encodes the lease's record and the windows, and removes old windows.
fn encode(lease: &DutyRecord, last: &[FinalWindow]) -> Vec<KeyedBytes> {
    let mut records = vec![(names::LEASE_KEY.to_vec(), to_cbor(lease))];
    for FinalWindow { window, counts } in last {
        let key = |window: u64| format!("{}{window}", names::USAGE_KEY).into_bytes();
        records.push((key(*window), to_cbor(counts)));
        records.push((key(window.saturating_sub(RETAINED_WINDOWS)), Vec::new()));
    }
    records
}

fn to_cbor(value: &impl serde::Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    if let Err(error) = ciborium::into_writer(value, &mut bytes) {
        log::error!("cannot encode a record of the duties: {error}");
    }
    bytes
}
