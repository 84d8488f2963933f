//! HTTP clients of the platform's services: the append-only log and the host list.

use std::sync::Arc;
use std::time::Duration;

use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::membership::HostEntry;
use monsoonbank_kernel::record::{AppendResult, AppendTicket, LogRecord, Record};
use monsoonbank_kernel::transfer::{self, TransferMonitor};
use reqwest::StatusCode;
use reqwest::header::CONTENT_TYPE;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;
use tokio::time::timeout;

use crate::shared::NodeShared;

/// Time for which the log may delay the response to a read until new records arrive (long polling).
const READ_WAIT: Duration = Duration::from_secs(5);
/// Time limit for the start of a response, beyond the requested delay, and for each pause within it.
/// It is thousands of times the usual response time of the log and the host list, and short compared
/// with their outages.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of an append, beyond the transfer time of the record at the lowest accepted rate.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of records in one read.
const READ_LIMIT: usize = 1_000;

#[derive(Deserialize)]
struct LogPage {
    end: u64,
    records: Vec<LogRow>,
}

#[derive(Deserialize)]
struct LogRow {
    offset: u64,
    record: Value,
}

#[derive(Deserialize)]
struct LogStart {
    first: u64,
}

#[derive(Deserialize)]
struct LogPlace {
    offset: u64,
}

/// Reads the log from an offset, in its own task. The result is sent to the kernel as an event.
pub fn read_log(shared: &Arc<NodeShared>, from: u64) {
    let own = Arc::clone(shared);
    shared.spawn(async move {
        let event = read(&own, from).await.unwrap_or_else(|error| {
            log::debug!("event=log_unavailable reason=\"{error}\"");
            Event::LogUnavailable
        });
        own.send_event(event);
    });
}

/// Reason why a request to the platform failed.
#[derive(Debug, Error)]
enum PlatformError {
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    #[error("no answer in time")]
    TimedOut,
    #[error("the answer stalled, {received} bytes came")]
    Stalled { received: usize },
    #[error("refused with status {0}")]
    Refused(StatusCode),
    #[error("the answer is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// Sends a GET request and reads the whole response, which the server may delay by `wait`.
async fn fetch(
    shared: &NodeShared,
    url: &str,
    wait: Duration,
) -> Result<(StatusCode, Vec<u8>), PlatformError> {
    let sent = timeout(wait + RESPONSE_TIMEOUT, shared.client.get(url).send()).await;
    let mut response = sent.map_err(|_| PlatformError::TimedOut)??;
    let mut pace = TransferMonitor::new(RESPONSE_TIMEOUT, shared.now());
    let mut body = Vec::new();
    loop {
        let Ok(chunk) = timeout(pace.time_left(shared.now()), response.chunk()).await else {
            let received = pace.received();
            return Err(PlatformError::Stalled { received });
        };
        let Some(chunk) = chunk? else {
            return Ok((response.status(), body));
        };
        pace.record_chunk(chunk.len());
        body.extend_from_slice(&chunk);
    }
}

async fn read(shared: &NodeShared, from: u64) -> Result<Event, PlatformError> {
    let base = &shared.settings.platform.log;
    let wait = READ_WAIT.as_millis();
    let url = format!("{base}/records?from={from}&wait_ms={wait}&limit={READ_LIMIT}");
    let (status, body) = fetch(shared, &url, READ_WAIT).await?;
    if status == StatusCode::GONE {
        let start: LogStart = serde_json::from_slice(&body)?;
        return Ok(Event::LogTruncated { first: start.first });
    }
    if !status.is_success() {
        return Err(PlatformError::Refused(status));
    }
    let page: LogPage = serde_json::from_slice(&body)?;
    let records = page.records.into_iter().map(parse_record).collect();
    Ok(Event::LogRead {
        records,
        end: page.end,
    })
}

fn parse_record(row: LogRow) -> LogRecord {
    LogRecord {
        offset: row.offset,
        record: serde_json::from_value(row.record).ok(),
    }
}

/// Appends a record to the log, in its own task. The result is sent to the kernel as an event.
pub fn append(shared: &Arc<NodeShared>, ticket: AppendTicket, record: Record) {
    let own = Arc::clone(shared);
    shared.spawn(async move {
        let result = try_append(&own, &record).await;
        own.send_event(Event::AppendDone { ticket, result });
    });
}

async fn try_append(shared: &NodeShared, record: &Record) -> AppendResult {
    let url = format!("{}/append", shared.settings.platform.log);
    let body = match serde_json::to_vec(record) {
        Ok(body) => body,
        Err(error) => {
            log::warn!("event=record_unwritable reason=\"{error}\"");
            return AppendResult::Refused;
        }
    };
    let sent = shared
        .client
        .post(url)
        .timeout(APPEND_TIMEOUT + transfer::max_transfer_time(body.len()))
        .header(CONTENT_TYPE, "application/json")
        .body(body)
        .send()
        .await;
    let response = match sent {
        Ok(response) => response,
        Err(error) if error.is_connect() => return AppendResult::Refused,
        Err(_) => return AppendResult::Unknown,
    };
    if response.status().is_client_error() {
        return AppendResult::Refused;
    }
    match response.json::<LogPlace>().await {
        Ok(place) => AppendResult::Appended {
            offset: place.offset,
        },
        Err(_) => AppendResult::Unknown,
    }
}

/// Polls the host list until the node ends.
pub async fn poll_hosts(shared: Arc<NodeShared>) {
    let url = format!("{}/hosts", shared.settings.platform.hosts);
    loop {
        match hosts(&shared, &url).await {
            Ok(hosts) => shared.send_event(Event::HostList(hosts)),
            Err(error) => log::debug!("event=hosts_unavailable reason=\"{error}\""),
        }
        tokio::time::sleep(shared.settings.platform.hosts_poll).await;
    }
}

async fn hosts(shared: &NodeShared, url: &str) -> Result<Vec<HostEntry>, PlatformError> {
    let (status, body) = fetch(shared, url, Duration::ZERO).await?;
    if !status.is_success() {
        return Err(PlatformError::Refused(status));
    }
    Ok(serde_json::from_slice(&body)?)
}
