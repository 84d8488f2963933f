//! Callers of the demonstration, which send the traffic and wait for the outcome of each call.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use indicatif::ProgressBar;
use reqwest::Client;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use crate::caller::{CallOutcome, CallResult, FleetCaller, KilledNodes};
use crate::demo::fleet::Fleet;
use crate::request::RequestBody;
use crate::traffic::{ArrivalSource, TrafficArrival, TrafficPlan};

/// Timeout of a call; a call that exceeds it counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_mins(1);

/// A call with its outcome.
#[derive(Clone, Debug)]
pub struct FinishedCall {
    /// Index of the class in the traffic plan.
    pub class: usize,
    /// Time at which the call was due to be sent.
    pub due: Instant,
    /// The request.
    pub body: RequestBody,
    /// Outcome of the call.
    pub result: CallResult,
}

/// State shared by all calls.
struct CallerGroup {
    plan: TrafficPlan,
    callers: BTreeMap<Box<str>, Vec<FleetCaller>>,
    killed: Arc<KilledNodes>,
    seed: u64,
}

/// Sends the plan's traffic, starting at `start`, and waits for the outcome of every call.
pub async fn send_traffic(
    fleet: &Fleet,
    client: &Client,
    plan: TrafficPlan,
    seed: u64,
    start: Instant,
    killed: Arc<KilledNodes>,
    progress: &ProgressBar,
) -> Vec<FinishedCall> {
    let group = Arc::new(CallerGroup {
        callers: callers(fleet, client),
        plan: plan.clone(),
        killed,
        seed,
    });
    let mut tasks = JoinSet::new();
    for (number, arrival) in ArrivalSource::new(plan, seed).enumerate() {
        sleep_until(start + arrival.at).await;
        progress.set_position(arrival.at.as_millis() as u64);
        let group = Arc::clone(&group);
        tasks.spawn(async move { group.run(number, arrival, start).await });
    }
    progress.set_message("waiting for the last answers");
    tasks.join_all().await.into_iter().flatten().collect()
}

/// Creates the callers by workspace, one in each availability zone.
fn callers(fleet: &Fleet, client: &Client) -> BTreeMap<Box<str>, Vec<FleetCaller>> {
    let bootstrap = fleet.caller_addresses();
    let mut zones: Vec<&str> = fleet.nodes.iter().map(|node| &*node.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let mut callers = BTreeMap::new();
    for workspace in &fleet.file.workspaces {
        let token = format!("{}-token", workspace.name);
        let own = zones
            .iter()
            .map(|zone| FleetCaller::new(client.clone(), zone, &token, bootstrap.clone()));
        callers.insert(workspace.name.clone(), own.collect());
    }
    callers
}

impl CallerGroup {
    /// Makes a call and waits for its outcome. A repeatable call that was in flight at a killed
    /// node is replaced by a new call; the result contains both.
    async fn run(
        &self,
        number: usize,
        arrival: TrafficArrival,
        start: Instant,
    ) -> Vec<FinishedCall> {
        let mut finished = Vec::new();
        let mut body = arrival.body;
        let mut due = start + arrival.at;
        loop {
            let result = self.call(number, &arrival.workspace, &body).await;
            let retry = result.outcome == CallOutcome::Cut;
            finished.push(FinishedCall {
                class: arrival.class,
                due,
                body,
                result,
            });
            if !retry {
                return finished;
            }
            let seed = self.seed ^ ((number as u64) << 8) ^ finished.len() as u64;
            let class = &self.plan.classes[arrival.class];
            body = ArrivalSource::replacement(class, &self.plan, seed);
            due = Instant::now();
        }
    }

    async fn call(&self, number: usize, workspace: &str, body: &RequestBody) -> CallResult {
        let callers = &self.callers[workspace];
        let call = callers[number % callers.len()].call(body, &self.killed);
        let result = timeout(CALL_TIMEOUT, call).await;
        result.unwrap_or_else(|_| CallOutcome::Lost.into())
    }
}
