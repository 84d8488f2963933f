//! A caller that fetches node addresses, caches them until they expire and fails over between them.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use reqwest::Client;
use serde::Deserialize;
use tokio::time::{Instant, sleep};

use crate::exchange::{AnswerTimes, ExchangeOutcome, ExchangeTarget, RefusalDetails, exchange};
use crate::request::RequestBody;
use crate::verify::AnswerCheck;

/// Pause after every known address failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Maximum number of attempts for one call, counting those that found no usable address.
const MAX_ATTEMPTS: u32 = 50;

/// Idempotency keys requested with each address list.
const PREFETCHED_KEYS: usize = 4;

const ADDRESSES_TIMEOUT: Duration = Duration::from_secs(2);

/// Outcome of a call from its caller's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete, expected answer was received.
    Whole,
    /// The call was refused and did not run.
    Refused,
    /// The call may have run.
    Unknown,
    /// The node was killed with the call in flight, so the call may have run.
    Cut,
    /// There was no final answer, or tokens were missing from it.
    Lost,
    /// The answer contains content of another call.
    Crossed,
    /// The answer contains a token twice.
    Doubled,
}

/// Outcome of a call with its timing and refusal reason.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Outcome of the call.
    pub outcome: CallOutcome,
    /// Timing of the answer; `None` if no answer was received to its end.
    pub times: Option<AnswerTimes>,
    /// Error code of the refusal; `None` if the call was not refused.
    pub reason: Option<Box<str>>,
}

impl From<CallOutcome> for CallResult {
    fn from(outcome: CallOutcome) -> Self {
        Self {
            outcome,
            times: None,
            reason: None,
        }
    }
}

impl CallResult {
    /// The result of a call that was refused with the error code `reason`.
    pub fn refused(reason: &str) -> Self {
        Self {
            reason: Some(reason.into()),
            ..CallOutcome::Refused.into()
        }
    }

    /// The result of a call whose answer was received to its end.
    pub fn answered(check: AnswerCheck, times: AnswerTimes) -> Self {
        Self {
            times: Some(times),
            ..CallOutcome::from(check).into()
        }
    }
}

impl From<AnswerCheck> for CallOutcome {
    fn from(check: AnswerCheck) -> Self {
        match check {
            AnswerCheck::Whole => Self::Whole,
            AnswerCheck::Short => Self::Lost,
            AnswerCheck::Doubled => Self::Doubled,
            AnswerCheck::Crossed => Self::Crossed,
        }
    }
}

/// Addresses of killed nodes.
#[derive(Debug, Default)]
pub struct KilledNodes {
    addresses: Mutex<BTreeSet<Box<str>>>,
}

impl KilledNodes {
    /// Adds the callers' address of a node; called before the node is killed.
    pub fn record(&self, address: &str) {
        lock(&self.addresses).insert(address.into());
    }

    fn contains(&self, address: &str) -> bool {
        lock(&self.addresses).contains(address)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Debug, Deserialize)]
struct AddressPage {
    addresses: Vec<Box<str>>,
    keep_seconds: u64,
    #[serde(default)]
    idempotency_keys: Vec<Box<str>>,
}

#[derive(Debug)]
struct AddressList {
    addresses: Vec<Box<str>>,
    next: usize,
    keys: Vec<Box<str>>,
    expires_at: Instant,
}

/// A caller of one workspace in one availability zone.
pub struct FleetCaller {
    client: Client,
    zone: Box<str>,
    token: Box<str>,
    bootstrap: Vec<Box<str>>,
    list: Mutex<AddressList>,
    refreshing: tokio::sync::Mutex<()>,
}

/// Next step of a caller after an exchange.
enum NextStep {
    Finish(CallResult),
    /// Drop this address from the cache and retry at another.
    RetryElsewhere,
    /// Retry with this idempotency key.
    RetryWithKey(Box<str>),
}

impl FleetCaller {
    /// A caller in `zone` with a bearer token and callers' addresses of nodes to start from.
    pub fn new(client: Client, zone: &str, token: &str, bootstrap: Vec<Box<str>>) -> Self {
        Self {
            client,
            zone: zone.into(),
            token: token.into(),
            bootstrap,
            list: Mutex::new(AddressList {
                addresses: Vec::new(),
                next: 0,
                keys: Vec::new(),
                expires_at: Instant::now(),
            }),
            refreshing: tokio::sync::Mutex::default(),
        }
    }

    /// Makes a call, retrying until it has an outcome or the attempts are used up.
    pub async fn call(&self, body: &RequestBody, killed: &KilledNodes) -> CallResult {
        let mut key = None;
        for _ in 0..MAX_ATTEMPTS {
            let Some(address) = self.address().await else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            if body.keyed() && key.is_none() {
                key = lock(&self.list).keys.pop();
            }
            let target = ExchangeTarget {
                address: &address,
                direct: false,
                token: &self.token,
                key: key.as_deref(),
                checked: true,
            };
            let outcome = exchange(&self.client, target, body).await;
            match next_step(outcome, body, killed.contains(&address)) {
                NextStep::Finish(result) => return result,
                NextStep::RetryElsewhere => self.remove(&address),
                NextStep::RetryWithKey(issued) => key = Some(issued),
            }
        }
        CallOutcome::Lost.into()
    }

    /// The next address in round-robin order. Fetches a new list when the cached one has expired or
    /// is empty.
    async fn address(&self) -> Option<Box<str>> {
        if let Some(address) = self.cached_address() {
            return Some(address);
        }
        let _guard = self.refreshing.lock().await;
        if let Some(address) = self.cached_address() {
            return Some(address);
        }
        if lock(&self.list).expires_at > Instant::now() {
            // Every address failed before the list expired: pause before fetching a new list.
            sleep(RETRY_PAUSE).await;
        }
        self.refresh().await;
        self.cached_address()
    }

    fn cached_address(&self) -> Option<Box<str>> {
        let mut list = lock(&self.list);
        if list.expires_at <= Instant::now() || list.addresses.is_empty() {
            return None;
        }
        list.next = (list.next + 1) % list.addresses.len();
        Some(list.addresses[list.next].clone())
    }

    fn remove(&self, address: &str) {
        lock(&self.list)
            .addresses
            .retain(|cached| &**cached != address);
    }

    /// Fetches addresses from the known nodes in turn until one returns a list that is not empty.
    async fn refresh(&self) {
        let mut known = lock(&self.list).addresses.clone();
        known.extend(self.bootstrap.iter().cloned());
        for address in known {
            let Some(page) = self.fetch_addresses(&address).await else {
                continue;
            };
            if page.addresses.is_empty() {
                continue;
            }
            let mut list = lock(&self.list);
            list.addresses = page.addresses;
            list.keys = page.idempotency_keys;
            list.expires_at = Instant::now() + Duration::from_secs(page.keep_seconds);
            return;
        }
    }

    async fn fetch_addresses(&self, address: &str) -> Option<AddressPage> {
        let query = format!("zone={}&keys={PREFETCHED_KEYS}", self.zone);
        let url = format!("http://{address}/v1/addresses?{query}");
        let request = self.client.get(url).bearer_auth(&self.token);
        let request = request.timeout(ADDRESSES_TIMEOUT);
        let response = request.send().await.ok()?;
        response.error_for_status().ok()?.json().await.ok()
    }
}

fn next_step(outcome: ExchangeOutcome, body: &RequestBody, killed: bool) -> NextStep {
    match outcome {
        ExchangeOutcome::Answer(check, times) => {
            NextStep::Finish(CallResult::answered(check, times))
        }
        ExchangeOutcome::NotRun(details) if &*details.code == "leaving" => NextStep::RetryElsewhere,
        ExchangeOutcome::NotRun(RefusalDetails { key: Some(key), .. }) => {
            NextStep::RetryWithKey(key)
        }
        ExchangeOutcome::NotRun(details) => NextStep::Finish(CallResult::refused(&details.code)),
        ExchangeOutcome::Unknown => NextStep::Finish(CallOutcome::Unknown.into()),
        ExchangeOutcome::Unsent => NextStep::RetryElsewhere,
        // The owner of the idempotency key reports the outcome of the call.
        ExchangeOutcome::Broken if killed && body.keyed() => NextStep::RetryElsewhere,
        ExchangeOutcome::Broken if killed => NextStep::Finish(CallOutcome::Cut.into()),
        ExchangeOutcome::Broken => NextStep::Finish(CallOutcome::Lost.into()),
    }
}
