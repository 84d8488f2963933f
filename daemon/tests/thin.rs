//! A node on a host with a thin link.
//!
//! The whole of an answer of the log had 8 s. A page that a link carries in more than that never came,
//! and each try began anew with the same page.

mod common;

use std::time::Duration;

use common::{TestFleet, settings};
use monsoonbank_standin::link::SlowLink;
use serde_json::json;
use tokio::time::Instant;

/// Slow enough that a page of the log below takes it 10 s.
const MEGABITS: f64 = 2.0;
/// Records of another writer, each of 2.5 kB: one page.
const RECORDS: usize = 999;
/// Time in which a node has to be ready.
const READY: Duration = Duration::from_secs(15);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_reads_a_page_of_the_log_that_takes_its_link_ten_seconds() {
    let mut fleet = TestFleet::start(0, 1).await;
    for _ in 0..RECORDS {
        fleet.log.append(json!({ "note": "x".repeat(2500) }));
    }
    let link = SlowLink::new(MEGABITS);
    let log = link.relay(fleet.log.address()).await.expect("a port");
    let mut thin = settings("thin", "zone-0", &fleet.log, &fleet.hosts);
    thin.platform.log = format!("http://{log}").into();
    let started = Instant::now();
    fleet.add_node_with(thin).await;
    fleet.ready().await;
    let took = started.elapsed();
    assert!(took < READY, "{took:?}");
}
