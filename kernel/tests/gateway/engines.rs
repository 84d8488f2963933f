//! Engines, prompts and inputs for tests of the selection.

use std::time::Duration;

use monsoonbank_kernel::gateway::choice::ChoiceInput;
use monsoonbank_kernel::gateway::prompt::PromptShape;
use monsoonbank_kernel::gateway::registry::{RegistryChange, UpstreamEntry, UpstreamRegistry};

/// Time at which all calls of these tests arrive.
pub const NOW: Duration = Duration::from_secs(10);

/// Engines `i-0`, `i-1` and so on, one in each availability zone of the list.
pub fn registry(zones: &[&str], slots: u32) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::default();
    for (index, zone) in zones.iter().enumerate() {
        let port = 1000 + u16::try_from(index).expect("few");
        let entry = UpstreamEntry {
            id: format!("i-{index}").into(),
            born: None,
            pool: "model".into(),
            address: ([127, 0, 0, 1], port).into(),
            zone: (*zone).into(),
            version: "v1".into(),
            slots,
            leaving: false,
            spot: false,
            written: None,
        };
        registry.apply(RegistryChange::Put(entry), true, NOW);
    }
    registry
}

/// A prompt without shared parts.
pub fn bulk(tokens: u32) -> PromptShape {
    PromptShape {
        prompt_tokens: tokens,
        output_tokens: 100,
        expected_tokens: None,
        parts: Box::default(),
    }
}

/// A call of node 1, which knows no other.
pub fn input(prompt: &PromptShape, tight: bool) -> ChoiceInput<'_> {
    ChoiceInput {
        pool: "model",
        zone: "east",
        node: 1,
        senders: &[],
        silent_senders: 0,
        prompt,
        target: Duration::from_millis(if tight { 300 } else { 2000 }),
        shortest_target: None,
        late: false,
        yielding_target: Duration::ZERO,
        tier: 0,
        tiers: 3,
        tight,
        repeatable: true,
        cache_tokens: 500_000,
        answer: None,
        software: None,
        tried: &[],
        now: NOW,
    }
}
