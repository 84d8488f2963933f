//! Lists which prompt parts engines cache that ran before this node started. Without the lists,
//! calls would be routed past those caches after all nodes had lost power, and engines would
//! process every prompt again.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hyper::StatusCode;
use monsoonbank_kernel::gateway::choice;
use monsoonbank_kernel::gateway::eligibility::{self, EligibilityError};
use monsoonbank_kernel::gateway::prompt::PromptPart;
use monsoonbank_kernel::gateway::registry::UpstreamKey;
use monsoonbank_platform::answer;
use monsoonbank_platform::body::{self, BodyError};
use monsoonbank_platform::cache::{self, CacheError};
use thiserror::Error;

use crate::body::SentBody;
use crate::gateway::connections::{self, ConnectionError};
use crate::gateway::decisions::UpstreamDecision;
use crate::gateway::{Gateway, notices};

/// Time after the node's start during which engines are queried; engines that register later have
/// nothing cached yet.
const QUERY_PERIOD: Duration = Duration::from_secs(5);
/// Time until a starting node can tell whether it is a hub. Before that each node considers itself
/// one, and a whole fleet would query every engine.
const HUB_SETTLE_TIME: Duration = Duration::from_millis(500);
/// Time between two scans for engines that have not been queried.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);
/// Number of engines that are queried concurrently.
const MAX_CONCURRENT: usize = 16;
/// Time for an engine to begin its answer, and the longest pause within it.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Reason why an engine's list could not be obtained.
#[derive(Debug, Error)]
enum ListError {
    #[error("{0}")]
    Connect(#[from] ConnectionError),
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("no answer in time")]
    TimedOut,
    #[error("answered {0}")]
    Refused(StatusCode),
    #[error("{0}")]
    Body(#[from] BodyError),
    #[error("{0}")]
    Malformed(#[from] CacheError),
    #[error("{0}")]
    Withheld(#[from] EligibilityError),
}

/// Key and address of an engine to query.
#[derive(Clone, Copy, Debug)]
struct EngineAddress {
    key: UpstreamKey,
    address: SocketAddr,
}

/// Starts to query engines if this node is a hub, since callers are directed to hubs first.
pub fn start(gateway: &Rc<Gateway>) {
    tokio::task::spawn_local(query_all(gateway.clone()));
}

async fn query_all(gateway: Rc<Gateway>) {
    let until = gateway.now() + QUERY_PERIOD;
    let mut queried = BTreeSet::new();
    tokio::time::sleep(HUB_SETTLE_TIME).await;
    while gateway.now() < until {
        if gateway.is_ready() && gateway.is_hub() {
            let engines = engines_to_query(&gateway, &queried);
            queried.extend(engines.iter().map(|engine| engine.key));
            for some in engines.chunks(MAX_CONCURRENT) {
                join_all(some.iter().map(|engine| query(&gateway, *engine))).await;
            }
        }
        tokio::time::sleep(SCAN_INTERVAL).await;
    }
}

/// Returns engines of this node's availability zone that calls go to first and that have not been
/// queried. What others cache is fetched once they are used.
fn engines_to_query(gateway: &Gateway, queried: &BTreeSet<UpstreamKey>) -> Vec<EngineAddress> {
    let Some(rules) = gateway.rules() else {
        return Vec::new();
    };
    let registry = gateway.registry.borrow();
    let now = gateway.now();
    let pools = rules.pools().filter(|pool| pool.engine.is_some());
    pools
        .flat_map(|pool| choice::preferred(&registry, &pool.name, &gateway.settings.zone))
        .filter(|(key, _)| {
            eligibility::check(&registry, *key, now).is_ok() && !queried.contains(key)
        })
        .map(|(key, upstream)| EngineAddress {
            key,
            address: upstream.entry.address,
        })
        .collect()
}

async fn query(gateway: &Gateway, engine: EngineAddress) {
    let listed = list(gateway, engine).await;
    let mut registry = gateway.registry.borrow_mut();
    let Some(upstream) = registry.get_mut(engine.key) else {
        return;
    };
    let (parts, reason) = match listed {
        Ok(parts) => (parts, None),
        Err(error) => (Vec::new(), Some(error.to_string())),
    };
    let now = gateway.now();
    for part in &parts {
        upstream.load.record_part_prefilled(part.id, now);
    }
    gateway.decisions.record(UpstreamDecision::CacheListed {
        upstream: &upstream.entry.id,
        parts: parts.len(),
        reason: reason.as_deref(),
    });
}

async fn list(gateway: &Gateway, engine: EngineAddress) -> Result<Vec<PromptPart>, ListError> {
    let mut connection = connections::open(engine.key, engine.address).await?;
    eligibility::check(&gateway.registry.borrow(), engine.key, gateway.now())?;
    let request = cache::list_request(&engine.address.to_string())?;
    let request = request.map(|_| SentBody::default());
    let answer =
        tokio::time::timeout(ANSWER_TIMEOUT, connection.sender.send_request(request)).await;
    let answer = answer.map_err(|_| ListError::TimedOut)??;
    let reported = answer::notices(answer.status(), answer.headers());
    notices::apply(gateway, engine.key, reported);
    if !answer.status().is_success() {
        return Err(ListError::Refused(answer.status()));
    }
    let renew = |_| connection.allowance.renew();
    let body = body::read_to_end(answer.into_body(), ANSWER_TIMEOUT, renew).await?;
    Ok(cache::decode_list(&body)?)
}
