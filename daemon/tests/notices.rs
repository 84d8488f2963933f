//! Announcements of plain services in their answers: that they leave, or ask for a pause.

mod common;

use std::time::{Duration, Instant};

use common::TestFleet;
use monsoonbank_standin::faults::ServiceFaults;
use serde_json::json;

/// Time after which a call without an answer is abandoned; long enough for it to reach the service.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);

/// Interval between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(20);

/// Posts to the plain service and returns the answer's status; `None` if none arrives in time.
async fn try_post(fleet: &TestFleet, node: usize) -> Option<u16> {
    let body = json!({});
    let answer = fleet.post(node, "/services/gate/passes/7", &body);
    let answer = tokio::time::timeout(ARRIVAL_TIME, answer).await.ok()?;
    Some(answer.status().as_u16())
}

// Guards against calls to a service that has announced, in the header of an answer, that it leaves. It
// announces this nowhere else.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_announces_leaving_gets_no_more_calls() {
    let fleet = TestFleet::start(2, 1).await;
    assert_eq!(try_post(&fleet, 0).await, Some(200));
    fleet.service.set_faults(ServiceFaults {
        leaving: true,
        ..ServiceFaults::default()
    });
    assert_eq!(try_post(&fleet, 0).await, Some(200));
    for node in [0, 1, 0, 1] {
        assert_ne!(try_post(&fleet, node).await, Some(200));
    }
    assert_eq!(fleet.service.runs(), 2);
}

// Guards against calls to a service during the pause that it asked for when it refused a call.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_that_asks_for_a_pause_gets_no_calls_until_it_ends() {
    let fleet = TestFleet::start(2, 1).await;
    assert_eq!(try_post(&fleet, 0).await, Some(200));
    fleet.service.set_faults(ServiceFaults {
        refuse: true,
        pause_ms: Some(3_000),
        ..ServiceFaults::default()
    });
    let asked = Instant::now();
    let mut number = 0;
    while asked.elapsed() < Duration::from_secs(2) {
        try_post(&fleet, number % 2).await;
        number += 1;
        tokio::time::sleep(CALL_PAUSE).await;
    }
    let refused = fleet.service.refused();
    assert!(refused <= 1, "{refused} calls");
    fleet.service.set_faults(ServiceFaults::default());
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(try_post(&fleet, 0).await, Some(200));
}
