//! Follows the platform's store: the operator's configuration and the upstreams' registry.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use monsoonbank_kernel::clock::Clock;
use monsoonbank_kernel::gateway::gossip::GossipUrgency;
use monsoonbank_kernel::gateway::registry::{RegistryChange, UpstreamKey};
use monsoonbank_platform::store::{KeyedRecord, StoreClient, StoreError};
use monsoonbank_platform::{configuration, entry, names};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::gateway::Gateway;
use crate::gateway::decisions::{Decision, millis};

/// How long the store keeps a read of the configuration waiting. A connection that has fallen
/// silent shows after this and `PATIENCE`; each answer without news costs one call.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(2500);
/// Time between two reads of the registry: an upstream that leaves has to be known well within
/// two seconds, and each read is one call.
const REGISTRY_PAUSE: Duration = Duration::from_millis(700);
/// Time beyond the wait that the store gets to begin its answer.
const PATIENCE: Duration = Duration::from_millis(800);
/// How often `PATIENCE` is doubled at most for an answer that may be large: many nodes that read 2 MB
/// each keep a store that sends 80 MB a second busy for seconds, and who gives up and asks again only
/// adds to that.
const MOST_DOUBLINGS: u32 = 2;
/// Time between two looks of a node that does not read at whether it should.
const TURN_PAUSE: Duration = Duration::from_millis(250);
/// Time that a starting node leaves to the seeds, which read the store at once: they and the hubs then
/// pass on what all others need. Up to as much again is waited at random.
const SEEDS_TIME: Duration = Duration::from_millis(150);
/// Time after which a starting node that still lacks something reads the store, whoever else does.
const LONGEST_START: Duration = Duration::from_secs(4);
/// Time between two looks of a starting node at whether others gave it what it lacks.
const START_PAUSE: Duration = Duration::from_millis(20);
/// First pause after a failed call; doubles up to `LONGEST_PAUSE`.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call: the store's return shows within this.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// When the process started, as a number that grows with each start.
pub fn start_time() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    millis(since)
}

/// Starts both readers.
pub fn start(gateway: &Rc<Gateway>, seed: u64) {
    let random = |stream: u64| Pcg64Mcg::seed_from_u64(seed ^ stream);
    let configuration = StoreReader::new(gateway, "configuration", random(1));
    tokio::task::spawn_local(follow_configuration(configuration));
    let registry = StoreReader::new(gateway, "registry", random(2));
    tokio::task::spawn_local(follow_registry(registry));
    tokio::task::spawn_local(settle_lapsed(gateway.clone()));
}

/// A reader with its own connection and its own pauses after failures.
struct StoreReader {
    gateway: Rc<Gateway>,
    client: StoreClient,
    name: &'static str,
    random: Pcg64Mcg,
    failures: u32,
    timeouts: u32,
    lost_since: Option<Duration>,
    counted_bytes: usize,
    /// The era that the reader's position in the log belongs to.
    era: u64,
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
        }
    }

    /// Takes in the era of the answer that came last. Gives whether offsets known before still count: not
    /// if the store came back from an older copy, also not if the answer is from before that.
    fn same_era(&mut self) -> bool {
        let era = self.client.era();
        self.gateway.observe_store_era(era);
        let known = std::mem::replace(&mut self.era, era);
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
        let mut view = self.gateway.store_health.get();
        view.recovered_at = now;
        self.gateway.store_health.set(view);
        self.gateway.configuration_notify.notify_waiters();
        let lost_ms = millis(now.saturating_sub(since));
        self.gateway.decisions.record(&Decision::StoreBack {
            reader: self.name,
            lost_ms,
        });
    }

    async fn failed(&mut self, error: &StoreError) {
        self.count("failed", "wasted");
        let now = self.gateway.now();
        let mut view = self.gateway.store_health.get();
        view.failed_at = Some(now);
        self.gateway.store_health.set(view);
        if self.lost_since.is_none() {
            self.lost_since = Some(now);
            let reason = error.to_string();
            self.gateway.decisions.record(&Decision::StoreLost {
                reader: self.name,
                reason: &reason,
            });
        }
        let pause = FIRST_PAUSE * 2_u32.pow(self.failures.min(4));
        self.failures += 1;
        if matches!(error, StoreError::TimedOut | StoreError::Body(_)) {
            self.timeouts += 1;
        }
        let pause = pause
            .min(LONGEST_PAUSE)
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

    /// Time for an answer that may be large to begin.
    fn patience(&self) -> Duration {
        PATIENCE * 2_u32.pow(self.timeouts.min(MOST_DOUBLINGS))
    }

    /// Whether the store has been well for long enough to trust that a missing entry means leaving.
    fn trusted(&self) -> bool {
        !self.gateway.store_suspect()
    }
}

/// Waits until it is this node's turn to read the store for its availability zone, or until `needed`
/// says that it must read all the same.
async fn readers_turn(gateway: &Gateway, needed: impl Fn() -> bool) {
    while !gateway.is_reader() && !needed() {
        tokio::time::sleep(TURN_PAUSE).await;
    }
}

/// Waits until others have given a starting node what it lacks, or until it has to read the store for
/// it. When all nodes start at once, a few read for all.
async fn start_turn(reader: &mut StoreReader, has: impl Fn(&Gateway) -> bool) {
    let gateway = reader.gateway.clone();
    let own = gateway.settings.peers.ip;
    let mut seeds = gateway.settings.peers.seeds.iter();
    if seeds.any(|seed| seed.ip() == own) {
        return;
    }
    let started = gateway.now();
    let first = started + SEEDS_TIME.mul_f64(reader.random.random_range(1.0..2.0));
    while !has(&gateway) {
        let now = gateway.now();
        if now >= first && gateway.is_reader() || now >= started + LONGEST_START {
            return;
        }
        tokio::time::sleep(START_PAUSE).await;
    }
}

async fn follow_configuration(mut reader: StoreReader) {
    let mut position = None;
    start_turn(&mut reader, |gateway| gateway.version() > 0).await;
    loop {
        let gateway = reader.gateway.clone();
        if gateway.version() > 0 {
            readers_turn(&gateway, || gateway.lags_behind()).await;
        }
        let outcome = match position {
            None => newest_configuration(&mut reader).await,
            Some(from) => more_configuration(&mut reader, from).await,
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

/// Reads the newest configuration. Gives where to go on; none if the pages are not of one era.
async fn newest_configuration(reader: &mut StoreReader) -> Result<Option<u64>, StoreError> {
    let patience = reader.patience();
    let snapshot = reader
        .client
        .newest(names::OPERATOR_TOPIC, patience)
        .await?;
    let same_era = reader.same_era();
    take_configurations(&reader.gateway, &snapshot.records);
    Ok(same_era.then_some(snapshot.end))
}

/// Reads on. Gives where to go on; none if the log is another one than before.
async fn more_configuration(
    reader: &mut StoreReader,
    from: u64,
) -> Result<Option<u64>, StoreError> {
    let gateway = reader.gateway.clone();
    let wait = if gateway.store_suspect() || !gateway.is_reader() {
        Duration::ZERO
    } else {
        CONFIGURATION_WAIT
    };
    let patience = reader.patience();
    let reading = reader
        .client
        .read(names::OPERATOR_TOPIC, from, wait, patience);
    let batch = tokio::select! {
        batch = reading => batch?,
        () = gateway.configuration_notify.notified() => {
            reader.client.reconnect();
            let again = reader.client.read(names::OPERATOR_TOPIC, from, Duration::ZERO, patience);
            again.await?
        }
    };
    if !reader.same_era() {
        return Ok(None);
    }
    take_configurations(&gateway, &batch.records);
    if wait.is_zero() && batch.records.is_empty() {
        tokio::time::sleep(REGISTRY_PAUSE).await;
    }
    Ok(Some(batch.next))
}

/// Names the store as the source of a configuration.
const STORE_SOURCE: &str = "store";

fn take_configurations(gateway: &Gateway, records: &[KeyedRecord]) {
    for record in records
        .iter()
        .filter(|record| record.key == names::CONFIGURATION_KEY)
    {
        if let Some(value) = &record.value {
            apply_configuration(gateway, value, STORE_SOURCE);
        }
    }
}

/// Puts a configuration in force if it is newer than the one in force.
pub fn apply_configuration(gateway: &Gateway, bytes: &Bytes, source: &str) {
    let started = gateway.now();
    let rules = match configuration::decode(bytes) {
        Ok(rules) => rules,
        Err(error) => {
            let reason = error.to_string();
            gateway.decisions.record(&Decision::ConfigurationRejected {
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
    gateway.decisions.record(&Decision::ConfigurationApplied {
        version: rules.version,
        rules: rules.rule_count(),
        source,
        bytes: bytes.len(),
        decode_us: u64::try_from(decoded.saturating_sub(started).as_micros()).unwrap_or(u64::MAX),
        lag_ms: lag.map(millis),
    });
    gateway
        .metrics
        .version
        .set(i64::try_from(rules.version).unwrap_or(i64::MAX));
    *gateway.table.borrow_mut() = Some(Rc::new(rules));
    gateway.texts.borrow_mut().put(bytes.clone());
    if source == STORE_SOURCE || gateway.is_hub() {
        gateway.propagate(GossipUrgency::All);
    }
}

async fn follow_registry(mut reader: StoreReader) {
    let mut position = None;
    start_turn(&mut reader, |gateway| {
        gateway.store_health.get().registry_loaded
    })
    .await;
    loop {
        if reader.gateway.store_health.get().registry_loaded {
            readers_turn(&reader.gateway, || false).await;
        }
        let outcome = match position {
            None => newest_registry(&mut reader).await,
            Some(from) => more_registry(&mut reader, from).await,
        };
        match outcome {
            Ok(next) => {
                reader.succeeded();
                position = next;
                let mut view = reader.gateway.store_health.get();
                view.registry_loaded = true;
                reader.gateway.store_health.set(view);
            }
            Err(StoreError::Expired { .. }) => {
                reader.same_era();
                position = None;
                continue;
            }
            Err(error) => {
                reader.failed(&error).await;
                continue;
            }
        }
        let nudge = reader.gateway.registry_notify.notified();
        let _ = tokio::time::timeout(REGISTRY_PAUSE, nudge).await;
    }
}

async fn newest_registry(reader: &mut StoreReader) -> Result<Option<u64>, StoreError> {
    let patience = reader.patience();
    let snapshot = reader
        .client
        .newest(names::UPSTREAM_TOPIC, patience)
        .await?;
    let same_era = reader.same_era();
    let trusted = reader.trusted();
    let gateway = &reader.gateway;
    take_entries(gateway, &snapshot.records, trusted);
    let listed: Vec<Box<str>> = snapshot
        .records
        .iter()
        .filter(|record| record.value.is_some())
        .map(|record| String::from_utf8_lossy(&record.key).into())
        .collect();
    let changed = gateway
        .registry
        .borrow_mut()
        .retain(&listed, trusted, gateway.now());
    for key in changed {
        upstream_changed(gateway, key);
    }
    Ok(same_era.then_some(snapshot.end))
}

async fn more_registry(reader: &mut StoreReader, from: u64) -> Result<Option<u64>, StoreError> {
    let reading = reader
        .client
        .read(names::UPSTREAM_TOPIC, from, Duration::ZERO, PATIENCE);
    let batch = reading.await?;
    if !reader.same_era() {
        return Ok(None);
    }
    let trusted = reader.trusted();
    take_entries(&reader.gateway, &batch.records, trusted);
    Ok(Some(batch.next))
}

fn take_entries(gateway: &Gateway, records: &[KeyedRecord], trusted: bool) {
    let changes = records.iter().filter_map(|record| {
        let id = String::from_utf8_lossy(&record.key);
        let Some(value) = &record.value else {
            return Some(RegistryChange::Removed(id.into()));
        };
        match entry::decode(&id, value) {
            Ok(entry) => Some(RegistryChange::Put(entry)),
            Err(error) => {
                log::warn!("the entry of upstream {id} is malformed: {error}");
                None
            }
        }
    });
    apply_changes(gateway, changes, trusted);
}

/// Takes changes of the registry in and writes down what they change.
pub fn apply_changes(
    gateway: &Gateway,
    changes: impl IntoIterator<Item = RegistryChange>,
    trusted: bool,
) {
    let now = gateway.now();
    let mut upstreams = Vec::new();
    for change in changes {
        let keys = gateway.registry.borrow_mut().apply(change, trusted, now);
        upstreams.extend(keys);
    }
    if !upstreams.is_empty() && gateway.is_reader() {
        gateway.propagate(GossipUrgency::All);
    }
    for key in upstreams {
        upstream_changed(gateway, key);
    }
}

/// Writes down what is believed of an upstream now, and closes what is kept to one that leaves.
pub fn upstream_changed(gateway: &Gateway, key: UpstreamKey) {
    let registry = gateway.registry.borrow();
    let Some(upstream) = registry.get(key) else {
        return;
    };
    let left = upstream.left.map(|cause| cause.to_string());
    gateway.decisions.record(&Decision::UpstreamChanged {
        upstream: &upstream.entry.id,
        pool: &upstream.entry.pool,
        left: left.as_deref(),
        lapsed: upstream.lapsed_at.is_some(),
    });
    if upstream.left.is_some() {
        gateway.connections.close(key);
    }
}

/// Gives up upstreams whose lapsed entries did not come back.
async fn settle_lapsed(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(Duration::from_millis(250)).await;
        let view = gateway.store_health.get();
        let sound = view
            .failed_at
            .is_none_or(|failed_at| view.recovered_at >= failed_at);
        if !sound {
            continue;
        }
        let gone = gateway
            .registry
            .borrow_mut()
            .expire_lapsed(view.recovered_at, gateway.clock.now());
        for key in gone {
            upstream_changed(&gateway, key);
        }
    }
}
