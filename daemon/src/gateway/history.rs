//! Reads the registry's log once for what this node cannot know of the time before its start.

use std::cell::Cell;
use std::time::Duration;

use monsoonbank_kernel::gateway::history::{LogHistory, LogPart};
use monsoonbank_kernel::gateway::registry::{EntryRecord, LogPlace, RegistryChange};
use monsoonbank_platform::store::{KeyedRecord, StoreClient, StoreError};
use monsoonbank_platform::{entry, names};
use thiserror::Error;
use tokio::sync::OnceCell;

use crate::gateway::Gateway;
use crate::gateway::decisions::{StoreDecision, millis};

/// Time for all reads together, since callers wait for them.
const READ_TIME: Duration = Duration::from_secs(1);
/// Time for one read.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of reads, of at most 1 MiB each.
const MAX_READS: usize = 6;
/// Time after a failure for which the log is not read again.
const FAILED_PAUSE: Duration = Duration::from_secs(1);

/// Reason why the log shows nothing.
#[derive(Debug, Error)]
enum HistoryError {
    #[error("{0}")]
    Store(#[from] StoreError),
    #[error("the store came back from an older copy")]
    OlderCopy,
    #[error("it is too long")]
    TooLong,
    #[error("the store took too long")]
    TimedOut,
    #[error("it was not read a moment ago")]
    Paused,
}

/// The registry's log as far as it was read.
#[derive(Debug, Default)]
pub struct HistoryBook {
    history: OnceCell<LogHistory>,
    failed_at: Cell<Option<Duration>>,
}

/// Returns what the registry's log shows, which is read on first use; `None` if it cannot be read, or if
/// the store's copy of it may lack records.
pub async fn get(gateway: &Gateway) -> Option<&LogHistory> {
    let history = &gateway.history.history;
    // The line of the read has the error.
    history.get_or_try_init(|| load(gateway)).await.ok()
}

async fn load(gateway: &Gateway) -> Result<LogHistory, HistoryError> {
    let failed_at = gateway.history.failed_at.get();
    if failed_at.is_some_and(|at| gateway.now() < at + FAILED_PAUSE) {
        return Err(HistoryError::Paused);
    }
    let loaded = tokio::time::timeout(READ_TIME, read(gateway)).await;
    let outcome = loaded.unwrap_or(Err(HistoryError::TimedOut));
    if outcome.is_err() {
        gateway.history.failed_at.set(Some(gateway.now()));
    }
    let error = outcome.as_ref().err().map(ToString::to_string);
    gateway.decisions.record(StoreDecision::HistoryRead {
        covered_ms: outcome
            .as_ref()
            .ok()
            .and_then(LogHistory::covered)
            .map(millis),
        error: error.as_deref(),
    });
    let label = if outcome.is_ok() {
        "answered"
    } else {
        "failed"
    };
    let calls = &gateway.metrics.store_calls;
    calls.with_label_values(&["history", label]).inc();
    outcome
}

async fn read(gateway: &Gateway) -> Result<LogHistory, HistoryError> {
    let mut client = StoreClient::new(gateway.settings.store.address);
    let mut records: Vec<KeyedRecord> = Vec::new();
    let mut from = 0;
    let mut part = LogPart::Whole;
    for _ in 0..MAX_READS {
        let reading = client.read(names::UPSTREAM_TOPIC, from, Duration::ZERO, ANSWER_TIMEOUT);
        let batch = match reading.await {
            Ok(batch) => batch,
            Err(StoreError::Expired { first }) => {
                records.clear();
                from = first;
                let interval = gateway.settings.times.entry_interval;
                part = LogPart::Retained { interval };
                continue;
            }
            Err(error) => return Err(error.into()),
        };
        // Records that the copy lacks show in no offset, and it is not known when they were lost.
        if client.era() > 0 {
            return Err(HistoryError::OlderCopy);
        }
        if batch.records.is_empty() {
            let changes = records.iter().filter_map(decode);
            return Ok(LogHistory::new(changes, part, gateway.now()));
        }
        from = batch.next;
        records.extend(batch.records);
    }
    Err(HistoryError::TooLong)
}

fn decode(record: &KeyedRecord) -> Option<RegistryChange> {
    let id = String::from_utf8_lossy(&record.key);
    let place = LogPlace {
        era: 0,
        offset: record.offset,
    };
    let Some(value) = &record.value else {
        return Some(RegistryChange::Removed {
            id: id.into(),
            at: Some(place),
        });
    };
    match entry::decode(&id, value, EntryRecord::at(place)) {
        Ok(entry) => Some(RegistryChange::Put(entry)),
        Err(error) => {
            log::warn!("the entry of upstream {id} is malformed: {error}");
            None
        }
    }
}
