//! A caller: asks which addresses to use, keeps the answer for its lifetime, and fails over.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use reqwest::Client;
use serde::Deserialize;
use tokio::time::{Instant, sleep};

use crate::exchange::{AnswerTimes, ExchangeOutcome, ExchangeTarget, RefusalDetails, exchange};
use crate::request::RequestBody;
use crate::verify::AnswerCheck;

/// Pause after no address answered.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Most connections tried, and most addresses asked, for one call.
const MAX_TRIES: u32 = 50;

/// Idempotency keys asked for together with the addresses.
const KEYS_IN_ADVANCE: usize = 4;

const ADDRESSES_TIMEOUT: Duration = Duration::from_secs(2);

/// How a call ended, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A whole answer.
    Whole,
    /// It did not run.
    Refused,
    /// It may have run.
    Unknown,
    /// The node was killed with the call in flight: it may have run.
    Cut,
    /// No final answer, or one with tokens missing.
    Lost,
    /// Somebody else's answer.
    Crossed,
    /// A token twice.
    Doubled,
}

/// What came of a call.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// How it ended.
    pub outcome: CallOutcome,
    /// When the answer came, if it came to its end.
    pub times: Option<AnswerTimes>,
    /// Why it was refused, as the node's constant for programs.
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
    /// A call that did not run.
    pub fn refused(reason: &str) -> Self {
        Self {
            reason: Some(reason.into()),
            ..CallOutcome::Refused.into()
        }
    }

    /// An answer that came to its end.
    pub fn answered(verdict: AnswerCheck, times: AnswerTimes) -> Self {
        Self {
            times: Some(times),
            ..CallOutcome::from(verdict).into()
        }
    }
}

impl From<AnswerCheck> for CallOutcome {
    fn from(verdict: AnswerCheck) -> Self {
        match verdict {
            AnswerCheck::Whole => Self::Whole,
            AnswerCheck::Short => Self::Lost,
            AnswerCheck::Doubled => Self::Doubled,
            AnswerCheck::Crossed => Self::Crossed,
        }
    }
}

/// Addresses of nodes that were killed.
#[derive(Debug, Default)]
pub struct KilledNodes {
    addresses: Mutex<BTreeSet<Box<str>>>,
}

impl KilledNodes {
    /// Notes a node, before it is killed.
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
    keep_until: Instant,
}

/// A caller of one workspace in one availability zone.
pub struct FleetCaller {
    client: Client,
    zone: Box<str>,
    token: Box<str>,
    bootstrap: Vec<Box<str>>,
    list: Mutex<AddressList>,
    asking: tokio::sync::Mutex<()>,
}

/// What the caller of a call does next.
enum NextStep {
    End(CallResult),
    /// Elsewhere, since this address takes nothing.
    Elsewhere,
    /// Again, with this key.
    WithKey(Box<str>),
}

impl FleetCaller {
    /// A caller that knows some nodes to begin with.
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
                keep_until: Instant::now(),
            }),
            asking: tokio::sync::Mutex::default(),
        }
    }

    /// Makes a call and follows it to its end.
    pub async fn call(&self, body: &RequestBody, killed: &KilledNodes) -> CallResult {
        let mut key = None;
        for _ in 0..MAX_TRIES {
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
            let end = exchange(&self.client, target, body).await;
            match next_step(end, body, killed.contains(&address)) {
                NextStep::End(result) => return result,
                NextStep::Elsewhere => self.forget(&address),
                NextStep::WithKey(fresh) => key = Some(fresh),
            }
        }
        CallOutcome::Lost.into()
    }

    /// The next address in turn; asks for addresses when the last answer is too old.
    async fn address(&self) -> Option<Box<str>> {
        if let Some(address) = self.kept_address() {
            return Some(address);
        }
        let _asking = self.asking.lock().await;
        if let Some(address) = self.kept_address() {
            return Some(address);
        }
        if lock(&self.list).keep_until > Instant::now() {
            // The last answer is fresh and every address of it failed: give the nodes a moment.
            sleep(RETRY_PAUSE).await;
        }
        self.ask().await;
        self.kept_address()
    }

    fn kept_address(&self) -> Option<Box<str>> {
        let mut list = lock(&self.list);
        if list.keep_until <= Instant::now() || list.addresses.is_empty() {
            return None;
        }
        list.next = (list.next + 1) % list.addresses.len();
        Some(list.addresses[list.next].clone())
    }

    fn forget(&self, address: &str) {
        lock(&self.list)
            .addresses
            .retain(|known| &**known != address);
    }

    /// Asks the nodes known, one after another, until one tells the addresses.
    async fn ask(&self) {
        let mut known = lock(&self.list).addresses.clone();
        known.extend(self.bootstrap.iter().cloned());
        for address in known {
            let Some(page) = self.ask_one(&address).await else {
                continue;
            };
            if page.addresses.is_empty() {
                continue;
            }
            let mut list = lock(&self.list);
            list.addresses = page.addresses;
            list.keys = page.idempotency_keys;
            list.keep_until = Instant::now() + Duration::from_secs(page.keep_seconds);
            return;
        }
    }

    async fn ask_one(&self, address: &str) -> Option<AddressPage> {
        let query = format!("zone={}&keys={KEYS_IN_ADVANCE}", self.zone);
        let url = format!("http://{address}/v1/addresses?{query}");
        let request = self.client.get(url).bearer_auth(&self.token);
        let request = request.timeout(ADDRESSES_TIMEOUT);
        let response = request.send().await.ok()?;
        response.error_for_status().ok()?.json().await.ok()
    }
}

fn next_step(end: ExchangeOutcome, body: &RequestBody, killed: bool) -> NextStep {
    match end {
        ExchangeOutcome::Answer(verdict, times) => {
            NextStep::End(CallResult::answered(verdict, times))
        }
        ExchangeOutcome::NotRun(note) if &*note.code == "leaving" => NextStep::Elsewhere,
        ExchangeOutcome::NotRun(RefusalDetails { key: Some(key), .. }) => NextStep::WithKey(key),
        ExchangeOutcome::NotRun(note) => NextStep::End(CallResult::refused(&note.code)),
        ExchangeOutcome::Unknown => NextStep::End(CallOutcome::Unknown.into()),
        ExchangeOutcome::Unsent => NextStep::Elsewhere,
        // The key's owner knows what became of the call.
        ExchangeOutcome::Broken if killed && body.keyed() => NextStep::Elsewhere,
        ExchangeOutcome::Broken if killed => NextStep::End(CallOutcome::Cut.into()),
        ExchangeOutcome::Broken => NextStep::End(CallOutcome::Lost.into()),
    }
}
