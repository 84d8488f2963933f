//! Orders waiting calls of pools whose slots run out by what their workspaces used recently, and
//! exchanges that use with other nodes.

use std::time::Duration;

use monsoonbank_kernel::gateway::fairness::{self, ShareKey, SlotCharge};
use monsoonbank_kernel::gateway::heartbeat::NodeHeartbeat;
use monsoonbank_kernel::gateway::rules::AnswerForm;
use monsoonbank_kernel::gateway::waiting::{FairTurn, WaitRank};

use crate::gateway::Gateway;
use crate::gateway::admission::Call;
use crate::gateway::decisions::UpstreamDecision;

/// Number of workspaces in the metrics.
const SHOWN_WORKSPACES: usize = 8;
/// Interval at which the metrics are updated.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);
/// Name of callers whose key names no workspace.
const NO_WORKSPACE: &str = "";

/// Names of a workspace and a pool that it uses.
#[derive(Clone, Debug)]
pub struct ShareName {
    pool: Box<str>,
    workspace: Box<str>,
}

/// Returns the workspace and pool that a call's slot time is charged to; `None` if the pool's slots
/// do not run out or no workspaces are configured.
fn share_key(gateway: &Gateway, call: &Call) -> Option<ShareKey> {
    let rules = gateway.rules()?;
    let engine = rules.pool(&call.pool)?.engine?;
    let shared = engine.is_slot_bound() && rules.has_workspaces();
    shared.then(|| ShareKey::new(&call.pool, workspace_name(call)))
}

fn workspace_name(call: &Call) -> &str {
    call.workspace.as_deref().unwrap_or(NO_WORKSPACE)
}

/// Charges a call that is sent to its workspace.
pub fn charge(gateway: &Gateway, call: &Call, now: Duration) -> Option<SlotCharge> {
    let key = share_key(gateway, call)?;
    let events = match (call.class.form, call.engine) {
        (AnswerForm::Events { .. }, Some(engine)) => {
            call.head.prompt.expected_events(engine.event_tokens)
        }
        _ => 1.0,
    };
    let charge = SlotCharge {
        key,
        since: now,
        expected: gateway.pace(call).expected_duration(events),
    };
    gateway.shares.borrow_mut().begin(charge);
    let mut names = gateway.share_names.borrow_mut();
    names.entry(key).or_insert_with(|| ShareName {
        pool: call.pool.clone(),
        workspace: workspace_name(call).into(),
    });
    Some(charge)
}

/// Adds a call that waits to the list, under its workspace where workspaces share the pool.
pub fn join(gateway: &Gateway, call: &Call, send_by: Duration) -> WaitRank {
    let mut waiting = gateway.waiting.borrow_mut();
    let rank = waiting.join(&call.pool, call.tier, send_by, call.deadline);
    if let Some(key) = share_key(gateway, call) {
        waiting.set_workspace(&call.pool, rank, key.workspace);
    }
    rank
}

fn turn(gateway: &Gateway, call: &Call, key: ShareKey) -> Option<FairTurn> {
    let now = gateway.now();
    let shares = gateway.shares.borrow();
    let slot_ms = |workspace| shares.slot_ms(ShareKey { workspace, ..key }, now);
    gateway
        .waiting
        .borrow_mut()
        .first_fair(&call.pool, now, slot_ms)
}

/// Returns the waiting call of the call's pool that is to be sent next.
pub fn first(gateway: &Gateway, call: &Call) -> Option<WaitRank> {
    let Some(key) = share_key(gateway, call) else {
        return gateway.waiting.borrow().first(&call.pool, gateway.now());
    };
    turn(gateway, call, key).map(|turn| turn.first)
}

/// Reports a waiting call whose workspace is far over its share of a pool that others wait for.
pub fn check_share(gateway: &Gateway, call: &Call) {
    let Some(key) = share_key(gateway, call) else {
        return;
    };
    let turn = turn(gateway, call, key).filter(|turn| turn.first.tier == call.tier);
    let Some(turn) = turn.filter(|turn| turn.workspaces > 1) else {
        return;
    };
    let now = gateway.now();
    let slot_ms = gateway.shares.borrow().slot_ms(key, now);
    if fairness::is_excessive(slot_ms, turn.share) && gateway.shares.borrow_mut().mark(key, now) {
        gateway.decisions.record(UpstreamDecision::ShareChanged {
            pool: &call.pool,
            workspace: workspace_name(call),
            over: true,
            slots: Some(fairness::slots(slot_ms)),
            share: Some(fairness::slots(turn.share)),
        });
    }
}

/// Merges another node's use, if the heartbeat reports its work.
pub fn merge(gateway: &Gateway, heartbeat: &NodeHeartbeat, now: Duration) {
    if heartbeat.work.is_some() {
        let mut shares = gateway.shares.borrow_mut();
        shares.receive(&heartbeat.card.name, &heartbeat.workspaces, now);
    }
}

/// Sums up the use at all nodes, and reports workspaces that are within their share again.
pub fn update(gateway: &Gateway) {
    let now = gateway.now();
    let mut shares = gateway.shares.borrow_mut();
    shares.refresh(now);
    let mut names = gateway.share_names.borrow_mut();
    for key in shares.expired_marks(now) {
        if let Some(ShareName { pool, workspace }) = names.get(&key) {
            gateway.decisions.record(UpstreamDecision::ShareChanged {
                pool,
                workspace,
                over: false,
                slots: None,
                share: None,
            });
        }
    }
    if now < gateway.shares_shown_at.get() + METRICS_INTERVAL {
        return;
    }
    gateway.shares_shown_at.set(now);
    names.retain(|key, _| shares.is_known(*key));
    gateway.metrics.workspace_slots.reset();
    for (key, slot_ms) in shares.largest(SHOWN_WORKSPACES, now) {
        if let Some(ShareName { pool, workspace }) = names.get(&key) {
            let gauge = &gateway.metrics.workspace_slots;
            let gauge = gauge.with_label_values(&[pool, workspace]);
            gauge.set(fairness::slots(slot_ms));
        }
    }
}
