//! What goes wrong, or is planned, in the middle of the demonstration.

use std::time::Duration;

use monsoonbank_standin::engine::EngineHandle;
use monsoonbank_standin::faults::{CrashFault, EngineFaults};
use monsoonbank_standin::hosts::HostRow;
use serde::Serialize;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::caller::KilledNodes;
use crate::demo::fleet::Fleet;

/// How long a crashed engine stays away.
const ENGINE_PAUSE: Duration = Duration::from_secs(3);

/// Longest wait for a planned stop to end.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// Time that callers' last answers get to leave a stopped node's sockets.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Something that happened.
#[derive(Clone, Debug, Serialize)]
pub struct IncidentRecord {
    /// When, in milliseconds since the traffic's start.
    pub at_ms: u128,
    /// What.
    pub what: Box<str>,
}

/// Everything that happened.
#[derive(Clone, Debug)]
pub struct IncidentLog {
    /// In order of time.
    pub records: Vec<IncidentRecord>,
    /// Whether the planned stop, if there was one, ended by itself.
    pub stopped_as_planned: bool,
}

/// When things happen, as shares of the run.
const ENGINE_CRASH: f64 = 0.4;
const NODE_KILL: f64 = 0.55;
const NODE_STOP: f64 = 0.7;

/// Makes everything happen; ends when the planned stop has ended.
pub async fn run(
    fleet: &Fleet,
    killed: &KilledNodes,
    start: Instant,
    length: Duration,
    tell: impl Fn(&str),
) -> IncidentLog {
    let mut records = Vec::new();
    let mut stopped_as_planned = true;
    let mut note = |what: String| {
        tell(&what);
        records.push(IncidentRecord {
            at_ms: start.elapsed().as_millis(),
            what: what.into(),
        });
    };
    sleep_until(start + length.mul_f64(ENGINE_CRASH)).await;
    if let Some(what) = crash_engine(fleet) {
        note(what);
    }
    sleep_until(start + length.mul_f64(NODE_KILL)).await;
    if let Some(name) = kill_node(fleet, killed).await {
        note(format!("node {name} was killed"));
    }
    sleep_until(start + length.mul_f64(NODE_STOP)).await;
    if let Some((name, took)) = stop_node(fleet).await {
        stopped_as_planned = took.is_some();
        note(match took {
            Some(took) => format!("node {name} stopped as planned within {took:.1?}"),
            None => format!("node {name} did not stop within {STOP_LIMIT:?}"),
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
    let broken = running(engine);
    engine.set_faults(EngineFaults {
        crash: Some(CrashFault {
            after_tokens: None,
            restart_after_ms: Some(ENGINE_PAUSE.as_millis() as u64),
        }),
        ..EngineFaults::default()
    });
    Some(format!(
        "engine {name} crashed with {broken} requests in its slots"
    ))
}

/// Kills the second node, if there is one. The platform's host list notices later.
async fn kill_node<'a>(fleet: &'a Fleet, killed: &KilledNodes) -> Option<&'a str> {
    let node = fleet.nodes.get(1)?;
    killed.record(&node.handle.callers.to_string());
    node.handle.kill().await;
    fleet.change_host(&node.name, |_| None);
    Some(&node.name)
}

/// Stops the third node as an operator does, if there is one; tells how long it took.
async fn stop_node(fleet: &Fleet) -> Option<(&str, Option<Duration>)> {
    let node = fleet.nodes.get(2)?;
    let leaving = |row| {
        Some(HostRow {
            leaving: true,
            ..row
        })
    };
    fleet.change_host(&node.name, leaving);
    let began = Instant::now();
    node.handle.drain();
    let finished = timeout(STOP_LIMIT, node.handle.finished()).await;
    let took = finished.ok().map(|()| began.elapsed());
    if took.is_some() {
        sleep(FLUSH_TIME).await;
        node.handle.kill().await;
        fleet.change_host(&node.name, |_| None);
    }
    Some((&node.name, took))
}
