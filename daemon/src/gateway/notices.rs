//! Takes in what upstreams say of themselves in the heads of their answers.

use monsoonbank_kernel::gateway::registry::UpstreamKey;
use monsoonbank_platform::answer::{AnswerHead, AnswerKind, UpstreamNotices};

use crate::gateway::decisions::{Decision, millis};
use crate::gateway::{Gateway, limits};

/// Takes in the head of an upstream's answer.
pub fn take(gateway: &Gateway, key: UpstreamKey, head: &AnswerHead) {
    let limit = head.notices.rate_limit;
    match head.kind {
        AnswerKind::Success | AnswerKind::Failure => limits::answered(gateway, key, limit),
        // A refusal without a limit says nothing of it.
        AnswerKind::NotRun if limit.is_some() => limits::answered(gateway, key, limit),
        AnswerKind::NotRun | AnswerKind::Moved | AnswerKind::Foreign => {}
    }
    take_notices(gateway, key, head.notices);
}

fn take_notices(gateway: &Gateway, key: UpstreamKey, notices: UpstreamNotices) {
    let registry = gateway.registry.borrow();
    let Some(upstream) = registry.get(key) else {
        return;
    };
    let id = &upstream.entry.id;
    if notices.leaving {
        gateway.metrics.count_notice("leaving");
        gateway
            .decisions
            .line(&Decision::LeavingAnnounced { upstream: id });
    }
    if let Some(pause) = notices.pause {
        gateway.metrics.count_notice("pause");
        gateway.decisions.line(&Decision::PauseAsked {
            upstream: id,
            pause_ms: millis(pause),
        });
    }
}
