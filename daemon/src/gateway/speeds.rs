//! Measures the speed of the engines that this node's streams come from, and shares it with other
//! nodes: only for pools whose slots run out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use monsoonbank_kernel::gateway::choice::ExpectedAnswer;
use monsoonbank_kernel::gateway::pace::AnswerLength;
use monsoonbank_kernel::gateway::registry::UpstreamKey;
use monsoonbank_kernel::gateway::rules::{AnswerForm, EngineSpec};
use monsoonbank_kernel::gateway::speed::{self, SpeedChange, SpeedReport, SpeedReporter};

use crate::gateway::Gateway;
use crate::gateway::admission::Call;
use crate::gateway::decisions::UpstreamDecision;

/// Interval at which engines are compared with their pool.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// This node's state of measured pools.
#[derive(Debug, Default)]
pub struct SpeedTable {
    lengths: BTreeMap<Box<str>, AnswerLength>,
    slow: BTreeSet<UpstreamKey>,
    reporter: SpeedReporter,
    updated_at: Duration,
}

/// Returns the engines of a call whose pool is measured; `None` for other calls.
fn measured_engine(call: &Call) -> Option<EngineSpec> {
    let AnswerForm::Events { .. } = call.class.form else {
        return None;
    };
    call.engine.filter(EngineSpec::is_slot_bound)
}

/// Records the length of a call that is about to be sent.
pub fn record_call(gateway: &Gateway, call: &Call) {
    let Some(engine) = measured_engine(call) else {
        return;
    };
    let events = call.head.prompt.expected_events(engine.event_tokens);
    let mut table = gateway.speeds.borrow_mut();
    let length = table.lengths.entry(call.pool.clone()).or_default();
    length.record(events);
}

/// Returns what is expected of a call's answer; `None` unless its pool is measured.
pub fn expected_answer(gateway: &Gateway, call: &Call) -> Option<ExpectedAnswer> {
    let engine = measured_engine(call)?;
    let events = call.head.prompt.expected_events(engine.event_tokens);
    let table = gateway.speeds.borrow();
    let length = table.lengths.get(&call.pool);
    Some(ExpectedAnswer {
        events,
        mean_events: length.and_then(AnswerLength::mean).unwrap_or(events),
        event_tokens: engine.event_tokens,
        gap: call.class.gap,
        pace: gateway.pace(call),
        left: call.deadline.saturating_sub(gateway.now()),
    })
}

/// Records the gap before an event of a call's stream.
pub fn record_event(gateway: &Gateway, call: &Call, key: UpstreamKey, gap: Duration) {
    let Some(engine) = measured_engine(call) else {
        return;
    };
    if let Some(upstream) = gateway.registry.borrow_mut().get_mut(key) {
        let speed = &mut upstream.load.speed;
        speed.record_event(gap, engine.event_tokens, gateway.now());
    }
}

/// Records the time to the first event of a stream whose prompt was the only one to prefill.
pub fn record_first_event(
    gateway: &Gateway,
    call: &Call,
    key: UpstreamKey,
    took: Duration,
    prompt_tokens: u32,
) {
    let Some(engine) = measured_engine(call) else {
        return;
    };
    if let Some(upstream) = gateway.registry.borrow_mut().get_mut(key) {
        let speed = &mut upstream.load.speed;
        speed.record_first_event(took, prompt_tokens, engine.event_tokens);
    }
}

/// Returns an engine's time per token as a multiple of its pool's median.
pub fn token_ratio(gateway: &Gateway, key: UpstreamKey) -> f64 {
    let registry = gateway.registry.borrow();
    let upstream = registry.get(key);
    upstream.map_or(1.0, |upstream| upstream.load.speed.ratio().token)
}

/// Merges the measurements that another node reports.
pub fn merge_reports(gateway: &Gateway, reports: &[SpeedReport]) {
    let now = gateway.now();
    let mut registry = gateway.registry.borrow_mut();
    for report in reports {
        let key = registry.by_hash(report.run);
        if let Some(upstream) = key.and_then(|key| registry.get_mut(key)) {
            upstream.load.speed.receive_report(report, now);
        }
    }
}

/// Returns the measurements for the next heartbeats.
pub fn next_reports(gateway: &Gateway) -> Vec<SpeedReport> {
    let mut table = gateway.speeds.borrow_mut();
    let zone = &gateway.settings.zone;
    table
        .reporter
        .next(&gateway.registry.borrow(), zone, gateway.now())
}

/// Compares engines with their pool, while the node has calls.
pub fn update(gateway: &Gateway) {
    let now = gateway.now();
    let mut table = gateway.speeds.borrow_mut();
    if gateway.open_calls.get() == 0 || now < table.updated_at + UPDATE_INTERVAL {
        return;
    }
    table.updated_at = now;
    let Some(rules) = gateway.rules() else {
        return;
    };
    for pool in rules.pools() {
        if !pool.engine.is_some_and(|engine| engine.is_slot_bound()) {
            continue;
        }
        let mut registry = gateway.registry.borrow_mut();
        let zone = &gateway.settings.zone;
        let changes = speed::update_ratios(&mut registry, &pool.name, zone, now);
        drop(registry);
        for change in changes {
            record_change(gateway, &mut table, change);
        }
    }
    let registry = gateway.registry.borrow();
    table.slow.retain(|key| {
        let upstream = registry.get(*key);
        upstream.is_some_and(|upstream| upstream.left.is_none())
    });
    let slow = i64::try_from(table.slow.len()).unwrap_or(i64::MAX);
    gateway.metrics.slow_engines.set(slow);
}

fn record_change(gateway: &Gateway, table: &mut SpeedTable, change: SpeedChange) {
    if change.ratio.is_slow() {
        table.slow.insert(change.key);
    } else {
        table.slow.remove(&change.key);
    }
    let registry = gateway.registry.borrow();
    let Some(upstream) = registry.get(change.key) else {
        return;
    };
    gateway.decisions.record(UpstreamDecision::SpeedChanged {
        upstream: &upstream.entry.id,
        slow: change.ratio.is_slow(),
        ratio: change.ratio.token,
        token_us: change.token_us.map(|token_us| token_us as u64),
        median_us: change.median_us.map(|median_us| median_us as u64),
    });
}
