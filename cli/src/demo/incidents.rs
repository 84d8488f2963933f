//! Faults and the planned stop in the middle of the demonstration.

use std::time::Duration;

use monsoonbank_standin::engine::EngineHandle;
use monsoonbank_standin::faults::{CrashFault, EngineFaults};
use monsoonbank_standin::hosts::HostRow;
use serde::Serialize;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::caller::KilledNodes;
use crate::demo::fleet::Fleet;

/// Time until a crashed engine restarts.
const ENGINE_DOWNTIME: Duration = Duration::from_secs(3);

/// Timeout of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for a drained node's sockets to flush the last answers before it is killed.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// One incident of a run.
#[derive(Clone, Debug, Serialize)]
pub struct IncidentRecord {
    /// Time of the incident, in milliseconds since the start of the traffic.
    pub at_ms: u128,
    /// Description of the incident.
    pub what: Box<str>,
}

/// All incidents of a run.
#[derive(Clone, Debug)]
pub struct IncidentLog {
    /// Incidents in chronological order.
    pub records: Vec<IncidentRecord>,
    /// Whether the planned stop finished before its timeout; `true` if there was none.
    pub stopped_as_planned: bool,
}

/// Time of the engine crash, as a share of the run.
const ENGINE_CRASH: f64 = 0.4;

/// Time of the node kill, as a share of the run.
const NODE_KILL: f64 = 0.55;

/// Time of the planned stop, as a share of the run.
const NODE_STOP: f64 = 0.7;

/// Causes the incidents at their times, passes each description to `log`, and returns when the
/// planned stop has finished or timed out.
pub async fn run(
    fleet: &Fleet,
    killed: &KilledNodes,
    start: Instant,
    length: Duration,
    log: impl Fn(&str),
) -> IncidentLog {
    let mut records = Vec::new();
    let mut stopped_as_planned = true;
    let mut record = |what: String| {
        log(&what);
        records.push(IncidentRecord {
            at_ms: start.elapsed().as_millis(),
            what: what.into(),
        });
    };
    sleep_until(start + length.mul_f64(ENGINE_CRASH)).await;
    if let Some(what) = crash_engine(fleet) {
        record(what);
    }
    sleep_until(start + length.mul_f64(NODE_KILL)).await;
    if let Some(name) = kill_node(fleet, killed).await {
        record(format!("node {name} was killed"));
    }
    sleep_until(start + length.mul_f64(NODE_STOP)).await;
    if let Some((name, elapsed)) = stop_node(fleet).await {
        stopped_as_planned = elapsed.is_some();
        record(match elapsed {
            Some(elapsed) => format!("node {name} stopped as planned within {elapsed:.1?}"),
            None => format!("node {name} did not stop within {STOP_TIMEOUT:?}"),
        });
    }
    IncidentLog {
        records,
        stopped_as_planned,
    }
}

/// Crashes the engine with the most requests in its slots.
fn crash_engine(fleet: &Fleet) -> Option<String> {
    let running = |engine: &EngineHandle| engine.totals().running();
    let mut engines = fleet.engines.iter();
    let first = engines.next()?;
    let (name, engine) = engines.fold(first, |busiest, next| {
        if running(next.1) > running(busiest.1) {
            next
        } else {
            busiest
        }
    });
    let interrupted = running(engine);
    engine.set_faults(EngineFaults {
        crash: Some(CrashFault {
            after_tokens: None,
            restart_after_ms: Some(ENGINE_DOWNTIME.as_millis() as u64),
        }),
        ..EngineFaults::default()
    });
    Some(format!(
        "engine {name} crashed with {interrupted} requests in its slots"
    ))
}

/// Kills the second node, if there is one, and returns its name. The platform's host list shows the
/// removal only after a delay.
async fn kill_node<'a>(fleet: &'a Fleet, killed: &KilledNodes) -> Option<&'a str> {
    let node = fleet.nodes.get(1)?;
    killed.record(&node.handle.callers.to_string());
    node.handle.kill().await;
    fleet.change_host(&node.name, |_| None);
    Some(&node.name)
}

/// Stops the third node as an operator does, if there is one, and returns its name and the duration
/// of the stop, which is `None` if the stop timed out.
async fn stop_node(fleet: &Fleet) -> Option<(&str, Option<Duration>)> {
    let node = fleet.nodes.get(2)?;
    let leaving = |row| {
        Some(HostRow {
            leaving: true,
            ..row
        })
    };
    fleet.change_host(&node.name, leaving);
    let start = Instant::now();
    node.handle.drain();
    let finished = timeout(STOP_TIMEOUT, node.handle.finished()).await;
    let elapsed = finished.ok().map(|()| start.elapsed());
    if elapsed.is_some() {
        sleep(FLUSH_TIME).await;
        node.handle.kill().await;
        fleet.change_host(&node.name, |_| None);
    }
    Some((&node.name, elapsed))
}
