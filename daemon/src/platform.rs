//! The platform's services: the append-only log and the host list, over HTTP.

use std::sync::Arc;
use std::time::Duration;

use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::membership::HostEntry;
use monsoonbank_kernel::record::{AppendResult, AppendTicket, LogRecord, Record};
use reqwest::StatusCode;
use serde::Deserialize;
use serde_json::Value;

use crate::shared::NodeShared;

/// How long the log may hold a read back until there is something new.
const READ_WAIT: Duration = Duration::from_secs(5);
/// Longest wait for an answer to a read, its own wait included.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest wait for an answer to an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);
const HOSTS_TIMEOUT: Duration = Duration::from_secs(3);
/// Most records in one read.
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

/// Reads the log from an offset in a task of its own.
pub fn read_log(shared: &Arc<NodeShared>, from: u64) {
    let own = Arc::clone(shared);
    shared.spawn(async move {
        let event = read(&own, from).await.unwrap_or_else(|error| {
            log::debug!("event=log_unavailable reason=\"{error}\"");
            Event::LogUnavailable
        });
        own.event(event);
    });
}

async fn read(shared: &NodeShared, from: u64) -> Result<Event, reqwest::Error> {
    let base = &shared.settings.platform.log;
    let wait = READ_WAIT.as_millis();
    let url = format!("{base}/records?from={from}&wait_ms={wait}&limit={READ_LIMIT}");
    let response = shared.client.get(url).timeout(READ_TIMEOUT).send().await?;
    if response.status() == StatusCode::GONE {
        let start: LogStart = response.json().await?;
        return Ok(Event::LogTruncated { first: start.first });
    }
    let page: LogPage = response.error_for_status()?.json().await?;
    let records = page.records.into_iter().map(known_record).collect();
    Ok(Event::LogRead {
        records,
        end: page.end,
    })
}

fn known_record(row: LogRow) -> LogRecord {
    LogRecord {
        offset: row.offset,
        record: serde_json::from_value(row.record).ok(),
    }
}

/// Appends a record in a task of its own.
pub fn append(shared: &Arc<NodeShared>, ticket: AppendTicket, record: Record) {
    let own = Arc::clone(shared);
    shared.spawn(async move {
        let result = try_append(&own, &record).await;
        own.event(Event::AppendDone { ticket, result });
    });
}

async fn try_append(shared: &NodeShared, record: &Record) -> AppendResult {
    let url = format!("{}/append", shared.settings.platform.log);
    let sent = shared
        .client
        .post(url)
        .timeout(APPEND_TIMEOUT)
        .json(record)
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

/// Looks at the host list again and again until the node ends.
pub async fn poll_hosts(shared: Arc<NodeShared>) {
    let url = format!("{}/hosts", shared.settings.platform.hosts);
    loop {
        match hosts(&shared, &url).await {
            Ok(hosts) => shared.event(Event::HostList(hosts)),
            Err(error) => log::debug!("event=hosts_unavailable reason=\"{error}\""),
        }
        tokio::time::sleep(shared.settings.platform.hosts_poll).await;
    }
}

async fn hosts(shared: &NodeShared, url: &str) -> Result<Vec<HostEntry>, reqwest::Error> {
    let response = shared.client.get(url).timeout(HOSTS_TIMEOUT).send().await?;
    response.error_for_status()?.json().await
}
