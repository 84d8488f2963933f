//! Accounts for the work that this node's calls cause at upstreams.

use std::rc::Rc;
use std::time::Duration;

use monsoonbank_kernel::gateway::choice::UpstreamChoice;
use monsoonbank_kernel::gateway::fairness::SlotCharge;
use monsoonbank_kernel::gateway::load::WorkItem;
use monsoonbank_kernel::gateway::registry::UpstreamKey;

use crate::gateway::admission::Call;
use crate::gateway::{Gateway, fairness, speeds};

/// A call's work at an upstream, counted in the upstream's load until this is dropped.
pub struct WorkGuard {
    gateway: Rc<Gateway>,
    /// Upstream that the call was sent to.
    pub key: UpstreamKey,
    /// Time at which the call was sent.
    pub since: Duration,
    item: WorkItem,
    /// Whether no other prompt was to be prefilled when the call was sent.
    reads_alone: bool,
    charge: Option<SlotCharge>,
    call: Rc<Call>,
}

impl WorkGuard {
    /// Adds a call that is about to be sent to the load of its upstream, and the parts of its
    /// prompt that other nodes may not know of to the next heartbeat.
    pub fn begin(gateway: &Rc<Gateway>, call: &Rc<Call>, choice: &UpstreamChoice) -> Self {
        let now = gateway.now();
        let prompt = &call.head.prompt;
        let item = WorkItem {
            prefill_tokens: choice.prefill_tokens,
            held_tokens: prompt.prompt_tokens + prompt.output_tokens,
            tight: call.tight,
        };
        speeds::record_call(gateway, call);
        let mut reads_alone = choice.fetch_from.is_none();
        if let Some(upstream) = gateway.registry.borrow_mut().get_mut(choice.key) {
            let total = upstream.load.total(now);
            reads_alone &= total.prompt_tokens == 0 && total.calls < upstream.entry.slots;
            upstream.load.begin(item);
            upstream.load.sent(now);
            if let Some(engine) = call.engine {
                let cache = &mut upstream.load.cache;
                cache.record_tokens(choice.taken_tokens, engine.cache_tokens);
            }
            upstream.health.attempt_started(now);
            upstream.throttle.consume(now);
            let hash = upstream.entry.run_hash();
            let mut sent_parts = gateway.sent_parts.borrow_mut();
            let shared = prompt.shared_parts();
            for (index, part) in shared.iter().enumerate() {
                let is_new = upstream.load.record_part_sent(part.id, now);
                // A later part implies the parts before it, so only new parts and the last one are
                // sent.
                if is_new || index + 1 == shared.len() {
                    sent_parts.insert((part.tokens, part.id, hash));
                }
            }
        }
        Self {
            gateway: gateway.clone(),
            key: choice.key,
            since: now,
            item,
            reads_alone,
            charge: fairness::charge(gateway, call, now),
            call: call.clone(),
        }
    }

    /// Records that the upstream has processed the prompt and caches its shared parts.
    pub fn prompt_read(&mut self) {
        let now = self.gateway.now();
        if self.reads_alone {
            let took = now.saturating_sub(self.since);
            let tokens = self.item.prefill_tokens;
            speeds::record_first_event(&self.gateway, &self.call, self.key, took, tokens);
        }
        if let Some(upstream) = self.gateway.registry.borrow_mut().get_mut(self.key) {
            for part in self.call.head.prompt.shared_parts() {
                upstream.load.record_part_prefilled(part.id, now);
            }
        }
        self.end_reading();
    }

    fn end_reading(&mut self) {
        let unread = std::mem::take(&mut self.item.prefill_tokens);
        if let Some(upstream) = self.gateway.registry.borrow_mut().get_mut(self.key) {
            upstream.load.record_prefill(unread);
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.end_reading();
        if let Some(upstream) = self.gateway.registry.borrow_mut().get_mut(self.key) {
            upstream.load.end(self.item);
        }
        if let Some(charge) = self.charge {
            let now = self.gateway.now();
            self.gateway.shares.borrow_mut().end(charge, now);
        }
        self.gateway.capacity_notify.notify_waiters();
    }
}
