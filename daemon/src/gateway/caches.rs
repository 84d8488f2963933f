//! Asks engines that ran before this node what they keep of prompts. Without it, all that engines had
//! read is read again after the nodes lost power.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hyper::StatusCode;
use monsoonbank_kernel::gateway::eligibility::{self, EligibilityError};
use monsoonbank_kernel::gateway::prompt::PromptPart;
use monsoonbank_kernel::gateway::registry::UpstreamKey;
use monsoonbank_platform::answer;
use monsoonbank_platform::body::{self, BodyError};
use monsoonbank_platform::cache::{self, CacheError};
use thiserror::Error;

use crate::gateway::connections::{self, ConnectionError};
use crate::gateway::decisions::Decision;
use crate::gateway::{Gateway, notices};

/// Time after the node's start in which engines are asked; those that come later keep nothing yet.
const ASKING_TIME: Duration = Duration::from_secs(5);
/// Time until a starting node knows whether it is a hub: at first each takes itself for one, and a whole
/// fleet would ask every engine.
const SETTLING_TIME: Duration = Duration::from_millis(500);
/// Time between two looks for engines that were not asked.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// Engines that are asked at once.
const MOST_AT_ONCE: usize = 16;
/// Time for an engine to begin its answer, and longest pause in it.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// Why an engine's list was not taken.
#[derive(Debug, Error)]
enum ListError {
    #[error("{0}")]
    Channel(#[from] ConnectionError),
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

/// An engine to ask.
#[derive(Clone, Copy, Debug)]
struct EngineAddress {
    key: UpstreamKey,
    address: SocketAddr,
}

/// Starts asking, if this node is a hub: callers are sent to hubs first.
pub fn start(gateway: &Rc<Gateway>) {
    tokio::task::spawn_local(ask_all(gateway.clone()));
}

async fn ask_all(gateway: Rc<Gateway>) {
    let until = gateway.now() + ASKING_TIME;
    let mut asked = BTreeSet::new();
    tokio::time::sleep(SETTLING_TIME).await;
    while gateway.now() < until {
        if gateway.is_ready() && gateway.is_hub() {
            let engines = engines_to_ask(&gateway, &asked);
            asked.extend(engines.iter().map(|engine| engine.key));
            for some in engines.chunks(MOST_AT_ONCE) {
                join_all(some.iter().map(|engine| ask(&gateway, *engine))).await;
            }
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// Engines of the own availability zone. What others keep is fetched once they are used.
fn engines_to_ask(gateway: &Gateway, asked: &BTreeSet<UpstreamKey>) -> Vec<EngineAddress> {
    let Some(rules) = gateway.rules() else {
        return Vec::new();
    };
    let registry = gateway.registry.borrow();
    let now = gateway.now();
    let is_engine = |pool: &str| rules.pool(pool).is_some_and(|pool| pool.engine.is_some());
    registry
        .iter()
        .filter(|(key, _)| eligibility::check(&registry, *key, now).is_ok() && !asked.contains(key))
        .filter(|(_, upstream)| upstream.entry.zone == gateway.settings.zone)
        .filter(|(_, upstream)| is_engine(&upstream.entry.pool))
        .map(|(key, upstream)| EngineAddress {
            key,
            address: upstream.entry.address,
        })
        .collect()
}

async fn ask(gateway: &Gateway, engine: EngineAddress) {
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
    gateway.decisions.record(&Decision::CacheListed {
        upstream: &upstream.entry.id,
        parts: parts.len(),
        reason: reason.as_deref(),
    });
}

async fn list(gateway: &Gateway, engine: EngineAddress) -> Result<Vec<PromptPart>, ListError> {
    let mut connection = connections::open(engine.key, engine.address).await?;
    eligibility::check(&gateway.registry.borrow(), engine.key, gateway.now())?;
    let request = cache::list_request(&engine.address.to_string())?;
    let answer = tokio::time::timeout(ANSWER_TIME, connection.sender.send_request(request)).await;
    let answer = answer.map_err(|_| ListError::TimedOut)??;
    let said = answer::notices(answer.status(), answer.headers());
    notices::apply(gateway, engine.key, said);
    if !answer.status().is_success() {
        return Err(ListError::Refused(answer.status()));
    }
    let body = body::read_to_end(answer.into_body(), ANSWER_TIME, |_| ()).await?;
    Ok(cache::decode_list(&body)?)
}
