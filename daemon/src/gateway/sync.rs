//! Follows the platform's store: the operator's configuration and the registry of upstreams.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use monsoonbank_kernel::clock::Clock;
use monsoonbank_kernel::gateway::gossip::GossipUrgency;
use monsoonbank_kernel::gateway::registry::{
    EntryRecord, LogPlace, RETURN_GRACE, RegistryChange, UpstreamKey,
};
use monsoonbank_platform::store::{KeyedRecord, StoreClient, StoreError};
use monsoonbank_platform::{configuration, entry, names};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::gateway::decisions::{NodeDecision, StoreDecision, UpstreamDecision, millis};
use crate::gateway::scope::{self, RegistryScope};
use crate::gateway::{Gateway, startup};

/// Wait of a long-poll read of the configuration. A dead connection is noticed after this and
/// `ANSWER_TIMEOUT`; each answer without records costs one call.
const CONFIGURATION_POLL: Duration = Duration::from_millis(2500);
/// Interval between reads of the registry. A leaving upstream has to be noticed well within two
/// seconds, and each read costs one call.
const REGISTRY_INTERVAL: Duration = Duration::from_millis(700);
/// Time beyond the wait within which the store has to begin its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of times that `ANSWER_TIMEOUT` is doubled for an answer that may be large. Many nodes
/// that read 2 MB each keep a store that sends 80 MB a second busy for seconds, and a node that
/// gives up and reads again adds to that load.
const MAX_DOUBLINGS: u32 = 2;
/// Interval at which a node that does not read the store checks whether it should.
const TURN_INTERVAL: Duration = Duration::from_millis(250);
/// First backoff after a failed call; doubles up to `MAX_BACKOFF`. Each is shortened at random by
/// up to half.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff after a failed call. The store's recovery is noticed within this time.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Returns the Unix time in milliseconds, which serves as an incarnation that grows with each start
/// of the process.
pub fn start_time() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    millis(since)
}

/// Starts the readers of the configuration and the registry, with `seed` for their random backoff.
pub fn start(gateway: &Rc<Gateway>, seed: u64) {
    let random = |stream: u64| Pcg64Mcg::seed_from_u64(seed ^ stream);
    let configuration = StoreReader::new(gateway, "configuration", random(1));
    tokio::task::spawn_local(follow_configuration(configuration));
    let registry = StoreReader::new(gateway, "registry", random(2));
    tokio::task::spawn_local(follow_registry(registry));
    tokio::task::spawn_local(expire_lapsed(gateway.clone()));
}

/// A reader of one topic, with its own connection and backoff.
struct StoreReader {
    gateway: Rc<Gateway>,
    client: StoreClient,
    name: &'static str,
    random: Pcg64Mcg,
    failures: u32,
    timeouts: u32,
    lost_since: Option<Duration>,
    counted_bytes: usize,
    /// Store era that the reader's offset belongs to.
    era: u64,
    /// Time at which the reader first saw that era.
    era_at: Duration,
    /// End of the log when the reader first read it in that era; `None` before.
    era_start: Option<u64>,
    /// Newest era whose entries were confirmed; `None` if there is none.
    confirmed: Option<u64>,
}

impl StoreReader {
    fn new(gateway: &Rc<Gateway>, name: &'static str, random: Pcg64Mcg) -> Self {
        Self {
            gateway: gateway.clone(),
            client: StoreClient::new(gateway.settings.store.address),
            name,
            random,
            failures: 0,
            timeouts: 0,
            lost_since: None,
            counted_bytes: 0,
            era: 0,
            era_at: Duration::ZERO,
            era_start: None,
            confirmed: None,
        }
    }

    /// Records the era of the last answer. Returns whether known offsets are still valid: not if
    /// the store has come back from an older copy, nor if the answer is from before that.
    fn same_era(&mut self) -> bool {
        let era = self.client.era();
        self.gateway.observe_store_era(era);
        let known = std::mem::replace(&mut self.era, era);
        if known != era {
            self.era_at = self.gateway.now();
            self.era_start = None;
        }
        known == era
            && self
                .gateway
                .store_era
                .get()
                .is_none_or(|newest| newest == era)
    }

    fn succeeded(&mut self) {
        self.count("answered", "used");
        let now = self.gateway.now();
        self.gateway.fleet.borrow_mut().store_answered(now);
        self.failures = 0;
        self.timeouts = 0;
        let Some(since) = self.lost_since.take() else {
            return;
        };
        let mut health = self.gateway.store_health.get();
        health.recovered_at = now;
        self.gateway.store_health.set(health);
        self.gateway.configuration_notify.notify_waiters();
        let lost_ms = millis(now.saturating_sub(since));
        self.gateway.decisions.record(StoreDecision::StoreBack {
            reader: self.name,
            lost_ms,
        });
    }

    async fn failed(&mut self, error: &StoreError) {
        self.count("failed", "wasted");
        let now = self.gateway.now();
        let mut health = self.gateway.store_health.get();
        health.failed_at = Some(now);
        self.gateway.store_health.set(health);
        if self.lost_since.is_none() {
            self.lost_since = Some(now);
            let reason = error.to_string();
            self.gateway.decisions.record(StoreDecision::StoreLost {
                reader: self.name,
                reason: &reason,
            });
        }
        let pause = MIN_BACKOFF * 2_u32.pow(self.failures.min(4));
        self.failures += 1;
        if matches!(error, StoreError::TimedOut | StoreError::Body(_)) {
            self.timeouts += 1;
        }
        let pause = pause
            .min(MAX_BACKOFF)
            .mul_f64(self.random.random_range(0.5..1.0));
        tokio::time::sleep(pause).await;
    }

    fn count(&mut self, outcome: &str, bytes_outcome: &str) {
        let metrics = &self.gateway.metrics;
        metrics
            .store_calls
            .with_label_values(&[self.name, outcome])
            .inc();
        let received = self.client.received();
        metrics.count_received("store", bytes_outcome, received - self.counted_bytes);
        self.counted_bytes = received;
    }

    /// Returns the start of the reader's log, which ended at `end` before the first read of an era.
    fn log_start(&mut self, end: u64) -> LogStart {
        LogStart {
            era: self.era,
            offset: *self.era_start.get_or_insert(end),
        }
    }

    /// Returns whether the store has been reachable in this era for longer than it keeps the entries
    /// of silent upstreams.
    fn outlasts_silence(&self) -> bool {
        let since = self
            .era_at
            .max(self.gateway.store_health.get().recovered_at);
        self.trusted()
            && self.gateway.now() >= since + self.gateway.settings.times.trust + RETURN_GRACE
    }

    /// Returns the time within which an answer that may be large has to begin.
    fn timeout(&self) -> Duration {
        ANSWER_TIMEOUT * 2_u32.pow(self.timeouts.min(MAX_DOUBLINGS))
    }

    /// Returns whether the store has been reachable for long enough that a missing entry means that
    /// the upstream has left.
    fn trusted(&self) -> bool {
        !self.gateway.store_suspect()
    }
}

/// Waits until this node is the reader of its availability zone, or until `needed` returns that it
/// has to read anyway.
async fn wait_for_turn(gateway: &Gateway, needed: impl Fn() -> bool) {
    while !gateway.is_reader() && !needed() {
        tokio::time::sleep(TURN_INTERVAL).await;
    }
}

async fn follow_configuration(mut reader: StoreReader) {
    let mut position = None;
    let gateway = reader.gateway.clone();
    startup::wait_at_start(&gateway, &mut reader.random, |gateway| {
        gateway.version() > 0
    })
    .await;
    loop {
        let gateway = reader.gateway.clone();
        if gateway.version() > 0 {
            wait_for_turn(&gateway, || gateway.lags_behind()).await;
        }
        let outcome = match position {
            None => newest_configuration(&mut reader).await,
            Some(from) => read_configuration(&mut reader, from).await,
        };
        match outcome {
            Ok(next) => {
                reader.succeeded();
                position = next;
            }
            Err(StoreError::Expired { .. }) => {
                reader.same_era();
                position = None;
            }
            Err(error) => reader.failed(&error).await,
        }
    }
}

/// Reads the newest configuration. Returns the offset to continue from; `None` if the store's era
/// is another than in its last answer to this reader.
async fn newest_configuration(reader: &mut StoreReader) -> Result<Option<u64>, StoreError> {
    let timeout = reader.timeout();
    let snapshot = reader.client.newest(names::OPERATOR_TOPIC, timeout).await?;
    let same_era = reader.same_era();
    apply_configurations(&reader.gateway, &snapshot.records);
    Ok(same_era.then_some(snapshot.end))
}

/// Reads the records from an offset. Returns the offset to continue from; `None` in a new era.
async fn read_configuration(
    reader: &mut StoreReader,
    from: u64,
) -> Result<Option<u64>, StoreError> {
    let gateway = reader.gateway.clone();
    let wait = if gateway.store_suspect() || !gateway.is_reader() {
        Duration::ZERO
    } else {
        CONFIGURATION_POLL
    };
    let timeout = reader.timeout();
    let reading = reader
        .client
        .read(names::OPERATOR_TOPIC, from, wait, timeout);
    let batch = tokio::select! {
        batch = reading => batch?,
        () = gateway.configuration_notify.notified() => {
            reader.client.reconnect();
            let retry = reader.client.read(names::OPERATOR_TOPIC, from, Duration::ZERO, timeout);
            retry.await?
        }
    };
    if !reader.same_era() {
        return Ok(None);
    }
    apply_configurations(&gateway, &batch.records);
    if wait.is_zero() && batch.records.is_empty() {
        tokio::time::sleep(REGISTRY_INTERVAL).await;
    }
    Ok(Some(batch.next))
}

/// Source in decision lines of what was read from the store.
const STORE_SOURCE: &str = "store";

fn apply_configurations(gateway: &Gateway, records: &[KeyedRecord]) {
    for record in records
        .iter()
        .filter(|record| record.key == names::CONFIGURATION_KEY)
    {
        if let Some(value) = &record.value {
            apply_configuration(gateway, value, STORE_SOURCE);
        }
    }
}

/// Decodes a configuration and applies it if it is newer than the one in force. `source` is `store`
/// or the node that it came from.
pub fn apply_configuration(gateway: &Gateway, bytes: &Bytes, source: &str) {
    let started = gateway.now();
    let rules = match configuration::decode(bytes) {
        Ok(rules) => rules,
        Err(error) => {
            let reason = error.to_string();
            gateway
                .decisions
                .record(NodeDecision::ConfigurationRejected {
                    source,
                    reason: &reason,
                });
            return;
        }
    };
    if gateway
        .rules()
        .is_some_and(|current| current.version >= rules.version)
    {
        return;
    }
    let decoded = gateway.now();
    let lag = gateway.lag.get().since(rules.version, decoded);
    gateway
        .decisions
        .record(NodeDecision::ConfigurationApplied {
            version: rules.version,
            rules: rules.rule_count(),
            source,
            bytes: bytes.len(),
            decode_us: u64::try_from(decoded.saturating_sub(started).as_micros())
                .unwrap_or(u64::MAX),
            lag_ms: lag.map(millis),
        });
    gateway
        .metrics
        .version
        .set(i64::try_from(rules.version).unwrap_or(i64::MAX));
    if let Some(current) = gateway.rules() {
        let changes = &mut *gateway.pool_changes.borrow_mut();
        changes.record(&current, &rules, gateway.now());
    }
    *gateway.table.borrow_mut() = Some(Rc::new(rules));
    gateway.texts.borrow_mut().put(bytes.clone());
    if source == STORE_SOURCE || gateway.is_hub() {
        gateway.propagate(GossipUrgency::All);
    }
}

async fn follow_registry(mut reader: StoreReader) {
    let mut position = None;
    let gateway = reader.gateway.clone();
    startup::wait_at_start(&gateway, &mut reader.random, Gateway::knows_upstreams).await;
    loop {
        if reader.gateway.knows_upstreams() {
            wait_for_turn(&reader.gateway, || false).await;
        }
        if !reader.gateway.knows_all_upstreams() {
            position = None;
        }
        let outcome = match position {
            None => newest_registry(&mut reader).await,
            Some(from) => read_registry(&mut reader, from).await,
        };
        match outcome {
            Ok(next) => {
                reader.succeeded();
                position = next;
                scope::set(&reader.gateway, RegistryScope::Whole);
                confirm_entries(&mut reader);
            }
            Err(StoreError::Expired { .. }) => {
                reader.same_era();
                position = None;
                continue;
            }
            Err(StoreError::MorePages) => {
                reader.succeeded();
                startup::wait_for_nodes(&gateway, &mut reader.random).await;
                continue;
            }
            Err(error) => {
                reader.failed(&error).await;
                continue;
            }
        }
        let notified = reader.gateway.registry_notify.notified();
        let _ = tokio::time::timeout(REGISTRY_INTERVAL, notified).await;
    }
}

/// Confirms the entries that the store still lists, once in each era.
fn confirm_entries(reader: &mut StoreReader) {
    if reader.confirmed == Some(reader.era) || !reader.outlasts_silence() {
        return;
    }
    reader.confirmed = Some(reader.era);
    let gateway = &reader.gateway;
    let returned = gateway
        .registry
        .borrow_mut()
        .confirm_era(reader.era, gateway.now());
    upstreams_changed(gateway, returned, STORE_SOURCE);
}

async fn newest_registry(reader: &mut StoreReader) -> Result<Option<u64>, StoreError> {
    let timeout = reader.timeout();
    let max_pages = if startup::is_alone(&reader.gateway) {
        startup::ALONE_PAGES
    } else {
        usize::MAX
    };
    let trusted = reader.trusted();
    let gateway = reader.gateway.clone();
    // Calls can go to the upstreams of the first pages while the others are read.
    let is_paged = max_pages == usize::MAX;
    let on_page = |era: u64, records: &[KeyedRecord]| {
        if is_paged {
            apply_entries(&gateway, LogStart::unknown(era), records, trusted);
        }
    };
    let newest = reader
        .client
        .newest_within(names::UPSTREAM_TOPIC, timeout, max_pages, on_page);
    let snapshot = newest.await?;
    let same_era = reader.same_era();
    let trusted = reader.trusted();
    let start = reader.log_start(snapshot.end);
    if !is_paged {
        apply_entries(&gateway, start, &snapshot.records, trusted);
    }
    let listed: Vec<Box<str>> = snapshot
        .records
        .iter()
        .filter(|record| record.value.is_some())
        .map(|record| String::from_utf8_lossy(&record.key).into())
        .collect();
    let at = LogPlace {
        era: start.era,
        offset: snapshot.end,
    };
    let changed = gateway
        .registry
        .borrow_mut()
        .retain(&listed, Some(at), trusted, gateway.now());
    for key in changed {
        upstream_changed(&gateway, key, STORE_SOURCE);
    }
    Ok(same_era.then_some(snapshot.end))
}

async fn read_registry(reader: &mut StoreReader, from: u64) -> Result<Option<u64>, StoreError> {
    let reading = reader
        .client
        .read(names::UPSTREAM_TOPIC, from, Duration::ZERO, ANSWER_TIMEOUT);
    let batch = reading.await?;
    if !reader.same_era() {
        return Ok(None);
    }
    let trusted = reader.trusted();
    let start = reader.log_start(from);
    apply_entries(&reader.gateway, start, &batch.records, trusted);
    Ok(Some(batch.next))
}

/// Start of a reader's log in an era of the store.
#[derive(Clone, Copy, Debug)]
struct LogStart {
    era: u64,
    /// End of the log when it was first read: records before it may be from a copy.
    offset: u64,
}

impl LogStart {
    /// The start of a log whose end is not known yet.
    fn unknown(era: u64) -> Self {
        Self {
            era,
            offset: u64::MAX,
        }
    }

    fn record(self, offset: u64) -> EntryRecord {
        EntryRecord {
            era: self.era,
            offset,
            is_current: offset >= self.offset,
        }
    }
}

/// Applies records of the registry, which were read in a log with this start. If `trusted` is false,
/// a missing entry is not proof that its upstream has left.
fn apply_entries(gateway: &Gateway, start: LogStart, records: &[KeyedRecord], trusted: bool) {
    let now = gateway.now();
    let mut upstreams = Vec::new();
    for record in records {
        let id = String::from_utf8_lossy(&record.key);
        let entry_record = start.record(record.offset);
        let Some(value) = &record.value else {
            let change = RegistryChange::Removed {
                id: id.into(),
                at: Some(entry_record.place()),
            };
            upstreams.extend(gateway.registry.borrow_mut().apply(change, trusted, now));
            continue;
        };
        match entry::decode(&id, value, entry_record) {
            Ok(entry) => {
                let change = RegistryChange::Put(entry);
                upstreams.extend(gateway.registry.borrow_mut().apply(change, trusted, now));
            }
            Err(error) => log::warn!("the entry of upstream {id} is malformed: {error}"),
        }
    }
    upstreams_changed(gateway, upstreams, STORE_SOURCE);
}

/// Records and propagates the new states of upstreams. `source` is `store` or the node that they came
/// from.
pub fn upstreams_changed(gateway: &Gateway, upstreams: Vec<UpstreamKey>, source: &str) {
    let is_loaded = gateway.knows_all_upstreams();
    if !upstreams.is_empty() && is_loaded && gateway.is_reader() {
        gateway.propagate(GossipUrgency::All);
    }
    for key in upstreams {
        upstream_changed(gateway, key, source);
    }
}

/// Records the new state of an upstream, and closes idle connections to one that leaves.
pub fn upstream_changed(gateway: &Gateway, key: UpstreamKey, source: &str) {
    let registry = gateway.registry.borrow();
    let Some(upstream) = registry.get(key) else {
        return;
    };
    let left = upstream.left.map(|cause| cause.to_string());
    gateway.decisions.record(UpstreamDecision::UpstreamChanged {
        upstream: &upstream.entry.id,
        pool: &upstream.entry.pool,
        software: &upstream.entry.version,
        left: left.as_deref(),
        lapsed: upstream.lapsed_at.is_some(),
        source,
        written: upstream.entry.written,
        missing: upstream.missing,
    });
    if upstream.left.is_some() {
        gateway.connections.close(key);
    }
}

/// Removes upstreams whose lapsed entries were not written again in time.
async fn expire_lapsed(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(Duration::from_millis(250)).await;
        let health = gateway.store_health.get();
        let reachable = health
            .failed_at
            .is_none_or(|failed_at| health.recovered_at >= failed_at);
        if !reachable {
            continue;
        }
        let gone = gateway
            .registry
            .borrow_mut()
            .expire_lapsed(health.recovered_at, gateway.clock.now());
        for key in gone {
            upstream_changed(&gateway, key, STORE_SOURCE);
        }
    }
}
