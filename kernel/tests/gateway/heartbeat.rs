//! Tests of the size of heartbeats.

use monsoonbank_kernel::gateway::brittle::RefusalReport;
use monsoonbank_kernel::gateway::heartbeat::{NodeCard, NodeHeartbeat, NodeState};

/// Most pools out of reach in one heartbeat.
const MOST_UNREACHED: usize = 8;
/// Most refusals in one heartbeat.
const MOST_REFUSALS: usize = 16;

fn size(heartbeat: &NodeHeartbeat) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(heartbeat, &mut bytes).expect("written");
    bytes.len()
}

#[test]
fn lost_pools_and_refusals_add_few_bytes() {
    let card = NodeCard {
        name: "node".into(),
        incarnation: 1,
        zone: "zone".into(),
        callers: ([10, 0, 0, 1], 1).into(),
        peers: ([10, 0, 0, 1], 2).into(),
        capacity: 1,
        state: NodeState::Ready,
    };
    let empty = NodeHeartbeat::new(card);
    let refusal = RefusalReport {
        run: u64::MAX,
        refusals: 1000,
        age_ms: 999,
    };
    let lost = NodeHeartbeat {
        unreached: vec![u64::from(u32::MAX); MOST_UNREACHED],
        ..empty.clone()
    };
    let refused = NodeHeartbeat {
        refusals: vec![refusal; MOST_REFUSALS],
        ..empty.clone()
    };
    let of_lost = size(&lost) - size(&empty);
    let of_refused = size(&refused) - size(&empty);
    println!("{of_lost} B for {MOST_UNREACHED} pools, {of_refused} B for {MOST_REFUSALS} refusals");
    assert!(of_lost <= 40 && of_refused <= 260);
}
