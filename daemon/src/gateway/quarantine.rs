//! Quarantines calls under which upstreams crash, by their contents and the parts of their prompts, and
//! stores that so that a restarted fleet still rejects such calls.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use monsoonbank_kernel::gateway::crashes::CrashDecision;
use monsoonbank_kernel::gateway::crashes::evidence::{CrashReport, SuspectCall};
use monsoonbank_kernel::gateway::crashes::news::CrashNews;
use monsoonbank_kernel::gateway::crashes::quarantine::{QuarantineChange, QuarantineReport};
use monsoonbank_kernel::gateway::crashes::suspect::{CrashCause, SuspectKey};
use monsoonbank_kernel::gateway::gossip::GossipUrgency;
use monsoonbank_kernel::gateway::registry::UpstreamEntry;
use monsoonbank_platform::names;
use monsoonbank_platform::store::{KeyedRecord, StoreClient, StoreError};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::gateway::Gateway;
use crate::gateway::admission::Call;
use crate::gateway::attempt::AnswerProgress;
use crate::gateway::decisions::{CallDecision, StoreDecision, UpstreamDecision, millis};
use crate::gateway::startup;

/// Interval at which the keeper checks what has to be read or stored.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time within which the store has to begin its answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(800);
/// Backoff after a failed call to the store.
const FAILURE_BACKOFF: Duration = Duration::from_millis(800);
/// Prefix of the keys of stored crashes that led to no quarantine.
const CRASHES_PREFIX: &str = "crashes:";
/// Source in decision lines of reports that this node made.
const OWN_SOURCE: &str = "own";
/// Source in decision lines of reports that were read from the store.
const STORE_SOURCE: &str = "store";

/// Error for a call that is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("upstreams crashed under this call")]
pub struct QuarantineError {
    /// Time until such a call may be sent again.
    pub pause: Duration,
}

/// Checks whether a call may be sent. A trial is not started, so the check can be repeated while
/// the call waits.
///
/// # Errors
///
/// If the call is quarantined.
pub fn check(gateway: &Gateway, call: &Call) -> Result<(), QuarantineError> {
    match decide(gateway, call) {
        CrashDecision::Admitted | CrashDecision::Trial => Ok(()),
        CrashDecision::Quarantined { cause, pause } => Err(refuse(gateway, call, &cause, pause)),
    }
}

/// Checks that a call may be sent now and starts the trial if one is due. The caller has to send
/// the call at once.
///
/// # Errors
///
/// If the call is quarantined.
pub fn begin_send(gateway: &Gateway, call: &Call) -> Result<(), QuarantineError> {
    match decide(gateway, call) {
        CrashDecision::Admitted => Ok(()),
        CrashDecision::Trial => {
            let now = gateway.now();
            let mut ledger = gateway.crashes.borrow_mut();
            ledger.begin_trial(&call.suspects, now);
            gateway.propagate(GossipUrgency::All);
            Ok(())
        }
        CrashDecision::Quarantined { cause, pause } => Err(refuse(gateway, call, &cause, pause)),
    }
}

fn decide(gateway: &Gateway, call: &Call) -> CrashDecision {
    let now = gateway.now();
    let may_try = |hash| gateway.fleet.borrow().is_selected_hub(hash, now);
    let ledger = gateway.crashes.borrow();
    ledger.decide(&call.suspects, may_try, now)
}

fn refuse(gateway: &Gateway, call: &Call, cause: &CrashCause, pause: Duration) -> QuarantineError {
    gateway.metrics.quarantined_calls.inc();
    gateway.decisions.record(CallDecision::CallQuarantined {
        call: &call.head.id,
        content: &call.content.to_string(),
        cause: &cause.to_string(),
        crashes: crashes(gateway, cause.suspects()),
        pause_ms: millis(pause),
    });
    QuarantineError { pause }
}

/// Returns the number of crashes under calls with all of these properties, as far as they are counted.
fn crashes(gateway: &Gateway, suspects: &[SuspectKey]) -> usize {
    let ledger = gateway.crashes.borrow();
    let counts = suspects.iter().map(|suspect| ledger.crashes(*suspect));
    counts.min().unwrap_or(0)
}

/// Records that the connection to an upstream broke during a call whose answer had come this far.
pub fn record_crash(
    gateway: &Gateway,
    call: &Call,
    upstream: &UpstreamEntry,
    answer: &AnswerProgress,
) {
    let now = gateway.now();
    let written = answer.written(now);
    let suspects = call.suspects.iter().copied();
    let report = CrashReport {
        run: upstream.run_hash(),
        age_ms: 0,
        calls: vec![SuspectCall {
            sent_ms: millis(now.saturating_sub(answer.sent_at)),
            suspects: suspects
                .filter(|suspect| written < suspect.window())
                .collect(),
        }],
    };
    let changes = gateway.crashes.borrow_mut().record_crash(&report, now);
    let Some(changes) = changes else {
        return;
    };
    let content = SuspectKey::Content(call.content);
    gateway.decisions.record(UpstreamDecision::UpstreamBroke {
        call: &call.head.id,
        content: &call.content.to_string(),
        upstream: &upstream.id,
        crashes: gateway.crashes.borrow().crashes(content),
        sent_ms: millis(now.saturating_sub(answer.sent_at)),
        head: answer.head_at.is_some(),
        begun_ms: answer.begun_at.map(|at| millis(now.saturating_sub(at))),
    });
    gateway.propagate(GossipUrgency::Calls);
    record_changes(gateway, &changes, OWN_SOURCE);
}

/// Returns whether a call is not to be sent again after a crash, since calls like it crashed upstreams
/// before.
pub fn is_suspected(gateway: &Gateway, call: &Call) -> bool {
    gateway.crashes.borrow().is_suspected(&call.suspects)
}

/// Records that one more event of an answer arrived: what its call has in common with others does no
/// harm, once the answer has gone on for long enough.
pub fn record_event(gateway: &Gateway, call: &Call, answer: &mut AnswerProgress) {
    let now = gateway.now();
    let before = answer.proven;
    answer.proven = answer.written(now);
    let is_proven =
        |suspect: &SuspectKey| before < suspect.window() && suspect.window() <= answer.proven;
    let proven = call.suspects.iter().copied().filter(is_proven);
    let proven: Vec<SuspectKey> = proven.collect();
    if !proven.is_empty() {
        record_answer(gateway, &proven, answer);
    }
}

/// Records a successful answer.
pub fn record_success(gateway: &Gateway, call: &Call, answer: &AnswerProgress) {
    record_answer(gateway, &call.suspects, answer);
}

/// Records an answer that went on, which may end quarantines.
fn record_answer(gateway: &Gateway, suspects: &[SuspectKey], answer: &AnswerProgress) {
    let Some(began_at) = answer.begun_at.or(answer.head_at) else {
        return;
    };
    let now = gateway.now();
    let mut ledger = gateway.crashes.borrow_mut();
    let changes = ledger.record_answer(suspects, began_at, now);
    drop(ledger);
    record_changes(gateway, &changes, OWN_SOURCE);
}

/// Merges the news of another node or of the store.
pub fn merge_news(gateway: &Gateway, news: &CrashNews, source: &str) {
    let now = gateway.now();
    let changes = gateway.crashes.borrow_mut().receive(news, now);
    record_changes(gateway, &changes, source);
}

/// Judges crashes again that were too new to count.
pub fn update(gateway: &Gateway) {
    let now = gateway.now();
    let changes = gateway.crashes.borrow_mut().settle(now);
    record_changes(gateway, &changes, OWN_SOURCE);
}

/// Merges quarantines of another node or of the store.
pub fn merge_reports(gateway: &Gateway, reports: &[QuarantineReport], source: &str) {
    let now = gateway.now();
    let mut ledger = gateway.crashes.borrow_mut();
    let changes = ledger.receive_quarantines(reports, now);
    drop(ledger);
    record_changes(gateway, &changes, source);
}

/// Records changes of quarantines, and propagates them at once.
fn record_changes(gateway: &Gateway, changes: &[QuarantineChange], source: &str) {
    if changes.is_empty() {
        return;
    }
    let quarantined = gateway.crashes.borrow().quarantined();
    gateway
        .metrics
        .quarantined_causes
        .set(i64::try_from(quarantined).unwrap_or(i64::MAX));
    for change in changes {
        gateway
            .decisions
            .record(UpstreamDecision::QuarantineChanged {
                cause: &change.cause.to_string(),
                quarantined: change.quarantined,
                crashes: change.crashes,
                source,
            });
    }
    gateway.propagate(GossipUrgency::All);
}

/// Starts to read and store quarantines.
pub fn start(gateway: &Rc<Gateway>) {
    let keeper = QuarantineKeeper {
        client: StoreClient::new(gateway.settings.store.address),
        gateway: gateway.clone(),
        known: None,
    };
    tokio::task::spawn_local(run_keeper(keeper));
}

async fn run_keeper(mut keeper: QuarantineKeeper) {
    let gateway = keeper.gateway.clone();
    while gateway.leaving_since.get().is_none() {
        gateway.crashes.borrow_mut().expire(gateway.now());
        if gateway.is_reader()
            && !startup::is_alone(&gateway)
            && let Err(error) = keeper.step().await
        {
            keeper.failed(&error).await;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Records of the store's topic, as far as this node has read and written it.
struct StoredRecords {
    era: u64,
    end: u64,
    /// Digest of each record by its key.
    digests: BTreeMap<String, u64>,
}

/// What is stored of one property or cause.
#[derive(Serialize, Deserialize)]
enum StoredEvidence {
    /// A quarantine that began or ended.
    Quarantine(QuarantineReport),
    /// Crashes under calls with a property that is not quarantined.
    Crashes(SuspectKey, Vec<CrashReport>),
}

impl StoredEvidence {
    fn key(&self) -> String {
        match self {
            Self::Quarantine(report) => report.cause.to_string(),
            Self::Crashes(suspect, _) => format!("{CRASHES_PREFIX}{suspect}"),
        }
    }

    /// Hashes the state without its age, so that equal states need not be stored again.
    fn digest(&self) -> u64 {
        match self {
            Self::Quarantine(report) => {
                let quarantined = u64::from(report.quarantined);
                u64::from(report.round) << 16 | u64::from(report.trials) << 1 | quarantined
            }
            Self::Crashes(_, crashes) => crashes.len() as u64,
        }
    }
}

/// Reads the stored evidence once, and stores what is new.
struct QuarantineKeeper {
    gateway: Rc<Gateway>,
    client: StoreClient,
    known: Option<StoredRecords>,
}

impl QuarantineKeeper {
    async fn step(&mut self) -> Result<(), StoreError> {
        let era = self.gateway.store_era.get();
        let known = self.known.take();
        let known = match known.filter(|known| era.is_none_or(|era| era == known.era)) {
            Some(known) => known,
            None => self.read().await?,
        };
        let known = self.known.insert(known);
        let lasting = lasting_evidence(&self.gateway);
        let is_new = |evidence: &&StoredEvidence| {
            known.digests.get(&evidence.key()) != Some(&evidence.digest())
        };
        let unsaved: Vec<&StoredEvidence> = lasting.iter().filter(is_new).collect();
        let keys: BTreeSet<String> = lasting.iter().map(StoredEvidence::key).collect();
        let is_over = |key: &&String| key.starts_with(CRASHES_PREFIX) && !keys.contains(*key);
        let over: Vec<String> = known.digests.keys().filter(is_over).cloned().collect();
        if unsaved.is_empty() && over.is_empty() {
            return Ok(());
        }
        self.append(&unsaved, &over).await
    }

    async fn read(&mut self) -> Result<StoredRecords, StoreError> {
        let read = self
            .client
            .newest(names::CRASH_TOPIC, STORE_TIMEOUT)
            .await?;
        self.count("answered");
        self.gateway.observe_store_era(self.client.era());
        let records = read.records.iter();
        let stored: Vec<StoredEvidence> =
            records.filter_map(|record| self.decode(record)).collect();
        let digests = stored
            .iter()
            .map(|evidence| (evidence.key(), evidence.digest()));
        let digests = digests.collect();
        let mut news = CrashNews::default();
        for evidence in stored {
            match evidence {
                StoredEvidence::Quarantine(report) => news.quarantines.push(report),
                StoredEvidence::Crashes(_, crashes) => news.crashes.extend(crashes),
            }
        }
        merge_news(&self.gateway, &news, STORE_SOURCE);
        Ok(StoredRecords {
            era: self.client.era(),
            end: read.end,
            digests,
        })
    }

    /// Stores evidence and removes that with the keys `over`, unless another node has written since the
    /// last read; the next step then reads first.
    async fn append(
        &mut self,
        evidence: &[&StoredEvidence],
        over: &[String],
    ) -> Result<(), StoreError> {
        let Some(known) = self.known.take() else {
            return Ok(());
        };
        let stored = evidence.iter().map(|evidence| self.encode(evidence));
        let removed = over
            .iter()
            .map(|key| (key.clone().into_bytes(), Vec::new()));
        let records: Vec<(Vec<u8>, Vec<u8>)> = stored.chain(removed).collect();
        let appended = self
            .client
            .append(names::CRASH_TOPIC, known.end, &records, STORE_TIMEOUT)
            .await;
        self.gateway.observe_store_era(self.client.era());
        let place = match appended {
            Err(StoreError::EndMismatch) => {
                self.count("answered");
                return Ok(());
            }
            place => place?,
        };
        self.count("answered");
        let mut known = StoredRecords {
            end: place.end,
            ..known
        };
        for key in over {
            known.digests.remove(key);
        }
        let digests = evidence
            .iter()
            .map(|evidence| (evidence.key(), evidence.digest()));
        known.digests.extend(digests);
        self.known = Some(known);
        Ok(())
    }

    fn encode(&self, evidence: &StoredEvidence) -> (Vec<u8>, Vec<u8>) {
        let unix_ms = millis(self.gateway.unix_now());
        let mut value = Vec::new();
        if let Err(error) = ciborium::into_writer(&(evidence, unix_ms), &mut value) {
            log::error!("cannot encode evidence of crashes: {error}");
        }
        (evidence.key().into_bytes(), value)
    }

    fn decode(&self, record: &KeyedRecord) -> Option<StoredEvidence> {
        let decoded = ciborium::from_reader::<(StoredEvidence, u64), _>(record.value.as_deref()?);
        let (evidence, unix_ms) = match decoded {
            Ok(stored) => stored,
            Err(error) => {
                log::warn!("stored evidence of crashes is malformed: {error}");
                return None;
            }
        };
        let since = millis(self.gateway.unix_now()).saturating_sub(unix_ms);
        Some(match evidence {
            StoredEvidence::Quarantine(mut report) => {
                report.age_ms = report.age_ms.saturating_add(since);
                StoredEvidence::Quarantine(report)
            }
            StoredEvidence::Crashes(suspect, mut crashes) => {
                for crash in &mut crashes {
                    crash.age_ms = crash.age_ms.saturating_add(since);
                }
                StoredEvidence::Crashes(suspect, crashes)
            }
        })
    }

    async fn failed(&self, error: &StoreError) {
        self.count("failed");
        let reason = error.to_string();
        self.gateway.decisions.record(StoreDecision::StoreLost {
            reader: "quarantine",
            reason: &reason,
        });
        tokio::time::sleep(FAILURE_BACKOFF).await;
    }

    fn count(&self, outcome: &str) {
        let calls = &self.gateway.metrics.store_calls;
        calls.with_label_values(&["quarantine", outcome]).inc();
    }
}

/// Returns what a fleet that starts anew has to know.
fn lasting_evidence(gateway: &Gateway) -> Vec<StoredEvidence> {
    let now = gateway.now();
    let ledger = gateway.crashes.borrow();
    let quarantines = ledger.quarantine_reports(now).into_iter();
    let suspicions = ledger.suspicions(now).into_iter();
    quarantines
        .map(StoredEvidence::Quarantine)
        .chain(suspicions.map(|(suspect, crashes)| StoredEvidence::Crashes(suspect, crashes)))
        .collect()
}
