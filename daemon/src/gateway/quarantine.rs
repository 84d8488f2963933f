//! Quarantines the contents of calls under which upstreams crash, and stores them so that a
//! restarted fleet still rejects such calls.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use monsoonbank_kernel::gateway::content::ContentDigest;
use monsoonbank_kernel::gateway::crashes::{ContentDecision, CrashChange, CrashReport};
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
/// Source in decision lines of reports that this node made.
const OWN_SOURCE: &str = "own";
/// Source in decision lines of reports that were read from the store.
const STORE_SOURCE: &str = "store";

/// Error for a call whose content is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("upstreams crashed under this call")]
pub struct QuarantineError {
    /// Time until the content may be sent again.
    pub pause: Duration,
}

/// Checks whether a call may be sent. A trial is not started, so the check can be repeated while
/// the call waits.
///
/// # Errors
///
/// If the call's content is quarantined.
pub fn check(gateway: &Gateway, call: &Call) -> Result<(), QuarantineError> {
    match decide(gateway, call) {
        ContentDecision::Admitted | ContentDecision::Trial => Ok(()),
        ContentDecision::Quarantined { pause } => Err(refuse(gateway, call, pause)),
    }
}

/// Checks that a call may be sent now and starts the trial if one is due. The caller has to send
/// the call at once.
///
/// # Errors
///
/// If the call's content is quarantined.
pub fn begin_send(gateway: &Gateway, call: &Call) -> Result<(), QuarantineError> {
    match decide(gateway, call) {
        ContentDecision::Admitted => Ok(()),
        ContentDecision::Trial => {
            let now = gateway.now();
            gateway.crashes.borrow_mut().begin_trial(call.content, now);
            gateway.propagate(GossipUrgency::All);
            Ok(())
        }
        ContentDecision::Quarantined { pause } => Err(refuse(gateway, call, pause)),
    }
}

fn decide(gateway: &Gateway, call: &Call) -> ContentDecision {
    let now = gateway.now();
    let may_try = || {
        gateway
            .fleet
            .borrow()
            .is_selected_hub(call.content.into(), now)
    };
    gateway.crashes.borrow().decide(call.content, may_try, now)
}

fn refuse(gateway: &Gateway, call: &Call, pause: Duration) -> QuarantineError {
    gateway.metrics.quarantined_calls.inc();
    gateway.decisions.record(CallDecision::CallQuarantined {
        call: &call.head.id,
        content: &call.content.to_string(),
        crashes: gateway.crashes.borrow().crashes(call.content),
        pause_ms: millis(pause),
    });
    QuarantineError { pause }
}

/// Records that the connection to an upstream broke during a call whose answer had come this far.
pub fn record_crash(
    gateway: &Gateway,
    call: &Call,
    upstream: &UpstreamEntry,
    answer: AnswerProgress,
) {
    let now = gateway.now();
    let run = upstream.run_hash();
    let change = gateway
        .crashes
        .borrow_mut()
        .record_crash(call.content, run, now);
    if change == CrashChange::Unchanged {
        return;
    }
    gateway.decisions.record(UpstreamDecision::UpstreamBroke {
        call: &call.head.id,
        content: &call.content.to_string(),
        upstream: &upstream.id,
        crashes: gateway.crashes.borrow().crashes(call.content),
        sent_ms: millis(now.saturating_sub(answer.sent_at)),
        head: answer.has_head,
        begun_ms: answer.begun_at.map(|at| millis(now.saturating_sub(at))),
    });
    gateway.propagate(GossipUrgency::Calls);
    record_change(gateway, call.content, change, OWN_SOURCE);
}

/// Records a successful answer, which may end the quarantine of the call's content.
pub fn record_success(gateway: &Gateway, call: &Call) {
    let now = gateway.now();
    if gateway
        .crashes
        .borrow_mut()
        .record_answer(call.content, now)
    {
        gateway.propagate(GossipUrgency::All);
        record_change(gateway, call.content, CrashChange::Cleared, OWN_SOURCE);
    }
}

/// Merges reports of another node or of the store.
pub fn merge_reports(gateway: &Gateway, reports: &[CrashReport], source: &str) {
    let now = gateway.now();
    for report in reports {
        let change = gateway.crashes.borrow_mut().receive(report, now);
        record_change(gateway, report.content, change, source);
    }
}

/// Records a change of a quarantine, and propagates it at once.
fn record_change(gateway: &Gateway, content: ContentDigest, change: CrashChange, source: &str) {
    let is_quarantined = match change {
        CrashChange::Unchanged | CrashChange::Updated => return,
        CrashChange::Quarantined => true,
        CrashChange::Cleared => false,
    };
    let ledger = gateway.crashes.borrow();
    gateway
        .metrics
        .quarantined_contents
        .set(i64::try_from(ledger.quarantined()).unwrap_or(i64::MAX));
    gateway
        .decisions
        .record(UpstreamDecision::QuarantineChanged {
            content: &content.to_string(),
            quarantined: is_quarantined,
            crashes: ledger.crashes(content),
            source,
        });
    gateway.propagate(GossipUrgency::All);
}

/// Starts to read and store quarantined contents.
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

/// Contents of the store's topic, as far as this node has read and written it.
struct StoredReports {
    era: u64,
    end: u64,
    digests: BTreeMap<ContentDigest, u64>,
}

/// A stored report, with the Unix time of writing, which stays valid across restarts.
#[derive(Serialize, Deserialize)]
struct StoredReport {
    report: CrashReport,
    unix_ms: u64,
}

/// Reads the stored reports once, and stores new ones.
struct QuarantineKeeper {
    gateway: Rc<Gateway>,
    client: StoreClient,
    known: Option<StoredReports>,
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
        let now = self.gateway.now();
        let settled = self.gateway.crashes.borrow().decided_reports(now);
        let is_new = |report: &&CrashReport| {
            known.digests.get(&report.content) != Some(&state_digest(report))
        };
        let unsaved: Vec<CrashReport> = settled.iter().filter(is_new).cloned().collect();
        if unsaved.is_empty() {
            return Ok(());
        }
        self.append(&unsaved).await
    }

    async fn read(&mut self) -> Result<StoredReports, StoreError> {
        let read = self
            .client
            .newest(names::CRASH_TOPIC, STORE_TIMEOUT)
            .await?;
        self.count("answered");
        self.gateway.observe_store_era(self.client.era());
        let reports: Vec<CrashReport> = read
            .records
            .iter()
            .filter_map(|record| self.decode(record))
            .collect();
        merge_reports(&self.gateway, &reports, STORE_SOURCE);
        let digests = reports
            .iter()
            .map(|report| (report.content, state_digest(report)));
        Ok(StoredReports {
            era: self.client.era(),
            end: read.end,
            digests: digests.collect(),
        })
    }

    /// Stores reports, unless another node has written since the last read; the next step then
    /// reads first.
    async fn append(&mut self, reports: &[CrashReport]) -> Result<(), StoreError> {
        let Some(known) = self.known.take() else {
            return Ok(());
        };
        let records: Vec<(Vec<u8>, Vec<u8>)> =
            reports.iter().map(|report| self.encode(report)).collect();
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
        let mut known = StoredReports {
            end: place.end,
            ..known
        };
        let digests = reports
            .iter()
            .map(|report| (report.content, state_digest(report)));
        known.digests.extend(digests);
        self.known = Some(known);
        Ok(())
    }

    fn encode(&self, report: &CrashReport) -> (Vec<u8>, Vec<u8>) {
        let stored = StoredReport {
            report: report.clone(),
            unix_ms: millis(self.gateway.unix_now()),
        };
        let mut value = Vec::new();
        if let Err(error) = ciborium::into_writer(&stored, &mut value) {
            log::error!("cannot encode the report of a quarantined call: {error}");
        }
        (report.content.to_string().into_bytes(), value)
    }

    fn decode(&self, record: &KeyedRecord) -> Option<CrashReport> {
        match ciborium::from_reader::<StoredReport, _>(record.value.as_deref()?) {
            Ok(stored) => {
                let since = millis(self.gateway.unix_now()).saturating_sub(stored.unix_ms);
                Some(CrashReport {
                    age_ms: stored.report.age_ms.saturating_add(since),
                    ..stored.report
                })
            }
            Err(error) => {
                log::warn!("a stored report of a quarantined call is malformed: {error}");
                None
            }
        }
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

/// Hashes the state of a report without its age, so that equal states need not be stored again.
fn state_digest(report: &CrashReport) -> u64 {
    let is_quarantined = u64::from(report.is_quarantined());
    u64::from(report.round) << 16 | u64::from(report.trials) << 1 | is_quarantined
}
