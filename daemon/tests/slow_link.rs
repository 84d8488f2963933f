//! A node on a host with a slow link.
//!
//! Guards against a timeout on the whole of a log response. With a limit of 8 s, a page that needs more
//! time on its link was never received, and each retry requested the same page again.

mod common;

use std::time::Duration;

use common::{TestFleet, settings};
use monsoonbank_standin::link::SlowLink;
use serde_json::json;
use tokio::time::Instant;

/// Rate at which the transfer of the log page below takes 10 s.
const MEGABITS: f64 = 2.0;
/// Number of records from another writer, each of 2.5 kB; together one page of the log.
const RECORDS: usize = 999;
/// Time limit for the node to become ready.
const READY: Duration = Duration::from_secs(15);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_reads_a_log_page_whose_transfer_takes_ten_seconds() {
    let mut fleet = TestFleet::start(0, 1).await;
    for _ in 0..RECORDS {
        fleet.log.append(json!({ "note": "x".repeat(2500) }));
    }
    let link = SlowLink::new(MEGABITS);
    let log = link.relay(fleet.log.address()).await.expect("a port");
    let mut slow = settings("slow", "zone-0", &fleet.log, &fleet.hosts);
    slow.platform.log = format!("http://{log}").into();
    let started = Instant::now();
    fleet.add_node_with(slow).await;
    fleet.wait_until_ready().await;
    let took = started.elapsed();
    assert!(took < READY, "{took:?}");
}
