//! Applies what upstreams report about themselves in the heads of their answers.

use std::time::Duration;

use monsoonbank_kernel::gateway::registry::UpstreamKey;
use monsoonbank_platform::answer::{AnswerHead, AnswerKind, UpstreamNotices};

use crate::gateway::decisions::{UpstreamDecision, millis};
use crate::gateway::{Gateway, brittle, limits, sync};

/// Source in decision lines of what an upstream says in an answer.
const ANSWER_SOURCE: &str = "answer";

/// Applies the rate limit and the notices in the head of an upstream's answer.
pub fn apply_head(gateway: &Gateway, key: UpstreamKey, head: &AnswerHead) {
    let limit = head.notices.rate_limit;
    match head.kind {
        AnswerKind::Success | AnswerKind::Failure => limits::record_limit(gateway, key, limit),
        // A refusal without a limit does not mean that the limit has ended.
        AnswerKind::NotRun if limit.is_some() => limits::record_limit(gateway, key, limit),
        AnswerKind::NotRun | AnswerKind::Moved | AnswerKind::Foreign => {}
    }
    let refusals = head.notices.refusals;
    match head.kind {
        AnswerKind::Success | AnswerKind::Failure => {
            brittle::record_notice(gateway, key, refusals);
        }
        AnswerKind::NotRun => {
            if refusals.is_some() {
                brittle::record_notice(gateway, key, refusals);
            }
            brittle::record_refusal(gateway, key);
        }
        AnswerKind::Moved | AnswerKind::Foreign => {}
    }
    apply(gateway, key, head.notices);
}

/// Applies an upstream's notices: it is leaving, or it asks for a pause.
pub fn apply(gateway: &Gateway, key: UpstreamKey, notices: UpstreamNotices) {
    if notices.leaving {
        gateway.metrics.count_notice("leaving");
        let is_new = gateway
            .registry
            .borrow_mut()
            .record_announcement(key, gateway.now());
        if is_new {
            sync::upstream_changed(gateway, key, ANSWER_SOURCE);
        }
    }
    if let Some(pause) = notices.pause {
        apply_pause(gateway, key, pause);
    }
}

fn apply_pause(gateway: &Gateway, key: UpstreamKey, pause: Duration) {
    gateway.metrics.count_notice("pause");
    let mut registry = gateway.registry.borrow_mut();
    let Some(upstream) = registry.get_mut(key) else {
        return;
    };
    upstream.pause.extend(pause, gateway.now());
    gateway.decisions.record(UpstreamDecision::PauseAsked {
        upstream: &upstream.entry.id,
        pause_ms: millis(pause),
    });
}
