//! Polls the engines owned by this node for their load and their cache events.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use monsoonbank_kernel::call::LoadReport;
use monsoonbank_kernel::config::{PoolKind, Upstream};
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::UpstreamId;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::shared::NodeShared;

/// Interval between two polls of each upstream.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct LoadAnswer {
    running: u32,
    waiting: u32,
    age_ms: u64,
    leaving: bool,
}

#[derive(Deserialize)]
struct CachePage {
    next: u64,
    events: Vec<CacheRow>,
}

#[derive(Deserialize)]
struct CacheRow {
    prefix: Box<str>,
    held: bool,
}

/// Polls the owned engines until the node ends.
pub async fn poll(shared: Arc<NodeShared>) {
    let mut offsets: BTreeMap<UpstreamId, u64> = BTreeMap::new();
    loop {
        let config = shared.config();
        let polls = shared.owned_upstreams().into_iter().filter_map(|id| {
            let upstream = config.upstreams.get(&id)?;
            let pool = config.pools.get(&upstream.pool)?;
            let offset = offsets.get(&id).copied().unwrap_or_default();
            (pool.kind == PoolKind::Model).then(|| poll_upstream(&shared, id, upstream, offset))
        });
        offsets = join_all(polls).await.into_iter().collect();
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Polls one upstream. Returns the offset of its next cache event.
async fn poll_upstream(
    shared: &NodeShared,
    id: UpstreamId,
    upstream: &Upstream,
    offset: u64,
) -> (UpstreamId, u64) {
    let address = &upstream.spec.address;
    let Some(load) = get::<LoadAnswer>(shared, &format!("http://{address}/load")).await else {
        shared.send_event(Event::UpstreamUnreachable(id));
        return (id, offset);
    };
    let report = LoadReport {
        running: load.running,
        waiting: load.waiting,
        age: Duration::from_millis(load.age_ms),
        leaving: load.leaving,
    };
    shared.send_event(Event::UpstreamReported {
        upstream: id,
        report,
    });
    let url = format!("http://{address}/cache-events?from={offset}");
    let Some(page) = get::<CachePage>(shared, &url).await else {
        return (id, offset);
    };
    for row in page.events {
        if let Ok(prefix) = u64::from_str_radix(&row.prefix, 16) {
            let held = row.held;
            shared.send_event(Event::CacheChanged {
                upstream: id,
                prefix,
                held,
            });
        }
    }
    (id, page.next)
}

async fn get<T: DeserializeOwned>(shared: &NodeShared, url: &str) -> Option<T> {
    let response = shared
        .client
        .get(url)
        .timeout(REPORT_TIMEOUT)
        .send()
        .await
        .ok()?;
    response.error_for_status().ok()?.json().await.ok()
}
